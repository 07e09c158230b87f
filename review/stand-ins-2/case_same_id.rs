//! While the process is replaced, a bad client sends the id of an open set-up of another client with another description.

use std::time::Duration;

use crate::caller::{Client, launch_line};
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(true, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    // Slow, and within the time in which a call of the class should be answered.
    let slow = Habits { answer_after: Duration::from_millis(1_000), hold: Duration::from_secs(3) };
    let fast = Habits { answer_after: Duration::from_millis(20), hold: Duration::from_secs(3) };
    let slow = Exchange::start("exchange 1", slow, record).map_err(fail)?;
    let fast = Exchange::start("exchange 2", fast, record).map_err(fail)?;
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", slow.address, "linz", 1),
        Member::new("s-two", fast.address, "graz", 2),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 512 }).map_err(fail)?;
    let mut old = platform.start("old process")?;

    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let first = line.launch("unit-status", 2, 9_000);
    if client.wait(&first, Duration::from_secs(2)).is_none_or(|answer| answer.kind != "running") {
        return Err("the softswitch does not serve".to_owned());
    }
    sleep_until(record, record.now() + 1.0);

    // The platform starts the new process; SIGTERM reaches the old one 4 s after the yes.
    let new = platform.start("new process")?;
    let ready_at = record.now();
    sleep_until(record, ready_at + 0.5);
    // The usual client's connection is still open, and it goes on using it.
    let call = line.launch("unit-status", 1, 9_000);
    let launched_at = record.now();
    sleep_until(record, launched_at + 0.3);
    if slow.launches().iter().all(|(_, launched, _)| *launched != call) || !client.received(&call).is_empty()
    {
        return Err("the set-up is not open at its exchange".to_owned());
    }
    let bad = Client::new("bad client", platform.listen, record);
    if trouble {
        let line = bad.connect().map_err(fail)?;
        line.send(&launch_line(&call, "unit-status", 2, 9_000, "another description"));
        sleep_until(record, launched_at + 2.5);
    }
    sleep_until(record, ready_at + 4.0);
    old.signal("TERM");
    sleep_until(record, ready_at + 8.0);

    let mut broken = Vec::new();
    let served = bad.received(&call).iter().any(|(_, _, message)| message.kind == "running");
    if served {
        broken.push("the bad client was answered 'served'".to_owned());
    }
    let attempts: Vec<(f64, &str, String)> = [("exchange 1", &slow), ("exchange 2", &fast)]
        .into_iter()
        .flat_map(|(name, exchange)| {
            exchange
                .launches()
                .into_iter()
                .filter(|(_, launched, _)| *launched == call)
                .map(move |(at, _, body)| (at, name, body))
        })
        .collect();
    for (at, name, body) in &attempts {
        record.note("test", &format!("attempt of call {call} at {name}: {at:.3} s, description {body:?}"));
    }
    if let [first, second] = &attempts[..]
        && second.0.max(first.0) < launched_at + 0.9
    {
        broken.push(format!("call {call} had two attempts out at once, at {} and at {}", first.1, second.1));
    }
    if attempts.iter().any(|(_, _, body)| *body != format!("offer of {call}")) {
        broken.push("an exchange got the set-up with a description that its caller never sent".to_owned());
    }
    if client.received(&call).first().is_none_or(|(_, _, message)| message.kind != "running") {
        record.note("test", "the usual client's call was not answered");
    }
    platform.record_log("old process");
    platform.record_log("new process");
    drop(new);
    old.kill();
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}
