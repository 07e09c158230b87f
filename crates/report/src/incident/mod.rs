//! Detects incidents from records alone: when a node died, stalled, slowed down or came back cold, when the list of
//! exchanges lagged behind events, which softswitch crashed, where circuits ran out or calls were shed, and which calls
//! each incident affected.
//!
//! A node is an exchange with its host; it goes by the number of the exchange.
//!
//! [`Detector`] receives the merged timeline in order. It keeps a detector for each node (`node.rs`), one for the list
//! (`list.rs`), one for refused calls (`refusals.rs`) and the open calls (`affected_calls.rs`). It does no I/O. Its
//! memory grows with the number of nodes and open calls and with what it reports.

mod affected_calls;
pub mod episode;
mod list;
mod node;
mod refusals;

use std::collections::BTreeMap;

use swiftlb_record::merge::{EntryContent, TimelineEntry};
use swiftlb_record::{DrainSource, Event};

use affected_calls::CallTracker;
use episode::Episode;
use list::ListLagDetector;
use node::NodeDetector;
use refusals::{CallOutcome, RefusalDetector};

/// Kind of an incident. The kinds of a node are ordered by severity, the most severe first: only a more severe incident
/// replaces the current one of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IncidentKind {
    /// The process of the exchange was gone: connections to it broke and new ones were refused.
    NodeDied,
    /// The exchange accepted set-ups and sent no reply to any.
    NodeStalled,
    /// The exchange answered much more slowly than before.
    NodeSlow,
    /// Another process replaced the exchange.
    NodeReplaced,
    /// The list of exchanges showed a change long after it happened.
    ListLag,
    /// The records of a softswitch end without [`Event::Stopped`].
    SoftswitchCrashed,
    /// Calls to a node were refused because no circuit was free.
    NoFreeCircuits,
    /// Calls to a node were shed although it had no incident of its own.
    CallsShed,
}

impl IncidentKind {
    /// Label of its beginning in timelines, and of the kind in summaries.
    pub fn label(self) -> &'static str {
        match self {
            Self::NodeDied => "node-died",
            Self::NodeStalled => "node-stalled",
            Self::NodeSlow => "node-slow",
            Self::NodeReplaced => "node-replaced",
            Self::ListLag => "list-lag",
            Self::SoftswitchCrashed => "softswitch-crashed",
            Self::NoFreeCircuits => "circuits-ran-out",
            Self::CallsShed => "calls-shed",
        }
    }

    /// Label of its end in timelines.
    pub fn end_label(self) -> &'static str {
        match self {
            Self::NodeDied => "node-returned-cold",
            Self::NodeStalled => "node-answers-again",
            Self::NodeSlow => "node-as-fast-as-before",
            Self::NodeReplaced => "node-replacement-serves",
            Self::ListLag => "list-caught-up",
            Self::SoftswitchCrashed => "softswitch-back",
            Self::NoFreeCircuits => "circuits-free-again",
            Self::CallsShed => "calls-taken-again",
        }
    }
}

/// Calls that an incident affected, each counted once. For an incident of a node, calls that were cut, lost or
/// abandoned at its own softswitch count too, unless they are attributed to an incident of another exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffectedCalls {
    /// Established calls that were cut.
    pub cut: u64,
    /// Calls that were refused or failed, after an attempt there or because they were to go there and were not sent.
    pub lost: u64,
    /// Calls that their callers abandoned while an attempt there was open, or after one there had ended without an
    /// answer.
    pub abandoned: u64,
    /// Calls that were established after an attempt there had ended without an answer.
    pub delayed: u64,
}

/// An incident.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// Kind of the incident.
    pub kind: IncidentKind,
    /// Number of the node that it concerns, if any.
    pub exchange: Option<u32>,
    /// Index of the softswitch that it concerns, if any.
    pub softswitch: Option<usize>,
    /// When it began, as far back as the evidence shows, in corrected Unix microseconds.
    pub begin_us: u64,
    /// When it ended; `None` if the records end before that.
    pub end_us: Option<u64>,
    /// Evidence that it was detected from, as text for the report.
    pub evidence: String,
    /// How often it recurred shortly after it had ended: a node that flaps is one incident.
    pub flaps: u32,
    /// Calls that it affected.
    pub affected_calls: AffectedCalls,
    /// Index of the incident that triggered it, among all incidents in the order of their beginnings.
    pub triggered_by: Option<usize>,
}

/// An event of the report's timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportEvent {
    /// When it happened, in corrected Unix microseconds.
    pub at_us: u64,
    /// Index of the softswitch that recorded it or that it concerns.
    pub softswitch: Option<usize>,
    /// Label of its kind.
    pub kind: &'static str,
    /// Number of the exchange that it concerns, if any.
    pub exchange: Option<u32>,
    /// Readable description.
    pub detail: String,
}

/// Result of the analysis of a merged timeline.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Analysis {
    /// The incidents, in the order of their beginnings.
    pub incidents: Vec<Incident>,
    /// Groups of incidents that belong together.
    pub episodes: Vec<Episode>,
    /// Events for the report's timeline, in the order of time.
    pub events: Vec<ReportEvent>,
}

/// Detects incidents in a merged timeline.
#[derive(Debug)]
pub struct Detector {
    home_exchanges: Vec<Option<u32>>,
    nodes: BTreeMap<u32, NodeDetector>,
    list: ListLagDetector,
    refusals: RefusalDetector,
    call_tracker: CallTracker,
    events: Vec<ReportEvent>,
    incidents: Vec<Incident>,
    /// Softswitches whose records ended without [`Event::Stopped`], and when. An entry is removed when the softswitch
    /// starts again or its crash is confirmed.
    unclean_ends: BTreeMap<usize, u64>,
    /// For each softswitch, whether its process runs.
    running: Vec<bool>,
    last_tick_us: u64,
    last_attribution_us: u64,
    /// Time of the latest entry.
    latest_us: u64,
}

/// Interval at which affected calls are attributed to incidents.
const ATTRIBUTION_INTERVAL_US: u64 = 10_000_000;
/// Interval of the checks for what has not happened, such as a missing reply.
const TICK_INTERVAL_US: u64 = 100_000;
/// A softswitch counts as crashed when the records of others go on for this long after its own have ended.
const CRASH_CONFIRMATION_US: u64 = 3_000_000;

impl Detector {
    /// Creates a detector for softswitches with these home exchanges.
    pub fn new(home_exchanges: &[Option<u32>]) -> Self {
        Self {
            home_exchanges: home_exchanges.to_vec(),
            nodes: BTreeMap::new(),
            list: ListLagDetector::default(),
            refusals: RefusalDetector::default(),
            call_tracker: CallTracker::new(home_exchanges),
            events: Vec::new(),
            incidents: Vec::new(),
            unclean_ends: BTreeMap::new(),
            running: vec![false; home_exchanges.len()],
            last_tick_us: 0,
            last_attribution_us: 0,
            latest_us: 0,
        }
    }

    /// Processes the next entry of the merged timeline.
    pub fn observe(&mut self, entry: &TimelineEntry) {
        self.latest_us = self.latest_us.max(entry.at_us);
        if self.latest_us >= self.last_tick_us + TICK_INTERVAL_US {
            self.last_tick_us = self.latest_us;
            self.tick();
        }
        let (at_us, softswitch) = (entry.at_us, entry.softswitch);
        match &entry.content {
            EntryContent::Context(_) => {}
            EntryContent::Gap(gap) => {
                let lost =
                    gap.lost_records.map_or("an unknown number of".to_owned(), |records| records.to_string());
                let detail = format!("{lost} records are missing: {} bytes are {:?}", gap.bytes, gap.damage);
                self.push_event(at_us, Some(softswitch), "gap", None, detail.to_lowercase());
            }
            EntryContent::RunEnded { clean: true } => self.running[softswitch] = false,
            EntryContent::RunEnded { clean: false } => {
                self.running[softswitch] = false;
                self.unclean_ends.insert(softswitch, at_us);
            }
            EntryContent::Event(event) => self.observe_event(at_us, softswitch, event),
        }
    }

    fn push_event(
        &mut self,
        at_us: u64,
        source: Option<usize>,
        kind: &'static str,
        exchange: Option<u32>,
        detail: String,
    ) {
        self.events.push(ReportEvent { at_us, softswitch: source, kind, exchange, detail });
    }

    fn node_mut(&mut self, exchange: u32) -> &mut NodeDetector {
        self.nodes.entry(exchange).or_insert_with(|| NodeDetector::new(exchange))
    }

    fn observe_event(&mut self, at_us: u64, softswitch: usize, event: &Event) {
        let call_update = self.call_tracker.observe(at_us, softswitch, event);
        match event {
            Event::Started { version, is_replacement, .. } => {
                self.running[softswitch] = true;
                if let Some(ended_us) = self.unclean_ends.remove(&softswitch) {
                    self.add_crash(softswitch, ended_us, Some(at_us));
                }
                let how = if *is_replacement { "in the place of a running process" } else { "from nothing" };
                self.push_event(
                    at_us,
                    Some(softswitch),
                    "softswitch-started",
                    None,
                    format!("version {version}, {how}"),
                );
            }
            Event::Stopping => self.push_event(
                at_us,
                Some(softswitch),
                "softswitch-stopping",
                None,
                "told to stop".to_owned(),
            ),
            Event::Stopped => self.push_event(
                at_us,
                Some(softswitch),
                "softswitch-stopped",
                None,
                "ended in good order".to_owned(),
            ),
            Event::Drain { on, by } => {
                let by = if *by == DrainSource::Operator { "an operator" } else { "the platform" };
                let kind = if *on { "drain-begins" } else { "drain-ends" };
                self.push_event(at_us, Some(softswitch), kind, None, format!("ordered by {by}"));
            }
            Event::RecordsLost { records } => {
                self.push_event(
                    at_us,
                    Some(softswitch),
                    "records-lost",
                    None,
                    format!("{records} records came too fast to be kept"),
                );
            }
            Event::Avoidance { exchange, avoided } => {
                let kind = if *avoided { "avoided" } else { "used-again" };
                let home = self.home_exchanges[softswitch]
                    .map_or(String::new(), |home| format!(" by the softswitch of node {home}"));
                self.push_event(
                    at_us,
                    Some(softswitch),
                    kind,
                    Some(*exchange),
                    format!("node {exchange} is {kind}{home}"),
                );
            }
            Event::Exchange { exchange, name, readiness, started_us, .. } => {
                let (exchange, readiness) = (*exchange, *readiness);
                let died_us = self.node_mut(exchange).last_died_us();
                if let Some(list_event) =
                    self.list.entry_listed(at_us, (exchange, name), readiness, *started_us, died_us)
                {
                    self.push_event(at_us, Some(softswitch), list_event.0, Some(exchange), list_event.1);
                }
                self.node_mut(exchange).list_entry_changed(at_us, name, readiness, *started_us);
            }
            Event::ExchangeConnection { exchange, change } => {
                let running_softswitches = self.running.iter().filter(|runs| **runs).count();
                self.node_mut(*exchange).connection_changed(at_us, softswitch, *change, running_softswitches);
            }
            Event::Attempt { exchange, .. } => {
                self.node_mut(*exchange).attempt_sent(at_us, call_update.call_key);
            }
            Event::AttemptEnded { exchange, outcome, .. } => {
                self.node_mut(*exchange).attempt_ended(at_us, call_update.call_key, *outcome);
            }
            Event::Answered { exchange, .. } => {
                if let Some(dest) = call_update.dest {
                    self.refusals.call_ended(at_us, dest, CallOutcome::Served);
                }
                self.node_mut(*exchange).attempt_answered(at_us, call_update.call_key, call_update.direct);
            }
            Event::Released { exchange: Some(exchange), cut: true, .. } => {
                self.node_mut(*exchange).forget_attempt(call_update.call_key);
            }
            Event::Refused { .. } | Event::Failed { .. } | Event::Abandoned { .. } => {
                if let Some(dest) = call_update.dest {
                    let call_outcome = match event {
                        Event::Refused { reason, .. } => CallOutcome::of_refusal(*reason),
                        _ => CallOutcome::Other,
                    };
                    self.refusals.call_ended(at_us, dest, call_outcome);
                }
                if let Some(exchange) = call_update.attempt_at {
                    self.node_mut(exchange).forget_attempt(call_update.call_key);
                }
            }
            _ => {}
        }
    }

    /// Checks for what has not happened by now: replies, a change of the list, further records of a softswitch.
    fn tick(&mut self) {
        let now_us = self.latest_us;
        for node in self.nodes.values_mut() {
            node.tick(now_us);
        }
        let dead: Vec<(u32, u64)> = self
            .nodes
            .iter()
            .filter_map(|(exchange, node)| Some((*exchange, node.dead_since_us()?)))
            .collect();
        self.list.compare(now_us, &dead);
        let nodes = &self.nodes;
        // An incident of a node, or that it is cold, explains why calls to it are refused.
        self.refusals
            .tick(now_us, |dest| nodes.get(&dest).is_some_and(|node| node.explains_refused_calls(now_us)));
        let crashed: Vec<(usize, u64)> = self
            .unclean_ends
            .iter()
            .filter(|(_, at_us)| **at_us + CRASH_CONFIRMATION_US < now_us)
            .map(|(softswitch, at_us)| (*softswitch, *at_us))
            .collect();
        for (softswitch, ended_us) in crashed {
            self.unclean_ends.remove(&softswitch);
            self.add_crash(softswitch, ended_us, None);
        }
        if now_us >= self.last_attribution_us + ATTRIBUTION_INTERVAL_US {
            self.last_attribution_us = now_us;
            let incidents: Vec<&Incident> = self
                .nodes
                .values()
                .flat_map(NodeDetector::incidents)
                .chain(self.refusals.incidents())
                .chain(&self.incidents)
                .collect();
            self.call_tracker
                .attribute_until(now_us.saturating_sub(affected_calls::ATTRIBUTION_DELAY_US), &incidents);
        }
    }

    /// Adds the crash of a softswitch: when its records ended, and when it was back, if it is.
    fn add_crash(&mut self, softswitch: usize, ended_us: u64, back_us: Option<u64>) {
        let evidence = "its records end without its having stopped".to_owned();
        self.incidents.push(Incident {
            kind: IncidentKind::SoftswitchCrashed,
            exchange: self.home_exchanges[softswitch],
            softswitch: Some(softswitch),
            begin_us: ended_us,
            end_us: back_us,
            evidence,
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    /// Completes the analysis at the end of the timeline.
    pub fn finish(mut self) -> Analysis {
        self.tick();
        let mut incidents = self.incidents;
        for node in self.nodes.into_values() {
            incidents.extend(node.finish());
        }
        incidents.extend(self.list.finish());
        incidents.extend(self.refusals.finish());
        // The crash of a softswitch that started again only after the crash had been reported ends at that start.
        for incident in
            incidents.iter_mut().filter(|i| i.kind == IncidentKind::SoftswitchCrashed && i.end_us.is_none())
        {
            let restart = self.events.iter().find(|event| {
                event.kind == "softswitch-started"
                    && event.softswitch == incident.softswitch
                    && event.at_us > incident.begin_us
            });
            incident.end_us = restart.map(|event| event.at_us);
        }
        self.call_tracker.write_affected_calls(&mut incidents);
        incidents.sort_by_key(|incident| (incident.begin_us, incident.kind, incident.exchange));
        episode::find_triggers(&mut incidents);
        let episodes = episode::group_into_episodes(&incidents);
        let mut events = self.events;
        for incident in &incidents {
            let (softswitch, exchange) = (incident.softswitch, incident.exchange);
            let event = |at_us, kind, detail| ReportEvent { at_us, softswitch, kind, exchange, detail };
            events.push(event(incident.begin_us, incident.kind.label(), incident.evidence.clone()));
            if let Some(end) = incident.end_us {
                let lasted = end.saturating_sub(incident.begin_us) as f64 / 1e6;
                let flaps = if incident.flaps > 0 {
                    format!(", came back {} times", incident.flaps)
                } else {
                    String::new()
                };
                events.push(event(end, incident.kind.end_label(), format!("after {lasted:.1} s{flaps}")));
            }
        }
        events.sort_by_key(|event| event.at_us);
        Analysis { incidents, episodes, events }
    }
}
