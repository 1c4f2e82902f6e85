//! Reads and writes on a client's socket: reading into a bounded buffer, detecting that the client closed while nothing is
//! read, and writing to slow clients.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use lilacquay_core::stall;
use lilacquay_stream::Stream;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::io::poll_read_buf;

use crate::delivery::DeliveryEstimate;

/// The least capacity reserved for a read: most commands arrive complete in one read.
const MIN_READ_CAPACITY: usize = 1 << 10;
/// The most bytes of a long command that are read at once. A read touches all memory that it may fill, and memory that is
/// reserved for a command is occupied only once it is touched.
const LONG_COMMAND_READ_BYTES: usize = 64 << 10;
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
pub(crate) async fn write_all(
    writer: &mut Stream,
    mut text: &[u8],
    delivery: &mut DeliveryEstimate,
) -> io::Result<()> {
    let deadline = Instant::now()
        + WRITE_STALL_TIMEOUT
        + Duration::from_secs((text.len() / MIN_WRITE_BYTES_PER_SECOND) as u64);
    while !text.is_empty() {
        match timeout_at(deadline.min(Instant::now() + WRITE_STALL_TIMEOUT), writer.write(text)).await?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => {
                delivery.record_write(Instant::now(), written);
                text = &text[written..];
            }
        }
    }
    Ok(())
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

/// Waits for input and returns how many bytes of it lie unread, counted up to `limit`; 0 at the end of the stream.
pub(crate) async fn count_unread(stream: &Stream, limit: usize) -> io::Result<usize> {
    stream.peek(&mut [0]).await?;
    stream.peek(&mut vec![0; limit]).await
}

/// How much is read at once.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadLimits {
    /// The length of the arriving command, for which capacity is reserved in one piece; 0 if it is not known.
    expected_length: usize,
    /// The most bytes to read.
    max_bytes: usize,
}

impl Default for ReadLimits {
    fn default() -> Self {
        ReadLimits { expected_length: 0, max_bytes: usize::MAX }
    }
}

impl ReadLimits {
    /// For a long command of this length.
    pub fn expecting(expected_length: usize) -> ReadLimits {
        ReadLimits { expected_length, max_bytes: LONG_COMMAND_READ_BYTES }
    }

    /// The most bytes to read.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// How much more capacity a buffer of this many bytes needs.
    pub fn missing_capacity(&self, buffered_bytes: usize) -> usize {
        match self.expected_length {
            0 => buffered_bytes,
            expected_length => expected_length.saturating_sub(buffered_bytes),
        }
    }

    /// For reading no further than this.
    pub fn at_most(max_bytes: usize) -> ReadLimits {
        ReadLimits { max_bytes, ..ReadLimits::default() }
    }
}

/// Reads available input into the buffer, which allocates nothing until there is some.
pub(crate) async fn read(
    reader: &mut Stream,
    buffer: &mut BytesMut,
    limits: ReadLimits,
) -> io::Result<usize> {
    poll_fn(|cx| {
        ready!(reader.socket().poll_read_ready(cx))?;
        // Reserves all that a long command needs in one piece; otherwise doubles the buffer.
        buffer.reserve(MIN_READ_CAPACITY.max(limits.missing_capacity(buffer.len())));
        let mut limited = (&mut *buffer).limit(limits.max_bytes);
        let read = poll_read_buf(Pin::new(&mut *reader), cx, &mut limited);
        if read.is_pending() && buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        Poll::Ready(ready!(read))
    })
    .await
}
