//! What the reducer knows of an exchange and of the connections to it; the rules are in `exchanges`, `releases` and
//! `restarts`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use super::{CallUid, ExchangeConnId, ExchangeId, Number, Readiness};

/// Q.850 cause "normal call clearing".
pub(super) const CAUSE_NORMAL_CLEARING: u8 = 16;

/// State of the connection to an exchange that set-ups are sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnState {
    /// There is no connection.
    Down,
    /// It is being opened.
    Connecting(ExchangeConnId),
    /// It is open.
    Up(ExchangeConnId),
}

/// A connection to an exchange.
#[derive(Debug)]
pub(super) struct ExchangeConn {
    pub(super) exchange: ExchangeId,
    pub(super) opened_at: SystemTime,
    pub(super) last_received: SystemTime,
    /// Releases that were sent on it and may be lost with it, oldest first.
    pub(super) unconfirmed_releases: VecDeque<UnconfirmedRelease>,
    /// Whether established calls belong to it and end with it, so that it cannot be replaced.
    pub(super) carries_calls: bool,
}

/// An exchange of the list, or one that was removed from it a short time ago.
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
    /// A second connection that is being opened to replace `conn`.
    pub(super) replacement: Option<ExchangeConnId>,
    /// Since when every attempt to connect has failed; `None` once a connection opens or a message arrives.
    pub(super) unreachable_since: Option<SystemTime>,
    /// Releases to be sent on the next connection.
    pub(super) pending_releases: Vec<Release>,
    pub(super) reconnect_scheduled: bool,
    pub(super) check_scheduled: bool,
    /// Its established calls that may have ended without a report.
    pub(super) suspect_calls: Option<SuspectCalls>,
    /// Whether it has reported the state of its group unasked.
    pub(super) reports_group: bool,
    /// Free circuits and size of its group, as last reported.
    pub(super) group: Option<(u32, u32)>,
}

/// A release of a call towards an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Release {
    pub(super) call: CallUid,
    /// Q.850 cause.
    pub(super) cause: u8,
    /// Whether the call is known to be at the exchange, or to have been sent there. Otherwise it may be at any exchange,
    /// and no reply is expected.
    pub(super) is_known_there: bool,
    pub(super) created_at: SystemTime,
}

impl Release {
    /// The release of a call that is at the exchange, or was sent there.
    pub(super) fn known(call: CallUid, cause: u8, now: SystemTime) -> Self {
        Self { call, cause, is_known_there: true, created_at: now }
    }
}

/// A release that was sent on a connection to an exchange and is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnconfirmedRelease {
    pub(super) sent_at: SystemTime,
    pub(super) release: Release,
}

impl ExchangeConn {
    /// When the oldest release was sent on this connection that the exchange should have confirmed.
    pub(super) fn awaits_confirmation_since(&self) -> Option<SystemTime> {
        self.unconfirmed_releases.iter().find(|sent| sent.release.is_known_there).map(|sent| sent.sent_at)
    }
}

/// The established calls of an exchange that may have ended, since an attempt to connect to it has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SuspectCalls {
    /// Calls established before this time may have ended with an earlier process.
    pub(super) established_before: SystemTime,
    /// Since when the reported state of the group has shown that some of them have ended.
    pub(super) mismatch_since: Option<SystemTime>,
}

impl SuspectCalls {
    /// The calls that are established at this time: another process may answer the next attempt to connect.
    pub(super) fn established_until(now: SystemTime) -> Self {
        Self { established_before: now, mismatch_since: None }
    }
}
