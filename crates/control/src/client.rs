//! The client of the control socket, for operators' tools.

use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use crate::messages::{Answer, ControlRequest, RequestEnvelope, VERSION};

/// A node that does not answer within this time is considered stuck.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection to a node's control socket.
pub struct Client(BufReader<UnixStream>);

/// Why a request to a node failed.
#[derive(Debug)]
pub enum ClientError {
    /// No node listens in that state directory.
    NoNode(io::Error),
    /// The connection was lost, or the node did not answer in time.
    Broken(io::Error),
    /// The node did not understand the request, or sent an answer that cannot be parsed.
    Protocol(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::NoNode(error) => {
                write!(f, "no node listens there: {error}; start it, or name its state folder")
            }
            ClientError::Broken(error) => write!(f, "the node did not answer: {error}; look at its log"),
            ClientError::Protocol(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for ClientError {}

impl Client {
    /// Connects to the node with this state directory.
    ///
    /// # Errors
    /// If no node listens there.
    pub fn connect(state_dir: &Path) -> Result<Client, ClientError> {
        let stream = UnixStream::connect(state_dir.join("control.sock")).map_err(ClientError::NoNode)?;
        let limit = Some(ANSWER_TIMEOUT);
        stream.set_read_timeout(limit).and(stream.set_write_timeout(limit)).map_err(ClientError::Broken)?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Sends a request that is answered by a stream of answers. If `answer_timeout` is given, a node that sends
    /// nothing for that time is considered stuck.
    ///
    /// # Errors
    /// If the request cannot be sent.
    pub fn stream(
        mut self,
        request: ControlRequest,
        answer_timeout: Option<Duration>,
    ) -> Result<Stream, ClientError> {
        self.send(request)?;
        self.0.get_ref().set_read_timeout(answer_timeout).map_err(ClientError::Broken)?;
        Ok(Stream(self))
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// If no answer arrives, or one that cannot be parsed.
    pub fn request(&mut self, request: ControlRequest) -> Result<Answer, ClientError> {
        self.send(request)?;
        self.read_answer()
    }

    fn send(&mut self, request: ControlRequest) -> Result<(), ClientError> {
        let line = serde_json::to_string(&RequestEnvelope { v: VERSION, request }).unwrap_or_default();
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).map_err(ClientError::Broken)
    }

    fn read_answer(&mut self) -> Result<Answer, ClientError> {
        let mut line = String::new();
        match self.0.read_line(&mut line).map_err(ClientError::Broken)? {
            0 => Err(ClientError::Broken(io::ErrorKind::UnexpectedEof.into())),
            _ => match serde_json::from_str(&line) {
                Ok(Answer::Error { what, .. }) => Err(ClientError::Protocol(what)),
                Ok(answer) => Ok(answer),
                Err(error) => Err(ClientError::Protocol(format!("unknown answer from the node: {error}"))),
            },
        }
    }
}

/// A stream of answers; see [`Client::stream`].
pub struct Stream(Client);

impl Stream {
    /// Waits for the next answer.
    ///
    /// # Errors
    /// If no answer arrives, or one that cannot be parsed.
    pub fn next_answer(&mut self) -> Result<Answer, ClientError> {
        self.0.read_answer()
    }
}
