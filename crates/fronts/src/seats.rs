//! The client connections on which nothing is owed, in the order in which they make room for others.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// What is on its way from a new client has come after so long.
const NEW: Duration = Duration::from_millis(300);
/// A connection that has been of use is left in peace for so long.
const IN_USE: Duration = Duration::from_secs(2);

/// Who holds a seat.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guest {
    /// Has had no request yet.
    Silent,
    /// Rests between requests.
    Resting,
    /// Has sent a part of a command.
    Sending,
}

/// Of one kind of guest, those who have waited for longest come first.
type Place = (Guest, Instant, u64);

#[derive(Default)]
struct Board {
    taken: BTreeMap<Place, oneshot::Sender<()>>,
    last: u64,
}

/// Where connections without an open request wait.
pub struct Seats {
    board: Mutex<Board>,
    most_resting: usize,
}

impl Seats {
    /// Seats for so many who rest between requests, at most.
    pub fn new(most_resting: usize) -> Self {
        Seats { board: Mutex::default(), most_resting }
    }

    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A seat, for as long as it is held. Beyond the most who may rest, the one who has rested for longest goes.
    ///
    /// Guards against: clients that ask once on each connection and keep it, until they may open no more. Covers
    /// pools that never shrink. It hurts clients that keep more connections than that and use all in turn: each
    /// request then pays for a new one.
    pub fn take(self: &Arc<Self>, guest: Guest, since: Instant) -> Seat {
        let mut board = self.board();
        board.last += 1;
        let place = (guest, since, board.last);
        let (sender, cleared) = oneshot::channel();
        board.taken.insert(place, sender);
        let resting = || board.taken.keys().filter(|place| place.0 == Guest::Resting);
        if guest == Guest::Resting && resting().count() > self.most_resting {
            let first = resting().next().copied();
            first.and_then(|place| board.taken.remove(&place)); // its holder sees the sender go
        }
        drop(board);
        Seat { place, cleared, seats: self.clone() }
    }

    /// Has one closed: the silent first, then those at rest, and who is just sending or new only for want of
    /// others.
    ///
    /// Guards against: honest connections closed as readily as silent ones, right after an answer, when their
    /// next request may be on its way, or while they send.
    pub fn clear_one(&self, now: Instant) {
        let taken = &mut self.board().taken;
        let first = |guest| taken.keys().find(|place| place.0 == guest).copied();
        let waited = |place: &Place, time| now >= place.1 + time;
        let (silent, sending) = (first(Guest::Silent), first(Guest::Sending));
        let chosen = silent
            .filter(|place| waited(place, NEW))
            .or_else(|| first(Guest::Resting).filter(|place| waited(place, IN_USE)))
            .or(silent)
            .or(sending);
        if let Some(place) = chosen {
            taken.remove(&place); // its holder sees the sender go
        }
    }
}

/// A connection's place among those that may be closed.
pub struct Seat {
    place: Place,
    cleared: oneshot::Receiver<()>,
    seats: Arc<Seats>,
}

impl Seat {
    pub fn guest(&self) -> Guest {
        self.place.0
    }

    /// Waits until the seat has to be cleared; for ever without one.
    pub async fn cleared(seat: &mut Option<Seat>) {
        match seat {
            Some(seat) => _ = (&mut seat.cleared).await,
            None => pending().await,
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.board().taken.remove(&self.place);
    }
}
