//! A small deployment: the project's programs as processes, and the platform around them.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fw_platform_fake::store::Store;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

/// Lines of `record.txt`, with seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<String>>)>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}", line.as_ref());
        self.0.1.lock().unwrap().push(line);
    }

    /// Seconds from the start until `at`.
    pub fn since_start(&self, at: Instant) -> f64 {
        at.duration_since(self.0.0).as_secs_f64()
    }

    pub fn write(&self, path: &Path) {
        let lines = self.0.1.lock().unwrap();
        std::fs::write(path, lines.join("\n") + "\n").expect("record.txt can be written");
    }
}

/// Why a process of the system has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The platform killed it, as it used more memory than its machine has.
    Memory,
    /// It exited, or died of a signal that the test did not send.
    Itself,
}

/// One process of the system.
pub struct Process {
    pub name: String,
    pub front: SocketAddr,
    pub memory_mb: u64,
    role: &'static str,
    dir: PathBuf,
    child: Option<Child>,
    /// Ends that nobody asked for.
    pub ends: Vec<End>,
    /// Most memory seen, in KiB.
    pub peak_kib: u64,
    restart_at: Option<Instant>,
}

/// The words of `run` of a role in the deploy file.
fn command_of(root: &Path, role: &str) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let mut section = "";
    for line in text.lines() {
        let line = line.trim();
        if line.starts_with('[') {
            section = line.trim_matches(['[', ']']);
        } else if let Some(run) = line.strip_prefix("run = ")
            && section == format!("roles.{role}")
        {
            return run
                .trim_matches('"')
                .split(' ')
                .map(str::to_owned)
                .collect();
        }
    }
    panic!("no role {role} in the deploy file");
}

impl Process {
    fn start(&mut self, root: &Path, record: &Record) {
        let log = self.dir.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let words = command_of(root, self.role);
        let child = Command::new(root.join(&words[0]))
            .args(&words[1..])
            .current_dir(root)
            .env("FOXTAILWEIR_SETTINGS", self.settings())
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .kill_on_drop(true)
            .spawn()
            .expect("the program of the deploy file");
        record.add(format!("{} starts", self.name));
        self.child = Some(child);
    }

    fn settings(&self) -> PathBuf {
        self.dir.join(format!("{}.json", self.name))
    }

    /// Id of the process, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Memory of the process that is not backed by a file, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }
}

/// The system, and the platform's store.
pub struct System {
    pub store: Store,
    pub record: Record,
    pub replicas: Vec<Process>,
    pub entries: Vec<Process>,
    pub dir: PathBuf,
    root: PathBuf,
    platform: SocketAddr,
    memory_mb: u64,
    seeds: Vec<String>,
}

/// A loopback address of this run alone, on which the ports are free.
fn host(index: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 60 + pid / 250 % 150, pid % 250, index + 1)
}

fn free_port(host: &str) -> u16 {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().unwrap().port()
}

impl System {
    /// Starts 3 replicas and `entries` entries with `memory_mb` each, for `config`.
    pub async fn start(
        entries: usize,
        memory_mb: u64,
        config: &Value,
        workers: &BTreeMap<String, Value>,
    ) -> Self {
        let root = PathBuf::from(std::env::var("REPO").expect("REPO: root of the repository"));
        let dir = PathBuf::from(std::env::var("WORK").expect("WORK: a temporary folder"));
        let record = Record::new();
        let store = Store::default();
        let platform = store.serve().await;
        store.put("op/config", config.to_string().as_bytes());
        for (id, entry) in workers {
            store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
        }
        let seeds: Vec<_> = (0..3)
            .map(|at| format!("{}:{}", host(at), free_port(&host(at))))
            .collect();
        let mut system = Self {
            store,
            record,
            replicas: Vec::new(),
            entries: Vec::new(),
            dir,
            root,
            platform,
            memory_mb,
            seeds,
        };
        for index in 0..3 + entries {
            system.add(index, index < 3, true);
        }
        // The first start is over, and what restarts later isn't one.
        tokio::time::sleep(Duration::from_millis(5_000)).await;
        for process in system.replicas.iter().chain(&system.entries) {
            let text = std::fs::read_to_string(process.settings()).unwrap();
            let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
            std::fs::write(process.settings(), text).unwrap();
        }
        system
    }

    /// Adds machine `index`, with a replica or an entry, and starts its process. All have one port for messages
    /// between them, as the machines of a day do.
    pub fn add(&mut self, index: usize, is_replica: bool, bootstrap: bool) {
        let (role, class, name) = match is_replica {
            true => ("replica", "store", format!("store-{}", index + 1)),
            false => ("entry", "front", format!("front-{}", index - 2)),
        };
        let ip = host(index);
        let internal = free_port(&ip);
        let front = format!("{ip}:{}", free_port(&ip));
        let control = self
            .seeds
            .get(index)
            .cloned()
            .unwrap_or_else(|| format!("{ip}:{}", free_port(&ip)));
        let listen = match is_replica {
            true => json!({ "control": control }),
            false => json!({ "front": front, "ready": format!("{ip}:{}", free_port(&ip)) }),
        };
        let data = self.dir.join(format!("{name}.data"));
        let zone = format!("z{}", index % 3);
        let memory_mb = self.memory_mb;
        let settings = json!({
            "node_name": name, "role": role, "machine_class": class,
            "serves": if is_replica { json!(["store", "control"]) } else { json!(["front"]) },
            "ip": ip, "zone": zone, "region": "r", "zones": {"z0": "r", "z1": "r", "z2": "r"},
            "listen": listen, "internal_ports": [internal, internal + 1], "seeds": self.seeds,
            "bootstrap": bootstrap, "in_fault_budget": is_replica,
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": if is_replica { 390 } else { 0 }},
            "data_dir": if is_replica { json!(data) } else { Value::Null },
            "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4.4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "finish_s": 10, "settle_ms": 1000},
            "platform": {"address": self.platform.to_string(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}
        });
        let mut process = Process {
            name,
            front: front.parse().unwrap(),
            memory_mb,
            role,
            dir: self.dir.clone(),
            child: None,
            ends: Vec::new(),
            peak_kib: 0,
            restart_at: None,
        };
        std::fs::write(process.settings(), settings.to_string()).unwrap();
        process.start(&self.root, &self.record);
        match is_replica {
            true => self.replicas.push(process),
            false => self.entries.push(process),
        }
    }

    /// Kills replica `at`; it starts again after `down`, if that is given, without its disk if `wiped`.
    pub fn kill_replica(&mut self, at: usize, down: Option<Duration>, wiped: bool) {
        let process = &mut self.replicas[at];
        if let Some(mut child) = process.child.take() {
            let _ = child.start_kill();
        }
        process.restart_at = down.map(|down| Instant::now() + down);
        if wiped {
            let _ = std::fs::remove_dir_all(self.dir.join(format!("{}.data", process.name)));
        }
        let how = if wiped { ", and its disk is lost" } else { "" };
        self.record.add(format!(
            "{} is killed{how}; back after {down:?}",
            process.name
        ));
    }

    /// Takes the machine of replica `at` away for good. It must not refuse connections as a machine with power does,
    /// so its process is stopped, and killed only at the end.
    pub fn remove_replica(&mut self, at: usize) {
        let process = &mut self.replicas[at];
        if let Some(pid) = process.pid() {
            let stopped = std::process::Command::new("kill")
                .args(["-STOP", &pid.to_string()])
                .status();
            assert!(
                stopped.is_ok_and(|status| status.success()),
                "the signal was sent"
            );
        }
        self.record.add(format!(
            "{} is gone for good: it answers nothing any more",
            process.name
        ));
    }

    /// Names on the member list in the platform's store.
    pub fn members(&self) -> String {
        let value = self.store.value("foxtailweir/members").unwrap_or_default();
        let list: Value = serde_json::from_slice(&value).unwrap_or_default();
        let names = list["members"]
            .as_object()
            .map(|members| members.keys().cloned().collect::<Vec<_>>());
        names.unwrap_or_default().join(" ")
    }

    /// Does the platform's part once: kills what uses more memory than its machine has, and starts again what has
    /// ended, after half a second.
    pub fn supervise(&mut self) {
        let (root, record) = (self.root.clone(), self.record.clone());
        for process in self.replicas.iter_mut().chain(&mut self.entries) {
            let kib = process.memory_kib();
            process.peak_kib = process.peak_kib.max(kib);
            if let Some(child) = &mut process.child {
                if kib > process.memory_mb << 10 {
                    record.add(format!(
                        "{} uses {kib} KiB, more than its {} MiB: killed by the platform",
                        process.name, process.memory_mb
                    ));
                    let _ = child.start_kill();
                    process.ends.push(End::Memory);
                    process.child = None;
                    process.restart_at = Some(Instant::now() + Duration::from_millis(500));
                } else if let Ok(Some(status)) = child.try_wait() {
                    record.add(format!("{} has ended by itself: {status}", process.name));
                    process.ends.push(End::Itself);
                    process.child = None;
                    process.restart_at = Some(Instant::now() + Duration::from_millis(500));
                }
            }
            if process.restart_at.is_some_and(|at| Instant::now() >= at) {
                process.restart_at = None;
                process.start(&root, &record);
            }
        }
    }

    /// Supervises for `time`.
    pub async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.supervise();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
