//! Answers calls on the admin address, which logs call the second address: health, metrics, and orders to leave or join
//! service.

use lilacquay_admin::CallHandler;
use lilacquay_admin::call::{Answer, Call};
use lilacquay_control::{ControlRequest, StateDir};
use lilacquay_lifecycle::Event;
use lilacquay_metrics::Metrics;
use tracing::{info, warn};

use crate::lifecycle::NodeLifecycle;

/// Answers calls on the admin address. All that a call needs is in memory, so that none waits for the core.
pub struct AdminHandler {
    pub lifecycle: NodeLifecycle,
    pub metrics: Metrics,
    /// Whether metrics are written in the Prometheus text format.
    pub prometheus: bool,
    /// The folder of the audit log, if the node has a state folder.
    pub audit_folder: Option<StateDir>,
}

impl CallHandler for AdminHandler {
    fn handle(&self, call: Call) -> Answer {
        match call {
            Call::Health if self.lifecycle.service_mode().borrow().healthy => Answer::Ack,
            Call::Health => Answer::Nak(format!("the node is {}", self.lifecycle.state())),
            Call::Dump if self.prometheus => Answer::Metrics(self.metrics.prometheus()),
            Call::Dump => Answer::Metrics(self.metrics.statsd_lines()),
            Call::Leave => self.carry_out(call, ControlRequest::Leave, Event::Leave),
            Call::Join => self.carry_out(call, ControlRequest::Join, Event::Join),
        }
    }
}

impl AdminHandler {
    fn carry_out(&self, call: Call, verb: ControlRequest, event: Event) -> Answer {
        let result = self.lifecycle.handle_event(event);
        let outcome = result.map_or_else(|why| why.to_string(), |()| "obeyed".into());
        info!("{} on the second address: {outcome}", call.keyword());
        let record = |folder: &StateDir| folder.append_audit(&verb, &outcome);
        if let Some(Err(error)) = self.audit_folder.as_ref().map(record) {
            warn!("an order could not be written to the audit log: {error}; free space in the state folder");
        }
        result.map_or_else(|_| Answer::Nak(outcome), |()| Answer::Ack)
    }
}
