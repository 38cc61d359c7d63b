//! TCP transport of the tarpc services.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::client::NewClient;
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};

use crate::peer;
use crate::side;

/// Maximum message size, in bytes. A history of 750,000 tokens is about 4 MB of text, and JSON escapes
/// may double it.
pub const MAX_FRAME: usize = 32 << 20;

/// A client and the state of its connection.
#[derive(Clone, Debug)]
pub struct Connected<C> {
    /// The client to call.
    pub client: C,
    dispatch: AbortHandle,
}

impl<C> Connected<C> {
    /// Whether the connection is not known to have ended. A call over one that has ended is not sent.
    pub fn is_open(&self) -> bool {
        !self.dispatch.is_finished()
    }

    fn spawn<D>(new: NewClient<C, D>) -> Self
    where
        D: Future + Send + 'static,
        D::Output: Send,
    {
        let NewClient { client, dispatch } = new;
        let dispatch = tokio::spawn(dispatch).abort_handle();
        Self { client, dispatch }
    }
}

/// Connects to a side.
///
/// # Errors
///
/// When no connection is made within `timeout`.
pub async fn connect_side(
    addr: SocketAddr,
    timeout: Duration,
) -> io::Result<Connected<side::SideClient>> {
    let mut connect = tarpc::serde_transport::tcp::connect(addr, Json::default);
    connect.config_mut().max_frame_length(MAX_FRAME);
    let transport = tokio::time::timeout(timeout, connect).await??;
    set_nodelay(transport.get_ref());
    let new = side::SideClient::new(tarpc::client::Config::default(), transport);
    Ok(Connected::spawn(new))
}

/// Connects to another entry.
///
/// # Errors
///
/// When no connection is made within `timeout`.
pub async fn connect_peer(
    addr: SocketAddr,
    timeout: Duration,
) -> io::Result<Connected<peer::PeerClient>> {
    let mut connect = tarpc::serde_transport::tcp::connect(addr, Json::default);
    connect.config_mut().max_frame_length(MAX_FRAME);
    let transport = tokio::time::timeout(timeout, connect).await??;
    set_nodelay(transport.get_ref());
    let new = peer::PeerClient::new(tarpc::client::Config::default(), transport);
    Ok(Connected::spawn(new))
}

/// Disables Nagle's algorithm. Otherwise the second of two small messages waits until the peer has
/// acknowledged the first, which takes up to 40 ms.
fn set_nodelay(socket: &TcpStream) {
    // This fails only on a closed socket, which the next message detects.
    let _ = socket.set_nodelay(true);
}

/// A context whose deadline is `timeout` from now.
pub fn context(timeout: Duration) -> tarpc::context::Context {
    let mut cx = tarpc::context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

/// One accepted connection.
pub type Framed<Req, Resp> = tarpc::serde_transport::Transport<
    TcpStream,
    ClientMessage<Req>,
    Response<Resp>,
    Json<ClientMessage<Req>, Response<Resp>>,
>;

/// The server end of a connection from an entry to a side.
pub type SideTransport = Framed<side::SideRequest, side::SideResponse>;

/// The server end of a connection from one entry to another.
pub type PeerTransport = Framed<peer::PeerRequest, peer::PeerResponse>;

/// Accepts connections on `listener` and runs `handle` for each, until the returned future is dropped,
/// which also closes the connections.
///
/// `handle` builds its channel itself, because the compiler can prove that a service's futures are
/// `Send` only where the service's type is known:
///
/// ```ignore
/// transport::accept(listener, |connection: transport::SideTransport| {
///     server::BaseChannel::with_defaults(connection)
///         .execute(service.clone().serve())
///         .for_each_concurrent(None, |answer| answer)
/// })
/// ```
pub async fn accept<Req, Resp, F, Fut>(listener: TcpListener, handle: F)
where
    Req: DeserializeOwned,
    Resp: Serialize,
    F: Fn(Framed<Req, Resp>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let listening = tarpc::serde_transport::tcp::listen_on(listener, Json::default).await;
    let Ok(mut incoming) = listening else {
        return;
    };
    incoming.config_mut().max_frame_length(MAX_FRAME);
    let mut connections = JoinSet::new();
    while let Some(accepted) = incoming.next().await {
        // A peer that closes its connection before it is accepted does not affect the others.
        let Ok(transport) = accepted else { continue };
        set_nodelay(transport.get_ref());
        connections.spawn(handle(transport));
        while connections.try_join_next().is_some() {}
    }
}
