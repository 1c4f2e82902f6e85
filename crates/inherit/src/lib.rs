//! The listening socket that a platform passes to a process by the number of a descriptor.
//!
//! A number names whatever this process has there; only the platform's word says that it is a socket. Rust's
//! standard library takes such a number only with `unsafe`, since code that closes a number which another part
//! owns breaks that part. Here it is borrowed for one system call that copies it: the copy is owned, the number
//! itself stays open and is nobody's in this process. No well-kept crate was found that takes a number by another
//! way than systemd's variables, which this platform doesn't set.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};

use socket2::{Socket, Type};

/// Why a passed descriptor can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InheritedSocketError {
    /// The text names no descriptor beyond the standard streams.
    InvalidNumber(String),
    /// No descriptor of this number is open.
    NotOpen(RawFd),
    /// It is not a TCP socket that listens on IPv4 or IPv6.
    NotListening(RawFd, &'static str),
    /// It listens somewhere else than the node is told to.
    AddressMismatch(SocketAddr, SocketAddr),
    /// The system refused something else.
    Os(RawFd, String),
}

impl fmt::Display for InheritedSocketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritedSocketError::InvalidNumber(text) => {
                write!(f, "{text:?} names no descriptor; write its number, 3 or more")
            }
            InheritedSocketError::NotOpen(fd) => {
                write!(f, "descriptor {fd} is not open; have the platform pass it, or unset the variable")
            }
            InheritedSocketError::NotListening(fd, what) => {
                write!(f, "descriptor {fd} is {what}; pass a TCP socket that listens")
            }
            InheritedSocketError::AddressMismatch(is, told) => {
                write!(f, "the passed socket listens on {is}, the node is told {told}; make the two agree")
            }
            InheritedSocketError::Os(fd, what) => {
                write!(f, "descriptor {fd} can't be used: {what}; pass a TCP socket that listens")
            }
        }
    }
}

impl std::error::Error for InheritedSocketError {}

/// A descriptor's number in words of a platform.
///
/// # Errors
/// If it is none, or one of the standard streams.
pub fn parse_descriptor(text: &str) -> Result<RawFd, InheritedSocketError> {
    let fd = text.trim().parse().ok().filter(|&fd: &RawFd| fd > 2);
    fd.ok_or_else(|| InheritedSocketError::InvalidNumber(text.to_owned()))
}

/// The listener behind a passed descriptor: a copy of it, closed when a program is executed, that does not block.
/// Several processes may accept from it; which of them gets a connection is the kernel's choice.
///
/// # Errors
/// If the descriptor is closed, is not a TCP socket that listens, or listens elsewhere than `told`. A `told` port
/// of 0, or an unspecified address on either side, agrees with any.
pub fn inherited_listener(fd: RawFd, told: SocketAddr) -> Result<TcpListener, InheritedSocketError> {
    let socket = Socket::from(copy(fd)?);
    let system = |error: std::io::Error| match error.raw_os_error() {
        Some(88) => InheritedSocketError::NotListening(fd, "no socket"), // ENOTSOCK
        _ => InheritedSocketError::Os(fd, error.to_string()),
    };
    if socket.r#type().map_err(system)? != Type::STREAM {
        return Err(InheritedSocketError::NotListening(fd, "no TCP socket"));
    }
    if !socket.is_listener().map_err(system)? {
        return Err(InheritedSocketError::NotListening(fd, "a socket that does not listen"));
    }
    let is = socket.local_addr().map_err(system)?.as_socket();
    let is = is.ok_or(InheritedSocketError::NotListening(fd, "no TCP socket"))?;
    let any = is.ip().is_unspecified() || told.ip().is_unspecified();
    if told.port() != 0 && told.port() != is.port() || !any && told.ip() != is.ip() {
        return Err(InheritedSocketError::AddressMismatch(is, told));
    }
    socket.set_nonblocking(true).map_err(system)?;
    Ok(socket.into())
}

/// A copy of the descriptor, which is ours.
fn copy(fd: RawFd) -> Result<OwnedFd, InheritedSocketError> {
    if fd < 3 {
        return Err(InheritedSocketError::InvalidNumber(fd.to_string()));
    }
    // SAFETY: the number is used for one call alone, fcntl(F_DUPFD_CLOEXEC), which closes nothing and answers EBADF
    // if no such descriptor is open. Nothing in this process closes the number between, as nothing owns it.
    #[allow(unsafe_code)]
    let passed = unsafe { BorrowedFd::borrow_raw(fd) };
    rustix::io::fcntl_dupfd_cloexec(passed, 3).map_err(|_| InheritedSocketError::NotOpen(fd))
}

#[cfg(test)]
mod tests {
    use std::fs::File;
    use std::net::UdpSocket;
    use std::os::fd::AsRawFd;

    use super::*;

    fn told(text: &str) -> SocketAddr {
        text.parse().unwrap()
    }

    #[test]
    fn a_listener_is_copied_and_both_take_from_one_queue() {
        let passed = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = passed.local_addr().unwrap();
        let copy = inherited_listener(passed.as_raw_fd(), at).unwrap();
        assert_eq!(copy.local_addr().unwrap(), at);
        let _client = std::net::TcpStream::connect(at).unwrap();
        assert!(copy.accept().is_ok());
        drop(copy);
        assert_eq!(passed.local_addr().unwrap(), at, "the passed one stays open");
        assert!(
            inherited_listener(passed.as_raw_fd(), told("127.0.0.1:0")).is_ok(),
            "a port that is not told"
        );
    }

    #[test]
    fn what_is_no_listener_is_told_with_the_mend() {
        let file = File::open("/proc/self/stat").unwrap();
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let passed = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = passed.local_addr().unwrap();
        let client = std::net::TcpStream::connect(at).unwrap();
        let why = |fd, at| inherited_listener(fd, at).unwrap_err();
        assert_eq!(
            why(file.as_raw_fd(), at),
            InheritedSocketError::NotListening(file.as_raw_fd(), "no socket")
        );
        assert_eq!(
            why(udp.as_raw_fd(), at),
            InheritedSocketError::NotListening(udp.as_raw_fd(), "no TCP socket")
        );
        let what = "a socket that does not listen";
        assert_eq!(why(client.as_raw_fd(), at), InheritedSocketError::NotListening(client.as_raw_fd(), what));
        assert_eq!(why(9999, at), InheritedSocketError::NotOpen(9999));
        assert!(matches!(
            why(passed.as_raw_fd(), told("127.0.0.2:1")),
            InheritedSocketError::AddressMismatch(..)
        ));
        for text in ["", "x", "-1", "0", "2", "3.0"] {
            assert_eq!(parse_descriptor(text), Err(InheritedSocketError::InvalidNumber(text.into())));
        }
        assert_eq!(parse_descriptor("3"), Ok(3));
        for error in [why(9999, at), why(udp.as_raw_fd(), at), parse_descriptor("x").unwrap_err()] {
            let line = error.to_string();
            assert!(line.contains(';') && !line.contains('\n'), "{line}");
        }
    }
}
