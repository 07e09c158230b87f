//! Detects when the list of exchanges lags: when it shows a change long after it happened, or never.

use std::collections::{BTreeMap, HashMap};

use swiftlb_record::ListedReadiness;

use super::{AffectedCalls, Incident, IncidentKind};

/// Longest delay until the list shows a change that does not count as a lag. It includes the platform's own delay.
const MAX_LIST_DELAY_US: u64 = 4_000_000;
/// A lag that begins less than this after the end of the last one continues it.
const MAX_LAG_GAP_US: u64 = 15_000_000;
/// No delay is computed for a change that happened this long ago: such a start lies before the records. The limit also
/// applies to removals.
const MAX_CHANGE_AGE_US: u64 = 120_000_000;

/// Compares the list of exchanges with what is known from connections.
#[derive(Debug, Default)]
pub(super) struct ListLagDetector {
    /// Last readiness and start time of each exchange, by number and name. All softswitches receive a change; the first
    /// to record it counts.
    entries: HashMap<(u32, String), (ListedReadiness, u64)>,
    /// Dead exchanges that the list still shows as ready, and since when they are dead.
    wrongly_listed: BTreeMap<u32, u64>,
    incidents: Vec<Incident>,
}

impl ListLagDetector {
    /// Processes an entry of the list. `died_us` is when the exchange last died, as far as known. Returns the label and
    /// the detail of an event for the report if the entry is a change.
    pub(super) fn entry_listed(
        &mut self,
        at_us: u64,
        (exchange, name): (u32, &str),
        readiness: ListedReadiness,
        started_us: u64,
        died_us: Option<u64>,
    ) -> Option<(&'static str, String)> {
        if readiness != ListedReadiness::Ready
            && self.wrongly_listed.remove(&exchange).is_some()
            && self.wrongly_listed.is_empty()
        {
            self.end_lag(at_us);
        }
        let key = (exchange, name.to_owned());
        let previous = self.entries.insert(key, (readiness, started_us));
        if previous == Some((readiness, started_us)) {
            return None;
        }
        // A new entry without a start time is one of the first list, not a change.
        let is_initial = previous.is_none() && started_us == 0;
        let happened_us = match readiness {
            ListedReadiness::Removed => died_us,
            ListedReadiness::Ready if started_us > 0 => Some(started_us),
            _ => None,
        };
        let delay_us =
            happened_us.map(|happened_us| at_us.saturating_sub(happened_us)).filter(|delay_us| *delay_us > 0);
        let delay_us = delay_us.filter(|delay_us| *delay_us < MAX_CHANGE_AGE_US);
        if let Some((delay_us, happened_us)) =
            delay_us.zip(happened_us).filter(|(delay_us, _)| *delay_us > MAX_LIST_DELAY_US)
        {
            self.add_late_change(happened_us, at_us, delay_us, name, readiness);
        }
        let how = delay_us
            .map_or(String::new(), |delay_us| format!(", {:.1} s after it happened", delay_us as f64 / 1e6));
        match readiness {
            _ if is_initial => None,
            ListedReadiness::Ready => Some(("list-has", format!("{name} takes work{how}"))),
            ListedReadiness::Draining => Some(("list-drains", format!("{name} finishes what it has"))),
            ListedReadiness::Removed => Some(("list-lost", format!("{name} is in the list no more{how}"))),
        }
    }

    /// Compares the list with the exchanges that are `dead` now, given with the time since when. This finds a lag
    /// before the list changes, and also when it never does.
    pub(super) fn compare(&mut self, now_us: u64, dead: &[(u32, u64)]) {
        for (exchange, since_us) in dead {
            let is_listed_ready =
                |((listed_exchange, _), (readiness, _)): (&(u32, String), &(ListedReadiness, u64))| {
                    listed_exchange == exchange && *readiness == ListedReadiness::Ready
                };
            let listed = self.entries.iter().any(is_listed_ready);
            if listed && now_us >= since_us + MAX_LIST_DELAY_US && !self.wrongly_listed.contains_key(exchange)
            {
                self.wrongly_listed.insert(*exchange, *since_us);
                self.begin_lag(*exchange, *since_us);
            }
        }
        // An exchange that is no longer dead is not listed wrongly any more.
        let is_dead = |exchange: &u32| dead.iter().any(|(dead_exchange, _)| dead_exchange == exchange);
        let resolved: Vec<u32> =
            self.wrongly_listed.keys().filter(|exchange| !is_dead(exchange)).copied().collect();
        for exchange in resolved {
            self.wrongly_listed.remove(&exchange);
            if self.wrongly_listed.is_empty() {
                self.end_lag(now_us);
            }
        }
    }

    /// Begins a lag, or continues the last one if that has not ended or ended less than `MAX_LAG_GAP_US` before.
    fn begin_lag(&mut self, exchange: u32, since_us: u64) {
        if let Some(last) = self.incidents.last_mut()
            && last.end_us.is_none_or(|end| since_us < end + MAX_LAG_GAP_US)
        {
            (last.begin_us, last.end_us) = (last.begin_us.min(since_us), None);
            return;
        }
        self.incidents.push(Incident {
            kind: IncidentKind::ListLag,
            exchange: None,
            softswitch: None,
            begin_us: since_us,
            end_us: None,
            evidence: format!("node {exchange} was gone for all to see and still listed"),
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    /// Ends the last lag unless it has ended already.
    fn end_lag(&mut self, at_us: u64) {
        if let Some(last) = self.incidents.last_mut() {
            last.end_us.get_or_insert(at_us);
        }
    }

    /// Adds a lag from a change until the list showed it, or extends the last lag as [`Self::begin_lag`] does.
    fn add_late_change(
        &mut self,
        happened_us: u64,
        listed_us: u64,
        delay_us: u64,
        name: &str,
        readiness: ListedReadiness,
    ) {
        if let Some(last) = self.incidents.last_mut()
            && last.end_us.is_none_or(|end| happened_us < end + MAX_LAG_GAP_US)
        {
            last.begin_us = last.begin_us.min(happened_us);
            // A lag does not end while the list still shows a dead exchange as ready.
            if self.wrongly_listed.is_empty() || last.end_us.is_some() {
                last.end_us = last.end_us.max(Some(listed_us));
            }
            return;
        }
        let what = if readiness == ListedReadiness::Removed { "was gone" } else { "had started" };
        self.incidents.push(Incident {
            kind: IncidentKind::ListLag,
            exchange: None,
            softswitch: None,
            begin_us: happened_us,
            end_us: Some(listed_us),
            evidence: format!("that {name} {what} was told {:.1} s later", delay_us as f64 / 1e6),
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    pub(super) fn finish(self) -> Vec<Incident> {
        self.incidents
    }
}
