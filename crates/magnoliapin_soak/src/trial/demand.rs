//! Load that a trial offers to the entries.

use std::time::Duration;

use magnoliapin_model::KeyHash;
use magnoliapin_model::QueueId;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use rand::Rng;

use crate::caller_registry::CallKind;
use crate::caller_registry::PendingCall;
use crate::caller_registry::WorkRecord;
use crate::trial::log::SentWork;
use crate::trial::log::WorkClass;
use crate::trial::site::TrialWorld;
use crate::trial::site::SERVING_POOLS;
use crate::world::WorldEvent;

/// Load of one team.
#[derive(Clone, Copy, Debug)]
pub struct TeamDemand {
    /// Number of the team.
    pub team: usize,
    /// Class of the submitted work.
    pub class: WorkClass,
    /// Mean calls per second of a Poisson process.
    pub per_second: f64,
    /// Mean run time; each run time is drawn uniformly from 0.5 to 1.5 times the mean.
    pub run_time: Duration,
    /// Zone whose entries are called; `None` calls the entries of every zone.
    pub zone: Option<usize>,
    /// Queue; `None` draws one for each call. Open work always uses the open queue.
    pub queue: Option<usize>,
}

impl TeamDemand {
    /// Creates a load of keyed requests of one team to every queue and entry.
    pub fn new(team: usize, per_second: f64, run_time: Duration) -> Self {
        Self { team, class: WorkClass::Keyed, per_second, run_time, zone: None, queue: None }
    }

    /// Sets the class of the work.
    #[must_use]
    pub fn with_class(mut self, class: WorkClass) -> Self {
        self.class = class;
        self
    }

    /// Restricts the calls to the entries of one zone.
    #[must_use]
    pub fn with_zone(mut self, zone: usize) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Restricts the calls to one queue.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.queue = Some(queue);
        self
    }
}

impl TrialWorld {
    /// Offers load for `span`, second by second; `demand` returns the load of each second.
    pub fn drive(&mut self, span: Duration, mut demand: impl FnMut(u64) -> Vec<TeamDemand>) {
        let end = self.now() + span;
        let mut second = 0;
        while self.now() < end {
            let step = Duration::from_secs(1).min(end.since(self.now()));
            for demand in demand(second) {
                self.offer(&demand, step);
            }
            self.run_for(step);
            second += 1;
        }
    }

    /// Draws and sends the calls of the next `span`.
    pub(crate) fn offer(&mut self, demand: &TeamDemand, span: Duration) {
        let mut at = Duration::ZERO;
        loop {
            let draw: f64 = self.world.random.random_range(f64::EPSILON..1.0);
            let gap = -draw.ln() / demand.per_second.max(f64::EPSILON);
            if at.as_secs_f64() + gap >= span.as_secs_f64() {
                return;
            }
            at += Duration::from_secs_f64(gap);
            self.send(demand, at);
        }
    }

    /// Sends one piece of work after `wait` and returns its marker.
    pub(crate) fn send(&mut self, demand: &TeamDemand, wait: Duration) -> u64 {
        let world = &mut self.world;
        let queue = match (demand.class, demand.queue) {
            (WorkClass::Open, _) => SERVING_POOLS - 1,
            (_, Some(queue)) => queue,
            (_, None) => world.random.random_range(0..SERVING_POOLS),
        };
        let queue: QueueId = format!("q{queue}").parse().expect("a short name");
        let run_time = demand.run_time.mul_f64(world.random.random_range(0.5..1.5));
        let marker = world.callers.works.len() as u64;
        let payload = format!(r#"{{"marker":{marker},"run_ms":{}}}"#, run_time.as_millis());
        let payload = payload.into_bytes();
        let is_job = demand.class == WorkClass::Job;
        world.callers.add(WorkRecord {
            queue,
            payload: payload.clone(),
            idempotency_key: None,
            idempotent: true,
            crash: false,
            is_job,
            is_always_not_run: true,
            answers: 0,
            job: None,
            starts: 0,
            effects: 0,
        });
        let key = (demand.class != WorkClass::Open).then(|| team_key(demand.team));
        let body = if is_job {
            CallerBody::Submit { queue, payload, idempotency_key: None }
        } else {
            CallerBody::Run { queue, payload, timeout_ms: None }
        };
        let kind = if is_job { CallKind::Submit } else { CallKind::Run };
        let entry = self.draw_entry(demand.zone);
        let world = &mut self.world;
        let sent_at = world.now + wait;
        if let Some(trial) = &mut world.trial {
            trial.sent_work.push(SentWork {
                class: demand.class,
                entry,
                sent_at,
                run_time,
                answer: None,
                starts: Vec::new(),
                effect_at: None,
            });
        }
        self.call(entry, kind, marker, CallerRequest { key, body }, wait);
        marker
    }

    /// Sends a call to an entry after `wait`.
    pub(crate) fn call(
        &mut self,
        entry: usize,
        kind: CallKind,
        marker: u64,
        request: CallerRequest,
        wait: Duration,
    ) {
        let pending = PendingCall { kind, key: request.key, marker, received_at: self.world.now };
        let event = WorldEvent::Call { entry, call: pending, request: Box::new(request) };
        self.world.schedule_after(wait, event);
    }

    /// Draws an entry that is up, from one zone or from all; returns 0 if none is up.
    pub(crate) fn draw_entry(&mut self, zone: Option<usize>) -> usize {
        let zone = zone.map(crate::world::zone);
        let entries = self.world.entries.iter().enumerate();
        let up = entries.filter(|(_, entry)| entry.is_up());
        let candidates = up.filter(|(_, entry)| zone.is_none_or(|zone| zone == entry.zone));
        let candidates = candidates.map(|(index, _)| index).collect::<Vec<_>>();
        let position = self.world.random.random_range(0..candidates.len().max(1));
        candidates.get(position).copied().unwrap_or_default()
    }
}

/// Returns the first key of a team.
pub(crate) fn team_key(team: usize) -> KeyHash {
    KeyHash::new(&format!("team{team}"))
}
