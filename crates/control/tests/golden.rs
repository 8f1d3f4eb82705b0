//! Whole operator sessions, kept as golden files with times from the start of the session.

mod support;

use support::change_id;
use support::document;
use support::operators::CallFault;
use support::operators::Desk;
use support::operators::is_swap;
use support::operators::no_faults;
use support::operators::once;
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

fn note_history(desk: &mut Desk, environment: &str) {
    let catalog = desk.catalog();
    for (key, change) in history(&catalog, environment) {
        let digest = &change.digest.as_str()[..8];
        let line = format!("{} {} {digest} by {}", change.revision, key.stage, change.operator);
        desk.note("history", &line);
    }
}

/// Guards against any change in what operators are told during trial, promotion and a race.
#[test]
fn a_trial_is_promoted_and_a_race_has_one_winner() {
    let mut desk = Desk::new();
    let (first, second, third) =
        (document("yards", 3, 1), document("yards", 3, 2), document("yards", 3, 3));
    desk.run(trial("yards", "alice", 0, &first), &mut no_faults);
    desk.run(promote("yards", "alice", 0, &digest(&second)), &mut no_faults);
    desk.run(promote("yards", "alice", 0, &digest(&first)), &mut no_faults);
    let race = vec![trial("yards", "alice", 1, &second), trial("yards", "bob", 1, &third)];
    desk.race(race, &mut no_faults);
    desk.run(trial("yards", "bob", 3, &third), &mut no_faults);
    let faulty = third.replace("[\"h1\"]", "[\"h9\"]");
    desk.run(trial("yards", "bob", 4, &faulty), &mut no_faults);
    note_history(&mut desk, "yards");
    insta::assert_snapshot!("race", desk.log);
}

/// Guards against a lost reply that is answered wrongly or leads to a second change.
#[test]
fn a_lost_reply_is_resolved_at_once_or_later() {
    let mut desk = Desk::new();
    let (first, second, third) =
        (document("yards", 3, 1), document("yards", 3, 2), document("yards", 3, 3));
    desk.run(trial("yards", "alice", 0, &first), &mut once(CallFault::LostReply, is_swap));
    desk.run(trial("yards", "alice", 1, &second), &mut once(CallFault::LostCall, is_swap));

    desk.note("store", "goes down after the next swap took effect");
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
    let outcome = desk.run(trial("yards", "alice", 2, &third), &mut outage);
    let Outcome::Unknown { change } = outcome else {
        panic!("{outcome:?}");
    };
    desk.note("store", "is up again");
    let found = status(&desk.catalog(), "yards", &change);
    desk.note("status", &format!("{found:?}"));
    let missing = status(&desk.catalog(), "yards", &change_id(99));
    desk.note("status", &format!("{missing:?}"));
    note_history(&mut desk, "yards");
    insta::assert_snapshot!("lost_reply", desk.log);
}

/// Guards against a race and a lost reply at once, where the lost swap has the winner's effect.
#[test]
fn a_lost_reply_during_a_race() {
    let mut desk = Desk::new();
    let (first, second, third) =
        (document("yards", 3, 1), document("yards", 3, 2), document("yards", 3, 3));
    desk.run(trial("yards", "setup", 0, &first), &mut no_faults);
    let mut lost = once(CallFault::LostReply, is_swap);
    let mut by_alice = |operator: &str, call: &StoreCall| match operator {
        "alice" => lost(operator, call),
        _ => CallFault::None,
    };
    let race = vec![trial("yards", "alice", 1, &second), trial("yards", "bob", 1, &third)];
    desk.race(race, &mut by_alice);

    desk.note("store", "is slow to take alice's next swap: bob's is first");
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
    desk.race(race, &mut refused);
    note_history(&mut desk, "yards");
    insta::assert_snapshot!("lost_reply_race", desk.log);
}
