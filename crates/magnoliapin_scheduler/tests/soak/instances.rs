//! An in-memory instance service: moves and maintains the instances that host the targets.

use std::collections::BTreeSet;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_scheduler::CallId;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstancePage;
use magnoliapin_site::InstanceRecord;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceRequest;
use magnoliapin_site::InstanceState;
use magnoliapin_site::MaintenanceWave;
use magnoliapin_site::OrderRefusal;
use magnoliapin_site::PoolName;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetState;
use rand::Rng;

use crate::faults::StoreMode;
use crate::site;
use crate::world::Event;
use crate::world::World;

/// Time in which the instances of the wave must be maintained.
const WAVE_DURATION: Duration = Duration::from_secs(20);
/// Most instances of the wave that may be down at once.
const WAVE_MAX_DOWN: u32 = 3;
/// Delay of a reply.
const REPLY_DELAY: Duration = Duration::from_millis(3);

/// The instance service. Instance `n` hosts target `n`.
#[derive(Default)]
pub(crate) struct InstanceService {
    pub(crate) instances: Vec<FakeInstance>,
    fence: u64,
    wave: Option<MaintenanceWave>,
    /// Last number used in the name of a target.
    last_target_number: usize,
    /// Whether lists omit an instance now and then.
    pub(crate) omits_instances: bool,
    /// Instance that the last list omitted.
    omitted: Option<usize>,
}

/// One instance.
pub(crate) struct FakeInstance {
    pool: PoolName,
    pub(crate) state: InstanceState,
    pub(crate) is_listed: bool,
    /// Waves for which its maintenance has started.
    maintained_waves: BTreeSet<u64>,
    /// Wave for which it is down.
    down_for: Option<u64>,
    /// Fence of the leader that sent the last order, and when.
    last_order: Option<(u64, Moment)>,
}

impl FakeInstance {
    pub(crate) fn new(pool: PoolName) -> Self {
        Self {
            pool,
            state: InstanceState::Up,
            is_listed: true,
            maintained_waves: BTreeSet::new(),
            down_for: None,
            last_order: None,
        }
    }
}

pub(crate) fn instance_name(number: usize) -> InstanceName {
    InstanceName::new(&format!("m-{number}"))
}

impl World {
    /// Returns whether this simulation has an instance service, and with it moves and maintenance.
    pub(crate) fn has_fleet(&self) -> bool {
        !self.instance_service.instances.is_empty()
    }

    /// Adds the instances of the targets and schedules a maintenance wave.
    pub(crate) fn set_up_instances(&mut self) {
        for target in &self.targets {
            let pool = target.record.pool.clone();
            self.instance_service.instances.push(FakeInstance::new(pool));
        }
        self.instance_service.last_target_number = self.targets.len();
        let count = self.targets.len();
        let in_wave: Vec<usize> = (0..count).filter(|_| self.random.random_bool(0.5)).collect();
        self.instance_service.wave = Some(MaintenanceWave {
            wave: 1,
            instances: in_wave.into_iter().map(instance_name).collect(),
            duration: WAVE_DURATION,
            max_down: WAVE_MAX_DOWN,
        });
        let delay = Duration::from_millis(self.random.random_range(6_000..12_000));
        self.schedule_after(delay, Event::WaveStart);
        self.schedule_after(delay, Event::CheckIdleTasks);
    }

    pub(crate) fn start_wave(&mut self) {
        if let Some(wave) = self.instance_service.wave.clone() {
            self.store.set_wave(wave);
            self.reply_to_watches();
        }
    }

    /// Handles a call to the service and schedules its reply.
    pub(crate) fn deliver_instance_call(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: &InstanceRequest,
    ) {
        // Network cuts and unresponsiveness of the store affect this service as well.
        let is_cut = self.faults.is_cut_from_store(node, self.nodes[node].zone);
        if is_cut || self.faults.store == StoreMode::Unresponsive {
            return;
        }
        let reply = match request {
            InstanceRequest::List { .. } => InstanceReply::Page(self.instance_page()),
            InstanceRequest::Move { instance, pool, sender } => {
                match self.accept_order(instance, sender.fence) {
                    Ok(number) => self.start_move(number, pool.clone()),
                    Err(refusal) => InstanceReply::Refused(refusal),
                }
            }
            InstanceRequest::Maintain { instance, wave, sender } => {
                match self.accept_order(instance, sender.fence) {
                    Ok(number) => self.start_maintenance(number, *wave),
                    Err(refusal) => InstanceReply::Refused(refusal),
                }
            }
        };
        self.schedule_after(
            REPLY_DELAY,
            Event::Delivery(node, incarnation, NodeEvent::Instances(call, reply)),
        );
    }

    /// Chooses an instance that a list omits, as if it had moved between two pages; never the same
    /// one in two consecutive lists.
    fn omit_instance(&mut self) -> Option<usize> {
        let last = self.instance_service.omitted.take();
        if self.instance_service.omits_instances && self.random.random_bool(0.3) {
            let number = self.random.random_range(0..self.targets.len());
            self.instance_service.omitted = Some(number).filter(|number| last != Some(*number));
        }
        self.instance_service.omitted
    }

    fn instance_page(&mut self) -> InstancePage {
        let omitted = self.omit_instance();
        let listed = |(number, instance): &(usize, &FakeInstance)| {
            instance.is_listed && Some(*number) != omitted
        };
        let instances = self.instance_service.instances.iter().enumerate().filter(listed).map(
            |(number, instance)| {
                let target = &self.targets[number];
                InstanceRecord {
                    name: instance_name(number),
                    pool: instance.pool.clone(),
                    state: instance.state,
                    zone: site::zone_name(target.zone),
                    labels: target.record.labels.clone(),
                    capacity: site::target_capacity(),
                    target: target.is_up.then(|| target.record.name.clone()),
                }
            },
        );
        InstancePage { instances: instances.collect(), ..InstancePage::default() }
    }

    /// Checks the fence of an order and that its instance is up. Returns the instance's number.
    fn accept_order(&mut self, name: &InstanceName, fence: u64) -> Result<usize, OrderRefusal> {
        if fence < self.instance_service.fence {
            return Err(OrderRefusal::Fenced);
        }
        self.instance_service.fence = fence;
        let number = (0..self.instance_service.instances.len())
            .find(|candidate| instance_name(*candidate) == *name);
        let number = number.ok_or(OrderRefusal::Invalid)?;
        let last_order =
            self.instance_service.instances[number].last_order.replace((fence, self.now));
        if let Some((previous_fence, at)) =
            last_order.filter(|(previous_fence, _)| *previous_fence != fence)
        {
            if self.now.since(at) < site::ORDER_SPACING {
                let text =
                    format!("{name}: orders of leaders {previous_fence} and {fence} too close");
                self.checker.report_violation(self.now, &text);
            }
        }
        match self.instance_service.instances[number].state {
            InstanceState::Up => Ok(number),
            _ => Err(OrderRefusal::Busy),
        }
    }

    fn start_move(&mut self, number: usize, pool: PoolName) -> InstanceReply {
        if self.instance_service.instances[number].pool == pool {
            return InstanceReply::Ordered;
        }
        self.take_out_of_service(number, InstanceState::Moving);
        self.instance_service.instances[number].pool = pool;
        self.schedule_after(site::MOVE_TIME, Event::InstanceOrderComplete(number));
        InstanceReply::Ordered
    }

    fn start_maintenance(&mut self, number: usize, wave: u64) -> InstanceReply {
        let Some(current_wave) =
            self.instance_service.wave.clone().filter(|current_wave| current_wave.wave == wave)
        else {
            return InstanceReply::Refused(OrderRefusal::OtherWave);
        };
        if self.instance_service.instances[number].maintained_waves.contains(&wave) {
            return InstanceReply::Ordered;
        }
        let down_for = |instance: &&FakeInstance| instance.down_for == Some(wave);
        let down = self.instance_service.instances.iter().filter(down_for).count();
        if down >= current_wave.max_down as usize {
            let text = format!(
                "{}: maintenance started while {down} other instances were down",
                instance_name(number)
            );
            self.checker.report_violation(self.now, &text);
        }
        self.take_out_of_service(number, InstanceState::Maintained);
        let instance = &mut self.instance_service.instances[number];
        instance.maintained_waves.insert(wave);
        instance.down_for = Some(wave);
        self.schedule_after(site::MAINTENANCE_TIME, Event::InstanceOrderComplete(number));
        InstanceReply::Ordered
    }

    /// Takes an instance out of service on an order, which interrupts its runs.
    fn take_out_of_service(&mut self, number: usize, state: InstanceState) {
        self.instance_service.instances[number].state = state;
        if self.targets[number].is_up {
            self.check_interruption(number, None);
            self.targets[number].is_up = false;
            let current_incarnation = self.targets[number].record.started_at.0;
            self.checker.record_incarnation_stop(self.now, number, current_incarnation);
        }
    }

    /// Puts an instance back into service after a move or maintenance.
    pub(crate) fn complete_instance_order(&mut self, number: usize) {
        let instance = &mut self.instance_service.instances[number];
        let was_moving = instance.state == InstanceState::Moving;
        instance.state = InstanceState::Up;
        instance.down_for = None;
        let pool = instance.pool.clone();
        let previous_name = self.targets[number].record.name.clone();
        if was_moving {
            self.instance_service.last_target_number += 1;
            self.store.unregister(&previous_name);
        }
        let wall_clock = self.wall_clock();
        let mut restarted = self.targets[number].next_incarnation(self.now, wall_clock);
        if was_moving {
            restarted.record.name =
                TargetName::new(&format!("i-{}", self.instance_service.last_target_number));
        }
        restarted.record.state = TargetState::Ready;
        restarted.is_up = pool != site::standby_pool();
        restarted.record.pool = pool;
        self.targets[number] = restarted;
        self.reply_to_watches();
    }

    /// Checks a report that a wave is completed.
    pub(crate) fn check_completed_wave(&mut self, wave: u64) {
        let Some(current_wave) =
            self.instance_service.wave.as_ref().filter(|current_wave| current_wave.wave == wave)
        else {
            return;
        };
        let is_missing = |number: &usize| {
            current_wave.instances.contains(&instance_name(*number))
                && !self.instance_service.instances[*number].maintained_waves.contains(&wave)
        };
        let missing = (0..self.instance_service.instances.len()).find(is_missing);
        if let Some(number) = missing {
            let text = format!(
                "wave {wave} reported as completed, but instance {number} was not maintained"
            );
            self.checker.report_violation(self.now, &text);
        }
    }

    /// Removes an instance from the list, and from the instances that the wave must maintain.
    pub(crate) fn delist_instance(&mut self, number: usize) {
        let Some(instance) = self.instance_service.instances.get_mut(number) else { return };
        instance.is_listed = false;
        if let Some(wave) = &mut self.instance_service.wave {
            wave.instances.retain(|name| *name != instance_name(number));
        }
    }

    /// Returns whether the leader has reported the wave as completed, or cannot complete it because
    /// an instance is down for good.
    pub(crate) fn is_wave_settled(&self) -> bool {
        let wave = self.instance_service.wave.as_ref();
        let is_blocked = self.targets.iter().enumerate().any(|(number, target)| {
            let name = instance_name(number);
            target.is_lost && wave.is_some_and(|wave| wave.instances.contains(&name))
        });
        is_blocked || self.store.is_wave_completed(1)
    }

    /// Returns whether there has been no fault for longer than `span`.
    pub(crate) fn is_fault_free(&self, span: Duration) -> bool {
        self.now.since(self.faults.changed_at) > span
            && self.faults.is_fault_free()
            && self.nodes.iter().all(|node| {
                let is_up = node.machine.is_some() || self.faults.restarts_are_planned;
                is_up && self.now.since(node.paused_until) > span
            })
            && self.now > Moment::START + span
    }
}
