//! Bodies of answers: complete, or forwarded as they arrive.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::process::held_bytes;

/// Maximum number of chunks that are buffered for a caller that reads slowly. When the buffer is full the
/// upstream is not read either.
pub const MAX_BUFFERED_CHUNKS: usize = 16;

/// The answer was cut off: the caller's connection is closed, so that the answer does not appear complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was cut off"))]
pub struct Interrupted;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum Outgoing {
    /// The complete body; `None` once it is sent, or if it is empty.
    Whole(Option<Bytes>),
    /// Chunks as they arrive.
    Chunks(Chunks),
}

/// Chunks that are forwarded as they arrive.
#[derive(Debug)]
pub struct Chunks {
    /// The chunks.
    pub rx: mpsc::Receiver<Result<Bytes, Interrupted>>,
    /// The account from which they are released once the caller's connection takes them.
    pub account: Option<Arc<held_bytes::Account>>,
}

impl From<Bytes> for Outgoing {
    fn from(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(Chunks { rx, account }) => {
                let chunk = rx.poll_recv(cx);
                if let (Some(account), Poll::Ready(Some(Ok(chunk)))) = (account, &chunk) {
                    account.release(chunk.len());
                }
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
