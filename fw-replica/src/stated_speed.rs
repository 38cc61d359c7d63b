//! Stated speeds in reports of load: those of the first upstreams of the list, so that a speed takes
//! two bytes and does not repeat the upstream.

use std::time::Duration;

use fw_plan::speed;

/// Age up to which a speed is passed on: contentions last some 600 ms.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Calls in flight at an upstream, by the short hash of its id, and the speed that it stated.
pub type Item = (u16, u16, Option<speed::Report>);

/// Splits items into calls and speeds.
pub fn split(items: impl Iterator<Item = Item>) -> (Vec<(u16, u16)>, Vec<speed::Report>) {
    let mut items: Vec<_> = items.collect();
    items.sort_by_key(|(.., speed)| speed.is_none());
    let speeds = items.iter().map_while(|(.., speed)| *speed).collect();
    let calls = items.into_iter().map(|(at, count, _)| (at, count));
    (calls.collect(), speeds)
}

/// Joins calls and speeds to items.
pub fn join(calls: &[(u16, u16)], speeds: &[speed::Report]) -> impl Iterator<Item = Item> {
    let speeds = speeds.iter().copied().map(Some);
    let speeds = speeds.chain(std::iter::repeat(None));
    let items = calls.iter().zip(speeds);
    items.map(|((at, count), speed)| (*at, *count, speed))
}

/// The report after `elapsed`, unless it is then too old to be passed on.
pub fn aged(report: speed::Report, elapsed: Duration) -> Option<speed::Report> {
    report
        .aged(elapsed)
        .filter(|report| report.age() <= MAX_AGE)
}

/// The more recent of two reports.
pub fn newer(one: Option<speed::Report>, other: Option<speed::Report>) -> Option<speed::Report> {
    let both = one.into_iter().chain(other);
    both.min_by_key(|report| report.age())
}
