//! Releases of calls towards exchanges.
//!
//! A release that was written to a connection may be lost with it. So each is kept until the exchange confirms it, or for
//! `RESEND_TIME`, and sent again on the next connection. A release of a call that does not stand there has no effect.

use std::time::{Duration, SystemTime};

use super::exchanges::{ConnState, ExchangeConn};
use super::{CallId, CallUid, Effect, Engine, ExchangeConnId, ExchangeId, ExchangeMessage, elapsed};

/// Time for which a release that the exchange has not confirmed is sent again: by then its call is over or lost.
const RESEND_TIME: Duration = Duration::from_secs(8);

/// A release that was sent on a connection to an exchange and is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnconfirmedRelease {
    pub(super) sent_at: SystemTime,
    call: CallUid,
    /// Q.850 cause.
    cause: u8,
}

impl Engine {
    /// Sends the release of an established call to its exchange, or queues it and opens a connection if there is none.
    pub(super) fn release_at_exchange(
        &mut self,
        id: CallId,
        at: ExchangeId,
        cause: u8,
        effects: &mut Vec<Effect>,
    ) {
        self.send_or_queue_release(at, self.calls[&id].uid, cause, effects);
        self.connect(at, effects);
    }

    /// Sends the release of a call to an exchange, or queues it until a connection is open.
    pub(super) fn send_or_queue_release(
        &mut self,
        at: ExchangeId,
        call: CallUid,
        cause: u8,
        effects: &mut Vec<Effect>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&at) else { return };
        if let ConnState::Up(exchange_conn) = exchange.conn {
            let message = ExchangeMessage::Release { cause };
            self.send_release_message(exchange_conn, call, cause, message, effects);
        } else {
            exchange.pending_releases.push((call, cause));
        }
    }

    /// Sends a release, or the cancel of a set-up, on a connection, and keeps it until it is confirmed.
    pub(super) fn send_release_message(
        &mut self,
        exchange_conn: ExchangeConnId,
        call: CallUid,
        cause: u8,
        message: ExchangeMessage,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        // A leg of IAX2 sends its frames again by itself.
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn).filter(|conn| !conn.carries_calls) {
            conn.unconfirmed_releases.push_back(UnconfirmedRelease { sent_at: now, call, cause });
        }
        effects.push(Effect::ToExchange { exchange_conn, call, message });
    }

    /// Registers that an exchange has heard the release of a call.
    pub(super) fn release_confirmed(&mut self, exchange_conn: ExchangeConnId, call: CallUid) {
        self.mark_active(exchange_conn);
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn) {
            conn.unconfirmed_releases.retain(|release| release.call != call);
        }
    }

    /// Forgets the releases of a call on a connection on which it is set up again: they concern earlier attempts and are
    /// read before the set-up.
    pub(super) fn forget_releases(&mut self, exchange_conn: ExchangeConnId, call: CallUid) {
        if let Some(conn) = self.exchange_conns.get_mut(&exchange_conn) {
            conn.unconfirmed_releases.retain(|release| release.call != call);
        }
    }

    /// Sends the unconfirmed releases of a lost connection again, on the connection that is open now or on the next one.
    pub(super) fn resend_releases(&mut self, lost: ExchangeConn, effects: &mut Vec<Effect>) {
        for release in lost.unconfirmed_releases {
            if elapsed(release.sent_at, self.now) < RESEND_TIME {
                self.send_or_queue_release(lost.exchange, release.call, release.cause, effects);
            }
        }
    }

    /// Drops the releases that are not sent again any more.
    pub(super) fn expire_unconfirmed_releases(&mut self) {
        let now = self.now;
        for conn in self.exchange_conns.values_mut() {
            conn.unconfirmed_releases.retain(|release| elapsed(release.sent_at, now) < RESEND_TIME);
        }
    }
}
