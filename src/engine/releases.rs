//! Releases of calls towards exchanges.
//!
//! A release that was written to a connection may be lost with it. So each is kept until the exchange confirms it, or for
//! `RESEND_TIME`, and sent again on the next connection. A release of a call that does not stand there has no effect.

use std::time::Duration;

use super::exchange_state::{
    CAUSE_NORMAL_CLEARING, ConnState, Exchange, ExchangeConn, Release, UnconfirmedRelease,
};
use super::{
    CallId, CallUid, Effect, Engine, ExchangeConnId, ExchangeId, ExchangeMessage, Readiness, elapsed,
};

/// Time for which a release that the exchange has not confirmed is sent again: by then its call is over or lost.
const RESEND_TIME: Duration = Duration::from_secs(8);

/// Time after its start for which a process expects hang-ups of calls that were established before it: nearly all of them
/// have ended by then.
const EARLIER_CALLS_TIME: Duration = Duration::from_secs(300);

impl Engine {
    /// Sends the release of an established call to its exchange, or queues it and opens a connection if there is none.
    pub(super) fn release_at_exchange(
        &mut self,
        id: CallId,
        at: ExchangeId,
        cause: u8,
        effects: &mut Vec<Effect>,
    ) {
        self.send_or_queue_release(at, Release::known(self.calls[&id].uid, cause, self.now), effects);
        self.connect(at, effects);
    }

    /// Whether hang-ups of calls that were established before this process started are still expected.
    pub(super) fn expects_earlier_calls(&self) -> bool {
        elapsed(self.started_at, self.now) < EARLIER_CALLS_TIME
    }

    /// Releases a call that was established before this process started, at whichever exchange it stands.
    pub(super) fn release_earlier_call(&mut self, call: CallUid, cause: u8, effects: &mut Vec<Effect>) {
        if !self.expects_earlier_calls() {
            return;
        }
        self.remember_ended(call);
        let release = Release { call, cause, is_known_there: false, created_at: self.now };
        let is_listed = |exchange: &Exchange| {
            exchange.readiness != Readiness::Removed && Some(exchange.number) != self.home
        };
        let listed: Vec<ExchangeId> =
            self.exchanges.iter().filter(|(_, exchange)| is_listed(exchange)).map(|(id, _)| *id).collect();
        for id in listed {
            self.send_or_queue_release(id, release, effects);
        }
    }

    /// Sends a release to an exchange, or queues it until a connection is open.
    pub(super) fn send_or_queue_release(
        &mut self,
        at: ExchangeId,
        release: Release,
        effects: &mut Vec<Effect>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&at) else { return };
        if let ConnState::Up(exchange_conn) = exchange.conn {
            self.send_release_on(exchange_conn, release, effects);
        } else {
            exchange.pending_releases.push(release);
        }
    }

    /// Sends a release on a connection, and keeps it until it is confirmed.
    pub(super) fn send_release_on(
        &mut self,
        exchange_conn: ExchangeConnId,
        release: Release,
        effects: &mut Vec<Effect>,
    ) {
        self.keep_until_confirmed(exchange_conn, release);
        let message = ExchangeMessage::Release { cause: release.cause };
        effects.push(Effect::ToExchange { exchange_conn, call: release.call, message });
    }

    /// Cancels a set-up that was sent on a connection, and keeps the cancel until it is confirmed: the call may be
    /// established by the time it is read.
    pub(super) fn send_cancel_on(
        &mut self,
        exchange_conn: ExchangeConnId,
        call: CallUid,
        effects: &mut Vec<Effect>,
    ) {
        self.keep_until_confirmed(exchange_conn, Release::known(call, CAUSE_NORMAL_CLEARING, self.now));
        effects.push(Effect::ToExchange { exchange_conn, call, message: ExchangeMessage::Cancel });
    }

    fn keep_until_confirmed(&mut self, exchange_conn: ExchangeConnId, release: Release) {
        let now = self.now;
        // A leg of IAX2 sends its frames again by itself.
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn).filter(|conn| !conn.carries_calls) {
            conn.unconfirmed_releases.push_back(UnconfirmedRelease { sent_at: now, release });
        }
    }

    /// Registers that an exchange has heard the release of a call.
    pub(super) fn release_confirmed(&mut self, exchange_conn: ExchangeConnId, call: CallUid) {
        self.mark_active(exchange_conn);
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn) {
            conn.unconfirmed_releases.retain(|sent| sent.release.call != call);
        }
    }

    /// Forgets the releases of a call on a connection on which it is set up again: they concern earlier attempts and are
    /// read before the set-up.
    pub(super) fn forget_releases(&mut self, exchange_conn: ExchangeConnId, call: CallUid) {
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn) {
            conn.unconfirmed_releases.retain(|sent| sent.release.call != call);
        }
    }

    /// Whether an exchange has yet to confirm the release of a call that stood there.
    pub(super) fn awaits_release_confirmation(&self, id: ExchangeId) -> bool {
        let mut conns = self.exchange_conns.values().filter(|conn| conn.exchange == id);
        conns.any(|conn| conn.awaits_confirmation_since().is_some())
    }

    /// Forgets all releases that were sent on the open connection to an exchange.
    pub(super) fn forget_unconfirmed_releases(&mut self, id: ExchangeId) {
        for conn in self.exchange_conns.values_mut().filter(|conn| conn.exchange == id) {
            conn.unconfirmed_releases.clear();
        }
    }

    /// Sends the unconfirmed releases of a lost connection again, on the connection that is open now or on the next one.
    pub(super) fn resend_releases(&mut self, lost: ExchangeConn, effects: &mut Vec<Effect>) {
        for sent in lost.unconfirmed_releases {
            if elapsed(sent.sent_at, self.now) < RESEND_TIME {
                self.send_or_queue_release(lost.exchange, sent.release, effects);
            }
        }
    }

    /// Drops the releases that are not sent again any more, and those of calls that may be anywhere whose exchange has been
    /// out of reach for as long.
    pub(super) fn expire_releases(&mut self) {
        let now = self.now;
        let is_wanted =
            |release: &Release| release.is_known_there || elapsed(release.created_at, now) < RESEND_TIME;
        for exchange in self.exchanges.values_mut() {
            exchange.pending_releases.retain(is_wanted);
        }
        for conn in self.exchange_conns.values_mut() {
            conn.unconfirmed_releases.retain(|sent| elapsed(sent.sent_at, now) < RESEND_TIME);
        }
    }
}
