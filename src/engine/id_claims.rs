//! Call ids while one process replaces another: an id has one owner across both.
//!
//! Before a process sends a set-up to an exchange, it claims the id at its sibling. The sibling grants the claim unless it
//! has used the id itself; if both claim the same id at the same time, the predecessor gets it. What a sibling claims is
//! remembered, and so are the ids that the predecessor had used before, so that the successor knows them when the
//! predecessor has ended. A sibling that does not reply in `CLAIM_TIMEOUT` is not waited for.

use std::collections::HashMap;
use std::time::Duration;

use super::recent_ids::RecentIds;
use super::setups::{AcceptedSetUp, text_bytes};
use super::sibling::Role;
use super::timers::TimerKey;
use super::{CallUid, CallerConnId, CallerMessage, Effect, Engine, Front, Phase, SiblingMessage, Timer};
use swiftlb_record::FailureReason;

/// How long a set-up waits for the reply of the sibling. A set-up may wait for 50 ms at most.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum number of claims without a reply; set-ups beyond it are not claimed. The sibling is out of order then.
const MAX_UNANSWERED_CLAIMS: usize = 1_000;
/// How long the ids of the sibling are kept: nearly all of its calls have ended by then.
const SIBLING_ID_RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of kept ids of the sibling.
const MAX_SIBLING_IDS: usize = 16 * 1024;
/// Maximum number of ids in one message, which keeps it below the maximum length of a line.
const IDS_PER_MESSAGE: usize = 500;
/// First version of the messages that has claims.
const CLAIM_VERSION: u32 = 2;

/// A set-up that waits for the reply to the claim of its id.
#[derive(Debug)]
struct ClaimedSetUp {
    setup: AcceptedSetUp,
    timer: TimerKey,
}

/// The ids that are claimed, and those of the sibling.
#[derive(Debug)]
pub(super) struct IdClaims {
    waiting: HashMap<CallUid, ClaimedSetUp>,
    /// Number of claims that the sibling has not replied to.
    unanswered: usize,
    /// Whether the sibling has let a claim time out, and has not replied since.
    sibling_is_late: bool,
    sibling_ids: RecentIds,
}

impl Default for IdClaims {
    fn default() -> Self {
        Self {
            waiting: HashMap::new(),
            unanswered: 0,
            sibling_is_late: false,
            sibling_ids: RecentIds::new(SIBLING_ID_RETENTION, MAX_SIBLING_IDS),
        }
    }
}

impl IdClaims {
    /// Whether an id is claimed here, or was used by the sibling.
    pub(super) fn contains(&self, id: &CallUid) -> bool {
        self.waiting.contains_key(id) || self.sibling_ids.contains(id)
    }

    /// Number of set-ups that wait for a reply.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// The connections of the set-ups that wait for a reply.
    pub(super) fn caller_conns(&self) -> impl Iterator<Item = CallerConnId> {
        self.waiting.values().map(|claimed| claimed.setup.caller_conn)
    }

    /// Number of entries.
    pub(super) fn entry_count(&self) -> usize {
        self.waiting.len() + self.sibling_ids.entry_count()
    }
}

impl Engine {
    /// Whether the id of a set-up has to be claimed: the sibling accepts callers, or has accepted some.
    pub(super) fn must_claim_id(&self, front: Front) -> bool {
        let sibling_has_callers =
            matches!(self.sibling, Some(Role::Predecessor | Role::Successor { serving: true }));
        front == Front::JsonLines
            && sibling_has_callers
            && self.sibling_version >= CLAIM_VERSION
            && self.id_claims.unanswered < MAX_UNANSWERED_CLAIMS
    }

    /// Claims the id of a set-up at the sibling; the set-up waits for the reply, unless the sibling is late anyway.
    pub(super) fn claim_id(&mut self, setup: AcceptedSetUp, effects: &mut Vec<Effect>) {
        let call = setup.uid;
        effects.push(Effect::ToSibling(SiblingMessage::Claim { call }));
        self.id_claims.unanswered += 1;
        if self.id_claims.sibling_is_late {
            return self.admit_setup(setup, effects);
        }
        let timer = self.set_timer(CLAIM_TIMEOUT, Timer::ClaimOverdue(call));
        self.id_claims.waiting.insert(call, ClaimedSetUp { setup, timer });
    }

    /// Decides on a claim of the sibling.
    pub(super) fn handle_claim(&mut self, call: CallUid, effects: &mut Vec<Effect>) {
        let is_used = self.call_ids.contains_key(&call) || self.ended_calls.was_used(&call);
        let is_predecessor = matches!(self.sibling, Some(Role::Successor { .. }));
        let is_claimed = self.id_claims.waiting.contains_key(&call);
        let belongs_here = is_used || (is_claimed && is_predecessor);
        let granted = !belongs_here;
        effects.push(Effect::ToSibling(SiblingMessage::ClaimReply { call, granted }));
        if granted {
            self.id_claims.sibling_ids.add(self.now, call);
            self.turn_claimed_setup_away(call, effects);
        }
    }

    /// Handles the reply to a claim.
    pub(super) fn handle_claim_reply(&mut self, call: CallUid, granted: bool, effects: &mut Vec<Effect>) {
        self.id_claims.unanswered = self.id_claims.unanswered.saturating_sub(1);
        self.id_claims.sibling_is_late = false;
        if granted {
            if let Some(setup) = self.take_claimed_setup(call) {
                self.admit_setup(setup, effects);
            }
            return;
        }
        self.id_claims.sibling_ids.add(self.now, call);
        self.turn_claimed_setup_away(call, effects);
        self.fail_setup_admitted_too_early(call, effects);
    }

    /// Goes on with a set-up without the reply of the sibling.
    pub(super) fn claim_timed_out(&mut self, call: CallUid, effects: &mut Vec<Effect>) {
        let Some(setup) = self.take_claimed_setup(call) else { return };
        if !std::mem::replace(&mut self.id_claims.sibling_is_late, true) {
            effects.push(Effect::Log(
                "the other process does not reply; set-ups do not wait until it does".to_owned(),
            ));
        }
        self.admit_setup(setup, effects);
    }

    /// Goes on with all set-ups that wait for a reply: the sibling is gone.
    pub(super) fn end_claims(&mut self, effects: &mut Vec<Effect>) {
        (self.id_claims.unanswered, self.id_claims.sibling_is_late) = (0, false);
        for call in self.claimed_where(|_| true) {
            if let Some(setup) = self.take_claimed_setup(call) {
                self.admit_setup(setup, effects);
            }
        }
    }

    /// Tells the successor, which serves from now on, the ids that this process has used.
    pub(super) fn send_used_ids(&self, effects: &mut Vec<Effect>) {
        if self.sibling_version < CLAIM_VERSION {
            return;
        }
        let mut of_calls: Vec<CallUid> = self.call_ids.keys().copied().collect();
        of_calls.sort_unstable();
        let ids: Vec<CallUid> =
            of_calls.into_iter().chain(self.ended_calls.newest_first()).take(MAX_SIBLING_IDS).collect();
        for calls in ids.chunks(IDS_PER_MESSAGE) {
            effects.push(Effect::ToSibling(SiblingMessage::UsedIds { calls: calls.to_vec() }));
        }
    }

    /// Remembers ids that the predecessor has used.
    pub(super) fn remember_used_ids(&mut self, calls: Vec<CallUid>) {
        for call in calls {
            self.id_claims.sibling_ids.add(self.now, call);
        }
    }

    /// Drops the ids of the sibling whose time is over.
    pub(super) fn expire_sibling_ids(&mut self, effects: &mut Vec<Effect>) {
        self.id_claims.sibling_ids.expire(self.now);
        let forgotten = self.id_claims.sibling_ids.take_forgotten();
        if forgotten > 0 {
            effects.push(Effect::Log(format!(
                "too many ids of the other process to remember; {forgotten} are forgotten early"
            )));
        }
    }

    /// Drops the set-ups of a caller connection that wait for a reply; returns their ids.
    pub(super) fn drop_claimed_setups_of(&mut self, caller_conn: CallerConnId) -> Vec<CallUid> {
        let calls = self.claimed_where(|setup| setup.caller_conn == caller_conn);
        for call in &calls {
            self.drop_claimed_setup(*call);
        }
        calls
    }

    /// Drops a set-up that waits for a reply and that its caller has given up on this connection; whether there is one.
    pub(super) fn abandon_claimed_setup(&mut self, caller_conn: CallerConnId, call: CallUid) -> bool {
        let claimed = self.id_claims.waiting.get(&call);
        let is_own = claimed.is_some_and(|claimed| claimed.setup.caller_conn == caller_conn);
        if is_own {
            self.drop_claimed_setup(call);
        }
        is_own
    }

    /// Refuses the set-ups that wait for a reply, because the process is about to be killed.
    pub(super) fn refuse_claimed_setups(&mut self, effects: &mut Vec<Effect>) {
        for call in self.claimed_where(|_| true) {
            if let Some(setup) = self.take_claimed_setup(call) {
                self.refuse_accepted_setup(setup, effects);
            }
        }
    }

    fn claimed_where(&self, predicate: impl Fn(&AcceptedSetUp) -> bool) -> Vec<CallUid> {
        let claimed = self.id_claims.waiting.iter().filter(|(_, claimed)| predicate(&claimed.setup));
        let mut calls: Vec<CallUid> = claimed.map(|(call, _)| *call).collect();
        calls.sort_unstable();
        calls
    }

    fn take_claimed_setup(&mut self, call: CallUid) -> Option<AcceptedSetUp> {
        let ClaimedSetUp { setup, timer } = self.id_claims.waiting.remove(&call)?;
        self.timers.cancel(Some(timer));
        Some(setup)
    }

    fn drop_claimed_setup(&mut self, call: CallUid) {
        if let Some(setup) = self.take_claimed_setup(call) {
            self.uncount_open_setup(text_bytes(&setup.setup));
            self.remember_turned_away(call);
        }
    }

    /// Turns a set-up away whose id belongs to the sibling, like one whose id is in use here.
    fn turn_claimed_setup_away(&mut self, call: CallUid, effects: &mut Vec<Effect>) {
        if let Some(setup) = self.take_claimed_setup(call) {
            self.uncount_open_setup(text_bytes(&setup.setup));
            self.abort_caller_conn(setup.caller_conn, FailureReason::DuplicateCallId, effects);
        }
    }

    /// Fails a set-up that was admitted while the sibling was late, which has used its id.
    fn fail_setup_admitted_too_early(&mut self, call: CallUid, effects: &mut Vec<Effect>) {
        let Some(id) = self.call_ids.get(&call).copied() else { return };
        if matches!(self.calls[&id].phase, Phase::Established { .. }) {
            return;
        }
        self.cancel_and_report(id, effects);
        let message = CallerMessage::Failed { busy: false };
        self.end_call_with_reason(id, message, Some(FailureReason::DuplicateCallId), effects);
    }
}
