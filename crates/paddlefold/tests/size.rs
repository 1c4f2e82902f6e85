//! The module stays short enough to be printed.

fn lines(text: &str) -> usize {
    text.lines().filter(|l| !l.trim().is_empty()).count()
}

#[test]
fn the_module_is_short_and_its_lines_narrow() {
    let text = include_str!("../src/brain.rs");
    assert!(lines(text) <= 550, "{} lines", lines(text));
    let long: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(long.is_empty(), "over 110 characters: {long:?}");
}

#[test]
fn all_files_of_the_policy_stay_within_their_limit() {
    let files = [
        include_str!("../src/brain.rs"),
        include_str!("../src/cost.rs"),
        include_str!("../src/health.rs"),
        include_str!("../src/holders.rs"),
        include_str!("../src/state.rs"),
    ];
    let all: usize = files.into_iter().map(lines).sum();
    assert!(all <= 1200, "{all} lines");
}
