//! The checker: judges a trial by what callers, exchanges and the resolver saw, never by the softswitch's word.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::{CallId, CallerMessage, ConnId, Journal, Node, Observation};

/// Every time limit is this much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// A set-up that arrived this long after SIGTERM, or later, must have its outcome before SIGKILL.
const TAKEN_BEFORE_KILL: Duration = Duration::from_millis(700);
/// Beyond this time after a set-up's deadline an outcome does not count.
const LATE_LIMIT: Duration = Duration::from_millis(500);

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A set-up has no outcome, or a late one, or one that cannot be read.
    Lost,
    /// A set-up has a second outcome, or one that no exchange made for it.
    Spurious,
    /// A call has two open attempts, or ran twice.
    Duplicate,
    /// A process ended without success, or was not ready in time.
    Crash,
}

/// A broken rule with what shows it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// A set-up as its caller saw it.
#[derive(Debug)]
struct SetUp {
    softswitch: Node,
    at: Instant,
    left: Duration,
    excused: bool,
    outcome: Option<(Instant, CallerMessage)>,
    attempts: Vec<(Instant, Node, ConnId, Duration)>,
    answers: Vec<(Node, String)>,
    open_attempts: HashMap<ConnId, Node>,
}

/// A process from its start to its end.
#[derive(Debug, Default)]
struct Process {
    terminated: Option<Instant>,
    killed: Option<(Instant, bool)>,
}

struct Checker {
    start: Instant,
    end: Instant,
    setups: HashMap<CallId, SetUp>,
    processes: HashMap<Node, Vec<(Instant, Process)>>,
    violations: Vec<Violation>,
}

/// Checks a trial that has ended.
pub fn check(journal: &Journal) -> Vec<Violation> {
    let entries = journal.entries();
    let Some((start, _)) = entries.first() else { return Vec::new() };
    let mut checker = Checker {
        start: *start,
        end: Instant::now(),
        setups: HashMap::new(),
        processes: HashMap::new(),
        violations: Vec::new(),
    };
    for (at, observation) in &entries {
        checker.replay(*at, observation);
    }
    checker.check_outcomes();
    checker.violations
}

impl Checker {
    fn violation(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation { rule, detail });
    }

    fn seconds(&self, at: Instant) -> String {
        format!("{:.3}", at.saturating_duration_since(self.start).as_secs_f64())
    }

    fn replay(&mut self, at: Instant, observation: &Observation) {
        match observation {
            Observation::SetUp { softswitch, call, left, .. } => {
                let setup = SetUp {
                    softswitch: *softswitch,
                    at,
                    left: *left,
                    excused: false,
                    outcome: None,
                    attempts: Vec::new(),
                    answers: Vec::new(),
                    open_attempts: HashMap::new(),
                };
                self.setups.insert(*call, setup);
            }
            Observation::GivenUp { call } => self.excuse(*call),
            // What SIGKILL found unanswered at the end of a shutdown, or what was read, did not cross a close.
            Observation::Crossed { call }
                if !self.was_killed_after_stop(*call) && !self.was_attempted(*call) =>
            {
                self.excuse(*call)
            }
            Observation::ToCaller { call, message, .. } => self.message_received(at, *call, message),
            Observation::Attempt { exchange, conn, call, left } => {
                self.attempt(at, *exchange, *conn, *call, *left);
            }
            Observation::Answered { exchange, call, description } => {
                if let Some(setup) = self.setups.get_mut(call) {
                    setup.answers.push((*exchange, description.clone()));
                    setup.open_attempts.retain(|_, node| node != exchange);
                }
            }
            Observation::Ended { exchange, call, .. }
            | Observation::ReleasedAtExchange { exchange, call } => {
                if let Some(setup) = self.setups.get_mut(call) {
                    setup.open_attempts.retain(|_, node| node != exchange);
                }
            }
            Observation::ExchangeConnEnded { conn, .. } => {
                self.setups.values_mut().for_each(|setup| {
                    setup.open_attempts.remove(conn);
                });
            }
            Observation::Started { softswitch } => {
                self.processes.entry(*softswitch).or_default().push((at, Process::default()));
            }
            Observation::Terminated { softswitch } => {
                if let Some(process) = self.process(*softswitch) {
                    process.terminated = Some(at);
                }
            }
            Observation::Killed { softswitch, planned } => {
                if let Some(process) = self.process(*softswitch) {
                    process.killed = Some((at, *planned));
                }
            }
            Observation::Exited { softswitch, success } => {
                let terminated =
                    self.process(*softswitch).is_some_and(|process| process.terminated.is_some());
                if !success || !terminated {
                    let detail = format!("softswitch {softswitch} ended at {} by itself", self.seconds(at));
                    self.violation(Rule::Crash, detail);
                }
            }
            _ => {}
        }
    }

    fn excuse(&mut self, call: CallId) {
        if let Some(setup) = self.setups.get_mut(&call) {
            setup.excused = true;
        }
    }

    fn was_attempted(&self, call: CallId) -> bool {
        self.setups.get(&call).is_some_and(|setup| !setup.attempts.is_empty())
    }

    fn was_killed_after_stop(&mut self, call: CallId) -> bool {
        let softswitch = self.setups.get(&call).map(|setup| setup.softswitch);
        let process = softswitch.and_then(|softswitch| self.process(softswitch));
        process.is_some_and(|process| matches!(process.killed, Some((_, true))))
    }

    fn process(&mut self, softswitch: Node) -> Option<&mut Process> {
        self.processes.get_mut(&softswitch)?.last_mut().map(|(_, process)| process)
    }

    fn attempt(&mut self, at: Instant, exchange: Node, conn: ConnId, call: CallId, left: Duration) {
        let time = self.seconds(at);
        let Some(setup) = self.setups.get_mut(&call) else { return };
        setup.attempts.push((at, exchange, conn, left));
        setup.open_attempts.insert(conn, exchange);
        if setup.open_attempts.len() > 1 {
            let detail = format!("call {call:x} is open at {:?} at {time}", setup.open_attempts);
            self.violation(Rule::Duplicate, detail);
        }
    }

    fn message_received(&mut self, at: Instant, call: CallId, message: &CallerMessage) {
        let time = self.seconds(at);
        let Some(setup) = self.setups.get_mut(&call) else {
            if let CallerMessage::Invalid(text) = message {
                self.violation(Rule::Lost, format!("unreadable message at {time}: {text}"));
            }
            return;
        };
        let previous = setup.outcome.as_ref().map(|(_, previous)| previous.clone());
        let wrong = match (&previous, message) {
            (None, CallerMessage::Answer(description)) => {
                !setup.answers.iter().any(|(_, made)| made == description)
            }
            (None, CallerMessage::Release(16)) => true,
            // The end of a call that stood.
            (Some(CallerMessage::Answer(_)), CallerMessage::Release(_)) | (None, _) => false,
            _ => true,
        };
        if previous.is_none() {
            setup.outcome = Some((at, message.clone()));
        }
        if wrong && !setup.excused {
            let detail = format!("call {call:x} got {message:?} after {previous:?} at {time}");
            self.violation(Rule::Spurious, detail);
        }
    }

    fn check_outcomes(&mut self) {
        let mut lost = Vec::new();
        for (call, setup) in &self.setups {
            let deadline = setup.at + setup.left + SLACK + LATE_LIMIT;
            let in_time = setup.outcome.as_ref().is_some_and(|(at, _)| *at <= deadline);
            if in_time || setup.excused || (setup.outcome.is_none() && deadline > self.end) {
                continue;
            }
            if setup.outcome.is_none() && self.may_be_killed(setup) {
                continue;
            }
            let attempts: Vec<String> = setup
                .attempts
                .iter()
                .map(|(at, exchange, ..)| format!("exchange {exchange} at {}", self.seconds(*at)))
                .collect();
            lost.push(format!(
                "set-up {call:x} to softswitch {} at {} that waits {:?}: outcome {:?}, attempts {attempts:?}",
                setup.softswitch,
                self.seconds(setup.at),
                setup.left,
                setup.outcome.as_ref().map(|(at, message)| (self.seconds(*at), message)),
            ));
        }
        lost.sort();
        lost.into_iter().for_each(|detail| self.violation(Rule::Lost, detail));
    }

    /// Whether SIGKILL may have found a set-up without an outcome: an unplanned one any, a planned one only what arrived
    /// early enough after SIGTERM.
    fn may_be_killed(&self, setup: &SetUp) -> bool {
        let Some(processes) = self.processes.get(&setup.softswitch) else { return false };
        let Some((_, process)) = processes.iter().rev().find(|(started, _)| *started <= setup.at) else {
            return false;
        };
        match (process.killed, process.terminated) {
            (Some((at, _)), _) if at <= setup.at => false,
            (Some((_, false)), _) => true,
            (Some((_, true)), Some(terminated)) => setup.at <= terminated + TAKEN_BEFORE_KILL,
            _ => false,
        }
    }
}

/// Fails with all violations, one a line, at most this many.
pub fn assert_none(violations: &[Violation], context: &str) {
    const MAX_PRINTED: usize = 20;
    let lines: Vec<String> = violations.iter().take(MAX_PRINTED).map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{context}: {} violations\n{}", violations.len(), lines.join("\n"));
}
