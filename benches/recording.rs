//! What recording costs the reducer: a call from set-up to release, with records off, with records made and dropped, and
//! with records handed to the recorder that writes them to a folder. One run, so that the three can be compared.
//!
//! `cargo bench --bench recording`

#[path = "../tests/common/desk.rs"]
mod desk;

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use desk::{Desk, LINK, name};
use swiftlb::engine::{Effect, Input};
use swiftlb_record::{FileHeader, Recorder, RecorderSettings};

/// A call to exchange 1: set-up, news of the group, answer, release, news again.
fn call(desk: &mut Desk, number: u64, mut keep: impl FnMut(Effect)) {
    desk.now += Duration::from_millis(16);
    let exchange_conn = desk.way(1);
    desk.call(number, 1, 2_000);
    desk.put(Input::GroupState { exchange_conn, report: vec![(number % 50) as f64 + 10.0, 100.0] });
    desk.now += Duration::from_millis(40);
    desk.answer(number, 1);
    desk.put(Input::HangUp { caller_conn: LINK, call: name(number), cause: 16 });
    desk.put(Input::GroupState { exchange_conn, report: vec![(number % 50) as f64 + 11.0, 100.0] });
    desk.forget_setups();
    desk.seen.drain(..).for_each(&mut keep);
}

fn recording(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("call");
    group.measurement_time(Duration::from_secs(5));
    let mut number = 0;
    let mut desk = Desk::new(7);
    group.bench_function("records off", |bencher| {
        bencher.iter(|| {
            number += 1;
            call(&mut desk, number, |effect| drop(black_box(effect)));
        });
    });
    let mut desk = Desk::new(7);
    desk.engine.record(false, &mut Vec::new());
    group.bench_function("records made", |bencher| {
        bencher.iter(|| {
            number += 1;
            call(&mut desk, number, |effect| drop(black_box(effect)));
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
    let mut desk = Desk::new(7);
    desk.engine.record(false, &mut Vec::new());
    group.bench_function("records written", |bencher| {
        bencher.iter(|| {
            number += 1;
            call(&mut desk, number, |effect| match effect {
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
