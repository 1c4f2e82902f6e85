//! A console on a pseudo-terminal, and what a terminal would show of it.

use std::io::{Read, Write};
use std::num::NonZero;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use portable_pty::{Child, CommandBuilder, MasterPty, PtySize, native_pty_system};

use super::PATIENCE;

struct Seen {
    parser: vt100::Parser,
    /// All that was written.
    raw: Vec<u8>,
    closed: bool,
    /// Nothing more is read of what it writes.
    blocked: bool,
}

/// A console, and its terminal.
pub struct Terminal {
    seen: Arc<(Mutex<Seen>, Condvar)>,
    keys: Box<dyn Write + Send>,
    master: Box<dyn MasterPty + Send>,
    child: Box<dyn Child + Send + Sync>,
}

fn nonzero(n: u16) -> NonZero<u16> {
    NonZero::new(n).expect("a size")
}

fn size(rows: u16, cols: u16) -> PtySize {
    PtySize { rows, cols, pixel_width: 0, pixel_height: 0 }
}

impl Terminal {
    /// A console of 24 by 80.
    pub fn open(state: &Path, args: &[&str]) -> Terminal {
        let pty = native_pty_system().openpty(size(24, 80)).unwrap();
        let mut command = CommandBuilder::new(env!("CARGO_BIN_EXE_lilacquay"));
        command.env_clear();
        command.env("TERM", "xterm-256color");
        command.arg("console");
        command.arg("--state");
        command.arg(state);
        command.args(args);
        let child = pty.slave.spawn_command(command).unwrap();
        drop(pty.slave);
        let (mut output, keys) = (pty.master.try_clone_reader().unwrap(), pty.master.take_writer().unwrap());
        let parser = vt100::Parser::new(nonzero(24), nonzero(80), 0);
        let seen = Arc::new((
            Mutex::new(Seen { parser, raw: Vec::new(), closed: false, blocked: false }),
            Condvar::new(),
        ));
        let shown = seen.clone();
        thread::spawn(move || {
            let mut buffer = [0; 4096];
            loop {
                {
                    let Ok(seen) = shown.0.lock() else { return };
                    if shown.1.wait_while(seen, |seen| seen.blocked).is_err() {
                        return;
                    }
                }
                let n = output.read(&mut buffer).unwrap_or(0);
                let Ok(mut seen) = shown.0.lock() else { return };
                seen.parser.process(&buffer[..n]);
                seen.raw.extend_from_slice(&buffer[..n]);
                seen.closed = n == 0;
                shown.1.notify_all();
                if n == 0 {
                    return;
                }
            }
        });
        Terminal { seen, keys, master: pty.master, child }
    }

    /// Presses keys.
    pub fn press(&mut self, keys: &str) {
        self.raw_keys(keys.as_bytes());
    }

    /// Writes bytes as if they were keys.
    pub fn raw_keys(&mut self, bytes: &[u8]) {
        self.keys.write_all(bytes).unwrap();
        self.keys.flush().unwrap();
    }

    pub fn resize(&self, rows: u16, cols: u16) {
        self.seen.0.lock().unwrap().parser.screen_mut().set_size(nonzero(rows), nonzero(cols));
        self.master.resize(size(rows, cols)).unwrap();
    }

    /// Loses what it shows, as a terminal that shrinks to nothing for a moment does.
    pub fn forget(&self) {
        let mut seen = self.seen.0.lock().unwrap();
        for (rows, cols) in [(1, 1), (24, 80)] {
            seen.parser.screen_mut().set_size(nonzero(rows), nonzero(cols));
        }
    }

    /// Takes nothing more of what is written, and has it drawn anew until the console stands in the midst of a write.
    pub fn block(&mut self) {
        self.seen.0.lock().unwrap().blocked = true;
        let (start, mut writing) = (Instant::now(), 0);
        while writing < 5 {
            self.press("\x0c");
            thread::sleep(Duration::from_millis(10));
            // What it waits for: with nothing to do, the next key (a futex).
            let waits =
                std::fs::read_to_string(format!("/proc/{}/wchan", self.child.process_id().unwrap())).unwrap();
            writing = if waits != "0" && !waits.contains("futex") { writing + 1 } else { 0 };
            assert!(start.elapsed() < PATIENCE, "it never blocks, but in {waits:?}");
        }
    }

    /// Takes what is written again.
    pub fn unblock(&self) {
        self.seen.0.lock().unwrap().blocked = false;
        self.seen.1.notify_all();
    }

    /// Waits for its end alone; tells whether it went well.
    pub fn gone(&mut self) -> bool {
        let start = Instant::now();
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return status.success(),
                None => assert!(start.elapsed() < PATIENCE, "it goes on"),
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// What is on the screen.
    pub fn screen(&self) -> String {
        self.seen.0.lock().unwrap().parser.screen().contents()
    }

    /// All that was written so far.
    pub fn written(&self) -> Vec<u8> {
        self.seen.0.lock().unwrap().raw.clone()
    }

    /// Waits until the screen is as wanted; tells it.
    pub fn until(&self, what: &str, wanted: impl Fn(&str) -> bool) -> String {
        let start = Instant::now();
        let mut seen = self.seen.0.lock().unwrap();
        loop {
            let screen = seen.parser.screen().contents();
            if wanted(&screen) {
                return screen;
            }
            assert!(start.elapsed() < PATIENCE, "no {what} on:\n{screen}");
            seen = self.seen.1.wait_timeout(seen, Duration::from_millis(100)).unwrap().0;
        }
    }

    /// Waits until these words are on the screen.
    pub fn shows(&self, words: &str) -> String {
        self.until(words, |screen| screen.contains(words))
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.process_id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Waits for its end; tells whether it went well, and whether the terminal was given back.
    pub fn ended(&mut self) -> (bool, bool) {
        let well = self.child.wait().unwrap().success();
        let start = Instant::now();
        let mut seen = self.seen.0.lock().unwrap();
        while !seen.closed && start.elapsed() < PATIENCE {
            seen = self.seen.1.wait_timeout(seen, Duration::from_millis(100)).unwrap().0;
        }
        let restored = !seen.parser.screen().alternate_screen() && !seen.parser.screen().hide_cursor();
        (well, restored)
    }
}

impl Drop for Terminal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
