//! Orders, asked back with what they will do.

use lilacquay_control::ControlRequest;
use lilacquay_observe::{BoxStatus, Snapshot};

use crate::text::plain;

/// An order that waits for a yes.
#[derive(Debug, Clone, PartialEq)]
pub struct Dialog {
    /// The order, as it will be given.
    pub verb: ControlRequest,
    /// What it is.
    pub title: String,
    /// What it will do.
    pub lines: Vec<String>,
    /// Whether it may be told to last over a restart.
    pub may_last: bool,
    /// Whether it may be forced.
    pub may_force: bool,
}

/// For how long a box is left out unless another time is chosen.
const LEFT_OUT: u64 = 600;
/// Times that can be chosen, in seconds.
pub(crate) const TIMES: [u64; 6] = [60, 300, 600, 1_800, 3_600, 86_400];

impl Dialog {
    /// To drain a box.
    pub fn drain(server: &BoxStatus, now: &Snapshot) -> Dialog {
        let verb = ControlRequest::Drain {
            server: server.name.clone(),
            seconds: None,
            lasting: false,
            force: false,
            seen: Some(seen(server)),
            wait_for: None,
        };
        let mut lines = held(server);
        lines.push("It gets nothing new from then on, until it is undrained.".into());
        lines.extend(others(server, now));
        let force = others_serve(server, now) == 0;
        Dialog {
            verb,
            title: format!("Drain {}", plain(&server.name)),
            lines,
            may_last: true,
            may_force: force,
        }
    }

    /// To leave a box out for a time.
    pub fn leave_out(server: &BoxStatus, now: &Snapshot) -> Dialog {
        let Dialog { verb, lines, .. } = Dialog::drain(server, now);
        let ControlRequest::Drain { server: name, lasting, force, seen, .. } = verb else {
            unreachable!("as it was made")
        };
        let verb = ControlRequest::Drain {
            server: name,
            seconds: Some(LEFT_OUT),
            lasting,
            force,
            seen,
            wait_for: None,
        };
        let title = format!("Leave {} out for a time", plain(&server.name));
        let mut lines: Vec<String> =
            lines.into_iter().filter(|line| !line.contains("until it is undrained")).collect();
        lines.push("It comes back by itself; sooner if no other cache is left.".into());
        Dialog { verb, title, lines, may_last: true, may_force: false }
    }

    /// To lift what was ordered for a box.
    pub fn undrain(server: &BoxStatus) -> Dialog {
        let verb =
            ControlRequest::Undrain { server: server.name.clone(), seen: Some(seen(server)), wait_for: None };
        let what = match (&server.order, server.listed) {
            (None, _) => "No order holds it: the node will refuse this.".into(),
            (Some(order), true) => format!("Order {} is lifted, and it serves again at once.", order.number),
            (Some(order), false) => format!("Order {} is lifted; by the list it still drains.", order.number),
        };
        let title = format!("Undrain {}", plain(&server.name));
        Dialog { verb, title, lines: vec![what], may_last: false, may_force: false }
    }

    /// To drain the node itself.
    pub fn stop(now: &Snapshot) -> Dialog {
        let lines = vec![
            format!("It answers the {} requests that it has, for up to 3.6 s, and ends.", now.open),
            "Clients must go to another node. This console can't start it again.".into(),
        ];
        Dialog::on_node(ControlRequest::Stop, "Drain the node itself", lines)
    }

    /// To read the configuration again.
    pub fn reload() -> Dialog {
        let lines = vec![
            "Sources of members, boxes of a fixed list and quotas are taken as the files".into(),
            "say now. If anything is wrong in them, all stays as it is.".into(),
        ];
        Dialog::on_node(ControlRequest::Reload, "Reload the configuration", lines)
    }

    /// To log more or less.
    pub fn level(level: &str) -> Dialog {
        let lines = vec![
            format!("The log tells what is of level {level} or graver, until the next restart."),
            "debug and trace cost time and room.".into(),
        ];
        Dialog::on_node(
            ControlRequest::Level { level: level.into(), everywhere: false },
            &format!("Log from {level} on"),
            lines,
        )
    }

    /// To write a diagnosis bundle.
    pub fn diagnose() -> Dialog {
        let lines = vec![
            "Configuration without secrets, figures, orders and the last events go into".into(),
            "a file in the state folder. Keys of requests are in it.".into(),
        ];
        Dialog::on_node(ControlRequest::Diagnose, "Write a diagnosis bundle", lines)
    }

    fn on_node(verb: ControlRequest, title: &str, lines: Vec<String>) -> Dialog {
        Dialog { verb, title: title.into(), lines, may_last: false, may_force: false }
    }

    /// Has it last or not.
    pub(crate) fn toggle_lasting(&mut self) {
        if let ControlRequest::Drain { lasting, .. } = &mut self.verb {
            *lasting = !*lasting;
        }
    }

    /// Forces it or not.
    pub(crate) fn toggle_force(&mut self) {
        if let (ControlRequest::Drain { force, .. }, true) = (&mut self.verb, self.may_force) {
            *force = !*force;
        }
    }

    /// The next longer or shorter time.
    pub(crate) fn step_time(&mut self, longer: bool) {
        if let ControlRequest::Drain { seconds: Some(seconds), .. } = &mut self.verb {
            let place = TIMES.iter().position(|time| time >= seconds).unwrap_or(TIMES.len() - 1);
            *seconds = TIMES[if longer { (place + 1).min(TIMES.len() - 1) } else { place.saturating_sub(1) }];
        }
    }
}

fn seen(server: &BoxStatus) -> u64 {
    server.order.as_ref().map_or(0, |order| order.number)
}

fn held(server: &BoxStatus) -> Vec<String> {
    let out = match server.out {
        0 => "It has nothing of ours out.".to_owned(),
        n => format!("It finishes the {n} requests that it has, within {:.0} ms.", server.free_in_ms),
    };
    let order = server
        .order
        .as_ref()
        .map(|order| format!("Order {} holds it already and is replaced.", order.number));
    [Some(out), order].into_iter().flatten().collect()
}

fn others_serve(server: &BoxStatus, now: &Snapshot) -> usize {
    now.boxes.iter().filter(|other| other.serves && !other.origin && other.name != server.name).count()
}

fn others(server: &BoxStatus, now: &Snapshot) -> Option<String> {
    if server.origin {
        return Some("It is the origin: the node will refuse this.".into());
    }
    Some(match others_serve(server, now) {
        0 => "NO CACHE SERVES AFTER IT: all goes to the origin. Refused unless forced.".into(),
        1 => "One other cache serves after it.".into(),
        n => format!("{n} other caches serve after it."),
    })
}
