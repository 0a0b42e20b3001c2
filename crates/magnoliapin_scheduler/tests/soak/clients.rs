//! Clients that submit jobs, ask for their states and cancel some.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliapin_scheduler::ClientId;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_site::ClientAction;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::JobId;
use magnoliapin_site::JobSpec;
use magnoliapin_site::Resources;
use magnoliapin_site::StepSpec;
use rand::Rng;

use crate::judge::KnownJob;
use crate::site;
use crate::world::Event;
use crate::world::World;
use crate::world::LOAD_END;

/// Jobs in a second.
const JOBS_PER_S: f64 = 5.0;
/// How often a client that was refused tries again.
const RETRIES: u32 = 4;

/// Requests that are under way.
#[derive(Default)]
pub(crate) struct ClientBook {
    last_client: u64,
    open: BTreeMap<ClientId, (JobId, RequestKind)>,
    tries: BTreeMap<JobId, (u32, bool)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Submit,
    Read,
    Cancel,
}

/// Something that a client does.
#[derive(Clone, Copy)]
pub(crate) enum ClientStep {
    Arrive,
    Submit(JobId),
    Read(JobId),
    Cancel(JobId),
}

impl ClientBook {
    /// Returns whether an attempt to submit a job has had no answer yet.
    fn has_open_submission(&self, job: JobId) -> bool {
        self.open.values().any(|open| *open == (job, RequestKind::Submit))
    }
}

impl World {
    pub(crate) fn plan_clients(&mut self) {
        self.at(Duration::from_secs(3), Event::Client(ClientStep::Arrive));
    }

    /// Adds jobs whose tasks last, two for each pool.
    pub(crate) fn plan_lasting(&mut self) {
        for number in 0..site::POOLS * 2 {
            let id = self.random.random::<u64>() / 2 * site::POOLS as u64;
            let job = JobId(id.wrapping_add((number % site::POOLS) as u64));
            let step = StepSpec {
                tasks: self.random.random_range(3..8),
                demand: Resources { cpu_milli: 3000, memory_mb: 4000, accelerators: 0 },
                estimate_ms: 1000,
                long_running: true,
                anti_affinity: self.random.random_range(0..3),
                max_unavailable: Some(1),
                ..StepSpec::default()
            };
            let spec = JobSpec { payload: "payload".to_owned(), steps: vec![step], schedule: None };
            let known = KnownJob {
                spec,
                team: 0,
                accepted_at: None,
                cancelled_at: None,
                cancel_sent: false,
                shown: None,
                is_refused: false,
            };
            self.judge.jobs.insert(job, known);
            self.at(Duration::from_secs(2), Event::Client(ClientStep::Submit(job)));
            self.at(Duration::from_secs(55), Event::Client(ClientStep::Cancel(job)));
        }
    }

    pub(crate) fn client_step(&mut self, step: ClientStep) {
        match step {
            ClientStep::Arrive => self.arrive(),
            ClientStep::Submit(job) => {
                let spec = self.judge.jobs[&job].spec.clone();
                self.ask(job, RequestKind::Submit, ClientAction::Submit(Ok(Box::new(spec))));
            }
            ClientStep::Read(job) => {
                let known = &self.judge.jobs[&job];
                if known.shown.is_none() {
                    self.ask(job, RequestKind::Read, ClientAction::Read);
                    let pause = Duration::from_millis(self.random.random_range(200..900));
                    self.at(pause, Event::Client(ClientStep::Read(job)));
                }
            }
            ClientStep::Cancel(job) => {
                if let Some(known) = self.judge.jobs.get_mut(&job) {
                    known.cancel_sent = true;
                }
                self.ask(job, RequestKind::Cancel, ClientAction::Cancel);
            }
        }
    }

    fn arrive(&mut self) {
        let job = JobId(self.random.random());
        let team = self.random.random_range(0..2);
        let spec = self.draw_job();
        let is_long = spec.is_long_running();
        let known = KnownJob {
            spec,
            team,
            accepted_at: None,
            cancelled_at: None,
            cancel_sent: false,
            shown: None,
            is_refused: false,
        };
        self.judge.jobs.insert(job, known);
        self.at(Duration::ZERO, Event::Client(ClientStep::Submit(job)));
        if is_long || self.random.random_bool(0.05) {
            let most = if is_long { 20_000 } else { 2_000 };
            let at = Duration::from_millis(self.random.random_range(200..most));
            self.at(at, Event::Client(ClientStep::Cancel(job)));
        }
        if self.now.0 < LOAD_END.as_micros() as u64 {
            let pause = self.random.random_range(0.0..2.0) / JOBS_PER_S;
            let pause = Duration::from_secs_f64(pause);
            self.at(pause, Event::Client(ClientStep::Arrive));
        }
    }

    fn draw_job(&mut self) -> JobSpec {
        let long_running = self.random.random_bool(0.02);
        let count = if long_running { 1 } else { self.random.random_range(1..4) };
        let steps = (0..count).map(|number| StepSpec {
            tasks: self.random.random_range(1..6),
            demand: Resources {
                cpu_milli: self.random.random_range(4..30) * 100,
                memory_mb: self.random.random_range(1..40) * 100,
                accelerators: 0,
            },
            estimate_ms: 800,
            after: if number > 0 { vec![number - 1] } else { Vec::new() },
            long_running,
            gang: !long_running && self.random.random_bool(0.05),
            ..StepSpec::default()
        });
        JobSpec { payload: "payload".to_owned(), steps: steps.collect(), schedule: None }
    }

    fn ask(&mut self, job: JobId, kind: RequestKind, action: ClientAction) {
        let team = self.judge.jobs[&job].team;
        let pool = job.0 as usize % site::POOLS;
        let request = ClientRequest {
            host: site::HOST.to_owned(),
            path: format!("{}{job}", site::queue_prefix(pool)),
            key: Some(site::team_key(team)),
            patience: Some(Duration::from_secs(3)),
            action,
        };
        self.clients.last_client += 1;
        let client = ClientId(self.clients.last_client);
        self.clients.open.insert(client, (job, kind));
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].machine.is_some()).collect();
        if up.is_empty() {
            return self.ask_again(job, kind, Duration::from_millis(500));
        }
        let node = up[self.random.random_range(0..up.len())];
        let life = self.nodes[node].life;
        let delay = self.delay();
        self.at(delay, Event::ToNode(node, life, NodeEvent::Client(client, Box::new(request))));
        if kind == RequestKind::Submit {
            let tries = self.clients.tries.entry(job).or_insert((0, true));
            tries.0 += 1;
        }
    }

    fn ask_again(&mut self, job: JobId, kind: RequestKind, after: Duration) {
        let step = match kind {
            RequestKind::Submit => ClientStep::Submit(job),
            RequestKind::Cancel => ClientStep::Cancel(job),
            RequestKind::Read => return,
        };
        self.at(after, Event::Client(step));
    }

    pub(crate) fn take_answer(&mut self, client: ClientId, answer: &ClientAnswer) {
        let Some((job, kind)) = self.clients.open.remove(&client) else {
            panic!("an answer that nobody waits for");
        };
        let now = self.now;
        match (kind, answer) {
            (RequestKind::Submit, ClientAnswer::Accepted) => {
                let Some(known) = self.judge.jobs.get_mut(&job) else { return };
                known.accepted_at.get_or_insert(now);
                known.is_refused = false;
                let pause = Duration::from_millis(self.random.random_range(200..900));
                self.at(pause, Event::Client(ClientStep::Read(job)));
            }
            (RequestKind::Submit, ClientAnswer::Refused { .. }) => {
                let (tries, all_refused) = self.clients.tries[&job];
                if tries <= RETRIES {
                    self.ask_again(job, kind, Duration::from_millis(200));
                } else if all_refused && !self.clients.has_open_submission(job) {
                    if let Some(known) = self.judge.jobs.get_mut(&job) {
                        known.is_refused = true;
                    }
                }
            }
            (RequestKind::Submit, _) => {
                if let Some(tries) = self.clients.tries.get_mut(&job) {
                    tries.1 = false;
                }
                let (tries, _) = self.clients.tries[&job];
                if tries <= RETRIES {
                    self.ask_again(job, kind, Duration::from_millis(200));
                }
            }
            (RequestKind::Read, ClientAnswer::State(state)) => self.judge.show(now, job, *state),
            (RequestKind::Read, ClientAnswer::UnknownJob) => {
                self.judge.broken.push(format!("{job}: accepted and not known"));
            }
            (RequestKind::Cancel, ClientAnswer::Cancelled) => {
                let Some(known) = self.judge.jobs.get_mut(&job) else { return };
                known.cancelled_at.get_or_insert(now);
            }
            (RequestKind::Cancel, ClientAnswer::UnknownJob) => {
                let known = &self.judge.jobs[&job];
                if known.spec.is_long_running() && now.0 < LOAD_END.as_micros() as u64 * 2 {
                    // It may be accepted later, and would run for ever.
                    self.ask_again(job, kind, Duration::from_secs(2));
                }
            }
            (RequestKind::Cancel, _) => self.ask_again(job, kind, Duration::from_millis(500)),
            (RequestKind::Read, _) => {}
        }
    }

    /// Notes that the requests of a node that was lost have no answer.
    pub(crate) fn lose_requests(&mut self) {
        // A client cannot tell which node it asked, so all that is open may be lost; submissions
        // are sent again.
        let open: Vec<(ClientId, (JobId, RequestKind))> =
            self.clients.open.iter().map(|(client, open)| (*client, *open)).collect();
        for (client, (job, kind)) in open {
            if let Some(tries) = self.clients.tries.get_mut(&job) {
                tries.1 = false;
            }
            let _ = client;
            if kind == RequestKind::Cancel || kind == RequestKind::Submit {
                self.ask_again(job, kind, Duration::from_millis(300));
            }
        }
    }
}
