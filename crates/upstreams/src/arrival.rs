//! Records when the first byte of an answer arrives on a connection that another library reads.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use lilacquay_stream::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// When the first byte since the last request arrived.
#[derive(Debug, Default)]
pub(crate) struct FirstArrival(Mutex<Option<Instant>>);

impl FirstArrival {
    /// Forgets what has arrived.
    pub fn clear(&self) {
        self.set(None);
    }

    /// The time of the first arrival; now if nothing has arrived.
    pub fn get(&self) -> Instant {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).unwrap_or_else(Instant::now)
    }

    fn record(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert_with(Instant::now);
    }

    fn set(&self, arrival: Option<Instant>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = arrival;
    }
}

/// A connection that records arrivals.
pub(crate) struct ArrivalRecorder {
    stream: Stream,
    first_arrival: Arc<FirstArrival>,
}

impl ArrivalRecorder {
    pub fn new(stream: Stream, first_arrival: Arc<FirstArrival>) -> ArrivalRecorder {
        ArrivalRecorder { stream, first_arrival }
    }
}

impl AsyncRead for ArrivalRecorder {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > filled_before {
            self.first_arrival.record();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ArrivalRecorder {
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
