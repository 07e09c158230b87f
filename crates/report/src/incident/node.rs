//! One node's state machine: what the softswitches together saw of it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use swiftlb_record::{AttemptOutcome, ConnectionChange, ListedReadiness};

use super::{AffectedCalls, Incident, IncidentKind};

/// A call at the softswitch that made the attempt.
pub(super) type Key = (usize, u64);

/// A node is dead once so many softswitches were refused (all of them where there are fewer), within this time.
const WITNESSES: usize = 2;
const TOGETHER_US: u64 = 3_000_000;
/// It is stalled once so many attempts are out there, the oldest for so long, and nothing has come since that went out.
const STALL_OUT: usize = 3;
const STALL_US: u64 = 1_500_000;
/// It is slow once the quicker answers of the last ones take so many times what such take usually, and so much longer,
/// for so long; and as fast as before once they take less than the lower multiple for as long. The quicker ones: queues
/// stretch the middle of a busy day by as much as a slow processor does, and softswitches that shed keep queues short.
const QUICKER: f64 = 0.1;
const SLOW_TIMES: f64 = 2.0;
const FAST_TIMES: f64 = 1.4;
const SLOW_MORE_US: f64 = 40_000.0;
const SLOW_FOR_US: u64 = 1_500_000;
/// Answers of this time count; fewer than so many say nothing.
const RECENT_US: u64 = 3_000_000;
const FEWEST: usize = 6;
/// What is usual is looked at this often, each look moves it by so much at least, and it counts after so many.
const LEARN_EVERY_US: u64 = 500_000;
const USUAL_PART: f64 = 0.02;
const LEARN: u32 = 6;
/// A processor that has just started is cold, and slow for that reason alone.
const COLD_US: u64 = 15_000_000;
/// What piled up during a stall is worked off within this time.
const BACKLOG_US: u64 = 8_000_000;
/// Trouble that comes back this soon after its end is the same incident.
const FLAP_US: u64 = 10_000_000;

/// What is known of a node.
#[derive(Debug)]
pub(super) struct NodeWatch {
    exchange: u32,
    /// For each softswitch, when its way was lost and when it was last refused; none while it is up.
    down: BTreeMap<usize, (u64, Option<u64>)>,
    /// Attempts out, and when they were sent.
    out: HashMap<Key, u64>,
    heard_us: u64,
    /// Direct answers of late: when, and how long they took.
    recent: VecDeque<(u64, f64)>,
    usual_us: f64,
    learnt: u32,
    usual_at: u64,
    slow_since: Option<u64>,
    fast_since: Option<u64>,
    started_us: Option<u64>,
    /// Until when a backlog explains slow answers.
    backlog_until: u64,
    name: String,
    draining_since: Option<u64>,
    /// What goes on now.
    open: Option<Incident>,
    over: Vec<Incident>,
}

impl NodeWatch {
    pub(super) fn new(exchange: u32) -> Self {
        Self {
            exchange,
            down: BTreeMap::new(),
            out: HashMap::new(),
            heard_us: 0,
            recent: VecDeque::new(),
            usual_us: 0.0,
            learnt: 0,
            usual_at: 0,
            slow_since: None,
            fast_since: None,
            started_us: None,
            backlog_until: 0,
            name: String::new(),
            draining_since: None,
            open: None,
            over: Vec::new(),
        }
    }

    /// Since when its process is gone, if it is now.
    pub(super) fn dead_since(&self) -> Option<u64> {
        self.open.as_ref().filter(|open| open.kind == IncidentKind::NodeDied).map(|open| open.begin_us)
    }

    /// When its process was last known to go, whether it is back by now or not.
    pub(super) fn last_death(&self) -> Option<u64> {
        let mut all = self.open.iter().chain(self.over.iter().rev());
        all.find(|incident| incident.kind == IncidentKind::NodeDied).map(|death| death.begin_us)
    }

    /// Whether its own state explains that calls to it are turned away: it is in trouble, was until a moment ago, or is
    /// cold.
    pub(super) fn explains(&self, now: u64) -> bool {
        let lately = |incident: &Incident| incident.end_us.is_some_and(|end| now < end + COLD_US);
        self.open.is_some() || self.over.last().is_some_and(lately) || self.is_cold(now)
    }

    fn is_cold(&self, now: u64) -> bool {
        self.started_us.is_some_and(|started| now < started + COLD_US)
    }

    /// All that is known so far.
    pub(super) fn incidents(&self) -> impl Iterator<Item = &Incident> {
        self.over.iter().chain(&self.open)
    }

    /// Begins an incident, or goes on with one that had only just ended.
    fn begin(&mut self, kind: IncidentKind, begin_us: u64, evidence: String) {
        if let Some(open) = &self.open {
            // What is worse takes the place of what is less: a node that dies is no longer slow.
            if open.kind <= kind {
                return;
            }
            self.end(begin_us);
        }
        let again = self
            .over
            .last()
            .is_some_and(|last| last.kind == kind && last.end_us.is_some_and(|end| begin_us < end + FLAP_US));
        if again && let Some(mut last) = self.over.pop() {
            last.end_us = None;
            last.flaps += 1;
            self.open = Some(last);
            return;
        }
        self.open = Some(Incident {
            kind,
            exchange: Some(self.exchange),
            softswitch: None,
            begin_us,
            end_us: None,
            evidence,
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    fn end(&mut self, at: u64) {
        if let Some(mut open) = self.open.take() {
            open.end_us = Some(at.max(open.begin_us));
            self.over.push(open);
        }
        (self.slow_since, self.fast_since) = (None, None);
    }

    fn is(&self, kind: IncidentKind) -> bool {
        self.open.as_ref().is_some_and(|open| open.kind == kind)
    }

    pub(super) fn way(&mut self, at: u64, who: usize, change: ConnectionChange, observers: usize) {
        match change {
            ConnectionChange::Up => {
                self.down.remove(&who);
                if self.is(IncidentKind::NodeDied) {
                    self.end(at);
                    self.started(at);
                }
            }
            ConnectionChange::Lost | ConnectionChange::TimedOut => {
                self.down.entry(who).or_insert((at, None));
            }
            ConnectionChange::Refused => {
                self.down.entry(who).or_insert((at, None)).1 = Some(at);
                let refused =
                    self.down.values().filter(|(_, refused)| refused.is_some_and(|r| r + TOGETHER_US >= at));
                let refused: Vec<u64> = refused.map(|(lost, _)| *lost).collect();
                // The node's own softswitch has no way to it.
                let enough = WITNESSES.min(observers.saturating_sub(1)).max(1);
                if refused.len() >= enough && !self.is(IncidentKind::NodeDied) {
                    let recent = refused.iter().filter(|lost| **lost + TOGETHER_US >= at).min();
                    let begin = recent.copied().unwrap_or(at);
                    let evidence = format!("{} softswitches were refused a way to it", refused.len());
                    self.begin(IncidentKind::NodeDied, begin, evidence);
                }
            }
        }
    }

    /// A new process runs there.
    fn started(&mut self, at: u64) {
        self.started_us = Some(at);
        self.recent.clear();
        self.out.clear();
        self.heard_us = at;
    }

    pub(super) fn listed(&mut self, at: u64, name: &str, listing: ListedReadiness, started_us: u64) {
        // While the list has it no more nobody looks whether it is back; once the list does, it says since when.
        if listing == ListedReadiness::Ready
            && self
                .open
                .as_ref()
                .is_some_and(|open| open.kind == IncidentKind::NodeDied && started_us > open.begin_us)
        {
            self.end(started_us.min(at));
            self.started(started_us.min(at));
        }
        match listing {
            ListedReadiness::Draining => {
                self.draining_since.get_or_insert(at);
            }
            ListedReadiness::Ready if !self.name.is_empty() && self.name != name => {
                let begin = self.draining_since.take().unwrap_or(at);
                if self.is(IncidentKind::NodeDied) {
                    self.end(at);
                }
                let known = self
                    .over
                    .iter()
                    .any(|i| i.kind == IncidentKind::NodeReplaced && i.begin_us + 1_000_000 > begin);
                if !known {
                    let evidence = format!("the list has {name} in the place of {}", self.name);
                    self.begin(IncidentKind::NodeReplaced, begin, evidence);
                    self.end(at);
                    self.started(at);
                }
                name.clone_into(&mut self.name);
            }
            ListedReadiness::Ready => {
                self.draining_since = None;
                name.clone_into(&mut self.name);
            }
            ListedReadiness::Removed => {}
        }
    }

    pub(super) fn sent(&mut self, at: u64, key: Key) {
        self.out.insert(key, at);
    }

    pub(super) fn forget(&mut self, key: Key) {
        self.out.remove(&key);
    }

    pub(super) fn ended(&mut self, at: u64, key: Key, outcome: AttemptOutcome) {
        self.out.remove(&key);
        // What the softswitch decided itself says nothing of the node.
        if matches!(outcome, AttemptOutcome::Busy | AttemptOutcome::Congested) {
            self.hear(at);
        }
    }

    pub(super) fn answered(&mut self, at: u64, key: Key, direct: bool) {
        let sent = self.out.remove(&key);
        self.hear(at);
        let Some(sent) = sent.filter(|_| direct) else { return };
        self.recent.push_back((at, at.saturating_sub(sent) as f64));
    }

    /// The node has said something itself.
    fn hear(&mut self, at: u64) {
        self.heard_us = at;
        if self.is(IncidentKind::NodeStalled) {
            self.end(at);
            self.backlog_until = at + BACKLOG_US;
        }
    }

    pub(super) fn tick(&mut self, now: u64) {
        while self.recent.front().is_some_and(|(at, _)| at + RECENT_US < now) {
            self.recent.pop_front();
        }
        self.look_for_stall(now);
        self.look_for_slowness(now);
    }

    fn look_for_stall(&mut self, now: u64) {
        let unheard: Vec<u64> = self.out.values().copied().filter(|sent| *sent > self.heard_us).collect();
        let Some(oldest) = unheard.iter().min().copied() else { return };
        // A way that is down says why nothing comes.
        if unheard.len() >= STALL_OUT && oldest + STALL_US <= now && self.down.is_empty() {
            let evidence = format!("{} set-ups were out there and nothing came back", unheard.len());
            self.begin(IncidentKind::NodeStalled, oldest, evidence);
        }
    }

    fn look_for_slowness(&mut self, now: u64) {
        if self.recent.len() < FEWEST || self.is_cold(now) || now < self.backlog_until {
            // Nothing to go by: what began stays, and nothing begins.
            self.slow_since = None;
            return;
        }
        let mut took: Vec<f64> = self.recent.iter().map(|(_, took)| *took).collect();
        took.sort_by(f64::total_cmp);
        let quicker = took[(took.len() as f64 * QUICKER) as usize];
        if now >= self.usual_at + LEARN_EVERY_US && self.open.is_none() && self.slow_since.is_none() {
            self.usual_at = now;
            self.learnt += 1;
            let part = (1.0 / f64::from(self.learnt)).max(USUAL_PART);
            self.usual_us += (quicker - self.usual_us) * part;
        }
        if self.learnt < LEARN {
            return;
        }
        let slow = quicker > SLOW_TIMES * self.usual_us && quicker > self.usual_us + SLOW_MORE_US;
        let fast = quicker < FAST_TIMES * self.usual_us || quicker < self.usual_us + SLOW_MORE_US / 2.0;
        if slow {
            self.fast_since = None;
            let since = *self.slow_since.get_or_insert(now);
            if self.open.is_none() && now >= since + SLOW_FOR_US {
                let begin = self.recent.iter().find(|(_, took)| *took > SLOW_TIMES * self.usual_us);
                let begin = begin.map_or(since, |(at, _)| (*at).min(since));
                let (took, usual) = (quicker / 1e3, self.usual_us / 1e3);
                let evidence = format!("its quicker answers took {took:.0} ms in place of {usual:.0} ms");
                self.begin(IncidentKind::NodeSlow, begin, evidence);
                self.slow_since = Some(since);
            }
        } else {
            self.slow_since = None;
            if fast && self.is(IncidentKind::NodeSlow) {
                let since = *self.fast_since.get_or_insert(now);
                if now >= since + SLOW_FOR_US {
                    self.end(since);
                }
            } else {
                self.fast_since = None;
            }
        }
    }

    pub(super) fn finish(mut self) -> Vec<Incident> {
        self.over.extend(self.open.take());
        self.over
    }
}
