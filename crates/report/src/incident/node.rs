//! Detects incidents of one node from what all softswitches recorded about it.
//!
//! A node is an exchange with its host; the number of the exchange identifies it. The softswitch that has the exchange
//! as its home exchange is called the node's own.

use std::collections::{BTreeMap, HashMap, VecDeque};

use swiftlb_record::{AttemptOutcome, ConnectionChange, ListedReadiness};

use super::{AffectedCalls, Incident, IncidentKind};

/// A call: index of the softswitch that recorded it, and its call uid.
pub(super) type CallKey = (usize, u64);

/// Number of softswitches whose connections must be refused for the node to count as dead; where fewer run beside the
/// node's own, all of them.
const MIN_REFUSED_SOFTSWITCHES: usize = 2;
/// Window within which these connections must be refused. The incident begins at the earliest loss of one of them that
/// lies within the window before the latest refusal; if none does, at that refusal.
const REFUSED_CONN_WINDOW_US: u64 = 3_000_000;
/// Minimum number of open attempts, sent after the node's last reply, for the node to count as stalled.
const MIN_STALLED_ATTEMPTS: usize = 3;
/// Minimum age of the oldest of them.
const MIN_STALL_US: u64 = 1_500_000;
/// Quantile of the recent set-up times by which slowness is judged; of fewer than 10 it is the shortest. It is low
/// because on a busy day queues raise the median as much as a slow processor does. The shortest set-up times are
/// affected less: softswitches that shed calls keep queues short.
const SETUP_TIME_QUANTILE: f64 = 0.1;
/// A node is slow when that quantile is above this multiple of its baseline, the usual value of the quantile, and also
/// above the baseline by more than `MIN_SLOW_EXCESS_US`.
const SLOW_FACTOR: f64 = 2.0;
/// A slow node has recovered when the quantile is below this multiple of the baseline, or above the baseline by less
/// than half of `MIN_SLOW_EXCESS_US`.
const RECOVERED_FACTOR: f64 = 1.4;
/// Minimum excess of a slow node's quantile over its baseline.
const MIN_SLOW_EXCESS_US: f64 = 40_000.0;
/// Time for which a node must be slow before an incident is reported, or must have recovered before it ends.
const MIN_SLOW_DURATION_US: u64 = 1_500_000;
/// Window of the recent set-up times.
const SETUP_TIME_WINDOW_US: u64 = 3_000_000;
/// Minimum number of set-up times in the window; fewer prove nothing.
const MIN_SETUP_TIMES: usize = 6;
/// Minimum time between two updates of the baseline.
const BASELINE_INTERVAL_US: u64 = 500_000;
/// Minimum weight of the new value in an update; the first updates form a plain average.
const MIN_BASELINE_WEIGHT: f64 = 0.02;
/// Number of updates before the baseline is used.
const MIN_BASELINE_UPDATES: u32 = 6;
/// Time after its start during which an exchange counts as cold, which by itself explains slow answers. It is fixed
/// here: the records don't contain the cold period of the settings.
const COLD_PERIOD_US: u64 = 15_000_000;
/// Time after the end of an incident of any kind during which the incident still explains refused calls.
const MAX_AFTEREFFECT_US: u64 = COLD_PERIOD_US;
/// Time after a stall during which the backlog of the stall may still slow the node down.
const MAX_BACKLOG_US: u64 = 8_000_000;
/// An incident that recurs less than this after its end (flaps) is continued, not counted as a new one.
const MAX_FLAP_GAP_US: u64 = 10_000_000;
/// Softswitches record the same replacement at slightly different times. One that begins less than this after the
/// beginning of an earlier one is the same one.
const MAX_REPLACEMENT_SKEW_US: u64 = 1_000_000;

/// State of one node: the evidence collected so far, its current incident and its earlier ones.
#[derive(Debug)]
pub(super) struct NodeDetector {
    /// Number of the exchange.
    exchange: u32,
    /// Softswitches without a connection to the node: when the connection was lost, and when a new one was last
    /// refused.
    lost_conns: BTreeMap<usize, (u64, Option<u64>)>,
    /// Open attempts to the node, with the time when each was sent.
    open_attempts: HashMap<CallKey, u64>,
    /// When the node last replied to a set-up, or when its process was last seen to start.
    last_reply_us: u64,
    /// Recent calls that it answered as their destination: time of the answer, and set-up time in microseconds.
    recent_setups: VecDeque<(u64, f64)>,
    /// Usual value of the quantile while the node has no incident, in microseconds.
    baseline_us: f64,
    baseline_updates: u32,
    baseline_updated_us: u64,
    slow_since_us: Option<u64>,
    recovered_since_us: Option<u64>,
    /// When its process last started, as far as the records show: when a softswitch connected again after the process
    /// had died, the time of the start in the list, or when the list named a replacement.
    started_us: Option<u64>,
    /// Until when the backlog of a stall explains slow answers.
    backlog_until_us: u64,
    /// Name of the exchange in the list; it changes when the exchange is replaced.
    name: String,
    draining_since_us: Option<u64>,
    current: Option<Incident>,
    past: Vec<Incident>,
}

impl NodeDetector {
    pub(super) fn new(exchange: u32) -> Self {
        Self {
            exchange,
            lost_conns: BTreeMap::new(),
            open_attempts: HashMap::new(),
            last_reply_us: 0,
            recent_setups: VecDeque::new(),
            baseline_us: 0.0,
            baseline_updates: 0,
            baseline_updated_us: 0,
            slow_since_us: None,
            recovered_since_us: None,
            started_us: None,
            backlog_until_us: 0,
            name: String::new(),
            draining_since_us: None,
            current: None,
            past: Vec::new(),
        }
    }

    /// Since when the node is dead, if it is dead now.
    pub(super) fn dead_since_us(&self) -> Option<u64> {
        self.current
            .as_ref()
            .filter(|current| current.kind == IncidentKind::NodeDied)
            .map(|current| current.begin_us)
    }

    /// When the node last died, whether it is back by now or not.
    pub(super) fn last_died_us(&self) -> Option<u64> {
        let mut all = self.current.iter().chain(self.past.iter().rev());
        all.find(|incident| incident.kind == IncidentKind::NodeDied).map(|death| death.begin_us)
    }

    /// Whether the node's own state explains that calls to it are refused: it has an incident now, had one less than
    /// `MAX_AFTEREFFECT_US` ago, or is cold.
    pub(super) fn explains_refused_calls(&self, now_us: u64) -> bool {
        let ended_recently =
            |incident: &Incident| incident.end_us.is_some_and(|end| now_us < end + MAX_AFTEREFFECT_US);
        self.current.is_some() || self.past.last().is_some_and(ended_recently) || self.is_cold(now_us)
    }

    /// Whether its process started less than `COLD_PERIOD_US` ago.
    fn is_cold(&self, now_us: u64) -> bool {
        self.started_us.is_some_and(|started| now_us < started + COLD_PERIOD_US)
    }

    /// All incidents so far, the current one included.
    pub(super) fn incidents(&self) -> impl Iterator<Item = &Incident> {
        self.past.iter().chain(&self.current)
    }

    /// Begins an incident, or continues the last one if that was of the same kind and ended less than `MAX_FLAP_GAP_US`
    /// before. Does nothing while an incident of the same or a more severe kind lasts; ends one of a less severe kind.
    fn begin_incident(&mut self, kind: IncidentKind, begin_us: u64, evidence: String) {
        if let Some(current) = &self.current {
            // The kinds are declared from the most to the least severe. A more severe one replaces a less severe one: a
            // node that dies is no longer slow.
            if current.kind <= kind {
                return;
            }
            self.end_incident(begin_us);
        }
        let is_flap = self.past.last().is_some_and(|last| {
            last.kind == kind && last.end_us.is_some_and(|end| begin_us < end + MAX_FLAP_GAP_US)
        });
        if is_flap && let Some(mut last) = self.past.pop() {
            last.end_us = None;
            last.flaps += 1;
            self.current = Some(last);
            return;
        }
        self.current = Some(Incident {
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

    fn end_incident(&mut self, at_us: u64) {
        if let Some(mut current) = self.current.take() {
            current.end_us = Some(at_us.max(current.begin_us));
            self.past.push(current);
        }
        (self.slow_since_us, self.recovered_since_us) = (None, None);
    }

    fn has_current(&self, kind: IncidentKind) -> bool {
        self.current.as_ref().is_some_and(|current| current.kind == kind)
    }

    pub(super) fn connection_changed(
        &mut self,
        at_us: u64,
        softswitch: usize,
        change: ConnectionChange,
        running_softswitches: usize,
    ) {
        match change {
            ConnectionChange::Up => {
                self.lost_conns.remove(&softswitch);
                if self.has_current(IncidentKind::NodeDied) {
                    self.end_incident(at_us);
                    self.process_started(at_us);
                }
            }
            ConnectionChange::Lost | ConnectionChange::TimedOut => {
                self.lost_conns.entry(softswitch).or_insert((at_us, None));
            }
            ConnectionChange::Refused => {
                self.lost_conns.entry(softswitch).or_insert((at_us, None)).1 = Some(at_us);
                let refused = self
                    .lost_conns
                    .values()
                    .filter(|(_, refused)| refused.is_some_and(|r| r + REFUSED_CONN_WINDOW_US >= at_us));
                let refused: Vec<u64> = refused.map(|(lost, _)| *lost).collect();
                // The node's own softswitch opens no connection to it, so none can be refused there.
                let required = MIN_REFUSED_SOFTSWITCHES.min(running_softswitches.saturating_sub(1)).max(1);
                if refused.len() >= required && !self.has_current(IncidentKind::NodeDied) {
                    let recent = refused.iter().filter(|lost| **lost + REFUSED_CONN_WINDOW_US >= at_us).min();
                    let begin = recent.copied().unwrap_or(at_us);
                    // In the report, "a way" is a connection.
                    let evidence = format!("{} softswitches were refused a way to it", refused.len());
                    self.begin_incident(IncidentKind::NodeDied, begin, evidence);
                }
            }
        }
    }

    /// A new process serves the exchange: discards the attempts and set-up times of the earlier one.
    fn process_started(&mut self, at_us: u64) {
        self.started_us = Some(at_us);
        self.recent_setups.clear();
        self.open_attempts.clear();
        self.last_reply_us = at_us;
    }

    pub(super) fn list_entry_changed(
        &mut self,
        at_us: u64,
        name: &str,
        readiness: ListedReadiness,
        started_us: u64,
    ) {
        // While the list does not contain the exchange, no softswitch connects to it and sees that it is back. The list
        // entry that brings it back has the time of its start.
        if readiness == ListedReadiness::Ready
            && self.current.as_ref().is_some_and(|current| {
                current.kind == IncidentKind::NodeDied && started_us > current.begin_us
            })
        {
            self.end_incident(started_us.min(at_us));
            self.process_started(started_us.min(at_us));
        }
        match readiness {
            ListedReadiness::Draining => {
                self.draining_since_us.get_or_insert(at_us);
            }
            ListedReadiness::Ready if !self.name.is_empty() && self.name != name => {
                let begin = self.draining_since_us.take().unwrap_or(at_us);
                if self.has_current(IncidentKind::NodeDied) {
                    self.end_incident(at_us);
                }
                let already_reported = self.past.iter().any(|i| {
                    i.kind == IncidentKind::NodeReplaced && i.begin_us + MAX_REPLACEMENT_SKEW_US > begin
                });
                if !already_reported {
                    let evidence = format!("the list has {name} in the place of {}", self.name);
                    self.begin_incident(IncidentKind::NodeReplaced, begin, evidence);
                    self.end_incident(at_us);
                    self.process_started(at_us);
                }
                name.clone_into(&mut self.name);
            }
            ListedReadiness::Ready => {
                self.draining_since_us = None;
                name.clone_into(&mut self.name);
            }
            ListedReadiness::Removed => {}
        }
    }

    pub(super) fn attempt_sent(&mut self, at_us: u64, call_key: CallKey) {
        self.open_attempts.insert(call_key, at_us);
    }

    /// Removes an attempt that ended without showing anything about the node.
    pub(super) fn forget_attempt(&mut self, call_key: CallKey) {
        self.open_attempts.remove(&call_key);
    }

    pub(super) fn attempt_ended(&mut self, at_us: u64, call_key: CallKey, outcome: AttemptOutcome) {
        self.open_attempts.remove(&call_key);
        // Of the outcomes, only these count as replies of the node. `AnswerLost` doesn't, although it shows that the
        // node had answered; the others are no messages of the node.
        if matches!(outcome, AttemptOutcome::Busy | AttemptOutcome::Congested) {
            self.reply_received(at_us);
        }
    }

    pub(super) fn attempt_answered(&mut self, at_us: u64, call_key: CallKey, direct: bool) {
        let sent = self.open_attempts.remove(&call_key);
        self.reply_received(at_us);
        let Some(sent) = sent.filter(|_| direct) else { return };
        self.recent_setups.push_back((at_us, at_us.saturating_sub(sent) as f64));
    }

    /// The node replied to a set-up, which ends a stall.
    fn reply_received(&mut self, at_us: u64) {
        self.last_reply_us = at_us;
        if self.has_current(IncidentKind::NodeStalled) {
            self.end_incident(at_us);
            self.backlog_until_us = at_us + MAX_BACKLOG_US;
        }
    }

    pub(super) fn tick(&mut self, now_us: u64) {
        while self.recent_setups.front().is_some_and(|(at_us, _)| at_us + SETUP_TIME_WINDOW_US < now_us) {
            self.recent_setups.pop_front();
        }
        self.detect_stall(now_us);
        self.detect_slowness(now_us);
    }

    fn detect_stall(&mut self, now_us: u64) {
        let unanswered: Vec<u64> =
            self.open_attempts.values().copied().filter(|sent| *sent > self.last_reply_us).collect();
        let Some(oldest) = unanswered.iter().min().copied() else { return };
        // A lost connection would explain the missing replies.
        if unanswered.len() >= MIN_STALLED_ATTEMPTS
            && oldest + MIN_STALL_US <= now_us
            && self.lost_conns.is_empty()
        {
            // In the report, set-ups "out there" are those without a reply.
            let evidence = format!("{} set-ups were out there and nothing came back", unanswered.len());
            self.begin_incident(IncidentKind::NodeStalled, oldest, evidence);
        }
    }

    fn detect_slowness(&mut self, now_us: u64) {
        if self.recent_setups.len() < MIN_SETUP_TIMES
            || self.is_cold(now_us)
            || now_us < self.backlog_until_us
        {
            // Too few set-up times, or a known reason for long ones (cold, backlog of a stall): slowness neither
            // begins nor ends. `recovered_since_us` stays, so a recovery that had begun before continues through this
            // time.
            self.slow_since_us = None;
            return;
        }
        let mut setup_times: Vec<f64> = self.recent_setups.iter().map(|(_, setup_us)| *setup_us).collect();
        setup_times.sort_by(f64::total_cmp);
        let quantile_us = setup_times[(setup_times.len() as f64 * SETUP_TIME_QUANTILE) as usize];
        if now_us >= self.baseline_updated_us + BASELINE_INTERVAL_US
            && self.current.is_none()
            && self.slow_since_us.is_none()
        {
            self.baseline_updated_us = now_us;
            self.baseline_updates += 1;
            let weight = (1.0 / f64::from(self.baseline_updates)).max(MIN_BASELINE_WEIGHT);
            self.baseline_us += (quantile_us - self.baseline_us) * weight;
        }
        if self.baseline_updates < MIN_BASELINE_UPDATES {
            return;
        }
        let slow = quantile_us > SLOW_FACTOR * self.baseline_us
            && quantile_us > self.baseline_us + MIN_SLOW_EXCESS_US;
        let recovered = quantile_us < RECOVERED_FACTOR * self.baseline_us
            || quantile_us < self.baseline_us + MIN_SLOW_EXCESS_US / 2.0;
        if slow {
            self.recovered_since_us = None;
            let since = *self.slow_since_us.get_or_insert(now_us);
            if self.current.is_none() && now_us >= since + MIN_SLOW_DURATION_US {
                let begin = self
                    .recent_setups
                    .iter()
                    .find(|(_, setup_us)| *setup_us > SLOW_FACTOR * self.baseline_us);
                let begin = begin.map_or(since, |(at_us, _)| (*at_us).min(since));
                // In the report, "its quicker answers" are the quantile.
                let (took, usual) = (quantile_us / 1e3, self.baseline_us / 1e3);
                let evidence = format!("its quicker answers took {took:.0} ms in place of {usual:.0} ms");
                self.begin_incident(IncidentKind::NodeSlow, begin, evidence);
                self.slow_since_us = Some(since);
            }
        } else {
            self.slow_since_us = None;
            if recovered && self.has_current(IncidentKind::NodeSlow) {
                let since = *self.recovered_since_us.get_or_insert(now_us);
                if now_us >= since + MIN_SLOW_DURATION_US {
                    self.end_incident(since);
                }
            } else {
                self.recovered_since_us = None;
            }
        }
    }

    pub(super) fn finish(mut self) -> Vec<Incident> {
        self.past.extend(self.current.take());
        self.past
    }
}
