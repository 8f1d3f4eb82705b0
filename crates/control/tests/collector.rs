//! Tests of the removal of unreferenced parts.

mod support;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use support::FakeStore;
use support::change_id;
use support::document;
use support::operators::OperatorSession;
use support::operators::no_faults;
use support::operators::promote;
use support::operators::trial;
use tokio::time::Instant;

use tt_control::CATALOG_KEY;
use tt_control::Catalog;
use tt_control::Change;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::Collector;
use tt_control::CollectorSettings;
use tt_control::Outcome;
use tt_control::StoreRequest;
use tt_control::parts::Manifest;
use tt_control::parts::Part;
use tt_control::parts::part_key;
use tt_model::Digest;
use tt_model::StoreCall;
use tt_model::StoreReply;

const HOUR: Duration = Duration::from_secs(3600);

/// The keys of the parts and manifests that the catalog references.
fn referenced(store: &FakeStore) -> BTreeSet<String> {
    let (_, value) = &store.values[CATALOG_KEY];
    let mut keys = BTreeSet::new();
    for record in Catalog::decode(value).unwrap().records.values() {
        let digest = &record.manifest.digest;
        keys.insert(part_key(digest));
        let manifest = record.manifest.inline.clone().unwrap_or_else(|| {
            let (_, value) = &store.values[&part_key(digest)];
            Manifest::from_part(&Part::verified(digest, value).unwrap()).unwrap()
        });
        keys.extend(manifest.0.iter().map(part_key));
    }
    keys
}

/// The keys of all parts and manifests in the store.
fn stored(store: &FakeStore) -> BTreeSet<String> {
    store.values.keys().filter(|key| key.starts_with("parts/")).cloned().collect()
}

/// Runs a sweep to its end if one is due.
fn sweep(collector: &mut Collector, store: &mut FakeStore, now: Instant) {
    let mut next = collector.tick(now);
    while let Some(StoreRequest { id, call }) = next {
        next = collector.on_reply(id, &store.call(&call), now);
    }
}

/// A session in which `old` was replaced an hour ago, and a collector that first saw the journal
/// records then.
fn replaced(old: &str) -> (OperatorSession, Collector) {
    let mut session = OperatorSession::new();
    session.run(trial("a", "alice", 0, old), &mut no_faults);
    session.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut no_faults);
    let mut collector = Collector::new(CollectorSettings::default());
    collector.activate(session.now);
    sweep(&mut collector, &mut session.store, session.now);
    session.now += HOUR;
    (session, collector)
}

/// Guards against unreferenced parts that are never removed, and against the removal of parts that
/// are in force or younger than an hour.
#[test]
fn unreferenced_parts_are_removed_after_an_hour_and_not_before() {
    for services in [3, 4_000] {
        let (mut session, mut collector) = replaced(&document("a", services, 1));
        let all = stored(&session.store);
        sweep(&mut collector, &mut session.store, session.now - Duration::from_secs(1));
        assert_eq!(stored(&session.store), all);
        session.now = collector.wake_at().unwrap();
        sweep(&mut collector, &mut session.store, session.now);
        assert_eq!(stored(&session.store), referenced(&session.store));
        assert_eq!(collector.removed_count() as usize, all.len() - stored(&session.store).len());
        let journal = &session.store.values["changes"].1;
        assert!(journal.ends_with(b"\"records\":[]}"), "{}", String::from_utf8_lossy(journal));
    }
}

/// Guards against parts that are never removed because no catalog has ever referenced them: those
/// of a change that lost a race.
#[test]
fn parts_of_a_change_that_lost_are_removed() {
    let (mut session, mut collector) = replaced(&document("a", 3, 1));
    let race = vec![
        trial("a", "alice", 2, &document("a", 3, 3)),
        trial("a", "bob", 2, &document("a", 3, 4)),
    ];
    session.race(race, &mut no_faults);
    assert!(stored(&session.store).len() > 6);
    for _ in 0..20 {
        sweep(&mut collector, &mut session.store, session.now);
        session.now += Duration::from_secs(600);
    }
    assert_eq!(stored(&session.store), referenced(&session.store));
}

/// Guards against the removal of a part that two stages share when only one of them replaces it.
#[test]
fn a_part_that_another_stage_references_is_kept() {
    let old = document("a", 3, 1);
    let mut session = OperatorSession::new();
    session.run(trial("a", "alice", 0, &old), &mut no_faults);
    session.run(promote("a", "alice", 0, &Digest::of(old.as_bytes())), &mut no_faults);
    session.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut no_faults);
    let mut collector = Collector::new(CollectorSettings::default());
    collector.activate(session.now);
    for _ in 0..20 {
        sweep(&mut collector, &mut session.store, session.now);
        session.now += Duration::from_secs(600);
    }
    assert_eq!(stored(&session.store), referenced(&session.store));
    assert_eq!(stored(&session.store).len(), 4);
}

/// A change that can be paused between any two of its store calls.
struct Paused {
    change: Change,
    calls: VecDeque<StoreRequest>,
}

impl Paused {
    fn new(request: ChangeRequest, now: Instant) -> Paused {
        let (change, calls) = Change::start(request, &ChangeSettings::default(), now);
        Paused { change, calls: calls.into() }
    }

    /// Makes up to `steps` store calls.
    fn run(&mut self, store: &mut FakeStore, steps: usize, now: Instant) {
        for _ in 0..steps {
            if self.calls.is_empty() {
                self.calls.extend(self.change.tick(now));
            }
            let Some(StoreRequest { id, call }) = self.calls.pop_front() else {
                return;
            };
            self.calls.extend(self.change.on_reply(id, store.call(&call), now));
        }
    }

    fn finish(&mut self, store: &mut FakeStore, now: Instant) -> Outcome {
        let mut now = now;
        while self.change.outcome().is_none() {
            if self.calls.is_empty() {
                now = now.max(self.change.wake_at().unwrap());
            }
            self.run(store, 1, now);
        }
        self.change.outcome().unwrap().clone()
    }
}

/// Guards against a document that is accepted while a sweep removes a part that it reuses. Runs a
/// change back to the replaced document at every point of a sweep and pauses it at every step.
#[test]
fn no_interleaving_removes_a_part_that_a_change_reuses() {
    let old = document("a", 60, 1);
    let mut removed = 0;
    for sweep_calls in 0..25 {
        for change_calls in 0..16 {
            let (mut session, mut collector) = replaced(&old);
            let now = session.now;
            let store = &mut session.store;
            let mut next = collector.tick(now);
            for _ in 0..sweep_calls {
                let Some(StoreRequest { id, call }) = next else { break };
                next = collector.on_reply(id, &store.call(&call), now);
            }
            let request = ChangeRequest { change: change_id(50), ..trial("a", "bob", 2, &old) };
            let mut change = Paused::new(request, now);
            change.run(store, change_calls, now);
            while let Some(StoreRequest { id, call }) = next {
                next = collector.on_reply(id, &store.call(&call), now);
            }
            removed += collector.removed_count();
            let outcome = change.finish(store, now);
            assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
            let missing: Vec<_> = referenced(store).difference(&stored(store)).cloned().collect();
            assert!(missing.is_empty(), "{sweep_calls} {change_calls}: {missing:?}");
        }
    }
    assert!(removed > 0);
}

/// Guards against a swap that takes effect although its parts were removed: the process of the
/// change is paused for more than an hour and then continues.
#[test]
fn a_swap_that_was_delayed_over_an_hour_fails() {
    for change_calls in 0..16 {
        let mut session = OperatorSession::new();
        session.run(trial("a", "alice", 0, &document("a", 3, 2)), &mut no_faults);
        let request =
            ChangeRequest { change: change_id(50), ..trial("a", "bob", 1, &document("a", 60, 1)) };
        let mut change = Paused::new(request, session.now);
        change.run(&mut session.store, change_calls, session.now);
        let mut collector = Collector::new(CollectorSettings::default());
        collector.activate(session.now);
        for _ in 0..20 {
            sweep(&mut collector, &mut session.store, session.now);
            session.now += Duration::from_secs(600);
        }
        // The delayed call reaches the store, and then the process continues.
        let outcome = change.finish(&mut session.store, session.now);
        let missing: Vec<_> =
            referenced(&session.store).difference(&stored(&session.store)).cloned().collect();
        assert!(missing.is_empty(), "{change_calls}: {outcome:?} {missing:?}");
    }
}

/// Guards against parts that are never removed after any call of a sweep fails, with or without
/// having taken effect.
#[test]
fn a_sweep_with_a_failed_call_is_completed_later() {
    for failed in 0..30 {
        for failure in [StoreReply::Lost, StoreReply::Unavailable] {
            let (mut session, mut collector) = replaced(&document("a", 60, 1));
            let mut calls = 0;
            for _ in 0..3 {
                let mut next = collector.tick(session.now);
                while let Some(StoreRequest { id, call }) = next {
                    let mut reply = failure.clone();
                    if calls != failed {
                        reply = session.store.call(&call);
                    } else if failure == StoreReply::Lost {
                        session.store.call(&call);
                    }
                    calls += 1;
                    next = collector.on_reply(id, &reply, session.now);
                }
                session.now += Duration::from_secs(30);
            }
            assert_eq!(stored(&session.store), referenced(&session.store), "{failed} {failure:?}");
        }
    }
}

/// Guards against conflicting sweeps while two daemons both consider themselves the collector, as
/// happens when their lists of members differ.
#[test]
fn two_collectors_at_once_remove_the_same_parts() {
    let (mut session, mut first) = replaced(&document("a", 60, 1));
    let mut second =
        Collector::new(CollectorSettings { min_age: Duration::ZERO, ..Default::default() });
    second.activate(session.now);
    let mut next = [first.tick(session.now), second.tick(session.now)];
    while next.iter().any(Option::is_some) {
        for (collector, next) in [&mut first, &mut second].into_iter().zip(&mut next) {
            if let Some(StoreRequest { id, call }) = next.take() {
                *next = collector.on_reply(id, &session.store.call(&call), session.now);
            }
        }
    }
    assert_eq!(stored(&session.store), referenced(&session.store));
}

/// Guards against the removal of a part that was rewritten during the sweep: each removal must
/// expect the revision that was read before the journal.
#[test]
fn removals_name_the_revision_that_was_read_before_the_journal() {
    let (mut session, mut collector) = replaced(&document("a", 60, 1));
    let mut next = collector.tick(session.now);
    let mut deletes = 0;
    while let Some(StoreRequest { id, call }) = next {
        if let StoreCall::Delete { key, expect } = &call {
            deletes += 1;
            assert_eq!(session.store.values[key].0, *expect);
        }
        next = collector.on_reply(id, &session.store.call(&call), session.now);
    }
    assert!(deletes > 0);
}
