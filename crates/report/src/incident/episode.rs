//! Groups incidents that belong together and finds which of them triggered which.
//!
//! When a node dies, its calls go to other nodes: circuit groups run out, processors slow down, and softswitches shed
//! calls. An episode shows such incidents as one failure and its consequences.

use super::{Incident, IncidentKind};

/// Longest time between the end of an episode and the beginning of a further incident that still belongs to it.
const MAX_EPISODE_GAP_US: u64 = 10_000_000;
/// Longest time between the end of an incident and the beginning of one that it triggered: cut calls are set up again.
const MAX_TRIGGER_DELAY_US: u64 = 12_000_000;
/// Uncertainty of a beginning that is derived from evidence: a trigger may seem to begin this much after its
/// consequence.
const BEGIN_UNCERTAINTY_US: u64 = 1_500_000;

/// Incidents that belong together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Episode {
    /// When the first incident began, in corrected Unix microseconds.
    pub begin_us: u64,
    /// When the last incident ended; `None` if one did not end.
    pub end_us: Option<u64>,
    /// Indices of the incidents, in the order of their beginnings.
    pub incidents: Vec<usize>,
}

/// Depth of a kind in a chain of triggers: an incident is only triggered by one of less depth. Depth 0 has no trigger.
fn trigger_depth(kind: IncidentKind) -> u8 {
    match kind {
        IncidentKind::NodeDied
        | IncidentKind::NodeReplaced
        | IncidentKind::SoftswitchCrashed
        | IncidentKind::ListLag => 0,
        IncidentKind::NodeStalled => 1,
        IncidentKind::NodeSlow => 2,
        IncidentKind::NoFreeCircuits => 3,
        IncidentKind::CallsShed => 4,
    }
}

/// Whether one incident can have triggered another, judged by their kinds and exchanges. A list lag triggers none.
fn can_be_triggered_by(incident: &Incident, trigger: &Incident) -> bool {
    if trigger.kind == IncidentKind::ListLag || trigger_depth(incident.kind) <= trigger_depth(trigger.kind) {
        return false;
    }
    // A stall or slowness is a consequence only at another node, which receives the calls of the failed one.
    match incident.kind {
        IncidentKind::NodeStalled | IncidentKind::NodeSlow => incident.exchange != trigger.exchange,
        _ => true,
    }
}

/// Sets the trigger of each incident, if there is one: an incident that had begun by then (within
/// `BEGIN_UNCERTAINTY_US`) and had not ended more than `MAX_TRIGGER_DELAY_US` before, preferably of the same exchange,
/// and of several the one that began last. Expects the incidents in the order of their beginnings.
pub fn find_triggers(incidents: &mut [Incident]) {
    for i in 0..incidents.len() {
        let incident = &incidents[i];
        let may_be_triggered_by = |trigger: &Incident| {
            let begun = trigger.begin_us <= incident.begin_us + BEGIN_UNCERTAINTY_US;
            let lasted = trigger.end_us.is_none_or(|end| incident.begin_us <= end + MAX_TRIGGER_DELAY_US);
            begun && lasted && can_be_triggered_by(incident, trigger)
        };
        let triggers =
            incidents.iter().enumerate().filter(|(j, trigger)| *j != i && may_be_triggered_by(trigger));
        // An incident of the same node is a likelier trigger than one of another node.
        let best =
            triggers.max_by_key(|(j, trigger)| (trigger.exchange == incident.exchange, trigger.begin_us, *j));
        incidents[i].triggered_by = best.map(|(j, _)| j);
    }
}

/// Groups incidents into episodes. Expects them in the order of their beginnings.
pub fn group_into_episodes(incidents: &[Incident]) -> Vec<Episode> {
    let mut episodes: Vec<Episode> = Vec::new();
    for (index, incident) in incidents.iter().enumerate() {
        let belongs = |episode: &&mut Episode| {
            let is_near = episode.end_us.is_none_or(|end| incident.begin_us <= end + MAX_EPISODE_GAP_US);
            is_near || incident.triggered_by.is_some_and(|trigger| episode.incidents.contains(&trigger))
        };
        match episodes.last_mut().filter(belongs) {
            Some(episode) => {
                episode.incidents.push(index);
                episode.end_us = episode.end_us.zip(incident.end_us).map(|(a, b)| a.max(b));
            }
            None => episodes.push(Episode {
                begin_us: incident.begin_us,
                end_us: incident.end_us,
                incidents: vec![index],
            }),
        }
    }
    episodes
}
