//! The client connections on which nothing is owed: a [`Door`] that sessions share, and how one of them hears that it
//! has to go.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use tokio::time::Instant;

pub use crate::connection_limiter::Guest;
use crate::connection_limiter::{Door, Goes, Micros, Place};

/// Where connections without an open request wait.
pub struct Seats {
    door: Mutex<Door<oneshot::Sender<()>>>,
    start: Instant,
}

impl Seats {
    /// Seats for so many who rest between requests, at most.
    pub fn new(most_resting: usize) -> Self {
        Seats { door: Mutex::new(Door::new(most_resting)), start: Instant::now() }
    }

    fn door(&self) -> MutexGuard<'_, Door<oneshot::Sender<()>>> {
        self.door.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// A seat, for as long as it is held. Who has to go for it sees its sender go.
    pub fn take(self: &Arc<Self>, guest: Guest, since: Instant) -> Seat {
        let (sender, cleared) = oneshot::channel();
        let (place, _goes) = self.door().enter(guest, self.micros(since), sender);
        Seat { place, cleared, seats: self.clone() }
    }

    /// Has one closed, if there is any such; it sees its sender go.
    pub fn clear_one(&self, now: Instant, goes: Goes) -> bool {
        self.door().make_room(self.micros(now), goes).is_some()
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
        self.place.guest()
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
        self.seats.door().leave(self.place);
    }
}
