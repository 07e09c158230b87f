//! Metrics: counters since the start of the process, formatted as Prometheus text when they are fetched.

use std::fmt::Write;

/// Numbers of established, refused and failed calls of one class; the field names are the values of the label `result`.
#[derive(Clone, Debug, Default)]
struct CallCounts {
    class: String,
    completed: u64,
    rejected: u64,
    failed: u64,
}

/// All counters; the reducer owns them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<CallCounts>,
    attempts: u64,
    /// Refused calls by reason, in the order in which the reasons first occurred.
    refusals: Vec<(&'static str, u64)>,
}

/// Current values for the gauges.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Accepted calls that have not ended: open or established.
    pub pending: usize,
    /// Open set-ups: accepted calls without a final outcome.
    pub waiting: usize,
    /// Exchanges in the list.
    pub members: usize,
    /// Listed exchanges that receive no calls now.
    pub unavailable: usize,
    /// Whether the process was requested to stop.
    pub is_stopping: bool,
}

impl Metrics {
    /// Adds classes, so that their counters are reported from 0 on; the counters of known classes are kept.
    pub fn add_classes(&mut self, classes: impl Iterator<Item = String>) {
        for class in classes {
            self.class_counts(&class);
        }
    }

    fn class_counts(&mut self, class: &str) -> &mut CallCounts {
        let index = self.classes.iter().position(|counts| counts.class == class);
        let index = index.unwrap_or_else(|| {
            self.classes.push(CallCounts { class: class.to_owned(), ..CallCounts::default() });
            self.classes.len() - 1
        });
        &mut self.classes[index]
    }

    /// Counts a call of this class that was established.
    pub fn count_established(&mut self, class: &str) {
        self.class_counts(class).completed += 1;
    }

    /// Counts a refused call of this class.
    pub fn count_refused(&mut self, class: &str) {
        self.class_counts(class).rejected += 1;
    }

    /// Counts a failed call of this class.
    pub fn count_failed(&mut self, class: &str) {
        self.class_counts(class).failed += 1;
    }

    /// Counts a refusal by its reason.
    pub fn count_refusal(&mut self, reason: &'static str) {
        match self.refusals.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => self.refusals.push((reason, 1)),
        }
    }

    /// Refused calls since the start, by reason.
    pub fn refusals(&self) -> Vec<(&'static str, u64)> {
        let mut refusals = self.refusals.clone();
        refusals.sort_unstable();
        refusals
    }

    /// Numbers of calls of all classes that were answered, refused and failed since the start.
    pub fn totals(&self) -> (u64, u64, u64) {
        let sum = |field: fn(&CallCounts) -> u64| self.classes.iter().map(field).sum();
        (sum(|c| c.completed), sum(|c| c.rejected), sum(|c| c.failed))
    }

    /// Counts set-ups that were completely written to exchanges.
    pub fn count_attempts(&mut self, count: u64) {
        self.attempts += count;
    }

    /// All metrics in the Prometheus text format.
    pub fn prometheus_text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut write_metric = |name: &str, kind: &str, help: &str, samples: &[(String, u64)]| {
            let _ = writeln!(text, "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}");
            for (labels, value) in samples {
                let _ = writeln!(text, "svc_{name}{labels} {value}");
            }
        };
        let results: Vec<(String, u64)> = self
            .classes
            .iter()
            .flat_map(|class| {
                let counts =
                    [("completed", class.completed), ("rejected", class.rejected), ("failed", class.failed)];
                let lane = escape_label(&class.class);
                counts.map(|(result, n)| (format!(r#"{{lane="{lane}",result="{result}"}}"#), n))
            })
            .collect();
        let unlabelled = |value| [(String::new(), value)];
        write_metric(
            "downstream_requests",
            "counter",
            "Calls served, refused and failed, by class.",
            &results,
        );
        write_metric(
            "upstream_requests",
            "counter",
            "Set-ups written whole to exchanges.",
            &unlabelled(self.attempts),
        );
        let refusals: Vec<(String, u64)> =
            self.refusals().into_iter().map(|(reason, n)| (format!(r#"{{reason="{reason}"}}"#), n)).collect();
        write_metric("refusals", "counter", "Refused calls, by reason.", &refusals);
        write_metric(
            "pending",
            "gauge",
            "Calls taken that have not ended: they wait or stand.",
            &unlabelled(gauges.pending as u64),
        );
        write_metric(
            "waiting",
            "gauge",
            "Calls taken that have no final outcome.",
            &unlabelled(gauges.waiting as u64),
        );
        let stopping = unlabelled(u64::from(gauges.is_stopping));
        write_metric("stopping", "gauge", "1 after a request to stop, otherwise 0.", &stopping);
        write_metric("members", "gauge", "Exchanges in the list.", &unlabelled(gauges.members as u64));
        let unavailable = unlabelled(gauges.unavailable as u64);
        write_metric(
            "members_unavailable",
            "gauge",
            "Listed exchanges that no call goes to now.",
            &unavailable,
        );
        text
    }
}

/// Escapes a label value for the text format.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
