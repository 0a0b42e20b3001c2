//! A complete site of separate processes on the loopback interface.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use super::program;
use super::run_with;
use super::scratch_file;
use super::RunOutcome;

/// Longest wait for a condition of a site.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub const OPERATOR_KEY: &str = "trial-key-of-the-operators";
pub const GUIDE_KEY: &str = "trial-key-of-the-guides";

/// Path of the configuration document of the test sites.
pub const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/site.toml");

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A process of the site, killed on drop.
pub struct SiteProcess {
    pub address: SocketAddr,
    child: Child,
    /// Keeps the pipe open so that the process can write to its standard output.
    _output: BufReader<ChildStdout>,
}

impl SiteProcess {
    /// Starts the program and reads its address from the first line of its output.
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = program();
        command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("the standard output is piped"));
        let mut line = String::new();
        output.read_line(&mut line).expect("the first line can be read");
        let address = line.trim().strip_prefix("listening on ").map(str::parse);
        let address =
            address.expect("the first line contains an address").expect("the address is valid");
        Self { address, child, _output: output }
    }

    /// Returns the identifier of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let process = rustix::process::Pid::from_child(&self.child);
        let signal = rustix::process::Signal::TERM;
        rustix::process::kill_process(process, signal).expect("the process is running");
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal killed it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("the process did not exit within {WAIT_TIMEOUT:?}");
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Targets of one pool, one in each availability zone.
pub struct TargetGroup {
    /// Prefix of the instance names, such as `night` for `night-a`.
    pub name: &'static str,
    pub pool: &'static str,
}

/// A site with a platform, targets and entries.
pub struct TestSite {
    pub entries: Vec<SiteProcess>,
    _targets: Vec<SiteProcess>,
    platform: SiteProcess,
}

impl TestSite {
    /// Starts all processes with targets of one pool, without applying a document.
    pub fn start(name: &str, entry_count: usize) -> Self {
        Self::start_groups(name, entry_count, &[TargetGroup { name: "target", pool: "evening" }])
    }

    /// Starts all processes with these groups of targets, without applying a document.
    pub fn start_groups(name: &str, entry_count: usize, groups: &[TargetGroup]) -> Self {
        let platform = SiteProcess::start(&[
            "stand-in",
            "platform",
            "--listen",
            "127.0.0.1:0",
            "--lag-ms",
            "200",
        ]);
        let platform_address = platform.address.to_string();
        let targets = groups.iter().flat_map(|group| ZONES.map(|zone| (group, zone)));
        let targets = targets.map(|(group, zone)| start_target(group, zone, &platform_address));
        let targets = targets.collect();
        let entries = (0..entry_count).map(|number| {
            let zone = ZONES[number % ZONES.len()];
            start_entry(&format!("{name}-{number}.toml"), zone, &platform_address)
        });
        Self { entries: entries.collect(), _targets: targets, platform }
    }

    /// Starts all processes, applies the document and waits until every entry is ready with it.
    pub fn start_ready(name: &str, entry_count: usize) -> Self {
        let site = Self::start(name, entry_count);
        site.apply_first(DOCUMENT);
        site
    }

    /// Applies the first document and waits until every entry is ready with it.
    pub fn apply_first(&self, document: &str) {
        self.wait_until_connected();
        let applied = self.run(OPERATOR_KEY, &["config", "apply", document]);
        assert_eq!(applied.code, 0, "{}", applied.errors);
        self.wait_until_config_active(1);
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address
    }

    /// Runs a command with a key against the first entry.
    pub fn run(&self, key: &str, arguments: &[&str]) -> RunOutcome {
        self.run_at(0, key, arguments)
    }

    /// Runs a command with a key against one entry.
    pub fn run_at(&self, entry: usize, key: &str, arguments: &[&str]) -> RunOutcome {
        let address = self.entries[entry].address.to_string();
        let variables = [("MAGNOLIAPIN_ENTRY", address.as_str()), ("MAGNOLIAPIN_KEY", key)];
        run_with(&variables, arguments)
    }

    /// Waits until the entries are connected to the platform and to each other.
    pub fn wait_until_connected(&self) {
        self.wait_for_status(
            "the entries are connected to the platform and to each other",
            |status| {
                let entries = status["entries"].as_array().map(Vec::len);
                entries == Some(self.entries.len()) && status["fresh"].as_bool() == Some(true)
            },
        );
    }

    /// Waits until every entry uses this version of the configuration and is ready.
    pub fn wait_until_config_active(&self, version: u64) {
        self.wait_for_status("every entry uses the configuration", |status| {
            let entries = status["entries"].as_array().map(Vec::as_slice).unwrap_or_default();
            let uses_version =
                |entry: &serde_json::Value| entry["config"].as_u64() == Some(version);
            entries.len() == self.entries.len()
                && entries.iter().all(uses_version)
                && status["fresh"].as_bool() == Some(true)
        });
        for entry in &self.entries {
            wait_for("an entry is ready", || {
                super::http::get(entry.address, "/readyz").is_ok_and(|reply| reply.status == 200)
            });
        }
    }

    fn wait_for_status(&self, condition: &str, is_met: impl Fn(&serde_json::Value) -> bool) {
        for entry in 0..self.entries.len() {
            wait_for(condition, || {
                let status = self.run_at(entry, OPERATOR_KEY, &["--json", "status"]);
                serde_json::from_str(&status.output).is_ok_and(|status| is_met(&status))
            });
        }
    }
}

/// Polls until a condition is met. Panics with its description after [`WAIT_TIMEOUT`].
pub fn wait_for(condition: &str, is_met: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {condition}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn start_target(group: &TargetGroup, zone: &str, platform: &str) -> SiteProcess {
    let letter = zone.trim_start_matches("zone-");
    let (rack, instance) = (format!("rack-{letter}"), format!("{}-{letter}", group.name));
    SiteProcess::start(&[
        "stand-in",
        "target",
        "--listen",
        "127.0.0.1:0",
        "--zone",
        zone,
        "--rack",
        &rack,
        "--instance",
        &instance,
        "--pool",
        group.pool,
        "--platform",
        platform,
    ])
}

fn start_entry(file: &str, zone: &str, platform: &str) -> SiteProcess {
    let text = format!(
        "zone = \"{zone}\"\n\
         caller_listen = \"127.0.0.1:0\"\n\
         peer_listen = \"127.0.0.1:0\"\n\
         platform = \"{platform}\"\n\
         peer_key = \"the key of a test's entries\"\n"
    );
    SiteProcess::start(&["entry", "--settings", &scratch_file(file, &text)])
}
