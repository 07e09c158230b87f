//! The reducer as operators see it: what is known of itself and of each exchange, read and never changed.

use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

use super::{Engine, ExchangeId, Phase, Readiness, Way, duration_from_ms, since};
use crate::ops::{ExchangeState, Fleet};

impl Engine {
    /// Attempts out and calls that stand, by exchange.
    pub(super) fn calls_by_exchange(&self) -> BTreeMap<ExchangeId, (usize, usize)> {
        let mut counts: BTreeMap<ExchangeId, (usize, usize)> = BTreeMap::new();
        for call in self.calls.values() {
            match call.phase {
                Phase::Out { to, .. } => counts.entry(to).or_default().0 += 1,
                Phase::Standing { at } => counts.entry(at).or_default().1 += 1,
                Phase::Open => {}
            }
        }
        counts
    }

    /// What this softswitch knows of the fleet now.
    pub(super) fn fleet(&self) -> Fleet {
        let counts = self.calls_by_exchange();
        let stands: usize = counts.values().map(|(_, standing)| standing).sum();
        let listed = self.peers.iter().filter(|(_, peer)| peer.readiness != Readiness::Removed);
        let mut exchanges: Vec<ExchangeState> = listed
            .map(|(id, peer)| {
                let own = Some(peer.number) == self.home;
                let heard = match peer.way {
                    Way::Up(exchange_conn) => {
                        self.conns.get(&exchange_conn).map(|held| since(held.heard, self.now))
                    }
                    _ => None,
                };
                let (out, standing) = counts.get(id).copied().unwrap_or_default();
                ExchangeState {
                    number: peer.number,
                    name: peer.name.to_string(),
                    readiness: if peer.readiness == Readiness::Ready { "ready" } else { "draining" },
                    connection: match peer.way {
                        _ if own => "own",
                        Way::Up(_) => "up",
                        Way::Dialling(_) => "opening",
                        Way::Down => "down",
                    },
                    group: peer.group,
                    since_heard: heard,
                    expected_delay: duration_from_ms(if own {
                        0.0
                    } else {
                        self.module.expected_delay_ms(*id)
                    }),
                    open_attempts: out,
                    established_calls: standing,
                    avoided: !own && self.module.avoids(*id),
                }
            })
            .collect();
        exchanges.sort_by(|a, b| (a.number, &a.name).cmp(&(b.number, &b.name)));
        Fleet {
            softswitch: self.name.clone(),
            home: self.home,
            at_us: since(UNIX_EPOCH, self.now).as_micros() as u64,
            uptime: since(self.started, self.now),
            draining: self.emptying.is_some() || self.draining_since.is_some() || self.leaving,
            calls: (self.calls.len() - stands, stands),
            totals: self.figures.totals(),
            refusals: self.figures.refusals(),
            exchanges,
        }
    }
}
