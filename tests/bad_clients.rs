//! Bad clients in virtual time: what they send at full speed must not add up in the reducer.

#[path = "common/engine_harness.rs"]
mod engine_harness;

use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use swiftlb::engine::Input;
use swiftlb::interface::{Outcome, Reason};

/// Set-ups that are turned away in one test.
const TURNED_AWAY: u64 = 200_000;
/// Entries that the reducer may hold after them: the limit for ids of set-ups that were never sent, which are counted
/// twice, and a few others.
const MAX_ENTRIES: usize = 20_000;

/// Guards against memory that grows with every set-up that is turned away (review case 6): ids and timers were kept for
/// each, for 30 s and until the deadline of its caller.
#[test]
fn set_ups_turned_away_at_full_speed_do_not_add_up() {
    let mut harness = EngineHarness::new(3);
    for call in 0..TURNED_AWAY {
        harness.place_call(1_000 + call, 60, 3_000);
        if call % 25 == 0 {
            harness.advance(1);
            harness.effects.clear();
        }
        let entries = harness.engine.entry_count();
        assert!(entries < MAX_ENTRIES, "{entries} entries after {call} set-ups");
    }
}

/// Guards against ids of calls that were sent to an exchange being displaced by those of set-ups that were not: an
/// exchange's late message about such a call would be taken for the end of a call from before this process started.
#[test]
fn set_ups_turned_away_do_not_displace_calls_that_were_sent() {
    let mut harness = EngineHarness::new(3);
    harness.place_call(1, 1, 3_000);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(1), cause: 16 });
    for call in 0..TURNED_AWAY / 10 {
        harness.place_call(1_000 + call, 60, 3_000);
    }
    harness.effects.clear();
    harness.end_call(1, 1, Outcome::Completed, Reason::Unspecified);
    assert!(harness.caller_messages(1).is_empty(), "{:?}", harness.caller_messages(1));
}
