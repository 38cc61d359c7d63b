//! Relaying of connections to replicas by other entries during a network partition.
//!
//! *Failure:* an entry is partitioned from all replicas while callers, upstreams and other entries
//! reach it. Without a relay it can run no turn, and callers whose connections it holds are refused
//! for as long as the partition lasts.
//!
//! A relay copies bytes, and only to addresses of replicas. The first seven bytes of a connection
//! name the target: a version, four bytes of address, two of port. The relay replies with one byte,
//! the version, once it is connected to the replica: an entry that is partitioned itself accepts
//! connections as well, and calls through it would time out.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use fw_http::socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::client;

/// Longest wait for a connection. Within a region one takes a millisecond; an unreachable replica
/// must not delay the quorum of the others.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which another connection is attempted: several times what one takes.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(75);
/// Longest wait for a relay to connect to the replica: a little more than [`CONNECT_TIMEOUT`].
const RELAY_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for the header that names the replica.
const TARGET_TIMEOUT: Duration = Duration::from_secs(1);
/// Version of the header.
const VERSION: u8 = 1;

/// Connects to `addr`; `None` if that fails or times out.
///
/// *Failure:* a replica without power answers nothing, and the kernel resends the SYN packet only
/// after a second. A replica that is back sooner would be reached that much later. So another
/// connection is attempted every [`ATTEMPT_TIMEOUT`].
pub async fn dial(addr: SocketAddr) -> Option<TcpStream> {
    let tries = async {
        loop {
            match tokio::time::timeout(ATTEMPT_TIMEOUT, TcpStream::connect(addr)).await {
                Ok(connected) => return connected.ok(),
                Err(_) => continue,
            }
        }
    };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, tries).await.ok()??;
    // Fails only on a closed socket, which the first call reports.
    let _ = socket::set_options(&socket2::SockRef::from(&stream));
    Some(stream)
}

/// Connects to the replica at `addr` through the relay at `peer`; `None` if the relay does not
/// reach it either.
pub async fn dial_via(peer: SocketAddr, addr: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let mut stream = dial(peer).await?;
    let mut header = [VERSION, 0, 0, 0, 0, 0, 0];
    header[1..5].copy_from_slice(&addr.ip().octets());
    header[5..].copy_from_slice(&addr.port().to_be_bytes());
    stream.write_all(&header).await.ok()?;
    let relayed = tokio::time::timeout(RELAY_TIMEOUT, stream.read_u8()).await;
    (relayed.ok()?.ok()? == VERSION).then_some(stream)
}

/// Relays connections until dropped, to replicas on the member list of `client` only.
pub async fn serve(listener: TcpListener, client: Arc<client::Client>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(TARGET_TIMEOUT).await;
            continue;
        };
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            // Whichever end fails, the other sees its connection closed.
            let _ = forward(stream, &client).await;
        });
    }
}

async fn forward(mut from: TcpStream, client: &client::Client) -> Option<()> {
    let _ = socket::set_options(&socket2::SockRef::from(&from));
    let mut header = [0; 7];
    let read = tokio::time::timeout(TARGET_TIMEOUT, from.read_exact(&mut header)).await;
    read.ok()?.ok()?;
    let [version, a, b, c, d, high, low] = header;
    let port = u16::from_be_bytes([high, low]);
    let addr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port));
    if version != VERSION || !client.is_member(addr) {
        tracing::warn!(%addr, "refused to relay a connection to an address that is not a replica's");
        return None;
    }
    let mut to = dial(addr).await?;
    from.write_u8(VERSION).await.ok()?;
    tokio::io::copy_bidirectional(&mut from, &mut to)
        .await
        .ok()?;
    Some(())
}
