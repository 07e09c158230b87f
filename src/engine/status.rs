//! Status of the softswitch and of the exchanges that it knows, for operators. Nothing here changes the state.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use super::{ConnState, Engine, ExchangeId, Phase, Readiness, duration_from_ms, elapsed};
use crate::ops::{ExchangeState, Fleet};

impl Engine {
    /// Number of open attempts and of established calls, by exchange.
    pub(super) fn calls_by_exchange(&self) -> BTreeMap<ExchangeId, (usize, usize)> {
        let mut counts: BTreeMap<ExchangeId, (usize, usize)> = BTreeMap::new();
        for call in self.calls.values() {
            match call.phase {
                Phase::Attempting { exchange, .. } => counts.entry(exchange).or_default().0 += 1,
                Phase::Established { exchange, .. } => counts.entry(exchange).or_default().1 += 1,
                Phase::Waiting => {}
            }
        }
        counts
    }

    /// The state of the fleet as this softswitch knows it now.
    pub(super) fn fleet(&self) -> Fleet {
        let counts = self.calls_by_exchange();
        let established: usize = counts.values().map(|(_, established_calls)| established_calls).sum();
        let listed = self.exchanges.iter().filter(|(_, exchange)| exchange.readiness != Readiness::Removed);
        let mut exchanges: Vec<ExchangeState> = listed
            .map(|(id, exchange)| {
                let own = Some(exchange.number) == self.home;
                let since_heard = match exchange.conn {
                    ConnState::Up(exchange_conn) => self
                        .exchange_conns
                        .get(&exchange_conn)
                        .map(|conn| elapsed(conn.last_received, self.now)),
                    _ => None,
                };
                let (open_attempts, established_calls) = counts.get(id).copied().unwrap_or_default();
                ExchangeState {
                    number: exchange.number,
                    name: exchange.name.to_string(),
                    readiness: if exchange.readiness == Readiness::Ready { "ready" } else { "draining" },
                    connection: match exchange.conn {
                        _ if own => "own",
                        ConnState::Up(_) => "up",
                        ConnState::Connecting(_) => "opening",
                        ConnState::Down => "down",
                    },
                    group: exchange.group,
                    since_heard,
                    expected_delay: duration_from_ms(if own {
                        0.0
                    } else {
                        self.controller.expected_delay_ms(*id)
                    }),
                    open_attempts,
                    established_calls,
                    avoided: !own && self.controller.avoids(*id),
                }
            })
            .collect();
        exchanges.sort_by(|a, b| (a.number, &a.name).cmp(&(b.number, &b.name)));
        Fleet {
            softswitch: self.name.clone(),
            home: self.home,
            at_us: elapsed(UNIX_EPOCH, self.now).as_micros() as u64,
            uptime: elapsed(self.started_at, self.now),
            draining: self.operator_drain_since.is_some()
                || self.stopping_since.is_some()
                || self.stopping_for_successor,
            calls: (self.calls.len() - established, established),
            totals: self.metrics.totals(),
            refusals: self.metrics.refusals(),
            exchanges,
        }
    }
}
