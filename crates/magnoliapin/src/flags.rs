//! Definition of the command line.
//!
//! Run `UPDATE_XFLAGS=1 cargo build -p magnoliapin` after a change of the grammar; the structures
//! generated below it are committed.
#![allow(unreachable_pub, reason = "the macro generates public items")]
#![allow(dead_code, reason = "the macro generates unused constructors")]
#![allow(clippy::large_enum_variant, reason = "the process creates one value only")]

use std::net::SocketAddr;
use std::path::PathBuf;

use humantime::Duration;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::InstanceId;
use magnoliapin_model::KeyId;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RackId;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_model::ZoneId;

use crate::command::fleet::MaintenanceAction;
use crate::command::fleet::RolloutAction;

xflags::xflags! {
    src "./src/flags.rs"

    /// Runs queues of requests and jobs on pools of instances.
    ///
    /// Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 no entry reached.
    cmd magnoliapin {
        /// Entries to ask, as IP:PORT[,IP:PORT...]; the next one is tried if one cannot be
        /// reached. Also from MAGNOLIAPIN_ENTRY.
        optional --entry addresses: String
        /// Key of a team. Prefer MAGNOLIAPIN_KEY: arguments are visible to other users.
        optional --key secret: String
        /// PEM file with the certificate to trust; calls then go over TLS. Also from
        /// MAGNOLIAPIN_CA.
        optional --ca file: PathBuf
        /// Prints the answer as JSON.
        optional --json

        /// Runs an entry until SIGTERM or SIGINT; a second signal ends it at once.
        cmd entry {
            /// Settings file.
            required --settings file: PathBuf
            /// Checks the settings and exits.
            optional --check
        }

        /// Runs a node on the users' platform until SIGTERM or SIGINT.
        cmd node {
            /// Settings file in the platform's format. Also from MAGNOLIAPIN_SETTINGS.
            optional --settings file: PathBuf
            /// Checks the settings and exits.
            optional --check
        }

        /// Runs a small stand-in for a part of the platform, for tests and trials.
        cmd stand-in {
            /// Stands in for the platform: table, object store and instance list.
            cmd platform {
                /// Address to listen at; port 0 picks a free one.
                required --listen address: SocketAddr
                /// Lag of the instance list, in milliseconds.
                optional --lag-ms lag: u64
                /// Seed of its random numbers.
                optional --seed number: u64
            }
            /// Stands in for a target: an executor with slots and connections.
            cmd target {
                /// Address to listen at; port 0 picks a free one.
                required --listen address: SocketAddr
                /// Availability zone.
                required --zone zone: ZoneId
                /// Rack.
                required --rack rack: RackId
                /// Address of the platform.
                required --platform address: SocketAddr
                /// Name of the instance; by default made from zone, rack and port.
                optional --instance instance: InstanceId
                /// Pool that the instance is made for.
                optional --pool pool: PoolId
                /// Slots; 8 by default.
                optional --slots slots: u32
                /// Connections; 64 by default.
                optional --connections connections: u32
                /// Image that it runs.
                optional --image image: String
                /// Seed of its random numbers.
                optional --seed number: u64
            }
        }

        /// Runs platform, targets, entries and callers in one process and judges the outcome.
        cmd demo {
            /// Length of the load, in seconds; 20 by default.
            optional --seconds seconds: u64
            /// Seed of the load and of the faults; 1 by default.
            optional --seed number: u64
        }

        /// Hands in a job and prints its id.
        cmd submit {
            /// Queue that takes the job.
            required queue: QueueId
            /// Input of the job; from the standard input if neither it nor --file is given.
            optional payload: String
            /// File with the input.
            optional --file file: PathBuf
            /// Makes a second submission find the first one's job.
            optional --idempotency-key text: String
            /// Waits until the job has ended.
            optional --wait
        }

        /// Runs a request and prints its output.
        cmd request {
            /// Queue that takes the request.
            required queue: QueueId
            /// Input of the request; from the standard input if neither it nor --file is given.
            optional payload: String
            /// File with the input.
            optional --file file: PathBuf
            /// Longest wait, in milliseconds.
            optional --timeout-ms millis: u64
        }

        /// Shows a job.
        cmd job {
            /// The job.
            required id: WorkId
        }

        /// Cancels a job.
        cmd cancel {
            /// The job.
            required id: WorkId
        }

        /// Checks, compares, applies and shows the configuration document.
        cmd config {
            /// Checks a document without asking an entry.
            cmd check {
                /// The document.
                required file: PathBuf
            }
            /// Shows how a document differs from the configuration in force.
            cmd diff {
                /// The document.
                required file: PathBuf
            }
            /// Applies a document, or some sections of it.
            cmd apply {
                /// The document.
                required file: PathBuf
                /// Applies just this section, such as teams.guides; removes it if the document
                /// lacks it. May be repeated.
                repeated --section section: SectionName
                /// Removes the sections that the document lacks.
                optional --whole
                /// Version that the change is based on; any section changed since is a conflict.
                optional --base version: ConfigVersion
            }
            /// Shows the configuration in force.
            cmd show {
                /// Shows just this section.
                optional --section section: SectionName
            }
        }

        /// Makes, lists and withdraws keys.
        cmd key {
            /// Draws a key and prints its secret, once, and the line for the document.
            cmd new {
                /// Name of the key inside its team.
                required name: KeyId
            }
            /// Lists the names of the keys in force.
            cmd list {
                /// Just the keys of this team.
                optional team: TeamId
            }
            /// Withdraws a key.
            cmd withdraw {
                /// Team of the key.
                required team: TeamId
                /// Name of the key.
                required name: KeyId
            }
        }

        /// Shows the pools against their availability budgets.
        cmd pools {}

        /// Shows the instances.
        cmd instances {}

        /// Drains an instance: it gets no new work and finishes what it has.
        cmd drain {
            /// The instance.
            required instance: InstanceId
            /// Marks work that outlives the drain's bound to be cut; entries only log it so far.
            optional --force
        }

        /// Takes back a drain.
        cmd undrain {
            /// The instance.
            required instance: InstanceId
        }

        /// Moves an instance to another pool: it drains, changes the pool and joins.
        cmd move {
            /// The instance.
            required instance: InstanceId
            /// The other pool.
            required pool: PoolId
            /// Moves it after the drain's bound although work still runs, which is cut.
            optional --force
            /// Only tells what would happen.
            optional --dry-run
        }

        /// Shows, pauses and resumes planned work: moves, restarts and roll-outs.
        cmd maintenance {
            /// plan shows what comes next and whether the period can be met, pause holds planned
            /// work back, resume lets it go on.
            required action: MaintenanceAction
        }

        /// Starts, shows and steers the roll-out of the document's image to a pool.
        cmd rollout {
            /// start, status, pause, resume or rollback, which takes the pool back to the image
            /// before.
            required action: RolloutAction
            /// The pool; only status does without it and shows all.
            optional pool: PoolId
        }

        /// Shows the state of the system on one screen.
        cmd status {}

        /// Shows the events of all entries, merged.
        cmd timeline {
            /// Only events of this last span, such as 5m.
            optional --since span: Duration
            /// Only events of this job or request.
            optional --job id: WorkId
            /// Only events of this instance.
            optional --instance instance: InstanceId
            /// Writes a file for a trace viewer, in the trace event JSON format.
            optional --trace file: PathBuf
        }
    }
}
// generated start
// The following code is generated by `xflags` macro.
// Run `env UPDATE_XFLAGS=1 cargo build` to regenerate.
#[derive(Debug)]
pub struct Magnoliapin {
    pub entry: Option<String>,
    pub key: Option<String>,
    pub ca: Option<PathBuf>,
    pub json: bool,
    pub subcommand: MagnoliapinCmd,
}

#[derive(Debug)]
pub enum MagnoliapinCmd {
    Entry(Entry),
    Node(Node),
    StandIn(StandIn),
    Demo(Demo),
    Submit(Submit),
    Request(Request),
    Job(Job),
    Cancel(Cancel),
    Config(Config),
    Key(Key),
    Pools(Pools),
    Instances(Instances),
    Drain(Drain),
    Undrain(Undrain),
    Move(Move),
    Maintenance(Maintenance),
    Rollout(Rollout),
    Status(Status),
    Timeline(Timeline),
}

#[derive(Debug)]
pub struct Entry {
    pub settings: PathBuf,
    pub check: bool,
}

#[derive(Debug)]
pub struct Node {
    pub settings: Option<PathBuf>,
    pub check: bool,
}

#[derive(Debug)]
pub struct StandIn {
    pub subcommand: StandInCmd,
}

#[derive(Debug)]
pub enum StandInCmd {
    Platform(Platform),
    Target(Target),
}

#[derive(Debug)]
pub struct Platform {
    pub listen: SocketAddr,
    pub lag_ms: Option<u64>,
    pub seed: Option<u64>,
}

#[derive(Debug)]
pub struct Target {
    pub listen: SocketAddr,
    pub zone: ZoneId,
    pub rack: RackId,
    pub platform: SocketAddr,
    pub instance: Option<InstanceId>,
    pub pool: Option<PoolId>,
    pub slots: Option<u32>,
    pub connections: Option<u32>,
    pub image: Option<String>,
    pub seed: Option<u64>,
}

#[derive(Debug)]
pub struct Demo {
    pub seconds: Option<u64>,
    pub seed: Option<u64>,
}

#[derive(Debug)]
pub struct Submit {
    pub queue: QueueId,
    pub payload: Option<String>,

    pub file: Option<PathBuf>,
    pub idempotency_key: Option<String>,
    pub wait: bool,
}

#[derive(Debug)]
pub struct Request {
    pub queue: QueueId,
    pub payload: Option<String>,

    pub file: Option<PathBuf>,
    pub timeout_ms: Option<u64>,
}

#[derive(Debug)]
pub struct Job {
    pub id: WorkId,
}

#[derive(Debug)]
pub struct Cancel {
    pub id: WorkId,
}

#[derive(Debug)]
pub struct Config {
    pub subcommand: ConfigCmd,
}

#[derive(Debug)]
pub enum ConfigCmd {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Show(Show),
}

#[derive(Debug)]
pub struct Check {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Diff {
    pub file: PathBuf,
}

#[derive(Debug)]
pub struct Apply {
    pub file: PathBuf,

    pub section: Vec<SectionName>,
    pub whole: bool,
    pub base: Option<ConfigVersion>,
}

#[derive(Debug)]
pub struct Show {
    pub section: Option<SectionName>,
}

#[derive(Debug)]
pub struct Key {
    pub subcommand: KeyCmd,
}

#[derive(Debug)]
pub enum KeyCmd {
    New(New),
    List(List),
    Withdraw(Withdraw),
}

#[derive(Debug)]
pub struct New {
    pub name: KeyId,
}

#[derive(Debug)]
pub struct List {
    pub team: Option<TeamId>,
}

#[derive(Debug)]
pub struct Withdraw {
    pub team: TeamId,
    pub name: KeyId,
}

#[derive(Debug)]
pub struct Pools;

#[derive(Debug)]
pub struct Instances;

#[derive(Debug)]
pub struct Drain {
    pub instance: InstanceId,

    pub force: bool,
}

#[derive(Debug)]
pub struct Undrain {
    pub instance: InstanceId,
}

#[derive(Debug)]
pub struct Move {
    pub instance: InstanceId,
    pub pool: PoolId,

    pub force: bool,
    pub dry_run: bool,
}

#[derive(Debug)]
pub struct Maintenance {
    pub action: MaintenanceAction,
}

#[derive(Debug)]
pub struct Rollout {
    pub action: RolloutAction,
    pub pool: Option<PoolId>,
}

#[derive(Debug)]
pub struct Status;

#[derive(Debug)]
pub struct Timeline {
    pub since: Option<Duration>,
    pub job: Option<WorkId>,
    pub instance: Option<InstanceId>,
    pub trace: Option<PathBuf>,
}

impl Magnoliapin {
    #[allow(dead_code)]
    pub fn from_env_or_exit() -> Self {
        Self::from_env_or_exit_()
    }

    #[allow(dead_code)]
    pub fn from_env() -> xflags::Result<Self> {
        Self::from_env_()
    }

    #[allow(dead_code)]
    pub fn from_vec(args: Vec<std::ffi::OsString>) -> xflags::Result<Self> {
        Self::from_vec_(args)
    }
}
// generated end
