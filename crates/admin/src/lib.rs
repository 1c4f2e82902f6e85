//! The second address: where whoever runs a node asks for its health and figures, and orders it out of service.
//!
//! One line to a connection, one answer, and the end. [`call`] is the form, without I/O; [`Admin`] the listener.
//!
//! An answer is due within a second whatever the load. What it needs is at hand in the process: no call waits for
//! the core's turn. Its connections have a listener and seats of their own, so that no crowd of clients takes
//! them, and a caller who says nothing, or half a call, holds one of those for [`PATIENCE`] at most and makes room
//! for the next as soon as all are taken.

pub mod call;

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use call::{Answer, Call, NoCall, parse};
use lilacquay_stream::Stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Connections at once.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take for its line, and for reading the answer.
pub const PATIENCE: Duration = Duration::from_secs(2);
/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(20);

/// Who knows the answers.
pub trait CallHandler: Send + Sync + 'static {
    /// Carries out a call and tells what it comes to, at once.
    fn handle(&self, call: Call) -> Answer;
}

/// A second address that listens.
pub struct Admin<H> {
    listener: TcpListener,
    host: Arc<H>,
    seats: Seats,
    callers: JoinSet<u64>,
}

/// Who has said no whole line yet, in the order in which they came.
#[derive(Default)]
struct Seats {
    last: u64,
    silent: BTreeMap<u64, oneshot::Sender<()>>,
}

impl<H: CallHandler> Admin<H> {
    /// Answers by the host.
    pub fn new(listener: TcpListener, host: H) -> Self {
        Admin { listener, host: Arc::new(host), seats: Seats::default(), callers: JoinSet::new() }
    }

    /// Answers until it is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                Some(ended) = self.callers.join_next() => {
                    if let Ok(number) = ended {
                        self.seats.silent.remove(&number);
                    }
                }
                accepted = self.listener.accept(), if self.callers.len() < MAX_CONNECTIONS => match accepted {
                    Ok((stream, _)) => self.seat(stream),
                    Err(error) => {
                        warn!("the second address can't accept: {error}");
                        sleep(PAUSE).await;
                    }
                },
            }
        }
    }

    /// Guards against: callers who say nothing and keep those out who would. With the last seat taken, the one
    /// who has been silent for longest goes.
    fn seat(&mut self, stream: TcpStream) {
        self.seats.last += 1;
        let number = self.seats.last;
        let (sender, cleared) = oneshot::channel();
        self.seats.silent.insert(number, sender);
        let host = self.host.clone();
        self.callers.spawn(async move {
            let _ = attend(stream, &*host, cleared).await; // a caller who leaves is answered no more
            number
        });
        if self.callers.len() >= MAX_CONNECTIONS {
            self.seats.silent.pop_first(); // its task sees the sender go
        }
    }
}

async fn attend<H: CallHandler>(
    stream: TcpStream,
    host: &H,
    cleared: oneshot::Receiver<()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Stream::new(stream);
    let line = tokio::select! {
        biased;
        read = timeout(PATIENCE, read(&mut stream)) => read.unwrap_or(Ok(Err(NoCall::Half)))?,
        _ = cleared => Err(NoCall::Half),
    };
    let answer = match line {
        Ok(call) => host.handle(call),
        Err(why) => Answer::Nak(why.to_string()),
    };
    let written = async {
        stream.write_all(answer.text().as_bytes()).await?;
        stream.shutdown().await
    };
    timeout(PATIENCE, written).await?
}

async fn read(stream: &mut Stream) -> io::Result<Result<Call, NoCall>> {
    let mut come = Vec::with_capacity(call::LONGEST);
    loop {
        match parse(&come) {
            Ok(Some(call)) => return Ok(Ok(call)),
            Ok(None) => {}
            Err(why) => return Ok(Err(why)),
        }
        let mut piece = [0; call::LONGEST];
        match stream.read(&mut piece).await? {
            0 => return Ok(Err(NoCall::Half)),
            n => come.extend_from_slice(&piece[..n]),
        }
    }
}
