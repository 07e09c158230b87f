//! A stand-in for the platform: the configuration, the processes, their signals, and the operators' door.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::resolver::{Member, Resolver};

/// The processes that this test has started.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process of the softswitch.
pub struct Process {
    pub name: String,
    child: Child,
    pub operator: SocketAddr,
    record: Record,
}

/// Everything of one deployment: the folder for its files, the address of the callers and the processes started.
pub struct Platform {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    /// The listening socket, on days on which the processes inherit it.
    inherited: Option<TcpListener>,
    record: Record,
}

/// Limits that the configuration gives.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Platform {
    /// `inherit` says whether the platform holds the callers' listening socket.
    pub fn new(inherit: bool, record: &Record) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("swiftlb-review-{}", std::process::id()));
        fs::create_dir_all(folder.join("tmp"))?;
        let (listen, inherited) = if inherit {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            (listener.local_addr()?, Some(listener))
        } else {
            (free_address()?, None)
        };
        let root = std::env::current_dir()?;
        Ok(Self { root, folder, listen, inherited, record: record.clone() })
    }

    /// Ends everything that was started, and the test with code 2, if the run takes longer than this.
    pub fn limit_run(&self, limit: Duration) {
        let (folder, record) = (self.folder.clone(), self.record.clone());
        thread::spawn(move || {
            thread::sleep(limit);
            record.say("the run takes too long");
            PIDS.lock().unwrap().iter().for_each(|pid| signal(*pid, "KILL"));
            let _ = fs::remove_dir_all(folder);
            std::process::exit(2);
        });
    }

    /// Writes the configuration: a mesh of as many exchanges as are listed; the own one has the number 0. The settings are
    /// those of the first deployment.
    pub fn write_config(&self, resolver: &Resolver, limits: Limits) -> std::io::Result<()> {
        let (serial, members) = resolver.list();
        let members: Vec<String> = members.iter().map(Member::json).collect();
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"names":"{resolver}",
"known":{{"n":{serial},"events":[{{"n":{serial},"members":{{"revision":7,"complete":true,"members":[{members}]}}}}]}},
"settings":{settings}}}"#,
            listen = self.listen,
            memory = limits.memory_mb,
            sockets = limits.sockets,
            resolver = resolver.address,
            members = members.join(",\n"),
            settings = SETTINGS,
        );
        // A new file takes the place of the old one as a whole.
        fs::write(self.folder.join("config.new"), config)?;
        fs::rename(self.folder.join("config.new"), self.config_path())
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Starts `run` of the deploy file with the shell, as the deployment page says, and waits until it is ready.
    pub fn start(&self, name: &str) -> Result<Process, String> {
        let run = deploy_command(&self.root, "run")?;
        let operator = free_address().map_err(|error| error.to_string())?;
        let log =
            fs::File::create(self.folder.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .current_dir(&self.root)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_CONFIG", self.config_path())
            .env("NODE_OPERATOR", operator.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .env_remove("NODE_FD")
            .env_remove("NODE_LOG")
            .stdout(Stdio::null())
            .stderr(log);
        match &self.inherited {
            Some(listener) => {
                let listener = listener.try_clone().map_err(|error| error.to_string())?;
                // The shell moves the listening socket to descriptor 7 and then becomes the program.
                command
                    .arg("-c")
                    .arg(format!("exec 7<&0 </dev/null; {run}"))
                    .env("NODE_FD", "7")
                    .stdin(Stdio::from(OwnedFd::from(listener)));
            }
            None => {
                command.arg("-c").arg(run).stdin(Stdio::null());
            }
        }
        let child = command.spawn().map_err(|error| format!("cannot start {name}: {error}"))?;
        PIDS.lock().unwrap().push(child.id());
        self.record.note("platform", &format!("starts {name}"));
        let mut process = Process { name: name.to_owned(), child, operator, record: self.record.clone() };
        for _ in 0..600 {
            if process.operator_request("GET", "/ops/readiness") == Some(200) {
                self.record.note("platform", &format!("{name} is ready"));
                return Ok(process);
            }
            if let Some(status) = process.exit_status() {
                return Err(format!("{name} has ended: {status}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{name} is not ready after 30 s"))
    }

    /// Copies the log of a process into the record.
    pub fn record_log(&self, name: &str) {
        if let Ok(log) = fs::read_to_string(self.folder.join(format!("{name}.log"))) {
            for line in log.lines().take(400) {
                self.record.note(name, line);
            }
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn signal(pid: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).stderr(Stdio::null()).status();
}

impl Process {
    pub fn signal(&self, name: &str) {
        self.record.note("platform", &format!("SIG{name} to {}", self.name));
        signal(self.child.id(), name);
    }

    /// How the process has ended, if it has.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok()?.map(|status| status.to_string())
    }

    /// Waits for the end of the process for at most `limit`; whether it has ended.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = self.record.now() + limit.as_secs_f64();
        while self.record.now() < end {
            if let Some(status) = self.exit_status() {
                self.record.note("platform", &format!("{} has ended: {status}", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn kill(&mut self) {
        if self.exit_status().is_none() {
            self.signal("KILL");
            let _ = self.child.wait();
        }
    }

    /// A planned restart's stop: SIGTERM, and SIGKILL at the earliest time that the pages allow for the deadlines of the
    /// configuration (3 s and 0.7 s more).
    pub fn stop_as_planned(&mut self) {
        self.signal("TERM");
        if !self.wait(Duration::from_millis(3_700)) {
            self.kill();
        }
    }

    /// Resident memory in kB: now, and the highest so far.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let value = |key: &str| {
            status.lines().find_map(|line| line.strip_prefix(key)?.split_whitespace().next()?.parse().ok())
        };
        Some((value("VmRSS:")?, value("VmHWM:")?))
    }

    /// Processor time used so far, in ticks of the system (a hundred a second).
    pub fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        [11, 12].iter().filter_map(|i| fields.get(*i)?.parse::<u64>().ok()).sum()
    }

    /// Sends an operator's request; the status of the reply, `None` without one within 1 s.
    pub fn operator_request(&self, method: &str, path: &str) -> Option<u32> {
        let limit = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&self.operator, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n").ok()?;
        let mut reply = String::new();
        let _ = stream.read_to_string(&mut reply);
        let status = reply.split(' ').nth(1)?.parse().ok()?;
        if method != "GET" {
            self.record.note("operator", &format!("{method} {path} to {}: {status}", self.name));
        }
        Some(status)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_none() {
            signal(self.child.id(), "KILL");
            let _ = self.child.wait();
        }
        PIDS.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// A command of the deploy file.
fn deploy_command(root: &Path, key: &str) -> Result<String, String> {
    let file = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
    let value = file.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    let text = value.and_then(|value| value.split('"').nth(1));
    text.map(str::to_owned).ok_or_else(|| format!("deploy/balancer.toml has no {key}"))
}

const SETTINGS: &str = r#"{"balancers":3,"selfIndex":0,
"classes":[
{"name":"unit-status","aimMs":1500,"hardLimitMs":9000,"lateShare":0.25,"worth":1,"semantics":"pure","stream":true,"dedupScope":"all","keyTtlMs":5000},
{"name":"fault-lookup","aimMs":800,"hardLimitMs":6000,"lateShare":0.1,"worth":5,"semantics":"pure","stream":true,"dedupScope":"all","keyTtlMs":5000},
{"name":"parts-check","aimMs":2000,"hardLimitMs":9000,"lateShare":0.1,"worth":2,"semantics":"pure","stream":true,"dedupScope":"all","keyTtlMs":5000}],
"clients":{"marksRetry":false},
"tenants":[],"overShareWorth":0.1,"discovery":"push","family":"trunks",
"report":{"fields":["spare","total"],"via":"on_probe"},
"tickMs":5,"tier":0,"zone":0,"zones":["wien","linz","graz"],
"invariants":{"askEveryMs":10000,"coldFrom":0.34,"coldMs":13000,"fallMultiple":2.5,"graceToAnswerMs":20,"stopSendingWithinMs":2000,"tipAfterMs":2000},
"policyLimits":{"cancelling":true,"connectTimeoutMs":500,"cpuUsPerRequest":0,"cpuUsPerS":400000,"keepaliveMs":600000,"maxOpen":20000,"maxRetryAfterMs":2000,"mayTell":false,"multiplex":1048576,"probes":false,"retryAfter":true,"secondCopies":false,"tryLimit":4},
"specifics":{"channelsNeeded":[1,1,1],"classCells":[],"classHoldMs":[12400,6200,18600],"farState":"off","hintsRoute":false,"homeOffice":0,"releaseMs":500,"resendMs":500,"saysWait":true,"shape":"meshed"}}"#;
