//! Time series of calls and nodes. Buckets grow with the time range, so memory is bounded for a range of any length.

use std::collections::BTreeMap;

use swiftlb_record::Event;

/// Initial length of a bucket, in microseconds.
const INITIAL_BUCKET_US: u64 = 1_000_000;
/// Maximum number of buckets. When one more is needed, each pair is merged into one of double length.
const MAX_BUCKETS: usize = 3_600;

/// Calls of one class in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassBucket {
    /// Calls offered.
    pub offered: u32,
    /// Calls established.
    pub answered: u32,
    /// Calls refused.
    pub refused: u32,
    /// Calls that failed or were abandoned.
    pub failed: u32,
}

/// One node in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeBucket {
    /// Longest set-up time that any softswitch expected there, in ms.
    pub expected_ms: u32,
    /// Maximum of the open attempts of all softswitches together.
    pub open_attempts: u32,
    /// Minimum of the free circuits toward it, summed over softswitches; `None` if none was recorded.
    pub free_circuits: Option<u32>,
}

/// Time series of all classes and nodes. One of them may have fewer buckets than [`Self::len`]; the others are empty.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// Beginning of the first bucket, in Unix microseconds.
    pub first_us: u64,
    /// Length of a bucket, in microseconds.
    pub bucket_us: u64,
    /// Buckets by class, in the order of the report's classes. A call in transit is counted at its origin only.
    pub classes: Vec<Vec<ClassBucket>>,
    /// Buckets by number of the exchange.
    pub nodes: BTreeMap<u32, Vec<NodeBucket>>,
    length: usize,
    /// Last recorded number of open attempts, by exchange and softswitch.
    open_attempts: BTreeMap<(u32, usize), u32>,
    /// Last recorded number of free circuits, by exchange and softswitch.
    free_circuits: BTreeMap<(u32, usize), u32>,
}

/// Merges each pair of neighbouring buckets; an odd last one is merged with an empty bucket.
fn merge_pairs<T: Copy + Default>(buckets: &mut Vec<T>, merge: impl Fn(T, T) -> T) {
    *buckets =
        buckets.chunks(2).map(|pair| merge(pair[0], pair.get(1).copied().unwrap_or_default())).collect();
}

impl Series {
    /// Creates series without buckets.
    pub fn new() -> Self {
        Self { bucket_us: INITIAL_BUCKET_US, ..Self::default() }
    }

    /// Number of buckets.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Index of the bucket for a time, after doubling the bucket length as often as needed. A time before the first
    /// bucket belongs to the first one.
    fn bucket_index(&mut self, at_us: u64) -> usize {
        if self.length == 0 {
            self.first_us = at_us / INITIAL_BUCKET_US * INITIAL_BUCKET_US;
        }
        loop {
            let index = (at_us.saturating_sub(self.first_us) / self.bucket_us) as usize;
            if index < MAX_BUCKETS {
                self.length = self.length.max(index + 1);
                return index;
            }
            self.double_bucket_length();
        }
    }

    fn double_bucket_length(&mut self) {
        for buckets in &mut self.classes {
            merge_pairs(buckets, |a, b| ClassBucket {
                offered: a.offered + b.offered,
                answered: a.answered + b.answered,
                refused: a.refused + b.refused,
                failed: a.failed + b.failed,
            });
        }
        for buckets in self.nodes.values_mut() {
            merge_pairs(buckets, |a, b| NodeBucket {
                expected_ms: a.expected_ms.max(b.expected_ms),
                open_attempts: a.open_attempts.max(b.open_attempts),
                free_circuits: a.free_circuits.into_iter().chain(b.free_circuits).min(),
            });
        }
        self.bucket_us *= 2;
        self.length = self.length.div_ceil(2);
    }

    /// Counts a call in the series of its class, in the number that `counter` selects. A call in transit is not counted
    /// here but at its origin.
    pub(crate) fn count_call(
        &mut self,
        at_us: u64,
        class: usize,
        is_origin: bool,
        counter: impl Fn(&mut ClassBucket) -> &mut u32,
    ) {
        if !is_origin {
            return;
        }
        let index = self.bucket_index(at_us);
        if self.classes.len() <= class {
            self.classes.resize(class + 1, Vec::new());
        }
        let buckets = &mut self.classes[class];
        if buckets.len() <= index {
            buckets.resize(index + 1, ClassBucket::default());
        }
        *counter(&mut buckets[index]) += 1;
    }

    fn node_bucket(&mut self, at_us: u64, exchange: u32) -> &mut NodeBucket {
        let index = self.bucket_index(at_us);
        let buckets = self.nodes.entry(exchange).or_default();
        if buckets.len() <= index {
            buckets.resize(index + 1, NodeBucket::default());
        }
        &mut buckets[index]
    }

    /// Updates the series of the node that an event concerns.
    pub(crate) fn observe(&mut self, at_us: u64, softswitch: usize, event: &Event) {
        match event {
            Event::ExpectedDelay { exchange, expected_ms, open_attempts } => {
                self.open_attempts.insert((*exchange, softswitch), *open_attempts);
                let total = self
                    .open_attempts
                    .range((*exchange, 0)..=(*exchange, usize::MAX))
                    .map(|(_, open_attempts)| open_attempts)
                    .sum();
                let node = self.node_bucket(at_us, *exchange);
                node.expected_ms = node.expected_ms.max(*expected_ms);
                node.open_attempts = node.open_attempts.max(total);
            }
            Event::Group { exchange, free, .. } => {
                self.free_circuits.insert((*exchange, softswitch), *free);
                let total: u32 = self
                    .free_circuits
                    .range((*exchange, 0)..=(*exchange, usize::MAX))
                    .map(|(_, free)| free)
                    .sum();
                let node = self.node_bucket(at_us, *exchange);
                node.free_circuits = Some(node.free_circuits.map_or(total, |least| least.min(total)));
            }
            // Values recorded by the process that ran before are no longer valid.
            Event::Started { .. } => {
                self.open_attempts.retain(|(_, index), _| *index != softswitch);
                self.free_circuits.retain(|(_, index), _| *index != softswitch);
            }
            _ => {}
        }
    }
}
