//! Two engines in virtual time that are the processes of one replacement.
#![allow(dead_code)]

use swiftlb::engine::{
    Effect, Engine, Front, HandoverState, Input, SIBLING_PROTOCOL_VERSION, SiblingMessage,
};
use swiftlb::net::handover;

use crate::engine_harness::{CALLER_CONN, EngineHarness, config};

/// Takes the messages that one process has sent to its sibling.
pub fn take_sibling_messages(harness: &mut EngineHarness) -> Vec<SiblingMessage> {
    let messages = harness.effects.iter().filter_map(|effect| match effect {
        Effect::ToSibling(message) => Some(message.clone()),
        _ => None,
    });
    let messages = messages.collect();
    harness.effects.clear();
    messages
}

/// Delivers these messages to the sibling.
pub fn deliver(from: &mut EngineHarness, to: &mut EngineHarness) {
    for message in take_sibling_messages(from) {
        to.handle(Input::SiblingMessage(message));
    }
}

/// Starts a successor of this process with the state that it hands over.
pub fn successor(old: &mut EngineHarness) -> EngineHarness {
    old.effects.clear();
    old.handle(Input::SiblingMessage(SiblingMessage::HandoverRequest { version: SIBLING_PROTOCOL_VERSION }));
    let mut state = HandoverState::default();
    let mut others = Vec::new();
    for message in take_sibling_messages(old) {
        // Each message is formatted and parsed, as on the socket, so that the test notices lost fields.
        let line = handover::format_message(&message);
        match handover::parse_message(&line).expect("valid message") {
            SiblingMessage::Exchange(entry) => state.list.push(entry),
            SiblingMessage::Learned { topic, exchange, values } => {
                state.learned.push((topic, exchange, values))
            }
            SiblingMessage::HandoverComplete { serial, version } => {
                (state.serial, state.version) = (serial, version)
            }
            message @ (SiblingMessage::Drain { .. } | SiblingMessage::Callers { .. }) => others.push(message),
            message => panic!("{message:?}"),
        }
    }
    let mut new = EngineHarness::unconnected(3);
    new.effects.clear();
    new.now = old.now;
    new.exchange_conns.clear();
    new.engine = Engine::take_over(&config(3), state, old.now, &mut new.effects).expect("valid settings");
    let exchange_conns = new.effects.iter().filter_map(|effect| match effect {
        Effect::ConnectExchange { exchange_conn, name, .. } => Some((name.to_string(), *exchange_conn)),
        _ => None,
    });
    new.exchange_conns = exchange_conns.collect();
    for message in others {
        new.handle(Input::SiblingMessage(message));
    }
    new
}

/// Starts a successor that serves; the old process knows that it does.
pub fn serving_successor(old: &mut EngineHarness) -> EngineHarness {
    let mut new = successor(old);
    assert!(new.effects.contains(&Effect::Accept(false)) && !new.effects.contains(&Effect::Accept(true)));
    for place in [1, 2] {
        assert!(take_sibling_messages(&mut new).is_empty(), "it cannot serve yet");
        new.handle(Input::ExchangeConnected {
            exchange_conn: new.exchange_conn(place),
            carries_calls: false,
        });
    }
    assert!(new.effects.contains(&Effect::Accept(true)));
    deliver(&mut new, old);
    assert!(old.effects.contains(&Effect::Accept(false)));
    new.handle(Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines });
    new
}

/// Delivers messages between the two until there are none; other effects stay. Returns the number of messages.
pub fn deliver_until_quiet(one: &mut EngineHarness, other: &mut EngineHarness) -> usize {
    let mut count = 0;
    loop {
        let (from_one, from_other) = (remove_sibling_messages(one), remove_sibling_messages(other));
        if from_one.is_empty() && from_other.is_empty() {
            return count;
        }
        count += from_one.len() + from_other.len();
        assert!(count < 10_000, "messages without end");
        from_one.into_iter().for_each(|message| other.handle(Input::SiblingMessage(message)));
        from_other.into_iter().for_each(|message| one.handle(Input::SiblingMessage(message)));
    }
}

fn remove_sibling_messages(harness: &mut EngineHarness) -> Vec<SiblingMessage> {
    let (messages, others): (Vec<Effect>, Vec<Effect>) =
        harness.effects.drain(..).partition(|effect| matches!(effect, Effect::ToSibling(_)));
    harness.effects = others;
    let messages = messages.into_iter().filter_map(|effect| match effect {
        Effect::ToSibling(message) => Some(message),
        _ => None,
    });
    messages.collect()
}
