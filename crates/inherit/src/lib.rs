//! Takes over the listening socket that the platform passes to a process as a file descriptor number.
//!
//! A number refers to whatever this process has open under it; only the platform vouches that it is a socket. Rust's
//! standard library accepts such a number only with `unsafe`, since code that closes a descriptor owned by another
//! part of the program breaks that part. Here the number is borrowed for one system call that duplicates it: the
//! duplicate is owned, and the original stays open with no owner in this process. No well-maintained crate was found
//! that takes a descriptor in another way than through systemd's variables, which this platform does not set.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};

use socket2::{Socket, Type};

/// Why an inherited descriptor can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InheritedSocketError {
    /// The text is not a descriptor number above the standard streams.
    InvalidNumber(String),
    /// No descriptor with this number is open.
    NotOpen(RawFd),
    /// It is not a TCP socket listening on IPv4 or IPv6.
    NotListening(RawFd, &'static str),
    /// It listens on another address (first) than the configured one (second).
    AddressMismatch(SocketAddr, SocketAddr),
    /// Another error of the operating system.
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
                write!(f, "descriptor {fd} is {what}; pass a listening TCP socket")
            }
            InheritedSocketError::AddressMismatch(actual, configured) => {
                write!(
                    f,
                    "the passed socket listens on {actual}, but the node is configured for {configured}; make the two agree"
                )
            }
            InheritedSocketError::Os(fd, what) => {
                write!(f, "descriptor {fd} can't be used: {what}; pass a listening TCP socket")
            }
        }
    }
}

impl std::error::Error for InheritedSocketError {}

/// Parses a descriptor number given by the platform.
///
/// # Errors
/// If the text is not a number, or names one of the standard streams.
pub fn parse_descriptor(text: &str) -> Result<RawFd, InheritedSocketError> {
    let fd = text.trim().parse().ok().filter(|&fd: &RawFd| fd > 2);
    fd.ok_or_else(|| InheritedSocketError::InvalidNumber(text.to_owned()))
}

/// Duplicates an inherited descriptor and returns it as a non-blocking listener, with close-on-exec set. Several
/// processes may accept from it; the kernel chooses which of them gets a connection.
///
/// # Errors
/// If the descriptor is closed, is not a listening TCP socket, or listens elsewhere than `configured`. A `configured`
/// port of 0, or an unspecified address on either side, matches any.
pub fn inherited_listener(fd: RawFd, configured: SocketAddr) -> Result<TcpListener, InheritedSocketError> {
    let socket = Socket::from(duplicate(fd)?);
    let os_error = |error: std::io::Error| match error.raw_os_error() {
        Some(88) => InheritedSocketError::NotListening(fd, "not a socket"), // ENOTSOCK
        _ => InheritedSocketError::Os(fd, error.to_string()),
    };
    if socket.r#type().map_err(os_error)? != Type::STREAM {
        return Err(InheritedSocketError::NotListening(fd, "not a TCP socket"));
    }
    if !socket.is_listener().map_err(os_error)? {
        return Err(InheritedSocketError::NotListening(fd, "a socket that does not listen"));
    }
    let actual = socket.local_addr().map_err(os_error)?.as_socket();
    let actual = actual.ok_or(InheritedSocketError::NotListening(fd, "not a TCP socket"))?;
    let is_any_address = actual.ip().is_unspecified() || configured.ip().is_unspecified();
    if configured.port() != 0 && configured.port() != actual.port()
        || !is_any_address && configured.ip() != actual.ip()
    {
        return Err(InheritedSocketError::AddressMismatch(actual, configured));
    }
    socket.set_nonblocking(true).map_err(os_error)?;
    Ok(socket.into())
}

/// Duplicates a descriptor; the caller owns the duplicate.
fn duplicate(fd: RawFd) -> Result<OwnedFd, InheritedSocketError> {
    if fd < 3 {
        return Err(InheritedSocketError::InvalidNumber(fd.to_string()));
    }
    // SAFETY: the borrowed descriptor is used only for fcntl(F_DUPFD_CLOEXEC), which closes nothing and fails with EBADF
    // if no such descriptor is open. Nothing in this process can close it meanwhile, since nothing owns it.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    rustix::io::fcntl_dupfd_cloexec(borrowed, 3).map_err(|_| InheritedSocketError::NotOpen(fd))
}

#[cfg(test)]
mod tests {
    use std::fs::File;
    use std::net::UdpSocket;
    use std::os::fd::AsRawFd;

    use super::*;

    fn address(text: &str) -> SocketAddr {
        text.parse().unwrap()
    }

    #[test]
    fn a_duplicated_listener_shares_the_accept_queue() {
        let passed = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = passed.local_addr().unwrap();
        let duplicate = inherited_listener(passed.as_raw_fd(), at).unwrap();
        assert_eq!(duplicate.local_addr().unwrap(), at);
        let _client = std::net::TcpStream::connect(at).unwrap();
        assert!(duplicate.accept().is_ok());
        drop(duplicate);
        assert_eq!(passed.local_addr().unwrap(), at, "the original stays open");
        assert!(
            inherited_listener(passed.as_raw_fd(), address("127.0.0.1:0")).is_ok(),
            "a configured port of 0 matches any"
        );
    }

    #[test]
    fn an_unusable_descriptor_is_reported_with_a_remedy() {
        let file = File::open("/proc/self/stat").unwrap();
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let passed = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = passed.local_addr().unwrap();
        let client = std::net::TcpStream::connect(at).unwrap();
        let error = |fd, at| inherited_listener(fd, at).unwrap_err();
        assert_eq!(
            error(file.as_raw_fd(), at),
            InheritedSocketError::NotListening(file.as_raw_fd(), "not a socket")
        );
        assert_eq!(
            error(udp.as_raw_fd(), at),
            InheritedSocketError::NotListening(udp.as_raw_fd(), "not a TCP socket")
        );
        let what = "a socket that does not listen";
        assert_eq!(
            error(client.as_raw_fd(), at),
            InheritedSocketError::NotListening(client.as_raw_fd(), what)
        );
        assert_eq!(error(9999, at), InheritedSocketError::NotOpen(9999));
        assert!(matches!(
            error(passed.as_raw_fd(), address("127.0.0.2:1")),
            InheritedSocketError::AddressMismatch(..)
        ));
        for text in ["", "x", "-1", "0", "2", "3.0"] {
            assert_eq!(parse_descriptor(text), Err(InheritedSocketError::InvalidNumber(text.into())));
        }
        assert_eq!(parse_descriptor("3"), Ok(3));
        for failure in [error(9999, at), error(udp.as_raw_fd(), at), parse_descriptor("x").unwrap_err()] {
            let line = failure.to_string();
            assert!(line.contains(';') && !line.contains('\n'), "{line}");
        }
    }
}
