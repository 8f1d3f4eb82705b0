//! Pairs of owner and successor: stable scores, shares by weight, and few changes of owners.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use tt_membership::Assignment;
use tt_membership::DomainKey;
use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::Ownership;
use tt_membership::SearcherKey;
use tt_membership::assignment::Target;
use tt_membership::ownership::SearcherSpec;
use tt_membership::ownership::pair;
use tt_model::Incarnation;

const DOMAINS: [&str; 3] = ["austin", "waco", "temple"];

fn member(last: u8, weight: u32) -> Member {
    let address = SocketAddr::from(([10, 0, 0, last], 7000));
    let domain = DOMAINS[usize::from(last) % DOMAINS.len()].to_owned();
    Member { id: MemberId { address, incarnation: Incarnation(1) }, domain, weight }
}

fn target(members: Vec<Member>) -> Target {
    Target { members, ..Target::default() }
}

fn searchers(count: u16) -> Vec<SearcherSpec> {
    let spec = |i: u16| {
        let [high, low] = i.to_be_bytes();
        SearcherSpec {
            key: SearcherKey::of(SocketAddr::from(([10, 1, high, low], 80))),
            domain: DomainKey::of(DOMAINS[usize::from(i) % DOMAINS.len()]),
            slots: 2,
            connections: 25,
        }
    };
    (0..count).map(spec).collect()
}

// Guards against a hash or a score that differs between versions of the software: daemons of two
// versions in one epoch would compute different owners.
#[test]
fn pairs_are_the_same_in_every_version() {
    let epoch =
        Assignment::first(&target((1..=5).map(|i| member(i, 1)).collect()), member(1, 1).id, 0);
    let candidates = epoch.candidates();
    let owners: Vec<String> = searchers(6)
        .iter()
        .filter_map(|spec| pair(&candidates, spec.key, spec.domain))
        .map(|p| format!("{} {}", p.owner.address.ip(), p.successor.address.ip()))
        .collect();
    insta::assert_snapshot!(owners.join("\n"), @r"
    10.0.0.3 10.0.0.4
    10.0.0.1 10.0.0.3
    10.0.0.5 10.0.0.4
    10.0.0.3 10.0.0.1
    10.0.0.4 10.0.0.5
    10.0.0.5 10.0.0.4
    ");
}

// Guards against a pair in one failure domain although there are others.
#[test]
fn the_pair_spans_two_domains() {
    let epoch =
        Assignment::first(&target((1..=6).map(|i| member(i, 1)).collect()), member(1, 1).id, 0);
    let candidates = epoch.candidates();
    let domain = |id: MemberId| candidates.iter().find(|c| c.id == id).map(|c| c.domain);
    for spec in searchers(500) {
        let p = pair(&candidates, spec.key, spec.domain).expect("there are members");
        assert_eq!(domain(p.owner), Some(spec.domain));
        assert_ne!(domain(p.successor), Some(spec.domain));
    }
}

// Guards against shares of searchers that aren't proportional to the weights.
#[test]
fn shares_follow_weights() {
    let members: Vec<Member> = (1..=4).map(|i| member(i * 3, u32::from(i))).collect();
    let epoch = Assignment::first(&target(members.clone()), members[0].id, 0);
    let candidates = epoch.candidates();
    let total: u32 = members.iter().map(|m| m.weight).sum();
    let specs = searchers(20_000);
    for m in members {
        let owned = specs
            .iter()
            .filter_map(|spec| pair(&candidates, spec.key, spec.domain))
            .filter(|p| p.owner == m.id)
            .count() as f64;
        let ideal = 20_000.0 * f64::from(m.weight) / f64::from(total);
        assert!((owned / ideal - 1.0).abs() < 0.06, "{owned} instead of {ideal}");
    }
}

// Guards against searchers that move between members that did not change.
#[test]
fn only_the_searchers_of_a_lost_member_get_another_owner() {
    let all: Vec<Member> = (1..=9).map(|i| member(i, 1)).collect();
    let before = Assignment::first(&target(all.clone()), all[0].id, 0);
    let after = before.next(&target(all[1..].to_vec()), all[0].id, 0);
    let (old, new) = (before.candidates(), after.candidates());
    for spec in searchers(2_000) {
        let a = pair(&old, spec.key, spec.domain).expect("there are members");
        let b = pair(&new, spec.key, spec.domain).expect("there are members");
        assert!(a.owner == all[0].id || a.owner == b.owner);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against pairs that depend on which epochs a daemon has seen: the update of pairs from
    // epoch to epoch must give the same as a computation from the last epoch alone.
    #[test]
    fn pairs_do_not_depend_on_earlier_epochs(
        epochs in prop::collection::vec(prop::collection::btree_map(1..12u8, 1..4u32, 0..8), 1..8),
    ) {
        let specs = searchers(60);
        let mut incremental = Ownership::default();
        incremental.set_searchers(&specs);
        let empty = target(Vec::new());
        let mut assignment = Assignment::first(&empty, member(1, 1).id, 0);
        for members in epochs {
            let members = members.into_iter().map(|(last, weight)| member(last, weight)).collect();
            assignment = assignment.next(&target(members), member(1, 1).id, 0);
            incremental.set_epoch(&assignment);
        }
        let mut direct = Ownership::default();
        direct.set_epoch(&assignment);
        direct.set_searchers(&specs);
        for spec in specs {
            prop_assert_eq!(incremental.pair(spec.key), direct.pair(spec.key));
        }
    }
}
