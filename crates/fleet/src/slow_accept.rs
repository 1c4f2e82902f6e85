//! A listener whose backlog is full, so that connections to it are established late.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

/// Backlog of a listener once it is open again, in connections.
const OPEN_BACKLOG: i32 = 1024;

/// The kernel's table of IPv4 connections.
const CONNECTION_TABLE: &str = "/proc/net/tcp";
/// The state in that table of a connection whose handshake has begun.
const SYN_SENT: &str = "02";

/// A listener whose backlog is full: the kernel drops a connection's SYN, and the client's kernel sends it again after
/// a second.
pub struct FullListener {
    socket: Socket,
    /// The connection that fills the backlog.
    _filler: Socket,
}

impl FullListener {
    /// Binds a listener whose backlog is full from the start.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<FullListener> {
        FullListener::fill(FullListener::with_backlog_of_one(addr)?)
    }

    /// A listener whose backlog has room for one connection.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn with_backlog_of_one(addr: SocketAddr) -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(0)?;
        Ok(socket.into())
    }

    /// Fills the backlog of such a listener with a connection of its own, unless another connection already has. Does
    /// not block.
    ///
    /// # Errors
    /// If the connection fails.
    pub fn fill(listener: TcpListener) -> io::Result<FullListener> {
        let addr = listener.local_addr()?;
        let filler = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        match filler.connect(&addr.into()) {
            Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(error),
            _ => Ok(FullListener { socket: listener.into(), _filler: filler }),
        }
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// If the system call fails.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("the listener has no IP address"))
    }

    /// Whether a client's handshake has begun and met the full backlog. For IPv4 only.
    ///
    /// # Errors
    /// If the kernel's table can't be read, or the address is not IPv4.
    pub fn has_pending_handshake(&self) -> io::Result<bool> {
        let SocketAddr::V4(addr) = self.local_addr()? else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let listener = format!("{:08X}:{:04X}", u32::from_ne_bytes(addr.ip().octets()), addr.port());
        let table = fs::read_to_string(CONNECTION_TABLE)?;
        Ok(table.lines().any(|line| {
            let [remote, state] = [2, 3].map(|column| line.split_whitespace().nth(column));
            remote == Some(&listener) && state == Some(SYN_SENT)
        }))
    }

    /// Accepts connections again: first the one that filled the backlog, which is closed now, and later those that were
    /// dropped, once they are retried.
    ///
    /// # Errors
    /// If `listen` fails.
    pub fn open(self) -> io::Result<TcpListener> {
        self.socket.listen(OPEN_BACKLOG)?;
        Ok(self.socket.into())
    }
}
