//! Finds the keeper of a shard and calls it, here or at another entry.
//!
//! The address of a keeper is a hint that the keeper itself checks when it is called. A stale hint
//! costs a redirect; it never makes two entries act on one program, because the keeper acts only
//! under its own lease and every commit compares the fencing number.

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

/// Counter of calls that had to look for the keeper again, by reason.
pub const REDIRECTS: &str = "fw_entry_redirects_total";

/// Pause before a keeper is looked for again.
const PAUSE: Duration = Duration::from_millis(50);

/// What one try brought.
#[derive(Debug)]
pub enum Tried<T> {
    /// The keeper's answer.
    Answered(T),
    /// The receiver does not keep the shard.
    NotKeeper,
}

/// Where a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// At this entry.
    Here,
    /// At the entry with this address.
    At(SocketAddr),
}

/// A call to a keeper.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long to look for a keeper: a little more than a dead one's lease.
    pub patience: Duration,
    /// Whether the call may be sent again after it may have been received.
    pub idempotent: bool,
}

/// Calls the keeper of `shard`: `here` if this entry keeps it, else `there` over a connection.
///
/// # Errors
///
/// `KeeperUnavailable` when no keeper is found in time: the call was not received by any.
/// `KeeperLost` when a keeper may have received it, and it is not idempotent or no other was found.
pub async fn call<T, H, R>(
    entry: &entry::Entry,
    shard: id::ShardId,
    options: Options,
    here: impl Fn() -> H,
    there: impl Fn(peer::PeerClient) -> R,
) -> Result<(Place, T), error::Error>
where
    H: Future<Output = Tried<T>>,
    R: Future<Output = Result<Tried<T>, client::RpcError>>,
{
    let opts = lookup::Options {
        timeout: options.patience.saturating_sub(PAUSE),
        outage_timeout: entry.settings.keeper.commit_wait,
        outage_after: entry.settings.keeper.lease_ttl * 2 / 3,
    };
    let started = tokio::time::Instant::now();
    let mut received = None;
    loop {
        let miss = match entry.keeper.owner(shard) {
            keeper::Owner::Local => match here().await {
                Tried::Answered(answer) => return Ok((Place::Here, answer)),
                Tried::NotKeeper => lookup::Miss::NoLongerKeeper,
            },
            keeper::Owner::Remote { address, .. } => {
                match elsewhere(entry, &address, &there).await {
                    Ok((place, Tried::Answered(answer))) => return Ok((place, answer)),
                    Ok((_, Tried::NotKeeper)) => lookup::Miss::NotKeeper,
                    Err(pool::Failure::Refused) => lookup::Miss::ConnectionRefused,
                    Err(pool::Failure::Unsent) => lookup::Miss::Unreachable,
                    Err(pool::Failure::Broken) => {
                        let idempotent = options.idempotent;
                        tracing::warn!(entry = %entry.id, shard, %address, idempotent, "the connection to a keeper broke under a call");
                        if !idempotent {
                            return Err(lost());
                        }
                        received = Some(lost());
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
        tokio::time::sleep(PAUSE).await;
    }
}

/// The error of a call whose keeper may have received it and is gone.
pub fn lost() -> error::Error {
    let message = "the program's keeper broke off; ask for the program's turn before sending again";
    error::Error::new(error::Kind::KeeperLost, message)
}

async fn elsewhere<T, R>(
    entry: &entry::Entry,
    address: &str,
    there: impl Fn(peer::PeerClient) -> R,
) -> Result<(Place, Tried<T>), pool::Failure>
where
    R: Future<Output = Result<Tried<T>, client::RpcError>>,
{
    // An address that is none was written by no entry of ours.
    let address = address.parse().map_err(|_| pool::Failure::Unsent)?;
    let tried = entry.peers.call(address, there).await?;
    Ok((Place::At(address), tried))
}
