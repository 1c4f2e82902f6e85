//! An HTTP body without `Content-Length` that ends in the middle.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};

/// Sends the first half of a body, then fails, which closes the connection.
pub(crate) struct CutBody {
    first_half: Option<Bytes>,
}

impl CutBody {
    /// A body that ends after the first half of `complete`.
    pub fn new(complete: Bytes) -> Self {
        CutBody { first_half: Some(complete.slice(..complete.len() / 2)) }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = self.first_half.take().map(Frame::data);
        Poll::Ready(Some(
            frame.ok_or_else(|| io::Error::other("body ended in the middle by an injected fault")),
        ))
    }
}
