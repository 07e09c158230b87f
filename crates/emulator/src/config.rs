//! What a softswitch of the mesh is told at its start, as the platform words it.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::model::ListedExchange;
use crate::scenario::{CLASSES, CallClass};

/// A softswitch of the mesh.
#[derive(Clone, Copy, Debug)]
pub struct SoftswitchConfig {
    /// Its number, which is that of its exchange.
    pub number: usize,
    /// Nodes of the mesh.
    pub node_count: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it listens for operators.
    pub operator: SocketAddr,
    /// Its resolver.
    pub resolver: SocketAddr,
    /// Seed of the mesh.
    pub seed: u64,
    /// The moment at which the world began.
    pub epoch: SystemTime,
}

/// Zone of a node, as the softswitches are told it.
pub fn zone(node: usize) -> &'static str {
    ["wien", "linz", "graz"][node % 3]
}

/// Start of a processor in Unix milliseconds; 0 for long ago.
pub fn started_ms(epoch: SystemTime, started_at: Option<Duration>) -> u128 {
    started_at.map_or(0, |started_at| {
        (epoch + started_at).duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
    })
}

impl SoftswitchConfig {
    /// Its configuration with this list of exchanges.
    pub fn to_json(&self, serial: u32, list: &[(ListedExchange, SocketAddr)]) -> String {
        let Self { number, node_count, listen, operator, resolver, .. } = self;
        let mut members = String::new();
        for (entry, address) in list {
            let comma = if members.is_empty() { "" } else { "," };
            let phase = if entry.draining { "terminating" } else { "in_service" };
            let started_at = started_ms(self.epoch, entry.started_at);
            let _ = write!(
                members,
                r#"{comma}{{"id":"{}","host_port":"{address}","locality":"{}","flavor":"std","cell":{},"phase":"{phase}","size":1,"up_since_ms":{started_at}}}"#,
                entry.name,
                zone(entry.exchange),
                entry.exchange,
            );
        }
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *number as u64;
        let each = |one: &dyn Fn(&CallClass) -> String| CLASSES.iter().map(one).collect::<Vec<_>>().join(",");
        let classes = each(&|class| {
            format!(
                r#"{{"name":"{}","aimMs":{},"hardLimitMs":{},"lateShare":{},"worth":{},"semantics":"pure"}}"#,
                class.name,
                class.target_setup.as_millis(),
                class.abandon_after.as_millis(),
                class.late_worth_factor,
                class.worth
            )
        });
        let (widths, holds) =
            (each(&|_| "1".to_owned()), each(&|class| class.mean_hold.as_millis().to_string()));
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","operator":"{operator}","seed":"{seed:016x}","names":"{resolver}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"n":{serial},"events":[{{"n":{serial},"members":{{"revision":0,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"balancers":{node_count},"selfIndex":{number},"classes":[{classes}],"tenants":[],"overShareWorth":0.1,
"discovery":"push","report":{{"fields":["spare","total"],"via":"on_probe"}},"tickMs":5,"zones":["wien","linz","graz"],
"invariants":{{"askEveryMs":10000,"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5,"stopSendingWithinMs":2000,"tipAfterMs":2000}},
"policyLimits":{{"cancelling":true,"connectTimeoutMs":500,"maxRetryAfterMs":2000,"mayTell":false,"probes":false,"retryAfter":true,"tryLimit":4}},
"specifics":{{"channelsNeeded":[{widths}],"classCells":[],"classHoldMs":[{holds}],"farState":"off","homeOffice":{number},"releaseMs":500,"resendMs":500,"shape":"meshed"}}}}}}
"#
        )
    }
}
