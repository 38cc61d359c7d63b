//! The rate limit on log lines in a log storm.

use std::io::Write;
use std::sync::{Arc, Mutex};

use foxtailweir::budget::Budget;
use googletest::prelude::*;
use tracing_subscriber::layer::{Layer, SubscriberExt};

/// The written log lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn rare_lines_are_kept_in_a_storm() {
    // When an entry is partitioned from the replicas, each of a thousand calls per second logs its
    // failure. Without the limit these lines fill the writer's queue, and the one that gives the
    // cause is dropped.
    let lines = Lines::default();
    let writer = lines.clone();
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(move || writer.clone())
        .with_filter(Budget::new(3));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, || {
        for call in 0..1_000 {
            tracing::info!(call, "a call failed");
        }
        tracing::warn!("cut off");
    });
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    expect_that!(text.matches("a call failed").count(), eq(3));
    expect_that!(text.matches("cut off").count(), eq(1));
}
