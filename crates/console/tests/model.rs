//! The console's model and view with whatever may come: random keys, random snapshots, screens of any size.

use std::time::Duration;

use lilacquay_console::{Effect, Input, Key, Look, Model, draw};
use lilacquay_control::{Answer, ControlRequest};
use lilacquay_observe::{
    BoxStatus, Event, EventBatch, OrderStatus, SecondStats, ShareStatus, SlowRequest, Snapshot, Step,
    TenantStats,
};
use ratatui::Terminal;
use ratatui::backend::TestBackend;

fn text(rng: &mut fastrand::Rng) -> String {
    let odd =
        ["", "box-1", "\u{1b}[2J", "\u{202e}", "盒子", "a\u{301}", "\u{9b}31m", "\n\n", "👩‍👩‍👧", "\u{200b}"];
    (0..rng.usize(0..4)).map(|_| odd[rng.usize(..odd.len())]).collect()
}

fn float(rng: &mut fastrand::Rng) -> f64 {
    [0.0, 1.0, -1.0, 0.5, f64::NAN, f64::INFINITY, f64::MAX, 1e-300, 61.2][rng.usize(..9)]
}

fn number(rng: &mut fastrand::Rng) -> u64 {
    [0, 1, 7, 999, 1_000_000, u64::MAX][rng.usize(..6)]
}

fn many<T>(rng: &mut fastrand::Rng, most: usize, one: impl Fn(&mut fastrand::Rng) -> T) -> Vec<T> {
    (0..rng.usize(0..=most)).map(|_| one(rng)).collect()
}

fn server(rng: &mut fastrand::Rng) -> BoxStatus {
    let order = rng.bool().then(|| OrderStatus {
        number: number(rng),
        seconds_left: rng.bool().then(|| float(rng)),
        lasting: rng.bool(),
    });
    BoxStatus {
        name: text(rng),
        zone: text(rng),
        kind: text(rng),
        origin: rng.u8(..) < 40,
        listed: rng.bool(),
        serves: rng.bool(),
        order,
        out: number(rng) as usize,
        oldest_ms: float(rng),
        free_in_ms: float(rng),
        idle: number(rng) as usize,
        warmth: float(rng),
        slowness: float(rng),
        left_out: rng.bool().then(|| text(rng)),
        times: std::array::from_fn(|_| number(rng)),
        ..BoxStatus::default()
    }
}

fn snapshot(rng: &mut fastrand::Rng) -> Snapshot {
    Snapshot {
        at_ms: number(rng),
        started_ms: rng.u64(0..3),
        version: text(rng),
        watched_s: float(rng),
        open: number(rng) as usize,
        memory_kb: number(rng),
        seconds: many(rng, 60, |rng| SecondStats {
            answers: number(rng),
            refused: number(rng),
            p50_us: number(rng),
            p99_us: number(rng),
        }),
        boxes: many(rng, 40, server),
        slow: many(rng, 20, |rng| SlowRequest {
            key: text(rng),
            class: text(rng),
            open: rng.bool(),
            elapsed_ms: float(rng),
            left_ms: float(rng),
            why: text(rng),
            steps: many(rng, 30, |rng| Step { at_ms: float(rng), what: text(rng) }),
            ..SlowRequest::default()
        }),
        tenants: many(rng, 5, |rng| TenantStats {
            name: text(rng),
            asked: number(rng),
            ..TenantStats::default()
        }),
        shares: many(rng, 30, |rng| ShareStatus {
            name: text(rng),
            depth: number(rng) as usize,
            measure: text(rng),
            used: number(rng),
            ceiling: rng.bool().then(|| number(rng)),
            ..ShareStatus::default()
        }),
        ..Snapshot::default()
    }
}

fn key(rng: &mut fastrand::Rng) -> Key {
    let keys = "12345dounylfLRQBeh?/jkq+-x盒 \u{1b}";
    let chars: Vec<char> = keys.chars().collect();
    let others = [
        Key::Enter,
        Key::Esc,
        Key::Tab,
        Key::BackTab,
        Key::Backspace,
        Key::Up,
        Key::Down,
        Key::Left,
        Key::Right,
        Key::PageUp,
        Key::PageDown,
        Key::Home,
        Key::End,
        Key::Other,
        Key::Ctrl('l'),
        Key::Ctrl('x'),
    ];
    if rng.u8(..) < 170 {
        Key::Char(chars[rng.usize(..chars.len())])
    } else {
        others[rng.usize(..others.len())]
    }
}

fn input(rng: &mut fastrand::Rng) -> Input {
    match rng.u8(0..10) {
        0..5 => Input::Key(key(rng)),
        5 | 6 => Input::Snapshot { snapshot: Box::new(snapshot(rng)), late: rng.u8(..) < 30 },
        7 => {
            let event = |rng: &mut fastrand::Rng| Event {
                number: rng.u64(0..5_000),
                at_ms: number(rng),
                level: text(rng),
                text: text(rng),
            };
            Input::Events(EventBatch { events: many(rng, 50, event), missed: number(rng) })
        }
        8 => Input::Lost(text(rng)),
        _ => {
            let answer = match rng.u8(0..4) {
                0 => Ok(Answer::Accepted {
                    number: 1,
                    replaced: None,
                    unrecorded: rng.bool().then(|| text(rng)),
                    held: None,
                }),
                1 => Ok(Answer::Refused { why: text(rng) }),
                2 => Ok(Answer::Orders { orders: vec![] }),
                _ => Err(text(rng)),
            };
            Input::Outcome {
                verb: ControlRequest::Undrain { server: text(rng), seen: None, wait_for: None },
                answer,
            }
        }
    }
}

fn shown(terminal: &Terminal<TestBackend>) -> String {
    terminal.backend().buffer().content().iter().map(|cell| cell.symbol()).collect()
}

#[test]
fn ten_thousand_keys_and_snapshots_panic_nowhere_and_nothing_is_ordered_without_a_yes() {
    let mut rng = fastrand::Rng::with_seed(11);
    let (mut model, mut now) = (Model::new(), Duration::ZERO);
    let sizes = [(80, 24), (1, 1), (3, 2), (40, 10), (200, 60), (80, 5), (7, 30)];
    let (mut keys, mut snapshots, mut orders) = (0, 0, 0);
    while keys < 10_000 || snapshots < 10_000 {
        now += Duration::from_millis(rng.u64(0..3_000));
        let input = input(&mut rng);
        keys += usize::from(matches!(input, Input::Key(_)));
        snapshots += usize::from(matches!(input, Input::Snapshot { .. }));
        let yes = matches!(input, Input::Key(Key::Char('y')));
        for effect in model.on(now, input) {
            if let Effect::Order(_) = effect {
                assert!(yes, "an order without a yes");
                orders += 1;
            }
        }
        if rng.u8(..) < 20 {
            let (columns, rows) = sizes[rng.usize(..sizes.len())];
            let mut terminal = Terminal::new(TestBackend::new(columns, rows)).unwrap();
            terminal.draw(|frame| draw(frame, &model, Look { colours: rng.bool() })).unwrap();
            let shown = shown(&terminal);
            assert!(!shown.chars().any(|c| c.is_control() || c == '\u{202e}'), "{shown:?}");
        }
    }
    assert!(orders > 10, "{orders}: the dialogs were reached");
}

fn on(model: &mut Model, seconds: u64, input: Input) -> Vec<Effect> {
    model.on(Duration::from_secs(seconds), input)
}

fn page(model: &Model) -> String {
    let mut terminal = Terminal::new(TestBackend::new(80, 24)).unwrap();
    terminal.draw(|frame| draw(frame, model, Look { colours: false })).unwrap();
    shown(&terminal)
}

fn of_two() -> Box<Snapshot> {
    let server = |name: &str| BoxStatus {
        name: name.into(),
        serves: true,
        listed: true,
        warmth: 1.0,
        ..BoxStatus::default()
    };
    Box::new(Snapshot { started_ms: 1, boxes: vec![server("a"), server("b")], ..Snapshot::default() })
}

#[test]
fn figures_that_grow_old_are_said_to_be_old_and_nothing_can_be_ordered_by_them() {
    let mut model = Model::new();
    on(&mut model, 1, Input::Snapshot { snapshot: of_two(), late: true });
    assert!(page(&model).contains("NO NODE"), "what was told long ago is not shown");
    on(&mut model, 2, Input::Snapshot { snapshot: of_two(), late: false });
    assert!(page(&model).contains("2 of 2 serve"));
    on(&mut model, 9, Input::Tick);
    assert!(page(&model).contains("SILENT for 7 s: figures are old"));
    on(&mut model, 9, Input::Key(Key::Char('2')));
    on(&mut model, 9, Input::Key(Key::Char('d')));
    assert!(page(&model).contains("nothing can be ordered"));
    assert_eq!(on(&mut model, 9, Input::Key(Key::Char('y'))), vec![]);
}

#[test]
fn a_box_stays_chosen_where_the_list_changes_and_the_order_is_for_what_was_shown() {
    let mut model = Model::new();
    on(&mut model, 1, Input::Snapshot { snapshot: of_two(), late: false });
    "2j".chars().for_each(|c| _ = on(&mut model, 1, Input::Key(Key::Char(c))));
    let mut more = of_two();
    more.boxes.insert(0, BoxStatus { name: "0".into(), serves: true, ..BoxStatus::default() });
    on(&mut model, 2, Input::Snapshot { snapshot: more, late: false });
    on(&mut model, 2, Input::Key(Key::Char('d')));
    assert!(page(&model).contains("Drain b"));
    // The box leaves while the question is open: the order still names the one that was asked about.
    on(
        &mut model,
        3,
        Input::Snapshot {
            snapshot: Box::new(Snapshot { started_ms: 1, ..Snapshot::default() }),
            late: false,
        },
    );
    let effects = on(&mut model, 3, Input::Key(Key::Char('y')));
    assert!(
        matches!(&effects[..], [Effect::Order(ControlRequest::Drain { server, seen: Some(0), .. })] if server == "b"),
        "{effects:?}"
    );
    // A restart between question and yes takes the question away: its numbers are another node's.
    on(&mut model, 4, Input::Snapshot { snapshot: of_two(), late: false });
    on(&mut model, 4, Input::Key(Key::Char('d')));
    on(
        &mut model,
        5,
        Input::Snapshot { snapshot: Box::new(Snapshot { started_ms: 2, ..*of_two() }), late: false },
    );
    assert_eq!(on(&mut model, 5, Input::Key(Key::Char('y'))), vec![]);
}

#[test]
fn help_fits_on_every_screen() {
    for screen in "12345".chars() {
        let mut model = Model::new();
        on(&mut model, 1, Input::Snapshot { snapshot: of_two(), late: false });
        on(&mut model, 1, Input::Key(Key::Char(screen)));
        on(&mut model, 1, Input::Key(Key::Char('?')));
        assert!(page(&model).contains("Every order is asked back first, and takes a y."), "{screen}");
    }
}
