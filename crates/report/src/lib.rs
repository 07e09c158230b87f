//! The incident report, made from the records of several softswitches.
//!
//! [`Report::build`] streams an archive once and keeps only what the page shows: the incidents found by [`incident`],
//! statistics by class, and time series whose buckets grow with the time range. [`page::html`] renders the report as
//! one self-contained page, [`Report::events_jsonl`] its timeline as JSON lines.

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

/// Longest set-up time that the histograms distinguish, in microseconds.
const MAX_SETUP_TIME_US: u64 = 60_000_000;
/// Number of records between two calls of the `progress` function of [`Report::build`].
const PROGRESS_INTERVAL: u64 = 65_536;

/// Statistics of one class over the whole time range.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Name of the class.
    pub name: String,
    /// Calls offered by callers. A call in transit is counted at its origin only.
    pub offered: u64,
    /// Calls that were established.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Calls that their callers abandoned.
    pub abandoned: u64,
    /// Established calls that were cut.
    pub cut: u64,
    /// Set-up times in microseconds, to three significant digits.
    pub setup_times: Histogram<u64>,
}

/// Clock offset of one softswitch and its uncertainty.
#[derive(Clone, Debug, PartialEq)]
pub struct SoftswitchClock {
    /// Name of the softswitch.
    pub softswitch: String,
    /// How far its clock is ahead of the reference in the middle of the time range, in microseconds; `None` if unknown.
    pub ahead_us: Option<i64>,
    /// Largest uncertainty of that offset over the time range, in microseconds; `None` if unknown.
    pub uncertainty_us: Option<i64>,
}

/// Contents of the page.
#[derive(Debug)]
pub struct Report {
    /// Names of the softswitches; other fields refer to them by index.
    pub softswitches: Vec<String>,
    /// Clock of each softswitch.
    pub clocks: Vec<SoftswitchClock>,
    /// Name of the softswitch whose clock is the reference for all times, if there is one.
    pub reference: Option<String>,
    /// Number of bounds on clock offsets that contradict others, as when a clock was set.
    pub contradictions: u64,
    /// Time of the first and of the last event, in corrected Unix microseconds.
    pub time_range_us: (u64, u64),
    /// Number of recorded events in the time range.
    pub record_count: u64,
    /// Statistics by class.
    pub classes: Vec<ClassStats>,
    /// Number of attempts that ended without an answer, by outcome and reason.
    pub attempt_ends: BTreeMap<(AttemptOutcome, &'static str), u64>,
    /// Number of attempts, including those of calls in transit.
    pub attempts: u64,
    /// Number of refused and failed calls, by reason. A call in transit is counted by each softswitch that refused or
    /// failed it.
    pub refusals: BTreeMap<String, u64>,
    /// Calls and nodes over time, for the charts.
    pub series: Series,
    /// Incidents, episodes and events.
    pub analysis: Analysis,
    /// Record files that could not be used, with the reason.
    pub file_errors: Vec<String>,
}

/// Calls in progress by softswitch and call uid, each with the index of its class and whether the softswitch is its
/// origin.
#[derive(Debug, Default)]
struct OpenCalls {
    /// Calls that are being set up.
    open: BTreeMap<(usize, u64), (usize, bool)>,
    /// Established calls, kept to count those that are cut.
    established: BTreeMap<(usize, u64), (usize, bool)>,
}

/// Reason of a failed attempt, as text on the page.
fn reason_text(reason: AttemptReason) -> &'static str {
    match reason {
        AttemptReason::Unspecified => "nothing said",
        AttemptReason::NoCircuit => "group full",
        AttemptReason::CrankBack => "turned back",
        AttemptReason::DestinationFull => "full beyond",
        AttemptReason::ProcessorFull(_) => "processor full",
        AttemptReason::UserBusy => "lines busy",
    }
}

/// Outcome of an attempt, as text on the page.
pub(crate) fn outcome_text(outcome: AttemptOutcome) -> &'static str {
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

fn after_attempt_text(outcome: AttemptOutcome, reason: AttemptReason) -> String {
    match reason {
        AttemptReason::Unspecified => format!("after an attempt: {}", outcome_text(outcome)),
        reason => format!("after an attempt: {}", reason_text(reason)),
    }
}

fn refusal_text(reason: RefusalReason) -> String {
    match reason {
        RefusalReason::NoCircuit => "refused: no circuit free".to_owned(),
        RefusalReason::Shed => "refused: shed before any attempt".to_owned(),
        RefusalReason::TooManySetUps => "refused: too many open".to_owned(),
        RefusalReason::Draining => "refused: being emptied".to_owned(),
        RefusalReason::AfterAttempt(outcome, reason) => {
            format!("refused {}", after_attempt_text(outcome, reason))
        }
    }
}

fn failure_text(reason: FailureReason) -> String {
    match reason {
        FailureReason::Busy => "failed: lines busy".to_owned(),
        FailureReason::NoRoute => "failed before any attempt".to_owned(),
        FailureReason::AfterAttempt(outcome, reason) => {
            format!("failed {}", after_attempt_text(outcome, reason))
        }
        FailureReason::DecisionOverdue => "failed: no decision in time".to_owned(),
        FailureReason::CallerStreamCorrupt => "failed: its connection was unreadable".to_owned(),
        FailureReason::ShuttingDown => "failed: the softswitch was shutting down".to_owned(),
        FailureReason::DuplicateCallId => "failed: a call id came twice on its connection".to_owned(),
        FailureReason::TooManyMalformed => "failed: its connection carried malformed messages".to_owned(),
        FailureReason::Draining => "failed: the softswitch was being emptied".to_owned(),
        FailureReason::TooManyUnknownCalls => {
            "failed: its connection carried too many hang-ups of unknown calls".to_owned()
        }
    }
}

impl Report {
    /// Builds a report from the records of an archive between two times, both inclusive, in Unix microseconds by each
    /// softswitch's own clock. `progress` is called at intervals with the number of records read.
    pub fn build(archive: &Archive, window_us: (u64, u64), mut progress: impl FnMut(u64)) -> Self {
        let mut merge = Merge::open(archive, window_us);
        let names = merge.softswitches().to_vec();
        let mut detector = Detector::new(merge.home_exchanges());
        let mut report = Self {
            clocks: Vec::new(),
            reference: merge.clock_offsets().reference().map(|index| names[index].clone()),
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
        let mut open_calls = OpenCalls::default();
        // Indices in `report.classes` by softswitch: each softswitch numbers its classes in its own order.
        let mut class_indices: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for entry in merge.by_ref() {
            detector.observe(&entry);
            report.observe(&entry, &mut open_calls, &mut class_indices);
            if report.record_count.is_multiple_of(PROGRESS_INTERVAL) {
                progress(report.record_count);
            }
        }
        report.analysis = detector.finish();
        report.file_errors.extend(merge.file_errors().iter().map(ToString::to_string));
        let middle_us = report.time_range_us.0.midpoint(report.time_range_us.1);
        report.clocks = (0..report.softswitches.len())
            .map(|i| SoftswitchClock {
                softswitch: report.softswitches[i].clone(),
                ahead_us: merge.clock_offsets().offset(i, middle_us).map(|offset| offset.ahead_us),
                uncertainty_us: merge.clock_offsets().most_uncertain(i).map(|offset| offset.uncertainty_us),
            })
            .collect();
        report
    }

    /// Index of the class with this name, which is added if it is new.
    fn index_of_class(&mut self, name: &str) -> usize {
        if let Some(class_index) = self.classes.iter().position(|class| class.name == name) {
            return class_index;
        }
        // Cannot fail: the bounds and the number of digits are valid constants.
        let setup_times = Histogram::new_with_bounds(1, MAX_SETUP_TIME_US, 3)
            .unwrap_or_else(|_| Histogram::new(1).expect("one significant digit is valid"));
        let name = name.to_owned();
        let (offered, answered, refused, failed, abandoned, cut) = (0, 0, 0, 0, 0, 0);
        self.classes.push(ClassStats {
            name,
            offered,
            answered,
            refused,
            failed,
            abandoned,
            cut,
            setup_times,
        });
        self.classes.len() - 1
    }

    fn observe(
        &mut self,
        entry: &TimelineEntry,
        open_calls: &mut OpenCalls,
        class_indices: &mut BTreeMap<usize, Vec<usize>>,
    ) {
        let (at_us, softswitch) = (entry.at_us, entry.softswitch);
        let event = match &entry.content {
            EntryContent::Event(event) => {
                self.record_count += 1;
                self.time_range_us = (self.time_range_us.0.min(at_us), self.time_range_us.1.max(at_us));
                event
            }
            EntryContent::Context(event) => event,
            EntryContent::Gap(_) | EntryContent::RunEnded { .. } => return,
        };
        if let Event::Classes(names) = event {
            let indices = names.iter().map(|name| self.index_of_class(name)).collect();
            class_indices.insert(softswitch, indices);
            return;
        }
        self.series.observe(at_us, softswitch, event);
        let call_key = event.call().map(|call| (softswitch, call.0));
        match (event, call_key) {
            (Event::SetUp { class, transit_from, .. }, Some(call_key)) => {
                let class_index = class_indices
                    .get(&softswitch)
                    .and_then(|indices| indices.get(usize::from(*class)).copied());
                let class_index = class_index.unwrap_or_else(|| self.index_of_class("unknown"));
                let is_origin = transit_from.is_none();
                open_calls.open.insert(call_key, (class_index, is_origin));
                self.classes[class_index].offered += u64::from(is_origin);
                self.series.count_call(at_us, class_index, is_origin, |bucket| &mut bucket.offered);
            }
            (Event::Attempt { .. }, _) => self.attempts += 1,
            (Event::AttemptEnded { outcome, reason: attempt_reason, .. }, _) => {
                *self.attempt_ends.entry((*outcome, reason_text(*attempt_reason))).or_default() += 1;
            }
            (Event::Answered { elapsed_us, .. }, Some(call_key)) => {
                if let Some((class_index, is_origin)) = open_calls.open.remove(&call_key) {
                    open_calls.established.insert(call_key, (class_index, is_origin));
                    let class = &mut self.classes[class_index];
                    if is_origin {
                        class.answered += 1;
                        class.setup_times.saturating_record((*elapsed_us).max(1));
                    }
                    self.series.count_call(at_us, class_index, is_origin, |bucket| &mut bucket.answered);
                }
            }
            (Event::Refused { reason, .. }, Some(call_key)) => {
                *self.refusals.entry(refusal_text(*reason)).or_default() += 1;
                if let Some((class_index, is_origin)) = open_calls.open.remove(&call_key) {
                    self.classes[class_index].refused += u64::from(is_origin);
                    self.series.count_call(at_us, class_index, is_origin, |bucket| &mut bucket.refused);
                }
            }
            (Event::Failed { reason, .. }, Some(call_key)) => {
                *self.refusals.entry(failure_text(*reason)).or_default() += 1;
                if let Some((class_index, is_origin)) = open_calls.open.remove(&call_key) {
                    self.classes[class_index].failed += u64::from(is_origin);
                    self.series.count_call(at_us, class_index, is_origin, |bucket| &mut bucket.failed);
                }
            }
            (Event::Abandoned { .. }, Some(call_key)) => {
                if let Some((class_index, is_origin)) = open_calls.open.remove(&call_key) {
                    self.classes[class_index].abandoned += u64::from(is_origin);
                    self.series.count_call(at_us, class_index, is_origin, |bucket| &mut bucket.failed);
                }
            }
            (Event::Released { cut, .. }, Some(call_key)) => {
                if let Some((class_index, is_origin)) = open_calls.established.remove(&call_key) {
                    self.classes[class_index].cut += u64::from(is_origin && *cut);
                }
            }
            // Calls of the process that ran before have no further events.
            (Event::Started { .. }, _) => {
                open_calls.open.retain(|(index, _), _| *index != softswitch);
                open_calls.established.retain(|(index, _), _| *index != softswitch);
            }
            _ => {}
        }
    }

    /// The timeline as JSON lines with the fields `at_us` (corrected), `softswitch` and `exchange` where there is one,
    /// `kind` and `detail`.
    pub fn events_jsonl(&self) -> String {
        let quoted = |text: &str| JsonValue::String(text.to_owned()).stringify().unwrap_or_default();
        let mut text = String::new();
        for event in &self.analysis.events {
            let _ = write!(text, "{{\"at_us\":{}", event.at_us);
            if let Some(name) = event.softswitch.and_then(|index| self.softswitches.get(index)) {
                let _ = write!(text, ",\"softswitch\":{}", quoted(name));
            }
            let _ = write!(text, ",\"kind\":\"{}\"", event.kind);
            if let Some(exchange) = event.exchange {
                let _ = write!(text, ",\"exchange\":{exchange}");
            }
            let _ = writeln!(text, ",\"detail\":{}}}", quoted(&event.detail));
        }
        text
    }
}
