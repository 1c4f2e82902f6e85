//! Fault injection for system calls, for tests: a library that is preloaded into a process with `LD_PRELOAD`.
//!
//! The variable `SYSCALL_FAULTS` holds the rules, separated by whitespace; see [`script`] for their form. They apply
//! while the file named by `SYSCALL_FAULTS_SWITCH` exists, or always if that variable is not set. Each injected fault
//! appends one byte, '0' plus its rule's index (from 0), to the file named by `SYSCALL_FAULTS_LOG`, if that is set.

#![allow(missing_docs)] // the exported C functions are documented in their manual pages

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::OnceLock;

use libc::{clockid_t, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};

pub mod script;

use script::{Call, Fault, Script};

/// Maximum number of bytes that a short read or write transfers.
const MAX_SHORT_TRANSFER_BYTES: usize = 3;

static SCRIPT: OnceLock<Script> = OnceLock::new();

fn environment_variable(name: &CStr) -> Option<&'static CStr> {
    // SAFETY: the name is NUL-terminated; the programs under test do not change their environment.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    // SAFETY: a non-null result is a NUL-terminated string in the environment, which lives as long as the process.
    (!value.is_null()).then(|| unsafe { CStr::from_ptr(value) })
}

fn is_injection_enabled() -> bool {
    // SAFETY: the path is NUL-terminated.
    environment_variable(c"SYSCALL_FAULTS_SWITCH")
        .is_none_or(|path| unsafe { libc::access(path.as_ptr(), libc::F_OK) == 0 })
}

fn log_injected_fault(rule_index: usize) {
    let Some(path) = environment_variable(c"SYSCALL_FAULTS_LOG") else { return };
    let byte = b'0' + u8::try_from(rule_index).unwrap_or(u8::MAX - b'0');
    // SAFETY: the path is NUL-terminated; the one byte written is a live local variable.
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

/// Whether `fd` is an IPv4 socket; faults are injected into no other descriptor. The async runtime receives signals
/// through a private socket pair and ends the process if a read from it fails, which on Linux never happens to a
/// non-blocking read of such a pair.
fn is_ipv4_socket(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: the call writes at most `length` bytes, the size of `domain`.
    let status = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &raw mut length)
    };
    status == 0 && domain == libc::AF_INET
}

/// Counts a call on a descriptor, while injection is enabled, and returns the fault to inject, if any; always `None` if
/// `fd` is not an IPv4 socket.
fn next_socket_fault(fd: c_int, call: Call) -> Option<Fault> {
    if is_ipv4_socket(fd) { next_fault(call) } else { None }
}

/// Counts a call, while injection is enabled, and returns the fault to inject, if any. Ends the process with status 2 if
/// the script is invalid.
fn next_fault(call: Call) -> Option<Fault> {
    let script = SCRIPT.get_or_init(|| {
        let text =
            environment_variable(c"SYSCALL_FAULTS").and_then(|text| text.to_str().ok()).unwrap_or_default();
        text.parse().unwrap_or_else(|error| {
            eprintln!("SYSCALL_FAULTS: {error}");
            // SAFETY: `_exit` has no preconditions and does not return.
            unsafe { libc::_exit(2) }
        })
    });
    if !script.has_rule_for(call) || !is_injection_enabled() {
        return None;
    }
    let (rule_index, fault) = script.next_fault(call)?;
    log_injected_fault(rule_index);
    Some(fault)
}

/// Sets `errno` and returns -1, the result of a failed call.
fn fail_with_errno(errno: c_int) -> c_int {
    // SAFETY: `__errno_location` returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Looks up the C library's function that the preloaded one of the same name overrides (`RTLD_NEXT`).
macro_rules! next_function {
    ($name:literal as $signature:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let name: *const c_char = $name.as_ptr();
        // SAFETY, for the caller's unsafe block: the name is NUL-terminated, and the C library's function of this name
        // has this signature.
        let address = *ADDRESS.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, name) as usize);
        std::mem::transmute::<usize, $signature>(address)
    }};
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type SendMessage = unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t;
type WriteVectored = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type ClockGetTime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// # Safety
/// The requirements are those of `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    addr: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match next_socket_fault(fd, Call::Accept) {
        Some(Fault::Errno(errno)) => fail_with_errno(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        _ => unsafe { next_function!(c"accept4" as Accept)(fd, addr, length, flags) },
    }
}

/// # Safety
/// The requirements are those of `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let fault = if domain == libc::AF_INET { next_fault(Call::Socket) } else { None };
    match fault {
        Some(Fault::Errno(errno)) => fail_with_errno(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        _ => unsafe { next_function!(c"socket" as Socket)(domain, kind, protocol) },
    }
}

/// # Safety
/// The requirements are those of `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, addr: *const sockaddr, length: socklen_t) -> c_int {
    match next_socket_fault(fd, Call::Connect) {
        Some(Fault::Errno(errno)) => fail_with_errno(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        _ => unsafe { next_function!(c"connect" as Connect)(fd, addr, length) },
    }
}

/// # Safety
/// The requirements are those of `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match next_socket_fault(fd, Call::Receive) {
        Some(Fault::Errno(errno)) => return fail_with_errno(errno) as ssize_t,
        Some(Fault::ShortTransfer) => length.min(MAX_SHORT_TRANSFER_BYTES),
        _ => length,
    };
    // SAFETY: the caller's arguments are passed on, with a length that is no greater.
    unsafe { next_function!(c"recv" as Receive)(fd, bytes, length, flags) }
}

/// # Safety
/// The requirements are those of `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match next_socket_fault(fd, Call::Send) {
        Some(Fault::Errno(errno)) => return fail_with_errno(errno) as ssize_t,
        Some(Fault::ShortTransfer) => length.min(MAX_SHORT_TRANSFER_BYTES),
        _ => length,
    };
    // SAFETY: the caller's arguments are passed on, with a length that is no greater.
    unsafe { next_function!(c"send" as Send)(fd, bytes, length, flags) }
}

/// # Safety
/// The requirements are those of `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, slices: *const iovec, count: c_int) -> ssize_t {
    match next_socket_fault(fd, Call::Send) {
        Some(Fault::Errno(errno)) => fail_with_errno(errno) as ssize_t,
        // SAFETY: `count` is positive, so the first slice exists; it alone is passed on, no longer than it was.
        Some(Fault::ShortTransfer) if count > 0 => unsafe {
            let first = *slices;
            let short = iovec { iov_len: first.iov_len.min(MAX_SHORT_TRANSFER_BYTES), ..first };
            next_function!(c"writev" as WriteVectored)(fd, &raw const short, 1)
        },
        // SAFETY: the caller's arguments are passed on unchanged.
        _ => unsafe { next_function!(c"writev" as WriteVectored)(fd, slices, count) },
    }
}

/// # Safety
/// The requirements are those of `sendmsg(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    match next_socket_fault(fd, Call::Send) {
        Some(Fault::Errno(errno)) => fail_with_errno(errno) as ssize_t,
        // SAFETY: the caller's arguments are passed on unchanged.
        _ => unsafe { next_function!(c"sendmsg" as SendMessage)(fd, message, flags) },
    }
}

/// # Safety
/// The requirements are those of `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let status = unsafe { next_function!(c"clock_gettime" as ClockGetTime)(clock, time) };
    if status == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(Fault::ClockStep(seconds)) = next_fault(Call::WallClock)
    {
        // SAFETY: the call succeeded, so `time` is valid and has been written.
        unsafe { (*time).tv_sec += seconds };
    }
    status
}
