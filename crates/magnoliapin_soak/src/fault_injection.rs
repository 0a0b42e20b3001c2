//! Injection of faults into a simulation, and recovery from them.

use std::time::Duration;

use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_standin::PlatformMode;
use magnoliapin_standin::TargetMode;
use rand::Rng;

use crate::fault::FaultKind;
use crate::world::zone;
use crate::world::FaultRecovery;
use crate::world::SoakWorld;
use crate::world::WorldEvent;
use crate::world::ZONES;

impl SoakWorld {
    /// Injects a random fault and schedules the next one.
    pub(crate) fn inject(&mut self) {
        let Some(interval) = self.plan.fault_interval.filter(|_| !self.is_settling) else { return };
        let next = interval.mul_f64(self.random.random_range(0.1..1.9));
        self.schedule_after(next, WorldEvent::Fault);
        let kind = FaultKind::draw(&mut self.random);
        let span = FaultKind::draw_span(&mut self.random);
        self.report.count_fault(kind);
        let entry = self.random.random_range(0..self.entries.len());
        let target = self.random.random_range(0..self.targets.len());
        let zone = zone(self.random.random_range(0..ZONES));
        match kind {
            FaultKind::KillEntry => self.kill_entry(entry, span),
            FaultKind::PauseEntry => {
                self.entries[entry].paused_until = Some(self.now + span);
                self.schedule_after(span, WorldEvent::Recover(FaultRecovery::ResumeEntry(entry)));
            }
            FaultKind::StopEntry => {
                let incarnation = self.entries[entry].incarnation;
                self.deliver(entry, incarnation, EntryEvent::Stop);
            }
            FaultKind::KillTarget => {
                self.targets[target].crash(self.now);
                self.schedule_after(
                    span,
                    WorldEvent::Recover(FaultRecovery::RestartTarget(target)),
                );
            }
            FaultKind::PauseTarget => {
                self.targets[target].paused_until = Some(self.now + span);
                self.schedule_after(span, WorldEvent::Recover(FaultRecovery::ResumeTarget(target)));
            }
            FaultKind::LeaveTarget => self.start_target_leave(target, span),
            FaultKind::FailTarget => {
                self.targets[target].state.set_mode(TargetMode::FailAll);
                self.schedule_after(span, WorldEvent::Recover(FaultRecovery::RepairTarget(target)));
            }
            FaultKind::SilenceLinks => {
                for index in 0..self.entries.len() {
                    self.links.make_unresponsive(index, target);
                }
            }
            FaultKind::CutPeers => self.cut(zone, span, true, false),
            FaultKind::CutPlatform => self.cut(zone, span, false, true),
            FaultKind::CutBoth => self.cut(zone, span, true, true),
            FaultKind::PlatformDown => self.set_platform_mode(PlatformMode::Down, span),
            FaultKind::PlatformSlow => self.set_platform_mode(PlatformMode::Slow, span),
            FaultKind::PlatformLosesAnswers => {
                self.set_platform_mode(PlatformMode::LoseAnswers, span);
            }
        }
    }

    fn cut(&mut self, zone: ZoneId, span: Duration, peers: bool, platform: bool) {
        if peers {
            self.links.cut_peers(zone);
            self.schedule_after(span, WorldEvent::Recover(FaultRecovery::HealPeers(zone)));
        }
        if platform {
            self.links.cut_platform(zone);
            self.schedule_after(span, WorldEvent::Recover(FaultRecovery::HealPlatform(zone)));
        }
    }

    fn set_platform_mode(&mut self, mode: PlatformMode, span: Duration) {
        self.platform.faults.set_mode(mode);
        self.schedule_after(span, WorldEvent::Recover(FaultRecovery::RestorePlatform));
    }

    pub(crate) fn start_target_leave(&mut self, index: usize, span: Duration) {
        let target = &mut self.targets[index];
        if target.is_leaving || !target.is_up {
            return;
        }
        target.is_leaving = true;
        target.state.set_mode(TargetMode::Leaving);
        let (zone, pool) = (target.zone, target.pool);
        self.schedule_after(span, WorldEvent::Recover(FaultRecovery::RemoveTarget(index)));
        self.add_target(zone, pool.as_str());
    }

    /// Reverts the effect of a fault.
    pub(crate) fn recover(&mut self, recovery: FaultRecovery) {
        match recovery {
            FaultRecovery::ResumeEntry(index) => {
                let entry = &mut self.entries[index];
                entry.paused_until = entry.paused_until.filter(|until| *until > self.now);
            }
            FaultRecovery::RestartTarget(index) => self.restart_target(index),
            FaultRecovery::ResumeTarget(index) => {
                let target = &mut self.targets[index];
                target.paused_until = target.paused_until.filter(|until| *until > self.now);
                self.poll_target(index);
            }
            FaultRecovery::RepairTarget(index) => {
                let target = &mut self.targets[index];
                if !target.is_leaving {
                    target.state.set_mode(TargetMode::Ok);
                }
            }
            FaultRecovery::RemoveTarget(index) => {
                if self.targets[index].is_up {
                    self.poll_target(index);
                    self.targets[index].crash(self.now);
                }
            }
            FaultRecovery::HealPeers(zone) => self.links.heal_peers(zone),
            FaultRecovery::HealPlatform(zone) => self.links.heal_platform(zone),
            FaultRecovery::RestorePlatform => self.platform.faults.set_mode(PlatformMode::Ok),
        }
    }

    fn restart_target(&mut self, index: usize) {
        let run = TargetIncarnation(self.random.random());
        let now = self.now;
        let target = &mut self.targets[index];
        if target.is_up || target.is_leaving {
            return;
        }
        target.state.restart(now, run, "image");
        target.is_up = true;
    }

    /// Recovers from all active faults at once, before the simulation settles.
    pub(crate) fn recover_all(&mut self) {
        let is_recovery = |event: &WorldEvent| matches!(event, WorldEvent::Recover(_));
        let pending = self.events.iter().filter(|(_, event)| is_recovery(event));
        let keys = pending.map(|(key, _)| *key).collect::<Vec<_>>();
        for entry in &mut self.entries {
            entry.paused_until = None;
        }
        for target in &mut self.targets {
            target.paused_until = None;
        }
        for key in keys {
            if let Some(WorldEvent::Recover(recovery)) = self.events.remove(&key) {
                self.recover(recovery);
            }
        }
    }
}
