//! `swiftlbctl demo`: a mesh on loopback with an incident, recorded.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use signal_hook::consts::{SIGINT, SIGTERM};
use swiftlb_emulator::loopback::{LoopbackMesh, RunOptions, find_program};
use swiftlb_emulator::{CLASSES, MeshModel, Scenario};

use crate::Failure;
use crate::progress::Progress;
use crate::report;

const USAGE: &str = "\
usage: swiftlbctl demo [--seconds N] [--incident NAME|FILE] [--seed N] [--nodes N] [--rate N]
                       [--out DIR] [--program FILE] [--json]

Starts a mesh on loopback (exchanges, callers and a resolver that are stand-ins, softswitches that are real), offers
load, plays an incident, records it and tells its course from the records. Everything that it starts it stops, also on Ctrl-C.

  --seconds N        how long calls are offered (60; 5 to 3600)
  --incident NAME    calm, death, winter, stall or restart, or a script in JSON (death)
  --seed N           the same seed offers the same calls (1)
  --nodes N          nodes of the mesh (5; 2 to 32)
  --rate N           calls a second over all nodes (40)
  --out DIR          where configurations, logs, records and the report go (swiftlb-demo)
  --program FILE     the softswitch (the one that lies beside this program)
  --json             the summary as one JSON object on standard output

example: swiftlbctl demo --seconds 60 --incident death --out /tmp/demo";

/// How long softswitches may take to end: with the calls that stand, and when the user wants his terminal back.
const IN_GOOD_ORDER: Duration = Duration::from_secs(13);
const AT_ONCE: Duration = Duration::from_secs(1);

/// What was asked for.
struct Asked {
    seconds: Option<f64>,
    incident: String,
    seed: u64,
    nodes: Option<usize>,
    rate: Option<f64>,
    out: PathBuf,
    program: Option<PathBuf>,
    json: bool,
}

pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    use lexopt::prelude::*;
    let mut asked = Asked {
        seconds: None,
        incident: "death".to_owned(),
        seed: 1,
        nodes: None,
        rate: None,
        out: PathBuf::from("swiftlb-demo"),
        program: None,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seconds") => {
                asked.seconds = Some(within("--seconds", parser.value()?.parse()?, 5.0, 3_600.0)?)
            }
            Long("incident") => asked.incident = parser.value()?.string()?,
            Long("seed") => asked.seed = parser.value()?.parse()?,
            Long("nodes") => {
                asked.nodes = Some(within("--nodes", parser.value()?.parse()?, 2.0, 32.0)? as usize)
            }
            Long("rate") => asked.rate = Some(within("--rate", parser.value()?.parse()?, 0.1, 2_000.0)?),
            Long("out") => asked.out = PathBuf::from(parser.value()?),
            Long("program") => asked.program = Some(PathBuf::from(parser.value()?)),
            Long("json") => asked.json = true,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            _ => return Err(Failure::User(format!("{}\n{USAGE}", arg.unexpected()))),
        }
    }
    play(&asked)
}

fn within(option: &str, value: f64, least: f64, most: f64) -> Result<f64, Failure> {
    let good = (least..=most).contains(&value);
    if good {
        Ok(value)
    } else {
        Err(Failure::User(format!("{option}: expected a number from {least} to {most}")))
    }
}

/// A scenario that is built in, or a script.
fn scenario(asked: &Asked) -> Result<Scenario, Failure> {
    let usual = Duration::from_secs(60);
    let lasts = asked.seconds.map(Duration::from_secs_f64);
    let mut scenario = if Path::new(&asked.incident).is_file() {
        let wrong = |error: &dyn std::fmt::Display| Failure::User(format!("{}: {error}", asked.incident));
        let text = std::fs::read_to_string(&asked.incident).map_err(|error| wrong(&error))?;
        let script = Scenario::parse(&text).map_err(|error| wrong(&error))?;
        Scenario { duration: lasts.unwrap_or(script.duration), ..script }
    } else {
        let named = Scenario::built_in(&asked.incident, lasts.unwrap_or(usual));
        named.map_err(|error| Failure::User(format!("--incident: {error}")))?
    };
    scenario.nodes = asked.nodes.unwrap_or(scenario.nodes);
    scenario.calls_per_s = asked.rate.unwrap_or(scenario.calls_per_s);
    let last = scenario.incidents.iter().map(|incident| incident.node).max().unwrap_or(0);
    if last >= scenario.nodes {
        return Err(Failure::User(format!(
            "--nodes: the incident is at node {last}: expected {} or more",
            last + 1
        )));
    }
    Ok(scenario)
}

fn play(asked: &Asked) -> Result<(), Failure> {
    let scenario = scenario(asked)?;
    let missing = || {
        let how = "build it with 'cargo build --release --workspace', or name it with --program";
        Failure::User(format!("no softswitch lies beside this program: {how}"))
    };
    let program = match &asked.program {
        Some(program) => program.clone(),
        None => find_program(&std::env::current_exe()?, "swiftlb").ok_or_else(missing)?,
    };
    // A folder of its own for each play: records of an earlier one would be told with this one's.
    let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let folder = asked.out.join(format!("{stamp}"));
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let lasts = scenario.duration;
    let options = RunOptions { scenario, seed: asked.seed, program, directory: folder.clone() };
    let mut progress = Progress::new();
    progress.say("starting the softswitches ...");
    let mut mesh = LoopbackMesh::start(options)?;
    while mesh.run(Duration::from_millis(250))? && !stop.load(Ordering::Relaxed) {
        let (now, what) = (mesh.elapsed().as_secs_f64(), line(mesh.model()));
        progress.say(&match now < lasts.as_secs_f64() {
            true => format!("{now:3.0} of {:.0} s   {what}", lasts.as_secs_f64()),
            false => format!("the last calls end   {what}"),
        });
    }
    progress.say("stopping the softswitches ...");
    mesh.shut_down(if stop.load(Ordering::Relaxed) { AT_ONCE } else { IN_GOOD_ORDER });
    drop(progress);
    if stop.load(Ordering::Relaxed) {
        return Err(Failure::Interrupted);
    }
    let report = report::build(&[mesh.records_directory()], (0, u64::MAX))?;
    let page = folder.join("report.html");
    report::write(&report, &page, Some(&folder.join("events.jsonl")))?;
    if asked.json {
        println!("{}", json(mesh.model(), &folder));
    } else {
        print!("{}{}", summary(mesh.model(), &folder), report::summary(&report, &page));
    }
    Ok(())
}

fn line(model: &MeshModel) -> String {
    let sum = |of: fn(&swiftlb_emulator::ClassTotals) -> u64| model.totals().iter().map(of).sum::<u64>();
    let (offered, stood) = (sum(|s| s.offered), sum(|s| s.in_time + s.late));
    format!("{offered} calls, {stood} stood, {} not served, {} cut", sum(|s| s.unserved), sum(|s| s.cut))
}

fn summary(model: &MeshModel, folder: &Path) -> String {
    let mut text = format!(
        "{:<14}{:>9}{:>9}{:>9}{:>12}{:>9}\n",
        "class", "offered", "in time", "late", "not served", "cut"
    );
    for (class, s) in CLASSES.iter().zip(model.totals()) {
        text += &format!(
            "{:<14}{:>9}{:>9}{:>9}{:>12}{:>9}\n",
            class.name, s.offered, s.in_time, s.late, s.unserved, s.cut
        );
    }
    text += &format!("service {:.3}, rules broken {}\n", model.service_level(), model.protocol_violations());
    text += &format!("records: {}\n", folder.join("records").display());
    text
}

fn json(model: &MeshModel, folder: &Path) -> String {
    let classes: Vec<String> = CLASSES
        .iter()
        .zip(model.totals())
        .map(|(class, s)| {
            format!(
                "{{\"class\":\"{}\",\"offered\":{},\"in_time\":{},\"late\":{},\"unserved\":{},\"cut\":{}}}",
                class.name, s.offered, s.in_time, s.late, s.unserved, s.cut
            )
        })
        .collect();
    format!(
        "{{\"service\":{:.4},\"broken\":{},\"folder\":{:?},\"classes\":[{}]}}",
        model.service_level(),
        model.protocol_violations(),
        folder.display().to_string(),
        classes.join(",")
    )
}
