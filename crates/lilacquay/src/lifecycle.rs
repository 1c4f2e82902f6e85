//! Shares the lifecycle state machine of the node between its tasks: passes events and elapsed time to it, and publishes
//! the resulting service mode. Which state follows which is decided in the package `lifecycle`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lilacquay_core::Clock;
use lilacquay_lifecycle::{Event, EventRefused, Lifecycle, PhaseTimings, ServiceMode, State};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// How long connections that were on their way are still accepted after the order to stop.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Delay before a connection is closed after an answer while the node leaves service. A front-end process goes on sending
/// for 0.2 s after the first failed `PING`, so that it would only reopen a connection that is closed earlier.
const LEAVE_AFTER_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// Delay before idle connections are closed while the node leaves service. 4 s after the order to leave, no connection may
/// be idle or have had a request in the last 2 s.
const LEAVE_IDLE_DELAY: Duration = Duration::from_millis(1500);
/// Delay before idle connections are closed during shutdown where another process listens at the same address. Clients may
/// choose when to reconnect for this long; connections that are still open then have the rest of the shutdown time.
const SHARED_SHUTDOWN_IDLE_DELAY: Duration = Duration::from_millis(800);
/// Upper bound on the part of the shutdown time that depends on the deadlines of requests: accepted requests are answered
/// within the longest deadline, of which the platform grants 3 s.
const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Added to the longest deadline for the last writes. The platform grants 0.7 s; the process may be paused for 0.15 s when
/// it is told to end, and again when it writes its last answers.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(450);

/// The lifecycle of the node, shared by all its tasks. Cheap to clone.
#[derive(Clone)]
pub struct NodeLifecycle(Arc<Inner>);

struct Inner {
    lifecycle: Mutex<Lifecycle>,
    clock: Clock,
    address_shared: bool,
    service_mode: watch::Sender<ServiceMode>,
    event_handled: Notify,
}

impl NodeLifecycle {
    /// The lifecycle of a node that starts.
    ///
    /// `longest_deadline`: the longest time that clients wait for an answer. `address_shared`: the platform holds the
    /// listening socket, so that another process accepts new connections once this one ends.
    pub fn new(longest_deadline: Duration, address_shared: bool) -> NodeLifecycle {
        let micros = |time: Duration| time.as_micros() as u64;
        let timings = PhaseTimings {
            accept_grace: micros(ACCEPT_GRACE),
            leave_after_answer_delay: micros(LEAVE_AFTER_ANSWER_DELAY),
            leave_when_idle_delay: micros(LEAVE_IDLE_DELAY),
            shutdown_when_idle_delay: micros(if address_shared {
                SHARED_SHUTDOWN_IDLE_DELAY
            } else {
                ACCEPT_GRACE
            }),
            shutdown_timeout: micros(longest_deadline.min(MAX_REQUEST_DEADLINE) + FINAL_WRITE_TIME),
        };
        let lifecycle = Mutex::new(Lifecycle::new(timings));
        let (service_mode, event_handled) = (watch::Sender::new(ServiceMode::default()), Notify::new());
        NodeLifecycle(Arc::new(Inner {
            lifecycle,
            clock: Clock::new(),
            address_shared,
            service_mode,
            event_handled,
        }))
    }

    fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        self.0.lifecycle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A receiver of the current service mode and of every change of it.
    pub fn service_mode(&self) -> watch::Receiver<ServiceMode> {
        self.0.service_mode.subscribe()
    }

    pub fn state(&self) -> State {
        self.lifecycle().state()
    }

    /// When the process ends at the latest; `None` until it is told to stop.
    pub fn shutdown_deadline(&self) -> Option<Instant> {
        self.lifecycle().shutdown_deadline().map(|at| self.0.clock.instant(at))
    }

    /// Passes an event to the state machine, logs a change of state and publishes the service mode.
    ///
    /// # Errors
    /// If the event is not allowed in the current state, which is unchanged then.
    pub fn handle_event(&self, event: Event) -> Result<(), EventRefused> {
        let before = self.state();
        self.lifecycle().handle(self.0.clock.now(), event)?;
        let after = self.state();
        if before != after {
            info!("the node is {after}");
        }
        self.publish();
        self.0.event_handled.notify_one();
        Ok(())
    }

    /// Begins the shutdown of the node.
    pub fn shut_down(&self) {
        let _ = self.handle_event(Event::Stop { address_shared: self.0.address_shared }); // never refused
    }

    /// Publishes the changes that come with time alone; returns when the node has ended.
    pub async fn run_until_ended(&self) {
        loop {
            let service_mode = self.publish();
            if service_mode.ended {
                return;
            }
            let next = self.lifecycle().next_change(self.0.clock.now());
            let change_due = async {
                match next {
                    // One microsecond later, so that the runtime's timer does not fire before the change is due.
                    Some(at) => sleep_until(self.0.clock.instant(at + 1)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = change_due => {}
                () = self.0.event_handled.notified() => {}
            }
        }
    }

    fn publish(&self) -> ServiceMode {
        let service_mode = self.lifecycle().service_mode(self.0.clock.now());
        self.0.service_mode.send_if_modified(|published| {
            let changed = *published != service_mode;
            *published = service_mode;
            changed
        });
        service_mode
    }
}
