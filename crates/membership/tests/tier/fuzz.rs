//! Random histories of faults. The searchers count slots and connections by true time, so
//! the oracle shares no logic with the code.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::store::Mode;
use crate::world::End;
use crate::world::Pause;
use crate::world::World;

const SITES: usize = 5;
/// Slots and connections of each searcher.
const LIMITS: [(u32, u32); 6] = [(2, 5), (1, 3), (3, 7), (4, 9), (2, 5), (3, 6)];
/// Absent VMs are dropped from the list after 10 s, count as gone 30 s and three reads
/// later, are held off for 5 s, and a member that came back joins after 10 s.
const RECOVERY_MS: u64 = 90_000;
/// A VM that was lost before an epoch said that it is listed counts as gone after 300 s.
const LONG_RECOVERY_MS: u64 = 330_000;

#[derive(Debug, Clone)]
enum Transition {
    Advance(u64),
    Pause(usize, Pause),
    Resume(usize),
    End(usize, End),
    Start(usize),
    Leave(usize),
    Partition([u8; SITES]),
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
        let site = || 0..SITES;
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
            3 => (site(), pause).prop_map(|(site, pause)| Transition::Pause(site, pause)),
            4 => site().prop_map(Transition::Resume),
            3 => (site(), end).prop_map(|(site, end)| Transition::End(site, end)),
            4 => site().prop_map(Transition::Start),
            1 => site().prop_map(Transition::Leave),
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
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test(plan: &Plan) -> World {
        World::new(SITES, &LIMITS, plan.seed)
    }

    fn apply(mut world: World, _: &Plan, transition: Transition) -> World {
        match transition {
            Transition::Advance(ms) => world.advance(ms),
            Transition::Pause(site, pause) => world.pause(site, pause),
            Transition::Resume(site) => world.resume(site),
            Transition::End(site, end) => world.end(site, end),
            Transition::Start(site) => world.start(site),
            Transition::Leave(site) => world.leave(site),
            Transition::Partition(groups) => world.groups = groups.to_vec(),
            Transition::StoreInGroup(group) => world.store_group = Some(group),
            Transition::Network { loss, delay_ms } => {
                world.loss = loss;
                world.delay_ms = delay_ms;
            }
            Transition::Store(mode) => world.store.mode = mode,
            Transition::Heal => world.heal(),
        }
        world
    }

    fn teardown(mut world: World, _: Plan) {
        world.heal();
        // A process that stopped or crashed is started again by its VM; a lost VM is not
        // replaced.
        for site in 0..SITES {
            if world.is_leaving(site) {
                world.end(site, End::Crash);
            }
            if world.sites[site].vm {
                world.start(site);
            }
        }
        if world.sites.iter().all(|site| site.process.is_none()) {
            world.start(0);
        }
        world.advance(RECOVERY_MS);
        if world.lost_unlisted() {
            world.advance(LONG_RECOVERY_MS);
        }
        let unusable = world.unusable();
        assert!(unusable.is_empty(), "not usable after all faults ended: {unusable:#?}");
    }
}

fn cases() -> u32 {
    let set = std::env::var("TT_FUZZ_CASES").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(20)
}

fn shrinks() -> u32 {
    let set = std::env::var("TT_FUZZ_SHRINKS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(60)
}

fn seed() -> u64 {
    let set = std::env::var("TT_FUZZ_SEED").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(20_261_204)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        max_shrink_iters: shrinks(),
        ..ProptestConfig::default()
    })]

    // Guards against more slots or connections in use than a searcher has, two values of
    // one epoch, an epoch that goes back, and ownership that is stuck after faults.
    #[test]
    fn limits_hold_under_random_faults(sequential 10..60 => Tier);
}
