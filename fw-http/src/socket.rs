//! Options of TCP sockets.

use std::io;
use std::time::Duration;

/// Silence after which the other end is probed, and the pause between probes. A connection may go
/// silent for good, without a reset, while new ones work; only unanswered probes show it.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection fails.
pub const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection fails. An instance without
/// power is known by that; a busy one acknowledges bytes whether it answers or not.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes a connection that has gone silent fail within three seconds, and sends small messages at
/// once.
///
/// # Errors
///
/// When the system refuses an option.
pub fn set_options(socket: &socket2::SockRef<'_>) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}
