//! Recording the events of streams that may be taken up, and finding them again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;

use super::Client;
use crate::beginnings::{self, Extended};
use crate::{member, streams};

/// Longest wait for `f + 1` members to have an event on record. It usually takes 2 ms, and callers notice a
/// longer pause.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for the members' records of a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);
/// How often a stream's events are sent again to members that have lost them, by a restart or for lack of
/// room.
const MAX_RESENDS: usize = 8;

/// The record of a stream that this process writes.
#[derive(Debug)]
pub struct Recording {
    stream: streams::StreamId,
    author: beginnings::Author,
    events: Mutex<Vec<beginnings::Event>>,
    /// Number of events that were sent.
    sent: AtomicUsize,
    /// Whether `f + 1` members had the events when they were sent last.
    is_confirmed: AtomicBool,
    /// Whether the events can no longer be recorded.
    has_ended: AtomicBool,
    resends: AtomicUsize,
}

impl Recording {
    /// A record that begins with `events`.
    pub fn new(
        stream: streams::StreamId,
        author: beginnings::Author,
        events: Vec<beginnings::Event>,
    ) -> Arc<Self> {
        Arc::new(Self {
            stream,
            author,
            events: Mutex::new(events),
            sent: AtomicUsize::new(0),
            is_confirmed: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            resends: AtomicUsize::new(0),
        })
    }

    /// Adds an event, which is sent with the next [`Client::record_events`].
    pub fn add(&self, event: beginnings::Event) {
        if !self.has_ended.load(Ordering::Relaxed) {
            self.events.lock().push(event);
        }
    }

    /// The output of all events so far.
    pub fn output(&self) -> BytesMut {
        let events = self.events.lock();
        let mut output = BytesMut::new();
        for event in events.iter() {
            output.put_slice(&event.output);
        }
        output
    }

    fn extension(&self, after: usize) -> beginnings::Extend {
        let events = self.events.lock();
        beginnings::Extend {
            stream: self.stream.clone(),
            author: self.author,
            after,
            events: events.get(after..).unwrap_or_default().to_vec(),
        }
    }

    /// Stops recording; callers who take the stream up are refused then.
    fn end(&self, reason: &'static str) {
        if !self.has_ended.swap(true, Ordering::Relaxed) {
            metrics::counter!("fw_replica_recordings_ended_total", "reason" => reason).increment(1);
            tracing::info!(stream = %self.stream, reason, "the events of a stream are not recorded any more");
            *self.events.lock() = Vec::new();
        }
    }
}

impl Client {
    /// Sends the new events of `recording` to all members. Returns whether `f + 1` have all of its events on
    /// record; waits for that, unless they had not when events were sent last.
    pub async fn record_events(self: &Arc<Self>, recording: &Arc<Recording>) -> bool {
        if recording.has_ended.load(Ordering::Relaxed) {
            return false;
        }
        let count = recording.events.lock().len();
        let after = recording.sent.swap(count, Ordering::Relaxed);
        let (_, members) = self.members();
        let needed = member::Quorum::of(members.len(), self.faults).write;
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|&addr| {
                let (client, recording) = (Arc::clone(self), Arc::clone(recording));
                tokio::spawn(async move { client.extend_stream(addr, &recording, after).await })
            })
            .collect();
        let (own, recording) = (Arc::clone(recording), Arc::clone(recording));
        let confirmed = tokio::spawn(async move {
            let mut recorded = 0;
            while recorded < needed {
                match calls.next().await {
                    Some(Ok(true)) => recorded += 1,
                    Some(_) => {}
                    None => break,
                }
            }
            let is_confirmed = recorded >= needed;
            recording
                .is_confirmed
                .store(is_confirmed, Ordering::Relaxed);
            is_confirmed
        });
        if !own.is_confirmed.load(Ordering::Relaxed) {
            return false;
        }
        match tokio::time::timeout(CONFIRM_TIMEOUT, confirmed).await {
            Ok(confirmed) => confirmed.unwrap_or(false),
            Err(_) => {
                own.is_confirmed.store(false, Ordering::Relaxed);
                false
            }
        }
    }

    /// Sends the events from number `after` on to one member, and those before if it lacks some. Returns
    /// whether it has all of them.
    async fn extend_stream(&self, addr: SocketAddr, recording: &Recording, after: usize) -> bool {
        let mut after = after;
        loop {
            let req = recording.extension(after);
            let extended = self.links.call(addr, |client, cx| async move {
                client.extend_stream(cx, req).await
            });
            match extended.await {
                Some(Extended::Recorded) => return true,
                Some(Extended::Lacks(known)) if known < after => after = known,
                Some(Extended::Lacks(_) | Extended::Superseded) | None => return false,
                Some(Extended::TooLong) => {
                    recording.end("too_long");
                    return false;
                }
            }
            if recording.resends.fetch_add(1, Ordering::Relaxed) >= MAX_RESENDS {
                recording.end("resends");
                return false;
            }
        }
    }

    /// The newest beginning of `stream`; `None` if it is not on record, or if so few members answer that a
    /// newer one might be.
    pub async fn find_beginning(
        &self,
        stream: &streams::StreamId,
        last: &beginnings::EventId,
    ) -> Option<beginnings::Beginning> {
        let (_, members) = self.members();
        let needed = member::Quorum::of(members.len(), self.faults).absent;
        let calls = members.iter().map(|&addr| {
            let stream = stream.clone();
            self.links.call(addr, |client, cx| async move {
                client.find_beginning(cx, stream).await
            })
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let (mut answered, mut found) = (0, None::<beginnings::Beginning>);
        let search = async {
            while let Some(answer) = calls.next().await {
                let Some(answer) = answer else { continue };
                answered += 1;
                let generation = |found: &beginnings::Beginning| found.author.generation;
                let length = |found: &beginnings::Beginning| found.events.len();
                let rank = |found: &beginnings::Beginning| (generation(found), length(found));
                if answer.as_ref().map(rank) > found.as_ref().map(rank) {
                    found = answer;
                }
                let has_last = found.as_ref().is_some_and(|found| found.has(last));
                if answered >= needed && has_last {
                    return;
                }
            }
        };
        // What was found until then counts.
        let _ = tokio::time::timeout(FIND_TIMEOUT, search).await;
        found.filter(|_| answered >= needed)
    }
}
