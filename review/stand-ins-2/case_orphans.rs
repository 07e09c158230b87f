//! Calls stand, the softswitch is restarted as planned, and the platform then replaces the process: the ends of the calls
//! come while both processes run.

use std::time::Duration;

use crate::caller::Client;
use crate::case_restart::{Busy, place_standing_calls, restart};
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

const CALLS: usize = 8;
/// A call must be released towards its client within this time of the release by the exchange.
const RELEASE_LIMIT_S: f64 = 1.0;
/// Time limits are 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;
/// When SIGTERM reaches the old process after the new one has said yes; the pages say within 6 s.
const TERM_AFTER_S: f64 = 5.5;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(true, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let answer_after = Duration::from_millis(20);
    let start = |name: &str, hold_ms: u64| {
        Exchange::start(name, Habits { answer_after, hold: Duration::from_millis(hold_ms) }, record)
    };
    let (long, short, longest) = (
        start("exchange 1", 8_500).map_err(fail)?,
        start("exchange 2", 500).map_err(fail)?,
        start("exchange 3", 40_000).map_err(fail)?,
    );
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", long.address, "linz", 1),
        Member::new("s-two", short.address, "graz", 2),
        Member::new("s-three", longest.address, "linz", 3),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 512 }).map_err(fail)?;
    let mut processes = vec![platform.start("first process")?];

    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let calls = place_standing_calls(&line, &client, 1, CALLS)?;
    let hung_up = place_standing_calls(&line, &client, 3, 1)?.remove(0);
    let mut busy = Busy::new(&client);
    busy.work_until(record, 2, 0.5);
    if trouble {
        let next = restart(&platform, &mut processes[0], "second process")?;
        processes.push(next);
        // The front sends callers again once the softswitch has passed a test.
        busy.work_until(record, 2, record.now() + 1.0);
        let third = platform.start("third process")?;
        processes.push(third);
    }
    let ready_at = record.now();
    busy.work_until(record, 2, ready_at + 0.8);
    // The caller hangs one of the calls up, on the connection that it uses.
    let hung_up_at = record.now();
    if !busy.line().is_some_and(|line| line.stop(&hung_up)) {
        return Err("the caller has no connection".to_owned());
    }
    busy.work_until(record, 2, ready_at + TERM_AFTER_S);
    if trouble {
        processes[1].signal("TERM");
    }
    let all_over = calls.iter().filter_map(|call| long.ended_at(call)).fold(0.0, f64::max);
    busy.work_until(record, 2, (all_over + 4.0).max(hung_up_at + 9.0));

    let mut broken = Vec::new();
    for call in &calls {
        let Some(ended_at) = long.ended_at(call) else { return Err(format!("call {call} has not ended")) };
        match client.told_of_end_at(call) {
            Some(at) if at <= ended_at + RELEASE_LIMIT_S + SLACK_S => {}
            Some(at) => broken.push(format!(
                "call {call} was released towards its client {:.2} s after its release by the exchange",
                at - ended_at
            )),
            None => broken.push(format!("call {call} was never released towards its client")),
        }
    }
    match longest.released_at(&hung_up) {
        Some(at) => record.note("test", &format!("the hang-up reached the exchange {:.2} s later", at - hung_up_at)),
        None => broken.push(format!(
            "the hang-up of call {hung_up} did not reach the exchange within {:.1} s: the call is left standing",
            record.now() - hung_up_at
        )),
    }
    for name in ["first process", "second process", "third process"] {
        platform.record_log(name);
    }
    processes.iter_mut().for_each(|process| process.kill());
    sleep_until(record, record.now());
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}
