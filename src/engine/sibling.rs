//! Two processes of one softswitch, for as long as one takes the place of the other: what they tell each other,
//! and what of the softswitch's limits is this one's.

use std::sync::Arc;
use std::time::Duration;

use swiftlb_record::ReleasedBy;

use super::{
    CONNECTED, CallUid, CallerMessage, Config, EMPTY_EVERY, Effect, Engine, Front, HandoverState,
    LearnedValues, ListEntry, NO_LINK, Outcome, Readiness, SettingsError, SiblingMessage, SystemTime, Timer,
    UNLISTED,
};

/// Descriptors of a process beside its connections to callers and exchanges: standard ones, poll, listeners, the
/// operators' door, the resolver, the other process, connections that are closing.
const OTHER_DESCRIPTORS: usize = 32;
/// Connections from callers that a process may hold however few descriptors there are.
const FEWEST_LINKS: usize = 4;

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
            let exchange = name.as_ref().map(|name| engine.by_peer_name.get(name).copied());
            // Of an exchange that is in no list any more.
            if exchange != Some(None) {
                engine.module.apply_learned(&LearnedValues { topic, exchange: exchange.flatten(), values });
            }
        }
        (engine.twin, engine.listed, engine.accepting) = (Some(Role::Predecessor), true, false);
        engine.divide();
        effects.push(Effect::Accept(false));
        for limit in [CONNECTED, UNLISTED] {
            engine.set_timer(limit, Timer::Begin);
        }
        Ok(engine)
    }

    /// Begins to serve in the place of another process, once it can.
    pub(super) fn begin(&mut self, effects: &mut Vec<Effect>) {
        if !self.accepting && self.twin == Some(Role::Predecessor) && self.is_ready() {
            self.accepting = true;
            effects.push(Effect::Accept(true));
            effects.push(Effect::ToSibling(SiblingMessage::Serving));
        }
    }

    /// Whether another process serves in the place of this one.
    pub(super) fn succeeded(&self) -> bool {
        self.twin == Some(Role::Successor { serving: true })
    }

    /// Takes this process's part of what the softswitch may hold.
    pub(super) fn divide(&mut self) {
        let processes = if self.twin.is_some() { 2 } else { 1 };
        self.module.set_process_count(processes);
        // Callers hold at most a third of the descriptors; the rest is for exchanges and growth.
        let half = self.sockets / 2;
        let others = OTHER_DESCRIPTORS + 2 * self.peers.len();
        self.most_links = match processes {
            1 => half.max(1),
            _ => half.saturating_sub(others).max(FEWEST_LINKS),
        };
    }

    pub(super) fn hear_twin(&mut self, word: SiblingMessage, effects: &mut Vec<Effect>) {
        match word {
            SiblingMessage::HandoverRequest => self.hand_over(effects),
            SiblingMessage::Serving if self.twin.is_some() => {
                self.twin = Some(Role::Successor { serving: true });
                self.accepting = false;
                effects.push(Effect::Accept(false));
                effects.push(Effect::Log("another process serves in the place of this one".to_owned()));
                if self.draining_since.is_some() {
                    self.leave_to_successor(effects);
                }
            }
            SiblingMessage::HangUp { call, cause } => self.hang_up(NO_LINK, call, cause, effects),
            SiblingMessage::Ended { call, cut } => self.ended_at_twin(call, cut, effects),
            SiblingMessage::Release { call, cut } => {
                let word = CallerMessage::Released { cut };
                self.release_caller(NO_LINK, self.held(Front::JsonLines, call, word), effects);
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
        self.twin = Some(Role::Successor { serving: false });
        self.divide();
        while self.links.len() > self.most_links && self.make_room(effects) {}
        for peer in self.peers.values().filter(|peer| peer.readiness != Readiness::Removed) {
            effects.push(Effect::ToSibling(SiblingMessage::Exchange(ListEntry {
                name: peer.name.clone(),
                address: peer.address,
                number: peer.number,
                zone: peer.zone,
                started_at: peer.born,
                readiness: peer.readiness,
            })));
        }
        for LearnedValues { topic, exchange, values } in self.module.learned_values() {
            let name: Option<Option<Arc<str>>> = exchange.map(|id| Some(self.peers.get(&id)?.name.clone()));
            if name != Some(None) {
                let exchange = name.flatten();
                effects.push(Effect::ToSibling(SiblingMessage::Learned { topic, exchange, values }));
            }
        }
        effects.push(Effect::ToSibling(SiblingMessage::HandoverComplete { serial: self.serial }));
    }

    /// The other process knows nothing of a call that an exchange says is over.
    fn ended_at_twin(&mut self, name: CallUid, cut: bool, effects: &mut Vec<Effect>) {
        let outcome = if cut { Outcome::Reset } else { Outcome::Completed };
        match self.by_name.get(&name).copied().map(|id| (id, self.calls[&id].phase)) {
            Some((id, super::Phase::Standing { at })) => {
                self.end_standing(id, at, outcome, ReleasedBy::Exchange, effects);
            }
            Some(_) => {}
            None if self.over_names.contains(&name) => {}
            None => self.pass_release(name, outcome, effects),
        }
    }

    /// The order to stop, and another process serves: callers' connections are closed as they empty, and it ends
    /// once nothing is open or stands.
    pub(super) fn leave_to_successor(&mut self, effects: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.leaving, true) {
            self.draining_since = None;
            self.set_timer(Duration::ZERO, Timer::Leave);
        }
        self.try_exit(effects);
    }

    /// Closes what is empty, and ends if nothing is left.
    pub(super) fn look_whether_empty(&mut self, effects: &mut Vec<Effect>) {
        if !self.leaving {
            return;
        }
        self.set_timer(EMPTY_EVERY, Timer::Leave);
        let open = self.links_in_use();
        let empty: Vec<_> =
            self.links.keys().filter(|caller_conn| !open.contains(caller_conn)).copied().collect();
        for caller_conn in empty {
            self.close_if_empty(caller_conn, effects);
        }
        self.try_exit(effects);
    }

    /// The other process is gone: this one is the softswitch again.
    pub(super) fn lose_twin(&mut self, effects: &mut Vec<Effect>) {
        let Some(role) = self.twin.take() else { return };
        self.divide();
        effects.push(Effect::Log(format!("the other process is gone ({role:?})")));
        if !std::mem::replace(&mut self.accepting, true) {
            effects.push(Effect::Accept(true));
        }
        if std::mem::take(&mut self.leaving) {
            // Its place is empty once more, and it was told to stop.
            self.take(super::Input::Drain, effects);
        }
    }
}
