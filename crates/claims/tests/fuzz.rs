//! A stateful fuzz test of claimants and partition owners. It compares the runs at the searcher
//! with the answers to callers.

mod common;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use common::world::DAEMON_COUNT;
use common::world::Numbering;
use common::world::SearcherMode;
use common::world::StoreMode;
use common::world::World;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use tt_claims::Answer;
use tt_claims::BodyDigest;
use tt_claims::Start;

static CASES: AtomicU64 = AtomicU64::new(0);
static STEPS: AtomicU64 = AtomicU64::new(0);
static RUNS: AtomicU64 = AtomicU64::new(0);
/// Numbers of answers: done, not run, unknown.
static ANSWERS: [AtomicU64; 3] = [const { AtomicU64::new(0) }; 3];

#[derive(Debug, Clone)]
enum Transition {
    Create { daemon: usize, ahead_ms: u64, numbering: Numbering, start: Start },
    Repeat { request: usize, body: usize, daemon: usize, start: Start },
    Steps(u32),
    Wait(u64),
    Pause { daemon: usize, ms: u64 },
    Kill(usize),
    Start(usize),
    Assign(usize),
    Learn(usize),
    Store(StoreMode),
    Searcher(SearcherMode),
}

fn start() -> impl Strategy<Value = Start> {
    prop_oneof![Just(Start::Now), Just(Start::Later)]
}

/// Generates the transitions. The reference state is the seed of the [`World`].
struct Generator;

impl ReferenceStateMachine for Generator {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        let daemon = 0..DAEMON_COUNT;
        let numbering = prop_oneof![9 => Just(Numbering::Counted), 1 => Just(Numbering::Unstated)];
        let ahead = prop_oneof![9 => Just(0_u64), 1 => Just(60_500_u64)];
        let store = prop_oneof![
            Just(StoreMode::Up),
            Just(StoreMode::Down),
            Just(StoreMode::Slow),
            Just(StoreMode::Lossy)
        ];
        let searcher = prop_oneof![Just(SearcherMode::Good), Just(SearcherMode::Faulty)];
        let body = prop_oneof![9 => Just(0_usize), 1 => Just(1_usize)];
        let wait = prop_oneof![8 => 1..500_u64, 2 => 500..6_000_u64, 1 => 6_000..40_000_u64];
        prop_oneof![
            4 => (daemon.clone(), ahead, numbering, start()).prop_map(
                |(daemon, ahead_ms, numbering, start)| Transition::Create {
                    daemon, ahead_ms, numbering, start,
                }
            ),
            8 => (0..4_usize, body, daemon.clone(), start()).prop_map(
                |(request, body, daemon, start)| Transition::Repeat {
                    request, body, daemon, start,
                }
            ),
            8 => (1..40_u32).prop_map(Transition::Steps),
            5 => wait.prop_map(Transition::Wait),
            4 => (daemon.clone(), 1..30_000_u64)
                .prop_map(|(daemon, ms)| Transition::Pause { daemon, ms }),
            1 => daemon.clone().prop_map(Transition::Kill),
            2 => daemon.clone().prop_map(Transition::Start),
            2 => daemon.clone().prop_map(Transition::Assign),
            3 => daemon.prop_map(Transition::Learn),
            2 => store.prop_map(Transition::Store),
            1 => searcher.prop_map(Transition::Searcher),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Transition) -> u64 {
        state
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Generator;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, transition: Transition) -> World {
        match transition {
            Transition::Create { daemon, ahead_ms, numbering, start } => {
                let request = world.create(ahead_ms, numbering);
                world.submit(request, 0, daemon, start);
            }
            // The index counts from the newest request, so that repeats meet caller attempts
            // that are still in progress.
            Transition::Repeat { request, body, daemon, start } => {
                if let Some(request) = world.requests.len().checked_sub(request + 1) {
                    world.submit(request, body, daemon, start);
                }
            }
            Transition::Steps(count) => {
                let end = world.now_ms + 1_000;
                for _ in 0..count {
                    world.step(end);
                }
            }
            Transition::Wait(ms) => world.run_for(ms),
            Transition::Pause { daemon, ms } => world.pause(daemon, ms),
            Transition::Kill(daemon) => world.kill(daemon),
            Transition::Start(daemon) => world.start(daemon),
            Transition::Assign(owner) => world.assign(owner),
            Transition::Learn(daemon) => world.learn(daemon),
            Transition::Store(mode) => world.store_mode = mode,
            Transition::Searcher(mode) => world.searcher_mode = mode,
        }
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        check_histories(world);
    }

    fn teardown(mut world: World, _: u64) {
        world.end_faults();
        check_histories(&world);
        for submission in world.submissions.iter().filter(|submission| world.is_alive(submission)) {
            assert_eq!(submission.answers.len(), 1, "a caller was not answered");
        }
        // Without faults, every daemon can get a new request run.
        let first = world.submissions.len();
        for daemon in 0..DAEMON_COUNT {
            let request = world.create(0, Numbering::Counted);
            world.submit(request, 0, daemon, Start::Now);
        }
        world.run_and_learn(5_000);
        check_histories(&world);
        for submission in &world.submissions[first..] {
            let done = matches!(submission.answers[..], [Answer::Done(_)]);
            assert!(done, "no progress after faults: {:?}", submission.answers);
        }
        report(&world);
    }
}

/// Checks that each request ran at most once, that no caller attempt ran up to the one that was
/// answered "not run", and that "done" came with the result of the run.
fn check_histories(world: &World) {
    for request in &world.requests {
        let runs: usize = request.histories.iter().map(|history| history.runs.len()).sum();
        assert!(runs <= 1, "{runs} runs of {:?}", request.key);
        for history in &request.histories {
            for (attempt, _) in &history.runs {
                let told = history.not_run;
                assert!(
                    told.is_none_or(|told| told < *attempt),
                    "caller attempt {attempt} ran, but {told:?} was answered \"not run\""
                );
            }
            for answer in &history.done {
                let matches = history.runs.iter().any(|(_, result)| match answer {
                    Answer::Done(told) => told == result,
                    Answer::DoneOmitted(told) => *told == BodyDigest::of(result),
                    Answer::NotRun(_) | Answer::Unknown(_) => false,
                });
                assert!(matches, "{answer:?} is not the result of the run");
            }
        }
    }
}

fn report(world: &World) {
    let runs: usize = world
        .requests
        .iter()
        .flat_map(|request| &request.histories)
        .map(|history| history.runs.len())
        .sum();
    for submission in &world.submissions {
        for answer in &submission.answers {
            let kind = match answer {
                Answer::Done(_) | Answer::DoneOmitted(_) => 0,
                Answer::NotRun(_) => 1,
                Answer::Unknown(_) => 2,
            };
            ANSWERS[kind].fetch_add(1, Ordering::Relaxed);
        }
    }
    let cases = CASES.fetch_add(1, Ordering::Relaxed) + 1;
    let steps = STEPS.fetch_add(world.steps, Ordering::Relaxed) + world.steps;
    let runs = RUNS.fetch_add(runs as u64, Ordering::Relaxed) + runs as u64;
    if cases.is_multiple_of(50) {
        let [done, not_run, unknown] = ANSWERS.each_ref().map(|n| n.load(Ordering::Relaxed));
        println!(
            "{cases} cases, {steps} steps, {runs} runs; answers: {done} done, \
             {not_run} not run, {unknown} unknown"
        );
    }
}

/// `CLAIMS_FUZZ_CASES` and `CLAIMS_FUZZ_SEED` override the fixed values.
fn config() -> Config {
    let number = |name, otherwise| match std::env::var(name) {
        Ok(text) => text.parse().unwrap(),
        Err(_) => otherwise,
    };
    Config {
        cases: number("CLAIMS_FUZZ_CASES", 200) as u32,
        rng_seed: RngSeed::Fixed(number("CLAIMS_FUZZ_SEED", 47)),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    // A request must not run twice, and no caller attempt up to one that was answered "not run"
    // may run. Both could happen when daemons pause or restart, the owner changes, or calls to
    // the store and between daemons are lost, late or repeated.
    #[test]
    fn claims_hold_under_faults(sequential 20..150 => Fuzz);
}
