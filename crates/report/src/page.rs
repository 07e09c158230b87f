//! One self-contained page: no script, font or picture from elsewhere.

use std::time::{Duration, UNIX_EPOCH};

use chrono::{DateTime, Utc};
use maud::{DOCTYPE, Markup, PreEscaped, html};

use crate::charts::{Band, Curve, chart, colour};
use crate::incident::{Incident, IncidentKind};
use crate::{Report, outcome};

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

/// A time as people read it, in UTC.
fn date(at_us: u64) -> DateTime<Utc> {
    DateTime::from(UNIX_EPOCH + Duration::from_micros(at_us.min(1 << 52)))
}

fn clock(at_us: u64) -> String {
    date(at_us).format("%H:%M:%S%.3f").to_string()
}

fn seconds(us: u64) -> String {
    format!("{:.1} s", us as f64 / 1e6)
}

fn ms(us: u64) -> String {
    format!("{:.0}", us as f64 / 1e3)
}

fn percent(part: u64, of: u64) -> String {
    if of == 0 { "-".to_owned() } else { format!("{:.1}%", 100.0 * part as f64 / of as f64) }
}

/// What an incident is, in words.
fn title(report: &Report, incident: &Incident) -> String {
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
            let name = incident.softswitch.and_then(|place| report.softswitches.get(place));
            format!("softswitch {} crashed", name.map_or("?", String::as_str))
        }
    }
}

/// The page.
pub fn html(report: &Report) -> String {
    let (first, last) = report.time_range_us;
    let has_any = last >= first;
    let lasted = if has_any { last - first } else { 0 };
    let sum = |of: fn(&crate::ClassFigures) -> u64| report.classes.iter().map(of).sum::<u64>();
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
                @if has_any {
                    p.note { (date(first).format("%Y-%m-%d %H:%M:%S").to_string()) " to " (clock(last)) " UTC, "
                        (seconds(lasted)) ", " (report.record_count) " records of " (report.softswitches.len()) " softswitches" }
                }
                @for trouble in &report.file_errors { p.warn { "Not read: " (trouble) } }
                dl {
                    (figure("episodes", &report.analysis.episodes.len().to_string()))
                    (figure("incidents", &report.analysis.incidents.len().to_string()))
                    (figure("calls offered", &offered.to_string()))
                    (figure("stood", &percent(answered, offered)))
                    (figure("refused", &percent(sum(|c| c.refused), offered)))
                    (figure("failed or given up", &percent(sum(|c| c.failed + c.given_up), offered)))
                    (figure("cut", &sum(|c| c.cut).to_string()))
                    (figure("attempts", &report.attempts.to_string()))
                }
                h2 { "Incidents" }
                (incidents(report))
                h2 { "Calls by class" }
                (classes(report))
                h2 { "Calls a second" }
                (calls(report))
                h2 { "Nodes" }
                (nodes(report))
                h2 { "Why calls were not served" }
                (reasons(report))
                h2 { "Timeline" }
                (timeline(report))
                h2 { "Clocks" }
                (clocks(report))
            }
        }
    };
    page.into_string()
}

fn figure(name: &str, value: &str) -> Markup {
    html! { div { dt { (name) } dd { (value) } } }
}

fn incidents(report: &Report) -> Markup {
    if report.analysis.incidents.is_empty() {
        return html! { p { "None that the records tell of." } };
    }
    html! {
        div.wide { table {
            tr { th { "from" } th { "what" } th.n { "lasted" } th.n { "cut" } th.n { "lost" } th.n { "given up" } th.n { "delayed" } th { "told from" } }
            @for incident in &report.analysis.incidents {
                tr {
                    td.t { (clock(incident.begin_us)) }
                    td { (title(report, incident))
                        @if incident.flaps > 0 { ", and came back " (incident.flaps) " times" }
                        @if let Some(cause) = incident.triggered_by.and_then(|place| report.analysis.incidents.get(place)) {
                            br; span.note { "after " (title(report, cause)) }
                        } }
                    td.n { @match incident.end_us {
                        Some(end) => { (seconds(end.saturating_sub(incident.begin_us))) }
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

fn classes(report: &Report) -> Markup {
    html! {
        div.wide { table {
            tr { th { "class" } th.n { "offered" } th.n { "stood" } th.n { "refused" } th.n { "failed" } th.n { "given up" }
                th.n { "cut" } th.n { "50%" } th.n { "90%" } th.n { "99%" } th.n { "longest" } }
            @for class in &report.classes {
                tr {
                    td { (class.name) } td.n { (class.offered) } td.n { (percent(class.answered, class.offered)) }
                    td.n { (class.refused) } td.n { (class.failed) } td.n { (class.given_up) } td.n { (class.cut) }
                    @for part in [0.5, 0.9, 0.99] { td.n { (ms(class.took.value_at_quantile(part))) } }
                    td.n { (ms(class.took.max())) }
                }
            }
        } }
        p.note { "Set-up times in ms, of calls that stood, at the softswitch that they came to." }
    }
}

/// Spans of incidents, in seconds since the first bucket.
fn bands(report: &Report, of: impl Fn(&Incident) -> bool) -> Vec<Band> {
    let begin = report.series.first_us;
    let at = |us: u64| us.saturating_sub(begin) as f64 / 1e6;
    let wanted = report.analysis.incidents.iter().filter(|incident| of(incident));
    wanted
        .map(|i| Band { from: at(i.begin_us), to: at(i.end_us.unwrap_or(report.time_range_us.1)) })
        .collect()
}

/// A chart with its legend.
fn drawn(unit: &str, curves: &[Curve], bands: &[Band]) -> Markup {
    html! {
        p.note { @for (i, curve) in curves.iter().enumerate() {
            span.key style={ "background:" (colour(i)) } {} (curve.name)
        } }
        div.wide { (PreEscaped(chart(unit, curves, bands))) }
    }
}

fn calls(report: &Report) -> Markup {
    let series = &report.series;
    let each = series.bucket_us as f64 / 1e6;
    html! {
        @for (class, buckets) in report.classes.iter().zip(&series.classes) {
            @let curve = |name: &str, of: fn(&crate::ClassBucket) -> u32| Curve {
                name: name.to_owned(),
                points: buckets.iter().enumerate().map(|(i, b)| (i as f64 * each, f64::from(of(b)) / each)).collect(),
            };
            h3 { (class.name) }
            (drawn("calls/s", &[
                curve("offered", |b| b.offered), curve("refused", |b| b.refused),
                curve("stood", |b| b.answered), curve("failed or given up", |b| b.failed),
            ], &bands(report, |_| true)))
        }
        p.note { "Seconds since " (clock(series.first_us)) " UTC; incidents are shaded." }
    }
}

fn nodes(report: &Report) -> Markup {
    let series = &report.series;
    let each = series.bucket_us as f64 / 1e6;
    html! {
        @for (exchange, buckets) in &series.nodes {
            @let curve = |name: &str, of: &dyn Fn(&crate::NodeBucket) -> Option<f64>| Curve {
                name: name.to_owned(),
                points: buckets.iter().enumerate().filter_map(|(i, b)| Some((i as f64 * each, of(b)?))).collect(),
            };
            h3 { "node " (exchange) }
            (drawn("ms, circuits, attempts", &[
                curve("expected set-up time", &|b| Some(f64::from(b.expected_ms))),
                curve("free circuits", &|b| b.free.map(f64::from)),
                curve("attempts out", &|b| Some(f64::from(b.out))),
            ], &bands(report, |incident| incident.exchange == Some(*exchange))))
        }
        p.note { "As all softswitches together saw it: the longest time that one expected, the fewest circuits free in the "
            "groups toward the node, the most attempts out there. Incidents of the node are shaded." }
    }
}

fn reasons(report: &Report) -> Markup {
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
            @for ((how, why), count) in ends { tr { td { (outcome(*how)) } td { (why) } td.n { (count) } } }
        } }
    }
}

fn timeline(report: &Report) -> Markup {
    let tone = |kind: &str| match kind {
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
            @for line in &report.analysis.events {
                tr class=(tone(line.kind)) {
                    td.t { (clock(line.at_us)) }
                    td { (line.kind) }
                    td { @if let Some(exchange) = line.exchange { (exchange) } }
                    td { @if let Some(name) = line.softswitch.and_then(|place| report.softswitches.get(place)) { (name) } }
                    td { (line.detail) }
                }
            }
        } }
    }
}

fn clocks(report: &Report) -> Markup {
    let half = |us: Option<i64>| us.map_or("not known".to_owned(), |us| format!("{:.1} ms", us as f64 / 1e3));
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
                tr { td { (clock.softswitch) } td.n { (half(clock.ahead_us)) } td.n { (half(clock.uncertain_us)) } }
            }
        } }
    }
}
