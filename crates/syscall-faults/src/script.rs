//! Parses and applies fault-injection rules of the form `CALL:FAULT:EVERY:MOST`.
//!
//! `CALL` is `accept`, `socket`, `connect`, `receive`, `send` or `clock`. `FAULT` is the name of an error such as
//! `EINTR`, `short` for a short transfer (`receive` and `send` only; without effect on `sendmsg`), or, for `clock`, the
//! seconds to add to the wall clock. The fault is injected into every `EVERY`th call, at most `MOST` times, or without
//! limit if `MOST` is 0.

use std::ffi::c_int;
use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A system call, or group of calls, into which faults can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv`.
    Receive,
    /// `send`, `sendmsg` and `writev`.
    Send,
    /// `clock_gettime` for the wall clock, `CLOCK_REALTIME`.
    WallClock,
}

/// A fault to inject into a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call has no effect and fails with this `errno`.
    Errno(c_int),
    /// The call transfers only a few bytes.
    ShortTransfer,
    /// The number of seconds added to the time that the clock reports.
    ClockStep(i64),
}

/// The text of a rule that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRule(String);

impl fmt::Display for InvalidRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid rule {:?}; expected CALL:FAULT:EVERY:MOST", self.0)
    }
}

impl std::error::Error for InvalidRule {}

#[derive(Debug)]
struct Rule {
    call: Call,
    fault: Fault,
    /// The fault is injected into each call whose number is a multiple of this; greater than 0.
    interval: usize,
    /// Maximum number of faults injected; 0 for no limit.
    max_injections: usize,
    /// Number of matching calls so far, with and without a fault.
    calls: AtomicUsize,
}

/// The rules of a process, each with the number of matching calls so far.
#[derive(Debug)]
pub struct Script(Vec<Rule>);

impl Script {
    /// Whether any rule applies to this call.
    pub fn has_rule_for(&self, call: Call) -> bool {
        self.0.iter().any(|rule| rule.call == call)
    }

    /// Counts a call in every rule that applies to it. Returns the index of the first rule that injects a fault, and the
    /// fault.
    pub fn next_fault(&self, call: Call) -> Option<(usize, Fault)> {
        let rules = self.0.iter().enumerate().filter(|(_, rule)| rule.call == call);
        rules.map(|(index, rule)| rule.next_fault().map(|fault| (index, fault))).fold(None, Option::or)
    }
}

impl Rule {
    fn next_fault(&self) -> Option<Fault> {
        let calls = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let due = calls.is_multiple_of(self.interval)
            && (self.max_injections == 0 || calls / self.interval <= self.max_injections);
        due.then_some(self.fault)
    }
}

impl FromStr for Script {
    type Err = InvalidRule;

    fn from_str(text: &str) -> Result<Script, InvalidRule> {
        text.split_whitespace().map(str::parse).collect::<Result<_, _>>().map(Script)
    }
}

impl FromStr for Rule {
    type Err = InvalidRule;

    fn from_str(text: &str) -> Result<Rule, InvalidRule> {
        let invalid = || InvalidRule(text.to_owned());
        let parts: Vec<&str> = text.split(':').collect();
        let &[call, fault, interval, max_injections] = parts.as_slice() else { return Err(invalid()) };
        let call = parse_call(call).ok_or_else(invalid)?;
        let fault = parse_fault(call, fault).ok_or_else(invalid)?;
        let interval = interval.parse().ok().filter(|&interval| interval > 0).ok_or_else(invalid)?;
        let max_injections = max_injections.parse().map_err(|_| invalid())?;
        Ok(Rule { call, fault, interval, max_injections, calls: AtomicUsize::new(0) })
    }
}

fn parse_call(name: &str) -> Option<Call> {
    Some(match name {
        "accept" => Call::Accept,
        "socket" => Call::Socket,
        "connect" => Call::Connect,
        "receive" => Call::Receive,
        "send" => Call::Send,
        "clock" => Call::WallClock,
        _ => return None,
    })
}

fn parse_fault(call: Call, name: &str) -> Option<Fault> {
    if call == Call::WallClock {
        return name.parse().ok().map(Fault::ClockStep);
    }
    let is_transfer = matches!(call, Call::Receive | Call::Send);
    Some(match name {
        "short" if is_transfer => Fault::ShortTransfer,
        "ECONNABORTED" => Fault::Errno(libc::ECONNABORTED),
        "EADDRNOTAVAIL" => Fault::Errno(libc::EADDRNOTAVAIL),
        "EHOSTUNREACH" => Fault::Errno(libc::EHOSTUNREACH),
        "EINTR" => Fault::Errno(libc::EINTR),
        "EMFILE" => Fault::Errno(libc::EMFILE),
        "ENETUNREACH" => Fault::Errno(libc::ENETUNREACH),
        "ENFILE" => Fault::Errno(libc::ENFILE),
        "ENOBUFS" => Fault::Errno(libc::ENOBUFS),
        "ENOMEM" => Fault::Errno(libc::ENOMEM),
        "EPROTO" => Fault::Errno(libc::EPROTO),
        "EPERM" => Fault::Errno(libc::EPERM),
        "ETIMEDOUT" => Fault::Errno(libc::ETIMEDOUT),
        _ => return None,
    })
}
