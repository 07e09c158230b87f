//! Two processes of one softswitch, for as long as one takes the place of the other: what they tell each other,
//! and what of the softswitch's limits is this one's.

use std::sync::Arc;
use std::time::Duration;

use swiftlb_record::ReleasedBy;

use super::{
    CallUid, CallerMessage, Config, DRAIN_CHECK_INTERVAL, Effect, Engine, Front, HandoverState,
    LearnedValues, ListEntry, MAX_CONNECT_WAIT, MAX_LIST_WAIT, NO_CALLER_CONN, Outcome, Readiness,
    SettingsError, SiblingMessage, SystemTime, Timer,
};

/// Descriptors of a process beside its connections to callers and exchanges: standard ones, poll, listeners, the
/// operators' door, the resolver, the other process, connections that are closing.
const RESERVED_DESCRIPTORS: usize = 32;
/// Connections from callers that a process may hold however few descriptors there are.
const MIN_CALLER_CONNS: usize = 4;

/// Which of two processes the other one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The one whose place this one takes.
    Predecessor,
    /// The one that takes this one's place, and whether it serves by now.
    Successor { serving: bool },
}

impl Engine {
    /// A softswitch that takes the place of another process, and what it asks for first. It has the other's list
    /// of exchanges and what that has learned, and accepts no connections before it can serve.
    ///
    /// # Errors
    /// If the module can make no decisions with these settings.
    pub fn take_over(
        config: &Config,
        inheritance: HandoverState,
        now: SystemTime,
        effects: &mut Vec<Effect>,
    ) -> Result<Self, SettingsError> {
        let HandoverState { list, serial, learned } = inheritance;
        let config = Config { exchanges: list, list_serial: serial, ..config.clone() };
        let mut engine = Self::new(&config, now, effects)?;
        for (topic, name, values) in learned {
            let exchange = name.as_ref().map(|name| engine.exchange_ids.get(name).copied());
            // Of an exchange that is in no list any more.
            if exchange != Some(None) {
                engine.controller.apply_learned(&LearnedValues {
                    topic,
                    exchange: exchange.flatten(),
                    values,
                });
            }
        }
        (engine.sibling, engine.list_confirmed, engine.accepting_callers) =
            (Some(Role::Predecessor), true, false);
        engine.apply_limits();
        effects.push(Effect::Accept(false));
        for limit in [MAX_CONNECT_WAIT, MAX_LIST_WAIT] {
            engine.set_timer(limit, Timer::CheckReady);
        }
        Ok(engine)
    }

    /// Begins to serve in the place of another process, once it can.
    pub(super) fn serve_when_ready(&mut self, effects: &mut Vec<Effect>) {
        if !self.accepting_callers && self.sibling == Some(Role::Predecessor) && self.is_ready() {
            self.accepting_callers = true;
            effects.push(Effect::Accept(true));
            effects.push(Effect::ToSibling(SiblingMessage::Serving));
        }
    }

    /// Whether another process serves in the place of this one.
    pub(super) fn successor_serves(&self) -> bool {
        self.sibling == Some(Role::Successor { serving: true })
    }

    /// Takes this process's part of what the softswitch may hold.
    pub(super) fn apply_limits(&mut self) {
        let processes = if self.sibling.is_some() { 2 } else { 1 };
        self.controller.set_process_count(processes);
        // Callers hold at most a third of the descriptors; the rest is for exchanges and growth.
        let half = self.max_descriptors / 2;
        let others = RESERVED_DESCRIPTORS + 2 * self.exchanges.len();
        self.max_caller_conns = match processes {
            1 => half.max(1),
            _ => half.saturating_sub(others).max(MIN_CALLER_CONNS),
        };
    }

    pub(super) fn handle_sibling_message(&mut self, word: SiblingMessage, effects: &mut Vec<Effect>) {
        match word {
            SiblingMessage::HandoverRequest => self.hand_over(effects),
            SiblingMessage::Serving if self.sibling.is_some() => {
                self.sibling = Some(Role::Successor { serving: true });
                self.accepting_callers = false;
                effects.push(Effect::Accept(false));
                effects.push(Effect::Log("another process serves in the place of this one".to_owned()));
                if self.stopping_since.is_some() {
                    self.stop_for_successor(effects);
                }
            }
            SiblingMessage::HangUp { call, cause } => self.hang_up(NO_CALLER_CONN, call, cause, effects),
            SiblingMessage::Ended { call, cut } => self.sibling_reported_end(call, cut, effects),
            SiblingMessage::Release { call, cut } => {
                let word = CallerMessage::Released { cut };
                self.send_release(
                    NO_CALLER_CONN,
                    self.pending_release(Front::JsonLines, call, word),
                    effects,
                );
            }
            // These come before the loop begins, or never.
            SiblingMessage::Serving
            | SiblingMessage::Exchange(_)
            | SiblingMessage::Learned { .. }
            | SiblingMessage::HandoverComplete { .. } => {}
        }
    }

    /// Another process asks to take the place of this one.
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
        effects.push(Effect::ToSibling(SiblingMessage::HandoverComplete { serial: self.list_serial }));
    }

    /// The other process knows nothing of a call that an exchange says is over.
    fn sibling_reported_end(&mut self, name: CallUid, cut: bool, effects: &mut Vec<Effect>) {
        let outcome = if cut { Outcome::Reset } else { Outcome::Completed };
        match self.call_ids.get(&name).copied().map(|id| (id, self.calls[&id].phase)) {
            Some((id, super::Phase::Established { exchange: at })) => {
                self.end_established(id, at, outcome, ReleasedBy::Exchange, effects);
            }
            Some(_) => {}
            None if self.ended_call_uids.contains(&name) => {}
            None => self.release_unknown_call(name, outcome, effects),
        }
    }

    /// The order to stop, and another process serves: callers' connections are closed as they empty, and it ends
    /// once nothing is open or stands.
    pub(super) fn stop_for_successor(&mut self, effects: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.stopping_for_successor, true) {
            self.stopping_since = None;
            self.set_timer(Duration::ZERO, Timer::StopForSuccessor);
        }
        self.exit_if_done(effects);
    }

    /// Closes what is empty, and ends if nothing is left.
    pub(super) fn continue_stop_for_successor(&mut self, effects: &mut Vec<Effect>) {
        if !self.stopping_for_successor {
            return;
        }
        self.set_timer(DRAIN_CHECK_INTERVAL, Timer::StopForSuccessor);
        let open = self.conns_with_open_setups();
        let empty: Vec<_> =
            self.caller_conns.keys().filter(|caller_conn| !open.contains(caller_conn)).copied().collect();
        for caller_conn in empty {
            self.close_draining_conn(caller_conn, effects);
        }
        self.exit_if_done(effects);
    }

    /// The other process is gone: this one is the softswitch again.
    pub(super) fn sibling_disconnected(&mut self, effects: &mut Vec<Effect>) {
        let Some(role) = self.sibling.take() else { return };
        self.apply_limits();
        effects.push(Effect::Log(format!("the other process is gone ({role:?})")));
        if !std::mem::replace(&mut self.accepting_callers, true) {
            effects.push(Effect::Accept(true));
        }
        if std::mem::take(&mut self.stopping_for_successor) {
            // Its place is empty once more, and it was told to stop.
            self.handle_input(super::Input::Drain, effects);
        }
    }
}
