//! The handover between two processes of one softswitch while one replaces the other: the messages between them, and
//! each process's share of the limits.

use std::sync::Arc;

use swiftlb_record::ReleasedBy;

use super::{
    CallUid, CallerMessage, Config, Effect, Engine, Front, HandoverState, LearnedValues, ListEntry,
    MAX_CONNECT_WAIT, MAX_LIST_WAIT, NO_CALLER_CONN, Outcome, Readiness, SIBLING_PROTOCOL_VERSION,
    SettingsError, SiblingMessage, SystemTime, Timer,
};

/// File descriptors of a process other than its caller and exchange connections: standard streams, poll, listeners,
/// operators' interface, resolver, sibling process, connections being closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Caller connections that a process may hold during a handover, however low the limit of descriptors is.
const MIN_CALLER_CONNS: usize = 4;

/// First version of the messages that has [`SiblingMessage::Drain`] and [`SiblingMessage::Callers`].
const DRAIN_AND_CALLERS_VERSION: u32 = 2;

/// The role of the sibling process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The sibling is being replaced by this process.
    Predecessor,
    /// The sibling replaces this process; `serving` once it accepts callers.
    Successor { serving: bool },
}

impl Engine {
    /// Creates the state of a process that replaces another one, and requests its first effects. It starts with the
    /// predecessor's list of exchanges and learned values, and accepts no caller connections until it is ready.
    ///
    /// # Errors
    /// If the decision module rejects the settings.
    pub fn take_over(
        config: &Config,
        handover: HandoverState,
        now: SystemTime,
        effects: &mut Vec<Effect>,
    ) -> Result<Self, SettingsError> {
        let HandoverState { list, serial, version, learned } = handover;
        let config = Config { exchanges: list, list_serial: serial, ..config.clone() };
        let mut engine = Self::new(&config, now, effects)?;
        for (topic, name, values) in learned {
            let exchange = name.as_ref().map(|name| engine.exchange_ids.get(name).copied());
            // Values of an exchange that is no longer in the list are dropped.
            if exchange != Some(None) {
                engine.controller.apply_learned(&LearnedValues {
                    topic,
                    exchange: exchange.flatten(),
                    values,
                });
            }
        }
        (engine.sibling, engine.sibling_version) = (Some(Role::Predecessor), version);
        (engine.list_confirmed, engine.accepting_callers) = (true, false);
        engine.apply_limits();
        effects.push(Effect::Accept(false));
        for limit in [MAX_CONNECT_WAIT, MAX_LIST_WAIT] {
            engine.set_timer(limit, Timer::CheckReady);
        }
        Ok(engine)
    }

    /// Begins to serve in place of the predecessor, once this process is ready.
    pub(super) fn serve_when_ready(&mut self, effects: &mut Vec<Effect>) {
        if !self.accepting_callers && self.sibling == Some(Role::Predecessor) && self.is_ready() {
            self.accepting_callers = true;
            effects.push(Effect::Accept(true));
            effects.push(Effect::ToSibling(SiblingMessage::Serving));
        }
    }

    /// Whether a successor serves in place of this process.
    pub(super) fn successor_serves(&self) -> bool {
        self.sibling == Some(Role::Successor { serving: true })
    }

    /// Sets this process's share of the limits of the softswitch.
    pub(super) fn apply_limits(&mut self) {
        let processes = if self.sibling.is_some() { 2 } else { 1 };
        self.controller.set_process_count(processes);
        // Caller connections may use half of the descriptors; the rest is for exchanges and for growth. During a
        // handover each process has half of them for everything.
        let half = self.max_descriptors / 2;
        let others = RESERVED_DESCRIPTORS + 2 * self.exchanges.len();
        self.max_caller_conns = match processes {
            1 => half.max(1),
            _ => half.saturating_sub(others).max(MIN_CALLER_CONNS),
        };
    }

    pub(super) fn handle_sibling_message(&mut self, message: SiblingMessage, effects: &mut Vec<Effect>) {
        match message {
            SiblingMessage::HandoverRequest { version } => {
                self.sibling_version = version;
                self.hand_over(effects);
            }
            SiblingMessage::Drain { since: Some(since) } => self.begin_drain(since),
            SiblingMessage::Drain { since: None } => self.end_drain(),
            SiblingMessage::Serving if self.sibling.is_some() => {
                self.sibling = Some(Role::Successor { serving: true });
                self.accepting_callers = false;
                effects.push(Effect::Accept(false));
                effects.push(Effect::Log("another process serves in the place of this one".to_owned()));
                self.send_used_ids(effects);
                if self.stopping_since.is_some() {
                    self.stop_for_successor(effects);
                }
            }
            SiblingMessage::Callers { connected } => self.sibling_callers_changed(connected, effects),
            SiblingMessage::Claim { call } => self.handle_claim(call, effects),
            SiblingMessage::ClaimReply { call, granted } => self.handle_claim_reply(call, granted, effects),
            SiblingMessage::UsedIds { calls } => self.remember_used_ids(calls),
            SiblingMessage::HangUp { call, cause } => self.sibling_reported_hang_up(call, cause, effects),
            SiblingMessage::Ended { call, cut } => self.sibling_reported_end(call, cut, effects),
            SiblingMessage::Release { call, cut } => {
                // The exchange may repeat the end of the call to this process.
                self.remember_ended(call);
                let message = CallerMessage::Released { cut };
                self.send_release(
                    NO_CALLER_CONN,
                    self.caller_release(Front::JsonLines, call, message),
                    effects,
                );
            }
            // A successor receives these before it creates its engine; any other process ignores them.
            SiblingMessage::Serving
            | SiblingMessage::Exchange(_)
            | SiblingMessage::Learned { .. }
            | SiblingMessage::HandoverComplete { .. } => {}
        }
    }

    /// Hands over to a successor that requested it: sends the list of exchanges and the learned values.
    fn hand_over(&mut self, effects: &mut Vec<Effect>) {
        self.sibling = Some(Role::Successor { serving: false });
        self.apply_limits();
        while self.caller_conns.len() > self.max_caller_conns && self.close_least_used_conn(effects) {}
        for exchange in self.exchanges.values().filter(|exchange| exchange.readiness != Readiness::Removed) {
            effects.push(Effect::ToSibling(SiblingMessage::Exchange(ListEntry {
                name: exchange.name.clone(),
                address: exchange.address,
                number: exchange.number,
                zone: exchange.zone,
                started_at: exchange.started_at,
                readiness: exchange.readiness,
            })));
        }
        for LearnedValues { topic, exchange, values } in self.controller.learned_values() {
            let name: Option<Option<Arc<str>>> =
                exchange.map(|id| Some(self.exchanges.get(&id)?.name.clone()));
            if name != Some(None) {
                let exchange = name.flatten();
                effects.push(Effect::ToSibling(SiblingMessage::Learned { topic, exchange, values }));
            }
        }
        if self.operator_drain_since.is_some() {
            self.tell_sibling_of_drain(effects);
        }
        effects.push(Effect::ToSibling(SiblingMessage::HandoverComplete {
            serial: self.list_serial,
            version: SIBLING_PROTOCOL_VERSION,
        }));
    }

    /// Tells the sibling process whether an operator's drain is in progress: the two are one softswitch.
    pub(super) fn tell_sibling_of_drain(&self, effects: &mut Vec<Effect>) {
        if self.sibling.is_some() && self.sibling_version >= DRAIN_AND_CALLERS_VERSION {
            let since = self.operator_drain_since;
            effects.push(Effect::ToSibling(SiblingMessage::Drain { since }));
        }
    }

    /// Tells the sibling process whether callers are connected here, if that has changed.
    pub(super) fn tell_sibling_of_callers(&mut self, effects: &mut Vec<Effect>) {
        if self.sibling.is_none() || self.sibling_version < DRAIN_AND_CALLERS_VERSION {
            return;
        }
        let connected = self.has_json_lines_callers();
        if std::mem::replace(&mut self.told_sibling_of_callers, connected) != connected {
            effects.push(Effect::ToSibling(SiblingMessage::Callers { connected }));
        }
    }

    fn sibling_callers_changed(&mut self, connected: bool, effects: &mut Vec<Effect>) {
        self.sibling_has_callers = connected;
        if connected {
            self.send_caller_releases(effects);
        }
    }

    /// Whether the sibling process can pass on the release of a JSON-lines call, for which there is no connection here. The
    /// successor can always: it outlives this process.
    pub(super) fn sibling_takes_releases(&self) -> bool {
        self.successor_serves() || (self.sibling == Some(Role::Predecessor) && self.sibling_has_callers)
    }

    /// Handles the hang-up of a call that the sibling process does not know. If this one does not either, the call was
    /// established before both.
    fn sibling_reported_hang_up(&mut self, call: CallUid, cause: u8, effects: &mut Vec<Effect>) {
        if self.call_ids.contains_key(&call) {
            self.hang_up(NO_CALLER_CONN, call, cause, effects);
        } else if !self.ended_calls.was_used(&call) {
            self.release_earlier_call(call, cause, effects);
        }
    }

    /// Handles the end of a call that an exchange reported to the sibling process, which does not know the call.
    fn sibling_reported_end(&mut self, uid: CallUid, cut: bool, effects: &mut Vec<Effect>) {
        let outcome = if cut { Outcome::Reset } else { Outcome::Completed };
        match self.call_ids.get(&uid).copied().map(|id| (id, self.calls[&id].phase)) {
            Some((id, super::Phase::Established { exchange, .. })) => {
                self.end_established(id, exchange, outcome, ReleasedBy::Exchange, effects);
            }
            Some(_) => {}
            None if self.ended_calls.is_over(&uid) => {}
            None => self.release_unknown_call(uid, outcome, None, effects),
        }
    }

    /// Handles the end of the sibling process: this process alone is the softswitch again.
    pub(super) fn sibling_disconnected(&mut self, effects: &mut Vec<Effect>) {
        let Some(role) = self.sibling.take() else { return };
        (self.sibling_has_callers, self.told_sibling_of_callers) = (false, false);
        self.apply_limits();
        self.end_claims(effects);
        effects.push(Effect::Log(format!("the other process is gone ({role:?})")));
        if !std::mem::replace(&mut self.accepting_callers, true) {
            effects.push(Effect::Accept(true));
        }
        if std::mem::take(&mut self.stopping_for_successor) {
            // The successor is gone, but the request to stop is still in force.
            self.request_stop(effects);
        }
    }
}
