//! Configurations that follow one another more quickly than they reach all daemons: shards are
//! still queried by their owners, so that searchers don't meet a connection from each daemon.

mod common;

use common::add;
use common::fleet;
use common::ms;

use tt_serve::CallerLimits;
use tt_serve::Config;
use tt_serve::EntryRole;
use tt_serve::Fleet;
use tt_serve::Gather;
use tt_serve::Member;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::PoolKey;
use tt_serve::RelayScope;
use tt_serve::RepeatPolicy;
use tt_serve::Route;
use tt_serve::RouteTable;
use tt_serve::StoreRevision;
use tt_serve::Target;
use tt_serve::Vm;
use tt_serve::assign;

const SHARDS: usize = 30;
const DAEMONS: usize = 5;

fn vm(index: usize) -> Vm {
    let address = "127.0.0.1:1".parse().expect("an address");
    Vm { name: format!("vm-{index}"), front: address, peer: address, domain: "home".to_owned() }
}

fn route(name: &str, timeout_ms: u64, target: Target) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: format!("/{name}/"),
        target,
        repeat: RepeatPolicy::Idempotent,
        timeout: ms(timeout_ms),
        objective: ms(100),
        max_attempts: 2,
        priority: 1,
        public: false,
        allowed_regions: Vec::new(),
    }
}

/// A version of the configuration that queries `shards`, with a timeout and a further route that
/// only this version has.
fn table(fleet: &mut Fleet, version: u64, shards: usize) -> RouteTable {
    let pools = (0..shards).map(|shard| format!("p{shard}")).collect();
    let gather = Gather { pools, max_records: 10, min_coverage: 0.9 };
    let config = Config {
        version,
        routes: vec![
            route("all", 500 + version, Target::Gather(gather)),
            route(&format!("v{version}"), 500, Target::One("one".to_owned())),
        ],
        pools: Vec::new(),
        limits: CallerLimits::default(),
        organisations: None,
    };
    RouteTable::new(&config, fleet)
}

/// Number of shards that one daemon queries itself while the others have the configurations
/// `versions` over `shards` shards.
fn queried_by_itself(versions: &[u64], shards: usize) -> usize {
    let mut fleet = fleet();
    let own = table(&mut fleet, 1, SHARDS);
    let pools: Vec<PoolKey> = (0..SHARDS).map(|shard| fleet.pool(&format!("p{shard}"))).collect();
    for (shard, &pool) in pools.iter().enumerate() {
        add(&mut fleet, pool, &format!("s{shard}"), "home");
    }
    let mut members = Members::new(MemberSettings::default(), vm(0));
    for (index, &version) in versions.iter().enumerate() {
        let status = MemberStatus {
            state: MemberState::Open,
            version,
            shards: table(&mut fleet, version, shards).shards_digest,
            revision: StoreRevision { era: 1, number: 1 },
            listing_read_at: Some(ms(0)),
            ..MemberStatus::default()
        };
        members.update_status(vm(index + 1), status, ms(0));
    }
    let relays: Vec<&Member> = members.relay_candidates(own.shards_digest, ms(0)).collect();
    let assignment =
        assign(&pools, &fleet, &vm(0), &relays, EntryRole::Primary, RelayScope::All, 0, ms(0));
    let delegated: usize = assignment.delegations.iter().map(|it| it.shards.len()).sum();
    SHARDS - delegated
}

// Guards against a storm in which each daemon queries all shards itself, over connections beyond
// what the searchers accept.
#[test]
fn shards_stay_with_their_owners_while_versions_differ() {
    let calm = queried_by_itself(&[1, 1, 1, 1], SHARDS);
    assert!(calm <= 2 * SHARDS / DAEMONS, "{calm}");
    // Twenty versions in 1.6 s: no two daemons have the same.
    assert_eq!(queried_by_itself(&[2, 3, 5, 21], SHARDS), calm);
}

// Guards against a relay that takes the indices of its own shards for those of another set.
#[test]
fn shards_are_not_delegated_to_a_daemon_with_another_set() {
    assert_eq!(queried_by_itself(&[2, 2, 2, 2], SHARDS + 1), SHARDS);
    let mut fleet = fleet();
    let digests: Vec<u64> =
        [20, 30, 45].iter().map(|&shards| table(&mut fleet, 1, shards).shards_digest).collect();
    assert!(digests[0] != digests[1] && digests[1] != digests[2] && digests[0] != digests[2]);
}

// Guards against a digest that depends on when or where it is computed.
#[test]
fn versions_with_the_same_shards_have_the_same_digest_on_all_daemons() {
    let mut first = fleet();
    first.pool("known before");
    let mut second = fleet();
    let digest = table(&mut first, 1, SHARDS).shards_digest;
    assert_eq!(table(&mut second, 9, SHARDS).shards_digest, digest);
}
