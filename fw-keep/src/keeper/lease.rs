//! Keeps the entry's lease alive, and asks for another when it has lapsed.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_store::kv;

use crate::journal::keys;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::table::EntryValue;

/// Renewals within one lease: two may be lost before it lapses.
const RENEWALS_PER_LEASE: u32 = 3;

/// Shortest and longest pause before a call to a store that does not answer is made again. The
/// pause is drawn at random below a doubling bound, so that entries don't come back together.
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

/// Pauses that grow with each failure.
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
    // Writing the same value again does no harm, so a lost answer needs no look.
    inner.store.txn(&txn).await.ok()?;
    Some(lease.id)
}

async fn renew_until_lapsed(inner: &Inner, lease: kv::LeaseId) {
    let period = inner.opts.ttl / RENEWALS_PER_LEASE;
    loop {
        // Early by up to a tenth, so that entries started together drift apart.
        tokio::time::sleep(period - keeper::jitter(period / 10)).await;
        let sent = Instant::now();
        match inner.store.keep_alive(lease).await {
            Ok(renewed) => {
                inner.record_contact();
                inner.extend_lease_validity(sent + renewed.ttl);
                count("renewed");
            }
            Err(fw_store::error::Error::LeaseGone { .. }) => return,
            // Only the store can say that it lapsed: it may live on through the store's outage.
            Err(_) => count("unavailable"),
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(keeper::LEASES_TOTAL, "outcome" => outcome).increment(1);
}
