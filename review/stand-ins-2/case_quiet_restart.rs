//! A call ends in a quiet time, while no caller is connected, and the softswitch is then restarted as planned.

use std::time::Duration;

use crate::caller::Client;
use crate::case_restart::{place_standing_calls, restart};
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

const CALLS: usize = 4;
/// A caller closes a connection with no call on it after this time.
const CALLER_IDLE_S: f64 = 4.0;
/// SIGTERM comes this long after the last of the calls has ended.
const TERM_AFTER_S: f64 = 3.6;
/// The caller connects again this long after the last of the calls has ended.
const CONNECT_AFTER_S: f64 = 7.5;
/// A call that is over must be released towards its client within this time of its end, if no release could be sent.
const RELEASE_LIMIT_S: f64 = 8.0;
/// Time limits are 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(false, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let habits = Habits { answer_after: Duration::from_millis(20), hold: Duration::from_secs(60) };
    let exchange = Exchange::start("exchange 1", habits, record).map_err(fail)?;
    let other = Exchange::start("exchange 2", habits, record).map_err(fail)?;
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", exchange.address, "linz", 1),
        Member::new("s-two", other.address, "graz", 2),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 512 }).map_err(fail)?;
    let mut softswitch = platform.start("first process")?;

    // One long call and some that last 5 s; then nothing more is said, and the caller closes its connection.
    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    place_standing_calls(&line, &client, 1, 1)?;
    exchange.set_hold(Duration::from_secs(5));
    let calls = place_standing_calls(&line, &client, 1, CALLS)?;
    sleep_until(record, record.now() + CALLER_IDLE_S);
    line.close();
    let all_ended = || calls.iter().all(|call| exchange.ended_at(call).is_some());
    while !all_ended() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let last_end = calls.iter().filter_map(|call| exchange.ended_at(call)).fold(0.0, f64::max);

    sleep_until(record, last_end + TERM_AFTER_S);
    if trouble {
        softswitch = restart(&platform, &mut softswitch, "second process")?;
    }
    sleep_until(record, last_end + CONNECT_AFTER_S);
    let line = client.connect().map_err(fail)?;
    let call = line.launch("fault-lookup", 2, 6_000);
    if client.wait(&call, Duration::from_secs(2)).is_none() {
        return Err("the softswitch does not answer".to_owned());
    }
    // The caller stays, on this connection, and places further calls.
    for _ in 0..8 {
        sleep_until(record, record.now() + 1.0);
        line.launch("fault-lookup", 2, 6_000);
    }

    let mut broken = Vec::new();
    for call in &calls {
        let Some(ended_at) = exchange.ended_at(call) else {
            return Err(format!("call {call} has not ended"));
        };
        match client.told_of_end_at(call) {
            Some(at) if at <= ended_at + RELEASE_LIMIT_S + SLACK_S => {}
            Some(at) => broken.push(format!("call {call} was released {:.2} s after its end", at - ended_at)),
            None => broken.push(format!(
                "call {call} ended at {ended_at:.2} s and was not released towards its client until {:.2} s",
                record.now()
            )),
        }
    }
    platform.record_log("first process");
    platform.record_log("second process");
    softswitch.kill();
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}
