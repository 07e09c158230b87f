//! The exchanges that the engine knows: how they are listed and the ways to each.
//!
//! A way that breaks proves nothing of the process at its far end: connections are reset while it lives. That it
//! is dead shows when the next connection is refused, when none comes up for a while, or when the list no
//! longer has it; only then are the calls that stand there cut. A way that stays open may be dead too: when
//! nothing comes on it although something is owed, another is opened beside it, and takes its place once it is up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::{
    Call, CallId, CallUid, Effect, Engine, Event, ExchangeConnId, ExchangeId, ExchangeMessage, ListEntry,
    ListUpdateKind, ListedExchange, Number, Outcome, Phase, RECONNECT_DELAY, REMOVAL_GRACE,
    REMOVED_EXCHANGE_RETENTION, Readiness, Reason, Timer, elapsed, unix_ms,
};
use crate::interface::LoadReport;
use swiftlb_record::{ConnectionChange, ReleasedBy};

/// Cause of a normal end.
const CAUSE_NORMAL_CLEARING: u8 = 16;
/// Time between two looks at the ways to an exchange.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A way on which nothing has come for this long since a set-up went out is as good as dead, however slow the
/// processor beyond may be: a set-up takes a circuit, and the news of that came within 1 ms each of 1,158 times
/// that were measured, and never on a way on which the set-up stayed without an answer as well.
pub(super) const SETUP_SILENCE_LIMIT: Duration = Duration::from_millis(150);
/// The same for an exchange that has never told anything of its group: there a set-up may take its time.
const SETUP_SILENCE_LIMIT_WITHOUT_REPORTS: Duration = Duration::from_secs(2);
/// The same for a way on which nothing is out, but calls stand whose ends would come on it.
const ESTABLISHED_SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// When no connection has come up for this long the machine is gone, and the calls that stood there with it.
/// With the time in which that shows, their callers are told well within 8 s.
const MAX_UNREACHABLE_TIME: Duration = Duration::from_secs(2);
/// A way that broke sooner than this after it came up is not opened again at once.
const MIN_CONN_LIFETIME: Duration = Duration::from_millis(200);

/// The way to an exchange on which set-ups go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnState {
    /// None open.
    Down,
    /// One is being opened.
    Connecting(ExchangeConnId),
    /// One is open.
    Up(ExchangeConnId),
}

/// One connection to an exchange.
#[derive(Debug)]
pub(super) struct ExchangeConn {
    pub(super) exchange: ExchangeId,
    opened_at: SystemTime,
    pub(super) last_received: SystemTime,
    /// Calls that stand belong to it and end with it, so no other can take its place.
    carries_calls: bool,
}

#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) number: Number,
    pub(super) zone: u16,
    pub(super) started_at: Option<SystemTime>,
    pub(super) readiness: Readiness,
    pub(super) readiness_changed_at: SystemTime,
    pub(super) conn: ConnState,
    /// Being opened beside the way, to take its place.
    replacement: Option<ExchangeConnId>,
    /// No connection has come up since then.
    unreachable_since: Option<SystemTime>,
    /// Releases that wait for a way.
    pub(super) pending_releases: Vec<(CallUid, u8)>,
    reconnect_scheduled: bool,
    check_scheduled: bool,
    /// It tells of its group.
    reports_group: bool,
    /// Free circuits of its group and the size of it, as last heard.
    pub(super) group: Option<(u32, u32)>,
}

impl Engine {
    /// The module's id of an exchange: its own for each name, because a later exchange may have the address.
    fn exchange_id(&mut self, name: &Arc<str>) -> ExchangeId {
        if let Some(id) = self.exchange_ids.get(name) {
            return *id;
        }
        self.last_exchange += 1;
        let id = ExchangeId { address: self.last_exchange.to_be_bytes(), port: 0 };
        self.exchange_ids.insert(name.clone(), id);
        id
    }

    pub(super) fn apply_list(
        &mut self,
        entries: Vec<ListEntry>,
        kind: ListUpdateKind,
        effects: &mut Vec<Effect>,
    ) {
        let mut listed = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.exchange_id(&entry.name);
            let differs = self.entry_changed(id, &entry);
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
                reports_group: false,
                group: None,
            });
            if exchange.readiness != entry.readiness {
                (exchange.readiness, exchange.readiness_changed_at) = (entry.readiness, now);
            }
            (exchange.address, exchange.number) = (entry.address, entry.number);
            (exchange.zone, exchange.started_at) = (entry.zone, entry.started_at);
            if differs {
                self.record_exchange(id);
            }
        }
        let gone: Vec<ExchangeId> = self
            .exchanges
            .iter()
            .filter(|(id, exchange)| {
                exchange.readiness != Readiness::Removed && !listed.iter().any(|l| l.id == **id)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(exchange) = self.exchanges.get_mut(&id) {
                (exchange.readiness, exchange.readiness_changed_at) = (Readiness::Removed, self.now);
            }
            self.record_exchange(id);
            self.set_timer(REMOVAL_GRACE, Timer::RemoveExchange(id));
        }
        let down: Vec<ExchangeId> = listed.iter().map(|l| l.id).collect();
        for id in down {
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
        if exchange.readiness == Readiness::Removed || Some(exchange.number) == self.home {
            return None;
        }
        self.last_exchange_conn += 1;
        let exchange_conn = self.last_exchange_conn;
        self.exchange_conns.insert(
            exchange_conn,
            ExchangeConn { exchange: id, opened_at: now, last_received: now, carries_calls: false },
        );
        let (name, number, address) = (exchange.name.clone(), exchange.number, exchange.address);
        effects.push(Effect::ConnectExchange { exchange_conn, exchange: id, name, number, address });
        Some(exchange_conn)
    }

    /// Opens a way to an exchange that is not gone: news of its group comes only on an open one.
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

    /// Something has come on a way.
    pub(super) fn mark_active(&mut self, exchange_conn: ExchangeConnId) {
        let now = self.now;
        if let Some(held) = self.exchange_conns.get_mut(&exchange_conn) {
            held.last_received = now;
            if let Some(exchange) = self.exchanges.get_mut(&held.exchange) {
                exchange.unreachable_since = None;
            }
        }
    }

    pub(super) fn exchange_connected(
        &mut self,
        exchange_conn: ExchangeConnId,
        bound: bool,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(held) = self.exchange_conns.get_mut(&exchange_conn) else {
            // It was given up while it was being opened, and nobody else would ever close it.
            effects.push(Effect::CloseExchangeConn { exchange_conn });
            return;
        };
        (held.opened_at, held.last_received, held.carries_calls) = (now, now, bound);
        let id = held.exchange;
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
        // Releases first: a set-up that comes again may have left a call standing there under the same id.
        for (call, cause) in std::mem::take(&mut exchange.pending_releases) {
            effects.push(Effect::ToExchange {
                exchange_conn,
                call,
                message: ExchangeMessage::Release { cause },
            });
        }
        let waits = |call: &Call| matches!(call.phase, Phase::Attempting { exchange: to, conn: None, .. } if to == id);
        for call in self.calls_where(waits) {
            self.send_setup(call, effects);
        }
    }

    pub(super) fn exchange_connect_failed(
        &mut self,
        exchange_conn: ExchangeConnId,
        refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.exchange_conns.remove(&exchange_conn).map(|held| held.exchange) else { return };
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
        let since_when = *exchange.unreachable_since.get_or_insert(now);
        if refused || elapsed(since_when, now) >= MAX_UNREACHABLE_TIME {
            self.exchange_failed(id, refused, effects);
        } else if exchange.conn == ConnState::Down {
            self.fail_unsent_setups(id);
            self.schedule_reconnect(id);
        }
    }

    /// Set-ups that wait for a way have proved that nothing of them ran.
    fn fail_unsent_setups(&mut self, id: ExchangeId) {
        let waits = |call: &Call| matches!(call.phase, Phase::Attempting { exchange: to, conn: None, .. } if to == id);
        for call in self.calls_where(waits) {
            self.end_attempt(call, Outcome::NoConnection, Reason::Unspecified);
        }
    }

    /// A way has broken, was closed, or is of no further use. The set-ups out on it are over, as far as this
    /// softswitch can tell; calls that stand belong to no connection.
    pub(super) fn exchange_disconnected(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        let Some(held) = self.exchange_conns.remove(&exchange_conn) else { return };
        let (id, now) = (held.exchange, self.now);
        self.record_connection(id, ConnectionChange::Lost);
        self.reset_open_attempts(exchange_conn, id, effects);
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        if exchange.conn != ConnState::Up(exchange_conn) {
            return;
        }
        exchange.conn = exchange.replacement.take().map_or(ConnState::Down, ConnState::Connecting);
        if exchange.readiness == Readiness::Removed {
            self.cut_established_calls(id, effects);
        } else if held.carries_calls {
            self.cut_established_calls(id, effects);
            self.connect(id, effects);
        } else if elapsed(held.opened_at, now) < MIN_CONN_LIFETIME {
            self.schedule_reconnect(id);
        } else {
            self.connect(id, effects);
        }
    }

    /// Ends the attempts that went out on a way that is no more. Some may have run, and stand at the exchange
    /// with their circuits taken: it is told that they are over, on the way that is open or on the next.
    fn reset_open_attempts(
        &mut self,
        exchange_conn: ExchangeConnId,
        id: ExchangeId,
        effects: &mut Vec<Effect>,
    ) {
        let out_there = |call: &Call| matches!(call.phase, Phase::Attempting { conn: on, .. } if on == Some(exchange_conn));
        for call in self.calls_where(out_there) {
            let name = self.calls[&call].uid;
            self.end_attempt(call, Outcome::Reset, Reason::Unspecified);
            match self.exchanges.get_mut(&id) {
                Some(Exchange { conn: ConnState::Up(open), .. }) if *open != exchange_conn => {
                    let (exchange_conn, message) = (*open, ExchangeMessage::Cancel);
                    effects.push(Effect::ToExchange { exchange_conn, call: name, message });
                }
                Some(exchange) => exchange.pending_releases.push((name, CAUSE_NORMAL_CLEARING)),
                None => {}
            }
        }
    }

    /// Looks now and then whether the way to an exchange may be dead though it is open.
    pub(super) fn check_exchange(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        if exchange.readiness == Readiness::Removed {
            exchange.check_scheduled = false;
            return;
        }
        self.set_timer(CHECK_INTERVAL, Timer::CheckExchange(id));
        self.replace_silent_conn(id, effects);
    }

    /// A set-up went out on this way a moment ago.
    pub(super) fn check_silence(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        if let Some(id) = self.exchange_conns.get(&exchange_conn).map(|held| held.exchange) {
            self.replace_silent_conn(id, effects);
        }
    }

    /// Opens another way beside the one that is open, if that may be dead.
    fn replace_silent_conn(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let ConnState::Up(exchange_conn) = exchange.conn else { return };
        let Some(held) = self.exchange_conns.get(&exchange_conn).filter(|held| !held.carries_calls) else {
            return;
        };
        let quiet = |from: SystemTime| elapsed(from.max(held.last_received), self.now);
        let limit =
            if exchange.reports_group { SETUP_SILENCE_LIMIT } else { SETUP_SILENCE_LIMIT_WITHOUT_REPORTS };
        let owed = |call: &Call| {
            matches!(call.phase, Phase::Attempting { conn: on, sent_at: sent, .. }
            if on == Some(exchange_conn) && held.last_received <= sent && quiet(sent) >= limit)
        };
        let doubtful = exchange.unreachable_since.is_some()
            || (quiet(held.opened_at) >= ESTABLISHED_SILENCE_LIMIT
                && self.calls.values().any(|c| c.phase == Phase::Established { exchange: id }))
            || self.calls.values().any(owed);
        if exchange.replacement.is_none() && doubtful {
            let spare = self.open_conn(id, effects);
            if let Some(exchange) = self.exchanges.get_mut(&id) {
                exchange.replacement = spare;
            }
        }
    }

    fn close_exchange_conn(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        effects.push(Effect::CloseExchangeConn { exchange_conn });
        self.exchange_disconnected(exchange_conn, effects);
    }

    /// Nothing runs at this exchange any more, whatever is still open to it.
    fn exchange_failed(&mut self, id: ExchangeId, refused: bool, effects: &mut Vec<Effect>) {
        self.close_exchange_conns(id, effects);
        self.cut_established_calls(id, effects);
        if refused && let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.pending_releases.clear();
        }
        self.schedule_reconnect(id);
    }

    /// Closes every way to an exchange, with all that waits for one.
    fn close_exchange_conns(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        let way = match std::mem::replace(&mut exchange.conn, ConnState::Down) {
            ConnState::Up(exchange_conn) | ConnState::Connecting(exchange_conn) => Some(exchange_conn),
            ConnState::Down => None,
        };
        for exchange_conn in [way, exchange.replacement.take()].into_iter().flatten() {
            self.exchange_conns.remove(&exchange_conn);
            effects.push(Effect::CloseExchangeConn { exchange_conn });
            self.reset_open_attempts(exchange_conn, id, effects);
        }
        self.fail_unsent_setups(id);
    }

    /// Ends all dealings with an exchange that is no longer listed.
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
        self.close_exchange_conns(id, effects);
        self.cut_established_calls(id, effects);
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.pending_releases = Vec::new();
        }
        self.set_timer(REMOVED_EXCHANGE_RETENTION, Timer::RemoveExchange(id));
    }

    /// Ends the calls that stand at an exchange. If it lives after all, it is told so on the next way.
    fn cut_established_calls(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        for call in self.calls_where(|call| call.phase == Phase::Established { exchange: id }) {
            if let Some(exchange) = self.exchanges.get_mut(&id) {
                exchange.pending_releases.push((self.calls[&call].uid, CAUSE_NORMAL_CLEARING));
            }
            self.end_established(call, id, Outcome::Reset, ReleasedBy::ExchangeLost, effects);
        }
    }

    /// Ids of the calls for which this holds, in the order in which they came.
    pub(super) fn calls_where(&self, holds: impl Fn(&Call) -> bool) -> Vec<CallId> {
        let mut ids: Vec<CallId> = self.calls.iter().filter(|(_, c)| holds(c)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// News of the group toward an exchange has come unasked.
    pub(super) fn group_state_received(&mut self, exchange_conn: ExchangeConnId, report: LoadReport) {
        let exchange =
            self.exchange_conns.get(&exchange_conn).and_then(|held| self.exchanges.get_mut(&held.exchange));
        if let Some(exchange) = exchange {
            exchange.reports_group = true;
        }
        self.probe_answered(exchange_conn, true, Some(report));
    }

    /// Keeps what a report says of the group, for whoever looks at this softswitch or at its records.
    fn update_group(&mut self, id: ExchangeId, report: Option<&LoadReport>) {
        let (free, total) = self.group_fields;
        let value = |place: Option<usize>| {
            let value = report?.get(place?).copied().filter(|value| value.is_finite() && *value >= 0.0)?;
            Some(value.min(f64::from(u32::MAX)) as u32)
        };
        let (Some(free), Some(exchange)) = (value(free), self.exchanges.get_mut(&id)) else { return };
        let group = (free, value(total).unwrap_or_default());
        if exchange.group.replace(group) != Some(group) {
            self.record_group(id);
        }
    }

    pub(super) fn probe_answered(
        &mut self,
        exchange_conn: ExchangeConnId,
        answered: bool,
        report: Option<LoadReport>,
    ) {
        self.mark_active(exchange_conn);
        if let Some(exchange) = self.exchange_conns.get(&exchange_conn).map(|held| held.exchange) {
            self.update_group(exchange, report.as_ref());
            self.controller_events.push_back(Event::ProbeResult {
                exchange,
                answered,
                elapsed_ms: 0.0,
                report,
            });
        }
    }
}
