//! One node among its siblings.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use lilacquay_codec::siblings::{
    DIGEST_BUCKETS, DecodeError, MAX_DATAGRAM_BYTES, MAX_REQUESTED_ROWS, Message, NodeFlags, Row, decode,
    encode,
};

use crate::Micros;
use crate::gossip_queue::Spread;
use crate::parameters::Terms;
use crate::pause_detector::{Noticed, Pulse};
use crate::peer_monitor::Watch;
use crate::ring::Ring;
use crate::self_state::Own;
use crate::share::{HALF, Part, WHOLE};
use crate::view::{Known, State, Taken, View, Why};

/// Nodes off the ring's neighbourhood that are spoken to in each period: these learn of all nodes in turn.
const FAR: usize = 3;
/// Of more news than a datagram holds, so many rows in brief, more are told in a period, up to so many more.
const HOLDS: usize = 6;
const IN_A_STORM: usize = 12;
/// A datagram grows no longer than this by what is told in turn, in bytes.
const IN_TURN: usize = 170;
/// News that can't wait is passed on at once to so many.
const PASSED_ON: usize = 2;
/// Datagrams beyond those of each period: so many at once, and so many a second.
const AT_ONCE: u64 = 20;
const A_SECOND: u64 = 20;
/// Another process under our name was seen so often in so long: that is no word from our own past.
const RIVALS: u32 = 3;
const RIVAL_TIME: Micros = 10_000_000;
/// A process that has run for so long gives way to one that has not.
const ESTABLISHED: Micros = 30_000_000;
/// Changes that nobody has fetched yet, at most.
const CHANGES: usize = 4096;
/// A row that is so many beats older than the newest is of another life.
const LATE_BEATS: u32 = 64;
/// A node that doubts itself waits longer, by a thousandth part so often for each point, up to so many points.
const DOUBT: u64 = 125;
const MOST_DOUBT: u64 = 8;

/// Which node it is, among how many.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Setup {
    /// Its place in the list of nodes.
    pub me: usize,
    /// How many the list has.
    pub nodes: usize,
    /// The site's number; datagrams of others are not read.
    pub site: u32,
    /// For random choices. Another one with each start.
    pub seed: u64,
    /// Times and bounds.
    pub terms: Terms,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Out {
    /// To which node.
    pub to: usize,
    /// 256 bytes at most.
    pub datagram: Vec<u8>,
}

/// Something that has changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Change {
    /// Another node is held to be something else.
    State {
        /// Which node.
        node: usize,
        /// What it was.
        was: State,
        /// What it is.
        is: State,
        /// Its incarnation.
        incarnation: u64,
        /// On what evidence.
        why: Why,
    },
    /// This node was paused: it takes nothing of that time for a sign.
    Paused {
        /// For how long, by the clock that showed it.
        time: Micros,
    },
    /// This node has begun a new incarnation.
    Began {
        /// Which.
        incarnation: u64,
        /// How many of its watchers held the one before to be gone.
        denied: usize,
    },
    /// Enough watchers confirm this node again, or no longer.
    Confirmed(bool),
    /// Another process runs under this node's name, and this one has given way.
    Superseded,
}

/// What has come and gone, for whoever runs the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Datagrams that were read.
    pub read: u64,
    /// Datagrams that were none, cut, garbled, or of another than their sender.
    pub unread: u64,
    /// Datagrams of another site or list.
    pub strangers: u64,
    /// Pauses of its own.
    pub pauses: u64,
}

/// Another node, for whoever looks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fellow {
    /// Its place in the list.
    pub node: usize,
    /// What it is.
    pub state: State,
    /// On what evidence.
    pub why: Why,
    /// Since when.
    pub since: Micros,
    /// Its incarnation; 0 if none is known.
    pub incarnation: u64,
    /// When its newest row came, and by whom.
    pub heard: Option<(Micros, usize)>,
    /// Whether its own datagrams come, where we watch it.
    pub we_hear: Option<bool>,
    /// Whether ours come to it, by its own word, where it watches us.
    pub hears_us: Option<bool>,
    /// It is watched, and was silent for three periods.
    pub suspected: bool,
}

/// A way from one node to another, as the one at its end tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Way {
    /// Whose datagrams.
    pub from: usize,
    /// Come to whom.
    pub to: usize,
    /// Or do not.
    pub open: bool,
}

/// Random choices, that are a part of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Dice(fastrand::Rng);

impl Hash for Dice {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.get_seed().hash(state);
    }
}

/// One node among its siblings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Siblings {
    setup: Setup,
    ring: Ring,
    started: Micros,
    own: Own,
    pulse: Pulse,
    /// The nodes that it watches, in the order of the ring, and what it knows of each.
    watched: Vec<usize>,
    watches: Vec<Watch>,
    view: View,
    spread: Spread,
    /// What each was last told to be, and since when.
    states: Vec<(State, Micros, Why)>,
    /// Sends at once that are left, in millionths.
    tokens: u64,
    refilled: Micros,
    /// By the place on the ring: it has said that its view is another.
    differs: Vec<bool>,
    /// When anybody has said so last.
    disagreed: Micros,
    /// When a datagram of each node itself came last, and when each was last sought because others miss it.
    direct: Vec<Option<Micros>>,
    sought: Vec<Option<Micros>>,
    /// When each was last answered at once.
    answered: Vec<Option<Micros>>,
    paused: bool,
    doubt: u64,
    leaving: bool,
    superseded: bool,
    rivals: (u32, Micros),
    confirmed: bool,
    changes: VecDeque<Change>,
    counts: Counts,
    dice: Dice,
}

impl Siblings {
    /// A node that starts and knows nobody. Both clocks are handed in: a steady one from any start, and Unix time.
    pub fn new(setup: Setup, now: Micros, wall: Micros) -> Siblings {
        let (ring, mut dice) = (Ring::new(setup.nodes), fastrand::Rng::with_seed(setup.seed));
        let own = Own::new(&ring, &setup.terms, now, wall, dice.u8(..));
        let watched: Vec<usize> = ring.of(setup.me).collect();
        let watched_count = watched.len();
        Siblings {
            started: now,
            own,
            pulse: Pulse::new(now, wall, setup.terms.late),
            watches: vec![Watch::default(); watched.len()],
            watched,
            view: View::new(setup.nodes, setup.terms.period / 2),
            spread: Spread::new(setup.nodes, dice.usize(..setup.nodes.max(1))),
            states: vec![(State::Unknown, now, Why::NeverHeard); setup.nodes],
            tokens: AT_ONCE * 1_000_000,
            refilled: now,
            differs: vec![true; watched_count],
            disagreed: now,
            direct: vec![None; setup.nodes],
            sought: vec![None; setup.nodes],
            answered: vec![None; setup.nodes],
            paused: false,
            doubt: 0,
            leaving: false,
            superseded: false,
            rivals: (0, now),
            confirmed: false,
            changes: VecDeque::new(),
            counts: Counts::default(),
            dice: Dice(dice),
            ring,
            setup,
        }
    }

    // ---- what happens ----

    /// When [`Siblings::tick`] is to be called next, at the latest.
    pub fn due(&self) -> Micros {
        self.pulse.due()
    }

    /// A datagram came from the address of this node. Tells what is to be sent.
    pub fn heard(&mut self, now: Micros, wall: Micros, from: usize, datagram: &[u8]) -> Vec<Out> {
        let mut out = Vec::new();
        let said = match decode(self.setup.site, datagram) {
            Ok(said) => said,
            Err(DecodeError::WrongSite) => {
                self.counts.strangers += 1;
                return out;
            }
            Err(DecodeError::Malformed | DecodeError::ChecksumMismatch) => {
                self.counts.unread += 1;
                return out;
            }
        };
        let first = said.rows.first().copied();
        // Guards against: a datagram that was led astray, or sent again by another.
        let Some(first) = first.filter(|row| usize::from(row.origin) == from && from != self.setup.me) else {
            self.counts.unread += 1;
            return out;
        };
        self.counts.read += 1;
        self.wake(now, wall);
        if self.superseded {
            return out;
        }
        self.direct[from] = Some(now);
        let met = self.view.get(from).is_none_or(|known| known.row.incarnation < first.incarnation);
        // Also where a life before had the same number by chance: no datagram comes so late.
        let behind = self.view.get(from).is_some_and(|known| {
            let same = known.row.incarnation == first.incarnation;
            known.row.incarnation > first.incarnation
                || same && known.row.heartbeat > first.heartbeat.saturating_add(LATE_BEATS)
        });
        let mut cries = false;
        for (n, row) in said.rows.iter().enumerate() {
            cries |= self.take(now, *row, false, from, n == 0);
        }
        // Of those beside it a node hears more, and a brief would hide that.
        for row in &said.brief_rows {
            if !self.watched.contains(&usize::from(row.origin)) {
                self.take(now, *row, true, from, false);
            }
        }
        let differs = said.epoch != self.view.epoch();
        self.disagreed = if differs { now } else { self.disagreed };
        match self.watched.iter().position(|&watched| watched == from) {
            Some(at) => self.differs[at] = differs,
            // It has not told where: it is told where ours lies, and answers with what we lack.
            None if differs && said.digests.is_none() => self.at_once(now, from, false, &mut out),
            None => {}
        }
        self.settle(now, &mut out);
        if cries {
            self.seek(now, &said.rows, &mut out);
            for _ in 0..PASSED_ON {
                // What is left of them is for answers.
                if let Some(far) = self.somebody_far(now).filter(|_| self.tokens > AT_ONCE * 500_000) {
                    self.at_once(now, far, false, &mut out);
                }
            }
        }
        self.answer_wants(now, from, &said.requested_nodes, &mut out);
        self.answer_digests(now, from, said.digests, &mut out);
        let lacks = !first.flags.confirmed || first.flags.needs_relay;
        // Guards against: two that both lack word and answer one another's answers without end.
        let lately = self.answered[from].is_some_and(|at| now < at + self.setup.terms.period / 5);
        let missed = self.watched.iter().position(|&watched| watched == from).is_some_and(|at| {
            // It has heard nothing of us for longer than it should: what was sent is lost.
            self.own.acked(at).is_none_or(|sent| now > sent + self.setup.terms.period * 5 / 4)
        });
        if behind || met || !lately && (missed || lacks || self.in_need(now)) {
            self.answered[from] = Some(now);
            self.at_once(now, from, behind, &mut out);
        }
        out
    }

    /// Tells one that asks what it lacks, as far as that is known here for certain and of late.
    fn answer_wants(&mut self, now: Micros, to: usize, wants: &[u16], out: &mut Vec<Out>) {
        let stale = self.setup.terms.fresh(self.setup.nodes) / 2;
        let lately = |node: &u16| {
            let known = self.view.get(usize::from(*node))?;
            let good = now <= known.at + stale && known.row.flags.confirmed;
            (good && usize::from(*node) != to).then_some(known.row)
        };
        let rows: Vec<Row> = wants.iter().filter_map(lately).collect();
        if !rows.is_empty() && self.has_token() {
            self.own_row(now);
            let mut said = self.opening();
            rows.into_iter().for_each(|row| _ = said.add(row, true, MAX_DATAGRAM_BYTES));
            self.put(to, &said, out);
        }
    }

    /// Tells one whose view is another what it may lack: the nodes of a bucket in which they differ.
    fn answer_digests(
        &mut self,
        now: Micros,
        to: usize,
        theirs: Option<[u16; DIGEST_BUCKETS]>,
        out: &mut Vec<Out>,
    ) {
        let Some(theirs) = theirs else { return };
        let ours = self.view.digests();
        let differ: Vec<usize> =
            (0..DIGEST_BUCKETS).filter(|&bucket| ours[bucket] != theirs[bucket]).collect();
        if differ.is_empty() || !self.has_token() {
            return;
        }
        self.own_row(now);
        let mut said = self.opening();
        let first = self.dice.0.usize(..differ.len());
        for &bucket in differ[first..].iter().chain(&differ[..first]) {
            let mut nodes: Vec<usize> = self.view.bucket(bucket).filter(|&node| node != to).collect();
            self.dice.0.shuffle(&mut nodes);
            for known in nodes.into_iter().filter_map(|node| self.view.get(node)) {
                // Who is gone is so by its watchers' words, which no brief tells.
                let by = match &known.gone {
                    Some((_, Why::Expired { by })) if known.is_gone() => by.as_slice(),
                    _ => &[],
                };
                let words = by.iter().filter_map(|&by| self.view.get(by)).map(|known| (known.row, false));
                for (row, brief) in words.chain([(known.row, true)]) {
                    if !said.has_row_of(row.origin) && !said.add(row, brief, MAX_DATAGRAM_BYTES) {
                        return self.put(to, &said, out);
                    }
                }
            }
        }
        self.put(to, &said, out);
    }

    /// What it knows nothing certain of, a few at a time.
    fn wants(&mut self) -> Vec<u16> {
        let lacks = |&node: &usize| self.states[node].0 == State::Unknown && node != self.setup.me;
        let first = if self.numbers()[2] > MAX_REQUESTED_ROWS { self.spread.in_turn() } else { 0 };
        let (low, high) = (0..first, first..self.setup.nodes);
        high.chain(low).filter(lacks).take(MAX_REQUESTED_ROWS).map(|node| node as u16).collect()
    }

    /// Time has passed. Tells what is to be sent.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<Out> {
        let mut out = Vec::new();
        self.wake(now, wall);
        self.pulse.next(now, self.setup.terms.period);
        if self.superseded {
            return out;
        }
        for at in 0..self.watches.len() {
            if self.watches[at].tick(now, &self.setup.terms, self.doubt * DOUBT) {
                self.own_row(now);
                self.view.judge(&self.ring, self.watched[at]);
            }
        }
        self.mind_health(now);
        self.settle(now, &mut out);
        self.own_row(now);
        for at in 0..self.watched.len() {
            self.send(now, self.watched[at], false, &mut out);
            // Asked again before anybody else is: what was lost is lost on one way more often than on all.
            let (watch, wait) = (&self.watches[at], self.setup.terms.period * 5 / 4);
            if !watch.is_expired() && watch.silent_for(now, wait) {
                self.at_once(now, self.watched[at], false, &mut out);
            }
        }
        for _ in 0..FAR + (self.spread.pending() / HOLDS).min(IN_A_STORM) {
            if let Some(far) = self.somebody_far(now) {
                self.send(now, far, false, &mut out);
            }
        }
        self.paused = false;
        for node in 0..self.setup.nodes {
            self.tell_state(now, node);
        }
        out
    }

    /// It leaves: from here on it uses nothing shared. Tells what is to be sent; the ticks after it say so again.
    pub fn leave(&mut self, now: Micros) -> Vec<Out> {
        let mut out = Vec::new();
        if !self.superseded {
            self.leaving = true;
            self.own_row(now);
            for at in 0..self.watched.len() {
                self.send(now, self.watched[at], false, &mut out);
            }
            for _ in 0..FAR {
                if let Some(far) = self.somebody_far(now) {
                    self.send(now, far, false, &mut out);
                }
            }
        }
        out
    }

    // ---- what is known ----

    /// What it may use.
    pub fn part(&self, now: Micros) -> Part {
        if self.leaving || self.superseded {
            return Part::NOTHING;
        }
        if self.ring.to_be_confirmed() == 0 {
            return Part::ALWAYS;
        }
        let until = self.own.confirmed_until();
        if now >= until {
            return Part::NOTHING;
        }
        let beside = 0..self.watched.len().min(2);
        let own = if self.own.settled(now) {
            Part { thousandths: WHOLE, until }
        } else {
            let confirms = beside.clone().map(|at| self.own.confirmed_by(at)).filter(|&until| now < until);
            confirms.fold(Part::NOTHING, |part, until| part.with(HALF, until))
        };
        let taken = beside.filter_map(|at| self.taken_until(at)).filter(|&until| now < until);
        taken.fold(own, |part, until| part.with(HALF, until)).no_longer_than(until)
    }

    /// Until when a piece of the part of a node beside it is its own, if it is: enough watchers hold that one to be
    /// gone, this node among them, and the others did so after a heartbeat of ours that is younger than a lease.
    fn taken_until(&self, at: usize) -> Option<Micros> {
        let (node, watch) = (self.watched[at], &self.watches[at]);
        let known = self.view.get(node)?;
        if !watch.is_expired() || watch.incarnation() != known.row.incarnation || !known.is_gone() {
            return None;
        }
        let says = |&(at, &watcher): &(usize, &usize)| {
            let place = self.ring.place(watcher, node).filter(|_| watcher != node);
            let row = self.view.get(watcher).map(|known| &known.row);
            self.own.acked(at).is_some()
                && row.zip(place).is_some_and(|(row, place)| {
                    let heard = row.heard[place];
                    heard.expired && heard.incarnation == known.row.incarnation as u32
                })
        };
        let words = self.watched.iter().enumerate().filter(says).filter_map(|(at, _)| self.own.acked(at));
        let mut words: Vec<Micros> = words.map(|sent| sent + self.setup.terms.lease).collect();
        words.sort_unstable_by(|a, b| b.cmp(a));
        // This node is one of those that it takes.
        words.get(self.ring.to_be_gone().checked_sub(2)?).copied()
    }

    /// What a node is, and on what evidence.
    pub fn state(&self, now: Micros, node: usize) -> (State, Why) {
        let terms = &self.setup.terms;
        let Some(known) = self.view.get(node) else { return (State::Unknown, Why::NeverHeard) };
        if let Some((_, why)) = known.gone.as_ref().filter(|_| known.is_gone()) {
            return (State::Gone, why.clone());
        }
        if now > known.at + terms.fresh(self.setup.nodes) {
            return (State::Unknown, Why::Silent);
        }
        if !known.row.flags.confirmed {
            return (State::Unknown, Why::Unconfirmed);
        }
        if let Some(at) = self.watched.iter().position(|&watched| watched == node) {
            if self.watches[at].silent_for(now, terms.outlasts()) {
                return (State::Unknown, Why::Silent);
            }
            if self.own.acked(at).is_none_or(|sent| now > sent + terms.outlasts()) {
                return (State::Unknown, Why::Deaf);
            }
        }
        let by = known.by;
        (State::Here, known.newer_than.map_or(Why::Heard { by }, |than| Why::Newer { than, by }))
    }

    /// How many of the others are here, gone and not known.
    pub fn numbers(&self) -> [usize; 3] {
        let others = self.states.iter().enumerate().filter(|(node, _)| *node != self.setup.me);
        others.fold([0; 3], |mut all, (_, (state, ..))| {
            all[match state {
                State::Here => 0,
                State::Gone => 1,
                State::Unknown => 2,
            }] += 1;
            all
        })
    }

    /// All others.
    pub fn fellows(&self, now: Micros) -> Vec<Fellow> {
        let others = (0..self.setup.nodes).filter(|&node| node != self.setup.me);
        others.map(|node| self.fellow(now, node)).collect()
    }

    fn fellow(&self, now: Micros, node: usize) -> Fellow {
        let terms = &self.setup.terms;
        let (state, why) = self.state(now, node);
        let known = self.view.get(node);
        let at = self.watched.iter().position(|&watched| watched == node);
        let hears_us =
            |known: &Known| self.ring.place(node, self.setup.me).map(|place| known.row.heard[place].direct);
        Fellow {
            node,
            state,
            why,
            since: self.states[node].1,
            incarnation: known.map_or(0, |known| known.row.incarnation),
            heard: known.map(|known| (known.at, known.by)),
            we_hear: at.map(|at| self.watches[at].is_direct(now, terms)),
            hears_us: known.and_then(hears_us),
            suspected: at.is_some_and(|at| self.watches[at].silent_for(now, 3 * terms.period)),
        }
    }

    /// The ways on the ring, as far as a fresh row tells of them.
    pub fn ways(&self, now: Micros) -> Vec<Way> {
        let fresh = |to: &usize| {
            let known = self.view.get(*to);
            known.is_some_and(|known| {
                known.told.is_some()
                    && !known.is_gone()
                    && now <= known.at + self.setup.terms.fresh(self.setup.nodes)
            })
        };
        let into = |to: usize| {
            let row = self.view.get(to).map(|known| known.row);
            let told = self.ring.of(to).enumerate();
            told.filter_map(move |(at, from)| Some(Way { from, to, open: row?.heard[at].direct }))
        };
        (0..self.setup.nodes).filter(fresh).flat_map(into).collect()
    }

    /// A number of the view: those who agree on who lives in which incarnation, and who is gone, have the same.
    pub fn epoch(&self) -> u32 {
        self.view.epoch()
    }

    /// The node's own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation()
    }

    /// The incarnation of another that it knows, and whether that is held to be gone.
    pub fn known(&self, node: usize) -> Option<(u64, bool)> {
        self.view.get(node).map(|known| (known.row.incarnation, known.is_gone()))
    }

    /// Whether enough watchers confirm this node.
    pub fn is_confirmed(&self, now: Micros) -> bool {
        now < self.own.confirmed_until()
    }

    /// Whether another process has taken this node's name.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// How much the node doubts its own hearing, from 0 to 8: each point makes it wait longer, up to twice as long.
    pub fn doubt(&self) -> u64 {
        self.doubt
    }

    /// What has come and gone.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Rows that are news and not yet told often enough.
    pub fn pending(&self) -> usize {
        self.spread.pending()
    }

    /// What has changed since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        self.changes.drain(..).collect()
    }

    /// Which node this is, among how many, by which figures.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    // ---- inside ----

    fn change(&mut self, change: Change) {
        if self.changes.len() < CHANGES {
            self.changes.push_back(change);
        }
    }

    /// Looks at the clocks before anything is acted on: whoever was paused accuses nobody for what it did not hear.
    fn wake(&mut self, now: Micros, wall: Micros) {
        let noticed = self.pulse.look(now, wall);
        self.own.look(now);
        let Noticed { late, slept } = noticed;
        if slept > 0 {
            self.own.slept(slept);
            self.view.slept(slept);
        }
        if noticed.any() {
            for watch in &mut self.watches {
                watch.paused(now, late, &self.setup.terms);
            }
            self.paused = true;
            self.counts.pauses += 1;
            self.doubt = (self.doubt + 2).min(MOST_DOUBT);
            self.change(Change::Paused { time: late.max(slept) });
        }
        let passed = now.saturating_sub(self.refilled);
        (self.tokens, self.refilled) = ((self.tokens + passed * A_SECOND).min(AT_ONCE * 1_000_000), now);
    }

    /// Takes one row, or a brief. `direct`: it came from the node itself. Tells whether it says what can't wait.
    fn take(&mut self, now: Micros, row: Row, brief: bool, by: usize, direct: bool) -> bool {
        let node = usize::from(row.origin);
        if node >= self.setup.nodes {
            return false;
        }
        if node == self.setup.me {
            self.rival(now, row);
            return false;
        }
        let stale = self.setup.terms.fresh(self.setup.nodes) * 3 / 4;
        let taken = self.view.take(now, row, brief, by, stale);
        if !matches!(taken, Taken::News | Taken::Ends) {
            self.spread.told_by_another(node, taken == Taken::Same);
        }
        if matches!(taken, Taken::Old | Taken::Same) {
            return false;
        }
        if let Some(at) = self.watched.iter().position(|&watched| watched == node) {
            if self.watches[at].heard(now, row.incarnation, row.heartbeat) {
                self.own.met(at, now);
            }
            if direct {
                self.watches[at].spoke(now);
            }
            if let Some(place) = self.ring.place(node, self.setup.me) {
                self.own.heard_by(at, row.heard[place]);
            }
        }
        match taken {
            Taken::News => self.spread.news(node, false, false),
            Taken::Ends => self.spread.news(node, true, row.flags.needs_relay),
            Taken::Old | Taken::Same | Taken::Beat => {}
        }
        let near: Vec<usize> = self.ring.of(node).collect();
        for (place, &other) in near.iter().enumerate() {
            if row.heard[place].expired {
                self.view.judge(&self.ring, other);
                self.tell_state(now, other);
            }
        }
        self.view.judge(&self.ring, node);
        self.tell_state(now, node);
        taken == Taken::Ends || taken == Taken::News && row.flags.leaving
    }

    /// Speaks to those that others miss: there may be a way from here, and no other.
    fn seek(&mut self, now: Micros, rows: &[Row], out: &mut Vec<Out>) {
        for row in rows.iter().filter(|row| row.flags.needs_relay) {
            let near: Vec<usize> = self.ring.of(usize::from(row.origin)).collect();
            for (place, node) in near.into_iter().enumerate() {
                let heard = row.heard[place];
                let missed = !heard.direct && !heard.expired && node != self.setup.me;
                let lately = self.sought[node].is_some_and(|sought| now < sought + self.setup.terms.lease);
                if missed && !lately && !self.watched.contains(&node) {
                    self.sought[node] = Some(now);
                    self.at_once(now, node, false, out);
                }
            }
        }
    }

    /// Word of this node itself that it has not given: of a life before, or of another process under its name.
    fn rival(&mut self, now: Micros, row: Row) {
        let ahead = row.version() > (self.own.incarnation(), self.own.heartbeat());
        if !ahead {
            return;
        }
        let (seen, since) = self.rivals;
        self.rivals = if now > since + RIVAL_TIME { (1, now) } else { (seen + 1, since) };
        // Of two that have run for long one gives way, whichever; else the one that has run for long.
        let lower = self.own.incarnation() & 0xFF < row.incarnation & 0xFF;
        let enough = if lower { RIVALS } else { 4 * RIVALS };
        if now > self.started + ESTABLISHED && self.rivals.0 >= enough {
            self.superseded = true;
            return self.change(Change::Superseded);
        }
        self.begin(now, row.incarnation);
    }

    /// Begins a new incarnation. What was said to the one before is nothing.
    fn begin(&mut self, now: Micros, other: u64) {
        let denied = self.own.denied();
        self.own.begin(now, other);
        self.change(Change::Began { incarnation: self.own.incarnation(), denied });
    }

    /// Goes by what has been heard: begins anew where it must, tells whether it is confirmed.
    fn settle(&mut self, now: Micros, out: &mut Vec<Out>) {
        let before = self.own.incarnation();
        if self.own.should_begin(now) {
            self.begin(now, 0);
        }
        self.own.look(now);
        let confirmed = self.is_confirmed(now);
        if confirmed != self.confirmed {
            self.confirmed = confirmed;
            self.change(Change::Confirmed(confirmed));
        }
        if self.own.incarnation() != before {
            for at in 0..self.watched.len() {
                self.at_once(now, self.watched[at], false, out);
            }
        }
    }

    /// Whether it lacks word of one that it watches, or theirs of it, or has it by a way round alone.
    fn in_need(&self, now: Micros) -> bool {
        let terms = &self.setup.terms;
        let missed = |watch: &Watch| {
            !watch.is_expired()
                && (watch.silent_for(now, 7 * terms.period / 2)
                    || watch.is_heard() && !watch.was_direct(now, 6 * terms.period))
        };
        // One that has just begun is about to be confirmed.
        self.own.lacks(now) && self.own.has_run(now, terms.period) || self.watches.iter().any(missed)
    }

    /// Points of doubt: many silent at once, or a pause of its own, tell more of this node than of the others.
    fn mind_health(&mut self, now: Micros) {
        let quiet =
            |watch: &&Watch| !watch.is_expired() && watch.silent_for(now, 3 * self.setup.terms.period);
        let silent = self.watches.iter().filter(quiet).count();
        self.doubt = match 2 * silent > self.watches.len() {
            true => (self.doubt + 1).min(MOST_DOUBT),
            false => self.doubt.saturating_sub(1),
        };
    }

    /// Its own row, with the next heartbeat, as the newest of its own.
    fn own_row(&mut self, now: Micros) {
        self.own.beats(now);
        let mut row = Row {
            origin: self.setup.me as u16,
            incarnation: self.own.incarnation(),
            heartbeat: self.own.heartbeat(),
            flags: NodeFlags {
                confirmed: self.is_confirmed(now),
                leaving: self.leaving,
                needs_relay: self.in_need(now),
                paused: self.paused,
            },
            watches: self.watched.len() as u8,
            ..Row::default()
        };
        for (heard, watch) in row.heard.iter_mut().zip(&self.watches) {
            *heard = watch.told(now, &self.setup.terms);
        }
        self.view.take(now, row, false, self.setup.me, Micros::MAX / 2);
    }

    /// Sends to one beyond the turn, as far as there is room for that.
    fn at_once(&mut self, now: Micros, to: usize, with_its_own: bool, out: &mut Vec<Out>) {
        if self.has_token() {
            self.own_row(now);
            self.send(now, to, with_its_own, out);
        }
    }

    /// Takes one of the sends beyond the turn, if one is left.
    fn has_token(&mut self) -> bool {
        let left = self.tokens >= 1_000_000;
        self.tokens -= if left { 1_000_000 } else { 0 };
        left
    }

    fn put(&mut self, to: usize, said: &Message, out: &mut Vec<Out>) {
        let datagram = encode(self.setup.site, said);
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        out.push(Out { to, datagram });
    }

    /// What each datagram begins with.
    fn opening(&self) -> Message {
        let rows = self.view.get(self.setup.me).map(|known| known.row).into_iter().collect();
        Message { epoch: self.view.epoch(), rows, ..Message::default() }
    }

    /// One that it doesn't watch, for word to get round: one that is here, or any, and one whose datagrams come where
    /// word is missing.
    fn somebody_far(&mut self, now: Micros) -> Option<usize> {
        if self.setup.nodes <= self.watched.len() + 1 {
            return None;
        }
        let (any, known_way) = (self.dice.0.bool(), self.in_need(now) && self.dice.0.bool());
        let near = |direct: Option<Micros>| direct.is_some_and(|at| now < at + self.setup.terms.lease);
        if known_way {
            let ways =
                (0..self.setup.nodes).filter(|node| near(self.direct[*node]) && !self.watched.contains(node));
            let ways: Vec<usize> = ways.collect();
            if !ways.is_empty() {
                return Some(ways[self.dice.0.usize(..ways.len())]);
            }
        }
        for _ in 0..8 {
            let node = self.dice.0.usize(..self.setup.nodes);
            let good = any || self.states[node].0 == State::Here;
            if node != self.setup.me && !self.watched.contains(&node) && good {
                return Some(node);
            }
        }
        None
    }

    fn send(&mut self, now: Micros, to: usize, with_its_own: bool, out: &mut Vec<Out>) {
        let row = |view: &View, node: usize| view.get(node).map(|known| known.row);
        let mut said = self.opening();
        let beside = self.watched.iter().position(|&watched| watched == to);
        if with_its_own {
            said.rows.extend(row(&self.view, to)); // so that it learns of the life before, or of its double
        }
        if beside.is_none() {
            said.requested_nodes = self.wants();
            let lately = now < self.disagreed + 2 * self.setup.terms.period;
            said.digests = lately.then(|| self.view.digests());
        }
        // Any way round: what one hears and another doesn't.
        for &node in &self.watched {
            let fresh = |known: &&Known| now <= known.at + 2 * self.setup.terms.period;
            let Some(known) = self.view.get(node).filter(fresh) else { continue };
            let place = self.ring.place(to, node);
            let deaf = row(&self.view, to).zip(place).is_some_and(|(row, place)| !row.heard[place].direct);
            if node != to && deaf && said.length() + known.row.length() <= MAX_DATAGRAM_BYTES {
                said.rows.push(known.row);
            }
        }
        for _ in 0..self.spread.pending() {
            let Some((node, whole)) = self.spread.next() else { break };
            let news = row(&self.view, node).filter(|_| node != to && !said.has_row_of(node as u16));
            if news.is_some_and(|row| !said.add(row, !whole, MAX_DATAGRAM_BYTES)) {
                break;
            }
            self.spread.told(node);
        }
        // One beside it that sees the same learns nothing from all others' rows.
        let agrees = beside.is_some_and(|at| !self.differs[at]);
        for _ in 0..self.setup.nodes.min(if agrees { 0 } else { 32 }) {
            let node = self.spread.in_turn();
            let other = row(&self.view, node).filter(|_| node != to && !said.has_row_of(node as u16));
            if other.is_some_and(|row| !said.add(row, true, IN_TURN)) {
                break;
            }
        }
        self.put(to, &said, out);
    }

    /// Tells what a node has become, if that is something else.
    fn tell_state(&mut self, now: Micros, node: usize) {
        if node == self.setup.me {
            return;
        }
        let (is, why) = self.state(now, node);
        let was = self.states[node].0;
        if is != was {
            self.states[node] = (is, now, why.clone());
            let incarnation = self.view.get(node).map_or(0, |known| known.row.incarnation);
            self.change(Change::State { node, was, is, incarnation, why });
        }
    }
}
