//! Random sequences of calls never run a task twice in one incarnation, nor a fenced one.

mod task_fixtures;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_standin::StartOutcome;
use magnoliapin_standin::TargetMode;
use magnoliapin_standin::TargetState;
use magnoliapin_wire::EntryFence;
use magnoliapin_wire::LeaseGrant;
use magnoliapin_wire::RefusalReason;
use magnoliapin_wire::TaskState;
use proptest::prelude::any;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use task_fixtures::start_request;
use task_fixtures::task_id;

const SEED: u64 = 20_261_204;
const PAYLOADS: [&str; 4] =
    ["", r#"{"run_ms":200}"#, r#"{"run_ms":90,"fail":true}"#, r#"{"unfit":true}"#];

/// One step of a sequence.
#[derive(Clone, Debug)]
enum TestStep {
    Wait(u64),
    Start { work: u128, entry: u64, payload: usize, is_old_incarnation: bool },
    Fence(u128),
    Stop(u128),
    Query(u128),
    Renew(u64),
    FenceEntry { entry: u64, heir: u64 },
    Mode(TargetMode),
    Drain(bool),
    Restart,
    Poll,
}

/// A target and the guarantees that it has given so far in a sequence.
struct TestTarget {
    state: TargetState,
    now: Moment,
    incarnations: u64,
    starts_before_incarnation: IndexMap<TaskId, u32>,
    /// Tasks that the target fenced and reported as never started in this incarnation.
    never_started: IndexSet<TaskId>,
    fenced_entries: IndexSet<EntryId>,
}

fn steps() -> impl Strategy<Value = TestStep> {
    let work = 0_u128..12;
    let entry = 0_u64..3;
    prop_oneof![
        4 => (0_u64..150).prop_map(TestStep::Wait),
        8 => (work.clone(), entry.clone(), 0..PAYLOADS.len(), proptest::bool::weighted(0.1))
            .prop_map(|(work, entry, payload, is_old_incarnation)| {
                TestStep::Start { work, entry, payload, is_old_incarnation }
            }),
        2 => work.clone().prop_map(TestStep::Fence),
        2 => work.clone().prop_map(TestStep::Stop),
        1 => work.prop_map(TestStep::Query),
        2 => entry.clone().prop_map(TestStep::Renew),
        1 => (entry, 0_u64..5).prop_map(|(entry, heir)| TestStep::FenceEntry { entry, heir }),
        1 => prop_oneof![
            Just(TargetMode::Ok),
            Just(TargetMode::FailAll),
            Just(TargetMode::Silent),
            Just(TargetMode::Leaving),
        ]
        .prop_map(TestStep::Mode),
        1 => any::<bool>().prop_map(TestStep::Drain),
        1 => Just(TestStep::Restart),
        2 => Just(TestStep::Poll),
    ]
}

impl TestTarget {
    fn new() -> Self {
        Self {
            state: TargetState::new(TargetIncarnation(1), "one"),
            now: Moment::START,
            incarnations: 1,
            starts_before_incarnation: IndexMap::new(),
            never_started: IndexSet::new(),
            fenced_entries: IndexSet::new(),
        }
    }

    fn apply(&mut self, step: &TestStep) {
        let now = self.now;
        match step {
            TestStep::Wait(millis) => self.now = now + Duration::from_millis(*millis),
            TestStep::Start { work, entry, payload, is_old_incarnation } => {
                self.start(*work, EntryId(*entry), PAYLOADS[*payload], *is_old_incarnation);
            }
            TestStep::Fence(work) => {
                let state = self.state.fence(now, task_id(*work)).state;
                self.record_fence(*work, state);
            }
            TestStep::Stop(work) => {
                let state = self.state.stop(now, task_id(*work)).state;
                assert_ne!(state, TaskState::Running);
                self.record_fence(*work, state);
            }
            TestStep::Query(work) => drop(self.state.query(now, task_id(*work))),
            TestStep::Renew(entry) => {
                self.state.renew(now, EntryId(*entry), &LeaseGrant { lease_ms: 300 });
            }
            TestStep::FenceEntry { entry, heir } => {
                let fence = EntryFence { heir: EntryId(*heir), lease_ms: 300 };
                self.state.fence_entry(now, EntryId(*entry), &fence);
                self.fenced_entries.insert(EntryId(*entry));
            }
            TestStep::Mode(mode) => self.state.set_mode(*mode),
            TestStep::Drain(is_draining) => self.state.set_draining(*is_draining),
            TestStep::Restart => self.restart(),
            TestStep::Poll => drop(self.state.poll(now)),
        }
    }

    fn start(&mut self, work: u128, entry: EntryId, payload: &str, is_old_incarnation: bool) {
        let incarnation = TargetIncarnation(self.incarnations - u64::from(is_old_incarnation));
        let mut start = start_request(work, incarnation, payload);
        start.entry = entry;
        start.lease_ms = 300;
        let before = self.starts(work);
        let outcome = self.state.start(self.now, start);
        let is_new = self.starts(work) > before;
        let is_refused = matches!(
            &outcome,
            StartOutcome::Replied(reply) if matches!(reply.state, TaskState::Refused(_))
        );
        assert!(!(is_new && is_refused), "a refused task was started");
        assert!(!(is_new && is_old_incarnation), "a task of another incarnation was started");
        assert!(
            !(is_new && self.never_started.contains(&task_id(work))),
            "a fenced task was started"
        );
        assert!(!(is_new && self.fenced_entries.contains(&entry)), "a fenced entry started a task");
        if let StartOutcome::Replied(reply) = outcome {
            let is_full = reply.state == TaskState::Refused(RefusalReason::Full);
            assert!(!is_full || reply.free_slots.0 == 0, "refused as full with free slots");
        }
    }

    fn record_fence(&mut self, work: u128, state: TaskState) {
        if state == TaskState::NeverStarted {
            self.never_started.insert(task_id(work));
        }
    }

    fn restart(&mut self) {
        self.incarnations += 1;
        self.state.restart(self.now, TargetIncarnation(self.incarnations), "one");
        self.starts_before_incarnation = self.state.ledger().starts().clone();
        self.never_started.clear();
        self.fenced_entries.clear();
    }

    fn starts(&self, work: u128) -> u32 {
        self.state.ledger().starts().get(&task_id(work)).copied().unwrap_or_default()
    }

    fn check_invariants(&self) {
        let ledger = self.state.ledger();
        for (task, starts) in ledger.starts() {
            let earlier = self.starts_before_incarnation.get(task).copied().unwrap_or_default();
            assert!(starts - earlier <= 1, "{task} was started twice in one incarnation");
            let effects = ledger.effects().get(task).copied().unwrap_or_default();
            assert!(effects <= *starts, "{task} took effect more often than it was started");
        }
        let running: u32 = ledger.running_by_team().values().sum();
        assert_eq!(running, self.state.slots().0 - self.state.free_slots().0);
        assert!(running <= self.state.slots().0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn tasks_never_run_twice_or_after_fence(
        steps in proptest::collection::vec(steps(), 1..200),
    ) {
        let mut target = TestTarget::new();
        for step in &steps {
            target.apply(step);
            target.check_invariants();
        }
    }
}
