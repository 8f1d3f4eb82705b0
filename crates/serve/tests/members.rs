//! Which daemon reads the store, and what it fetches from another.

mod common;

use common::ms;
use common::record;

use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::ReadDecision;
use tt_serve::SearcherRecord;
use tt_serve::SearcherState;
use tt_serve::StoreRevision;
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

/// A revision in the first era of the store.
fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

/// A status whose revision is the time of its listing in milliseconds.
fn status(version: u64, digest: u64, read_at: Option<Time>) -> MemberStatus {
    let revision = read_at.map_or(0, |read_at| read_at.as_millis() as u64);
    MemberStatus {
        state: MemberState::Open,
        version,
        digest,
        revision: at(revision),
        listing_read_at: read_at,
        ..MemberStatus::default()
    }
}

/// The members as known to `c` in domain `x` with `a` and `b`; domain `y` has `d` to `g`.
fn tier() -> Members {
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    for (name, domain) in [("a", "x"), ("b", "x"), ("d", "y"), ("e", "y"), ("f", "y"), ("g", "y")] {
        members.update_status(vm(name, domain), status(1, 0, Some(ms(0))), ms(0));
    }
    members
}

// Guards against all daemons reading the store, and against none reading it if the first fails.
#[test]
fn the_first_of_a_domain_reads_and_the_others_take_over_if_it_stops() {
    let settings = ListingSettings::default();
    let members = tier();
    assert_eq!(members.rank_in_domain(ms(100)), 2);
    let read =
        |read_at, now| read_decision(&members, &settings, read_at, now) == ReadDecision::Read;
    assert!(read(None, ms(0)));
    assert!(!read(Some(ms(0)), ms(1600)));
    assert!(read(Some(ms(0)), ms(1650)));
    // All others have timed out by now, so this one is the first.
    assert_eq!(members.rank_in_domain(ms(1800)), 0);
    assert!(read(Some(ms(900)), ms(1800)));
}

// Guards against heartbeats from all to all, whose number grows with the square of the tier.
#[test]
fn only_two_daemons_of_a_domain_send_to_other_domains() {
    let members = tier();
    let names = |members: &Members| -> Vec<String> {
        members.heartbeat_targets(ms(100)).iter().map(|it| it.vm.name.clone()).collect()
    };
    assert_eq!(names(&members), ["a", "b"], "the third of its domain");
    let mut second = Members::new(MemberSettings::default(), vm("b", "x"));
    for (name, domain) in [("a", "x"), ("c", "x"), ("d", "y"), ("e", "y"), ("f", "y")] {
        second.update_status(vm(name, domain), status(1, 0, None), ms(0));
    }
    assert_eq!(names(&second), ["a", "c", "e"], "the second sends to the second");
    let described_to = |domain| -> Vec<String> {
        second.gossip_for(domain, ms(100)).records.iter().map(|it| it.vm.name.clone()).collect()
    };
    assert_eq!(described_to("x"), ["d", "e", "f"]);
    assert_eq!(described_to("y"), ["a", "c"]);
}

// Guards against a status passed on late that overwrites a newer one heard directly.
#[test]
fn an_older_status_changes_nothing() {
    let mut members = tier();
    let stopping = MemberStatus { state: MemberState::Stopping, ..status(1, 0, None) };
    members.update_status(vm("a", "x"), stopping, ms(500));
    members.update_status(vm("a", "x"), status(1, 0, None), ms(400));
    assert!(members.open_members(ms(600)).all(|member| member.vm.name != "a"));
}

// Guards against fetching what is already known, and against fetching from other domains without
// need.
#[test]
fn data_is_fetched_only_if_it_is_newer() {
    let settings = ListingSettings::default();
    let own = status(5, 7, Some(ms(1000)));
    let cases = [
        ("x", status(5, 7, Some(ms(900))), false, SyncAction::None),
        ("x", status(5, 7, Some(ms(1500))), false, SyncAction::Confirm(at(1500), ms(1500))),
        ("x", status(5, 8, Some(ms(1500))), false, SyncAction::Fetch),
        ("x", status(6, 7, Some(ms(900))), false, SyncAction::Fetch),
        ("y", status(5, 8, Some(ms(1500))), false, SyncAction::None),
        ("y", status(6, 7, Some(ms(900))), false, SyncAction::None),
        ("y", status(6, 7, Some(ms(900))), true, SyncAction::Fetch),
    ];
    for (domain, theirs, config_overdue, expect) in cases {
        let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
        members.update_status(vm("a", domain), theirs.clone(), ms(2000));
        let member = members.live(ms(2000)).next().expect("it was heard");
        assert_eq!(
            sync_action(member, "x", &own, &settings, config_overdue, ms(2000)),
            expect,
            "{theirs:?}"
        );
    }
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "y"), status(5, 8, Some(ms(3900))), ms(4000));
    let member = members.live(ms(4000)).next().expect("it was heard");
    let old = sync_action(member, "x", &own, &settings, false, ms(4000));
    assert_eq!(old, SyncAction::Fetch, "the own listing is old");
}

// Guards against an old listing from a VM that was suspended. Its clock did not count that time, so
// its listing looks new.
#[test]
fn a_listing_of_an_earlier_revision_is_not_fetched_however_recent_it_looks() {
    let own = status(5, 7, Some(ms(1000)));
    let suspended = MemberStatus { revision: at(400), ..status(5, 8, Some(ms(1900))) };
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "x"), suspended, ms(2000));
    let member = members.live(ms(2000)).next().expect("it was heard");
    let settings = ListingSettings::default();
    assert_eq!(sync_action(member, "x", &own, &settings, false, ms(2000)), SyncAction::None);
}

// Guards against a listing from before the store came back from an older copy: its revision, which
// is given out again, says nothing about the new one.
#[test]
fn a_listing_of_a_later_era_is_fetched_whatever_its_revision() {
    let own = status(5, 7, Some(ms(1900)));
    let restored = StoreRevision { era: 2, number: 400 };
    let theirs = MemberStatus { revision: restored, ..status(5, 8, Some(ms(1800))) };
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "x"), theirs.clone(), ms(2000));
    let settings = ListingSettings::default();
    let member = members.live(ms(2000)).next().expect("it was heard");
    assert_eq!(sync_action(member, "x", &own, &settings, false, ms(2000)), SyncAction::Fetch);
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "x"), own, ms(2000));
    let member = members.live(ms(2000)).next().expect("it was heard");
    assert_eq!(sync_action(member, "x", &theirs, &settings, false, ms(2000)), SyncAction::None);
}

// Guards against reads of the store by all daemons while nothing changes there. The revision stays
// the same then, and only the time shows that the listing is still valid.
#[test]
fn a_later_read_of_the_same_revision_confirms_the_listing() {
    let own = status(5, 7, Some(ms(1000)));
    let same = MemberStatus { revision: own.revision, ..status(5, 7, Some(ms(1900))) };
    let mut members = Members::new(MemberSettings::default(), vm("c", "x"));
    members.update_status(vm("a", "x"), same, ms(2000));
    let member = members.live(ms(2000)).next().expect("it was heard");
    let settings = ListingSettings::default();
    let found = sync_action(member, "x", &own, &settings, false, ms(2000));
    assert_eq!(found, SyncAction::Confirm(at(1000), ms(1900)));
}

// Guards against a digest that changes with each heartbeat of a searcher, or misses a change.
#[test]
fn the_digest_covers_states_and_not_heartbeats() {
    let before = listing_digest(&[record("a", 1), record("b", 1)]);
    assert_eq!(before, listing_digest(&[record("b", 9), record("a", 9)]));
    let draining = SearcherRecord { state: SearcherState::Draining, ..record("a", 2) };
    assert_ne!(before, listing_digest(&[draining, record("b", 1)]));
    assert_ne!(before, listing_digest(&[record("a", 1)]));
}
