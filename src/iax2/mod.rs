//! IAX2 toward callers and exchanges: the configuration, and the endpoint that maps IAX2 legs to calls.
//!
//! [`Endpoint`] does no I/O and reads no clock: the driver passes datagrams, messages of the engine and the
//! current time to it, and gets back datagrams to send and inputs for the engine. The engine handles calls,
//! deadlines and attempts in the same way as for JSON lines.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use crate::config::{ConfigError, JsonNode, parse_json};
use crate::engine::{CallUid, CallerConnId, CallerMessage, ExchangeConnId, ExchangeMessage, Input, SetUp};
use crate::interface::{Number, Outcome, Reason};
use element::{
    G711_FORMATS, InformationElements, PROTOCOL_VERSION, Q850_CALL_REJECTED, Q850_INVALID_MESSAGE,
    Q850_NO_CIRCUIT, Q850_NORMAL_CLEARING, Q850_PROTOCOL_ERROR, Q850_SWITCHING_EQUIPMENT_CONGESTION,
    Q850_TEMPORARY_FAILURE, Q850_UNALLOCATED_NUMBER, Q850_USER_BUSY, cause_elements, outcome_of,
};
use frame::{Frame, FrameType, FullFrame, MiniFrame, control, iax};
use leg::{Leg, Received, VoiceFrame};

pub mod element;
pub mod frame;
pub mod leg;

/// Interval at which a POKE is retransmitted until its PONG arrives.
const POKE_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);
/// Time after the removal of a caller's leg during which another NEW with the same call number and timestamp counts as a
/// duplicate.
const DUPLICATE_NEW_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of calls from callers, including those whose leg is closing. It bounds memory use, since the memory
/// of the process is limited.
const MAX_CALLER_LEGS: usize = 4_096;
/// Maximum number of legs toward callers and exchanges, including closing legs.
const MAX_LEGS: usize = 3 * MAX_CALLER_LEGS;
/// Call numbers have 15 bits.
const MAX_CALL_NUMBER: u16 = 0x7fff;
/// Source call number of a PONG in reply to a POKE; reserved, so that no leg has it.
const POKE_CALL_NUMBER: u16 = 1;

/// Configuration of IAX2 (`iax2.json`).
#[derive(Clone, Debug, PartialEq)]
pub struct Iax2Config {
    /// Address of the UDP socket that is used for both callers and exchanges.
    pub listen: SocketAddr,
    contexts: Vec<Context>,
    iax2_exchanges: Vec<Number>,
}

/// A context (RFC 5456): the numbering plan that a called number is looked up in.
#[derive(Clone, Debug, PartialEq)]
struct Context {
    name: String,
    class: String,
    exchange_by_prefix: Vec<(String, Number)>,
}

impl Iax2Config {
    /// Parses the configuration file; `None` if IAX2 is disabled.
    ///
    /// # Errors
    /// If the file is malformed. The error names the key.
    pub fn parse(text: &str) -> Result<Option<Self>, ConfigError> {
        let json = parse_json(text).map_err(ConfigError::NotJson)?;
        let top = JsonNode { path: String::new(), value: &json };
        if !top.flag("enabled")? {
            return Ok(None);
        }
        let exchange_number = |node: &JsonNode<'_>| {
            let number = node.value.get::<f64>().copied().filter(|n| (0.0..=65_535.0).contains(n));
            number.map(|n| n as Number).ok_or_else(|| ConfigError::Key(node.path.clone()))
        };
        let parse_context = |context: &JsonNode<'_>| {
            let prefixes = context.get("numbers")?.items()?;
            let parse_prefix =
                |entry: &JsonNode<'_>| Ok((entry.text("prefix")?, exchange_number(&entry.get("exchange")?)?));
            Ok(Context {
                name: context.text("context")?,
                class: context.text("class")?,
                exchange_by_prefix: prefixes.iter().map(parse_prefix).collect::<Result<_, ConfigError>>()?,
            })
        };
        let contexts = top.get("contexts")?.items()?;
        Ok(Some(Self {
            listen: top.text("listen")?.parse()?,
            contexts: contexts.iter().map(parse_context).collect::<Result<_, ConfigError>>()?,
            iax2_exchanges: top
                .get("nodes")?
                .items()?
                .iter()
                .map(exchange_number)
                .collect::<Result<_, _>>()?,
        }))
    }

    /// Whether the exchange with this number speaks IAX2.
    pub fn is_iax2_exchange(&self, exchange: Number) -> bool {
        self.iax2_exchanges.contains(&exchange)
    }

    /// Class and exchange for a called number in a context; the longest matching prefix wins.
    fn route(&self, context: &str, called: &str) -> Option<(&str, Number)> {
        let context = self.contexts.iter().find(|c| c.name == context)?;
        let matching =
            context.exchange_by_prefix.iter().filter(|(prefix, _)| called.starts_with(prefix.as_str()));
        let (_, exchange) = matching.max_by_key(|(prefix, _)| prefix.len())?;
        Some((context.class.as_str(), *exchange))
    }
}

/// The party at the remote end of a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Caller,
    Exchange(ExchangeConnId),
}

/// State of a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The call is not answered yet.
    Early,
    /// The call is established.
    Established,
    /// The final message was sent and awaits its acknowledgement.
    Closing,
}

/// A leg with the call that it belongs to.
#[derive(Debug)]
struct LegEntry {
    leg: Leg,
    /// Address of the remote end.
    peer: SocketAddr,
    call: CallUid,
    role: Role,
    state: State,
    /// Media format: one of the bits that RFC 5456, section 8.7, defines.
    format: u32,
}

/// A POKE that awaits its PONG.
#[derive(Debug)]
struct PendingPoke {
    exchange_conn: ExchangeConnId,
    address: SocketAddr,
    retransmit_at: SystemTime,
    expires_at: SystemTime,
}

/// Output of an [`Endpoint`].
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Inputs for the engine.
    pub inputs: Vec<Input>,
}

/// The IAX2 legs of one UDP socket.
#[derive(Debug)]
pub struct Endpoint {
    config: Iax2Config,
    caller_conn: CallerConnId,
    /// Counter that [`CallUid`]s of incoming calls are derived from.
    uid_counter: u64,
    last_call_number: u16,
    /// Legs by local call number.
    legs: BTreeMap<u16, LegEntry>,
    /// POKEs by local call number.
    pending_pokes: BTreeMap<u16, PendingPoke>,
    exchange_addresses: HashMap<ExchangeConnId, SocketAddr>,
    /// Local call number by address and call number of the peer.
    by_remote_call: HashMap<(SocketAddr, u16), u16>,
    /// Local call number of the caller's leg of each call.
    caller_legs: HashMap<CallUid, u16>,
    /// Local call number of each leg toward an exchange.
    exchange_legs: HashMap<(CallUid, ExchangeConnId), u16>,
    /// Local call number of the leg toward the exchange, for each established call.
    established: HashMap<CallUid, u16>,
    /// NEW frames by address and call number of the caller: timestamp of the frame, and when it is forgotten.
    recent_new_frames: HashMap<(SocketAddr, u16), (u32, SystemTime)>,
}

impl Endpoint {
    /// Creates an endpoint. The engine sees its callers as `caller_conn`; ids of calls are derived from `seed`.
    pub fn new(config: Iax2Config, caller_conn: CallerConnId, seed: u64) -> Self {
        Self {
            config,
            caller_conn,
            uid_counter: seed,
            last_call_number: POKE_CALL_NUMBER,
            legs: BTreeMap::new(),
            pending_pokes: BTreeMap::new(),
            exchange_addresses: HashMap::new(),
            by_remote_call: HashMap::new(),
            caller_legs: HashMap::new(),
            exchange_legs: HashMap::new(),
            established: HashMap::new(),
            recent_new_frames: HashMap::new(),
        }
    }

    /// Number of legs, including closing legs.
    pub fn leg_count(&self) -> usize {
        self.legs.len()
    }

    /// Whether the peers have acknowledged every frame that was sent.
    pub fn all_acknowledged(&self) -> bool {
        self.legs.values().all(|entry| entry.leg.all_acknowledged())
    }

    /// When [`Self::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<SystemTime> {
        let legs =
            self.legs.values().filter_map(|entry| entry.leg.next_timeout(entry.state == State::Closing));
        legs.chain(self.pending_pokes.values().map(|poke| poke.retransmit_at.min(poke.expires_at))).min()
    }

    /// Handles expired timers: retransmissions, pings, POKEs without a PONG, and unresponsive peers.
    pub fn handle_timeout(&mut self, now: SystemTime, out: &mut Output) {
        let due = |entry: &LegEntry| {
            entry.leg.next_timeout(entry.state == State::Closing).is_some_and(|at| at <= now)
        };
        let call_numbers: Vec<u16> =
            self.legs.iter().filter(|(_, entry)| due(entry)).map(|(call_number, _)| *call_number).collect();
        for call_number in call_numbers {
            let peer_responds = self.with_leg(call_number, out, |entry, datagrams| {
                entry.leg.handle_timeout(now, entry.state == State::Closing, datagrams)
            });
            if peer_responds == Some(false) {
                self.peer_lost(call_number, now, out);
            }
        }
        let call_numbers: Vec<u16> = self.pending_pokes.keys().copied().collect();
        for call_number in call_numbers {
            let Some(poke) = self.pending_pokes.get_mut(&call_number) else { continue };
            if poke.expires_at <= now {
                out.inputs
                    .push(Input::ExchangeConnectFailed { exchange_conn: poke.exchange_conn, refused: false });
                self.pending_pokes.remove(&call_number);
            } else if poke.retransmit_at <= now {
                poke.retransmit_at = now + POKE_RETRANSMIT_INTERVAL;
                out.datagrams.push((poke.address, poke_frame(call_number, true)));
            }
        }
        let by_remote_call = &self.by_remote_call;
        self.recent_new_frames
            .retain(|remote, (_, expires_at)| *expires_at > now || by_remote_call.contains_key(remote));
    }

    /// Applies `action` to a leg and sends the datagrams that it produces to the peer.
    fn with_leg<T>(
        &mut self,
        call_number: u16,
        out: &mut Output,
        action: impl FnOnce(&mut LegEntry, &mut Vec<Vec<u8>>) -> T,
    ) -> Option<T> {
        let entry = self.legs.get_mut(&call_number)?;
        let mut datagrams = Vec::new();
        let result = action(entry, &mut datagrams);
        out.datagrams.extend(datagrams.into_iter().map(|bytes| (entry.peer, bytes)));
        Some(result)
    }

    /// The next free local call number; `None` if all are in use.
    fn allocate_call_number(&mut self) -> Option<u16> {
        (0..MAX_CALL_NUMBER).find_map(|_| {
            let next = self.last_call_number % MAX_CALL_NUMBER + 1;
            self.last_call_number = next.max(POKE_CALL_NUMBER + 1);
            let call_number = self.last_call_number;
            (!self.legs.contains_key(&call_number) && !self.pending_pokes.contains_key(&call_number))
                .then_some(call_number)
        })
    }

    /// Removes a leg from all tables. Legs must not be removed in any other way.
    fn remove_leg(&mut self, call_number: u16, now: SystemTime) -> Option<LegEntry> {
        let entry = self.legs.remove(&call_number)?;
        let remote = (entry.peer, entry.leg.remote_call);
        if self.by_remote_call.get(&remote) == Some(&call_number) {
            self.by_remote_call.remove(&remote);
        }
        match entry.role {
            Role::Caller => {
                self.caller_legs.remove(&entry.call);
                if let Some((_, expires_at)) = self.recent_new_frames.get_mut(&remote) {
                    *expires_at = now + DUPLICATE_NEW_WINDOW;
                }
            }
            Role::Exchange(exchange_conn) => {
                self.exchange_legs.remove(&(entry.call, exchange_conn));
                if self.established.get(&entry.call) == Some(&call_number) {
                    self.established.remove(&entry.call);
                }
            }
        }
        Some(entry)
    }

    /// Removes a leg whose peer does not respond or does not know the call, and reports its end to the engine.
    fn peer_lost(&mut self, call_number: u16, now: SystemTime, out: &mut Output) {
        let Some(entry) = self.remove_leg(call_number, now) else { return };
        if entry.state == State::Closing {
            return;
        }
        out.inputs.push(match entry.role {
            Role::Caller => Input::HangUp {
                caller_conn: self.caller_conn,
                call: entry.call,
                cause: Q850_TEMPORARY_FAILURE,
            },
            Role::Exchange(exchange_conn) => {
                let (outcome, reason) = (Outcome::Reset, Reason::Unspecified);
                Input::Ended { exchange_conn, call: entry.call, outcome, reason }
            }
        });
    }

    // ---- datagrams ----

    /// Handles a datagram that was received at `now`. Whatever it contains, it can end only calls of its
    /// sender. A datagram that is not a valid frame is ignored.
    pub fn receive(&mut self, now: SystemTime, from: SocketAddr, bytes: &[u8], out: &mut Output) {
        match frame::decode(bytes) {
            Ok(Frame::Full(frame)) => self.receive_full(now, from, frame, out),
            Ok(Frame::Mini(frame)) => self.receive_mini(now, from, frame, out),
            Err(_) => {}
        }
    }

    fn receive_full(&mut self, now: SystemTime, from: SocketAddr, frame: FullFrame, out: &mut Output) {
        if frame.dest_call == 0 && frame.is_iax(iax::POKE) {
            let pong =
                FullFrame { source_call: POKE_CALL_NUMBER, dest_call: frame.source_call, iseqno: 1, ..frame };
            let pong = FullFrame {
                retransmitted: false,
                oseqno: 0,
                subclass: iax::PONG,
                payload: Vec::new(),
                ..pong
            };
            out.datagrams.push((from, pong.encode()));
            return;
        }
        if self.pending_pokes.get(&frame.dest_call).is_some_and(|poke| poke.address == from)
            && frame.is_iax(iax::PONG)
        {
            if let Some(poke) = self.pending_pokes.remove(&frame.dest_call) {
                let ack = FullFrame {
                    source_call: frame.dest_call,
                    dest_call: frame.source_call,
                    oseqno: 1,
                    iseqno: 1,
                    ..frame
                };
                let ack = FullFrame { retransmitted: false, subclass: iax::ACK, payload: Vec::new(), ..ack };
                out.datagrams.push((from, ack.encode()));
                self.exchange_addresses.insert(poke.exchange_conn, poke.address);
                out.inputs.push(Input::ExchangeConnected {
                    exchange_conn: poke.exchange_conn,
                    carries_calls: true,
                });
            }
            return;
        }
        // A peer that does not know the local call number yet is identified by its own call number.
        let known_call_number = self.by_remote_call.get(&(from, frame.source_call)).copied();
        let call_number = if frame.dest_call == 0 { known_call_number } else { Some(frame.dest_call) };
        let belongs =
            |entry: &&LegEntry| entry.peer == from && [0, frame.source_call].contains(&entry.leg.remote_call);
        let call_number =
            call_number.filter(|call_number| self.legs.get(call_number).as_ref().is_some_and(belongs));
        match call_number {
            Some(call_number) => self.receive_on_leg(now, call_number, frame, out),
            None if frame.dest_call == 0 && frame.is_iax(iax::NEW) => self.receive_new(now, from, frame, out),
            // INVAL and ACK for an unknown call get no reply, or two endpoints could exchange INVALs for ever.
            // A frame to the call number of POKE replies is the ACK of a PONG or a late frame.
            None if frame.is_iax(iax::INVAL)
                || frame.is_iax(iax::ACK)
                || frame.dest_call == POKE_CALL_NUMBER => {}
            None => {
                let inval = FullFrame {
                    source_call: frame.dest_call,
                    dest_call: frame.source_call,
                    retransmitted: false,
                    ..frame
                };
                let inval = FullFrame {
                    oseqno: frame.iseqno,
                    iseqno: frame.oseqno,
                    frame_type: FrameType::Iax,
                    ..inval
                };
                let inval = FullFrame { subclass: iax::INVAL, payload: Vec::new(), ..inval };
                out.datagrams.push((from, inval.encode()));
            }
        }
    }

    fn receive_on_leg(&mut self, now: SystemTime, call_number: u16, frame: FullFrame, out: &mut Output) {
        let source = frame.source_call;
        let received =
            self.with_leg(call_number, out, |entry, datagrams| entry.leg.receive(now, frame, datagrams));
        let Some(entry) = self.legs.get(&call_number) else { return };
        if matches!(entry.role, Role::Exchange(_)) && entry.leg.remote_call == source {
            self.by_remote_call.insert((entry.peer, source), call_number);
        }
        match received {
            Some(Received::UnknownCall) => self.peer_lost(call_number, now, out),
            Some(Received::Frame(frame)) => self.handle_frame(now, call_number, frame, out),
            _ => {}
        }
        // Any frame may acknowledge the final message. The leg has no timer after that, so it is removed here.
        let is_closed = |entry: &LegEntry| entry.state == State::Closing && entry.leg.all_acknowledged();
        if self.legs.get(&call_number).is_some_and(is_closed) {
            self.remove_leg(call_number, now);
        }
    }

    /// Handles a NEW from a caller: sets the call up, or rejects it with a cause.
    fn receive_new(&mut self, now: SystemTime, from: SocketAddr, frame: FullFrame, out: &mut Output) {
        let remote = (from, frame.source_call);
        if self
            .recent_new_frames
            .get(&remote)
            .is_some_and(|(timestamp, expires_at)| *timestamp == frame.timestamp && now < *expires_at)
        {
            return;
        }
        if self.legs.len() >= MAX_LEGS {
            // A REJECT would need a leg too, so the frame is dropped; the caller retransmits it.
            return;
        }
        let Some(call_number) = self.allocate_call_number() else { return };
        self.uid_counter = self.uid_counter.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let call = CallUid::from_u64(mix(self.uid_counter));
        let elements = InformationElements::decode(&frame.payload);
        let at_capacity = self.caller_legs.len() >= MAX_CALLER_LEGS;
        let mut leg = Leg::new(call_number, frame.source_call, now);
        let mut datagrams = Vec::new();
        let timestamp = frame.timestamp;
        let received = leg.receive(now, frame, &mut datagrams);
        out.datagrams.extend(datagrams.into_iter().map(|bytes| (from, bytes)));
        if !matches!(received, Received::Frame(_)) {
            return;
        }
        let requested = elements.as_ref().ok().cloned().unwrap_or_default();
        let entry = LegEntry {
            leg,
            peer: from,
            call,
            role: Role::Caller,
            state: State::Early,
            format: select_format(&requested),
        };
        self.legs.insert(call_number, entry);
        self.by_remote_call.insert(remote, call_number);
        self.recent_new_frames.insert(remote, (timestamp, now + DUPLICATE_NEW_WINDOW));
        let called = requested.called_number.clone().unwrap_or_default();
        let context = requested.called_context.as_deref().unwrap_or_default();
        let route = self.config.route(context, &called).map(|(class, to)| (class.to_owned(), to));
        let route = match (&elements, route) {
            _ if at_capacity => {
                Err(InformationElements::with_cause(Q850_SWITCHING_EQUIPMENT_CONGESTION, "too many calls"))
            }
            (Err(_), _) => Err(InformationElements::with_cause(Q850_INVALID_MESSAGE, "malformed set-up")),
            (Ok(e), _) if e.version != Some(PROTOCOL_VERSION) => {
                Err(InformationElements::with_cause(Q850_PROTOCOL_ERROR, "version 2 is spoken here"))
            }
            (_, None) => Err(InformationElements::with_cause(
                Q850_UNALLOCATED_NUMBER,
                "no such number in this context",
            )),
            (_, Some(route)) => Ok(route),
        };
        match route {
            Err(cause) => self.end_leg(call_number, now, iax::REJECT, &cause, out),
            Ok((class, dest)) => {
                self.caller_legs.insert(call, call_number);
                let description = format_description(
                    requested.capability.unwrap_or(select_format(&requested)),
                    select_format(&requested),
                );
                let setup = SetUp {
                    class,
                    received: now,
                    remaining: None,
                    called_number: Some(called),
                    dest,
                    width: None,
                    transit_from: None,
                    advised_route: None,
                    was_cut: false,
                    description: Some(description.into()),
                };
                out.inputs.push(Input::SetUp { caller_conn: self.caller_conn, call, setup });
            }
        }
    }

    /// Handles a frame that a leg received in sequence.
    fn handle_frame(&mut self, now: SystemTime, call_number: u16, frame: FullFrame, out: &mut Output) {
        let Some(entry) = self.legs.get_mut(&call_number) else { return };
        let (call, role, state) = (entry.call, entry.role, entry.state);
        let is_hang_up = frame.is_iax(iax::HANGUP)
            || frame.is_iax(iax::REJECT)
            || (frame.frame_type == FrameType::Control && frame.subclass == control::HANGUP);
        if is_hang_up {
            let elements = match frame.frame_type {
                FrameType::Iax => InformationElements::decode(&frame.payload).unwrap_or_default(),
                _ => InformationElements::default(),
            };
            self.remove_leg(call_number, now);
            if state != State::Closing {
                let (outcome, reason) = outcome_of(&elements);
                out.inputs.push(match role {
                    Role::Caller => {
                        let cause = elements.cause_code.unwrap_or(Q850_NORMAL_CLEARING);
                        Input::HangUp { caller_conn: self.caller_conn, call, cause }
                    }
                    Role::Exchange(exchange_conn) => Input::Ended { exchange_conn, call, outcome, reason },
                });
            }
            return;
        }
        match (frame.frame_type, frame.subclass, role) {
            _ if state == State::Closing => {}
            (FrameType::Voice, ..) => {
                let voice = entry.leg.voice_from_full(frame);
                self.relay_voice(now, call_number, voice, out);
            }
            (FrameType::Iax, iax::ACCEPT, Role::Exchange(_)) => {
                if let Some(format) = InformationElements::decode(&frame.payload).ok().and_then(|e| e.format)
                {
                    entry.format = format;
                }
            }
            (FrameType::Iax, iax::AUTHREQ, Role::Exchange(exchange_conn)) => {
                // The softswitch has no credentials and cannot call an exchange that requires them.
                self.end_leg(
                    call_number,
                    now,
                    iax::HANGUP,
                    &InformationElements::with_cause(Q850_CALL_REJECTED, "no credentials"),
                    out,
                );
                let (outcome, reason) = (Outcome::Busy, Reason::Unspecified);
                out.inputs.push(Input::Ended { exchange_conn, call, outcome, reason });
            }
            (FrameType::Control, control::ANSWER, Role::Exchange(exchange_conn)) if state == State::Early => {
                entry.state = State::Established;
                let description = Some(format_description(entry.format, entry.format).into());
                self.established.insert(call, call_number);
                out.inputs.push(Input::Answered { exchange_conn, call, description });
            }
            (FrameType::Control, control::BUSY | control::CONGESTION, Role::Exchange(exchange_conn))
                if state == State::Early =>
            {
                let code = if frame.subclass == control::BUSY { Q850_USER_BUSY } else { Q850_NO_CIRCUIT };
                let elements = InformationElements::with_cause(code, "");
                self.end_leg(call_number, now, iax::HANGUP, &elements, out);
                let (outcome, reason) = outcome_of(&elements);
                out.inputs.push(Input::Ended { exchange_conn, call, outcome, reason });
            }
            // Gets no UNSUPPORT in reply, or two endpoints could exchange UNSUPPORTs for ever.
            (FrameType::Iax, iax::UNSUPPORT, _) => {}
            (FrameType::Iax, subclass, _) => {
                let unknown = Some(subclass as u8);
                let payload = InformationElements { unknown, ..InformationElements::default() }.encode();
                self.with_leg(call_number, out, |entry, datagrams| {
                    entry.leg.send(now, FrameType::Iax, iax::UNSUPPORT, payload, datagrams);
                });
            }
            (
                FrameType::Dtmf
                | FrameType::Text
                | FrameType::ComfortNoise
                | FrameType::Image
                | FrameType::Html
                | FrameType::Video,
                ..,
            ) => {
                if let Some(other) = self.other_leg(call_number) {
                    self.with_leg(other, out, |entry, datagrams| {
                        entry.leg.send(now, frame.frame_type, frame.subclass, frame.payload, datagrams);
                    });
                }
            }
            _ => {}
        }
    }

    // ---- media ----

    /// The other leg of an established call, if both legs are IAX2.
    fn other_leg(&self, call_number: u16) -> Option<u16> {
        let entry = self.legs.get(&call_number).filter(|entry| entry.state == State::Established)?;
        let other = match entry.role {
            Role::Caller => self.established.get(&entry.call),
            Role::Exchange(_) => self.caller_legs.get(&entry.call),
        };
        other
            .copied()
            .filter(|other| self.legs.get(other).is_some_and(|entry| entry.state == State::Established))
    }

    fn relay_voice(&mut self, now: SystemTime, call_number: u16, voice: VoiceFrame, out: &mut Output) {
        if let Some(other) = self.other_leg(call_number) {
            self.with_leg(other, out, |entry, datagrams| entry.leg.send_voice(now, voice, datagrams));
        }
    }

    fn receive_mini(&mut self, now: SystemTime, from: SocketAddr, frame: MiniFrame, out: &mut Output) {
        let Some(call_number) = self.by_remote_call.get(&(from, frame.source_call)).copied() else { return };
        let Some(entry) = self.legs.get_mut(&call_number) else { return };
        entry.leg.mark_heard(now);
        let voice = entry.leg.voice_from_mini(frame);
        if let Some(voice) = voice {
            self.relay_voice(now, call_number, voice, out);
        }
    }

    // ---- messages from the engine ----

    /// Sends the final message on a leg, which then only awaits the acknowledgement.
    fn end_leg(
        &mut self,
        call_number: u16,
        now: SystemTime,
        subclass: u32,
        elements: &InformationElements,
        out: &mut Output,
    ) {
        let payload = elements.encode();
        self.with_leg(call_number, out, |entry, datagrams| {
            entry.state = State::Closing;
            entry.leg.end(now, subclass, payload, datagrams);
        });
    }

    /// Sends a message to the caller of a call.
    pub fn send_to_caller(
        &mut self,
        now: SystemTime,
        call: CallUid,
        message: &CallerMessage,
        out: &mut Output,
    ) {
        let Some(call_number) = self.caller_legs.get(&call).copied() else { return };
        let Some(state) = self.legs.get(&call_number).map(|entry| entry.state) else { return };
        match (message, state) {
            (_, State::Closing) | (CallerMessage::HealthCheckResult { .. }, _) => {}
            (CallerMessage::Answered { description }, _) => {
                self.with_leg(call_number, out, |entry, datagrams| {
                    entry.state = State::Established;
                    let format = description.as_deref().and_then(parse_description).unwrap_or(entry.format);
                    let accept =
                        InformationElements { format: Some(format), ..InformationElements::default() };
                    entry.leg.send(now, FrameType::Iax, iax::ACCEPT, accept.encode(), datagrams);
                    entry.leg.send(now, FrameType::Control, control::ANSWER, Vec::new(), datagrams);
                });
            }
            (_, State::Established) => {
                self.end_leg(call_number, now, iax::HANGUP, &cause_elements(message), out)
            }
            (_, State::Early) => self.end_leg(call_number, now, iax::REJECT, &cause_elements(message), out),
        }
    }

    /// Sends a message to an exchange.
    pub fn send_to_exchange(
        &mut self,
        now: SystemTime,
        exchange_conn: ExchangeConnId,
        call: CallUid,
        message: &ExchangeMessage,
        out: &mut Output,
    ) {
        match message {
            ExchangeMessage::SetUp { class, called_number, description, .. } => {
                let Some(peer) = self.exchange_addresses.get(&exchange_conn).copied() else { return };
                let Some(call_number) = self.allocate_call_number() else {
                    // All call numbers are in use, so the set-up is not sent.
                    let (outcome, reason) = (Outcome::NotSent, Reason::Unspecified);
                    out.inputs.push(Input::Ended { exchange_conn, call, outcome, reason });
                    return;
                };
                let format = description.as_deref().and_then(parse_description);
                let elements = InformationElements {
                    version: Some(PROTOCOL_VERSION),
                    called_number: called_number.clone(),
                    called_context: Some(class.clone()),
                    capability: Some(format.unwrap_or(G711_FORMATS)),
                    format: Some(format.unwrap_or(G711_FORMATS & G711_FORMATS.wrapping_neg())),
                    ..InformationElements::default()
                };
                let entry = LegEntry {
                    leg: Leg::new(call_number, 0, now),
                    peer,
                    call,
                    role: Role::Exchange(exchange_conn),
                    state: State::Early,
                    format: format.unwrap_or(G711_FORMATS & G711_FORMATS.wrapping_neg()),
                };
                self.legs.insert(call_number, entry);
                self.exchange_legs.insert((call, exchange_conn), call_number);
                self.with_leg(call_number, out, |entry, datagrams| {
                    entry.leg.send(now, FrameType::Iax, iax::NEW, elements.encode(), datagrams);
                });
            }
            ExchangeMessage::Cancel => {
                self.end_exchange_leg(now, exchange_conn, call, Q850_NORMAL_CLEARING, out)
            }
            ExchangeMessage::Release { cause } => {
                self.end_exchange_leg(now, exchange_conn, call, *cause, out)
            }
            // IAX2 has no message that reports free circuits; the POKE at connect time is the only probe.
            ExchangeMessage::Probe => {}
        }
    }

    fn end_exchange_leg(
        &mut self,
        now: SystemTime,
        exchange_conn: ExchangeConnId,
        call: CallUid,
        cause: u8,
        out: &mut Output,
    ) {
        let Some(call_number) = self.exchange_legs.get(&(call, exchange_conn)).copied() else { return };
        if self.legs.get(&call_number).is_some_and(|entry| entry.state != State::Closing) {
            self.end_leg(call_number, now, iax::HANGUP, &InformationElements::with_cause(cause, ""), out);
        }
    }

    /// Sends a POKE to an exchange. A PONG within `timeout` counts as an established connection.
    pub fn connect_exchange(
        &mut self,
        now: SystemTime,
        exchange_conn: ExchangeConnId,
        address: SocketAddr,
        timeout: Duration,
        out: &mut Output,
    ) {
        let Some(call_number) = self.allocate_call_number() else {
            out.inputs.push(Input::ExchangeConnectFailed { exchange_conn, refused: false });
            return;
        };
        self.pending_pokes.insert(
            call_number,
            PendingPoke {
                exchange_conn,
                address,
                retransmit_at: now + POKE_RETRANSMIT_INTERVAL,
                expires_at: now + timeout,
            },
        );
        out.datagrams.push((address, poke_frame(call_number, false)));
    }

    /// Removes the legs of an exchange that is unreachable. Nothing is sent to it.
    pub fn close_exchange(&mut self, now: SystemTime, exchange_conn: ExchangeConnId) {
        self.exchange_addresses.remove(&exchange_conn);
        self.pending_pokes.retain(|_, poke| poke.exchange_conn != exchange_conn);
        let call_numbers: Vec<u16> = self
            .legs
            .iter()
            .filter(|(_, entry)| entry.role == Role::Exchange(exchange_conn))
            .map(|(call_number, _)| *call_number)
            .collect();
        for call_number in call_numbers {
            self.remove_leg(call_number, now);
        }
    }
}

fn poke_frame(call_number: u16, retransmitted: bool) -> Vec<u8> {
    let (frame_type, subclass, payload) = (FrameType::Iax, iax::POKE, Vec::new());
    FullFrame {
        source_call: call_number,
        dest_call: 0,
        retransmitted,
        timestamp: 0,
        oseqno: 0,
        iseqno: 0,
        frame_type,
        subclass,
        payload,
    }
    .encode()
}

/// Media format of a leg: the requested format, or else the lowest bit of the capabilities.
fn select_format(elements: &InformationElements) -> u32 {
    let capability = elements.capability.unwrap_or(G711_FORMATS);
    elements.format.filter(|format| *format != 0).unwrap_or(capability & capability.wrapping_neg())
}

/// Session description with the supported media formats and the requested or selected one. The engine passes it on
/// unchanged.
fn format_description(capability: u32, format: u32) -> String {
    format!("a=iax2-capability:{capability:08x}\r\na=iax2-format:{format:08x}\r\n")
}

/// Media format in a session description made by [`format_description`]; `None` in any other.
fn parse_description(description: &str) -> Option<u32> {
    let format = description.lines().find_map(|line| line.strip_prefix("a=iax2-format:"))?;
    u32::from_str_radix(format, 16).ok().filter(|format| *format != 0)
}

/// Maps consecutive values to well-distributed ids (the output function of SplitMix64).
fn mix(value: u64) -> u64 {
    let mixed = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
