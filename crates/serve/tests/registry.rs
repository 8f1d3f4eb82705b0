//! Which registered searchers are there.

mod common;

use common::fleet;
use common::ms;
use common::sighting;

use tt_serve::Fleet;
use tt_serve::Registry;
use tt_serve::RegistrySettings;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;

fn is_served(fleet: &mut Fleet) -> bool {
    let pool = fleet.pool("pool");
    fleet.is_served(pool, ms(0))
}

fn registry() -> Registry {
    Registry::new(RegistrySettings::default())
}

// Guards against work for a searcher that has left.
#[test]
fn a_searcher_that_is_no_longer_listed_is_gone() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![sighting("s", 1)], None, ms(0));
    assert!(is_served(&mut fleet));
    registry.adopt(&mut fleet, Vec::new(), None, ms(1000));
    assert!(!is_served(&mut fleet));
}

// Guards against losing sound searchers whose registration lapsed while the store was away, and
// against using ones that are still missing when they would be back.
#[test]
fn a_lapsed_registration_is_missed_for_a_while_only() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![sighting("s", 1)], None, ms(0));
    registry.adopt(&mut fleet, Vec::new(), Some(ms(9000)), ms(9000));
    assert!(is_served(&mut fleet));
    registry.adopt(&mut fleet, Vec::new(), Some(ms(9000)), ms(11_000));
    assert!(is_served(&mut fleet));
    registry.adopt(&mut fleet, Vec::new(), Some(ms(9000)), ms(11_400));
    assert!(!is_served(&mut fleet));
}

// Guards against a late heartbeat that takes back what a later one has said.
#[test]
fn an_earlier_heartbeat_does_not_undo_a_drain() {
    let (mut fleet, mut registry) = (fleet(), registry());
    let drained = SearcherRecord { state: SearcherState::Draining, ..sighting("s", 5) };
    registry.adopt(&mut fleet, vec![drained], None, ms(0));
    registry.adopt(&mut fleet, vec![sighting("s", 4)], None, ms(1000));
    assert!(!is_served(&mut fleet));
    let older = SearcherRecord { started_unix_ms: Some(900), ..sighting("s", 9) };
    registry.adopt(&mut fleet, vec![older], None, ms(2000));
    assert!(!is_served(&mut fleet));
}

// Guards against judging a new incarnation by what its predecessor did.
#[test]
fn a_searcher_that_started_again_is_a_new_one() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![sighting("s", 5)], None, ms(0));
    let pool = fleet.pool("pool");
    let before = fleet.choose(pool, &[], ms(30), ms(0)).expect("one is there").key;
    let again = SearcherRecord { started_unix_ms: Some(2000), ..sighting("s", 1) };
    registry.adopt(&mut fleet, vec![again], None, ms(1000));
    let after = fleet.choose(pool, &[], ms(30), ms(1000)).expect("one is there").key;
    assert_ne!(before, after);
    assert!(fleet.get(before).is_none());
}

// Guards against two searchers under one id: the registration says where it is now.
#[test]
fn a_searcher_with_another_address_replaces_the_earlier_one() {
    let (mut fleet, mut registry) = (fleet(), registry());
    registry.adopt(&mut fleet, vec![sighting("s", 5)], None, ms(0));
    let address = "127.0.0.1:9001".parse().expect("an address");
    let moved = SearcherRecord { address, ..sighting("s", 6) };
    registry.adopt(&mut fleet, vec![moved], None, ms(1000));
    let pool = fleet.pool("pool");
    let chosen = fleet.choose(pool, &[], ms(30), ms(1000)).expect("one is there");
    assert_eq!(chosen.address, address);
}
