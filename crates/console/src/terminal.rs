//! The terminal: taken, counted what is written to it, and given back however the console ends.

use std::io::{self, Write};
use std::panic;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossterm::cursor::{Hide, Show};
use crossterm::execute;
use crossterm::style::ResetColor;
use crossterm::terminal::{EnterAlternateScreen, LeaveAlternateScreen, disable_raw_mode, enable_raw_mode};
use ratatui::Terminal;
use ratatui::backend::{Backend, ClearType, CrosstermBackend, WindowSize};
use ratatui::buffer::Cell;
use ratatui::layout::{Position, Size};

/// Writes on, and counts.
pub(crate) struct Counted<W> {
    inner: W,
    bytes: Arc<AtomicU64>,
}

impl<W: Write> Write for Counted<W> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        let written = self.inner.write(buffer)?;
        self.bytes.fetch_add(written as u64, Ordering::Relaxed);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

type Lines = CrosstermBackend<Counted<io::BufWriter<io::Stdout>>>;

/// A terminal that is told, and never asked.
///
/// Guards against: a console that ends, for the answer to where the cursor is did not come over a slow line, or was lost
/// between keys. It always sets the cursor before it draws.
pub(crate) struct Unasked(Lines);

impl Backend for Unasked {
    type Error = io::Error;

    fn draw<'a, I: Iterator<Item = (u16, u16, &'a Cell)>>(&mut self, content: I) -> io::Result<()> {
        self.0.draw(content)
    }
    fn hide_cursor(&mut self) -> io::Result<()> {
        self.0.hide_cursor()
    }
    fn show_cursor(&mut self) -> io::Result<()> {
        self.0.show_cursor()
    }
    fn get_cursor_position(&mut self) -> io::Result<Position> {
        Ok(Position::ORIGIN)
    }
    fn set_cursor_position<P: Into<Position>>(&mut self, position: P) -> io::Result<()> {
        self.0.set_cursor_position(position)
    }
    fn clear(&mut self) -> io::Result<()> {
        self.0.clear()
    }
    fn clear_region(&mut self, region: ClearType) -> io::Result<()> {
        self.0.clear_region(region)
    }
    fn size(&self) -> io::Result<Size> {
        self.0.size()
    }
    fn window_size(&mut self) -> io::Result<WindowSize> {
        self.0.window_size()
    }
    fn flush(&mut self) -> io::Result<()> {
        Backend::flush(&mut self.0)
    }
}

/// What is drawn on.
pub(crate) type Drawn = Terminal<Unasked>;

/// What is drawn on, and how many bytes were written to it. They are written together, at the end of each screen.
pub(crate) fn drawn() -> io::Result<(Drawn, Arc<AtomicU64>)> {
    let bytes: Arc<AtomicU64> = Arc::default();
    let inner = io::BufWriter::with_capacity(64 << 10, io::stdout());
    let terminal = Terminal::new(Unasked(CrosstermBackend::new(Counted { inner, bytes: bytes.clone() })))?;
    Ok((terminal, bytes))
}

/// What gives the terminal back. It is given back once, at its drop at the latest.
pub struct Restored<F: FnMut()>(F);

impl<F: FnMut()> Drop for Restored<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

/// Runs something, and restores afterwards, also if it panics: what it panicked with is printed behind that, where it can be
/// read.
///
/// # Errors
/// What the work told, or that it panicked.
pub fn with_restored<T>(restore: impl FnMut(), work: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    let told = Arc::new(std::sync::Mutex::new(None));
    let (keep, before) = (told.clone(), panic::take_hook());
    panic::set_hook(Box::new(move |info| {
        *keep.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(info.to_string());
    }));
    let ended = {
        let _restored = Restored(restore);
        panic::catch_unwind(panic::AssertUnwindSafe(work))
    };
    panic::set_hook(before);
    ended.unwrap_or_else(|_| {
        let what = told.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
        Err(io::Error::other(format!("the console failed: {}", what.unwrap_or_default())))
    })
}

/// Takes the terminal.
pub(crate) fn take() -> io::Result<()> {
    enable_raw_mode()?;
    execute!(io::stdout(), EnterAlternateScreen, Hide)
}

/// Gives it back. A terminal that is gone can't be given back, and needs it no more.
pub(crate) fn restore() {
    restore_mode();
    let _ = execute!(io::stdout(), ResetColor, LeaveAlternateScreen, Show);
}

/// Gives back how it takes what is typed, which needs nothing to be written.
pub(crate) fn restore_mode() {
    let _ = disable_raw_mode();
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use super::*;

    #[test]
    fn it_is_given_back_once_whether_the_work_ends_fails_or_panics() {
        let restored = Cell::new(0);
        let run = |work: fn() -> io::Result<u8>| with_restored(|| restored.set(restored.get() + 1), work);
        assert_eq!(run(|| Ok(7)).unwrap(), 7);
        assert_eq!(
            run(|| Err(io::ErrorKind::BrokenPipe.into())).unwrap_err().kind(),
            io::ErrorKind::BrokenPipe
        );
        let panicked = run(|| panic!("on purpose")).unwrap_err();
        assert!(panicked.to_string().contains("on purpose"), "{panicked}");
        assert_eq!(restored.get(), 3);
    }
}
