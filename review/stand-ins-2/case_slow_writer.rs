//! During an operator's drain a client writes a set-up in pieces, on a connection that the softswitch has left open.

use std::time::Duration;

use crate::caller::{Client, launch_line, new_uid};
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

/// When the client begins to write, after the order to drain.
const WRITE_AT_S: f64 = 3.2;
/// How long it writes; the pages say 2 s.
const WRITE_FOR_S: f64 = 2.0;
const PIECES: usize = 10;
/// The time of the rule, with the slack of the pages.
const CLOSED_AFTER_S: f64 = 4.05;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(false, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let habits = Habits { answer_after: Duration::from_millis(20), hold: Duration::from_secs(12) };
    let exchange = Exchange::start("exchange 1", habits, record).map_err(fail)?;
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", exchange.address, "linz", 1),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 256 }).map_err(fail)?;
    let mut softswitch = platform.start("softswitch")?;

    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let standing = line.launch("unit-status", 1, 9_000);
    if client.wait(&standing, Duration::from_secs(2)).is_none_or(|answer| answer.kind != "running") {
        return Err("the softswitch does not serve".to_owned());
    }
    sleep_until(record, record.now() + 1.0);

    if softswitch.operator_request("PUT", "/ops/drain/start") != Some(200) {
        return Err("the operator's request fails".to_owned());
    }
    let drained_at = record.now();
    record.note("test", "the drain begins");
    // The front asks every 0.1 s and sends no new connections once it has got a no.
    let front = Client::new("front", platform.listen, record);
    let mut no_seen = false;
    while record.now() < drained_at + WRITE_AT_S {
        if let Ok(test) = front.connect() {
            let is_yes = test.check(Duration::from_millis(500)) == Some(1);
            test.close();
            no_seen |= !is_yes;
        }
        sleep_until(record, record.now() + 0.1);
    }
    if !no_seen {
        return Err("the softswitch says yes during the drain".to_owned());
    }
    if let Some(at) = client.closed_at(&line) {
        return Err(format!("the connection is closed {:.2} s after the order already", at - drained_at));
    }

    // The connection has stayed open, so the client goes on using it.
    let call = new_uid();
    let set_up = launch_line(&call, "unit-status", 1, 9_000, &format!("offer of {call}")) + "\n";
    let pieces = if trouble { PIECES } else { 1 };
    record.note("caller", &format!("writes on {} in {pieces} pieces: {}", line.number, set_up.trim_end()));
    let mut open_after_limit = false;
    for (i, piece) in set_up.as_bytes().chunks(set_up.len().div_ceil(pieces)).enumerate() {
        sleep_until(record, drained_at + WRITE_AT_S + WRITE_FOR_S * i as f64 / PIECES as f64);
        if !line.write(piece) {
            record.note("caller", "cannot write any more");
            break;
        }
    }
    sleep_until(record, drained_at + 6.5);
    let closed_at = client.closed_at(&line).map(|at| at - drained_at);
    record.note("test", &format!("the connection was closed {closed_at:?} s after the order"));
    open_after_limit |= closed_at.is_none_or(|at| at > CLOSED_AFTER_S);
    let answer = client.received(&call).first().map(|(at, _, message)| (at - drained_at, message.short()));
    platform.record_log("softswitch");
    softswitch.kill();
    if !open_after_limit {
        return Ok(Verdict::Held);
    }
    let when =
        closed_at.map_or("was never closed".to_owned(), |at| format!("was closed {at:.2} s after the order"));
    Ok(Verdict::Broken(vec![
        format!(
            "a connection of a client, with no whole set-up open on it, {when} to drain; 4 s is the limit"
        ),
        format!("the set-up on it got: {answer:?}"),
    ]))
}
