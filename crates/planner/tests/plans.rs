//! Tests of parsing networks, checking plans and the exhaustive search.

use std::cmp::Ordering;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use swiftlb_planner::{
    Flow, Network, Objective, Violation, check_plan, compare_canonical, exhaustive, objective,
};

const TRIANGLE: &str = r#"{"regions":["wien","linz"],
    "exchanges":[{"number":0,"region":"wien"},{"number":1,"region":"linz"},{"number":7,"region":"wien"}],
    "groups":[{"between":[1,0],"circuits":2,"cost":1.0},{"between":[0,7],"circuits":3,"cost":0.5},
              {"between":[1,7],"circuits":3,"cost":0.25}],
    "demand":[{"from":0,"to":1,"circuits":4,"worth":2.0,"must":1},{"from":7,"to":1,"circuits":2}],
    "limits":{"transit":{"wien":1}},"tandem_cost":0.5}"#;

fn flow(from: u32, to: u32, via: Option<u32>, circuits: u32) -> Flow {
    Flow { from, to, via, circuits }
}

fn network(text: &str) -> Network {
    Network::parse(text).expect("a valid network")
}

#[test]
fn network_is_parsed_and_invalid_entries_are_rejected_by_name() {
    let parsed = network(TRIANGLE);
    assert_eq!((parsed.exchanges.len(), parsed.groups.len(), parsed.demands.len()), (3, 3, 2));
    assert_eq!(
        (parsed.groups[&(0, 1)].cost, parsed.demands[&(7, 1)].worth, parsed.tandem_cost),
        (1_000_000, 1_000_000, 500_000)
    );
    assert_eq!(parsed.routes(0, 1), [None, Some(7)]);
    for (from, to, message) in [
        (
            r#""circuits":2,"cost":1.0"#,
            r#""circuits":-2"#,
            "groups.0.circuits: expected a whole number from 0 to 1000000",
        ),
        (
            r#""circuits":2,"cost":1.0"#,
            r#""circuits":1e99"#,
            "groups.0.circuits: expected a whole number from 0 to 1000000",
        ),
        (
            r#""circuits":2,"cost":1.0"#,
            r#""circuits":2,"cost":1e999"#,
            "groups.0.cost: expected a number from 0 to 1000000",
        ),
        (
            r#""circuits":2,"cost":1.0"#,
            r#""circuits":2,"price":1"#,
            "groups.0.price: expected one of between, circuits, cost",
        ),
        ("[0,7]", "[0,1]", "groups.1.between: expected each pair once, but 0 and 1 are listed before"),
        ("[0,7]", "[0,0]", "groups.1.between: expected two different exchanges"),
        ("[0,7]", "[0,9]", "groups.1.between: expected exchanges of the network, but 9 is unknown"),
        ("[0,7]", "[0]", "groups.1.between: expected two exchange numbers"),
        (r#""must":1"#, r#""must":5"#, "demand.0.must: expected a whole number from 0 to 4"),
        (
            r#""from":7,"to":1"#,
            r#""from":0,"to":1"#,
            "demand.1: expected each pair once, but 0 to 1 is listed before",
        ),
        (
            r#""number":7,"region":"wien""#,
            r#""number":1,"region":"wien""#,
            "exchanges.2.number: expected each exchange once, but 1 is listed before",
        ),
        (
            r#""number":7,"region":"wien""#,
            r#""number":7,"region":"graz""#,
            "exchanges.2.region: expected one of the regions, but 'graz' is unknown",
        ),
        (
            r#"{"wien":1}"#,
            r#"{"rom":1}"#,
            "limits.transit.rom: expected one of the regions, but 'rom' is unknown",
        ),
        (r#""tandem_cost":0.5"#, r#""tandem_cost":-0.5"#, "tandem_cost: expected a number from 0 to 1000000"),
    ] {
        assert!(TRIANGLE.contains(from), "{from}");
        let error = Network::parse(&TRIANGLE.replacen(from, to, 1)).expect_err(message);
        assert_eq!(error.to_string(), message);
    }
    assert!(Network::parse("{").is_err_and(|error| error.to_string().starts_with("not JSON: ")));
    assert_eq!(
        Network::parse("{}").expect_err("a network without exchanges").to_string(),
        "exchanges: expected at least two"
    );
    for cut in 0..TRIANGLE.len() {
        assert!(Network::parse(&TRIANGLE[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn check_reports_all_violations_of_a_plan() {
    let net = network(TRIANGLE);
    let valid = [flow(0, 1, None, 2), flow(0, 1, Some(7), 1), flow(7, 1, None, 2)];
    assert_eq!(check_plan(&net, &valid), Ok(()));
    // Cost: 2 x 1 direct, 1 x (0.5 + 0.25 + 0.5) over the tandem, 2 x 0.25. One circuit of worth 2 is not carried.
    assert_eq!(objective(&net, &valid), Objective { uncarried_worth: 2_000_000, cost: 3_750_000 });
    let violations = |flows: &[Flow]| check_plan(&net, flows).expect_err("a violation");
    let region = "wien".to_owned();
    let overfull = [flow(0, 1, None, 3), flow(0, 1, Some(7), 2), flow(7, 1, None, 2)];
    assert_eq!(
        violations(&overfull),
        [
            Violation::ExceedsDemand { from: 0, to: 1, carried: 5, demanded: 4 },
            Violation::GroupExceeded { between: (0, 1), used: 3, circuits: 2 },
            Violation::GroupExceeded { between: (1, 7), used: 4, circuits: 3 },
            Violation::TransitLimitExceeded { region, used: 2, max_circuits: 1 },
        ]
    );
    assert_eq!(violations(&[]), [Violation::BelowMinimum { from: 0, to: 1, carried: 0, min_circuits: 1 }]);
    let invalid = [
        flow(0, 1, None, 1),
        flow(1, 0, None, 1),
        flow(0, 1, Some(1), 1),
        flow(0, 1, Some(9), 1),
        flow(7, 1, None, 0),
    ];
    assert_eq!(
        violations(&invalid),
        [
            Violation::NoDemand { from: 1, to: 0 },
            Violation::NoRoute { from: 0, to: 1, via: Some(1) },
            Violation::NoRoute { from: 0, to: 1, via: Some(9) },
            Violation::InvalidFlow { from: 7, to: 1 },
        ]
    );
    assert_eq!(
        violations(&[flow(0, 1, None, 1), flow(0, 1, None, 1)])[0],
        Violation::InvalidFlow { from: 0, to: 1 }
    );
    assert_eq!(violations(&invalid)[1].to_string(), "flow from 0 to 1: there is no route over 1");
}

#[test]
fn exhaustive_search_finds_the_best_plan_or_none() {
    let net = network(TRIANGLE);
    let best = exhaustive::best_plan(&net).expect("a plan");
    assert_eq!(best.flows, [flow(0, 1, None, 2), flow(0, 1, Some(7), 1), flow(7, 1, None, 2)]);
    assert_eq!(
        exhaustive::best_plan(&network(&TRIANGLE.replace(r#""must":1"#, r#""must":4"#))),
        None,
        "the transit limit of the region allows no plan"
    );
    let higher_limit =
        TRIANGLE.replace(r#""must":1"#, r#""must":4"#).replace(r#"{"wien":1}"#, r#"{"wien":2}"#);
    let best = exhaustive::best_plan(&network(&higher_limit)).expect("a plan with the higher transit limit");
    assert_eq!(best.flows, [flow(0, 1, None, 2), flow(0, 1, Some(7), 2), flow(7, 1, None, 1)]);
    // A group without circuits.
    let no_direct = TRIANGLE.replace(r#""circuits":2,"cost":1.0"#, r#""circuits":0"#);
    assert_eq!(
        exhaustive::best_plan(&network(&no_direct)).expect("a plan over the tandem").flows[0],
        flow(0, 1, Some(7), 1)
    );
}

#[test]
fn ties_prefer_the_direct_route_then_the_lowest_tandem() {
    let text = |direct: u32| {
        let pairs = [(0, 1, direct), (0, 2, 1), (1, 2, 1), (0, 3, 1), (1, 3, 1)];
        let group = |(a, b, n): (u32, u32, u32)| format!(r#"{{"between":[{a},{b}],"circuits":{n}}}"#);
        let exchanges: Vec<String> = (0..4).map(|n| format!(r#"{{"number":{n},"region":"wien"}}"#)).collect();
        format!(
            r#"{{"regions":["wien"],"exchanges":[{}],"groups":[{}],"demand":[{{"from":0,"to":1,"circuits":1}}]}}"#,
            exchanges.join(","),
            pairs.map(group).join(",")
        )
    };
    assert_eq!(exhaustive::best_plan(&network(&text(1))).expect("a plan").flows, [flow(0, 1, None, 1)]);
    assert_eq!(exhaustive::best_plan(&network(&text(0))).expect("a plan").flows, [flow(0, 1, Some(2), 1)]);
    assert_eq!(compare_canonical(&[flow(0, 1, None, 1)], &[flow(0, 1, Some(2), 1)]), Ordering::Less);
    assert_eq!(compare_canonical(&[flow(0, 1, None, 1)], &[flow(0, 1, None, 2)]), Ordering::Greater);
    assert_eq!(compare_canonical(&[], &[]), Ordering::Equal);
}

/// JSON of networks of 3 or 4 exchanges with few circuits.
fn small_networks() -> impl Strategy<Value = String> {
    let groups = prop::collection::vec((0..3_u32, 0..3_u32), 6);
    let demands = prop::collection::vec((0..4_u32, 0..4_u32, 1..3_u32, 0..3_u32, 0..2_u32), 1..4);
    (3..5_u32, groups, demands, 0..3_u32).prop_map(|(nodes, groups, demands, transit)| {
        let exchanges: Vec<String> =
            (0..nodes).map(|n| format!(r#"{{"number":{n},"region":"{}"}}"#, ["a", "b"][n as usize % 2])).collect();
        let pairs = (0..nodes).flat_map(|a| (a + 1..nodes).map(move |b| (a, b)));
        let group = |((a, b), (circuits, cost)): ((u32, u32), &(u32, u32))| {
            format!(r#"{{"between":[{a},{b}],"circuits":{circuits},"cost":{cost}}}"#)
        };
        let groups: Vec<String> = pairs.zip(&groups).map(group).collect();
        let mut pairs_with_demand = Vec::new();
        let mut demand_entries = Vec::new();
        for (from, to, circuits, worth, must) in demands {
            let (from, to) = (from % nodes, to % nodes);
            if from != to && !pairs_with_demand.contains(&(from, to)) {
                pairs_with_demand.push((from, to));
                demand_entries.push(format!(
                    r#"{{"from":{from},"to":{to},"circuits":{circuits},"worth":{worth},"must":{}}}"#,
                    must.min(circuits)
                ));
            }
        }
        format!(
            r#"{{"regions":["a","b"],"exchanges":[{}],"groups":[{}],"demand":[{}],"limits":{{"transit":{{"a":{transit}}}}},"tandem_cost":1}}"#,
            exchanges.join(","),
            groups.join(","),
            demand_entries.join(",")
        )
    })
}

#[test]
fn no_valid_plan_that_differs_by_one_circuit_is_better() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&small_networks(), |text| {
            let net = network(&text);
            let Some(best) = exhaustive::best_plan(&net) else {
                // If there is no plan, the empty one is not valid either.
                prop_assert!(check_plan(&net, &[]).is_err());
                return Ok(());
            };
            prop_assert_eq!(check_plan(&net, &best.flows), Ok(()));
            prop_assert_eq!(objective(&net, &best.flows), best.objective);
            // With one circuit added, removed or moved to another route, a valid plan is worse, or equal and later in
            // canonical order.
            for (from, to) in net.demands.keys().copied() {
                for add in net.routes(from, to).into_iter().map(Some).chain([None]) {
                    for remove in net.routes(from, to).into_iter().map(Some).chain([None]) {
                        let mut flows = best.flows.clone();
                        if let Some(via) = remove {
                            let Some(changed) =
                                flows.iter_mut().find(|f| (f.from, f.to, f.via) == (from, to, via))
                            else {
                                continue;
                            };
                            changed.circuits -= 1;
                        }
                        if let Some(via) = add {
                            match flows.iter_mut().find(|f| (f.from, f.to, f.via) == (from, to, via)) {
                                Some(changed) => changed.circuits += 1,
                                None => flows.push(flow(from, to, via, 1)),
                            }
                        }
                        flows.retain(|f| f.circuits > 0);
                        if check_plan(&net, &flows).is_ok() {
                            let other = objective(&net, &flows);
                            let comes_first = compare_canonical(&best.flows, &flows) != Ordering::Greater;
                            prop_assert!(
                                best.objective < other || (best.objective == other && comes_first),
                                "{:?}",
                                flows
                            );
                        }
                    }
                }
            }
            Ok(())
        })
        .expect("no failing case");
}
