//! Reads the watch of the table on a task of its own.
//!
//! *Failure:* the watch was read between two groups of shards that were taken, one message at a time,
//! while each group made a message of its own. The entry was behind for as long as it took shards, and one
//! that a call waited for did not look free before the last group.

use std::time::Duration;

use fw_store::error::Error;
use fw_store::watch::Batch;
use fw_store::watch::Watch;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Messages that may wait; beyond that the watch is not read.
const WAITING: usize = 1_024;

/// What the watch has told.
pub(super) enum News {
    /// Changes, or that there were none.
    Batch(Batch),
    /// It broke or could not be opened, with a table of this age. It tries again.
    Failed { err: Error, age: Duration },
    /// It cannot go on: the table is to be read anew.
    Outdated { err: Error, age: Duration },
}

/// A watch that is read until this is dropped.
pub(super) struct Feed {
    news: mpsc::Receiver<News>,
    _task: JoinSet<()>,
}

impl Feed {
    /// Reads `watch` until what it follows is older than `max_age` and it fails. Pauses for `pause` after
    /// a failure.
    pub(super) fn new(watch: Watch, max_age: Duration, pause: Duration) -> Self {
        let (tx, news) = mpsc::channel(WAITING);
        let mut task = JoinSet::new();
        task.spawn(read(watch, max_age, pause, tx));
        Self { news, _task: task }
    }

    /// The next news; `None` after [`News::Outdated`].
    pub(super) async fn next(&mut self) -> Option<News> {
        self.news.recv().await
    }
}

async fn read(mut watch: Watch, max_age: Duration, pause: Duration, tx: mpsc::Sender<News>) {
    loop {
        let news = match watch.next().await {
            Ok(batch) => News::Batch(batch),
            Err(err) => failed(err, watch.age(), max_age),
        };
        let is_over = matches!(news, News::Outdated { .. });
        let has_failed = matches!(news, News::Failed { .. });
        if tx.send(news).await.is_err() || is_over {
            return;
        }
        if has_failed {
            tokio::time::sleep(pause).await;
        }
    }
}

fn failed(err: Error, age: Duration, max_age: Duration) -> News {
    let is_compacted = matches!(err, Error::Compacted { .. });
    if is_compacted || age > max_age {
        News::Outdated { err, age }
    } else {
        News::Failed { err, age }
    }
}
