//! A service for instances in memory: moves and maintains what hosts the targets.

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
use magnoliapin_site::ZoneName;
use rand::Rng;

use crate::faults::StoreMode;
use crate::site;
use crate::world::Event;
use crate::world::World;

/// Time of a wave, and how many of its instances may be down at once.
const WAVE_TIME: Duration = Duration::from_secs(20);
const WAVE_CAP: u32 = 3;
/// Time that a call takes to arrive.
const CALL_TIME: Duration = Duration::from_millis(3);

/// The service; the instance of a number hosts the target of that number.
#[derive(Default)]
pub(crate) struct InstanceService {
    pub(crate) instances: Vec<FakeInstance>,
    fence: u64,
    wave: Option<MaintenanceWave>,
    last_name: usize,
}

/// One instance.
pub(crate) struct FakeInstance {
    pool: PoolName,
    pub(crate) state: InstanceState,
    /// Waves for which its maintenance has begun.
    begun: BTreeSet<u64>,
    /// Wave for which it is down.
    down_for: Option<u64>,
    /// Who has given it the last order, and when.
    last_order: Option<(u64, Moment)>,
}

impl FakeInstance {
    pub(crate) fn new(pool: PoolName) -> Self {
        Self {
            pool,
            state: InstanceState::Up,
            begun: BTreeSet::new(),
            down_for: None,
            last_order: None,
        }
    }
}

pub(crate) fn instance_name(number: usize) -> InstanceName {
    InstanceName::new(&format!("m-{number}"))
}

impl World {
    /// Returns whether orders move and maintain instances in this run.
    pub(crate) fn has_fleet(&self) -> bool {
        !self.service.instances.is_empty()
    }

    /// Adds the instances of the targets, and a wave of maintenance.
    pub(crate) fn plan_instances(&mut self) {
        for target in &self.targets {
            let pool = target.record.pool.clone();
            self.service.instances.push(FakeInstance::new(pool));
        }
        self.service.last_name = self.targets.len();
        let count = self.targets.len();
        let chosen: Vec<usize> = (0..count).filter(|_| self.random.random_bool(0.5)).collect();
        self.service.wave = Some(MaintenanceWave {
            wave: 1,
            instances: chosen.into_iter().map(instance_name).collect(),
            duration: WAVE_TIME,
            max_down: WAVE_CAP,
        });
        let at = Duration::from_millis(self.random.random_range(6_000..12_000));
        self.at(at, Event::WaveBegins);
        self.at(at, Event::Check);
    }

    pub(crate) fn begin_wave(&mut self) {
        if let Some(wave) = self.service.wave.clone() {
            self.store.set_wave(wave);
            self.answer_watches();
        }
    }

    /// Answers a call of the service.
    pub(crate) fn instance_call(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        request: &InstanceRequest,
    ) {
        // It shares the store's fate.
        let is_cut = self.faults.is_cut_from_store(node, self.nodes[node].zone);
        if is_cut || self.faults.store == StoreMode::Silent {
            return;
        }
        let reply = match request {
            InstanceRequest::List { .. } => InstanceReply::Page(self.instance_page()),
            InstanceRequest::Move { instance, pool, sender } => {
                match self.free_instance(instance, sender.fence) {
                    Ok(number) => self.begin_move(number, pool.clone()),
                    Err(refusal) => InstanceReply::Refused(refusal),
                }
            }
            InstanceRequest::Maintain { instance, wave, sender } => {
                match self.free_instance(instance, sender.fence) {
                    Ok(number) => self.begin_maintenance(number, *wave),
                    Err(refusal) => InstanceReply::Refused(refusal),
                }
            }
        };
        self.at(CALL_TIME, Event::ToNode(node, life, NodeEvent::Instances(call, reply)));
    }

    fn instance_page(&self) -> InstancePage {
        let instances = self.service.instances.iter().enumerate().map(|(number, instance)| {
            let target = &self.targets[number];
            InstanceRecord {
                name: instance_name(number),
                pool: instance.pool.clone(),
                state: instance.state,
                zone: ZoneName::new(&format!("zone-{}", target.zone)),
                labels: target.record.labels.clone(),
                capacity: site::target_capacity(),
                target: target.is_up.then(|| target.record.name.clone()),
            }
        });
        InstancePage { instances: instances.collect(), ..InstancePage::default() }
    }

    /// Returns the number of an instance that an order may be given to.
    fn free_instance(&mut self, name: &InstanceName, fence: u64) -> Result<usize, OrderRefusal> {
        if fence < self.service.fence {
            return Err(OrderRefusal::Fenced);
        }
        self.service.fence = fence;
        let number = (0..self.service.instances.len()).find(|one| instance_name(*one) == *name);
        let number = number.ok_or(OrderRefusal::Invalid)?;
        let last = self.service.instances[number].last_order.replace((fence, self.now));
        if let Some((other, at)) = last.filter(|(other, _)| *other != fence) {
            if self.now.since(at) < site::ORDER_SPACING {
                let text = format!("{name}: schedulers {other} and {fence} give orders in turn");
                self.judge.fault(self.now, &text);
            }
        }
        match self.service.instances[number].state {
            InstanceState::Up => Ok(number),
            _ => Err(OrderRefusal::Busy),
        }
    }

    fn begin_move(&mut self, number: usize, pool: PoolName) -> InstanceReply {
        if self.service.instances[number].pool == pool {
            return InstanceReply::Ordered;
        }
        self.take_out(number, InstanceState::Moving);
        self.service.instances[number].pool = pool;
        self.at(site::MOVE_TIME, Event::InstanceBack(number));
        InstanceReply::Ordered
    }

    fn begin_maintenance(&mut self, number: usize, wave: u64) -> InstanceReply {
        let Some(known) = self.service.wave.clone().filter(|known| known.wave == wave) else {
            return InstanceReply::Refused(OrderRefusal::OtherWave);
        };
        if self.service.instances[number].begun.contains(&wave) {
            return InstanceReply::Ordered;
        }
        let down_for = |instance: &&FakeInstance| instance.down_for == Some(wave);
        let down = self.service.instances.iter().filter(down_for).count();
        if down >= known.max_down as usize {
            let text = format!("{} is maintained beside {down} others", instance_name(number));
            self.judge.fault(self.now, &text);
        }
        self.take_out(number, InstanceState::Maintained);
        let instance = &mut self.service.instances[number];
        instance.begun.insert(wave);
        instance.down_for = Some(wave);
        self.at(site::MAINTENANCE_TIME, Event::InstanceBack(number));
        InstanceReply::Ordered
    }

    /// Ends what an instance runs, by an order.
    fn take_out(&mut self, number: usize, state: InstanceState) {
        self.service.instances[number].state = state;
        if self.targets[number].is_up {
            self.judge_order(number, None);
            self.targets[number].is_up = false;
            let born = self.targets[number].record.born_at.0;
            self.judge.death(self.now, number, born);
        }
    }

    /// Brings an instance back that was moved or maintained.
    pub(crate) fn instance_back(&mut self, number: usize) {
        let instance = &mut self.service.instances[number];
        let was_moving = instance.state == InstanceState::Moving;
        instance.state = InstanceState::Up;
        instance.down_for = None;
        let pool = instance.pool.clone();
        let before = self.targets[number].record.name.clone();
        if was_moving {
            self.service.last_name += 1;
            self.store.unregister(&before);
        }
        let wall = self.wall();
        let mut reborn = self.targets[number].reborn(self.now, wall);
        if was_moving {
            reborn.record.name = TargetName::new(&format!("i-{}", self.service.last_name));
        }
        reborn.record.state = TargetState::Ready;
        reborn.is_up = pool != site::standby_pool();
        reborn.record.pool = pool;
        self.targets[number] = reborn;
        self.answer_watches();
    }

    /// Takes the word that a wave is completed.
    pub(crate) fn take_completed_wave(&mut self, wave: u64) {
        let Some(known) = self.service.wave.as_ref().filter(|known| known.wave == wave) else {
            return;
        };
        let is_missing = |number: &usize| {
            known.instances.contains(&instance_name(*number))
                && !self.service.instances[*number].begun.contains(&wave)
        };
        let missing = (0..self.service.instances.len()).find(is_missing);
        if let Some(number) = missing {
            let text = format!("wave {wave} is called completed without {number}");
            self.judge.fault(self.now, &text);
        }
    }

    /// Returns whether the wave is completed, as far as the operator was told.
    pub(crate) fn is_wave_over(&self) -> bool {
        self.store.is_wave_completed(1)
    }

    /// Returns whether nothing has gone wrong lately.
    pub(crate) fn is_calm(&self, span: Duration) -> bool {
        self.now.since(self.faults.changed_at) > span
            && self.faults.is_calm()
            && self.nodes.iter().all(|node| self.now >= node.paused_until)
            && self.now > Moment::START + span
    }
}
