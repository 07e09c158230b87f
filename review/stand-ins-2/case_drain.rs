//! An operator drains the softswitch, and the platform replaces its process: first the drain and then the replacement, and,
//! with new processes, the other way round.

use std::time::Duration;

use crate::caller::Client;
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

/// From this time after the order to drain on, a yes at the clients' address breaks the rule.
const DRAINED_AFTER_S: f64 = 4.0;

/// The same for a client's connection that is held idle or with a request from the last 2 s, with the slack of the pages.
const CLOSED_AFTER_S: f64 = 4.05;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut broken = drain_first(trouble, record)?;
    broken.extend(replacement_first(trouble, record)?);
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}

/// The platform replaces the process 1 s after the operator's order.
fn drain_first(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    record.note("test", "first scene: the drain, then the replacement");
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(true, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let habits = Habits { answer_after: Duration::from_millis(20), hold: Duration::from_secs(1) };
    let exchange = Exchange::start("exchange 1", habits, record).map_err(fail)?;
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", exchange.address, "linz", 1),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 512 }).map_err(fail)?;
    let mut old = platform.start("old process")?;

    // The softswitch serves.
    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let call = line.launch("fault-lookup", 1, 6_000);
    if client.wait(&call, Duration::from_secs(2)).is_none_or(|answer| answer.kind != "running") {
        return Err("the softswitch does not serve".to_owned());
    }
    let front = Client::new("front", platform.listen, record);
    if front.connect().map_err(fail)?.check(Duration::from_secs(1)) != Some(1) {
        return Err("the softswitch is not ready before the drain".to_owned());
    }
    sleep_until(record, record.now() + 1.5);

    if old.operator_request("PUT", "/ops/drain/start") != Some(200) {
        return Err("the operator's request fails".to_owned());
    }
    let drained_at = record.now();
    record.note("test", "the drain begins");
    let mut replaced = None;
    let mut is_stopped = false;
    let mut broken = Vec::new();
    while record.now() < drained_at + 7.0 {
        let asked_at = record.now() - drained_at;
        if trouble && replaced.is_none() && asked_at >= 1.0 {
            replaced = Some((platform.start("new process")?, record.now()));
        }
        if let Some((_, ready_at)) = &replaced
            && !is_stopped
            && record.now() >= ready_at + 1.0
        {
            old.signal("TERM");
            is_stopped = true;
        }
        // The front asks at the clients' address; any answer but a passed test is a no.
        let asked_at = record.now() - drained_at;
        let is_yes = front.connect().is_ok_and(|line| {
            let is_yes = line.check(Duration::from_millis(500)) == Some(1);
            line.close();
            is_yes
        });
        if is_yes && asked_at >= DRAINED_AFTER_S {
            broken.push(format!(
                "{asked_at:.1} s after the order to drain the softswitch says that it is ready"
            ));
        }
        sleep_until(record, drained_at + asked_at + 0.1);
    }
    // What the yes means: a front that believes it sends callers again.
    if !broken.is_empty()
        && let Ok(line) = client.connect()
    {
        let call = line.launch("fault-lookup", 1, 6_000);
        if client.wait(&call, Duration::from_secs(2)).is_some_and(|answer| answer.kind == "running") {
            record.note("test", "a set-up of a caller that came after the yes is served, during the drain");
        }
    }
    platform.record_log("old process");
    if let Some((mut new, _)) = replaced {
        platform.record_log("new process");
        new.kill();
    }
    old.kill();
    Ok(match broken.len() {
        0 => Vec::new(),
        count => vec![broken[0].clone(), format!("{count} times until 7 s after the order")],
    })
}

/// The operator orders the drain 0.3 s after the new process has said yes, at its door.
fn replacement_first(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    record.note("test", "second scene: the replacement, then the drain");
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(true, record).map_err(fail)?;
    let habits = Habits { answer_after: Duration::from_millis(20), hold: Duration::from_secs(1) };
    let exchange = Exchange::start("exchange 1", habits, record).map_err(fail)?;
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", exchange.address, "linz", 1),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 512 }).map_err(fail)?;
    let mut processes = vec![platform.start("old process of scene 2")?];
    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let use_line_until = |until: f64| {
        let mut last_answer = None;
        while record.now() < until && client.closed_at(&line).is_none() {
            let call = line.launch("fault-lookup", 1, 6_000);
            if client.wait(&call, Duration::from_millis(400)).is_some_and(|answer| answer.kind == "running") {
                last_answer = Some(record.now());
            }
            sleep_until(record, until.min(record.now() + 0.5));
        }
        last_answer
    };
    use_line_until(record.now() + 1.0);
    if trouble {
        let new = platform.start("new process of scene 2")?;
        processes.push(new);
    }
    let ready_at = record.now();
    use_line_until(ready_at + 0.3);
    let draining = processes.last().ok_or("no process")?;
    if draining.operator_request("PUT", "/ops/drain/start") != Some(200) {
        return Err("the operator's request fails".to_owned());
    }
    let drained_at = record.now();
    // The connection has stayed open, and the client goes on using it. SIGTERM reaches the old process within 6 s.
    let last_answer = use_line_until(drained_at + 5.0);
    if trouble {
        processes[0].signal("TERM");
    }
    let closed_at = client.closed_at(&line).filter(|at| *at <= drained_at + CLOSED_AFTER_S);
    for process in &mut processes {
        platform.record_log(&process.name.clone());
        process.kill();
    }
    Ok(match (closed_at, last_answer) {
        (None, Some(at)) if at > drained_at + CLOSED_AFTER_S => vec![format!(
            "the other way round: a client's connection is open {CLOSED_AFTER_S} s after the order to drain, and its set-ups \
             are served on it, the last one after {:.1} s",
            at - drained_at
        )],
        _ => Vec::new(),
    })
}
