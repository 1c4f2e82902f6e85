//! The client connections on which nothing is owed, in the order in which they make room for others.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection that has been of use is left in peace for so long.
const IN_USE: Duration = Duration::from_secs(2);

/// Those that have sent nothing good first, then those that have rested for longest.
type Place = (bool, Instant, u64);

#[derive(Default)]
struct Board {
    taken: BTreeMap<Place, oneshot::Sender<()>>,
    last: u64,
}

/// Where connections without an open request wait.
#[derive(Default)]
pub struct Seats(Mutex<Board>);

impl Seats {
    fn board(&self) -> MutexGuard<'_, Board> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A seat, for as long as it is held.
    pub fn take(self: &Arc<Self>, heard: bool, since: Instant) -> Seat {
        let mut board = self.board();
        board.last += 1;
        let place = (heard, since, board.last);
        let (sender, cleared) = oneshot::channel();
        board.taken.insert(place, sender);
        Seat { place, cleared, seats: self.clone() }
    }

    /// Has the first in order closed.
    ///
    /// Guards against: honest connections closed as readily as silent ones, or right after an answer, when
    /// their next request may be on its way.
    pub fn clear_one(&self, now: Instant) {
        let mut board = self.board();
        let first = board.taken.first_entry();
        if let Some(first) = first.filter(|f| !f.key().0 || now >= f.key().1 + IN_USE) {
            first.remove(); // its holder sees the sender go
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
