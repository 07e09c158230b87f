//! The incident report: what the records of several softswitches say of an incident's course.
//!
//! [`Report::build`] reads an archive once by streaming and keeps only what a page shows: the course told by
//! [`incident`], figures by class, and series whose buckets grow with the time that is told. [`page::html`] makes one
//! self-contained page of it, [`Report::events`] the timeline as JSON lines.

mod charts;
pub mod incident;
pub mod page;
mod series;

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use swiftlb_record::merge::{EntryContent, Merge, TimelineEntry};
use swiftlb_record::{Archive, AttemptOutcome, AttemptReason, Event, FailureReason, RefusalReason};
use tinyjson::JsonValue;

use incident::{Analysis, Detector};
pub use series::{ClassBucket, NodeBucket, Series};

/// Longest set-up time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Figures of one class over the whole time.
#[derive(Clone, Debug)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Calls of its own callers that came, those in transit left out.
    pub offered: u64,
    /// Stood.
    pub answered: u64,
    /// Turned away.
    pub refused: u64,
    /// Given up by the softswitch.
    pub failed: u64,
    /// Given up by the caller.
    pub given_up: u64,
    /// Cut before their end.
    pub cut: u64,
    /// Set-up times in microseconds, to three digits.
    pub took: Histogram<u64>,
}

/// How sure the common time is, for one softswitch.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockFigures {
    /// Its name.
    pub softswitch: String,
    /// Ahead of the reference by so many microseconds in the middle of the time told.
    pub ahead_us: Option<i64>,
    /// Give or take so many, at the worst.
    pub uncertain_us: Option<i64>,
}

/// Everything that a page shows.
#[derive(Debug)]
pub struct Report {
    /// Names of the softswitches.
    pub softswitches: Vec<String>,
    /// Their clocks, and which of them the times are those of.
    pub clocks: Vec<ClockFigures>,
    /// Name of the reference.
    pub reference: Option<String>,
    /// Bounds that contradicted others: a clock that was set.
    pub contradictions: u64,
    /// First and last time told, corrected Unix microseconds.
    pub time_range_us: (u64, u64),
    /// Records told.
    pub record_count: u64,
    /// Figures by class.
    pub classes: Vec<ClassFigures>,
    /// Attempts that ended without an answer, by how and why.
    pub attempt_ends: BTreeMap<(AttemptOutcome, &'static str), u64>,
    /// Attempts made.
    pub attempts: u64,
    /// Refusals and failures by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Calls and nodes over time.
    pub series: Series,
    /// What happened.
    pub analysis: Analysis,
    /// Files that could not be used, with the reason.
    pub file_errors: Vec<String>,
}

/// What is known of open calls while the records are read: their class, and whether they are a caller's own.
#[derive(Debug, Default)]
struct Calls {
    open: BTreeMap<(usize, u64), (usize, bool)>,
    /// Those that stand, for their cuts.
    standing: BTreeMap<(usize, u64), (usize, bool)>,
}

/// A cause as one word.
fn cause(cause: AttemptReason) -> &'static str {
    match cause {
        AttemptReason::Unspecified => "nothing said",
        AttemptReason::NoCircuit => "group full",
        AttemptReason::CrankBack => "turned back",
        AttemptReason::DestinationFull => "full beyond",
        AttemptReason::ProcessorFull(_) => "processor full",
        AttemptReason::UserBusy => "lines busy",
    }
}

/// The end of an attempt in words.
pub(crate) fn outcome(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Busy => "busy",
        AttemptOutcome::Congested => "no room",
        AttemptOutcome::TimedOut => "no answer in time",
        AttemptOutcome::NoConnection => "no connection",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "called off",
        AttemptOutcome::NotSent => "never left",
        AttemptOutcome::AnswerLost => "answer lost",
    }
}

fn after(how: AttemptOutcome, why: AttemptReason) -> String {
    match why {
        AttemptReason::Unspecified => format!("after an attempt: {}", outcome(how)),
        why => format!("after an attempt: {}", cause(why)),
    }
}

fn refused(why: RefusalReason) -> String {
    match why {
        RefusalReason::NoCircuit => "refused: no circuit free".to_owned(),
        RefusalReason::Shed => "refused: shed before any attempt".to_owned(),
        RefusalReason::TooManySetUps => "refused: too many open".to_owned(),
        RefusalReason::Draining => "refused: being emptied".to_owned(),
        RefusalReason::AfterAttempt(how, why) => format!("refused {}", after(how, why)),
    }
}

fn failed(why: FailureReason) -> String {
    match why {
        FailureReason::Busy => "failed: lines busy".to_owned(),
        FailureReason::NoRoute => "failed before any attempt".to_owned(),
        FailureReason::AfterAttempt(how, why) => format!("failed {}", after(how, why)),
        FailureReason::DecisionOverdue => "failed: no decision in time".to_owned(),
        FailureReason::CallerStreamCorrupt => "failed: its connection was unreadable".to_owned(),
    }
}

impl Report {
    /// Reads an archive, the records between these times alone (Unix microseconds by each softswitch's own clock, both
    /// included). `progress` is told now and then how many records were read.
    pub fn build(archive: &Archive, window_us: (u64, u64), mut progress: impl FnMut(u64)) -> Self {
        let mut merge = Merge::open(archive, window_us);
        let names = merge.softswitches().to_vec();
        let mut detector = Detector::new(merge.home_exchanges());
        let mut report = Self {
            clocks: Vec::new(),
            reference: merge.clock_offsets().reference().map(|place| names[place].clone()),
            contradictions: merge.clock_offsets().contradictions,
            time_range_us: (u64::MAX, 0),
            record_count: 0,
            classes: Vec::new(),
            attempt_ends: BTreeMap::new(),
            attempts: 0,
            refusals: BTreeMap::new(),
            series: Series::new(),
            analysis: Analysis::default(),
            file_errors: archive.file_errors.iter().map(ToString::to_string).collect(),
            softswitches: names,
        };
        let mut calls = Calls::default();
        // Places of classes by softswitch: each has an order of its own.
        let mut places: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for told in merge.by_ref() {
            detector.observe(&told);
            report.see(&told, &mut calls, &mut places);
            if report.record_count.is_multiple_of(65_536) {
                progress(report.record_count);
            }
        }
        report.analysis = detector.finish();
        report.file_errors.extend(merge.file_errors().iter().map(ToString::to_string));
        let middle = report.time_range_us.0.midpoint(report.time_range_us.1);
        report.clocks = (0..report.softswitches.len())
            .map(|i| ClockFigures {
                softswitch: report.softswitches[i].clone(),
                ahead_us: merge.clock_offsets().offset(i, middle).map(|offset| offset.ahead_us),
                uncertain_us: merge.clock_offsets().most_uncertain(i).map(|offset| offset.uncertainty_us),
            })
            .collect();
        report
    }

    fn class(&mut self, name: &str) -> usize {
        if let Some(place) = self.classes.iter().position(|class| class.name == name) {
            return place;
        }
        // Bounds and digits are constants that make sense.
        let took = Histogram::new_with_bounds(1, LONGEST_US, 3)
            .unwrap_or_else(|_| Histogram::new(1).expect("a digit"));
        let name = name.to_owned();
        let (offered, answered, refused, failed, given_up, cut) = (0, 0, 0, 0, 0, 0);
        self.classes.push(ClassFigures { name, offered, answered, refused, failed, given_up, cut, took });
        self.classes.len() - 1
    }

    fn see(&mut self, told: &TimelineEntry, calls: &mut Calls, places: &mut BTreeMap<usize, Vec<usize>>) {
        let (at, who) = (told.at_us, told.softswitch);
        let event = match &told.content {
            EntryContent::Event(event) => {
                self.record_count += 1;
                self.time_range_us = (self.time_range_us.0.min(at), self.time_range_us.1.max(at));
                event
            }
            EntryContent::Context(event) => event,
            EntryContent::Gap(_) | EntryContent::RunEnded { .. } => return,
        };
        if let Event::Classes(names) = event {
            let known = names.iter().map(|name| self.class(name)).collect();
            places.insert(who, known);
            return;
        }
        self.series.see(at, who, event);
        let key = event.call().map(|call| (who, call.0));
        match (event, key) {
            (Event::SetUp { class, transit_from, .. }, Some(key)) => {
                let place = places.get(&who).and_then(|known| known.get(usize::from(*class)).copied());
                let place = place.unwrap_or_else(|| self.class("unknown"));
                let own = transit_from.is_none();
                calls.open.insert(key, (place, own));
                self.classes[place].offered += u64::from(own);
                self.series.class(at, place, own, |bucket| &mut bucket.offered);
            }
            (Event::Attempt { .. }, _) => self.attempts += 1,
            (Event::AttemptEnded { outcome, reason: why, .. }, _) => {
                *self.attempt_ends.entry((*outcome, cause(*why))).or_default() += 1;
            }
            (Event::Answered { elapsed_us, .. }, Some(key)) => {
                if let Some((place, own)) = calls.open.remove(&key) {
                    calls.standing.insert(key, (place, own));
                    let class = &mut self.classes[place];
                    if own {
                        class.answered += 1;
                        class.took.saturating_record((*elapsed_us).max(1));
                    }
                    self.series.class(at, place, own, |bucket| &mut bucket.answered);
                }
            }
            (Event::Refused { reason, .. }, Some(key)) => {
                *self.refusals.entry(refused(*reason)).or_default() += 1;
                if let Some((place, own)) = calls.open.remove(&key) {
                    self.classes[place].refused += u64::from(own);
                    self.series.class(at, place, own, |bucket| &mut bucket.refused);
                }
            }
            (Event::Failed { reason, .. }, Some(key)) => {
                *self.refusals.entry(failed(*reason)).or_default() += 1;
                if let Some((place, own)) = calls.open.remove(&key) {
                    self.classes[place].failed += u64::from(own);
                    self.series.class(at, place, own, |bucket| &mut bucket.failed);
                }
            }
            (Event::Abandoned { .. }, Some(key)) => {
                if let Some((place, own)) = calls.open.remove(&key) {
                    self.classes[place].given_up += u64::from(own);
                    self.series.class(at, place, own, |bucket| &mut bucket.failed);
                }
            }
            (Event::Released { cut, .. }, Some(key)) => {
                if let Some((place, own)) = calls.standing.remove(&key) {
                    self.classes[place].cut += u64::from(own && *cut);
                }
            }
            // What was open in a process that is gone is open no more.
            (Event::Started { .. }, _) => {
                calls.open.retain(|(softswitch, _), _| *softswitch != who);
                calls.standing.retain(|(softswitch, _), _| *softswitch != who);
            }
            _ => {}
        }
    }

    /// The timeline as JSON lines: `at_us` (corrected), `softswitch` and `exchange` where there are such, `kind`,
    /// `detail`.
    pub fn events_jsonl(&self) -> String {
        let quoted = |text: &str| JsonValue::String(text.to_owned()).stringify().unwrap_or_default();
        let mut text = String::new();
        for line in &self.analysis.events {
            let _ = write!(text, "{{\"at_us\":{}", line.at_us);
            if let Some(name) = line.softswitch.and_then(|place| self.softswitches.get(place)) {
                let _ = write!(text, ",\"softswitch\":{}", quoted(name));
            }
            let _ = write!(text, ",\"kind\":\"{}\"", line.kind);
            if let Some(exchange) = line.exchange {
                let _ = write!(text, ",\"exchange\":{exchange}");
            }
            let _ = writeln!(text, ",\"detail\":{}}}", quoted(&line.detail));
        }
        text
    }
}
