//! Estimates the clock offsets of several softswitches from recorded events whose order is known.
//!
//! A call in transit is sent by the origin before it arrives at the tandem, and is answered or ended at the tandem
//! before the origin learns of it. Each such pair of events bounds the difference of the two clocks from one side,
//! whatever the delays in between. In each time window all bounds form a system of difference constraints; its closure
//! (Floyd-Warshall) gives the tightest interval for each pair of clocks, including bounds by way of other clocks.
//! Windows bound their neighbours by the maximum drift of a clock. The midpoints of the intervals satisfy all bounds at
//! once: for a closed matrix `m`, the halves of `m[r][i] - m[i][r]` and `m[r][j] - m[j][r]` differ by at most `m[j][i]`
//! (add the two triangle inequalities and halve).
//!
//! Performs no I/O. See `docs/design/0001-records-console-report.md`.

use std::collections::{BTreeMap, HashMap};

use crate::event::{AttemptOutcome, CallUid, Event, Record, ReleasedBy};

/// Length of a time window. Windows are merged if there would be more than [`MAX_WINDOWS`].
const WINDOW_US: u64 = 2_000_000;
const MAX_WINDOWS: u64 = 4_096;
/// Maximum drift of a clock: ten times that of a quartz oscillator, and less than the slew rate of NTP.
const MAX_DRIFT_PPM: u64 = 200;
/// Events of a call in transit are kept for this long: longer than any attempt and than most established calls last.
const TRANSIT_RETENTION_US: u64 = 60_000_000;
/// Value of an absent bound; a quarter of the range, so that sums of bounds do not overflow.
const UNBOUNDED: i64 = i64::MAX / 4;

/// Bound from two events of which one is known to precede the other: the clock of `to` minus that of `from` is at most
/// `max_difference_us`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Softswitch that recorded the earlier event.
    pub from: usize,
    /// Softswitch that recorded the later event.
    pub to: usize,
    /// Time of the earlier event by the clock of `from`.
    pub at_us: u64,
    /// Time of the later event minus that of the earlier one, each by the clock of its softswitch.
    pub max_difference_us: i64,
}

/// Events of one call in transit at both softswitches, each with its time by the local clock.
#[derive(Clone, Copy, Debug, Default)]
struct Transit {
    /// The origin first sent the set-up.
    sent_us: Option<u64>,
    /// The set-up last arrived at the tandem.
    arrived_us: Option<u64>,
    /// The call was first answered, refused or failed at the tandem.
    outcome_us: Option<u64>,
    /// The origin last recorded that outcome.
    outcome_seen_us: Option<u64>,
    /// The established call was first released at the tandem.
    released_us: Option<u64>,
    /// The origin last recorded that release.
    release_seen_us: Option<u64>,
    /// Latest update of any of these.
    updated_us: u64,
}

/// Collects bounds of clock differences from records. The records need to be in chronological order only to within some
/// seconds.
#[derive(Debug, Default)]
pub struct BoundCollector {
    /// Softswitches by the number of their home exchange; `None` if two have the same.
    by_home: HashMap<u32, Option<usize>>,
    homes: Vec<Option<u32>>,
    /// By call, origin and tandem.
    transits: HashMap<(CallUid, usize, usize), Transit>,
    bounds: Bounds,
    latest_us: u64,
    last_sweep_us: u64,
}

fn set_earliest(time: &mut Option<u64>, at_us: u64) {
    *time = Some(time.map_or(at_us, |known| known.min(at_us)));
}

fn set_latest(time: &mut Option<u64>, at_us: u64) {
    *time = Some(time.map_or(at_us, |known| known.max(at_us)));
}

impl BoundCollector {
    /// Creates a collector for softswitches with these home exchanges.
    pub fn new(homes: &[Option<u32>]) -> Self {
        let mut by_home: HashMap<u32, Option<usize>> = HashMap::new();
        for (i, home) in homes.iter().enumerate() {
            if let Some(home) = home {
                by_home.entry(*home).and_modify(|known| *known = None).or_insert(Some(i));
            }
        }
        Self { by_home, homes: homes.to_vec(), ..Self::default() }
    }

    /// Evaluates a record of this softswitch.
    pub fn observe(&mut self, softswitch: usize, record: &Record) {
        let at = record.at_us;
        let softswitch_of = |exchange: u32| self.by_home.get(&exchange).copied().flatten();
        match &record.event {
            Event::SetUp { call, transit_from: Some(from), .. } => {
                if let Some(origin) = softswitch_of(*from) {
                    set_latest(&mut self.transit(*call, origin, softswitch, at).arrived_us, at);
                }
            }
            // Direct calls are tracked for a while too: the records of the origin do not tell them from calls in
            // transit.
            Event::Attempt { call, exchange, .. } => {
                if let Some(tandem) = softswitch_of(*exchange) {
                    set_earliest(&mut self.transit(*call, softswitch, tandem, at).sent_us, at);
                }
            }
            Event::AttemptEnded { call, exchange, outcome, .. } => {
                // Any other outcome is a decision of this softswitch, and the tandem may record its own outcome later.
                let from_tandem = [AttemptOutcome::Busy, AttemptOutcome::Congested].contains(outcome);
                if let Some(tandem) = softswitch_of(*exchange).filter(|_| from_tandem) {
                    set_latest(&mut self.transit(*call, softswitch, tandem, at).outcome_seen_us, at);
                }
            }
            Event::Answered { call, exchange, .. } => {
                if let Some(tandem) = softswitch_of(*exchange) {
                    set_latest(&mut self.transit(*call, softswitch, tandem, at).outcome_seen_us, at);
                }
                self.note_at_tandem(softswitch, *call, at, |transit| &mut transit.outcome_us);
            }
            Event::Refused { call, .. } | Event::Failed { call, .. } => {
                self.note_at_tandem(softswitch, *call, at, |transit| &mut transit.outcome_us);
            }
            Event::Released { call, exchange: Some(exchange), by: ReleasedBy::Exchange, .. } => {
                if let Some(tandem) = softswitch_of(*exchange) {
                    set_latest(&mut self.transit(*call, softswitch, tandem, at).release_seen_us, at);
                }
                self.note_at_tandem(softswitch, *call, at, |transit| &mut transit.released_us);
            }
            _ => {}
        }
        self.latest_us = self.latest_us.max(at);
        if self.latest_us >= self.last_sweep_us + TRANSIT_RETENTION_US / 4 {
            self.last_sweep_us = self.latest_us;
            let oldest = self.latest_us.saturating_sub(TRANSIT_RETENTION_US);
            self.expire(|transit| transit.updated_us < oldest);
        }
    }

    fn transit(&mut self, call: CallUid, origin: usize, tandem: usize, at: u64) -> &mut Transit {
        let transit = self.transits.entry((call, origin, tandem)).or_default();
        transit.updated_us = transit.updated_us.max(at);
        transit
    }

    /// Notes an outcome or a release at a tandem for all origins, since the record does not name the origin.
    fn note_at_tandem(
        &mut self,
        tandem: usize,
        call: CallUid,
        at: u64,
        time_of: fn(&mut Transit) -> &mut Option<u64>,
    ) {
        for origin in 0..self.homes.len() {
            if let Some(transit) = self.transits.get_mut(&(call, origin, tandem)) {
                set_earliest(time_of(transit), at);
                transit.updated_us = transit.updated_us.max(at);
            }
        }
    }

    /// Removes the transits that have expired and derives their bounds.
    fn expire(&mut self, is_expired: impl Fn(&Transit) -> bool) {
        let bounds = &mut self.bounds;
        self.transits.retain(|(_, origin, tandem), transit| {
            let expired = is_expired(transit);
            // Without an arrival it was a direct call, or the records of the tandem are missing.
            if expired && transit.arrived_us.is_some() {
                let mut add_bound = |from, to, earlier: Option<u64>, later: Option<u64>| {
                    if let Some((earlier, later)) = earlier.zip(later) {
                        let max_difference_us = later.wrapping_sub(earlier) as i64;
                        bounds.add(Bound { from, to, at_us: earlier, max_difference_us });
                    }
                };
                add_bound(*origin, *tandem, transit.sent_us, transit.arrived_us);
                add_bound(*tandem, *origin, transit.outcome_us, transit.outcome_seen_us);
                add_bound(*tandem, *origin, transit.released_us, transit.release_seen_us);
            }
            !expired
        });
    }

    /// Returns all bounds.
    pub fn finish(mut self) -> Bounds {
        self.expire(|_| true);
        self.bounds
    }
}

/// The tightest bounds of each pair of clocks, by time window.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// By number of the window, then by `from` and `to` of a [`Bound`].
    windows: BTreeMap<u64, HashMap<(usize, usize), i64>>,
}

impl Bounds {
    /// Adds a bound.
    pub fn add(&mut self, bound: Bound) {
        let window = self.windows.entry(bound.at_us / WINDOW_US).or_default();
        let max_us = window.entry((bound.from, bound.to)).or_insert(bound.max_difference_us);
        *max_us = (*max_us).min(bound.max_difference_us);
    }

    /// Offsets of the clocks of this many softswitches, relative to the clock that is tied to most others.
    pub fn solve(&self, softswitches: usize) -> ClockOffsets {
        let n = softswitches;
        let no_offsets = ClockOffsets {
            window_us: WINDOW_US,
            first_window: 0,
            offsets: Vec::new(),
            reference: (n > 0).then_some(0),
            contradictions: 0,
        };
        let (Some(begin), Some(end)) = (self.windows.keys().next(), self.windows.keys().next_back()) else {
            return no_offsets;
        };
        // Without merging, a clock that is wrong by years would require a window for every two seconds in between.
        let merge_factor = (end - begin + 1).div_ceil(MAX_WINDOWS);
        let window_us = WINDOW_US * merge_factor;
        let (begin, count) = (begin / merge_factor, end / merge_factor - begin / merge_factor + 1);
        let drift = |span_us: u64| (span_us * MAX_DRIFT_PPM / 1_000_000) as i64;
        let mut windows = vec![BoundMatrix::unbounded(n); count as usize];
        for (window, pairs) in &self.windows {
            let matrix = &mut windows[(window / merge_factor - begin) as usize];
            for ((from, to), max_us) in pairs.iter().filter(|((from, to), _)| from.max(to) < &n) {
                // The bound holds at the time of its events; both clocks may drift until the middle of the window.
                matrix.tighten(*from, *to, max_us.saturating_add(drift(window_us)));
            }
        }
        let mut contradictions = 0;
        for matrix in &mut windows {
            contradictions += matrix.drop_contradictions();
            if !matrix.compute_closure() {
                (contradictions, *matrix) = (contradictions + 1, BoundMatrix::unbounded(n));
            }
        }
        let drift_between_windows = 2 * drift(window_us);
        for i in 1..windows.len() {
            let (before, after) = windows.split_at_mut(i);
            contradictions += u64::from(!after[0].tighten_from(&before[i - 1], drift_between_windows));
        }
        for i in (1..windows.len()).rev() {
            let (before, after) = windows.split_at_mut(i);
            contradictions += u64::from(!before[i - 1].tighten_from(&after[0], drift_between_windows));
        }
        let tie_count = |i: usize| {
            windows.iter().map(|m| (0..n).filter(|j| m.half_width(i, *j).is_some()).count()).sum::<usize>()
        };
        let reference = (0..n).max_by_key(|i| (tie_count(*i), std::cmp::Reverse(*i))).unwrap_or(0);
        let offsets = windows.iter().map(|matrix| (0..n).map(|i| matrix.offset(reference, i)).collect());
        let reference = Some(reference);
        ClockOffsets { window_us, first_window: begin, offsets: offsets.collect(), reference, contradictions }
    }
}

/// Upper bounds of all clock differences in one window: `m[i][j]` is the maximum by which clock `j` can be ahead of
/// clock `i`.
#[derive(Clone, Debug)]
struct BoundMatrix {
    clock_count: usize,
    /// Row by row.
    max_us: Vec<i64>,
}

impl BoundMatrix {
    fn unbounded(clock_count: usize) -> Self {
        let max_us = (0..clock_count * clock_count)
            .map(|k| if k / clock_count == k % clock_count { 0 } else { UNBOUNDED })
            .collect();
        Self { clock_count, max_us }
    }

    fn get(&self, i: usize, j: usize) -> i64 {
        self.max_us[i * self.clock_count + j]
    }

    fn tighten(&mut self, i: usize, j: usize, max_us: i64) {
        let bound = &mut self.max_us[i * self.clock_count + j];
        *bound = (*bound).min(max_us);
    }

    /// Removes the two bounds of each pair of clocks if they contradict each other, so that one wrong record does not
    /// invalidate the window. Returns the number of such pairs.
    fn drop_contradictions(&mut self) -> u64 {
        let mut dropped = 0;
        for i in 0..self.clock_count {
            for j in i + 1..self.clock_count {
                if self.get(i, j).saturating_add(self.get(j, i)) < 0 {
                    self.max_us[i * self.clock_count + j] = UNBOUNDED;
                    self.max_us[j * self.clock_count + i] = UNBOUNDED;
                    dropped += 1;
                }
            }
        }
        dropped
    }

    /// Computes the closure (Floyd-Warshall); `false` if the bounds are contradictory.
    fn compute_closure(&mut self) -> bool {
        for k in 0..self.clock_count {
            for i in 0..self.clock_count {
                let ik = self.get(i, k);
                if ik >= UNBOUNDED {
                    continue;
                }
                for j in 0..self.clock_count {
                    let kj = self.get(k, j);
                    if kj < UNBOUNDED {
                        self.tighten(i, j, ik + kj);
                    }
                }
            }
        }
        (0..self.clock_count).all(|i| self.get(i, i) >= 0)
    }

    /// Applies the bounds of a neighbouring window, widened by `slack`. Returns `false` and changes nothing if they
    /// contradict those of this window, as they do if a clock was set in between.
    fn tighten_from(&mut self, other: &Self, slack: i64) -> bool {
        let mut tightened = self.clone();
        for (bound, max_us) in tightened.max_us.iter_mut().zip(&other.max_us) {
            if *max_us < UNBOUNDED {
                *bound = (*bound).min(max_us + slack);
            }
        }
        for i in 0..self.clock_count {
            tightened.max_us[i * self.clock_count + i] = 0;
        }
        let consistent = tightened.compute_closure();
        if consistent {
            *self = tightened;
        }
        consistent
    }

    /// Half the width of the interval of the difference of two clocks, if it is bounded on both sides.
    fn half_width(&self, i: usize, j: usize) -> Option<i64> {
        let (max_ahead, max_behind) = (self.get(i, j), self.get(j, i));
        (max_ahead < UNBOUNDED && max_behind < UNBOUNDED).then(|| (max_ahead + max_behind) / 2)
    }

    fn offset(&self, reference: usize, i: usize) -> Option<Offset> {
        let uncertainty_us = self.half_width(reference, i)?;
        Some(Offset { ahead_us: (self.get(reference, i) - self.get(i, reference)) / 2, uncertainty_us })
    }
}

/// Offset of a clock from the reference clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    /// How far it is ahead, in microseconds; behind if negative.
    pub ahead_us: i64,
    /// Maximum error in either direction, in microseconds.
    pub uncertainty_us: i64,
}

/// Offsets of the clocks of several softswitches over time.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockOffsets {
    window_us: u64,
    /// Number of the first window, counted from the Unix epoch.
    first_window: u64,
    /// By window, then by softswitch.
    offsets: Vec<Vec<Option<Offset>>>,
    reference: Option<usize>,
    /// Number of contradictory bounds and windows that were ignored. Setting a clock causes such contradictions.
    pub contradictions: u64,
}

impl ClockOffsets {
    /// Softswitch whose clock is the reference.
    pub fn reference(&self) -> Option<usize> {
        self.reference
    }

    /// Offset of a clock at this time, linearly interpolated between the midpoints of windows; `None` if no bounds tie
    /// the clock to the reference.
    pub fn offset(&self, softswitch: usize, at_us: u64) -> Option<Offset> {
        let last = self.offsets.len().checked_sub(1)?;
        let offset_in = |window: usize| self.offsets[window].get(softswitch).copied().flatten();
        // Counted from the midpoint of the first window.
        let since =
            at_us.saturating_sub(self.first_window * self.window_us).saturating_sub(self.window_us / 2);
        let window = ((since / self.window_us) as usize).min(last);
        let next = (window + 1).min(last);
        let (a, b) = (offset_in(window), offset_in(next));
        let (Some(a), Some(b)) = (a, b) else { return a.or(b) };
        if window == next {
            return Some(a);
        }
        let fraction = (since % self.window_us) as i128;
        let interpolate =
            |a: i64, b: i64| a + (i128::from(b - a) * fraction / i128::from(self.window_us)) as i64;
        Some(Offset {
            ahead_us: interpolate(a.ahead_us, b.ahead_us),
            uncertainty_us: interpolate(a.uncertainty_us, b.uncertainty_us),
        })
    }

    /// Converts a time by the clock of a softswitch to the reference clock; unchanged if its offset is unknown.
    pub fn correct(&self, softswitch: usize, at_us: u64) -> u64 {
        self.offset(softswitch, at_us).map_or(at_us, |offset| at_us.saturating_add_signed(-offset.ahead_us))
    }

    /// The offset with the largest uncertainty over all windows; `None` if the clock is tied to the reference in none.
    pub fn most_uncertain(&self, softswitch: usize) -> Option<Offset> {
        let offsets = self.offsets.iter().filter_map(|window| window.get(softswitch).copied().flatten());
        offsets.max_by_key(|offset| offset.uncertainty_us)
    }
}
