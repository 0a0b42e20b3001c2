//! Admission of work: authorization of callers, and checks of size, queue length and deadline.

use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::Attempt;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::QueueSection;
use magnoliapin_model::TeamId;
use magnoliapin_model::UnixMillis;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::JobState;
use sha2::Digest;
use sha2::Sha256;

use crate::work::JobOwnership;
use crate::work::WorkEntry;
use crate::work::WorkKind;
use crate::work::WorkStage;
use crate::CallId;
use crate::EntryMachine;

/// Error for which a caller or an operator is refused.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionError {
    pub(crate) kind: ErrorKind,
    pub(crate) message: String,
}

impl AdmissionError {
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl EntryMachine {
    pub(crate) fn admit_request(
        &mut self,
        call: CallId,
        key: Option<KeyHash>,
        queue: QueueId,
        payload: Vec<u8>,
        timeout_ms: Option<u64>,
    ) {
        match self.admit(key, queue, payload.len()) {
            Ok((team, section)) => {
                let max_timeout_ms = section.timeout_ms;
                let timeout =
                    Duration::from_millis(timeout_ms.unwrap_or(max_timeout_ms).min(max_timeout_ms));
                self.enqueue_request(call, team, queue, &section, payload, timeout);
            }
            Err(error) => self.reject(call, error),
        }
    }

    fn enqueue_request(
        &mut self,
        call: CallId,
        team: TeamId,
        queue: QueueId,
        section: &QueueSection,
        payload: Vec<u8>,
        timeout: Duration,
    ) {
        let ahead = self.request_wait_queues.team_len_in_pool(section.pool, team);
        let wait = self.start_rates.expected_wait(section.pool, team, ahead);
        let run = self.run_times.expected(queue).unwrap_or_default();
        if ahead > 0 && wait.is_some_and(|wait| wait + run > timeout) {
            let message = format!(
                "the deadline cannot be met: {ahead} requests of the team are already waiting"
            );
            self.reject(call, AdmissionError::new(ErrorKind::Overloaded, message));
            return;
        }
        let kind = WorkKind::Request { call: Some(call) };
        let mut entry = new_entry(kind, team, queue, section, payload);
        if !self.has_room_for(&entry) {
            self.reject(call, no_room_error());
            return;
        }
        entry.deadline = self.out.now + timeout;
        entry.max_run = timeout;
        let work = self.out.random_work_id();
        self.work.insert(work, entry, Some(call));
        self.enqueue_work(work);
    }

    pub(crate) fn admit_job(
        &mut self,
        call: CallId,
        key: Option<KeyHash>,
        queue: QueueId,
        payload: Vec<u8>,
        idempotency_key: Option<String>,
    ) {
        let (team, section) = match self.admit(key, queue, payload.len()) {
            Ok(admitted) => admitted,
            Err(error) => {
                self.reject(call, error);
                return;
            }
        };
        let work = match idempotency_key {
            Some(key) => derive_work_id(team, queue, &key),
            None => self.out.random_work_id(),
        };
        if self.join_known_job(call, work) {
            return;
        }
        let row = JobRow {
            team,
            queue,
            pool: section.pool,
            state: JobState::Accepted,
            attempt: Attempt(0),
            holder: self.identity.entry,
            target: None,
            idempotent: section.idempotent,
            max_run_ms: section.max_run_ms,
            max_attempts: section.max_attempts,
            failures: 0,
            crashed: Vec::new(),
            cancel_requested: false,
            payload: payload.clone(),
            output: None,
            reason: None,
            accepted_at: self.wall_time(),
            ended_at: UnixMillis(0),
        };
        let job = JobOwnership::new(row, call);
        let mut entry = new_entry(WorkKind::Job(Box::new(job)), team, queue, &section, payload);
        if !self.has_room_for(&entry) {
            self.reject(call, no_room_error());
            return;
        }
        entry.deadline = self.out.now + Duration::from_millis(section.timeout_ms);
        entry.stage_time = self.out.now;
        self.work.insert(work, entry, None);
        self.store_job(work);
    }

    /// Authorizes the caller and checks the queue's limits. Returns the team that the work counts
    /// for.
    fn admit(
        &mut self,
        key: Option<KeyHash>,
        queue: QueueId,
        payload_bytes: usize,
    ) -> Result<(TeamId, QueueSection), AdmissionError> {
        if !self.is_ready() {
            return Err(AdmissionError::new(ErrorKind::NotReady, "this entry takes no work now"));
        }
        let Some(section) = self.config.document.queues.get(&queue).cloned() else {
            let message = format!("there is no queue {queue}");
            return Err(AdmissionError::new(ErrorKind::NotFound, message));
        };
        let team = self.team_for_queue(key, &section)?;
        if payload_bytes as u64 > section.max_body_bytes.0 {
            let message = format!("queue {queue} takes at most {} bytes", section.max_body_bytes);
            return Err(AdmissionError::new(ErrorKind::BodyTooLarge, message));
        }
        if self.work.count_in_queue(queue) >= section.max_waiting {
            let message = format!(
                "queue {queue} is full: its limit at this entry is {} requests and jobs",
                section.max_waiting
            );
            return Err(AdmissionError::new(ErrorKind::Overloaded, message));
        }
        Ok((team, section))
    }

    /// Returns whether the memory has room for the input of a team's work.
    fn has_room_for(&self, entry: &WorkEntry) -> bool {
        self.work.has_room(self.options.held_inputs, entry.team, entry.held_input())
    }

    fn team_for_queue(
        &mut self,
        key: Option<KeyHash>,
        section: &QueueSection,
    ) -> Result<TeamId, AdmissionError> {
        let key_team = key.map(|key| self.team_of_key(key));
        if let (true, Some(open_team)) = (section.open, section.open_team) {
            let team = key_team.and_then(Result::ok).unwrap_or(open_team);
            return Ok(team);
        }
        let Some(key_team) = key_team else {
            return Err(AdmissionError::new(ErrorKind::BadKey, "this queue needs a team's key"));
        };
        let team = key_team?;
        if !section.teams.is_empty() && !section.teams.contains(&team) {
            let message = format!("team {team} may not use this queue");
            return Err(AdmissionError::new(ErrorKind::NotAllowed, message));
        }
        Ok(team)
    }

    /// Returns the team of a key.
    ///
    /// Refused while the configuration is stale, as the key may have been revoked since.
    pub(crate) fn team_of_key(&mut self, key: KeyHash) -> Result<TeamId, AdmissionError> {
        if !self.is_fresh(self.out.now) {
            self.out.counts.stale_refusals += 1;
            let message = "the key cannot be checked: this entry's configuration may be outdated";
            return Err(AdmissionError::new(ErrorKind::StaleConfig, message));
        }
        match self.config.keys.find(&key) {
            Some((team, _)) => Ok(team),
            None => Err(AdmissionError::new(ErrorKind::BadKey, "no team has this key")),
        }
    }

    /// Returns the team of a key if it is a team of operators.
    pub(crate) fn operator_team(&mut self, key: Option<KeyHash>) -> Result<TeamId, AdmissionError> {
        let Some(key) = key else {
            return Err(AdmissionError::new(ErrorKind::BadKey, "this needs an operator's key"));
        };
        let team = self.team_of_key(key)?;
        let section = self.config.document.teams.get(&team);
        if section.is_some_and(|section| section.operator) {
            return Ok(team);
        }
        let message = format!("team {team} is not a team of operators");
        Err(AdmissionError::new(ErrorKind::NotAllowed, message))
    }

    pub(crate) fn reject(&mut self, call: CallId, error: AdmissionError) {
        self.out.refuse(call, error.kind, error.message);
    }

    /// Handles the disconnect of a caller.
    ///
    /// A request that waits for a slot is dropped; in any other stage it continues without a
    /// caller.
    pub(crate) fn drop_caller(&mut self, call: CallId) {
        let Some(work) = self.work.request_of(call) else { return };
        let Some(entry) = self.work.get_mut(work) else { return };
        if entry.stage == WorkStage::Waiting {
            let (pool, team, position) = (entry.pool, entry.team, entry.queue_position(work));
            self.request_wait_queues.remove(pool, team, position);
            self.work.remove(work);
        } else {
            entry.kind = WorkKind::Request { call: None };
        }
    }
}

fn new_entry(
    kind: WorkKind,
    team: TeamId,
    queue: QueueId,
    section: &QueueSection,
    payload: Vec<u8>,
) -> WorkEntry {
    WorkEntry {
        kind,
        team,
        queue,
        pool: section.pool,
        payload,
        idempotent: section.idempotent,
        max_run: Duration::from_millis(section.max_run_ms),
        deadline: Moment::START,
        stage_time: Moment::START,
        attempt: Attempt(0),
        stage: WorkStage::Storing,
        failed_on: IndexSet::new(),
        unfit_on: IndexSet::new(),
        crashed: Vec::new(),
        was_started: false,
        may_have_run: false,
    }
}

/// Derives a job's identifier from its idempotency key, so that a resubmission finds the job.
fn derive_work_id(team: TeamId, queue: QueueId, key: &str) -> WorkId {
    let hash = Sha256::new()
        .chain_update(team.as_str())
        .chain_update([0])
        .chain_update(queue.as_str())
        .chain_update([0])
        .chain_update(key)
        .finalize();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash[..16]);
    WorkId(u128::from_be_bytes(bytes))
}

fn no_room_error() -> AdmissionError {
    let message =
        "the inputs of the team's waiting requests and jobs take all the room that it may have";
    AdmissionError::new(ErrorKind::Overloaded, message)
}
