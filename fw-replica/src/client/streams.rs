//! Origins of streams.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::Client;
use crate::{service, streams};

/// Longest wait for the members that do not answer while none of the others has the stream on record.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);

impl Client {
    /// Reports the origin of a stream to all members in the background. Whoever looks for a
    /// stream asks all of them, and one that has it is enough.
    pub fn record_stream(self: &Arc<Self>, begun: &service::StreamBegun) {
        let (_, members) = self.members();
        for addr in members {
            let (client, begun) = (Arc::clone(self), begun.clone());
            tokio::spawn(async move {
                let call = client.links.call(addr, |client, cx| async move {
                    client.record_stream(cx, begun).await
                });
                if call.await.is_none() {
                    metrics::counter!("fw_replica_unsent_total").increment(1);
                }
            });
        }
    }

    /// The origin of `stream`; `None` if no member that answers in time has it on record.
    pub async fn find_stream(&self, stream: &streams::StreamId) -> Option<streams::Origin> {
        let (_, members) = self.members();
        let calls = members.into_iter().map(|addr| {
            let stream = stream.clone();
            self.links.call(addr, |client, cx| async move {
                client.find_stream(cx, stream).await
            })
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let found = async {
            while let Some(answer) = calls.next().await {
                if let Some(Some(origin)) = answer {
                    return Some(origin);
                }
            }
            None
        };
        // After a timeout it counts as unknown.
        tokio::time::timeout(FIND_TIMEOUT, found).await.ok()?
    }
}
