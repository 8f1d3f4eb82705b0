//! Single faults and the outcome that is expected of each. Every step of the simulation also checks
//! the limits of the searchers.

use crate::simulation::End;
use crate::simulation::Pause;
use crate::simulation::Simulation;
use crate::store::Mode;

const LIMITS: [(u32, u32); 6] = [(2, 5), (1, 3), (3, 7), (4, 9), (2, 5), (3, 6)];

/// A tier whose owners can use their searchers fully.
fn tier(vms: usize) -> Simulation {
    let mut sim = Simulation::new(vms, &LIMITS, 1);
    sim.advance(40_000);
    assert_eq!(sim.unusable(), Vec::<String>::new());
    sim
}

fn assert_usable_after(mut sim: Simulation, ms: u64) {
    sim.advance(ms);
    assert_eq!(sim.unusable(), Vec::<String>::new());
}

// Guards against a new tier in which no epoch is proposed or some half is never taken.
#[test]
fn a_new_tier_uses_all_slots() {
    for vms in [1, 2, 5] {
        tier(vms);
    }
}

// Guards against a successor that doesn't use its half while the owner is paused, and against an
// owner that still uses its lease after the pause.
#[test]
fn the_successor_uses_its_half_when_the_owner_is_paused() {
    for pause in [Pause::Process, Pause::Vm] {
        let mut sim = tier(5);
        let (owner, successor) = sim.pair(0);
        assert_eq!(sim.slots(successor, 0), (0, 0));
        sim.pause(owner, pause);
        sim.advance(1_900);
        assert_eq!(sim.slots(successor, 0), (0, 0), "the lease is still valid");
        sim.advance(1_200);
        assert_eq!(sim.slots(successor, 0), (1, 0));
        sim.resume(owner);
        sim.advance(10);
        assert_eq!(sim.slots(owner, 0).0, 1);
        assert_usable_after(sim, 10_000);
    }
}

// Guards against sub-queries that a paused process sends late and a searcher accepts. The deadline
// has to come from the time of the lease request: one computed when a suspended VM resumes would
// still be in the future.
#[test]
fn a_searcher_refuses_what_a_paused_owner_sends_late() {
    let mut sim = tier(5);
    let before = sim.refused();
    for _ in 0..20 {
        let (owner, _) = sim.pair(0);
        sim.pause(owner, Pause::Vm);
        sim.advance(6_000);
        sim.resume(owner);
        sim.advance(2_000);
    }
    assert!(sim.refused() > before);
    assert_usable_after(sim, 10_000);
}

// Guards against a restarted process that uses the halves of the process before it.
#[test]
fn a_restarted_owner_holds_nothing_at_first() {
    let mut sim = tier(5);
    let (owner, successor) = sim.pair(0);
    sim.end(owner, End::Crash);
    sim.advance(1_000);
    sim.start(owner);
    sim.advance(1_000);
    assert_eq!(sim.slots(owner, 0), (0, 0));
    sim.advance(3_000);
    assert_eq!(sim.slots(successor, 0), (1, 0));
    assert_usable_after(sim, 15_000);
}

// Guards against slots that stay lost with a VM, and against taking them over before the list
// of daemons shows that the VM is gone.
#[test]
fn a_lost_vm_is_replaced_after_the_list_drops_it() {
    let mut sim = tier(5);
    let (owner, successor) = sim.pair(0);
    sim.end(owner, End::VmLost);
    sim.advance(5_000);
    assert_eq!(sim.slots(successor, 0), (1, 0));
    sim.advance(20_000);
    let new_owner = sim.pair(0).0;
    assert_ne!(new_owner, owner);
    let all: u32 = (0..5).map(|vm| sim.slots(vm, 0).0).sum();
    assert_eq!(all, 1, "the upper half of a lost owner was taken too early");
    assert_usable_after(sim, 45_000);
}

// Guards against a replaced VM that is taken for the one before it at the same address.
#[test]
fn a_reused_address_is_a_new_member() {
    let mut sim = tier(5);
    let (owner, _) = sim.pair(0);
    sim.end(owner, End::VmLost);
    sim.advance(2_000);
    sim.start(owner);
    assert_usable_after(sim, 20_000);
}

// Guards against a successor that needs the store to go on serving after the loss of the owner.
#[test]
fn the_successor_serves_during_a_store_outage() {
    let mut sim = tier(5);
    sim.store.mode = Mode::Down;
    let epoch = sim.epoch();
    let (owner, successor) = sim.pair(0);
    sim.end(owner, End::VmLost);
    sim.advance(60_000);
    assert_eq!(sim.epoch(), epoch);
    assert_eq!(sim.slots(successor, 0), (1, 0));
    sim.store.mode = Mode::Up;
    assert_usable_after(sim, 30_000);
}

// Guards against members that remove each other during a partition: the small side must not change
// the assignment, and the large side must not take halves that the small side may still use.
#[test]
fn a_partition_takes_nothing_from_the_cut_off_side() {
    let mut sim = tier(5);
    let (owner, successor) = sim.pair(0);
    sim.groups = (0..5).map(|vm| u8::from(vm == owner)).collect();
    sim.advance(40_000);
    assert_eq!(sim.slots(owner, 0), (1, 0));
    assert_eq!(sim.slots(successor, 0), (1, 0));
    sim.heal();
    assert_usable_after(sim, 40_000);
}

// Guards against the removal of many members at once: two of five are more than a third, which is
// treated as a partition.
#[test]
fn many_losses_at_once_change_no_epoch() {
    let mut sim = tier(5);
    let epoch = sim.epoch();
    sim.end(0, End::Crash);
    sim.end(1, End::Crash);
    sim.advance(60_000);
    assert_eq!(sim.epoch(), epoch);
    sim.start(0);
    sim.start(1);
    assert_usable_after(sim, 30_000);
}

// Guards against flapping: a link that fails for a few seconds at a time must not cause epochs.
#[test]
fn short_link_failures_change_no_epoch() {
    let mut sim = tier(5);
    let epoch = sim.epoch();
    for _ in 0..5 {
        sim.groups = vec![0, 0, 1, 0, 0];
        sim.advance(8_000);
        sim.groups = vec![0; 5];
        sim.advance(8_000);
    }
    assert_eq!(sim.epoch(), epoch);
    assert_usable_after(sim, 5_000);
}

// Guards against a planned stop that leaves slots unused for longer than a lease, although the
// leaving member still runs and could hand them over.
#[test]
fn a_leaving_member_hands_over_while_it_serves() {
    let mut sim = tier(5);
    let (owner, _) = sim.pair(0);
    sim.leave(owner);
    sim.advance(15_000);
    assert_ne!(sim.pair(0).0, owner);
    assert_eq!(sim.held(owner), 0);
    assert_eq!(sim.unusable(), Vec::<String>::new());
    sim.end(owner, End::VmLost);
    assert_usable_after(sim, 5_000);
}

// Guards against two values for one epoch and against a proposer that stops proposing after a lost
// reply.
#[test]
fn members_change_with_a_store_that_loses_replies() {
    let mut sim = tier(5);
    sim.store.mode = Mode::Flaky;
    for vm in [0, 3, 1] {
        sim.end(vm, End::Crash);
        sim.advance(3_000);
        sim.start(vm);
        sim.advance(40_000);
    }
    sim.heal();
    assert_usable_after(sim, 40_000);
}
