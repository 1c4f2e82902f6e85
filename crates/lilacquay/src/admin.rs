//! What the second address answers: the node's life and its figures.

use lilacquay_admin::CallHandler;
use lilacquay_admin::call::{Answer, Call};
use lilacquay_control::{ControlRequest, StateDir};
use lilacquay_lifecycle::Event;
use lilacquay_metrics::Metrics;
use tracing::{info, warn};

use crate::lifecycle::Keeper;

/// All that a call needs is in memory: none waits for the core.
pub struct Desk {
    pub keeper: Keeper,
    pub metrics: Metrics,
    /// Whether figures are told in Prometheus' text.
    pub prometheus: bool,
    /// Where orders are recorded, if the node has a state folder.
    pub audit: Option<StateDir>,
}

impl CallHandler for Desk {
    fn handle(&self, call: Call) -> Answer {
        match call {
            Call::Health if self.keeper.bearing().borrow().healthy => Answer::Ack,
            Call::Health => Answer::Nak(format!("the node is {}", self.keeper.state())),
            Call::Dump if self.prometheus => Answer::Metrics(self.metrics.prometheus()),
            Call::Dump => Answer::Metrics(self.metrics.statsd_lines()),
            Call::Leave => self.order(call, ControlRequest::Leave, Event::Leave),
            Call::Join => self.order(call, ControlRequest::Join, Event::Join),
        }
    }
}

impl Desk {
    fn order(&self, call: Call, verb: ControlRequest, event: Event) -> Answer {
        let told = self.keeper.tell(event);
        let outcome = told.map_or_else(|why| why.to_string(), |()| "obeyed".into());
        info!("{} on the second address: {outcome}", call.keyword());
        let record = |folder: &StateDir| folder.append_audit(&verb, &outcome);
        if let Some(Err(error)) = self.audit.as_ref().map(record) {
            warn!("an order is not recorded: {error}; make room in the state folder");
        }
        told.map_or_else(|_| Answer::Nak(outcome), |()| Answer::Ack)
    }
}
