//! Runs the soak: `cargo run --release --locked --example soak -- --seed 1 --steps 300000`.

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use magnoliapin_soak::SoakPlan;
use magnoliapin_soak::SoakWorld;

mod flags {
    #![allow(missing_docs, unused_qualifications, unreachable_pub, clippy::all, clippy::pedantic)]
    xflags::xflags! {
        /// Simulates several entries in virtual time, with faults drawn from a seed.
        cmd soak {
            /// First seed.
            optional --seed seed: u64
            /// Number of simulated events with faults and load.
            optional --steps steps: u64
            /// Number of consecutive seeds to run.
            optional --seeds seeds: u64
            /// Number of entries.
            optional --entries entries: usize
            /// Mean time between two faults, in milliseconds; 0 injects none.
            optional --fault-ms fault_ms: u64
            /// Mean time between two client operations, in milliseconds.
            optional --act-ms act_ms: u64
            /// Share of new work that crashes each target that starts it.
            optional --crash-share crash_share: f64
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    let mut plan = SoakPlan::default();
    plan.steps = flags.steps.unwrap_or(plan.steps);
    plan.crash_share = flags.crash_share.unwrap_or(plan.crash_share);
    plan.entries = flags.entries.unwrap_or(plan.entries);
    if let Some(millis) = flags.act_ms {
        plan.call_interval = Duration::from_millis(millis);
    }
    if let Some(millis) = flags.fault_ms {
        plan.fault_interval = (millis > 0).then(|| Duration::from_millis(millis));
    }
    let first = flags.seed.unwrap_or(1);
    let mut failed = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let report = SoakWorld::new(SoakPlan { seed, ..plan }).run();
        failed += u64::from(!report.violations.is_empty());
        let _ = writeln!(std::io::stdout(), "{report}");
    }
    let _ = writeln!(std::io::stdout(), "seeds={} failed={failed}", flags.seeds.unwrap_or(1));
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
