//! The admin address, on which operators and their tools ask for a node's health and metrics and take it out of service.
//!
//! A connection carries one call, one line long, and one answer. [`call`] is the protocol, without I/O; [`Admin`] is the
//! listener.
//!
//! An answer is due within a second at any load, so a call needs only what is in memory and never waits for the core. The
//! listener and the limit on its connections are separate from those for clients, so that many clients cannot block it.
//! A caller who sends no complete call is disconnected after [`CALLER_TIMEOUT`], or earlier to make room for the next
//! once the limit is reached.

pub mod call;

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use call::{Answer, Call, CallError, parse};
use lilacquay_stream::Stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// The most connections at once.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take to send its line, and again to read the answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a failed accept, for example for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Carries out the calls.
pub trait CallHandler: Send + Sync + 'static {
    /// Carries out a call and returns the answer without waiting for anything.
    fn handle(&self, call: Call) -> Answer;
}

/// The listener of the admin address.
pub struct Admin<H> {
    listener: TcpListener,
    handler: Arc<H>,
    eviction_queue: EvictionQueue,
    /// One task for each connection, which returns the connection's number.
    connections: JoinSet<u64>,
}

/// The open connections that have not been told to close, in the order in which they were accepted.
#[derive(Default)]
struct EvictionQueue {
    last_number: u64,
    /// A connection is told to close by dropping its sender; one that has sent its call ignores that.
    senders: BTreeMap<u64, oneshot::Sender<()>>,
}

impl<H: CallHandler> Admin<H> {
    /// Creates the listener; `handler` carries out the calls.
    pub fn new(listener: TcpListener, handler: H) -> Self {
        Admin {
            listener,
            handler: Arc::new(handler),
            eviction_queue: EvictionQueue::default(),
            connections: JoinSet::new(),
        }
    }

    /// Accepts and answers calls until it is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                Some(ended) = self.connections.join_next() => {
                    if let Ok(number) = ended {
                        self.eviction_queue.senders.remove(&number);
                    }
                }
                accepted = self.listener.accept(), if self.connections.len() < MAX_CONNECTIONS => match accepted {
                    Ok((stream, _)) => self.spawn(stream),
                    Err(error) => {
                        warn!("the admin address failed to accept a connection: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
    }

    /// Starts to serve a connection. If that reaches the limit, the oldest connection not yet told to close is told to;
    /// it closes unless it has sent its call. Callers who send nothing hence cannot keep others out.
    fn spawn(&mut self, stream: TcpStream) {
        self.eviction_queue.last_number += 1;
        let number = self.eviction_queue.last_number;
        let (sender, evicted) = oneshot::channel();
        self.eviction_queue.senders.insert(number, sender);
        let handler = self.handler.clone();
        self.connections.spawn(async move {
            let _ = serve(stream, &*handler, evicted).await; // on failure the caller has gone or does not read
            number
        });
        if self.connections.len() >= MAX_CONNECTIONS {
            self.eviction_queue.senders.pop_first(); // dropping the sender tells the task
        }
    }
}

async fn serve<H: CallHandler>(
    stream: TcpStream,
    handler: &H,
    evicted: oneshot::Receiver<()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Stream::new(stream);
    let call = tokio::select! {
        biased;
        read = timeout(CALLER_TIMEOUT, read_call(&mut stream)) => read.unwrap_or(Ok(Err(CallError::Incomplete)))?,
        _ = evicted => Err(CallError::Incomplete),
    };
    let answer = match call {
        Ok(call) => handler.handle(call),
        Err(error) => Answer::Nak(error.to_string()),
    };
    let written = async {
        stream.write_all(answer.text().as_bytes()).await?;
        stream.shutdown().await
    };
    timeout(CALLER_TIMEOUT, written).await?
}

async fn read_call(stream: &mut Stream) -> io::Result<Result<Call, CallError>> {
    let mut received = Vec::with_capacity(call::MAX_CALL_BYTES);
    loop {
        match parse(&received) {
            Ok(Some(call)) => return Ok(Ok(call)),
            Ok(None) => {}
            Err(error) => return Ok(Err(error)),
        }
        let mut piece = [0; call::MAX_CALL_BYTES];
        match stream.read(&mut piece).await? {
            0 => return Ok(Err(CallError::Incomplete)),
            n => received.extend_from_slice(&piece[..n]),
        }
    }
}
