//! A way around a cut: an entry passes connections of another on to a replica.
//!
//! *Failure:* an entry is cut off from all replicas while callers, upstreams and other entries
//! reach it. It then could run no turn, and callers whose connections it holds would be refused
//! for as long as the cut lasts.
//!
//! A relay copies bytes, and only to addresses that are replicas'. The first seven bytes of a
//! connection name the replica: a version, four bytes of address, two of port. The relay answers
//! with one byte, the version, once it is connected to the replica: an entry that is cut off itself
//! accepts connections as well, and calls through it would end in silence.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use fw_http::socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::client;

/// Longest wait for a connection. Within a region one takes a millisecond; a replica that is cut
/// off must not hold up the quorum of the others.
const CONNECT: Duration = Duration::from_millis(300);
/// After which time without an answer another connection is tried: several times what one takes.
const ONE_TRY: Duration = Duration::from_millis(75);
/// Longest wait for a relay to be connected to the replica: a little longer than it tries.
const RELAYED: Duration = Duration::from_millis(350);
/// Longest wait for the name of the replica.
const NAMED: Duration = Duration::from_secs(1);
/// Version of the first bytes.
const VERSION: u8 = 1;

/// Connects to `addr`; `None` if that takes too long or fails.
///
/// *Failure:* a replica without power answers nothing, and the system sends the opening packet
/// again only after a second. Back meanwhile, the replica would be reached that much later. So
/// another connection is tried every [`ONE_TRY`].
pub async fn dial(addr: SocketAddr) -> Option<TcpStream> {
    let tries = async {
        loop {
            match tokio::time::timeout(ONE_TRY, TcpStream::connect(addr)).await {
                Ok(connected) => return connected.ok(),
                Err(_) => continue,
            }
        }
    };
    let stream = tokio::time::timeout(CONNECT, tries).await.ok()??;
    // Fails only on a socket that is closed, which the first call shows.
    let _ = socket::watch_silence(&socket2::SockRef::from(&stream));
    Some(stream)
}

/// Connects to the replica at `addr` by way of the entry whose relay is at `peer`; `None` if that
/// entry does not reach it either.
pub async fn dial_via(peer: SocketAddr, addr: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let mut stream = dial(peer).await?;
    let mut name = [VERSION, 0, 0, 0, 0, 0, 0];
    name[1..5].copy_from_slice(&addr.ip().octets());
    name[5..].copy_from_slice(&addr.port().to_be_bytes());
    stream.write_all(&name).await.ok()?;
    let relayed = tokio::time::timeout(RELAYED, stream.read_u8()).await;
    (relayed.ok()?.ok()? == VERSION).then_some(stream)
}

/// Passes connections on, for ever. Only replicas that `client` knows can be reached.
pub async fn serve(listener: TcpListener, client: Arc<client::Client>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(NAMED).await;
            continue;
        };
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            // Whichever end fails, the other learns by its connection being closed.
            let _ = pass_on(stream, &client).await;
        });
    }
}

async fn pass_on(mut from: TcpStream, client: &client::Client) -> Option<()> {
    let _ = socket::watch_silence(&socket2::SockRef::from(&from));
    let mut name = [0; 7];
    let read = tokio::time::timeout(NAMED, from.read_exact(&mut name)).await;
    read.ok()?.ok()?;
    let [version, a, b, c, d, high, low] = name;
    let port = u16::from_be_bytes([high, low]);
    let addr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port));
    if version != VERSION || !client.is_member(addr) {
        tracing::warn!(%addr, "asked to pass a connection on to what is no replica");
        return None;
    }
    let mut to = dial(addr).await?;
    from.write_u8(VERSION).await.ok()?;
    tokio::io::copy_bidirectional(&mut from, &mut to)
        .await
        .ok()?;
    Some(())
}
