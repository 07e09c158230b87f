//! Bad clients that send the same thing again as soon as it is turned away. The platform kills the softswitch once it
//! uses more memory than `memory_mb`.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Client, launch_line, new_uid};
use crate::exchange::{Exchange, Habits};
use crate::platform::{Limits, Platform};
use crate::record::Record;
use crate::resolver::{Member, Resolver};
use crate::{RUN_LIMIT, Verdict, sleep_until};

/// The limit of the configuration. The pages give 32 to 192 MB, half of that on some days.
const MEMORY_MB: u32 = 40;
/// Bad clients, with one connection each; the pages say hundreds.
const BAD_CLIENTS: usize = 40;
/// Set-ups that each of them has open at a time; the pages say hundreds at once.
const AT_ONCE: usize = 10;
/// Set-ups of all bad clients together, at most; the pages say full speed.
const MAX_RATE_PER_S: u64 = 25_000;
/// How long the bad clients are there, in seconds.
const FLOOD_S: f64 = 40.0;

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let fail = |error: std::io::Error| error.to_string();
    let platform = Platform::new(false, record).map_err(fail)?;
    platform.limit_run(RUN_LIMIT);
    let habits = Habits { answer_after: Duration::from_millis(20), hold: Duration::from_secs(2) };
    let exchanges: Vec<Exchange> = (1..=2)
        .map(|i| Exchange::start(&format!("exchange {i}"), habits, record))
        .collect::<Result<_, _>>()
        .map_err(fail)?;
    let resolver = Resolver::start(vec![
        Member::new("s-own", "127.0.0.1:9".parse().unwrap(), "wien", 0),
        Member::new("s-one", exchanges[0].address, "linz", 1),
        Member::new("s-two", exchanges[1].address, "graz", 2),
    ])
    .map_err(fail)?;
    platform.write_config(&resolver, Limits { memory_mb: MEMORY_MB, sockets: 256 }).map_err(fail)?;
    let mut softswitch = platform.start("softswitch")?;
    let start = record.now();

    let is_over = Arc::new(AtomicBool::new(false));
    let turned_away = Arc::new(AtomicU64::new(0));
    if trouble {
        record.note("test", &format!("{BAD_CLIENTS} bad clients begin"));
        let begin = Instant::now();
        for _ in 0..BAD_CLIENTS {
            let (address, is_over, turned_away) = (platform.listen, is_over.clone(), turned_away.clone());
            thread::spawn(move || bad_client(address, begin, &is_over, &turned_away));
        }
    }

    // The usual callers: five calls a second on one connection.
    let client = Client::new("caller", platform.listen, record);
    let line = client.connect().map_err(fail)?;
    let mut calls = Vec::new();
    let mut broken = Vec::new();
    let mut next_memory_note = start;
    while record.now() < start + FLOOD_S {
        calls.push(line.launch("unit-status", 1 + calls.len() as u32 % 2, 9_000));
        let next = record.now() + 0.2;
        while record.now() < next {
            let Some((now_kb, highest_kb)) = softswitch.memory_kb() else {
                return Err("cannot read the memory of the process".to_owned());
            };
            if record.now() >= next_memory_note {
                next_memory_note += 1.0;
                record.note(
                    "platform",
                    &format!(
                        "the softswitch uses {now_kb} kB (highest {highest_kb} kB), {} ticks of its processor; set-ups \
                         turned away: {}",
                        softswitch.processor_ticks(),
                        turned_away.load(Ordering::Relaxed)
                    ),
                );
            }
            if now_kb > u64::from(MEMORY_MB) * 1024 {
                let open = calls.iter().filter(|call| client.received(call).is_empty()).count();
                let standing = calls
                    .iter()
                    .filter(|call| client.is_answered(call) && client.told_of_end_at(call).is_none())
                    .count();
                softswitch.kill();
                broken.push(format!(
                    "after {:.1} s the softswitch used {now_kb} kB, over its {MEMORY_MB} MB, and was killed: it has \
                     crashed. {} set-ups of bad clients were turned away until then; {open} set-ups of usual callers \
                     were open and {standing} of their calls stood",
                    record.now() - start,
                    turned_away.load(Ordering::Relaxed)
                ));
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        if !broken.is_empty() {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    if broken.is_empty() {
        sleep_until(record, record.now() + 1.0);
        let unanswered = calls.iter().filter(|call| client.received(call).is_empty()).count();
        if unanswered > 0 {
            return Err(format!("{unanswered} set-ups of usual callers have no answer"));
        }
        if let Some((_, highest_kb)) = softswitch.memory_kb() {
            record.say(&format!("the highest use of memory was {highest_kb} kB"));
        }
    }
    platform.record_log("softswitch");
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}

/// Asks for an exchange that does not exist, is turned away, and asks again at once, each time under a new id as the
/// protocol says. Reads everything that is sent to it.
fn bad_client(address: SocketAddr, begin: Instant, is_over: &AtomicBool, turned_away: &AtomicU64) {
    let Ok(stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    let set_up = || launch_line(&new_uid(), "unit-status", 60, 9_000, "offer") + "\n";
    let first: String = (0..AT_ONCE).map(|_| set_up()).collect();
    if writer.write_all(first.as_bytes()).is_err() {
        return;
    }
    while !is_over.load(Ordering::Relaxed) {
        let mut again = String::new();
        for _ in 0..AT_ONCE {
            line.clear();
            if lines.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            again += &set_up();
        }
        let count = turned_away.fetch_add(AT_ONCE as u64, Ordering::Relaxed);
        while count > MAX_RATE_PER_S * begin.elapsed().as_millis() as u64 / 1_000 {
            thread::sleep(Duration::from_millis(1));
        }
        if writer.write_all(again.as_bytes()).is_err() {
            return;
        }
    }
}
