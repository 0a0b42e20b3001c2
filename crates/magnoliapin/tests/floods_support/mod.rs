//! A node with its platform, and clients that send more than the limits allow.
#![allow(unreachable_pub, reason = "each test file is a separate crate")]
#![allow(clippy::print_stdout, reason = "the figures are part of the result of a run")]

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::platform::FakePlatform;
use crate::platform::ROW_BYTES;
use crate::support::program;
use crate::support::scratch_file;
use crate::support::site::wait_for;

/// Longest time for which the clients of a flood send.
const SEND_TIME: Duration = Duration::from_secs(8);
/// Time for which a flood stays open after its clients have sent what they could.
const HOLD_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limits in the settings of a node; the bounds of the tests are these numbers.
#[derive(Clone, Copy)]
pub struct MachineLimits {
    pub memory_mb: u64,
    pub max_fds: usize,
}

impl MachineLimits {
    /// Checks that a process lives and has stayed within these limits.
    pub fn check(&self, process: u32) {
        let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        let peak = peak.expect("the process has not exited");
        let open = fs::read_dir(format!("/proc/{process}/fd")).expect("it lives").count();
        println!("peak_kb={peak} descriptors={open}");
        assert!(peak < self.memory_mb * 1024, "{peak} KiB of {} MiB", self.memory_mb);
        // The machine counts up to 200 files among its descriptors.
        assert!(open < self.max_fds - 200, "{open} descriptors of {}", self.max_fds);
    }
}

/// Keys of two teams that may use the queue `k`.
pub const TEAM_KEYS: [&str; 2] = ["key-of-team-a", "key-of-team-b"];

/// A node and its platform; killed on drop.
pub struct TestNode {
    pub platform: Arc<FakePlatform>,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    limits: MachineLimits,
    /// Path of the settings file.
    settings: String,
    child: Child,
}

impl TestNode {
    /// Starts a node with a platform of its own and waits until it accepts jobs.
    pub fn start(name: &str, limits: MachineLimits) -> Self {
        let platform = FakePlatform::start();
        platform.put("op", "config", config(1, 1024 * 1024).as_bytes());
        Self::join(&platform, name, limits)
    }

    /// Starts a node on a platform that has a configuration, and waits until it accepts jobs.
    pub fn join(platform: &Arc<FakePlatform>, name: &str, limits: MachineLimits) -> Self {
        let platform = Arc::clone(platform);
        let [clients, ready, peers] = [free_address(), free_address(), free_address()];
        let settings = format!(
            "node_name = \"{name}\"\nzone = \"z\"\nip = \"127.0.0.1\"\nport_range = [{}, {}]\n\
             [listen_addrs]\nfrontend = \"{clients}\"\nready = \"{ready}\"\n\
             [platform]\naddr = \"{}\"\nwrites_per_s = 800\nreads_per_s = 2000\n\
             row_bytes = {ROW_BYTES}\n\
             [limits]\nmemory_mb = {}\nmax_fds = {}\n",
            peers.port(),
            peers.port(),
            platform.address,
            limits.memory_mb,
            limits.max_fds
        );
        let settings = scratch_file(&format!("{name}.toml"), &settings);
        let child = Self::spawn(&settings);
        let node = Self { platform, clients, ready, peers, limits, settings, child };
        wait_for("the node accepts a job", || node.accepts_job("00000000000000a1"));
        node
    }

    fn spawn(settings: &str) -> Child {
        let mut command = program();
        command.args(["node", "--settings", settings]);
        command.stdout(Stdio::null()).spawn().expect("the program starts")
    }

    /// Starts the process again, on the same addresses, after it has ended.
    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.settings);
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // Fails if the process has ended.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child").is_none()
    }

    /// Writes a new version of the configuration with this limit on bodies.
    pub fn set_body_limit(&self, version: u64, bytes: usize) {
        self.platform.put("op", "config", config(version, bytes).as_bytes());
    }

    /// Sends an ordinary job; returns whether it is accepted.
    pub fn accepts_job(&self, job: &str) -> bool {
        let body = "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":100,\"mem_mb\":10}]}";
        let request = format!(
            "POST /q/{job} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {}\r\n\r\n\
             {body}",
            body.len()
        );
        status(self.clients, request.as_bytes()) == Some(200)
    }

    /// Checks that the process lives and has stayed within its limits.
    pub fn check_limits(&self) {
        self.limits.check(self.child.id());
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process is a child");
    }

    /// Checks that the node lives within its limits and answers ordinary requests.
    pub fn check(&self) {
        wait_for("an ordinary job is accepted", || self.accepts_job("00000000000000a2"));
        let request = b"GET /api/readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        wait_for("the readiness check answers", || status(self.ready, request) == Some(200));
        self.limits.check(self.child.id());
    }

    /// Stops the node with SIGTERM and returns its exit code; `None` if it does not exit.
    pub fn stop(&mut self) -> Option<i32> {
        kill_process(Pid::from_child(&self.child), Signal::TERM).expect("the process lives");
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address that nothing listens on. Its port is not among those that the system gives to
/// outgoing connections, which could take it before a process listens on it, or before it starts again.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORTS: u32 = 20_000;
    /// Distance between the first ports of processes with consecutive identifiers.
    const PORTS_PER_PROCESS: u32 = 211;
    static LAST: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    loop {
        let number = start.wrapping_add(LAST.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + number % PORTS).expect("the range is that of ports");
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn config(version: u64, body_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"q\",\"host\":\"h\",\
         \"path_prefix\":\"/q/\",\"service\":\"s\",\"public\":true}},{{\"name\":\"k\",\
         \"host\":\"h\",\"path_prefix\":\"/k/\",\"service\":\"s\"}}],\
         \"services\":[{{\"name\":\"s\",\"enforces_capacity\":true}}],\
         \"tenants\":[{{\"name\":\"a\",\"api_keys\":[\"{}\"],\"weight\":1}},\
         {{\"name\":\"b\",\"api_keys\":[\"{}\"],\"weight\":1}}],\"limits\":{{\"max_body_bytes\":{body_bytes}}}}}",
        TEAM_KEYS[0], TEAM_KEYS[1],
    )
}

/// Sends a request whose response closes the connection, and returns the status.
pub fn status(address: SocketAddr, request: &[u8]) -> Option<u16> {
    exchange(address, request)?.split(' ').nth(1)?.parse().ok()
}

/// Sends a request whose response closes the connection, and returns the response.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(request).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    Some(String::from_utf8_lossy(&response).into_owned())
}

/// Waits until the process that listens here has read what its clients have sent, for a limited
/// time. The cost of a chunk arises when it is read.
pub fn wait_until_read(address: SocketAddr) {
    let local = format!(":{:04X}", address.port());
    for _ in 0..200 {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let unread = table.lines().any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            // State 01 is an established connection; the queues are `sent:received`.
            fields.len() > 4
                && fields[1].ends_with(&local)
                && fields[3] == "01"
                && !fields[4].ends_with(":00000000")
        });
        if !unread {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Clients that send, as far as they are let, and keep their connections open.
pub struct Flood {
    clients: Vec<FloodClient>,
}

struct FloodClient {
    stream: Option<TcpStream>,
    bytes: Arc<Vec<u8>>,
    sent: usize,
    piece: usize,
}

impl Flood {
    /// Opens connections whose clients send these bytes, at most `piece` at a time.
    pub fn open(address: SocketAddr, count: usize, bytes: Vec<u8>, piece: usize) -> Self {
        let bytes = Arc::new(bytes);
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
            // Without `TCP_NODELAY`, small pieces would be sent together.
            let stream = stream.filter(|stream| stream.set_nodelay(true).is_ok());
            let stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
            FloodClient { stream, bytes: Arc::clone(&bytes), sent: 0, piece }
        };
        Self { clients: (0..count).map(connect).collect() }
    }

    /// Adds the connections of another flood.
    pub fn join(mut self, other: Self) -> Self {
        self.clients.extend(other.clients);
        self
    }

    /// Sends until each client has sent everything or is refused, for a limited time.
    pub fn send(self) -> Self {
        self.send_up_to(usize::MAX)
    }

    /// Sends like [`Self::send`], at most up to this many bytes of each client.
    pub fn send_up_to(mut self, end: usize) -> Self {
        let deadline = Instant::now() + SEND_TIME;
        while Instant::now() < deadline {
            let mut is_done = true;
            for client in &mut self.clients {
                is_done &= client.send_piece(end);
            }
            if is_done {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(HOLD_TIME);
        self
    }
}

impl FloodClient {
    /// Sends one piece; returns whether nothing is left to send.
    fn send_piece(&mut self, end: usize) -> bool {
        let end = self.bytes.len().min(end);
        let next = end.min(self.sent + self.piece);
        let Some(stream) = self.stream.as_mut().filter(|_| self.sent < end) else { return true };
        match stream.write(&self.bytes[self.sent..next]) {
            Ok(written) => self.sent += written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => self.stream = None,
        }
        false
    }
}
