//! A small deployment: the project's own programs as processes, started by the commands of the deploy file, and
//! the stand-ins of the platform's store and of the workers.
//!
//! Each process has a loopback address of its own, so that the fixed port of its metrics is free.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use fw_platform_fake::store;
use serde_json::json;
use tokio::process::{Child, Command};

use crate::record::Record;
use crate::{Failure, client, worker};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Interval at which workers renew their entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Ports of each process.
const FRONT: u16 = 7_100;
const READY: u16 = 7_101;
const CONTROL: u16 = 7_001;
const INTERNAL: [u16; 2] = [7_380, 7_395];
/// Port of the metrics, from the deploy file.
const METRICS: u16 = 9_464;

/// What differs between the scenes.
pub struct Options {
    /// The operator's configuration.
    pub config: serde_json::Value,
    pub workers: usize,
    pub entries: usize,
    pub streams: worker::Options,
}

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: IpAddr,
    role: &'static str,
    zone: &'static str,
    /// Number of disks that it has had.
    disk: u32,
    child: Option<Child>,
}

impl Process {
    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    /// Address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY)
    }
}

pub struct Deployment {
    record: Record,
    folder: PathBuf,
    store: store::Store,
    store_addr: SocketAddr,
    seeds: Vec<String>,
    /// Address of the machine that takes the place of another.
    spare_ip: Option<IpAddr>,
    pub replicas: Vec<Process>,
    pub entries: Vec<Process>,
    pub workers: Vec<worker::Worker>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.replicas.iter_mut().chain(&mut self.entries) {
            if let Some(child) = &mut process.child {
                let _ = child.start_kill();
            }
        }
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The words of a role's command in the deploy file.
fn command(role: &str) -> Result<Vec<String>, Failure> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let section = text.split(&format!("[roles.{role}]")).nth(1);
    let section = section.ok_or_else(|| format!("the deploy file has no role {role}"))?;
    let line = section
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|line| line.strip_suffix('"'));
    let line = line.ok_or_else(|| format!("role {role} has no command"))?;
    Ok(line.split(' ').map(str::to_owned).collect())
}

/// Loopback addresses at which all ports of a process are free.
fn free_addresses(count: usize) -> Result<Vec<IpAddr>, Failure> {
    let pid = std::process::id();
    let is_free = |ip: IpAddr| {
        let ports = [FRONT, READY, CONTROL, METRICS].into_iter().chain(INTERNAL);
        ports
            .into_iter()
            .all(|port| TcpListener::bind((ip, port)).is_ok())
    };
    for block in 0..200 {
        let third = (pid + block) % 250 + 1;
        let ip = |index: usize| IpAddr::from([127, 77, third as u8, index as u8 + 1]);
        let ips: Vec<_> = (0..count).map(ip).collect();
        if ips.iter().all(|ip| is_free(*ip)) {
            return Ok(ips);
        }
    }
    Err("no free loopback addresses".into())
}

impl Deployment {
    /// Starts everything, and waits until the first start of the system is over and all entries are ready.
    pub async fn start(opts: Options, record: &Record) -> Result<Self, Failure> {
        let folder =
            std::env::temp_dir().join(format!("foxtailweir-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = store::Store::default();
        let store_addr = store.serve().await;
        let mut deployment = Self {
            record: record.clone(),
            folder,
            store,
            store_addr,
            seeds: Vec::new(),
            spare_ip: None,
            replicas: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
        };
        deployment
            .store
            .put("op/config", opts.config.to_string().as_bytes());
        for index in 0..opts.workers {
            let id = format!("i-{index:08x}");
            deployment
                .workers
                .push(worker::Worker::start(&id, opts.streams, record).await?);
        }
        deployment.register_workers();
        // One more for a machine that is added.
        let mut ips = free_addresses(3 + opts.entries + 1)?;
        deployment.spare_ip = ips.pop();
        deployment.seeds = ips[..3]
            .iter()
            .map(|ip| format!("{ip}:{CONTROL}"))
            .collect();
        for (index, ip) in ips.into_iter().enumerate() {
            let (role, name) = match index {
                0..3 => ("replica", format!("store-{}-1", ZONES[index % 3])),
                _ => ("entry", format!("front-{}-1", ZONES[index % 3])),
            };
            let zone = ZONES[index % 3];
            let mut process = Process {
                name,
                ip,
                role,
                zone,
                disk: 1,
                child: None,
            };
            deployment.spawn(&mut process, true)?;
            match role {
                "replica" => deployment.replicas.push(process),
                _ => deployment.entries.push(process),
            }
        }
        // Traffic starts some seconds after the machines do.
        tokio::time::sleep(Duration::from_secs(5)).await;
        for index in 0..deployment.entries.len() {
            deployment.await_ready(index).await?;
        }
        deployment.await_service().await?;
        record.line("all store machines are members, and all entries serve");
        Ok(deployment)
    }

    /// Waits until all replicas are members and a turn is served through each entry. The first start can take
    /// longer on a busy machine.
    async fn await_service(&self) -> Result<(), Failure> {
        let until = self.record.now() + Duration::from_secs(15);
        for (index, entry) in self.entries.iter().enumerate() {
            for attempt in 0.. {
                let is_whole = self.member_list().matches("\"addr\"").count() == 3;
                let request = client::Request {
                    id: format!("warm-up-{index}-{attempt}"),
                    path: "/turns/x".to_owned(),
                    headers: vec![
                        ("X-Program-Id", format!("warm-up-{index}")),
                        ("X-Token-Budget", "100000".to_owned()),
                        ("X-Token-Count", "10,10".to_owned()),
                    ],
                    body: b"warm-up".to_vec(),
                    deadline: Duration::from_secs(2),
                };
                if is_whole
                    && !client::send(entry.front(), &request, &self.record)
                        .await
                        .events
                        .is_empty()
                {
                    break;
                }
                if self.record.now() >= until {
                    return Err("the deployment does not serve turns".into());
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    /// Writes the workers' entries to the store from now on.
    fn register_workers(&self) {
        let workers = self.workers.clone();
        let store = self.store.clone();
        tokio::spawn(async move {
            for seq in 1_u64.. {
                for (index, worker) in workers.iter().enumerate() {
                    let entry = json!({
                        "service": "model", "address": worker.addr.to_string(), "zone": ZONES[index % 3],
                        "version": "v1", "slots": 12, "state": "ready", "cold_remaining_ms": 0,
                        "seq": seq, "born": 1_700_000_000_000_u64,
                    });
                    store.put(
                        &format!("servers/{}", worker.id),
                        entry.to_string().as_bytes(),
                    );
                }
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
    }

    /// Starts a process; `bootstrap` as the platform sets it.
    fn spawn(&self, process: &mut Process, bootstrap: bool) -> Result<(), Failure> {
        let is_replica = process.role == "replica";
        let ip = process.ip;
        let data_dir = self
            .folder
            .join(format!("{}-disk-{}", process.name, process.disk));
        if is_replica {
            std::fs::create_dir_all(&data_dir)?;
        }
        let listen = match is_replica {
            true => json!({ "control": format!("{ip}:{CONTROL}") }),
            false => json!({ "front": format!("{ip}:{FRONT}"), "ready": format!("{ip}:{READY}") }),
        };
        let settings = json!({
            "node_name": process.name, "role": process.role,
            "machine_class": if is_replica { "store" } else { "front" },
            "serves": if is_replica { json!(["store", "control"]) } else { json!(["front"]) },
            "ip": ip.to_string(), "zone": process.zone, "region": "region",
            "zones": { "hall-a": "region", "hall-b": "region", "hall-c": "region" },
            "listen": listen, "internal_ports": INTERNAL, "seeds": self.seeds,
            "bootstrap": bootstrap, "in_fault_budget": is_replica,
            "limits": { "cpu_share": 0.2, "cores": 1, "memory_mb": if is_replica { 280 } else { 260 }, "max_fds": if is_replica { 8200 } else { 4100 }, "link_mbps": 1000.0,
                        "disk_mb": if is_replica { 390 } else { 0 } },
            "data_dir": is_replica.then(|| data_dir.display().to_string()),
            "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
            "fault_tolerance": { "machines": 1, "zones": 0, "regions": 0 },
            "bounds": { "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 6,
                "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                "rollback_slack_ms": 250, "max_skew_ms": 5000, "recovery_s": 12, "pass_ms": 120,
                "retry_after_s": 0, "finish_s": 10, "settle_ms": 1000 },
            "platform": { "address": self.store_addr.to_string(), "form": "kv", "writes_per_s": 400,
                "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000 },
        });
        let path = self.folder.join(format!("{}.json", process.name));
        std::fs::write(&path, settings.to_string())?;
        let words = command(process.role)?;
        let log = self.folder.join(format!("{}.txt", process.name));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(Path::new(&words[0]))
            .args(&words[1..])
            .env("FOXTAILWEIR_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.record.line(&format!(
            "{} starts at {ip}, disk {}",
            process.name, process.disk
        ));
        process.child = Some(child);
        Ok(())
    }

    /// Kills a process and waits for its end.
    async fn kill(&self, process: &mut Process) -> Result<(), Failure> {
        if let Some(mut child) = process.child.take() {
            child.start_kill()?;
            child.wait().await?;
            self.record.line(&format!("{} was killed", process.name));
        }
        Ok(())
    }

    /// Kills replica `index` and starts it with an empty disk at its old address after `down`.
    pub async fn lose_disk(&mut self, index: usize, down: Duration) -> Result<(), Failure> {
        let mut process = self.replicas.remove(index);
        let done = async {
            self.kill(&mut process).await?;
            tokio::time::sleep(down).await;
            process.disk += 1;
            self.spawn(&mut process, false)
        };
        let done = done.await;
        self.replicas.insert(index, process);
        done
    }

    /// Removes the machine of replica `index` for good; an empty one comes at another address after `later`.
    pub async fn replace_replica(&mut self, index: usize, later: Duration) -> Result<(), Failure> {
        let mut gone = self.replicas.remove(index);
        self.kill(&mut gone).await?;
        self.record.line(&format!("{} is gone for good", gone.name));
        tokio::time::sleep(later).await;
        let mut successor = Process {
            name: format!("store-{}-2", gone.zone),
            ip: self
                .spare_ip
                .take()
                .ok_or("no address is left for another machine")?,
            role: "replica",
            zone: gone.zone,
            disk: 1,
            child: None,
        };
        let done = self.spawn(&mut successor, false);
        self.replicas.insert(index, successor);
        done
    }

    /// Kills replica `index` and starts it with its disk after `down`.
    pub async fn restart_replica(&mut self, index: usize, down: Duration) -> Result<(), Failure> {
        let mut process = self.replicas.remove(index);
        let done = async {
            self.kill(&mut process).await?;
            tokio::time::sleep(down).await;
            self.spawn(&mut process, false)
        };
        let done = done.await;
        self.replicas.insert(index, process);
        done
    }

    /// Stops replica `index` as planned work does, with SIGTERM, and starts it again with its disk.
    pub async fn stop_and_start_replica(&mut self, index: usize) -> Result<(), Failure> {
        let mut process = self.replicas.remove(index);
        let done = async {
            let mut child = process.child.take().ok_or("the process is not running")?;
            let id = child.id().ok_or("the process has ended")?;
            let sent = Command::new("kill")
                .arg("-TERM")
                .arg(id.to_string())
                .status()
                .await?;
            if !sent.success() {
                return Err("the signal was not sent".into());
            }
            child.wait().await?;
            self.record.line(&format!("{} has stopped", process.name));
            self.spawn(&mut process, false)
        };
        let done = done.await;
        self.replicas.insert(index, process);
        done
    }

    /// Lets the platform's store refuse all calls from now on, or serve them again.
    pub fn refuse_store_calls(&self, refuse: bool) {
        self.store.set_fault(match refuse {
            true => store::Fault::Busy,
            false => store::Fault::None,
        });
        self.record
            .line(&format!("the platform's store refuses all calls: {refuse}"));
    }

    /// The system's list of members, as the platform's store holds it.
    pub fn member_list(&self) -> String {
        let value = self.store.value("foxtailweir/members").unwrap_or_default();
        String::from_utf8_lossy(&value).into_owned()
    }

    /// Kills entry `index`; it stays down until [`Self::start_entry`].
    pub async fn kill_entry(&mut self, index: usize) -> Result<(), Failure> {
        let mut process = self.entries.remove(index);
        let done = self.kill(&mut process).await;
        self.entries.insert(index, process);
        done
    }

    /// Starts entry `index` again, and waits until it is ready.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), Failure> {
        let mut process = self.entries.remove(index);
        let done = self.spawn(&mut process, false);
        self.entries.insert(index, process);
        done?;
        self.await_ready(index).await
    }

    async fn await_ready(&self, index: usize) -> Result<(), Failure> {
        for _ in 0..100 {
            if client::is_ready(self.entries[index].ready()).await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(format!("{} does not become ready", self.entries[index].name).into())
    }

    /// Whether all processes that should run do.
    pub fn check_running(&mut self) -> Result<(), Failure> {
        for process in self.replicas.iter_mut().chain(&mut self.entries) {
            if let Some(child) = &mut process.child
                && let Some(status) = child.try_wait()?
            {
                return Err(format!("{} has ended by itself: {status}", process.name).into());
            }
        }
        Ok(())
    }
}
