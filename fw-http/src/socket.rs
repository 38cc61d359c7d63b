//! Options of TCP sockets.

use std::io;
use std::time::Duration;

/// Silence after which the other end is probed, and the pause between probes. A connection may go
/// silent for good, without a reset, while new ones work; only unanswered probes show it.
pub const PROBE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection fails.
pub const PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection fails. An instance without
/// power is known by that; a busy one acknowledges bytes whether it answers or not.
const UNACKED: Duration = Duration::from_millis(1_500);

/// Makes a connection that has gone silent fail within three seconds, and sends small messages at
/// once.
///
/// # Errors
///
/// When the system refuses an option.
pub fn watch_silence(socket: &socket2::SockRef<'_>) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKED))?;
    socket.set_tcp_nodelay(true)
}
