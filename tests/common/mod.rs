//! Shared by the tests: settings of an invented deployment.
#![allow(dead_code)]

use swiftlb::interface::Settings;
use swiftlb::wire::read_settings;

/// Settings as the wire words them.
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

/// The same, read.
pub fn settings() -> Settings {
    read_settings(&settings_text()).expect("the settings are well formed")
}

use swiftlb::Controller;
use swiftlb::interface::{
    Action, CallId, Event, ExchangeId, ListUpdateKind, ListedExchange, NewCall, Number, Outcome, Readiness,
    Reason,
};

/// Seeds that a test of a random choice is repeated with.
pub const ROUNDS: u64 = 12;

/// Start of time in the tests, in ms: nothing may depend on a clock that begins at 0.
pub const START: f64 = 1_000_000.0;

/// A host of one controller, exchange 0 of a mesh.
pub struct Host {
    pub settings: Settings,
    pub controller: Controller,
    pub now: f64,
}

/// What the controller asked for.
#[derive(Debug)]
pub struct Answer {
    pub actions: Vec<Action>,
}

impl Answer {
    /// Number of the exchange that a call was sent to.
    pub fn sent_to(&self) -> Option<Number> {
        self.actions.iter().find_map(|action| match action {
            Action::Send { exchange, .. } => Some(number(*exchange)),
            _ => None,
        })
    }
}

pub fn place(number: Number) -> ExchangeId {
    ExchangeId { address: [10, 0, 0, number as u8], port: 5_060 }
}

pub fn number(id: ExchangeId) -> Number {
    Number::from(id.address[3])
}

pub fn listed(number: Number, readiness: Readiness, started_ms: f64) -> ListedExchange {
    ListedExchange { id: place(number), number, zone: 0, started_ms, readiness }
}

impl Host {
    /// A mesh of this many exchanges, all ready for long, no group heard of yet.
    pub fn mesh(exchanges: Number, seed: u64) -> Self {
        let settings = settings();
        let controller = Controller::new(settings.clone(), seed).expect("the settings make sense");
        let mut host = Self { settings, controller, now: START };
        let entries = (0..exchanges).map(|n| listed(n, Readiness::Ready, 0.0)).collect();
        host.event(Event::List { kind: ListUpdateKind::Cached, entries });
        host
    }

    /// A new controller with other settings, told of four exchanges.
    pub fn restart(&mut self, settings: Settings, seed: u64) -> Answer {
        self.restart_with(settings, seed, 4)
    }

    /// The same, told of this many exchanges.
    pub fn restart_with(&mut self, settings: Settings, seed: u64, exchanges: Number) -> Answer {
        self.controller = Controller::new(settings.clone(), seed).expect("the settings make sense");
        self.settings = settings;
        let entries = (0..exchanges).map(|n| listed(n, Readiness::Ready, 0.0)).collect();
        self.event(Event::List { kind: ListUpdateKind::Cached, entries })
    }

    pub fn event(&mut self, event: Event) -> Answer {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        Answer { actions }
    }

    pub fn pass(&mut self, ms: f64) {
        self.now += ms;
    }

    pub fn free(&mut self, to: Number, free: f64, total: f64) {
        let report = Some(vec![free, total, -1.0]);
        self.event(Event::ProbeResult { exchange: place(to), answered: true, elapsed_ms: 0.0, report });
    }

    pub fn list(&mut self, to: Number, readiness: Readiness, started_ms: f64) {
        self.event(Event::List {
            kind: ListUpdateKind::Changes,
            entries: vec![listed(to, readiness, started_ms)],
        });
    }

    pub fn hear(&mut self, from: u32, bytes: &[u8]) {
        self.event(Event::PeerMessage { from, bytes: bytes.to_vec() });
    }

    pub fn call(&mut self, call: CallId, class: usize, dest: Number) -> Answer {
        self.offer(call, class, dest, None, 0)
    }

    pub fn transit(&mut self, call: CallId, class: usize, dest: Number, from: Number) -> Answer {
        self.offer(call, class, dest, Some(from), 0)
    }

    pub fn call_number(&mut self, call: CallId, dest: Number, called: u64) -> Answer {
        self.offer(call, 0, dest, None, called)
    }

    fn offer(
        &mut self,
        call: CallId,
        class: usize,
        dest: Number,
        transit_from: Option<Number>,
        called_number: u64,
    ) -> Answer {
        let width = self.settings.classes[class].width;
        self.event(Event::Call(NewCall {
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

    pub fn stands(&mut self, call: CallId, to: Number, elapsed_ms: f64) {
        self.event(Event::Answered { call, attempt: 0, exchange: place(to), elapsed_ms });
    }

    pub fn outcome(
        &mut self,
        call: CallId,
        attempt: u32,
        to: Number,
        outcome: Outcome,
        reason: Reason,
    ) -> Answer {
        let exchange = place(to);
        self.event(Event::AttemptEnded {
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
