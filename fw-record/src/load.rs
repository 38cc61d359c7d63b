//! Reads all records from the store and watches them for changes.

use fw_store::client;
use fw_store::error::Error;
use fw_store::error::Result;
use fw_store::kv;
use fw_store::watch;

use crate::envelope;
use crate::holder;
use crate::key;
use crate::set;

/// Reads all records from the store.
///
/// For a record that cannot be parsed, the version in `previous` stays in force. If `previous` has
/// none, as in a process that has just started, the newest valid version in the record's history
/// comes into force.
///
/// # Errors
///
/// When the store does not answer.
pub async fn read_all(client: &client::Client, previous: &set::Set) -> Result<set::Set> {
    let found = client.range(&kv::Range::prefix(key::RECORDS)).await?;
    from_kvs(client, previous, &found.kvs).await
}

async fn from_kvs(
    client: &client::Client,
    previous: &set::Set,
    kvs: &[kv::Kv],
) -> Result<set::Set> {
    let mut set = previous.with_records(set::revision_of(kvs), kvs);
    for problem in set.problems().to_vec() {
        if set.version(&problem.name).is_none()
            && let Some(version) = last_good(client, &problem.name).await?
        {
            set = set.with_version(version);
        }
    }
    Ok(set)
}

/// The newest valid version in a record's history.
async fn last_good(client: &client::Client, name: &key::Name) -> Result<Option<set::Version>> {
    let found = client.range(&kv::Range::prefix(name.history())).await?;
    let newest_first = found.kvs.iter().rev();
    let mut versions = newest_first.filter_map(|kv| {
        let revision = name.history_revision(&kv.key)?;
        let doc = envelope::Envelope::document(name.clone(), &kv.value).ok()?;
        Some(set::Version { revision, doc })
    });
    Ok(versions.next())
}

/// Keeps `holder` up to date with the store, without end: one full read, then a watch.
///
/// One process of each place runs this; the others poll it for a newer set, and fetch one at once
/// when a message carries a newer revision. During a store outage the records in force stay
/// unchanged.
pub async fn follow(client: &client::Client, holder: &holder::Holder) {
    loop {
        if let Err(err) = follow_once(client, holder).await {
            tracing::debug!(%err, "restarting the watch of the records");
        }
        tokio::time::sleep(client.options().watch_backoff).await;
    }
}

/// Reads all records and applies their changes until the watch fails for good.
async fn follow_once(client: &client::Client, holder: &holder::Holder) -> Result<()> {
    let found = client.range(&kv::Range::prefix(key::RECORDS)).await?;
    holder.offer(from_kvs(client, &holder.current(), &found.kvs).await?);
    let mut watch = client.watch(key::RECORDS, found.revision + 1);
    loop {
        match watch.next().await {
            Ok(batch) => apply(holder, &batch),
            Err(err @ Error::Compacted { .. }) => return Err(err),
            Err(err) if watch.age() > client.options().watch_idle_timeout => {
                tracing::warn!(%err, age = ?watch.age(), "watch of the records keeps failing; reading all records");
                return Err(err);
            }
            // The watch resumes by itself once the store answers again.
            Err(err) => tracing::debug!(%err, "watch of the records failed; retrying"),
        }
    }
}

fn apply(holder: &holder::Holder, batch: &watch::Batch) {
    if batch.events.is_empty() {
        return;
    }
    let current = holder.current();
    if batch.revision > current.revision() {
        holder.offer(current.with_events(batch.revision, &batch.events));
    }
}
