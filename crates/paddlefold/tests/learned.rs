//! The form in which what a balancer has learned is stored.

use paddlefold::{Learned, LearnedServer};

/// Other builds read what this one has stored, and the other way round.
#[test]
fn stored_field_names_stay_compatible() {
    let learned = Learned { servers: vec![LearnedServer::default()], ..Learned::default() };
    let stored = r#"{"times":[],"gates":[],"usual_work":0.0,"servers":[{"id":0,"slowness":0.0,"silent":0,"heard":null}]}"#;
    assert_eq!(serde_json::to_string(&learned).unwrap(), stored);
}
