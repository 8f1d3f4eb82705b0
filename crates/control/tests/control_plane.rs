//! Tests of adoption, recovery and dissemination in a simulated cluster.

mod support;

use std::time::Duration;

use support::change_id;
use support::cluster::Cluster;
use support::cluster::ClusterConfig;
use support::cluster::Mode;
use support::cluster::StoreState;
use support::document;
use support::operators::trial;

use tt_control::ASSIGNMENT_KEY;
use tt_control::Change;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::NotReady;
use tt_control::Outcome;
use tt_control::Stage;
use tt_control::StoreRequest;
use tt_model::Epoch;
use tt_model::Revision;
use tt_model::StoreCall;

/// Puts a document into trial; the change must be accepted.
fn accept(cluster: &mut Cluster, base: u64, text: &str) -> Revision {
    let id = change_id(base + 1);
    let request = ChangeRequest { change: id, ..trial("a", "alice", base, text) };
    let settings = ChangeSettings::default();
    let (mut change, mut calls) = Change::start(request, &settings, cluster.now);
    while let Some(StoreRequest { id, call }) = calls.pop() {
        let reply = cluster.operator_call(&call);
        calls.extend(change.on_reply(id, reply, cluster.now));
    }
    match change.outcome() {
        Some(Outcome::Accepted { revision }) => *revision,
        outcome => panic!("{outcome:?}"),
    }
}

/// A cluster in which all daemons have adopted revision 1.
fn cluster_with(config: ClusterConfig) -> Cluster {
    let mut cluster = Cluster::new(config);
    accept(&mut cluster, 0, &document("a", 3, 1));
    let until = cluster.now + Duration::from_secs(10);
    assert!(cluster.run_until(until, |c| c.all_adopted(Revision(1))));
    cluster.run_for(Duration::from_secs(3));
    cluster
}

/// Runs the cluster until all daemons have adopted `revision`, and returns the time that it took.
fn converges(cluster: &mut Cluster, revision: Revision, within: Duration) -> Duration {
    let start = cluster.now;
    let reached = cluster.run_until(start + within, |c| c.all_adopted(revision));
    let held: Vec<u64> = cluster.nodes.iter().map(|n| n.control.versions().catalog.0).collect();
    assert!(reached, "not in force within {within:?}: {held:?}");
    cluster.now - start
}

/// Guards against a change that reaches daemons only with heartbeats and pulls, which takes
/// seconds: the push tree must deliver it.
#[test]
fn a_change_reaches_every_daemon_through_the_push_tree() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 60, domains: 3, ..ClusterConfig::default() });
    let revision = accept(&mut cluster, 1, &document("a", 3, 2));
    let time = converges(&mut cluster, revision, Duration::from_secs(1));
    assert!(time < Duration::from_millis(50), "{time:?}");
    for node in &cluster.nodes {
        let held = node.control.replica().document("a", Stage::Trial).expect("a document");
        assert_eq!(held.digest, tt_model::Digest::of(document("a", 3, 2).as_bytes()));
    }
}

/// Guards against a number of store calls that grows with the number of daemons, as it would if
/// each daemon read each change from the store.
#[test]
fn store_calls_grow_with_domains_and_not_with_daemons() {
    let calls = |members| {
        let mut cluster =
            cluster_with(ClusterConfig { members, domains: 3, ..ClusterConfig::default() });
        let before = cluster.store.calls;
        let revision = accept(&mut cluster, 1, &document("a", 3, 2));
        converges(&mut cluster, revision, Duration::from_secs(5));
        cluster.run_for(Duration::from_secs(60));
        cluster.store.calls - before
    };
    let (few, many) = (calls(12), calls(240));
    assert!(many <= few * 3 / 2, "{few} store calls with 12 daemons, {many} with 240");
}

/// Guards against a daemon that keeps an old revision because a push to it was lost.
#[test]
fn lost_pushes_are_repaired_by_pulls() {
    for seed in 1..4 {
        let config = ClusterConfig {
            members: 60,
            domains: 3,
            loss_ratio: 0.3,
            seed,
            ..ClusterConfig::default()
        };
        let mut cluster = cluster_with(config);
        for base in 1..6 {
            let revision = accept(&mut cluster, base, &document("a", 3, base as u32 + 1));
            converges(&mut cluster, revision, Duration::from_secs(10));
        }
    }
}

/// Guards against a domain that keeps an old revision because its watchers cannot reach the store,
/// although peers in other domains have the new one.
#[test]
fn a_domain_without_access_to_the_store_gets_changes_from_peers() {
    let mut cluster = cluster_with(ClusterConfig::default());
    for node in cluster.nodes.iter_mut().filter(|node| node.domain == 0) {
        node.reaches_store = false;
    }
    cluster.break_watches();
    let revision = accept(&mut cluster, 1, &document("a", 3, 2));
    converges(&mut cluster, revision, Duration::from_secs(10));
}

/// Guards against a change that reaches no daemon of a domain because only daemons that do not
/// watch the store can reach it.
#[test]
fn a_daemon_that_does_not_watch_reads_the_store_when_the_watchers_cannot() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 4, domains: 1, ..ClusterConfig::default() });
    let watchers = cluster.nodes.iter_mut().filter(|node| node.control.is_watcher());
    for node in watchers {
        node.reaches_store = false;
    }
    cluster.break_watches();
    let revision = accept(&mut cluster, 1, &document("a", 3, 2));
    converges(&mut cluster, revision, Duration::from_secs(60));
}

/// Guards against changes that are delayed after the first watcher has failed, until the membership
/// notices it.
#[test]
fn the_second_watcher_pushes_when_the_first_is_lost() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 9, domains: 1, ..ClusterConfig::default() });
    let members: Vec<tt_control::Member> = cluster
        .nodes
        .iter()
        .map(|n| tt_control::Member { address: n.address, domain: "d0".to_owned() })
        .collect();
    let first = tt_control::dissemination::push_order("d0", &members)[0];
    let first = cluster.nodes.iter().position(|n| n.address == first).unwrap();
    cluster.stop(first);
    let revision = accept(&mut cluster, 1, &document("a", 3, 2));
    let time = converges(&mut cluster, revision, Duration::from_secs(3));
    assert!(time < Duration::from_millis(1500), "{time:?}");
}

/// Guards against a daemon that waits for a failed store after its start, although its peers hold
/// the configuration.
#[test]
fn a_daemon_that_starts_during_an_outage_recovers_from_peers() {
    let mut cluster = cluster_with(ClusterConfig::default());
    cluster.store_state = StoreState::Down;
    cluster.break_watches();
    cluster.restart(1);
    assert_eq!(cluster.nodes[1].control.not_ready(), Some(NotReady::Starting));
    converges(&mut cluster, Revision(1), Duration::from_secs(5));
    assert_eq!(cluster.nodes[1].control.not_ready(), None);
}

/// Guards against a daemon that is ready without a complete document, or gives a wrong reason for
/// not being ready.
#[test]
fn without_store_and_peers_a_daemon_is_not_ready_and_says_why() {
    let mut cluster =
        Cluster::new(ClusterConfig { members: 1, domains: 1, ..ClusterConfig::default() });
    cluster.store_state = StoreState::Down;
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(cluster.nodes[0].control.not_ready(), Some(NotReady::NoContact));
    cluster.store_state = StoreState::Up;
    cluster.run_for(Duration::from_secs(40));
    assert_eq!(cluster.nodes[0].control.not_ready(), Some(NotReady::NoDocument));

    let text = document("a", 60, 1);
    accept(&mut cluster, 0, &text);
    let key = tt_control::parts::split_document(&text)[0].key();
    let part = cluster.store.values.remove(&key).unwrap();
    cluster.run_for(Duration::from_secs(5));
    let missing = NotReady::MissingParts { revision: Revision(1), parts: 1 };
    assert_eq!(cluster.nodes[0].control.not_ready(), Some(missing));

    // A damaged part counts as missing.
    cluster.store.values.insert(key.clone(), (part.0, b"damaged".to_vec()));
    cluster.run_for(Duration::from_secs(10));
    assert!(cluster.nodes[0].control.not_ready().is_some());
    cluster.store.values.insert(key, part);
    converges(&mut cluster, Revision(1), Duration::from_secs(10));
}

/// Guards against adopting only a part of a catalog, and against a daemon that drops its adopted
/// documents, when one document of a new revision cannot be parsed.
#[test]
fn a_revision_with_an_unreadable_document_is_not_adopted_and_a_later_one_is() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 2, domains: 1, ..ClusterConfig::default() });
    // The document is not checked, as if a daemon with other rules had accepted it.
    let mut catalog = cluster.nodes[0].control.replica().adopted().clone();
    let part = tt_control::parts::Part::new("{\"environment\": 5}");
    let manifest = tt_control::parts::Manifest::of(std::slice::from_ref(&part));
    catalog = catalog.with_change(tt_control::catalog::NewChange {
        key: catalog.records.keys().next().unwrap().clone(),
        manifest: tt_control::catalog::ManifestRef::new(&manifest),
        digest: part.digest().clone(),
        change: change_id(77),
        operator: "other".to_owned(),
    });
    let put = |key: String, expect, value| StoreCall::Put { key, expect, value };
    let catalog_key = tt_control::CATALOG_KEY.to_owned();
    let at = cluster.store.values[&catalog_key].0;
    cluster.operator_call(&put(part.key(), Revision(0), part.text().as_bytes().to_vec()));
    cluster.operator_call(&put(catalog_key, at, catalog.encode().unwrap()));
    cluster.run_for(Duration::from_secs(5));
    for node in &cluster.nodes {
        assert_eq!(node.control.versions().catalog, Revision(1));
        assert!(node.control.replica().rejection().is_some());
    }
    let revision = accept(&mut cluster, 2, &document("a", 3, 2));
    converges(&mut cluster, revision, Duration::from_secs(2));
}

/// Guards against answers that are not marked as stale although the daemon has had no contact to
/// the store and its peers for 60 s.
#[test]
fn a_daemon_without_contact_to_store_and_peers_is_stale_after_60_s() {
    let mut cluster = cluster_with(ClusterConfig::default());
    cluster.nodes[0].partition = 1;
    cluster.nodes[0].reaches_store = false;
    cluster.break_watches();
    cluster.run_for(Duration::from_secs(59));
    assert!(!cluster.nodes[0].control.is_stale(cluster.now));
    cluster.run_for(Duration::from_secs(2));
    let age = cluster.nodes[0].control.config_age(cluster.now);
    assert!(age >= Duration::from_secs(60), "{age:?}");
    assert!(cluster.nodes[0].control.is_stale(cluster.now));
    assert!(!cluster.nodes[1].control.is_stale(cluster.now));
    assert_eq!(cluster.nodes[0].control.not_ready(), None);

    cluster.nodes[0].partition = 0;
    cluster.run_for(Duration::from_secs(5));
    assert!(!cluster.nodes[0].control.is_stale(cluster.now));
}

/// Guards against a burst of calls to a failing store: all daemons retry their watches at the same
/// time or without a delay.
#[test]
fn watches_that_fail_back_off_with_jitter() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 8, domains: 4, ..ClusterConfig::default() });
    cluster.store_state = StoreState::LosesReplies;
    cluster.break_watches();
    cluster.run_for(Duration::from_secs(30));
    let mut calls = 0;
    let mut max_calls = 0;
    for _ in 0..600 {
        let before = cluster.store.calls;
        cluster.run_for(Duration::from_millis(100));
        max_calls = max_calls.max(cluster.store.calls - before);
        calls += cluster.store.calls - before;
    }
    // 8 daemons with two watches each, every 3.5 to 6 s.
    assert!((150..280).contains(&calls), "{calls} calls in a minute");
    assert!(max_calls <= 5, "{max_calls} of 16 calls in 100 ms");
}

/// Guards against a baseline for measurements that does not work: without known peers, each daemon
/// must watch the store and send no messages.
#[test]
fn without_peers_each_daemon_watches_the_store() {
    let mode = Mode::StoreOnly;
    let mut cluster = cluster_with(ClusterConfig { members: 12, mode, ..ClusterConfig::default() });
    let revision = accept(&mut cluster, 1, &document("a", 3, 2));
    converges(&mut cluster, revision, Duration::from_secs(1));
    assert!(cluster.nodes.iter().all(|node| node.messages == 0));
}

/// Guards against a document that never arrives because it exceeds the maximum size of an answer to
/// a pull or of a push.
#[test]
fn a_large_document_is_transferred_in_several_answers() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 6, domains: 2, ..ClusterConfig::default() });
    let text = document("a", 9_000, 1);
    assert!(text.len() > 2_000_000);
    let revision = accept(&mut cluster, 1, &text);
    converges(&mut cluster, revision, Duration::from_secs(10));
}

/// Guards against a cluster without a collector, or with one in each domain.
#[test]
fn exactly_one_daemon_is_the_collector_and_two_of_each_domain_watch() {
    let cluster =
        cluster_with(ClusterConfig { members: 30, domains: 3, ..ClusterConfig::default() });
    let count = |is: fn(&tt_control::ControlPlane) -> bool| {
        cluster.nodes.iter().filter(|node| is(&node.control)).count()
    };
    assert_eq!(count(tt_control::ControlPlane::is_collector), 1);
    assert_eq!(count(tt_control::ControlPlane::is_watcher), 6);
}

/// Guards against an assignment that reaches daemons only through the store, and against a daemon
/// that goes back to an older epoch.
#[test]
fn an_assignment_spreads_like_the_catalog_and_its_epoch_only_rises() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 20, domains: 2, ..ClusterConfig::default() });
    let put = |expect, epoch| StoreCall::Put {
        key: ASSIGNMENT_KEY.to_owned(),
        expect,
        value: format!("{{\"epoch\": {epoch}}}").into_bytes(),
    };
    let has_epoch = |cluster: &Cluster| {
        cluster.nodes.iter().all(|node| node.control.versions().epoch == Epoch(3))
    };
    cluster.operator_call(&put(Revision(0), 3));
    let until = cluster.now + Duration::from_millis(50);
    assert!(cluster.run_until(until, has_epoch));

    let revision = cluster.store.values[ASSIGNMENT_KEY].0;
    cluster.operator_call(&put(revision, 2));
    cluster.run_for(Duration::from_secs(5));
    assert!(has_epoch(&cluster));

    cluster.store_state = StoreState::Down;
    cluster.break_watches();
    cluster.restart(5);
    let until = cluster.now + Duration::from_secs(5);
    assert!(cluster.run_until(until, has_epoch));
}

/// Guards against a daemon that never catches up because its only peer answers each pull after the
/// timeout.
#[test]
fn an_answer_to_a_pull_is_applied_after_its_timeout() {
    let mut cluster =
        cluster_with(ClusterConfig { members: 2, domains: 1, ..ClusterConfig::default() });
    cluster.store_state = StoreState::Down;
    cluster.break_watches();
    cluster.config.domain_delay = Duration::from_millis(800);
    cluster.restart(0);
    converges(&mut cluster, Revision(1), Duration::from_secs(5));
}
