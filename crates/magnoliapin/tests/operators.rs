//! Tests of the operators' fleet commands against a site of separate processes with two pools.

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

/// Configuration of a second pool, a spare one that no queue uses.
const NIGHT_POOL: &str = "\n[pools.night]\nspare = true\ninstances = 3\nmax_unavailable = 1\n\
                     image = \"base\"\n";

const BUDGET_REFUSAL: &str =
    "pool evening has 1 unavailable instances (0 failed, 1 draining, 0 rebooting, \
                       0 moving, 0 quarantined) and allows 1";

struct FleetSite(TestSite);

impl FleetSite {
    /// Starts two pools and two entries and waits until the fleet's plan includes every instance and
    /// each entry lists all of them as serving.
    fn start(name: &str) -> Self {
        let groups = ["evening", "night"].map(|pool| TargetGroup { name: pool, pool });
        let site = TestSite::start_groups(name, 2, &groups);
        let text = std::fs::read_to_string(DOCUMENT).expect("the document") + NIGHT_POOL;
        site.apply_first(&scratch_file(&format!("{name}-document.toml"), &text));
        let site = Self(site);
        wait_for("the maintenance plan includes every instance", || {
            let plan = site.json(&["maintenance", "plan"]);
            plan["deadlines"].as_array().is_some_and(|deadlines| deadlines.len() == INSTANCES)
        });
        for entry in 0..2 {
            wait_for("every instance serves", || site.count_serving(entry) == INSTANCES);
        }
        site
    }

    fn run(&self, arguments: &[&str]) -> RunOutcome {
        self.0.run(OPERATOR_KEY, arguments)
    }

    /// Runs a command that must succeed and returns its output.
    fn run_accepted(&self, arguments: &[&str]) -> String {
        let outcome = self.run(arguments);
        assert_eq!(outcome.code, 0, "{arguments:?}: {}", outcome.errors);
        outcome.output
    }

    /// Runs a command that must be refused and returns its error output.
    fn run_refused(&self, entry: usize, arguments: &[&str]) -> String {
        let outcome = self.0.run_at(entry, OPERATOR_KEY, arguments);
        assert_eq!(outcome.code, 1, "{arguments:?}: {}", outcome.output);
        outcome.errors
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let arguments = [&["--json"], arguments].concat();
        serde_json::from_str(&self.run_accepted(&arguments)).expect("JSON")
    }

    fn instances(&self, entry: usize) -> Vec<Value> {
        let outcome = self.0.run_at(entry, OPERATOR_KEY, &["--json", "instances"]);
        serde_json::from_str(&outcome.output).unwrap_or_default()
    }

    fn stage(&self, pool: &str) -> Value {
        self.json(&["rollout", "status", pool])[pool]["stage"].clone()
    }

    /// Requests an action on a pool's roll-out and waits for the resulting stage.
    fn control_rollout(&self, action: &str, pool: &str, stage: &str) {
        self.run_accepted(&["rollout", action, pool]);
        wait_for(stage, || self.stage(pool) == stage);
    }

    fn count_serving(&self, entry: usize) -> usize {
        self.instances(entry).iter().filter(|instance| instance["state"] == "serving").count()
    }

    fn is_serving(&self, entry: usize, name: &str) -> bool {
        let instances = self.instances(entry);
        let instance = instances.iter().find(|instance| instance["instance"] == name);
        instance.expect("the instance is listed")["state"] == "serving"
    }
}

#[test]
fn a_drain_respects_the_budget_and_can_be_cancelled() {
    let site = FleetSite::start("drain");
    let output = site.run_accepted(&["drain", "evening-a"]);
    assert_eq!(output, "drain of instance evening-a is ordered\n");
    for entry in 0..2 {
        let refused = site.run_refused(entry, &["drain", "evening-b", "--force"]);
        assert!(refused.contains("budget_exceeded"), "{refused}");
        assert!(refused.contains(BUDGET_REFUSAL), "{refused}");
        wait_for("the instance is no longer serving", || !site.is_serving(entry, "evening-a"));
        assert!(site.is_serving(entry, "evening-b"));
    }
    let refused = site.run_refused(1, &["move", "night-b", "evening", "--dry-run"]);
    assert!(refused.contains(BUDGET_REFUSAL), "{refused}");

    assert_eq!(site.json(&["undrain", "evening-a"]), serde_json::json!({}));
    for entry in 0..2 {
        wait_for("the instance serves again", || site.is_serving(entry, "evening-a"));
    }
    wait_for("the budget is free again", || site.run(&["drain", "evening-b"]).code == 0);
}

#[test]
fn a_move_is_previewed_by_a_dry_run_and_then_executed() {
    let site = FleetSite::start("move");
    let preview = site.json(&["move", "night-b", "evening", "--dry-run"]);
    let pools = preview["pools"].as_array().expect("the pools");
    let members = |pool: &Value| (pool["now"]["members"].as_u64(), pool["members_after"].as_u64());
    let members: Vec<_> = pools.iter().map(members).collect();
    assert_eq!(members, [(Some(3), Some(2)), (Some(3), Some(4))]);
    let output = site.run_accepted(&["move", "night-b", "evening", "--dry-run"]);
    assert!(output.starts_with("would drain night-b to move to evening\n"), "{output}");
    assert_eq!(site.count_serving(0), INSTANCES, "a dry run must not change the fleet");

    let unknown = site.run_refused(0, &["move", "night-b", "morning"]);
    assert!(unknown.contains("not_found: the document has no pool morning"), "{unknown}");
    site.run_accepted(&["move", "night-b", "evening"]);
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
fn maintenance_and_rollout_commands_report_and_control_the_fleet() {
    let site = FleetSite::start("maintenance");
    let plan = site.run_accepted(&["maintenance", "plan"]);
    assert!(plan.starts_with("planned work   running\n"), "{plan}");
    assert!(plan.contains("one round      10m 30s of a period of 21days\n"), "{plan}");
    assert!(!plan.contains("cannot be met"), "{plan}");
    site.run_accepted(&["maintenance", "pause"]);
    wait_for("planned work is paused", || site.json(&["maintenance", "plan"])["paused"] == true);
    site.run_accepted(&["maintenance", "resume"]);
    wait_for("planned work is resumed", || site.json(&["maintenance", "plan"])["paused"] == false);

    assert_eq!(site.run_accepted(&["rollout", "status"]), "no roll-out\n");
    assert_eq!(site.json(&["rollout", "status", "evening"]), serde_json::json!({}));
    let refused = site.run_refused(0, &["rollout", "pause", "evening"]);
    assert!(refused.contains("conflict: pool evening has no roll-out"), "{refused}");
    assert_eq!(site.run(&["rollout", "pause"]).code, 2);
    assert_eq!(site.run(&["maintenance", "stop"]).code, 2);

    let as_guide = site.0.run(GUIDE_KEY, &["maintenance", "plan"]);
    assert_eq!(as_guide.code, 1);
    assert!(as_guide.errors.contains("not_allowed"), "{}", as_guide.errors);
}

#[test]
fn a_rollout_is_paused_resumed_and_rolled_back() {
    let site = FleetSite::start("rollout");
    let text = std::fs::read_to_string(DOCUMENT).expect("the document") + NIGHT_POOL;
    let changed = text.replacen("image = \"base\"", "image = \"next\"", 1);
    let changed = scratch_file("rollout-changed.toml", &changed);
    site.run_accepted(&["config", "apply", &changed]);
    wait_for("the roll-out starts", || site.stage("evening") == "canary");
    let refused = site.run_refused(0, &["rollout", "start", "evening"]);
    assert!(refused.contains("conflict: the roll-out of pool evening is canary"), "{refused}");

    site.control_rollout("pause", "evening", "paused");
    let status = site.run_accepted(&["rollout", "status"]);
    assert!(
        status.contains("evening                  paused       next             base"),
        "{status}"
    );
    assert!(!status.contains("night"), "{status}");
    site.control_rollout("resume", "evening", "canary");
    site.run_accepted(&["rollout", "rollback", "evening"]);
    wait_for("the roll-out is rolling back", || {
        let row = site.json(&["rollout", "status"])["evening"].clone();
        row["stage"] == "rolling_back" || row["abandoned_image"] == "next"
    });
}
