//! Playback of record files: the console's model, fed with snapshots derived from recorded events.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlb_record::merge::{EntryContent, Merge, TimelineEntry};
use swiftlb_record::{Archive, ConnectionChange, Event, ListedReadiness};

use crate::model::{ExchangeState, Model, Snapshot};

/// Interval between the snapshots given to the model, in recorded time.
const SNAPSHOT_INTERVAL_US: u64 = 500_000;

/// A softswitch at the current position of the playback, as derived from its records.
#[derive(Clone, Debug, Default)]
struct RecordedSoftswitch {
    running: bool,
    started_us: u64,
    /// Only the fields that events set directly; [`Self::snapshot`] computes the others.
    snapshot: Snapshot,
    exchanges: BTreeMap<u32, ExchangeState>,
    last_heard_us: BTreeMap<u32, u64>,
    /// Uids of the calls that wait for an answer.
    waiting_calls: BTreeMap<u64, ()>,
    /// Established calls: uid of the call and number of its exchange.
    established_calls: BTreeMap<u64, u32>,
}

impl RecordedSoftswitch {
    fn exchange_mut(&mut self, number: u32) -> &mut ExchangeState {
        self.exchanges.entry(number).or_insert_with(|| ExchangeState {
            number,
            name: format!("s-{number}"),
            readiness: "ready".to_owned(),
            connection: "down".to_owned(),
            ..ExchangeState::default()
        })
    }

    fn apply(&mut self, at_us: u64, event: &Event) {
        if let Some(exchange) = event.exchange()
            && matches!(
                event,
                Event::Answered { .. }
                    | Event::Group { .. }
                    | Event::ExchangeConnection { change: ConnectionChange::Up, .. }
            )
        {
            self.last_heard_us.insert(exchange, at_us);
        }
        match event {
            Event::Started { home, .. } => {
                let (softswitch, home) = (std::mem::take(&mut self.snapshot.softswitch), *home);
                *self = Self { running: true, started_us: at_us, ..Self::default() };
                (self.snapshot.softswitch, self.snapshot.home) = (softswitch, home);
            }
            Event::Stopped => self.running = false,
            Event::Exchange { exchange, name, readiness, .. } => {
                let is_home = self.snapshot.home == Some(*exchange);
                let state = self.exchange_mut(*exchange);
                name.clone_into(&mut state.name);
                let readiness = match readiness {
                    ListedReadiness::Ready => "ready",
                    ListedReadiness::Draining => "draining",
                    ListedReadiness::Removed => "gone",
                };
                readiness.clone_into(&mut state.readiness);
                if is_home {
                    "own".clone_into(&mut state.connection);
                }
            }
            Event::ExchangeConnection { exchange, change } => {
                let connection = if *change == ConnectionChange::Up { "up" } else { "down" };
                connection.clone_into(&mut self.exchange_mut(*exchange).connection);
            }
            Event::Group { exchange, free, total } => {
                self.exchange_mut(*exchange).group = Some((*free, *total))
            }
            Event::Avoidance { exchange, avoided } => self.exchange_mut(*exchange).avoided = *avoided,
            Event::ExpectedDelay { exchange, expected_ms, open_attempts } => {
                let state = self.exchange_mut(*exchange);
                (state.expected_delay, state.open_attempts) =
                    (Duration::from_millis(u64::from(*expected_ms)), *open_attempts);
            }
            Event::Drain { on, .. } => self.snapshot.draining = *on,
            Event::Stopping => self.snapshot.draining = true,
            Event::SetUp { call, .. } => {
                self.waiting_calls.insert(call.0, ());
            }
            Event::Answered { call, exchange, .. } => {
                self.waiting_calls.remove(&call.0);
                self.established_calls.insert(call.0, *exchange);
                self.snapshot.totals.0 += 1;
            }
            Event::Refused { call, reason, .. } => {
                self.waiting_calls.remove(&call.0);
                self.snapshot.totals.1 += 1;
                *self.snapshot.refusals.entry(reason.label().to_owned()).or_default() += 1;
            }
            Event::Failed { call, .. } => {
                self.waiting_calls.remove(&call.0);
                self.snapshot.totals.2 += 1;
            }
            Event::Abandoned { call } => {
                self.waiting_calls.remove(&call.0);
            }
            Event::Released { call, .. } => {
                self.established_calls.remove(&call.0);
            }
            _ => {}
        }
    }

    fn snapshot(&self, now_us: u64) -> Snapshot {
        let mut exchanges: Vec<ExchangeState> =
            self.exchanges.values().filter(|exchange| exchange.readiness != "gone").cloned().collect();
        for exchange in &mut exchanges {
            let heard_us = self.last_heard_us.get(&exchange.number);
            exchange.since_heard =
                heard_us.map(|heard_us| Duration::from_micros(now_us.saturating_sub(*heard_us)));
            exchange.established_calls =
                self.established_calls.values().filter(|number| **number == exchange.number).count() as u32;
        }
        Snapshot {
            at_us: now_us,
            uptime: Duration::from_micros(now_us.saturating_sub(self.started_us)),
            waiting_calls: self.waiting_calls.len() as u32,
            established_calls: self.established_calls.len() as u32,
            exchanges,
            ..self.snapshot.clone()
        }
    }
}

/// Playback of an archive of records.
pub struct Replay {
    archive: Archive,
    timeline: Merge,
    /// Next entry of the timeline, not yet applied.
    next: Option<TimelineEntry>,
    softswitches: Vec<RecordedSoftswitch>,
    model: Model,
    begin_us: u64,
    now_us: u64,
    last_snapshot_us: u64,
}

impl Replay {
    /// Starts a playback at the first record.
    pub fn new(archive: Archive) -> Self {
        let mut timeline = Merge::open(&archive, (0, u64::MAX));
        let names = timeline.softswitches().to_vec();
        let softswitches = names.iter().map(|name| RecordedSoftswitch {
            snapshot: Snapshot { softswitch: name.clone(), ..Snapshot::default() },
            ..RecordedSoftswitch::default()
        });
        let softswitches = softswitches.collect();
        let next = timeline.next();
        let begin_us = next.as_ref().map_or(0, |entry| entry.at_us);
        let model = Model::new(names);
        Self { archive, timeline, next, softswitches, model, begin_us, now_us: begin_us, last_snapshot_us: 0 }
    }

    /// The model at the current position.
    pub fn model(&mut self) -> &mut Model {
        &mut self.model
    }

    /// Current position: Unix time in microseconds, and time since the first record.
    pub fn position(&self) -> (u64, Duration) {
        (self.now_us, Duration::from_micros(self.now_us - self.begin_us))
    }

    /// Whether all records have been played.
    pub fn is_finished(&self) -> bool {
        self.next.is_none()
    }

    /// Advances the playback by this much recorded time, at most to the last record.
    pub fn advance(&mut self, by: Duration) {
        let until_us = self.now_us.saturating_add(by.as_micros() as u64);
        while let Some(entry) = self.next.take_if(|entry| entry.at_us <= until_us) {
            self.now_us = self.now_us.max(entry.at_us);
            let state = &mut self.softswitches[entry.softswitch];
            match &entry.content {
                EntryContent::Event(event) | EntryContent::Context(event) => state.apply(entry.at_us, event),
                EntryContent::RunEnded { .. } => state.running = false,
                EntryContent::Gap(_) => {}
            }
            self.next = self.timeline.next();
            if self.now_us >= self.last_snapshot_us + SNAPSHOT_INTERVAL_US {
                self.update_model();
            }
        }
        if !self.is_finished() {
            self.now_us = until_us;
        }
        self.update_model();
    }

    /// Passes a snapshot of each running softswitch to the model.
    fn update_model(&mut self) {
        self.last_snapshot_us = self.now_us;
        let now = Duration::from_micros(self.now_us - self.begin_us);
        for (i, state) in self.softswitches.iter().enumerate().filter(|(_, state)| state.running) {
            self.model.update(i, now, Ok(state.snapshot(self.now_us)));
        }
        self.model.now = now;
    }

    /// Moves to a time since the first record. To move back, the records are played again from the first one into a new
    /// model, which keeps only the sort order and the filter.
    pub fn seek(&mut self, to: Duration) {
        let (_, now) = self.position();
        if to < now {
            let (sort_order, filter) = (self.model.sort_order, std::mem::take(&mut self.model.filter));
            let archive = std::mem::take(&mut self.archive);
            *self = Self::new(archive);
            (self.model.sort_order, self.model.filter) = (sort_order, filter);
        }
        self.advance(to.saturating_sub(self.position().1));
    }
}
