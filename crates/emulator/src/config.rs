//! Configuration of a softswitch of the mesh, as the platform provides it.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::model::ListedExchange;
use crate::scenario::{CLASSES, CallClass};

/// Odd multiplier that spreads the seed of the mesh over all 64 bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Values of the configuration that differ between runs or softswitches.
#[derive(Clone, Copy, Debug)]
pub struct SoftswitchConfig {
    /// Number of the softswitch, which is also that of its exchange.
    pub number: usize,
    /// Number of nodes of the mesh.
    pub node_count: usize,
    /// Address at which the softswitch accepts calls.
    pub listen: SocketAddr,
    /// Address of the operators' HTTP interface.
    pub operator: SocketAddr,
    /// Address of its resolver.
    pub resolver: SocketAddr,
    /// Seed of the mesh; that of the softswitch is derived from it and from its number.
    pub seed: u64,
    /// Wall-clock time at which the model's time started.
    pub epoch: SystemTime,
}

/// Name of the zone of a node.
pub fn zone(node: usize) -> &'static str {
    ["wien", "linz", "graz"][node % 3]
}

/// Converts the start of a processor from the model's time to Unix time in milliseconds; 0 if it started before the
/// run.
pub fn started_ms(epoch: SystemTime, started_at: Option<Duration>) -> u128 {
    started_at.map_or(0, |started_at| {
        (epoch + started_at).duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
    })
}

impl SoftswitchConfig {
    /// The configuration as JSON, with this version of the list of exchanges.
    pub fn to_json(&self, serial: u32, list: &[(ListedExchange, SocketAddr)]) -> String {
        let Self { number, node_count, listen, operator, resolver, .. } = self;
        let mut members = String::new();
        for (entry, address) in list {
            let comma = if members.is_empty() { "" } else { "," };
            let phase = if entry.draining { "terminating" } else { "in_service" };
            let started_ms = started_ms(self.epoch, entry.started_at);
            let _ = write!(
                members,
                r#"{comma}{{"id":"{}","host_port":"{address}","locality":"{}","flavor":"std","cell":{},"phase":"{phase}","size":1,"up_since_ms":{started_ms}}}"#,
                entry.name,
                zone(entry.exchange),
                entry.exchange,
            );
        }
        let seed = self.seed.wrapping_mul(SEED_MULTIPLIER) ^ *number as u64;
        let for_each_class =
            |format: &dyn Fn(&CallClass) -> String| CLASSES.iter().map(format).collect::<Vec<_>>().join(",");
        let classes = for_each_class(&|class| {
            format!(
                r#"{{"name":"{}","aimMs":{},"hardLimitMs":{},"lateShare":{},"worth":{},"semantics":"pure"}}"#,
                class.name,
                class.target_setup.as_millis(),
                class.abandon_after.as_millis(),
                class.late_worth_factor,
                class.worth
            )
        });
        let (widths, mean_holds) = (
            for_each_class(&|_| "1".to_owned()),
            for_each_class(&|class| class.mean_hold.as_millis().to_string()),
        );
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","operator":"{operator}","seed":"{seed:016x}","names":"{resolver}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"n":{serial},"events":[{{"n":{serial},"members":{{"revision":0,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"balancers":{node_count},"selfIndex":{number},"classes":[{classes}],"tenants":[],"overShareWorth":0.1,
"discovery":"push","report":{{"fields":["spare","total"],"via":"on_probe"}},"tickMs":5,"zones":["wien","linz","graz"],
"invariants":{{"askEveryMs":10000,"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5,"stopSendingWithinMs":2000,"tipAfterMs":2000}},
"policyLimits":{{"cancelling":true,"connectTimeoutMs":500,"maxRetryAfterMs":2000,"mayTell":false,"probes":false,"retryAfter":true,"tryLimit":4}},
"specifics":{{"channelsNeeded":[{widths}],"classCells":[],"classHoldMs":[{mean_holds}],"farState":"off","homeOffice":{number},"releaseMs":500,"resendMs":500,"shape":"meshed"}}}}}}
"#
        )
    }
}
