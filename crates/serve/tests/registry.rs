//! Applying listings of searchers to the fleet.

mod common;

use common::fleet;
use common::ms;
use common::record;

use tt_serve::EarlierReads;
use tt_serve::Fleet;
use tt_serve::PoolRole;
use tt_serve::Registry;
use tt_serve::RegistrySettings;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;

fn has_open(fleet: &mut Fleet) -> bool {
    let pool = fleet.pool("pool");
    fleet.has_open(pool, ms(0))
}

fn registry() -> Registry {
    Registry::new(RegistrySettings::default())
}

// Guards against requests to a searcher that has left.
#[test]
fn a_searcher_that_is_no_longer_listed_is_removed() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![record("s", 1)], EarlierReads::default(), ms(0));
    assert!(has_open(&mut fleet));
    registry.adopt(&mut fleet, Vec::new(), EarlierReads::default(), ms(1000));
    assert!(!has_open(&mut fleet));
}

// Guards against removing running searchers whose registrations lapsed in an outage of the store,
// and against keeping those that are still not listed after the grace period.
#[test]
fn a_lapsed_registration_is_kept_for_a_while_after_an_outage() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![record("s", 1)], EarlierReads::default(), ms(0));
    let restored = EarlierReads { restored_at: Some(ms(9000)), ..EarlierReads::default() };
    registry.adopt(&mut fleet, Vec::new(), restored, ms(9000));
    assert!(has_open(&mut fleet));
    registry.adopt(&mut fleet, Vec::new(), restored, ms(11_000));
    assert!(has_open(&mut fleet));
    registry.adopt(&mut fleet, Vec::new(), restored, ms(11_400));
    assert!(!has_open(&mut fleet));
}

// Guards against a delayed heartbeat that overwrites a later one.
#[test]
fn an_earlier_heartbeat_does_not_undo_a_drain() {
    let (mut fleet, mut registry) = (fleet(), registry());
    let drained = SearcherRecord { state: SearcherState::Draining, ..record("s", 5) };
    registry.adopt(&mut fleet, vec![drained], EarlierReads::default(), ms(0));
    registry.adopt(&mut fleet, vec![record("s", 4)], EarlierReads::default(), ms(1000));
    assert!(!has_open(&mut fleet));
    let older = SearcherRecord { started_unix_ms: Some(900), ..record("s", 9) };
    registry.adopt(&mut fleet, vec![older], EarlierReads::default(), ms(2000));
    assert!(!has_open(&mut fleet));
}

// Guards against a searcher that stays known as it was, its drain included, because it has started
// again after the time of day of its machine had gone back (review, "restart").
#[test]
fn a_restart_with_an_earlier_start_time_is_followed_once_its_heartbeats_advance() {
    let (mut fleet, mut registry) = (fleet(), registry());
    let adopt = |registry: &mut Registry, fleet: &mut Fleet, record, at| {
        registry.adopt(fleet, vec![record], EarlierReads::default(), ms(at));
    };
    adopt(&mut registry, &mut fleet, record("s", 9), 0);
    let restarted =
        |sequence| SearcherRecord { started_unix_ms: Some(900), ..record("s", sequence) };
    adopt(&mut registry, &mut fleet, restarted(1), 1000);
    let drained = SearcherRecord { state: SearcherState::Draining, ..restarted(2) };
    adopt(&mut registry, &mut fleet, drained, 2000);
    assert!(!has_open(&mut fleet));
    adopt(&mut registry, &mut fleet, restarted(3), 3000);
    assert!(has_open(&mut fleet));
}

// Guards against using the failures and latency of an earlier incarnation for a new one.
#[test]
fn a_restarted_searcher_is_a_new_incarnation() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![record("s", 5)], EarlierReads::default(), ms(0));
    let pool = fleet.pool("pool");
    let before = fleet.choose(pool, PoolRole::Equal, &[], ms(30), ms(0)).expect("one is there").key;
    let restarted = SearcherRecord { started_unix_ms: Some(2000), ..record("s", 1) };
    registry.adopt(&mut fleet, vec![restarted], EarlierReads::default(), ms(1000));
    let after =
        fleet.choose(pool, PoolRole::Equal, &[], ms(30), ms(1000)).expect("one is there").key;
    assert_ne!(before, after);
    assert!(fleet.get(before).is_none());
}

// Guards against two searchers under one id. The newest registration has the current address.
#[test]
fn a_searcher_with_another_address_replaces_the_earlier_one() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![record("s", 5)], EarlierReads::default(), ms(0));
    let address = "127.0.0.1:9001".parse().expect("an address");
    let moved = SearcherRecord { address, ..record("s", 6) };
    registry.adopt(&mut fleet, vec![moved], EarlierReads::default(), ms(1000));
    let pool = fleet.pool("pool");
    let chosen = fleet.choose(pool, PoolRole::Equal, &[], ms(30), ms(1000)).expect("one is there");
    assert_eq!(chosen.address, address);
}

// Guards against requests to searchers that have left, because the store has come back from a copy
// in which they are still listed.
#[test]
fn a_searcher_that_left_is_not_used_again_because_an_older_copy_lists_it() {
    let (mut fleet, mut registry) = (fleet(), registry());
    let mut adopt = |fleet: &mut Fleet, listing, at| {
        registry.adopt(fleet, listing, EarlierReads::default(), ms(at));
    };
    adopt(&mut fleet, vec![record("s", 7)], 0);
    adopt(&mut fleet, Vec::new(), 1000);
    // As it was seen last, and as it was before it lapsed and was registered again.
    adopt(&mut fleet, vec![record("s", 7)], 2000);
    assert!(!has_open(&mut fleet));
    let lapsed = SearcherRecord { create_revision: 3, ..record("s", 4) };
    adopt(&mut fleet, vec![lapsed], 3000);
    assert!(!has_open(&mut fleet));
    let earlier = SearcherRecord { started_unix_ms: Some(900), ..record("s", 20) };
    adopt(&mut fleet, vec![earlier], 4000);
    assert!(!has_open(&mut fleet));
    // It lives: it has written again since.
    adopt(&mut fleet, vec![record("s", 8)], 5000);
    assert!(has_open(&mut fleet));
}

// Guards against the end of a drain because the store has come back from a copy that is older than
// the report, and in which the registration was created at another revision.
#[test]
fn a_drain_holds_if_an_older_copy_lists_the_searcher_as_ready() {
    let (mut fleet, mut registry) = (fleet(), registry());
    let drained = SearcherRecord { state: SearcherState::Draining, ..record("s", 9) };
    registry.adopt(&mut fleet, vec![drained], EarlierReads::default(), ms(0));
    let copied = SearcherRecord { create_revision: 3, ..record("s", 4) };
    let restored = EarlierReads { restored_at: Some(ms(1000)), ..EarlierReads::default() };
    registry.adopt(&mut fleet, vec![copied], restored, ms(1000));
    assert!(!has_open(&mut fleet));
}

// Guards against a searcher that stays known after the grace period, because the listing is as long
// as before: it lists another one that left long ago.
#[test]
fn a_lapsed_searcher_is_remembered_beside_an_outdated_one() {
    let (mut fleet, mut registry) = (fleet(), registry());
    let none = EarlierReads::default();
    registry.adopt(&mut fleet, vec![record("a", 7), record("b", 7)], none, ms(0));
    registry.adopt(&mut fleet, vec![record("b", 8)], none, ms(1000));
    let restored = EarlierReads { restored_at: Some(ms(2000)), ..none };
    registry.adopt(&mut fleet, vec![record("a", 5)], restored, ms(2000));
    assert!(registry.has_lapsed() && has_open(&mut fleet));
    registry.adopt(&mut fleet, vec![record("a", 5)], restored, ms(4400));
    assert!(!registry.has_lapsed() && !has_open(&mut fleet));
}
