//! A whole system on loopback, made of entries, sides and stand-ins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_conf::entry as entry_conf;
use fw_conf::side as side_conf;
use fw_entry::process::serve;
use fw_fake::engine;
use fw_fake::instances;
use fw_fake::plain;
use fw_fake::store;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;

use crate::caller;

/// The model offered by the records of a local system.
pub const MODEL: &str = "draft-1";
/// The agent service that serves the model.
pub const AGENTS: &str = "agent-llm";
/// The plain service.
pub const TOOLS: &str = "edge-app";

/// Longest wait for a system to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness is polled.
const READY_POLL: Duration = Duration::from_millis(20);

/// Parameters of a system.
#[derive(Clone, Debug)]
pub struct Options {
    /// Place of each entry. Each reaches the store through a port of its own.
    pub entries: Vec<&'static str>,
    /// Place of each engine.
    pub engines: Vec<&'static str>,
    /// Place of each plain service.
    pub tools: Vec<&'static str>,
    /// Behaviour of the engines.
    pub engine: engine::Options,
    /// Behaviour of the plain services.
    pub tool: plain::Options,
    /// Settings of the entries; addresses and places are filled in.
    pub entry: entry_conf::Settings,
    /// Settings of the sides; addresses, names and places are filled in.
    pub side: side_conf::Settings,
    /// Lag of the instance list.
    pub lag: Duration,
    /// Additional ports of the store, for entries started later.
    pub spare_ports: usize,
    /// Renders `/metrics` if the process has a metrics recorder.
    pub metrics: Option<PrometheusHandle>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: vec!["hall-a", "hall-b"],
            engines: vec!["hall-a", "hall-b", "hall-c"],
            tools: vec!["hall-a"],
            engine: engine::Options::default(),
            tool: plain::Options::default(),
            entry: quick_entry(),
            side: quick_side(),
            lag: Duration::ZERO,
            spare_ports: 2,
            metrics: None,
        }
    }
}

/// An engine or plain service with its side.
pub struct Worker<U> {
    /// The upstream's name.
    pub name: SmolStr,
    /// The upstream.
    pub upstream: U,
    /// The side; absent while it is crashed.
    pub side: Option<fw_side::Side>,
    settings: side_conf::Settings,
}

/// A running system.
pub struct System {
    /// The platform's key-value service.
    pub store: store::Store,
    /// The platform's instance list.
    pub instances: instances::Instances,
    /// The entries; `None` for those that were stopped or killed.
    pub entries: Vec<Option<serve::Running>>,
    /// Engines with their sides.
    pub engines: Vec<Worker<engine::Engine>>,
    /// Plain services with their sides.
    pub tools: Vec<Worker<plain::Service>>,
    opts: Options,
    next_port: usize,
}

/// Settings of an entry with short intervals, for tests and demos that last seconds.
pub fn quick_entry() -> entry_conf::Settings {
    entry_conf::Settings {
        listen: entry_conf::Listen {
            admin: SocketAddr::from(([127, 0, 0, 1], 0)),
            ..entry_conf::Listen::default()
        },
        platform: entry_conf::Platform {
            poll_interval: Duration::from_millis(200),
            ..entry_conf::Platform::default()
        },
        keeper: entry_conf::Keeper {
            lease_ttl: Duration::from_secs(2),
            ..entry_conf::Keeper::default()
        },
        upstream: entry_conf::Upstream {
            heartbeat_interval: Duration::from_millis(100),
            heartbeats_per_second: 1000,
            ..entry_conf::Upstream::default()
        },
        ..entry_conf::Settings::default()
    }
}

/// Settings of a side with short intervals, for tests and demos that last seconds.
pub fn quick_side() -> side_conf::Settings {
    side_conf::Settings {
        sessions: side_conf::Sessions {
            ttl: Duration::from_secs(2),
            ..side_conf::Sessions::default()
        },
        ..side_conf::Settings::default()
    }
}

impl System {
    /// Starts all parts, stores the first records and waits until calls can be answered.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound, or the system does not become ready.
    pub async fn start(opts: Options) -> io::Result<Self> {
        let store = store::Store::start(store::Options {
            ports: opts.entries.len() + opts.spare_ports,
            ..store::Options::default()
        })
        .await?;
        let instances = instances::Instances::start().await?;
        instances.set_lag(opts.lag);
        let mut system = Self {
            store,
            instances,
            entries: Vec::new(),
            engines: Vec::new(),
            tools: Vec::new(),
            opts,
            next_port: 0,
        };
        system.start_workers().await?;
        for place in system.opts.entries.clone() {
            system.add_entry(place).await?;
        }
        system.put_first_records().await?;
        system.wait_ready().await?;
        Ok(system)
    }

    /// Address for callers of a running entry.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.running(entry).addresses().callers
    }

    /// Address for operators of a running entry.
    pub fn admin(&self, entry: usize) -> SocketAddr {
        self.running(entry).addresses().admin
    }

    /// Addresses for callers of all running entries, as a load balancer would list them.
    pub fn balancer(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().flatten();
        running.map(|entry| entry.addresses().callers).collect()
    }

    /// Starts another entry and returns its index.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn add_entry(&mut self, place: &'static str) -> io::Result<usize> {
        self.add_entry_with(place, self.opts.entry.clone()).await
    }

    /// Starts another entry with settings of its own and returns its index. Addresses and place are
    /// filled in.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn add_entry_with(
        &mut self,
        place: &'static str,
        mut settings: entry_conf::Settings,
    ) -> io::Result<usize> {
        settings.instance.place = place.into();
        let endpoint = self.store.endpoint(self.next_port).parse();
        settings.store.endpoints = vec![endpoint.map_err(io::Error::other)?];
        settings.platform.instances = Some(self.instances_url());
        self.next_port += 1;
        let bound = serve::Bound::new(settings)
            .await
            .map_err(io::Error::other)?;
        let running = bound.start(self.opts.metrics.clone())?;
        self.entries.push(Some(running));
        Ok(self.entries.len() - 1)
    }

    /// Stops an entry gracefully; true if nothing was cut off.
    pub async fn stop_entry(&mut self, entry: usize) -> bool {
        match self.entries[entry].take() {
            Some(running) => running.stop().await.drained,
            None => true,
        }
    }

    /// Kills an entry without a shutdown, as a crash would.
    pub fn kill_entry(&mut self, entry: usize) {
        if let Some(running) = self.entries[entry].take() {
            running.kill();
        }
    }

    /// Kills the side of an engine, as a crash would; the engine keeps running.
    pub fn kill_side(&mut self, engine: usize) {
        self.engines[engine].side = None;
    }

    /// Restarts the side of an engine at new addresses.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn restart_side(&mut self, engine: usize) -> io::Result<()> {
        let settings = self.engines[engine].settings.clone();
        let side = self.spawn_side(settings).await?;
        self.engines[engine].side = Some(side);
        Ok(())
    }

    /// Stores a record through the first running entry, as an operator would.
    pub async fn put_record(
        &self,
        kind: &str,
        name: &str,
        revision: i64,
        record: &Value,
    ) -> caller::Answer {
        let path = format!("/admin/records/{kind}/{name}?revision={revision}");
        let entry = self.entries.iter().position(Option::is_some).unwrap_or(0);
        let body = record.to_string().into();
        let caller = caller::Caller::new();
        caller
            .plain(self.admin(entry), "PUT", &path, &[], body)
            .await
    }

    /// Lowest revision of the records in force at any entry or side, as the entries see it.
    pub fn revision_in_force(&self) -> id::Revision {
        let running = self.entries.iter().flatten();
        let statuses = running.map(|entry| entry.entry().status());
        let lowest = statuses.map(|status| status.revision.min(status.sides_revision));
        lowest.min().unwrap_or(0)
    }

    /// Waits until every shard has a keeper, the shards are balanced among the keepers, every entry
    /// reaches every side and has loaded the records, and the entries see each other.
    ///
    /// # Errors
    ///
    /// When the system is not ready within `READY_TIMEOUT`.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other("the system did not become ready"));
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let running = || self.entries.iter().flatten().map(serve::Running::entry);
        let keepers = running().filter(|entry| entry.settings.keeper.enabled);
        let kept: Vec<_> = keepers.map(|entry| entry.keeper.shards().len()).collect();
        let fair = usize::from(id::SHARDS) / kept.len().max(1);
        let is_balanced = kept.iter().all(|kept| *kept >= fair / 2);
        let live = self
            .engines
            .iter()
            .filter(|worker| worker.side.is_some())
            .count();
        let expected = live + self.tools.len();
        let reaches_all = running().all(|entry| {
            let sides = entry.sides.all();
            let reachable = sides
                .iter()
                .filter(|side| side.update(|state| state.reachable));
            reachable.count() >= expected
        });
        let has_records = running().all(|entry| entry.records.is_loaded());
        let all_kept = kept.iter().sum::<usize>() == usize::from(id::SHARDS);
        let count = running().count();
        let see_each_other = running().all(|entry| entry.keeper.entries().len() >= count);
        all_kept && is_balanced && reaches_all && has_records && see_each_other
    }

    fn running(&self, entry: usize) -> &serve::Running {
        self.entries[entry].as_ref().expect("the entry runs")
    }

    fn instances_url(&self) -> SmolStr {
        let endpoint = self.instances.endpoint();
        match endpoint.starts_with("http") {
            true => endpoint.into(),
            false => format!("http://{endpoint}/instances").into(),
        }
    }

    async fn start_workers(&mut self) -> io::Result<()> {
        for (n, place) in self.opts.engines.clone().into_iter().enumerate() {
            let upstream = engine::Engine::spawn(self.opts.engine.clone())?;
            let mut settings = self.side_settings(AGENTS, n, place, upstream.addr());
            settings.engine.kind = side_conf::Kind::Llm;
            settings.engine.batch = u32::try_from(self.opts.engine.batch).unwrap_or(0);
            let side = self.spawn_side(settings.clone()).await?;
            self.engines.push(Worker {
                name: settings.instance.id.clone(),
                upstream,
                side: Some(side),
                settings,
            });
        }
        for (n, place) in self.opts.tools.clone().into_iter().enumerate() {
            let upstream = plain::Service::spawn(self.opts.tool.clone())?;
            let mut settings = self.side_settings(TOOLS, n, place, upstream.addr());
            settings.engine.kind = side_conf::Kind::Plain;
            let side = self.spawn_side(settings.clone()).await?;
            self.tools.push(Worker {
                name: settings.instance.id.clone(),
                upstream,
                side: Some(side),
                settings,
            });
        }
        Ok(())
    }

    fn side_settings(
        &self,
        service: &str,
        n: usize,
        place: &str,
        upstream: SocketAddr,
    ) -> side_conf::Settings {
        let mut settings = self.opts.side.clone();
        settings.instance = side_conf::Instance {
            id: format!("{service}-{n}").into(),
            service: service.into(),
            place: place.into(),
        };
        settings.engine.address = upstream;
        settings
    }

    async fn spawn_side(&self, settings: side_conf::Settings) -> io::Result<fw_side::Side> {
        let instance = settings.instance.clone();
        let side = fw_side::Side::spawn(fw_side::Options {
            settings,
            metrics: self.opts.metrics.clone(),
            ..fw_side::Options::default()
        })
        .await?;
        self.instances.put(instances::Instance {
            id: instance.id,
            service: instance.service,
            place: instance.place,
            side: side.calls().to_string().into(),
            http: side.http().to_string().into(),
            state: instances::State::Live,
        });
        Ok(side)
    }

    async fn put_first_records(&self) -> io::Result<()> {
        let records = [
            (
                "service",
                AGENTS,
                json!({ "schema": 2, "kind": "llm", "models": [MODEL] }),
            ),
            ("service", TOOLS, json!({ "schema": 2, "kind": "plain" })),
            (
                "route",
                "tools",
                json!({ "schema": 2, "path": "/", "service": TOOLS }),
            ),
        ];
        for (kind, name, record) in records {
            let answer = self.put_record(kind, name, 0, &record).await;
            if answer.status != 200 {
                return Err(io::Error::other(format!(
                    "record {kind}/{name}: {}",
                    answer.text
                )));
            }
        }
        Ok(())
    }
}
