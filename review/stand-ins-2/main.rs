//! The stand-ins and the tests of the second review. `review/build-2.sh` builds it; each `run.sh` starts it from the root
//! of the repository: `review-2 NAME RECORD-FILE`. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out. `restart` and `orphans` are faults of the report that
//! are no cases.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

mod caller;
mod case_crowd;
mod case_drain;
mod case_flood;
mod case_orphans;
mod case_quiet_restart;
mod case_restart;
mod case_same_id;
mod case_slow_writer;
mod exchange;
mod json;
mod platform;
mod record;
mod resolver;

/// What a case found.
pub enum Verdict {
    Held,
    /// The rule was broken; how.
    Broken(Vec<String>),
}

/// No run lasts longer.
const RUN_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(file)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE RECORD-FILE");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(&file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {file}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note("test", if trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match case.as_str() {
        "slow-writer" => case_slow_writer::run(trouble, &record),
        "restart" => case_restart::run(trouble, &record),
        "orphans" => case_orphans::run(trouble, &record),
        "flood" => case_flood::run(trouble, &record),
        "quiet-restart" => case_quiet_restart::run(trouble, &record),
        "crowd" => case_crowd::run(trouble, &record),
        "same-id" => case_same_id::run(trouble, &record),
        "drain" => case_drain::run(trouble, &record),
        other => Err(format!("unknown case {other}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(how)) => {
            how.iter().for_each(|line| record.say(&format!("BROKEN: {line}")));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

/// Sleeps until this time of the run, in seconds.
pub fn sleep_until(record: &Record, at: f64) {
    let wait = at - record.now();
    if wait > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(wait));
    }
}
