//! Tests of changes by operators and their outcomes.

mod support;

use std::collections::VecDeque;

use support::change_id;
use support::document;
use support::operators::CallFault;
use support::operators::OperatorSession;
use support::operators::fail_once;
use support::operators::is_swap;
use support::operators::no_faults;
use support::operators::promote;
use support::operators::trial;

use tt_control::Catalog;
use tt_control::Change;
use tt_control::ChangeKind;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::ChangeStatus;
use tt_control::Outcome;
use tt_control::Stage;
use tt_control::SubmissionKind;
use tt_control::catalog::CatalogError;
use tt_control::change::status;
use tt_control::diff;
use tt_model::Digest;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted { revision: Revision(revision) }
}

fn digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}

fn session_with(environments: &[&str]) -> OperatorSession {
    let mut session = OperatorSession::new();
    for environment in environments {
        let request = trial(environment, "setup", 0, &document(environment, 3, 1));
        assert!(matches!(session.run(request, &mut no_faults), Outcome::Accepted { .. }));
    }
    session
}

/// Guards against telling two operators that their changes were accepted when both had the same
/// base and only one is in force.
#[test]
fn of_two_racing_changes_one_is_accepted_and_the_other_is_told_which() {
    let mut session = session_with(&["a"]);
    let (first, second) = (document("a", 3, 2), document("a", 3, 3));
    let requests = vec![trial("a", "alice", 1, &first), trial("a", "bob", 1, &second)];
    let outcomes = session.race(requests, &mut no_faults);
    assert_eq!(outcomes[0], accepted(2));
    let Outcome::Conflict { winner } = &outcomes[1] else {
        panic!("{:?}", outcomes[1]);
    };
    assert_eq!((winner.revision, winner.operator.as_str()), (Revision(2), "alice"));
    assert_eq!(session.catalog().get("a", Stage::Trial).unwrap().digest(), &digest(&first));
}

/// Guards against a conflict that the operator cannot resolve: the swap fails because a change to
/// another environment was accepted, although the base of this change is still current.
#[test]
fn a_conflict_caused_by_another_environment_is_retried() {
    let mut session = session_with(&["a", "b"]);
    let requests = vec![
        trial("a", "alice", 1, &document("a", 3, 2)),
        trial("b", "bob", 2, &document("b", 3, 2)),
    ];
    let mut outcomes = session.race(requests, &mut no_faults);
    outcomes.sort_by_key(|outcome| outcome != &accepted(3));
    assert_eq!(outcomes, [accepted(3), accepted(4)]);
}

/// Guards against a change that is reported as not changed, or applied twice, when the reply to its
/// swap is lost.
#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    for fault in [CallFault::LostReply, CallFault::LostCall] {
        let mut session = session_with(&["a"]);
        let request = trial("a", "alice", 1, &document("a", 3, 2));
        assert_eq!(session.run(request, &mut fail_once(fault, is_swap)), accepted(2), "{fault:?}");
        assert_eq!(session.catalog().revision, Revision(2), "{fault:?}");
    }
}

/// Guards against "not changed" for a change that may be in the store: the reply to the swap is
/// lost, and the store then fails, so that the catalog cannot be read back.
#[test]
fn a_swap_without_a_reply_and_without_read_back_is_unknown() {
    for fault in [CallFault::LostReply, CallFault::LostCall] {
        let mut session = session_with(&["a"]);
        let mut swapped = false;
        let mut faults = |_: &str, call: &StoreCall| {
            if swapped {
                return CallFault::Unavailable;
            }
            swapped = is_swap(call);
            if swapped { fault } else { CallFault::None }
        };
        let request = trial("a", "alice", 1, &document("a", 3, 2));
        let outcome = session.run(request, &mut faults);
        assert_eq!(outcome, Outcome::Unknown { change: change_id(2) }, "{fault:?}");

        let found = status(&session.catalog(), "a", &change_id(2));
        let is_accepted = matches!(found, ChangeStatus::Accepted { .. });
        assert_eq!(is_accepted, fault == CallFault::LostReply, "{found:?}");

        // The same request with the same id must not make a second change.
        let mut again = trial("a", "alice", 1, &document("a", 3, 2));
        again.change = change_id(2);
        again.submission = SubmissionKind::Repeat;
        let mut down = |_: &str, _: &StoreCall| CallFault::Unavailable;
        let undecided = session.run(again.clone(), &mut down);
        assert_eq!(undecided, Outcome::Unknown { change: change_id(2) }, "{fault:?}");
        assert_eq!(session.run(again, &mut no_faults), accepted(2), "{fault:?}");
    }
}

/// Guards against "unknown" for a change that cannot have taken effect, because the store answered
/// no call or refused every swap.
#[test]
fn a_change_that_cannot_have_taken_effect_is_not_changed() {
    let mut session = session_with(&["a"]);
    let mut down = |_: &str, _: &StoreCall| CallFault::Unavailable;
    let outcome = session.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut down);
    assert!(matches!(outcome, Outcome::NotChanged { .. }), "{outcome:?}");

    let mut refuses_swap = |_: &str, call: &StoreCall| match is_swap(call) {
        true => CallFault::Unavailable,
        false => CallFault::None,
    };
    let outcome = session.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut refuses_swap);
    assert!(matches!(outcome, Outcome::NotChanged { .. }), "{outcome:?}");
    assert_eq!(session.catalog().revision, Revision(1));
}

/// Guards against "not changed" for a change whose first swap was delayed and takes effect later.
/// Its retries are lost too or fail.
#[test]
fn a_lost_swap_that_may_still_take_effect_makes_the_outcome_unknown() {
    for fault in [CallFault::LostCall, CallFault::Unavailable] {
        let mut session = session_with(&["a"]);
        let mut delayed: Option<StoreCall> = None;
        let mut faults = |_: &str, call: &StoreCall| {
            if !is_swap(call) {
                return CallFault::None;
            }
            match delayed.replace(call.clone()) {
                None => CallFault::LostCall,
                Some(_) => fault,
            }
        };
        let outcome = session.run(trial("a", "alice", 1, &document("a", 3, 2)), &mut faults);
        assert_eq!(outcome, Outcome::Unknown { change: change_id(2) }, "{fault:?}");
        session.store.call(&delayed.unwrap());
        let found = status(&session.catalog(), "a", &change_id(2));
        assert!(matches!(found, ChangeStatus::Accepted { .. }), "{found:?}");
    }
}

/// Guards against "conflict" for a lost swap that took effect, after so many other changes that the
/// history no longer contains it.
#[test]
fn a_lost_swap_that_the_history_no_longer_covers_is_unknown() {
    let mut session = session_with(&["a"]);
    let request =
        ChangeRequest { change: change_id(100), ..trial("a", "alice", 1, &document("a", 3, 2)) };
    let settings = ChangeSettings::default();
    let started = session.now;
    let (mut change, calls) = Change::start(request, &settings, started);
    let mut calls = VecDeque::from(calls);
    let mut is_lost = false;
    while change.outcome().is_none() {
        let Some(request) = calls.pop_front() else {
            calls.extend(change.tick(change.wake_at().unwrap()));
            continue;
        };
        let mut reply = session.store.call(&request.call);
        if is_swap(&request.call) {
            assert!(!is_lost, "swapped again");
            (reply, is_lost) = (StoreReply::Lost, true);
            for base in 2..20 {
                let text = document("a", 3, 100 + base as u32);
                let outcome = session.run(trial("a", "bob", base, &text), &mut no_faults);
                assert_eq!(outcome, accepted(base + 1));
            }
        }
        calls.extend(change.on_reply(request.id, reply, started));
    }
    assert_eq!(change.outcome(), Some(&Outcome::Unknown { change: change_id(100) }));
    let found = status(&session.catalog(), "a", &change_id(100));
    assert!(matches!(found, ChangeStatus::NotInHistory { .. }), "{found:?}");
}

/// Guards against promoting a document that is not the one in trial.
#[test]
fn only_the_digest_in_trial_is_promoted() {
    let mut session = session_with(&["a"]);
    let tried = digest(&document("a", 3, 1));
    let other = digest("other");
    for (environment, digest, code) in
        [("a", &other, ResultCode::NotTried), ("none", &tried, ResultCode::UnknownEnvironment)]
    {
        let outcome = session.run(promote(environment, "alice", 0, digest), &mut no_faults);
        assert_eq!(outcome.code(), code);
    }
    assert_eq!(session.run(promote("a", "alice", 0, &tried), &mut no_faults), accepted(2));
    let catalog = session.catalog();
    let (trial, production) =
        (catalog.get("a", Stage::Trial).unwrap(), catalog.get("a", Stage::Production).unwrap());
    assert_eq!((trial.digest(), &trial.manifest), (production.digest(), &production.manifest));
}

/// Guards against store calls for a request that is not valid, and against reporting only its first
/// fault.
#[test]
fn a_faulty_request_is_refused_with_every_fault_and_without_a_store_call() {
    let mut session = OperatorSession::new();
    let faulty = document("a", 3, 1).replace("\"d1\", \"slots\": 2", "\"d9\", \"slots\": 0");
    let Outcome::Refused { code, faults } =
        session.run(trial("a", "alice", 0, &faulty), &mut no_faults)
    else {
        panic!("not refused");
    };
    assert_eq!((code, faults.len()), (ResultCode::InvalidDocument, 6));
    let text = document("a", 3, 1);
    for request in [trial("b", "alice", 0, &text), trial("a", "", 0, &text)] {
        let outcome = session.run(request, &mut no_faults);
        assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    }
    assert_eq!(session.store.calls, 0);
}

/// Guards against writing a catalog that is too large for the store. The store would refuse it, and
/// the operator would be told of an outage.
#[test]
fn a_catalog_over_the_value_size_is_refused_with_its_size() {
    let mut session = session_with(&["a"]);
    let mut catalog = session.catalog();
    let record = catalog.get("a", Stage::Trial).unwrap().clone();
    while catalog.encode().is_ok() {
        for _ in 0..20 {
            let mut record = record.clone();
            record.key.environment = format!("e{}", catalog.records.len());
            catalog.records.insert(record.key.clone(), record);
        }
    }
    assert!(matches!(catalog.encode(), Err(CatalogError::TooLarge { .. })));
    let value = loop {
        catalog.records.pop_last();
        if let Ok(value) = catalog.encode() {
            break value;
        }
    };
    session.store.values.get_mut("catalog").unwrap().1 = value;
    let outcome = session.run(trial("new", "alice", 0, &document("new", 3, 1)), &mut no_faults);
    assert_eq!(outcome.code(), ResultCode::DocumentTooLarge);
    assert!(outcome.to_string().contains("the store holds at most 1000000"), "{outcome}");
}

/// Guards against a catalog that grows with the size of a document, and against writing all parts
/// again for a small edit.
#[test]
fn a_large_document_has_its_own_manifest_and_an_edit_writes_few_parts() {
    let mut session = OperatorSession::new();
    let text = document("a", 4_000, 1);
    assert_eq!(session.run(trial("a", "alice", 0, &text), &mut no_faults), accepted(1));
    let catalog = session.catalog();
    let record = catalog.get("a", Stage::Trial).unwrap();
    assert_eq!(record.manifest.inline, None);
    assert!(catalog.encode().unwrap().len() < 1_000);

    let mut puts = 0;
    let mut count = |_: &str, call: &StoreCall| {
        puts += usize::from(matches!(call, StoreCall::Put { .. }));
        CallFault::None
    };
    let edited = text.replace("\"rate\": 1,", "\"rate\": 2,");
    assert_eq!(session.run(trial("a", "alice", 1, &edited), &mut count), accepted(2));
    // The journal, the manifest, one part and the catalog.
    assert_eq!(puts, 4);
}

/// Guards against "accepted" for a change whose id was already used for another document.
#[test]
fn a_change_id_used_for_another_document_is_refused() {
    let mut session = session_with(&["a"]);
    let mut request = trial("a", "alice", 1, &document("a", 3, 2));
    request.change = change_id(1);
    assert_eq!(session.run(request, &mut no_faults).code(), ResultCode::RequestIdReused);
    assert_eq!(session.catalog().revision, Revision(1));
}

/// Guards against a history that loses recent changes, is out of order or grows without limit.
#[test]
fn the_history_holds_the_last_16_changes() {
    let mut session = session_with(&["a"]);
    for base in 1..20 {
        let ChangeKind::Trial { text } = trial("a", "x", base, &document("a", 3, base as u32)).kind
        else {
            unreachable!()
        };
        assert_eq!(session.run(trial("a", "bob", base, &text), &mut no_faults), accepted(base + 1));
    }
    let catalog = session.catalog();
    let revisions: Vec<u64> = tt_control::change::history(&catalog, "a")
        .iter()
        .map(|(_, change)| change.revision.0)
        .collect();
    assert_eq!(revisions, (5..=20).rev().collect::<Vec<_>>());
    assert_eq!(Catalog::decode(&catalog.encode().unwrap()).unwrap(), catalog);
}

/// Guards against a diff that leaves out a change of an object, or shows one for a mere comment.
#[test]
fn a_diff_names_the_objects_that_a_change_affects() {
    let before = document("a", 3, 1);
    let after = document("a", 4, 9).replace("\"deadline_ms\": 300", "\"deadline_ms\": 400");
    let parse = |text: &str| Environment::parse(text).unwrap();
    insta::assert_snapshot!(diff(&parse(&before), &parse(&after)), @r"
    ~ class desk
        deadline_ms: 300 -> 400
    ~ service s0
        contract.rate: 1 -> 9
    + service s3
    + searcher r3
    + shard h3
    ");
    let remark = format!("// remark\n{before}");
    insta::assert_snapshot!(diff(&parse(&before), &parse(&remark)), @"no object changes");
    let removed = diff(&parse(&after), &parse(&before)).to_string();
    assert!(removed.contains("- shard h3"), "{removed}");
}
