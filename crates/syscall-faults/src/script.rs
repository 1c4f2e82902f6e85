//! Which calls fail, and how: rules of the form `CALL:FAULT:EVERY:MOST`.
//!
//! `CALL` is `accept`, `socket`, `connect`, `receive`, `send` or `clock`; `FAULT` is an error's name, `short` for calls that
//! carry bytes, or a step in seconds for the wall clock. Each `EVERY`th call meets the fault, and `MOST` of them at most,
//! or all if that is 0.

use std::ffi::c_int;
use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A call that can fail.
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
    /// `clock_gettime` of the wall clock.
    WallClock,
}

/// What a call meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error and does nothing.
    Errno(c_int),
    /// It carries a few bytes only.
    Short,
    /// The clock tells so many seconds more.
    Step(i64),
}

/// A rule that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRule(String);

impl fmt::Display for BadRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is no rule; write CALL:FAULT:EVERY:MOST", self.0)
    }
}

impl std::error::Error for BadRule {}

#[derive(Debug)]
struct Rule {
    call: Call,
    fault: Fault,
    every: usize,
    most: usize,
    met: AtomicUsize,
}

/// The rules of a process, with how often each call was met.
#[derive(Debug)]
pub struct Script(Vec<Rule>);

impl Script {
    /// Whether a rule is about such calls.
    pub fn names(&self, call: Call) -> bool {
        self.0.iter().any(|rule| rule.call == call)
    }

    /// Counts a call; tells the fault that it meets, and the number of its rule.
    pub fn next(&self, call: Call) -> Option<(usize, Fault)> {
        let rules = self.0.iter().enumerate().filter(|(_, rule)| rule.call == call);
        rules.map(|(number, rule)| rule.next().map(|fault| (number, fault))).fold(None, Option::or)
    }
}

impl Rule {
    fn next(&self) -> Option<Fault> {
        let met = self.met.fetch_add(1, Ordering::Relaxed) + 1;
        let due = met.is_multiple_of(self.every) && (self.most == 0 || met / self.every <= self.most);
        due.then_some(self.fault)
    }
}

impl FromStr for Script {
    type Err = BadRule;

    fn from_str(text: &str) -> Result<Script, BadRule> {
        text.split_whitespace().map(str::parse).collect::<Result<_, _>>().map(Script)
    }
}

impl FromStr for Rule {
    type Err = BadRule;

    fn from_str(text: &str) -> Result<Rule, BadRule> {
        let bad = || BadRule(text.to_owned());
        let parts: Vec<&str> = text.split(':').collect();
        let &[call, fault, every, most] = parts.as_slice() else { return Err(bad()) };
        let call = call_of(call).ok_or_else(bad)?;
        let fault = fault_of(call, fault).ok_or_else(bad)?;
        let every = every.parse().ok().filter(|&every| every > 0).ok_or_else(bad)?;
        let most = most.parse().map_err(|_| bad())?;
        Ok(Rule { call, fault, every, most, met: AtomicUsize::new(0) })
    }
}

fn call_of(name: &str) -> Option<Call> {
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

fn fault_of(call: Call, name: &str) -> Option<Fault> {
    if call == Call::WallClock {
        return name.parse().ok().map(Fault::Step);
    }
    let carries = matches!(call, Call::Receive | Call::Send);
    Some(match name {
        "short" if carries => Fault::Short,
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
