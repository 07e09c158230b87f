//! Calls stand, the softswitch is restarted as planned, and later an exchange stops: its calls are cut.

use std::time::Duration;

use crate::caller::{Client, Line};
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform, Process};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

const CALLS: usize = 8;
/// A call that is over must be released towards its client within this time of its end, if no release could be sent.
const RELEASE_LIMIT_S: f64 = 8.0;
/// Time limits are 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;

/// A usual caller that places a short call every quarter of a second, on one connection as long as that is open.
pub struct Busy {
    pub client: Client,
    line: Option<Line>,
    next_at: f64,
}

impl Busy {
    pub fn new(client: &Client) -> Self {
        Self { client: client.clone(), line: None, next_at: 0.0 }
    }

    /// Goes on until this time of the run; `dest` is the exchange of the calls.
    pub fn work_until(&mut self, record: &Record, dest: u32, until: f64) {
        while record.now() < until {
            if self.line.as_ref().is_none_or(|line| self.client.closed_at(line).is_some()) {
                self.line = self.client.connect().ok();
            }
            if record.now() >= self.next_at
                && let Some(line) = &self.line
            {
                self.next_at = record.now() + 0.25;
                line.launch("fault-lookup", dest, 6_000);
            }
            sleep_until(record, until.min(record.now() + 0.02));
        }
    }

    pub fn line(&self) -> Option<&Line> {
        self.line.as_ref()
    }
}

/// Places calls one after the other until this many stand. A softswitch that has just started may refuse some.
pub fn place_standing_calls(
    line: &Line,
    client: &Client,
    dest: u32,
    count: usize,
) -> Result<Vec<String>, String> {
    let mut calls = Vec::new();
    for _ in 0..3 * count {
        let call = line.launch("unit-status", dest, 9_000);
        if client.wait(&call, Duration::from_secs(2)).is_some_and(|answer| answer.kind == "running") {
            calls.push(call);
        }
        if calls.len() == count {
            return Ok(calls);
        }
    }
    Err(format!("only {} calls stand", calls.len()))
}

/// A planned restart: SIGTERM, SIGKILL at the earliest time that the pages allow, and the next process.
pub fn restart(platform: &Platform, old: &mut Process, name: &str) -> Result<Process, String> {
    old.stop_as_planned();
    platform.start(name)
}

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(false, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let answer_after = Duration::from_millis(20);
    let long = Exchange::start("exchange 1", Habits { answer_after, hold: Duration::from_secs(30) }, record)
        .map_err(fail)?;
    let short =
        Exchange::start("exchange 2", Habits { answer_after, hold: Duration::from_millis(500) }, record)
            .map_err(fail)?;
    let members = vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", long.address, "linz", 1),
        Member::new("s-two", short.address, "graz", 2),
    ];
    let resolver = Resolver::start(members.clone()).map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 512 }).map_err(fail)?;
    let mut softswitch = platform.start("first process")?;

    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let calls = place_standing_calls(&line, &client, 1, CALLS)?;
    let mut busy = Busy::new(&client);
    busy.work_until(record, 2, 1.0);
    if trouble {
        softswitch = restart(&platform, &mut softswitch, "second process")?;
    } else {
        busy.work_until(record, 2, 4.8);
    }
    // The exchange drains and stops 2.5 s later; the list says so 2 s after each of these.
    let draining_at = record.now() + 0.2;
    busy.work_until(record, 2, draining_at + 2.0);
    let mut draining = members.clone();
    draining[1].draining = true;
    resolver.set(draining);
    record.note("resolver", "lists exchange 1 as draining");
    busy.work_until(record, 2, draining_at + 2.5);
    if let Some(call) = calls.iter().find(|call| !long.stands(call)) {
        return Err(format!("call {call} does not stand before the exchange stops"));
    }
    long.die();
    busy.work_until(record, 2, draining_at + 4.5);
    resolver.set(vec![members[0].clone(), members[2].clone()]);
    record.note("resolver", "lists exchange 1 no more");
    busy.work_until(record, 2, draining_at + 2.5 + RELEASE_LIMIT_S + 1.5);

    let mut broken = Vec::new();
    for call in &calls {
        let Some(ended_at) = long.ended_at(call) else { return Err(format!("call {call} has not ended")) };
        match client.told_of_end_at(call) {
            Some(at) if at <= ended_at + RELEASE_LIMIT_S + SLACK_S => {}
            Some(at) => broken.push(format!("call {call} was released {:.2} s after its end", at - ended_at)),
            None => broken.push(format!(
                "call {call} was cut at {ended_at:.2} s and not released towards its client until {:.2} s",
                record.now()
            )),
        }
    }
    platform.record_log("first process");
    platform.record_log("second process");
    softswitch.kill();
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}
