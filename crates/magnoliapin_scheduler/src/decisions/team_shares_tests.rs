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
use super::max_min_shares;
use super::TeamLoad;
use super::TeamRates;

fn load(weight: f64, demand_per_s: f64) -> TeamLoad {
    TeamLoad { weight: TeamWeight::new(weight).expect("valid"), use_per_s: 0.0, demand_per_s }
}

/// A share must never depend on the order of the teams, and odd weights must not take capacity.
#[test]
fn what_a_team_leaves_goes_to_the_others_by_weight() {
    let teams = [load(1.0, 9.0), load(1.0, 0.5), load(2.0, 9.0), load(0.0, 9.0)];
    assert_eq!(max_min_shares(&teams, 6.5), [2.0, 0.5, 4.0, 0.0]);
    assert_eq!(max_min_shares(&teams, 100.0), [9.0, 0.5, 9.0, 9.0]);
    let huge = [load(1e300, 3.0), load(1.0, 4.0), load(1.0, 4.0)];
    assert_eq!(max_min_shares(&huge, 7.0), [3.0, 2.0, 2.0]);
    assert!(max_min_shares(&[], 1.0).is_empty());
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
    let mut rates = TeamRates::default();
    let names: Vec<TeamName> = (0..400).map(|n| TeamName::new(&format!("team-{n}"))).collect();
    rates.set_weights(names.iter().map(|name| (name.clone(), TeamWeight::default())));
    for (number, name) in names.iter().enumerate() {
        for at in 0..number as u64 % 9 {
            rates.add_arrival(Some(name), Moment::from_millis(at), Moment::from_millis(at));
            rates.add_start(Some(name), Moment::from_millis(at), Moment::from_millis(at));
        }
    }
    let started_at = Instant::now();
    let over = rates.teams_over_share(Moment::from_millis(100));
    println!("{} of {} teams over in {:?}", over.len(), names.len(), started_at.elapsed());
}
