//! The world on loopback: sockets for its exchanges, callers and resolver, and real softswitches as child processes.
//!
//! Nothing in the platform's protocol says which softswitch a connection comes from; the machine's address does. On
//! loopback all have the same, so each softswitch has a resolver of its own and is told ports of its own.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime};

use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};
use tinyjson::JsonValue;

use crate::config::{SoftswitchConfig, started_ms, zone};
use crate::model::{
    Input, ListedExchange, MeshModel, MessageFromCaller, MessageFromExchange, MessageToCaller,
    MessageToExchange, Output,
};
use crate::scenario::{Scenario, ScriptedKind};

/// A softswitch that has not said where it listens by then will not.
const START: Duration = Duration::from_secs(8);
/// The longest line of the protocol.
const LONGEST: usize = 16 * 1024;

/// What the mesh needs to know beside the scenario.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// What is played.
    pub scenario: Scenario,
    /// Seed of the world and of the softswitches.
    pub seed: u64,
    /// The softswitch program.
    pub program: PathBuf,
    /// Folder for configurations, logs and records; it is made if it is not there.
    pub directory: PathBuf,
}

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// From a softswitch to an exchange.
    Exchange { softswitch: usize, exchange: usize },
    /// From callers to a softswitch.
    Caller { softswitch: usize },
}

#[derive(Debug)]
struct Connection {
    role: Role,
    stream: TcpStream,
    unread: Vec<u8>,
    unsent: Vec<u8>,
}

#[derive(Debug, Default)]
struct Switch {
    child: Option<Child>,
    address: Option<SocketAddr>,
    operator: Option<SocketAddr>,
    /// Its connection from callers.
    link: Option<Token>,
}

/// What a softswitch says in its log.
enum Word {
    Serves { softswitch: usize, start: u32, address: SocketAddr },
    Operators { softswitch: usize, address: SocketAddr },
}

/// A world, its sockets and its softswitches. Dropping it ends what it started.
pub struct LoopbackMesh {
    options: RunOptions,
    model: MeshModel,
    began: Instant,
    epoch: SystemTime,
    poll: Poll,
    events: Events,
    tokens: usize,
    /// Listeners of exchanges by the softswitch that they are for; none while the exchange's process is gone.
    listeners: BTreeMap<(usize, usize), (Token, TcpListener)>,
    listener_tokens: HashMap<Token, (usize, usize)>,
    ports: BTreeMap<(usize, usize), SocketAddr>,
    resolvers: Vec<UdpSocket>,
    connections: HashMap<Token, Connection>,
    switches: Vec<Switch>,
    starts: u32,
    words: Receiver<Word>,
    speak: Sender<Word>,
    out: VecDeque<Output>,
}

impl LoopbackMesh {
    /// Opens all sockets, starts all softswitches and waits until they serve.
    ///
    /// # Errors
    /// If something cannot be had, or a softswitch does not start; its log in the folder says why.
    pub fn start(options: RunOptions) -> io::Result<Self> {
        fs::create_dir_all(&options.directory)?;
        let nodes = options.scenario.nodes;
        let poll = Poll::new()?;
        let (speak, words) = channel();
        let mut mesh = Self {
            model: MeshModel::new(options.scenario.clone(), options.seed),
            began: Instant::now(),
            epoch: SystemTime::now(),
            poll,
            events: Events::with_capacity(256),
            tokens: nodes,
            listeners: BTreeMap::new(),
            listener_tokens: HashMap::new(),
            ports: BTreeMap::new(),
            resolvers: Vec::new(),
            connections: HashMap::new(),
            switches: (0..nodes).map(|_| Switch::default()).collect(),
            starts: 0,
            words,
            speak,
            out: VecDeque::new(),
            options,
        };
        for softswitch in 0..nodes {
            let mut resolver = UdpSocket::bind(([127, 0, 0, 1], 0).into())?;
            mesh.poll.registry().register(&mut resolver, Token(softswitch), Interest::READABLE)?;
            mesh.resolvers.push(resolver);
            for exchange in 0..nodes {
                mesh.listen(softswitch, exchange)?;
            }
        }
        for softswitch in 0..nodes {
            mesh.launch(softswitch)?;
        }
        let until = Instant::now() + START;
        while mesh
            .switches
            .iter()
            .any(|softswitch| softswitch.address.is_none() || softswitch.operator.is_none())
        {
            if Instant::now() > until || mesh.ended() {
                let logs = mesh.options.directory.display();
                return Err(io::Error::other(format!("a softswitch does not start: see the logs in {logs}")));
            }
            mesh.turn(Duration::from_millis(20))?;
        }
        // The world's time begins with its first call.
        (mesh.began, mesh.epoch) = (Instant::now(), SystemTime::now());
        Ok(mesh)
    }

    /// The model.
    pub fn model(&self) -> &MeshModel {
        &self.model
    }

    /// The moment at which the world began.
    pub fn epoch(&self) -> SystemTime {
        self.epoch
    }

    /// Time since then.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Where operators reach the softswitches.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.switches.iter().filter_map(|softswitch| softswitch.operator).collect()
    }

    /// Process ids of the softswitches that run.
    pub fn process_ids(&self) -> Vec<u32> {
        self.switches.iter().filter_map(|softswitch| Some(softswitch.child.as_ref()?.id())).collect()
    }

    /// Folder of the records.
    pub fn records_directory(&self) -> PathBuf {
        self.options.directory.join("records")
    }

    /// Plays on for this long at most; says whether there is more to play.
    ///
    /// # Errors
    /// Of the system.
    pub fn run(&mut self, limit: Duration) -> io::Result<bool> {
        let until = Instant::now() + limit;
        while Instant::now() < until && !self.model.is_finished() {
            self.turn(until.saturating_duration_since(Instant::now()))?;
        }
        Ok(!self.model.is_finished())
    }

    /// Tells the softswitches to end and waits until they have, for this long at most; those that have not by then are
    /// killed. Calls that stand go on for up to 10 s.
    pub fn shut_down(&mut self, limit: Duration) {
        for softswitch in &self.switches {
            if let Some(child) = &softswitch.child {
                terminate(child);
            }
        }
        let until = Instant::now() + limit;
        while Instant::now() < until && self.switches.iter_mut().any(Switch::runs) {
            // Calls that stand still end, and what has been said is still read.
            let _ = self.turn(Duration::from_millis(20));
        }
        self.switches.iter_mut().for_each(Switch::kill);
    }

    /// Whether a softswitch has ended by itself.
    fn ended(&mut self) -> bool {
        self.switches.iter_mut().any(|softswitch| softswitch.child.is_some() && !softswitch.runs())
    }

    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    // ---- softswitches ----

    fn listen(&mut self, softswitch: usize, exchange: usize) -> io::Result<()> {
        let address = self.ports.get(&(softswitch, exchange)).copied();
        let mut listener = TcpListener::bind(address.unwrap_or(([127, 0, 0, 1], 0).into()))?;
        self.ports.insert((softswitch, exchange), listener.local_addr()?);
        let token = self.token();
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listener_tokens.insert(token, (softswitch, exchange));
        self.listeners.insert((softswitch, exchange), (token, listener));
        Ok(())
    }

    /// Starts the process of a softswitch; where it listened before, it listens again.
    fn launch(&mut self, softswitch: usize) -> io::Result<()> {
        self.starts += 1;
        let (start, folder) = (self.starts, self.options.directory.clone());
        let (config, edge) =
            (folder.join(format!("n{softswitch}.json")), folder.join(format!("n{softswitch}-edge.json")));
        fs::write(&config, self.config(softswitch)?)?;
        fs::write(&edge, self.edge(softswitch))?;
        let mut command = Command::new(&self.options.program);
        command.args(["serve", "--log-format", "json", "--config"]).arg(&config).arg("--edge").arg(&edge);
        command.env_remove("NODE_CONFIG").env_remove("NODE_FD").env_remove("NODE_OPERATOR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let log =
            File::options().create(true).append(true).open(folder.join(format!("n{softswitch}.log")))?;
        if let Some(errors) = child.stderr.take() {
            let speak = self.speak.clone();
            let read = move || read_log(softswitch, start, BufReader::new(errors), log, &speak);
            std::thread::Builder::new().name(format!("log of n{softswitch}")).spawn(read)?;
        }
        self.switches[softswitch].child = Some(child);
        Ok(())
    }

    fn edge(&self, softswitch: usize) -> String {
        let clock = self.options.scenario.incidents.iter().find_map(|incident| match incident.kind {
            ScriptedKind::Clock(ahead, drift) if incident.node == softswitch => Some((ahead, drift)),
            _ => None,
        });
        let (ahead, drift) = clock.unwrap_or_default();
        let directory = quoted(&self.records_directory().to_string_lossy());
        format!(
            "{{\"records\":{{\"enabled\":true,\"directory\":{directory}}},\n\
             \"rehearsal\":{{\"clock_ahead_ms\":{ahead},\"clock_drift_ppm\":{drift}}},\n\
             \"fleet\":{{\"enabled\":true}}}}\n"
        )
    }

    fn config(&mut self, softswitch: usize) -> io::Result<String> {
        let now = self.began.elapsed();
        let resolver = self.resolvers[softswitch].local_addr()?;
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listen = self.switches[softswitch].address.unwrap_or(any);
        let operator = self.switches[softswitch].operator.unwrap_or(any);
        let (serial, list) = self.model.list(now);
        let list: Vec<(ListedExchange, SocketAddr)> =
            list.iter().map(|entry| (entry.clone(), self.ports[&(softswitch, entry.exchange)])).collect();
        let node_count = self.options.scenario.nodes;
        let config = SoftswitchConfig {
            number: softswitch,
            node_count,
            listen,
            operator,
            resolver,
            seed: self.options.seed,
            epoch: self.epoch,
        };
        Ok(config.to_json(serial, &list))
    }

    // ---- the loop ----

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.model.handle(self.began.elapsed(), input, &mut out);
        self.out.extend(out);
    }

    fn turn(&mut self, limit: Duration) -> io::Result<()> {
        let next = self.model.next_wake().map(|at| at.saturating_sub(self.began.elapsed()));
        // Words of the logs come without waking this loop.
        let wait = next.unwrap_or(limit).min(limit).min(Duration::from_millis(20));
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let tokens: Vec<Token> = self.events.iter().map(|event| event.token()).collect();
        for token in tokens {
            if token.0 < self.resolvers.len() {
                self.resolve(token.0);
            } else if let Some((softswitch, exchange)) = self.listener_tokens.get(&token).copied() {
                self.accept(softswitch, exchange);
            } else {
                self.read(token);
            }
        }
        while let Ok(message) = self.words.try_recv() {
            self.hear_log(message);
        }
        for softswitch in 0..self.switches.len() {
            if self.switches[softswitch].child.is_some() && !self.switches[softswitch].runs() {
                self.lose_switch(softswitch);
            }
        }
        self.input(Input::Wake);
        while let Some(output) = self.out.pop_front() {
            self.perform(output)?;
        }
        Ok(())
    }

    fn hear_log(&mut self, message: Word) {
        match message {
            Word::Operators { softswitch, address } => self.switches[softswitch].operator = Some(address),
            Word::Serves { softswitch, start, address } => {
                if start + self.switches.len() as u32 > self.starts {
                    self.switches[softswitch].address = Some(address);
                    self.input(Input::SoftswitchUp(softswitch));
                }
            }
        }
    }

    fn lose_switch(&mut self, softswitch: usize) {
        self.switches[softswitch].child = None;
        if let Some(token) = self.switches[softswitch].link.take() {
            self.connections.remove(&token);
        }
        self.input(Input::SoftswitchDown(softswitch));
    }

    fn perform(&mut self, output: Output) -> io::Result<()> {
        match output {
            Output::FromCaller { softswitch, call, message } => self.send_caller(softswitch, call, &message),
            Output::FromExchange { softswitch, exchange, call, message } => {
                let role = Role::Exchange { softswitch, exchange };
                // On the newest: an older one may be about to be closed.
                let open =
                    self.connections.iter().filter(|(_, held)| held.role == role).map(|(token, _)| *token);
                if let Some(token) = open.max() {
                    self.send(token, &exchange_line(call, &message));
                }
            }
            Output::ExchangeDown(exchange) => {
                let gone = |role: &Role| matches!(role, Role::Exchange { exchange: e, .. } if *e == exchange);
                self.connections.retain(|_, held| !gone(&held.role));
                self.listeners.retain(|(_, e), _| *e != exchange);
                self.listener_tokens.retain(|_, (_, e)| *e != exchange);
            }
            Output::ExchangeUp(exchange) => {
                for softswitch in 0..self.switches.len() {
                    self.listen(softswitch, exchange)?;
                }
            }
            Output::KillSoftswitch(softswitch) => {
                self.switches[softswitch].kill();
                self.lose_switch(softswitch);
            }
            Output::StartSoftswitch(softswitch) => self.launch(softswitch)?,
        }
        Ok(())
    }

    fn accept(&mut self, softswitch: usize, exchange: usize) {
        while let Some((_, listener)) = self.listeners.get(&(softswitch, exchange)) {
            let Ok((stream, _)) = listener.accept() else { return };
            if self.keep(stream, Role::Exchange { softswitch, exchange }).is_some() {
                self.input(Input::ExchangeConnected { softswitch, exchange });
            }
        }
    }

    fn keep(&mut self, mut stream: TcpStream, role: Role) -> Option<Token> {
        let token = self.token();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token, both).ok()?;
        let _ = stream.set_nodelay(true);
        let (unread, unsent) = (Vec::new(), Vec::new());
        self.connections.insert(token, Connection { role, stream, unread, unsent });
        Some(token)
    }

    fn send_caller(&mut self, softswitch: usize, call: u64, message: &MessageFromCaller) {
        let line = caller_line(call, message);
        if self.switches[softswitch].link.is_none_or(|token| !self.connections.contains_key(&token)) {
            let Some(address) = self.switches[softswitch].address else { return };
            let Ok(stream) = TcpStream::connect(address) else { return };
            self.switches[softswitch].link = self.keep(stream, Role::Caller { softswitch });
        }
        if let Some(token) = self.switches[softswitch].link {
            self.send(token, &line);
        }
    }

    fn send(&mut self, token: Token, line: &str) {
        let Some(held) = self.connections.get_mut(&token) else { return };
        held.unsent.extend_from_slice(line.as_bytes());
        self.write(token);
    }

    fn write(&mut self, token: Token) {
        let Some(held) = self.connections.get_mut(&token) else { return };
        while !held.unsent.is_empty() {
            match held.stream.write(&held.unsent) {
                Ok(length) => {
                    held.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The rest goes once the poll says that it may, or that the connection is up.
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return;
                }
                Err(_) => {
                    self.connections.remove(&token);
                    return;
                }
            }
        }
    }

    fn read(&mut self, token: Token) {
        self.write(token);
        let Some(held) = self.connections.get_mut(&token) else { return };
        let role = held.role;
        let mut buffer = [0; 16 * 1024];
        let mut open = true;
        loop {
            match held.stream.read(&mut buffer) {
                Ok(0) => open = false,
                Ok(length) => {
                    held.unread.extend_from_slice(&buffer[..length]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {}
                Err(_) => open = false,
            }
            break;
        }
        let mut lines = Vec::new();
        while let Some(end) = held.unread.iter().position(|byte| *byte == b'\n') {
            lines.push(held.unread.drain(..=end).collect::<Vec<u8>>());
        }
        if !open || held.unread.len() > LONGEST {
            self.connections.remove(&token);
        }
        for line in lines {
            if let Some(input) = std::str::from_utf8(&line).ok().and_then(|line| read_line(role, line)) {
                self.input(input);
            }
        }
    }

    // ---- the resolver ----

    fn resolve(&mut self, softswitch: usize) {
        let mut query = [0; 512];
        while let Ok((length, from)) = self.resolvers[softswitch].recv_from(&mut query) {
            if length < 12 {
                continue;
            }
            let id = u16::from_be_bytes([query[0], query[1]]);
            let (now, epoch) = (self.began.elapsed(), self.epoch);
            let (serial, list) = self.model.list(now);
            let list: Vec<(ListedExchange, SocketAddr)> =
                list.iter().map(|entry| (entry.clone(), self.ports[&(softswitch, entry.exchange)])).collect();
            if let Ok(answer) = answer(id, serial, &list, epoch) {
                // A lost answer is asked for again.
                let _ = self.resolvers[softswitch].send_to(&answer, from);
            }
        }
    }
}

impl Drop for LoopbackMesh {
    fn drop(&mut self) {
        self.switches.iter_mut().for_each(Switch::kill);
    }
}

impl Switch {
    fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn terminate(child: &Child) {
    let id = i32::try_from(child.id()).ok().and_then(rustix::process::Pid::from_raw);
    if let Some(id) = id {
        // One that has ended by itself needs no order.
        let _ = rustix::process::kill_process(id, rustix::process::Signal::TERM);
    }
}

/// Copies a log to its file and tells where the softswitch listens.
fn read_log(softswitch: usize, start: u32, from: impl BufRead, mut to: File, speak: &Sender<Word>) {
    for line in from.lines().map_while(Result::ok) {
        let _ = writeln!(to, "{line}");
        let Ok(json) = line.parse::<JsonValue>() else { continue };
        let field = |key: &str| {
            json["fields"].get::<HashMap<String, JsonValue>>()?.get(key)?.get::<String>().cloned()
        };
        let message = field("message");
        let Some(address) = field("address").and_then(|address| address.parse().ok()) else { continue };
        let message = match message.as_deref() {
            Some("serves") => Word::Serves { softswitch, start, address },
            Some("operators") => Word::Operators { softswitch, address },
            _ => continue,
        };
        if speak.send(message).is_err() {
            return;
        }
    }
}

fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_default()
}

fn caller_line(call: u64, message: &MessageFromCaller) -> String {
    match message {
        MessageFromCaller::SetUp { class, remaining, dest, transit_from } => {
            let via = transit_from.map_or("-1".to_owned(), |from| from.to_string());
            let transit = if transit_from.is_some() { ";transit:1" } else { "" };
            format!(
                "{{\"kind\":\"launch\",\"uid\":\"{call:016x}\",\"meta\":{{\"class\":\"{class}\",\"left\":\"{}\",\"key\":\"{call:016x}\",\
                 \"extras\":\"dest:{dest};width:1;via:{via}{transit}\"}},\"body\":\"v=0\\r\\n\"}}\n",
                remaining.as_millis()
            )
        }
        MessageFromCaller::HangUp => {
            format!("{{\"kind\":\"stop\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"reason\":16}}\n")
        }
    }
}

fn exchange_line(call: u64, message: &MessageFromExchange) -> String {
    match message {
        MessageFromExchange::Answered => {
            format!("{{\"kind\":\"running\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"body\":\"v=0\\r\\n\"}}\n")
        }
        MessageFromExchange::Ended(cause, note, waited) => {
            let meta = match *note {
                "" => String::new(),
                note => format!("\"note\":\"{note}\",\"waited\":\"{}\"", waited.as_millis()),
            };
            format!("{{\"kind\":\"stop\",\"uid\":\"{call:016x}\",\"meta\":{{{meta}}},\"reason\":{cause}}}\n")
        }
        MessageFromExchange::GroupState(free, total) => format!(
            "{{\"kind\":\"usage\",\"uid\":\"{call:016x}\",\"meta\":{{\"load\":\"spare:{free};total:{total}\"}}}}\n"
        ),
        MessageFromExchange::ProbePassed => {
            format!("{{\"kind\":\"checked\",\"uid\":\"{call:016x}\",\"meta\":{{}},\"reason\":1}}\n")
        }
    }
}

/// What a line from a softswitch means; `None` for what means nothing here.
fn read_line(role: Role, line: &str) -> Option<Input> {
    let json = line.parse::<JsonValue>().ok()?;
    let top = json.get::<HashMap<String, JsonValue>>()?;
    let text = |key: &str| top.get(key)?.get::<String>().map(String::as_str);
    let call = u64::from_str_radix(text("uid")?, 16).ok()?;
    let kind = text("kind")?;
    match role {
        Role::Exchange { softswitch, exchange } => {
            let message = match kind {
                "launch" => MessageToExchange::SetUp,
                "stop" => MessageToExchange::Release,
                "check" => MessageToExchange::Probe,
                _ => return None,
            };
            Some(Input::ToExchange { softswitch, exchange, call, message })
        }
        Role::Caller { softswitch } => {
            let message = match kind {
                "running" => MessageToCaller::Answered,
                "stop" => {
                    let cause = top.get("reason")?.get::<f64>().copied()? as u8;
                    let meta = top.get("meta").and_then(|meta| meta.get::<HashMap<String, JsonValue>>());
                    let wait = meta.and_then(|meta| match meta.get("wait")? {
                        JsonValue::Number(ms) => Some(*ms),
                        JsonValue::String(ms) => ms.parse().ok(),
                        _ => None,
                    });
                    let wait = Duration::from_secs_f64(wait.unwrap_or(0.0).clamp(0.0, 60_000.0) / 1e3);
                    MessageToCaller::Ended(cause, wait)
                }
                _ => return None,
            };
            Some(Input::ToCaller { softswitch, call, message })
        }
    }
}

/// The whole list as an answer of the resolver.
fn answer(
    id: u16,
    serial: u32,
    list: &[(ListedExchange, SocketAddr)],
    epoch: SystemTime,
) -> Result<Vec<u8>, simple_dns::SimpleDnsError> {
    let service = Name::new("_api._tcp.svc.local")?;
    let mut packet = Packet::new_reply(id);
    for (entry, address) in list {
        let target = format!("{}.{}.hosts", entry.name, zone(entry.exchange));
        let target = Name::new(&target)?.into_owned();
        let record = |name: &Name<'static>, data| ResourceRecord::new(name.clone(), CLASS::IN, 0, data);
        let srv = SRV {
            priority: u16::from(entry.draining),
            weight: 10,
            port: address.port(),
            target: target.clone(),
        };
        packet.answers.push(record(&service, RData::SRV(srv)));
        packet.additional_records.push(record(&target, RData::A(A { address: 0x7f00_0001 })));
        let (cell, started) =
            (format!("cell={}", entry.exchange), format!("started={}", started_ms(epoch, entry.started_at)));
        let text =
            TXT::new().with_string("kind=std")?.with_string(&cell)?.with_string(&started)?.into_owned();
        packet.additional_records.push(record(&target, RData::TXT(text)));
    }
    let (mname, rname) = (service.clone(), service.clone());
    let soa = SOA { mname, rname, serial, refresh: 1, retry: 1, expire: 1, minimum: 1 };
    packet.name_servers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SOA(soa)));
    packet.build_bytes_vec()
}

/// A program of this name that lies beside another one, or a folder above it, as cargo puts those of a workspace.
pub fn find_program(program: &Path, name: &str) -> Option<PathBuf> {
    let folder = program.parent()?;
    [folder, folder.parent()?].iter().map(|folder| folder.join(name)).find(|path| path.is_file())
}
