//! Playing records back: the same model, fed from what was recorded.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlb_record::merge::{EntryContent, Merge, TimelineEntry};
use swiftlb_record::{Archive, ConnectionChange, Event, ListedReadiness};

use crate::model::{Model, Seen, Snapshot};

/// Snapshots are taken this often in the time that is played.
const EVERY_US: u64 = 500_000;

/// One softswitch as its records leave it.
#[derive(Clone, Debug, Default)]
struct State {
    runs: bool,
    started_us: u64,
    snapshot: Snapshot,
    exchanges: BTreeMap<u32, Seen>,
    heard_us: BTreeMap<u32, u64>,
    /// Open calls, and where those stand that do.
    waiting: BTreeMap<u64, ()>,
    standing: BTreeMap<u64, u32>,
}

impl State {
    fn seen(&mut self, exchange: u32) -> &mut Seen {
        self.exchanges.entry(exchange).or_insert_with(|| Seen {
            exchange,
            name: format!("s-{exchange}"),
            listing: "ready".to_owned(),
            way: "down".to_owned(),
            ..Seen::default()
        })
    }

    fn see(&mut self, at: u64, event: &Event) {
        if let Some(exchange) = event.exchange()
            && matches!(
                event,
                Event::Answered { .. }
                    | Event::Group { .. }
                    | Event::ExchangeConnection { change: ConnectionChange::Up, .. }
            )
        {
            self.heard_us.insert(exchange, at);
        }
        match event {
            Event::Started { home, .. } => {
                let (softswitch, home) = (std::mem::take(&mut self.snapshot.softswitch), *home);
                *self = Self { runs: true, started_us: at, ..Self::default() };
                (self.snapshot.softswitch, self.snapshot.home) = (softswitch, home);
            }
            Event::Stopped => self.runs = false,
            Event::Exchange { exchange, name, readiness, .. } => {
                let own = self.snapshot.home == Some(*exchange);
                let seen = self.seen(*exchange);
                name.clone_into(&mut seen.name);
                let word = match readiness {
                    ListedReadiness::Ready => "ready",
                    ListedReadiness::Draining => "draining",
                    ListedReadiness::Removed => "gone",
                };
                word.clone_into(&mut seen.listing);
                if own {
                    "own".clone_into(&mut seen.way);
                }
            }
            Event::ExchangeConnection { exchange, change } => {
                let word = if *change == ConnectionChange::Up { "up" } else { "down" };
                word.clone_into(&mut self.seen(*exchange).way);
            }
            Event::Group { exchange, free, total } => self.seen(*exchange).group = Some((*free, *total)),
            Event::Avoidance { exchange, avoided } => self.seen(*exchange).avoided = *avoided,
            Event::ExpectedDelay { exchange, expected_ms, open_attempts } => {
                let seen = self.seen(*exchange);
                (seen.expected, seen.out) = (Duration::from_millis(u64::from(*expected_ms)), *open_attempts);
            }
            Event::Drain { on, .. } => self.snapshot.draining = *on,
            Event::Stopping => self.snapshot.draining = true,
            Event::SetUp { call, .. } => {
                self.waiting.insert(call.0, ());
            }
            Event::Answered { call, exchange, .. } => {
                self.waiting.remove(&call.0);
                self.standing.insert(call.0, *exchange);
                self.snapshot.ended.0 += 1;
            }
            Event::Refused { call, reason, .. } => {
                self.waiting.remove(&call.0);
                self.snapshot.ended.1 += 1;
                *self.snapshot.refusals.entry(reason.label().to_owned()).or_default() += 1;
            }
            Event::Failed { call, .. } => {
                self.waiting.remove(&call.0);
                self.snapshot.ended.2 += 1;
            }
            Event::Abandoned { call } => {
                self.waiting.remove(&call.0);
            }
            Event::Released { call, .. } => {
                self.standing.remove(&call.0);
            }
            _ => {}
        }
    }

    fn snapshot(&self, at: u64) -> Snapshot {
        let mut exchanges: Vec<Seen> =
            self.exchanges.values().filter(|seen| seen.listing != "gone").cloned().collect();
        for seen in &mut exchanges {
            let heard = self.heard_us.get(&seen.exchange);
            seen.heard = heard.map(|heard| Duration::from_micros(at.saturating_sub(*heard)));
            seen.standing =
                self.standing.values().filter(|exchange| **exchange == seen.exchange).count() as u32;
        }
        Snapshot {
            at_us: at,
            up: Duration::from_micros(at.saturating_sub(self.started_us)),
            waiting: self.waiting.len() as u32,
            standing: self.standing.len() as u32,
            exchanges,
            ..self.snapshot.clone()
        }
    }
}

/// Records that are played back.
pub struct Replay {
    archive: Archive,
    merge: Merge,
    next: Option<TimelineEntry>,
    states: Vec<State>,
    model: Model,
    begin_us: u64,
    at_us: u64,
    taken_us: u64,
}

impl Replay {
    /// Begins at the first record.
    pub fn new(archive: Archive) -> Self {
        let mut merge = Merge::open(&archive, (0, u64::MAX));
        let names = merge.softswitches().to_vec();
        let states = names.iter().map(|name| State {
            snapshot: Snapshot { softswitch: name.clone(), ..Snapshot::default() },
            ..State::default()
        });
        let states = states.collect();
        let next = merge.next();
        let begin_us = next.as_ref().map_or(0, |told| told.at_us);
        let model = Model::new(names);
        Self { archive, merge, next, states, model, begin_us, at_us: begin_us, taken_us: 0 }
    }

    /// What is shown now.
    pub fn model(&mut self) -> &mut Model {
        &mut self.model
    }

    /// The time that is shown, in Unix microseconds, and that since the beginning.
    pub fn at(&self) -> (u64, Duration) {
        (self.at_us, Duration::from_micros(self.at_us - self.begin_us))
    }

    /// Whether all is played.
    pub fn is_over(&self) -> bool {
        self.next.is_none()
    }

    /// Plays on for so much of the recorded time.
    pub fn forward(&mut self, by: Duration) {
        let until = self.at_us.saturating_add(by.as_micros() as u64);
        while let Some(told) = self.next.take_if(|told| told.at_us <= until) {
            self.at_us = self.at_us.max(told.at_us);
            let state = &mut self.states[told.softswitch];
            match &told.content {
                EntryContent::Event(event) | EntryContent::Context(event) => state.see(told.at_us, event),
                EntryContent::RunEnded { .. } => state.runs = false,
                EntryContent::Gap(_) => {}
            }
            self.next = self.merge.next();
            if self.at_us >= self.taken_us + EVERY_US {
                self.take();
            }
        }
        if !self.is_over() {
            self.at_us = until;
        }
        self.take();
    }

    fn take(&mut self) {
        self.taken_us = self.at_us;
        let now = Duration::from_micros(self.at_us - self.begin_us);
        for (i, state) in self.states.iter().enumerate().filter(|(_, state)| state.runs) {
            self.model.take(i, now, Ok(state.snapshot(self.at_us)));
        }
        self.model.now = now;
    }

    /// Goes to a time since the beginning; back means from the beginning on.
    pub fn seek(&mut self, to: Duration) {
        let (_, now) = self.at();
        if to < now {
            let (order, filter) = (self.model.order, std::mem::take(&mut self.model.filter));
            let archive = std::mem::take(&mut self.archive);
            *self = Self::new(archive);
            (self.model.order, self.model.filter) = (order, filter);
        }
        self.forward(to.saturating_sub(self.at().1));
    }
}
