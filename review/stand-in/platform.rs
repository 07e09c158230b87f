//! The platform of a case: softswitch processes, exchange processes, the resolver, callers, and the record of what happened.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("time after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The text or number of a field at any depth of a line.
pub fn field(line: &str, name: &str) -> Option<String> {
    let rest = line.split_once(&format!("\"{name}\":"))?.1.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => Some(text.split('"').next()?.to_owned()),
        None => Some(rest.split([',', '}']).next()?.trim().to_owned()),
    }
}

/// Something that happened to a call: when, who says it, what, and the call.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u64,
    pub who: String,
    pub what: String,
    pub uid: String,
}

struct RecordState {
    file: File,
    events: Vec<Event>,
}

/// The record of a case: a file, and the events in it.
#[derive(Clone)]
pub struct Record(Arc<Mutex<RecordState>>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self(Arc::new(Mutex::new(RecordState { file, events: Vec::new() })))
    }

    pub fn note(&self, at: u64, who: &str, text: &str) {
        let mut state = self.0.lock().expect("record");
        let _ = writeln!(state.file, "{at} {who} {text}");
        let mut words = text.split(' ');
        let (what, uid) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        state.events.push(Event { at, who: who.to_owned(), what: what.to_owned(), uid: uid.to_owned() });
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(unix_ms(), "case", text);
    }

    pub fn events(&self) -> Vec<Event> {
        self.0.lock().expect("record").events.clone()
    }

    pub fn find(&self, who: &str, what: &str, uid: &str) -> Option<Event> {
        self.events().into_iter().find(|e| e.who == who && e.what == what && e.uid == uid)
    }
}

/// A process that ends with its owner.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(mut command: Command, pids: &Path) -> Self {
        let child = command.spawn().expect("start a process");
        let mut file = File::options().create(true).append(true).open(pids).expect("list of processes");
        let _ = writeln!(file, "{}", child.id());
        Self { child }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the call takes no pointer. The process is a child that was not waited for, so its id is not reused.
        let result = unsafe { kill(self.child.id() as i32, signal) };
        assert!(result == 0, "cannot send the signal");
    }

    /// Waits for the end of the process; false if it still runs after this time.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while matches!(self.child.try_wait(), Ok(None)) {
            if Instant::now() >= deadline {
                return false;
            }
            sleep_ms(5);
        }
        true
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An exchange of the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub zone: &'static str,
    pub number: u32,
    pub address: SocketAddr,
    pub started_ms: u64,
    pub draining: bool,
}

struct ListState {
    serial: u32,
    list: Vec<Listed>,
    /// How long a query waits for its answer, which holds the list as of the query.
    delay: Duration,
    stopped: bool,
}

/// The platform: a temporary folder, the record, and the resolver.
pub struct Platform {
    pub record: Record,
    pub folder: PathBuf,
    root: PathBuf,
    resolver: SocketAddr,
    list: Arc<Mutex<ListState>>,
}

/// A free loopback port of TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Platform {
    pub fn new(record: &str, list: Vec<Listed>) -> Self {
        let root = std::env::current_dir().expect("the root of the repository");
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("CASE_FOLDER"));
        let socket = UdpSocket::bind("127.0.0.1:0").expect("bind the resolver");
        let resolver = socket.local_addr().expect("its address");
        let list = Arc::new(Mutex::new(ListState { serial: 1, list, delay: Duration::ZERO, stopped: false }));
        let record = Record::create(record);
        let (state, log) = (list.clone(), record.clone());
        std::thread::spawn(move || answer_queries(&socket, &state, &log));
        Self { record, folder, root, resolver, list }
    }

    /// From now on the resolver answers each query after this time.
    pub fn slow_resolver(&self, delay: Duration) {
        self.list.lock().expect("list").delay = delay;
        self.record.say(&format!("the resolver answers after {} ms", delay.as_millis()));
    }

    /// The resolver tells a new list from now on.
    pub fn tell(&self, change: impl FnOnce(&mut Vec<Listed>), text: &str) {
        let mut state = self.list.lock().expect("list");
        state.serial += 1;
        change(&mut state.list);
        drop(state);
        self.record.say(&format!("list: {text}"));
    }

    fn config(&self, home: u32, listen: SocketAddr) -> String {
        let list = self.list.lock().expect("list").list.clone();
        let members: Vec<String> = list
            .iter()
            .map(|e| {
                format!(
                    r#"{{"id":"{}","host_port":"{}","locality":"{}","flavor":"standard","cell":{},"phase":"in_service","size":1,"up_since_ms":{}}}"#,
                    e.name, e.address, e.zone, e.number, e.started_ms
                )
            })
            .collect();
        let class = |name: &str, aim: u32, limit: u32, worth: u32| {
            format!(
                r#"{{"name":"{name}","aimMs":{aim},"hardLimitMs":{limit},"lateShare":0.1,"worth":{worth},"semantics":"pure","dedupScope":"all","keyTtlMs":5000.0,"stream":true}}"#
            )
        };
        let classes = [
            class("unit-status", 1500, 9000, 1),
            class("fault-lookup", 800, 6000, 5),
            class("parts-check", 2000, 9000, 2),
        ];
        format!(
            r#"{{"name":"n{home}","listen":"{listen}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"names":"{resolver}",
"known":{{"n":1,"events":[{{"n":1,"members":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"balancers":{count},"selfIndex":{home},"classes":[{classes}],"tenants":[],"overShareWorth":0.1,
"clients":{{"marksRetry":false}},"discovery":"push","family":"trunks","report":{{"fields":["spare","total"],"via":"on_probe"}},
"tickMs":5.0,"zones":["wien","linz","graz"],
"invariants":{{"askEveryMs":10000.0,"coldFrom":0.34,"coldMs":13000.0,"fallMultiple":2.5,"graceToAnswerMs":20.0,"stopSendingWithinMs":2000.0,"tipAfterMs":2000.0}},
"policyLimits":{{"cancelling":true,"connectTimeoutMs":500.0,"keepaliveMs":600000.0,"maxOpen":20000,"maxRetryAfterMs":2000.0,"mayTell":false,"multiplex":1048576,"probes":false,"retryAfter":true,"secondCopies":false,"tryLimit":4}},
"specifics":{{"channelsNeeded":[1,1,1],"classCells":[],"classHoldMs":[12400.0,6200.0,18600.0],"farState":"off","hintsRoute":false,"homeOffice":{home},"releaseMs":500.0,"resendMs":500.0,"saysWait":true,"shape":"meshed"}}}}}}"#,
            seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            resolver = self.resolver,
            members = members.join(","),
            count = list.len(),
            classes = classes.join(","),
        )
    }

    /// Starts the softswitch with this home exchange by the command of the deploy file; `iax2` is its `deploy/iax2.json`.
    pub fn softswitch(&self, home: u32, iax2: Option<&str>) -> Softswitch {
        self.softswitch_at(home, free_address(), iax2)
    }

    fn softswitch_at(&self, home: u32, listen: SocketAddr, iax2: Option<&str>) -> Softswitch {
        let name = format!("n{home}");
        let folder = self.folder.join(&name);
        let _ = std::fs::remove_dir_all(&folder);
        // A root of its own, for the files under `deploy/` that are read relative to it.
        std::fs::create_dir_all(folder.join("deploy")).expect("folder");
        std::fs::create_dir_all(folder.join("tmp")).expect("folder");
        std::os::unix::fs::symlink(self.root.join("target"), folder.join("target")).expect("link");
        for file in ["iax2.json", "edge.json"] {
            std::fs::copy(self.root.join("deploy").join(file), folder.join("deploy").join(file))
                .expect("copy");
        }
        if let Some(iax2) = iax2 {
            std::fs::write(folder.join("deploy/iax2.json"), iax2).expect("write");
        }
        let config = folder.join("config.json");
        std::fs::write(&config, self.config(home, listen)).expect("write");
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let run = run.trim_end().trim_end_matches('"').to_owned();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&folder)
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_CONFIG", &config)
            .env("NODE_LOG", "info")
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log);
        let process = Process::start(command, &self.folder.join("pids"));
        let softswitch = Softswitch { name, listen, home, process };
        let started = unix_ms();
        // The front takes a softswitch in once it has passed a test.
        loop {
            assert!(unix_ms() - started < 10_000, "the softswitch does not serve");
            let Ok(mut stream) = TcpStream::connect(listen) else {
                sleep_ms(20);
                continue;
            };
            let _ = stream
                .write_all(b"{\"kind\":\"check\",\"uid\":\"00000000000000aa\",\"meta\":{},\"reason\":0}\n");
            let mut line = String::new();
            let _ = BufReader::new(stream).read_line(&mut line);
            if field(&line, "kind").as_deref() == Some("checked")
                && field(&line, "reason").as_deref() == Some("1")
            {
                break;
            }
            sleep_ms(20);
        }
        self.record.say(&format!("softswitch {} serves", softswitch.name));
        softswitch
    }

    /// Starts an exchange process; what it prints goes into the record.
    pub fn exchange(&self, who: &str, args: &[&str]) -> Process {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = Process::start(command, &self.folder.join("pids"));
        let (record, who) = (self.record.clone(), who.to_owned());
        let out = process.child.stdout.take().expect("its output");
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut words = line.splitn(3, ' ');
                let at = words.next().and_then(|at| at.parse().ok()).unwrap_or_default();
                let _ = words.next();
                record.note(at, &who, words.next().unwrap_or_default());
            }
        });
        process
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        if let Ok(mut state) = self.list.lock() {
            state.stopped = true;
        }
        // The logs of the softswitches end the record.
        for home in 0..10 {
            let name = format!("n{home}");
            for line in
                std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default().lines()
            {
                self.record.note(unix_ms(), &name, &format!("log: {line}"));
            }
        }
    }
}

/// A running softswitch.
pub struct Softswitch {
    pub name: String,
    pub listen: SocketAddr,
    home: u32,
    process: Process,
}

impl Softswitch {
    /// A planned restart: SIGTERM, the end of the process by itself, and a start under the same name and address.
    pub fn restart(mut self, platform: &Platform) -> Self {
        self.process.signal(SIGTERM);
        platform.record.say(&format!("SIGTERM to softswitch {}", self.name));
        assert!(self.process.wait_for_end(Duration::from_secs(30)), "the softswitch does not end");
        platform.record.say(&format!("softswitch {} has ended by itself", self.name));
        platform.softswitch_at(self.home, self.listen, None)
    }

    /// SIGKILL, and a start under the same name and address.
    pub fn kill_and_start(mut self, platform: &Platform) -> Self {
        self.process.kill();
        platform.record.say(&format!("SIGKILL to softswitch {}", self.name));
        platform.softswitch_at(self.home, self.listen, None)
    }
}

/// A caller's connection; what arrives on it goes into the record.
pub struct Caller {
    stream: TcpStream,
    who: String,
    record: Record,
}

impl Caller {
    pub fn connect(platform: &Platform, softswitch: &Softswitch) -> Self {
        let stream = TcpStream::connect(softswitch.listen).expect("connect to the softswitch");
        let _ = stream.set_nodelay(true);
        let who = format!("caller-{}", softswitch.name);
        let (reader, record, name) =
            (stream.try_clone().expect("connection"), platform.record.clone(), who.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                let uid = field(&line, "uid").unwrap_or_default();
                let reason = field(&line, "reason").unwrap_or_default();
                let text = match field(&line, "kind").as_deref() {
                    Some("running") => format!("answered {uid}"),
                    Some("stop") => format!("stop {uid} cause {reason}"),
                    _ => line,
                };
                record.note(unix_ms(), &name, &text);
            }
            record.note(unix_ms(), &name, "connection closed");
        });
        Self { stream, who, record: platform.record.clone() }
    }

    pub fn set_up(&mut self, uid: &str, dest: u32) {
        let line = format!(
            r#"{{"kind":"launch","uid":"{uid}","meta":{{"class":"unit-status","left":"3000","key":"{uid}","extras":"dest:{dest};width:1;via:-1"}},"body":"offer {uid}"}}"#
        );
        self.record.note(unix_ms(), &self.who, &format!("set-up {uid} to {dest}"));
        let _ = self.stream.write_all(format!("{line}\n").as_bytes());
    }

    pub fn release(&mut self, uid: &str) {
        self.record.note(unix_ms(), &self.who, &format!("hang-up {uid}"));
        let _ = self.stream.write_all(
            format!("{{\"kind\":\"stop\",\"uid\":\"{uid}\",\"meta\":{{}},\"reason\":16}}\n").as_bytes(),
        );
    }
}

// ---- the resolver (RFC 1035) ----

/// Answers queries, each after the delay of its time. The first answer with each serial goes into the record.
fn answer_queries(socket: &UdpSocket, state: &Mutex<ListState>, record: &Record) {
    let mut query = [0; 512];
    let mut waiting: VecDeque<(Instant, SocketAddr, u32, Vec<u8>)> = VecDeque::new();
    let mut sent_serial = 0;
    socket.set_read_timeout(Some(Duration::from_millis(1))).expect("time-out");
    loop {
        let received = socket.recv_from(&mut query);
        let state = state.lock().expect("list");
        if state.stopped {
            return;
        }
        if let Ok((length @ 12.., from)) = received
            && length <= query.len()
        {
            let answer = list_answer([query[0], query[1]], &state);
            waiting.push_back((Instant::now() + state.delay, from, state.serial, answer));
        }
        drop(state);
        while waiting.front().is_some_and(|(at, ..)| *at <= Instant::now()) {
            let Some((_, to, serial, answer)) = waiting.pop_front() else { break };
            let _ = socket.send_to(&answer, to);
            if serial > sent_serial {
                sent_serial = serial;
                record.note(unix_ms(), "resolver", &format!("told {serial}"));
            }
        }
    }
}

fn name(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in text.split('.') {
        bytes.push(label.len() as u8);
        bytes.extend(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

fn resource(owner: &str, kind: u16, data: &[u8]) -> Vec<u8> {
    let mut bytes = name(owner);
    bytes.extend(kind.to_be_bytes());
    bytes.extend(1_u16.to_be_bytes());
    bytes.extend(0_u32.to_be_bytes());
    bytes.extend((data.len() as u16).to_be_bytes());
    bytes.extend(data);
    bytes
}

fn list_answer(id: [u8; 2], state: &ListState) -> Vec<u8> {
    const SERVICE: &str = "_api._tcp.svc.local";
    let count = state.list.len() as u16;
    let mut bytes = id.to_vec();
    bytes.extend([0x84, 0]);
    for n in [1, count, 1, 2 * count] {
        bytes.extend(n.to_be_bytes());
    }
    bytes.extend(name(SERVICE));
    bytes.extend([0, 33, 0, 1]);
    let target = |e: &Listed| format!("{}.{}.hosts", e.name, e.zone);
    for e in &state.list {
        let mut data = Vec::new();
        for n in [u16::from(e.draining), 10, e.address.port()] {
            data.extend(n.to_be_bytes());
        }
        data.extend(name(&target(e)));
        bytes.extend(resource(SERVICE, 33, &data));
    }
    let mut soa = [name("svc.local"), name("svc.local")].concat();
    for n in [state.serial, 1, 1, 1, 1] {
        soa.extend(n.to_be_bytes());
    }
    bytes.extend(resource(SERVICE, 6, &soa));
    for e in &state.list {
        let SocketAddr::V4(address) = e.address else { panic!("IPv4 only") };
        bytes.extend(resource(&target(e), 1, &address.ip().octets()));
        let mut text = Vec::new();
        for part in ["kind=std".to_owned(), format!("cell={}", e.number), format!("started={}", e.started_ms)]
        {
            text.push(part.len() as u8);
            text.extend(part.as_bytes());
        }
        bytes.extend(resource(&target(e), 16, &text));
    }
    bytes
}
