//! Drawing of the model. The layout is made for 80 columns and 24 lines; on a smaller screen the right and lower parts
//! are cut off.

use std::time::Duration;

use ratatui::Frame;
use ratatui::Terminal;
use ratatui::backend::TestBackend;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Cell, Paragraph, Row, Table};

use crate::model::{Model, NodeRow, SoftswitchRow, SoftswitchState};

/// A duration as a whole number with a unit: ms below 10 s, s below 10 min, m (minutes) below 10 h, else h.
fn format_duration(duration: Duration) -> String {
    let ms = duration.as_millis();
    match ms {
        0..10_000 => format!("{ms}ms"),
        10_000..600_000 => format!("{}s", ms / 1_000),
        600_000..36_000_000 => format!("{}m", ms / 60_000),
        _ => format!("{}h", ms / 3_600_000),
    }
}

/// A duration of at most 5 characters: like [`format_duration`], but in tenths of a second from 1 s to 10 s.
fn format_age(age: Duration) -> String {
    let ms = age.as_millis();
    if (1_000..10_000).contains(&ms) {
        format!("{}.{}s", ms / 1_000, ms % 1_000 / 100)
    } else {
        format_duration(age)
    }
}

fn format_optional_duration(duration: Option<Duration>) -> String {
    duration.map_or("-".to_owned(), format_duration)
}

fn right_aligned(text: String, width: usize) -> Cell<'static> {
    Cell::from(format!("{text:>width$}"))
}

/// Draws the whole screen.
pub fn draw(frame: &mut Frame<'_>, model: &Model) {
    let softswitches = model.softswitches();
    // The table of softswitches takes at most two thirds of the height; the nodes get the rest.
    let max_height = frame.area().height.saturating_sub(3) * 2 / 3;
    let height = (softswitches.len() as u16 + 1).min(max_height);
    let [header, upper_table, gap, lower_table, footer] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(height),
        Constraint::Length(1),
        Constraint::Min(2),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    draw_header(frame, header, model, &softswitches);
    draw_softswitches(frame, upper_table, &softswitches);
    frame.render_widget(Paragraph::new(""), gap);
    draw_nodes(frame, lower_table, model);
    draw_footer(frame, footer, model);
}

fn draw_header(frame: &mut Frame<'_>, area: Rect, model: &Model, rows: &[SoftswitchRow]) {
    let count = |state| rows.iter().filter(|row| row.state == state).count();
    let live = count(SoftswitchState::Live) + count(SoftswitchState::Draining);
    let silent = rows.len() - live;
    let status =
        if model.playback_status.is_empty() { String::new() } else { format!("  {}", model.playback_status) };
    let text = format!("swiftlb  {live} softswitches live, {silent} silent{status}");
    let style = if silent > 0 { Style::new().fg(Color::Yellow) } else { Style::new() };
    frame.render_widget(Paragraph::new(Line::from(text)).style(style.add_modifier(Modifier::BOLD)), area);
}

fn table_header(cells: Vec<Cell<'static>>) -> Row<'static> {
    Row::new(cells).style(Style::new().add_modifier(Modifier::UNDERLINED))
}

fn draw_softswitches(frame: &mut Frame<'_>, area: Rect, rows: &[SoftswitchRow]) {
    let header = table_header(vec![
        "softswitch".into(),
        "state".into(),
        right_aligned("age".into(), 5),
        right_aligned("waits".into(), 5),
        right_aligned("stand".into(), 5),
        right_aligned("ans/s".into(), 5),
        right_aligned("ref/s".into(), 5),
        right_aligned("err/s".into(), 5),
        "refused mostly for".into(),
    ]);
    let row = |row: &SoftswitchRow| {
        let (state, style) = match row.state {
            SoftswitchState::Live => ("live", Style::new()),
            SoftswitchState::Draining => ("drains", Style::new().fg(Color::Yellow)),
            SoftswitchState::Silent => ("SILENT", Style::new().fg(Color::Red)),
            SoftswitchState::NeverReplied => ("no word", Style::new().fg(Color::Red)),
        };
        let rate = |select: fn((f64, f64, f64)) -> f64| {
            row.rates.map_or("-".to_owned(), |rates| format!("{:.1}", select(rates)))
        };
        let remark = match (&row.error, &row.top_refusal) {
            (Some(error), _) if row.state != SoftswitchState::Live => error.clone(),
            (_, Some((reason, share))) => format!("{reason} {:.0}%", 100.0 * share),
            _ => String::new(),
        };
        Row::new(vec![
            Cell::from(row.name.clone()),
            Cell::from(state),
            right_aligned(row.age.map_or("-".to_owned(), format_age), 5),
            right_aligned(row.calls.0.to_string(), 5),
            right_aligned(row.calls.1.to_string(), 5),
            right_aligned(rate(|r| r.0), 5),
            right_aligned(rate(|r| r.1), 5),
            right_aligned(rate(|r| r.2), 5),
            Cell::from(remark),
        ])
        .style(style)
    };
    let widths = [15, 7, 5, 5, 5, 5, 5, 5].map(Constraint::Length).into_iter().chain([Constraint::Min(8)]);
    frame.render_widget(Table::new(rows.iter().map(row), widths).header(header), area);
}

fn draw_nodes(frame: &mut Frame<'_>, area: Rect, model: &Model) {
    let header = table_header(vec![
        right_aligned("node".into(), 4),
        "name".into(),
        "state".into(),
        right_aligned("ways".into(), 6),
        right_aligned("heard".into(), 6),
        right_aligned("set-up".into(), 7),
        right_aligned("free".into(), 9),
        right_aligned("out".into(), 5),
        right_aligned("stand".into(), 6),
        right_aligned("avoided".into(), 8),
    ]);
    let row = |row: &NodeRow| {
        let style = match row.state() {
            "ok" => Style::new(),
            "DOWN" | "gone" => Style::new().fg(Color::Red),
            _ => Style::new().fg(Color::Yellow),
        };
        let group = row.group.map_or("-".to_owned(), |(free, total)| format!("{free}/{total}"));
        Row::new(vec![
            right_aligned(row.exchange.to_string(), 4),
            Cell::from(row.name.clone()),
            Cell::from(row.state()),
            right_aligned(format!("{}/{}", row.connections.0, row.connections.1), 6),
            right_aligned(format_optional_duration(row.since_heard), 6),
            right_aligned(format_duration(row.expected_delay), 7),
            right_aligned(group, 9),
            right_aligned(row.calls.0.to_string(), 5),
            right_aligned(row.calls.1.to_string(), 6),
            right_aligned(
                if row.avoided_by > 0 { format!("by {}", row.avoided_by) } else { "-".to_owned() },
                8,
            ),
        ])
        .style(style)
    };
    let rows = model.nodes();
    let visible_rows = usize::from(area.height.saturating_sub(1));
    let scroll = model.scroll.min(rows.len().saturating_sub(visible_rows));
    let widths = [4, 14, 7, 6, 6, 7, 9, 5, 6, 8].map(Constraint::Length);
    frame.render_widget(Table::new(rows.iter().skip(scroll).map(row), widths).header(header), area);
}

fn draw_footer(frame: &mut Frame<'_>, area: Rect, model: &Model) {
    let text = if model.editing_filter {
        format!("/{}_   Enter: keep   Esc: all", model.filter)
    } else {
        let filter = if model.filter.is_empty() { String::new() } else { format!(" '{}'", model.filter) };
        let playback_keys = if model.playback_status.is_empty() {
            ""
        } else {
            "space: pause  +/-: speed  left/right: 10 s  "
        };
        format!("q: end  s: sort ({})  /: filter{filter}  up/down  {playback_keys}", model.sort_order.label())
    };
    frame.render_widget(Paragraph::new(text).style(Style::new().fg(Color::DarkGray)), area);
}

/// Renders the screen as text, without the spaces at the ends of lines.
pub fn render_text(model: &Model, width: u16, height: u16) -> String {
    let Ok(mut terminal) = Terminal::new(TestBackend::new(width, height));
    let Ok(_) = terminal.draw(|frame| draw(frame, model));
    let buffer = terminal.backend().buffer();
    let mut text = String::new();
    for y in 0..height {
        let line: String = (0..width).map(|x| buffer[(x, y)].symbol()).collect();
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
