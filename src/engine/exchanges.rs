//! The exchanges of the list and the connections to them.
//!
//! A lost connection does not prove that the process at the exchange has ended, since connections may be reset while
//! it runs. The exchange counts as failed when it refuses the next connection while none is open, when no connection opens
//! for `MAX_UNREACHABLE_TIME`, or when it is removed from the list; then its established calls are cut. That its process was
//! started again is the subject of `restarts`. An open connection may be dead as well: if a message is due and nothing
//! arrives, a second connection is opened, which replaces the first once it is up. A second connection that is refused
//! proves nothing, as an exchange accepts a limited number.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::exchange_state::{
    CAUSE_NORMAL_CLEARING, ConnState, Exchange, ExchangeConn, Release, SuspectCalls,
};
use super::{
    Call, CallId, Effect, Engine, Event, ExchangeConnId, ExchangeId, ListEntry, ListUpdateKind,
    ListedExchange, Outcome, Phase, RECONNECT_DELAY, REMOVAL_GRACE, REMOVED_EXCHANGE_RETENTION, Readiness,
    Reason, Timer, elapsed, unix_ms,
};
use crate::interface::LoadReport;
use swiftlb_record::{ConnectionChange, ReleasedBy};

/// Interval between two checks of the connection to an exchange.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A connection on which nothing was received for this long since a set-up was sent on it counts as dead, however
/// slow the processor of the exchange is. A set-up takes a circuit, and the new state of the group arrived within
/// 1 ms in all of 1,158 cases; it never arrived on a connection on which the set-up also stayed without a reply.
pub(super) const SETUP_SILENCE_LIMIT: Duration = Duration::from_millis(150);
/// The same limit for an exchange that has never reported the state of its group, where the reply to a set-up may
/// be the first message after it.
const SETUP_SILENCE_LIMIT_WITHOUT_REPORTS: Duration = Duration::from_secs(2);
/// The same limit, from the last message on, for a connection to an exchange with established calls, whose ends would
/// be reported on it, or with a release that it has not confirmed.
const ESTABLISHED_SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// An exchange to which no connection has opened for this long has failed, and its established calls are cut. With
/// the time until the loss is noticed, their callers get the release well within 8 s.
const MAX_UNREACHABLE_TIME: Duration = Duration::from_secs(2);
/// After a connection that lasted less than this, the next one is opened only after `RECONNECT_DELAY`.
const MIN_CONN_LIFETIME: Duration = Duration::from_millis(200);

impl Engine {
    /// The id of an exchange for the decision module. Every name gets its own, because another exchange may reuse the
    /// address later.
    fn exchange_id(&mut self, name: &Arc<str>) -> ExchangeId {
        if let Some(id) = self.exchange_ids.get(name) {
            return *id;
        }
        self.last_exchange += 1;
        let id = ExchangeId { address: self.last_exchange.to_be_bytes(), port: 0 };
        self.exchange_ids.insert(name.clone(), id);
        id
    }

    /// Applies an update of the list of exchanges and opens connections to new ones.
    pub(super) fn apply_list(
        &mut self,
        entries: Vec<ListEntry>,
        kind: ListUpdateKind,
        effects: &mut Vec<Effect>,
    ) {
        let mut listed = Vec::with_capacity(entries.len());
        let (mut started, mut moved, mut addresses) = (Vec::new(), Vec::new(), HashSet::new());
        for entry in entries {
            addresses.insert(entry.address);
            let id = self.exchange_id(&entry.name);
            let changed = self.entry_changed(id, &entry);
            listed.push(ListedExchange {
                id,
                number: entry.number,
                zone: entry.zone,
                started_ms: entry.started_at.map_or(0.0, unix_ms),
                readiness: entry.readiness,
            });
            let now = self.now;
            let exchange = self.exchanges.entry(id).or_insert_with(|| Exchange {
                name: entry.name.clone(),
                address: entry.address,
                number: entry.number,
                zone: entry.zone,
                started_at: entry.started_at,
                readiness: entry.readiness,
                readiness_changed_at: now,
                conn: ConnState::Down,
                replacement: None,
                unreachable_since: None,
                pending_releases: Vec::new(),
                reconnect_scheduled: false,
                check_scheduled: false,
                suspect_calls: None,
                reports_group: false,
                group: None,
            });
            if exchange.readiness != entry.readiness {
                (exchange.readiness, exchange.readiness_changed_at) = (entry.readiness, now);
            }
            if std::mem::replace(&mut exchange.address, entry.address) != entry.address {
                moved.push(id);
            }
            exchange.number = entry.number;
            exchange.zone = entry.zone;
            if std::mem::replace(&mut exchange.started_at, entry.started_at) != entry.started_at {
                started.push(id);
            }
            if changed {
                self.record_exchange(id);
            }
        }
        for id in started {
            self.exchange_started(id, effects);
        }
        // What listens at the earlier address is another process, if any does.
        for id in moved {
            self.close_exchange_conns(id, effects);
        }
        let removed: Vec<ExchangeId> = self
            .exchanges
            .iter()
            .filter(|(id, exchange)| {
                exchange.readiness != Readiness::Removed && !listed.iter().any(|l| l.id == **id)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in removed {
            if let Some(exchange) = self.exchanges.get_mut(&id) {
                (exchange.readiness, exchange.readiness_changed_at) = (Readiness::Removed, self.now);
            }
            self.record_exchange(id);
            if self.exchanges.get(&id).is_some_and(|exchange| addresses.contains(&exchange.address)) {
                // Another exchange has its address by now. It is gone, and its connection may lead to the other one.
                self.remove_exchange(id, effects);
            } else {
                self.set_timer(REMOVAL_GRACE, Timer::RemoveExchange(id));
            }
        }
        let listed_ids: Vec<ExchangeId> = listed.iter().map(|l| l.id).collect();
        for id in listed_ids {
            if let Some(exchange) = self.exchanges.get_mut(&id)
                && !std::mem::replace(&mut exchange.check_scheduled, true)
            {
                self.set_timer(CHECK_INTERVAL, Timer::CheckExchange(id));
            }
            if self
                .exchanges
                .get(&id)
                .is_some_and(|exchange| exchange.conn == ConnState::Down && !exchange.reconnect_scheduled)
            {
                self.connect(id, effects);
            }
        }
        self.controller_events.push_back(Event::List { kind, entries: listed });
    }

    fn open_conn(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) -> Option<ExchangeConnId> {
        let (now, exchange) = (self.now, self.exchanges.get(&id)?);
        if exchange.readiness == Readiness::Removed
            || Some(exchange.number) == self.home
            || self.leaves_exchange_to_next_process(id)
        {
            return None;
        }
        self.last_exchange_conn += 1;
        let exchange_conn = self.last_exchange_conn;
        self.exchange_conns.insert(
            exchange_conn,
            ExchangeConn {
                exchange: id,
                opened_at: now,
                last_received: now,
                unconfirmed_releases: VecDeque::new(),
                carries_calls: false,
            },
        );
        let (name, number, address) = (exchange.name.clone(), exchange.number, exchange.address);
        effects.push(Effect::ConnectExchange { exchange_conn, exchange: id, name, number, address });
        Some(exchange_conn)
    }

    /// Opens a connection to a listed exchange that has none. The state of its group arrives only on an open
    /// connection.
    pub(super) fn connect(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        if self.exchanges.get(&id).is_none_or(|exchange| exchange.conn != ConnState::Down) {
            return;
        }
        if let Some(exchange_conn) = self.open_conn(id, effects)
            && let Some(exchange) = self.exchanges.get_mut(&id)
        {
            exchange.conn = ConnState::Connecting(exchange_conn);
        }
    }

    pub(super) fn reconnect(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.reconnect_scheduled = false;
        }
        self.connect(id, effects);
    }

    fn schedule_reconnect(&mut self, id: ExchangeId) {
        if let Some(exchange) = self.exchanges.get_mut(&id)
            && !exchange.reconnect_scheduled
            && exchange.readiness != Readiness::Removed
        {
            exchange.reconnect_scheduled = true;
            self.set_timer(RECONNECT_DELAY, Timer::Reconnect(id));
        }
    }

    /// Registers that a message arrived on a connection.
    pub(super) fn mark_active(&mut self, exchange_conn: ExchangeConnId) {
        let now = self.now;
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn) {
            conn.last_received = now;
            if let Some(exchange) = self.exchanges.get_mut(&conn.exchange) {
                exchange.unreachable_since = None;
            }
        }
    }

    pub(super) fn exchange_connected(
        &mut self,
        exchange_conn: ExchangeConnId,
        carries_calls: bool,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(conn) = self.exchange_conns.get_mut(&exchange_conn) else {
            // The engine dropped the connection while it was being opened; nothing else would close it.
            effects.push(Effect::CloseExchangeConn { exchange_conn });
            return;
        };
        (conn.opened_at, conn.last_received, conn.carries_calls) = (now, now, carries_calls);
        let id = conn.exchange;
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        exchange.unreachable_since = None;
        if exchange.replacement == Some(exchange_conn) {
            exchange.replacement = None;
        }
        if let ConnState::Up(old) =
            std::mem::replace(&mut exchange.conn, ConnState::Connecting(exchange_conn))
        {
            self.close_exchange_conn(old, effects);
        }
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        exchange.conn = ConnState::Up(exchange_conn);
        self.record_connection(id, ConnectionChange::Up);
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        // Releases first: an earlier attempt of a call that is sent again may still hold a circuit there under the
        // same id.
        for release in std::mem::take(&mut exchange.pending_releases) {
            self.send_release_on(exchange_conn, release, effects);
        }
        let unsent = |call: &Call| {
            matches!(call.phase, Phase::Attempting { exchange, conn: None, .. }
            if exchange == id)
        };
        // The list may have changed since the attempts began.
        if self.is_unavailable(id) {
            return self.fail_unsent_setups(id);
        }
        for call in self.calls_where(unsent) {
            self.send_setup(call, effects);
        }
    }

    pub(super) fn exchange_connect_failed(
        &mut self,
        exchange_conn: ExchangeConnId,
        refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.exchange_conns.remove(&exchange_conn).map(|conn| conn.exchange) else { return };
        let now = self.now;
        self.record_connection(
            id,
            if refused { ConnectionChange::Refused } else { ConnectionChange::TimedOut },
        );
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        if exchange.replacement == Some(exchange_conn) {
            exchange.replacement = None;
        } else {
            exchange.conn = ConnState::Down;
        }
        exchange.suspect_calls = Some(SuspectCalls::established_until(now));
        let unreachable_since = *exchange.unreachable_since.get_or_insert(now);
        let is_over = elapsed(unreachable_since, now) >= MAX_UNREACHABLE_TIME;
        if exchange.conn == ConnState::Down {
            if refused || is_over {
                self.exchange_failed(id, effects);
            } else {
                self.fail_unsent_setups(id);
                self.schedule_reconnect(id);
            }
        } else if is_over && refused {
            self.make_room_for_next_conn(id, effects);
        } else if is_over {
            self.exchange_failed(id, effects);
        }
    }

    /// Closes the silent connection to an exchange that refuses a second one: it may hold as many as it accepts. If it
    /// refuses the next one as well, nobody listens there.
    fn make_room_for_next_conn(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        self.close_exchange_conns(id, effects);
        self.schedule_reconnect(id);
    }

    /// Ends the attempts that wait for a connection. Their set-ups were never sent, so they cannot have taken effect.
    fn fail_unsent_setups(&mut self, id: ExchangeId) {
        let unsent = |call: &Call| {
            matches!(call.phase, Phase::Attempting { exchange, conn: None, .. }
            if exchange == id)
        };
        for call in self.calls_where(unsent) {
            self.end_attempt(call, Outcome::NoConnection, Reason::Unspecified);
        }
    }

    /// Handles the loss of a connection. Its open attempts are reset. Established calls continue, unless they belong
    /// to the connection or the exchange was removed from the list.
    pub(super) fn exchange_disconnected(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        let Some(conn) = self.exchange_conns.remove(&exchange_conn) else { return };
        let (id, now) = (conn.exchange, self.now);
        self.record_connection(id, ConnectionChange::Lost);
        self.reset_open_attempts(exchange_conn, id, effects);
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        if exchange.conn != ConnState::Up(exchange_conn) {
            return self.resend_releases(conn, effects);
        }
        exchange.conn = exchange.replacement.take().map_or(ConnState::Down, ConnState::Connecting);
        let is_removed = exchange.readiness == Readiness::Removed;
        let (carries_calls, opened_at) = (conn.carries_calls, conn.opened_at);
        self.resend_releases(conn, effects);
        if is_removed {
            self.cut_established_calls(id, effects);
        } else if carries_calls {
            self.cut_established_calls(id, effects);
            self.connect(id, effects);
        } else if elapsed(opened_at, now) < MIN_CONN_LIFETIME {
            self.schedule_reconnect(id);
        } else {
            self.connect(id, effects);
        }
    }

    /// Ends the attempts that were sent on a lost connection. Some may have taken effect and hold circuits at the
    /// exchange, so it is told that they are over, on its open connection or on the next one.
    fn reset_open_attempts(
        &mut self,
        exchange_conn: ExchangeConnId,
        id: ExchangeId,
        effects: &mut Vec<Effect>,
    ) {
        let sent_on_conn =
            |call: &Call| matches!(call.phase, Phase::Attempting { conn, .. } if conn == Some(exchange_conn));
        let now = self.now;
        for call in self.calls_where(sent_on_conn) {
            let uid = self.calls[&call].uid;
            self.end_attempt(call, Outcome::Reset, Reason::Unspecified);
            match self.exchanges.get_mut(&id) {
                Some(Exchange { conn: ConnState::Up(open), .. }) if *open != exchange_conn => {
                    let open = *open;
                    self.send_cancel_on(open, uid, effects);
                }
                Some(exchange) => {
                    exchange.pending_releases.push(Release::known(uid, CAUSE_NORMAL_CLEARING, now))
                }
                None => {}
            }
        }
    }

    /// Periodic check whether the open connection to an exchange may be dead, and whether one is missing.
    pub(super) fn check_exchange(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        if exchange.readiness == Readiness::Removed {
            exchange.check_scheduled = false;
            return;
        }
        let waits_for_reconnect = exchange.reconnect_scheduled;
        self.set_timer(CHECK_INTERVAL, Timer::CheckExchange(id));
        if !waits_for_reconnect {
            self.connect(id, effects);
        }
        self.replace_silent_conn(id, effects);
        self.cut_calls_after_mismatch(id, effects);
    }

    /// Checks a connection `SETUP_SILENCE_LIMIT` after a set-up was sent on it.
    pub(super) fn check_silence(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        if let Some(id) = self.exchange_conns.get(&exchange_conn).map(|conn| conn.exchange) {
            self.replace_silent_conn(id, effects);
        }
    }

    /// Opens a second connection to an exchange if the open one may be dead.
    fn replace_silent_conn(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let ConnState::Up(exchange_conn) = exchange.conn else { return };
        let Some(open) = self.exchange_conns.get(&exchange_conn).filter(|conn| !conn.carries_calls) else {
            return;
        };
        let silence = |from: SystemTime| elapsed(from.max(open.last_received), self.now);
        let limit =
            if exchange.reports_group { SETUP_SILENCE_LIMIT } else { SETUP_SILENCE_LIMIT_WITHOUT_REPORTS };
        let setup_unanswered = |call: &Call| {
            matches!(call.phase, Phase::Attempting { conn, sent_at, .. }
            if conn == Some(exchange_conn) && open.last_received <= sent_at && silence(sent_at) >= limit)
        };
        let may_be_dead = exchange.unreachable_since.is_some()
            || (silence(open.opened_at) >= ESTABLISHED_SILENCE_LIMIT
                && self.calls.values().any(|call| call.is_established_at(id)))
            || open
                .awaits_confirmation_since()
                .is_some_and(|sent_at| silence(sent_at) >= ESTABLISHED_SILENCE_LIMIT)
            || self.calls.values().any(setup_unanswered);
        if exchange.replacement.is_none() && may_be_dead {
            let replacement = self.open_conn(id, effects);
            if let Some(exchange) = self.exchanges.get_mut(&id) {
                exchange.replacement = replacement;
            }
        }
    }

    pub(super) fn close_exchange_conn(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        effects.push(Effect::CloseExchangeConn { exchange_conn });
        self.exchange_disconnected(exchange_conn, effects);
    }

    /// Handles the failure of an exchange: its connections are closed and its established calls are cut.
    fn exchange_failed(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        self.close_exchange_conns(id, effects);
        self.cut_established_calls(id, effects);
        self.schedule_reconnect(id);
    }

    /// Whether established calls belong to the open connection to an exchange and end with it.
    pub(super) fn conn_carries_calls(&self, id: ExchangeId) -> bool {
        let conn = self.exchanges.get(&id).map(|exchange| exchange.conn);
        let Some(ConnState::Up(exchange_conn)) = conn else { return false };
        self.exchange_conns.get(&exchange_conn).is_some_and(|conn| conn.carries_calls)
    }

    /// Closes all connections to an exchange and ends the attempts that were sent on them or wait for one.
    pub(super) fn close_exchange_conns(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let conn = match std::mem::replace(&mut exchange.conn, ConnState::Down) {
            ConnState::Up(exchange_conn) | ConnState::Connecting(exchange_conn) => Some(exchange_conn),
            ConnState::Down => None,
        };
        for exchange_conn in [conn, exchange.replacement.take()].into_iter().flatten() {
            let closed = self.exchange_conns.remove(&exchange_conn);
            effects.push(Effect::CloseExchangeConn { exchange_conn });
            self.reset_open_attempts(exchange_conn, id, effects);
            if let Some(closed) = closed {
                self.resend_releases(closed, effects);
            }
        }
        self.fail_unsent_setups(id);
    }

    /// Cuts the calls of an exchange that was removed from the list and closes the connections to it; called again after
    /// `REMOVED_EXCHANGE_RETENTION`, drops its state.
    pub(super) fn remove_exchange(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) =
            self.exchanges.get_mut(&id).filter(|exchange| exchange.readiness == Readiness::Removed)
        else {
            return;
        };
        if elapsed(exchange.readiness_changed_at, self.now) >= REMOVED_EXCHANGE_RETENTION {
            let name = exchange.name.clone();
            self.exchanges.remove(&id);
            self.exchange_ids.remove(&name);
            return;
        }
        // The list may be late, and the exchange may serve again: the calls are released on its connection before that is
        // closed.
        self.cut_established_calls(id, effects);
        self.close_exchange_conns(id, effects);
        self.set_timer(REMOVED_EXCHANGE_RETENTION, Timer::RemoveExchange(id));
    }

    /// Cuts the established calls of an exchange.
    fn cut_established_calls(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        self.cut_calls(id, self.calls_where(|call| call.is_established_at(id)), effects);
    }

    /// Cuts established calls of an exchange. If it runs after all, it receives their releases on its open connection, or on
    /// the next one.
    pub(super) fn cut_calls(&mut self, id: ExchangeId, calls: Vec<CallId>, effects: &mut Vec<Effect>) {
        for call in calls {
            let release = Release::known(self.calls[&call].uid, CAUSE_NORMAL_CLEARING, self.now);
            self.send_or_queue_release(id, release, effects);
            self.end_established(call, id, Outcome::Reset, ReleasedBy::ExchangeLost, effects);
        }
    }

    /// Ids of the calls that match a predicate, in the order in which they arrived.
    pub(super) fn calls_where(&self, predicate: impl Fn(&Call) -> bool) -> Vec<CallId> {
        let mut ids: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| predicate(call)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Handles an unsolicited report of the state of the group toward an exchange.
    pub(super) fn group_state_received(&mut self, exchange_conn: ExchangeConnId, report: LoadReport) {
        let exchange =
            self.exchange_conns.get(&exchange_conn).and_then(|conn| self.exchanges.get_mut(&conn.exchange));
        if let Some(exchange) = exchange {
            exchange.reports_group = true;
        }
        self.probe_result_received(exchange_conn, true, Some(report));
    }

    /// Stores the state of a group from a load report, for the status and the records.
    fn update_group(&mut self, id: ExchangeId, report: Option<&LoadReport>) {
        let (free, total) = self.group_fields;
        let value = |index: Option<usize>| {
            let value = report?.get(index?).copied().filter(|value| value.is_finite() && *value >= 0.0)?;
            Some(value.min(f64::from(u32::MAX)) as u32)
        };
        let (Some(free), Some(exchange)) = (value(free), self.exchanges.get_mut(&id)) else { return };
        let group = (free, value(total).unwrap_or_default());
        if exchange.group.replace(group) != Some(group) {
            self.record_group(id);
        }
    }

    pub(super) fn probe_result_received(
        &mut self,
        exchange_conn: ExchangeConnId,
        answered: bool,
        report: Option<LoadReport>,
    ) {
        self.mark_active(exchange_conn);
        if let Some(exchange) = self.exchange_conns.get(&exchange_conn).map(|conn| conn.exchange) {
            self.update_group(exchange, report.as_ref());
            if report.is_some() {
                self.compare_group_with_calls(exchange, exchange_conn);
            }
            self.controller_events.push_back(Event::ProbeResult {
                exchange,
                answered,
                elapsed_ms: 0.0,
                report,
            });
        }
    }
}
