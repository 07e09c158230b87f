//! The figures, counted from the start of the process and written as Prometheus text when they are fetched.

use std::fmt::Write;

/// How the calls of one class have ended.
#[derive(Clone, Debug, Default)]
struct Ended {
    class: String,
    completed: u64,
    rejected: u64,
    failed: u64,
}

/// Everything that is counted. The reducer owns it.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<Ended>,
    attempts: u64,
    /// Refusals by reason, in the order in which reasons first came.
    refusals: Vec<(&'static str, u64)>,
}

/// What holds at this moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Calls taken that have not ended: they wait for an answer or stand.
    pub pending: usize,
    /// Listed exchanges.
    pub members: usize,
    /// Those of them that no call goes to now.
    pub unavailable: usize,
}

impl Metrics {
    /// Classes of which figures are written from 0 on; one that was there keeps its own.
    pub fn add_classes(&mut self, classes: impl Iterator<Item = String>) {
        for class in classes {
            self.of(&class);
        }
    }

    fn of(&mut self, class: &str) -> &mut Ended {
        let place = self.classes.iter().position(|known| known.class == class);
        let place = place.unwrap_or_else(|| {
            self.classes.push(Ended { class: class.to_owned(), ..Ended::default() });
            self.classes.len() - 1
        });
        &mut self.classes[place]
    }

    /// A call of this class was served: it stands.
    pub fn count_completed(&mut self, class: &str) {
        self.of(class).completed += 1;
    }

    /// A call of this class was refused.
    pub fn count_rejected(&mut self, class: &str) {
        self.of(class).rejected += 1;
    }

    /// A call of this class failed.
    pub fn count_failed(&mut self, class: &str) {
        self.of(class).failed += 1;
    }

    /// A call was refused for this reason.
    pub fn count_refusal(&mut self, reason: &'static str) {
        match self.refusals.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => self.refusals.push((reason, 1)),
        }
    }

    /// Refusals since the start, by reason.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        let mut refusals = self.refusals.clone();
        refusals.sort_unstable();
        refusals
    }

    /// Calls of all classes that were answered, refused and failed since the start.
    pub fn totals(&self) -> (u64, u64, u64) {
        let sum = |of: fn(&Ended) -> u64| self.classes.iter().map(of).sum();
        (sum(|c| c.completed), sum(|c| c.rejected), sum(|c| c.failed))
    }

    /// So many more set-ups were written whole to exchanges.
    pub fn count_attempts(&mut self, more: u64) {
        self.attempts += more;
    }

    /// The text of all figures.
    pub fn prometheus_text(&self, now: Gauges) -> String {
        let mut text = String::new();
        let mut head = |name: &str, kind: &str, help: &str, samples: &[(String, u64)]| {
            let _ = writeln!(text, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}");
            for (labels, value) in samples {
                let _ = writeln!(text, "svc_{name}{labels} {value}");
            }
        };
        let ended: Vec<(String, u64)> = self
            .classes
            .iter()
            .flat_map(|class| {
                let results =
                    [("completed", class.completed), ("rejected", class.rejected), ("failed", class.failed)];
                let lane = escaped(&class.class);
                results.map(|(result, n)| (format!(r#"{{lane="{lane}",result="{result}"}}"#), n))
            })
            .collect();
        let one = |value| [(String::new(), value)];
        head("downstream_requests", "counter", "Calls served, refused and failed, by class.", &ended);
        head("upstream_requests", "counter", "Set-ups written whole to exchanges.", &one(self.attempts));
        head(
            "pending",
            "gauge",
            "Calls taken that have not ended: they wait or stand.",
            &one(now.pending as u64),
        );
        head("members", "gauge", "Exchanges in the list.", &one(now.members as u64));
        let unavailable = one(now.unavailable as u64);
        head("members_unavailable", "gauge", "Listed exchanges that no call goes to now.", &unavailable);
        text
    }
}

/// A label's value as the text format wants it.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
