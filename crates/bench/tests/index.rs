//! Index snapshots that are published and retired, and a shard that is split, under load.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::ENVIRONMENT;
use support::WAIT_TIMEOUT;
use tokio::time::sleep;

use tt_bench::Checks;
use tt_bench::Fleet;
use tt_bench::FleetSettings;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_bench::Load;
use tt_bench::Record;
use tt_bench::wait_for_owners;
use tt_daemon::Policy;

/// Searches per second of each searching service.
const SEARCHES_PER_S: f64 = 40.0;

const SPLIT_SHARD: &str = "s5";
/// The shards that `SPLIT_SHARD` is split into.
const CHILD_SHARDS: [&str; 2] = ["s5a", "s5b"];

/// Guards against an answer with hits of two snapshots, which can happen while searchers get and
/// drop snapshots one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_mixes_snapshots_while_they_change() {
    let fleet = support::serving_fleet(3).await;
    let load = tokio::spawn(Load::new(support::load(&fleet, 12, SEARCHES_PER_S, 4.0)).run());
    for next in 2..5 {
        sleep(Duration::from_secs(1)).await;
        for searcher in fleet.searchers.values() {
            searcher.publish(next);
            sleep(Duration::from_millis(50)).await;
        }
        sleep(Duration::from_secs(1)).await;
        for searcher in fleet.searchers.values() {
            searcher.retire(next - 1);
            sleep(Duration::from_millis(20)).await;
        }
    }
    let records = load.await.expect("the load does not panic");
    let checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    support::assert_held(&checks, &[]);
    let used: BTreeSet<u64> = answers(&records).filter_map(|a| a["snapshot"].as_u64()).collect();
    assert!(used.len() >= 3, "snapshots in use: {used:?}");
    assert!(support::full_coverage(&fleet).await, "the last snapshot is not used");
}

/// Guards against a shard that is searched twice or not at all when it is split while queries run.
/// The document and the searchers change at different times, so both sets of shards are in use.
#[tokio::test(flavor = "multi_thread")]
async fn a_split_shard_is_neither_missed_nor_counted_twice() {
    let settings =
        FleetSettings { document: split_document(), daemons: 3, ..FleetSettings::default() };
    let fleet = Fleet::start(settings).await.expect("loopback has free ports");
    assert!(support::all_live(&fleet, 3).await, "the daemons did not find each other");
    let before = unsplit_document(&fleet.document);
    bring_document_into_force(&fleet, &before).await;
    wait_for_owners(&fleet, Policy::Adaptive).await.expect("the daemons agree on owners");
    let load = tokio::spawn(Load::new(support::load(&fleet, 12, SEARCHES_PER_S, 4.0)).run());
    sleep(Duration::from_secs(1)).await;
    bring_document_into_force(&fleet, &fleet.document).await;
    sleep(Duration::from_secs(1)).await;
    for searcher in fleet.searchers.values() {
        searcher.publish(2);
        sleep(Duration::from_millis(50)).await;
    }
    let records = load.await.expect("the load does not panic");
    let mut seen = BTreeSet::new();
    for answer in answers(&records).filter(|answer| answer["service"] != "payout-0") {
        let mut expected: BTreeSet<&str> = ["s0", "s1", "s2", "s3", "s4"].into();
        match answer["snapshot"].as_u64() {
            Some(1) => expected.extend([SPLIT_SHARD]),
            Some(2) => expected.extend(CHILD_SHARDS),
            _ => panic!("{answer}"),
        }
        seen.insert(answer["snapshot"].as_u64());
        let shards = named_shards(answer);
        assert_eq!(shards.len(), expected.len(), "{answer}");
        assert_eq!(shards.into_iter().collect::<BTreeSet<_>>(), expected, "{answer}");
    }
    assert_eq!(seen.len(), 2, "only snapshots {seen:?} were used");
    // "true coverage" knows only the shards after the split; the set is checked above instead.
    let checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    support::assert_held(&checks, &["true coverage"]);
    let complete = Fleet::wait_for(WAIT_TIMEOUT, async || {
        let body = support::search(&support::new_id());
        let answer = support::query(&HttpClient::new(), fleet.all_callers()[0], &body).await;
        answer.is_some_and(|a| a["name"] == "Complete" && a["snapshot"] == 2)
    });
    assert!(complete.await, "the shards after the split are not searched");
}

fn answers(records: &[Record]) -> impl Iterator<Item = &Value> {
    records
        .iter()
        .filter_map(|record| record.answer.as_ref().ok())
        .filter(|answer| answer["results"].is_array())
}

/// The shards that an answer names as covered or uncovered.
fn named_shards(answer: &Value) -> Vec<&str> {
    let covered = answer["covered"].as_array().into_iter().flatten().filter_map(Value::as_str);
    let uncovered = answer["uncovered"].as_array().into_iter().flatten();
    covered.chain(uncovered.filter_map(|gap| gap["shard"].as_str())).collect()
}

/// The document in which one shard is split from snapshot 2 on.
fn split_document() -> String {
    let mut document: Value = serde_json::from_str(&support::document()).expect("it is JSON");
    let shards = document["shards"].as_array_mut().expect("it has shards");
    let parent = shards.last_mut().expect("it has shards");
    parent["until"] = json!(2);
    let replicas = parent["replicas"].clone();
    for name in CHILD_SHARDS {
        shards.push(
            json!({ "name": name, "replicas": replicas, "from": 2, "parents": [SPLIT_SHARD] }),
        );
    }
    format!("{document:#}")
}

/// The document before the split.
fn unsplit_document(document: &str) -> String {
    let mut document: Value = serde_json::from_str(document).expect("it is JSON");
    let shards = document["shards"].as_array_mut().expect("it has shards");
    shards.truncate(6);
    if let Some(parent) = shards.last_mut().and_then(Value::as_object_mut) {
        parent.remove("until");
    }
    format!("{document:#}")
}

/// Submits a document for trial and promotes it to production.
async fn bring_document_into_force(fleet: &Fleet, document: &str) {
    let http = HttpClient::new();
    let operators = fleet.operators(0).expect("the daemon runs");
    let digest = tt_model::Digest::of(document.as_bytes());
    let trial = format!("/v1/env/{ENVIRONMENT}/trial?operator=alice");
    let promote =
        format!("/v1/env/{ENVIRONMENT}/promote?operator=alice&digest={}", digest.as_str());
    for (path, body) in [(trial, document.as_bytes().to_vec()), (promote, Vec::new())] {
        let answer =
            http.send(HttpRequest::post(operators, path, body)).await.expect("the daemon answers");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
