//! `swiftlbctl report`: an incident's course as a page, from records.

use std::path::{Path, PathBuf};

use chrono::{DateTime, NaiveDateTime};
use swiftlb_record::Archive;
use swiftlb_report::{Report, page};

use crate::Failure;
use crate::progress::Progress;

const USAGE: &str = "\
usage: swiftlbctl report FILE|DIR ... --out FILE.html [--events FILE.jsonl] [--from T] [--to T] [--json]

Reads the records of one or several softswitches and tells the course of what happened: one page without anything from
elsewhere, and the timeline as JSON lines if it is asked for. A file that cannot be read is named, the others are told.

  --out FILE      the page
  --events FILE   the timeline: at_us (corrected), softswitch, kind, exchange, detail
  --from T        nothing before this time: seconds since 1970, or 2026-12-01T17:05:00 (UTC)
  --to T          nothing after it
  --json          the incidents as one JSON object on standard output

example: swiftlbctl report /var/lib/swiftlb/records --from 2026-12-01T17:00:00 --out incident.html";

pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    use lexopt::prelude::*;
    let (mut paths, mut out, mut events) = (Vec::new(), None, None);
    let (mut from, mut to, mut json) = (0, u64::MAX, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("events") => events = Some(PathBuf::from(parser.value()?)),
            Long("from") => from = time("--from", &parser.value()?.string()?)?,
            Long("to") => to = time("--to", &parser.value()?.string()?)?,
            Long("json") => json = true,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(path) => paths.push(PathBuf::from(path)),
            _ => return Err(Failure::User(format!("{}\n{USAGE}", arg.unexpected()))),
        }
    }
    if paths.is_empty() {
        return Err(Failure::User(format!("no file or folder to read\n{USAGE}")));
    }
    let out = out.ok_or_else(|| Failure::User("--out: expected the file for the page".to_owned()))?;
    if from > to {
        return Err(Failure::User("--from: expected a time before that of --to".to_owned()));
    }
    let report = build(&paths, (from, to))?;
    write(&report, &out, events.as_deref())?;
    if json {
        println!("{}", summary_json(&report, &out));
    } else {
        print!("{}", summary(&report, &out));
    }
    // The page is there all the same.
    match &report.file_errors[..] {
        [] => Ok(()),
        [first, rest @ ..] => {
            rest.iter().for_each(|trouble| eprintln!("swiftlbctl: {trouble}"));
            Err(Failure::User(first.clone()))
        }
    }
}

/// Reads the records.
pub fn build(paths: &[PathBuf], window_us: (u64, u64)) -> Result<Report, Failure> {
    let archive = Archive::open(paths);
    if archive.runs.is_empty() {
        let why = archive.file_errors.first().map_or("no record files in it".to_owned(), ToString::to_string);
        let names: Vec<String> = paths.iter().map(|path| path.display().to_string()).collect();
        return Err(Failure::User(if archive.file_errors.is_empty() {
            format!("{}: {why}", names.join(", "))
        } else {
            why
        }));
    }
    let mut progress = Progress::new();
    Ok(Report::build(&archive, window_us, |records| progress.say(&format!("{records} records told ..."))))
}

/// Writes page and timeline, each whole or not at all.
pub fn write(report: &Report, out: &Path, events: Option<&Path>) -> Result<(), Failure> {
    whole(out, &page::html(report))?;
    if let Some(events) = events {
        whole(events, &report.events_jsonl())?;
    }
    Ok(())
}

fn whole(path: &Path, text: &str) -> Result<(), Failure> {
    let wrong = |error: std::io::Error| Failure::User(format!("{}: {error}", path.display()));
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".part");
    let part = path.with_file_name(name);
    std::fs::write(&part, text).map_err(wrong)?;
    std::fs::rename(&part, path).map_err(wrong)
}

/// A time in Unix microseconds.
fn time(option: &str, text: &str) -> Result<u64, Failure> {
    let wrong = || {
        Failure::User(format!("{option}: '{text}': expected seconds since 1970 or 2026-12-01T17:05:00 (UTC)"))
    };
    if let Ok(seconds) = text.parse::<f64>() {
        let good = seconds.is_finite() && (0.0..4e9).contains(&seconds);
        return if good { Ok((seconds * 1e6) as u64) } else { Err(wrong()) };
    }
    let zoned = DateTime::parse_from_rfc3339(text).map(|time| time.timestamp_micros());
    let plain = || {
        NaiveDateTime::parse_from_str(text, "%Y-%m-%dT%H:%M:%S%.f")
            .map(|time| time.and_utc().timestamp_micros())
    };
    let micros = zoned.or_else(|_| plain()).map_err(|_| wrong())?;
    u64::try_from(micros).map_err(|_| wrong())
}

/// The incidents in a few lines.
pub fn summary(report: &Report, out: &Path) -> String {
    let mut text = String::new();
    for incident in &report.analysis.incidents {
        let lasted = incident.end_us.map(|end| end.saturating_sub(incident.begin_us) as f64 / 1e6);
        let at = (incident.begin_us.saturating_sub(report.time_range_us.0)) as f64 / 1e6;
        let node = incident.exchange.map_or(String::new(), |exchange| format!(" node {exchange}"));
        let lasted = lasted.map_or("not over".to_owned(), |lasted| format!("{lasted:.1} s"));
        let cost = &incident.affected_calls;
        let lost = cost.cut + cost.lost + cost.abandoned;
        text +=
            &format!("{at:8.1} s  {:<20}{node:<8} {lasted:>9}  {lost} calls lost\n", incident.kind.label());
    }
    if report.analysis.incidents.is_empty() {
        text += "no incidents\n";
    }
    text + &format!("report: {}\n", out.display())
}

fn summary_json(report: &Report, out: &Path) -> String {
    let number = |n: Option<u64>| n.map_or("null".to_owned(), |n| n.to_string());
    let incidents: Vec<String> = report
        .analysis
        .incidents
        .iter()
        .map(|incident| {
            let cost = &incident.affected_calls;
            format!(
                "{{\"kind\":\"{}\",\"exchange\":{},\"begin_us\":{},\"end_us\":{},\"flaps\":{},\"cut\":{},\"lost\":{},\
                 \"given_up\":{},\"delayed\":{}}}",
                incident.kind.label(),
                number(incident.exchange.map(u64::from)),
                incident.begin_us,
                number(incident.end_us),
                incident.flaps,
                cost.cut,
                cost.lost,
                cost.abandoned,
                cost.delayed
            )
        })
        .collect();
    let out = out.display().to_string();
    format!(
        "{{\"report\":{out:?},\"records\":{},\"incidents\":[{}]}}",
        report.record_count,
        incidents.join(",")
    )
}
