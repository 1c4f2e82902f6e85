//! Which system call errors count as exhausted resources of this machine.

use std::io::Error;

use lilacquay_core::is_local_resource_exhaustion;
use rustix::io::Errno;

/// A server must not be held responsible for a connection that failed for lack of local resources.
#[test]
fn a_server_was_blamed_for_what_this_machine_lacked() {
    for errno in [Errno::NOMEM, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL] {
        assert!(is_local_resource_exhaustion(&Error::from(errno)), "{errno}");
    }
    for errno in [Errno::CONNABORTED, Errno::CONNREFUSED, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::INTR]
    {
        assert!(!is_local_resource_exhaustion(&Error::from(errno)), "{errno}");
    }
}
