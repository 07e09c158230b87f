//! What the decision module has learned, as rows of values that another process of the same softswitch can
//! continue from. Nothing is decided here.

use super::{Controller, Exchange, Leg};
use crate::interface::{ExchangeId, Number};

/// Learned values of one topic. A receiver ignores topics that it does not know and rows that are too short, so that
/// a process of a newer version can replace one of an older version.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedValues {
    /// What the values describe; sent between processes under this name.
    pub topic: String,
    /// The exchange that they concern, if any.
    pub exchange: Option<ExchangeId>,
    /// The values, in an order fixed for each topic.
    pub values: Vec<f64>,
}

fn row(topic: &str, exchange: Option<ExchangeId>, values: &[f64]) -> LearnedValues {
    LearnedValues { topic: topic.to_owned(), exchange, values: values.to_vec() }
}

/// The upper and lower half of a number called; an `f64` holds each of them exactly.
fn halves(called_number: u64) -> [f64; 2] {
    [(called_number >> 32) as f64, (called_number & 0xffff_ffff) as f64]
}

impl Controller {
    /// All learned values that are of use to another process. Open attempts are not among them: they end in the
    /// process that sent them.
    pub fn learned_values(&self) -> Vec<LearnedValues> {
        let mut rows = vec![row("common", None, &[self.common_delay, self.common_delay_at])];
        for (id, e) in &self.exchanges {
            let (known, free) = e.free_circuits.map_or((0.0, 0.0), |free| (1.0, free));
            let without_reply = f64::from(u8::from(e.delay_without_reply));
            let group = [known, free, e.total_circuits, e.full_at];
            let delay =
                [e.delay, e.delay_at, without_reply, e.min_setup_ms, e.replied_sent_at, e.last_reply_at];
            let history = [e.carried, e.cranked_back, e.usual_rate, e.started_ms];
            rows.push(row("exchange", Some(*id), &[&group[..], &delay, &history].concat()));
        }
        for (number, (rate, at)) in &self.send_rates {
            rows.push(row("rate", None, &[f64::from(*number), *rate, *at]));
        }
        for ((tandem, dest), leg) in &self.legs {
            let has_carried = f64::from(u8::from(leg.has_carried));
            let (tandem, dest) = (f64::from(*tandem), f64::from(*dest));
            rows.push(row("leg", None, &[tandem, dest, leg.full_until, leg.absent_until, has_carried]));
        }
        for (called_number, until) in &self.gapped_until {
            let [high, low] = halves(*called_number);
            rows.push(row("gap", None, &[high, low, *until]));
        }
        // f64::MIN and f64::MAX stand for "never". Not every text format can hold them, and the receiver reads the
        // clamped values as the same.
        rows.iter_mut().flat_map(|r| &mut r.values).for_each(|v| *v = v.clamp(-1e300, 1e300));
        rows
    }

    /// Expected set-up time of a call to this exchange, in ms.
    pub fn expected_delay_ms(&self, id: ExchangeId) -> f64 {
        self.expected_setup_ms(id)
    }

    /// Takes over values that another process has learned; invalid ones are ignored.
    pub fn apply_learned(&mut self, learned: &LearnedValues) {
        if learned.values.iter().any(|value| !value.is_finite()) {
            return;
        }
        let number = |value: f64| value as Number;
        match (learned.topic.as_str(), learned.exchange, &learned.values[..]) {
            ("common", _, [delay, at, ..]) => {
                (self.common_delay, self.common_delay_at) = (delay.max(0.0), *at);
            }
            ("exchange", Some(id), [known, free, total, full_at, rest @ ..]) => {
                let Some(exchange) = self.exchanges.get_mut(&id) else { return };
                exchange.free_circuits = (*known > 0.0).then_some(*free);
                (exchange.total_circuits, exchange.full_at) = (*total, *full_at);
                if let [delay, delay_at, without_reply, min_setup_ms, sent_at, reply_at, history @ ..] = rest
                {
                    (exchange.delay, exchange.delay_at) = (delay.max(0.0), *delay_at);
                    (exchange.delay_without_reply, exchange.min_setup_ms) =
                        (*without_reply > 0.0, min_setup_from(*min_setup_ms));
                    (exchange.replied_sent_at, exchange.last_reply_at) = (*sent_at, *reply_at);
                    apply_history(exchange, history);
                }
            }
            ("rate", _, [exchange, rate, at, ..]) => {
                self.send_rates.insert(number(*exchange), (rate.max(0.0), *at));
            }
            ("leg", _, [tandem, dest, full_until, absent_until, has_carried, ..]) => {
                let (full_until, absent_until) = (*full_until, *absent_until);
                let leg = Leg { reported: None, full_until, absent_until, has_carried: *has_carried > 0.0 };
                self.legs.insert((number(*tandem), number(*dest)), leg);
            }
            ("gap", _, [high, low, until, ..]) => {
                self.gapped_until.insert(((*high as u64) << 32) | *low as u64, *until);
            }
            _ => {}
        }
    }
}

/// A shortest set-up time as received: from 1e300 on it means that there is none yet.
fn min_setup_from(value: f64) -> f64 {
    if value >= 1e300 { f64::MAX } else { value }
}

fn apply_history(exchange: &mut Exchange, history: &[f64]) {
    let [carried, cranked_back, usual_rate, started_ms, ..] = history else { return };
    (exchange.carried, exchange.cranked_back) = (*carried, *cranked_back);
    if exchange.started_ms == *started_ms {
        // The other process uses the cold credit of this exchange, so this process starts with none.
        (exchange.usual_rate, exchange.cold_credit) = (*usual_rate, 0.0);
    }
}
