//! Settings files for processes that are started manually.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;

use ini::EscapePolicy;
use ini::Ini;

/// The place of all processes.
pub const PLACE: &str = "hall-a";

/// An entry's settings file and listen addresses.
pub struct Entry {
    /// The file.
    pub file: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// A side's settings file and listen addresses.
pub struct Side {
    /// The file.
    pub file: PathBuf,
    /// Address for entries.
    pub calls: SocketAddr,
    /// Address for plain HTTP requests.
    pub http: SocketAddr,
}

/// The upstream of a side.
pub struct Upstream {
    /// Its name.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// `llm` or `plain`.
    pub kind: &'static str,
    /// Its listen address.
    pub addr: SocketAddr,
    /// Most calls that it runs in one batch; 0 if unknown.
    pub batch: usize,
}

/// Writes the settings of an entry.
///
/// # Errors
///
/// When no port is free or the file cannot be written.
pub fn entry(folder: &Path, store: &str, instances: &str) -> io::Result<Entry> {
    let [callers, peers, admin] = free_addrs()?;
    let mut ini = Ini::new();
    ini.with_section(Some("instance")).set("place", PLACE);
    ini.with_section(Some("listen"))
        .set("callers", callers.to_string())
        .set("peers", peers.to_string())
        .set("admin", admin.to_string());
    ini.with_section(Some("store")).set("endpoints", store);
    ini.with_section(Some("platform"))
        .set("instances", format!("http://{instances}/instances"));
    let file = write(&ini, folder, "entry")?;
    Ok(Entry {
        file,
        callers,
        admin,
    })
}

/// Writes the settings of a side.
///
/// # Errors
///
/// When no port is free or the file cannot be written.
pub fn side(folder: &Path, upstream: &Upstream) -> io::Result<Side> {
    let [calls, http] = free_addrs()?;
    let mut ini = Ini::new();
    ini.with_section(Some("instance"))
        .set("id", &upstream.id)
        .set("service", upstream.service)
        .set("place", PLACE);
    ini.with_section(Some("listen"))
        .set("calls", calls.to_string())
        .set("http", http.to_string());
    ini.with_section(Some("engine"))
        .set("kind", upstream.kind)
        .set("address", upstream.addr.to_string())
        .set("batch", upstream.batch.to_string());
    let file = write(&ini, folder, &upstream.id)?;
    Ok(Side { file, calls, http })
}

fn write(ini: &Ini, folder: &Path, name: &str) -> io::Result<PathBuf> {
    let file = folder.join(format!("{name}.ini"));
    // The binaries read values without unescaping: an escaped `:` would become part of an address.
    ini.write_to_file_policy(&file, EscapePolicy::Nothing)?;
    Ok(file)
}

/// Returns addresses with free ports. Another process could bind one before the process meant for
/// it starts, which then reports the error.
fn free_addrs<const N: usize>() -> io::Result<[SocketAddr; N]> {
    let mut listeners = Vec::with_capacity(N);
    for _ in 0..N {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let mut addrs = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for (addr, listener) in addrs.iter_mut().zip(&listeners) {
        *addr = listener.local_addr()?;
    }
    Ok(addrs)
}
