//! One node's copy, and how it is kept like the others'.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use lilacquay_codec::replica::{
    BRANCHES, BranchSums, Inventory, LeaseMessage, Message, Part, Record, RecordUpdate, Version, decode,
    encode,
};

use crate::gossip_queue::Rumours;
use crate::orders::{Action, Dot, KEPT, Order, Orders, Standing};
use crate::rate_limit::Pace;
use crate::store::{Held, LEVELS, Store, Taken, id_of, sum_of};
use crate::{Micros, kind};

/// How often a node speaks by itself.
const PERIOD: Micros = 250_000;
/// Others that it speaks to in each period, and that it passes urgent news on to at once.
const SPOKEN_TO: usize = 2;
const PASSED_ON: usize = 4;
/// A branch with so many records or fewer is told one by one.
const FEW: usize = 12;
/// Datagrams in answer to one that tells sums or what is held, and that give what is wanted.
const ANSWERS: usize = 6;
const GIVEN: usize = 40;
/// One whose copy is another is told so once in so long.
const AGAIN: Micros = 100_000;
/// An order is brought to those who have not said that they hold it for so long, to so many in each period.
const INSISTS: Micros = 5_000_000;
const INSISTED: usize = 40;
/// Orders of its own whose holders are counted.
const COUNTED: usize = 64;
/// One that is behind and hears of nobody level counts as level after so long: nobody knows more.
const ALONE: Micros = 2_000_000;
/// Words of rights that wait to be taken.
const RIGHTS: usize = 256;
/// Sends that news must leave for answers.
const FOR_ANSWERS: u64 = 20;

/// Which node it is, among how many.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Setup {
    /// Its place in the list of nodes.
    pub me: usize,
    /// How many the list has.
    pub nodes: usize,
    /// The site's number.
    pub site: u32,
    /// For random choices.
    pub seed: u64,
    /// Higher with each start of this node, as its siblings know it.
    pub incarnation: u64,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Out {
    /// To which node.
    pub to: usize,
    /// 256 bytes at most.
    pub datagram: Vec<u8>,
}

/// How far a node has come that has started, was paused or was cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It may lack what others hold, since then.
    Behind(Micros),
    /// It held what a level one held, since then.
    Level(Micros),
}

/// What is known of another's copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The sum of all that it held.
    pub root: u32,
    /// Whether it was behind by its own word.
    pub behind: bool,
    /// When it said so.
    pub at: Micros,
}

/// What has come and gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were read.
    pub read: u64,
    /// Datagrams that could not be read.
    pub unread: u64,
    /// Records that came and were news.
    pub news: u64,
    /// Records that a bound has kept out or taken away.
    pub dropped: u64,
}

/// So many orders are held that no further one is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Random choices, that are a part of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Dice(fastrand::Rng);

impl Hash for Dice {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.get_seed().hash(state);
    }
}

/// Who has said to hold an order of our own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holders {
    sum: u32,
    nodes: BTreeSet<usize>,
    until: Micros,
}

/// One node's copy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    setup: Setup,
    counter: u32,
    store: Store,
    orders: Orders,
    rumours: Rumours,
    pace: Pace,
    /// Who is here, as the siblings see it, and whether that is all of the list.
    here: Vec<usize>,
    all_here: bool,
    peers: BTreeMap<usize, Peer>,
    /// When each was last told that its copy is another.
    told: BTreeMap<usize, Micros>,
    holders: BTreeMap<u64, Holders>,
    stage: Stage,
    /// When one was last heard of that is level.
    level_heard: Option<Micros>,
    due: Micros,
    ticked: Micros,
    /// Rights that were asked for, lent or given back, and by whom.
    rights: Vec<(usize, LeaseMessage)>,
    /// What has changed since that was asked last: which kinds.
    changed: BTreeSet<u8>,
    counts: Counts,
    dice: Dice,
}

impl Replica {
    /// A copy that holds nothing.
    pub fn new(setup: Setup, now: Micros) -> Replica {
        Replica {
            counter: 0,
            store: Store::new(),
            orders: Orders::default(),
            rumours: Rumours::default(),
            pace: Pace::new(now),
            here: Vec::new(),
            all_here: false,
            peers: BTreeMap::new(),
            told: BTreeMap::new(),
            holders: BTreeMap::new(),
            stage: Stage::Behind(now),
            level_heard: None,
            due: now,
            ticked: now,
            rights: Vec::new(),
            changed: BTreeSet::new(),
            counts: Counts::default(),
            dice: Dice(fastrand::Rng::with_seed(setup.seed)),
            setup,
        }
    }

    // ---- what happens ----

    /// When [`Replica::tick`] is to be called next, at the latest.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Who is here now, as the siblings see it.
    pub fn set_here(&mut self, here: Vec<usize>) {
        self.all_here = here.len() + 1 >= self.setup.nodes;
        self.here = here;
    }

    /// This node was paused, cut off or not confirmed: what it holds may be old.
    pub fn fell_behind(&mut self, now: Micros) {
        if matches!(self.stage, Stage::Level(_)) {
            (self.stage, self.level_heard, self.due) = (Stage::Behind(now), None, now);
        }
    }

    /// A datagram came from the address of this node. Tells what is to be sent.
    pub fn heard(&mut self, now: Micros, from: usize, datagram: &[u8]) -> Vec<Out> {
        let mut out = Vec::new();
        let Ok(said) = decode(self.setup.site, datagram) else {
            self.counts.unread += 1;
            return out;
        };
        if from == self.setup.me || from >= self.setup.nodes {
            self.counts.unread += 1;
            return out;
        }
        self.counts.read += 1;
        self.pace.passed(now);
        let Message { root, behind, parts } = said;
        self.peers.insert(from, Peer { root, behind, at: now });
        self.level_heard = if behind { self.level_heard } else { Some(now) };
        let (mut answers, mut compared) = (Vec::new(), false);
        for part in parts {
            match part {
                Part::Record(sent) => self.came(now, from, sent, &mut answers, &mut out),
                Part::BranchSums(sums) => {
                    compared = true;
                    self.compare(&sums, &mut answers);
                }
                Part::Inventory(have) => {
                    compared = true;
                    self.complete(now, &have, &mut answers);
                }
                Part::Request(ids) => self.give(now, &ids, &mut answers),
                Part::Ack(list) => self.held_at(from, &list),
                // Guards against: a fellow that says more of rights than anybody takes.
                Part::Lease(rights) if self.rights.len() < RIGHTS => self.rights.push((from, rights)),
                Part::Lease(_) => {}
            }
        }
        self.answer(from, answers, &mut out);
        let differs = root != self.store.root();
        if differs && !compared && self.told.get(&from).is_none_or(|told| now >= told + AGAIN) {
            self.told.insert(from, now);
            let sums = self.branches(0, 0);
            self.answer(from, sums.map(Part::BranchSums).into_iter().collect(), &mut out);
        }
        if let (Stage::Behind(_), false, false) = (self.stage, differs, behind) {
            self.stage = Stage::Level(now);
        }
        out
    }

    /// Time has passed. Tells what is to be sent.
    pub fn tick(&mut self, now: Micros) -> Vec<Out> {
        let mut out = Vec::new();
        self.pace.passed(now);
        self.age(now);
        self.due = now + PERIOD;
        if let Stage::Behind(since) = self.stage
            && now >= since + ALONE
            && self.level_heard.is_none_or(|heard| now >= heard + ALONE)
        {
            self.stage = Stage::Level(now);
        }
        let behind = matches!(self.stage, Stage::Behind(_));
        for _ in 0..SPOKEN_TO {
            let Some(to) = self.somebody(None) else { break };
            let mut said = self.opening();
            if behind {
                said.parts.extend(self.branches(0, 0).map(Part::BranchSums));
            }
            self.fill(now, &mut said);
            self.put_out(to, &said, &mut out);
        }
        // More than fits goes to others, as long as there is room for it.
        for _ in 0..(self.rumours.len() / 4).min(8) {
            let Some(to) = self.somebody(None).filter(|_| self.pace.take(FOR_ANSWERS)) else { break };
            let mut said = self.opening();
            self.fill(now, &mut said);
            self.put_out(to, &said, &mut out);
        }
        self.insist(now, &mut out);
        out
    }

    // ---- what is written here ----

    /// Writes a record of this node; it takes the place of the one of that name.
    pub fn write(
        &mut self,
        now: Micros,
        kind: u8,
        name: &[u8],
        value: Vec<u8>,
        life: Option<Micros>,
    ) -> Taken {
        let origin = self.setup.me as u16;
        if let Some(before) = self.store.get(id_of(kind, origin, name)) {
            // Of a life before, where the clock went back since.
            self.rise(before.record.version.incarnation);
        }
        let version = self.next_version();
        let record = Record { kind, origin, name: name.into(), version, value };
        let until = life.map(|life| now + life);
        self.take(now, record, until)
    }

    /// Gives an order at this node. Tells the id by which its holders are counted.
    ///
    /// # Errors
    /// If there is no room for a further one.
    pub fn order(
        &mut self,
        now: Micros,
        subject: &[u8],
        action: Action,
        life: Option<Micros>,
        at: u32,
    ) -> Result<u64, Full> {
        let dot = Dot { origin: self.setup.me as u16, version: self.next_version() };
        let covers = self.orders.seen(subject);
        let order = Order { dot, action, subject: subject.into(), at, covers };
        let record = order.record().ok_or(Full)?;
        let until = match action {
            Action::Undrain => Some(now + KEPT),
            Action::LeaveOut => Some(now + life.unwrap_or(0) + KEPT),
            Action::Drain | Action::Level(_) => None,
        };
        let (id, sum) = (id_of(kind::ORDER, dot.origin, &record.name), sum_of(&record));
        match self.take(now, record, until) {
            Taken::New | Taken::Newer => {
                while self.holders.len() >= COUNTED {
                    self.holders.pop_first();
                }
                self.holders.insert(id, Holders { sum, nodes: BTreeSet::new(), until: now + INSISTS });
                self.due = now; // told without waiting for the next period
                Ok(id)
            }
            _ => Err(Full),
        }
    }

    /// Takes back a record of an order that was kept over a restart; one that was covered meanwhile is covered again.
    pub fn restore(&mut self, now: Micros, record: Record, left: Option<Micros>) -> Taken {
        self.take(now, record, left.map(|left| now + left))
    }

    // ---- what is known ----

    /// What stands, by subject, and for how long yet.
    pub fn orders(&self, now: Micros) -> impl Iterator<Item = (Standing<'_>, Option<Micros>)> {
        self.orders.standing().map(move |standing| {
            let until = self.store.get(standing.id).and_then(|held| held.until);
            (standing, until.map(|until| until.saturating_sub(now)))
        })
    }

    /// The records of a kind.
    pub fn of_kind(&self, kind: u8) -> impl Iterator<Item = &Held> {
        self.store.of_kind(kind).map(|(_, held)| held)
    }

    /// A record by its id.
    pub fn record(&self, id: u64) -> Option<&Held> {
        self.store.get(id)
    }

    /// All records, by id, with a number of what they say.
    pub fn all(&self) -> impl Iterator<Item = (u64, u32, &Held)> {
        self.store.all().map(|(id, held)| (id, held.sum(), held))
    }

    /// How many nodes hold an order of this one, itself included, as far as they have said so.
    pub fn holders(&self, id: u64) -> usize {
        1 + self.holders.get(&id).map_or(0, |holders| holders.nodes.len())
    }

    /// How far this node has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Who is known to hold what.
    pub fn peers(&self) -> &BTreeMap<usize, Peer> {
        &self.peers
    }

    /// A number of all that is told; copies that are alike have the same.
    pub fn root(&self) -> u32 {
        self.store.root()
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// What has come and gone.
    pub fn counts(&self) -> Counts {
        Counts { dropped: self.store.dropped, ..self.counts }
    }

    /// Which kinds have changed since this was asked last.
    pub fn changed(&mut self) -> BTreeSet<u8> {
        std::mem::take(&mut self.changed)
    }

    /// What was said of rights since this was asked last.
    pub fn rights(&mut self) -> Vec<(usize, LeaseMessage)> {
        std::mem::take(&mut self.rights)
    }

    /// A datagram that says something of rights.
    pub fn say(&mut self, to: usize, rights: LeaseMessage) -> Out {
        let mut said = self.opening();
        said.add(Part::Lease(rights));
        let mut out = Vec::new();
        self.put_out(to, &said, &mut out);
        out.remove(0)
    }

    // ---- records ----

    fn next_version(&mut self) -> Version {
        self.counter += 1;
        Version { incarnation: self.setup.incarnation, counter: self.counter }
    }

    /// Goes above an incarnation of this node that has written before.
    fn rise(&mut self, other: u64) {
        if other > self.setup.incarnation {
            (self.setup.incarnation, self.counter) = (other + 1, 0);
        }
    }

    /// A record came.
    fn came(
        &mut self,
        now: Micros,
        from: usize,
        sent: RecordUpdate,
        answers: &mut Vec<Part>,
        out: &mut Vec<Out>,
    ) {
        let RecordUpdate { record, remaining_tenths: left, ack_requested } = sent;
        let origin = usize::from(record.origin);
        if origin >= self.setup.nodes {
            return; // no node of the list
        }
        if origin == self.setup.me {
            self.rise(record.version.incarnation);
        }
        let (kind, id, sum) = (record.kind, id_of(record.kind, record.origin, &record.name), sum_of(&record));
        let until = left.map(|left| now + u64::from(left) * 100_000);
        let taken = self.take(now, record, until);
        match taken {
            Taken::New | Taken::Newer => {
                self.counts.news += 1;
                if kind != kind::EVIDENCE {
                    self.pass_on(now, id, from, out);
                }
            }
            Taken::Same => self.rumours.known(id),
            Taken::Old | Taken::Over | Taken::Full => {}
        }
        // Its origin counts who holds an order: at the first word of it, and whenever it asks.
        let held = matches!(taken, Taken::New | Taken::Newer | Taken::Same);
        if kind == kind::ORDER && held && origin != self.setup.me {
            if from == origin && (ack_requested || taken.is_news()) {
                answers.push(Part::Ack(vec![(id, sum)]));
            } else if taken.is_news() && self.here.contains(&origin) && self.pace.take(0) {
                let mut said = self.opening();
                said.add(Part::Ack(vec![(id, sum)]));
                self.put_out(origin, &said, out);
            }
        }
    }

    fn take(&mut self, now: Micros, record: Record, until: Option<Micros>) -> Taken {
        let (of, origin) = (record.kind, record.origin);
        let id = id_of(of, origin, &record.name);
        let order = Order::read(&record);
        if order.as_ref().is_some_and(|order| self.orders.is_covered(order)) {
            return Taken::Old;
        }
        let taken = self.store.take(now, record, until);
        if taken.is_news() {
            if let Some(order) = order {
                for covered in self.orders.enter(id, order) {
                    self.store.remove(covered);
                }
            }
            self.changed.insert(of);
            let times = (usize::BITS - self.setup.nodes.leading_zeros()) as u8;
            self.rumours.news(id, times);
        }
        taken
    }

    /// Ends what is over. The lives of tombstones stand still while not all are here.
    fn age(&mut self, now: Micros) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.ticked, now));
        // Guards against: tombstones that end in a pause of this node, in which it could not see who was away.
        let still = if self.all_here { passed.saturating_sub(4 * PERIOD) } else { passed };
        if still > 0 {
            let tombstone = |(id, order): (u64, &Order)| {
                let until = self.store.get(id)?.until?;
                order.is_tombstone(Some(until.saturating_sub(now - passed))).then_some((id, until + still))
            };
            let later: Vec<(u64, Micros)> = self.orders.all().filter_map(tombstone).collect();
            for (id, until) in later {
                self.store.set_until(id, Some(until));
            }
        }
        for (id, held) in self.store.expire(now) {
            if held.record.kind == kind::ORDER {
                self.orders.leave(id);
            }
            self.changed.insert(held.record.kind);
        }
        self.holders.retain(|_, holders| now < holders.until + 10 * INSISTS);
        self.peers.retain(|_, peer| now < peer.at + 60_000_000);
        self.told.retain(|_, told| now < *told + AGAIN);
    }

    fn sent(&self, now: Micros, id: u64, ack_requested: bool) -> Option<Part> {
        let held = self.store.get(id)?;
        Some(Part::Record(RecordUpdate {
            record: held.record.clone(),
            remaining_tenths: held.left(now),
            ack_requested,
        }))
    }

    // ---- news ----

    /// What can't wait for the next period.
    fn pass_on(&mut self, now: Micros, id: u64, from: usize, out: &mut Vec<Out>) {
        for _ in 0..PASSED_ON {
            let Some(to) = self.somebody(Some(from)).filter(|_| self.pace.take(FOR_ANSWERS)) else { return };
            let mut said = self.opening();
            said.parts.extend(self.sent(now, id, false));
            self.put_out(to, &said, out);
        }
    }

    /// Fills a datagram with what is news.
    fn fill(&mut self, now: Micros, said: &mut Message) {
        for _ in 0..self.rumours.len() {
            let Some(id) = self.rumours.next() else { return };
            if let Some(part) = self.sent(now, id, false)
                && !said.add(part)
            {
                self.rumours.news(id, 1);
                return;
            }
        }
    }

    /// Brings orders of its own to those who have not said that they hold them.
    fn insist(&mut self, now: Micros, out: &mut Vec<Out>) {
        let mut left = INSISTED;
        let open: Vec<(u64, Vec<usize>)> = self
            .holders
            .iter()
            .filter(|(_, holders)| now < holders.until)
            .map(|(id, holders)| {
                let lacks = |node: &usize| !holders.nodes.contains(node);
                (*id, self.here.iter().copied().filter(lacks).collect())
            })
            .collect();
        for (id, mut lacking) in open {
            self.dice.0.shuffle(&mut lacking);
            for to in lacking {
                if left == 0 || !self.pace.take(0) {
                    return;
                }
                left -= 1;
                let mut said = self.opening();
                said.parts.extend(self.sent(now, id, true));
                self.put_out(to, &said, out);
            }
        }
    }

    fn held_at(&mut self, node: usize, list: &[(u64, u32)]) {
        for (id, sum) in list {
            if let Some(holders) = self.holders.get_mut(id).filter(|holders| holders.sum == *sum) {
                holders.nodes.insert(node);
            }
        }
    }

    // ---- differences ----

    fn branches(&self, level: u8, path: u16) -> Option<BranchSums> {
        Some(BranchSums { level, path, sums: self.store.sums(level, path)? })
    }

    /// Tells more of each branch in which the other's copy differs.
    fn compare(&mut self, theirs: &BranchSums, answers: &mut Vec<Part>) {
        let Some(ours) = self.store.sums(theirs.level, theirs.path) else { return };
        let mut differ: Vec<usize> = (0..BRANCHES).filter(|&n| ours[n] != theirs.sums[n]).collect();
        self.dice.0.shuffle(&mut differ);
        for n in differ {
            let (level, path) = (theirs.level + 1, theirs.path * BRANCHES as u16 + n as u16);
            let (first, last) = Store::span(level, path);
            let some = self.store.list(first, last).take(FEW + 1).count();
            match self.branches(level, path).filter(|_| some > FEW && level < LEVELS) {
                Some(sums) => answers.push(Part::BranchSums(sums)),
                None => answers.extend(self.have(first, last)),
            }
        }
    }

    /// What is held in a span, in as many parts as it takes.
    fn have(&self, first: u64, last: u64) -> Vec<Part> {
        let all: Vec<(u64, u32)> = self.store.list(first, last).collect();
        let (mut parts, mut from) = (Vec::new(), first);
        let mut chunks = all.chunks(Inventory::MAX_ENTRIES).peekable();
        while let Some(chunk) = chunks.next() {
            let to = if chunks.peek().is_some() { chunk[chunk.len() - 1].0 } else { last };
            parts.push(Part::Inventory(Inventory { first: from, last: to, list: chunk.into() }));
            from = to + 1;
        }
        if parts.is_empty() {
            parts.push(Part::Inventory(Inventory { first, last, list: Vec::new() }));
        }
        parts
    }

    /// Gives what the other lacks in a span, and asks for what is lacking here.
    fn complete(&mut self, now: Micros, have: &Inventory, answers: &mut Vec<Part>) {
        let theirs: BTreeMap<u64, u32> = have.list.iter().copied().collect();
        let ours: Vec<(u64, u32)> = self.store.list(have.first, have.last).take(4 * GIVEN).collect();
        let lacks = ours.iter().filter(|(id, sum)| theirs.get(id) != Some(sum));
        let give: Vec<u64> = lacks.map(|(id, _)| *id).take(GIVEN).collect();
        self.give(now, &give, answers);
        let known = |id: u64| self.store.get(id);
        let wanted = theirs.iter().filter(|(id, sum)| known(**id).is_none_or(|held| held.sum() != **sum));
        let wanted: Vec<u64> = wanted.map(|(id, _)| *id).collect();
        answers.extend(wanted.chunks(30).map(|ids| Part::Request(ids.into())));
    }

    fn give(&self, now: Micros, ids: &[u64], answers: &mut Vec<Part>) {
        answers.extend(ids.iter().take(GIVEN).filter_map(|id| self.sent(now, *id, false)));
    }

    /// Sends parts to one, as many datagrams as there are sends left.
    fn answer(&mut self, to: usize, parts: Vec<Part>, out: &mut Vec<Out>) {
        let (mut said, mut datagrams) = (self.opening(), 0);
        for part in parts {
            if said.add(part.clone()) {
                continue;
            }
            datagrams += 1;
            if datagrams > ANSWERS || !self.pace.take(0) {
                return;
            }
            self.put_out(to, &said, out);
            said = self.opening();
            said.add(part);
        }
        if !said.parts.is_empty() && self.pace.take(0) {
            self.put_out(to, &said, out);
        }
    }

    // ---- sending ----

    fn opening(&self) -> Message {
        let behind = matches!(self.stage, Stage::Behind(_));
        Message { root: self.store.root(), behind, parts: Vec::new() }
    }

    fn somebody(&mut self, but: Option<usize>) -> Option<usize> {
        let others = self.here.iter().filter(|&&node| Some(node) != but).count();
        let nth = (others > 0).then(|| self.dice.0.usize(..others))?;
        self.here.iter().copied().filter(|&node| Some(node) != but).nth(nth)
    }

    fn put_out(&mut self, to: usize, said: &Message, out: &mut Vec<Out>) {
        let datagram = encode(self.setup.site, said);
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        out.push(Out { to, datagram });
    }
}
