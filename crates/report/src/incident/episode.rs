//! Which incidents belong together, and which of them came of which.
//!
//! A node that dies takes its calls to others: their groups run out, their processors slow down, and softswitches shed.
//! Told one by one these look like many troubles; told together they are one with its consequences.

use super::{Incident, IncidentKind};

/// Incidents that overlap, or lie no further apart, are of one episode.
const APART_US: u64 = 10_000_000;
/// A consequence begins while its cause lasts, or so long after its end at the latest: what was cut comes again.
const AFTER_US: u64 = 12_000_000;
/// Times that are told from evidence are this sure, at best.
const UNSURE_US: u64 = 1_500_000;

/// Several incidents that belong together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Episode {
    /// When the first began.
    pub begin_us: u64,
    /// When the last was over; `None` if one was not.
    pub end_us: Option<u64>,
    /// Their places among the incidents, by beginning.
    pub incidents: Vec<usize>,
}

/// How far up a chain of causes a kind stands: 0 comes of nothing else.
fn depth(kind: IncidentKind) -> u8 {
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

/// Whether one kind can come of another at all.
fn can_follow(what: &Incident, of: &Incident) -> bool {
    if of.kind == IncidentKind::ListLag || depth(what.kind) <= depth(of.kind) {
        return false;
    }
    // A stall or a slow processor elsewhere needs the calls of a node that is gone.
    match what.kind {
        IncidentKind::NodeStalled | IncidentKind::NodeSlow => what.exchange != of.exchange,
        _ => true,
    }
}

/// Finds for each incident the one that it came of, if any: the latest that had begun before it and was not long over.
/// The incidents are in the order of their beginnings.
pub fn link(incidents: &mut [Incident]) {
    for i in 0..incidents.len() {
        let what = &incidents[i];
        let came_of = |of: &Incident| {
            let begun = of.begin_us <= what.begin_us + UNSURE_US;
            let lasted = of.end_us.is_none_or(|end| what.begin_us <= end + AFTER_US);
            begun && lasted && can_follow(what, of)
        };
        let causes = incidents.iter().enumerate().filter(|(j, of)| *j != i && came_of(of));
        // The same node's own trouble explains more than another's.
        let best = causes.max_by_key(|(j, of)| (of.exchange == what.exchange, of.begin_us, *j));
        incidents[i].triggered_by = best.map(|(j, _)| j);
    }
}

/// Groups incidents into episodes. The incidents are in the order of their beginnings.
pub fn group(incidents: &[Incident]) -> Vec<Episode> {
    let mut episodes: Vec<Episode> = Vec::new();
    for (place, incident) in incidents.iter().enumerate() {
        let joins = |episode: &&mut Episode| {
            let near = episode.end_us.is_none_or(|end| incident.begin_us <= end + APART_US);
            near || incident.triggered_by.is_some_and(|cause| episode.incidents.contains(&cause))
        };
        match episodes.last_mut().filter(joins) {
            Some(episode) => {
                episode.incidents.push(place);
                episode.end_us = episode.end_us.zip(incident.end_us).map(|(a, b)| a.max(b));
            }
            None => episodes.push(Episode {
                begin_us: incident.begin_us,
                end_us: incident.end_us,
                incidents: vec![place],
            }),
        }
    }
    episodes
}
