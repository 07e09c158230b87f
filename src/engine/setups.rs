//! Set-ups, from their arrival until the decision module decides on them.

use super::{
    Call, CallUid, CallerConnId, CallerMessage, DECISION_GRACE, Effect, Engine, Event, Front, NewCall, Phase,
    SetUp, Timer, duration_to_ms, elapsed,
};
use swiftlb_record::{FailureReason, RefusalReason};

/// Maximum number of open set-ups, those without a final outcome. Bounds the memory; any more would not get one in
/// time.
const MAX_OPEN_SETUPS: usize = 1_000;
/// Share of the memory limit of the process that the texts of all open set-ups may use, and the most that they may use, in
/// bytes.
const OPEN_TEXT_SHARE: usize = 8;
const MAX_OPEN_TEXT_BYTES: usize = 4 << 20;

/// A valid set-up that is within the limits and counts as open.
#[derive(Debug)]
pub(super) struct AcceptedSetUp {
    pub(super) caller_conn: CallerConnId,
    pub(super) uid: CallUid,
    front: Front,
    pub(super) setup: SetUp,
}

impl Engine {
    /// Handles a set-up: offers the call to the decision module, fails it if it is invalid, or refuses it if it is
    /// beyond the limits or arrives on the IAX2 front during a drain. An id in use, or used a short time ago, closes a
    /// JSON-lines connection.
    pub(super) fn handle_setup(
        &mut self,
        caller_conn: CallerConnId,
        uid: CallUid,
        setup: SetUp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(front) = self.caller_conns.get(&caller_conn).map(|conn| conn.front) else {
            return;
        };
        if self.is_id_used(&uid) {
            // A message with this id could be taken for the outcome of the call that already has the id, or has had it; and
            // a call that was sent to an exchange could run twice.
            return self.abort_caller_conn(caller_conn, FailureReason::DuplicateCallId, effects);
        }
        let Some(class) = self.class_of(&setup) else {
            return self.fail_malformed(caller_conn, uid, effects);
        };
        self.conn_placed_setup(caller_conn, effects);
        let bytes = text_bytes(&setup);
        let limits = &self.classes[class];
        let deadline = setup.received + setup.remaining.unwrap_or(limits.max_wait);
        let fits = self.fits_before_exit(deadline, limits.target_setup);
        if let Some(reason) = self.refusal_on_arrival(front, fits, bytes) {
            return self.refuse_on_arrival(caller_conn, uid, &setup.class, reason, effects);
        }
        self.open_setups += 1;
        self.open_text_bytes += bytes;
        let setup = AcceptedSetUp { caller_conn, uid, front, setup };
        if self.must_claim_id(front) {
            self.claim_id(setup, effects);
        } else {
            self.admit_setup(setup, effects);
        }
    }

    /// Whether an id belongs to a call, or did so a short time ago, in this process or its sibling.
    fn is_id_used(&self, uid: &CallUid) -> bool {
        self.call_ids.contains_key(uid) || self.ended_calls.was_used(uid) || self.id_claims.contains(uid)
    }

    /// The index of the class of a set-up, unless that is unknown. Values that are invalid for the class must not reach an
    /// exchange, which would accept them as they are.
    fn class_of(&self, setup: &SetUp) -> Option<usize> {
        let index = self.classes.iter().position(|class| class.name == setup.class)?;
        let class = &self.classes[index];
        let is_valid = setup.remaining.is_none_or(|remaining| remaining <= class.max_wait)
            && setup.width.is_none_or(|width| width == class.width);
        is_valid.then_some(index)
    }

    /// Makes a call of a set-up and offers it to the decision module.
    pub(super) fn admit_setup(&mut self, accepted: AcceptedSetUp, effects: &mut Vec<Effect>) {
        // The classes may have changed while the set-up waited.
        let Some(class) = self.class_of(&accepted.setup) else {
            self.uncount_open_setup(text_bytes(&accepted.setup));
            return self.fail_malformed(accepted.caller_conn, accepted.uid, effects);
        };
        let AcceptedSetUp { caller_conn, uid, front, setup } = accepted;
        let text_bytes = text_bytes(&setup);
        let limits = &self.classes[class];
        let width = setup.width.unwrap_or(limits.width);
        // The caller's waiting time starts when the last byte of the set-up was received, not when it is handled.
        let deadline = self.deadline_before_exit(setup.received + setup.remaining.unwrap_or(limits.max_wait));
        self.last_call = self.last_call.wrapping_add(1);
        let id = self.last_call;
        self.controller_events.push_back(Event::Call(NewCall {
            call: id,
            class,
            tenant: 0,
            width,
            dest: setup.dest,
            called_number: setup.called_number.as_deref().map_or(0, called_number_id),
            remaining_ms: duration_to_ms(elapsed(self.now, deadline)),
            transit_from: setup.transit_from,
            advised_route: setup.advised_route,
            redial: false,
            was_cut: setup.was_cut,
        }));
        let overdue_timer =
            self.set_timer(elapsed(self.now, deadline) + DECISION_GRACE, Timer::DecisionOverdue(id));
        self.call_ids.insert(uid, id);
        self.calls.insert(
            id,
            Call {
                uid,
                caller_conn,
                front,
                class: setup.class,
                dest: setup.dest,
                width,
                called_number: setup.called_number,
                description: setup.description,
                text_bytes,
                received_at: setup.received,
                deadline,
                phase: Phase::Waiting,
                attempt_count: 0,
                paused_until: None,
                busy: false,
                last_attempt: None,
                overdue_timer: Some(overdue_timer),
                attempt_timer: None,
            },
        );
        self.record_setup(id, setup.dest, setup.transit_from, setup.was_cut);
    }

    /// Refuses a set-up that was accepted and is not a call yet, because the process is about to be killed.
    pub(super) fn refuse_accepted_setup(&mut self, accepted: AcceptedSetUp, effects: &mut Vec<Effect>) {
        let AcceptedSetUp { caller_conn, uid, setup, .. } = accepted;
        self.uncount_open_setup(text_bytes(&setup));
        self.refuse_on_arrival(caller_conn, uid, &setup.class, RefusalReason::Draining, effects);
    }

    /// Stops counting a set-up towards the limits of open set-ups.
    pub(super) fn uncount_open_setup(&mut self, bytes: usize) {
        self.open_setups = self.open_setups.saturating_sub(1);
        self.open_text_bytes = self.open_text_bytes.saturating_sub(bytes);
    }

    /// Why a set-up is refused before the decision module sees it, if it is; `fits` says whether the shutdown leaves it
    /// enough time.
    fn refusal_on_arrival(&self, front: Front, fits: bool, text_bytes: usize) -> Option<RefusalReason> {
        // During an operator's drain, and while a successor serves after a request to stop, IAX2 set-ups are refused
        // one by one: endpoints send them directly, without a platform that stops sending after a failed health check.
        let draining = self.operator_drain_since.is_some() || self.stopping_for_successor;
        if !fits || (draining && front == Front::Iax2) {
            return Some(RefusalReason::Draining);
        }
        let too_many = self.open_setups >= MAX_OPEN_SETUPS
            || self.open_text_bytes + text_bytes > self.max_open_text_bytes;
        too_many.then_some(RefusalReason::TooManySetUps)
    }

    fn refuse_on_arrival(
        &mut self,
        caller_conn: CallerConnId,
        call: CallUid,
        class: &str,
        reason: RefusalReason,
        effects: &mut Vec<Effect>,
    ) {
        self.metrics.count_refused(class);
        let retry_after = self.retry_after_exit().unwrap_or(self.max_retry_after);
        self.remember_turned_away(call);
        self.record_refusal(call, reason, retry_after);
        effects.push(Effect::ToCaller { caller_conn, call, message: CallerMessage::Refused { retry_after } });
        self.close_conn_after_outcome(caller_conn, effects);
    }
}

/// The bytes of a set-up whose number the caller chooses: its class, number and description.
pub(super) fn text_bytes(setup: &SetUp) -> usize {
    let number = setup.called_number.as_ref().map_or(0, String::len);
    let description = setup.description.as_ref().map_or(0, |text| text.len());
    setup.class.len() + number + description
}

/// The bytes that the texts of all open set-ups may use in a process with this memory limit.
pub(super) fn max_open_text_bytes(memory_limit_bytes: usize) -> usize {
    (memory_limit_bytes / OPEN_TEXT_SHARE).min(MAX_OPEN_TEXT_BYTES)
}

/// The number called in the form of the decision module: the value of hexadecimal digits, as the platform sends them,
/// otherwise an FNV-1a hash of the text. Never 0, which means that no number was called.
fn called_number_id(number: &str) -> u64 {
    let hash = || {
        number
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    u64::from_str_radix(number, 16).unwrap_or_else(|_| hash()).max(1)
}
