//! The mesh on loopback: sockets for the exchanges, callers and resolvers of the model, and real softswitches as child
//! processes.
//!
//! The platform's protocol doesn't say which softswitch a connection comes from; normally its source address does. On
//! loopback all softswitches have the same address, so each one has its own resolver, which gives it its own port for
//! each exchange.

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

/// Time limit for all softswitches to log their addresses after their start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);
/// A connection is closed if more bytes than this are received without the end of a line.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Longest wait for socket events. The logs and exits of softswitches are read at least this often: they don't wake the
/// poll.
const MAX_POLL_WAIT: Duration = Duration::from_millis(20);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of the model and of the softswitches.
    pub seed: u64,
    /// Path of the softswitch program.
    pub program: PathBuf,
    /// Directory for configurations, logs and records; it is created if it is missing.
    pub directory: PathBuf,
}

/// What a connection is used for.
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
    /// Bytes received that are not a complete line yet.
    unread: Vec<u8>,
    unsent: Vec<u8>,
}

#[derive(Debug, Default)]
struct SoftswitchProcess {
    child: Option<Child>,
    /// Address for calls, once it has been logged.
    address: Option<SocketAddr>,
    /// Address of the operators' HTTP interface, once it has been logged.
    operator_address: Option<SocketAddr>,
    /// The connection of its callers.
    caller_conn: Option<Token>,
}

/// Log message of a softswitch with an address at which it listens: `serves` for calls, `operators` for the operators'
/// HTTP interface. `start` is the number of the process, counted over all softswitches.
enum LogEvent {
    Serves { softswitch: usize, start: u32, address: SocketAddr },
    Operators { softswitch: usize, address: SocketAddr },
}

/// A model with its sockets and softswitch processes. Dropping it kills the processes.
pub struct LoopbackMesh {
    options: RunOptions,
    model: MeshModel,
    started_at: Instant,
    epoch: SystemTime,
    poll: Poll,
    events: Events,
    last_token: usize,
    /// Listening socket of each exchange for each softswitch, by softswitch and exchange; none while the exchange is
    /// down.
    listeners: BTreeMap<(usize, usize), (Token, TcpListener)>,
    listener_tokens: HashMap<Token, (usize, usize)>,
    /// Address of each of these sockets, which a restarted exchange uses again.
    exchange_addresses: BTreeMap<(usize, usize), SocketAddr>,
    /// Socket of the resolver of each softswitch; its token is the number of the softswitch.
    resolvers: Vec<UdpSocket>,
    connections: HashMap<Token, Connection>,
    softswitches: Vec<SoftswitchProcess>,
    /// Number of softswitch processes launched.
    starts: u32,
    log_events: Receiver<LogEvent>,
    log_sender: Sender<LogEvent>,
    outputs: VecDeque<Output>,
}

impl LoopbackMesh {
    /// Opens all sockets, starts all softswitches and waits until they serve.
    ///
    /// # Errors
    /// If a socket, file or process cannot be created, or a softswitch doesn't start; its log shows why.
    pub fn start(options: RunOptions) -> io::Result<Self> {
        fs::create_dir_all(&options.directory)?;
        let nodes = options.scenario.nodes;
        let poll = Poll::new()?;
        let (log_sender, log_events) = channel();
        let mut mesh = Self {
            model: MeshModel::new(options.scenario.clone(), options.seed),
            started_at: Instant::now(),
            epoch: SystemTime::now(),
            poll,
            events: Events::with_capacity(256),
            last_token: nodes,
            listeners: BTreeMap::new(),
            listener_tokens: HashMap::new(),
            exchange_addresses: BTreeMap::new(),
            resolvers: Vec::new(),
            connections: HashMap::new(),
            softswitches: (0..nodes).map(|_| SoftswitchProcess::default()).collect(),
            starts: 0,
            log_events,
            log_sender,
            outputs: VecDeque::new(),
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
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while mesh
            .softswitches
            .iter()
            .any(|softswitch| softswitch.address.is_none() || softswitch.operator_address.is_none())
        {
            if Instant::now() > deadline || mesh.any_exited() {
                let logs = mesh.options.directory.display();
                return Err(io::Error::other(format!("a softswitch did not start: see the logs in {logs}")));
            }
            mesh.poll_once(MAX_POLL_WAIT)?;
        }
        // The clock of the model is reset once all softswitches serve. The model has already handled the time that the
        // start-up took, so its own time stands still until the clock has caught up.
        (mesh.started_at, mesh.epoch) = (Instant::now(), SystemTime::now());
        Ok(mesh)
    }

    /// The model of the mesh.
    pub fn model(&self) -> &MeshModel {
        &self.model
    }

    /// Wall-clock time at which the model's time started.
    pub fn epoch(&self) -> SystemTime {
        self.epoch
    }

    /// Time since the model's time started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Addresses of the operators' HTTP interfaces.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.softswitches.iter().filter_map(|softswitch| softswitch.operator_address).collect()
    }

    /// Process ids of the running softswitches.
    pub fn process_ids(&self) -> Vec<u32> {
        self.softswitches.iter().filter_map(|softswitch| Some(softswitch.child.as_ref()?.id())).collect()
    }

    /// Directory of the records.
    pub fn records_directory(&self) -> PathBuf {
        self.options.directory.join("records")
    }

    /// Runs until the model has finished, for this long at most; returns whether it is still unfinished.
    ///
    /// # Errors
    /// If a socket, file or process cannot be used.
    pub fn run(&mut self, limit: Duration) -> io::Result<bool> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && !self.model.is_finished() {
            self.poll_once(deadline.saturating_duration_since(Instant::now()))?;
        }
        Ok(!self.model.is_finished())
    }

    /// Asks the softswitches to stop and waits for this long at most; those that still run are killed. A softswitch
    /// lets established calls continue for up to 10 s before it stops.
    pub fn shut_down(&mut self, limit: Duration) {
        for softswitch in &self.softswitches {
            if let Some(child) = &softswitch.child {
                terminate(child);
            }
        }
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && self.softswitches.iter_mut().any(SoftswitchProcess::is_running) {
            // Established calls can still end, and messages are still read.
            let _ = self.poll_once(MAX_POLL_WAIT);
        }
        self.softswitches.iter_mut().for_each(SoftswitchProcess::kill);
    }

    /// Whether a softswitch process has exited by itself and this has not been handled yet.
    fn any_exited(&mut self) -> bool {
        self.softswitches.iter_mut().any(|softswitch| softswitch.child.is_some() && !softswitch.is_running())
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    // ---- softswitches ----

    /// Opens the listening socket of an exchange for a softswitch, at the address that it had before, if any.
    fn listen(&mut self, softswitch: usize, exchange: usize) -> io::Result<()> {
        let address = self.exchange_addresses.get(&(softswitch, exchange)).copied();
        let mut listener = TcpListener::bind(address.unwrap_or(([127, 0, 0, 1], 0).into()))?;
        self.exchange_addresses.insert((softswitch, exchange), listener.local_addr()?);
        let token = self.next_token();
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listener_tokens.insert(token, (softswitch, exchange));
        self.listeners.insert((softswitch, exchange), (token, listener));
        Ok(())
    }

    /// Writes the configuration of a softswitch and starts its process. A restarted one listens at the addresses that
    /// it had before.
    fn launch(&mut self, softswitch: usize) -> io::Result<()> {
        self.starts += 1;
        let (start, directory) = (self.starts, self.options.directory.clone());
        let (config_path, edge_path) = (
            directory.join(format!("n{softswitch}.json")),
            directory.join(format!("n{softswitch}-edge.json")),
        );
        fs::write(&config_path, self.config_json(softswitch)?)?;
        fs::write(&edge_path, self.edge_settings_json(softswitch))?;
        let mut command = Command::new(&self.options.program);
        command
            .args(["serve", "--log-format", "json", "--config"])
            .arg(&config_path)
            .arg("--edge")
            .arg(&edge_path);
        command.env_remove("NODE_CONFIG").env_remove("NODE_FD").env_remove("NODE_OPERATOR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let log =
            File::options().create(true).append(true).open(directory.join(format!("n{softswitch}.log")))?;
        if let Some(stderr) = child.stderr.take() {
            let log_sender = self.log_sender.clone();
            let copy_log = move || read_log(softswitch, start, BufReader::new(stderr), log, &log_sender);
            std::thread::Builder::new().name(format!("log of n{softswitch}")).spawn(copy_log)?;
        }
        self.softswitches[softswitch].child = Some(child);
        Ok(())
    }

    fn edge_settings_json(&self, softswitch: usize) -> String {
        let clock = self.options.scenario.incidents.iter().find_map(|incident| match incident.kind {
            ScriptedKind::Clock(ahead_ms, drift_ppm) if incident.node == softswitch => {
                Some((ahead_ms, drift_ppm))
            }
            _ => None,
        });
        let (ahead_ms, drift_ppm) = clock.unwrap_or_default();
        let directory = json_string(&self.records_directory().to_string_lossy());
        format!(
            "{{\"records\":{{\"enabled\":true,\"directory\":{directory}}},\n\
             \"rehearsal\":{{\"clock_ahead_ms\":{ahead_ms},\"clock_drift_ppm\":{drift_ppm}}},\n\
             \"fleet\":{{\"enabled\":true}}}}\n"
        )
    }

    fn config_json(&mut self, softswitch: usize) -> io::Result<String> {
        let now = self.started_at.elapsed();
        let resolver = self.resolvers[softswitch].local_addr()?;
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listen = self.softswitches[softswitch].address.unwrap_or(any_port);
        let operator = self.softswitches[softswitch].operator_address.unwrap_or(any_port);
        let (serial, list) = self.model.list(now);
        let list: Vec<(ListedExchange, SocketAddr)> = list
            .iter()
            .map(|entry| (entry.clone(), self.exchange_addresses[&(softswitch, entry.exchange)]))
            .collect();
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

    // ---- event loop ----

    fn handle_input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.model.handle(self.started_at.elapsed(), input, &mut out);
        self.outputs.extend(out);
    }

    /// Waits for events for this long at most, handles them and carries out the effects that the model requests.
    fn poll_once(&mut self, limit: Duration) -> io::Result<()> {
        let next = self.model.next_wake().map(|at| at.saturating_sub(self.started_at.elapsed()));
        let wait = next.unwrap_or(limit).min(limit).min(MAX_POLL_WAIT);
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let tokens: Vec<Token> = self.events.iter().map(|event| event.token()).collect();
        for token in tokens {
            if token.0 < self.resolvers.len() {
                self.answer_queries(token.0);
            } else if let Some((softswitch, exchange)) = self.listener_tokens.get(&token).copied() {
                self.accept(softswitch, exchange);
            } else {
                self.read(token);
            }
        }
        while let Ok(event) = self.log_events.try_recv() {
            self.handle_log_event(event);
        }
        for softswitch in 0..self.softswitches.len() {
            if self.softswitches[softswitch].child.is_some() && !self.softswitches[softswitch].is_running() {
                self.handle_exit(softswitch);
            }
        }
        self.handle_input(Input::Wake);
        while let Some(output) = self.outputs.pop_front() {
            self.perform_output(output)?;
        }
        Ok(())
    }

    fn handle_log_event(&mut self, event: LogEvent) {
        match event {
            LogEvent::Operators { softswitch, address } => {
                self.softswitches[softswitch].operator_address = Some(address)
            }
            LogEvent::Serves { softswitch, start, address } => {
                // The processes are counted over all softswitches. If at least as many as there are softswitches were
                // launched after this one, it is assumed to have been replaced, and its line is ignored.
                if start + self.softswitches.len() as u32 > self.starts {
                    self.softswitches[softswitch].address = Some(address);
                    self.handle_input(Input::SoftswitchUp(softswitch));
                }
            }
        }
    }

    /// Handles the end of a softswitch process, expected or not.
    fn handle_exit(&mut self, softswitch: usize) {
        self.softswitches[softswitch].child = None;
        if let Some(token) = self.softswitches[softswitch].caller_conn.take() {
            self.connections.remove(&token);
        }
        self.handle_input(Input::SoftswitchDown(softswitch));
    }

    fn perform_output(&mut self, output: Output) -> io::Result<()> {
        match output {
            Output::FromCaller { softswitch, call, message } => {
                self.send_as_caller(softswitch, call, &message)
            }
            Output::FromExchange { softswitch, exchange, call, message } => {
                let role = Role::Exchange { softswitch, exchange };
                // On the newest connection: the softswitch may be about to close an older one.
                let tokens =
                    self.connections.iter().filter(|(_, conn)| conn.role == role).map(|(token, _)| *token);
                if let Some(token) = tokens.max() {
                    self.send(token, &exchange_line(call, &message));
                }
            }
            Output::ExchangeDown(exchange) => {
                let is_lost =
                    |role: &Role| matches!(role, Role::Exchange { exchange: e, .. } if *e == exchange);
                self.connections.retain(|_, conn| !is_lost(&conn.role));
                self.listeners.retain(|(_, e), _| *e != exchange);
                self.listener_tokens.retain(|_, (_, e)| *e != exchange);
            }
            Output::ExchangeUp(exchange) => {
                for softswitch in 0..self.softswitches.len() {
                    self.listen(softswitch, exchange)?;
                }
            }
            Output::KillSoftswitch(softswitch) => {
                self.softswitches[softswitch].kill();
                self.handle_exit(softswitch);
            }
            Output::StartSoftswitch(softswitch) => self.launch(softswitch)?,
        }
        Ok(())
    }

    fn accept(&mut self, softswitch: usize, exchange: usize) {
        while let Some((_, listener)) = self.listeners.get(&(softswitch, exchange)) {
            let Ok((stream, _)) = listener.accept() else { return };
            if self.add_connection(stream, Role::Exchange { softswitch, exchange }).is_some() {
                self.handle_input(Input::ExchangeConnected { softswitch, exchange });
            }
        }
    }

    fn add_connection(&mut self, mut stream: TcpStream, role: Role) -> Option<Token> {
        let token = self.next_token();
        let interests = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token, interests).ok()?;
        let _ = stream.set_nodelay(true);
        let (unread, unsent) = (Vec::new(), Vec::new());
        self.connections.insert(token, Connection { role, stream, unread, unsent });
        Some(token)
    }

    /// Sends a message of a caller on the connection of all callers of this softswitch; opens it if needed.
    fn send_as_caller(&mut self, softswitch: usize, call: u64, message: &MessageFromCaller) {
        let line = caller_line(call, message);
        if self.softswitches[softswitch]
            .caller_conn
            .is_none_or(|token| !self.connections.contains_key(&token))
        {
            let Some(address) = self.softswitches[softswitch].address else { return };
            let Ok(stream) = TcpStream::connect(address) else { return };
            self.softswitches[softswitch].caller_conn =
                self.add_connection(stream, Role::Caller { softswitch });
        }
        if let Some(token) = self.softswitches[softswitch].caller_conn {
            self.send(token, &line);
        }
    }

    fn send(&mut self, token: Token, line: &str) {
        let Some(conn) = self.connections.get_mut(&token) else { return };
        conn.unsent.extend_from_slice(line.as_bytes());
        self.write(token);
    }

    fn write(&mut self, token: Token) {
        let Some(conn) = self.connections.get_mut(&token) else { return };
        while !conn.unsent.is_empty() {
            match conn.stream.write(&conn.unsent) {
                Ok(length) => {
                    conn.unsent.drain(..length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The rest is written at the next event of the connection: when it is writable or established.
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
        let Some(conn) = self.connections.get_mut(&token) else { return };
        let role = conn.role;
        let mut buffer = [0; 16 * 1024];
        let mut open = true;
        loop {
            match conn.stream.read(&mut buffer) {
                Ok(0) => open = false,
                Ok(length) => {
                    conn.unread.extend_from_slice(&buffer[..length]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {}
                Err(_) => open = false,
            }
            break;
        }
        let mut lines = Vec::new();
        while let Some(end) = conn.unread.iter().position(|byte| *byte == b'\n') {
            lines.push(conn.unread.drain(..=end).collect::<Vec<u8>>());
        }
        if !open || conn.unread.len() > MAX_LINE_BYTES {
            self.connections.remove(&token);
        }
        for line in lines {
            if let Some(input) = std::str::from_utf8(&line).ok().and_then(|line| parse_line(role, line)) {
                self.handle_input(input);
            }
        }
    }

    // ---- resolver ----

    /// Answers every query of a softswitch with the complete list, whatever it asks for.
    fn answer_queries(&mut self, softswitch: usize) {
        let mut query = [0; 512];
        while let Ok((length, from)) = self.resolvers[softswitch].recv_from(&mut query) {
            // Shorter than a DNS header.
            if length < 12 {
                continue;
            }
            let id = u16::from_be_bytes([query[0], query[1]]);
            let (now, epoch) = (self.started_at.elapsed(), self.epoch);
            let (serial, list) = self.model.list(now);
            let list: Vec<(ListedExchange, SocketAddr)> = list
                .iter()
                .map(|entry| (entry.clone(), self.exchange_addresses[&(softswitch, entry.exchange)]))
                .collect();
            if let Ok(answer) = list_answer(id, serial, &list, epoch) {
                // The softswitch repeats a query that gets no answer.
                let _ = self.resolvers[softswitch].send_to(&answer, from);
            }
        }
    }
}

impl Drop for LoopbackMesh {
    fn drop(&mut self) {
        self.softswitches.iter_mut().for_each(SoftswitchProcess::kill);
    }
}

impl SoftswitchProcess {
    fn is_running(&mut self) -> bool {
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
        // The error is ignored: the process may have exited by itself.
        let _ = rustix::process::kill_process(id, rustix::process::Signal::TERM);
    }
}

/// Copies the log of a softswitch to its file and reports the addresses at which the softswitch listens.
fn read_log(softswitch: usize, start: u32, from: impl BufRead, mut to: File, events: &Sender<LogEvent>) {
    for line in from.lines().map_while(Result::ok) {
        let _ = writeln!(to, "{line}");
        let Ok(json) = line.parse::<JsonValue>() else { continue };
        let field = |key: &str| {
            json["fields"].get::<HashMap<String, JsonValue>>()?.get(key)?.get::<String>().cloned()
        };
        let message = field("message");
        let Some(address) = field("address").and_then(|address| address.parse().ok()) else { continue };
        let event = match message.as_deref() {
            Some("serves") => LogEvent::Serves { softswitch, start, address },
            Some("operators") => LogEvent::Operators { softswitch, address },
            _ => continue,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

fn json_string(text: &str) -> String {
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
        MessageFromExchange::Ended(cause, note, wait) => {
            let meta = match *note {
                "" => String::new(),
                note => format!("\"note\":\"{note}\",\"waited\":\"{}\"", wait.as_millis()),
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

/// Parses a line from a softswitch; `None` if the model doesn't use it.
fn parse_line(role: Role, line: &str) -> Option<Input> {
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
                    let wait_ms = meta.and_then(|meta| match meta.get("wait")? {
                        JsonValue::Number(ms) => Some(*ms),
                        JsonValue::String(ms) => ms.parse().ok(),
                        _ => None,
                    });
                    let retry_after =
                        Duration::from_secs_f64(wait_ms.unwrap_or(0.0).clamp(0.0, 60_000.0) / 1e3);
                    MessageToCaller::Ended(cause, retry_after)
                }
                _ => return None,
            };
            Some(Input::ToCaller { softswitch, call, message })
        }
    }
}

/// The answer of the resolver with the complete list of exchanges.
fn list_answer(
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

/// The program of this name in the directory of another program or in its parent directory, where cargo puts the
/// programs of a workspace.
pub fn find_program(program: &Path, name: &str) -> Option<PathBuf> {
    let directory = program.parent()?;
    [directory, directory.parent()?].iter().map(|directory| directory.join(name)).find(|path| path.is_file())
}
