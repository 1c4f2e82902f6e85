//! Reads and writes on a client's socket: reading under buffer permits, detecting that the client closed while nothing is
//! read, and writing to slow clients.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::stall;
use lilacquay_stream::Stream;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::io::poll_read_buf;

use crate::buffer_permits::{BufferPermit, BufferPermits};

/// The least capacity reserved for a read: most commands arrive complete in one read.
const MIN_READ_CAPACITY: usize = 1 << 10;
/// How often a socket with unread input is checked for a close by the client, which is hence noticed within this time.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// A client that reads no byte of its answers for this long is disconnected.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A client that reads any one chunk at less than this rate is disconnected as well.
const MIN_WRITE_BYTES_PER_SECOND: usize = 512;

/// Writes to a client that reads at least some bytes now and then.
///
/// Fails for a client that reads nothing for [`WRITE_STALL_TIMEOUT`], or so slowly that it would hold a connection to a
/// server for ever. A client that reads slowly but steadily is not disconnected.
pub(crate) async fn write_all(writer: &mut Stream, mut text: &[u8]) -> io::Result<()> {
    let deadline = Instant::now()
        + WRITE_STALL_TIMEOUT
        + Duration::from_secs((text.len() / MIN_WRITE_BYTES_PER_SECOND) as u64);
    while !text.is_empty() {
        match timeout_at(deadline.min(Instant::now() + WRITE_STALL_TIMEOUT), writer.write(text)).await?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => text = &text[written..],
        }
    }
    Ok(())
}

/// What a session has received.
pub(crate) enum Received {
    /// The number of bytes read; 0 at the end of the stream.
    Bytes(usize),
    /// Buffer permits for a long command, and when more of it was first there to be read.
    Permits(BufferPermit, Instant),
}

/// Reads commands; if permits are wanted, acquires them instead, and the next call reads. If `may_read` is false, only
/// waits for the client to close.
pub(crate) async fn read_or_wait_for_close(
    reader: &mut Stream,
    buffer: &mut BytesMut,
    expected_length: usize,
    permits_wanted: Option<u32>,
    buffer_permits: &BufferPermits,
    may_read: bool,
    unread_since: &mut Option<Instant>,
) -> io::Result<Received> {
    if may_read {
        return read_or_acquire(reader, buffer, expected_length, permits_wanted, buffer_permits).await;
    }
    wait_for_close(reader, unread_since).await.map(|()| Received::Bytes(0))
}

/// Waits until the client closes, without reading, and records since when input has been unread.
pub(crate) async fn wait_for_close(stream: &Stream, unread_since: &mut Option<Instant>) -> io::Result<()> {
    loop {
        if stream.peek(&mut [0]).await? == 0 {
            return Ok(());
        }
        unread_since.get_or_insert_with(|| stall::estimated_arrival(Instant::now()));
        // The end of the stream may follow input that is not read yet.
        if stream.socket().ready(Interest::READABLE).await?.is_read_closed() {
            return Ok(());
        }
        sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

/// Reads available input; if permits are wanted, acquires those instead, once there is more to read.
///
/// Waiting for input first keeps permits from being held for a command whose rest is never sent.
async fn read_or_acquire(
    reader: &mut Stream,
    buffer: &mut BytesMut,
    expected_length: usize,
    permits_wanted: Option<u32>,
    buffer_permits: &BufferPermits,
) -> io::Result<Received> {
    let Some(permits) = permits_wanted else {
        return read(reader, buffer, expected_length).await.map(Received::Bytes);
    };
    reader.peek(&mut [0]).await?;
    let readable_since = stall::estimated_arrival(Instant::now());
    let acquired = buffer_permits.acquire(permits).await?;
    Ok(Received::Permits(acquired, readable_since))
}

/// Reads available input into the buffer, which allocates nothing until there is some.
async fn read(reader: &mut Stream, buffer: &mut BytesMut, expected_length: usize) -> io::Result<usize> {
    poll_fn(|cx| {
        ready!(reader.socket().poll_read_ready(cx))?;
        // Reserves all that a long command needs in one piece; otherwise doubles the buffer.
        let capacity =
            if expected_length > 0 { expected_length.saturating_sub(buffer.len()) } else { buffer.len() };
        buffer.reserve(MIN_READ_CAPACITY.max(capacity));
        let read = poll_read_buf(Pin::new(&mut *reader), cx, buffer);
        if read.is_pending() && buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        Poll::Ready(ready!(read))
    })
    .await
}
