//! Load and its consequences: circuits that run out, calls that are shed, and what came of what.

use swiftlb_record::merge::{EntryContent, TimelineEntry};
use swiftlb_record::{CallUid, ConnectionChange, Event, Front, ListedReadiness, RefusalReason};
use swiftlb_report::incident::episode::{find_triggers, group_into_episodes};
use swiftlb_report::incident::{AffectedCalls, Analysis, Detector, Incident, IncidentKind};

const START: u64 = 1_800_000_000_000_000;

/// Feeds a detector of two softswitches, by ms since the start.
struct Feed {
    detector: Detector,
    calls: u64,
}

impl Feed {
    fn new() -> Self {
        let mut feed = Self { detector: Detector::new(&[Some(0), Some(1)]), calls: 0 };
        for who in 0..2 {
            feed.tell(
                0,
                who,
                Event::Started { version: "0".to_owned(), home: Some(who as u32), is_replacement: false },
            );
        }
        feed
    }

    fn tell(&mut self, ms: u64, softswitch: usize, event: Event) {
        let at_us = START + ms * 1_000;
        self.detector.observe(&TimelineEntry {
            at_us,
            local_us: at_us,
            softswitch,
            content: EntryContent::Event(event),
        });
    }

    /// A call to node 3 that stands, or is refused for this reason.
    fn call(&mut self, ms: u64, refused: Option<RefusalReason>) {
        self.calls += 1;
        let (call, front) = (CallUid(self.calls), Front::JsonLines);
        self.tell(
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
            Some(reason) => self.tell(ms, 0, Event::Refused { call, reason, retry_after_ms: 0 }),
            None => {
                self.tell(ms, 0, Event::Attempt { call, attempt: 1, exchange: 3, awaits_connection: false });
                self.tell(ms, 0, Event::Answered { call, exchange: 3, elapsed_us: 1 });
            }
        }
    }

    /// Ten calls a second for so long, of which so many in a hundred are refused.
    fn load(&mut self, seconds: std::ops::Range<u64>, percent: impl Fn(u64) -> u64, why: RefusalReason) {
        for second in seconds {
            for n in 0..10 {
                let refused = (n * 10) < percent(second);
                self.call(second * 1_000 + 100 * n, refused.then_some(why));
            }
        }
    }

    fn finish(self) -> Analysis {
        self.detector.finish()
    }
}

fn of(course: &Analysis, kind: IncidentKind) -> Vec<&Incident> {
    course.incidents.iter().filter(|incident| incident.kind == kind).collect()
}

fn second(at_us: u64) -> f64 {
    (at_us - START) as f64 / 1e6
}

#[test]
fn circuits_that_run_out_are_told_with_their_beginning_and_end() {
    let mut feed = Feed::new();
    feed.load(0..60, |second| if (20..35).contains(&second) { 50 } else { 0 }, RefusalReason::NoCircuit);
    let course = feed.finish();
    assert_eq!(course.incidents.len(), 1, "{:#?}", course.incidents);
    let blocked = of(&course, IncidentKind::NoFreeCircuits)[0];
    assert_eq!((blocked.exchange, blocked.flaps, blocked.triggered_by), (Some(3), 0, None));
    assert!((15.0..23.0).contains(&second(blocked.begin_us)), "{}", second(blocked.begin_us));
    let end = second(blocked.end_us.expect("it ended"));
    assert!((35.0..42.0).contains(&end), "{end}");
    assert_eq!(blocked.affected_calls.lost, 75, "half of ten a second for fifteen seconds");
    let kinds: Vec<&str> =
        course.events.iter().map(|line| line.kind).filter(|kind| kind.contains("circuits")).collect();
    assert_eq!(kinds, ["circuits-ran-out", "circuits-free-again"]);
}

#[test]
fn load_that_hovers_round_the_level_is_one_incident() {
    let mut feed = Feed::new();
    // 40% and nothing in turns of 6 s: past the level to enter, then under that to leave for long enough.
    feed.load(0..120, |second| if second / 6 % 2 == 1 && second < 100 { 40 } else { 0 }, RefusalReason::Shed);
    let course = feed.finish();
    let shed = of(&course, IncidentKind::CallsShed);
    assert_eq!((shed.len(), course.incidents.len()), (1, 1), "{:#?}", course.incidents);
    assert!(shed[0].flaps > 0 && second(shed[0].end_us.expect("it ended")) > 95.0, "{:#?}", shed[0]);
}

#[test]
fn a_little_or_a_few_or_for_a_moment_is_no_incident() {
    for (percent, seconds) in [(20, 20..60), (60, 20..21)] {
        let mut feed = Feed::new();
        feed.load(
            0..80,
            |second| if seconds.contains(&second) { percent } else { 0 },
            RefusalReason::NoCircuit,
        );
        assert_eq!(feed.finish().incidents, [], "{percent}%");
    }
    let mut feed = Feed::new();
    for n in 0..20 {
        feed.call(n * 2_000, Some(RefusalReason::NoCircuit));
    }
    assert_eq!(feed.finish().incidents, [], "one call in two seconds");
}

#[test]
fn what_a_dead_node_explains_is_no_trouble_of_its_own() {
    let mut feed = Feed::new();
    feed.load(0..20, |_| 0, RefusalReason::Shed);
    for who in 0..2 {
        feed.tell(20_000, who, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Lost });
        feed.tell(20_010, who, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Refused });
    }
    feed.load(21..30, |_| 90, RefusalReason::Shed);
    feed.tell(30_000, 0, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Up });
    feed.load(30..40, |_| 50, RefusalReason::Shed);
    let course = feed.finish();
    assert_eq!(course.incidents.len(), 1, "{:#?}", course.incidents);
    assert_eq!((course.incidents[0].kind, course.incidents[0].exchange), (IncidentKind::NodeDied, Some(3)));
    assert_eq!(course.episodes.len(), 1);
}

fn incident(kind: IncidentKind, exchange: u32, from: u64, to: Option<u64>) -> Incident {
    Incident {
        kind,
        exchange: Some(exchange),
        softswitch: None,
        begin_us: START + from * 1_000_000,
        end_us: to.map(|to| START + to * 1_000_000),
        evidence: String::new(),
        flaps: 0,
        affected_calls: AffectedCalls::default(),
        triggered_by: None,
    }
}

#[test]
fn consequences_follow_their_causes_and_episodes_hold_what_belongs_together() {
    let mut incidents = vec![
        incident(IncidentKind::NodeDied, 2, 10, Some(20)),
        incident(IncidentKind::ListLag, 9, 10, Some(25)),
        incident(IncidentKind::NoFreeCircuits, 4, 13, Some(24)),
        incident(IncidentKind::NodeSlow, 5, 15, Some(30)),
        incident(IncidentKind::CallsShed, 5, 17, Some(31)),
        // Long after: an episode of its own, and nothing came before it.
        incident(IncidentKind::CallsShed, 5, 90, Some(95)),
        incident(IncidentKind::NodeDied, 1, 200, None),
        incident(IncidentKind::NodeSlow, 1, 201, Some(202)),
        incident(IncidentKind::NoFreeCircuits, 0, 300, Some(301)),
    ];
    find_triggers(&mut incidents);
    let follows: Vec<Option<usize>> = incidents.iter().map(|incident| incident.triggered_by).collect();
    // A node that is slow for its own death is no consequence elsewhere; its own slowness explains its own shedding.
    assert_eq!(follows, [None, None, Some(0), Some(0), Some(3), None, None, None, Some(6)]);
    let episodes = group_into_episodes(&incidents);
    let places: Vec<Vec<usize>> = episodes.iter().map(|episode| episode.incidents.clone()).collect();
    assert_eq!(places, [vec![0, 1, 2, 3, 4], vec![5], vec![6, 7, 8]]);
    assert_eq!((episodes[0].end_us, episodes[2].end_us), (Some(START + 31_000_000), None));
    // Whatever comes, a cause begins no later than its consequence is sure to, and nothing is its own cause.
    for (place, incident) in incidents.iter().enumerate() {
        if let Some(cause) = incident.triggered_by {
            assert!(cause != place && incidents[cause].begin_us <= incident.begin_us + 1_500_000);
        }
    }
}

#[test]
fn a_list_that_lags_shows_before_it_tells_and_where_it_never_does() {
    let listed = |feed: &mut Feed, ms, readiness, started_us| {
        for who in 0..2 {
            let name = "s-3".to_owned();
            feed.tell(ms, who, Event::Exchange { exchange: 3, name, zone: 0, readiness, started_us });
        }
    };
    let down = |feed: &mut Feed, ms| {
        for who in 0..2 {
            feed.tell(ms, who, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Lost });
            feed.tell(
                ms + 10,
                who,
                Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Refused },
            );
        }
    };
    let quiet = |feed: &mut Feed, seconds: std::ops::Range<u64>| {
        for second in seconds {
            feed.tell(second * 1_000, 0, Event::CallerConnections { open: 1 });
        }
    };
    // It dies at 20 s and is back at 30 s; the list says nothing of either.
    let mut feed = Feed::new();
    listed(&mut feed, 1, ListedReadiness::Ready, 0);
    down(&mut feed, 20_000);
    quiet(&mut feed, 21..30);
    feed.tell(30_000, 0, Event::ExchangeConnection { exchange: 3, change: ConnectionChange::Up });
    quiet(&mut feed, 31..60);
    let course = feed.finish();
    let lag = of(&course, IncidentKind::ListLag);
    assert_eq!((lag.len(), second(lag[0].begin_us)), (1, 20.0), "{:#?}", course.incidents);
    let end = second(lag[0].end_us.expect("it is back"));
    assert!((30.0..32.0).contains(&end), "{end}");
    // The list tells of the death 8 s late and of the start 7 s late: one lag, from the death until it caught up.
    let mut feed = Feed::new();
    listed(&mut feed, 1, ListedReadiness::Ready, 0);
    down(&mut feed, 20_000);
    quiet(&mut feed, 21..28);
    listed(&mut feed, 28_000, ListedReadiness::Removed, 0);
    quiet(&mut feed, 29..37);
    listed(&mut feed, 37_000, ListedReadiness::Ready, START + 30_000_000);
    quiet(&mut feed, 38..60);
    let course = feed.finish();
    let lag = of(&course, IncidentKind::ListLag);
    assert_eq!(lag.len(), 1, "{:#?}", course.incidents);
    assert_eq!((second(lag[0].begin_us), lag[0].end_us.map(second)), (20.0, Some(37.0)));
    let died = of(&course, IncidentKind::NodeDied);
    assert_eq!(
        (died.len(), died[0].end_us.map(second)),
        (1, Some(30.0)),
        "the list says since when it is back"
    );
    // One that is told in time is none.
    let mut feed = Feed::new();
    listed(&mut feed, 1, ListedReadiness::Ready, 0);
    down(&mut feed, 20_000);
    quiet(&mut feed, 21..23);
    listed(&mut feed, 23_000, ListedReadiness::Removed, 0);
    quiet(&mut feed, 24..60);
    assert_eq!(of(&feed.finish(), IncidentKind::ListLag).len(), 0);
}
