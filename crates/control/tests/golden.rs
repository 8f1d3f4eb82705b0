//! Golden files of whole operator sessions. Times are from the start of the session.

mod support;

use support::change_id;
use support::document;
use support::operators::CallFault;
use support::operators::OperatorSession;
use support::operators::fail_once;
use support::operators::is_swap;
use support::operators::no_faults;
use support::operators::promote;
use support::operators::trial;

use tt_control::CATALOG_KEY;
use tt_control::Outcome;
use tt_control::change::history;
use tt_control::change::status;
use tt_model::Digest;
use tt_model::StoreCall;

fn digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}

fn log_history(session: &mut OperatorSession, environment: &str) {
    let catalog = session.catalog();
    for (key, change) in history(&catalog, environment) {
        let digest = &change.digest.as_str()[..8];
        let line = format!("{} {} {digest} by {}", change.revision, key.stage, change.operator);
        session.log_event("history", &line);
    }
}

/// Guards against unnoticed changes of store calls and outcomes in trials, promotions and races.
#[test]
fn a_trial_is_promoted_and_a_race_has_one_winner() {
    let mut session = OperatorSession::new();
    let (first, second, third) =
        (document("yards", 3, 1), document("yards", 3, 2), document("yards", 3, 3));
    session.run(trial("yards", "alice", 0, &first), &mut no_faults);
    session.run(promote("yards", "alice", 0, &digest(&second)), &mut no_faults);
    session.run(promote("yards", "alice", 0, &digest(&first)), &mut no_faults);
    let race = vec![trial("yards", "alice", 1, &second), trial("yards", "bob", 1, &third)];
    session.race(race, &mut no_faults);
    session.run(trial("yards", "bob", 3, &third), &mut no_faults);
    let faulty = third.replace("[\"h1\"]", "[\"h9\"]");
    session.run(trial("yards", "bob", 4, &faulty), &mut no_faults);
    log_history(&mut session, "yards");
    insta::assert_snapshot!("race", session.log);
}

/// Guards against a wrong outcome or a second change after the reply to a swap is lost: a change
/// that does not read the catalog back cannot tell whether its swap took effect.
#[test]
fn a_lost_reply_is_resolved_at_once_or_later() {
    let mut session = OperatorSession::new();
    let (first, second, third) =
        (document("yards", 3, 1), document("yards", 3, 2), document("yards", 3, 3));
    session.run(trial("yards", "alice", 0, &first), &mut fail_once(CallFault::LostReply, is_swap));
    session.run(trial("yards", "alice", 1, &second), &mut fail_once(CallFault::LostCall, is_swap));

    session.log_event("store", "goes down after the next swap took effect");
    let mut is_down = false;
    let mut outage = |_: &str, call: &StoreCall| {
        let fault = match (is_down, is_swap(call)) {
            (true, _) => CallFault::Unavailable,
            (false, true) => CallFault::LostReply,
            (false, false) => CallFault::None,
        };
        is_down |= is_swap(call);
        fault
    };
    let outcome = session.run(trial("yards", "alice", 2, &third), &mut outage);
    let Outcome::Unknown { change } = outcome else {
        panic!("{outcome:?}");
    };
    session.log_event("store", "is up again");
    let found = status(&session.catalog(), "yards", &change);
    session.log_event("status", &format!("{found:?}"));
    let missing = status(&session.catalog(), "yards", &change_id(99));
    session.log_event("status", &format!("{missing:?}"));
    log_history(&mut session, "yards");
    insta::assert_snapshot!("lost_reply", session.log);
}

/// Guards against a wrong outcome if the reply to a swap is lost while another operator's swap
/// races with it: the catalog that is read back may contain either change.
#[test]
fn a_lost_reply_during_a_race_is_resolved_by_reading_back() {
    let mut session = OperatorSession::new();
    let (first, second, third) =
        (document("yards", 3, 1), document("yards", 3, 2), document("yards", 3, 3));
    session.run(trial("yards", "setup", 0, &first), &mut no_faults);
    let mut lost = fail_once(CallFault::LostReply, is_swap);
    let mut by_alice = |operator: &str, call: &StoreCall| match operator {
        "alice" => lost(operator, call),
        _ => CallFault::None,
    };
    let race = vec![trial("yards", "alice", 1, &second), trial("yards", "bob", 1, &third)];
    session.race(race, &mut by_alice);

    session.log_event("store", "is slow to take alice's next swap: bob's is first");
    let mut seen = 0;
    let mut refused = |operator: &str, call: &StoreCall| {
        let is_get = matches!(call, StoreCall::Get { key } if key == CATALOG_KEY);
        seen += usize::from(operator == "alice" && is_swap(call));
        match operator {
            "alice" if is_swap(call) && seen == 1 => CallFault::LostCall,
            "alice" if is_get && seen == 1 => {
                seen += 1;
                CallFault::Unavailable
            }
            _ => CallFault::None,
        }
    };
    let race = vec![trial("yards", "alice", 2, &first), trial("yards", "bob", 2, &third)];
    session.race(race, &mut refused);
    log_history(&mut session, "yards");
    insta::assert_snapshot!("lost_reply_race", session.log);
}
