//! Runs random histories of several queries against an oracle, which records the inputs and
//! actions of the router and checks each answer against them.

mod common;
mod oracle;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::oracle::Oracle;
use self::oracle::Warmup;
use tt_routing::Mode;
use tt_routing::Policy;
use tt_routing::StatusReport;

/// One step of a history. A `pick` is taken modulo the number of candidates.
#[derive(Debug, Clone)]
enum Step {
    Start { service: u32, mode: Mode, named: Vec<u32>, ms: u64 },
    Reply { pick: usize, kind: ReplyKind, queued: u32 },
    Advance { us: u64 },
    Cancel { pick: usize },
    ReportStatus { searcher: u32, report: StatusReport },
    SetHeldSnapshots { searcher: u32, held: Vec<u64> },
    SetHeldEverywhere { held: Vec<u64> },
    ReplyWithUnknownKey { pick: usize },
}

/// The variants of [`tt_routing::AttemptOutcome`], and an answer from another snapshot.
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

/// The start of a history. The reference state machine keeps no further state, because the
/// oracle derives its own from the router's actions.
#[derive(Debug, Clone)]
struct History {
    policy: Policy,
    warmup: Warmup,
}

impl ReferenceStateMachine for History {
    type State = History;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<History> {
        let policy = prop_oneof![4 => Just(Policy::Adaptive), 1 => Just(Policy::Baseline)];
        let warmup = prop_oneof![Just(Warmup::None), Just(Warmup::Samples)];
        (policy, warmup).prop_map(|(policy, warmup)| History { policy, warmup }).boxed()
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
        let report = prop_oneof![
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
            6 => (0..40_000u64).prop_map(|us| Step::Advance { us }),
            1 => (1_000_000..20_000_000u64).prop_map(|us| Step::Advance { us }),
            1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
            1 => (0..10u32, report)
                .prop_map(|(searcher, report)| Step::ReportStatus { searcher, report }),
            3 => (0..10u32, prop::collection::vec(4..9u64, 0..4))
                .prop_map(|(searcher, held)| Step::SetHeldSnapshots { searcher, held }),
            1 => prop::collection::vec(4..9u64, 1..3)
                .prop_map(|held| Step::SetHeldEverywhere { held }),
            1 => any::<usize>().prop_map(|pick| Step::ReplyWithUnknownKey { pick }),
        ]
        .boxed()
    }

    fn apply(state: History, _: &Step) -> History {
        state
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = Oracle;
    type Reference = History;

    fn init_test(state: &History) -> Oracle {
        Oracle::new(state.policy, state.warmup)
    }

    fn apply(mut oracle: Oracle, _: &History, step: Step) -> Oracle {
        match step {
            Step::Start { service, mode, named, ms } => oracle.start(service, mode, &named, ms),
            Step::Reply { pick, kind, queued } => oracle.reply(pick, kind, queued),
            Step::Advance { us } => oracle.advance(Duration::from_micros(us)),
            Step::Cancel { pick } => oracle.cancel(pick),
            Step::ReportStatus { searcher, report } => oracle.report_status(searcher, report),
            Step::SetHeldSnapshots { searcher, held } => oracle.set_held_snapshots(searcher, &held),
            Step::SetHeldEverywhere { held } => oracle.set_held_everywhere(&held),
            Step::ReplyWithUnknownKey { pick } => oracle.reply_with_unknown_key(pick),
        }
        oracle
    }

    fn check_invariants(oracle: &Oracle, _: &History) {
        oracle.check();
    }

    fn teardown(mut oracle: Oracle, _: History) {
        oracle.advance(Duration::from_secs(1));
        oracle.check_idle();
    }
}

fn config() -> Config {
    // A long run sets the number of histories, for example PROPTEST_CASES=10000.
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

    /// Guards against answers that break an invariant under some order of replies, wake-ups
    /// and status reports: all results are of one snapshot and of the query itself, the
    /// coverage lists are correct and complete, "not run" is reported only if nothing ran,
    /// a non-idempotent sub-query runs at most once, and each query has one answer by its
    /// deadline. Extra attempts stay within the budget, and none goes to a leaving searcher.
    #[test]
    fn answers_are_true_in_every_history(sequential 1..200 => Fuzz);
}
