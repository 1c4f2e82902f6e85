//! A connection to the origin: HTTP/1.1, one request at a time.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use paddlefold::Outcome;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::attempt::Reply;
use super::clients::{Command, VALUE_LIMIT};

/// A connection between requests.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    /// Closes the socket at once, also while a request is out.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub async fn new(stream: TcpStream) -> io::Result<Self> {
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await; // a break shows in the request that is out
        });
        Ok(Connection { sender, task })
    }

    pub fn is_live(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends one request and waits for its answer.
    pub async fn ask(mut self, command: &Command, addr: SocketAddr) -> (Reply, Option<Self>) {
        let Some(request) = request(command, addr) else { return (Reply::of(Outcome::Ignored), Some(self)) };
        if self.sender.ready().await.is_err() {
            return (Reply::of(Outcome::ConnectError), None);
        }
        match self.sender.try_send_request(request).await {
            // A request that is handed back was never begun.
            Err(mut error) => match error.take_message() {
                Some(_) => (Reply::of(Outcome::ConnectError), None),
                None => (Reply::of(Outcome::Reset), None),
            },
            Ok(answer) => match read(answer).await {
                Ok(reply) => (reply, Some(self)),
                // Guards against: the rest of such an answer, read as the next one's.
                Err(outcome) => (Reply::of(outcome), None),
            },
        }
    }
}

fn request(command: &Command, addr: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let method = if command.value.is_some() { Method::PUT } else { Method::GET };
    Request::builder()
        .method(method)
        .uri(format!("/{}", command.path_key()))
        .header(HOST, addr.to_string())
        .header("X-Correlation-Id", &command.id[..])
        .header("X-Facts", &command.facts[..])
        .body(Full::new(command.value.clone().unwrap_or_default()))
        .ok()
}

/// What an answer means; an error if its connection is of no further use.
async fn read(answer: Response<Incoming>) -> Result<Reply, Outcome> {
    let (status, headers) = (answer.status(), answer.headers());
    let never_ran = headers.get("X-Unprocessed").is_some_and(|v| v == "1");
    let body = match Limited::new(answer.into_body(), VALUE_LIMIT).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<hyper::Error>() => return Err(Outcome::Reset),
        Err(_) => return Err(Outcome::Failed), // too long for a value
    };
    Ok(match status {
        StatusCode::OK => Reply { value: body, ..Reply::of(Outcome::Ok) },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            Reply::of(Outcome::QueueFull)
        }
        _ => Reply::of(Outcome::Failed),
    })
}
