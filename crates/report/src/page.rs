//! Renders the report as one self-contained HTML page, without external scripts, fonts or images.

use std::time::{Duration, UNIX_EPOCH};

use chrono::{DateTime, Utc};
use maud::{DOCTYPE, Markup, PreEscaped, html};

use crate::charts::{Band, Curve, chart, colour};
use crate::incident::{Incident, IncidentKind};
use crate::{Report, outcome_text};

const STYLE: &str = "
:root{color-scheme:light}*{box-sizing:border-box}
body{font:15px/1.45 system-ui,sans-serif;color:#1b1b1b;margin:0 auto;padding:1rem;max-width:70rem}
h1{font-size:1.5rem;margin:.2rem 0}h2{font-size:1.15rem;margin:2rem 0 .5rem;border-bottom:1px solid #ccc}
h3{font-size:1rem;margin:1rem 0 .2rem}p{margin:.4rem 0}.note{color:#555}
.wide{overflow-x:auto}table{border-collapse:collapse;min-width:100%}
th,td{text-align:left;padding:.25rem .6rem;border-bottom:1px solid #e3e3e3;vertical-align:top}
td:not(.n):not(.t){min-width:7.5rem}td.n,th.n{text-align:right;font-variant-numeric:tabular-nums;white-space:nowrap}td.t{white-space:nowrap;font-variant-numeric:tabular-nums}
.bad{background:#fdeee3}.good{background:#e9f5ee}.bad td:nth-child(2),.good td:nth-child(2){font-weight:600}
svg{width:100%;min-width:34rem;height:auto;display:block}.key{display:inline-block;width:1rem;height:.2rem;margin:0 .3rem .2rem .8rem}.warn{background:#fdeee3;padding:.5rem .8rem;border-left:4px solid #d55e00}
dl{display:grid;grid-template-columns:repeat(auto-fit,minmax(9rem,1fr));gap:.6rem;margin:.8rem 0}
dl div{background:#f4f4f2;padding:.5rem .8rem}dt{color:#555;font-size:.85rem}dd{margin:0;font-size:1.25rem}
";

/// Latest time that the page shows, in Unix microseconds: in the year 2112. The largest `u64` values are beyond the
/// range of `DateTime`, and their conversion would panic.
const MAX_SHOWN_US: u64 = 1 << 52;

/// Converts Unix microseconds, limited to [`MAX_SHOWN_US`], to a date and time in UTC.
fn utc(at_us: u64) -> DateTime<Utc> {
    DateTime::from(UNIX_EPOCH + Duration::from_micros(at_us.min(MAX_SHOWN_US)))
}

fn time_of_day(at_us: u64) -> String {
    utc(at_us).format("%H:%M:%S%.3f").to_string()
}

fn format_seconds(us: u64) -> String {
    format!("{:.1} s", us as f64 / 1e6)
}

fn format_ms(us: u64) -> String {
    format!("{:.0}", us as f64 / 1e3)
}

fn format_percent(part: u64, total: u64) -> String {
    if total == 0 { "-".to_owned() } else { format!("{:.1}%", 100.0 * part as f64 / total as f64) }
}

/// Title of an incident on the page.
fn incident_title(report: &Report, incident: &Incident) -> String {
    let node = incident.exchange.map_or("a node".to_owned(), |exchange| format!("node {exchange}"));
    match incident.kind {
        IncidentKind::NodeDied => format!("{node} died"),
        IncidentKind::NodeStalled => format!("{node} stalled"),
        IncidentKind::NodeSlow => format!("{node} was slow"),
        IncidentKind::NodeReplaced => format!("{node} was replaced"),
        IncidentKind::ListLag => "the list lagged".to_owned(),
        IncidentKind::NoFreeCircuits => format!("circuits to {node} ran out"),
        IncidentKind::CallsShed => format!("calls to {node} were shed"),
        IncidentKind::SoftswitchCrashed => {
            let name = incident.softswitch.and_then(|index| report.softswitches.get(index));
            format!("softswitch {} crashed", name.map_or("?", String::as_str))
        }
    }
}

/// Renders the page.
pub fn html(report: &Report) -> String {
    let (first, last) = report.time_range_us;
    let has_events = last >= first;
    let duration_us = if has_events { last - first } else { 0 };
    let sum = |count: fn(&crate::ClassStats) -> u64| report.classes.iter().map(count).sum::<u64>();
    let (offered, answered) = (sum(|c| c.offered), sum(|c| c.answered));
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Incident report" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Incident report" }
                @if has_events {
                    p.note { (utc(first).format("%Y-%m-%d %H:%M:%S").to_string()) " to " (time_of_day(last)) " UTC, "
                        (format_seconds(duration_us)) ", " (report.record_count) " records of " (report.softswitches.len()) " softswitches" }
                }
                @for error in &report.file_errors { p.warn { "Not read: " (error) } }
                dl {
                    (key_figure("episodes", &report.analysis.episodes.len().to_string()))
                    (key_figure("incidents", &report.analysis.incidents.len().to_string()))
                    (key_figure("calls offered", &offered.to_string()))
                    (key_figure("stood", &format_percent(answered, offered)))
                    (key_figure("refused", &format_percent(sum(|c| c.refused), offered)))
                    (key_figure("failed or given up", &format_percent(sum(|c| c.failed + c.abandoned), offered)))
                    (key_figure("cut", &sum(|c| c.cut).to_string()))
                    (key_figure("attempts", &report.attempts.to_string()))
                }
                h2 { "Incidents" }
                (incidents_table(report))
                h2 { "Calls by class" }
                (classes_table(report))
                h2 { "Calls a second" }
                (call_charts(report))
                h2 { "Nodes" }
                (node_charts(report))
                h2 { "Why calls were not served" }
                (reason_tables(report))
                h2 { "Timeline" }
                (timeline_table(report))
                h2 { "Clocks" }
                (clocks_table(report))
            }
        }
    };
    page.into_string()
}

fn key_figure(name: &str, value: &str) -> Markup {
    html! { div { dt { (name) } dd { (value) } } }
}

fn incidents_table(report: &Report) -> Markup {
    if report.analysis.incidents.is_empty() {
        return html! { p { "None that the records tell of." } };
    }
    html! {
        div.wide { table {
            tr { th { "from" } th { "what" } th.n { "lasted" } th.n { "cut" } th.n { "lost" } th.n { "given up" } th.n { "delayed" } th { "told from" } }
            @for incident in &report.analysis.incidents {
                tr {
                    td.t { (time_of_day(incident.begin_us)) }
                    td { (incident_title(report, incident))
                        @if incident.flaps > 0 { ", and came back " (incident.flaps) " times" }
                        @if let Some(trigger) = incident.triggered_by.and_then(|index| report.analysis.incidents.get(index)) {
                            br; span.note { "after " (incident_title(report, trigger)) }
                        } }
                    td.n { @match incident.end_us {
                        Some(end) => { (format_seconds(end.saturating_sub(incident.begin_us))) }
                        None => { "not over" }
                    } }
                    td.n { (incident.affected_calls.cut) } td.n { (incident.affected_calls.lost) }
                    td.n { (incident.affected_calls.abandoned) } td.n { (incident.affected_calls.delayed) }
                    td { (incident.evidence) }
                }
            }
        } }
        p.note { "Cut: stood and were cut. Lost: refused or failed after an attempt there, or kept from it. Given up: by the "
            "caller, with an attempt out there. Delayed: stood after an attempt there had come to nothing. Each call counts once." }
    }
}

fn classes_table(report: &Report) -> Markup {
    html! {
        div.wide { table {
            tr { th { "class" } th.n { "offered" } th.n { "stood" } th.n { "refused" } th.n { "failed" } th.n { "given up" }
                th.n { "cut" } th.n { "50%" } th.n { "90%" } th.n { "99%" } th.n { "longest" } }
            @for class in &report.classes {
                tr {
                    td { (class.name) } td.n { (class.offered) } td.n { (format_percent(class.answered, class.offered)) }
                    td.n { (class.refused) } td.n { (class.failed) } td.n { (class.abandoned) } td.n { (class.cut) }
                    @for quantile in [0.5, 0.9, 0.99] { td.n { (format_ms(class.setup_times.value_at_quantile(quantile))) } }
                    td.n { (format_ms(class.setup_times.max())) }
                }
            }
        } }
        p.note { "Set-up times in ms, of calls that stood, at the softswitch that they came to." }
    }
}

/// Time ranges of the incidents that a filter selects, in seconds since the first bucket. An incident that did not end
/// lasts until the last event.
fn bands(report: &Report, filter: impl Fn(&Incident) -> bool) -> Vec<Band> {
    let first_us = report.series.first_us;
    let seconds_from_start = |us: u64| us.saturating_sub(first_us) as f64 / 1e6;
    let selected = report.analysis.incidents.iter().filter(|incident| filter(incident));
    selected
        .map(|i| Band {
            from: seconds_from_start(i.begin_us),
            to: seconds_from_start(i.end_us.unwrap_or(report.time_range_us.1)),
        })
        .collect()
}

/// A chart with its legend above it.
fn chart_with_legend(unit: &str, curves: &[Curve], bands: &[Band]) -> Markup {
    html! {
        p.note { @for (i, curve) in curves.iter().enumerate() {
            span.key style={ "background:" (colour(i)) } {} (curve.name)
        } }
        div.wide { (PreEscaped(chart(unit, curves, bands))) }
    }
}

fn call_charts(report: &Report) -> Markup {
    let series = &report.series;
    let bucket_s = series.bucket_us as f64 / 1e6;
    html! {
        @for (class, buckets) in report.classes.iter().zip(&series.classes) {
            @let curve = |name: &str, count: fn(&crate::ClassBucket) -> u32| Curve {
                name: name.to_owned(),
                points: buckets.iter().enumerate().map(|(i, b)| (i as f64 * bucket_s, f64::from(count(b)) / bucket_s)).collect(),
            };
            h3 { (class.name) }
            (chart_with_legend("calls/s", &[
                curve("offered", |b| b.offered), curve("refused", |b| b.refused),
                curve("stood", |b| b.answered), curve("failed or given up", |b| b.failed),
            ], &bands(report, |_| true)))
        }
        p.note { "Seconds since " (time_of_day(series.first_us)) " UTC; incidents are shaded." }
    }
}

fn node_charts(report: &Report) -> Markup {
    let series = &report.series;
    let bucket_s = series.bucket_us as f64 / 1e6;
    html! {
        @for (exchange, buckets) in &series.nodes {
            @let curve = |name: &str, value: &dyn Fn(&crate::NodeBucket) -> Option<f64>| Curve {
                name: name.to_owned(),
                points: buckets.iter().enumerate().filter_map(|(i, b)| Some((i as f64 * bucket_s, value(b)?))).collect(),
            };
            h3 { "node " (exchange) }
            (chart_with_legend("ms, circuits, attempts", &[
                curve("expected set-up time", &|b| Some(f64::from(b.expected_ms))),
                curve("free circuits", &|b| b.free_circuits.map(f64::from)),
                curve("attempts out", &|b| Some(f64::from(b.open_attempts))),
            ], &bands(report, |incident| incident.exchange == Some(*exchange))))
        }
        p.note { "As all softswitches together saw it: the longest time that one expected, the fewest circuits free in the "
            "groups toward the node, the most attempts out there. Incidents of the node are shaded." }
    }
}

fn reason_tables(report: &Report) -> Markup {
    let mut ends: Vec<_> = report.attempt_ends.iter().collect();
    ends.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let mut refusals: Vec<_> = report.refusals.iter().collect();
    refusals.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    html! {
        div.wide { table {
            tr { th { "calls" } th.n { "how many" } }
            @for (reason, count) in refusals { tr { td { (reason) } td.n { (count) } } }
        } }
        h3 { "Attempts that came to nothing" }
        div.wide { table {
            tr { th { "how" } th { "why" } th.n { "how many" } }
            @for ((outcome, reason), count) in ends { tr { td { (outcome_text(*outcome)) } td { (reason) } td.n { (count) } } }
        } }
    }
}

fn timeline_table(report: &Report) -> Markup {
    let row_class = |kind: &str| match kind {
        "circuits-ran-out" | "calls-shed" | "node-died" | "node-stalled" | "node-slow" | "list-lag"
        | "softswitch-crashed" | "gap" | "records-lost" => "bad",
        "node-returned-cold"
        | "node-answers-again"
        | "node-as-fast-as-before"
        | "list-caught-up"
        | "softswitch-back"
        | "circuits-free-again"
        | "calls-taken-again" => "good",
        _ => "",
    };
    html! {
        div.wide { table {
            tr { th { "time" } th { "what" } th { "node" } th { "softswitch" } th { "in words" } }
            @for event in &report.analysis.events {
                tr class=(row_class(event.kind)) {
                    td.t { (time_of_day(event.at_us)) }
                    td { (event.kind) }
                    td { @if let Some(exchange) = event.exchange { (exchange) } }
                    td { @if let Some(name) = event.softswitch.and_then(|index| report.softswitches.get(index)) { (name) } }
                    td { (event.detail) }
                }
            }
        } }
    }
}

fn clocks_table(report: &Report) -> Markup {
    let format_offset =
        |us: Option<i64>| us.map_or("not known".to_owned(), |us| format!("{:.1} ms", us as f64 / 1e3));
    html! {
        p { "Times are those of "
            @if let Some(name) = &report.reference { (name) } @else { "each softswitch itself" }
            ", the others corrected by what calls in transit prove." }
        @if report.contradictions > 0 {
            p.warn { (report.contradictions) " bounds contradicted others and were left out: a clock was set, or a record is wrong." }
        }
        div.wide { table {
            tr { th { "softswitch" } th.n { "ahead" } th.n { "give or take" } }
            @for clock in &report.clocks {
                tr { td { (clock.softswitch) } td.n { (format_offset(clock.ahead_us)) } td.n { (format_offset(clock.uncertainty_us)) } }
            }
        } }
    }
}
