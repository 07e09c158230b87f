//! The cases. Each returns whether the rule held.

use std::net::SocketAddr;
use std::time::Duration;

use crate::platform::{Caller, Listed, Platform, Process, SIGSTOP, free_address, sleep_ms, unix_ms};
use crate::proxy::Link;

/// The rule: what has stood and is over is released within 8 s where no release could be sent; 50 ms for sockets.
const RELEASE_LIMIT_MS: u64 = 8_050;
/// Exchanges on a busy day; one of them is 12.5% of all.
const EXCHANGES: u32 = 8;
const ZONES: [&str; 3] = ["wien", "linz", "graz"];

pub fn play(name: &str, record: &str) -> bool {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match name {
        "connection-limit" => connection_limit(record, trouble),
        "list-lag" => list_lag(record, trouble),
        "reset-hang-up" => reset_hang_up(record, trouble),
        "slow-resolver" => slow_resolver(record, trouble),
        "planned-restart" => planned_restart(record, trouble),
        "lost-zone" => lost_zone(record, trouble),
        "restart-hang-up" => restart_hang_up(record, trouble),
        "iax2-vanish" => iax2_vanish(record, trouble),
        _ => panic!("unknown case"),
    }
}

fn listed(number: u32, address: SocketAddr) -> Listed {
    Listed {
        name: format!("s-{number}"),
        zone: ZONES[number as usize % 3],
        number,
        address,
        started_ms: 0,
        draining: false,
    }
}

fn start_exchange(platform: &Platform, e: &Listed, hold_ms: u64, limit: usize) -> Process {
    let (address, hold, limit) = (e.address.to_string(), hold_ms.to_string(), limit.to_string());
    platform.exchange(&e.name, &["exchange", &e.name, &address, "40", &hold, &limit])
}

/// An exchange whose calls stand for these times in turn.
fn start_exchange_with_holds(platform: &Platform, e: &Listed, holds_ms: &str) -> Process {
    platform.exchange(&e.name, &["exchange", &e.name, &e.address.to_string(), "40", holds_ms, "0"])
}

fn uid(n: u64) -> String {
    format!("{:016x}", 0x5eed_0000_0000_0000 + n)
}

/// The calls that a softswitch released towards their caller although they stood at the exchange, and that stood there for
/// longer than the limit afterwards, without a release.
fn left_standing(platform: &Platform, exchange: &str, uids: &[String]) -> usize {
    let events = platform.record.events();
    let end = unix_ms();
    let of = |uid: &str, who: &str, what: &str| {
        events.iter().find(|e| e.uid == uid && e.what == what && e.who.starts_with(who)).map(|e| e.at)
    };
    let mut broken = 0;
    for uid in uids {
        let Some(answered) = of(uid, exchange, "answered") else {
            platform.record.say(&format!("call {uid} was not answered by {exchange}"));
            continue;
        };
        let over = of(uid, "caller", "stop");
        let ended = of(uid, exchange, "ended");
        let released = of(uid, exchange, "released-by-softswitch");
        let gone = ended.into_iter().chain(released).min();
        let Some(over) = over else {
            platform
                .record
                .say(&format!("call {uid} stands for its caller; at the exchange it ended: {gone:?}"));
            continue;
        };
        let until = gone.unwrap_or(end);
        let stood = until.saturating_sub(over);
        let is_broken = stood > RELEASE_LIMIT_MS;
        broken += usize::from(is_broken);
        platform.record.say(&format!(
            "call {uid}: answered at 0 ms, released towards its caller at {} ms, at the exchange it stood until {} ms \
             ({}): {}",
            over - answered,
            until - answered,
            if released.is_some() { "released by the softswitch" } else if ended.is_some() { "its own end" } else { "the end of the test" },
            if is_broken { "LEFT STANDING" } else { "in order" },
        ));
    }
    broken
}

/// Waits until all of these calls stand.
fn all_stand(platform: &Platform, exchange: &str, uids: &[String]) {
    let stands = |uid: &String, who: &str| {
        platform
            .record
            .events()
            .iter()
            .any(|e| e.who.starts_with(who) && e.what == "answered" && e.uid == *uid)
    };
    for _ in 0..200 {
        if uids.iter().all(|uid| stands(uid, exchange) && stands(uid, "caller")) {
            return;
        }
        sleep_ms(10);
    }
    panic!("not all calls were established");
}

/// Exchange 4 accepts as many connections as there are softswitches that connect to it, and refuses more. Calls stand there
/// in a quiet time.
fn connection_limit(record: &str, trouble: bool) -> bool {
    const LIMITED: u32 = 4;
    let list: Vec<Listed> = (0..5).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let limit = if trouble { 4 } else { 0 };
    platform.record.say(&format!("exchange 4 accepts {limit} connections at most (0: any number)"));
    let _exchanges: Vec<Process> = list
        .iter()
        .map(|e| start_exchange(&platform, e, 24_000, if e.number == LIMITED { limit } else { 0 }))
        .collect();
    sleep_ms(300);
    let softswitches: Vec<_> = (0..LIMITED).map(|home| platform.softswitch(home, None)).collect();
    sleep_ms(1_000);
    let mut callers: Vec<Caller> = softswitches.iter().map(|s| Caller::connect(&platform, s)).collect();
    let mut uids = Vec::new();
    for (i, caller) in callers.iter_mut().enumerate() {
        for n in 0..4 {
            let uid = uid(100 * i as u64 + n);
            caller.set_up(&uid, LIMITED);
            uids.push(uid);
            sleep_ms(50);
        }
    }
    sleep_ms(500);
    all_stand(&platform, "s-4", &uids);
    // The calls last for 24 s; nothing else happens.
    sleep_ms(27_000);
    let broken = left_standing(&platform, "s-4", &uids);
    platform.record.say(&format!("{broken} of {} calls were left standing", uids.len()));
    broken == 0
}

/// Exchange 1 dies and comes back 6 s later. The list runs 6 s behind, so its news of the death arrives 3 s after the return.
fn list_lag(record: &str, trouble: bool) -> bool {
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let mut exchanges: Vec<Process> = list.iter().map(|e| start_exchange(&platform, e, 16_000, 0)).collect();
    sleep_ms(300);
    let softswitch = platform.softswitch(0, None);
    sleep_ms(1_000);
    let started = unix_ms();
    let until = |ms: u64| sleep_ms((started + ms).saturating_sub(unix_ms()));
    if trouble {
        exchanges[1].kill();
        platform.record.say("exchange 1 dies");
    }
    until(6_000);
    let back = unix_ms();
    if trouble {
        exchanges[1] = start_exchange(&platform, &list[1], 16_000, 0);
        platform.record.say("exchange 1 is back");
    }
    until(7_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let uids: Vec<String> = (0..6).map(uid).collect();
    for uid in &uids {
        caller.set_up(uid, 1);
        sleep_ms(200);
    }
    sleep_ms(500);
    all_stand(&platform, "s-1", &uids);
    until(9_000);
    if trouble {
        platform
            .tell(|list| list.retain(|e| e.number != 1), "exchange 1 is gone (3 s to notice, 6 s behind)");
    }
    until(13_500);
    if trouble {
        let mut again = list[1].clone();
        again.started_ms = back;
        platform.tell(
            |list| list.push(again),
            "exchange 1 is in service, started late (1.5 s to notice, 6 s behind)",
        );
    }
    until(26_000);
    let broken = left_standing(&platform, "s-1", &uids);
    platform.record.say(&format!("{broken} of {} calls were left standing", uids.len()));
    broken == 0
}

/// Exchange 1 speaks IAX2. Its machine vanishes under calls that stand; the list tells it 10 s later.
fn iax2_vanish(record: &str, trouble: bool) -> bool {
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let iax2_exchange = platform.exchange("iax2", &["iax2-exchange", &list[1].address.to_string()]);
    let _others: Vec<Process> = list[2..].iter().map(|e| start_exchange(&platform, e, 16_000, 0)).collect();
    sleep_ms(300);
    let front = free_address();
    let iax2 = format!(r#"{{"enabled":true,"listen":"{front}","contexts":[],"nodes":[1]}}"#);
    let softswitch = platform.softswitch(0, Some(&iax2));
    sleep_ms(1_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let uids: Vec<String> = (0..6).map(uid).collect();
    for uid in &uids {
        caller.set_up(uid, 1);
        sleep_ms(100);
    }
    all_stand(&platform, "iax2", &uids);
    sleep_ms(1_000);
    let vanished = unix_ms();
    if trouble {
        iax2_exchange.signal(SIGSTOP);
        platform.record.say("the machine of exchange 1 vanishes with its calls");
    }
    sleep_ms(10_000);
    if trouble {
        platform.tell(|list| list.retain(|e| e.number != 1), "exchange 1 is gone (10 s to notice)");
    }
    sleep_ms(10_000);
    let mut late = 0;
    for uid in &uids {
        let stop = platform.record.find("caller-n0", "stop", uid);
        match (trouble, stop) {
            (true, Some(stop)) => {
                let after = stop.at.saturating_sub(vanished);
                late += usize::from(after > RELEASE_LIMIT_MS);
                platform
                    .record
                    .say(&format!("call {uid}: released towards its caller {after} ms after its end"));
            }
            (true, None) => {
                late += 1;
                platform.record.say(&format!("call {uid}: never released towards its caller"));
            }
            (false, Some(_)) => {
                late += 1;
                platform.record.say(&format!("call {uid}: released although it stands"));
            }
            (false, None) => {}
        }
    }
    platform.record.say(&format!("{late} of {} calls broke the rule", uids.len()));
    late == 0
}

/// Callers hang up calls at exchange 1, 20 ms away, while connections to it are reset now and then.
fn reset_hang_up(record: &str, trouble: bool) -> bool {
    let far = free_address();
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let at_end = Listed { address: far, ..list[1].clone() };
    let _exchange = start_exchange(&platform, &at_end, 600_000, 0);
    let _others: Vec<Process> = list[2..].iter().map(|e| start_exchange(&platform, e, 16_000, 0)).collect();
    sleep_ms(300);
    let link = Link::open(list[1].address, far, Duration::from_millis(20));
    let softswitch = platform.softswitch(0, None);
    sleep_ms(1_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let (calls, gap, hold) = (500_u64, 50_u64, 40_u64);
    // The resets have a time of their own, so that they fall at any time between two messages.
    let (resets, stop) = std::sync::mpsc::channel::<()>();
    let log = platform.record.clone();
    std::thread::spawn(move || {
        while trouble
            && stop.recv_timeout(Duration::from_millis(1_370))
                == Err(std::sync::mpsc::RecvTimeoutError::Timeout)
        {
            log.say("the connections to exchange 1 are reset");
            link.reset();
        }
        // The link stays open until the process ends.
        let _ = stop.recv();
    });
    let mut uids = Vec::new();
    for n in 0..calls + hold {
        if n < calls {
            caller.set_up(&uid(n), 1);
        }
        if n >= hold {
            let uid = uid(n - hold);
            let answered = platform.record.find("caller-n0", "answered", &uid).is_some();
            if answered && platform.record.find("caller-n0", "stop", &uid).is_none() {
                caller.release(&uid);
                uids.push(uid);
            }
        }
        sleep_ms(gap);
    }
    drop(resets);
    sleep_ms(RELEASE_LIMIT_MS + 1_000);
    let events = platform.record.events();
    let has = |who: &str, what: &str, uid: &str| {
        events.iter().any(|e| e.who == who && e.what == what && e.uid == uid)
    };
    let mut broken = 0;
    for uid in &uids {
        if has("s-1", "answered", uid)
            && !has("s-1", "released-by-softswitch", uid)
            && !has("caller-n0", "stop", uid)
        {
            broken += 1;
            platform.record.say(&format!(
                "call {uid}: its caller hung up; it still stands at exchange 1: LEFT STANDING"
            ));
        }
    }
    platform.record.say(&format!("{broken} of {} calls that were hung up were left standing", uids.len()));
    broken == 0
}

/// The resolver answers each query after 3 s. Exchange 1 drains for 10 s.
fn slow_resolver(record: &str, trouble: bool) -> bool {
    /// `stopSendingWithinMs` of the settings, and the slack on sockets.
    const STOP_SENDING_MS: u64 = 2_000 + 50;
    const DRAIN_MS: u64 = 10_000;
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let _exchanges: Vec<Process> = list.iter().map(|e| start_exchange(&platform, e, 2_000, 0)).collect();
    sleep_ms(300);
    let softswitch = platform.softswitch(0, None);
    sleep_ms(1_000);
    if trouble {
        platform.slow_resolver(Duration::from_millis(3_000));
    }
    sleep_ms(4_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let mut drains = None;
    for n in 0..130 {
        caller.set_up(&uid(n), 1 + (n % 2) as u32);
        if n == 30 {
            platform.tell(
                |list| list.iter_mut().filter(|e| e.number == 1).for_each(|e| e.draining = true),
                "exchange 1 drains",
            );
            drains = Some(unix_ms());
        }
        sleep_ms(100);
    }
    sleep_ms(500);
    let drains = drains.expect("the drain began");
    let told = platform.record.find("resolver", "told", "2").expect("an answer with the drain was sent").at;
    let late: Vec<u64> = platform
        .record
        .events()
        .iter()
        .filter(|e| {
            e.who == "s-1" && e.what == "set-up" && e.at > told + STOP_SENDING_MS && e.at <= drains + DRAIN_MS
        })
        .map(|e| e.at - told)
        .collect();
    platform
        .record
        .say(&format!("the first answer with the drain was sent {} ms after its beginning", told - drains));
    platform.record.say(&format!(
        "{} set-ups reached exchange 1 later than {STOP_SENDING_MS} ms after that answer, the last one {} ms after it",
        late.len(),
        late.last().copied().unwrap_or_default(),
    ));
    late.is_empty()
}

/// A planned restart in a quiet time: four calls end while the softswitch waits for four others.
fn planned_restart(record: &str, trouble: bool) -> bool {
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let _exchanges: Vec<Process> =
        list.iter().map(|e| start_exchange_with_holds(&platform, e, "6500,30000")).collect();
    sleep_ms(300);
    let mut softswitch = platform.softswitch(0, None);
    sleep_ms(1_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let uids: Vec<String> = (0..8).map(uid).collect();
    for uid in &uids {
        caller.set_up(uid, 1);
        sleep_ms(50);
    }
    sleep_ms(500);
    all_stand(&platform, "s-1", &uids);
    sleep_ms(1_000);
    let started = unix_ms();
    if trouble {
        softswitch = softswitch.restart(&platform);
        // The callers come back once it has passed a test.
        caller = Caller::connect(&platform, &softswitch);
    }
    sleep_ms((started + 11_000).saturating_sub(unix_ms()));
    let after = uid(100);
    caller.set_up(&after, 2);
    sleep_ms(7_000);
    assert!(platform.record.find("caller-n0", "answered", &after).is_some(), "no call after the restart");
    let mut broken = 0;
    for uid in &uids {
        let Some(ended) = platform.record.find("s-1", "ended", uid) else { continue };
        let stop = platform.record.find("caller-n0", "stop", uid);
        let late = stop.as_ref().is_none_or(|stop| stop.at > ended.at + RELEASE_LIMIT_MS);
        broken += usize::from(late);
        platform.record.say(&format!(
            "call {uid}: its exchange ended it {} ms after SIGTERM; released towards its caller: {}",
            ended.at.saturating_sub(started),
            stop.map_or("never".to_owned(), |stop| format!("{} ms later", stop.at - ended.at)),
        ));
    }
    platform
        .record
        .say(&format!("{broken} of 4 calls that ended were not released within {RELEASE_LIMIT_MS} ms"));
    broken == 0
}

/// A zone is lost for 5 s and returns cold, in a quiet time with calls that stand there.
fn lost_zone(record: &str, trouble: bool) -> bool {
    const LOST_FOR_MS: u64 = 5_000;
    /// The list has the new start this long after it, as `add_s` of the site says.
    const NOTICE_MS: u64 = 1_500;
    const ZONE: &str = ZONES[1];
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let in_zone = |e: &&Listed| e.zone == ZONE;
    let start = |e: &Listed| start_exchange(&platform, e, 25_000, 0);
    let _others: Vec<Process> = list.iter().filter(|e| !in_zone(e)).map(start).collect();
    // The exchanges of the zone are behind links.
    let zone: Vec<Listed> = list.iter().filter(in_zone).cloned().collect();
    let far: Vec<Listed> = zone.iter().map(|e| Listed { address: free_address(), ..e.clone() }).collect();
    let mut exchanges: Vec<Process> = far.iter().map(start).collect();
    sleep_ms(300);
    let links: Vec<Link> = zone
        .iter()
        .zip(&far)
        .map(|(near, far)| Link::open(near.address, far.address, Duration::ZERO))
        .collect();
    let softswitch = platform.softswitch(0, None);
    sleep_ms(1_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let mut uids = Vec::new();
    for n in 0..2 {
        for e in &zone {
            let uid = uid(10 * u64::from(e.number) + n);
            caller.set_up(&uid, e.number);
            uids.push(uid);
            sleep_ms(60);
        }
    }
    all_stand(&platform, "s-", &uids);
    let lost = unix_ms();
    if trouble {
        std::thread::scope(|scope| links.iter().for_each(|link| drop(scope.spawn(|| link.vanish()))));
        exchanges.clear();
        platform.record.say(&format!("the zone {ZONE} is lost; its processors die with their calls"));
    }
    sleep_ms((lost + LOST_FOR_MS - 200).saturating_sub(unix_ms()));
    if trouble {
        // The processors start shortly before the zone can be reached again.
        exchanges = far.iter().map(start).collect();
        sleep_ms((lost + LOST_FOR_MS).saturating_sub(unix_ms()));
        links.iter().for_each(Link::come_back);
        let back = unix_ms();
        platform.record.say(&format!("the zone is back and cold, {} ms later", back - lost));
        sleep_ms(NOTICE_MS);
        platform.tell(
            |list| list.iter_mut().filter(|e| e.zone == ZONE).for_each(|e| e.started_ms = back),
            "the exchanges of the zone are in service, started late",
        );
    }
    sleep_ms((lost + 20_000).saturating_sub(unix_ms()));
    let mut broken = 0;
    for uid in &uids {
        let stop = platform.record.find("caller-n0", "stop", uid);
        let wrong = if trouble {
            stop.as_ref().is_none_or(|stop| stop.at > lost + RELEASE_LIMIT_MS)
        } else {
            stop.is_some()
        };
        broken += usize::from(wrong);
        platform.record.say(&format!(
            "call {uid}: released towards its caller: {}",
            stop.map_or("not within 20 s".to_owned(), |stop| format!("{} ms after its end", stop.at - lost)),
        ));
    }
    platform.record.say(&format!("{broken} of {} calls broke the rule", uids.len()));
    drop(exchanges);
    broken == 0
}

/// A softswitch is killed and starts again; then the callers of calls that stand hang up.
fn restart_hang_up(record: &str, trouble: bool) -> bool {
    let list: Vec<Listed> = (0..EXCHANGES).map(|n| listed(n, free_address())).collect();
    let platform = Platform::new(record, list.clone());
    let _exchanges: Vec<Process> = list.iter().map(|e| start_exchange(&platform, e, 30_000, 0)).collect();
    sleep_ms(300);
    let mut softswitch = platform.softswitch(0, None);
    sleep_ms(1_000);
    let mut caller = Caller::connect(&platform, &softswitch);
    let uids: Vec<String> = (0..4).map(uid).collect();
    for uid in &uids {
        caller.set_up(uid, 1);
        sleep_ms(100);
    }
    all_stand(&platform, "s-1", &uids);
    if trouble {
        softswitch = softswitch.kill_and_start(&platform);
        sleep_ms(2_000);
        caller = Caller::connect(&platform, &softswitch);
    }
    uids.iter().for_each(|uid| caller.release(uid));
    sleep_ms(RELEASE_LIMIT_MS + 500);
    let standing = uids
        .iter()
        .filter(|uid| platform.record.find("s-1", "released-by-softswitch", uid).is_none())
        .count();
    platform.record.say(&format!("{standing} of {} calls that were hung up were left standing", uids.len()));
    standing == 0
}
