//! Calls and nodes over time, in buckets that grow with the time told: memory stays bounded however long that is.

use std::collections::BTreeMap;

use swiftlb_record::Event;

/// Length of a bucket to begin with, in microseconds.
const BUCKET_US: u64 = 1_000_000;
/// Most buckets; one more and each two become one.
const MOST: usize = 3_600;

/// Calls of one class in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassBucket {
    /// Came.
    pub offered: u32,
    /// Came to stand.
    pub answered: u32,
    /// Were turned away.
    pub refused: u32,
    /// Failed or were given up.
    pub failed: u32,
}

/// One node in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeBucket {
    /// The longest that any softswitch expected a set-up there to take, in ms.
    pub expected_ms: u32,
    /// The most attempts that were out there, over all softswitches.
    pub out: u32,
    /// The fewest circuits that were free toward it, over all softswitches that tell.
    pub free: Option<u32>,
}

/// Everything over time.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// Time of the first bucket, in Unix microseconds.
    pub first_us: u64,
    /// Length of a bucket.
    pub bucket_us: u64,
    /// By class, in the order of the report's classes; callers' own calls alone.
    pub classes: Vec<Vec<ClassBucket>>,
    /// By number of the exchange.
    pub nodes: BTreeMap<u32, Vec<NodeBucket>>,
    length: usize,
    /// Last word of each softswitch on each exchange: attempts out, free circuits.
    out: BTreeMap<(u32, usize), u32>,
    free: BTreeMap<(u32, usize), u32>,
}

fn fold<T: Copy + Default>(buckets: &mut Vec<T>, join: impl Fn(T, T) -> T) {
    *buckets =
        buckets.chunks(2).map(|pair| join(pair[0], pair.get(1).copied().unwrap_or_default())).collect();
}

impl Series {
    /// None yet.
    pub fn new() -> Self {
        Self { bucket_us: BUCKET_US, ..Self::default() }
    }

    /// Buckets so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn place(&mut self, at: u64) -> usize {
        if self.length == 0 {
            self.first_us = at / BUCKET_US * BUCKET_US;
        }
        loop {
            let place = (at.saturating_sub(self.first_us) / self.bucket_us) as usize;
            if place < MOST {
                self.length = self.length.max(place + 1);
                return place;
            }
            self.widen();
        }
    }

    fn widen(&mut self) {
        for buckets in &mut self.classes {
            fold(buckets, |a, b| ClassBucket {
                offered: a.offered + b.offered,
                answered: a.answered + b.answered,
                refused: a.refused + b.refused,
                failed: a.failed + b.failed,
            });
        }
        for buckets in self.nodes.values_mut() {
            fold(buckets, |a, b| NodeBucket {
                expected_ms: a.expected_ms.max(b.expected_ms),
                out: a.out.max(b.out),
                free: a.free.into_iter().chain(b.free).min(),
            });
        }
        self.bucket_us *= 2;
        self.length = self.length.div_ceil(2);
    }

    /// Counts a call of a class; those in transit are their origin's.
    pub(crate) fn class(
        &mut self,
        at: u64,
        class: usize,
        own: bool,
        of: impl Fn(&mut ClassBucket) -> &mut u32,
    ) {
        if !own {
            return;
        }
        let place = self.place(at);
        if self.classes.len() <= class {
            self.classes.resize(class + 1, Vec::new());
        }
        let buckets = &mut self.classes[class];
        if buckets.len() <= place {
            buckets.resize(place + 1, ClassBucket::default());
        }
        *of(&mut buckets[place]) += 1;
    }

    fn node(&mut self, at: u64, exchange: u32) -> &mut NodeBucket {
        let place = self.place(at);
        let buckets = self.nodes.entry(exchange).or_default();
        if buckets.len() <= place {
            buckets.resize(place + 1, NodeBucket::default());
        }
        &mut buckets[place]
    }

    /// Takes what an event says of a node.
    pub(crate) fn see(&mut self, at: u64, who: usize, event: &Event) {
        match event {
            Event::ExpectedDelay { exchange, expected_ms, open_attempts } => {
                self.out.insert((*exchange, who), *open_attempts);
                let all = self
                    .out
                    .range((*exchange, 0)..=(*exchange, usize::MAX))
                    .map(|(_, open_attempts)| open_attempts)
                    .sum();
                let node = self.node(at, *exchange);
                node.expected_ms = node.expected_ms.max(*expected_ms);
                node.out = node.out.max(all);
            }
            Event::Group { exchange, free, .. } => {
                self.free.insert((*exchange, who), *free);
                let all: u32 =
                    self.free.range((*exchange, 0)..=(*exchange, usize::MAX)).map(|(_, free)| free).sum();
                let node = self.node(at, *exchange);
                node.free = Some(node.free.map_or(all, |least| least.min(all)));
            }
            // A process that has just started knows of none.
            Event::Started { .. } => {
                self.out.retain(|(_, softswitch), _| *softswitch != who);
                self.free.retain(|(_, softswitch), _| *softswitch != who);
            }
            _ => {}
        }
    }
}
