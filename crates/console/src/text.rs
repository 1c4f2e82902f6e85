//! Text of others, made harmless and of a known width.

use unicode_width::UnicodeWidthChar;

/// What others wrote, without anything that a terminal might obey or that changes the order of what is read: control
/// characters, and those that set the direction of writing, become question marks.
///
/// Guards against: a box whose name clears the screen, or shows another name.
pub fn plain(text: &str) -> String {
    let directs =
        |c: char| matches!(c, '\u{200e}' | '\u{200f}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}');
    let harmless = |c: char| if c.is_control() || directs(c) || c == '\u{feff}' { '?' } else { c };
    text.chars().map(harmless).collect()
}

/// At most so many columns of it, with a mark where it is cut.
pub(crate) fn cut(text: &str, columns: usize) -> String {
    let width = |c: char| c.width().unwrap_or(0);
    if text.chars().map(width).sum::<usize>() <= columns {
        return text.to_owned();
    }
    let (mut kept, mut used) = (String::new(), 0);
    for c in text.chars() {
        if used + width(c) + 1 > columns {
            break;
        }
        used += width(c);
        kept.push(c);
    }
    if columns > 0 {
        kept.push('~');
    }
    kept
}

/// A time in microseconds, in five columns at most.
pub(crate) fn time(us: u64) -> String {
    match us {
        0 => "-".into(),
        1..1_000 => format!("{us}us"),
        1_000..10_000 => format!("{:.1}ms", us as f64 / 1e3),
        10_000..1_000_000 => format!("{}ms", us / 1_000),
        1_000_000..100_000_000 => format!("{:.1}s", us as f64 / 1e6),
        _ => format!("{}s", us / 1_000_000),
    }
}

/// A duration in seconds, as people say it.
pub(crate) fn ago(seconds: f64) -> String {
    match seconds {
        s if !s.is_finite() || s < 0.0 => "-".into(),
        s if s < 120.0 => format!("{s:.0} s"),
        s if s < 7_200.0 => format!("{:.0} min", s / 60.0),
        s if s < 172_800.0 => format!("{:.0} h", s / 3_600.0),
        s => format!("{:.0} d", s / 86_400.0),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_that_a_terminal_obeys_is_left() {
        let odd = "a\u{1b}[2Jb\u{7}\r\n\u{9b}31m\u{202e}c\u{200f}";
        assert_eq!(plain(odd), "a?[2Jb????31m?c?");
    }

    #[test]
    fn what_is_cut_is_as_wide_as_it_may_be() {
        assert_eq!(
            (cut("box-1", 5), cut("box-12", 5), cut("盒子盒", 5), cut("ab", 0)),
            ("box-1".into(), "box-~".into(), "盒子~".into(), String::new())
        );
    }

    #[test]
    fn times_fit_into_their_columns() {
        for us in [0, 9, 999, 1_000, 9_999, 999_999, 1_000_000, 99_999_999, 100_000_000, 3_600_000_000] {
            assert!(time(us).len() <= 6, "{}", time(us));
        }
    }
}
