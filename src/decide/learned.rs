//! What the decisions have learned, as plain rows that another process of the same softswitch can go on from. No
//! decision is made here.

use super::{Controller, Exchange, Leg};
use crate::interface::{ExchangeId, Number};

/// One thing learned. A reader passes over topics that it does not know and rows that are too short, so that a newer
/// program can take the place of an older one.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedValues {
    /// What it is about.
    pub topic: String,
    /// Of which exchange, if it is of one.
    pub exchange: Option<ExchangeId>,
    /// The figures, in the order that the topic has.
    pub values: Vec<f64>,
}

fn belief(topic: &str, exchange: Option<ExchangeId>, values: &[f64]) -> LearnedValues {
    LearnedValues { topic: topic.to_owned(), exchange, values: values.to_vec() }
}

/// Both halves of a key, each of which a figure holds exactly.
fn halves(key: u64) -> [f64; 2] {
    [(key >> 32) as f64, (key & 0xffff_ffff) as f64]
}

impl Controller {
    /// Everything worth handing on. What is out is not: it ends where it was sent from.
    pub fn learned_values(&self) -> Vec<LearnedValues> {
        let mut all = vec![belief("common", None, &[self.common, self.common_at])];
        for (id, e) in &self.exchanges {
            let (known, free) = e.free.map_or((0.0, 0.0), |free| (1.0, free));
            let in_vain = f64::from(u8::from(e.in_vain));
            let group = [known, free, e.total, e.full_at];
            let delay = [e.delay, e.delay_at, in_vain, e.floor, e.answered, e.answered_at];
            let record = [e.carried, e.turned_back, e.usual, e.born];
            all.push(belief("exchange", Some(*id), &[&group[..], &delay, &record].concat()));
        }
        for (number, (rate, at)) in &self.rates {
            all.push(belief("rate", None, &[f64::from(*number), *rate, *at]));
        }
        for ((tandem, dest), leg) in &self.legs {
            let carried = f64::from(u8::from(leg.carried));
            let (tandem, dest) = (f64::from(*tandem), f64::from(*dest));
            all.push(belief("leg", None, &[tandem, dest, leg.full_until, leg.absent_until, carried]));
        }
        for (key, until) in &self.gapped {
            let [high, low] = halves(*key);
            all.push(belief("gap", None, &[high, low, *until]));
        }
        // Never heard of, so no moment at all: not all texts can hold such a figure, and the default says the same.
        all.iter_mut().flat_map(|b| &mut b.values).for_each(|v| *v = v.clamp(-1e300, 1e300));
        all
    }

    /// How long a set-up to this exchange is expected to take until its answer, in ms.
    pub fn expected_delay_ms(&self, id: ExchangeId) -> f64 {
        self.expected(id)
    }

    /// Goes on from something that another process has learned; what makes no sense is passed over.
    pub fn apply_learned(&mut self, belief: &LearnedValues) {
        if belief.values.iter().any(|value| !value.is_finite()) {
            return;
        }
        let number = |value: f64| value as Number;
        match (belief.topic.as_str(), belief.exchange, &belief.values[..]) {
            ("common", _, [common, at, ..]) => (self.common, self.common_at) = (common.max(0.0), *at),
            ("exchange", Some(id), [known, free, total, full_at, rest @ ..]) => {
                let Some(exchange) = self.exchanges.get_mut(&id) else { return };
                exchange.free = (*known > 0.0).then_some(*free);
                (exchange.total, exchange.full_at) = (*total, *full_at);
                if let [delay, delay_at, in_vain, floor, answered, answered_at, record @ ..] = rest {
                    (exchange.delay, exchange.delay_at) = (delay.max(0.0), *delay_at);
                    (exchange.in_vain, exchange.floor) = (*in_vain > 0.0, floor_of(*floor));
                    (exchange.answered, exchange.answered_at) = (*answered, *answered_at);
                    adopt_record(exchange, record);
                }
            }
            ("rate", _, [exchange, rate, at, ..]) => {
                self.rates.insert(number(*exchange), (rate.max(0.0), *at));
            }
            ("leg", _, [tandem, dest, full_until, absent_until, carried, ..]) => {
                let (full_until, absent_until) = (*full_until, *absent_until);
                let leg = Leg { told: None, full_until, absent_until, carried: *carried > 0.0 };
                self.legs.insert((number(*tandem), number(*dest)), leg);
            }
            ("gap", _, [high, low, until, ..]) => {
                self.gapped.insert(((*high as u64) << 32) | *low as u64, *until);
            }
            _ => {}
        }
    }
}

/// The shortest set-up time, if there was one.
fn floor_of(value: f64) -> f64 {
    if value >= 1e300 { f64::MAX } else { value }
}

fn adopt_record(exchange: &mut Exchange, record: &[f64]) {
    let [carried, turned_back, usual, born, ..] = record else { return };
    (exchange.carried, exchange.turned_back) = (*carried, *turned_back);
    if exchange.born == *born {
        // The credit of a cold one is the other process's to spend: this one begins with none.
        (exchange.usual, exchange.credit) = (*usual, 0.0);
    }
}
