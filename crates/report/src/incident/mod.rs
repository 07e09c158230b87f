//! Incidents told from records alone: when a node died, stalled, slowed down or came back cold, when the list lagged
//! behind what was seen, which softswitch ended without a word, and what each of these cost.
//!
//! [`Detector`] is handed the merged story in order and keeps a state machine for each node (`node.rs`), one for the
//! list (`list.rs`) and a ledger of open calls (`cost.rs`). No I/O, and memory that grows with nodes and open calls.

mod affected_calls;
pub mod episode;
mod list;
mod node;
mod refusals;

use std::collections::BTreeMap;

use swiftlb_record::merge::{EntryContent, TimelineEntry};
use swiftlb_record::{DrainSource, Event};

use affected_calls::Ledger;
use episode::Episode;
use list::ListWatch;
use node::NodeWatch;
use refusals::{Fared, ServiceWatch};

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IncidentKind {
    /// The process of a node was gone: its ways broke and new ones were refused.
    NodeDied,
    /// It took set-ups and answered none.
    NodeStalled,
    /// It answered far slower than it used to.
    NodeSlow,
    /// Another process took its place.
    NodeReplaced,
    /// The list told of a change long after it could be seen.
    ListLag,
    /// A softswitch's records end without its having stopped.
    SoftswitchCrashed,
    /// Calls to a node found no circuit free.
    NoFreeCircuits,
    /// Calls to a node were shed though it had no trouble of its own.
    CallsShed,
}

impl IncidentKind {
    /// Its word in timelines.
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

    /// The word for its end.
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

/// What an incident cost: calls that were lost because of it, each counted once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AffectedCalls {
    /// Stood and were cut.
    pub cut: u64,
    /// Refused or failed after an attempt there.
    pub lost: u64,
    /// Given up by their callers while an attempt was out there.
    pub abandoned: u64,
    /// Stood in the end, after an attempt there had come to nothing.
    pub delayed: u64,
}

/// One incident.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// What.
    pub kind: IncidentKind,
    /// The node, if it is one's.
    pub exchange: Option<u32>,
    /// The softswitch, if it is one's.
    pub softswitch: Option<usize>,
    /// When it began, as far as the evidence goes back; corrected Unix microseconds.
    pub begin_us: u64,
    /// When it was over; `None` if the records end before.
    pub end_us: Option<u64>,
    /// What it was told from.
    pub evidence: String,
    /// How often it came back before it was over: a node that flaps is one incident.
    pub flaps: u32,
    /// What it cost.
    pub affected_calls: AffectedCalls,
    /// Place of the incident that it came of, among all by beginning.
    pub triggered_by: Option<usize>,
}

/// A line of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportEvent {
    /// Corrected Unix microseconds.
    pub at_us: u64,
    /// The softswitch that it was told by or is about.
    pub softswitch: Option<usize>,
    /// One word.
    pub kind: &'static str,
    /// The exchange, if it is about one.
    pub exchange: Option<u32>,
    /// In words.
    pub detail: String,
}

/// What was told of a whole story.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Analysis {
    /// The incidents, by their beginnings.
    pub incidents: Vec<Incident>,
    /// Which of them belong together.
    pub episodes: Vec<Episode>,
    /// All that is worth a line, in order.
    pub events: Vec<ReportEvent>,
}

/// Tells incidents from a merged story.
#[derive(Debug)]
pub struct Detector {
    homes: Vec<Option<u32>>,
    nodes: BTreeMap<u32, NodeWatch>,
    list: ListWatch,
    service: ServiceWatch,
    ledger: Ledger,
    events: Vec<ReportEvent>,
    incidents: Vec<Incident>,
    /// Softswitches whose records have ended without a word, and when.
    ended: BTreeMap<usize, u64>,
    running: Vec<bool>,
    ticked_us: u64,
    settled_us: u64,
    last_us: u64,
}

/// Time between two charges of what was lost.
const SETTLE_US: u64 = 10_000_000;
/// Time between two looks at what has not happened.
const TICK_US: u64 = 100_000;
/// A softswitch whose records end is taken to have crashed once others have gone on for so long.
const SILENT_US: u64 = 3_000_000;

impl Detector {
    /// For softswitches whose own exchanges have these numbers.
    pub fn new(homes: &[Option<u32>]) -> Self {
        Self {
            homes: homes.to_vec(),
            nodes: BTreeMap::new(),
            list: ListWatch::default(),
            service: ServiceWatch::default(),
            ledger: Ledger::new(homes),
            events: Vec::new(),
            incidents: Vec::new(),
            ended: BTreeMap::new(),
            running: vec![false; homes.len()],
            ticked_us: 0,
            settled_us: 0,
            last_us: 0,
        }
    }

    /// Takes the next of the story.
    pub fn observe(&mut self, told: &TimelineEntry) {
        self.last_us = self.last_us.max(told.at_us);
        if self.last_us >= self.ticked_us + TICK_US {
            self.ticked_us = self.last_us;
            self.tick();
        }
        let (at, who) = (told.at_us, told.softswitch);
        match &told.content {
            EntryContent::Context(_) => {}
            EntryContent::Gap(gap) => {
                let lost =
                    gap.lost_records.map_or("an unknown number of".to_owned(), |records| records.to_string());
                let detail = format!("{lost} records are missing: {} bytes are {:?}", gap.bytes, gap.damage);
                self.line(at, Some(who), "gap", None, detail.to_lowercase());
            }
            EntryContent::RunEnded { clean: true } => self.running[who] = false,
            EntryContent::RunEnded { clean: false } => {
                self.running[who] = false;
                self.ended.insert(who, at);
            }
            EntryContent::Event(event) => self.see_event(at, who, event),
        }
    }

    fn line(
        &mut self,
        at_us: u64,
        who: Option<usize>,
        kind: &'static str,
        exchange: Option<u32>,
        detail: String,
    ) {
        self.events.push(ReportEvent { at_us, softswitch: who, kind, exchange, detail });
    }

    fn node(&mut self, exchange: u32) -> &mut NodeWatch {
        self.nodes.entry(exchange).or_insert_with(|| NodeWatch::new(exchange))
    }

    fn see_event(&mut self, at: u64, who: usize, event: &Event) {
        let spent = self.ledger.see(at, who, event);
        match event {
            Event::Started { version, is_replacement, .. } => {
                self.running[who] = true;
                if let Some(since) = self.ended.remove(&who) {
                    self.crashed(who, since, Some(at));
                }
                let how = if *is_replacement { "in the place of a running process" } else { "from nothing" };
                self.line(at, Some(who), "softswitch-started", None, format!("version {version}, {how}"));
            }
            Event::Stopping => {
                self.line(at, Some(who), "softswitch-stopping", None, "told to stop".to_owned())
            }
            Event::Stopped => {
                self.line(at, Some(who), "softswitch-stopped", None, "ended in good order".to_owned())
            }
            Event::Drain { on, by } => {
                let by = if *by == DrainSource::Operator { "an operator" } else { "the platform" };
                let kind = if *on { "drain-begins" } else { "drain-ends" };
                self.line(at, Some(who), kind, None, format!("ordered by {by}"));
            }
            Event::RecordsLost { records } => {
                self.line(
                    at,
                    Some(who),
                    "records-lost",
                    None,
                    format!("{records} records came too fast to be kept"),
                );
            }
            Event::Avoidance { exchange, avoided } => {
                let kind = if *avoided { "avoided" } else { "used-again" };
                let home = self.homes[who]
                    .map_or(String::new(), |home| format!(" by the softswitch of node {home}"));
                self.line(at, Some(who), kind, Some(*exchange), format!("node {exchange} is {kind}{home}"));
            }
            Event::Exchange { exchange, name, readiness, started_us, .. } => {
                let (exchange, readiness) = (*exchange, *readiness);
                let evidence = self.node(exchange).last_death();
                if let Some(line) = self.list.told(at, (exchange, name), readiness, *started_us, evidence) {
                    self.line(at, Some(who), line.0, Some(exchange), line.1);
                }
                self.node(exchange).listed(at, name, readiness, *started_us);
            }
            Event::ExchangeConnection { exchange, change } => {
                let observers = self.running.iter().filter(|runs| **runs).count();
                self.node(*exchange).way(at, who, *change, observers);
            }
            Event::Attempt { exchange, .. } => {
                self.node(*exchange).sent(at, spent.key);
            }
            Event::AttemptEnded { exchange, outcome, .. } => {
                self.node(*exchange).ended(at, spent.key, *outcome);
            }
            Event::Answered { exchange, .. } => {
                if let Some(dest) = spent.dest {
                    self.service.fared(at, dest, Fared::Served);
                }
                self.node(*exchange).answered(at, spent.key, spent.direct);
            }
            Event::Released { exchange: Some(exchange), cut: true, .. } => {
                self.node(*exchange).forget(spent.key);
            }
            Event::Refused { .. } | Event::Failed { .. } | Event::Abandoned { .. } => {
                if let Some(dest) = spent.dest {
                    let how = match event {
                        Event::Refused { reason, .. } => Fared::refused(*reason),
                        _ => Fared::Other,
                    };
                    self.service.fared(at, dest, how);
                }
                if let Some(exchange) = spent.out_at {
                    self.node(exchange).forget(spent.key);
                }
            }
            _ => {}
        }
    }

    /// Looks at what has not happened.
    fn tick(&mut self) {
        let now = self.last_us;
        for node in self.nodes.values_mut() {
            node.tick(now);
        }
        let dead: Vec<(u32, u64)> =
            self.nodes.iter().filter_map(|(exchange, node)| Some((*exchange, node.dead_since()?))).collect();
        self.list.compare(now, &dead);
        let nodes = &self.nodes;
        // A dead, stalled, slow or cold node turns calls away for that reason.
        self.service.tick(now, |dest| nodes.get(&dest).is_some_and(|node| node.explains(now)));
        let silent: Vec<(usize, u64)> =
            self.ended.iter().filter(|(_, at)| **at + SILENT_US < now).map(|(who, at)| (*who, *at)).collect();
        for (who, since) in silent {
            self.ended.remove(&who);
            self.crashed(who, since, None);
        }
        if now >= self.settled_us + SETTLE_US {
            self.settled_us = now;
            let known: Vec<&Incident> = self
                .nodes
                .values()
                .flat_map(NodeWatch::incidents)
                .chain(self.service.incidents())
                .chain(&self.incidents)
                .collect();
            self.ledger.settle(now.saturating_sub(affected_calls::SETTLED_US), &known);
        }
    }

    /// A softswitch has ended without a word; once it is known to be back, that ends the same incident.
    fn crashed(&mut self, who: usize, since: u64, back: Option<u64>) {
        let evidence = "its records end without its having stopped".to_owned();
        self.incidents.push(Incident {
            kind: IncidentKind::SoftswitchCrashed,
            exchange: self.homes[who],
            softswitch: Some(who),
            begin_us: since,
            end_us: back,
            evidence,
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    /// The story is over.
    pub fn finish(mut self) -> Analysis {
        self.tick();
        let mut incidents = self.incidents;
        for node in self.nodes.into_values() {
            incidents.extend(node.finish());
        }
        incidents.extend(self.list.finish());
        incidents.extend(self.service.finish());
        // A softswitch that came back after it was given up for lost.
        for incident in
            incidents.iter_mut().filter(|i| i.kind == IncidentKind::SoftswitchCrashed && i.end_us.is_none())
        {
            let back = self.events.iter().find(|line| {
                line.kind == "softswitch-started"
                    && line.softswitch == incident.softswitch
                    && line.at_us > incident.begin_us
            });
            incident.end_us = back.map(|line| line.at_us);
        }
        self.ledger.charge(&mut incidents);
        incidents.sort_by_key(|incident| (incident.begin_us, incident.kind, incident.exchange));
        episode::link(&mut incidents);
        let episodes = episode::group(&incidents);
        let mut events = self.events;
        for incident in &incidents {
            let (softswitch, exchange) = (incident.softswitch, incident.exchange);
            let line = |at_us, kind, detail| ReportEvent { at_us, softswitch, kind, exchange, detail };
            events.push(line(incident.begin_us, incident.kind.label(), incident.evidence.clone()));
            if let Some(end) = incident.end_us {
                let lasted = end.saturating_sub(incident.begin_us) as f64 / 1e6;
                let flaps = if incident.flaps > 0 {
                    format!(", came back {} times", incident.flaps)
                } else {
                    String::new()
                };
                events.push(line(end, incident.kind.end_label(), format!("after {lasted:.1} s{flaps}")));
            }
        }
        events.sort_by_key(|line| line.at_us);
        Analysis { incidents, episodes, events }
    }
}
