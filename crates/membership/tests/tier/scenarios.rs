//! Single faults with the outcome that the design asks for. Every step of the world also
//! checks the limits of the searchers.

use crate::store::Mode;
use crate::world::End;
use crate::world::Pause;
use crate::world::World;

const LIMITS: [(u32, u32); 6] = [(2, 5), (1, 3), (3, 7), (4, 9), (2, 5), (3, 6)];

fn tier(sites: usize) -> World {
    let mut world = World::new(sites, &LIMITS, 1);
    world.advance(40_000);
    assert_eq!(world.unusable(), Vec::<String>::new());
    world
}

fn assert_usable_after(mut world: World, ms: u64) {
    world.advance(ms);
    assert_eq!(world.unusable(), Vec::<String>::new());
}

// Guards against a start in which no epoch is proposed or halves are never taken.
#[test]
fn a_new_tier_uses_all_slots() {
    for sites in [1, 2, 5] {
        tier(sites);
    }
}

// Guards against a successor that stays idle while the owner is paused, and against an
// owner that trusts its promise after the pause.
#[test]
fn the_successor_takes_its_half_when_the_owner_is_paused() {
    for pause in [Pause::Process, Pause::Vm] {
        let mut world = tier(5);
        let (owner, successor) = world.pair(0);
        assert_eq!(world.slots(successor, 0), (0, 0));
        world.pause(owner, pause);
        world.advance(1_900);
        assert_eq!(world.slots(successor, 0), (0, 0), "the promise is still valid");
        world.advance(1_200);
        assert_eq!(world.slots(successor, 0), (1, 0));
        world.resume(owner);
        world.advance(10);
        assert_eq!(world.slots(owner, 0).0, 1);
        assert_usable_after(world, 10_000);
    }
}

// Guards against late sends of a paused process that a searcher accepts: without the
// deadline from the time of the request, a VM that was suspended sends with a new one.
#[test]
fn a_searcher_refuses_what_a_paused_owner_sends_late() {
    let mut world = tier(5);
    let before = world.refused();
    for _ in 0..20 {
        let (owner, _) = world.pair(0);
        world.pause(owner, Pause::Vm);
        world.advance(6_000);
        world.resume(owner);
        world.advance(2_000);
    }
    assert!(world.refused() > before);
    assert_usable_after(world, 10_000);
}

// Guards against a restarted process that counts on the rights of the process before it.
#[test]
fn a_restarted_owner_starts_empty() {
    let mut world = tier(5);
    let (owner, successor) = world.pair(0);
    world.end(owner, End::Crash);
    world.advance(1_000);
    world.start(owner);
    world.advance(1_000);
    assert_eq!(world.slots(owner, 0), (0, 0));
    world.advance(3_000);
    assert_eq!(world.slots(successor, 0), (1, 0));
    assert_usable_after(world, 15_000);
}

// Guards against slots that are lost for good with a VM, and against taking them over
// before the platform has confirmed that the VM is gone.
#[test]
fn a_lost_vm_is_replaced_after_the_list_drops_it() {
    let mut world = tier(5);
    let (owner, successor) = world.pair(0);
    world.end(owner, End::VmLost);
    world.advance(5_000);
    assert_eq!(world.slots(successor, 0), (1, 0));
    world.advance(20_000);
    let now_owner = world.pair(0).0;
    assert_ne!(now_owner, owner);
    let all: u32 = (0..5).map(|site| world.slots(site, 0).0).sum();
    assert_eq!(all, 1, "the upper half of a lost owner was taken too early");
    assert_usable_after(world, 45_000);
}

// Guards against a replaced VM being mistaken for the one before at the same address.
#[test]
fn a_reused_address_is_a_new_member() {
    let mut world = tier(5);
    let (owner, _) = world.pair(0);
    world.end(owner, End::VmLost);
    world.advance(2_000);
    world.start(owner);
    assert_usable_after(world, 20_000);
}

// Guards against a loss that needs the store to be survived.
#[test]
fn the_successor_serves_during_a_store_outage() {
    let mut world = tier(5);
    world.store.mode = Mode::Down;
    let epoch = world.epoch();
    let (owner, successor) = world.pair(0);
    world.end(owner, End::VmLost);
    world.advance(60_000);
    assert_eq!(world.epoch(), epoch);
    assert_eq!(world.slots(successor, 0), (1, 0));
    world.store.mode = Mode::Up;
    assert_usable_after(world, 30_000);
}

// Guards against members that evict each other over a partition: the small side must not
// change anything, and the large side must not take what the small side may still use.
#[test]
fn a_partition_takes_nothing_from_the_cut_off_side() {
    let mut world = tier(5);
    let (owner, successor) = world.pair(0);
    world.groups = (0..5).map(|site| u8::from(site == owner)).collect();
    world.advance(40_000);
    assert_eq!(world.slots(owner, 0), (1, 0));
    assert_eq!(world.slots(successor, 0), (1, 0));
    world.heal();
    assert_usable_after(world, 40_000);
}

// Guards against mass eviction: two of five lost at once is more than a third.
#[test]
fn many_losses_at_once_change_no_epoch() {
    let mut world = tier(5);
    let epoch = world.epoch();
    world.end(0, End::Crash);
    world.end(1, End::Crash);
    world.advance(60_000);
    assert_eq!(world.epoch(), epoch);
    world.start(0);
    world.start(1);
    assert_usable_after(world, 30_000);
}

// Guards against flapping: a link that fails for some seconds now and then must not cause
// epochs.
#[test]
fn short_cuts_change_no_epoch() {
    let mut world = tier(5);
    let epoch = world.epoch();
    for _ in 0..5 {
        world.groups = vec![0, 0, 1, 0, 0];
        world.advance(8_000);
        world.groups = vec![0; 5];
        world.advance(8_000);
    }
    assert_eq!(world.epoch(), epoch);
    assert_usable_after(world, 5_000);
}

// Guards against a planned stop that leaves slots idle for longer than a promise.
#[test]
fn a_leaving_member_hands_over_while_it_serves() {
    let mut world = tier(5);
    let (owner, _) = world.pair(0);
    world.leave(owner);
    world.advance(15_000);
    assert_ne!(world.pair(0).0, owner);
    assert_eq!(world.held(owner), 0);
    assert_eq!(world.unusable(), Vec::<String>::new());
    world.end(owner, End::VmLost);
    assert_usable_after(world, 5_000);
}

// Guards against two winners of one epoch and against a proposer that stops after a lost
// reply.
#[test]
fn members_change_with_a_store_that_loses_replies() {
    let mut world = tier(5);
    world.store.mode = Mode::Flaky;
    for site in [0, 3, 1] {
        world.end(site, End::Crash);
        world.advance(3_000);
        world.start(site);
        world.advance(40_000);
    }
    world.heal();
    assert_usable_after(world, 40_000);
}
