//! The exchanges that the engine knows: how they are listed and the way to each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use super::{
    Call, CallId, CallName, ConnId, Effect, Engine, Entry, Event, ExchangeId, FORGET, LAST_WORDS, ListKind,
    Listed, Number, Outcome, PeerWord, Phase, REDIAL, Readiness, Reason, Timer, clock, since,
};
use crate::interface::Report;

/// The way to an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// None open.
    Down,
    /// One is being opened.
    Dialling(ConnId),
    /// One is open.
    Up(ConnId),
}

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) number: Number,
    pub(super) readiness: Readiness,
    pub(super) told_at: SystemTime,
    pub(super) way: Way,
    /// Releases that wait for a way.
    pub(super) releases: Vec<(CallName, u8)>,
    redialling: bool,
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

    pub(super) fn learn_list(&mut self, entries: Vec<Entry>, kind: ListKind, effects: &mut Vec<Effect>) {
        let mut listed = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.peer_id(&entry.name);
            listed.push(Listed {
                id,
                number: entry.number,
                zone: entry.zone,
                born_ms: entry.born.map_or(0.0, clock),
                readiness: entry.readiness,
            });
            let now = self.now;
            let peer = self.peers.entry(id).or_insert_with(|| Peer {
                name: entry.name.clone(),
                address: entry.address,
                number: entry.number,
                readiness: entry.readiness,
                told_at: now,
                way: Way::Down,
                releases: Vec::new(),
                redialling: false,
            });
            if peer.readiness != entry.readiness {
                (peer.readiness, peer.told_at) = (entry.readiness, now);
            }
            (peer.address, peer.number) = (entry.address, entry.number);
        }
        let gone: Vec<ExchangeId> = self
            .peers
            .iter()
            .filter(|(id, peer)| peer.readiness != Readiness::Gone && !listed.iter().any(|l| l.id == **id))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(peer) = self.peers.get_mut(&id) {
                (peer.readiness, peer.told_at) = (Readiness::Gone, self.now);
            }
            self.set_timer(LAST_WORDS, Timer::Bury(id));
        }
        let down: Vec<ExchangeId> = listed.iter().map(|l| l.id).collect();
        for id in down {
            if self.peers.get(&id).is_some_and(|peer| peer.way == Way::Down && !peer.redialling) {
                self.dial(id, effects);
            }
        }
        self.events.push_back(Event::List { kind, entries: listed });
    }

    /// Opens a way to an exchange that is not gone: news of its group comes only on an open one.
    pub(super) fn dial(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.way != Way::Down || peer.readiness == Readiness::Gone || Some(peer.number) == self.home {
            return;
        }
        self.last_conn += 1;
        let conn = self.last_conn;
        peer.way = Way::Dialling(conn);
        self.conns.insert(conn, id);
        let (name, number, address) = (peer.name.clone(), peer.number, peer.address);
        effects.push(Effect::Connect { conn, peer: id, name, number, address });
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
            && peer.readiness != Readiness::Gone
        {
            peer.redialling = true;
            self.set_timer(REDIAL, Timer::Redial(id));
        }
    }

    pub(super) fn connected(&mut self, conn: ConnId, effects: &mut Vec<Effect>) {
        let Some(id) = self.conns.get(&conn).copied() else { return };
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.way = Way::Up(conn);
        for (call, cause) in std::mem::take(&mut peer.releases) {
            effects.push(Effect::ToExchange { conn, call, word: PeerWord::Release { cause } });
        }
        for call in self.calls_where(|call| matches!(call.phase, Phase::Out { to, .. } if to == id)) {
            self.transmit(call, effects);
        }
    }

    pub(super) fn connect_failed(&mut self, conn: ConnId, refused: bool, effects: &mut Vec<Effect>) {
        let Some(id) = self.conns.remove(&conn) else { return };
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.way = Way::Down;
        }
        for call in self.calls_where(|call| matches!(call.phase, Phase::Out { to, .. } if to == id)) {
            self.attempt_over(call, Outcome::NoConnection, Reason::None);
        }
        if refused {
            self.cut_standing(id, effects);
        }
        self.redial_later(id);
    }

    /// An exchange that closed a connection may live on, with the calls that stand there; one that reset it
    /// has died, and they are cut.
    pub(super) fn connection_lost(&mut self, conn: ConnId, reset: bool, effects: &mut Vec<Effect>) {
        let Some(id) = self.conns.remove(&conn) else { return };
        let Some(peer) = self.peers.get_mut(&id) else { return };
        peer.way = Way::Down;
        let gone = peer.readiness == Readiness::Gone;
        for call in self.calls_where(|call| matches!(call.phase, Phase::Out { to, .. } if to == id)) {
            self.attempt_over(call, Outcome::Reset, Reason::None);
        }
        if reset || gone {
            self.cut_standing(id, effects);
        }
        self.dial(id, effects);
    }

    /// Ends all dealings with an exchange that is no longer listed.
    pub(super) fn bury(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.readiness == Readiness::Gone) else {
            return;
        };
        if since(peer.told_at, self.now) >= FORGET {
            let name = peer.name.clone();
            self.peers.remove(&id);
            self.by_peer_name.remove(&name);
            return;
        }
        if let Way::Up(conn) | Way::Dialling(conn) = std::mem::replace(&mut peer.way, Way::Down) {
            self.conns.remove(&conn);
            effects.push(Effect::Close { conn });
        }
        for call in self.calls_where(|call| matches!(call.phase, Phase::Out { to, .. } if to == id)) {
            self.attempt_over(call, Outcome::Reset, Reason::None);
        }
        self.cut_standing(id, effects);
        self.set_timer(FORGET, Timer::Bury(id));
    }

    fn cut_standing(&mut self, id: ExchangeId, effects: &mut Vec<Effect>) {
        for call in self.calls_where(|call| call.phase == Phase::Standing { at: id }) {
            self.end_standing(call, id, Outcome::Reset, effects);
        }
    }

    /// Ids of the calls for which this holds, in the order in which they came.
    fn calls_where(&self, holds: impl Fn(&Call) -> bool) -> Vec<CallId> {
        let mut ids: Vec<CallId> = self.calls.iter().filter(|(_, c)| holds(c)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    pub(super) fn probed(&mut self, conn: ConnId, answered: bool, report: Option<Report>) {
        if let Some(exchange) = self.conns.get(&conn).copied() {
            self.events.push_back(Event::Probed { exchange, answered, took_ms: 0.0, report });
        }
    }
}
