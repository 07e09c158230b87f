//! A bounded set of ids that are remembered for a while.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, SystemTime};

use super::{CallUid, elapsed};

/// Ids in the order in which they were added, each once, with the time.
#[derive(Debug)]
pub(super) struct RecentIds {
    retention: Duration,
    max: usize,
    queue: VecDeque<(SystemTime, CallUid)>,
    ids: HashSet<CallUid>,
    /// Number of ids that were removed before their time since the last [`Self::take_forgotten`].
    forgotten: u64,
}

impl RecentIds {
    /// A set that keeps each id for `retention`, and at most the `max` that were added last.
    pub(super) fn new(retention: Duration, max: usize) -> Self {
        Self { retention, max, queue: VecDeque::new(), ids: HashSet::new(), forgotten: 0 }
    }

    pub(super) fn add(&mut self, now: SystemTime, id: CallUid) {
        if self.ids.insert(id) {
            self.queue.push_back((now, id));
        }
        if self.queue.len() > self.max {
            self.remove_oldest();
            self.forgotten += 1;
        }
    }

    pub(super) fn contains(&self, id: &CallUid) -> bool {
        self.ids.contains(id)
    }

    /// The ids, those added last first.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = CallUid> {
        self.queue.iter().rev().map(|(_, id)| *id)
    }

    /// Removes the ids whose time is over.
    pub(super) fn expire(&mut self, now: SystemTime) {
        while self.queue.front().is_some_and(|(at, _)| elapsed(*at, now) > self.retention) {
            self.remove_oldest();
        }
    }

    /// Number of ids that were removed before their time since the last call.
    pub(super) fn take_forgotten(&mut self) -> u64 {
        std::mem::take(&mut self.forgotten)
    }

    /// Number of entries; each id is counted twice, in the order of the times and as a member of the set.
    pub(super) fn entry_count(&self) -> usize {
        self.queue.len() + self.ids.len()
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.queue.pop_front() {
            self.ids.remove(&id);
        }
    }
}
