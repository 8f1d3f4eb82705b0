//! Random histories of operators' changes and of faults, checked against an oracle.

mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use support::change_id;
use support::cluster::Cluster;
use support::cluster::ClusterConfig;
use support::cluster::StoreState;
use support::document;
use support::oracle::Oracle;
use support::oracle::Submitted;
use support::oracle::sha256;
use tokio::time::Instant;

use tt_control::Change;
use tt_control::ChangeId;
use tt_control::ChangeKind;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::ChangeStatus;
use tt_control::Collector;
use tt_control::CollectorSettings;
use tt_control::Outcome;
use tt_control::StoreRequest;
use tt_control::SubmissionKind;
use tt_control::change::status;
use tt_model::Digest;
use tt_model::Revision;

const DAEMON_COUNT: usize = 5;
const OPERATORS: [&str; 3] = ["alice", "bob", "carol"];
const ENVIRONMENTS: [&str; 2] = ["a", "b"];
const TICK_INTERVAL: Duration = Duration::from_millis(5);

static HISTORIES: AtomicUsize = AtomicUsize::new(0);
static STEPS: AtomicUsize = AtomicUsize::new(0);
static ACCEPTED: AtomicUsize = AtomicUsize::new(0);
static OUTCOMES: [AtomicUsize; 5] = [const { AtomicUsize::new(0) }; 5];
static REMOVED: AtomicUsize = AtomicUsize::new(0);

#[derive(Debug, Clone)]
enum Step {
    Trial {
        operator: usize,
        environment: usize,
        variant: usize,
        /// The number of revisions by which the base of the request is too old.
        base_lag: u64,
    },
    Promote {
        operator: usize,
        environment: usize,
        base_lag: u64,
    },
    /// The operator submits the last request again with the same change id. If it is not answered
    /// yet, its daemon fails and the store call in flight arrives later.
    Repeat {
        operator: usize,
    },
    Run {
        ms: u64,
    },
    Store {
        state: StoreState,
    },
    BreakWatches,
    Restart {
        daemon: usize,
    },
    Stop {
        daemon: usize,
    },
    Partition {
        partitions: [u32; DAEMON_COUNT],
    },
    StoreAccess {
        reaches: [bool; DAEMON_COUNT],
    },
    OldUpdate {
        daemon: usize,
        index: usize,
    },
    Loss {
        percent: u32,
    },
    Sweep,
}

/// Generates the steps of a history. It needs no state, because every step is possible at any time.
struct Histories;

impl ReferenceStateMachine for Histories {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let operator = 0..OPERATORS.len();
        let environment = 0..ENVIRONMENTS.len();
        let daemon = 0..DAEMON_COUNT;
        // Most requests have the current base, some an older one.
        let base_lag = prop_oneof![4 => Just(0u64), 1 => 1u64..3];
        let state = prop_oneof![
            3 => Just(StoreState::Up),
            1 => Just(StoreState::Down),
            2 => Just(StoreState::LosesReplies),
            3 => Just(StoreState::Flaky),
            1 => Just(StoreState::StaleReads),
            1 => Just(StoreState::Slow(Duration::from_millis(700))),
        ];
        prop_oneof![
            8 => (operator.clone(), environment.clone(), 0usize..6, base_lag.clone()).prop_map(
                |(operator, environment, variant, base_lag)| Step::Trial {
                    operator, environment, variant, base_lag
                }),
            4 => (operator.clone(), environment, base_lag).prop_map(
                |(operator, environment, base_lag)| Step::Promote {
                    operator, environment, base_lag
                }),
            2 => operator.prop_map(|operator| Step::Repeat { operator }),
            8 => (0u32..4).prop_flat_map(|scale| 1..10u64.pow(scale + 1))
                .prop_map(|ms| Step::Run { ms }),
            4 => state.prop_map(|state| Step::Store { state }),
            1 => Just(Step::BreakWatches),
            2 => daemon.clone().prop_map(|daemon| Step::Restart { daemon }),
            1 => daemon.clone().prop_map(|daemon| Step::Stop { daemon }),
            2 => prop::array::uniform5(0u32..2)
                .prop_map(|partitions| Step::Partition { partitions }),
            2 => prop::array::uniform5(any::<bool>())
                .prop_map(|reaches| Step::StoreAccess { reaches }),
            2 => (daemon, 0usize..32).prop_map(|(daemon, index)| Step::OldUpdate { daemon, index }),
            1 => (0u32..40).prop_map(|percent| Step::Loss { percent }),
            1 => Just(Step::Sweep),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct RunningChange {
    change: Change,
    calls: VecDeque<StoreRequest>,
}

struct TestSystem {
    cluster: Cluster,
    oracle: Oracle,
    running: Vec<RunningChange>,
    last_requests: BTreeMap<usize, ChangeRequest>,
    /// The outcome of the last finished submission of each change.
    outcomes: BTreeMap<ChangeId, Outcome>,
    collector: Collector,
    collector_calls: VecDeque<StoreRequest>,
    checked_adoptions: usize,
    highest_adopted: BTreeMap<(usize, u32), Revision>,
    change_count: u64,
}

impl TestSystem {
    fn submit(&mut self, operator: usize, environment: usize, base_lag: u64, text: Option<String>) {
        let stage = if text.is_some() { "trial" } else { "production" };
        let environment = ENVIRONMENTS[environment].to_owned();
        let (base, _) = self.oracle.current(&environment, stage);
        let (_, tried) = self.oracle.current(&environment, "trial");
        self.change_count += 1;
        let change = change_id(self.change_count);
        let base = base.saturating_sub(base_lag);
        let kind = match &text {
            Some(text) => ChangeKind::Trial { text: text.clone() },
            None => match serde_json::from_str::<Digest>(&format!("\"{tried}\"")) {
                Ok(digest) => ChangeKind::Promote { digest },
                Err(error) => panic!("{error}"),
            },
        };
        let digest = text.as_ref().map_or(tried, |text| sha256(text.as_bytes()));
        let submitted = Submitted { environment: environment.clone(), stage, base, digest, text };
        self.oracle.submit(&change.to_string(), submitted);
        let operator_name = OPERATORS[operator].to_owned();
        let request = ChangeRequest {
            change,
            submission: SubmissionKind::First,
            operator: operator_name,
            environment,
            base: Revision(base),
            kind,
        };
        self.last_requests.insert(operator, request.clone());
        self.start(request);
    }

    fn start(&mut self, request: ChangeRequest) {
        let settings = ChangeSettings { seed: self.change_count, ..ChangeSettings::default() };
        let (change, calls) = Change::start(request, &settings, self.cluster.now);
        self.running.push(RunningChange { change, calls: calls.into() });
    }

    /// Ends a change without an answer. Its store calls in flight arrive later.
    fn abandon(&mut self, change: &ChangeId) {
        let is_same = |running: &RunningChange| running.change.request().change == *change;
        if let Some(at) = self.running.iter().position(is_same) {
            let running = self.running.remove(at);
            for request in running.calls {
                self.cluster.delay_call(request.call);
            }
        }
    }

    /// Runs the system for `time`. Daemons run continuously; each change and the collector make one
    /// store call per tick.
    fn run(&mut self, time: Duration) {
        let until = self.cluster.now + time;
        while self.cluster.now < until {
            let idle = self.running.is_empty() && self.collector_calls.is_empty();
            let step = if idle { until - self.cluster.now } else { TICK_INTERVAL };
            self.cluster.run_for(step.min(Duration::from_secs(1)));
            self.cluster.apply_delayed_writes();
            self.oracle.observe(&self.cluster.store.values);
            self.step_changes();
            self.step_collector();
            self.check_daemons();
        }
    }

    fn step_changes(&mut self) {
        let now = self.cluster.now;
        for running in &mut self.running {
            running.calls.extend(running.change.tick(now));
            if let Some(StoreRequest { id, call }) = running.calls.pop_front() {
                let reply = self.cluster.operator_call(&call);
                self.oracle.observe(&self.cluster.store.values);
                running.calls.extend(running.change.on_reply(id, reply, now));
            }
            if let Some(outcome) = running.change.outcome() {
                let change = running.change.request().change.clone();
                self.oracle.check_outcome(&change.to_string(), &outcome.to_string());
                self.outcomes.insert(change, outcome.clone());
            }
        }
        self.running.retain(|running| running.change.outcome().is_none());
    }

    fn step_collector(&mut self) {
        let now = self.cluster.now;
        self.collector_calls.extend(self.collector.tick(now));
        if let Some(StoreRequest { id, call }) = self.collector_calls.pop_front() {
            let reply = self.cluster.operator_call(&call);
            self.oracle.check_parts(&self.cluster.store.values);
            self.collector_calls.extend(self.collector.on_reply(id, &reply, now));
        }
    }

    /// Checks that the adopted revision of each daemon only rises, and that its documents are those
    /// accepted at that revision.
    fn check_daemons(&mut self) {
        for &(node, process, revision) in &self.cluster.adoptions[self.checked_adoptions..] {
            let highest = self.highest_adopted.entry((node, process)).or_default();
            assert!(revision > *highest, "daemon {node} fell from {highest} to {revision}");
            *highest = revision;
        }
        self.checked_adoptions = self.cluster.adoptions.len();
        for node in self.cluster.nodes.iter().filter(|node| node.is_up) {
            let revision = node.control.versions().catalog.0;
            assert!(revision <= self.oracle.revision());
            let held: BTreeMap<(String, String), String> = node
                .control
                .replica()
                .documents()
                .iter()
                .map(|(key, document)| {
                    let name = (key.environment.clone(), key.stage.to_string());
                    (name, document.digest.to_string())
                })
                .collect();
            let accepted: BTreeMap<(String, String), String> = self
                .oracle
                .in_force(revision)
                .into_iter()
                .map(|(key, (_, digest))| (key, digest))
                .collect();
            assert_eq!(held, accepted, "at revision {revision}");
        }
    }

    /// Ends all faults, then checks that all daemons converge and that all answers were right.
    fn finish(mut self) {
        self.cluster.store_state = StoreState::Up;
        self.cluster.config.loss_ratio = 0.0;
        for n in 0..DAEMON_COUNT {
            self.cluster.nodes[n].partition = 0;
            self.cluster.nodes[n].reaches_store = true;
            if !self.cluster.nodes[n].is_up {
                self.cluster.restart(n);
            }
        }
        self.run(Duration::from_secs(21));
        assert!(self.running.is_empty(), "a change is still undecided");
        let revision = self.oracle.revision();
        self.run(Duration::from_secs(15));
        assert_eq!(self.oracle.revision(), revision);
        for (n, node) in self.cluster.nodes.iter().enumerate() {
            assert_eq!(node.control.versions().catalog.0, revision, "daemon {n}");
            assert_eq!(node.control.not_ready().is_none(), revision > 0, "daemon {n}");
            assert!(!node.control.is_stale(self.cluster.now), "daemon {n}");
        }
        self.run(Duration::from_secs(300));
        self.oracle.check_parts(&self.cluster.store.values);
        let catalog = self.cluster.nodes[0].control.replica().adopted();
        for (change, outcome) in &self.outcomes {
            self.oracle.check_outcome(&change.to_string(), &outcome.to_string());
            let environment = &self.oracle.submitted[&change.to_string()].environment;
            let at = self.oracle.accepted_at(&change.to_string());
            match status(catalog, environment, change) {
                ChangeStatus::Accepted { revision, .. } => assert_eq!(at, Some(revision.0)),
                ChangeStatus::NotAccepted { .. } => assert_eq!(at, None),
                ChangeStatus::NotInHistory { .. } => {}
            }
            let kind = match outcome {
                Outcome::Accepted { .. } => 0,
                Outcome::Conflict { .. } => 1,
                Outcome::Refused { .. } => 2,
                Outcome::NotChanged { .. } => 3,
                Outcome::Unknown { .. } => 4,
            };
            OUTCOMES[kind].fetch_add(1, Ordering::Relaxed);
        }
        HISTORIES.fetch_add(1, Ordering::Relaxed);
        ACCEPTED.fetch_add(self.oracle.accepted.len(), Ordering::Relaxed);
        REMOVED.fetch_add(self.collector.removed_count() as usize, Ordering::Relaxed);
    }
}

struct ControlTest;

impl StateMachineTest for ControlTest {
    type SystemUnderTest = Option<TestSystem>;
    type Reference = Histories;

    fn init_test((): &()) -> Option<TestSystem> {
        let cluster = Cluster::new(ClusterConfig {
            members: DAEMON_COUNT,
            domains: 2,
            ..ClusterConfig::default()
        });
        // The age is longer than a change may take, and short enough that parts are often removed.
        let settings = CollectorSettings {
            min_age: Duration::from_secs(30),
            interval: Duration::from_secs(5),
            retry_delay: Duration::from_secs(2),
            ..CollectorSettings::default()
        };
        let mut collector = Collector::new(settings);
        collector.activate(Instant::now());
        Some(TestSystem {
            cluster,
            oracle: Oracle::default(),
            running: Vec::new(),
            last_requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            collector,
            collector_calls: VecDeque::new(),
            checked_adoptions: 0,
            highest_adopted: BTreeMap::new(),
            change_count: 0,
        })
    }

    fn apply(state: Option<TestSystem>, (): &(), step: Step) -> Option<TestSystem> {
        let mut system = state?;
        STEPS.fetch_add(1, Ordering::Relaxed);
        match step {
            Step::Trial { operator, environment, variant, base_lag } => {
                let services = [3, 3, 60][variant % 3];
                let text = document(ENVIRONMENTS[environment], services, variant as u32 + 1);
                system.submit(operator, environment, base_lag, Some(text));
            }
            Step::Promote { operator, environment, base_lag } => {
                if system.oracle.current(ENVIRONMENTS[environment], "trial").0 > 0 {
                    system.submit(operator, environment, base_lag, None);
                }
            }
            Step::Repeat { operator } => {
                if let Some(request) = system.last_requests.get(&operator).cloned() {
                    system.abandon(&request.change);
                    system.outcomes.remove(&request.change);
                    system.start(ChangeRequest { submission: SubmissionKind::Repeat, ..request });
                }
            }
            Step::Run { ms } => system.run(Duration::from_millis(ms)),
            Step::Store { state } => {
                system.cluster.store_state = state;
                if matches!(state, StoreState::Down) {
                    system.cluster.break_watches();
                }
                system.cluster.wake_watches();
            }
            Step::BreakWatches => system.cluster.break_watches(),
            Step::Restart { daemon } => system.cluster.restart(daemon),
            Step::Stop { daemon } => system.cluster.stop(daemon),
            Step::Partition { partitions } => {
                for (node, partition) in system.cluster.nodes.iter_mut().zip(partitions) {
                    node.partition = partition;
                }
            }
            Step::StoreAccess { reaches } => {
                for (node, reaches) in system.cluster.nodes.iter_mut().zip(reaches) {
                    node.reaches_store = reaches;
                }
                system.cluster.break_watches();
            }
            Step::OldUpdate { daemon, index } => system.cluster.deliver_old_update(daemon, index),
            Step::Loss { percent } => {
                system.cluster.config.loss_ratio = f64::from(percent) / 100.0;
            }
            Step::Sweep => system.run(Duration::from_secs(35)),
        }
        Some(system)
    }

    fn teardown(state: Option<TestSystem>, (): ()) {
        if let Some(system) = state {
            system.finish();
        }
    }
}

/// Guards against changes that are lost, partly applied, applied twice or reverted, wrong answers
/// to operators, and daemons that go back to an older revision or do not converge. Such failures
/// come from combinations of lost replies, restarts, partitions and delayed calls.
///
/// `CONTROL_FUZZ_CASES` sets the number of histories and `CONTROL_FUZZ_SEED` the seed.
#[test]
fn random_histories_agree_with_the_oracle() {
    let number = |name: &str, default: u64| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let config = Config {
        cases: number("CONTROL_FUZZ_CASES", 64) as u32,
        rng_seed: RngSeed::Fixed(number("CONTROL_FUZZ_SEED", 5)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let started = std::time::Instant::now();
    let strategy = Histories::sequential_strategy(5..60);
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    let result = runner.run(&strategy, |(initial, steps, seen)| {
        ControlTest::test_sequential(config.clone(), initial, steps, seen);
        Ok(())
    });
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    println!(
        "{} histories, {} steps, {} changes in the catalog, answers: accepted {}, conflict {}, \
         refused {}, not changed {}, unknown {}; {} values removed; {:.1?}",
        count(&HISTORIES),
        count(&STEPS),
        count(&ACCEPTED),
        count(&OUTCOMES[0]),
        count(&OUTCOMES[1]),
        count(&OUTCOMES[2]),
        count(&OUTCOMES[3]),
        count(&OUTCOMES[4]),
        count(&REMOVED),
        started.elapsed()
    );
    if let Err(error) = result {
        panic!("{error}");
    }
}
