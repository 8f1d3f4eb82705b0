//! The choice of a searcher.

mod common;

use std::time::Duration;

use common::add;
use common::fleet;
use common::ms;

use tt_serve::Availability;
use tt_serve::Fleet;
use tt_serve::FleetSettings;
use tt_serve::PoolKey;
use tt_serve::SearcherKey;
use tt_serve::Time;

const PATIENCE: Duration = Duration::from_millis(30);

fn chosen(fleet: &mut Fleet, pool: PoolKey, now: Time) -> Option<SearcherKey> {
    fleet.choose(pool, &[], PATIENCE, now).map(|choice| choice.key)
}

// Guards against bytes between failure domains while a near searcher is free.
#[test]
fn a_near_searcher_is_preferred() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let near = add(&mut fleet, pool, "near", "home");
    add(&mut fleet, pool, "far", "away");
    for step in 0..10 {
        assert_eq!(chosen(&mut fleet, pool, ms(step)), Some(near));
    }
}

// Guards against sends to an address that another searcher has taken: each of them arrives at a
// pool that it is not meant for, and counts there as an extra send.
#[test]
fn a_searcher_whose_address_was_taken_is_never_chosen() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let moved = add(&mut fleet, pool, "moved", "home");
    fleet.record_moved(moved);
    assert_eq!(chosen(&mut fleet, pool, ms(60_000)), None);
    assert!(!fleet.is_served(pool, ms(60_000)));
}

// Guards against a searcher that is lost for good after one misleading answer.
#[test]
fn a_later_heartbeat_shows_that_the_address_is_still_its_own() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let searcher = add(&mut fleet, pool, "s", "home");
    fleet.record_moved(searcher);
    fleet.update(searcher, true, Time::ZERO, true);
    assert_eq!(chosen(&mut fleet, pool, ms(10)), Some(searcher));
}

// Guards against waiting for searchers that refuse connections: the shard is given up at once.
#[test]
fn a_searcher_that_refuses_connections_is_passed_over_for_a_while() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let down = add(&mut fleet, pool, "down", "home");
    fleet.record_unreachable(down, ms(0));
    assert_eq!(chosen(&mut fleet, pool, ms(10)), None);
    assert_eq!(chosen(&mut fleet, pool, ms(5000)), Some(down));
}

// Guards against starving a shard whose searchers are all suspect.
#[test]
fn a_failing_searcher_is_used_if_there_is_no_other() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let failing = add(&mut fleet, pool, "failing", "home");
    for _ in 0..5 {
        fleet.record_failure(failing, ms(0));
    }
    assert_eq!(chosen(&mut fleet, pool, ms(10)), Some(failing));
    let sound = add(&mut fleet, pool, "sound", "away");
    assert_eq!(chosen(&mut fleet, pool, ms(10)), Some(sound));
}

// Guards against sending to a searcher that pauses while its replica is free.
#[test]
fn a_searcher_with_an_old_request_is_avoided() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let paused = add(&mut fleet, pool, "paused", "home");
    let other = add(&mut fleet, pool, "other", "away");
    fleet.record_sent(paused, 1, ms(0));
    assert_eq!(chosen(&mut fleet, pool, ms(10)), Some(paused));
    assert_eq!(chosen(&mut fleet, pool, ms(31)), Some(other));
    fleet.record_ended(paused, 1);
    assert_eq!(chosen(&mut fleet, pool, ms(32)), Some(paused));
}

// Guards against work for a searcher that has slowed down, and against forgetting it for good.
#[test]
fn a_slow_searcher_is_avoided_until_the_memory_fades() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let slow = add(&mut fleet, pool, "slow", "home");
    let other = add(&mut fleet, pool, "other", "away");
    for _ in 0..4 {
        fleet.record_answer(slow, Some(9.0), ms(0));
    }
    assert_eq!(chosen(&mut fleet, pool, ms(10)), Some(other));
    assert_eq!(chosen(&mut fleet, pool, ms(30_000)), Some(slow));
}

// Guards against new work for a searcher that is leaving.
#[test]
fn a_draining_searcher_is_not_chosen() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let leaving = add(&mut fleet, pool, "leaving", "home");
    fleet.update(leaving, false, Time::ZERO, true);
    assert_eq!(chosen(&mut fleet, pool, ms(10)), None);
}

// Guards against sending on to a searcher that sheds or fails a part of its requests while it
// looks healthy: each such send costs one of the few extra ones.
#[test]
fn a_searcher_that_sheds_or_fails_now_and_then_is_avoided_for_a_while() {
    for shedding in [true, false] {
        let mut fleet = fleet();
        let pool = fleet.pool("pool");
        let grey = add(&mut fleet, pool, "grey", "home");
        let sound = add(&mut fleet, pool, "sound", "away");
        let mut now = ms(0);
        for round in 0..12 {
            now += ms(40);
            match (round % 2, shedding) {
                (0, true) => fleet.record_shed(grey, now),
                (0, false) => fleet.record_failure(grey, now),
                _ => fleet.record_answer(grey, Some(1.0), now),
            }
        }
        now += ms(100);
        assert_eq!(chosen(&mut fleet, pool, now), Some(sound), "{shedding}");
        assert_eq!(chosen(&mut fleet, pool, now + ms(40_000)), Some(grey), "{shedding}");
    }
}

// Guards against losing a near searcher over a single refusal.
#[test]
fn a_searcher_that_shed_once_is_used_again_soon() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let near = add(&mut fleet, pool, "near", "home");
    add(&mut fleet, pool, "far", "away");
    fleet.record_shed(near, ms(0));
    assert_eq!(chosen(&mut fleet, pool, ms(3500)), Some(near));
}

// Guards against a status that names another reason than the one that keeps requests away.
#[test]
fn the_status_tells_why_a_searcher_gets_no_requests() {
    let mut fleet = fleet();
    let pool = fleet.pool("pool");
    let keys: Vec<_> =
        ["a", "b", "c", "d", "e"].map(|id| add(&mut fleet, pool, id, "home")).into_iter().collect();
    let settings = FleetSettings::default();
    fleet.record_shed(keys[1], ms(0));
    fleet.record_unreachable(keys[2], ms(0));
    fleet.record_moved(keys[3]);
    fleet.update(keys[4], false, Time::ZERO, true);
    let status = fleet.status(ms(0));
    let seen: Vec<Availability> = status.iter().map(|it| it.availability).collect();
    let expect = [
        Availability::Used,
        Availability::Ejected(settings.shed_period),
        Availability::Unreachable(settings.unreachable_period),
        Availability::Moved,
        Availability::Leaving,
    ];
    assert_eq!(seen, expect);
    assert!(status.iter().all(|it| it.pool == "pool"));
}
