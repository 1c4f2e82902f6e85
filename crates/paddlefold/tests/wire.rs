//! The wire protocol, on hand-written transcripts.

use paddlefold::wire::run;

/// Runs the adapter; returns its result, its output and its notes.
fn run_adapter(input: &str) -> (Result<(), String>, String, String) {
    let (mut output, mut notes) = (Vec::new(), Vec::new());
    let result = run(input.as_bytes(), &mut output, &mut notes).map_err(|e| e.to_string());
    (result, String::from_utf8(output).unwrap(), String::from_utf8(notes).unwrap())
}

const SETUP: &str =
    r#"{"Classes":[{"Name":"a","Aim":300.0,"Effect":"safe"}],"FamilyInfo":{"Mode":"through"}}"#;

fn configured(instances: &[u32]) -> String {
    let mut text = String::from("{\"ROUND\":{\"AtTime\":5.0,\"n\":1}}\n");
    for i in instances {
        text += &format!("{{\"CONFIGURE\":{{\"I\":{i},\"Nonce64\":1,\"Setup\":{SETUP}}}}}\n");
        text += &format!(
            "{{\"ENDPOINTS\":{{\"I\":{i},\"Scope\":\"cached\",\"Members\":[{{\"Lifecycle\":\"up\",\"Server\":8}}]}}}}\n"
        );
    }
    text + "{\"FLUSH\":{}}\n"
}

fn request(instance: u32, id: u32) -> String {
    format!("{{\"NEW_REQUEST\":{{\"I\":{instance},\"Rid\":{id},\"Lane\":\"a\",\"Budget\":500.0}}}}\n")
}

#[test]
fn the_transcript_gives_the_stored_output() {
    let (result, output, notes) = run_adapter(include_str!("transcript.in"));
    assert_eq!(result, Ok(()));
    // Timers are left out, since their times depend on tuning constants.
    let answers: Vec<&str> = output.lines().filter(|l| !l.contains("NOTIFY_ME")).collect();
    assert_eq!(answers.join("\n") + "\n", include_str!("transcript.out"));
    assert_eq!(notes, "");
}

#[test]
fn an_empty_batch_is_answered_with_its_number() {
    let (_, output, _) = run_adapter("{\"ROUND\":{\"AtTime\":8412.25,\"n\":1}}\n{\"FLUSH\":{}}\n");
    assert_eq!(output, "{\"EOR\":{\"n\":1}}\n");
}

#[test]
fn instances_share_no_state_and_reply_separately() {
    let batch =
        |events: &str| format!("{{\"ROUND\":{{\"AtTime\":9.0,\"n\":2}}}}\n{events}{{\"FLUSH\":{{}}}}\n");
    let both = run_adapter(&(configured(&[1, 2]) + &batch(&(request(1, 5) + &request(2, 6))))).1;
    let one = run_adapter(&(configured(&[1]) + &batch(&request(1, 5)))).1;
    let lines = |text: &str| -> Vec<String> {
        text.lines().filter(|l| l.contains("\"I\":1,")).map(String::from).collect()
    };
    assert!(!lines(&one).is_empty());
    assert_eq!(lines(&both), lines(&one));
    assert!(both.contains("{\"PLACE\":{\"I\":2,\"Rid\":6,\"Server\":8,"));
}

#[test]
fn a_killed_instance_gives_no_replies_and_may_be_set_up_again() {
    let setup = configured(&[1]);
    let again =
        setup.lines().filter(|l| !l.contains("ROUND") && !l.contains("FLUSH")).collect::<Vec<_>>().join("\n");
    let kill = format!(
        "{{\"ROUND\":{{\"AtTime\":9.0,\"n\":2}}}}\n{}{{\"EXIT\":{{\"I\":1}}}}\n{again}\n{{\"FLUSH\":{{}}}}\n",
        request(1, 5)
    );
    let (result, output, _) = run_adapter(&(setup + &kill));
    assert_eq!(result, Ok(()));
    assert!(!output.contains("\"Rid\":5"), "{output}");
}

#[test]
fn unknown_events_are_skipped_and_unknown_timers_and_requests_ignored() {
    let unknown = "{\"ROUND\":{\"AtTime\":9.0,\"n\":2}}\n{\"NEWS\":{\"I\":1,\"x\":[1,2]}}\n\
        {\"TIMER\":{\"I\":1,\"Ref\":\"sweep\"}}\n{\"CLIENT_GONE\":{\"I\":1,\"Rid\":77,\"New\":null}}\n\
        {\"FINISHED\":{\"I\":1,\"Rid\":77,\"Leg\":3,\"Server\":8,\"Code\":\"Ok\",\"Duration\":1.0}}\n\
        {\"FROM_PEER\":{\"I\":1,\"From\":2,\"Raw\":\"00\"}}\n{\"FLUSH\":{}}\n";
    let (result, output, notes) = run_adapter(&(configured(&[1]) + unknown));
    assert_eq!(result, Ok(()));
    assert!(output.ends_with("{\"EOR\":{\"n\":2}}\n"));
    assert!(notes.contains("NEWS"), "{notes}");
}

#[test]
fn malformed_input_is_reported_with_its_line_and_gets_no_reply() {
    let begun = "{\"ROUND\":{\"AtTime\":9.0,\"n\":2}}\n";
    for (input, expected) in [
        ("nonsense\n".to_string(), "line 1"),
        (begun.to_string(), "within batch 2"),
        (format!("{begun}{{\"NEW_REQUEST\":{{\"I\":1}}}}\n"), "Rid"),
        (format!("{begun}{begun}"), "within a batch"),
        ("{\"FLUSH\":{}}\n".to_string(), "outside a batch"),
        (format!("{begun}{}", request(4, 4)), "instance 4"),
        (format!("{begun}{{\"EXIT\":{{\"I\":true}}}}\n"), "line 2"),
        (format!("{begun}{{\"EXIT\":{{\"I\":3}}}}\n"), "instance 3"),
        (
            format!(
                "{begun}{{\"FINISHED\":{{\"I\":1,\"Rid\":1,\"Leg\":0,\"Code\":\"Odd\",\"Duration\":1}}}}\n"
            ),
            "Odd",
        ),
    ] {
        let (result, output, _) = run_adapter(&input);
        let error = result.expect_err(&input);
        assert!(error.contains(expected), "{error} for {input}");
        assert!(!error.contains('\n') && output.is_empty());
    }
}
