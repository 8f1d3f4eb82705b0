//! Random sequences of faults. The checks count slots and connections in use at the searchers
//! by true time, so they share no logic with the code under test.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::simulation::End;
use crate::simulation::Pause;
use crate::simulation::Simulation;
use crate::store::Mode;

const VM_COUNT: usize = 5;
/// The slots and the connections of each searcher.
const LIMITS: [(u32, u32); 6] = [(2, 5), (1, 3), (3, 7), (4, 9), (2, 5), (3, 6)];
/// A lost VM disappears from all replicas of the list within 10 s and counts as gone 30 s and
/// three reads later; its halves are free after a hold-off of 5 s; a member that recovers rejoins
/// after 10 s.
const RECOVERY_MS: u64 = 90_000;
/// A VM that was lost before an epoch recorded that it was listed counts as gone after 300 s.
const LONG_RECOVERY_MS: u64 = 330_000;

#[derive(Debug, Clone)]
enum Transition {
    Advance(u64),
    Pause(usize, Pause),
    Resume(usize),
    End(usize, End),
    Start(usize),
    Leave(usize),
    Partition([u8; VM_COUNT]),
    StoreInGroup(u8),
    Network { loss: f64, delay_ms: u64 },
    Store(Mode),
    Heal,
}

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
}

impl ReferenceStateMachine for Plan {
    type State = Plan;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Plan> {
        any::<u64>().prop_map(|seed| Plan { seed }).boxed()
    }

    fn transitions(_: &Plan) -> BoxedStrategy<Transition> {
        let vm = || 0..VM_COUNT;
        let end = prop_oneof![Just(End::Crash), Just(End::VmLost)];
        let pause = prop_oneof![Just(Pause::Process), Just(Pause::Vm)];
        let mode = prop_oneof![Just(Mode::Up), Just(Mode::Down), Just(Mode::Flaky)];
        let network = (0..3usize, 0..4usize).prop_map(|(loss, delay)| Transition::Network {
            loss: [0.0, 0.1, 0.4][loss],
            delay_ms: [2, 50, 400, 4_000][delay],
        });
        prop_oneof![
            8 => (100..1_500u64).prop_map(Transition::Advance),
            6 => (1_500..12_000u64).prop_map(Transition::Advance),
            3 => (vm(), pause).prop_map(|(vm, pause)| Transition::Pause(vm, pause)),
            4 => vm().prop_map(Transition::Resume),
            3 => (vm(), end).prop_map(|(vm, end)| Transition::End(vm, end)),
            4 => vm().prop_map(Transition::Start),
            1 => vm().prop_map(Transition::Leave),
            1 => prop::array::uniform5(0..2u8).prop_map(Transition::Partition),
            1 => (0..2u8).prop_map(Transition::StoreInGroup),
            2 => network,
            2 => mode.prop_map(Transition::Store),
            1 => Just(Transition::Heal),
        ]
        .boxed()
    }

    fn apply(state: Plan, _: &Transition) -> Plan {
        state
    }
}

struct Tier;

impl StateMachineTest for Tier {
    type SystemUnderTest = Simulation;
    type Reference = Plan;

    fn init_test(plan: &Plan) -> Simulation {
        Simulation::new(VM_COUNT, &LIMITS, plan.seed)
    }

    fn apply(mut sim: Simulation, _: &Plan, transition: Transition) -> Simulation {
        match transition {
            Transition::Advance(ms) => sim.advance(ms),
            Transition::Pause(vm, pause) => sim.pause(vm, pause),
            Transition::Resume(vm) => sim.resume(vm),
            Transition::End(vm, end) => sim.end(vm, end),
            Transition::Start(vm) => sim.start(vm),
            Transition::Leave(vm) => sim.leave(vm),
            Transition::Partition(groups) => sim.groups = groups.to_vec(),
            Transition::StoreInGroup(group) => sim.store_group = Some(group),
            Transition::Network { loss, delay_ms } => {
                sim.loss = loss;
                sim.delay_ms = delay_ms;
            }
            Transition::Store(mode) => sim.store.mode = mode,
            Transition::Heal => sim.heal(),
        }
        sim
    }

    fn teardown(mut sim: Simulation, _: Plan) {
        sim.heal();
        // A VM starts a process again that stopped or crashed; a lost VM isn't replaced.
        for vm in 0..VM_COUNT {
            if sim.is_leaving(vm) {
                sim.end(vm, End::Crash);
            }
            if sim.vms[vm].exists {
                sim.start(vm);
            }
        }
        if sim.vms.iter().all(|vm| vm.process.is_none()) {
            sim.start(0);
        }
        sim.advance(RECOVERY_MS);
        if sim.has_lost_unlisted() {
            sim.advance(LONG_RECOVERY_MS);
        }
        let unusable = sim.unusable();
        assert!(unusable.is_empty(), "not usable after all faults ended: {unusable:#?}");
    }
}

fn cases() -> u32 {
    let value = std::env::var("TT_FUZZ_CASES").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(20)
}

fn shrinks() -> u32 {
    let value = std::env::var("TT_FUZZ_SHRINKS").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(60)
}

fn seed() -> u64 {
    let value = std::env::var("TT_FUZZ_SEED").ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(20_261_204)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        max_shrink_iters: shrinks(),
        ..ProptestConfig::default()
    })]

    // Guards against more slots or connections in use than a searcher has, two different values
    // for one epoch, an epoch that goes back, and searchers that their owners can't use fully
    // after all faults have ended.
    #[test]
    fn limits_hold_under_random_faults(sequential 10..60 => Tier);
}
