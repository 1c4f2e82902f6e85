//! A client's socket: what is read of it and when, its end where nothing is read, and writes to clients that are slow.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::stall;
use lilacquay_stream::Stream;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::io::poll_read_buf;

/// Room that is made for what has come, at least: most commands come whole in one read.
const ROOM: usize = 1 << 10;
/// A client that closes behind bytes which are not read for now is seen to have gone within this time.
const LOOK: Duration = Duration::from_millis(25);
/// A client that takes no byte of its answers for so long is given up ...
const STUCK: Duration = Duration::from_secs(5);
/// ... as is one that takes fewer than so many in a second, of any piece.
const LEAST_RATE: usize = 512;

/// Writes to a client that takes some bytes now and then.
///
/// Guards against: one that takes none for long, or so few that it holds a server's connection for ever, and one that
/// reads slowly given up like them.
pub(crate) async fn write_all(writer: &mut Stream, mut text: &[u8]) -> io::Result<()> {
    let last = Instant::now() + STUCK + Duration::from_secs((text.len() / LEAST_RATE) as u64);
    while !text.is_empty() {
        match timeout_at(last.min(Instant::now() + STUCK), writer.write(text)).await?? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            written => text = &text[written..],
        }
    }
    Ok(())
}

/// What has come for a session.
pub(crate) enum Received {
    /// So many bytes; none is the end.
    Bytes(usize),
    /// Places for a command that is not small, of which more was there to be read since then.
    Places(OwnedSemaphorePermit, Instant),
}

/// What comes next of a client's commands; while they are not read, only its end.
pub(crate) async fn read_or_wait_for_close(
    reader: &mut Stream,
    buffer: &mut BytesMut,
    expected: usize,
    wanted: Option<u32>,
    large: &Arc<Semaphore>,
    reading: bool,
    unread: &mut Option<Instant>,
) -> io::Result<Received> {
    if reading {
        return read_or_reserve(reader, buffer, expected, wanted, large).await;
    }
    wait_for_close(reader, unread).await.map(|()| Received::Bytes(0))
}

/// Waits until the client closes, without reading, and notes since when something lies unread.
pub(crate) async fn wait_for_close(stream: &Stream, unread: &mut Option<Instant>) -> io::Result<()> {
    loop {
        if stream.peek(&mut [0]).await? == 0 {
            return Ok(());
        }
        unread.get_or_insert_with(|| stall::estimated_arrival(Instant::now()));
        // The end may stand behind what is not read.
        if stream.socket().ready(Interest::READABLE).await?.is_read_closed() {
            return Ok(());
        }
        sleep(LOOK).await;
    }
}

/// Reads what has come; where places are wanted first, takes those once there is more to read.
///
/// Guards against: places held for what nobody sends.
async fn read_or_reserve(
    reader: &mut Stream,
    buffer: &mut BytesMut,
    expected: usize,
    wanted: Option<u32>,
    large: &Arc<Semaphore>,
) -> io::Result<Received> {
    let Some(places) = wanted else { return receive(reader, buffer, expected).await.map(Received::Bytes) };
    reader.peek(&mut [0]).await?;
    let readable = stall::estimated_arrival(Instant::now());
    let held = large.clone().acquire_many_owned(places).await.map_err(io::Error::other)?;
    Ok(Received::Places(held, readable))
}

/// Reads what has come into a buffer, which takes no memory before something has.
async fn receive(reader: &mut Stream, buffer: &mut BytesMut, expected: usize) -> io::Result<usize> {
    poll_fn(|cx| {
        ready!(reader.socket().poll_read_ready(cx))?;
        // Of a command that is not small all that it needs, in one piece; else twice what there is.
        let room = if expected > 0 { expected.saturating_sub(buffer.len()) } else { buffer.len() };
        buffer.reserve(ROOM.max(room));
        let read = poll_read_buf(Pin::new(&mut *reader), cx, buffer);
        if read.is_pending() && buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        Poll::Ready(ready!(read))
    })
    .await
}
