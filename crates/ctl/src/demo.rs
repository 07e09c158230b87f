//! `swiftlbctl demo`: runs a mesh on loopback with an incident and reports on its records.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use signal_hook::consts::{SIGINT, SIGTERM};
use swiftlb_emulator::loopback::{LoopbackMesh, RunOptions, find_program};
use swiftlb_emulator::{CLASSES, MeshModel, Scenario};

use crate::CommandError;
use crate::progress::Progress;
use crate::report;

const USAGE: &str = "\
usage: swiftlbctl demo [--seconds N] [--incident NAME|FILE] [--seed N] [--nodes N] [--rate N]
                       [--out DIR] [--program FILE] [--json]

Starts a mesh on loopback: simulated exchanges, callers and resolver, and real softswitches. Offers load, plays an
incident, records it and writes a report of the incidents found in the records. On exit, also by Ctrl-C, everything that
it started is stopped.

  --seconds N        how long calls are offered (default: 60; 5 to 3600)
  --incident NAME    calm, death, winter, stall or restart, or the file of a script in JSON (default: death)
  --seed N           the same seed offers the same calls (default: 1)
  --nodes N          number of nodes in the mesh (default: 5; 2 to 32)
  --rate N           calls per second over all nodes (default: 40)
  --out DIR          directory for configurations, logs, records and the report (default: swiftlb-demo)
  --program FILE     the softswitch program (default: swiftlb in the directory of this program or its parent)
  --json             print the summary as one JSON object on standard output

example: swiftlbctl demo --seconds 60 --incident death --out /tmp/demo";

/// Time that the softswitches have to stop after a complete run before they are killed. A softswitch that stops lets
/// established calls continue for up to 10 s.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(13);
/// Time that the softswitches have to stop after an interrupt by the user before they are killed.
const INTERRUPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Options of the command line.
struct Options {
    seconds: Option<f64>,
    incident: String,
    seed: u64,
    nodes: Option<usize>,
    rate: Option<f64>,
    out: PathBuf,
    program: Option<PathBuf>,
    json: bool,
}

pub fn run(mut parser: lexopt::Parser) -> Result<(), CommandError> {
    use lexopt::prelude::*;
    let mut options = Options {
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
                options.seconds = Some(check_range("--seconds", parser.value()?.parse()?, 5.0, 3_600.0)?)
            }
            Long("incident") => options.incident = parser.value()?.string()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("nodes") => {
                options.nodes = Some(check_range("--nodes", parser.value()?.parse()?, 2.0, 32.0)? as usize)
            }
            Long("rate") => {
                options.rate = Some(check_range("--rate", parser.value()?.parse()?, 0.1, 2_000.0)?)
            }
            Long("out") => options.out = PathBuf::from(parser.value()?),
            Long("program") => options.program = Some(PathBuf::from(parser.value()?)),
            Long("json") => options.json = true,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            _ => return Err(CommandError::InvalidInput(format!("{}\n{USAGE}", arg.unexpected()))),
        }
    }
    run_demo(&options)
}

fn check_range(option: &str, value: f64, min: f64, max: f64) -> Result<f64, CommandError> {
    let valid = (min..=max).contains(&value);
    if valid {
        Ok(value)
    } else {
        Err(CommandError::InvalidInput(format!("{option}: expected a number from {min} to {max}")))
    }
}

/// Loads the scenario of `--incident`, a script if there is such a file and otherwise a built-in one, and applies the
/// other options to it.
fn load_scenario(options: &Options) -> Result<Scenario, CommandError> {
    let default_duration = Duration::from_secs(60);
    let duration = options.seconds.map(Duration::from_secs_f64);
    let mut scenario = if Path::new(&options.incident).is_file() {
        let script_error = |error: &dyn std::fmt::Display| {
            CommandError::InvalidInput(format!("{}: {error}", options.incident))
        };
        let text = std::fs::read_to_string(&options.incident).map_err(|error| script_error(&error))?;
        let script = Scenario::parse(&text).map_err(|error| script_error(&error))?;
        Scenario { duration: duration.unwrap_or(script.duration), ..script }
    } else {
        let built_in = Scenario::built_in(&options.incident, duration.unwrap_or(default_duration));
        built_in.map_err(|error| CommandError::InvalidInput(format!("--incident: {error}")))?
    };
    scenario.nodes = options.nodes.unwrap_or(scenario.nodes);
    scenario.calls_per_s = options.rate.unwrap_or(scenario.calls_per_s);
    let highest_node = scenario.incidents.iter().map(|incident| incident.node).max().unwrap_or(0);
    if highest_node >= scenario.nodes {
        return Err(CommandError::InvalidInput(format!(
            "--nodes: the incident is at node {highest_node}: expected {} or more",
            highest_node + 1
        )));
    }
    Ok(scenario)
}

fn run_demo(options: &Options) -> Result<(), CommandError> {
    let scenario = load_scenario(options)?;
    let missing = || {
        let advice = "build it with 'cargo build --release --workspace', or give its path with --program";
        CommandError::InvalidInput(format!(
            "no softswitch program 'swiftlb' in the directory of this program or its parent: {advice}"
        ))
    };
    let program = match &options.program {
        Some(program) => program.clone(),
        None => find_program(&std::env::current_exe()?, "swiftlb").ok_or_else(missing)?,
    };
    // Each run gets its own directory; otherwise the report would include the records of earlier runs.
    let timestamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let directory = options.out.join(format!("{timestamp}"));
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&interrupted))?;
    }
    let duration = scenario.duration;
    let run_options = RunOptions { scenario, seed: options.seed, program, directory: directory.clone() };
    let mut progress = Progress::new();
    progress.show("starting the softswitches ...");
    let mut mesh = LoopbackMesh::start(run_options)?;
    while mesh.run(Duration::from_millis(250))? && !interrupted.load(Ordering::Relaxed) {
        let (elapsed, counts) = (mesh.elapsed().as_secs_f64(), progress_counts(mesh.model()));
        progress.show(&match elapsed < duration.as_secs_f64() {
            true => format!("{elapsed:3.0} of {:.0} s   {counts}", duration.as_secs_f64()),
            false => format!("waiting for the last calls to end   {counts}"),
        });
    }
    progress.show("stopping the softswitches ...");
    mesh.shut_down(if interrupted.load(Ordering::Relaxed) { INTERRUPT_TIMEOUT } else { SHUTDOWN_TIMEOUT });
    drop(progress);
    if interrupted.load(Ordering::Relaxed) {
        return Err(CommandError::Interrupted);
    }
    let report = report::build(&[mesh.records_directory()], (0, u64::MAX))?;
    let page = directory.join("report.html");
    report::write(&report, &page, Some(&directory.join("events.jsonl")))?;
    if options.json {
        println!("{}", summary_json(mesh.model(), &directory));
    } else {
        print!("{}{}", summary(mesh.model(), &directory), report::summary(&report, &page));
    }
    Ok(())
}

/// Numbers of calls so far, for the progress line.
fn progress_counts(model: &MeshModel) -> String {
    let sum =
        |count: fn(&swiftlb_emulator::ClassTotals) -> u64| model.totals().iter().map(count).sum::<u64>();
    let (offered, established) = (sum(|s| s.offered), sum(|s| s.in_time + s.late));
    format!(
        "{offered} calls, {established} established, {} not served, {} cut",
        sum(|s| s.unserved),
        sum(|s| s.cut)
    )
}

/// Summary for standard output: a table of the calls of each class, and where the records are.
fn summary(model: &MeshModel, directory: &Path) -> String {
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
    text += &format!("records: {}\n", directory.join("records").display());
    text
}

/// Summary as a JSON object, for `--json`.
fn summary_json(model: &MeshModel, directory: &Path) -> String {
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
        directory.display().to_string(),
        classes.join(",")
    )
}
