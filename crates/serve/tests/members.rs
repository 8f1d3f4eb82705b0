//! Who reads the store, and what daemons tell one another.

mod common;

use common::ms;
use common::sighting;

use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::ReadDecision;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;
use tt_serve::SyncAction;
use tt_serve::Time;
use tt_serve::Vm;
use tt_serve::listing_digest;
use tt_serve::read_decision;
use tt_serve::sync_action;

fn vm(name: &str, domain: &str) -> Vm {
    let address = "127.0.0.1:1".parse().expect("an address");
    Vm { name: name.to_owned(), front: address, peer: address, domain: domain.to_owned() }
}

/// The revision follows the time of the listing.
fn standing(version: u64, digest: u64, listed: Option<Time>) -> MemberStatus {
    let revision = listed.map_or(0, |listed| listed.as_millis() as u64);
    MemberStatus { state: MemberState::Open, version, digest, revision, listing_read_at: listed }
}

/// The view of `c` in the domain `x` with `a` and `b`; the domain `y` has `d` to `g`.
fn tier() -> Members {
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    for (name, domain) in [("a", "x"), ("b", "x"), ("d", "y"), ("e", "y"), ("f", "y"), ("g", "y")] {
        members.update_status(vm(name, domain), standing(1, 0, Some(ms(0))), ms(0));
    }
    members
}

// Guards against each daemon reading the store, and against none reading it when the first fails.
#[test]
fn the_first_of_a_domain_reads_and_the_others_step_in_when_it_is_overdue() {
    let settings = ListingSettings::default();
    let members = tier();
    assert_eq!(members.rank(ms(100)), 2);
    let read = |listed, now| read_decision(&members, &settings, listed, now) == ReadDecision::Read;
    assert!(read(None, ms(0)));
    assert!(!read(Some(ms(0)), ms(1600)));
    assert!(read(Some(ms(0)), ms(1650)));
    // All others are silent by now, so that this one is the first.
    assert_eq!(members.rank(ms(1800)), 0);
    assert!(read(Some(ms(900)), ms(1800)));
}

// Guards against heartbeats of all to all, which grow with the square of the fleet.
#[test]
fn only_two_daemons_of_a_domain_speak_to_others() {
    let members = tier();
    let names = |members: &Members| -> Vec<String> {
        members.heartbeat_targets(ms(100)).iter().map(|it| it.vm.name.clone()).collect()
    };
    assert_eq!(names(&members), ["a", "b"], "the third of its domain");
    let mut second = Members::new(MemberSettings::default(), vm("b", "x"));
    for (name, domain) in [("a", "x"), ("c", "x"), ("d", "y"), ("e", "y"), ("f", "y")] {
        second.update_status(vm(name, domain), standing(1, 0, None), ms(0));
    }
    assert_eq!(names(&second), ["a", "c", "e"], "the second speaks to the second");
    let named_to = |domain| -> Vec<String> {
        second.gossip_for(domain, ms(100)).records.iter().map(|it| it.vm.name.clone()).collect()
    };
    assert_eq!(named_to("x"), ["d", "e", "f"]);
    assert_eq!(named_to("y"), ["a", "c"]);
}

// Guards against what was passed on late taking back what was heard directly.
#[test]
fn an_older_report_changes_nothing() {
    let mut members = tier();
    let stopping = MemberStatus { state: MemberState::Stopping, ..standing(1, 0, None) };
    members.update_status(vm("a", "x"), stopping, ms(500));
    members.update_status(vm("a", "x"), standing(1, 0, None), ms(400));
    assert!(members.open_members(ms(600)).all(|member| member.vm.name != "a"));
}

// Guards against reads of what is known already, and against reads across domains.
#[test]
fn a_view_is_fetched_only_if_it_brings_something() {
    let settings = ListingSettings::default();
    let own = standing(5, 7, Some(ms(1000)));
    let cases = [
        ("x", standing(5, 7, Some(ms(900))), false, SyncAction::None),
        ("x", standing(5, 7, Some(ms(1500))), false, SyncAction::Confirm(1500, ms(1500))),
        ("x", standing(5, 8, Some(ms(1500))), false, SyncAction::Fetch),
        ("x", standing(6, 7, Some(ms(900))), false, SyncAction::Fetch),
        ("y", standing(5, 8, Some(ms(1500))), false, SyncAction::None),
        ("y", standing(6, 7, Some(ms(900))), false, SyncAction::None),
        ("y", standing(6, 7, Some(ms(900))), true, SyncAction::Fetch),
    ];
    for (domain, theirs, late, expect) in cases {
        let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
        members.update_status(vm("a", domain), theirs.clone(), ms(2000));
        let member = members.live(ms(2000)).next().expect("it was heard");
        assert_eq!(sync_action(member, "x", &own, &settings, late, ms(2000)), expect, "{theirs:?}");
    }
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "y"), standing(5, 8, Some(ms(3900))), ms(4000));
    let member = members.live(ms(4000)).next().expect("it was heard");
    let old = sync_action(member, "x", &own, &settings, false, ms(4000));
    assert_eq!(old, SyncAction::Fetch, "the own listing is old");
}

// Guards against searchers that come back from a machine that has stood still: its clock did not
// count that time, so that its old listing looks new.
#[test]
fn a_listing_that_was_read_earlier_is_not_fetched_however_young_it_looks() {
    let own = standing(5, 7, Some(ms(1000)));
    let frozen = MemberStatus { revision: 400, ..standing(5, 8, Some(ms(1900))) };
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "x"), frozen, ms(2000));
    let member = members.live(ms(2000)).next().expect("it was heard");
    let settings = ListingSettings::default();
    assert_eq!(sync_action(member, "x", &own, &settings, false, ms(2000)), SyncAction::None);
}

// Guards against reads of the store by all daemons while nothing changes there: the revision stays
// then, and only the time tells that what is known still holds.
#[test]
fn a_later_read_of_the_same_revision_confirms_what_is_known() {
    let own = standing(5, 7, Some(ms(1000)));
    let same = MemberStatus { revision: own.revision, ..standing(5, 7, Some(ms(1900))) };
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "x"), same, ms(2000));
    let member = members.live(ms(2000)).next().expect("it was heard");
    let settings = ListingSettings::default();
    let found = sync_action(member, "x", &own, &settings, false, ms(2000));
    assert_eq!(found, SyncAction::Confirm(1000, ms(1900)));
}

// Guards against a digest that changes with each heartbeat of a searcher, or misses a change.
#[test]
fn the_digest_tells_states_and_not_heartbeats() {
    let before = listing_digest(&[sighting("a", 1), sighting("b", 1)]);
    assert_eq!(before, listing_digest(&[sighting("b", 9), sighting("a", 9)]));
    let draining = SearcherRecord { state: SearcherState::Draining, ..sighting("a", 2) };
    assert_ne!(before, listing_digest(&[draining, sighting("b", 1)]));
    assert_ne!(before, listing_digest(&[sighting("a", 1)]));
}
