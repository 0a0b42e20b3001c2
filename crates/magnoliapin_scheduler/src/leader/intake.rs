//! Reads new jobs and cancellation requests from the store.

use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoredInput;

use crate::job_size::JobSize;
use crate::leader::job::Job;
use crate::leader::job::JobKey;
use crate::leader::job::Occurrence;
use crate::leader::job::Task;
use crate::leader::recovery::next_page;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::FenceRow;
use crate::rows::IntakeKey;
use crate::rows::JobRow;
use crate::rows::ProgressRow;
use crate::rows::TaskCrashes;
use crate::watch::Watch;
use crate::watch::WatchKind;
use crate::watch::WatchUpdate;
use crate::CallId;

#[cfg(test)]
#[path = "intake_tests.rs"]
mod tests;

/// Progress of a reload of all jobs.
#[derive(Debug, Default)]
pub(crate) struct Reload {
    /// Number of partitions that are not fully read yet.
    pending: u32,
    /// Version after which changes are watched once the reload is complete.
    watch_from: Option<RowVersion>,
}

/// Rows that hold the progress of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoredProgress {
    /// Version of the first row.
    pub(crate) version: RowVersion,
    /// Number of further rows.
    pub(crate) pieces: u32,
}

impl Leader {
    /// Sends the next calls of the watches.
    pub(super) fn poll_watches(&mut self, out: &mut Outbox) {
        if let Some(watch) = &mut self.intake {
            watch.poll(&self.identity.times, out);
        }
        self.registrations.poll(&self.identity.times, out);
    }

    /// Handles a reply to a watch. Returns whether the call was made by one of the watches.
    pub(super) fn handle_watch_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        if let Some(update) = self.registrations.handle_reply(call, reply, out) {
            self.handle_registration_update(update, out);
            return true;
        }
        let update = self.intake.as_mut().and_then(|watch| watch.handle_reply(call, reply, out));
        match update {
            Some(WatchUpdate::Changed(StoreReply::Rows { rows, .. })) => {
                for row in &rows {
                    self.apply_intake_row(row, false, out);
                }
                // Sends the next call at once, so that no job waits for a tick.
                self.poll_watches(out);
                true
            }
            Some(WatchUpdate::Lost) => {
                log::warn!("event=intake_history_lost generation={}", self.generation);
                // The reload covers the changes that the watch has missed.
                self.reload_jobs(out);
                true
            }
            Some(_) => true,
            None => false,
        }
    }

    /// Applies a row of the intake table.
    pub(super) fn apply_intake_row(
        &mut self,
        row: &StoreRow,
        is_inherited: bool,
        out: &mut Outbox,
    ) {
        let Some(key) = IntakeKey::parse(&row.key) else {
            log::error!("event=row_unknown table={} key={:?}", rows::INTAKE, row.key);
            return;
        };
        let Some(value) = row.value.as_deref() else {
            return;
        };
        // The load of the partition covers older changes: it has read them or a newer state.
        let partition =
            row.partition.parse().ok().and_then(|partition: usize| self.partitions.get(partition));
        let loaded = partition.and_then(|partition| partition.load.version()).unwrap_or_default();
        if !is_inherited && row.version <= loaded && key != IntakeKey::Fence {
            return;
        }
        match key {
            IntakeKey::Fence => self.check_fence(value),
            IntakeKey::Job(job) => match rows::decode_job(value) {
                Some((row, input)) => self.add_job(job, row, input, is_inherited, out),
                None => log::error!("event=row_unreadable table={} job={job}", rows::INTAKE),
            },
            IntakeKey::Cancel(job) => self.cancel_job(job, out),
        }
    }

    /// Stops scheduling if a newer leader has fenced a partition.
    fn check_fence(&mut self, value: &[u8]) {
        let fence: Option<FenceRow> = rows::decode(value);
        if fence.is_some_and(|fence| fence.generation > self.generation) {
            self.depose("a partition has a newer fence");
        }
    }

    /// Applies a row of the intake table that was read by a reload.
    fn apply_reloaded_row(&mut self, row: &StoreRow, out: &mut Outbox) {
        let Some(value) = row.value.as_deref() else { return };
        match IntakeKey::parse(&row.key) {
            Some(IntakeKey::Job(job)) => match rows::decode_job(value) {
                Some((row, input)) => self.add_job(job, row, input, false, out),
                None => log::error!("event=row_unreadable table={} job={job}", rows::INTAKE),
            },
            Some(IntakeKey::Cancel(job)) => self.cancel_job(job, out),
            Some(IntakeKey::Fence) => self.check_fence(value),
            None => {}
        }
    }

    pub(super) fn add_job(
        &mut self,
        id: JobId,
        row: JobRow,
        input: Option<StoredInput>,
        is_inherited: bool,
        out: &mut Outbox,
    ) {
        // A row may have been read before its job finished.
        if self.job_keys.contains_key(&id) || self.finished_jobs.contains_key(&id) {
            return;
        }
        self.last_job_key += 1;
        let key = JobKey(self.last_job_key);
        let size = JobSize::new(&row.spec, input.as_ref());
        self.job_ledger.add(row.team.as_ref(), size);
        let is_counted = !is_inherited && !row.spec.is_long_running();
        let is_over_share = is_counted && self.team_shares.add_arrival(row.team.as_ref(), out.now);
        let job = Job {
            id,
            partition: rows::partition_of(id, self.identity.partition_count),
            queue: row.queue,
            pool: row.pool.clone(),
            team: row.team,
            spec: row.spec,
            input,
            size,
            accepted_at: out.moment_of(row.accepted_at),
            is_inherited,
            is_over_share,
            occurrences: Vec::new(),
            next_occurrence: 0,
            done_occurrences: 0,
            progress_version: RowVersion(0),
            progress_pieces: 0,
            has_cancel_row: false,
            final_state: None,
            has_started: false,
            changes: 0,
            stored_changes: 0,
            rule: row.rule,
        };
        log::info!(
            "event=job_learned job={id} queue={} pool={} age_ms={} inherited={is_inherited}",
            job.queue,
            job.pool,
            out.now.since(job.accepted_at).as_millis()
        );
        let statistics = self.queue_statistics.entry(job.queue.clone()).or_default();
        if !job.spec.is_long_running() {
            statistics.record_job(&job.spec);
        }
        let statistics = *statistics;
        if !is_inherited {
            self.record_arrival(&job.pool, &job.spec, &statistics, out.now);
        }
        let pool = job.pool.clone();
        self.job_keys.insert(id, key);
        self.pools.entry(pool.clone()).or_default().jobs.insert(key);
        self.jobs.insert(key, job);
        self.start_due_occurrences(key, out);
        self.mark_for_dispatch(&pool);
    }

    /// Restores the stored progress of a job.
    pub(super) fn restore_job(
        &mut self,
        id: JobId,
        row: &ProgressRow,
        crashes: &[TaskCrashes],
        stored: StoredProgress,
        out: &mut Outbox,
    ) {
        let Some(job) = self.job_keys.get(&id).and_then(|key| self.jobs.get_mut(key)) else {
            log::warn!("event=progress_without_job job={id} version={}", stored.version);
            return;
        };
        job.progress_version = stored.version;
        job.progress_pieces = stored.pieces;
        job.occurrences.clear();
        job.next_occurrence = 0;
        let accepted_at = job.accepted_at;
        let due: Vec<_> =
            (0..job.spec.occurrences()).map(|number| job.spec.due_at(number)).collect();
        job.restore(row, |number| {
            let due = due.get(number as usize).copied().flatten();
            due.map_or(accepted_at, |due| out.moment_of(due))
        });
        let crashed = job.restore_crashes(crashes);
        let has_given_up =
            crashed.iter().any(|name| job.task(*name).is_some_and(Task::is_given_up));
        self.crashed_tasks.extend(crashed);
        job.has_started = true;
        let is_open = job.final_state.is_none();
        let key = self.job_keys[&id];
        if is_open && job.is_done() {
            self.finish_job(key, JobState::Completed, out);
        } else if is_open && has_given_up {
            // The leader before may not have stored the outcome.
            self.fail_given_up(key, out);
        }
    }

    /// Starts the due occurrences of all jobs.
    pub(super) fn poll_occurrences(&mut self, out: &mut Outbox) {
        let has_remaining = |job: &Job| job.next_occurrence < job.spec.occurrences();
        let keys: Vec<JobKey> =
            self.jobs.iter().filter(|(_, job)| has_remaining(job)).map(|(key, _)| *key).collect();
        for key in keys {
            self.start_due_occurrences(key, out);
        }
    }

    /// Adds the occurrences of a job that are due.
    fn start_due_occurrences(&mut self, key: JobKey, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let before = job.next_occurrence;
        while job.next_occurrence < job.spec.occurrences() && job.may_open_occurrence() {
            let number = job.next_occurrence;
            let due_at = match job.spec.due_at(number) {
                Some(due) if due > out.wall_now() => break,
                Some(due) => out.moment_of(due),
                None => job.accepted_at,
            };
            job.occurrences.push(Occurrence::new(number, due_at, &job.spec));
            job.next_occurrence += 1;
        }
        if job.next_occurrence > before {
            let pool = job.pool.clone();
            self.mark_for_dispatch(&pool);
        }
    }

    fn cancel_job(&mut self, id: JobId, out: &mut Outbox) {
        let Some(key) = self.job_keys.get(&id).copied() else { return };
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.has_cancel_row = true;
        if job.final_state.is_none() {
            self.finish_job(key, JobState::Cancelled, out);
        }
    }

    /// Reads all jobs again after the watch has missed changes.
    fn reload_jobs(&mut self, out: &mut Outbox) {
        self.intake = None;
        self.reload = Reload { pending: self.identity.partition_count, watch_from: None };
        for partition in 0..self.identity.partition_count {
            self.reload_partition(partition, String::new(), out);
        }
    }

    fn reload_partition(&mut self, partition: u32, from: String, out: &mut Outbox) {
        let range = RowRange {
            from: from.clone(),
            ..RowRange::whole_partition(rows::INTAKE, partition.to_string())
        };
        self.call(LeaderCall::ReloadJobs(partition, from), StoreRequest::Read(range), out);
    }

    /// Handles a page of a reload.
    pub(super) fn handle_reload_reply(
        &mut self,
        partition: u32,
        from: String,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, has_more, version } = reply else {
            return self.reload_partition(partition, from, out);
        };
        let oldest = self.reload.watch_from.map_or(*version, |from| from.min(*version));
        self.reload.watch_from = Some(oldest);
        for row in rows {
            if self.is_deposed() {
                return;
            }
            // Rows of a reload are applied whatever their version, as the watch has missed changes.
            self.apply_reloaded_row(row, out);
        }
        if let Some(next) = next_page(rows, *has_more) {
            return self.reload_partition(partition, next, out);
        }
        self.reload.pending -= 1;
        if self.reload.pending == 0 {
            self.intake = Some(Watch::new_after(WatchKind::Intake, oldest));
        }
    }
}
