//! TCP socket options that detect dead connections.

use std::io;
use std::time::Duration;

/// Idle time after which keep-alive probes are sent, and the time between probes. A connection may stop
/// delivering data permanently, without a reset, while new ones work; only unanswered probes detect this.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection fails.
pub const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged before the connection fails. This detects an
/// instance without power; a busy one acknowledges bytes even when it does not answer.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sets the options by which a dead connection fails within three seconds, and disables Nagle's
/// algorithm so that small messages are sent at once.
///
/// # Errors
///
/// When the operating system rejects an option.
pub fn set_options(socket: &socket2::SockRef<'_>) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}
