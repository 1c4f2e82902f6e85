//! Lays a model out on a screen. It works at 80 by 24, and does what it can on less.

use lilacquay_control::ControlRequest;
use lilacquay_observe::{
    AnswerCounts, BoxStatus, LATENCY_BUCKETS, ReplicaSummary, SecondStats, SiblingsSummary, SlowRequest,
    Snapshot, bucket_upper_bound_us,
};
use ratatui::Frame;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Clear, Paragraph, Wrap};

use crate::dialog::Dialog;
use crate::model::{Model, Node, Screen};
use crate::text::{ago, cut, plain, time};

/// How it looks.
#[derive(Debug, Clone, Copy)]
pub struct Look {
    /// Whether there are colours, of the sixteen that all terminals have.
    pub colours: bool,
}

impl Look {
    fn of(self, colour: Color) -> Style {
        if self.colours { Style::new().fg(colour) } else { Style::new() }
    }
    fn good(self) -> Style {
        self.of(Color::Green)
    }
    fn warn(self) -> Style {
        self.of(Color::Yellow)
    }
    fn bad(self) -> Style {
        self.of(Color::Red).add_modifier(Modifier::BOLD)
    }
    fn head(self) -> Style {
        self.of(Color::Cyan).add_modifier(Modifier::BOLD)
    }
    fn chosen(self) -> Style {
        Style::new().add_modifier(Modifier::REVERSED)
    }
}

/// Draws all of it.
pub fn draw(frame: &mut Frame, model: &Model, look: Look) {
    let [head, body, foot] =
        Layout::vertical([Constraint::Length(2), Constraint::Min(0), Constraint::Length(2)])
            .areas(frame.area());
    draw_head(frame, head, model, look);
    match (&model.node, model.screen) {
        // What happened is history, and stays readable while the node is away.
        (_, Screen::Events) => events(frame, body, model, look),
        (Node::Away(why), _) => away(frame, body, why, look),
        (Node::Here(now), Screen::Overview) => overview(frame, body, now, look),
        (Node::Here(_), Screen::Boxes) => boxes(frame, body, model, look),
        (Node::Here(_), Screen::Requests) => requests(frame, body, model, look),
        (Node::Here(now), Screen::Tenants) => tenants(frame, body, now, model, look),
    }
    draw_foot(frame, foot, model, look);
    if let Some(dialog) = &model.dialog {
        draw_dialog(frame, dialog, look);
    }
    if model.help {
        help(frame, model.screen, look);
    }
}

fn lines(frame: &mut Frame, area: Rect, lines: Vec<Line>) {
    frame.render_widget(Paragraph::new(lines), area);
}

fn draw_head(frame: &mut Frame, area: Rect, model: &Model, look: Look) {
    let tab = |(n, screen): (usize, &Screen)| {
        let style = if *screen == model.screen { look.chosen() } else { Style::new() };
        [Span::styled(format!(" {} {} ", n + 1, screen.name()), style), Span::raw(" ")]
    };
    let tabs: Vec<Span> = Screen::ALL.iter().enumerate().flat_map(tab).collect();
    let state = match (&model.node, model.fresh()) {
        (Node::Away(_), _) => Span::styled("NO NODE: trying again", look.bad()),
        (Node::Here(_), None) => {
            Span::styled(format!("SILENT for {}: figures are old", ago(model.silent_s())), look.bad())
        }
        (Node::Here(now), _) => {
            let up = now.at_ms.saturating_sub(now.started_ms) as f64 / 1e3;
            let seen = if now.watched_s < 60.0 {
                format!(", figures of {}", ago(now.watched_s))
            } else {
                String::new()
            };
            Span::styled(format!("up {}, lilacquay {}{seen}", ago(up), plain(&now.version)), look.good())
        }
    };
    lines(frame, area, vec![Line::from(tabs), Line::from(state)]);
}

fn draw_foot(frame: &mut Frame, area: Rect, model: &Model, look: Look) {
    let first = match &model.message {
        Some((text, _)) => {
            let grave =
                text.contains("REFUSED") || text.contains("NO ANSWER") || text.contains("NOT RECORDED");
            Span::styled(cut(text, area.width as usize), if grave { look.bad() } else { look.head() })
        }
        None => Span::raw(""),
    };
    let keys = if model.choosing_level {
        "log from: e error  w warn  i info  d debug  t trace   other: no change"
    } else if model.searching {
        "type to search   Enter: keep   Esc: end"
    } else {
        match model.screen {
            Screen::Boxes => "?:help  d:drain  o:leave out  u:undrain  Enter:detail  q:detach",
            Screen::Requests => "?:help  Enter:steps  q:detach",
            Screen::Events => "?:help  /:search  Esc:all  q:detach",
            _ => "?:help  1-5:screen  R:reload  L:log level  B:bundle  Q:drain node  q:detach",
        }
    };
    lines(frame, area, vec![Line::from(first), Line::from(keys)]);
}

fn away(frame: &mut Frame, area: Rect, why: &str, look: Look) {
    let text = vec![
        Line::raw(""),
        Line::styled(" No node can be heard.", look.bad()),
        Line::raw(""),
        Line::raw(format!(" {why}")),
        Line::raw(""),
        Line::raw(" It is tried again at least every 2 s. No figures are shown until it answers."),
    ];
    frame.render_widget(Paragraph::new(text).wrap(Wrap { trim: false }), area);
}

// ---- overview ----

fn overview(frame: &mut Frame, area: Rect, now: &Snapshot, look: Look) {
    let width = area.width as usize;
    let serving = now.boxes.iter().filter(|server| server.serves && !server.origin).count();
    let caches = now.boxes.iter().filter(|server| !server.origin).count();
    let rate = mean(now.seconds.iter().rev().take(10).map(|second| second.answers));
    let AnswerCounts { served, busy, failed, gone } = now.answers;
    let spark = |of: fn(&SecondStats) -> u64| sparkline(&now.seconds, of, width.saturating_sub(32));
    let mut text = vec![
        Line::from(vec![
            Span::styled(format!("{:<10}", "answers"), look.head()),
            Span::raw(format!("{rate:>7.0}/s  {:>6} open  ", now.open)),
            Span::raw(spark(|second| second.answers)),
        ]),
        Line::from(vec![
            Span::styled(format!("{:<10}", "p50"), look.head()),
            Span::raw(format!(
                "{:>7} 10 s {:>7} 60 s  ",
                time(now.last_10s.p50_us),
                time(now.last_60s.p50_us)
            )),
            Span::raw(spark(|second| second.p50_us)),
        ]),
        Line::from(vec![
            Span::styled(format!("{:<10}", "p99"), look.head()),
            Span::raw(format!(
                "{:>7} 10 s {:>7} 60 s  ",
                time(now.last_10s.p99_us),
                time(now.last_60s.p99_us)
            )),
            Span::raw(spark(|second| second.p99_us)),
        ]),
        Line::from(vec![
            Span::styled(format!("{:<10}", "refused"), look.head()),
            Span::raw(format!(
                "{:>7}/s  {:>13}  ",
                mean(now.seconds.iter().rev().take(10).map(|s| s.refused)) as u64,
                ""
            )),
            Span::raw(spark(|second| second.refused)),
        ]),
        Line::raw(""),
        Line::from(vec![
            Span::styled(format!("{:<10}", "by kind"), look.head()),
            Span::raw(format!("served {served}  refused {busy}  failed {failed}  client left {gone}")),
        ]),
        rules(now, look),
        Line::from(vec![
            Span::styled(format!("{:<10}", "process"), look.head()),
            Span::raw(format!(
                "{:.1} MB  {} of {} descriptors  {} connections to servers",
                now.memory_kb as f64 / 1024.0,
                now.descriptors,
                now.descriptor_limit,
                now.connections
            )),
        ]),
        list_line(now, look),
        Line::from(vec![
            Span::styled(format!("{:<10}", "boxes"), look.head()),
            Span::styled(
                format!("{serving} of {caches} serve"),
                if serving == 0 {
                    look.bad()
                } else if serving < caches {
                    look.warn()
                } else {
                    look.good()
                },
            ),
        ]),
    ];
    text.extend(siblings_line(now, look));
    text.extend(common_line(now, look));
    text.push(Line::raw(""));
    let odd =
        now.boxes.iter().filter(|server| !server.serves || server.left_out.is_some() || server.warmth < 1.0);
    text.extend(odd.map(|server| {
        let (state, style) = state_of(server, look);
        let why = server.left_out.as_deref().map(plain).unwrap_or_default();
        Line::from(vec![
            Span::raw(format!("  {:<20} ", cut(&plain(&server.name), 20))),
            Span::styled(format!("{state} {why}"), style),
        ])
    }));
    lines(frame, area, text);
}

fn rules(now: &Snapshot, look: Look) -> Line<'static> {
    let broken = now.rules.late + now.rules.repeated;
    let told = match broken {
        0 => Span::styled("kept, as far as this node sees", look.good()),
        _ => Span::styled(
            format!(
                "BROKEN: {} answers late, {} repeats that may run twice",
                now.rules.late, now.rules.repeated
            ),
            look.bad(),
        ),
    };
    let stopped = match now.rules.stopped {
        0 => Span::raw(""),
        n => Span::raw(format!("  ({n} sends stopped before their first byte)")),
    };
    Line::from(vec![Span::styled(format!("{:<10}", "rules"), look.head()), told, stopped])
}

fn list_line(now: &Snapshot, look: Look) -> Line<'static> {
    let failures = now.list.failures;
    let style = if failures > 0 { look.warn() } else { Style::new() };
    let failed = if failures > 0 { format!(", {failures} calls failed since") } else { String::new() };
    let told = format!("from {}, told {} ago{failed}", plain(&now.list.source), ago(now.list.told_s));
    Line::from(vec![Span::styled(format!("{:<10}", "list"), look.head()), Span::styled(told, style)])
}

/// The other nodes; nothing where there are none.
fn siblings_line(now: &Snapshot, look: Look) -> Option<Line<'static>> {
    let SiblingsSummary { here, gone, unknown, part } = now.siblings?;
    let style = if part == 0.0 || gone + unknown > 0 { look.warn() } else { Style::new() };
    let part = if part == 0.0 { "NOT CONFIRMED".to_owned() } else { format!("{part:.2} of its part") };
    let told = format!("{here} here, {gone} gone, {unknown} unknown; {part}");
    Some(Line::from(vec![
        Span::styled(format!("{:<10}", "siblings"), look.head()),
        Span::styled(told, style),
    ]))
}

/// What all nodes hold in common; nothing where they hold nothing so.
fn common_line(now: &Snapshot, look: Look) -> Option<Line<'static>> {
    let ReplicaSummary { behind, records, conflicts, left_out } = now.common?;
    let style = if behind || conflicts > 0 { look.warn() } else { Style::new() };
    let stage = if behind { "BEHIND" } else { "level" };
    let contradict = if conflicts > 0 { format!(", {conflicts} ORDERS CONTRADICT") } else { String::new() };
    let told = format!("{stage}, {records} records, {left_out} boxes out on others' word{contradict}");
    Some(Line::from(vec![Span::styled(format!("{:<10}", "common"), look.head()), Span::styled(told, style)]))
}

fn mean(values: impl Iterator<Item = u64>) -> f64 {
    let (sum, count) =
        values.fold((0_u64, 0_u32), |(sum, count), value| (sum.saturating_add(value), count + 1));
    if count == 0 { 0.0 } else { sum as f64 / f64::from(count) }
}

/// The last seconds as columns, the latest at the right, in eight heights.
fn sparkline(seconds: &[SecondStats], of: fn(&SecondStats) -> u64, columns: usize) -> String {
    const HEIGHTS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let shown = &seconds[seconds.len().saturating_sub(columns)..];
    let most = shown.iter().map(of).max().unwrap_or(0).max(1);
    let height = |value: u64| match value {
        0 => ' ',
        _ => HEIGHTS[((value as f64 / most as f64 * 8.0).ceil() as usize).clamp(1, 8)],
    };
    shown.iter().map(|second| height(of(second))).collect()
}

// ---- boxes ----

fn state_of(server: &BoxStatus, look: Look) -> (String, Style) {
    let order = server.order.as_ref().map(|order| match order.seconds_left {
        Some(left) => format!("out {}", ago(left)),
        None => format!("drained #{}", order.number),
    });
    match (server.serves, server.listed, order) {
        (true, ..) if server.left_out.is_some() => ("left out".into(), look.warn()),
        (true, ..) if server.warmth < 1.0 => (format!("warming {:.0}%", server.warmth * 100.0), look.warn()),
        (true, _, Some(order)) => (format!("serves ({order})"), look.warn()),
        (true, ..) => ("serves".into(), look.good()),
        (false, true, Some(order)) => (order, look.warn()),
        (false, true, None) => ("out of service".into(), look.warn()),
        (false, false, order) => {
            let order = order.map(|order| format!(", {order}")).unwrap_or_default();
            (format!("drains by list{order}"), look.warn())
        }
    }
}

/// The lines from which on a list is shown, so that the chosen one is on the screen.
fn first_shown(chosen: usize, rows: usize) -> usize {
    chosen.checked_div(rows).unwrap_or(0) * rows
}

fn boxes(frame: &mut Frame, area: Rect, model: &Model, look: Look) {
    let detail_rows = if model.detail { 8 } else { 0 };
    let [list, detail] = Layout::vertical([Constraint::Min(0), Constraint::Length(detail_rows)]).areas(area);
    let head = format!(
        "{:<16} {:<6} {:<6} {:<13} {:>4} {:>4} {:>5} {:>5}  {:<12}",
        "box", "zone", "kind", "state", "out", "idle", "miss", "bad", ".25ms..512ms"
    );
    let mut text = vec![Line::styled(head, look.head())];
    let rows = (list.height as usize).saturating_sub(1);
    let (all, chosen) = (model.boxes(), model.at());
    for (n, server) in all.iter().enumerate().skip(first_shown(chosen, rows)).take(rows) {
        let (state, style) = state_of(server, look);
        let of = server.measured.served + server.measured.misses;
        let part = |n: u64, of: u64| {
            if of == 0 { "-".into() } else { format!("{:.0}%", n as f64 / of as f64 * 100.0) }
        };
        let row = [
            Span::raw(format!("{:<16} ", cut(&plain(&server.name), 16))),
            Span::raw(format!("{:<6} {:<6} ", cut(&plain(&server.zone), 6), cut(&plain(&server.kind), 6))),
            Span::styled(format!("{:<13} ", cut(&state, 13)), style),
            Span::raw(format!("{:>4} {:>4} ", server.out, server.idle)),
            Span::raw(format!("{:>5} ", part(server.measured.misses, of))),
            Span::raw(format!("{:>5}  ", part(server.measured.bad, of + server.measured.bad))),
            Span::raw(histogram(&server.times)),
        ];
        let line = Line::from(row.to_vec());
        text.push(if n == chosen { line.patch_style(look.chosen()) } else { line });
    }
    lines(frame, list, text);
    if let (true, Some(server)) = (model.detail, all.get(chosen)) {
        lines(frame, detail, box_detail(server, look));
    }
}

fn histogram(times: &[u64; LATENCY_BUCKETS]) -> String {
    const HEIGHTS: [char; 9] = ['.', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let most = times.iter().copied().max().unwrap_or(0).max(1);
    times
        .iter()
        .map(|&n| {
            HEIGHTS[if n == 0 { 0 } else { ((n as f64 / most as f64 * 8.0).ceil() as usize).clamp(1, 8) }]
        })
        .collect()
}

fn box_detail(server: &BoxStatus, look: Look) -> Vec<Line<'static>> {
    let measured = server.measured;
    let total: u64 = server.times.iter().fold(0, |sum, n| sum.saturating_add(*n));
    let quantile = |part: f64| {
        let mut left = (total as f64 * part).ceil();
        server.times.iter().position(|&n| {
            left -= n as f64;
            left <= 0.0
        })
    };
    let limit = |part: f64| match (total, quantile(part)) {
        (0, _) | (_, None) => "-".to_owned(),
        (_, Some(bucket)) => bucket_upper_bound_us(bucket)
            .map_or("over 256ms".into(), |limit| format!("under {}", time(limit))),
    };
    let why = match (server.serves, &server.left_out) {
        (false, _) => "gets nothing new".to_owned(),
        (true, None) => "gets requests as any other".to_owned(),
        (true, Some(why)) => format!("LEFT OUT but for a try now and then: {}", plain(why)),
    };
    let order = match &server.order {
        None => "no order holds it".to_owned(),
        Some(order) => format!(
            "order {}{}{}",
            order.number,
            order
                .seconds_left
                .map_or(", until it is undrained".into(), |left| format!(", for {} yet", ago(left))),
            if order.lasting { ", over a restart" } else { "" }
        ),
    };
    vec![
        Line::styled(
            format!("{} ({}, {})", plain(&server.name), plain(&server.zone), plain(&server.kind)),
            look.head(),
        ),
        Line::raw(format!("  {why}")),
        Line::raw(format!("  {order}; by the list it {}", if server.listed { "serves" } else { "drains" })),
        Line::raw(format!(
            "  {} out, the oldest for {:.0} ms; free of them within {:.0} ms; {} connections at rest",
            server.out, server.oldest_ms, server.free_in_ms, server.idle
        )),
        Line::raw(format!(
            "  last 10 to 20 s: {} served, {} missed, {} went badly, {} called off",
            measured.served, measured.misses, measured.bad, measured.canceled
        )),
        Line::raw(format!("  half of its answers {}, 99 of 100 {}", limit(0.5), limit(0.99))),
        Line::raw(format!(
            "  warm to {:.0}%; takes {:.1} times as long as usual",
            server.warmth * 100.0,
            server.slowness
        )),
    ]
}

// ---- requests ----

fn requests(frame: &mut Frame, area: Rect, model: &Model, look: Look) {
    let steps = if model.detail { area.height / 2 } else { 0 };
    let [list, detail] = Layout::vertical([Constraint::Min(0), Constraint::Length(steps)]).areas(area);
    let head =
        format!("{:<5} {:<18} {:<10} {:>8} {:>8}  {}", "state", "key", "class", "took ms", "left ms", "why");
    let mut text = vec![Line::styled(head, look.head())];
    let rows = (list.height as usize).saturating_sub(1);
    let (all, chosen) = (model.requests(), model.at());
    if all.is_empty() {
        text.push(Line::raw("no request is open, and none has ended since somebody looks"));
    }
    for (n, slow) in all.iter().enumerate().skip(first_shown(chosen, rows)).take(rows) {
        let state = if slow.open { "open" } else { "ended" };
        let start = format!(
            "{state:<5} {:<18} {:<10} {:>8.0} {:>8.0}  ",
            cut(&plain(&slow.key), 18),
            cut(&plain(&slow.class), 10),
            slow.elapsed_ms,
            slow.left_ms
        );
        let why = cut(&plain(&slow.why), (list.width as usize).saturating_sub(start.len()));
        let line = Line::from(vec![Span::raw(start), Span::raw(why)]);
        text.push(if n == chosen { line.patch_style(look.chosen()) } else { line });
    }
    lines(frame, list, text);
    if let (true, Some(slow)) = (model.detail, all.get(chosen)) {
        lines(frame, detail, steps_of(slow, look));
    }
}

fn steps_of(slow: &SlowRequest, look: Look) -> Vec<Line<'static>> {
    let tenant =
        if slow.tenant.is_empty() { String::new() } else { format!(", tenant {}", plain(&slow.tenant)) };
    let mut text = vec![
        Line::styled(format!("{} ({}{tenant})", plain(&slow.key), plain(&slow.class)), look.head()),
        Line::raw(format!("  {:>9.1} ms  it came", 0.0)),
    ];
    text.extend(
        slow.steps.iter().map(|step| Line::raw(format!("  {:>9.1} ms  {}", step.at_ms, plain(&step.what)))),
    );
    text.push(Line::raw(format!("  {:>9.1} ms  {}", slow.elapsed_ms, plain(&slow.why))));
    text
}

// ---- tenants ----

fn tenants(frame: &mut Frame, area: Rect, now: &Snapshot, model: &Model, look: Look) {
    let mut text = vec![Line::styled(
        format!(
            "{:<24} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "tenant", "asked", "served", "refused", "failed", "left"
        ),
        look.head(),
    )];
    for tenant in &now.tenants {
        let name = if tenant.name.is_empty() { "(none)".to_owned() } else { plain(&tenant.name) };
        let AnswerCounts { served, busy, failed, gone } = tenant.answers;
        text.push(Line::raw(format!(
            "{:<24} {:>9} {served:>9} {busy:>9} {failed:>9} {gone:>9}",
            cut(&name, 24),
            tenant.asked
        )));
    }
    if now.shares.is_empty() {
        text.push(Line::raw(""));
        text.push(Line::raw("No quotas are set."));
    } else {
        text.push(Line::raw(""));
        text.push(Line::styled(
            format!(
                "{:<20} {:<22} {:>9} {:>9} {:>8} {:>7}",
                "share", "of", "used", "guarant.", "ceiling", "refused"
            ),
            look.head(),
        ));
    }
    for share in &now.shares {
        let name = format!("{}{}", "  ".repeat(share.depth.min(8)), plain(&share.name));
        let ceiling = share.ceiling.map_or("-".into(), |ceiling| ceiling.to_string());
        let style = if share.used > share.guarantee { look.warn() } else { Style::new() };
        text.push(Line::styled(
            format!(
                "{:<20} {:<22} {:>9} {:>9} {ceiling:>8} {:>7}",
                cut(&name, 20),
                cut(&plain(&share.measure), 22),
                share.used,
                share.guarantee,
                share.refused
            ),
            style,
        ));
    }
    let rows = area.height as usize;
    let first = model.at().min(text.len().saturating_sub(rows));
    lines(frame, area, text.split_off(first));
}

// ---- events ----

fn events(frame: &mut Frame, area: Rect, model: &Model, look: Look) {
    let found = model.found();
    let missed =
        if model.missed > 0 { format!(", {} older ones are gone", model.missed) } else { String::new() };
    let head = match (model.searching, model.search.is_empty()) {
        (true, _) => format!("search: {}_  ({} found)", model.search, found.len()),
        (false, false) => {
            format!("with {:?}: {} of {}{missed}", model.search, found.len(), model.events.len())
        }
        (false, true) => format!("{} events, the latest first{missed}", model.events.len()),
    };
    let mut text = vec![Line::styled(head, look.head())];
    let (rows, chosen) =
        ((area.height as usize).saturating_sub(1), model.at().min(found.len().saturating_sub(1)));
    for (n, event) in found.iter().enumerate().skip(first_shown(chosen, rows)).take(rows) {
        let style = match event.level.as_str() {
            "ERROR" => look.bad(),
            "WARN" => look.warn(),
            _ => Style::new(),
        };
        let start = format!("{} {:<5} ", clock(event.at_ms), cut(&plain(&event.level), 5));
        let what = cut(&plain(&event.text), (area.width as usize).saturating_sub(start.len()));
        let line = Line::from(vec![Span::raw(start), Span::styled(what, style)]);
        text.push(if n == chosen { line.patch_style(look.chosen()) } else { line });
    }
    lines(frame, area, text);
}

/// The time of day, in UTC.
fn clock(at_ms: u64) -> String {
    let seconds = at_ms / 1_000 % 86_400;
    format!("{:02}:{:02}:{:02}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}

// ---- what lies over it ----

fn over(frame: &mut Frame, title: &str, text: Vec<Line>, look: Look) {
    let area = frame.area();
    let width = area.width.min(78);
    let height = (text.len() as u16 + 2).min(area.height);
    let middle = Rect::new((area.width - width) / 2, (area.height - height) / 2, width, height);
    let block = Block::bordered().title(Span::styled(format!(" {title} "), look.head()));
    frame.render_widget(Clear, middle);
    frame.render_widget(Paragraph::new(text).block(block).wrap(Wrap { trim: false }), middle);
}

fn draw_dialog(frame: &mut Frame, dialog: &Dialog, look: Look) {
    let mut text: Vec<Line> = dialog.lines.iter().map(|line| Line::raw(line.clone())).collect();
    if let ControlRequest::Drain { seconds, lasting, force, .. } = &dialog.verb {
        if let Some(seconds) = seconds {
            text.push(Line::raw(format!("For {}; + and - change that.", ago(*seconds as f64))));
        }
        let holds = if *lasting { "YES" } else { "no" };
        text.push(Line::raw(format!("Over a restart of the node: {holds}; l changes that.")));
        if dialog.may_force {
            let forced = if *force { "YES" } else { "no" };
            text.push(Line::styled(format!("Forced: {forced}; f changes that."), look.bad()));
        }
    }
    text.push(Line::raw(""));
    text.push(Line::styled("y: do it    n: leave it", look.head()));
    over(frame, &dialog.title, text, look);
}

fn help(frame: &mut Frame, screen: Screen, look: Look) {
    let of_screen: &[&str] = match screen {
        Screen::Overview => &[
            "Rates and times of the last minute: a column a second, the latest at right.",
            "Below: boxes that are not simply serving, and why.",
        ],
        Screen::Boxes => &[
            "d  drain: nothing new, until undrained     o  leave out for a time",
            "u  undrain: lift the order                 Enter  all that is known of it",
            "Columns: requests out, connections at rest, misses, bad ends, answer times",
            "of the last 10 to 20 s in doubling steps from 0.25 ms.",
        ],
        Screen::Requests => &[
            "Open requests, the oldest first; then the slowest of the last minute.",
            "Enter  what was decided, step by step",
        ],
        Screen::Tenants => &["Counts since somebody looks; shares of quotas over their own windows."],
        Screen::Events => &["/  search     Esc  all of them     times are UTC"],
    };
    let mut text: Vec<Line> = of_screen.iter().map(|line| Line::raw(*line)).collect();
    text.push(Line::raw(""));
    text.extend(
        [
            "1-5, Tab, arrows  another screen          up, down, PgUp, PgDn  another line",
            "R  reload the configuration               L  log more or less",
            "B  write a diagnosis bundle               Q  drain the node itself",
            "Ctrl-L  draw anew    Ctrl-Z  suspend    q, Ctrl-C  detach: the node goes on",
            "",
            "Every order is asked back first, and takes a y. Any key closes this.",
        ]
        .map(Line::raw),
    );
    over(frame, screen.name(), text, look);
}
