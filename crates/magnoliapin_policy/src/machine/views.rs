//! Views of the state for operators.

use magnoliapin_model::InstanceId;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::PoolSection;
use magnoliapin_model::TeamId;
use magnoliapin_model::TeamSection;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::ConfigView;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryView;
use magnoliapin_wire::InstanceView;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::PoolView;
use magnoliapin_wire::StatusView;
use magnoliapin_wire::TeamView;

use crate::targets::TargetEntry;
use crate::CallId;
use crate::EntryMachine;

impl EntryMachine {
    pub(crate) fn show_config(&mut self, call: CallId, key: Option<KeyHash>) {
        if self.config.version.0 > 0 {
            if let Err(error) = self.operator_team(key) {
                self.reject(call, error);
                return;
            }
        }
        let version = self.config.version;
        let sections = self.config.sections.clone();
        self.out.answer(call, CallerAnswer::Config(ConfigView { version, sections }));
    }

    pub(crate) fn show_status(&mut self, call: CallId) {
        let view = StatusView {
            config: self.config.version,
            fresh: self.is_fresh(self.out.now),
            platform_up: self.membership.is_platform_up(),
            entries: self.entry_views(),
            teams: self.team_views(),
            pools: self.pool_views(),
        };
        self.out.answer(call, CallerAnswer::Status(view));
    }

    fn entry_views(&self) -> Vec<EntryView> {
        let now = self.out.now;
        let own = EntryView {
            entry: self.identity.entry,
            zone: self.identity.zone,
            address: self.identity.caller_address,
            state: if self.is_ready() { EntryState::Ready } else { EntryState::Starting },
            config: self.config.version,
            silent_ms: 0,
        };
        let others = self.peers.records.iter().map(|(id, record)| EntryView {
            entry: *id,
            zone: record.zone,
            address: record.caller_address,
            state: record.status.as_ref().map_or(EntryState::Starting, |status| status.state),
            config: record.status.as_ref().map(|status| status.config).unwrap_or_default(),
            silent_ms: silent_ms(now, record.last_contact_at.unwrap_or(record.discovered_at)),
        });
        std::iter::once(own).chain(others).collect()
    }

    fn team_views(&self) -> Vec<TeamView> {
        let view = |(team, section): (&TeamId, &TeamSection)| {
            let elsewhere = self.peers.usage_elsewhere(*team, self.out.now);
            let running = self.allotments.quotas.get(team).map_or(0, |quota| quota.running);
            let waiting =
                self.request_wait_queues.team_len(*team) + self.job_wait_queues.team_len(*team);
            TeamView {
                team: *team,
                weight: section.weight,
                limit: section.limit,
                running: running + elsewhere.running,
                waiting: waiting + elsewhere.waiting,
            }
        };
        self.config.document.teams.iter().map(view).collect()
    }

    pub(crate) fn show_pools(&mut self, call: CallId) {
        let pools = self.pool_views();
        self.out.answer(call, CallerAnswer::Pools { pools });
    }

    fn pool_views(&self) -> Vec<PoolView> {
        let view = |(pool, section): (&PoolId, &PoolSection)| {
            let (instances, unavailable) = self.targets.pool_counts(*pool, self.out.now);
            PoolView {
                pool: *pool,
                instances,
                unavailable,
                max_unavailable: section.max_unavailable,
                slots: self.targets.pool_slots(*pool, self.out.now),
            }
        };
        self.config.document.pools.iter().map(view).collect()
    }

    pub(crate) fn show_instances(&mut self, call: CallId) {
        let now = self.out.now;
        let view = |(instance, entry): (&InstanceId, &TargetEntry)| InstanceView {
            instance: *instance,
            pool: entry.pool,
            zone: entry.record.zone,
            rack: entry.record.rack,
            state: state_name(entry, now).to_owned(),
            image: entry.record.image.clone(),
        };
        let instances = self.targets.entries.iter().map(view).collect();
        self.out.answer(call, CallerAnswer::Instances { instances });
    }
}

fn state_name(entry: &TargetEntry, now: Moment) -> &'static str {
    if entry.record.state == ListedState::Gone {
        "gone"
    } else if entry.leaving || entry.record.state == ListedState::Leaving {
        "leaving"
    } else if entry.quarantined_until.is_some_and(|until| until > now) {
        "quarantined"
    } else if entry.in_service {
        "serving"
    } else {
        "out of service"
    }
}

fn silent_ms(now: Moment, last_contact_at: Moment) -> u64 {
    u64::try_from(now.since(last_contact_at).as_millis()).unwrap_or(u64::MAX)
}
