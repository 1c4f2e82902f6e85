//! A TCP connection whose reads and writes may be short or interrupted.
//!
//! The runtime's own stream holds a socket to be drained once a read fills less than its buffer, and to be full once a
//! write takes less than it was given; it waits for news of the socket then, which never comes if the call was merely
//! short. Here a socket is asked until it says that it would block, and a call that was interrupted is repeated.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A handle on a connection, which closes with the last one. One task may read while another writes.
#[derive(Clone, Debug)]
pub struct Stream(Arc<TcpStream>);

impl Stream {
    /// The first handle on a connection.
    pub fn new(stream: TcpStream) -> Self {
        Stream(Arc::new(stream))
    }

    /// The socket itself.
    pub fn socket(&self) -> &TcpStream {
        &self.0
    }

    /// Looks at the next bytes without taking them; none is the end.
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

    /// How many bytes there are to be read now, one at most; the kernel is asked itself. None is the end.
    ///
    /// # Errors
    /// If nothing has come, or the connection is broken.
    pub fn try_peek(&self) -> io::Result<usize> {
        loop {
            match SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// Tries to write until the socket takes something or fails.
    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if is_passing(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// Whether a call that failed so is to be repeated, once the socket is ready.
fn is_passing(error: &io::Error) -> bool {
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
                Err(error) if is_passing(&error) => {}
                read => return Poll::Ready(read.map(|read| buffer.advance(read))),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |socket| socket.try_write_vectored(slices))
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
