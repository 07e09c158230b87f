//! Harness that runs one engine in virtual time: a configuration of a fictitious deployment, inputs, and the effects
//! that the engine requests.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftlb::config::Config;
use swiftlb::engine::{
    CallUid, CallerConnId, CallerMessage, Effect, Engine, ExchangeConnId, ExchangeMessage, Front, Input,
    ListEntry, SetUp,
};
use swiftlb::interface::{NewCall, Outcome, Readiness, Reason};

/// Deadlines of the classes `status` and `lookup`, in ms.
pub const DEADLINES_MS: [u32; 2] = [3000, 2000];

/// A configuration in JSON, with an exchange at each of these addresses. Exchange 0 is the home exchange.
pub fn config_json(listen: &str, resolver: &str, exchanges: &[String]) -> String {
    config_json_with_deadlines(listen, resolver, exchanges, DEADLINES_MS)
}

/// Like [`config_json`], with other deadlines.
pub fn config_json_with_deadlines(
    listen: &str,
    resolver: &str,
    exchanges: &[String],
    deadlines_ms: [u32; 2],
) -> String {
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
    let class = |name: &str, hard_limit_ms: u32, worth: u32| {
        format!(
            r#"{{"name":"{name}","aimMs":{},"hardLimitMs":{hard_limit_ms},"lateShare":0.25,"worth":{worth},"semantics":"pure"}}"#,
            hard_limit_ms.min(1_000)
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"127.0.0.1:0","seed":"8c1f30d27a5be964","names":"{resolver}",
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
        class("status", deadlines_ms[0], 1),
        class("lookup", deadlines_ms[1], 5),
    )
}

/// The configuration of [`config_json`], parsed, with this many exchanges.
pub fn config(exchanges: usize) -> Config {
    let addresses: Vec<String> = (0..exchanges).map(|i| format!("10.0.0.{}:5070", i + 1)).collect();
    Config::parse(&config_json("127.0.0.1:0", "127.0.0.1:53", &addresses)).expect("a configuration")
}

/// A call as offered to the decision module.
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

/// The caller connection that the harness opens and places its calls on.
pub const CALLER_CONN: CallerConnId = 7;

/// An engine in virtual time.
pub struct EngineHarness {
    pub engine: Engine,
    pub now: SystemTime,
    /// The effects requested since the test last cleared them.
    pub effects: Vec<Effect>,
    /// The connections to exchanges requested so far, with the names of the exchanges.
    pub exchange_conns: Vec<(String, ExchangeConnId)>,
    /// The set-ups sent so far, with their connections.
    sent_setups: Vec<(CallUid, ExchangeConnId)>,
}

pub fn call_uid(call: u64) -> CallUid {
    CallUid::from_u64(call)
}

/// The entry of an exchange in the list; its address and name are those of [`config`].
pub fn list_entry(number: usize, readiness: Readiness) -> ListEntry {
    ListEntry {
        name: format!("s-{number}").into(),
        address: format!("10.0.0.{}:5070", number + 1).parse().expect("an address"),
        number: number as u32,
        zone: 0,
        started_at: None,
        readiness,
    }
}

impl EngineHarness {
    /// An engine with this many exchanges, an open connection to each, and one caller connection.
    pub fn new(exchanges: usize) -> Self {
        let mut harness = Self::unconnected(exchanges);
        for exchange in 1..exchanges {
            let exchange_conn = harness.exchange_conn(exchange);
            harness.handle(Input::ExchangeConnected { exchange_conn, carries_calls: false });
        }
        harness.effects.clear();
        harness
    }

    /// An engine with one caller connection and no open connection to an exchange.
    pub fn unconnected(exchanges: usize) -> Self {
        let config = config(exchanges);
        let now = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let mut effects = Vec::new();
        let engine = Engine::new(&config, now, &mut effects).expect("valid settings");
        let mut harness = Self { engine, now, effects, exchange_conns: Vec::new(), sent_setups: Vec::new() };
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

    /// The connection to an exchange that was requested last.
    pub fn exchange_conn(&self, exchange: usize) -> ExchangeConnId {
        let name = format!("s-{exchange}");
        self.exchange_conns.iter().rev().find(|(n, _)| *n == name).expect("a requested connection").1
    }

    /// The connection to an exchange on which the last set-up of a call was sent, otherwise the one requested last.
    fn setup_conn(&self, call: u64, exchange: usize) -> ExchangeConnId {
        let leads_there = |exchange_conn: &ExchangeConnId| {
            self.exchange_conns.iter().any(|(n, c)| c == exchange_conn && *n == format!("s-{exchange}"))
        };
        let mut used = self
            .sent_setups
            .iter()
            .rev()
            .filter(|(c, _)| *c == call_uid(call))
            .map(|(_, exchange_conn)| *exchange_conn);
        used.find(leads_there).unwrap_or_else(|| self.exchange_conn(exchange))
    }

    /// Passes an input to the engine.
    pub fn handle(&mut self, input: Input) {
        let from = self.effects.len();
        self.engine.handle(self.now, input, &mut self.effects);
        self.note_effects(from);
    }

    /// Advances the time; every timer expires at its time.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(Input::Wake);
        }
        self.now = end;
    }

    /// A set-up received now, whose caller waits for this long.
    pub fn new_setup(&self, dest: u32, remaining_ms: u64) -> SetUp {
        SetUp {
            class: "status".to_owned(),
            received: self.now,
            remaining: Some(Duration::from_millis(remaining_ms)),
            called_number: Some("7f3a9c21e0b4d655".to_owned()),
            dest,
            width: Some(1.0),
            transit_from: None,
            advised_route: None,
            was_cut: false,
            description: Some(Arc::from("v=0\r\n")),
        }
    }

    /// Places a call on the harness's caller connection.
    pub fn place_call(&mut self, call: u64, dest: u32, remaining_ms: u64) {
        let setup = self.new_setup(dest, remaining_ms);
        self.handle(Input::SetUp { caller_conn: CALLER_CONN, call: call_uid(call), setup });
    }

    /// An exchange answers a call.
    pub fn answer(&mut self, call: u64, exchange: usize) {
        let exchange_conn = self.setup_conn(call, exchange);
        let description = Some(Arc::from("answer"));
        self.handle(Input::Answered { exchange_conn, call: call_uid(call), description });
    }

    /// An exchange ends a call or an attempt.
    pub fn end_call(&mut self, call: u64, exchange: usize, outcome: Outcome, reason: Reason) {
        let exchange_conn = self.setup_conn(call, exchange);
        self.handle(Input::Ended { exchange_conn, call: call_uid(call), outcome, reason });
    }

    /// The messages sent to callers about a call.
    pub fn caller_messages(&self, call: u64) -> Vec<CallerMessage> {
        let messages = self.effects.iter().filter_map(|effect| match effect {
            Effect::ToCaller { call: c, message, .. } if *c == call_uid(call) => Some(message.clone()),
            _ => None,
        });
        messages.collect()
    }

    /// The messages sent to exchanges about a call, with their connections.
    pub fn exchange_messages(&self, call: u64) -> Vec<(ExchangeConnId, ExchangeMessage)> {
        let messages = self.effects.iter().filter_map(|effect| match effect {
            Effect::ToExchange { exchange_conn, call: c, message } if *c == call_uid(call) => {
                Some((*exchange_conn, message.clone()))
            }
            _ => None,
        });
        messages.collect()
    }

    /// Clears the list of sent set-ups, which would grow without bound in a benchmark.
    pub fn clear_setups(&mut self) {
        self.sent_setups.clear();
    }

    /// Number of set-ups sent for a call.
    pub fn setup_count(&self, call: u64) -> usize {
        self.exchange_messages(call)
            .iter()
            .filter(|(_, message)| matches!(message, ExchangeMessage::SetUp { .. }))
            .count()
    }
}
