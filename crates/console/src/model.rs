//! What the console shows and what its keys do. No I/O and no clock: it is told what comes and when.

use std::collections::VecDeque;
use std::time::Duration;

use lilacquay_control::{Answer, ControlRequest};
use lilacquay_observe::{BoxStatus, Event, EventBatch, SlowRequest, Snapshot};

use crate::dialog::Dialog;
use crate::keys::Key;
use crate::text::plain;

/// Events that the console keeps.
const EVENTS: usize = 2_000;
/// A message stays for so long.
const MESSAGE: Duration = Duration::from_secs(8);
/// Figures that are older are not shown as the node's: snapshots come each second.
const STALE: Duration = Duration::from_secs(4);
/// The longest search.
const LONGEST: usize = 60;

/// What is shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Screen {
    /// The node as a whole.
    #[default]
    Overview,
    /// Cache boxes.
    Boxes,
    /// Slow requests.
    Requests,
    /// Tenants and quotas.
    Tenants,
    /// What has happened.
    Events,
}

impl Screen {
    /// All of them, in order.
    pub const ALL: [Screen; 5] =
        [Screen::Overview, Screen::Boxes, Screen::Requests, Screen::Tenants, Screen::Events];

    /// What it is called.
    pub fn name(self) -> &'static str {
        match self {
            Screen::Overview => "Overview",
            Screen::Boxes => "Boxes",
            Screen::Requests => "Requests",
            Screen::Tenants => "Tenants",
            Screen::Events => "Events",
        }
    }

    fn place(self) -> usize {
        Screen::ALL.iter().position(|screen| *screen == self).unwrap_or(0)
    }
}

/// What the console is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A key.
    Key(Key),
    /// What the node told; `late` if it had told it long before.
    Snapshot {
        /// What.
        snapshot: Box<Snapshot>,
        /// Whether it is too old to be shown as new.
        late: bool,
    },
    /// What has happened there.
    Events(EventBatch),
    /// The node can't be heard, and why.
    Lost(String),
    /// What an order came to.
    Outcome {
        /// The order.
        verb: ControlRequest,
        /// The answer, or why there is none.
        answer: Result<Answer, String>,
    },
    /// Time has passed.
    Tick,
}

/// What the console wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Give the node an order.
    Order(ControlRequest),
    /// Draw all of the screen anew, whatever is on it.
    Redraw,
    /// Stop this process, as a shell's job.
    Suspend,
    /// End. The node goes on.
    Quit,
}

/// What is known of the node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Node {
    /// Nothing yet, or no more, and why.
    Away(String),
    /// What it told last.
    Here(Box<Snapshot>),
}

/// The console.
#[derive(Debug, Clone)]
pub struct Model {
    pub(crate) screen: Screen,
    pub(crate) node: Node,
    pub(crate) events: VecDeque<Event>,
    /// Events that are missing from what is kept.
    pub(crate) missed: u64,
    /// The line that is chosen, on each screen; of boxes by name, for lines move.
    pub(crate) chosen: [usize; 5],
    pub(crate) chosen_box: Option<String>,
    /// Whether the chosen line is shown in full.
    pub(crate) detail: bool,
    pub(crate) search: String,
    /// Whether keys go into the search.
    pub(crate) searching: bool,
    pub(crate) help: bool,
    pub(crate) dialog: Option<Dialog>,
    /// A level of the log is being chosen.
    pub(crate) choosing_level: bool,
    pub(crate) message: Option<(String, Duration)>,
    /// The drain that is followed, by its box.
    pub(crate) followed: Option<String>,
    /// When the node told something last, of this console's time.
    heard: Duration,
    now: Duration,
    /// By when the node had started that told something last.
    started_ms: Option<u64>,
}

impl Default for Model {
    fn default() -> Self {
        Model::new()
    }
}

impl Model {
    /// Knows nothing yet.
    pub fn new() -> Self {
        Model {
            screen: Screen::Overview,
            node: Node::Away("connecting".into()),
            events: VecDeque::new(),
            missed: 0,
            chosen: [0; 5],
            chosen_box: None,
            detail: false,
            search: String::new(),
            searching: false,
            help: false,
            dialog: None,
            choosing_level: false,
            message: None,
            followed: None,
            heard: Duration::ZERO,
            now: Duration::ZERO,
            started_ms: None,
        }
    }

    /// The last event that it has.
    fn last_event(&self) -> u64 {
        self.events.back().map_or(0, |event| event.number)
    }

    /// Whether what it shows of the node is as the node is.
    pub(crate) fn fresh(&self) -> Option<&Snapshot> {
        match &self.node {
            Node::Here(snapshot) if self.now.saturating_sub(self.heard) < STALE => Some(snapshot),
            _ => None,
        }
    }

    /// For how long the node has told nothing.
    pub(crate) fn silent_s(&self) -> f64 {
        self.now.saturating_sub(self.heard).as_secs_f64()
    }

    /// Takes one input, at a time since the console's start; tells what is to be done.
    pub fn on(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        if self.message.as_ref().is_some_and(|(_, until)| self.now >= *until) {
            self.message = None;
        }
        match input {
            Input::Key(key) => return self.key(key),
            Input::Snapshot { snapshot, late } => self.told(snapshot, late),
            Input::Events(told) => self.happened(told),
            Input::Lost(why) => {
                // No old figure stays on the screen as if it were new.
                self.node = Node::Away(plain(&why));
                self.dialog = None;
            }
            Input::Outcome { verb, answer } => self.outcome(&verb, answer),
            Input::Tick => {}
        }
        Vec::new()
    }

    fn told(&mut self, snapshot: Box<Snapshot>, late: bool) {
        if late {
            return; // what was told long ago, while this console could not read
        }
        let before = self.started_ms.replace(snapshot.started_ms);
        if before.is_some_and(|before| before != snapshot.started_ms) {
            self.say("The node has restarted: its figures and orders begin anew.".into());
            (self.dialog, self.followed) = (None, None);
            // Its events are numbered anew, too.
            self.events.clear();
            self.missed = 0;
        }
        self.heard = self.now;
        self.follow(&snapshot);
        self.node = Node::Here(snapshot);
        self.keep_choice();
    }

    /// Tells how a drain goes on.
    fn follow(&mut self, snapshot: &Snapshot) {
        let Some(name) = self.followed.clone() else { return };
        let shown = plain(&name);
        match snapshot.boxes.iter().find(|server| server.name == name) {
            None => {
                self.followed = None;
                self.say(format!("{shown} has left the list."));
            }
            Some(server) if server.serves => self.followed = None,
            Some(server) if server.out == 0 => {
                self.followed = None;
                self.say(format!("{shown} is free: nothing of ours is out there."));
            }
            Some(server) => {
                self.say(format!(
                    "{shown} drains: {} out, free within {:.0} ms.",
                    server.out, server.free_in_ms
                ));
            }
        }
    }

    fn happened(&mut self, batch: EventBatch) {
        // After a reconnection all are told again: what is missing shows in their numbers.
        for event in batch.events.into_iter().filter(|event| event.number > 0) {
            let last = self.last_event();
            if event.number > last {
                self.missed += event.number - last - 1;
                self.events.push_back(event);
            }
        }
        let over = self.events.len().saturating_sub(EVENTS);
        self.missed += over as u64;
        self.events.drain(..over);
    }

    fn outcome(&mut self, verb: &ControlRequest, answer: Result<Answer, String>) {
        let (said, unrecorded) = match answer {
            Ok(Answer::Accepted { number, replaced, unrecorded, held }) => {
                if let ControlRequest::Drain { server, .. } = verb {
                    self.followed = Some(server.clone());
                }
                let replaced =
                    replaced.map_or(String::new(), |old| format!(", in place of order {}", old.number));
                let by = held.map_or(String::new(), |held| {
                    let conflict = if held.conflict { "; ANOTHER ORDER CONTRADICTS IT" } else { "" };
                    format!(", held by {} of {} nodes{conflict}", held.nodes, held.of)
                });
                (format!("Obeyed as order {number}{replaced}{by}."), unrecorded)
            }
            Ok(Answer::Done { what, unrecorded }) => (format!("Done: {}.", plain(&what)), unrecorded),
            Ok(Answer::Refused { why }) => (format!("REFUSED: {}", plain(&why)), None),
            Ok(_) => ("The node answered something else; look at its version.".into(), None),
            Err(why) => (format!("NO ANSWER, the order may hold or not: {}", plain(&why)), None),
        };
        let unrecorded = unrecorded.map_or(String::new(), |why| format!(" NOT RECORDED: {}", plain(&why)));
        self.say(said + &unrecorded);
    }

    fn say(&mut self, text: String) {
        self.message = Some((text, self.now + MESSAGE));
    }

    // ---- keys ----

    fn key(&mut self, key: Key) -> Vec<Effect> {
        match key {
            Key::Ctrl('c') => return vec![Effect::Quit],
            Key::Ctrl('l') => return vec![Effect::Redraw],
            Key::Ctrl('z') => return vec![Effect::Suspend],
            _ => {}
        }
        if self.help {
            self.help = false;
            return Vec::new();
        }
        if self.dialog.is_some() {
            return self.answer_dialog(key);
        }
        if self.choosing_level {
            self.choose_level(key);
            return Vec::new();
        }
        if self.searching {
            self.type_search(key);
            return Vec::new();
        }
        self.command(key)
    }

    fn answer_dialog(&mut self, key: Key) -> Vec<Effect> {
        let Some(dialog) = &mut self.dialog else { return Vec::new() };
        match key {
            Key::Char('y' | 'Y') => {
                let verb = dialog.verb.clone();
                self.dialog = None;
                self.say("Ordered; waiting for the node.".into());
                return vec![Effect::Order(verb)];
            }
            Key::Char('l') if dialog.may_last => dialog.toggle_lasting(),
            Key::Char('f') => dialog.toggle_force(),
            Key::Char('+') | Key::Up => dialog.step_time(true),
            Key::Char('-') | Key::Down => dialog.step_time(false),
            Key::Char('n' | 'N' | 'q') | Key::Esc => {
                self.dialog = None;
                self.say("Nothing was ordered.".into());
            }
            _ => {} // an order takes a yes: any other key leaves the question where it is
        }
        Vec::new()
    }

    fn choose_level(&mut self, key: Key) {
        self.choosing_level = false;
        let level = match key {
            Key::Char('e') => "error",
            Key::Char('w') => "warn",
            Key::Char('i') => "info",
            Key::Char('d') => "debug",
            Key::Char('t') => "trace",
            _ => return,
        };
        self.dialog = Some(Dialog::level(level));
    }

    fn type_search(&mut self, key: Key) {
        match key {
            Key::Char(c) if self.search.chars().count() < LONGEST && !c.is_control() => self.search.push(c),
            Key::Backspace => _ = self.search.pop(),
            Key::Enter => self.searching = false,
            Key::Esc => {
                self.searching = false;
                self.search.clear();
            }
            _ => {}
        }
    }

    fn command(&mut self, key: Key) -> Vec<Effect> {
        let screen = self.screen.place();
        match key {
            Key::Char('q') => return vec![Effect::Quit],
            Key::Char('?' | 'h') => self.help = true,
            Key::Char(c @ '1'..='5') => self.show(c as usize - '1' as usize),
            Key::Tab | Key::Right => self.show((screen + 1) % 5),
            Key::BackTab | Key::Left => self.show((screen + 4) % 5),
            Key::Up | Key::Char('k') => self.choose(|at| at.saturating_sub(1)),
            Key::Down | Key::Char('j') => self.choose(|at| at + 1),
            Key::PageUp => self.choose(|at| at.saturating_sub(10)),
            Key::PageDown => self.choose(|at| at + 10),
            Key::Home => self.choose(|_| 0),
            Key::End => self.choose(|_| usize::MAX / 2),
            Key::Enter => self.detail = !self.detail,
            Key::Esc => {
                self.detail = false;
                self.search.clear();
            }
            Key::Char('/') if self.screen == Screen::Events => self.searching = true,
            Key::Char('d' | 'o' | 'u') if self.screen == Screen::Boxes => self.ask_on_box(key),
            Key::Char('Q' | 'R' | 'B') => self.ask_on_node(key),
            Key::Char('L') => self.choosing_level = true,
            _ => {}
        }
        Vec::new()
    }

    fn show(&mut self, place: usize) {
        self.screen = Screen::ALL[place];
        self.detail = false;
    }

    fn choose(&mut self, step: impl Fn(usize) -> usize) {
        let (place, last) = (self.screen.place(), self.lines().saturating_sub(1));
        self.chosen[place] = step(self.chosen[place]).min(last);
        if self.screen == Screen::Boxes {
            self.chosen_box = self.boxes().get(self.chosen[place]).map(|server| server.name.clone());
        }
    }

    /// The chosen box stays chosen where lines move.
    fn keep_choice(&mut self) {
        let place = Screen::Boxes.place();
        let at = self
            .chosen_box
            .as_ref()
            .and_then(|name| self.boxes().iter().position(|server| server.name == *name));
        let last = self.boxes().len().saturating_sub(1);
        self.chosen[place] = at.unwrap_or(self.chosen[place]).min(last);
        if at.is_none() {
            self.chosen_box = self.boxes().get(self.chosen[place]).map(|server| server.name.clone());
        }
    }

    fn ask_on_box(&mut self, key: Key) {
        let Some(now) = self.fresh().cloned() else {
            return self.say("The node can't be heard: nothing can be ordered.".into());
        };
        let name = self.chosen_box.clone();
        let Some(server) = now.boxes.iter().find(|server| Some(&server.name) == name.as_ref()) else {
            return self.say("No box is chosen.".into());
        };
        self.dialog = Some(match key {
            Key::Char('d') => Dialog::drain(server, &now),
            Key::Char('o') => Dialog::leave_out(server, &now),
            _ => Dialog::undrain(server),
        });
    }

    fn ask_on_node(&mut self, key: Key) {
        let Some(now) = self.fresh() else {
            return self.say("The node can't be heard: nothing can be ordered.".into());
        };
        self.dialog = Some(match key {
            Key::Char('Q') => Dialog::stop(now),
            Key::Char('R') => Dialog::reload(),
            _ => Dialog::diagnose(),
        });
    }

    // ---- what is listed ----

    pub(crate) fn boxes(&self) -> &[BoxStatus] {
        match &self.node {
            Node::Here(snapshot) => &snapshot.boxes,
            Node::Away(_) => &[],
        }
    }

    pub(crate) fn requests(&self) -> &[SlowRequest] {
        match &self.node {
            Node::Here(snapshot) => &snapshot.slow,
            Node::Away(_) => &[],
        }
    }

    /// Events with the words that are searched for, the latest first.
    pub(crate) fn found(&self) -> Vec<&Event> {
        let words = self.search.to_lowercase();
        let fits = |event: &&Event| words.is_empty() || event.text.to_lowercase().contains(&words);
        self.events.iter().rev().filter(fits).collect()
    }

    fn lines(&self) -> usize {
        match self.screen {
            Screen::Overview => 0,
            Screen::Boxes => self.boxes().len(),
            Screen::Requests => self.requests().len(),
            Screen::Tenants => match &self.node {
                Node::Here(snapshot) => snapshot.tenants.len() + snapshot.shares.len(),
                Node::Away(_) => 0,
            },
            Screen::Events => self.found().len(),
        }
    }

    pub(crate) fn at(&self) -> usize {
        self.chosen[self.screen.place()]
    }
}
