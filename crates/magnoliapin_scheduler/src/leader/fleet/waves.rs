//! Plans, stores and reports the maintenance waves that the operator requests.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::plain_data;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstanceState;
use magnoliapin_site::MaintenanceWave;
use magnoliapin_site::OrderRefusal;
use magnoliapin_site::PoolName;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::WaveState;

use super::evacuation::Evacuation;
use super::OrderKind;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::outbox::Outbox;
use crate::rows;
use crate::site_watch::RequestedWave;

/// Time that one instance takes beyond its maintenance, until the list shows it in service.
const ROUND_SLACK: Duration = Duration::from_millis(1_000);
/// Time left beyond the remaining rounds of a wave, below which tasks are stopped to evacuate
/// instances.
const URGENT_MARGIN: Duration = Duration::from_secs(5);
/// One in this many instances of a pool is evacuated at a time, so that the others can take over
/// its work.
const EVACUATED_INSTANCES_DIVISOR: usize = 8;

plain_data! {
    /// Stored progress of a wave.
    #[derive(Default, Eq)]
    pub(crate) struct WaveRow {
        /// Instances whose maintenance has started, or that the service will never maintain for the
        /// wave.
        pub(crate) started: Vec<InstanceName>,
        /// Whether the completion of the wave was reported to the operator.
        pub(crate) is_reported: bool,
        /// When a node first saw the wave.
        pub(crate) first_seen_at: UnixMillis,
    }
}

/// Progress of a wave.
#[derive(Debug)]
pub(crate) struct WaveProgress {
    wave: MaintenanceWave,
    /// When a node first saw the wave; its deadline counts from here.
    first_seen_at: UnixMillis,
    /// Whether the stored progress has been read.
    is_loaded: bool,
    started: IndexSet<InstanceName>,
    /// Instances that are being evacuated.
    evacuating: IndexSet<InstanceName>,
    version: RowVersion,
    /// Whether there are changes that have not been sent to the store.
    is_changed: bool,
    is_storing: bool,
    /// State last reported to the operator.
    reported_state: Option<WaveState>,
    is_reporting: bool,
}

impl WaveProgress {
    fn new(requested_wave: RequestedWave) -> Self {
        Self {
            first_seen_at: requested_wave.first_seen_at,
            wave: requested_wave.wave,
            is_loaded: false,
            started: IndexSet::new(),
            evacuating: IndexSet::new(),
            version: RowVersion(0),
            is_changed: false,
            is_storing: false,
            reported_state: None,
            is_reporting: false,
        }
    }

    /// Returns whether the completion of the wave has been reported to the operator.
    pub(super) fn is_completion_reported(&self) -> bool {
        self.reported_state == Some(WaveState::Completed)
    }

    /// Returns whether the maintenance of an instance has yet to be ordered.
    pub(super) fn is_pending(&self, name: &InstanceName) -> bool {
        self.is_loaded && self.wave.instances.contains(name) && !self.started.contains(name)
    }
}

impl Leader {
    /// Sets the waves that the operator requests; reads the stored progress of new ones.
    pub(crate) fn set_waves(&mut self, waves: &IndexMap<u64, RequestedWave>, out: &mut Outbox) {
        self.fleet.waves.retain(|number, _| waves.contains_key(number));
        for (number, requested) in waves {
            if let Some(progress) = self.fleet.waves.get_mut(number) {
                progress.wave = requested.wave.clone();
                continue;
            }
            self.fleet.waves.insert(*number, WaveProgress::new(requested.clone()));
            self.read_wave(*number, out);
        }
    }

    fn read_wave(&mut self, wave: u64, out: &mut Outbox) {
        let range = magnoliapin_site::RowRange::single(&rows::wave_row(wave));
        self.call(LeaderCall::ReadWave(wave), StoreRequest::Read(range), out);
    }

    /// Handles the stored progress of a wave.
    pub(in crate::leader) fn handle_wave_read_reply(
        &mut self,
        number: u64,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, .. } = reply else {
            return self.read_wave(number, out);
        };
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        wave.is_loaded = true;
        let Some(row) = rows.first() else {
            // The next leader needs the time at which the wave was first seen.
            wave.is_changed = true;
            return;
        };
        wave.version = row.version;
        let decoded: Option<WaveRow> = row.value.as_deref().and_then(rows::decode);
        match decoded {
            Some(row) => {
                wave.started.extend(row.started);
                wave.first_seen_at = wave.first_seen_at.min(row.first_seen_at);
                wave.reported_state = row.is_reported.then_some(WaveState::Completed);
            }
            None => log::error!("event=row_unreadable table={} wave={number}", rows::WAVE),
        }
    }

    /// Plans orders for the waves, and stores and reports their progress.
    pub(super) fn plan_waves(&mut self, out: &mut Outbox) {
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            self.plan_wave(number, out);
            self.store_wave(number, out);
            self.report_wave(number, out);
        }
    }

    fn plan_wave(&mut self, number: u64, out: &mut Outbox) {
        let Some(wave) = self.fleet.waves.get(&number) else { return };
        if !wave.is_loaded || wave.is_completion_reported() {
            return;
        }
        let waiting: Vec<InstanceName> = wave
            .wave
            .instances
            .iter()
            .filter(|name| wave.is_pending(name))
            .filter(|name| self.fleet.instances.contains_key(*name))
            .cloned()
            .collect();
        let down = wave.wave.instances.iter().filter(|name| self.is_down_for(name, number)).count();
        let mut room = (wave.wave.max_down as usize).saturating_sub(down);
        let rounds = waiting.len().div_ceil(wave.wave.max_down.max(1) as usize) as u32;
        let round_time = self.identity.times.maintenance_time + ROUND_SLACK;
        let due_at = out.moment_of(wave.first_seen_at) + wave.wave.duration;
        let time_left = due_at.since(out.now);
        let is_urgent = time_left < round_time * rounds + URGENT_MARGIN;
        // Vacant instances go first. Among the others, those that are being evacuated go first, as
        // tasks would be placed on them again otherwise.
        let evacuating = wave.evacuating.clone();
        let rank = |name: &InstanceName| match self.evacuation_cost(name) {
            0 => 0,
            _ if evacuating.contains(name) => 1,
            evacuation_cost => evacuation_cost + 1,
        };
        // Of equal ones, those go first that cannot be used now, as their zone is evacuated.
        let mut ranked: Vec<(u8, bool, InstanceName)> = waiting
            .into_iter()
            .map(|name| (rank(&name), !self.is_instance_evacuated(&name), name))
            .collect();
        ranked.sort();
        let mut still_evacuating = IndexSet::new();
        let mut evacuated: IndexMap<PoolName, usize> = IndexMap::new();
        for (rank, _, name) in ranked {
            if room == 0 {
                break;
            }
            let accepts_orders = self
                .fleet
                .instances
                .get(&name)
                .is_some_and(|instance| instance.accepts_orders(out.now));
            if !accepts_orders {
                continue;
            }
            if rank > 0 {
                let is_started = evacuating.contains(&name);
                if !is_urgent && !is_started && !self.may_evacuate_more(&name, &mut evacuated) {
                    continue;
                }
                match self.evacuate(&name, is_urgent, is_started, out) {
                    Evacuation::Done => {}
                    Evacuation::InProgress => {
                        // It counts as down, so that no more instances are evacuated than may be
                        // down.
                        still_evacuating.insert(name);
                        room -= 1;
                        continue;
                    }
                    Evacuation::Postponed => continue,
                }
            }
            if self.may_order(out.now) && self.has_order_budget(out.now) {
                self.plan_order(&name, OrderKind::Maintain(number), out);
            }
            room -= 1;
        }
        if let Some(wave) = self.fleet.waves.get_mut(&number) {
            wave.evacuating = still_evacuating;
        }
    }

    /// Counts an instance to evacuate in its pool. Returns whether the pool permits it: only one in
    /// [`EVACUATED_INSTANCES_DIVISOR`] of its targets is evacuated at a time.
    pub(in crate::leader) fn may_evacuate_more(
        &self,
        name: &InstanceName,
        evacuated: &mut IndexMap<PoolName, usize>,
    ) -> bool {
        let Some(instance) = self.fleet.instances.get(name) else { return false };
        let pool = &instance.record.pool;
        let targets = self.pools.get(pool).into_iter().flat_map(|pool| &pool.targets);
        let has_answered =
            |key: &TargetKey| self.targets.get(key).is_some_and(|target| target.has_reported);
        let usable = targets.filter(|key| has_answered(key) && !self.is_evacuated(**key));
        let target_count = usable.count();
        let evacuated = evacuated.entry(pool.clone()).or_default();
        *evacuated += 1;
        *evacuated <= target_count.div_ceil(EVACUATED_INSTANCES_DIVISOR)
    }

    /// Returns the cost of evacuating an instance: 0 if it is vacant, 1 if it has no long-running
    /// tasks, 2 if it has some.
    fn evacuation_cost(&self, name: &InstanceName) -> u8 {
        if self.is_vacant(name) {
            return 0;
        }
        let target = self.hosted_target(name).and_then(|key| self.targets.get(&key));
        let has_long_running =
            target.is_some_and(|target| target.runs.values().any(|run| run.is_long_running));
        if has_long_running {
            2
        } else {
            1
        }
    }

    /// Returns whether an instance is or may be down for a wave.
    fn is_down_for(&self, name: &InstanceName, number: u64) -> bool {
        let Some(instance) = self.fleet.instances.get(name) else { return false };
        let is_ordered =
            instance.order.as_ref().is_some_and(|order| order.kind == OrderKind::Maintain(number));
        is_ordered || instance.record.state == InstanceState::Maintained
    }

    /// Records that the maintenance of an instance has started.
    pub(super) fn mark_maintenance_started(&mut self, number: u64, name: &InstanceName) {
        if let Some(wave) = self.fleet.waves.get_mut(&number) {
            wave.is_changed |= wave.started.insert(name.clone());
        }
    }

    /// Handles the refusal of a maintenance order.
    pub(super) fn handle_refused_order(
        &mut self,
        number: u64,
        name: &InstanceName,
        refusal: OrderRefusal,
    ) {
        if matches!(refusal, OrderRefusal::OtherWave | OrderRefusal::Invalid) {
            // The service will never accept the order, so the wave does not wait for the instance.
            self.mark_maintenance_started(number, name);
        }
    }

    /// Stores the progress of a wave, so that the next leader maintains no instance twice.
    fn store_wave(&mut self, number: u64, out: &mut Outbox) {
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        if !wave.is_changed || wave.is_storing {
            return;
        }
        wave.is_changed = false;
        wave.is_storing = true;
        let row = WaveRow {
            started: wave.started.iter().cloned().collect(),
            is_reported: wave.is_completion_reported(),
            first_seen_at: wave.first_seen_at,
        };
        let transaction = StoreTransaction::default()
            .with_expected(rows::control_fence(), self.control_fence)
            .with_write(rows::wave_row(number), rows::encode(&row));
        self.call(LeaderCall::StoreWave(number), StoreRequest::Commit(transaction), out);
    }

    /// Handles the reply to a write of a wave's progress.
    pub(in crate::leader) fn handle_wave_write_reply(&mut self, number: u64, reply: &StoreReply) {
        if matches!(reply, StoreReply::Conflict(_)) {
            return self.depose("the fence has changed");
        }
        if let Some(wave) = self.fleet.waves.get_mut(&number) {
            wave.is_storing = false;
            wave.is_changed |= !matches!(reply, StoreReply::Committed(_));
        }
    }

    /// Reports the state of a wave to the operator, unless it was reported already.
    fn report_wave(&mut self, number: u64, out: &mut Outbox) {
        let Some(wave) = self.fleet.waves.get(&number) else { return };
        if !wave.is_loaded || wave.is_reporting {
            return;
        }
        let is_waiting = wave
            .wave
            .instances
            .iter()
            .any(|name| wave.is_pending(name) && !self.fleet.is_gone(name));
        let state = if is_waiting { WaveState::Running } else { WaveState::Completed };
        // Progress must be stored before it is reported, or the next leader would repeat it.
        if wave.reported_state == Some(state) || wave.is_changed || wave.is_storing {
            return;
        }
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        wave.is_reporting = true;
        let request = StoreRequest::ReportWave { wave: number, state };
        self.call(LeaderCall::ReportWave(number, state), request, out);
    }

    /// Handles the reply to a report of a wave's state.
    pub(in crate::leader) fn handle_wave_report_reply(
        &mut self,
        number: u64,
        state: WaveState,
        reply: &StoreReply,
    ) {
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        wave.is_reporting = false;
        if matches!(reply, StoreReply::Committed(_)) {
            log::info!("event=wave_reported wave={number} state={state:?}");
            wave.reported_state = Some(state);
            wave.is_changed |= state == WaveState::Completed;
        }
    }
}
