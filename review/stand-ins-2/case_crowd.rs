//! A crowd connects and says nothing while calls of a usual caller stand; the calls end.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::Client;
use crate::case_restart::place_standing_calls;
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

const CALLS: usize = 4;
/// The pages say hundreds of bad clients, and crowds of thousands.
const CROWD: usize = 600;
const CROWD_THREADS: usize = 4;
/// Time after which a silent client whose connection was closed connects again.
const CONNECT_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// A call that is over must be released towards its client within this time of its end, if no release could be sent.
const RELEASE_LIMIT_S: f64 = 8.0;
/// Time limits are 50 ms longer on sockets.
const SLACK_S: f64 = 0.05;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(false, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let answer_after = Duration::from_millis(20);
    let start = |name: &str, hold: u64| {
        Exchange::start(name, Habits { answer_after, hold: Duration::from_millis(hold) }, record)
    };
    let (long, short) = (start("exchange 1", 5_000).map_err(fail)?, start("exchange 2", 500).map_err(fail)?);
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", long.address, "linz", 1),
        Member::new("s-two", short.address, "graz", 2),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: 96, sockets: 256 }).map_err(fail)?;
    let mut softswitch = platform.start("softswitch")?;

    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let calls = place_standing_calls(&line, &client, 1, CALLS)?;
    sleep_until(record, record.now() + 0.5);

    let is_over = Arc::new(AtomicBool::new(false));
    let strangers_got = Arc::new(AtomicUsize::new(0));
    if trouble {
        record.note("test", &format!("{CROWD} clients connect and say nothing"));
        for first in (0..CROWD).step_by(CROWD / CROWD_THREADS) {
            let (address, is_over, got, record) =
                (platform.listen, is_over.clone(), strangers_got.clone(), record.clone());
            thread::spawn(move || {
                be_silent(address, first..first + CROWD / CROWD_THREADS, &is_over, &got, &record)
            });
        }
    }
    // The usual caller is connected as long as the softswitch lets it be, and otherwise when it has a call to place.
    let last_end = || calls.iter().filter_map(|call| long.ended_at(call)).fold(0.0, f64::max);
    while calls.iter().any(|call| long.ended_at(call).is_none()) {
        thread::sleep(Duration::from_millis(10));
    }
    sleep_until(record, last_end() + 1.0);
    is_over.store(true, Ordering::Relaxed);
    let mut lines = vec![line];
    for _ in 0..10 {
        if client.closed_at(lines.last().ok_or("no connection")?).is_some()
            && let Ok(line) = client.connect()
        {
            lines.push(line);
        }
        lines.last().ok_or("no connection")?.launch("fault-lookup", 2, 6_000);
        sleep_until(record, record.now() + 1.0);
    }

    let mut broken = Vec::new();
    for call in &calls {
        let Some(ended_at) = long.ended_at(call) else { return Err(format!("call {call} has not ended")) };
        match client.told_of_end_at(call) {
            Some(at) if at <= ended_at + RELEASE_LIMIT_S + SLACK_S => {}
            Some(at) => broken.push(format!("call {call} was released {:.2} s after its end", at - ended_at)),
            None => broken.push(format!(
                "call {call} ended at {ended_at:.2} s and was not released towards its client until {:.2} s",
                record.now()
            )),
        }
    }
    let strangers_got = strangers_got.load(Ordering::Relaxed);
    if !broken.is_empty() && strangers_got > 0 {
        broken
            .push(format!("{strangers_got} releases went to clients of the crowd, which have sent nothing"));
    }
    platform.record_log("softswitch");
    softswitch.kill();
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}

/// Clients that connect, say nothing and read; each connects again some time after it was closed.
fn be_silent(
    address: SocketAddr,
    members: Range<usize>,
    is_over: &AtomicBool,
    got: &AtomicUsize,
    record: &Record,
) {
    let connect = || {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let mut crowd: Vec<(usize, Option<TcpStream>, Instant)> =
        members.map(|member| (member, connect(), Instant::now())).collect();
    let mut received = [0; 4096];
    while !is_over.load(Ordering::Relaxed) {
        for (member, stream, closed_at) in &mut crowd {
            let Some(open) = stream else {
                if closed_at.elapsed() >= CONNECT_AGAIN_AFTER {
                    (*stream, *closed_at) = (connect(), Instant::now());
                }
                continue;
            };
            match open.read(&mut received) {
                Ok(length) if length > 0 => {
                    let text = String::from_utf8_lossy(&received[..length]);
                    got.fetch_add(text.lines().count(), Ordering::Relaxed);
                    for line in text.lines() {
                        record.note(&format!("client {member} of the crowd"), &format!("receives: {line}"));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                _ => (*stream, *closed_at) = (None, Instant::now()),
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}
