//! Proposals of assignments, with each outcome that a store call may have.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use tt_membership::Assignment;
use tt_membership::AssignmentProposer;
use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::assignment::CallId;
use tt_membership::assignment::Step;
use tt_membership::assignment::Target;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

fn id(last: u8) -> MemberId {
    let address = SocketAddr::from(([10, 0, 0, last], 7000));
    MemberId { address, incarnation: Incarnation(1) }
}

fn target(last: &[u8]) -> Target {
    let member = |last: &u8| Member { id: id(*last), domain: "waco".to_owned(), weight: 1 };
    Target { members: last.iter().map(member).collect(), rank: Some(0), ..Target::default() }
}

fn value(assignment: &Assignment) -> StoreReply {
    StoreReply::Value { revision: Revision(7), value: assignment.encode() }
}

/// The proposer at member 1, which knows epoch 1 with members 1 and 2.
struct Proposer {
    assignments: AssignmentProposer,
    now: Instant,
}

impl Proposer {
    fn new() -> Proposer {
        let mut assignments = AssignmentProposer::new(id(1));
        assignments.adopt(Proposer::first());
        Proposer { assignments, now: Instant::now() }
    }

    fn first() -> Assignment {
        Assignment::first(&target(&[1, 2]), id(2), 5)
    }

    fn tick(&mut self, target: &Target, after: Duration) -> Vec<Step> {
        self.now += after;
        self.assignments.tick(target, self.now)
    }

    fn reply(&mut self, call: CallId, reply: StoreReply) -> Vec<Step> {
        self.assignments.on_reply(call, reply, &target(&[1, 2, 3]), 9, self.now)
    }

    /// Runs a proposal of members 1, 2 and 3 up to its write, and returns the call and the value.
    fn propose(&mut self) -> (CallId, Assignment) {
        self.tick(&target(&[1, 2, 3]), Duration::ZERO);
        let steps = self.tick(&target(&[1, 2, 3]), Duration::from_secs(2));
        let (read, _) = call(&steps);
        let (write, put) = call(&self.reply(read, value(&Proposer::first())));
        let StoreCall::Put { expect: Revision(7), value, .. } = put else {
            panic!("expected a write based on the revision read, got {put:?}");
        };
        (write, Assignment::decode(&value).expect("it is an assignment"))
    }
}

fn call(steps: &[Step]) -> (CallId, StoreCall) {
    match steps {
        [Step::Call(id, call)] => (*id, call.clone()),
        _ => panic!("expected a call, got {steps:?}"),
    }
}

// Guards against one epoch for each of several restarts, and against a first proposer that is cut
// off from the store and blocks all others.
#[test]
fn a_change_is_proposed_when_it_is_stable_and_in_turn() {
    let mut first = Proposer::new();
    assert_eq!(first.tick(&target(&[1, 2, 3]), Duration::ZERO), []);
    assert_eq!(first.tick(&target(&[1, 2, 3, 4]), Duration::from_millis(1_900)), []);
    assert_eq!(first.tick(&target(&[1, 2, 3, 4]), Duration::from_millis(1_900)), []);
    assert_eq!(first.tick(&target(&[1, 2, 3, 4]), Duration::from_millis(100)).len(), 1);

    let second = Target { rank: Some(1), ..target(&[1, 2, 3]) };
    let mut proposer = Proposer::new();
    proposer.tick(&second, Duration::ZERO);
    assert_eq!(proposer.tick(&second, Duration::from_millis(6_900)), []);
    assert_eq!(proposer.tick(&second, Duration::from_millis(100)).len(), 1);

    let cut_off = Target { rank: None, ..target(&[1]) };
    assert_eq!(Proposer::new().tick(&cut_off, Duration::from_secs(60)), []);
}

// Guards against a proposer that doesn't learn that its own write took effect.
#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    let mut proposer = Proposer::new();
    let (write, ours) = proposer.propose();
    let (read, get) = call(&proposer.reply(write, StoreReply::Lost));
    assert!(matches!(get, StoreCall::Get { .. }));
    assert_eq!(proposer.assignments.epoch(), Epoch(1));
    assert_eq!(proposer.reply(read, value(&ours)), [Step::Adopted(ours)]);
    assert_eq!(proposer.assignments.epoch(), Epoch(2));
}

// Guards against adopting a proposal that lost against another one for the same epoch.
#[test]
fn a_lost_reply_with_another_winner_adopts_the_winner() {
    let mut proposer = Proposer::new();
    let (write, ours) = proposer.propose();
    let (read, _) = call(&proposer.reply(write, StoreReply::Lost));
    let other = Proposer::first().next(&target(&[1]), id(2), 6);
    assert_eq!(other.epoch, ours.epoch);
    assert_eq!(proposer.reply(read, value(&other)), [Step::Adopted(other)]);
}

// Guards against an epoch in force at the proposer that was never written to the store.
#[test]
fn a_write_without_effect_is_not_adopted() {
    for reply in [StoreReply::Unavailable, StoreReply::Conflict { revision: Revision(8) }] {
        let mut proposer = Proposer::new();
        let (write, _) = proposer.propose();
        assert_eq!(proposer.reply(write, reply), []);
        assert_eq!(proposer.assignments.epoch(), Epoch(1));
    }
}

// Guards against an epoch that goes back after a stale read, and against a write based on such a
// read.
#[test]
fn a_stale_read_is_ignored() {
    let mut proposer = Proposer::new();
    let second = Proposer::first().next(&target(&[1]), id(2), 6);
    assert!(proposer.assignments.adopt(second.clone()));
    assert!(!proposer.assignments.adopt(Proposer::first()));
    proposer.tick(&target(&[1, 2, 3]), Duration::ZERO);
    let (read, _) = call(&proposer.tick(&target(&[1, 2, 3]), Duration::from_secs(2)));
    assert_eq!(proposer.reply(read, value(&Proposer::first())), []);
    assert_eq!(proposer.assignments.current(), Some(&second));
}

// Guards against a proposer that waits forever for the outcome of a call, and against one that
// accepts the outcome after it has given the call up.
#[test]
fn a_call_without_an_outcome_counts_as_lost() {
    let mut proposer = Proposer::new();
    let (write, _) = proposer.propose();
    let steps = proposer.tick(&target(&[1, 2, 3]), Duration::from_secs(5));
    assert!(matches!(call(&steps).1, StoreCall::Get { .. }));
    assert_eq!(proposer.reply(write, StoreReply::Written { revision: Revision(8) }), []);
    assert_eq!(proposer.assignments.epoch(), Epoch(1));
}

// Guards against daemons that get a delta instead of the whole value and end with another value.
#[test]
fn a_delta_results_in_the_same_value() {
    let first = Proposer::first();
    let mut listed = target(&[2, 3]);
    listed.listed.insert(id(2));
    let second = first.next(&listed, id(2), 6);
    let third = second.next(&target(&[3, 4]), id(2), 7);
    for old in [&first, &second] {
        let delta = third.delta(old.epoch).expect("it is newer");
        assert_eq!(old.apply(delta).as_ref(), Some(&third));
    }
    assert_eq!(third.delta(Epoch(0)), None);
    assert_eq!(third.delta(Epoch(3)), None);
    // A delta doesn't name removed records, so they would stay in the old value forever.
    let mut cleanup = target(&[3, 4]);
    cleanup.oldest_held_epochs.extend([1, 2, 3, 4].map(|last| (id(last), Epoch(3))));
    let fourth = third.next(&cleanup, id(2), 8);
    assert_eq!(fourth.delta(Epoch(1)), None);
    assert!(fourth.members.iter().all(|record| record.left.is_none()));
}

// Guards against a value above the store's limit of one megabyte at the tier's size in two years.
#[test]
fn the_value_fits_into_the_store() {
    let members = (0..2_700u32).map(|i| {
        let [_, _, high, low] = i.to_be_bytes();
        let address = SocketAddr::from(([10, 200, high, low], 7000));
        let incarnation = Incarnation(u64::MAX - u64::from(i));
        let domain = format!("failure-domain-{:02}", i % 36);
        Member { id: MemberId { address, incarnation }, domain, weight: 100 }
    });
    let all = Target { members: members.collect(), ..Target::default() };
    let mut next = Assignment::first(&all, id(1), u64::MAX);
    // 1,500 members are replaced, and none of the earlier processes is known to have released its
    // halves.
    let mut changed = all;
    for member in changed.members.iter_mut().take(1_500) {
        member.id.incarnation = Incarnation(member.id.incarnation.0 - 10_000);
    }
    next = next.next(&changed, id(1), u64::MAX);
    assert_eq!(next.members.len(), 4_200);
    let bytes = next.encode().len();
    assert!(bytes < tt_model::MAX_VALUE_BYTES, "{bytes} bytes");
}
