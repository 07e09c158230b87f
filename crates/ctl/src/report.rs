//! `swiftlbctl report`: writes an HTML report of the incidents found in records.

use std::path::{Path, PathBuf};

use chrono::{DateTime, NaiveDateTime};
use swiftlb_record::Archive;
use swiftlb_report::{Report, page};

use crate::CommandError;
use crate::progress::Progress;

const USAGE: &str = "\
usage: swiftlbctl report FILE|DIR ... --out FILE.html [--events FILE.jsonl] [--from T] [--to T] [--json]

Reads the records of one or more softswitches and writes a self-contained HTML page about the incidents found in them,
and on request the timeline as JSON lines. A file that cannot be read is named on standard error; the others are used.

  --out FILE      the HTML page
  --events FILE   the timeline: at_us (corrected for clock offsets), softswitch, kind, exchange, detail
  --from T        ignore records before this time: seconds since 1970, or 2026-12-01T17:05:00 (UTC)
  --to T          ignore records after this time
  --json          print the incidents as one JSON object on standard output

example: swiftlbctl report /var/lib/swiftlb/records --from 2026-12-01T17:00:00 --out incident.html";

pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    use lexopt::prelude::*;
    let (mut paths, mut out, mut events) = (Vec::new(), None, None);
    let (mut from, mut to, mut json) = (0, u64::MAX, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("events") => events = Some(PathBuf::from(parser.value()?)),
            Long("from") => from = parse_time("--from", &parser.value()?.string()?)?,
            Long("to") => to = parse_time("--to", &parser.value()?.string()?)?,
            Long("json") => json = true,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(path) => paths.push(PathBuf::from(path)),
            _ => return Err(CommandError::InvalidInput(format!("{}\n{USAGE}", arg.unexpected()))),
        }
    }
    if paths.is_empty() {
        return Err(CommandError::InvalidInput(format!("no file or directory to read\n{USAGE}")));
    }
    let out =
        out.ok_or_else(|| CommandError::InvalidInput("--out: expected the file for the page".to_owned()))?;
    if from > to {
        return Err(CommandError::InvalidInput("--from: expected a time before that of --to".to_owned()));
    }
    let report = build(&paths, (from, to))?;
    write(&report, &out, events.as_deref())?;
    if json {
        println!("{}", summary_json(&report, &out));
    } else {
        print!("{}", summary(&report, &out));
    }
    // Files that could not be read are reported last: the page has been written from the others.
    match &report.file_errors[..] {
        [] => Ok(()),
        [first, rest @ ..] => {
            rest.iter().for_each(|error| eprintln!("swiftlbctl: {error}"));
            Err(CommandError::InvalidInput(first.clone()))
        }
    }
}

/// Builds a report from the records of these files and directories between two times in Unix microseconds. It is an
/// error if none of the files can be used.
pub fn build(paths: &[PathBuf], time_range_us: (u64, u64)) -> Result<Report, CommandError> {
    let archive = Archive::open(paths);
    if archive.runs.is_empty() {
        let reason =
            archive.file_errors.first().map_or("no record files found".to_owned(), ToString::to_string);
        let names: Vec<String> = paths.iter().map(|path| path.display().to_string()).collect();
        return Err(CommandError::InvalidInput(if archive.file_errors.is_empty() {
            format!("{}: {reason}", names.join(", "))
        } else {
            reason
        }));
    }
    let mut progress = Progress::new();
    Ok(Report::build(&archive, time_range_us, |records| {
        progress.show(&format!("{records} records analyzed ..."))
    }))
}

/// Writes the page and, if a file is given for it, the timeline. Each file is written completely or not at all.
pub fn write(report: &Report, out: &Path, events: Option<&Path>) -> Result<(), CommandError> {
    write_atomically(out, &page::html(report))?;
    if let Some(events) = events {
        write_atomically(events, &report.events_jsonl())?;
    }
    Ok(())
}

/// Writes a file under a temporary name and renames it, so that no incomplete file is left under its own name.
fn write_atomically(path: &Path, text: &str) -> Result<(), CommandError> {
    let write_error =
        |error: std::io::Error| CommandError::InvalidInput(format!("{}: {error}", path.display()));
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".part");
    let temporary = path.with_file_name(name);
    std::fs::write(&temporary, text).map_err(write_error)?;
    std::fs::rename(&temporary, path).map_err(write_error)
}

/// Parses a time given to an option; returns Unix microseconds.
fn parse_time(option: &str, text: &str) -> Result<u64, CommandError> {
    let invalid = || {
        CommandError::InvalidInput(format!(
            "{option}: '{text}': expected seconds since 1970 or 2026-12-01T17:05:00 (UTC)"
        ))
    };
    if let Ok(seconds) = text.parse::<f64>() {
        let valid = seconds.is_finite() && (0.0..4e9).contains(&seconds);
        return if valid { Ok((seconds * 1e6) as u64) } else { Err(invalid()) };
    }
    let with_zone = DateTime::parse_from_rfc3339(text).map(|time| time.timestamp_micros());
    let without_zone = || {
        NaiveDateTime::parse_from_str(text, "%Y-%m-%dT%H:%M:%S%.f")
            .map(|time| time.and_utc().timestamp_micros())
    };
    let micros = with_zone.or_else(|_| without_zone()).map_err(|_| invalid())?;
    u64::try_from(micros).map_err(|_| invalid())
}

/// Summary for standard output: one line per incident and the file of the page.
pub fn summary(report: &Report, out: &Path) -> String {
    let mut text = String::new();
    for incident in &report.analysis.incidents {
        let duration = incident.end_us.map(|end| end.saturating_sub(incident.begin_us) as f64 / 1e6);
        let at = (incident.begin_us.saturating_sub(report.time_range_us.0)) as f64 / 1e6;
        let node = incident.exchange.map_or(String::new(), |exchange| format!(" node {exchange}"));
        let duration = duration.map_or("not over".to_owned(), |seconds| format!("{seconds:.1} s"));
        let affected = &incident.affected_calls;
        let lost = affected.cut + affected.lost + affected.abandoned;
        text +=
            &format!("{at:8.1} s  {:<20}{node:<8} {duration:>9}  {lost} calls lost\n", incident.kind.label());
    }
    if report.analysis.incidents.is_empty() {
        text += "no incidents\n";
    }
    text + &format!("report: {}\n", out.display())
}

/// Summary as a JSON object, for `--json`.
fn summary_json(report: &Report, out: &Path) -> String {
    let number = |n: Option<u64>| n.map_or("null".to_owned(), |n| n.to_string());
    let incidents: Vec<String> = report
        .analysis
        .incidents
        .iter()
        .map(|incident| {
            let affected = &incident.affected_calls;
            format!(
                "{{\"kind\":\"{}\",\"exchange\":{},\"begin_us\":{},\"end_us\":{},\"flaps\":{},\"cut\":{},\"lost\":{},\
                 \"given_up\":{},\"delayed\":{}}}",
                incident.kind.label(),
                number(incident.exchange.map(u64::from)),
                incident.begin_us,
                number(incident.end_us),
                incident.flaps,
                affected.cut,
                affected.lost,
                affected.abandoned,
                affected.delayed
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
