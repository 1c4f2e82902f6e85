//! A listener to which connections come up late.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

/// Connections that wait to be accepted once a listener is open again.
const BACKLOG: i32 = 1024;

/// The kernel's table of IPv4 connections, and the state in it of one whose handshake has begun.
const CONNECTIONS: &str = "/proc/net/tcp";
const SYN_SENT: &str = "02";

/// A listener whose backlog is full: the kernel drops what connects, and tries it again after a second.
pub struct FullListener {
    socket: Socket,
    _filler: Socket,
}

impl FullListener {
    /// Binds one that is full from the start.
    ///
    /// # Errors
    /// If the address can't be had.
    pub fn bind(addr: SocketAddr) -> io::Result<FullListener> {
        FullListener::fill(FullListener::with_backlog_of_one(addr)?)
    }

    /// A listener with room for one connection that waits to be accepted.
    ///
    /// # Errors
    /// If the address can't be had.
    pub fn with_backlog_of_one(addr: SocketAddr) -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(0)?;
        Ok(socket.into())
    }

    /// Takes the one place of such a listener, unless somebody has it already. Waits for nobody.
    ///
    /// # Errors
    /// If it can't be connected to.
    pub fn fill(listener: TcpListener) -> io::Result<FullListener> {
        let addr = listener.local_addr()?;
        let filler = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        match filler.connect(&addr.into()) {
            Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(error),
            _ => Ok(FullListener { socket: listener.into(), _filler: filler }),
        }
    }

    /// Where it listens.
    ///
    /// # Errors
    /// If the system doesn't tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))
    }

    /// Whether a client's handshake has begun and met the full backlog. For IPv4 alone.
    ///
    /// # Errors
    /// If the system doesn't tell.
    pub fn has_pending_handshake(&self) -> io::Result<bool> {
        let SocketAddr::V4(addr) = self.local_addr()? else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let listener = format!("{:08X}:{:04X}", u32::from_ne_bytes(addr.ip().octets()), addr.port());
        let table = fs::read_to_string(CONNECTIONS)?;
        Ok(table.lines().any(|line| {
            let [remote, state] = [2, 3].map(|column| line.split_whitespace().nth(column));
            remote == Some(&listener) && state == Some(SYN_SENT)
        }))
    }

    /// Takes connections again: first the one that filled it, which ends now, and in time those that were dropped.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn open(self) -> io::Result<TcpListener> {
        self.socket.listen(BACKLOG)?;
        Ok(self.socket.into())
    }
}
