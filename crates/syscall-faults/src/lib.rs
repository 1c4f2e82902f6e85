//! System calls that fail by a script, for tests.
//!
//! The library is preloaded into a process (`LD_PRELOAD`). The variable `SYSCALL_FAULTS` names what fails, as rules
//! separated by spaces; see [`script`]. They apply while the file exists that `SYSCALL_FAULTS_SWITCH` names, or always if
//! that is not set. Each injected fault appends its rule's number, one byte, to the file that `SYSCALL_FAULTS_LOG` names.

#![allow(missing_docs)] // the C functions are documented in their manual pages

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::OnceLock;

use libc::{clockid_t, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};

pub mod script;

use script::{Call, Fault, Script};

/// A short read or write takes so many bytes.
const SHORT: usize = 3;

static SCRIPT: OnceLock<Script> = OnceLock::new();

fn variable(name: &CStr) -> Option<&'static CStr> {
    // SAFETY: the name ends in a nought; the environment is not changed by the programs under test.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    // SAFETY: what is not null is a string of the environment, which lasts.
    (!value.is_null()).then(|| unsafe { CStr::from_ptr(value) })
}

fn is_switched_on() -> bool {
    // SAFETY: the path ends in a nought.
    variable(c"SYSCALL_FAULTS_SWITCH")
        .is_none_or(|path| unsafe { libc::access(path.as_ptr(), libc::F_OK) == 0 })
}

fn note(rule: usize) {
    let Some(path) = variable(c"SYSCALL_FAULTS_LOG") else { return };
    let byte = b'0' + u8::try_from(rule).unwrap_or(u8::MAX - b'0');
    // SAFETY: the path ends in a nought; one byte is written from one that lives.
    unsafe {
        let file = libc::open(
            path.as_ptr(),
            libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC,
            0o600,
        );
        libc::write(file, (&raw const byte).cast(), 1);
        libc::close(file);
    }
}

/// Whether a socket is one of the internet's. Others stay as they are: the runtime hears of signals by a pair of its own,
/// and ends the process where reading that fails, which Linux's calls that do not wait never do.
fn is_internet(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: the call writes a number of that length at most.
    let done = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &raw mut length)
    };
    done == 0 && domain == libc::AF_INET
}

/// The fault that this call on a socket meets, if any.
fn fault_at(fd: c_int, call: Call) -> Option<Fault> {
    if is_internet(fd) { fault(call) } else { None }
}

/// The fault that this call meets, if any.
fn fault(call: Call) -> Option<Fault> {
    let script = SCRIPT.get_or_init(|| {
        let text = variable(c"SYSCALL_FAULTS").and_then(|text| text.to_str().ok()).unwrap_or_default();
        text.parse().unwrap_or_else(|error| {
            eprintln!("SYSCALL_FAULTS: {error}");
            // SAFETY: it does not return.
            unsafe { libc::_exit(2) }
        })
    });
    if !script.names(call) || !is_switched_on() {
        return None;
    }
    let (rule, fault) = script.next(call)?;
    note(rule);
    Some(fault)
}

/// Sets the error; the value that a call returns then.
fn fails(errno: c_int) -> c_int {
    // SAFETY: the place of this thread's error.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The next function of that name, which the preloaded one hides.
macro_rules! hidden {
    ($name:literal as $signature:ty) => {{
        static HIDDEN: OnceLock<usize> = OnceLock::new();
        let name: *const c_char = $name.as_ptr();
        // SAFETY, in the caller's block: the name ends in a nought; the C library's function of this name has this signature.
        let found = *HIDDEN.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, name) as usize);
        std::mem::transmute::<usize, $signature>(found)
    }};
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type SendMessage = unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t;
type WriteSlices = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type ClockGetTime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// # Safety
/// As for accept4(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    addr: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match fault_at(fd, Call::Accept) {
        Some(Fault::Errno(errno)) => fails(errno),
        // SAFETY: the caller's arguments.
        _ => unsafe { hidden!(c"accept4" as Accept)(fd, addr, length, flags) },
    }
}

/// # Safety
/// As for socket(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let met = if domain == libc::AF_INET { fault(Call::Socket) } else { None };
    match met {
        Some(Fault::Errno(errno)) => fails(errno),
        // SAFETY: the caller's arguments.
        _ => unsafe { hidden!(c"socket" as Socket)(domain, kind, protocol) },
    }
}

/// # Safety
/// As for connect(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, addr: *const sockaddr, length: socklen_t) -> c_int {
    match fault_at(fd, Call::Connect) {
        Some(Fault::Errno(errno)) => fails(errno),
        // SAFETY: the caller's arguments.
        _ => unsafe { hidden!(c"connect" as Connect)(fd, addr, length) },
    }
}

/// # Safety
/// As for recv(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match fault_at(fd, Call::Receive) {
        Some(Fault::Errno(errno)) => return fails(errno) as ssize_t,
        Some(Fault::Short) => length.min(SHORT),
        _ => length,
    };
    // SAFETY: the caller's arguments, of no greater length.
    unsafe { hidden!(c"recv" as Receive)(fd, bytes, length, flags) }
}

/// # Safety
/// As for send(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match fault_at(fd, Call::Send) {
        Some(Fault::Errno(errno)) => return fails(errno) as ssize_t,
        Some(Fault::Short) => length.min(SHORT),
        _ => length,
    };
    // SAFETY: the caller's arguments, of no greater length.
    unsafe { hidden!(c"send" as Send)(fd, bytes, length, flags) }
}

/// # Safety
/// As for writev(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, slices: *const iovec, count: c_int) -> ssize_t {
    match fault_at(fd, Call::Send) {
        Some(Fault::Errno(errno)) => fails(errno) as ssize_t,
        // SAFETY: the caller's arguments, and the first slice of them alone.
        Some(Fault::Short) if count > 0 => unsafe {
            let first = *slices;
            let short = iovec { iov_len: first.iov_len.min(SHORT), ..first };
            hidden!(c"writev" as WriteSlices)(fd, &raw const short, 1)
        },
        // SAFETY: the caller's arguments.
        _ => unsafe { hidden!(c"writev" as WriteSlices)(fd, slices, count) },
    }
}

/// # Safety
/// As for sendmsg(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    match fault_at(fd, Call::Send) {
        Some(Fault::Errno(errno)) => fails(errno) as ssize_t,
        // SAFETY: the caller's arguments.
        _ => unsafe { hidden!(c"sendmsg" as SendMessage)(fd, message, flags) },
    }
}

/// # Safety
/// As for clock_gettime(2).
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments.
    let done = unsafe { hidden!(c"clock_gettime" as ClockGetTime)(clock, time) };
    if done == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(Fault::Step(seconds)) = fault(Call::WallClock)
    {
        // SAFETY: the call has filled it.
        unsafe { (*time).tv_sec += seconds };
    }
    done
}
