//! The reducer as operators see it: what is known of itself and of each exchange, read and never changed.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use super::{ConnState, Engine, ExchangeId, Phase, Readiness, duration_from_ms, elapsed};
use crate::ops::{Fleet, Seen};

impl Engine {
    /// Attempts out and calls that stand, by exchange.
    pub(super) fn calls_by_exchange(&self) -> BTreeMap<ExchangeId, (usize, usize)> {
        let mut counts: BTreeMap<ExchangeId, (usize, usize)> = BTreeMap::new();
        for call in self.calls.values() {
            match call.phase {
                Phase::Attempting { exchange: to, .. } => counts.entry(to).or_default().0 += 1,
                Phase::Established { exchange: at } => counts.entry(at).or_default().1 += 1,
                Phase::Waiting => {}
            }
        }
        counts
    }

    /// What this softswitch knows of the fleet now.
    pub(super) fn fleet(&self) -> Fleet {
        let counts = self.calls_by_exchange();
        let stands: usize = counts.values().map(|(_, standing)| standing).sum();
        let listed = self.exchanges.iter().filter(|(_, exchange)| exchange.readiness != Readiness::Removed);
        let mut exchanges: Vec<Seen> = listed
            .map(|(id, exchange)| {
                let own = Some(exchange.number) == self.home;
                let heard = match exchange.conn {
                    ConnState::Up(exchange_conn) => self
                        .exchange_conns
                        .get(&exchange_conn)
                        .map(|held| elapsed(held.last_received, self.now)),
                    _ => None,
                };
                let (out, standing) = counts.get(id).copied().unwrap_or_default();
                Seen {
                    exchange: exchange.number,
                    name: exchange.name.to_string(),
                    listing: if exchange.readiness == Readiness::Ready { "ready" } else { "draining" },
                    way: match exchange.conn {
                        _ if own => "own",
                        ConnState::Up(_) => "up",
                        ConnState::Connecting(_) => "opening",
                        ConnState::Down => "down",
                    },
                    group: exchange.group,
                    heard,
                    expected: duration_from_ms(if own {
                        0.0
                    } else {
                        self.controller.expected_delay_ms(*id)
                    }),
                    out,
                    standing,
                    avoided: !own && self.controller.avoids(*id),
                }
            })
            .collect();
        exchanges.sort_by(|a, b| (a.exchange, &a.name).cmp(&(b.exchange, &b.name)));
        Fleet {
            softswitch: self.name.clone(),
            home: self.home,
            at_us: elapsed(UNIX_EPOCH, self.now).as_micros() as u64,
            up: elapsed(self.started_at, self.now),
            draining: self.draining_since.is_some()
                || self.stopping_since.is_some()
                || self.stopping_for_successor,
            calls: (self.calls.len() - stands, stands),
            ended: self.figures.ended(),
            refused: self.figures.refusals(),
            exchanges,
        }
    }
}
