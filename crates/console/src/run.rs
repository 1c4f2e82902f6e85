//! Puts model, link and terminal together.

use std::io::{self, Read};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Signal, getpid, kill_process};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGWINCH};
use signal_hook::iterator::Signals;

use crate::connection::Link;
use crate::keys::Keys;
use crate::model::{Effect, Input, Model};
use crate::output_rate::Pace;
use crate::terminal::{Drawn, drawn, restore, restore_mode, take, with_restored};
use crate::view::{Look, draw};

/// How often it looks whether anything has come from the node; keys are seen at once.
const LOOK: Duration = Duration::from_millis(50);
/// How often it draws without anything new: ages go on.
const REDRAW: Duration = Duration::from_secs(1);
/// It has so long to end at a signal by itself.
const INSIST: Duration = Duration::from_secs(1);

/// How the console is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The node's state folder.
    pub state: PathBuf,
    /// Most bytes a second to the terminal, over longer than one screen.
    pub bytes_per_second: u32,
    /// Whether there are colours; bold and reversed are used in any case.
    pub colours: bool,
}

/// Runs until it is left or ended. The node goes on.
///
/// # Errors
/// If there is no terminal, or it has gone.
pub fn run(options: &Options) -> io::Result<()> {
    let end = Arc::new(AtomicBool::new(false));
    let (told, signals) = (end.clone(), Signals::new([SIGTERM, SIGHUP, SIGINT])?);
    thread::spawn(move || obey(signals, &told));
    let link = Link::start(options.state.clone());
    take()?;
    with_restored(restore, || watch(options, &link, &end))
}

/// Has the console end at a signal, and ends it where it does not.
///
/// Guards against: a terminal that takes nothing, in which the last screen stands still, so that the console would outlast
/// every signal but SIGKILL. Its screen can't be given back then, its mode can.
fn obey(mut signals: Signals, end: &AtomicBool) {
    if signals.forever().next().is_some() {
        end.store(true, Ordering::Relaxed);
        thread::sleep(INSIST);
        restore_mode();
        std::process::exit(1);
    }
}

/// What is typed, from a thread of its own; it ends with the terminal.
fn typed() -> Receiver<Vec<u8>> {
    let (to, typed) = channel();
    thread::spawn(move || {
        let mut buffer = [0; 256];
        loop {
            match io::stdin().read(&mut buffer) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => return,
                Ok(n) => {
                    if to.send(buffer[..n].to_vec()).is_err() {
                        return;
                    }
                }
            }
        }
    });
    typed
}

/// What is drawn, and when.
struct Screen {
    terminal: Drawn,
    written: Arc<AtomicU64>,
    counted: u64,
    pace: Pace,
    start: Instant,
    drawn: Option<Instant>,
    look: Look,
}

fn watch(options: &Options, link: &Link, end: &AtomicBool) -> io::Result<()> {
    let (terminal, written) = drawn()?;
    let pace = Pace::new(options.bytes_per_second);
    let look = Look { colours: options.colours };
    let mut screen = Screen { terminal, written, counted: 0, pace, start: Instant::now(), drawn: None, look };
    let (mut model, mut keys) = (Model::new(), Keys::new());
    let (typed, resized) = (typed(), Arc::new(AtomicBool::new(false)));
    signal_hook::flag::register(SIGWINCH, resized.clone())?;
    let mut news = true;
    while !end.load(Ordering::Relaxed) {
        news |= screen.drawn.is_none_or(|at| at.elapsed() >= REDRAW);
        if news && screen.draw(&mut model)? {
            news = false;
        }
        let mut inputs = Vec::new();
        match typed.recv_timeout(LOOK) {
            Ok(bytes) => inputs.extend(bytes.iter().filter_map(|byte| keys.push(*byte)).map(Input::Key)),
            Err(RecvTimeoutError::Timeout) => inputs.extend(keys.pause().map(Input::Key)),
            Err(RecvTimeoutError::Disconnected) => return Err(io::Error::other("the terminal has gone")),
        }
        // Guards against: sizes that follow one another so quickly that the last is the one drawn before. What the terminal
        // lost on the way is drawn anew whether or not the size differs.
        if resized.swap(false, Ordering::Relaxed) {
            screen.terminal.clear()?;
            news = true;
        }
        inputs.extend(link.take());
        for input in inputs {
            news = true;
            for effect in model.on(screen.start.elapsed(), input) {
                match effect {
                    Effect::Order(verb) => link.order(verb),
                    Effect::Redraw => screen.terminal.clear()?,
                    Effect::Suspend => screen.suspend()?,
                    Effect::Quit => return Ok(()),
                }
            }
        }
    }
    Ok(())
}

impl Screen {
    /// Draws, unless the line is still busy with what was drawn before.
    fn draw(&mut self, model: &mut Model) -> io::Result<bool> {
        let now = self.start.elapsed();
        if !self.pace.may_draw(now) {
            return Ok(false);
        }
        model.on(now, Input::Tick);
        let look = self.look;
        self.terminal.draw(|frame| draw(frame, model, look))?;
        let written = self.written.load(Ordering::Relaxed);
        self.pace.wrote(self.start.elapsed(), written - self.counted);
        self.counted = written;
        self.drawn = Some(Instant::now());
        Ok(true)
    }

    /// Stops, as a shell's job does, and takes the terminal again when it goes on.
    fn suspend(&mut self) -> io::Result<()> {
        restore();
        kill_process(getpid(), Signal::TSTP)?;
        take()?;
        self.terminal.clear()
    }
}
