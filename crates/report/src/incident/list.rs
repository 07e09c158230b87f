//! The list against the evidence: how long after a change it was told.

use std::collections::{BTreeMap, HashMap};

use swiftlb_record::ListedReadiness;

use super::{AffectedCalls, Incident, IncidentKind};

/// The list lags once it tells of something so long after it happened: the platform's own delay is a part of that.
const LATE_US: u64 = 4_000_000;
/// Words of a lag that come this soon after one another are of the same.
const SAME_US: u64 = 15_000_000;

/// What the list has told.
#[derive(Debug, Default)]
pub(super) struct ListWatch {
    /// The last word on each name; only the first softswitch to hear it counts.
    known: HashMap<(u32, String), (ListedReadiness, u64)>,
    /// Exchanges that are gone for all to see while the list still has them, and since when.
    contradicted: BTreeMap<u32, u64>,
    incidents: Vec<Incident>,
}

impl ListWatch {
    /// The list tells this of an exchange. `down_us` is since when it is known to be gone. Returns a line if it is news.
    pub(super) fn told(
        &mut self,
        at: u64,
        (exchange, name): (u32, &str),
        listing: ListedReadiness,
        started_us: u64,
        down_us: Option<u64>,
    ) -> Option<(&'static str, String)> {
        if listing != ListedReadiness::Ready
            && self.contradicted.remove(&exchange).is_some()
            && self.contradicted.is_empty()
        {
            self.end(at);
        }
        let key = (exchange, name.to_owned());
        let before = self.known.insert(key, (listing, started_us));
        if before == Some((listing, started_us)) {
            return None;
        }
        // The first list that is told at all is no news.
        let first = before.is_none() && started_us == 0;
        let happened = match listing {
            ListedReadiness::Removed => down_us,
            ListedReadiness::Ready if started_us > 0 => Some(started_us),
            _ => None,
        };
        let late = happened.map(|happened| at.saturating_sub(happened)).filter(|late| *late > 0);
        // A start that lies before the records is no news either.
        let late = late.filter(|late| *late < 120_000_000);
        if let Some((late, happened)) = late.zip(happened).filter(|(late, _)| *late > LATE_US) {
            self.lags(happened, at, late, name, listing);
        }
        let how =
            late.map_or(String::new(), |late| format!(", {:.1} s after it happened", late as f64 / 1e6));
        match listing {
            _ if first => None,
            ListedReadiness::Ready => Some(("list-has", format!("{name} takes work{how}"))),
            ListedReadiness::Draining => Some(("list-drains", format!("{name} finishes what it has"))),
            ListedReadiness::Removed => Some(("list-lost", format!("{name} is in the list no more{how}"))),
        }
    }

    /// Compares the list with what is seen now: `dead` are the exchanges that are gone, and since when. A lag shows here
    /// before the list tells anything, and also where it never does.
    pub(super) fn compare(&mut self, now: u64, dead: &[(u32, u64)]) {
        for (exchange, since) in dead {
            let takes_work = |((of, _), (listing, _)): (&(u32, String), &(ListedReadiness, u64))| {
                of == exchange && *listing == ListedReadiness::Ready
            };
            let listed = self.known.iter().any(takes_work);
            if listed && now >= since + LATE_US && !self.contradicted.contains_key(exchange) {
                self.contradicted.insert(*exchange, *since);
                self.begin(*exchange, *since);
            }
        }
        // One that is back, or no longer listed, contradicts nothing any more.
        let still = |exchange: &u32| dead.iter().any(|(gone, _)| gone == exchange);
        let over: Vec<u32> = self.contradicted.keys().filter(|exchange| !still(exchange)).copied().collect();
        for exchange in over {
            self.contradicted.remove(&exchange);
            if self.contradicted.is_empty() {
                self.end(now);
            }
        }
    }

    fn begin(&mut self, exchange: u32, since: u64) {
        if let Some(last) = self.incidents.last_mut()
            && last.end_us.is_none_or(|end| since < end + SAME_US)
        {
            (last.begin_us, last.end_us) = (last.begin_us.min(since), None);
            return;
        }
        self.incidents.push(Incident {
            kind: IncidentKind::ListLag,
            exchange: None,
            softswitch: None,
            begin_us: since,
            end_us: None,
            evidence: format!("node {exchange} was gone for all to see and still listed"),
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    fn end(&mut self, at: u64) {
        if let Some(last) = self.incidents.last_mut() {
            last.end_us.get_or_insert(at);
        }
    }

    fn lags(&mut self, from: u64, to: u64, late: u64, name: &str, listing: ListedReadiness) {
        if let Some(last) = self.incidents.last_mut()
            && last.end_us.is_none_or(|end| from < end + SAME_US)
        {
            last.begin_us = last.begin_us.min(from);
            // Where it is still contradicted, another word is to come.
            if self.contradicted.is_empty() || last.end_us.is_some() {
                last.end_us = last.end_us.max(Some(to));
            }
            return;
        }
        let what = if listing == ListedReadiness::Removed { "was gone" } else { "had started" };
        self.incidents.push(Incident {
            kind: IncidentKind::ListLag,
            exchange: None,
            softswitch: None,
            begin_us: from,
            end_us: Some(to),
            evidence: format!("that {name} {what} was told {:.1} s later", late as f64 / 1e6),
            flaps: 0,
            affected_calls: AffectedCalls::default(),
            triggered_by: None,
        });
    }

    pub(super) fn finish(self) -> Vec<Incident> {
        self.incidents
    }
}
