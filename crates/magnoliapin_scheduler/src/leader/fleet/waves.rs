//! Maintains the instances of the operator's waves.

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

use super::evacuation::Preparation;
use super::OrderKind;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::outbox::Outbox;
use crate::rows;
use crate::site_watch::SeenWave;

/// Time that one instance takes beyond its maintenance: until the list shows it in service.
const ROUND_SLACK: Duration = Duration::from_millis(1_000);
/// Time that must be left when instances which still run something are taken.
const URGENT_TIME: Duration = Duration::from_secs(5);
/// One in so many instances of a pool is freed at once, so that the others can take its work.
const FREED_SHARE: usize = 8;

plain_data! {
    /// What is done of a wave.
    #[derive(Default, Eq)]
    pub(crate) struct WaveRow {
        /// Instances whose maintenance has begun.
        pub(crate) begun: Vec<InstanceName>,
        /// Whether the operator was told that the wave is completed.
        pub(crate) is_reported: bool,
        /// When a node first learned of the wave.
        pub(crate) seen_at: UnixMillis,
    }
}

/// How far a wave is.
#[derive(Debug)]
pub(crate) struct WaveProgress {
    wave: MaintenanceWave,
    /// When a node first learned of it.
    seen_at: UnixMillis,
    /// Whether what was stored of it is known.
    is_loaded: bool,
    begun: IndexSet<InstanceName>,
    /// Instances that are being freed of what runs there.
    preparing: IndexSet<InstanceName>,
    version: RowVersion,
    /// Whether something is not stored.
    is_changed: bool,
    is_storing: bool,
    /// State that the operator was told last.
    reported: Option<WaveState>,
    is_reporting: bool,
}

impl WaveProgress {
    fn new(seen: SeenWave) -> Self {
        Self {
            seen_at: seen.seen_at,
            wave: seen.wave,
            is_loaded: false,
            begun: IndexSet::new(),
            preparing: IndexSet::new(),
            version: RowVersion(0),
            is_changed: false,
            is_storing: false,
            reported: None,
            is_reporting: false,
        }
    }

    /// Returns whether the operator knows that the wave is completed.
    pub(super) fn is_over(&self) -> bool {
        self.reported == Some(WaveState::Completed)
    }

    /// Returns whether an instance still has to be maintained.
    pub(super) fn waits_for(&self, name: &InstanceName) -> bool {
        self.is_loaded && self.wave.instances.contains(name) && !self.begun.contains(name)
    }
}

impl Leader {
    /// Takes the waves that the operator asks for.
    pub(crate) fn set_waves(&mut self, waves: &IndexMap<u64, SeenWave>, out: &mut Outbox) {
        self.fleet.waves.retain(|number, _| waves.contains_key(number));
        for (number, seen) in waves {
            if let Some(known) = self.fleet.waves.get_mut(number) {
                known.wave = seen.wave.clone();
                continue;
            }
            self.fleet.waves.insert(*number, WaveProgress::new(seen.clone()));
            self.read_wave(*number, out);
        }
    }

    fn read_wave(&mut self, wave: u64, out: &mut Outbox) {
        let range = magnoliapin_site::RowRange::one(&rows::wave_row(wave));
        self.call(LeaderCall::ReadWave(wave), StoreRequest::Read(range), out);
    }

    /// Takes what was stored of a wave.
    pub(in crate::leader) fn take_wave(
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
            // The next scheduler must know when the wave began.
            wave.is_changed = true;
            return;
        };
        wave.version = row.version;
        let decoded: Option<WaveRow> = row.value.as_deref().and_then(rows::decode);
        match decoded {
            Some(row) => {
                wave.begun.extend(row.begun);
                wave.seen_at = wave.seen_at.min(row.seen_at);
                wave.reported = row.is_reported.then_some(WaveState::Completed);
            }
            None => log::error!("event=row_unreadable table={} wave={number}", rows::WAVE),
        }
    }

    /// Orders what is due of the waves.
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
        if !wave.is_loaded || wave.is_over() {
            return;
        }
        let waiting: Vec<InstanceName> = wave
            .wave
            .instances
            .iter()
            .filter(|name| wave.waits_for(name))
            .filter(|name| self.fleet.instances.contains_key(*name))
            .cloned()
            .collect();
        let down = wave.wave.instances.iter().filter(|name| self.is_down_for(name, number)).count();
        let mut room = (wave.wave.max_down as usize).saturating_sub(down);
        let rounds = waiting.len().div_ceil(wave.wave.max_down.max(1) as usize) as u32;
        let round = self.identity.times.maintenance_time + ROUND_SLACK;
        let due_at = out.moment_of(wave.seen_at) + wave.wave.duration;
        let left = due_at.since(out.now);
        let is_urgent = left < round * rounds + URGENT_TIME;
        // Among those that run something, one that is being freed keeps its turn, or its tasks
        // would come back.
        let preparing = wave.preparing.clone();
        let mut ranked: Vec<(u8, InstanceName)> = waiting
            .into_iter()
            .map(|name| match self.burden(&name) {
                0 => (0, name),
                _ if preparing.contains(&name) => (1, name),
                burden => (burden + 1, name),
            })
            .collect();
        ranked.sort();
        let mut still_preparing = IndexSet::new();
        let mut taken: IndexMap<PoolName, usize> = IndexMap::new();
        for (rank, name) in ranked {
            if room == 0 {
                break;
            }
            let is_free =
                self.fleet.instances.get(&name).is_some_and(|instance| instance.is_free(out.now));
            if !is_free {
                continue;
            }
            if rank > 0 {
                let is_begun = preparing.contains(&name);
                if !is_urgent && !is_begun && !self.may_take_more(&name, &mut taken) {
                    continue;
                }
                match self.prepare(&name, is_urgent, is_begun, out) {
                    Preparation::Done => {}
                    Preparation::UnderWay => {
                        // Its place is kept, so that no more are prepared than can go down.
                        still_preparing.insert(name);
                        room -= 1;
                        continue;
                    }
                    Preparation::Postponed => continue,
                }
            }
            if self.may_order(out.now) && self.has_order_room(out.now) {
                self.order(&name, OrderKind::Maintain(number), out);
            }
            room -= 1;
        }
        if let Some(wave) = self.fleet.waves.get_mut(&number) {
            wave.preparing = still_preparing;
        }
    }

    /// Counts an instance that is to be freed. Returns whether its pool can do without it: only a
    /// part of the instances at work are freed at once.
    fn may_take_more(&self, name: &InstanceName, taken: &mut IndexMap<PoolName, usize>) -> bool {
        let Some(instance) = self.fleet.instances.get(name) else { return false };
        let pool = &instance.record.pool;
        let busy = self.pools.get(pool).map_or(0, |pool| pool.targets.len());
        let taken = taken.entry(pool.clone()).or_default();
        *taken += 1;
        *taken <= busy.div_ceil(FREED_SHARE)
    }

    /// Returns how much stands in the way of taking an instance: nothing, tasks that end by
    /// themselves, or tasks that last.
    fn burden(&self, name: &InstanceName) -> u8 {
        if self.is_vacant(name) {
            return 0;
        }
        let target = self.target_of(name).and_then(|key| self.targets.get(&key));
        let has_lasting =
            target.is_some_and(|target| target.runs.values().any(|run| run.is_long_running));
        if has_lasting {
            2
        } else {
            1
        }
    }

    /// Returns whether an instance is down for a wave, or may be.
    fn is_down_for(&self, name: &InstanceName, number: u64) -> bool {
        let Some(instance) = self.fleet.instances.get(name) else { return false };
        let is_ordered =
            instance.order.as_ref().is_some_and(|order| order.kind == OrderKind::Maintain(number));
        is_ordered || instance.record.state == InstanceState::Maintained
    }

    /// Notes that the maintenance of an instance has begun.
    pub(super) fn note_maintained(&mut self, number: u64, name: &InstanceName) {
        if let Some(wave) = self.fleet.waves.get_mut(&number) {
            wave.is_changed |= wave.begun.insert(name.clone());
        }
    }

    /// Notes that an order of a wave was refused.
    pub(super) fn note_refused(&mut self, number: u64, name: &InstanceName, why: OrderRefusal) {
        if matches!(why, OrderRefusal::OtherWave | OrderRefusal::Invalid) {
            // It will never be taken, so the wave does not wait for it.
            self.note_maintained(number, name);
        }
    }

    /// Stores what is done of a wave, so that the next scheduler takes no instance twice.
    fn store_wave(&mut self, number: u64, out: &mut Outbox) {
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        if !wave.is_changed || wave.is_storing {
            return;
        }
        wave.is_changed = false;
        wave.is_storing = true;
        let row = WaveRow {
            begun: wave.begun.iter().cloned().collect(),
            is_reported: wave.is_over(),
            seen_at: wave.seen_at,
        };
        let transaction = StoreTransaction::default()
            .with_expected(rows::control_fence(), self.control_fence)
            .with_write(rows::wave_row(number), rows::encode(&row));
        self.call(LeaderCall::StoreWave(number), StoreRequest::Commit(transaction), out);
    }

    /// Takes the answer to a write about a wave.
    pub(in crate::leader) fn take_wave_stored(&mut self, number: u64, reply: &StoreReply) {
        if matches!(reply, StoreReply::Conflict(_)) {
            return self.depose("the fence has changed");
        }
        if let Some(wave) = self.fleet.waves.get_mut(&number) {
            wave.is_storing = false;
            wave.is_changed |= !matches!(reply, StoreReply::Committed(_));
        }
    }

    /// Tells the operator how far a wave is.
    fn report_wave(&mut self, number: u64, out: &mut Outbox) {
        let Some(wave) = self.fleet.waves.get(&number) else { return };
        if !wave.is_loaded || wave.is_reporting {
            return;
        }
        let is_waiting = wave
            .wave
            .instances
            .iter()
            .any(|name| wave.waits_for(name) && self.fleet.instances.contains_key(name));
        let state = if is_waiting { WaveState::Running } else { WaveState::Completed };
        // What is told must be stored, or the next scheduler would begin again.
        if wave.reported == Some(state) || wave.is_changed || wave.is_storing {
            return;
        }
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        wave.is_reporting = true;
        let request = StoreRequest::ReportWave { wave: number, state };
        self.call(LeaderCall::ReportWave(number, state), request, out);
    }

    /// Takes the answer to a report about a wave.
    pub(in crate::leader) fn take_wave_reported(
        &mut self,
        number: u64,
        state: WaveState,
        reply: &StoreReply,
    ) {
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        wave.is_reporting = false;
        if matches!(reply, StoreReply::Committed(_)) {
            log::info!("event=wave_reported wave={number} state={state:?}");
            wave.reported = Some(state);
            wave.is_changed |= state == WaveState::Completed;
        }
    }
}
