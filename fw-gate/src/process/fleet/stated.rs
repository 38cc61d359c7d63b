//! The speeds that upstreams state: those that this entry received, and those that replicas pass on.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::id;
use fw_plan::speed;
use fw_replica::stated_speed;

use super::{Fleet, Lease, Service, Upstream};

impl Lease {
    /// Records the time that work takes on the upstream's machine, as a percentage of the usual one.
    pub fn record_speed(&mut self, percent: Option<u32>) {
        let Some(factor) = percent.and_then(speed::factor_of_percent) else {
            return;
        };
        let fleet = &self.fleet;
        fleet.features.note_contention();
        if !fleet.features.upstream_speed() {
            return;
        }
        self.stated_factor = Some(factor);
        let at = fleet.now();
        let stated = speed::Statement { factor, at };
        let mut service = self.service.lock();
        service.record_own_speed(&fleet.speed, &self.id, stated);
    }
}

impl Service {
    /// Records a statement that this entry received.
    fn record_own_speed(
        &mut self,
        options: &speed::Options,
        id: &id::UpstreamId,
        stated: speed::Statement,
    ) {
        let Some(upstream) = self.find(id) else {
            return;
        };
        let was_contended = upstream.speed.is_contended(options, stated.at);
        upstream.speed.record(options, stated, speed::Source::Own);
        if upstream.speed.is_contended(options, stated.at) {
            let expected = if was_contended { "yes" } else { "no" };
            metrics::counter!("fw_gate_contended_calls_total", "expected" => expected).increment(1);
        }
        self.update_least_factor();
    }

    /// Updates the factor of the fastest upstream.
    fn update_least_factor(&mut self) {
        let own = self.upstreams.iter().filter_map(|u| u.speed.own());
        self.least_factor = own.reduce(f64::min);
    }
}

impl Fleet {
    /// Records the speeds that upstreams stated to other entries, as reported by a replica.
    pub fn record_peer_speeds(&self, calls: &[(u16, u16)], speeds: &[speed::Report]) {
        if speeds.is_empty() || !self.features.upstream_speed() {
            return;
        }
        let now = self.now();
        let items = stated_speed::join(calls, speeds);
        let reports: HashMap<u16, speed::Report> = items
            .filter_map(|(at, _, report)| Some((at, report?)))
            .collect();
        for service in self.all_services() {
            let mut service = service.lock();
            for upstream in &mut service.upstreams {
                if let Some(report) = reports.get(&upstream.hash) {
                    upstream.record_peer_speed(&self.speed, *report, now);
                }
            }
            service.update_least_factor();
        }
    }

    /// The expected speed of an upstream; `None` while no upstream of the service has stated its own.
    ///
    /// An unknown upstream counts as the fastest of its peers: by any higher factor it would get no call, and
    /// state nothing, until the faster ones are full.
    pub(super) fn expected_speed(
        &self,
        upstream: &Upstream,
        least_factor: Option<f64>,
        now: Duration,
    ) -> Option<speed::Expected> {
        let factor = least_factor?;
        let known = upstream.speed.expected(&self.speed, now);
        known.or(Some(speed::Expected { factor, age: None }))
    }

    /// The newest statement of an upstream, if other entries should hear of it.
    pub(super) fn speed_report(&self, upstream: &Upstream, now: Duration) -> Option<speed::Report> {
        upstream.speed.report(&self.speed, now)
    }
}

impl Upstream {
    fn record_peer_speed(
        &mut self,
        options: &speed::Options,
        report: speed::Report,
        now: Duration,
    ) {
        // Made before this entry started.
        let Some(at) = now.checked_sub(report.age()) else {
            return;
        };
        let factor = report.factor();
        let stated = speed::Statement { factor, at };
        self.speed.record(options, stated, speed::Source::Peer);
    }
}
