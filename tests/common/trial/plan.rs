//! The plan of a trial, drawn from its seed: settings, load and the schedule of faults.

use std::ops::Range;
use std::time::Duration;

use super::Node;
use super::caller::Habits;
use super::exchange::Behaviour;
use super::strangers::{KINDS, Kind};
use crate::rng::SplitMix64;

/// Longest deadlines of a deployment, in ms.
const DEADLINES_MS: [u32; 5] = [300, 800, 1_500, 3_000, 5_000];

/// A fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGTERM; the process is started again after its end.
    Terminate(Node),
    /// SIGHUP with a configuration that differs in nothing that counts.
    Reload(Node),
    /// SIGKILL without a request to stop.
    Kill(Node),
    /// SIGSTOP, and SIGCONT after this time in ms.
    Hang(Node, u64),
    /// An exchange says nothing and reads nothing for this time in ms.
    Silent(Node, u64),
    /// An exchange dies, and comes back after this time in ms.
    Down(Node, u64),
    /// All connections of an exchange are reset.
    Reset(Node),
    /// The list says that an exchange drains, and after this time in ms that it is gone.
    Withdraw(Node, u64),
    /// The resolver answers nothing for this time in ms.
    ResolverSilent(u64),
}

/// What one trial does.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub softswitches: usize,
    /// Exchanges that are called, numbered from 1; number 0 is the home exchange.
    pub exchanges: usize,
    /// Deadlines of the two classes, in ms.
    pub deadlines_ms: [u32; 2],
    pub habits: Habits,
    pub behaviour: Behaviour,
    /// Faults with their times, in order.
    pub faults: Vec<(Duration, Fault)>,
    pub duration: Duration,
    /// Bad clients, with the softswitch that they go to.
    pub strangers: Vec<(Node, Kind)>,
}

/// Separates the numbers for bad clients from the others, so that the rest of a plan does not depend on them.
const STRANGER_SEED: u64 = 0x5747_2a6e_6765_7273;

struct Draw(SplitMix64);

impl Draw {
    fn within(&mut self, range: Range<u64>) -> u64 {
        range.start + self.0.below(range.end - range.start)
    }

    fn one_of<T: Clone>(&mut self, values: &[T]) -> T {
        values[self.0.below(values.len() as u64) as usize].clone()
    }
}

impl Plan {
    /// Draws the plan of this seed.
    pub fn new(seed: u64) -> Self {
        let mut draw = Draw(SplitMix64(seed));
        let softswitches = draw.within(2..5) as usize;
        let exchanges = draw.within(2..5) as usize;
        let longest = draw.one_of(&DEADLINES_MS);
        let deadlines_ms = [longest, longest.min(draw.one_of(&DEADLINES_MS))];
        let duration = Duration::from_millis(draw.within(6_000..8_000));
        let habits = Self::habits(&mut draw, exchanges, deadlines_ms);
        let behaviour = Self::behaviour(&mut draw, longest.into());
        let faults = Self::faults(&mut draw, softswitches, exchanges, duration.as_millis() as u64);
        let strangers = Self::strangers(&mut Draw(SplitMix64(seed ^ STRANGER_SEED)), softswitches);
        Self { seed, softswitches, exchanges, deadlines_ms, habits, behaviour, faults, duration, strangers }
    }

    /// Two of three trials have bad clients.
    fn strangers(draw: &mut Draw, softswitches: usize) -> Vec<(Node, Kind)> {
        let count = draw.within(0..3);
        (0..count).map(|_| (draw.within(0..softswitches as u64) as usize, draw.one_of(&KINDS))).collect()
    }

    fn habits(draw: &mut Draw, exchanges: usize, deadlines_ms: [u32; 2]) -> Habits {
        let wait = |deadline: u32| u64::from(deadline) / 2..u64::from(deadline) + 1;
        Habits {
            interval: Duration::from_millis(draw.within(5..30)),
            conns: draw.within(1..6) as usize,
            waits: vec![("status", wait(deadlines_ms[0])), ("lookup", wait(deadlines_ms[1]))],
            dests: (1..=exchanges).collect(),
            new_conn_percent: draw.within(0..30),
            pieces_percent: draw.one_of(&[0, 5, 30]),
            give_up_percent: draw.one_of(&[0, 5, 25]),
            hang_up_percent: draw.one_of(&[0, 10, 30]),
            repeat_percent: draw.one_of(&[0, 20, 60]),
            malformed_percent: draw.one_of(&[0, 0, 3]),
        }
    }

    fn behaviour(draw: &mut Draw, longest_ms: u64) -> Behaviour {
        let setup = draw.one_of(&[1..20, 1..200, 100..longest_ms + 200]);
        let mut behaviour = Behaviour::answering(setup, draw.one_of(&[50..500, 500..4_000]));
        behaviour.busy_percent = draw.one_of(&[0, 10, 40]);
        behaviour.doubled_percent = draw.one_of(&[0, 0, 5]);
        behaviour.spoilt_percent = draw.one_of(&[0, 0, 2]);
        behaviour.pieces_percent = draw.one_of(&[0, 0, 10]);
        behaviour
    }

    fn faults(draw: &mut Draw, softswitches: usize, exchanges: usize, end_ms: u64) -> Vec<(Duration, Fault)> {
        let mut faults = Vec::new();
        let latest = end_ms - 1_500;
        // Shutdowns one after another, the second one sometimes for a process that stops already.
        let mut at = draw.within(400..1_500);
        for softswitch in 0..softswitches {
            faults.push((at, Fault::Terminate(softswitch)));
            if draw.within(0..4) == 0 {
                faults.push((at + draw.within(50..600), Fault::Terminate(softswitch)));
            }
            if draw.within(0..3) == 0 {
                faults.push((at + draw.within(20..700), Fault::Reload(softswitch)));
            }
            at += draw.within(200..1_500);
        }
        let withdrawn = exchanges;
        if draw.within(0..3) > 0 && exchanges > 2 {
            // Set-ups stop 3.5 s after the start of a drain at the latest, so some exchanges drain for longer.
            faults.push((draw.within(300..latest / 2), Fault::Withdraw(withdrawn, draw.within(100..8_000))));
        }
        for _ in 0..draw.within(2..7) {
            let at = draw.within(300..latest);
            let exchange = draw.within(1..exchanges as u64 + 1) as usize;
            let softswitch = draw.within(0..softswitches as u64) as usize;
            let fault = match draw.within(0..8) {
                0 | 1 => Fault::Silent(exchange, draw.within(200..4_000)),
                2 | 3 => Fault::Down(exchange, draw.within(100..1_500)),
                4 => Fault::Reset(exchange),
                5 => Fault::ResolverSilent(draw.within(300..3_000)),
                6 => Fault::Hang(softswitch, draw.within(20..250)),
                _ => Fault::Kill(softswitch),
            };
            faults.push((at, fault));
        }
        faults.sort_by_key(|(at, _)| *at);
        faults.into_iter().map(|(at, fault)| (Duration::from_millis(at), fault)).collect()
    }

    /// The longest deadline of the deployment.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_millis(self.deadlines_ms.into_iter().max().unwrap_or_default().into())
    }

    /// The settings and the schedule on one line.
    pub fn describe(&self) -> String {
        let faults: Vec<String> =
            self.faults.iter().map(|(at, fault)| format!("{} {fault:?}", at.as_millis())).collect();
        format!(
            "seed {}: {} softswitches, {} exchanges, deadlines {:?}, set-ups every {:?}, set-up time {:?}, \
             bad clients {:?}: {}",
            self.seed,
            self.softswitches,
            self.exchanges,
            self.deadlines_ms,
            self.habits.interval,
            self.behaviour.setup_ms,
            self.strangers,
            faults.join(", ")
        )
    }
}
