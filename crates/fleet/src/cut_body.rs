//! A body of no told length that breaks off in the middle.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};

/// The beginning of a body, and then the connection's end.
pub(crate) struct CutBody {
    beginning: Option<Bytes>,
}

impl CutBody {
    /// A body that breaks off behind its first half.
    pub fn new(whole: Bytes) -> Self {
        CutBody { beginning: Some(whole.slice(..whole.len() / 2)) }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = self.beginning.take().map(Frame::data);
        Poll::Ready(Some(frame.ok_or_else(|| io::Error::other("cut"))))
    }
}
