//! The operators' commands to the fleet, over separate processes with two pools.

mod support;

use serde_json::Value;
use support::scratch_file;
use support::site::wait_for;
use support::site::TargetGroup;
use support::site::TestSite;
use support::site::DOCUMENT;
use support::site::GUIDE_KEY;
use support::site::OPERATOR_KEY;
use support::RunOutcome;

const INSTANCES: usize = 6;

/// A pool of its own, for which nobody queues.
const NIGHT: &str = "\n[pools.night]\nspare = true\ninstances = 3\nmax_unavailable = 1\n\
                     image = \"base\"\n";

const REFUSAL: &str =
    "pool evening has 1 unavailable instances (0 failed, 1 draining, 0 rebooting, \
                       0 moving, 0 quarantined) and allows 1";

struct FleetSite(TestSite);

impl FleetSite {
    /// Starts two pools and two entries and waits until the fleet has taken every instance on.
    fn start(name: &str) -> Self {
        let groups = ["evening", "night"].map(|pool| TargetGroup { name: pool, pool });
        let site = TestSite::start_groups(name, 2, &groups);
        let text = std::fs::read_to_string(DOCUMENT).expect("the document") + NIGHT;
        site.apply_first(&scratch_file(&format!("{name}-document.toml"), &text));
        let site = Self(site);
        wait_for("the fleet takes every instance on", || {
            let plan = site.json(&["maintenance", "plan"]);
            plan["deadlines"].as_array().is_some_and(|known| known.len() == INSTANCES)
        });
        for entry in 0..2 {
            wait_for("every instance serves", || site.count_serving(entry) == INSTANCES);
        }
        site
    }

    fn run(&self, arguments: &[&str]) -> RunOutcome {
        self.0.run(OPERATOR_KEY, arguments)
    }

    /// Runs a command that is taken and returns what it prints.
    fn done(&self, arguments: &[&str]) -> String {
        let outcome = self.run(arguments);
        assert_eq!(outcome.code, 0, "{arguments:?}: {}", outcome.errors);
        outcome.output
    }

    /// Runs a command that is refused and returns why.
    fn refused(&self, entry: usize, arguments: &[&str]) -> String {
        let outcome = self.0.run_at(entry, OPERATOR_KEY, arguments);
        assert_eq!(outcome.code, 1, "{arguments:?}: {}", outcome.output);
        outcome.errors
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let arguments = [&["--json"], arguments].concat();
        serde_json::from_str(&self.done(&arguments)).expect("JSON")
    }

    fn instances(&self, entry: usize) -> Vec<Value> {
        let shown = self.0.run_at(entry, OPERATOR_KEY, &["--json", "instances"]);
        serde_json::from_str(&shown.output).unwrap_or_default()
    }

    fn stage(&self, pool: &str) -> Value {
        self.json(&["rollout", "status", pool])[pool]["stage"].clone()
    }

    /// Orders a step of a pool's roll-out and waits until its stage shows.
    fn steer(&self, action: &str, pool: &str, stage: &str) {
        self.done(&["rollout", action, pool]);
        wait_for(stage, || self.stage(pool) == stage);
    }

    fn count_serving(&self, entry: usize) -> usize {
        self.instances(entry).iter().filter(|instance| instance["state"] == "serving").count()
    }

    fn serves(&self, entry: usize, name: &str) -> bool {
        let instances = self.instances(entry);
        let instance = instances.iter().find(|instance| instance["instance"] == name);
        instance.expect("the instance is listed")["state"] == "serving"
    }
}

#[test]
fn a_drain_takes_an_instance_out_inside_the_budget_and_can_be_taken_back() {
    let site = FleetSite::start("drain");
    let ordered = site.done(&["drain", "evening-a"]);
    assert_eq!(ordered, "drain of instance evening-a is ordered\n");
    for entry in 0..2 {
        let refused = site.refused(entry, &["drain", "evening-b", "--force"]);
        assert!(refused.contains("budget_exceeded"), "{refused}");
        assert!(refused.contains(REFUSAL), "{refused}");
        wait_for("the drain shows", || !site.serves(entry, "evening-a"));
        assert!(site.serves(entry, "evening-b"));
    }
    let refused = site.refused(1, &["move", "night-b", "evening", "--dry-run"]);
    assert!(refused.contains(REFUSAL), "{refused}");

    assert_eq!(site.json(&["undrain", "evening-a"]), serde_json::json!({}));
    for entry in 0..2 {
        wait_for("the instance serves again", || site.serves(entry, "evening-a"));
    }
    wait_for("the budget is free again", || site.run(&["drain", "evening-b"]).code == 0);
}

#[test]
fn a_move_is_told_first_and_then_made() {
    let site = FleetSite::start("move");
    let told = site.json(&["move", "night-b", "evening", "--dry-run"]);
    let pools = told["pools"].as_array().expect("the pools");
    let members = |pool: &Value| (pool["now"]["members"].as_u64(), pool["members_after"].as_u64());
    let members: Vec<_> = pools.iter().map(members).collect();
    assert_eq!(members, [(Some(3), Some(2)), (Some(3), Some(4))]);
    let told = site.done(&["move", "night-b", "evening", "--dry-run"]);
    assert!(told.starts_with("would drain night-b to move to evening\n"), "{told}");
    assert_eq!(site.count_serving(0), INSTANCES, "a dry run changes nothing");

    let unknown = site.refused(0, &["move", "night-b", "morning"]);
    assert!(unknown.contains("not_found: the document has no pool morning"), "{unknown}");
    site.done(&["move", "night-b", "evening"]);
    wait_for("the instance serves in the other pool", || {
        let instances = site.instances(1);
        let moved = |instance: &&Value| instance["instance"] == "night-b";
        instances
            .iter()
            .find(moved)
            .is_some_and(|instance| instance["pool"] == "evening" && instance["state"] == "serving")
    });
}

#[test]
fn maintenance_and_rollouts_are_shown_and_steered() {
    let site = FleetSite::start("maintenance");
    let plan = site.done(&["maintenance", "plan"]);
    assert!(plan.starts_with("planned work   running\n"), "{plan}");
    assert!(plan.contains("one round      10m 30s of a period of 21days\n"), "{plan}");
    assert!(!plan.contains("cannot be met"), "{plan}");
    site.done(&["maintenance", "pause"]);
    wait_for("the pause shows", || site.json(&["maintenance", "plan"])["paused"] == true);
    site.done(&["maintenance", "resume"]);
    wait_for("the pause ends", || site.json(&["maintenance", "plan"])["paused"] == false);

    assert_eq!(site.done(&["rollout", "status"]), "no roll-out\n");
    assert_eq!(site.json(&["rollout", "status", "evening"]), serde_json::json!({}));
    let refused = site.refused(0, &["rollout", "pause", "evening"]);
    assert!(refused.contains("conflict: pool evening has no roll-out"), "{refused}");
    assert_eq!(site.run(&["rollout", "pause"]).code, 2);
    assert_eq!(site.run(&["maintenance", "stop"]).code, 2);

    let foreign = site.0.run(GUIDE_KEY, &["maintenance", "plan"]);
    assert_eq!(foreign.code, 1);
    assert!(foreign.errors.contains("not_allowed"), "{}", foreign.errors);
}

#[test]
fn a_rollout_is_paused_resumed_and_rolled_back() {
    let site = FleetSite::start("rollout");
    let text = std::fs::read_to_string(DOCUMENT).expect("the document") + NIGHT;
    let changed = text.replacen("image = \"base\"", "image = \"next\"", 1);
    let changed = scratch_file("rollout-changed.toml", &changed);
    site.done(&["config", "apply", &changed]);
    wait_for("the roll-out begins", || site.stage("evening") == "canary");
    let refused = site.refused(0, &["rollout", "start", "evening"]);
    assert!(refused.contains("conflict: the roll-out of pool evening is canary"), "{refused}");

    site.steer("pause", "evening", "paused");
    let shown = site.done(&["rollout", "status"]);
    assert!(
        shown.contains("evening                  paused       next             base"),
        "{shown}"
    );
    assert!(!shown.contains("night"), "{shown}");
    site.steer("resume", "evening", "canary");
    site.done(&["rollout", "rollback", "evening"]);
    wait_for("the rollback shows", || {
        let row = site.json(&["rollout", "status"])["evening"].clone();
        row["stage"] == "rolling_back" || row["abandoned_image"] == "next"
    });
}
