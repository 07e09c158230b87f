//! Helpers of the tests of the decision module: settings of a made-up deployment, and a host of one controller.
#![allow(dead_code)]

use swiftlb::interface::Settings;
use swiftlb::wire::read_settings;

/// Settings in the text form of the simulator's protocol.
pub fn settings_text() -> String {
    "balancers=4\n\
     classes.count=3\n\
     classes.0.aimMs=1000.0\nclasses.0.lateShare=0.25\nclasses.0.semantics=pure\nclasses.0.worth=1.0\n\
     classes.1.aimMs=2000.0\nclasses.1.lateShare=0.25\nclasses.1.semantics=pure\nclasses.1.worth=4.0\n\
     classes.2.aimMs=1000.0\nclasses.2.lateShare=0.25\nclasses.2.semantics=pure\nclasses.2.worth=6.0\n\
     discovery=push\n\
     invariants.askEveryMs=10000.0\ninvariants.coldFrom=0.3\ninvariants.coldMs=12000.0\n\
     invariants.fallMultiple=4.0\ninvariants.stopSendingWithinMs=500.0\ninvariants.tipAfterMs=1000.0\n\
     overShareWorth=0.05\n\
     policyLimits.cancelling=true\npolicyLimits.maxRetryAfterMs=2000.0\npolicyLimits.mayTell=true\n\
     policyLimits.probes=true\npolicyLimits.retryAfter=true\npolicyLimits.tryLimit=5\n\
     report.fields=spare,total,svc_ms\n\
     selfIndex=0\n\
     specifics.channelsNeeded=1,2,1\nspecifics.classCells=\nspecifics.classHoldMs=9000.0,12000.0,8000.0\n\
     specifics.farState=inline\nspecifics.homeOffice=0\nspecifics.releaseMs=500.0\nspecifics.resendMs=0.0\n\
     specifics.shape=meshed\n\
     tenants.count=2\ntenants.0.quotaRps=20.0\ntenants.1.quotaRps=10.0\n\
     tickMs=5.0\n"
        .to_owned()
}

/// These settings, parsed.
pub fn settings() -> Settings {
    read_settings(&settings_text()).expect("the settings can be parsed")
}

use swiftlb::Controller;
use swiftlb::interface::{
    Action, CallId, Event, ExchangeId, ListUpdateKind, ListedExchange, NewCall, Number, Outcome, Readiness,
    Reason,
};

/// Number of seeds that a test of a random choice is repeated with.
pub const SEEDS: u64 = 12;

/// Time at which the tests start, in ms: nothing may depend on a clock that starts at 0.
pub const START_MS: f64 = 1_000_000.0;

/// A host of one controller, whose home is exchange 0 of a mesh.
pub struct Host {
    pub settings: Settings,
    pub controller: Controller,
    pub now: f64,
}

/// The actions that the controller requested for one event.
#[derive(Debug)]
pub struct Response {
    pub actions: Vec<Action>,
}

impl Response {
    /// Number of the exchange that a set-up was sent to, if any.
    pub fn sent_to(&self) -> Option<Number> {
        self.actions.iter().find_map(|action| match action {
            Action::Send { exchange, .. } => Some(number_of(*exchange)),
            _ => None,
        })
    }
}

/// Id of the exchange with this number: the last byte of its address is the number.
pub fn exchange_id(number: Number) -> ExchangeId {
    ExchangeId { address: [10, 0, 0, number as u8], port: 5_060 }
}

pub fn number_of(id: ExchangeId) -> Number {
    Number::from(id.address[3])
}

/// An entry of the list of exchanges, in zone 0.
pub fn list_entry(number: Number, readiness: Readiness, started_ms: f64) -> ListedExchange {
    ListedExchange { id: exchange_id(number), number, zone: 0, started_ms, readiness }
}

impl Host {
    /// A controller in a mesh of this many exchanges, all started long ago, with no group reported yet.
    pub fn mesh(exchanges: Number, seed: u64) -> Self {
        let settings = settings();
        let controller = Controller::new(settings.clone(), seed).expect("the settings are valid");
        let mut host = Self { settings, controller, now: START_MS };
        let entries = (0..exchanges).map(|n| list_entry(n, Readiness::Ready, 0.0)).collect();
        host.handle(Event::List { kind: ListUpdateKind::Cached, entries });
        host
    }

    /// Replaces the controller by a new one with other settings and a list of four exchanges.
    pub fn restart(&mut self, settings: Settings, seed: u64) -> Response {
        self.restart_with_exchanges(settings, seed, 4)
    }

    /// Replaces the controller by a new one with other settings and a list of this many exchanges.
    pub fn restart_with_exchanges(&mut self, settings: Settings, seed: u64, exchanges: Number) -> Response {
        self.controller = Controller::new(settings.clone(), seed).expect("the settings are valid");
        self.settings = settings;
        let entries = (0..exchanges).map(|n| list_entry(n, Readiness::Ready, 0.0)).collect();
        self.handle(Event::List { kind: ListUpdateKind::Cached, entries })
    }

    /// Passes an event to the controller at the current time.
    pub fn handle(&mut self, event: Event) -> Response {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        Response { actions }
    }

    /// Lets time pass without an event.
    pub fn advance(&mut self, ms: f64) {
        self.now += ms;
    }

    /// Reports the free and total circuits of the group to this exchange.
    pub fn report_free_circuits(&mut self, to: Number, free: f64, total: f64) {
        let report = Some(vec![free, total, -1.0]);
        self.handle(Event::ProbeResult {
            exchange: exchange_id(to),
            answered: true,
            elapsed_ms: 0.0,
            report,
        });
    }

    /// Delivers a list update with this one entry.
    pub fn update_list(&mut self, to: Number, readiness: Readiness, started_ms: f64) {
        self.handle(Event::List {
            kind: ListUpdateKind::Changes,
            entries: vec![list_entry(to, readiness, started_ms)],
        });
    }

    /// Delivers a message of a peer, another softswitch.
    pub fn receive(&mut self, from: u32, bytes: &[u8]) {
        self.handle(Event::PeerMessage { from, bytes: bytes.to_vec() });
    }

    /// Offers a call of an own caller.
    pub fn offer_call(&mut self, call: CallId, class: usize, dest: Number) -> Response {
        self.offer(call, class, dest, None, 0)
    }

    /// Offers a call in transit from another exchange.
    pub fn offer_transit_call(&mut self, call: CallId, class: usize, dest: Number, from: Number) -> Response {
        self.offer(call, class, dest, Some(from), 0)
    }

    /// Offers a call of class 0 to this number called.
    pub fn offer_call_to_number(&mut self, call: CallId, dest: Number, called: u64) -> Response {
        self.offer(call, 0, dest, None, called)
    }

    fn offer(
        &mut self,
        call: CallId,
        class: usize,
        dest: Number,
        transit_from: Option<Number>,
        called_number: u64,
    ) -> Response {
        let width = self.settings.classes[class].width;
        self.handle(Event::Call(NewCall {
            call,
            class,
            tenant: 0,
            width,
            dest,
            called_number,
            remaining_ms: 3_000.0,
            transit_from,
            advised_route: None,
            redial: false,
            was_cut: false,
        }))
    }

    /// The first attempt of this call is answered.
    pub fn answer(&mut self, call: CallId, to: Number, elapsed_ms: f64) {
        self.handle(Event::Answered { call, attempt: 0, exchange: exchange_id(to), elapsed_ms });
    }

    /// The attempt ends without an answer.
    pub fn end_attempt(
        &mut self,
        call: CallId,
        attempt: u32,
        to: Number,
        outcome: Outcome,
        reason: Reason,
    ) -> Response {
        let exchange = exchange_id(to);
        self.handle(Event::AttemptEnded {
            call,
            attempt,
            exchange,
            outcome,
            reason,
            elapsed_ms: 40.0,
            call_closed: false,
            report: None,
        })
    }
}
