//! Cost of planning the fleet, at the entry that plans and at an entry that stands by.

use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_fleet::FleetAction;
use magnoliapin_fleet::FleetEvent;
use magnoliapin_fleet::FleetMachine;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;

use crate::document::document_text;
use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::messages::json_bytes;
use crate::site::SimulatedSite;
use crate::site::SiteSize;

const SECONDS: u64 = 20;
const START: u64 = 1_700_000_100;

/// Writes the table.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    let columns = [
        "instances",
        "pools",
        "plans",
        "ms of processor a second",
        "longest event ms",
        "calls of the platform a second",
        "bytes a second",
    ];
    write_head(output, "The fleet's machine at the entry that plans, nothing due", &columns)?;
    let sizes = [
        ("plans", SiteSize::current()),
        ("plans", SiteSize::new(1, 8, 500, 20, 6)),
        ("plans", SiteSize::design_size()),
        ("looks on", SiteSize::design_size()),
    ];
    for (role, size) in sizes {
        let run = FleetRun::measure(size, role == "plans");
        let second = SECONDS as f64;
        let time = fixed(run.time.as_secs_f64() * 1_000.0 / second);
        let longest = fixed(run.longest.as_secs_f64() * 1_000.0);
        let calls = fixed(run.calls as f64 / second);
        let bytes = (run.bytes as f64 / second).round();
        let pools = size.document.pools;
        write_row(output, &[&size.targets, &pools, &role, &time, &longest, &calls, &bytes])?;
    }
    Ok(())
}

#[derive(Debug, Default)]
struct FleetRun {
    time: Duration,
    longest: Duration,
    calls: u64,
    bytes: u64,
}

impl FleetRun {
    /// Runs two fleet machines against the platform of a site and measures the planner if `plans`
    /// is true, the standby otherwise.
    fn measure(size: SiteSize, plans: bool) -> Self {
        let mut site = SimulatedSite::prepared(size);
        let mut run = Self::default();
        let mut planner = FleetMachine::new(EntryId(1), 1);
        let mut standby = FleetMachine::new(EntryId(2), 2);
        let text = document_text(size.document);
        let document = Box::new(ConfigDocument::parse(&text).expect("a valid document"));
        let start = Moment::from_millis(900);
        for machine in [&mut planner, &mut standby] {
            let event = FleetEvent::Config(document.clone());
            Self::default().feed(machine, &mut site, start, event);
        }
        for step in 0..SECONDS * 10 {
            let now = Moment::from_millis(1_000 + step * 100);
            let wall = UnixSeconds(START + step / 10);
            let mut first = Self::default();
            first.feed(&mut planner, &mut site, now, FleetEvent::Tick { wall });
            if plans {
                run.add(&first);
            } else {
                run.feed(&mut standby, &mut site, now, FleetEvent::Tick { wall });
            }
        }
        run
    }

    /// Feeds an event and all resulting platform replies to a machine.
    fn feed(
        &mut self,
        machine: &mut FleetMachine,
        site: &mut SimulatedSite,
        now: Moment,
        event: FleetEvent,
    ) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            let started_at = Instant::now();
            machine.handle(now, event, &mut actions);
            let time = started_at.elapsed();
            self.time += time;
            self.longest = self.longest.max(time);
            for action in actions {
                let FleetAction::Platform { call, request, .. } = action else { continue };
                self.calls += 1;
                self.bytes += json_bytes(&request);
                let reply = site.execute_platform_call(request);
                self.bytes += json_bytes(&reply);
                events.push(FleetEvent::Platform { call, reply });
            }
        }
    }

    fn add(&mut self, other: &Self) {
        self.time += other.time;
        self.longest = self.longest.max(other.longest);
        self.calls += other.calls;
        self.bytes += other.bytes;
    }
}
