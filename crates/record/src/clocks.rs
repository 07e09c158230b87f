//! One time for the clocks of several softswitches, from what their records prove of one another.
//!
//! A call in transit is sent by one softswitch before it comes to the next, and is ended there before the first hears
//! of that. Each such pair bounds the difference of two clocks from one side, whatever queues lie between. In each
//! window of time all bounds form a system of difference constraints; its closure (Floyd-Warshall) gives each pair its
//! tightest interval, also by way of third ones. Windows bound their neighbours by the greatest drift that a clock may
//! have. The middles of the intervals satisfy every bound at once: for a closed matrix `m`, the halves of
//! `m[r][i] - m[i][r]` differ by no more than `m[j][i]` (add the two triangle inequalities and halve).
//!
//! No I/O here. See `docs/design/0001-records-console-report.md`.

use std::collections::{BTreeMap, HashMap};

use crate::event::{AttemptOutcome, CallUid, Event, Record, ReleasedBy};

/// Length of a window, in microseconds; longer where there would be more than [`MOST_WINDOWS`].
const WINDOW_US: u64 = 2_000_000;
const MOST_WINDOWS: u64 = 4_096;
/// Greatest drift of a clock, in millionths: ten times what a quartz has, and less than NTP slews by.
const DRIFT_PPM: u64 = 200;
/// What is known of a call in transit is kept for this long: longer than any attempt, and than most calls stand.
const KEEP_US: u64 = 60_000_000;
/// No bound.
const NONE: i64 = i64::MAX / 4;

/// One thing that is known to have come before another: by the clocks, `to` minus `from` is `max_difference_us` at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Whose record is the earlier one.
    pub from: usize,
    /// Whose is the later one.
    pub to: usize,
    /// Time of the earlier one by its own clock.
    pub at_us: u64,
    /// Time of the later one less that of the earlier one, each by its own clock.
    pub max_difference_us: i64,
}

/// What the records of both sides say of one call in transit.
#[derive(Clone, Copy, Debug, Default)]
struct Transit {
    /// First sent, by the origin; last come, at the tandem.
    sent: Option<u64>,
    came: Option<u64>,
    /// First ended or answered there; last heard of by the origin.
    done: Option<u64>,
    heard: Option<u64>,
    /// The same for the end of a call that stood.
    over: Option<u64>,
    told: Option<u64>,
    /// When any of it was last touched.
    touched: u64,
}

/// Reads records and finds what bounds their clocks. Takes them in any order that is right to within some seconds.
#[derive(Debug, Default)]
pub struct BoundCollector {
    /// Softswitches by the number of their exchange; `None` where two have the same.
    by_home: HashMap<u32, Option<usize>>,
    homes: Vec<Option<u32>>,
    transits: HashMap<(CallUid, usize, usize), Transit>,
    bounds: Bounds,
    latest_us: u64,
    swept_us: u64,
}

fn first(place: &mut Option<u64>, at: u64) {
    *place = Some(place.map_or(at, |known| known.min(at)));
}

fn last(place: &mut Option<u64>, at: u64) {
    *place = Some(place.map_or(at, |known| known.max(at)));
}

impl BoundCollector {
    /// For softswitches whose own exchanges have these numbers.
    pub fn new(homes: &[Option<u32>]) -> Self {
        let mut by_home: HashMap<u32, Option<usize>> = HashMap::new();
        for (i, home) in homes.iter().enumerate() {
            if let Some(home) = home {
                by_home.entry(*home).and_modify(|known| *known = None).or_insert(Some(i));
            }
        }
        Self { by_home, homes: homes.to_vec(), ..Self::default() }
    }

    /// Takes a record of this softswitch.
    pub fn observe(&mut self, softswitch: usize, record: &Record) {
        let at = record.at_us;
        let there = |exchange: u32| self.by_home.get(&exchange).copied().flatten();
        match &record.event {
            Event::SetUp { call, transit_from: Some(from), .. } => {
                if let Some(origin) = there(*from) {
                    last(&mut self.transit(*call, origin, softswitch, at).came, at);
                }
            }
            // Direct calls are tracked for a while too: from here nobody can tell them apart.
            Event::Attempt { call, exchange, .. } => {
                if let Some(tandem) = there(*exchange) {
                    first(&mut self.transit(*call, softswitch, tandem, at).sent, at);
                }
            }
            Event::AttemptEnded { call, exchange, outcome, .. } => {
                // The others are this side's own decisions: the far one may say something later.
                let said = [AttemptOutcome::Busy, AttemptOutcome::Congested].contains(outcome);
                if let Some(tandem) = there(*exchange).filter(|_| said) {
                    last(&mut self.transit(*call, softswitch, tandem, at).heard, at);
                }
            }
            Event::Answered { call, exchange, .. } => {
                if let Some(tandem) = there(*exchange) {
                    last(&mut self.transit(*call, softswitch, tandem, at).heard, at);
                }
                self.done(softswitch, *call, at, |transit| &mut transit.done);
            }
            Event::Refused { call, .. } | Event::Failed { call, .. } => {
                self.done(softswitch, *call, at, |transit| &mut transit.done);
            }
            Event::Released { call, exchange: Some(exchange), by: ReleasedBy::Exchange, .. } => {
                if let Some(tandem) = there(*exchange) {
                    last(&mut self.transit(*call, softswitch, tandem, at).told, at);
                }
                self.done(softswitch, *call, at, |transit| &mut transit.over);
            }
            _ => {}
        }
        self.latest_us = self.latest_us.max(at);
        if self.latest_us >= self.swept_us + KEEP_US / 4 {
            self.swept_us = self.latest_us;
            let oldest = self.latest_us.saturating_sub(KEEP_US);
            self.give_up(|transit| transit.touched < oldest);
        }
    }

    fn transit(&mut self, call: CallUid, origin: usize, tandem: usize, at: u64) -> &mut Transit {
        let transit = self.transits.entry((call, origin, tandem)).or_default();
        transit.touched = transit.touched.max(at);
        transit
    }

    /// Something of a call came to its end at a tandem: for whichever origin it came from.
    fn done(&mut self, tandem: usize, call: CallUid, at: u64, place: fn(&mut Transit) -> &mut Option<u64>) {
        for origin in 0..self.homes.len() {
            if let Some(transit) = self.transits.get_mut(&(call, origin, tandem)) {
                first(place(transit), at);
                transit.touched = transit.touched.max(at);
            }
        }
    }

    /// Makes bounds of what is no longer waited for.
    fn give_up(&mut self, over: impl Fn(&Transit) -> bool) {
        let bounds = &mut self.bounds;
        self.transits.retain(|(_, origin, tandem), transit| {
            let over = over(transit);
            // Without its arrival it was a direct call, or its other side is lost.
            if over && transit.came.is_some() {
                let mut pair = |from, to, earlier: Option<u64>, later: Option<u64>| {
                    if let Some((earlier, later)) = earlier.zip(later) {
                        let max_difference_us = later.wrapping_sub(earlier) as i64;
                        bounds.add(Bound { from, to, at_us: earlier, max_difference_us });
                    }
                };
                pair(*origin, *tandem, transit.sent, transit.came);
                pair(*tandem, *origin, transit.done, transit.heard);
                pair(*tandem, *origin, transit.over, transit.told);
            }
            !over
        });
    }

    /// All bounds that were found.
    pub fn finish(mut self) -> Bounds {
        self.give_up(|_| true);
        self.bounds
    }
}

/// Bounds by window, the tightest of each pair alone.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    windows: BTreeMap<u64, HashMap<(usize, usize), i64>>,
}

impl Bounds {
    /// Adds one.
    pub fn add(&mut self, bound: Bound) {
        let window = self.windows.entry(bound.at_us / WINDOW_US).or_default();
        let most = window.entry((bound.from, bound.to)).or_insert(bound.max_difference_us);
        *most = (*most).min(bound.max_difference_us);
    }

    /// How far each of so many clocks is off the one that most is known of.
    pub fn solve(&self, softswitches: usize) -> ClockOffsets {
        let n = softswitches;
        let untied = ClockOffsets {
            window_us: WINDOW_US,
            first: 0,
            offsets: Vec::new(),
            reference: (n > 0).then_some(0),
            contradictions: 0,
        };
        let (Some(begin), Some(end)) = (self.windows.keys().next(), self.windows.keys().next_back()) else {
            return untied;
        };
        // A clock that is years off would ask for a window for each second between.
        let each = (end - begin + 1).div_ceil(MOST_WINDOWS);
        let window_us = WINDOW_US * each;
        let (begin, count) = (begin / each, end / each - begin / each + 1);
        let drift = |span_us: u64| (span_us * DRIFT_PPM / 1_000_000) as i64;
        let mut windows = vec![Matrix::open(n); count as usize];
        for (window, pairs) in &self.windows {
            let matrix = &mut windows[(window / each - begin) as usize];
            for ((from, to), most) in pairs.iter().filter(|((from, to), _)| from.max(to) < &n) {
                // It holds at its own moment; both clocks may drift until the middle of the window.
                matrix.tighten(*from, *to, most.saturating_add(drift(window_us)));
            }
        }
        let mut contradictions = 0;
        for matrix in &mut windows {
            contradictions += matrix.drop_contradictions();
            if !matrix.close() {
                (contradictions, *matrix) = (contradictions + 1, Matrix::open(n));
            }
        }
        let between = 2 * drift(window_us);
        for i in 1..windows.len() {
            let (before, after) = windows.split_at_mut(i);
            contradictions += u64::from(!after[0].tie(&before[i - 1], between));
        }
        for i in (1..windows.len()).rev() {
            let (before, after) = windows.split_at_mut(i);
            contradictions += u64::from(!before[i - 1].tie(&after[0], between));
        }
        let ties = |i: usize| {
            windows.iter().map(|m| (0..n).filter(|j| m.half(i, *j).is_some()).count()).sum::<usize>()
        };
        let reference = (0..n).max_by_key(|i| (ties(*i), std::cmp::Reverse(*i))).unwrap_or(0);
        let offsets = windows.iter().map(|matrix| (0..n).map(|i| matrix.offset(reference, i)).collect());
        let reference = Some(reference);
        ClockOffsets { window_us, first: begin, offsets: offsets.collect(), reference, contradictions }
    }
}

/// Upper bounds of all differences: `m[i][j]` is the most by which clock `j` can be ahead of clock `i`.
#[derive(Clone, Debug)]
struct Matrix {
    n: usize,
    most: Vec<i64>,
}

impl Matrix {
    fn open(n: usize) -> Self {
        let most = (0..n * n).map(|k| if k / n == k % n { 0 } else { NONE }).collect();
        Self { n, most }
    }

    fn at(&self, i: usize, j: usize) -> i64 {
        self.most[i * self.n + j]
    }

    fn tighten(&mut self, i: usize, j: usize, most: i64) {
        let place = &mut self.most[i * self.n + j];
        *place = (*place).min(most);
    }

    /// Drops pairs that contradict themselves: one wrong record must not spoil a window.
    fn drop_contradictions(&mut self) -> u64 {
        let mut dropped = 0;
        for i in 0..self.n {
            for j in i + 1..self.n {
                if self.at(i, j).saturating_add(self.at(j, i)) < 0 {
                    self.most[i * self.n + j] = NONE;
                    self.most[j * self.n + i] = NONE;
                    dropped += 1;
                }
            }
        }
        dropped
    }

    /// Floyd-Warshall; `false` if no clocks at all satisfy these bounds.
    fn close(&mut self) -> bool {
        for k in 0..self.n {
            for i in 0..self.n {
                let ik = self.at(i, k);
                if ik >= NONE {
                    continue;
                }
                for j in 0..self.n {
                    let kj = self.at(k, j);
                    if kj < NONE {
                        self.tighten(i, j, ik + kj);
                    }
                }
            }
        }
        (0..self.n).all(|i| self.at(i, i) >= 0)
    }

    /// Takes over what a neighbouring window says. Where the two cannot both be true a clock was set in between, and
    /// this one stays as it was: `false`.
    fn tie(&mut self, other: &Self, slack: i64) -> bool {
        let mut tied = self.clone();
        for (place, most) in tied.most.iter_mut().zip(&other.most) {
            if *most < NONE {
                *place = (*place).min(most + slack);
            }
        }
        for i in 0..self.n {
            tied.most[i * self.n + i] = 0;
        }
        let fits = tied.close();
        if fits {
            *self = tied;
        }
        fits
    }

    /// Half the width of the interval in which the difference of two clocks lies, if it has two ends.
    fn half(&self, i: usize, j: usize) -> Option<i64> {
        let (up, down) = (self.at(i, j), self.at(j, i));
        (up < NONE && down < NONE).then(|| (up + down) / 2)
    }

    fn offset(&self, reference: usize, i: usize) -> Option<Offset> {
        let uncertainty_us = self.half(reference, i)?;
        Some(Offset { ahead_us: (self.at(reference, i) - self.at(i, reference)) / 2, uncertainty_us })
    }
}

/// How far a clock is ahead of the reference, and by how much that may be wrong either way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    /// Ahead by so many microseconds; behind if negative.
    pub ahead_us: i64,
    /// Give or take so many.
    pub uncertainty_us: i64,
}

/// The clocks made one.
#[derive(Clone, Debug, PartialEq)]
pub struct ClockOffsets {
    window_us: u64,
    /// Number of the first window.
    first: u64,
    /// For each window, for each softswitch.
    offsets: Vec<Vec<Option<Offset>>>,
    reference: Option<usize>,
    /// Bounds or windows that contradicted others and were left out; a clock that is set shows so.
    pub contradictions: u64,
}

impl ClockOffsets {
    /// The one that the others are compared with.
    pub fn reference(&self) -> Option<usize> {
        self.reference
    }

    /// How far a clock was off at this time; `None` where nothing ties it to the reference. Between the middles of
    /// windows it is taken to change evenly.
    pub fn offset(&self, softswitch: usize, at_us: u64) -> Option<Offset> {
        let last = self.offsets.len().checked_sub(1)?;
        let of = |window: usize| self.offsets[window].get(softswitch).copied().flatten();
        // In halves of windows, since the first middle lies half a window in.
        let since = at_us.saturating_sub(self.first * self.window_us).saturating_sub(self.window_us / 2);
        let window = ((since / self.window_us) as usize).min(last);
        let next = (window + 1).min(last);
        let (a, b) = (of(window), of(next));
        let (Some(a), Some(b)) = (a, b) else { return a.or(b) };
        if window == next {
            return Some(a);
        }
        let part = (since % self.window_us) as i128;
        let between = |a: i64, b: i64| a + (i128::from(b - a) * part / i128::from(self.window_us)) as i64;
        Some(Offset {
            ahead_us: between(a.ahead_us, b.ahead_us),
            uncertainty_us: between(a.uncertainty_us, b.uncertainty_us),
        })
    }

    /// A time by one clock as the reference would have shown it.
    pub fn correct(&self, softswitch: usize, at_us: u64) -> u64 {
        self.offset(softswitch, at_us).map_or(at_us, |offset| at_us.saturating_add_signed(-offset.ahead_us))
    }

    /// The greatest uncertainty of a clock over all windows, and whether it is tied in any.
    pub fn most_uncertain(&self, softswitch: usize) -> Option<Offset> {
        let of = self.offsets.iter().filter_map(|window| window.get(softswitch).copied().flatten());
        of.max_by_key(|offset| offset.uncertainty_us)
    }
}
