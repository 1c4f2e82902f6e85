//! What a call of the system fails with where this machine lacks something.

use std::io;

use rustix::io::Errno;

/// Whether a connection could not be made or accepted since this machine has no memory, descriptor, buffer or port for
/// it. The peer is not at fault.
pub fn is_local_resource_exhaustion(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    let shortages = [Errno::NOMEM, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL];
    errno.is_some_and(|errno| shortages.contains(&errno))
}
