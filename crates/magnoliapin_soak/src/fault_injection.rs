//! Injection of faults into a world, and their ends.

use std::time::Duration;

use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_standin::PlatformMode;
use magnoliapin_standin::TargetMode;
use rand::Rng;

use crate::fault::FaultKind;
use crate::world::zone;
use crate::world::FaultEnd;
use crate::world::SoakWorld;
use crate::world::WorldEvent;
use crate::world::ZONES;

impl SoakWorld {
    /// Injects a fault and draws the next one.
    pub(crate) fn inject(&mut self) {
        let Some(pause) = self.plan.fault_pause.filter(|_| !self.is_settling) else { return };
        let next = pause.mul_f64(self.random.random_range(0.1..1.9));
        self.after(next, WorldEvent::Fault);
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
                self.after(span, WorldEvent::EndFault(FaultEnd::ResumeEntry(entry)));
            }
            FaultKind::StopEntry => {
                let boot = self.entries[entry].boot;
                self.deliver(entry, boot, EntryEvent::Stop);
            }
            FaultKind::KillTarget => {
                self.targets[target].crash(self.now);
                self.after(span, WorldEvent::EndFault(FaultEnd::RestartTarget(target)));
            }
            FaultKind::PauseTarget => {
                self.targets[target].paused_until = Some(self.now + span);
                self.after(span, WorldEvent::EndFault(FaultEnd::ResumeTarget(target)));
            }
            FaultKind::LeaveTarget => self.leave_target(target, span),
            FaultKind::FailTarget => {
                self.targets[target].state.set_mode(TargetMode::FailAll);
                self.after(span, WorldEvent::EndFault(FaultEnd::MendTarget(target)));
            }
            FaultKind::SilenceLinks => {
                for index in 0..self.entries.len() {
                    self.links.silence(index, target);
                }
            }
            FaultKind::CutPeers => self.cut(zone, span, true, false),
            FaultKind::CutPlatform => self.cut(zone, span, false, true),
            FaultKind::CutBoth => self.cut(zone, span, true, true),
            FaultKind::PlatformDown => self.set_platform(PlatformMode::Down, span),
            FaultKind::PlatformSlow => self.set_platform(PlatformMode::Slow, span),
            FaultKind::PlatformLosesAnswers => self.set_platform(PlatformMode::LoseAnswers, span),
        }
    }

    fn cut(&mut self, zone: ZoneId, span: Duration, peers: bool, platform: bool) {
        if peers {
            self.links.cut_peers(zone);
            self.after(span, WorldEvent::EndFault(FaultEnd::HealPeers(zone)));
        }
        if platform {
            self.links.cut_platform(zone);
            self.after(span, WorldEvent::EndFault(FaultEnd::HealPlatform(zone)));
        }
    }

    fn set_platform(&mut self, mode: PlatformMode, span: Duration) {
        self.platform.faults.set_mode(mode);
        self.after(span, WorldEvent::EndFault(FaultEnd::MendPlatform));
    }

    fn leave_target(&mut self, index: usize, span: Duration) {
        let target = &mut self.targets[index];
        if target.is_leaving || !target.is_up {
            return;
        }
        target.is_leaving = true;
        target.state.set_mode(TargetMode::Leaving);
        let (zone, pool) = (target.zone, target.pool);
        self.after(span, WorldEvent::EndFault(FaultEnd::RemoveTarget(index)));
        self.add_target(zone, pool.as_str());
    }

    /// Ends a fault.
    pub(crate) fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::ResumeEntry(index) => {
                let entry = &mut self.entries[index];
                entry.paused_until = entry.paused_until.filter(|until| *until > self.now);
            }
            FaultEnd::RestartTarget(index) => self.restart_target(index),
            FaultEnd::ResumeTarget(index) => {
                let target = &mut self.targets[index];
                target.paused_until = target.paused_until.filter(|until| *until > self.now);
                self.poll_target(index);
            }
            FaultEnd::MendTarget(index) => {
                let target = &mut self.targets[index];
                if !target.is_leaving {
                    target.state.set_mode(TargetMode::Ok);
                }
            }
            FaultEnd::RemoveTarget(index) => {
                if self.targets[index].is_up {
                    self.poll_target(index);
                    self.targets[index].crash(self.now);
                }
            }
            FaultEnd::HealPeers(zone) => self.links.heal_peers(zone),
            FaultEnd::HealPlatform(zone) => self.links.heal_platform(zone),
            FaultEnd::MendPlatform => self.platform.faults.set_mode(PlatformMode::Ok),
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

    /// Ends every fault that has not ended, before the world settles.
    pub(crate) fn end_faults(&mut self) {
        let is_end = |event: &WorldEvent| matches!(event, WorldEvent::EndFault(_));
        let due = self.events.iter().filter(|(_, event)| is_end(event));
        let keys = due.map(|(key, _)| *key).collect::<Vec<_>>();
        for entry in &mut self.entries {
            entry.paused_until = None;
        }
        for target in &mut self.targets {
            target.paused_until = None;
        }
        for key in keys {
            if let Some(WorldEvent::EndFault(end)) = self.events.remove(&key) {
                self.end_fault(end);
            }
        }
    }
}
