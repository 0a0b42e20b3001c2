//! Replays of crowds of jobs that wait.

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;

use super::JobBudget;
use crate::job_size::JobSize;

const MIB: u64 = 1024 * 1024;

fn job(memory: u64) -> JobSize {
    JobSize { memory: ByteSize(memory), input: ByteSize(0) }
}

/// Jobs that wait, by team.
#[derive(Default)]
struct WaitingJobs {
    teams: IndexMap<&'static str, JobSize>,
    taken: JobSize,
}

impl WaitingJobs {
    /// Hands in a job; returns whether it is accepted.
    fn hand_in(&mut self, budget: &JobBudget, team: &'static str, job: JobSize) -> bool {
        let of_team = self.teams.entry(team).or_default();
        let is_admitted = budget.admits(job, *of_team, self.taken);
        if is_admitted {
            of_team.add(job);
            self.taken.add(job);
        }
        is_admitted
    }
}

/// Guards against a crowd of one team that takes all the room, or more than there is.
#[test]
fn a_crowd_of_one_team_leaves_room_for_the_others() {
    let budget = JobBudget::new(ByteSize(160 * MIB));
    let mut waiting = WaitingJobs::default();
    let accepted = (0..100_000).filter(|_| waiting.hand_in(&budget, "crowd", job(5_000))).count();
    assert!((3_900..=4_200).contains(&accepted), "{accepted}");
    for team in ["b", "c", "d", "e"] {
        assert!((0..100).all(|_| waiting.hand_in(&budget, team, job(5_000))), "{team}");
    }
    assert!(!waiting.hand_in(&budget, "crowd", job(5_000)));
    assert!(waiting.taken.memory.0 <= 40 * MIB);
}

/// Guards against several crowds at once that together exceed the room.
#[test]
fn crowds_of_all_teams_stay_within_the_room() {
    let budget = JobBudget::new(ByteSize(160 * MIB));
    let mut waiting = WaitingJobs::default();
    let teams = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for _ in 0..20_000 {
        for team in teams {
            waiting.hand_in(&budget, team, job(5_000));
        }
    }
    assert!(waiting.taken.memory.0 <= 40 * MIB);
    let least = waiting.teams.values().map(|size| size.memory.0).min().unwrap_or_default();
    let most = waiting.teams.values().map(|size| size.memory.0).max().unwrap_or_default();
    assert!(most - least <= 10_000, "{least} {most}");
    assert!(waiting.hand_in(&budget, "late", job(5_000)));
}

/// Guards against inputs that fill the store, and against jobs without one that wait for its room.
#[test]
fn large_inputs_are_limited_apart() {
    let budget = JobBudget::new(ByteSize(512 * MIB));
    let mut waiting = WaitingJobs::default();
    let large = JobSize { memory: ByteSize(2_000), input: ByteSize(MIB) };
    let accepted = (0..1_000).filter(|_| waiting.hand_in(&budget, "crowd", large)).count();
    assert!((90..=96).contains(&accepted), "{accepted}");
    assert!(waiting.hand_in(&budget, "crowd", job(2_000)));
    assert!(waiting.hand_in(&budget, "other", large));
}

/// Guards against a job that is refused for ever although nothing waits.
#[test]
fn a_job_that_is_alone_is_accepted() {
    let budget = JobBudget::new(ByteSize(4 * MIB));
    assert!(budget.admits(job(8 * MIB), JobSize::default(), JobSize::default()));
}
