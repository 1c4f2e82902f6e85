//! The operator's side.

use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use crate::messages::{Answer, ControlRequest, RequestEnvelope, VERSION};

/// A node that answers nothing for so long is held to be stuck.
const PATIENCE: Duration = Duration::from_secs(5);

/// A connection to a node's control socket.
pub struct Client(BufReader<UnixStream>);

/// Why a node could not be asked.
#[derive(Debug)]
pub enum ClientError {
    /// Nobody listens in that folder.
    NoNode(io::Error),
    /// The connection broke, or nothing came in time.
    Broken(io::Error),
    /// The node speaks otherwise, or did not understand.
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
    /// Connects to the node whose state folder this is.
    ///
    /// # Errors
    /// If none listens there.
    pub fn connect(folder: &Path) -> Result<Client, ClientError> {
        let stream = UnixStream::connect(folder.join("control.sock")).map_err(ClientError::NoNode)?;
        let limit = Some(PATIENCE);
        stream.set_read_timeout(limit).and(stream.set_write_timeout(limit)).map_err(ClientError::Broken)?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Asks for what goes on and on. A node that says nothing for `patience` is held to be stuck, if there is one.
    ///
    /// # Errors
    /// If the question can't be sent.
    pub fn stream(mut self, verb: ControlRequest, patience: Option<Duration>) -> Result<Stream, ClientError> {
        self.send(verb)?;
        self.0.get_ref().set_read_timeout(patience).map_err(ClientError::Broken)?;
        Ok(Stream(self))
    }

    /// Asks one question.
    ///
    /// # Errors
    /// If no answer comes, or none that can be read.
    pub fn request(&mut self, verb: ControlRequest) -> Result<Answer, ClientError> {
        self.send(verb)?;
        self.answer()
    }

    fn send(&mut self, verb: ControlRequest) -> Result<(), ClientError> {
        let question = serde_json::to_string(&RequestEnvelope { v: VERSION, verb }).unwrap_or_default();
        self.0.get_mut().write_all(format!("{question}\n").as_bytes()).map_err(ClientError::Broken)
    }

    fn answer(&mut self) -> Result<Answer, ClientError> {
        let mut line = String::new();
        match self.0.read_line(&mut line).map_err(ClientError::Broken)? {
            0 => Err(ClientError::Broken(io::ErrorKind::UnexpectedEof.into())),
            _ => match serde_json::from_str(&line) {
                Ok(Answer::Error { what, .. }) => Err(ClientError::Protocol(what)),
                Ok(answer) => Ok(answer),
                Err(error) => Err(ClientError::Protocol(format!("the node speaks otherwise: {error}"))),
            },
        }
    }
}

/// Answers that go on; see [`Client::stream`].
pub struct Stream(Client);

impl Stream {
    /// Waits for the next.
    ///
    /// # Errors
    /// If none comes, or none that can be read.
    pub fn next_answer(&mut self) -> Result<Answer, ClientError> {
        self.0.answer()
    }
}
