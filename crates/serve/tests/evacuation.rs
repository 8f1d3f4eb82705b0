//! Failure domains that operators evacuate: what daemons know of them, and which requests their
//! searchers still get.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::add;
use common::fixed;
use common::fleet;
use common::ms;
use common::record;
use proptest::prelude::*;

use tt_serve::AttemptOutcome;
use tt_serve::Availability;
use tt_serve::Candidate;
use tt_serve::Config;
use tt_serve::EarlierReads;
use tt_serve::EntryRole;
use tt_serve::EvacuatedDomains;
use tt_serve::EvacuationChange;
use tt_serve::EvacuationUpdate;
use tt_serve::Evacuations;
use tt_serve::Failure;
use tt_serve::Fleet;
use tt_serve::Gather;
use tt_serve::Member;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::Plan;
use tt_serve::PoolKey;
use tt_serve::PoolRole;
use tt_serve::PoolSpec;
use tt_serve::Query;
use tt_serve::Refusal;
use tt_serve::Registry;
use tt_serve::RegistrySettings;
use tt_serve::RelayScope;
use tt_serve::RepeatPolicy;
use tt_serve::Route;
use tt_serve::RouteTable;
use tt_serve::SearcherKey;
use tt_serve::SearcherRecord;
use tt_serve::Statement;
use tt_serve::StoreRevision;
use tt_serve::SyncAction;
use tt_serve::Target;
use tt_serve::Time;
use tt_serve::Trust;
use tt_serve::Verdict;
use tt_serve::Vm;
use tt_serve::assign;
use tt_serve::directory_addresses;
use tt_serve::sync_action;

const HEDGE_DELAY: Duration = Duration::from_millis(20);

fn domains(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A revision in the first era of the store.
fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

fn whole(revision: u64, names: &[&str]) -> EvacuationUpdate {
    let revision = at(revision);
    EvacuationUpdate::Whole(EvacuatedDomains { revision, domains: domains(names) })
}

fn change(revision: u64, domain: &str, evacuated: bool) -> EvacuationChange {
    EvacuationChange { revision: at(revision), domain: domain.to_owned(), evacuated }
}

fn query(pools: &[PoolKey], min_shards: usize, repeat: RepeatPolicy) -> Query {
    Query::new(Plan {
        pools: pools.to_vec(),
        min_shards,
        max_attempts: 3,
        repeat,
        hedge_delay: HEDGE_DELAY,
        cutoff: ms(200),
        deadline: ms(600),
        trust: Trust::Usual,
    })
}

/// A pool with a searcher in `home` and one in `away`.
fn pool_in_two_domains(fleet: &mut Fleet, name: &str) -> (PoolKey, SearcherKey, SearcherKey) {
    let pool = fleet.pool(name);
    let near = add(fleet, pool, &format!("{name}-near"), "home");
    let far = add(fleet, pool, &format!("{name}-far"), "away");
    (pool, near, far)
}

// Guards against an evacuation that ends, or begins, again because an older set arrives late from a
// peer.
#[test]
fn a_set_of_an_earlier_revision_never_replaces_a_later_one() {
    let mut evacuations = Evacuations::default();
    let diff = evacuations.adopt(whole(5, &[]), ms(0)).expect("the first set");
    assert!(diff.is_first && diff.started.is_empty());
    let diff = evacuations.adopt(whole(9, &["a"]), ms(0)).expect("a later set");
    assert_eq!((diff.is_first, diff.started), (false, vec!["a".to_owned()]));
    assert_eq!(evacuations.adopt(whole(5, &[]), ms(0)), None);
    assert_eq!(evacuations.adopt(whole(9, &[]), ms(0)), None);
    assert_eq!(evacuations.newest().domains, domains(&["a"]));
    let diff = evacuations.adopt(whole(12, &[]), ms(0)).expect("a later set");
    assert_eq!(diff.ended, ["a".to_owned()]);
}

// Guards against a change that undoes what a peer has told meanwhile: the watch returns it later
// than the set of the peer that contains it already.
#[test]
fn changes_that_the_known_set_contains_are_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.adopt(whole(3, &[]), ms(0));
    evacuations.adopt(whole(7, &["b"]), ms(0));
    let changes = vec![change(4, "a", true), change(6, "a", false), change(8, "c", true)];
    evacuations.adopt(EvacuationUpdate::Changes(changes), ms(0));
    assert_eq!(evacuations.newest().revision, at(8));
    assert_eq!(evacuations.newest().domains, domains(&["b", "c"]));
    assert_eq!(evacuations.adopt(EvacuationUpdate::Changes(Vec::new()), ms(0)), None);
    assert_eq!(evacuations.adopt(EvacuationUpdate::Unread, ms(0)), None);
}

// Guards against requests to an evacuated domain, because the store has come back from a copy that is
// older than the evacuation; against a domain that stays evacuated, although operators have taken it
// back; and against sets whose revisions were given out again.
#[test]
fn an_evacuation_that_the_store_lost_holds_until_it_is_written_again() {
    let later = |number, names: &[&str]| {
        let revision = StoreRevision { era: 2, number };
        EvacuationUpdate::Whole(EvacuatedDomains { revision, domains: domains(names) })
    };
    let mut evacuations = Evacuations::default();
    evacuations.adopt(whole(9, &["a", "b", "c"]), ms(0));
    evacuations.adopt(later(4, &["a", "d"]), ms(1000));
    assert_eq!(evacuations.newest().domains, domains(&["a", "d"]));
    assert_eq!(evacuations.domains(), domains(&["a", "b", "c", "d"]));
    assert_eq!(evacuations.adopt(whole(10, &[]), ms(1100)), None, "of the earlier era");
    let written = |number, domain: &str, evacuated| EvacuationChange {
        revision: StoreRevision { era: 2, number },
        domain: domain.to_owned(),
        evacuated,
    };
    let changes = vec![written(5, "b", true), written(6, "a", false)];
    evacuations.adopt(EvacuationUpdate::Changes(changes), ms(2000));
    assert_eq!(evacuations.domains(), domains(&["b", "c", "d"]));
    assert_eq!(evacuations.end_unconfirmed(ms(3200)), None);
    let ended = evacuations.end_unconfirmed(ms(3300)).map(|diff| diff.ended);
    assert_eq!(ended, Some(vec!["c".to_owned()]));
    assert_eq!(evacuations.domains(), domains(&["b", "d"]));
}

proptest! {
    #![proptest_config(fixed(200))]

    // Guards against daemons that disagree after they have heard of the same changes, some from the
    // store and some from one another, in any order and repeatedly.
    #[test]
    fn daemons_agree_once_each_has_heard_of_the_last_change(
        steps in prop::collection::vec((0..3_usize, any::<bool>(), 0..4_usize, 0..4_usize), 1..40),
    ) {
        let names = ["a", "b", "c"];
        let mut store = EvacuatedDomains { revision: at(1), domains: BTreeSet::new() };
        let mut log = Vec::new();
        // The first two watch the store from different revisions; the others hear of these.
        let mut daemons: Vec<Evacuations> = (0..4).map(|_| Evacuations::default()).collect();
        let mut watched = [0, 0];
        for (domain, evacuated, from, to) in steps {
            store.revision.number += 1;
            match evacuated {
                true => store.domains.insert(names[domain].to_owned()),
                false => store.domains.remove(names[domain]),
            };
            log.push(change(store.revision.number, names[domain], evacuated));
            if from < 2 {
                let update = match watched[from] {
                    0 => EvacuationUpdate::Whole(store.clone()),
                    after => EvacuationUpdate::Changes(
                        log.iter().filter(|it| it.revision > at(after)).cloned().collect(),
                    ),
                };
                watched[from] = store.revision.number;
                daemons[from].adopt(update, ms(0));
                prop_assert_eq!(daemons[from].newest(), &store);
            }
            let told = daemons[from].newest().clone();
            daemons[to].adopt(EvacuationUpdate::Whole(told), ms(0));
        }
        daemons[0].adopt(EvacuationUpdate::Whole(store.clone()), ms(0));
        let last = daemons[0].newest().clone();
        for daemon in &mut daemons {
            daemon.adopt(EvacuationUpdate::Whole(last.clone()), ms(0));
            prop_assert_eq!(daemon.newest(), &store);
        }
    }
}

// Guards against first attempts, hedges and retries at a searcher of an evacuated domain, for
// requests that may run once and others.
#[test]
fn no_attempt_of_any_kind_goes_to_an_evacuated_domain() {
    for repeat in [RepeatPolicy::Idempotent, RepeatPolicy::AtMostOnce] {
        let mut fleet = fleet();
        let (pool, near, far) = pool_in_two_domains(&mut fleet, "pool");
        fleet.set_evacuated(&domains(&["home"]), ms(0));
        let mut query = query(&[pool], 1, repeat);
        let first = query.start(&mut fleet, ms(0));
        assert_eq!(first[0].searcher.key, far);
        assert!(query.hedge(&mut fleet, |_| true, ms(20)).is_empty(), "only `near` is left");
        let retry = query.record_outcome(0, AttemptOutcome::Refused, &mut fleet, |_| true, ms(30));
        assert_eq!(retry, None);
        assert_eq!(query.verdict(ms(30)), Verdict::Fail(Failure::NotRun));
        assert!(fleet.withheld_counts().evacuated > 0);
        assert!(!fleet.is_withheld(far, ms(30)) && fleet.is_withheld(near, ms(30)));
    }
}

// Guards against an attempt that was planned before the evacuation, waits for a connection and is
// sent afterwards; also if the registration of its searcher is removed or replaced meanwhile.
#[test]
fn an_attempt_that_waits_for_a_connection_is_not_sent() {
    let mut fleet = fleet();
    let (pool, near, _) = pool_in_two_domains(&mut fleet, "pool");
    let mut query = query(&[pool], 1, RepeatPolicy::AtMostOnce);
    assert_eq!(query.start(&mut fleet, ms(0))[0].searcher.key, near);
    assert!(!fleet.is_withheld(near, ms(1)));
    fleet.set_evacuated(&domains(&["home"]), ms(2));
    assert!(fleet.is_withheld(near, ms(3)));
    let retry = query.record_outcome(0, AttemptOutcome::NotSent, &mut fleet, |_| true, ms(3));
    assert_eq!(retry.expect("a retry").searcher.id, "pool-far");
    fleet.remove(near, ms(4));
    assert!(fleet.is_withheld(near, ms(5)));
    let again = add(&mut fleet, pool, "pool-near", "home");
    assert!(fleet.is_withheld(again, ms(6)));
}

// Guards against requests that wait for their deadline because a pool has searchers in the
// evacuated domain only, also where its shards are left to relays.
#[test]
fn a_pool_without_a_searcher_elsewhere_is_refused_at_once() {
    let mut fleet = fleet();
    let pools = [fleet.pool("p0"), fleet.pool("p1")];
    for (pool, id) in pools.into_iter().zip(["s0", "s1"]) {
        add(&mut fleet, pool, id, "home");
    }
    fleet.set_evacuated(&domains(&["home"]), ms(0));
    let mut one = query(&pools[..1], 1, RepeatPolicy::Idempotent);
    assert!(one.start(&mut fleet, ms(0)).is_empty());
    assert_eq!(one.verdict(ms(0)), Verdict::Fail(Failure::NotRun));
    assert_eq!(one.refusal(&fleet, ms(0)), Refusal::Unserved);
    let mut relayed = query(&pools, 1, RepeatPolicy::Idempotent);
    relayed.delegate(&[0, 1]);
    assert!(relayed.start(&mut fleet, ms(0)).is_empty());
    assert_eq!(relayed.verdict(ms(0)), Verdict::Fail(Failure::NotRun));
    fleet.set_evacuated(&domains(&[]), ms(10));
    let mut after = query(&pools, 2, RepeatPolicy::Idempotent);
    assert_eq!(after.start(&mut fleet, ms(10)).len(), 2);
}

fn vm(name: &str, domain: &str) -> Vm {
    let address = "127.0.0.1:1".parse().expect("an address");
    Vm { name: name.to_owned(), front: address, peer: address, domain: domain.to_owned() }
}

// Guards against shards that are left to entries of an evacuated domain, and against entries of
// that domain which keep shards that others can query.
#[test]
fn shards_are_left_to_entries_of_other_domains() {
    let mut fleet = fleet();
    let pools: Vec<PoolKey> =
        ["p0", "p1"].map(|name| pool_in_two_domains(&mut fleet, name).0).to_vec();
    let me = vm("me", "home");
    let mut members = Members::new(MemberSettings::default(), me.clone());
    let status = MemberStatus { state: MemberState::Open, ..MemberStatus::default() };
    members.update_status(vm("far", "away"), status.clone(), ms(0));
    let relays: Vec<&Member> = members.relay_candidates(0, ms(0)).collect();
    let assigned = |fleet: &Fleet, me: &Vm| {
        assign(&pools, fleet, me, &relays, EntryRole::Primary, RelayScope::All, 0, ms(0))
            .delegations
    };
    assert!(assigned(&fleet, &me).is_empty(), "its own domain has them all");
    fleet.set_evacuated(&domains(&["home"]), ms(0));
    let delegations = assigned(&fleet, &me);
    assert_eq!(delegations.len(), 1);
    assert_eq!((&*delegations[0].relay.name, &*delegations[0].shards), ("far", &[0, 1][..]));
    fleet.set_evacuated(&domains(&["away"]), ms(0));
    assert!(assigned(&fleet, &vm("third", "elsewhere")).is_empty(), "none is usable in `away`");
}

fn gather_config(pools: &[&str], cold_period: Duration) -> Config {
    let names: Vec<String> = pools.iter().map(|name| (*name).to_owned()).collect();
    let spec = |name: &String| PoolSpec {
        name: name.clone(),
        max_connections: 10,
        cold_rate: 0.0,
        cold_period,
    };
    Config {
        version: 1,
        pools: names.iter().map(spec).collect(),
        routes: vec![Route {
            name: "all".to_owned(),
            host: "a.example".to_owned(),
            prefix: "/".to_owned(),
            target: Target::Gather(Gather { pools: names, max_records: 3, min_coverage: 0.5 }),
            repeat: RepeatPolicy::Idempotent,
            timeout: ms(1000),
            objective: ms(100),
            max_attempts: 2,
            priority: 0,
            public: true,
            allowed_regions: Vec::new(),
        }],
        limits: Default::default(),
        organisations: None,
    }
}

// Guards against a directory that sends callers to the evacuated domain, whose entries would have
// to fetch each shard from another domain.
#[test]
fn the_directory_prefers_entries_of_other_domains() {
    let mut fleet = fleet();
    let table = RouteTable::new(&gather_config(&["p0", "p1"], Duration::ZERO), &mut fleet);
    for name in ["p0", "p1"] {
        pool_in_two_domains(&mut fleet, name);
    }
    let candidate = |domain: &str, port: u16| Candidate {
        front: ([127, 0, 0, 1], port).into(),
        domain: domain.to_owned(),
    };
    let candidates = [candidate("home", 1), candidate("away", 2)];
    let ports = |fleet: &Fleet| -> Vec<u16> {
        directory_addresses(&candidates, &table, fleet).iter().map(|it| it.port()).collect()
    };
    assert_eq!(ports(&fleet), [1, 2]);
    fleet.set_evacuated(&domains(&["home"]), ms(0));
    assert_eq!(ports(&fleet), [2]);
    fleet.set_evacuated(&domains(&["home", "away"]), ms(0));
    assert_eq!(ports(&fleet), [1, 2], "no entry is better than another");
}

/// The availability of the searcher `id`, and whether it is cold, by its status.
fn status(fleet: &Fleet, id: &str, now: Time) -> (Availability, bool) {
    let status = fleet.status(now).into_iter().find(|it| it.id == id).expect("the searcher");
    (status.availability, status.cold)
}

// Guards against full load on searchers that are cold after an evacuation, though the registration
// that is known says otherwise: it may be from before the end. And against searchers that count as
// cold for longer than the configuration says.
#[test]
fn searchers_count_as_cold_after_the_end_of_an_evacuation() {
    let mut fleet = fleet();
    let mut registry = Registry::new(RegistrySettings::default());
    let cold_period = Duration::from_secs(10);
    fleet.set_cold_specs(&gather_config(&["pool"], cold_period).pools);
    let adopt = |registry: &mut Registry, fleet: &mut Fleet, records, now| {
        registry.adopt(fleet, records, EarlierReads::default(), now);
    };
    let near = |sequence| SearcherRecord { id: "near".to_owned(), ..record("near", sequence) };
    adopt(&mut registry, &mut fleet, vec![near(1)], ms(0));
    assert_eq!(status(&fleet, "near", ms(0)), (Availability::Used, false));
    fleet.set_evacuated(&domains(&["home"]), ms(100));
    assert_eq!(status(&fleet, "near", ms(200)).0, Availability::Evacuated);
    // A searcher that registers during the evacuation is in the domain too.
    adopt(&mut registry, &mut fleet, vec![near(2), record("new", 1)], ms(5000));
    assert_eq!(status(&fleet, "new", ms(5000)).0, Availability::Evacuated);
    fleet.set_evacuated(&domains(&[]), ms(10_000));
    for id in ["near", "new"] {
        assert_eq!(status(&fleet, id, ms(10_000)), (Availability::Used, true));
        assert!(status(&fleet, id, ms(19_999)).1);
        assert!(!status(&fleet, id, ms(20_000)).1);
    }
    // May have been written before the end.
    adopt(&mut registry, &mut fleet, vec![near(3), record("new", 1)], ms(11_000));
    assert!(status(&fleet, "near", ms(11_900)).1);
    adopt(&mut registry, &mut fleet, vec![near(4), record("new", 1)], ms(12_100));
    assert!(!status(&fleet, "near", ms(12_100)).1 && status(&fleet, "new", ms(12_100)).1);
}

// Guards against daemons that don't read the store and hear late of an evacuation, and against the
// traffic of each fetching it from another domain.
#[test]
fn a_later_set_is_fetched_from_the_own_domain_or_once_it_is_overdue() {
    let mut members = Members::new(MemberSettings::default(), vm("me", "home"));
    let told = MemberStatus {
        state: MemberState::Open,
        version: 1,
        evacuation_revision: at(9),
        ..MemberStatus::default()
    };
    members.update_status(vm("near", "home"), told.clone(), ms(5000));
    members.update_status(vm("far", "away"), told, ms(5000));
    let action = |name: &str, known: u64, overdue: bool| {
        let member = members.live(ms(5000)).find(|it| it.vm.name == name).expect("a member");
        let own = MemberStatus {
            version: 1,
            evacuation_revision: if known > 0 { at(known) } else { StoreRevision::default() },
            listing_read_at: Some(ms(4900)),
            ..MemberStatus::default()
        };
        sync_action(member, "home", &own, &Default::default(), overdue, ms(5000))
    };
    assert_eq!(action("near", 5, false), SyncAction::Fetch);
    assert_eq!(action("far", 5, false), SyncAction::None);
    assert_eq!(action("far", 5, true), SyncAction::Fetch);
    assert_eq!(action("far", 0, false), SyncAction::Fetch, "it knows of none yet");
    assert_eq!(action("near", 9, true), SyncAction::None);
}

// Guards against a statement of a searcher that ends its evacuation.
#[test]
fn what_searchers_say_does_not_end_an_evacuation() {
    let mut fleet = fleet();
    let (pool, near, far) = pool_in_two_domains(&mut fleet, "pool");
    fleet.set_evacuated(&domains(&["away"]), ms(0));
    fleet.record_statement(far, 1, &Statement::default(), ms(1));
    fleet.record_answer(far, None, ms(1));
    let tried = [near];
    assert_eq!(fleet.choose(pool, PoolRole::Equal, &tried, HEDGE_DELAY, ms(2)), None);
    assert!(!fleet.is_usable_in(pool, "away", ms(2)) && fleet.is_usable_in(pool, "home", ms(2)));
    assert_eq!(fleet.open_count(pool, ms(2)), 1);
}
