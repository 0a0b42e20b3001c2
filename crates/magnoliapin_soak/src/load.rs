//! Load from simulated callers and operators.

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::KeyHash;
use magnoliapin_model::QueueId;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::ConfigChange;
use rand::Rng;

use crate::caller_registry::CallKind;
use crate::caller_registry::WorkRecord;
use crate::world::SoakWorld;

/// First configuration document of a soak; `KEY:` marks the secrets to hash.
const DOCUMENT: &str = r#"
[pools.main]
instances = 6
max_unavailable = 2

[pools.side]
instances = 3
max_unavailable = 1

[teams.ops]
limit = 4
operator = true

[teams.ops.keys]
first = "KEY:ops"

[teams.red]
weight = 2
limit = 20

[teams.red.keys]
k0 = "KEY:red0"

[teams.blue]
weight = 1
limit = 12

[teams.blue.keys]
k0 = "KEY:blue0"

[teams.guest]
limit = 6

[queues.pay]
pool = "main"
timeout_ms = 4000
max_waiting = 200

[queues.route]
pool = "main"
idempotent = true
timeout_ms = 4000
max_waiting = 200

[queues.photo]
pool = "side"
idempotent = true
timeout_ms = 6000
max_waiting = 200

[queues.info]
pool = "side"
open = true
open_team = "guest"
idempotent = true
timeout_ms = 3000
max_waiting = 100
"#;

/// Field of a payload whose start crashes the target.
pub(crate) const CRASH: &str = r#","crash":true"#;

/// Secret behind the operators' key.
pub(crate) const OPERATOR_SECRET: &str = "ops";

/// Returns the first document, with its keys hashed.
pub(crate) fn first_document() -> String {
    with_hashed_keys(DOCUMENT)
}

/// Returns a document in which the secret behind each `KEY:` is replaced by its hash.
pub(crate) fn with_hashed_keys(document: &str) -> String {
    let mut text = String::new();
    for line in document.lines() {
        match line.split_once("\"KEY:") {
            Some((head, secret)) => {
                let hash = KeyHash::new(secret.trim_end_matches('"'));
                text.push_str(&format!("{head}\"{hash}\"\n"));
            }
            None => {
                text.push_str(line);
                text.push('\n');
            }
        }
    }
    text
}

impl SoakWorld {
    /// Sends a random call of a caller or an operator.
    pub(crate) fn send_random_call(&mut self) {
        match self.random.random_range(0..100) {
            0..40 => self.send_new_work(false),
            40..80 => self.send_new_work(true),
            80..86 => self.resubmit_job(),
            86..92 => self.send_cancel(),
            92..98 => self.send_read(),
            _ => self.send_apply(),
        }
    }

    fn send_new_work(&mut self, is_job: bool) {
        let names = ["pay", "route", "photo", "info"];
        let queue: QueueId = names[self.random.random_range(0..names.len())].parse().expect("name");
        let run_ms = self.random.random_range(5..400);
        let fail = self.random.random_bool(0.03);
        let unfit = self.random.random_bool(0.01);
        // Not drawn by other plans, so that their seeds keep their courses.
        let crash = self.plan.crash_share > 0.0 && self.random.random_bool(self.plan.crash_share);
        let mut behaviour = format!(r#""run_ms":{run_ms},"fail":{fail},"unfit":{unfit}"#);
        if crash {
            behaviour.push_str(CRASH);
        }
        let has_key = is_job && self.random.random_bool(0.5);
        self.add_work(queue, is_job, has_key, &behaviour);
    }

    /// Sends new work whose payload specifies this behaviour. Returns its marker.
    pub(crate) fn add_work(
        &mut self,
        queue: QueueId,
        is_job: bool,
        has_key: bool,
        behaviour: &str,
    ) -> u64 {
        let marker = self.callers.works.len();
        let record = WorkRecord {
            queue,
            payload: format!(r#"{{"marker":{marker},{behaviour}}}"#).into_bytes(),
            idempotency_key: has_key.then(|| format!("key-{marker}")),
            idempotent: queue.as_str() != "pay",
            is_job,
            crash: behaviour.contains(CRASH),
            is_always_not_run: true,
            answers: 0,
            job: None,
            starts: 0,
            effects: 0,
        };
        let marker = self.callers.add(record);
        self.send_work(marker);
        marker
    }

    /// Submits a recent job again under its idempotency key.
    fn resubmit_job(&mut self) {
        let recent = self.callers.works.len().min(200);
        if recent == 0 {
            return;
        }
        let marker = self.callers.works.len() - 1 - self.random.random_range(0..recent);
        if self.callers.works[marker].idempotency_key.is_some() {
            self.send_work(marker as u64);
        }
    }

    fn send_work(&mut self, marker: u64) {
        let Some(work) = self.callers.work(marker).cloned() else { return };
        let key = self.draw_key(&work);
        let body = if work.is_job {
            CallerBody::Submit {
                queue: work.queue,
                payload: work.payload,
                idempotency_key: work.idempotency_key,
            }
        } else {
            CallerBody::Run { queue: work.queue, payload: work.payload, timeout_ms: None }
        };
        let kind = if work.is_job { CallKind::Submit } else { CallKind::Run };
        self.call_entry(kind, marker, CallerRequest { key, body });
    }

    /// Draws one of a team's three newest keys, which may be withdrawn or never in force. The team
    /// depends on the payload only, so that a resubmitted job comes from the same team.
    fn draw_key(&mut self, work: &WorkRecord) -> Option<KeyHash> {
        if work.queue.as_str() == "info" {
            return None;
        }
        let seed = work.payload.iter().map(|byte| usize::from(*byte)).sum::<usize>();
        let team = if seed.is_multiple_of(3) { "blue" } else { "red" };
        let newest = self.key_count(team);
        let oldest = newest.saturating_sub(2);
        let number = self.random.random_range(oldest..=newest);
        Some(KeyHash::new(&format!("{team}{number}")))
    }

    /// Returns the number of a team's newest key.
    fn key_count(&self, team: &str) -> u32 {
        self.newest_keys.get(team).copied().unwrap_or(0)
    }

    fn send_cancel(&mut self) {
        if let Some((marker, key, job)) = self.draw_job() {
            let body = CallerBody::CancelJob(job);
            self.call_entry(CallKind::Cancel, marker, CallerRequest { key, body });
        }
    }

    fn send_read(&mut self) {
        if let Some((marker, key, job)) = self.draw_job() {
            let body = CallerBody::ReadJob(job);
            self.call_entry(CallKind::Read, marker, CallerRequest { key, body });
        }
    }

    fn draw_job(&mut self) -> Option<(u64, Option<KeyHash>, WorkId)> {
        let recent = self.callers.works.len().min(300);
        if recent == 0 {
            return None;
        }
        let marker = self.callers.works.len() - 1 - self.random.random_range(0..recent);
        let work = self.callers.works[marker].clone();
        let key = self.draw_key(&work);
        Some((marker as u64, key, work.job?))
    }

    /// Sends the first document.
    pub(crate) fn send_first_document(&mut self) {
        let text = match &self.trial {
            Some(trial) => trial.document.clone(),
            None => first_document(),
        };
        let document = ConfigDocument::parse(&text).expect("the document is valid");
        let sections = document.sections().into_iter().map(|(name, text)| (name, Some(text)));
        let change = ConfigChange { base: None, sections: sections.collect(), whole: true };
        self.send_change(change);
    }

    /// Changes a team's limit or keys. The base version is sometimes omitted, and changes may race
    /// each other, as with several operators.
    pub(crate) fn send_apply(&mut self) {
        let Some((version, document)) = self.config_history.newest() else { return };
        let name = if self.random.random_bool(0.5) { "red" } else { "blue" };
        let Ok(team) = name.parse::<TeamId>() else { return };
        let mut document = document.clone();
        let Some(section) = document.teams.get_mut(&team) else { return };
        if self.random.random_bool(0.6) {
            section.limit.0 = self.random.random_range(4..24);
        } else {
            let number = self.newest_keys.entry(name).or_insert(0);
            *number += 1;
            let hash = KeyHash::new(&format!("{name}{number}"));
            let key = format!("k{number}").parse().expect("name");
            if section.keys.len() > 1 {
                section.keys.shift_remove_index(0);
            }
            section.keys.insert(key, hash);
        }
        let name = SectionName::Team(team);
        let sections = IndexMap::from([(name, document.section_text(name))]);
        let base = self.random.random_bool(0.7).then_some(version);
        self.send_change(ConfigChange { base, sections, whole: false });
    }

    pub(crate) fn send_change(&mut self, change: ConfigChange) {
        let key = Some(KeyHash::new(OPERATOR_SECRET));
        let body = CallerBody::ApplyConfig(change);
        self.call_entry(CallKind::Apply, u64::MAX, CallerRequest { key, body });
    }
}
