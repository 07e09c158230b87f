//! Readers of recorded load: HAR files and access logs.

use std::time::Duration;

use swiftlb::load::{RecordedLoad, SetUpOptions};
use swiftlb::net::jsonl::{CallerLine, parse_caller_line};

const HAR: &str = r#"{"log":{"version":"1.2","entries":[
    {"startedDateTime":"2026-07-01T12:00:02.500+02:00","time":40,"request":{"method":"GET","url":"https://h/units/7?x=1"},"response":{"status":200}},
    {"startedDateTime":"2026-07-01T10:00:00Z","time":20.5,"request":{"method":"GET","url":"https://h/units/7#top"},"response":{"status":503}},
    {"startedDateTime":"2026-07-01T10:00:00.9Z","time":-1,"request":{"method":"GET","url":"https://h"},"response":{"status":0}},
    {"startedDateTime":"yesterday","request":{"url":"https://h/"}}]}}"#;

const LOG: &str = r#"10.0.0.1 - anna [01/Jul/2026:10:00:01 +0000] "GET /parts/3?q=1 HTTP/1.1" 200 512
10.0.0.2 - - [01/Jul/2026:12:00:03 +0200] "POST /a\"b HTTP/1.1" 404 - "https://h/" "agent \"x\""

not a line
10.0.0.2 - - [01/Jul/2026:12:00:03 +0200] "-" 408 0"#;

#[test]
fn har_files_and_access_logs_merge_into_one_chronological_list() {
    let mut load = RecordedLoad::parse(HAR).expect("a HAR file");
    assert_eq!((load.calls.len(), load.skipped), (3, 1));
    load.merge(RecordedLoad::parse(LOG).expect("a log"));
    let paths: Vec<&str> = load.calls.iter().map(|call| call.path.as_str()).collect();
    assert_eq!(paths, ["/units/7", "/", "/parts/3", "/units/7", "/a\\\"b"]);
    let served: Vec<bool> = load.calls.iter().map(|call| call.served).collect();
    assert_eq!(served, [false, false, true, true, false]);
    let summary = load.summary();
    assert_eq!((summary.calls, summary.skipped, summary.served, summary.distinct_paths), (5, 3, 2, 4));
    assert_eq!((summary.duration, summary.peak_per_second), (Duration::from_secs(3), 2));
    assert_eq!(summary.median_elapsed, Some(Duration::from_millis(40)));
    assert_eq!(summary.busiest_paths[0], ("/units/7".to_owned(), 2));
    assert!(summary.to_string().contains("1.67 a second, 2 in the busiest one"), "{summary}");
}

#[test]
fn generated_set_ups_are_valid_and_calls_of_one_path_have_one_called_number() {
    let load = RecordedLoad::parse(HAR).expect("a HAR file");
    let remaining = Duration::from_secs(9);
    let options = SetUpOptions { class: "unit-status".to_owned(), remaining, dest: None, exchanges: 3 };
    let mut seen = Vec::new();
    for (at, line) in load.setups(&options) {
        let parsed = parse_caller_line(line.as_bytes(), std::time::UNIX_EPOCH);
        let Ok(CallerLine::SetUp(call, setup)) = parsed else { panic!("{line}") };
        assert_eq!((setup.class.as_str(), setup.remaining), ("unit-status", Some(remaining)));
        assert!(setup.dest < 3);
        seen.push((at.as_millis(), setup.called_number, setup.dest, call));
    }
    assert_eq!(seen.iter().map(|s| s.0).collect::<Vec<_>>(), [0, 900, 2_500]);
    assert_eq!(
        (&seen[0].1, seen[0].2),
        (&seen[2].1, seen[2].2),
        "the same path gives the same called number"
    );
    assert_ne!(seen[0].3, seen[2].3, "every set-up has its own id");
    let fixed = SetUpOptions { dest: Some(2), ..options };
    assert!(load.setups(&fixed).all(|(_, line)| line.contains("dest:2;")));
}

#[test]
fn an_invalid_har_file_is_an_error_and_unreadable_lines_are_counted() {
    assert!(RecordedLoad::parse("{\"log\":{}}").is_err());
    assert!(RecordedLoad::parse("{\"log\":").is_err());
    assert_eq!(RecordedLoad::parse("a\n[b\n[c] \"d").expect("a log").skipped, 3);
    let line = LOG.lines().next().expect("a line");
    for end in 1..line.len() - 8 {
        let load = RecordedLoad::parse(&line[..end]).expect("a log");
        assert_eq!((load.calls.len(), load.skipped), (0, 1), "{end}");
    }
    assert_eq!(RecordedLoad::parse("").expect("an empty log"), RecordedLoad::default());
}
