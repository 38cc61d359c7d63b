//! The journal's writer thread, which groups many records into one sync.
//!
//! A write or sync waits for the disk, for seconds if it stalls. On a thread of its own it delays
//! no reply that needs no disk. All records that arrive during one sync share the next.

use std::thread;

use tokio::sync::{mpsc, oneshot};

use crate::{journal, record};

/// Most records that share a sync. Bounds the buffer to some hundred kilobytes.
const MAX_BATCH: usize = 128;
/// Most records that wait for the disk; further ones are refused as if the disk had failed.
const MAX_QUEUED: usize = 4_096;

enum Job {
    Store {
        record: record::Record,
        done: oneshot::Sender<Option<journal::Place>>,
    },
    Remove {
        segment: journal::SegmentId,
        done: oneshot::Sender<bool>,
    },
}

/// Handle of the writer thread.
#[derive(Clone, Debug)]
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl std::fmt::Debug for Job {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Job").finish_non_exhaustive()
    }
}

impl Writer {
    /// Starts the thread. It ends when the last handle is dropped.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn start(journal: journal::Journal) -> std::io::Result<Self> {
        let (jobs, rx) = mpsc::channel(MAX_QUEUED);
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(128 << 10)
            .spawn(move || run(journal, rx))?;
        Ok(Self { jobs })
    }

    /// Stores `record`; returns its place once it is on disk, or `None` if the disk refused it.
    pub async fn store(&self, record: record::Record) -> Option<journal::Place> {
        let (done, stored) = oneshot::channel();
        // A full queue means that the disk has stalled for seconds.
        self.jobs.try_send(Job::Store { record, done }).ok()?;
        stored.await.ok()?
    }

    /// Removes a segment; returns whether that succeeded.
    pub async fn remove(&self, segment: journal::SegmentId) -> bool {
        let (done, removed) = oneshot::channel();
        let job = Job::Remove { segment, done };
        self.jobs.try_send(job).is_ok() && removed.await.unwrap_or(false)
    }
}

fn run(mut journal: journal::Journal, mut jobs: mpsc::Receiver<Job>) {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while jobs.blocking_recv_many(&mut batch, MAX_BATCH) > 0 {
        let mut records = Vec::with_capacity(batch.len());
        let mut waiting = Vec::with_capacity(batch.len());
        for job in batch.drain(..) {
            match job {
                Job::Store { record, done } => {
                    records.push(record);
                    waiting.push(done);
                }
                Job::Remove { segment, done } => {
                    // A caller that is gone needs no reply.
                    let _ = done.send(remove(&mut journal, segment));
                }
            }
        }
        if !records.is_empty() {
            write(&mut journal, &records, waiting);
        }
    }
}

fn remove(journal: &mut journal::Journal, segment: journal::SegmentId) -> bool {
    match journal.remove(segment) {
        Ok(()) => true,
        Err(err) => {
            count_error();
            tracing::error!(%err, segment, "a journal segment could not be removed");
            false
        }
    }
}

/// Appends `records` and replies to each waiting caller.
fn write(
    journal: &mut journal::Journal,
    records: &[record::Record],
    waiting: Vec<oneshot::Sender<Option<journal::Place>>>,
) {
    let places = journal.append(records).unwrap_or_else(|err| {
        count_error();
        tracing::error!(%err, records = records.len(), "the disk refused records");
        vec![None; records.len()]
    });
    for (done, place) in waiting.into_iter().zip(places) {
        // A caller that is gone needs no reply.
        let _ = done.send(place);
    }
}

fn count_error() {
    metrics::counter!("fw_replica_disk_errors_total").increment(1);
}
