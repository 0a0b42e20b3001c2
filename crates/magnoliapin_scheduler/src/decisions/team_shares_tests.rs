//! Tests of the shares of teams, which replay one heavy team beside nineteen others.
#![allow(clippy::print_stdout, reason = "the tests print what they measure")]

use std::time::Instant;

use magnoliapin_model::Moment;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamWeight;

use super::super::load_replay_tests::replay;
use super::super::load_replay_tests::Load;
use super::super::load_replay_tests::TeamRule;
use super::super::load_replay_tests::TEAMS;
use super::median_load;
use super::TeamLoad;
use super::TeamShares;

fn load(weight: f64, demand_per_s: f64) -> TeamLoad {
    TeamLoad { weight: TeamWeight::new(weight).expect("valid"), demand_per_s, tokens: 0.0 }
}

/// Guards against shares that follow the heavy team.
#[test]
fn the_median_load_ignores_a_heavy_team() {
    let teams = |heavy: f64, others: f64| {
        let mut teams = vec![load(1.0, others); 9];
        teams.push(load(4.0, heavy));
        median_load(&teams)
    };
    assert_eq!(teams(24.0, 0.5), 0.5);
    assert_eq!(teams(24.0, 1.5), 1.5);
    assert_eq!(median_load(&[]), 0.0);
    assert_eq!(median_load(&[load(0.0, 9.0), load(1e300, 3.0)]), 3.0 / 1e300);
}

fn names(count: usize) -> Vec<TeamName> {
    (0..count).map(|number| TeamName::new(&format!("team-{number}"))).collect()
}

/// Guards against marks on the jobs that a heavy team is owed, and on those of the other teams.
#[test]
fn only_jobs_beyond_the_weight_are_marked() {
    let names = names(5);
    let mut shares = TeamShares::default();
    let weight = |number| TeamWeight::new([10.0, 10.0, 10.0, 10.0, 0.0][number]).expect("valid");
    shares.set_weights(names.iter().cloned().zip((0..5).map(weight)));
    let mut marked = [0; 5];
    for step in 0..1_000_u64 {
        let now = Moment::from_millis(step * 10);
        // 50 jobs a second of the first team, 5 of the others.
        for (team, marked) in marked.iter_mut().enumerate() {
            if step % (if team == 0 { 2 } else { 20 }) == 0 {
                *marked += usize::from(shares.add_arrival(Some(&names[team]), now));
            }
        }
        assert!(!shares.add_arrival(None, now));
        assert!(!shares.add_arrival(Some(&TeamName::new("unknown")), now));
    }
    // 100 of 500 jobs are owed, and a second passes until the excess is more than chance.
    assert!((350..=400).contains(&marked[0]), "{marked:?}");
    assert_eq!(marked[1..4], [0, 0, 0]);
    assert!(marked[4] >= 48, "a team of weight 0 has no share: {marked:?}");
}

/// Returns the part of their value that team 0 and the worst and the average other team get.
fn served(utilization: f64, heavy_factor: f64, rule: TeamRule) -> [f64; 3] {
    let mut outcomes = [(0.0, 0.0); TEAMS];
    for seed in 0..4 {
        let load = Load { utilization, heavy_factor, max_steps: 2, wide_part: 0.08, seed };
        for job in replay(&load, rule) {
            outcomes[job.team].0 += job.outcome();
            outcomes[job.team].1 += 1.0;
        }
    }
    let parts = outcomes.map(|(value, jobs)| value / jobs);
    let worst = parts[1..].iter().copied().fold(1.0, f64::min);
    let served = [parts[0], worst, parts[1..].iter().sum::<f64>() / (TEAMS - 1) as f64];
    println!("load {utilization} heavy {heavy_factor} {rule:?}: team 0, worst, mean {served:.3?}");
    served
}

/// A heavy team must not take what the others need; without it, their service stays as it is. In
/// a peak every team is beyond its weight: a rule that looks at the weight alone serves all worse.
#[test]
fn a_heavy_team_does_not_cost_the_others() {
    for utilization in [0.6, 0.8] {
        let [_, alone_worst, alone] = served(utilization, 1.0, TeamRule::Equal);
        let [_, kept_worst, kept] = served(utilization, 1.0, TeamRule::Shares);
        assert!((kept - alone).abs() < 0.01 && kept_worst > alone_worst - 0.02);
        let [_, equal_worst, equal] = served(utilization, 6.0, TeamRule::Equal);
        let [_, worst, mean] = served(utilization, 6.0, TeamRule::Shares);
        let [_, _, bucket] = served(utilization, 6.0, TeamRule::Bucket);
        assert!(mean > equal && mean > bucket && worst > equal_worst);
        assert!(alone - mean < 0.6 * (alone - equal), "{alone} {equal} {mean}");
    }
}

/// Prints the time of a decision for 400 teams.
#[test]
fn the_time_of_a_decision_is_printed() {
    let names = names(400);
    let mut shares = TeamShares::default();
    shares.set_weights(names.iter().map(|name| (name.clone(), TeamWeight::default())));
    let started_at = Instant::now();
    let arrive = |(at, name)| shares.add_arrival(Some(name), Moment::from_millis(at));
    let over = (0..).zip(&names).map(arrive).filter(|is_over| *is_over).count();
    println!("{over} of {} jobs over their shares in {:?}", names.len(), started_at.elapsed());
}
