//! The module stays short enough to be printed.

#[test]
fn the_module_is_short_and_its_lines_narrow() {
    let text = include_str!("../src/brain.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 550, "{lines} lines");
    let long: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(long.is_empty(), "over 110 characters: {long:?}");
}
