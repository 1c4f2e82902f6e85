//! What one node can see of the rules by itself, apart from the module that keeps them.

use crate::trace::End;

/// What a request's repeats may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeats {
    /// They are free.
    Free,
    /// Servers discard them; which do is not looked at here.
    Discarded,
    /// It must not run twice.
    Never,
}

/// A request's tries, as far as its repeats matter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tries {
    repeats: Repeats,
    out: u32,
    may_have_run: bool,
}

impl Tries {
    pub fn new(repeats: Repeats) -> Self {
        Tries { repeats, out: 0, may_have_run: false }
    }

    /// One more is sent; whether it may make the request run twice.
    pub fn sent(&mut self) -> bool {
        let breach = self.repeats == Repeats::Never && (self.out > 0 || self.may_have_run);
        self.out += 1;
        breach
    }

    /// One has ended.
    pub fn ended(&mut self, end: End) {
        self.out = self.out.saturating_sub(1);
        self.may_have_run |=
            matches!(end, End::Served | End::Error | End::Silent | End::Broken | End::Canceled);
    }
}
