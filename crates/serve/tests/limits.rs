//! The retry budget, merged records, routes, shared limits, relays and the hedge delay.

mod common;

use std::time::Duration;

use common::add;
use common::fixed;
use common::fleet;
use common::ms;
use proptest::prelude::*;

use tt_serve::CallerLimits;
use tt_serve::Candidate;
use tt_serve::Capacity;
use tt_serve::CompiledTarget;
use tt_serve::Config;
use tt_serve::EntryRole;
use tt_serve::EntryShare;
use tt_serve::Gather;
use tt_serve::LatencyEstimate;
use tt_serve::LatencyEstimateSettings;
use tt_serve::Member;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::PoolRole;
use tt_serve::PoolSpec;
use tt_serve::Refusal;
use tt_serve::RelayScope;
use tt_serve::RepeatPolicy;
use tt_serve::RetryAfterSettings;
use tt_serve::RetryBudget;
use tt_serve::RetryBudgetSettings;
use tt_serve::Route;
use tt_serve::RouteTable;
use tt_serve::StoreRevision;
use tt_serve::Target;
use tt_serve::TierSize;
use tt_serve::Vm;
use tt_serve::WeightedPool;
use tt_serve::assign;
use tt_serve::directory_addresses;
use tt_serve::merge_records;
use tt_serve::retry_after;

proptest! {
    #![proptest_config(fixed(256))]

    // Guards against more extra attempts in any window than the tier is allowed.
    #[test]
    fn no_window_has_more_extra_attempts_than_allowed(
        steps in prop::collection::vec((0_u64..400, prop::bool::weighted(0.4)), 1..400),
        daemons in 1_usize..6,
    ) {
        let settings = RetryBudgetSettings {
            extra_ratio: 0.2,
            shared_extras: 58.0,
            window: Duration::from_secs(10),
            ..RetryBudgetSettings::default()
        };
        let mut budget = RetryBudget::default();
        let mut now = ms(0);
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += ms(pause);
            if is_request {
                budget.count_request(&settings, now);
                requests.push(now);
            } else if budget.try_take(&settings, daemons as f64, now) {
                extras.push(now);
            }
        }
        for &start in &extras {
            let end = start + settings.window;
            let used = extras.iter().filter(|&&at| start <= at && at < end).count();
            // The window that ends with the last attempt is the one that had to allow it.
            let last = extras.iter().rfind(|&&at| at < end).copied().unwrap_or(start);
            let from = last.saturating_sub(settings.window + settings.window / 50);
            let earned = requests.iter().filter(|&&at| from <= at && at <= last).count();
            let allowed = 0.2 * earned as f64 + 58.0 / daemons as f64;
            prop_assert!(used as f64 <= allowed, "{used} of {allowed}");
        }
    }

    // Guards against a process that uses the shared extra attempts again that the previous process
    // on the VM has just used.
    #[test]
    fn a_restart_within_a_window_does_not_renew_the_shared_extras(
        stop in 0_u64..9_999,
        pauses in prop::collection::vec(0_u64..300, 1..200),
    ) {
        let window = Duration::from_secs(10);
        let first = RetryBudgetSettings {
            extra_ratio: 0.2,
            shared_extras: 58.0,
            window,
            ..RetryBudgetSettings::default()
        };
        let second = RetryBudgetSettings { shared_from: window, ..first };
        let (mut before, mut after) = (RetryBudget::default(), RetryBudget::default());
        let mut used = Vec::new();
        let mut now = ms(0);
        for pause in pauses {
            now += ms(pause);
            let taken = match now < ms(stop) {
                true => before.try_take(&first, 1.0, now),
                // The clock of a process begins at its start.
                false => after.try_take(&second, 1.0, now - ms(stop)),
            };
            if taken {
                used.push(now);
            }
        }
        for &start in &used {
            let within = used.iter().filter(|&&at| start <= at && at < start + window).count();
            prop_assert!(within as f64 <= 58.0, "{within}");
        }
    }

    // Guards against records that are lost, duplicated, truncated or out of order.
    #[test]
    fn merged_records_are_the_greatest_in_descending_order(
        bodies in prop::collection::vec(prop::collection::vec(0_u8..4, 0..120), 0..6),
        max_records in 0_usize..12,
    ) {
        let mut all: Vec<Vec<u8>> = Vec::new();
        for body in &bodies {
            for record in 0..body.len() / 16 {
                all.push(body[record * 16..record * 16 + 16].to_vec());
            }
        }
        all.sort();
        all.reverse();
        let expect: Vec<u8> = all.into_iter().take(max_records).flatten().collect();
        prop_assert_eq!(merge_records(bodies.iter().map(Vec::as_slice), max_records), expect);
    }
}

fn route(prefix: &str, target: Target) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        target,
        repeat: RepeatPolicy::Idempotent,
        timeout: ms(600),
        objective: ms(100),
        max_attempts: 2,
        priority: 1,
        public: false,
        allowed_regions: Vec::new(),
    }
}

fn config(routes: Vec<Route>) -> Config {
    let pools = vec![PoolSpec {
        name: "p0".to_owned(),
        max_connections: 26,
        cold_rate: 0.0,
        cold_period: Duration::ZERO,
    }];
    Config { version: 7, routes, pools, limits: CallerLimits::default(), organisations: None }
}

// Guards against a request that takes the route of a shorter prefix or of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut fleet = fleet();
    let one = || Target::One("p0".to_owned());
    let table =
        RouteTable::new(&config(vec![route("/a/", one()), route("/a/b/", one())]), &mut fleet);
    let found = |host: &str, path: &str| table.find(host, path).map(|it| it.route.prefix.clone());
    assert_eq!(found("a.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("A.EXAMPLE:8104", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(found("a.example", "/b/"), None);
    assert_eq!(found("b.example", "/a/"), None);
}

// Guards against callers that retry during the outage, and against a delay that is longer than the
// caller waits.
#[test]
fn the_retry_delay_is_long_if_no_searcher_accepts_requests() {
    let settings = RetryAfterSettings::default();
    let check = |refusal, left: u64, expect: u64| {
        assert_eq!(retry_after(refusal, Some(ms(left)), &settings), ms(expect), "{refusal:?}");
    };
    check(Refusal::Busy, 4000, 150);
    check(Refusal::Busy, 300, 90);
    check(Refusal::Unserved, 4000, 1200);
    check(Refusal::Unserved, 300, 90);
    check(Refusal::Unserved, 60_000, 2000);
}

// Guards against answers below the minimum coverage through rounding.
#[test]
fn the_minimum_number_of_shards_reaches_the_coverage() {
    for (count, coverage, expect) in [(20, 0.89, 18), (20, 0.75, 15), (30, 0.89, 27), (3, 0.0, 1)] {
        let pools = (0..count).map(|pool| format!("p{pool}")).collect();
        let target = Target::Gather(Gather { pools, max_records: 10, min_coverage: coverage });
        let table = RouteTable::new(&config(vec![route("/a/", target)]), &mut fleet());
        let found = table.find("a.example", "/a/").expect("a route");
        let CompiledTarget::Gather { min_shards, .. } = found.target else {
            panic!("a gather route")
        };
        assert_eq!(min_shards, expect, "{count} {coverage}");
    }
}

// Guards against pools of a split that get more or fewer requests than their weight.
#[test]
fn a_split_follows_its_weights() {
    let mut fleet = fleet();
    let shares = vec![
        WeightedPool { pool: "p0".to_owned(), weight: 3.0 },
        WeightedPool { pool: "p1".to_owned(), weight: 1.0 },
    ];
    let table = RouteTable::new(&config(vec![route("/a/", Target::Split(shares))]), &mut fleet);
    let found = table.find("a.example", "/a/").expect("a route");
    let CompiledTarget::Split(rotation) = &found.target else { panic!("a split route") };
    let first = fleet.pool("p0");
    let count = (0..400).filter(|_| rotation.next() == Some(first)).count();
    assert_eq!(count, 300);
}

fn even(size: TierSize) -> EntryShare {
    EntryShare {
        capacity: Capacity::Even,
        role: EntryRole::Primary,
        primaries: size.daemons,
        unknown: 0,
        size,
    }
}

// Guards against more connections to a searcher than it accepts from all daemons together.
#[test]
fn connections_are_divided_among_the_daemons() {
    let mut fleet = fleet();
    let table = RouteTable::new(&config(Vec::new()), &mut fleet);
    let pool = fleet.pool("p0");
    let max = |daemons, domains, role| {
        table.max_connections(pool, &even(TierSize { daemons, domains }), role, 0.9)
    };
    assert_eq!(max(5, 4, PoolRole::Equal), 4);
    assert_eq!(max(100, 4, PoolRole::Equal), 1);
    for (daemons, domains) in [(5, 4), (4, 3), (12, 3), (23, 4)] {
        let owners = domains * max(daemons, domains, PoolRole::Owner);
        let others = (daemons - domains) * max(daemons, domains, PoolRole::NonOwner);
        assert!(owners + others <= 26, "{daemons} {domains}");
        assert!(
            max(daemons, domains, PoolRole::Owner) >= max(daemons, domains, PoolRole::NonOwner)
        );
    }
}

// Guards against daemons that have just started and each open the connections of a whole domain:
// searchers reset the connections that they don't accept.
#[test]
fn a_daemon_that_knows_no_other_opens_few_connections() {
    let mut fleet = fleet();
    let table = RouteTable::new(&config(Vec::new()), &mut fleet);
    let pool = fleet.pool("p0");
    let size = members().tier_size(ms(100));
    let max = table.max_connections(pool, &even(size), PoolRole::Owner, 0.9);
    assert!(max * MemberSettings::default().min_daemons <= 26, "{max}");
}

fn vm(name: &str, domain: &str) -> Vm {
    let address = |port| format!("127.0.0.1:{port}").parse().expect("an address");
    Vm { name: name.to_owned(), front: address(1), peer: address(2), domain: domain.to_owned() }
}

fn members() -> Members {
    Members::new(MemberSettings::default(), vm("me", "home"))
}

fn status(state: MemberState, shards: u64) -> MemberStatus {
    MemberStatus {
        state,
        version: 1,
        shards,
        revision: StoreRevision { era: 1, number: 1 },
        listing_read_at: Some(ms(0)),
        ..MemberStatus::default()
    }
}

// Guards against callers that are sent to a daemon that has timed out or is stopping.
#[test]
fn a_daemon_is_open_while_it_is_live_and_reports_open() {
    let mut members = members();
    members.update_from_store(vec![vm("listed", "d")], ms(0));
    members.update_status(vm("heard", "d"), status(MemberState::Open, 1), ms(0));
    members.update_status(vm("stopping", "d"), status(MemberState::Stopping, 1), ms(0));
    let open = |now| members.open_members(now).map(|it| it.vm.name.clone()).collect::<Vec<_>>();
    assert_eq!(open(ms(1600)), ["heard"]);
    assert!(open(ms(1700)).is_empty());
}

// Guards against parts of the limits that add up to more than the limits, when daemons lose contact
// with one another or when one has just started.
#[test]
fn a_silent_daemon_keeps_its_part_of_the_limits_for_a_while() {
    let mut members = members();
    assert_eq!(members.tier_size(ms(0)).daemons, 4);
    for name in ["a", "b", "c", "d"] {
        members.update_status(vm(name, "d"), status(MemberState::Open, 1), ms(100));
    }
    assert_eq!(members.tier_size(ms(14_000)).daemons, 5);
    assert!(members.update_from_store(Vec::new(), ms(14_000)).removed.is_empty());
    assert_eq!(members.update_from_store(Vec::new(), ms(15_100)).removed.len(), 4);
    assert_eq!(members.tier_size(ms(15_100)).daemons, 1);
}

// Guards against a daemon that uses the whole limits because neither the store nor another daemon
// could be reached since its start.
#[test]
fn a_daemon_that_has_not_read_the_members_does_not_count_as_the_only_one() {
    let mut members = members();
    assert_eq!(members.tier_size(ms(60_000)).daemons, 4);
    members.update_from_store(Vec::new(), ms(61_000));
    assert_eq!(members.tier_size(ms(61_000)).daemons, 1);
}

// Guards against callers that are sent to a daemon which must query every shard in another domain.
#[test]
fn callers_are_sent_to_the_domain_of_the_shards_if_a_daemon_is_there() {
    let mut fleet = fleet();
    let pools: Vec<String> = (0..4).map(|pool| format!("p{pool}")).collect();
    let target = Target::Gather(Gather { pools: pools.clone(), max_records: 1, min_coverage: 0.5 });
    let table = RouteTable::new(&config(vec![route("/a/", target)]), &mut fleet);
    for name in &pools {
        let pool = fleet.pool(name);
        add(&mut fleet, pool, name, "near");
    }
    let candidate = |domain: &str, port: u16| Candidate {
        front: format!("127.0.0.1:{port}").parse().expect("an address"),
        domain: domain.to_owned(),
    };
    let both = [candidate("near", 1), candidate("far", 2)];
    assert_eq!(directory_addresses(&both, &table, &fleet), [both[0].front]);
    assert_eq!(directory_addresses(&both[1..], &table, &fleet), [both[1].front]);
}

// Guards against single sub-queries to other domains where a relay could be used, and against
// relays for shards that have a searcher in the own domain.
#[test]
fn shards_without_a_local_searcher_are_delegated_to_a_domain_that_has_one() {
    let mut fleet = fleet();
    let mut pools = Vec::new();
    for (shard, domain) in ["home", "east", "east", "west", "east"].iter().enumerate() {
        let pool = fleet.pool(&format!("p{shard}"));
        add(&mut fleet, pool, &format!("s{shard}"), domain);
        pools.push(pool);
    }
    let mut members = members();
    members.update_status(vm("e", "east"), status(MemberState::Open, 7), ms(0));
    members.update_status(vm("w", "west"), status(MemberState::Open, 7), ms(0));
    let relays: Vec<&Member> = members.relay_candidates(7, ms(0)).collect();
    let me = vm("me", "home");
    let assigned =
        |scope| assign(&pools, &fleet, &me, &relays, EntryRole::Primary, scope, 0, ms(0));
    let delegations = assigned(RelayScope::All).delegations;
    assert_eq!(delegations.len(), 1, "one shard alone is not worth a relay");
    assert_eq!(delegations[0].relay.name, "e");
    assert_eq!(delegations[0].shards, [1, 2, 4]);
    assert!(
        assigned(RelayScope::Domain).delegations.is_empty(),
        "no other daemon is in the domain"
    );
    assert!(assigned(RelayScope::None).delegations.is_empty());
    assert_eq!(
        members.relay_candidates(8, ms(0)).count(),
        0,
        "another set numbers shards differently"
    );
    members.avoid_relay("e", ms(1500));
    assert_eq!(members.relay_candidates(7, ms(100)).count(), 1);
    assert_eq!(members.relay_candidates(7, ms(1500)).count(), 2);
}

// Guards against two daemons of a domain that both consider themselves the owner of a shard, and
// against a change of all owners when a daemon leaves.
#[test]
fn each_shard_has_one_owner_in_a_domain() {
    let mut fleet = fleet();
    let pools: Vec<_> = (0..60)
        .map(|shard| {
            let pool = fleet.pool(&format!("p{shard}"));
            add(&mut fleet, pool, &format!("s{shard}"), "home");
            pool
        })
        .collect();
    let names = ["a", "b", "c"];
    let owned = |me: &str, others: &[&str]| -> Vec<bool> {
        let mut members = Members::new(MemberSettings::default(), vm(me, "home"));
        for name in others.iter().filter(|name| **name != me) {
            members.update_status(vm(name, "home"), status(MemberState::Open, 7), ms(0));
        }
        let relays: Vec<&Member> = members.relay_candidates(7, ms(0)).collect();
        let me = vm(me, "home");
        let assignment =
            assign(&pools, &fleet, &me, &relays, EntryRole::Primary, RelayScope::All, 0, ms(0));
        let delegated: usize = assignment.delegations.iter().map(|it| it.shards.len()).sum();
        let own_shards = assignment.owned.iter().filter(|&&own| own).count();
        assert_eq!(delegated + own_shards, pools.len());
        assignment.owned
    };
    let all: Vec<Vec<bool>> = names.iter().map(|name| owned(name, &names)).collect();
    for shard in 0..pools.len() {
        assert_eq!(all.iter().filter(|owned| owned[shard]).count(), 1);
    }
    for owned in &all {
        assert!(
            owned.iter().filter(|&&own| own).count() >= 10,
            "the shards are spread over the daemons"
        );
    }
    let without = owned("a", &["a", "b"]);
    assert!((0..pools.len()).all(|shard| without[shard] || !all[0][shard]));
}

// Guards against a hedge delay that grows with rare pauses of searchers, against one that is too
// short, and against one after which the answer to the hedge can't arrive in time.
#[test]
fn the_hedge_delay_follows_the_usual_latency() {
    let settings = LatencyEstimateSettings::default();
    let mut estimate = LatencyEstimate::default();
    assert_eq!(estimate.hedge_delay(&settings, ms(100)), ms(30));
    for step in 0..200 {
        let pause = step % 25 == 24;
        estimate.observe(&settings, if pause { ms(160) } else { ms(10 + step % 4) });
    }
    assert_eq!(estimate.median(), Some(ms(12)));
    assert_eq!(estimate.hedge_delay(&settings, ms(100)), ms(13));
    for _ in 0..200 {
        estimate.observe(&settings, ms(300));
    }
    assert_eq!(estimate.hedge_delay(&settings, ms(100)), ms(40));
}
