//! The thread that writes the journal, many records with one sync.
//!
//! A write or sync waits for the disk, seconds if it stalls; on a thread of its own it stops no
//! answer that needs no disk. All records that arrive during one sync share the next.

use std::thread;

use tokio::sync::{mpsc, oneshot};

use crate::{journal, record};

/// Most records that share a sync. Bounds the buffer to some hundred kilobytes.
const MOST_TOGETHER: usize = 128;
/// Most records that wait for the disk; beyond that the caller is told that the disk fails.
const MOST_WAITING: usize = 4_096;

struct Job {
    record: record::Record,
    done: oneshot::Sender<Option<journal::Place>>,
}

/// Hands records to the thread.
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
        let (jobs, rx) = mpsc::channel(MOST_WAITING);
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(128 << 10)
            .spawn(move || run(journal, rx))?;
        Ok(Self { jobs })
    }

    /// Stores `record`; its place once it is on disk, or `None` if the disk refused it.
    pub async fn store(&self, record: record::Record) -> Option<journal::Place> {
        let (done, stored) = oneshot::channel();
        // A full queue means that the disk has stood still for seconds.
        self.jobs.try_send(Job { record, done }).ok()?;
        stored.await.ok()?
    }
}

fn run(mut journal: journal::Journal, mut jobs: mpsc::Receiver<Job>) {
    let mut batch = Vec::with_capacity(MOST_TOGETHER);
    while jobs.blocking_recv_many(&mut batch, MOST_TOGETHER) > 0 {
        write(&mut journal, &mut batch);
    }
}

/// Writes all of `batch` and tells each waiting caller.
fn write(journal: &mut journal::Journal, batch: &mut Vec<Job>) {
    let mut frames = Vec::new();
    let mut lens = Vec::with_capacity(batch.len());
    for job in batch.iter() {
        match journal::encode(&job.record, &mut frames) {
            Ok(len) => lens.push(Some(len)),
            Err(err) => {
                tracing::error!(%err, "a record cannot be encoded");
                lens.push(None);
            }
        }
    }
    let start = match journal.append(&frames) {
        Ok(start) => Some(start),
        Err(err) => {
            metrics::counter!("fw_replica_disk_errors_total").increment(1);
            tracing::error!(%err, records = batch.len(), "the disk refused records");
            None
        }
    };
    let head = journal::HEAD as u64;
    let mut at = start;
    for (job, len) in batch.drain(..).zip(lens) {
        let place = match (at, len) {
            (Some(offset), Some(len)) => {
                at = Some(offset + head + len as u64);
                Some(journal::Place {
                    at: offset + head,
                    len: len as u32,
                })
            }
            _ => None,
        };
        // A caller that has gone needs no answer.
        let _ = job.done.send(place);
    }
}
