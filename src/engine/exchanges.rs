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
    Call, CallId, CallUid, Effect, Engine, Event, ExchangeConnId, ExchangeId, ExchangeMessage, FORGET,
    LAST_WORDS, ListEntry, ListUpdateKind, ListedExchange, Number, Outcome, Phase, REDIAL, Readiness, Reason,
    Timer, clock, since,
};
use crate::interface::LoadReport;
use swiftlb_record::{ConnectionChange, ReleasedBy};

/// Cause of a normal end.
const NORMAL: u8 = 16;
/// Time between two looks at the ways to an exchange.
const WATCH: Duration = Duration::from_millis(250);
/// A way on which nothing has come for this long since a set-up went out is as good as dead, however slow the
/// processor beyond may be: a set-up takes a circuit, and the news of that came within 1 ms each of 1,158 times
/// that were measured, and never on a way on which the set-up stayed without an answer as well.
pub(super) const QUIET: Duration = Duration::from_millis(150);
/// The same for an exchange that has never told anything of its group: there a set-up may take its time.
const QUIET_UNTOLD: Duration = Duration::from_secs(2);
/// The same for a way on which nothing is out, but calls stand whose ends would come on it.
const SILENT: Duration = Duration::from_secs(3);
/// When no connection has come up for this long the machine is gone, and the calls that stood there with it.
/// With the time in which that shows, their callers are told well within 8 s.
const UNREACHABLE: Duration = Duration::from_secs(2);
/// A way that broke sooner than this after it came up is not opened again at once.
const SHORT_LIVED: Duration = Duration::from_millis(200);

/// The way to an exchange on which set-ups go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// None open.
    Down,
    /// One is being opened.
    Dialling(ExchangeConnId),
    /// One is open.
    Up(ExchangeConnId),
}

/// One connection to an exchange.
#[derive(Debug)]
pub(super) struct Conn {
    pub(super) peer: ExchangeId,
    up: SystemTime,
    pub(super) heard: SystemTime,
    /// Calls that stand belong to it and end with it, so no other can take its place.
    bound: bool,
}

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) number: Number,
    pub(super) zone: u16,
    pub(super) born: Option<SystemTime>,
    pub(super) readiness: Readiness,
    pub(super) told_at: SystemTime,
    pub(super) way: Way,
    /// Being opened beside the way, to take its place.
    spare: Option<ExchangeConnId>,
    /// No connection has come up since then.
    unreachable: Option<SystemTime>,
    /// Releases that wait for a way.
    pub(super) releases: Vec<(CallUid, u8)>,
    redialling: bool,
    watched: bool,
    /// It tells of its group.
    tells: bool,
    /// Free circuits of its group and the size of it, as last heard.
    pub(super) group: Option<(u32, u32)>,
}

impl Engine {
    /// The module's id of an exchange: its own for each name, because a later exchange may have the address.
    fn peer_id(&mut self, name: &Arc<str>) -> ExchangeId {
        if let Some(id) = self.by_peer_name.get(name) {
            return *id;
        }
        self.last_peer += 1;
        let id = ExchangeId { address: self.last_peer.to_be_bytes(), port: 0 };
        self.by_peer_name.insert(name.clone(), id);
        id
    }

    pub(super) fn learn_list(
        &mut self,
        entries: Vec<ListEntry>,
        kind: ListUpdateKind,
        effects: &mut Vec<Effect>,
    ) {
        let mut listed = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.peer_id(&entry.name);
            let differs = self.differs(id, &entry);
            listed.push(ListedExchange {
                id,
                number: entry.number,
                zone: entry.zone,
                started_ms: entry.started_at.map_or(0.0, clock),
                readiness: entry.readiness,
            });
            let now = self.now;
            let peer = self.peers.entry(id).or_insert_with(|| Peer {
                name: entry.name.clone(),
                address: entry.address,
                number: entry.number,
                zone: entry.zone,
                born: entry.started_at,
                readiness: entry.readiness,
                told_at: now,
                way: Way::Down,
                spare: None,
                unreachable: None,
                releases: Vec::new(),
                redialling: false,
                watched: false,
                tells: false,
                group: None,
            });
            if peer.readiness != entry.readiness {
                (peer.readiness, peer.told_at) = (entry.readiness, now);
            }
            (peer.address, peer.number) = (entry.address, entry.number);
            (peer.zone, peer.born) = (entry.zone, entry.started_at);
            if differs {
                self.note_exchange(id);
            }
        }
        let gone: Vec<ExchangeId> = self
            .peers
            .iter()
            .filter(|(id, peer)| peer.readiness != Readiness::Removed && !listed.iter().any(|l| l.id == **id))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(peer) = self.peers.get_mut(&id) {
                (peer.readiness, peer.told_at) = (Readiness::Removed, self.now);
            }
            self.note_exchange(id);
            self.set_timer(LAST_WORDS, Timer::Bury(id));
        }
        let down: Vec<ExchangeId> = listed.iter().map(|l| l.id).collect();
        for id in down {
            if let Some(peer) = self.peers.get_mut(&id)
                && !std::mem::replace(&mut peer.watched, true)
            {
                self.set_timer(WATCH, Timer::Watch(id));
            }
            if self.peers.get(&id).is_some_and(|peer| peer.way == Way::Down && !peer.redialling) {
                self.dial(id, effects);
            }
        }
        self.events.push_back(Event::List { kind, entries: listed });
    }

    fn dial_as(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) -> Option<ExchangeConnId> {
        let (now, peer) = (self.now, self.peers.get(&id)?);
        if peer.readiness == Readiness::Removed || Some(peer.number) == self.home {
            return None;
        }
        self.last_conn += 1;
        let exchange_conn = self.last_conn;
        self.conns.insert(exchange_conn, Conn { peer: id, up: now, heard: now, bound: false });
        let (name, number, address) = (peer.name.clone(), peer.number, peer.address);
        effects.push(Effect::ConnectExchange { exchange_conn, exchange: id, name, number, address });
        Some(exchange_conn)
    }

    /// Opens a way to an exchange that is not gone: news of its group comes only on an open one.
    pub(super) fn dial(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        if self.peers.get(&id).is_none_or(|peer| peer.way != Way::Down) {
            return;
        }
        if let Some(exchange_conn) = self.dial_as(id, effects)
            && let Some(peer) = self.peers.get_mut(&id)
        {
            peer.way = Way::Dialling(exchange_conn);
        }
    }

    pub(super) fn redial(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.redialling = false;
        }
        self.dial(id, effects);
    }

    fn redial_later(&mut self, id: ExchangeId) {
        if let Some(peer) = self.peers.get_mut(&id)
            && !peer.redialling
            && peer.readiness != Readiness::Removed
        {
            peer.redialling = true;
            self.set_timer(REDIAL, Timer::Redial(id));
        }
    }

    /// Something has come on a way.
    pub(super) fn note_heard(&mut self, exchange_conn: ExchangeConnId) {
        let now = self.now;
        if let Some(held) = self.conns.get_mut(&exchange_conn) {
            held.heard = now;
            if let Some(peer) = self.peers.get_mut(&held.peer) {
                peer.unreachable = None;
            }
        }
    }

    pub(super) fn connected(
        &mut self,
        exchange_conn: ExchangeConnId,
        bound: bool,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(held) = self.conns.get_mut(&exchange_conn) else {
            // It was given up while it was being opened, and nobody else would ever close it.
            effects.push(Effect::CloseExchangeConn { exchange_conn });
            return;
        };
        (held.up, held.heard, held.bound) = (now, now, bound);
        let id = held.peer;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.unreachable = None;
        if peer.spare == Some(exchange_conn) {
            peer.spare = None;
        }
        if let Way::Up(old) = std::mem::replace(&mut peer.way, Way::Dialling(exchange_conn)) {
            self.close_way(old, effects);
        }
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.way = Way::Up(exchange_conn);
        self.note_way(id, ConnectionChange::Up);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        // Releases first: a set-up that comes again may have left a call standing there under the same id.
        for (call, cause) in std::mem::take(&mut peer.releases) {
            effects.push(Effect::ToExchange {
                exchange_conn,
                call,
                message: ExchangeMessage::Release { cause },
            });
        }
        let waits = |call: &Call| matches!(call.phase, Phase::Out { to, on: None, .. } if to == id);
        for call in self.calls_where(waits) {
            self.transmit(call, effects);
        }
    }

    pub(super) fn connect_failed(
        &mut self,
        exchange_conn: ExchangeConnId,
        refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = self.conns.remove(&exchange_conn).map(|held| held.peer) else { return };
        let now = self.now;
        self.note_way(id, if refused { ConnectionChange::Refused } else { ConnectionChange::TimedOut });
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.spare == Some(exchange_conn) {
            peer.spare = None;
        } else {
            peer.way = Way::Down;
        }
        let since_when = *peer.unreachable.get_or_insert(now);
        if refused || since(since_when, now) >= UNREACHABLE {
            self.bury_process(id, refused, effects);
        } else if peer.way == Way::Down {
            self.fail_waiting(id);
            self.redial_later(id);
        }
    }

    /// Set-ups that wait for a way have proved that nothing of them ran.
    fn fail_waiting(&mut self, id: ExchangeId) {
        let waits = |call: &Call| matches!(call.phase, Phase::Out { to, on: None, .. } if to == id);
        for call in self.calls_where(waits) {
            self.attempt_over(call, Outcome::NoConnection, Reason::Unspecified);
        }
    }

    /// A way has broken, was closed, or is of no further use. The set-ups out on it are over, as far as this
    /// softswitch can tell; calls that stand belong to no connection.
    pub(super) fn connection_lost(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        let Some(held) = self.conns.remove(&exchange_conn) else { return };
        let (id, now) = (held.peer, self.now);
        self.note_way(id, ConnectionChange::Lost);
        self.reset_out(exchange_conn, id, effects);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.way != Way::Up(exchange_conn) {
            return;
        }
        peer.way = peer.spare.take().map_or(Way::Down, Way::Dialling);
        if peer.readiness == Readiness::Removed {
            self.cut_standing(id, effects);
        } else if held.bound {
            self.cut_standing(id, effects);
            self.dial(id, effects);
        } else if since(held.up, now) < SHORT_LIVED {
            self.redial_later(id);
        } else {
            self.dial(id, effects);
        }
    }

    /// Ends the attempts that went out on a way that is no more. Some may have run, and stand at the exchange
    /// with their circuits taken: it is told that they are over, on the way that is open or on the next.
    fn reset_out(&mut self, exchange_conn: ExchangeConnId, id: ExchangeId, effects: &mut Vec<Effect>) {
        let out_there =
            |call: &Call| matches!(call.phase, Phase::Out { on, .. } if on == Some(exchange_conn));
        for call in self.calls_where(out_there) {
            let name = self.calls[&call].name;
            self.attempt_over(call, Outcome::Reset, Reason::Unspecified);
            match self.peers.get_mut(&id) {
                Some(Peer { way: Way::Up(open), .. }) if *open != exchange_conn => {
                    let (exchange_conn, message) = (*open, ExchangeMessage::Cancel);
                    effects.push(Effect::ToExchange { exchange_conn, call: name, message });
                }
                Some(peer) => peer.releases.push((name, NORMAL)),
                None => {}
            }
        }
    }

    /// Looks now and then whether the way to an exchange may be dead though it is open.
    pub(super) fn watch(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.readiness == Readiness::Removed {
            peer.watched = false;
            return;
        }
        self.set_timer(WATCH, Timer::Watch(id));
        self.doubt(id, effects);
    }

    /// A set-up went out on this way a moment ago.
    pub(super) fn check_quiet(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        if let Some(id) = self.conns.get(&exchange_conn).map(|held| held.peer) {
            self.doubt(id, effects);
        }
    }

    /// Opens another way beside the one that is open, if that may be dead.
    fn doubt(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get(&id) else { return };
        let Way::Up(exchange_conn) = peer.way else { return };
        let Some(held) = self.conns.get(&exchange_conn).filter(|held| !held.bound) else { return };
        let quiet = |from: SystemTime| since(from.max(held.heard), self.now);
        let limit = if peer.tells { QUIET } else { QUIET_UNTOLD };
        let owed = |call: &Call| {
            matches!(call.phase, Phase::Out { on, sent, .. }
            if on == Some(exchange_conn) && held.heard <= sent && quiet(sent) >= limit)
        };
        let doubtful = peer.unreachable.is_some()
            || (quiet(held.up) >= SILENT
                && self.calls.values().any(|c| c.phase == Phase::Standing { at: id }))
            || self.calls.values().any(owed);
        if peer.spare.is_none() && doubtful {
            let spare = self.dial_as(id, effects);
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.spare = spare;
            }
        }
    }

    fn close_way(&mut self, exchange_conn: ExchangeConnId, effects: &mut Vec<Effect>) {
        effects.push(Effect::CloseExchangeConn { exchange_conn });
        self.connection_lost(exchange_conn, effects);
    }

    /// Nothing runs at this exchange any more, whatever is still open to it.
    fn bury_process(&mut self, id: ExchangeId, refused: bool, effects: &mut Vec<Effect>) {
        self.close_all(id, effects);
        self.cut_standing(id, effects);
        if refused && let Some(peer) = self.peers.get_mut(&id) {
            peer.releases.clear();
        }
        self.redial_later(id);
    }

    /// Closes every way to an exchange, with all that waits for one.
    fn close_all(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let way = match std::mem::replace(&mut peer.way, Way::Down) {
            Way::Up(exchange_conn) | Way::Dialling(exchange_conn) => Some(exchange_conn),
            Way::Down => None,
        };
        for exchange_conn in [way, peer.spare.take()].into_iter().flatten() {
            self.conns.remove(&exchange_conn);
            effects.push(Effect::CloseExchangeConn { exchange_conn });
            self.reset_out(exchange_conn, id, effects);
        }
        self.fail_waiting(id);
    }

    /// Ends all dealings with an exchange that is no longer listed.
    pub(super) fn bury(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.readiness == Readiness::Removed) else {
            return;
        };
        if since(peer.told_at, self.now) >= FORGET {
            let name = peer.name.clone();
            self.peers.remove(&id);
            self.by_peer_name.remove(&name);
            return;
        }
        self.close_all(id, effects);
        self.cut_standing(id, effects);
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.releases = Vec::new();
        }
        self.set_timer(FORGET, Timer::Bury(id));
    }

    /// Ends the calls that stand at an exchange. If it lives after all, it is told so on the next way.
    fn cut_standing(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        for call in self.calls_where(|call| call.phase == Phase::Standing { at: id }) {
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.releases.push((self.calls[&call].name, NORMAL));
            }
            self.end_standing(call, id, Outcome::Reset, ReleasedBy::ExchangeLost, effects);
        }
    }

    /// Ids of the calls for which this holds, in the order in which they came.
    pub(super) fn calls_where(&self, holds: impl Fn(&Call) -> bool) -> Vec<CallId> {
        let mut ids: Vec<CallId> = self.calls.iter().filter(|(_, c)| holds(c)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// News of the group toward an exchange has come unasked.
    pub(super) fn group_told(&mut self, exchange_conn: ExchangeConnId, report: LoadReport) {
        let peer = self.conns.get(&exchange_conn).and_then(|held| self.peers.get_mut(&held.peer));
        if let Some(peer) = peer {
            peer.tells = true;
        }
        self.probed(exchange_conn, true, Some(report));
    }

    /// Keeps what a report says of the group, for whoever looks at this softswitch or at its records.
    fn learn_group(&mut self, id: ExchangeId, report: Option<&LoadReport>) {
        let (free, total) = self.in_report;
        let value = |place: Option<usize>| {
            let value = report?.get(place?).copied().filter(|value| value.is_finite() && *value >= 0.0)?;
            Some(value.min(f64::from(u32::MAX)) as u32)
        };
        let (Some(free), Some(peer)) = (value(free), self.peers.get_mut(&id)) else { return };
        let group = (free, value(total).unwrap_or_default());
        if peer.group.replace(group) != Some(group) {
            self.note_group(id);
        }
    }

    pub(super) fn probed(
        &mut self,
        exchange_conn: ExchangeConnId,
        answered: bool,
        report: Option<LoadReport>,
    ) {
        self.note_heard(exchange_conn);
        if let Some(exchange) = self.conns.get(&exchange_conn).map(|held| held.peer) {
            self.learn_group(exchange, report.as_ref());
            self.events.push_back(Event::ProbeResult { exchange, answered, elapsed_ms: 0.0, report });
        }
    }
}
