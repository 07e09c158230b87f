//! A softswitch process: its configuration, signals and end.

use std::cell::Cell;
use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::line_peer::LinePeer;
use super::{Journal, Node, Observation};

/// Time in which a started process must pass a health check.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Longest deadline that counts for the time of SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time from SIGTERM to SIGKILL, beyond the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Limits of a process, as its configuration gives them: those of the days of less room.
pub const MEMORY_MB: usize = 16;
pub const DESCRIPTORS: usize = 256;

/// A loopback address that nothing else uses: its IP address is made from the process id and a counter, and outgoing
/// connections have other source addresses.
pub fn own_address(port: u16) -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    SocketAddr::from((
        [127, 64 + (high % 64) + (count / 250 % 2) as u8 * 64, low, 1 + (count % 250) as u8],
        port,
    ))
}

/// Earliest time from SIGTERM to SIGKILL for a deployment with this longest deadline.
pub fn time_to_kill(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY
}

/// A directory for the files of one trial; removed with it unless the trial failed.
#[derive(Debug)]
pub struct TrialDirectory(pub PathBuf, Cell<bool>);

impl TrialDirectory {
    /// Creates a directory with a name of its own.
    pub fn new(name: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("swiftlb-{name}-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create the directory");
        Self(path, Cell::new(false))
    }

    /// Keeps the files: the trial found something.
    pub fn keep(&self) {
        self.1.set(true);
    }
}

impl Drop for TrialDirectory {
    fn drop(&mut self) {
        if std::thread::panicking() || self.1.get() {
            eprintln!("files of the failed trial: {}", self.0.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A softswitch that can be started, sent signals and started again at the same address.
#[derive(Debug)]
pub struct Softswitch {
    pub node: Node,
    pub address: SocketAddr,
    config_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    terminated_at: Option<Instant>,
    journal: Journal,
}

impl Softswitch {
    /// A softswitch whose configuration is this text; it is not started.
    pub fn new(node: Node, address: SocketAddr, config: &str, directory: &Path, journal: &Journal) -> Self {
        let config_path = directory.join(format!("n{node}.json"));
        std::fs::write(&config_path, config).expect("write the configuration");
        let log_path = directory.join(format!("n{node}.log"));
        Self {
            node,
            address,
            config_path,
            log_path,
            child: None,
            terminated_at: None,
            journal: journal.clone(),
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log_path).expect("open the log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_swiftlb"));
        command.arg("--config").arg(&self.config_path).arg("--log").arg("debug");
        command.env_remove("NODE_CONFIG").env_remove("NODE_FD").env_remove("NODE_OPERATOR");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log));
        self.child = Some(command.spawn().expect("start the program"));
        self.terminated_at = None;
        self.journal.note(Observation::Started { softswitch: self.node });
    }

    /// Waits until the process passes a health check, as the front does.
    pub fn wait_until_ready(&mut self) {
        let deadline = Instant::now() + READY_LIMIT;
        while !self.passes_health_check() {
            assert!(Instant::now() < deadline, "softswitch {} is not ready", self.node);
            std::thread::sleep(Duration::from_millis(5));
        }
        self.journal.note(Observation::Ready { softswitch: self.node });
    }

    fn passes_health_check(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else { return false };
        let mut peer = LinePeer::new(stream);
        peer.send(b"{\"kind\":\"check\",\"uid\":\"00000000000000ff\",\"meta\":{},\"reason\":0}\n");
        let deadline = Instant::now() + Duration::from_millis(500);
        while Instant::now() < deadline && peer.is_open() {
            if let Some(Ok(line)) = peer.read_lines().first() {
                return line.text("kind") == "checked" && line.cause() == 1;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }

    /// Whether the process runs; notes its end once.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        match child.try_wait().expect("state of the process") {
            None => true,
            Some(status) => {
                self.child = None;
                self.journal.note(Observation::Exited { softswitch: self.node, success: status.success() });
                false
            }
        }
    }

    /// Id of the running process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Replaces the configuration, which takes effect with SIGHUP.
    pub fn write_config(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("write the configuration");
    }

    /// Sends a signal other than SIGKILL, such as `-TERM`.
    pub fn signal(&mut self, name: &str) {
        let Some(child) = &self.child else { return };
        if name == "-TERM" && self.terminated_at.is_none() {
            self.terminated_at = Some(Instant::now());
            self.journal.note(Observation::Terminated { softswitch: self.node });
        }
        let id = child.id().to_string();
        // Fails if the process has just ended.
        let _ = Command::new("kill").args([name, &id]).stderr(Stdio::null()).status().expect("run kill");
    }

    /// When SIGTERM was first sent to the running process.
    pub fn terminated_at(&self) -> Option<Instant> {
        self.terminated_at
    }

    /// Notes when the process is over its limits of memory and descriptors, those of its configuration.
    pub fn check_limits(&self, journal: &Journal) {
        let Some(id) = self.id() else { return };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb: usize =
            resident.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or_default();
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        if resident_kb > MEMORY_MB * 1_024 || descriptors > DESCRIPTORS {
            let detail = format!("{resident_kb} kB resident, {descriptors} descriptors");
            journal.note(Observation::Limits { softswitch: self.node, detail });
        }
    }

    /// When SIGKILL is due, for a deployment with this longest deadline; `None` before SIGTERM.
    pub fn kill_time(&self, longest_deadline: Duration) -> Option<Instant> {
        self.terminated_at.map(|at| at + time_to_kill(longest_deadline))
    }

    /// Sends SIGKILL and waits for the end of the process. It is planned if SIGTERM was sent before.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let planned = self.terminated_at.is_some();
        let Some(mut child) = self.child.take() else { return };
        self.journal.note(Observation::Killed { softswitch: self.node, planned });
        let _ = child.kill();
        child.wait().expect("wait for the process");
    }

    /// Waits until the process ends by itself, or kills it when SIGKILL is due.
    pub fn end(&mut self, longest_deadline: Duration) {
        let Some(kill_at) = self.kill_time(longest_deadline) else { return };
        while self.is_running() && Instant::now() < kill_at {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.kill();
    }
}

impl Drop for Softswitch {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
