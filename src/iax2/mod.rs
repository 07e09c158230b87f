//! The IAX2 front and node side: its configuration and the endpoint that joins legs to calls.
//!
//! [`Endpoint`] has no socket and no clock either: the driver gives it datagrams, words of the engine and the
//! time, and takes datagrams and inputs for the engine from it. Calls, deadlines and attempts are the
//! engine's, exactly as for JSON lines.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use crate::config::{ConfigError, JsonNode, parse_json};
use crate::engine::{CallUid, CallerConnId, CallerMessage, ExchangeConnId, ExchangeMessage, Input, SetUp};
use crate::interface::{Number, Outcome, Reason};
use element::{G711_FORMATS, InformationElements, PROTOCOL_VERSION, cause_elements, outcome_of};
use frame::{Frame, FrameType, FullFrame, MiniFrame, control, iax};
use leg::{Leg, Received, VoiceFrame};

pub mod element;
pub mod frame;
pub mod leg;

/// Time between two tries to see whether a node is there.
const POKE_AGAIN: Duration = Duration::from_millis(150);
/// A set-up of a call that has ended here is a repeated datagram for this long, not a new call.
const REMEMBER: Duration = Duration::from_secs(5);
/// Calls that callers may have open at once; more would cost memory that the platform limits.
const MOST_CALLERS: usize = 4_096;
/// Legs of all kinds, those that wait for an acknowledgement of their end included.
const MOST_LEGS: usize = 3 * MOST_CALLERS;
/// Highest call number.
const LAST_NUMBER: u16 = 0x7fff;
/// Number under which a poke is answered; no call has it.
const POKE_NUMBER: u16 = 1;

/// What the file of this front says.
#[derive(Clone, Debug, PartialEq)]
pub struct Iax2Config {
    /// Where it listens, for callers and for what nodes answer.
    pub listen: SocketAddr,
    contexts: Vec<Context>,
    nodes: Vec<Number>,
}

#[derive(Clone, Debug, PartialEq)]
struct Context {
    name: String,
    class: String,
    numbers: Vec<(String, Number)>,
}

impl Iax2Config {
    /// Decodes the file; `None` where the front is off.
    ///
    /// # Errors
    /// If it is malformed; the error names the key.
    pub fn parse(text: &str) -> Result<Option<Self>, ConfigError> {
        let json = parse_json(text).map_err(ConfigError::NotJson)?;
        let top = JsonNode { path: String::new(), value: &json };
        if !top.flag("enabled")? {
            return Ok(None);
        }
        let number = |node: &JsonNode<'_>| {
            let number = node.value.get::<f64>().copied().filter(|n| (0.0..=65_535.0).contains(n));
            number.map(|n| n as Number).ok_or_else(|| ConfigError::Key(node.path.clone()))
        };
        let read_context = |context: &JsonNode<'_>| {
            let numbers = context.get("numbers")?.items()?;
            let read = |n: &JsonNode<'_>| Ok((n.text("prefix")?, number(&n.get("exchange")?)?));
            Ok(Context {
                name: context.text("context")?,
                class: context.text("class")?,
                numbers: numbers.iter().map(read).collect::<Result<_, ConfigError>>()?,
            })
        };
        let contexts = top.get("contexts")?.items()?;
        Ok(Some(Self {
            listen: top.text("listen")?.parse()?,
            contexts: contexts.iter().map(read_context).collect::<Result<_, ConfigError>>()?,
            nodes: top.get("nodes")?.items()?.iter().map(number).collect::<Result<_, _>>()?,
        }))
    }

    /// Whether the exchange with this number speaks IAX2.
    pub fn is_iax2_exchange(&self, exchange: Number) -> bool {
        self.nodes.contains(&exchange)
    }

    /// Class and exchange of a number called in a context: the longest prefix counts.
    fn route(&self, context: &str, called: &str) -> Option<(&str, Number)> {
        let context = self.contexts.iter().find(|c| c.name == context)?;
        let fits = context.numbers.iter().filter(|(prefix, _)| called.starts_with(prefix.as_str()));
        let (_, exchange) = fits.max_by_key(|(prefix, _)| prefix.len())?;
        Some((context.class.as_str(), *exchange))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Caller,
    Node(ExchangeConnId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Early,
    Up,
    /// Its last message is out; it waits for the acknowledgement alone.
    Closing,
}

#[derive(Debug)]
struct Line {
    leg: Leg,
    peer: SocketAddr,
    call: CallUid,
    role: Role,
    state: State,
    format: u32,
}

#[derive(Debug)]
struct Poke {
    exchange_conn: ExchangeConnId,
    address: SocketAddr,
    next: SystemTime,
    until: SystemTime,
}

/// What an endpoint asks for.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Inputs for the engine.
    pub inputs: Vec<Input>,
}

/// All legs of one socket.
#[derive(Debug)]
pub struct Endpoint {
    config: Iax2Config,
    caller_conn: CallerConnId,
    names: u64,
    last_number: u16,
    lines: BTreeMap<u16, Line>,
    pokes: BTreeMap<u16, Poke>,
    nodes: HashMap<ExchangeConnId, SocketAddr>,
    by_remote: HashMap<(SocketAddr, u16), u16>,
    callers: HashMap<CallUid, u16>,
    node_legs: HashMap<(CallUid, ExchangeConnId), u16>,
    standing: HashMap<CallUid, u16>,
    /// Callers' numbers whose calls are over, with the time stamp of the set-up.
    recent: HashMap<(SocketAddr, u16), (u32, SystemTime)>,
}

impl Endpoint {
    /// An endpoint whose calls come on this link; the seed makes their ids.
    pub fn new(config: Iax2Config, caller_conn: CallerConnId, seed: u64) -> Self {
        Self {
            config,
            caller_conn,
            names: seed,
            last_number: POKE_NUMBER,
            lines: BTreeMap::new(),
            pokes: BTreeMap::new(),
            nodes: HashMap::new(),
            by_remote: HashMap::new(),
            callers: HashMap::new(),
            node_legs: HashMap::new(),
            standing: HashMap::new(),
            recent: HashMap::new(),
        }
    }

    /// Legs that it holds.
    pub fn leg_count(&self) -> usize {
        self.lines.len()
    }

    /// Whether every peer has acknowledged all that was sent to it.
    pub fn all_acknowledged(&self) -> bool {
        self.lines.values().all(|line| line.leg.all_acknowledged())
    }

    /// When it wants to be woken.
    pub fn next_timeout(&self) -> Option<SystemTime> {
        let lines =
            self.lines.values().filter_map(|line| line.leg.next_timeout(line.state == State::Closing));
        lines.chain(self.pokes.values().map(|poke| poke.next.min(poke.until))).min()
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: SystemTime, out: &mut Output) {
        let due =
            |line: &Line| line.leg.next_timeout(line.state == State::Closing).is_some_and(|at| at <= now);
        let numbers: Vec<u16> = self.lines.iter().filter(|(_, line)| due(line)).map(|(n, _)| *n).collect();
        for number in numbers {
            let alive = self.on_leg(number, out, |line, sent| {
                line.leg.handle_timeout(now, line.state == State::Closing, sent)
            });
            if alive == Some(false) {
                self.lost(number, now, out);
            }
        }
        let numbers: Vec<u16> = self.pokes.keys().copied().collect();
        for number in numbers {
            let Some(poke) = self.pokes.get_mut(&number) else { continue };
            if poke.until <= now {
                out.inputs
                    .push(Input::ExchangeConnectFailed { exchange_conn: poke.exchange_conn, refused: false });
                self.pokes.remove(&number);
            } else if poke.next <= now {
                poke.next = now + POKE_AGAIN;
                out.datagrams.push((poke.address, poke_frame(number, true)));
            }
        }
        self.recent.retain(|_, (_, until)| *until > now);
    }

    /// Works on a leg and sends what it wants to have sent.
    fn on_leg<T>(
        &mut self,
        number: u16,
        out: &mut Output,
        work: impl FnOnce(&mut Line, &mut Vec<Vec<u8>>) -> T,
    ) -> Option<T> {
        let line = self.lines.get_mut(&number)?;
        let mut sent = Vec::new();
        let done = work(line, &mut sent);
        out.datagrams.extend(sent.into_iter().map(|bytes| (line.peer, bytes)));
        Some(done)
    }

    fn free_number(&mut self) -> Option<u16> {
        (0..LAST_NUMBER).find_map(|_| {
            let next = self.last_number % LAST_NUMBER + 1;
            self.last_number = next.max(POKE_NUMBER + 1);
            let number = self.last_number;
            (!self.lines.contains_key(&number) && !self.pokes.contains_key(&number)).then_some(number)
        })
    }

    /// The one place where a leg is given back.
    fn remove(&mut self, number: u16, now: SystemTime) -> Option<Line> {
        let line = self.lines.remove(&number)?;
        let remote = (line.peer, line.leg.remote_call);
        if self.by_remote.get(&remote) == Some(&number) {
            self.by_remote.remove(&remote);
        }
        match line.role {
            Role::Caller => {
                self.callers.remove(&line.call);
                if let Some((_, until)) = self.recent.get_mut(&remote) {
                    *until = now + REMEMBER;
                }
            }
            Role::Node(exchange_conn) => {
                self.node_legs.remove(&(line.call, exchange_conn));
                if self.standing.get(&line.call) == Some(&number) {
                    self.standing.remove(&line.call);
                }
            }
        }
        Some(line)
    }

    /// The far end of a leg is dead or knows the call no more.
    fn lost(&mut self, number: u16, now: SystemTime, out: &mut Output) {
        let Some(line) = self.remove(number, now) else { return };
        if line.state == State::Closing {
            return;
        }
        out.inputs.push(match line.role {
            Role::Caller => Input::HangUp { caller_conn: self.caller_conn, call: line.call, cause: 41 },
            Role::Node(exchange_conn) => {
                let (outcome, reason) = (Outcome::Reset, Reason::Unspecified);
                Input::Ended { exchange_conn, call: line.call, outcome, reason }
            }
        });
    }

    // ---- datagrams ----

    /// Takes a datagram that came at this time. Whatever it holds, it can only end a call of its sender.
    pub fn receive(&mut self, now: SystemTime, from: SocketAddr, bytes: &[u8], out: &mut Output) {
        match frame::decode(bytes) {
            Ok(Frame::Full(frame)) => self.full(now, from, frame, out),
            Ok(Frame::Mini(mini)) => self.mini(now, from, mini, out),
            Err(_) => {}
        }
    }

    fn full(&mut self, now: SystemTime, from: SocketAddr, frame: FullFrame, out: &mut Output) {
        if frame.dest_call == 0 && frame.is_iax(iax::POKE) {
            let pong =
                FullFrame { source_call: POKE_NUMBER, dest_call: frame.source_call, iseqno: 1, ..frame };
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
        if self.pokes.get(&frame.dest_call).is_some_and(|poke| poke.address == from)
            && frame.is_iax(iax::PONG)
        {
            if let Some(poke) = self.pokes.remove(&frame.dest_call) {
                let ack = FullFrame {
                    source_call: frame.dest_call,
                    dest_call: frame.source_call,
                    oseqno: 1,
                    iseqno: 1,
                    ..frame
                };
                let ack = FullFrame { retransmitted: false, subclass: iax::ACK, payload: Vec::new(), ..ack };
                out.datagrams.push((from, ack.encode()));
                self.nodes.insert(poke.exchange_conn, poke.address);
                out.inputs.push(Input::ExchangeConnected {
                    exchange_conn: poke.exchange_conn,
                    carries_calls: true,
                });
            }
            return;
        }
        // A peer that has not heard our number yet is known by its own.
        let known = self.by_remote.get(&(from, frame.source_call)).copied();
        let number = if frame.dest_call == 0 { known } else { Some(frame.dest_call) };
        let fits = |line: &&Line| line.peer == from && [0, frame.source_call].contains(&line.leg.remote_call);
        let number = number.filter(|n| self.lines.get(n).as_ref().is_some_and(fits));
        match number {
            Some(number) => self.on_line(now, number, frame, out),
            None if frame.dest_call == 0 && frame.is_iax(iax::NEW) => self.set_up(now, from, frame, out),
            // Neither end may answer a report with a report for ever; and nothing is owed to a late one.
            None if frame.is_iax(iax::INVAL) || frame.is_iax(iax::ACK) || frame.dest_call == POKE_NUMBER => {}
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

    fn on_line(&mut self, now: SystemTime, number: u16, frame: FullFrame, out: &mut Output) {
        let source = frame.source_call;
        let heard = self.on_leg(number, out, |line, sent| line.leg.receive(now, frame, sent));
        let Some(line) = self.lines.get(&number) else { return };
        if matches!(line.role, Role::Node(_)) && line.leg.remote_call == source {
            self.by_remote.insert((line.peer, source), number);
        }
        match heard {
            Some(Received::UnknownCall) => self.lost(number, now, out),
            Some(Received::Frame(frame)) => self.deliver(now, number, frame, out),
            _ => {}
        }
        // Whatever frame it was that acknowledged the last message: nothing else would ever wake this leg.
        let over = |line: &Line| line.state == State::Closing && line.leg.all_acknowledged();
        if self.lines.get(&number).is_some_and(over) {
            self.remove(number, now);
        }
    }

    /// A set-up from a caller.
    fn set_up(&mut self, now: SystemTime, from: SocketAddr, frame: FullFrame, out: &mut Output) {
        let remote = (from, frame.source_call);
        if self.recent.get(&remote).is_some_and(|(stamp, until)| *stamp == frame.timestamp && now < *until) {
            return;
        }
        if self.lines.len() >= MOST_LEGS {
            // Not even a rejection can be afforded; the caller repeats its set-up.
            return;
        }
        let Some(number) = self.free_number() else { return };
        self.names = self.names.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let call = CallUid::from_u64(scattered(self.names));
        let elements = InformationElements::decode(&frame.payload);
        let full = self.callers.len() >= MOST_CALLERS;
        let mut leg = Leg::new(number, frame.source_call, now);
        let mut sent = Vec::new();
        let stamp = frame.timestamp;
        let heard = leg.receive(now, frame, &mut sent);
        out.datagrams.extend(sent.into_iter().map(|bytes| (from, bytes)));
        if !matches!(heard, Received::Frame(_)) {
            return;
        }
        let wanted = elements.as_ref().ok().cloned().unwrap_or_default();
        let line =
            Line { leg, peer: from, call, role: Role::Caller, state: State::Early, format: chosen(&wanted) };
        self.lines.insert(number, line);
        self.by_remote.insert(remote, number);
        self.recent.insert(remote, (stamp, now + REMEMBER));
        let called = wanted.called_number.clone().unwrap_or_default();
        let context = wanted.called_context.as_deref().unwrap_or_default();
        let route = self.config.route(context, &called).map(|(class, to)| (class.to_owned(), to));
        let refusal = match (&elements, route) {
            _ if full => Err(InformationElements::with_cause(42, "too many calls")),
            (Err(_), _) => Err(InformationElements::with_cause(95, "malformed set-up")),
            (Ok(e), _) if e.version != Some(PROTOCOL_VERSION) => {
                Err(InformationElements::with_cause(111, "version 2 is spoken here"))
            }
            (_, None) => Err(InformationElements::with_cause(1, "no such number in this context")),
            (_, Some(route)) => Ok(route),
        };
        match refusal {
            Err(why) => self.end(number, now, iax::REJECT, &why, out),
            Ok((class, dest)) => {
                self.callers.insert(call, number);
                let description = describe(wanted.capability.unwrap_or(chosen(&wanted)), chosen(&wanted));
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

    /// A frame in order on a leg that is known.
    fn deliver(&mut self, now: SystemTime, number: u16, frame: FullFrame, out: &mut Output) {
        let Some(line) = self.lines.get_mut(&number) else { return };
        let (call, role, state) = (line.call, line.role, line.state);
        let over = frame.is_iax(iax::HANGUP)
            || frame.is_iax(iax::REJECT)
            || (frame.frame_type == FrameType::Control && frame.subclass == control::HANGUP);
        if over {
            let why = match frame.frame_type {
                FrameType::Iax => InformationElements::decode(&frame.payload).unwrap_or_default(),
                _ => InformationElements::default(),
            };
            self.remove(number, now);
            if state != State::Closing {
                let (outcome, reason) = outcome_of(&why);
                out.inputs.push(match role {
                    Role::Caller => {
                        let cause = why.cause_code.unwrap_or(16);
                        Input::HangUp { caller_conn: self.caller_conn, call, cause }
                    }
                    Role::Node(exchange_conn) => Input::Ended { exchange_conn, call, outcome, reason },
                });
            }
            return;
        }
        match (frame.frame_type, frame.subclass, role) {
            _ if state == State::Closing => {}
            (FrameType::Voice, ..) => {
                let voice = line.leg.voice_from_full(frame);
                self.relay(now, number, voice, out);
            }
            (FrameType::Iax, iax::ACCEPT, Role::Node(_)) => {
                if let Some(format) = InformationElements::decode(&frame.payload).ok().and_then(|e| e.format)
                {
                    line.format = format;
                }
            }
            (FrameType::Iax, iax::AUTHREQ, Role::Node(exchange_conn)) => {
                // No secrets are kept here: a node that asks for one cannot be used.
                self.end(
                    number,
                    now,
                    iax::HANGUP,
                    &InformationElements::with_cause(21, "no credentials"),
                    out,
                );
                let (outcome, reason) = (Outcome::Busy, Reason::Unspecified);
                out.inputs.push(Input::Ended { exchange_conn, call, outcome, reason });
            }
            (FrameType::Control, control::ANSWER, Role::Node(exchange_conn)) if state == State::Early => {
                line.state = State::Up;
                let description = Some(describe(line.format, line.format).into());
                self.standing.insert(call, number);
                out.inputs.push(Input::Answered { exchange_conn, call, description });
            }
            (FrameType::Control, control::BUSY | control::CONGESTION, Role::Node(exchange_conn))
                if state == State::Early =>
            {
                let code = if frame.subclass == control::BUSY { 17 } else { 34 };
                let why = InformationElements::with_cause(code, "");
                self.end(number, now, iax::HANGUP, &why, out);
                let (outcome, reason) = outcome_of(&why);
                out.inputs.push(Input::Ended { exchange_conn, call, outcome, reason });
            }
            // Never answered in kind: two ends that do so would go on for ever.
            (FrameType::Iax, iax::UNSUPPORT, _) => {}
            (FrameType::Iax, subclass, _) => {
                let unknown = Some(subclass as u8);
                let payload = InformationElements { unknown, ..InformationElements::default() }.encode();
                self.on_leg(number, out, |line, sent| {
                    line.leg.send(now, FrameType::Iax, iax::UNSUPPORT, payload, sent);
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
                if let Some(other) = self.other_leg(number) {
                    self.on_leg(other, out, |line, sent| {
                        line.leg.send(now, frame.frame_type, frame.subclass, frame.payload, sent);
                    });
                }
            }
            _ => {}
        }
    }

    // ---- media ----

    /// The other leg of a call that stands, where both are IAX2.
    fn other_leg(&self, number: u16) -> Option<u16> {
        let line = self.lines.get(&number).filter(|line| line.state == State::Up)?;
        let other = match line.role {
            Role::Caller => self.standing.get(&line.call),
            Role::Node(_) => self.callers.get(&line.call),
        };
        other.copied().filter(|other| self.lines.get(other).is_some_and(|line| line.state == State::Up))
    }

    fn relay(&mut self, now: SystemTime, number: u16, voice: VoiceFrame, out: &mut Output) {
        if let Some(other) = self.other_leg(number) {
            self.on_leg(other, out, |line, sent| line.leg.send_voice(now, voice, sent));
        }
    }

    fn mini(&mut self, now: SystemTime, from: SocketAddr, mini: MiniFrame, out: &mut Output) {
        let Some(number) = self.by_remote.get(&(from, mini.source_call)).copied() else { return };
        let voice = self.lines.get_mut(&number).and_then(|line| line.leg.voice_from_mini(mini));
        if let Some(voice) = voice {
            self.relay(now, number, voice, out);
        }
    }

    // ---- the engine's words ----

    /// Ends a leg from this side.
    fn end(
        &mut self,
        number: u16,
        now: SystemTime,
        subclass: u32,
        why: &InformationElements,
        out: &mut Output,
    ) {
        let payload = why.encode();
        self.on_leg(number, out, |line, sent| {
            line.state = State::Closing;
            line.leg.end(now, subclass, payload, sent);
        });
    }

    /// Tells a caller.
    pub fn send_to_caller(&mut self, now: SystemTime, call: CallUid, word: &CallerMessage, out: &mut Output) {
        let Some(number) = self.callers.get(&call).copied() else { return };
        let Some(state) = self.lines.get(&number).map(|line| line.state) else { return };
        match (word, state) {
            (_, State::Closing) | (CallerMessage::HealthCheckResult { .. }, _) => {}
            (CallerMessage::Answered { description }, _) => {
                self.on_leg(number, out, |line, sent| {
                    line.state = State::Up;
                    let format = description.as_deref().and_then(described_format).unwrap_or(line.format);
                    let accept =
                        InformationElements { format: Some(format), ..InformationElements::default() };
                    line.leg.send(now, FrameType::Iax, iax::ACCEPT, accept.encode(), sent);
                    line.leg.send(now, FrameType::Control, control::ANSWER, Vec::new(), sent);
                });
            }
            (_, State::Up) => self.end(number, now, iax::HANGUP, &cause_elements(word), out),
            (_, State::Early) => self.end(number, now, iax::REJECT, &cause_elements(word), out),
        }
    }

    /// Tells a node.
    pub fn send_to_exchange(
        &mut self,
        now: SystemTime,
        exchange_conn: ExchangeConnId,
        call: CallUid,
        word: &ExchangeMessage,
        out: &mut Output,
    ) {
        match word {
            ExchangeMessage::SetUp { class, called_number, description, .. } => {
                let Some(peer) = self.nodes.get(&exchange_conn).copied() else { return };
                let Some(number) = self.free_number() else {
                    // No call number left: it never went out.
                    let (outcome, reason) = (Outcome::NotSent, Reason::Unspecified);
                    out.inputs.push(Input::Ended { exchange_conn, call, outcome, reason });
                    return;
                };
                let format = description.as_deref().and_then(described_format);
                let elements = InformationElements {
                    version: Some(PROTOCOL_VERSION),
                    called_number: called_number.clone(),
                    called_context: Some(class.clone()),
                    capability: Some(format.unwrap_or(G711_FORMATS)),
                    format: Some(format.unwrap_or(G711_FORMATS & G711_FORMATS.wrapping_neg())),
                    ..InformationElements::default()
                };
                let line = Line {
                    leg: Leg::new(number, 0, now),
                    peer,
                    call,
                    role: Role::Node(exchange_conn),
                    state: State::Early,
                    format: format.unwrap_or(G711_FORMATS & G711_FORMATS.wrapping_neg()),
                };
                self.lines.insert(number, line);
                self.node_legs.insert((call, exchange_conn), number);
                self.on_leg(number, out, |line, sent| {
                    line.leg.send(now, FrameType::Iax, iax::NEW, elements.encode(), sent);
                });
            }
            ExchangeMessage::Cancel => self.end_node(now, exchange_conn, call, 16, out),
            ExchangeMessage::Release { cause } => self.end_node(now, exchange_conn, call, *cause, out),
            // A node says nothing of its groups; that it answers pokes is all there is to test.
            ExchangeMessage::Probe => {}
        }
    }

    fn end_node(
        &mut self,
        now: SystemTime,
        exchange_conn: ExchangeConnId,
        call: CallUid,
        cause: u8,
        out: &mut Output,
    ) {
        let Some(number) = self.node_legs.get(&(call, exchange_conn)).copied() else { return };
        if self.lines.get(&number).is_some_and(|line| line.state != State::Closing) {
            self.end(number, now, iax::HANGUP, &InformationElements::with_cause(cause, ""), out);
        }
    }

    /// Looks whether a node is there.
    pub fn connect_exchange(
        &mut self,
        now: SystemTime,
        exchange_conn: ExchangeConnId,
        address: SocketAddr,
        limit: Duration,
        out: &mut Output,
    ) {
        let Some(number) = self.free_number() else {
            out.inputs.push(Input::ExchangeConnectFailed { exchange_conn, refused: false });
            return;
        };
        self.pokes
            .insert(number, Poke { exchange_conn, address, next: now + POKE_AGAIN, until: now + limit });
        out.datagrams.push((address, poke_frame(number, false)));
    }

    /// A node that is gone: its legs are ended without a word, as nobody is there.
    pub fn close_exchange(&mut self, now: SystemTime, exchange_conn: ExchangeConnId) {
        self.nodes.remove(&exchange_conn);
        self.pokes.retain(|_, poke| poke.exchange_conn != exchange_conn);
        let numbers: Vec<u16> =
            self.lines.iter().filter(|(_, l)| l.role == Role::Node(exchange_conn)).map(|(n, _)| *n).collect();
        for number in numbers {
            self.remove(number, now);
        }
    }
}

fn poke_frame(number: u16, retransmitted: bool) -> Vec<u8> {
    let (frame_type, subclass, payload) = (FrameType::Iax, iax::POKE, Vec::new());
    FullFrame {
        source_call: number,
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

/// The format of a leg: the wanted one, else the first that can be taken.
fn chosen(elements: &InformationElements) -> u32 {
    let capability = elements.capability.unwrap_or(G711_FORMATS);
    elements.format.filter(|format| *format != 0).unwrap_or(capability & capability.wrapping_neg())
}

/// A description of what IAX2 negotiates, for the core to pass on unchanged.
fn describe(capability: u32, format: u32) -> String {
    format!("a=iax2-capability:{capability:08x}\r\na=iax2-format:{format:08x}\r\n")
}

/// The format in a description of ours; `None` in anyone else's.
fn described_format(description: &str) -> Option<u32> {
    let line = description.lines().find_map(|line| line.strip_prefix("a=iax2-format:"))?;
    u32::from_str_radix(line, 16).ok().filter(|format| *format != 0)
}

/// Spreads consecutive numbers over all ids (the finishing steps of splitmix64).
fn scattered(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
