//! Keeps the node's life: tells it what happens, and the rest of the program how it bears itself.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lilacquay_core::Clock;
use lilacquay_lifecycle::{Event, EventRefused, Lifecycle, PhaseTimings, ServiceMode, State};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// After word to stop, connections that were on their way are still taken for so long.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// A front goes on sending for 0.2 s after its first no, so that closing a connection earlier would only bring it back.
const LEAVE_SOFTLY: Duration = Duration::from_millis(300);
/// 4 s after word to leave no connection may rest or have had a request in the last 2 s.
const LEAVE_IDLE: Duration = Duration::from_millis(1500);
/// With another process at the same address, clients may choose the moment for a while: what is open then still has
/// its time before the end.
const FINISH_IDLE_SHARED: Duration = Duration::from_millis(800);
/// What was taken is answered within the longest deadline, of which the platform grants so much ...
const LONGEST_GRANTED: Duration = Duration::from_secs(3);
/// ... and so much more. It grants 0.7 s; the process may be held up for 0.15 s as it is told to end, and again as it gives
/// its last answers.
const LAST_WRITES: Duration = Duration::from_millis(450);

/// The life of the node, as all parts share it. Cheap to clone.
#[derive(Clone)]
pub struct Keeper(Arc<Inner>);

struct Inner {
    life: Mutex<Lifecycle>,
    clock: Clock,
    shared: bool,
    bearing: watch::Sender<ServiceMode>,
    told: Notify,
}

impl Keeper {
    /// Of a node that starts, whose clients wait for so long at most. `shared`: the platform holds the listening
    /// socket, so that another process takes over what comes once this one ends.
    pub fn new(longest: Duration, shared: bool) -> Keeper {
        let micros = |time: Duration| time.as_micros() as u64;
        let terms = PhaseTimings {
            accept_grace: micros(STILL_ACCEPTING),
            leave_after_answer_delay: micros(LEAVE_SOFTLY),
            leave_when_idle_delay: micros(LEAVE_IDLE),
            shutdown_when_idle_delay: micros(if shared { FINISH_IDLE_SHARED } else { STILL_ACCEPTING }),
            shutdown_timeout: micros(longest.min(LONGEST_GRANTED) + LAST_WRITES),
        };
        let life = Mutex::new(Lifecycle::new(terms));
        let (bearing, told) = (watch::Sender::new(ServiceMode::default()), Notify::new());
        Keeper(Arc::new(Inner { life, clock: Clock::new(), shared, bearing, told }))
    }

    fn life(&self) -> MutexGuard<'_, Lifecycle> {
        self.0.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How the node bears itself, now and from now on.
    pub fn bearing(&self) -> watch::Receiver<ServiceMode> {
        self.0.bearing.subscribe()
    }

    /// What has become of it.
    pub fn state(&self) -> State {
        self.life().state()
    }

    /// When the process ends at the latest, once it was told to.
    pub fn ends(&self) -> Option<Instant> {
        self.life().shutdown_deadline().map(|at| self.0.clock.instant(at))
    }

    /// Tells what happens.
    ///
    /// # Errors
    /// If it can't be done as things are; nothing has changed then.
    pub fn tell(&self, event: Event) -> Result<(), EventRefused> {
        let before = self.state();
        self.life().handle(self.0.clock.now(), event)?;
        let after = self.state();
        if before != after {
            info!("the node is {after}");
        }
        self.publish();
        self.0.told.notify_one();
        Ok(())
    }

    /// Tells that the node is to end.
    pub fn stop(&self) {
        let _ = self.tell(Event::Stop { address_shared: self.0.shared }); // never refused
    }

    /// Tells what time alone changes, until the node is over.
    pub async fn follow(&self) {
        loop {
            let bearing = self.publish();
            if bearing.ended {
                return;
            }
            let next = self.life().next_change(self.0.clock.now());
            let changes = async {
                match next {
                    // A microsecond more: the runtime's timers end no earlier than theirs.
                    Some(at) => sleep_until(self.0.clock.instant(at + 1)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = changes => {}
                () = self.0.told.notified() => {}
            }
        }
    }

    fn publish(&self) -> ServiceMode {
        let bearing = self.life().service_mode(self.0.clock.now());
        self.0.bearing.send_if_modified(|told| {
            let changes = *told != bearing;
            *told = bearing;
            changes
        });
        bearing
    }
}
