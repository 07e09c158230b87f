//! Shutdown of real softswitch processes on loopback, with callers that go on sending until SIGKILL.

#[path = "common/dns_answer.rs"]
mod dns_answer;
#[path = "common/endpoints.rs"]
mod endpoints;
#[path = "common/engine_harness.rs"]
mod engine_harness;
#[path = "common/rng.rs"]
mod rng;
#[path = "common/trial/mod.rs"]
mod trial;

use std::time::Duration;

use endpoints::{JsonLinesConn, ListeningExchange, launch_line};
use trial::caller::{Callers, Habits};
use trial::checker;
use trial::exchange::Behaviour;
use trial::process::{Softswitch, TrialDirectory, own_address};
use trial::run::{Network, PORT};
use trial::{Journal, Observation};

/// Seed of the stand-ins.
const SEED: u64 = 401_011;
/// Time under load before SIGTERM.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// Time for which new connections arrive after SIGTERM.
const NEW_CONN_TIME: Duration = Duration::from_millis(300);

/// Habits of callers that send a set-up every 10 ms, with these waiting times.
fn steady(left_ms: u64) -> Habits {
    Habits {
        interval: Duration::from_millis(10),
        conns: 4,
        waits: vec![("status", left_ms..left_ms + 1)],
        dests: vec![1, 2],
        new_conn_percent: 5,
        pieces_percent: 0,
        give_up_percent: 0,
        hang_up_percent: 0,
        repeat_percent: 0,
        malformed_percent: 0,
    }
}

/// One softswitch under load with two exchanges that behave like this.
struct Shutdown {
    softswitch: Softswitch,
    callers: Callers,
    _network: Network,
    journal: Journal,
    longest_deadline: Duration,
    _directory: TrialDirectory,
}

impl Shutdown {
    fn new(name: &str, deadlines_ms: [u32; 2], behaviour: &Behaviour, habits: Habits) -> Self {
        let (journal, directory) = (Journal::default(), TrialDirectory::new(name));
        let network = Network::start(1, 2, behaviour, SEED, &journal);
        let mut softswitch = network.softswitch(0, deadlines_ms, &directory, &journal);
        softswitch.start();
        softswitch.wait_until_ready();
        let callers = Callers::start(0, softswitch.address, habits, SEED, &journal);
        let longest = deadlines_ms.into_iter().max().unwrap_or_default();
        let longest_deadline = Duration::from_millis(longest.into());
        Self { softswitch, callers, _network: network, journal, longest_deadline, _directory: directory }
    }

    /// SIGTERM under load; new connections stop soon, set-ups on open ones continue until SIGKILL at the earliest time.
    fn run(mut self) -> Journal {
        std::thread::sleep(LOAD_TIME);
        self.softswitch.signal("-TERM");
        std::thread::sleep(NEW_CONN_TIME);
        self.callers.set_new_conns(false);
        self.softswitch.end(self.longest_deadline);
        self.callers.set_sending(false);
        std::thread::sleep(self.longest_deadline + Duration::from_secs(1));
        self.journal
    }
}

/// Number of set-ups that were sent this long after SIGTERM, or later.
fn setups_after_stop(journal: &Journal, delay: Duration) -> usize {
    let entries = journal.entries();
    let terminated = entries.iter().find(|(_, o)| matches!(o, Observation::Terminated { .. }));
    let from = terminated.expect("SIGTERM").0 + delay;
    entries.iter().filter(|(at, o)| *at >= from && matches!(o, Observation::SetUp { .. })).count()
}

/// Guards against set-ups that are taken late in a shutdown and have no outcome when the process is killed.
#[test]
fn set_ups_that_arrive_until_sigkill_have_their_outcome_before_it_though_exchanges_are_slow() {
    let behaviour = Behaviour::answering(600..2_500, 4_000..8_000);
    let shutdown = Shutdown::new("slow", [3_000, 2_000], &behaviour, steady(3_000));
    let journal = shutdown.run();
    assert!(setups_after_stop(&journal, Duration::from_millis(700)) > 50, "callers go on sending");
    let violations = checker::check(&journal);
    checker::assert_none(&violations, "slow exchanges");
}

/// A started softswitch with one exchange, the exchange's connection, and two connections of callers.
fn started_with_two_callers(
    name: &str,
    deadlines_ms: [u32; 2],
) -> (Softswitch, TrialDirectory, JsonLinesConn, [JsonLinesConn; 2]) {
    let directory = TrialDirectory::new(name);
    let exchange = ListeningExchange::new();
    let addresses = [own_address(PORT).to_string(), exchange.address().to_string()];
    let (address, resolver) = (own_address(PORT), own_address(PORT).to_string());
    let config =
        engine_harness::config_json_with_deadlines(&address.to_string(), &resolver, &addresses, deadlines_ms);
    let mut softswitch = Softswitch::new(0, address, &config, &directory.0, &Journal::default());
    softswitch.start();
    let exchange = exchange.accept();
    softswitch.wait_until_ready();
    let callers = [(), ()].map(|()| JsonLinesConn::connect(address));
    (softswitch, directory, exchange, callers)
}

fn busy_line(call: &str) -> String {
    format!(r#"{{"kind":"stop","uid":"{call}","meta":{{"note":"user_busy"}},"reason":17}}"#)
}

/// Guards against set-ups that are read in the same pass in which the last call ends, and dropped with the exit.
#[test]
fn a_set_up_that_arrives_together_with_the_end_of_the_last_call_has_its_outcome_before_the_exit() {
    let (mut softswitch, _directory, mut exchange, [mut first, mut second]) =
        started_with_two_callers("last-call", engine_harness::DEADLINES_MS);
    first.send(&launch_line("00000000000000a1", 1, 3_000));
    exchange.expect("launch", "00000000000000a1");
    second.assert_quiet();
    softswitch.signal("-TERM");
    std::thread::sleep(Duration::from_millis(800));
    // While the process is stopped, both arrive; it handles them in one pass.
    softswitch.signal("-STOP");
    std::thread::sleep(Duration::from_millis(20));
    exchange.send(&busy_line("00000000000000a1"));
    std::thread::sleep(Duration::from_millis(5));
    second.send(&launch_line("00000000000000a2", 1, 1_000));
    softswitch.signal("-CONT");
    first.expect("stop", "00000000000000a1");
    // The exchange may get the call, or the softswitch refuses it, as the last call took long.
    std::thread::spawn(move || {
        while exchange.receive().is_some() {
            exchange.send(&busy_line("00000000000000a2"));
        }
    });
    second.expect("stop", "00000000000000a2");
    softswitch.end(Duration::from_secs(3));
}

/// Guards against a set-up in pieces whose last byte arrives so shortly before the kill that it has no outcome.
#[test]
fn a_connection_with_a_set_up_that_has_only_begun_is_closed_before_the_kill() {
    let deadlines_ms = [300, 300];
    let (mut softswitch, _directory, mut exchange, [mut first, mut second]) =
        started_with_two_callers("piece", deadlines_ms);
    first.send(&launch_line("00000000000000a1", 1, 300));
    exchange.expect("launch", "00000000000000a1");
    exchange.send(r#"{"kind":"running","uid":"00000000000000a1","meta":{},"body":""}"#);
    first.expect("running", "00000000000000a1");
    softswitch.signal("-TERM");
    let kill_at = softswitch.kill_time(Duration::from_millis(deadlines_ms[0].into())).expect("SIGTERM");
    std::thread::sleep(Duration::from_millis(800));
    second.send_raw(&launch_line("00000000000000a2", 1, 300).as_bytes()[..40]);
    assert!(second.receive().is_none());
    assert!(std::time::Instant::now() < kill_at, "before the process may be killed");
    assert!(softswitch.is_running(), "a call is established");
}

/// Guards against set-ups that are taken on a new connection so shortly before the kill that they have no outcome.
#[test]
fn new_connections_are_refused_from_the_shutdown_deadline_on_while_established_calls_delay_the_exit() {
    let deadlines_ms = [300, 300];
    let (mut softswitch, _directory, mut exchange, [mut first, _second]) =
        started_with_two_callers("listen", deadlines_ms);
    first.send(&launch_line("00000000000000a1", 1, 300));
    exchange.expect("launch", "00000000000000a1");
    exchange.send(r#"{"kind":"running","uid":"00000000000000a1","meta":{},"body":""}"#);
    first.expect("running", "00000000000000a1");
    softswitch.signal("-TERM");
    let kill_at = softswitch.kill_time(Duration::from_millis(deadlines_ms[0].into())).expect("SIGTERM");
    std::thread::sleep(Duration::from_millis(700));
    drop(JsonLinesConn::connect(softswitch.address));
    std::thread::sleep(
        (kill_at - Duration::from_millis(10)).saturating_duration_since(std::time::Instant::now()),
    );
    assert!(std::net::TcpStream::connect(softswitch.address).is_err(), "shortly before the kill");
    assert!(softswitch.is_running(), "a call is established");
}
