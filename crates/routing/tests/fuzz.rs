//! Random histories of several queries against an oracle that keeps only what was told
//! to the router and what it sent, and checks each statement of an answer against that.

mod common;
mod oracle;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::oracle::Past;
use self::oracle::World;
use tt_routing::Mode;
use tt_routing::Policy;
use tt_routing::StatusReport;

/// What happens next. Numbers that pick something are taken modulo what there is.
#[derive(Debug, Clone)]
enum Step {
    Start { service: u32, mode: Mode, named: Vec<u32>, ms: u64 },
    Reply { pick: usize, kind: ReplyKind, queued: u32 },
    Pass { us: u64 },
    Cancel { pick: usize },
    Tell { searcher: u32, hint: StatusReport },
    Hold { searcher: u32, held: Vec<u64> },
    Publish { held: Vec<u64> },
    Forge { pick: usize },
}

/// The kinds of [`tt_routing::AttemptOutcome`].
#[derive(Debug, Clone, Copy)]
enum ReplyKind {
    Answer,
    OtherSnapshot,
    Shed,
    Draining,
    SnapshotGone,
    WrongShard,
    Refused,
    OwnerUnreachable,
    Failed,
}

/// The history needs no model of its own: the oracle learns from the actions.
#[derive(Debug, Clone)]
struct History {
    policy: Policy,
    past: Past,
}

impl ReferenceStateMachine for History {
    type State = History;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<History> {
        let policy = prop_oneof![4 => Just(Policy::Adaptive), 1 => Just(Policy::Baseline)];
        let past = prop_oneof![Just(Past::None), Just(Past::Busy)];
        (policy, past).prop_map(|(policy, past)| History { policy, past }).boxed()
    }

    fn transitions(_: &History) -> BoxedStrategy<Step> {
        let kind = prop_oneof![
            12 => Just(ReplyKind::Answer),
            1 => Just(ReplyKind::OtherSnapshot),
            2 => Just(ReplyKind::Shed),
            1 => Just(ReplyKind::Draining),
            2 => Just(ReplyKind::SnapshotGone),
            1 => Just(ReplyKind::WrongShard),
            1 => Just(ReplyKind::Refused),
            1 => Just(ReplyKind::OwnerUnreachable),
            2 => Just(ReplyKind::Failed),
        ];
        let mode = prop_oneof![3 => Just(Mode::Idempotent), 1 => Just(Mode::AtMostOnce)];
        let hint = prop_oneof![
            3 => Just(StatusReport::Ready),
            1 => Just(StatusReport::Cold),
            1 => Just(StatusReport::Leaving),
            1 => Just(StatusReport::Unhealthy)
        ];
        prop_oneof![
            4 => (0..2u32, mode, prop::collection::vec(0..8u32, 0..4), 1..400u64).prop_map(
                |(service, mode, named, ms)| Step::Start { service, mode, named, ms }
            ),
            16 => (any::<usize>(), kind, prop_oneof![6 => Just(0), 1 => 0..6u32])
                .prop_map(|(pick, kind, queued)| Step::Reply { pick, kind, queued }),
            6 => (0..40_000u64).prop_map(|us| Step::Pass { us }),
            1 => (1_000_000..20_000_000u64).prop_map(|us| Step::Pass { us }),
            1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
            1 => (0..10u32, hint).prop_map(|(searcher, hint)| Step::Tell { searcher, hint }),
            3 => (0..10u32, prop::collection::vec(4..9u64, 0..4))
                .prop_map(|(searcher, held)| Step::Hold { searcher, held }),
            1 => prop::collection::vec(4..9u64, 1..3).prop_map(|held| Step::Publish { held }),
            1 => any::<usize>().prop_map(|pick| Step::Forge { pick }),
        ]
        .boxed()
    }

    fn apply(state: History, _: &Step) -> History {
        state
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = History;

    fn init_test(state: &History) -> World {
        World::new(state.policy, state.past)
    }

    fn apply(mut world: World, _: &History, step: Step) -> World {
        match step {
            Step::Start { service, mode, named, ms } => world.start(service, mode, &named, ms),
            Step::Reply { pick, kind, queued } => world.reply(pick, kind, queued),
            Step::Pass { us } => world.pass(Duration::from_micros(us)),
            Step::Cancel { pick } => world.cancel(pick),
            Step::Tell { searcher, hint } => world.tell(searcher, hint),
            Step::Hold { searcher, held } => world.hold(searcher, &held),
            Step::Publish { held } => world.publish(&held),
            Step::Forge { pick } => world.forge(pick),
        }
        world
    }

    fn check_invariants(world: &World, _: &History) {
        world.check();
    }

    fn teardown(mut world: World, _: History) {
        world.pass(Duration::from_secs(1));
        world.check_idle();
    }
}

fn config() -> Config {
    // More histories for a long run: PROPTEST_CASES=10000.
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(0x7274),
        failure_persistence: None,
        max_shrink_iters: 4_096,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards the invariants of the answers: one snapshot, true and complete coverage lists,
    /// own results only, at most one run, a true "not run", one answer by the deadline, extra
    /// sub-queries within the budget, nothing sent to a leaving searcher.
    #[test]
    fn answers_are_true_in_every_history(sequential 1..200 => Fuzz);
}
