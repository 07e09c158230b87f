//! Exchanges whose process has ended without a sign and was started again: calls that were established before have ended
//! with the earlier process, and nobody reports their ends.
//!
//! Two things show it. The list names a start that is later than the calls; that counts always. It may come late, so after
//! an attempt to connect has failed, the circuits of the calls are compared with the state of the group that the exchange
//! reports on its next connection: circuits of established calls are in use.

use std::time::{Duration, SystemTime};

use super::exchange_state::{ConnState, SuspectCalls};
use super::{Call, Effect, Engine, ExchangeConnId, ExchangeId, Outcome, Phase, elapsed};
use swiftlb_record::ReleasedBy;

/// How long a group must have too few circuits in use for the established calls before they count as gone. The ends of
/// some may be on their way.
const MISMATCH_TIME: Duration = Duration::from_secs(1);
/// Share of the circuits of the established calls below which the circuits in use show that another process runs. The ends
/// of some calls may be lost while the others stand.
const MIN_SHARE_IN_USE: f64 = 0.5;

impl Engine {
    /// Handles the start time of an exchange that the list has changed. A connection on which nothing has arrived since then
    /// belongs to the earlier process.
    pub(super) fn exchange_started(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(started_at) = self.exchanges.get(&id).and_then(|exchange| exchange.started_at) else {
            return;
        };
        if started_at > self.now {
            return;
        }
        let ended = |call: &Call| call.is_established_before(id, started_at);
        for call in self.calls_where(ended) {
            self.end_established(call, id, Outcome::Reset, ReleasedBy::ExchangeLost, effects);
        }
        if let Some(exchange_conn) = self.conn_silent_since(id, started_at) {
            self.close_exchange_conn(exchange_conn, effects);
        }
    }

    /// The open connection to an exchange, if nothing has arrived on it since a point in time and no call belongs to it.
    fn conn_silent_since(&self, id: ExchangeId, since: SystemTime) -> Option<ExchangeConnId> {
        let ConnState::Up(exchange_conn) = self.exchanges.get(&id)?.conn else { return None };
        let conn = self.exchange_conns.get(&exchange_conn)?;
        (conn.last_received < since && !conn.carries_calls).then_some(exchange_conn)
    }

    /// Compares a report of the state of the group on the open connection with the established calls. Circuits for all of
    /// them end the suspicion.
    pub(super) fn compare_group_with_calls(&mut self, id: ExchangeId, exchange_conn: ExchangeConnId) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let Some(suspects) = exchange.suspect_calls else { return };
        if exchange.conn != ConnState::Up(exchange_conn) {
            return;
        }
        let now = self.now;
        let suspects = match self.circuits_are_missing(id) {
            Some(true) => {
                Some(SuspectCalls { mismatch_since: suspects.mismatch_since.or(Some(now)), ..suspects })
            }
            Some(false) => None,
            None => Some(suspects),
        };
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.suspect_calls = suspects;
        }
    }

    /// Whether too few circuits to an exchange are in use for most of its established calls to stand; `None` if its group is
    /// unknown.
    fn circuits_are_missing(&self, id: ExchangeId) -> Option<bool> {
        let (free, total) = self.exchanges.get(&id)?.group.filter(|(_, total)| *total > 0)?;
        let established = self.calls.values().filter(|call| call.is_established_at(id));
        let needed: f64 = established.map(|call| call.width).sum();
        let in_use = f64::from(total.saturating_sub(free));
        Some(in_use < MIN_SHARE_IN_USE * needed)
    }

    /// Cuts the suspect calls once the state of the group has shown for `MISMATCH_TIME` that they have ended.
    pub(super) fn cut_calls_after_mismatch(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(suspects) = self.exchanges.get(&id).and_then(|exchange| exchange.suspect_calls) else {
            return;
        };
        if suspects.mismatch_since.is_none_or(|since| elapsed(since, self.now) < MISMATCH_TIME) {
            return;
        }
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.suspect_calls = None;
        }
        if self.circuits_are_missing(id) == Some(true) {
            let is_suspect = |call: &Call| call.is_established_before(id, suspects.established_before);
            self.cut_calls(id, self.calls_where(is_suspect), effects);
        }
    }
}

impl Call {
    /// Whether the call is established at an exchange.
    pub(super) fn is_established_at(&self, id: ExchangeId) -> bool {
        matches!(self.phase, Phase::Established { exchange, .. } if exchange == id)
    }

    /// Whether the call was established at an exchange before a point in time.
    pub(super) fn is_established_before(&self, id: ExchangeId, time: SystemTime) -> bool {
        matches!(self.phase, Phase::Established { exchange, since } if exchange == id && since < time)
    }
}
