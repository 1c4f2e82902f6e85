//! Notices that an answer begins to arrive on a connection that another library reads.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use lilacquay_stream::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether any byte has arrived since the last request.
#[derive(Debug, Default)]
pub(crate) struct AnswerStart(AtomicBool);

impl AnswerStart {
    /// Forgets what has arrived.
    pub fn clear(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    pub fn has_begun(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that notices the start of an answer.
pub(crate) struct AnswerWatch {
    stream: Stream,
    answer_start: Arc<AnswerStart>,
}

impl AnswerWatch {
    pub fn new(stream: Stream, answer_start: Arc<AnswerStart>) -> AnswerWatch {
        AnswerWatch { stream, answer_start }
    }
}

impl AsyncRead for AnswerWatch {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > filled_before {
            self.answer_start.0.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AnswerWatch {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
