//! Stateful fuzz of claimants and partition owners. The oracle only counts runs at the
//! searcher and compares them with what callers were told.

mod common;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use common::world::DAEMONS;
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

static HISTORIES: AtomicU64 = AtomicU64::new(0);
static STEPS: AtomicU64 = AtomicU64::new(0);
static RUNS: AtomicU64 = AtomicU64::new(0);
/// Answers by kind: done, not run, unknown.
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

struct Plan;

impl ReferenceStateMachine for Plan {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        let daemon = 0..DAEMONS;
        let numbering = prop_oneof![9 => Just(Numbering::Counted), 1 => Just(Numbering::Unstated)];
        let ahead = prop_oneof![9 => Just(0_u64), 1 => Just(60_500_u64)];
        let store = prop_oneof![
            Just(StoreMode::Up),
            Just(StoreMode::Down),
            Just(StoreMode::Slow),
            Just(StoreMode::Losing)
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
    type Reference = Plan;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, transition: Transition) -> World {
        match transition {
            Transition::Create { daemon, ahead_ms, numbering, start } => {
                let request = world.create(ahead_ms, numbering);
                world.submit(request, 0, daemon, start);
            }
            // Counted from the newest, so that repeats meet attempts that are in flight.
            Transition::Repeat { request, body, daemon, start } => {
                if let Some(request) = world.requests.len().checked_sub(request + 1) {
                    world.submit(request, body, daemon, start);
                }
            }
            Transition::Steps(count) => {
                let end = world.t + 1_000;
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
        check_tales(world);
    }

    fn teardown(mut world: World, _: u64) {
        world.heal();
        check_tales(&world);
        for sub in world.subs.iter().filter(|sub| world.is_alive(sub)) {
            assert_eq!(sub.answers.len(), 1, "a caller was not answered");
        }
        // Progress: every daemon gets a new request run.
        let first = world.subs.len();
        for daemon in 0..DAEMONS {
            let request = world.create(0, Numbering::Counted);
            world.submit(request, 0, daemon, Start::Now);
        }
        world.run_and_learn(5_000);
        check_tales(&world);
        for sub in &world.subs[first..] {
            let done = matches!(sub.answers[..], [Answer::Done(_)]);
            assert!(done, "no progress after faults: {:?}", sub.answers);
        }
        report(&world);
    }
}

/// At most one run; "not run" is true of every attempt up to the one that was told so;
/// "done" carries the result of the run.
fn check_tales(world: &World) {
    for request in &world.requests {
        let runs: usize = request.tales.iter().map(|tale| tale.runs.len()).sum();
        assert!(runs <= 1, "{runs} runs of {:?}", request.key);
        for tale in &request.tales {
            for (attempt, _) in &tale.runs {
                let told = tale.not_run;
                assert!(
                    told.is_none_or(|told| told < *attempt),
                    "attempt {attempt} ran and {told:?} was told that it did not"
                );
            }
            for answer in &tale.done {
                let matches = tale.runs.iter().any(|(_, result)| match answer {
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
    let runs: usize =
        world.requests.iter().flat_map(|request| &request.tales).map(|tale| tale.runs.len()).sum();
    for sub in &world.subs {
        for answer in &sub.answers {
            let kind = match answer {
                Answer::Done(_) | Answer::DoneOmitted(_) => 0,
                Answer::NotRun(_) => 1,
                Answer::Unknown(_) => 2,
            };
            ANSWERS[kind].fetch_add(1, Ordering::Relaxed);
        }
    }
    let histories = HISTORIES.fetch_add(1, Ordering::Relaxed) + 1;
    let steps = STEPS.fetch_add(world.steps, Ordering::Relaxed) + world.steps;
    let runs = RUNS.fetch_add(runs as u64, Ordering::Relaxed) + runs as u64;
    if histories.is_multiple_of(50) {
        let [done, not_run, unknown] = ANSWERS.each_ref().map(|n| n.load(Ordering::Relaxed));
        println!(
            "{histories} histories, {steps} steps, {runs} runs; answers: {done} done, \
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

    // Guards invariants 4 and 5: "not run" is always true and nothing runs twice.
    #[test]
    fn claims_hold_under_faults(sequential 20..150 => Fuzz);
}
