//! Virtual time round one engine: a configuration of an invented deployment, inputs, and what came out.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftlb::config::Config;
use swiftlb::engine::{
    CallUid, CallerConnId, CallerMessage, Effect, Engine, ExchangeConnId, ExchangeMessage, Front, Input,
    ListEntry, SetUp,
};
use swiftlb::interface::{NewCall, Outcome, Readiness, Reason};

/// A configuration with this many exchanges, number 0 being the own one.
pub fn config_json(listen: &str, names: &str, exchanges: &[String]) -> String {
    let members: Vec<String> = exchanges
        .iter()
        .enumerate()
        .map(|(i, address)| {
            format!(
                r#"{{"id":"s-{i}","host_port":"{address}","locality":"north","flavor":"std","cell":{i},
                "phase":"in_service","size":1,"up_since_ms":0}}"#
            )
        })
        .collect();
    let class = |name: &str, most: u32, worth: u32| {
        format!(
            r#"{{"name":"{name}","aimMs":1000,"hardLimitMs":{most},"lateShare":0.25,"worth":{worth},"semantics":"pure"}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"127.0.0.1:0","seed":"8c1f30d27a5be964","names":"{names}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "known":{{"n":1,"events":[{{"n":1,"members":{{"revision":0,"complete":true,"members":[{}]}}}}]}},
        "settings":{{"balancers":{},"selfIndex":0,"classes":[{},{}],"tenants":[],"overShareWorth":0.1,
        "discovery":"push","report":{{"fields":["spare","total"],"via":"on_probe"}},"tickMs":1,
        "zones":["north","south"],
        "invariants":{{"askEveryMs":10000,"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5,
        "stopSendingWithinMs":2000,"tipAfterMs":2000}},
        "policyLimits":{{"cancelling":true,"connectTimeoutMs":500,"maxRetryAfterMs":2000,"mayTell":false,
        "probes":false,"retryAfter":true,"tryLimit":4}},
        "specifics":{{"channelsNeeded":[1,1],"classCells":[],"classHoldMs":[9000,5000],"farState":"off",
        "homeOffice":0,"releaseMs":500,"resendMs":500,"shape":"meshed"}}}}}}"#,
        members.join(","),
        exchanges.len(),
        class("status", 3000, 1),
        class("lookup", 2000, 5),
    )
}

pub fn config(exchanges: usize) -> Config {
    let addresses: Vec<String> = (0..exchanges).map(|i| format!("10.0.0.{}:5070", i + 1)).collect();
    Config::parse(&config_json("127.0.0.1:0", "127.0.0.1:53", &addresses)).expect("a configuration")
}

/// A call as the decisions get it.
pub fn new_call(call: u32, dest: u32) -> NewCall {
    NewCall {
        call,
        class: 0,
        tenant: 0,
        width: 1.0,
        dest,
        called_number: 0,
        remaining_ms: 3_000.0,
        transit_from: None,
        advised_route: None,
        redial: false,
        was_cut: false,
    }
}

/// The link on which the harness's calls come.
pub const CALLER_CONN: CallerConnId = 7;

/// One engine, and the time as the test tells it.
pub struct EngineHarness {
    pub engine: Engine,
    pub now: SystemTime,
    /// Everything that has come out since it was last looked at.
    pub effects: Vec<Effect>,
    /// The latest way to each exchange, by its place in the list.
    pub exchange_conns: Vec<(String, ExchangeConnId)>,
    /// On which way the latest set-up of each call went.
    sent_setups: Vec<(CallUid, ExchangeConnId)>,
}

pub fn call_uid(call: u64) -> CallUid {
    CallUid::from_u64(call)
}

pub fn list_entry(place: usize, readiness: Readiness) -> ListEntry {
    ListEntry {
        name: format!("s-{place}").into(),
        address: format!("10.0.0.{}:5070", place + 1).parse().expect("an address"),
        number: place as u32,
        zone: 0,
        started_at: None,
        readiness,
    }
}

impl EngineHarness {
    /// An engine with this many exchanges and a way up to each, and one link.
    pub fn new(exchanges: usize) -> Self {
        let mut harness = Self::unconnected(exchanges);
        for place in 1..exchanges {
            let exchange_conn = harness.exchange_conn(place);
            harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
        }
        harness.effects.clear();
        harness
    }

    pub fn unconnected(exchanges: usize) -> Self {
        let config = config(exchanges);
        let now = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let mut seen = Vec::new();
        let engine = Engine::new(&config, now, &mut seen).expect("settings that make sense");
        let mut harness =
            Self { engine, now, effects: seen, exchange_conns: Vec::new(), sent_setups: Vec::new() };
        harness.note_effects(0);
        harness.handle(Input::CallerConnected { caller_conn: CALLER_CONN, front: Front::JsonLines });
        harness
    }

    fn note_effects(&mut self, from: usize) {
        for effect in &self.effects[from..] {
            match effect {
                Effect::ConnectExchange { exchange_conn, name, .. } => {
                    self.exchange_conns.push((name.to_string(), *exchange_conn))
                }
                Effect::ToExchange { exchange_conn, call, message: ExchangeMessage::SetUp { .. } } => {
                    self.sent_setups.push((*call, *exchange_conn));
                }
                _ => {}
            }
        }
    }

    /// The latest way asked for to the exchange at this place.
    pub fn exchange_conn(&self, place: usize) -> ExchangeConnId {
        let name = format!("s-{place}");
        self.exchange_conns.iter().rev().find(|(n, _)| *n == name).expect("a way").1
    }

    /// The way to the exchange at this place on which a call's set-up went, else the latest.
    fn setup_conn(&self, call: u64, place: usize) -> ExchangeConnId {
        let there = |exchange_conn: &ExchangeConnId| {
            self.exchange_conns.iter().any(|(n, c)| c == exchange_conn && *n == format!("s-{place}"))
        };
        let mut went = self
            .sent_setups
            .iter()
            .rev()
            .filter(|(c, _)| *c == call_uid(call))
            .map(|(_, exchange_conn)| *exchange_conn);
        went.find(there).unwrap_or_else(|| self.exchange_conn(place))
    }

    pub fn handle(&mut self, input: Input) {
        let from = self.effects.len();
        self.engine.handle(self.now, input, &mut self.effects);
        self.note_effects(from);
    }

    /// Lets time pass, with every timer rung at its time.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(Input::Wake);
        }
        self.now = end;
    }

    pub fn new_setup(&self, dest: u32, left: u64) -> SetUp {
        SetUp {
            class: "status".to_owned(),
            received: self.now,
            remaining: Some(Duration::from_millis(left)),
            called_number: Some("7f3a9c21e0b4d655".to_owned()),
            dest,
            width: Some(1.0),
            transit_from: None,
            advised_route: None,
            was_cut: false,
            description: Some(Arc::from("v=0\r\n")),
        }
    }

    pub fn place_call(&mut self, call: u64, dest: u32, left: u64) {
        let setup = self.new_setup(dest, left);
        self.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(call), setup });
    }

    pub fn answer(&mut self, call: u64, place: usize) {
        let exchange_conn = self.setup_conn(call, place);
        let description = Some(Arc::from("answer"));
        self.handle(Input::Answered { exchange_conn, call: call_uid(call), description });
    }

    pub fn end_call(&mut self, call: u64, place: usize, outcome: Outcome, reason: Reason) {
        let exchange_conn = self.setup_conn(call, place);
        self.handle(Input::Ended { exchange_conn, call: call_uid(call), outcome, reason });
    }

    /// What callers were told of this call.
    pub fn caller_messages(&self, call: u64) -> Vec<CallerMessage> {
        let told = self.effects.iter().filter_map(|effect| match effect {
            Effect::ToCaller { call: c, message, .. } if *c == call_uid(call) => Some(message.clone()),
            _ => None,
        });
        told.collect()
    }

    /// What exchanges were told of this call, with the way it went.
    pub fn exchange_messages(&self, call: u64) -> Vec<(ExchangeConnId, ExchangeMessage)> {
        let sent = self.effects.iter().filter_map(|effect| match effect {
            Effect::ToExchange { exchange_conn, call: c, message } if *c == call_uid(call) => {
                Some((*exchange_conn, message.clone()))
            }
            _ => None,
        });
        sent.collect()
    }

    /// Forgets on which ways set-ups went: a bench makes more of them than a test.
    pub fn clear_setups(&mut self) {
        self.sent_setups.clear();
    }

    /// Set-ups sent for this call.
    pub fn setup_count(&self, call: u64) -> usize {
        self.exchange_messages(call)
            .iter()
            .filter(|(_, word)| matches!(word, ExchangeMessage::SetUp { .. }))
            .count()
    }
}
