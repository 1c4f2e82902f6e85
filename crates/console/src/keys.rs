//! Keys, out of the bytes that a terminal sends (ECMA-48, and what xterm adds). No I/O: bytes go in, keys come out.

/// The longest sequence of one key; more is no key.
const LONGEST: usize = 16;
const ESCAPE: u8 = 0x1b;

/// A key that is pressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// A character.
    Char(char),
    /// With the control key.
    Ctrl(char),
    /// Return.
    Enter,
    /// Escape.
    Esc,
    /// Tab.
    Tab,
    /// Tab with shift.
    BackTab,
    /// Backspace.
    Backspace,
    /// Arrow up.
    Up,
    /// Arrow down.
    Down,
    /// Arrow left.
    Left,
    /// Arrow right.
    Right,
    /// Page up.
    PageUp,
    /// Page down.
    PageDown,
    /// Home.
    Home,
    /// End.
    End,
    /// Any other.
    Other,
}

/// Puts bytes together to keys.
///
/// What was begun ends with the first byte that can't belong to it, after [`LONGEST`] bytes, or with a pause.
/// Guards against: bytes of a noisy line that begin a sequence, behind which all that is typed would vanish.
#[derive(Debug, Default)]
pub struct Keys {
    begun: Vec<u8>,
}

impl Keys {
    /// Nothing begun.
    pub fn new() -> Self {
        Keys::default()
    }

    /// The next byte; the key that it ends, if it ends one.
    pub fn push(&mut self, byte: u8) -> Option<Key> {
        match self.begun.as_slice() {
            [] => self.first(byte),
            [ESCAPE] => match byte {
                b'[' | b'O' => self.more(byte),
                ESCAPE => Some(Key::Esc), // and another one is begun
                _ => self.anew(byte),     // with the Alt key, which makes no difference here
            },
            [ESCAPE, kind, ..] => match byte {
                ESCAPE => {
                    self.begun.truncate(1);
                    Some(Key::Other)
                }
                0x40..=0x7e => {
                    let key = sequence(*kind, &self.begun[2..], byte);
                    self.begun.clear();
                    Some(key)
                }
                0x20..=0x3f => self.more(byte),
                _ => self.anew(byte),
            },
            _ if byte & 0xc0 == 0x80 => self.character(byte),
            _ => self.anew(byte),
        }
    }

    /// Nothing more has come for a while: what was begun ends here.
    pub fn pause(&mut self) -> Option<Key> {
        match std::mem::take(&mut self.begun).as_slice() {
            [] => None,
            [ESCAPE] => Some(Key::Esc),
            _ => Some(Key::Other),
        }
    }

    fn first(&mut self, byte: u8) -> Option<Key> {
        match byte {
            b'\r' | b'\n' => Some(Key::Enter),
            b'\t' => Some(Key::Tab),
            0x08 | 0x7f => Some(Key::Backspace),
            1..=26 => Some(Key::Ctrl((b'a' + byte - 1) as char)),
            0x20..=0x7e => Some(Key::Char(byte as char)),
            ESCAPE | 0xc2..=0xf4 => self.more(byte),
            _ => Some(Key::Other),
        }
    }

    fn more(&mut self, byte: u8) -> Option<Key> {
        self.begun.push(byte);
        if self.begun.len() < LONGEST {
            return None;
        }
        self.begun.clear();
        Some(Key::Other)
    }

    /// What was begun is no key; the byte stands by itself.
    fn anew(&mut self, byte: u8) -> Option<Key> {
        self.begun.clear();
        self.first(byte)
    }

    /// A character of several bytes, in UTF-8.
    fn character(&mut self, byte: u8) -> Option<Key> {
        self.begun.push(byte);
        let whole = match self.begun[0] {
            0xc2..=0xdf => 2,
            0xe0..=0xef => 3,
            _ => 4,
        };
        if self.begun.len() < whole {
            return None;
        }
        let bytes = std::mem::take(&mut self.begun);
        let character = std::str::from_utf8(&bytes).ok().and_then(|text| text.chars().next());
        Some(character.map_or(Key::Other, Key::Char))
    }
}

/// A key that is told as a sequence: after `ESC [` or `ESC O`, parameters and a last byte.
fn sequence(kind: u8, parameters: &[u8], last: u8) -> Key {
    match (kind, last) {
        (_, b'A') => Key::Up,
        (_, b'B') => Key::Down,
        (_, b'C') => Key::Right,
        (_, b'D') => Key::Left,
        (_, b'H') => Key::Home,
        (_, b'F') => Key::End,
        (b'[', b'Z') => Key::BackTab,
        (b'[', b'~') => match parameters.split(|b| *b == b';').next().unwrap_or_default() {
            b"1" | b"7" => Key::Home,
            b"4" | b"8" => Key::End,
            b"5" => Key::PageUp,
            b"6" => Key::PageDown,
            _ => Key::Other,
        },
        _ => Key::Other,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(bytes: &[u8]) -> Vec<Key> {
        let mut keys = Keys::new();
        let mut all: Vec<Key> = bytes.iter().filter_map(|byte| keys.push(*byte)).collect();
        all.extend(keys.pause());
        all
    }

    #[test]
    fn keys_are_what_terminals_send_for_them() {
        let cases: [(&[u8], &[Key]); 10] = [
            (b"q\r\t\x7f\x03", &[Key::Char('q'), Key::Enter, Key::Tab, Key::Backspace, Key::Ctrl('c')]),
            (b"\x1b[A\x1bOB\x1b[1;5C", &[Key::Up, Key::Down, Key::Right]),
            (
                b"\x1b[5~\x1b[6~\x1b[H\x1b[4~\x1b[Z",
                &[Key::PageUp, Key::PageDown, Key::Home, Key::End, Key::BackTab],
            ),
            (b"\x1b", &[Key::Esc]),
            (b"\x1b\x1b[A", &[Key::Esc, Key::Up]),
            ("é盒".as_bytes(), &[Key::Char('é'), Key::Char('盒')]),
            (b"\xe7q", &[Key::Char('q')]),
            (b"\x1b[<0;1q", &[Key::Other]),
            (b"\x1b[?", &[Key::Other]),
            (b"\xff\x00", &[Key::Other, Key::Other]),
        ];
        for (bytes, wanted) in cases {
            assert_eq!(keys(bytes), wanted, "{bytes:?}");
        }
    }

    #[test]
    fn whatever_came_before_a_key_behind_a_pause_is_heard() {
        let mut rng = fastrand::Rng::with_seed(9);
        for _ in 0..20_000 {
            let mut keys = Keys::new();
            for _ in 0..rng.usize(0..40) {
                let byte = if rng.bool() { rng.u8(..) } else { b"\x1b[O?<;0"[rng.usize(..7)] };
                keys.push(byte);
                assert!(keys.begun.len() < LONGEST);
            }
            keys.pause();
            assert_eq!(keys.push(b'1'), Some(Key::Char('1')));
        }
    }
}
