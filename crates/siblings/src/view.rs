//! What is known of all nodes: the newest row of each, when it came and by whom, and who is gone.

use lilacquay_codec::siblings::{DIGEST_BUCKETS, NodeFlags, Row};

use crate::Micros;
use crate::ring::Ring;

/// What a node is, as far as this one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// It was heard of within a bound, its watchers confirm it, and it has confirmed hearing us where it watches us.
    Here,
    /// This incarnation uses no part of anything shared any more.
    Gone,
    /// Neither. Nobody takes more than its own part for this.
    Unknown,
}

impl State {
    /// The word for it.
    pub fn word(self) -> &'static str {
        match self {
            State::Here => "here",
            State::Gone => "gone",
            State::Unknown => "unknown",
        }
    }
}

/// Why a node is held to be what it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Why {
    /// Nothing was heard of it yet.
    NeverHeard,
    /// Its row came, through this node.
    Heard {
        /// Who brought it: itself, or another.
        by: usize,
    },
    /// It has begun a new incarnation; the one before is gone.
    Newer {
        /// The incarnation before.
        than: u64,
        /// Who brought the word.
        by: usize,
    },
    /// It said that it leaves.
    Left,
    /// So many of its watchers say that its lease has run out.
    Expired {
        /// Who say so.
        by: Vec<usize>,
    },
    /// Nothing new was heard of it for too long.
    Silent,
    /// It is not confirmed itself, by its own word.
    Unconfirmed,
    /// It hasn't confirmed hearing us, though it should.
    Deaf,
}

/// What is known of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Known {
    pub row: Row,
    /// Of which heartbeat the row is that told what it has heard; none did if there is none.
    pub told: Option<u32>,
    /// When its newest row came, and by whom.
    pub at: Micros,
    pub by: usize,
    /// The incarnation that is gone, and why.
    pub gone: Option<(u64, Why)>,
    /// When it was last heard to call.
    called: Option<Micros>,
    /// When it began the present incarnation, as heard here, and the one before.
    pub newer_than: Option<u64>,
}

impl Known {
    pub fn is_gone(&self) -> bool {
        self.gone.as_ref().is_some_and(|(incarnation, _)| *incarnation >= self.row.incarnation)
    }
}

/// All nodes' newest rows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct View {
    known: Vec<Option<Known>>,
    /// A call is passed on once in so long.
    ///
    /// Guards against: one that calls and sends ten datagrams in a period, each of which all others pass on.
    pace: Micros,
    /// Numbers of all incarnations that are known, and of those that are gone, by bucket: those who agree have the same.
    epoch: [u64; DIGEST_BUCKETS],
}

/// What taking a row has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It is older than what is known, or of no node of the list.
    Old,
    /// It is what is known.
    Same,
    /// It is newer, and says nothing new of who is there and who hears whom.
    Beat,
    /// It says something new of itself.
    News,
    /// It says something new of another, or needs word.
    Ends,
}

impl View {
    pub fn new(nodes: usize, pace: Micros) -> View {
        View { known: vec![None; nodes], pace, epoch: [0; DIGEST_BUCKETS] }
    }

    pub fn get(&self, node: usize) -> Option<&Known> {
        self.known.get(node)?.as_ref()
    }

    /// The view's number.
    pub fn epoch(&self) -> u32 {
        let mixed =
            self.epoch.iter().zip(0..).fold(0, |sum: u64, (epoch, turn)| sum ^ epoch.rotate_left(turn));
        (mixed ^ mixed >> 32) as u32
    }

    /// The view by bucket.
    pub fn digests(&self) -> [u16; DIGEST_BUCKETS] {
        self.epoch.map(|epoch| (epoch ^ epoch >> 16 ^ epoch >> 32 ^ epoch >> 48) as u16)
    }

    /// The nodes of a bucket.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = usize> + use<> {
        (bucket..self.known.len()).step_by(DIGEST_BUCKETS)
    }

    /// What a node counts for in the view's number.
    fn share(&self, node: usize) -> u64 {
        let Some(known) = self.get(node) else { return 0 };
        let mixed =
            (node as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ known.row.incarnation.rotate_left(17);
        let mixed = (mixed ^ u64::from(known.is_gone())).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        mixed ^ mixed >> 29
    }

    /// Takes a row that `by` has brought. `brief`: it says nothing of what it has heard, so that what is known of that stays.
    ///
    /// `stale`: after so long word of a node is news, whatever it says.
    pub fn take(&mut self, now: Micros, row: Row, brief: bool, by: usize, stale: Micros) -> Taken {
        let node = usize::from(row.origin);
        if node >= self.known.len() {
            return Taken::Old; // no node of the list
        }
        let before = self.share(node);
        let (told, pace) = ((!brief).then_some(row.heartbeat), self.pace);
        let taken = match &mut self.known[node] {
            Some(known) if row.incarnation < known.row.incarnation => return Taken::Old,
            Some(known) => {
                let (was, begins) = (known.row, row.incarnation > known.row.incarnation);
                let newer = row.version() > was.version();
                let tells = !brief && (begins || known.told.is_none_or(|told| row.heartbeat > told));
                if !newer && !tells {
                    return if row.version() == was.version() { Taken::Same } else { Taken::Old };
                }
                let late = newer && now > known.at + stale;
                if newer {
                    known.newer_than = if begins { Some(was.incarnation) } else { known.newer_than };
                    (known.row, known.at, known.by) =
                        (Row { heard: was.heard, watches: was.watches, ..row }, now, by);
                }
                if tells {
                    (known.row.heard, known.row.watches, known.told) = (row.heard, row.watches, told);
                } else if begins {
                    (known.row.heard, known.told) = Default::default();
                }
                let calls = row.flags.needs_relay && known.called.is_none_or(|called| now >= called + pace);
                known.called = if calls { Some(now) } else { known.called };
                match news(&was, &known.row) {
                    Taken::Beat if calls => Taken::Ends,
                    Taken::Beat if late => Taken::News,
                    taken => taken,
                }
            }
            none => {
                let called = row.flags.needs_relay.then_some(now);
                *none = Some(Known { row, told, at: now, by, gone: None, called, newer_than: None });
                if called.is_some() {
                    Taken::Ends
                } else {
                    news(&Row { incarnation: 0, ..Row::default() }, &row)
                }
            }
        };
        if row.flags.leaving {
            self.known[node].as_mut().expect("set above").gone = Some((row.incarnation, Why::Left));
        }
        self.epoch[node % DIGEST_BUCKETS] ^= before ^ self.share(node);
        taken
    }

    /// Looks whether enough watchers hold a node's lease to have run out.
    pub fn judge(&mut self, ring: &Ring, node: usize) {
        let Some(known) = self.get(node).filter(|known| !known.is_gone()) else { return };
        let incarnation = known.row.incarnation;
        let says = |&watcher: &usize| {
            let row = self.get(watcher).map(|known| &known.row);
            let place = ring.place(watcher, node);
            row.zip(place).is_some_and(|(row, place)| {
                let heard = row.heard[place];
                heard.expired && heard.incarnation == incarnation as u32
            })
        };
        let by: Vec<usize> = ring.of(node).filter(says).collect();
        if by.len() >= ring.to_be_gone() {
            let before = self.share(node);
            self.known[node].as_mut().expect("looked at above").gone =
                Some((incarnation, Why::Expired { by }));
            self.epoch[node % DIGEST_BUCKETS] ^= before ^ self.share(node);
        }
    }

    /// The machine slept: what was heard was heard so much earlier.
    pub fn slept(&mut self, time: Micros) {
        self.known.iter_mut().flatten().for_each(|known| known.at = known.at.saturating_sub(time));
    }
}

/// What a newer row says that is new. Which ways are open is told in turn, unless somebody calls.
fn news(was: &Row, is: &Row) -> Taken {
    let ends = was.heard.iter().zip(&is.heard);
    let mut ends = ends.map(|(was, is)| is.expired && (!was.expired || was.incarnation != is.incarnation));
    if ends.any(|ends| ends) {
        return Taken::Ends;
    }
    let newer = was.incarnation < is.incarnation;
    // One that has just begun has nothing to tell until it is confirmed.
    let begins = !is.flags.confirmed && !is.flags.leaving && was.flags.confirmed == newer;
    // That it calls is told apart from this, at a pace.
    let same = NodeFlags { needs_relay: was.flags.needs_relay, ..is.flags } == was.flags;
    if begins || !newer && same { Taken::Beat } else { Taken::News }
}
