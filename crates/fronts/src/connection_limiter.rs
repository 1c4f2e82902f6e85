//! Who among the clients' connections has to go when others are to be let in. No I/O, no clock: times are handed in, in
//! microseconds from any start.
//!
//! A connection on which something is owed is not known here and stays. The others are *guests*, of three kinds.
//! Beyond the most that may rest the one who has rested for longest goes at once. When room is needed, one goes in
//! this order:
//!
//! 1. who has been silent since it came, once what was on its way must have come;
//! 2. who rests, once it has been left in peace for a while after its last answer;
//! 3. who is silent, however new;
//! 4. who is in the midst of a command: the one who has been at it for longest, since true ones come to an end.
//!
//! While another process takes connections at the same address, whoever is at its part of the bounds closes on nobody
//! who may be about to ask (3 and 4) before the other has had the time to take who comes, and then one goes for one that
//! comes: a part that has just become smaller is no reason to close what it holds. [`goes`] says which.
//!
//! A step costs no more with a hundred thousand guests than with ten but for the depth of a tree.

use std::collections::BTreeMap;

/// A time, or a length of it, in microseconds.
pub type Micros = u64;

/// What is on its way from a new client has come after so long.
pub const NEW: Micros = 300_000;
/// A connection that has been of use is left in peace for so long.
pub const IN_USE: Micros = 2_000_000;

/// With another process at the same address, who comes is its guest within so long, if it has room.
pub const COMPANY: Micros = 100_000;

/// Who may be closed for one that wants to come in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Goes {
    /// Only who is silent for long, or rests for long.
    Idle,
    /// Whoever is next.
    Anyone,
}

/// Who may be closed for one that has waited for so long.
pub fn goes(in_company: bool, waited: Micros) -> Goes {
    if in_company && waited < COMPANY { Goes::Idle } else { Goes::Anyone }
}

/// What a guest does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guest {
    /// Has had no request yet.
    Silent,
    /// Rests between requests.
    Resting,
    /// Has sent a part of a command.
    Sending,
}

/// A guest's place: since when it does so, and its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    guest: Guest,
    since: Micros,
    number: u64,
}

impl Place {
    /// What the guest does.
    pub fn guest(&self) -> Guest {
        self.guest
    }
}

/// The guests, with something for each by which it is told to go.
#[derive(Debug)]
pub struct Door<T> {
    silent: BTreeMap<(Micros, u64), T>,
    resting: BTreeMap<(Micros, u64), T>,
    sending: BTreeMap<(Micros, u64), T>,
    most_resting: usize,
    last: u64,
}

impl<T> Door<T> {
    /// For so many who rest, at most.
    pub fn new(most_resting: usize) -> Self {
        let (silent, resting, sending) = Default::default();
        Door { silent, resting, sending, most_resting, last: 0 }
    }

    fn of(&mut self, guest: Guest) -> &mut BTreeMap<(Micros, u64), T> {
        match guest {
            Guest::Silent => &mut self.silent,
            Guest::Resting => &mut self.resting,
            Guest::Sending => &mut self.sending,
        }
    }

    /// A guest takes its place. Tells who has to go for it.
    ///
    /// Guards against: clients that ask once on each connection and keep it, until they may open no more. Covers
    /// pools that never shrink. It hurts clients that keep more connections than that and use all in turn: each
    /// request then pays for a new one.
    pub fn enter(&mut self, guest: Guest, since: Micros, told_by: T) -> (Place, Option<T>) {
        self.last += 1;
        let number = self.last;
        let place = Place { guest, since, number };
        self.of(guest).insert((since, number), told_by);
        let crowded = guest == Guest::Resting && self.resting.len() > self.most_resting;
        let goes = if crowded { self.resting.pop_first().map(|(_, told_by)| told_by) } else { None };
        (place, goes)
    }

    /// A guest gives up its place; nothing if it was told to go before.
    pub fn leave(&mut self, place: Place) -> Option<T> {
        self.of(place.guest).remove(&(place.since, place.number))
    }

    /// Who has to go so that another may come in; nobody if there are no such guests.
    pub fn make_room(&mut self, now: Micros, goes: Goes) -> Option<T> {
        let waited = |guests: &BTreeMap<(Micros, u64), T>, time: Micros| {
            guests.first_key_value().is_some_and(|((since, _), _)| now >= since.saturating_add(time))
        };
        let guest = if waited(&self.silent, NEW) {
            Guest::Silent
        } else if waited(&self.resting, IN_USE) {
            Guest::Resting
        } else if goes == Goes::Idle {
            return None;
        } else if !self.silent.is_empty() {
            Guest::Silent
        } else {
            Guest::Sending
        };
        self.of(guest).pop_first().map(|(_, told_by)| told_by)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guests that come, go and are told to go in any order, held against a plain list of them.
    #[test]
    fn who_goes_is_who_the_order_says_whatever_has_passed() {
        for seed in 0..40 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let most = rng.usize(1..8);
            let (mut door, mut plain, mut now) = (Door::new(most), Vec::<(Place, u64)>::new(), 0);
            for n in 0..2_000_u64 {
                now += rng.u64(0..200_000);
                let oldest = |plain: &[(Place, u64)], guest| {
                    plain.iter().filter(|(p, _)| p.guest == guest).min_by_key(|(p, _)| *p).map(|p| p.1)
                };
                let gone = match rng.u8(0..6) {
                    0 if !plain.is_empty() => {
                        let (place, number) = plain[rng.usize(..plain.len())];
                        assert_eq!(door.leave(place), Some(number));
                        assert_eq!(door.leave(place), None, "once");
                        Some(number)
                    }
                    1 => {
                        let who = [Goes::Idle, Goes::Anyone][rng.usize(0..2)];
                        let since = |number| plain.iter().find(|p| p.1 == number).map_or(0, |p| p.0.since);
                        let (silent, resting) =
                            (oldest(&plain, Guest::Silent), oldest(&plain, Guest::Resting));
                        let expected = silent
                            .filter(|&n| now >= since(n) + NEW)
                            .or(resting.filter(|&n| now >= since(n) + IN_USE))
                            .or(silent.filter(|_| who == Goes::Anyone))
                            .or(oldest(&plain, Guest::Sending).filter(|_| who == Goes::Anyone));
                        let goes = door.make_room(now, who);
                        assert_eq!(goes, expected, "seed {seed}");
                        goes
                    }
                    _ => {
                        let guest = [Guest::Silent, Guest::Resting, Guest::Sending][rng.usize(0..3)];
                        let (place, goes) = door.enter(guest, now, n);
                        plain.push((place, n));
                        let resting = plain.iter().filter(|(p, _)| p.guest == Guest::Resting).count();
                        assert_eq!(goes.is_some(), resting > most, "seed {seed}");
                        assert!(goes.is_none() || goes == oldest(&plain, Guest::Resting));
                        goes
                    }
                };
                plain.retain(|(_, number)| Some(*number) != gone);
            }
        }
    }

    #[test]
    fn in_company_nobody_who_may_ask_goes_before_the_other_process_had_its_time() {
        assert_eq!([goes(true, 0), goes(true, COMPANY - 1)], [Goes::Idle; 2]);
        assert_eq!([goes(true, COMPANY), goes(false, 0)], [Goes::Anyone; 2]);
    }

    #[test]
    fn a_step_among_a_hundred_thousand_is_quick() {
        let mut door = Door::new(100_000);
        let start = std::time::Instant::now();
        for n in 0..100_000 {
            let (place, _) = door.enter(Guest::Resting, n, n);
            if n % 3 == 0 {
                door.leave(place);
            }
        }
        while door.make_room(u64::MAX, Goes::Anyone).is_some() {}
        // A walk over all guests at each step took minutes.
        assert!(start.elapsed() < std::time::Duration::from_secs(10), "{:?}", start.elapsed());
    }
}
