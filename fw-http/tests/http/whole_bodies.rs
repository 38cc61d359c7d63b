//! Bodies that are read whole.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use fw_http::{NoRoom, Room};
use googletest::prelude::*;
use http_body_util::LengthLimitError;
use hyper::body::{Body, Frame};

/// Data of a frame, which counts the frames that are held.
struct Data(Arc<AtomicUsize>);

impl AsRef<[u8]> for Data {
    fn as_ref(&self) -> &[u8] {
        b"x"
    }
}

impl Drop for Data {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body of frames of one byte each.
struct Frames {
    left: VecDeque<()>,
    held: Arc<AtomicUsize>,
    most_held: Arc<AtomicUsize>,
}

impl Frames {
    fn new(count: usize) -> Self {
        Self {
            left: vec![(); count].into(),
            held: Arc::default(),
            most_held: Arc::default(),
        }
    }
}

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        let frame = self.left.pop_front().map(|()| {
            let held = self.held.fetch_add(1, Ordering::Relaxed) + 1;
            self.most_held.fetch_max(held, Ordering::Relaxed);
            let data = Bytes::from_owner(Data(Arc::clone(&self.held)));
            Ok(Frame::data(data))
        });
        Poll::Ready(frame)
    }
}

// Guards against a body of small chunks that takes many times its length in memory.
#[gtest]
#[tokio::test]
async fn hold_no_frames() {
    let frames = Frames::new(10_000);
    let most_held = Arc::clone(&frames.most_held);
    let whole = fw_http::read_whole(frames, 10_000, &mut fw_http::Unlimited)
        .await
        .unwrap();
    expect_that!(whole.len(), eq(10_000));
    expect_that!(most_held.load(Ordering::Relaxed), le(2));
}

#[gtest]
#[tokio::test]
async fn are_refused_beyond_their_limit() {
    let err = fw_http::read_whole(Frames::new(11), 10, &mut fw_http::Unlimited)
        .await
        .unwrap_err();
    expect_true!(err.is::<LengthLimitError>());
}

/// Grants up to this many bytes, and keeps the number that are held.
struct Granted {
    max: usize,
    held: usize,
}

impl Room for Granted {
    fn resize(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.max;
        if fits {
            self.held = bytes;
        }
        fits
    }
}

// Guards against a body that takes more memory than it was granted.
#[gtest]
#[tokio::test]
async fn hold_what_they_were_granted() {
    let mut room = Granted { max: 64, held: 0 };
    let read = fw_http::read_whole(Frames::new(1_000), 1_000, &mut room);
    let err = read.await.unwrap_err();
    expect_true!(err.is::<NoRoom>());
    expect_that!(room.held, eq(64));
    let whole = fw_http::read_whole(Frames::new(50), 1_000, &mut room).await;
    expect_that!(whole.unwrap().len(), eq(50));
    expect_that!(room.held, ge(50));
}
