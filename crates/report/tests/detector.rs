//! Tests of the detector: circuits that run out, shed calls, list lag, triggers and episodes.

use swiftlb_record::merge::{EntryContent, TimelineEntry};
use swiftlb_record::{CallUid, ConnectionChange, Event, Front, ListedReadiness, RefusalReason};
use swiftlb_report::incident::episode::{find_triggers, group_into_episodes};
use swiftlb_report::incident::{AffectedCalls, Analysis, Detector, Incident, IncidentKind};

const START_US: u64 = 1_800_000_000_000_000;

/// Feeds a detector with events of two softswitches, at times in ms since the start.
struct DetectorFeed {
    detector: Detector,
    calls: u64,
}

impl DetectorFeed {
    fn new() -> Self {
        let mut feed = Self { detector: Detector::new(&[Some(0), Some(1)]), calls: 0 };
        for softswitch in 0..2 {
            feed.send(
                0,
                softswitch,
                Event::Started {
                    version: "0".to_owned(),
                    home: Some(softswitch as u32),
                    is_replacement: false,
                },
            );
        }
        feed
    }

    fn send(&mut self, ms: u64, softswitch: usize, event: Event) {
        let at_us = START_US + ms * 1_000;
        self.detector.observe(&TimelineEntry {
            at_us,
            local_us: at_us,
            softswitch,
            content: EntryContent::Event(event),
        });
    }

    /// A call to node 3 that is established, or refused for this reason.
    fn call(&mut self, ms: u64, refused: Option<RefusalReason>) {
        self.calls += 1;
        let (call, front) = (CallUid(self.calls), Front::JsonLines);
        self.send(
            ms,
            0,
            Event::SetUp {
                call,
                class: 0,
                dest: 3,
                transit_from: None,
                remaining_ms: 1,
                was_cut: false,
                front,
            },
        );
        match refused {
            Some(reason) => self.send(ms, 0, Event::Refused { call, reason, retry_after_ms: 0 }),
            None => {
                self.send(ms, 0, Event::Attempt { call, attempt: 1, exchange: 3, awaits_connection: false });
                self.send(ms, 0, Event::Answered { call, exchange: 3, elapsed_us: 1 });
            }
        }
    }

    /// Ten calls per second for these seconds, of which this percentage is refused.
    fn load(&mut self, seconds: std::ops::Range<u64>, percent: impl Fn(u64) -> u64, reason: RefusalReason) {
        for second in seconds {
            for n in 0..10 {
                let refused = (n * 10) < percent(second);
                self.call(second * 1_000 + 100 * n, refused.then_some(reason));
            }
        }
    }

    fn finish(self) -> Analysis {
        self.detector.finish()
    }
}

fn of_kind(analysis: &Analysis, kind: IncidentKind) -> Vec<&Incident> {
    analysis.incidents.iter().filter(|incident| incident.kind == kind).collect()
}

fn seconds(at_us: u64) -> f64 {
    (at_us - START_US) as f64 / 1e6
}

#[test]
fn circuits_that_run_out_are_reported_with_beginning_and_end() {
    let mut feed = DetectorFeed::new();
    feed.load(0..60, |second| if (20..35).contains(&second) { 50 } else { 0 }, RefusalReason::NoCircuit);
    let analysis = feed.finish();
    assert_eq!(analysis.incidents.len(), 1, "{:#?}", analysis.incidents);
    let incident = of_kind(&analysis, IncidentKind::NoFreeCircuits)[0];
    assert_eq!((incident.exchange, incident.flaps, incident.triggered_by), (Some(3), 0, None));
    assert!((15.0..23.0).contains(&seconds(incident.begin_us)), "{}", seconds(incident.begin_us));
    let end = seconds(incident.end_us.expect("it ended"));
    assert!((35.0..42.0).contains(&end), "{end}");
    assert_eq!(incident.affected_calls.lost, 75, "half of ten calls per second for fifteen seconds");
    let kinds: Vec<&str> =
        analysis.events.iter().map(|event| event.kind).filter(|kind| kind.contains("circuits")).collect();
    assert_eq!(kinds, ["circuits-ran-out", "circuits-free-again"]);
}

#[test]
fn load_varying_around_the_threshold_is_one_incident() {
    let mut feed = DetectorFeed::new();
    // 40% and 0% alternate every 6 s: above the threshold to begin, then below the threshold to end for long enough.
    feed.load(0..120, |second| if second / 6 % 2 == 1 && second < 100 { 40 } else { 0 }, RefusalReason::Shed);
    let analysis = feed.finish();
    let shed = of_kind(&analysis, IncidentKind::CallsShed);
    assert_eq!((shed.len(), analysis.incidents.len()), (1, 1), "{:#?}", analysis.incidents);
    assert!(shed[0].flaps > 0 && seconds(shed[0].end_us.expect("it ended")) > 95.0, "{:#?}", shed[0]);
}

#[test]
fn a_low_fraction_a_short_time_or_too_few_calls_are_no_incident() {
    for (percent, seconds) in [(20, 20..60), (60, 20..21)] {
        let mut feed = DetectorFeed::new();
        feed.load(
            0..80,
            |second| if seconds.contains(&second) { percent } else { 0 },
            RefusalReason::NoCircuit,
        );
        assert_eq!(feed.finish().incidents, [], "{percent}%");
    }
    let mut feed = DetectorFeed::new();
    for n in 0..20 {
        feed.call(n * 2_000, Some(RefusalReason::NoCircuit));
    }
    assert_eq!(feed.finish().incidents, [], "one call every two seconds");
}

#[test]
fn refusals_explained_by_a_dead_node_are_no_separate_incident() {
    let mut feed = DetectorFeed::new();
    feed.load(0..20, |_| 0, RefusalReason::Shed);
    for softswitch in 0..2 {
        feed.send(
            20_000,
            softswitch,
            Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Lost },
        );
        feed.send(
            20_010,
            softswitch,
            Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Refused },
        );
    }
    feed.load(21..30, |_| 90, RefusalReason::Shed);
    feed.send(30_000, 0, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Up });
    feed.load(30..40, |_| 50, RefusalReason::Shed);
    let analysis = feed.finish();
    assert_eq!(analysis.incidents.len(), 1, "{:#?}", analysis.incidents);
    assert_eq!(
        (analysis.incidents[0].kind, analysis.incidents[0].exchange),
        (IncidentKind::NodeDied, Some(3))
    );
    assert_eq!(analysis.episodes.len(), 1);
}

fn incident(kind: IncidentKind, exchange: u32, from: u64, to: Option<u64>) -> Incident {
    Incident {
        kind,
        exchange: Some(exchange),
        softswitch: None,
        begin_us: START_US + from * 1_000_000,
        end_us: to.map(|to| START_US + to * 1_000_000),
        evidence: String::new(),
        flaps: 0,
        affected_calls: AffectedCalls::default(),
        triggered_by: None,
    }
}

#[test]
fn incidents_get_their_triggers_and_are_grouped_into_episodes() {
    let mut incidents = vec![
        incident(IncidentKind::NodeDied, 2, 10, Some(20)),
        incident(IncidentKind::ListLag, 9, 10, Some(25)),
        incident(IncidentKind::NoFreeCircuits, 4, 13, Some(24)),
        incident(IncidentKind::NodeSlow, 5, 15, Some(30)),
        incident(IncidentKind::CallsShed, 5, 17, Some(31)),
        // Long after the incidents before it: an episode of its own, without a trigger.
        incident(IncidentKind::CallsShed, 5, 90, Some(95)),
        incident(IncidentKind::NodeDied, 1, 200, None),
        incident(IncidentKind::NodeSlow, 1, 201, Some(202)),
        incident(IncidentKind::NoFreeCircuits, 0, 300, Some(301)),
    ];
    find_triggers(&mut incidents);
    let triggers: Vec<Option<usize>> = incidents.iter().map(|incident| incident.triggered_by).collect();
    // Slowness of the dead node itself (index 7) has no trigger. Shed calls (index 4) are triggered by slowness of the
    // same node.
    assert_eq!(triggers, [None, None, Some(0), Some(0), Some(3), None, None, None, Some(6)]);
    let episodes = group_into_episodes(&incidents);
    let indices: Vec<Vec<usize>> = episodes.iter().map(|episode| episode.incidents.clone()).collect();
    assert_eq!(indices, [vec![0, 1, 2, 3, 4], vec![5], vec![6, 7, 8]]);
    assert_eq!((episodes[0].end_us, episodes[2].end_us), (Some(START_US + 31_000_000), None));
    // A trigger begins at most 1.5 s after its consequence, and no incident triggers itself.
    for (index, incident) in incidents.iter().enumerate() {
        if let Some(trigger) = incident.triggered_by {
            assert!(trigger != index && incidents[trigger].begin_us <= incident.begin_us + 1_500_000);
        }
    }
}

#[test]
fn list_lag_is_detected_without_a_change_and_from_late_changes() {
    let list_entry = |feed: &mut DetectorFeed, ms, readiness, started_us| {
        for softswitch in 0..2 {
            let name = "s-3".to_owned();
            feed.send(ms, softswitch, Event::Exchange { exchange: 3, name, zone: 0, readiness, started_us });
        }
    };
    let break_connections = |feed: &mut DetectorFeed, ms| {
        for softswitch in 0..2 {
            feed.send(
                ms,
                softswitch,
                Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Lost },
            );
            feed.send(
                ms + 10,
                softswitch,
                Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Refused },
            );
        }
    };
    // Events that concern no exchange and only advance the detector's time.
    let advance = |feed: &mut DetectorFeed, seconds: std::ops::Range<u64>| {
        for second in seconds {
            feed.send(second * 1_000, 0, Event::CallerConnections { open: 1 });
        }
    };
    // The exchange dies at 20 s and is back at 30 s; the list shows neither.
    let mut feed = DetectorFeed::new();
    list_entry(&mut feed, 1, ListedReadiness::Ready, 0);
    break_connections(&mut feed, 20_000);
    advance(&mut feed, 21..30);
    feed.send(30_000, 0, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Up });
    advance(&mut feed, 31..60);
    let analysis = feed.finish();
    let lag = of_kind(&analysis, IncidentKind::ListLag);
    assert_eq!((lag.len(), seconds(lag[0].begin_us)), (1, 20.0), "{:#?}", analysis.incidents);
    let end = seconds(lag[0].end_us.expect("it is back"));
    assert!((30.0..32.0).contains(&end), "{end}");
    // The list shows the death 8 s late and the start 7 s late: one lag, from the death until the list is correct.
    let mut feed = DetectorFeed::new();
    list_entry(&mut feed, 1, ListedReadiness::Ready, 0);
    break_connections(&mut feed, 20_000);
    advance(&mut feed, 21..28);
    list_entry(&mut feed, 28_000, ListedReadiness::Removed, 0);
    advance(&mut feed, 29..37);
    list_entry(&mut feed, 37_000, ListedReadiness::Ready, START_US + 30_000_000);
    advance(&mut feed, 38..60);
    let analysis = feed.finish();
    let lag = of_kind(&analysis, IncidentKind::ListLag);
    assert_eq!(lag.len(), 1, "{:#?}", analysis.incidents);
    assert_eq!((seconds(lag[0].begin_us), lag[0].end_us.map(seconds)), (20.0, Some(37.0)));
    let died = of_kind(&analysis, IncidentKind::NodeDied);
    assert_eq!(
        (died.len(), died[0].end_us.map(seconds)),
        (1, Some(30.0)),
        "the list has the time of its start"
    );
    // A change that is listed in time is no lag.
    let mut feed = DetectorFeed::new();
    list_entry(&mut feed, 1, ListedReadiness::Ready, 0);
    break_connections(&mut feed, 20_000);
    advance(&mut feed, 21..23);
    list_entry(&mut feed, 23_000, ListedReadiness::Removed, 0);
    advance(&mut feed, 24..60);
    assert_eq!(of_kind(&feed.finish(), IncidentKind::ListLag).len(), 0);
}
