//! Scripted incidents: exchanges that stop, start, stall or are replaced, softswitches that are down, and the list that
//! follows.

use std::time::Duration;

use super::{
    CAUSE_NO_CIRCUIT, CAUSE_TEMPORARY_FAILURE, LegPhase, ListedExchange, MeshModel, MessageFromCaller,
    MessageFromExchange, Output, Timer,
};
use crate::scenario::{ScriptedIncident, ScriptedKind};

impl MeshModel {
    pub(super) fn begin_incident(&mut self, incident: ScriptedIncident, out: &mut Vec<Output>) {
        let node = incident.node;
        match incident.kind {
            ScriptedKind::Die => self.stop_exchange(node, out),
            ScriptedKind::Replace => {
                self.exchanges[node].draining = true;
                self.publish_list();
            }
            ScriptedKind::Stall => self.exchanges[node].stalled = true,
            ScriptedKind::Slow(factor) => self.exchanges[node].slow_factor = factor,
            ScriptedKind::Lag(extra) => self.list_lag = self.scenario.list_lag + extra,
            ScriptedKind::Kill => out.push(Output::KillSoftswitch(node)),
            ScriptedKind::Clock(..) => {}
        }
    }

    pub(super) fn end_incident(&mut self, incident: ScriptedIncident, out: &mut Vec<Output>) {
        let node = incident.node;
        match incident.kind {
            ScriptedKind::Die => self.start_exchange(node, out),
            ScriptedKind::Replace => {
                self.stop_exchange(node, out);
                let state = &mut self.exchanges[node];
                state.replacements += 1;
                state.name = format!("s-{node}-{}", state.replacements);
                state.draining = false;
                self.start_exchange(node, out);
            }
            ScriptedKind::Stall => {
                self.exchanges[node].stalled = false;
                self.exchanges[node].busy = false;
                self.set_timer(self.now, Timer::Resume(node));
            }
            ScriptedKind::Slow(_) => self.exchanges[node].slow_factor = 1.0,
            ScriptedKind::Lag(_) => self.list_lag = self.scenario.list_lag,
            ScriptedKind::Kill => out.push(Output::StartSoftswitch(node)),
            ScriptedKind::Clock(..) => {}
        }
    }

    /// Stops the process of an exchange, which cuts all calls from, to or through it.
    fn stop_exchange(&mut self, node: usize, out: &mut Vec<Output>) {
        let state = &mut self.exchanges[node];
        (state.running, state.busy, state.stalled) = (false, false, false);
        state.queue.clear();
        out.push(Output::ExchangeDown(node));
        let mut calls: Vec<u64> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        for call in calls {
            let legs = self.calls[&call].legs.clone();
            for leg in legs.iter().filter(|leg| leg.to == node || leg.from == node) {
                self.release_leg(call, leg.from, leg.to, out);
                if leg.from == node {
                    // The next exchange of the route ends a call that this one originated or forwarded.
                    self.send_to_softswitch(
                        node,
                        leg.to,
                        call,
                        MessageFromExchange::Ended(CAUSE_TEMPORARY_FAILURE, "", Duration::ZERO),
                        out,
                    );
                }
            }
            self.remove_if_ended(call);
        }
        self.publish_list();
    }

    fn start_exchange(&mut self, node: usize, out: &mut Vec<Output>) {
        let state = &mut self.exchanges[node];
        state.running = true;
        state.started_at = Some(self.now);
        out.push(Output::ExchangeUp(node));
        self.publish_list();
    }

    /// Adds a version of the list; the resolver delivers it after the lag.
    pub(super) fn publish_list(&mut self) {
        let listed = self.exchanges.iter().enumerate().filter(|(_, state)| state.running);
        let listed = listed.map(|(exchange, state)| ListedExchange {
            name: state.name.clone(),
            exchange,
            started_at: state.started_at,
            draining: state.draining,
        });
        self.lists.push((self.now, listed.collect()));
    }

    /// Ends what depends on a softswitch that is down: its open set-ups, and the attempts of its callers. Established
    /// calls continue.
    pub(super) fn handle_softswitch_down(&mut self, softswitch: usize, out: &mut Vec<Output>) {
        self.softswitches[softswitch] = false;
        let mut calls: Vec<u64> = self.calls.keys().copied().collect();
        calls.sort_unstable();
        for call in calls {
            let state = &self.calls[&call];
            let caller_waits = state.waiting && state.origin == softswitch;
            for leg in state.legs.clone() {
                // The connections of the softswitch are closed, which ends the set-ups that are open on them.
                if leg.from == softswitch && leg.phase != LegPhase::Established {
                    self.release_leg(call, leg.from, leg.to, out);
                    if leg.phase == LegPhase::Forwarded {
                        out.push(Output::FromCaller {
                            softswitch: leg.to,
                            call,
                            message: MessageFromCaller::HangUp,
                        });
                    }
                } else if leg.to == softswitch && leg.phase == LegPhase::Forwarded {
                    self.release_leg(call, leg.from, leg.to, out);
                    let message =
                        MessageFromExchange::Ended(CAUSE_NO_CIRCUIT, "tandem_refused", Duration::ZERO);
                    self.send_to_softswitch(leg.from, softswitch, call, message, out);
                }
            }
            if caller_waits {
                self.end_failed_attempt(call, Duration::ZERO);
            } else {
                self.remove_if_ended(call);
            }
        }
    }
}
