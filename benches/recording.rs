//! What recording costs the reducer: a call from set-up to release, with records off, with records made and dropped, and
//! with records handed to the recorder that writes them to a folder. One run, so that the three can be compared.
//!
//! `cargo bench --bench recording`

#[path = "../tests/common/engine_harness.rs"]
mod engine_harness;

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use engine_harness::{CALLER_CONN, EngineHarness, call_uid};
use swiftlb::engine::{Effect, Input};
use swiftlb_record::{FileHeader, Recorder, RecorderSettings};

/// A call to exchange 1: set-up, news of the group, answer, release, news again.
fn call(harness: &mut EngineHarness, number: u64, mut keep: impl FnMut(Effect)) {
    harness.now += Duration::from_millis(16);
    let exchange_conn = harness.exchange_conn(1);
    harness.place_call(number, 1, 2_000);
    harness.handle(Input::GroupState { exchange_conn, report: vec![(number % 50) as f64 + 10.0, 100.0] });
    harness.now += Duration::from_millis(40);
    harness.answer(number, 1);
    harness.handle(Input::HangUp { caller_conn: CALLER_CONN, call: call_uid(number), cause: 16 });
    harness.handle(Input::GroupState { exchange_conn, report: vec![(number % 50) as f64 + 11.0, 100.0] });
    harness.clear_setups();
    harness.effects.drain(..).for_each(&mut keep);
}

fn recording(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("call");
    group.measurement_time(Duration::from_secs(5));
    let mut number = 0;
    let mut harness = EngineHarness::new(7);
    group.bench_function("records off", |bencher| {
        bencher.iter(|| {
            number += 1;
            call(&mut harness, number, |effect| drop(black_box(effect)));
        });
    });
    let mut harness = EngineHarness::new(7);
    harness.engine.start_recording(false, &mut Vec::new());
    group.bench_function("records made", |bencher| {
        bencher.iter(|| {
            number += 1;
            call(&mut harness, number, |effect| drop(black_box(effect)));
        });
    });
    let folder = std::env::temp_dir().join(format!("swiftlb-bench-{}", std::process::id()));
    let settings = RecorderSettings {
        directory: folder.clone(),
        budget_bytes: 256 << 20,
        ..RecorderSettings::default()
    };
    let recorder = Recorder::start(settings, FileHeader::first_of_run("n0", 0, 1), |error| panic!("{error}"));
    let mut recorder = recorder.expect("a folder");
    let mut harness = EngineHarness::new(7);
    harness.engine.start_recording(false, &mut Vec::new());
    group.bench_function("records written", |bencher| {
        bencher.iter(|| {
            number += 1;
            call(&mut harness, number, |effect| match effect {
                Effect::Record(record) => recorder.record(record),
                effect => drop(black_box(effect)),
            });
        });
    });
    group.finish();
    recorder.stop(Duration::from_secs(5));
    let _ = std::fs::remove_dir_all(&folder);
}

criterion_group!(benches, recording);
criterion_main!(benches);
