//! A TCP connection whose reads and writes may be short or interrupted.
//!
//! Tokio's own stream assumes that a socket has been drained once a read fills less than its buffer, and that it is
//! full once a write takes less than it was given. It then waits for a readiness event, which never comes if the call
//! was merely short. This stream repeats calls until the socket reports that it would block, and repeats calls that
//! were interrupted.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A handle on a connection. The connection closes when its last handle is dropped. One task may read while another
/// writes.
#[derive(Clone, Debug)]
pub struct Stream(Arc<TcpStream>);

impl Stream {
    /// Creates the first handle on a connection.
    pub fn new(stream: TcpStream) -> Self {
        Stream(Arc::new(stream))
    }

    /// The underlying socket.
    pub fn socket(&self) -> &TcpStream {
        &self.0
    }

    /// Reads the next bytes without removing them from the socket; 0 bytes mean the end of the stream.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn peek(&self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.0.peek(bytes).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// How many bytes of memory the kernel may use for what has been written and is not delivered.
    ///
    /// # Errors
    /// If the kernel does not tell.
    pub fn send_buffer_bytes(&self) -> io::Result<usize> {
        SockRef::from(&*self.0).send_buffer_size()
    }

    /// The number of bytes that can be read now, at most 1; 0 means the end of the stream. Queries the kernel rather
    /// than the runtime's readiness state.
    ///
    /// # Errors
    /// If no data has arrived, or the connection is broken.
    pub fn try_peek(&self) -> io::Result<usize> {
        loop {
            match SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// Repeats `write` until the socket accepts some bytes or fails with a permanent error.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if is_transient(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// Whether a call that failed with this error must be repeated once the socket is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Err(error) if is_transient(&error) => {}
                read => return Poll::Ready(read.map(|read| buffer.advance(read))),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
