//! Calls to the keeper of a shard, at this entry or at another one.
//!
//! The cached address of a keeper is a hint that the callee verifies. A stale hint costs a redirect,
//! but never lets two entries act on one program: a keeper acts only under its own lease, and every
//! commit compares the fencing number.

use std::net::SocketAddr;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_keep::keeper;
use fw_plan::lookup;
use fw_wire::peer;
use tarpc::client;

use super::entry;
use crate::connection::pool;

/// Counter of repeated lookups of a keeper, by reason.
pub const REDIRECTS: &str = "fw_entry_redirects_total";

/// Delay before a keeper is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Outcome of one try of a call.
#[derive(Debug)]
pub enum CallOutcome<T> {
    /// The keeper answered.
    Answered(T),
    /// The receiver does not keep the shard.
    NotKeeper,
}

/// The entry that answered a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// This entry.
    Local,
    /// The entry at this address.
    Remote(SocketAddr),
}

/// Options of a call to a keeper.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long to look for a keeper: somewhat longer than the lease of a dead one.
    pub timeout: Duration,
    /// Whether the call may be sent again after it may have been received.
    pub idempotent: bool,
}

/// Calls the keeper of `shard`: `local` if this entry keeps it, else `remote` over a connection.
///
/// # Errors
///
/// `KeeperUnavailable` when no keeper is found in time: none has received the call.
/// `KeeperLost` when a keeper may have received it, and the call is not idempotent or no other keeper
/// was found.
pub async fn call<T, H, R>(
    entry: &entry::Entry,
    shard: id::ShardId,
    options: Options,
    local: impl Fn() -> H,
    remote: impl Fn(peer::PeerClient) -> R,
) -> Result<(Location, T), error::Error>
where
    H: Future<Output = CallOutcome<T>>,
    R: Future<Output = Result<CallOutcome<T>, client::RpcError>>,
{
    let opts = lookup::Options {
        timeout: options.timeout.saturating_sub(RETRY_DELAY),
        outage_timeout: entry.settings.keeper.commit_wait,
        outage_after: entry.settings.keeper.lease_ttl * 2 / 3,
    };
    let started = tokio::time::Instant::now();
    let mut received = None;
    loop {
        let miss = match entry.keeper.owner(shard) {
            keeper::Owner::Local => match local().await {
                CallOutcome::Answered(answer) => return Ok((Location::Local, answer)),
                CallOutcome::NotKeeper => lookup::Miss::NoLongerKeeper,
            },
            keeper::Owner::Remote { address, .. } => {
                match call_remote(entry, &address, &remote).await {
                    Ok((location, CallOutcome::Answered(answer))) => return Ok((location, answer)),
                    Ok((_, CallOutcome::NotKeeper)) => lookup::Miss::NotKeeper,
                    Err(pool::Failure::Refused) => lookup::Miss::ConnectionRefused,
                    Err(pool::Failure::Unsent) => lookup::Miss::Unreachable,
                    Err(pool::Failure::Broken) => {
                        let idempotent = options.idempotent;
                        tracing::warn!(entry = %entry.id, shard, %address, idempotent, "the connection to a keeper broke during a call");
                        if !idempotent {
                            return Err(keeper_lost());
                        }
                        received = Some(keeper_lost());
                        lookup::Miss::ConnectionBroken
                    }
                }
            }
            keeper::Owner::Vacant => lookup::Miss::NoKeeper,
        };
        let reason = miss.label();
        metrics::counter!(REDIRECTS, "reason" => reason).increment(1);
        let (waited, silence) = (started.elapsed(), entry.keeper.time_since_contact());
        if !lookup::should_retry(miss, waited, silence, &opts) {
            let may_have_run = received.is_some();
            tracing::warn!(entry = %entry.id, shard, reason, ?waited, ?silence, may_have_run, "no keeper was found in time");
            return Err(entry.keeper.unavailable_error().merge_earlier(received));
        }
        entry.keeper.prioritize(shard);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// The error of a call that a keeper may have received before the connection to it broke.
pub fn keeper_lost() -> error::Error {
    let message = "the program's keeper was lost during the call; query the program's turn before sending again";
    error::Error::new(error::Kind::KeeperLost, message)
}

async fn call_remote<T, R>(
    entry: &entry::Entry,
    address: &str,
    remote: impl Fn(peer::PeerClient) -> R,
) -> Result<(Location, CallOutcome<T>), pool::Failure>
where
    R: Future<Output = Result<CallOutcome<T>, client::RpcError>>,
{
    // An address that does not parse was not written by an entry.
    let address = address.parse().map_err(|_| pool::Failure::Unsent)?;
    let outcome = entry.peers.call(address, remote).await?;
    Ok((Location::Remote(address), outcome))
}
