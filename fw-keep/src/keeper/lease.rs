//! Renews the entry's lease, and acquires a new one when it has lapsed.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_store::kv;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::table::EntryValue;

/// Renewals per lease TTL: two may be lost before the lease lapses.
const RENEWALS_PER_LEASE: u32 = 3;

/// Minimum and maximum bound of the pause before a failed call to the store is retried. The pause is
/// drawn at random below a doubling bound, so that entries do not retry in step.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

pub(super) async fn run(inner: Arc<Inner>) {
    loop {
        let lease = acquire_lease(&inner).await;
        inner.lease.send_replace(lease);
        tracing::info!(entry = %inner.opts.entry, lease, "lease granted");
        renew_until_lapsed(&inner, lease).await;
        count("lapsed");
        tracing::warn!(entry = %inner.opts.entry, lease, "lease lapsed");
        inner.lease.send_replace(0);
        inner.invalidate_ownership();
    }
}

/// Exponential backoff with jitter.
pub(super) struct Backoff {
    bound: Duration,
}

impl Backoff {
    pub(super) fn new() -> Self {
        Self { bound: MIN_BACKOFF }
    }

    pub(super) async fn pause(&mut self) {
        tokio::time::sleep(self.bound / 2 + keeper::jitter(self.bound / 2)).await;
        self.bound = (self.bound * 2).min(MAX_BACKOFF);
    }
}

async fn acquire_lease(inner: &Inner) -> kv::LeaseId {
    let mut backoff = Backoff::new();
    loop {
        if let Some(lease) = try_grant(inner).await {
            count("granted");
            return lease;
        }
        count("unavailable");
        backoff.pause().await;
    }
}

async fn try_grant(inner: &Inner) -> Option<kv::LeaseId> {
    let sent = Instant::now();
    let lease = inner.store.grant(inner.opts.ttl).await.ok()?;
    inner.record_contact();
    inner.extend_lease_validity(sent + lease.ttl);
    if inner.is_closing() {
        return Some(lease.id);
    }
    let value = EntryValue {
        address: inner.opts.address.clone(),
        keeps: inner.opts.keeps,
    };
    let put = kv::Op::Put {
        key: keys::entry(&inner.opts.root, &inner.opts.entry),
        value: serde_json::to_vec(&value).ok()?,
        lease: lease.id,
    };
    let txn = kv::Txn {
        then: vec![put],
        ..kv::Txn::default()
    };
    // The write is idempotent, so a lost answer needs no check.
    inner.store.txn(&txn).await.ok()?;
    Some(lease.id)
}

async fn renew_until_lapsed(inner: &Inner, lease: kv::LeaseId) {
    let period = inner.opts.ttl / RENEWALS_PER_LEASE;
    loop {
        // Early by up to a tenth, so that entries that start together do not renew in step.
        tokio::time::sleep(period - keeper::jitter(period / 10)).await;
        let sent = Instant::now();
        match inner.store.keep_alive(lease).await {
            Ok(renewed) => {
                inner.record_contact();
                inner.extend_lease_validity(sent + renewed.ttl);
                count("renewed");
            }
            Err(fw_store::error::Error::LeaseGone { .. }) => return,
            // Only the store decides that a lease has lapsed: it may survive the store's outage.
            Err(_) => count("unavailable"),
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(keeper::LEASES_TOTAL, "outcome" => outcome).increment(1);
}
