//! Removal of unreferenced parts.

mod support;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use support::FakeStore;
use support::change_id;
use support::document;
use support::operators::Desk;
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

/// The parts and manifests that the catalog references.
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

fn stored(store: &FakeStore) -> BTreeSet<String> {
    store.values.keys().filter(|key| key.starts_with("parts/")).cloned().collect()
}

/// Runs a sweep to its end, or for some calls.
fn sweep(collector: &mut Collector, store: &mut FakeStore, now: Instant) {
    let mut next = collector.tick(now);
    while let Some(StoreRequest { id, call }) = next {
        next = collector.on_reply(id, &store.call(&call), now);
    }
}

/// A store in which `old` was replaced an hour ago, and a collector that has seen it.
fn replaced(old: &str) -> (Desk, Collector) {
    let mut desk = Desk::new();
    desk.run(trial("a", "alice", 0, old), &mut no_faults);
    desk.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut no_faults);
    let mut collector = Collector::new(CollectorSettings::default());
    collector.activate(desk.now);
    sweep(&mut collector, &mut desk.store, desk.now);
    desk.now += HOUR;
    (desk, collector)
}

/// Guards against parts that stay for ever, and against removing what is in force.
#[test]
fn unreferenced_parts_are_removed_after_an_hour_and_not_before() {
    for services in [3, 4_000] {
        let (mut desk, mut collector) = replaced(&document("a", services, 1));
        let all = stored(&desk.store);
        sweep(&mut collector, &mut desk.store, desk.now - Duration::from_secs(1));
        assert_eq!(stored(&desk.store), all);
        desk.now = collector.wake_at().unwrap();
        sweep(&mut collector, &mut desk.store, desk.now);
        assert_eq!(stored(&desk.store), referenced(&desk.store));
        assert_eq!(collector.removed() as usize, all.len() - stored(&desk.store).len());
        let journal = &desk.store.values["changes"].1;
        assert!(journal.ends_with(b"\"records\":[]}"), "{}", String::from_utf8_lossy(journal));
    }
}

/// Guards against parts of a lost race that nobody knows of.
#[test]
fn parts_of_a_change_that_lost_are_removed() {
    let (mut desk, mut collector) = replaced(&document("a", 3, 1));
    let race = vec![
        trial("a", "alice", 2, &document("a", 3, 3)),
        trial("a", "bob", 2, &document("a", 3, 4)),
    ];
    desk.race(race, &mut no_faults);
    assert!(stored(&desk.store).len() > 6);
    for _ in 0..20 {
        sweep(&mut collector, &mut desk.store, desk.now);
        desk.now += Duration::from_secs(600);
    }
    assert_eq!(stored(&desk.store), referenced(&desk.store));
}

/// Guards against a part that two environments or stages share and that one of them drops.
#[test]
fn a_part_that_another_stage_references_is_kept() {
    let old = document("a", 3, 1);
    let mut desk = Desk::new();
    desk.run(trial("a", "alice", 0, &old), &mut no_faults);
    desk.run(promote("a", "alice", 0, &Digest::of(old.as_bytes())), &mut no_faults);
    desk.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut no_faults);
    let mut collector = Collector::new(CollectorSettings::default());
    collector.activate(desk.now);
    for _ in 0..20 {
        sweep(&mut collector, &mut desk.store, desk.now);
        desk.now += Duration::from_secs(600);
    }
    assert_eq!(stored(&desk.store), referenced(&desk.store));
    assert_eq!(stored(&desk.store).len(), 4);
}

/// A change that can be stopped between any two of its store calls.
struct Paused {
    change: Change,
    calls: VecDeque<StoreRequest>,
}

impl Paused {
    fn new(request: ChangeRequest, now: Instant) -> Paused {
        let (change, calls) = Change::start(request, &ChangeSettings::default(), now);
        Paused { change, calls: calls.into() }
    }

    /// Makes up to `steps` calls.
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

/// Guards against a document that is accepted while a part that it reuses is being removed:
/// every interleaving of a sweep with a change that goes back to the replaced document.
#[test]
fn no_interleaving_removes_a_part_that_a_change_reuses() {
    let old = document("a", 60, 1);
    let mut removed_all = 0;
    for sweep_calls in 0..25 {
        for change_calls in 0..16 {
            let (mut desk, mut collector) = replaced(&old);
            let now = desk.now;
            let store = &mut desk.store;
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
            removed_all += collector.removed();
            let outcome = change.finish(store, now);
            assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
            let lacking: Vec<_> = referenced(store).difference(&stored(store)).cloned().collect();
            assert!(lacking.is_empty(), "{sweep_calls} {change_calls}: {lacking:?}");
        }
    }
    assert!(removed_all > 0);
}

/// Guards against a swap that was delayed by more than an hour and then takes effect although
/// its parts were removed meanwhile.
#[test]
fn a_swap_that_was_delayed_over_an_hour_fails() {
    for change_calls in 0..16 {
        let mut desk = Desk::new();
        desk.run(trial("a", "alice", 0, &document("a", 3, 2)), &mut no_faults);
        let request =
            ChangeRequest { change: change_id(50), ..trial("a", "bob", 1, &document("a", 60, 1)) };
        let mut change = Paused::new(request, desk.now);
        change.run(&mut desk.store, change_calls, desk.now);
        let mut collector = Collector::new(CollectorSettings::default());
        collector.activate(desk.now);
        for _ in 0..20 {
            sweep(&mut collector, &mut desk.store, desk.now);
            desk.now += Duration::from_secs(600);
        }
        // The call that was on its way arrives, and then the process goes on.
        let outcome = change.finish(&mut desk.store, desk.now);
        let lacking: Vec<_> =
            referenced(&desk.store).difference(&stored(&desk.store)).cloned().collect();
        assert!(lacking.is_empty(), "{change_calls}: {outcome:?} {lacking:?}");
    }
}

/// Guards against a sweep that gives up for good, or forgets parts, after any failed call.
#[test]
fn a_sweep_with_a_failed_call_is_completed_later() {
    for failed in 0..30 {
        for takes_effect in [StoreReply::Lost, StoreReply::Unavailable] {
            let (mut desk, mut collector) = replaced(&document("a", 60, 1));
            let mut calls = 0;
            for _ in 0..3 {
                let mut next = collector.tick(desk.now);
                while let Some(StoreRequest { id, call }) = next {
                    let mut reply = takes_effect.clone();
                    if calls != failed {
                        reply = desk.store.call(&call);
                    } else if takes_effect == StoreReply::Lost {
                        desk.store.call(&call);
                    }
                    calls += 1;
                    next = collector.on_reply(id, &reply, desk.now);
                }
                desk.now += Duration::from_secs(30);
            }
            assert_eq!(stored(&desk.store), referenced(&desk.store), "{failed} {takes_effect:?}");
        }
    }
}

/// Guards against several daemons that each believe to be the collector.
#[test]
fn two_collectors_at_once_remove_the_same_parts() {
    let (mut desk, mut one) = replaced(&document("a", 60, 1));
    let mut two =
        Collector::new(CollectorSettings { min_age: Duration::ZERO, ..Default::default() });
    two.activate(desk.now);
    let mut next = [one.tick(desk.now), two.tick(desk.now)];
    while next.iter().any(Option::is_some) {
        for (collector, next) in [&mut one, &mut two].into_iter().zip(&mut next) {
            if let Some(StoreRequest { id, call }) = next.take() {
                *next = collector.on_reply(id, &desk.store.call(&call), desk.now);
            }
        }
    }
    assert_eq!(stored(&desk.store), referenced(&desk.store));
}

/// Guards against a removal that is repeated with a revision read before a new write.
#[test]
fn removals_name_the_revision_that_was_read_before_the_journal() {
    let (mut desk, mut collector) = replaced(&document("a", 60, 1));
    let mut next = collector.tick(desk.now);
    let mut deletes = 0;
    while let Some(StoreRequest { id, call }) = next {
        if let StoreCall::Delete { key, expect } = &call {
            deletes += 1;
            assert_eq!(desk.store.values[key].0, *expect);
        }
        next = collector.on_reply(id, &desk.store.call(&call), desk.now);
    }
    assert!(deletes > 0);
}
