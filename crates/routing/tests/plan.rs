//! Tests of the planner: the shards of a query during splits and merges, and the choice of
//! its snapshot.

mod common;

use std::sync::Arc;

use insta::assert_snapshot;
use tokio::time::Instant;

use self::common::COVERAGE;
use self::common::ShardSpec;
use self::common::environment;
use self::common::uniform;
use tt_model::Environment;
use tt_model::Preference;
use tt_model::ResultCode;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_routing::HealthSettings;
use tt_routing::Planner;
use tt_routing::Shards;
use tt_routing::SnapshotFilter;
use tt_routing::StatusReport;
use tt_routing::View;

/// `a` splits into `a1` and `a2` at 11, which split and merge again at 12 and 13; `b` and
/// `c` merge into `bc` at 12; `d` starts at 11 without parents and `e` ends at 11.
fn lineage() -> Arc<Environment> {
    let shard = |name, fields| ShardSpec { name, replicas: &["x", "y"], fields };
    environment(&[
        shard("a", r#""until": 11"#),
        shard("a1", r#""from": 11, "until": 13, "parents": ["a"]"#),
        shard("a2", r#""from": 11, "until": 12, "parents": ["a"]"#),
        shard("a21", r#""from": 12, "until": 13, "parents": ["a2"]"#),
        shard("a22", r#""from": 12, "until": 13, "parents": ["a2"]"#),
        shard("aa", r#""from": 13, "parents": ["a1", "a21", "a22"]"#),
        shard("b", r#""until": 12"#),
        shard("c", r#""until": 12"#),
        shard("bc", r#""from": 12, "parents": ["b", "c"]"#),
        shard("d", r#""from": 11"#),
        shard("e", r#""until": 11"#),
    ])
}

fn expand(named: &[&str], snapshot: u64) -> String {
    let environment = lineage();
    let shards = match named {
        [] => Shards::All,
        named => Shards::Named(named.iter().map(|name| environment.shard(name).unwrap()).collect()),
    };
    let mut planner = Planner::new(Arc::clone(&environment));
    let plan = planner.expand(COVERAGE, &shards, Snapshot(snapshot));
    let names = |list: &[_]| {
        let mut names: Vec<&str> =
            list.iter().map(|&id| environment.shards[id].name.as_str()).collect();
        names.sort_unstable();
        names.join(" ")
    };
    format!("{} / {}", names(&plan.shards), names(&plan.absent)).trim().to_owned()
}

#[test]
fn all_shards_are_those_that_exist_at_the_snapshot() {
    // Guards against data that is missed during a split, or counted twice because a parent
    // and its child are both searched.
    assert_snapshot!(expand(&[], 10), @"a b c e /");
    assert_snapshot!(expand(&[], 11), @"a1 a2 b c d /");
    assert_snapshot!(expand(&[], 12), @"a1 a21 a22 bc d /");
    assert_snapshot!(expand(&[], 13), @"aa bc d /");
}

#[test]
fn a_named_shard_that_has_ended_is_replaced_by_its_descendants() {
    // Guards against missed data when a caller still names the shard from before a split.
    assert_snapshot!(expand(&["a"], 12), @"a1 a21 a22 /");
    assert_snapshot!(expand(&["a"], 13), @"aa /");
    assert_snapshot!(expand(&["b", "c"], 12), @"bc /");
    assert_snapshot!(expand(&["a", "a1"], 11), @"a1 a2 /");
}

#[test]
fn a_named_shard_that_does_not_exist_yet_is_replaced_by_its_ancestors() {
    // Guards against missed data when a caller already names the shards from after a split,
    // and against searching their parent once for each of them.
    assert_snapshot!(expand(&["a1", "a2"], 10), @"a /");
    assert_snapshot!(expand(&["aa"], 12), @"a1 a21 a22 /");
    assert_snapshot!(expand(&["aa"], 10), @"a /");
}

#[test]
fn a_named_shard_without_relatives_is_reported_absent() {
    // Guards against a named shard that is in neither of the coverage lists.
    assert_snapshot!(expand(&["b", "d", "d"], 10), @"b / d");
    assert_snapshot!(expand(&["e"], 11), @"/ e");
}

struct Case {
    view: View,
    planner: Planner,
    now: Instant,
}

/// A view of two shards with two replicas each, which hold these snapshots.
fn plan_case(held: [&[u64]; 4]) -> Case {
    let environment = uniform(2, 2);
    let mut view = View::new(Arc::clone(&environment), HealthSettings::default());
    for (searcher, held) in environment.searchers.keys().zip(held) {
        let held: Vec<Snapshot> = held.iter().copied().map(Snapshot).collect();
        view.set_held_snapshots(searcher, &held);
    }
    Case { view, planner: Planner::new(environment), now: Instant::now() }
}

impl Case {
    fn pin(&mut self, prefer: Preference, filter: SnapshotFilter) -> Option<u64> {
        let plan = self.planner.plan(&self.view, COVERAGE, &Shards::All, prefer, filter)?;
        Some(plan.snapshot.0)
    }
}

#[test]
fn coverage_pins_the_newest_snapshot_that_every_shard_serves() {
    // Guards against lost coverage when a new snapshot is pinned before every shard has it.
    let mut case = plan_case([&[1, 2], &[1], &[1], &[1]]);
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::Any), Some(1));
    case.view.set_held_snapshots(SearcherId(3), &[Snapshot(1), Snapshot(2)]);
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::Any), Some(2));
    case.view.report_status(SearcherId(3), StatusReport::Leaving, case.now);
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::Any), Some(1));
}

#[test]
fn latency_pins_the_newest_snapshot_of_the_fast_replicas() {
    // Guards against a snapshot that only one of the fast replicas holds: a straggler there
    // could not be hedged.
    let mut case = plan_case([&[1, 2], &[1], &[1, 2], &[1, 2]]);
    assert_eq!(case.pin(Preference::Latency, SnapshotFilter::Any), Some(1));
    case.view.set_held_snapshots(SearcherId(1), &[Snapshot(1), Snapshot(2)]);
    assert_eq!(case.pin(Preference::Latency, SnapshotFilter::Any), Some(2));
}

#[test]
fn without_a_common_snapshot_the_one_with_most_shards_is_pinned() {
    // Guards against refusing a query that can be answered in part because no snapshot is held
    // for all shards.
    let mut case = plan_case([&[3], &[3], &[1, 2], &[2]]);
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::Any), Some(3));
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::After(Snapshot(3))), None);
    let mut case = plan_case([&[], &[], &[], &[]]);
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::Any), None);
}

#[test]
fn a_named_shard_is_checked_against_the_document() {
    // Guards against a request that is planned for a service or a shard which the document
    // does not have.
    let environment = uniform(2, 1);
    let planner = Planner::new(environment);
    let check = |shard| planner.check(COVERAGE, &Shards::Named(vec![tt_model::ShardId(shard)]));
    assert_eq!(check(1), Ok(()));
    assert_eq!(check(2), Err(ResultCode::UnknownShard));
    let unknown = planner.check(tt_model::ServiceId(9), &Shards::All);
    assert_eq!(unknown, Err(ResultCode::UnknownService));
}

#[test]
fn held_snapshots_follow_the_last_report() {
    // Guards against a plan for a snapshot that no searcher holds any more, when a report does
    // not replace the previous one.
    let mut case = plan_case([&[1], &[1], &[1], &[1]]);
    for searcher in 0..4 {
        case.view.set_held_snapshots(SearcherId(searcher), &[Snapshot(3), Snapshot(2)]);
    }
    assert_eq!(case.view.held_snapshots(SearcherId(0)), Some(&[Snapshot(2), Snapshot(3)][..]));
    assert_eq!(case.pin(Preference::Coverage, SnapshotFilter::Any), Some(3));
}
