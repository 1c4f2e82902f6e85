//! Recognises system call errors that are caused by exhausted resources of this machine.

use std::io;

use rustix::io::Errno;

/// Whether a connection could not be established or accepted because this machine has run out of memory, file
/// descriptors, buffers or ports. The peer is not at fault.
pub fn is_local_resource_exhaustion(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    let exhaustion_errors = [Errno::NOMEM, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL];
    errno.is_some_and(|errno| exhaustion_errors.contains(&errno))
}
