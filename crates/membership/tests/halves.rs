//! Promises and handovers between two or three processes, message by message.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use tt_membership::Allowance;
use tt_membership::Assignment;
use tt_membership::DomainKey;
use tt_membership::Halves;
use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::SearcherKey;
use tt_membership::Usage;
use tt_membership::assignment::Target;
use tt_membership::halves::Clock;
use tt_membership::halves::HalvesSettings;
use tt_membership::halves::Message;
use tt_membership::halves::Release;
use tt_membership::halves::Renew;
use tt_membership::ownership::SearcherSpec;
use tt_model::Epoch;
use tt_model::Incarnation;

const UNIX_MS: u64 = 1_700_000_000_000;

fn id(last: u8, incarnation: u64) -> MemberId {
    let address = SocketAddr::from(([10, 0, 0, last], 7000));
    MemberId { address, incarnation: Incarnation(incarnation) }
}

fn target(ids: &[MemberId]) -> Target {
    let member = |id: &MemberId| Member { id: *id, domain: "waco".to_owned(), weight: 1 };
    Target { members: ids.iter().map(member).collect(), ..Target::default() }
}

fn spec() -> SearcherSpec {
    let key = SearcherKey::of(SocketAddr::from(([10, 1, 0, 1], 80)));
    SearcherSpec { key, domain: DomainKey::of("waco"), slots: 3, connections: 5 }
}

fn idle(_: SearcherKey) -> Usage {
    Usage::default()
}

fn busy(_: SearcherKey) -> Usage {
    Usage { slots: 1, leased: 0, connections: 1 }
}

struct Time(Instant);

impl Time {
    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn clock(&self, ms: u64) -> Clock {
        Clock { now: self.at(ms), unix_ms: UNIX_MS + ms }
    }
}

fn process(id: MemberId, epochs: &[&Assignment], time: &Time) -> Halves {
    let mut halves = Halves::new(id, HalvesSettings::default(), time.at(0));
    halves.set_searchers(&[spec()], time.at(0));
    for epoch in epochs {
        halves.set_assignment(epoch, time.at(0));
    }
    halves
}

/// The ids of the pair first, then the others, in rank order.
fn ranked(mut ids: Vec<MemberId>) -> Vec<MemberId> {
    let mut ranked = Vec::new();
    while !ids.is_empty() {
        let epoch = Assignment::first(&target(&ids), ids[0], 0);
        let candidates = epoch.candidates();
        let first = tt_membership::ownership::pair(&candidates, spec().key, spec().domain);
        let owner = first.expect("there are members").owner;
        ids.retain(|id| *id != owner);
        ranked.push(owner);
    }
    ranked
}

fn renewal(owner: &mut Halves, clock: Clock) -> Renew {
    let messages = owner.tick(idle, clock);
    let renewal = messages.into_iter().find_map(|message| match message {
        Message::Renew(renew) => Some(renew),
        Message::Release(_) => None,
    });
    renewal.expect("a renewal is due")
}

fn question(halves: &mut Halves, clock: Clock) -> Option<Release> {
    halves.tick(idle, clock).into_iter().find_map(|message| match message {
        Message::Release(release) => Some(release),
        Message::Renew(_) => None,
    })
}

fn slots(halves: &Halves, now: Instant) -> (u32, u32) {
    let Allowance { slots, leased, .. } = halves.allowance(spec().key, now);
    (slots, leased)
}

// Guards against a promise that ends at the successor before it ends at the owner.
#[test]
fn the_promise_ends_at_the_owner_first() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    assert_eq!(slots(&owner, time.at(0)), (2, 0));
    assert_eq!(slots(&successor, time.at(0)), (1, 0));

    let renew = renewal(&mut owner, time.clock(0));
    let answer = successor.on_renew(&renew, idle, time.at(800)).expect("it was asked");
    owner.on_renew_answer(&answer);
    assert_eq!(slots(&owner, time.at(2_949)), (2, 1));
    assert_eq!(slots(&owner, time.at(2_950)), (2, 0));
    assert_eq!(slots(&successor, time.at(3_799)), (0, 0));
    assert_eq!(slots(&successor, time.at(3_800)), (1, 0));
}

// Guards against a deadline computed after a suspension, in which the monotonic clock
// stands still: the end of the promise is fixed when it is requested.
#[test]
fn bounded_work_carries_the_end_of_the_promise() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    let renew = renewal(&mut owner, time.clock(0));
    let answer = successor.on_renew(&renew, idle, time.at(1)).expect("it was asked");
    owner.on_renew_answer(&answer);
    let allowance = owner.allowance(spec().key, time.at(100));
    assert_eq!(allowance.until_unix_ms, Some(UNIX_MS + 2_950));
}

// Guards against a promise for slots in which work of the successor still runs.
#[test]
fn a_successor_with_work_in_flight_does_not_promise() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    let renew = renewal(&mut owner, time.clock(0));
    let answer = successor.on_renew(&renew, busy, time.at(1)).expect("it was asked");
    assert_eq!(answer.refused, [spec().key]);
    // It starts nothing new, so that it can promise soon.
    assert_eq!(slots(&successor, time.at(1)), (0, 0));
    let renew = renewal(&mut owner, time.clock(1_000));
    let answer = successor.on_renew(&renew, idle, time.at(1_001)).expect("it was asked");
    assert!(answer.refused.is_empty());
}

// Guards against an answer meant for the process before at the same address.
#[test]
fn a_promise_to_an_earlier_process_is_ignored() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    let renew = renewal(&mut owner, time.clock(0));
    let answer = successor.on_renew(&renew, idle, time.at(1)).expect("it was asked");
    let later = MemberId { incarnation: Incarnation(2), ..a };
    let next = epoch.next(&target(&[later, b]), b, 0);
    let mut restarted = process(later, &[&next], &time);
    restarted.on_renew_answer(&answer);
    assert_eq!(slots(&restarted, time.at(10)), (0, 0));
}

// Guards against a half that is taken while the holder has not seen the new epoch, or has
// work in flight.
#[test]
fn a_half_moves_when_the_holder_knows_the_epoch_and_is_idle() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1), id(3, 1)]);
    let first = Assignment::first(&target(&ids[1..]), ids[1], 0);
    let second = first.next(&target(&ids), ids[1], 0);
    let mut holder = process(ids[1], &[&first], &time);
    let mut owner = process(ids[0], &[&second], &time);
    assert_eq!(slots(&owner, time.at(0)), (0, 0));

    let ask = question(&mut owner, time.clock(0)).expect("it waits");
    let answer = holder.on_release(&ask, idle, time.at(1));
    owner.on_release_answer(&answer, time.at(2));
    assert_eq!(slots(&owner, time.at(2)), (0, 0), "the holder is behind");

    holder.set_assignment(&second, time.at(10));
    let answer = holder.on_release(&ask, busy, time.at(11));
    owner.on_release_answer(&answer, time.at(12));
    assert_eq!(slots(&owner, time.at(12)), (0, 0), "the holder has work in flight");
    assert_eq!(slots(&holder, time.at(12)).0, 0, "the holder starts nothing new");
    assert_eq!(holder.oldest_held_epoch(), Epoch(1));

    let answer = holder.on_release(&ask, idle, time.at(20));
    owner.on_release_answer(&answer, time.at(21));
    assert_eq!(slots(&owner, time.at(21)), (2, 0));
    assert_eq!(holder.oldest_held_epoch(), Epoch(2));
}

// Guards against the hole of looking at the previous pair only: after two quick changes
// the holder may be the owner of two epochs ago, which the last owner never asked.
#[test]
fn a_holder_of_two_epochs_ago_is_asked() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1), id(3, 1), id(4, 1)]);
    let first = Assignment::first(&target(&ids[2..]), ids[2], 0);
    let second = first.next(&target(&ids[1..]), ids[2], 0);
    let third = second.next(&target(&ids), ids[2], 0);
    let mut holder = process(ids[2], &[&first, &third], &time);
    let mut between = process(ids[1], &[&second, &third], &time);
    let mut owner = process(ids[0], &[&third], &time);

    let asked: Vec<Release> = owner
        .tick(idle, time.clock(0))
        .into_iter()
        .filter_map(|message| match message {
            Message::Release(release) => Some(release),
            Message::Renew(_) => None,
        })
        .collect();
    assert_eq!(asked.len(), 2);
    for ask in &asked {
        let answer = match ask.to {
            to if to == ids[1] => between.on_release(ask, idle, time.at(1)),
            _ => holder.on_release(ask, busy, time.at(1)),
        };
        owner.on_release_answer(&answer, time.at(2));
    }
    assert_eq!(slots(&owner, time.at(2)), (0, 0));
}

// Guards against a release by a process that has not seen the epoch in which it was the
// owner: it holds nothing, but would take the half when it learns that epoch late.
#[test]
fn a_process_that_is_behind_releases_nothing() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1), id(3, 1)]);
    let first = Assignment::first(&target(&ids[2..]), ids[2], 0);
    let second = first.next(&target(&ids[1..]), ids[2], 0);
    let third = second.next(&target(&ids), ids[2], 0);
    let mut holder = process(ids[2], &[&first, &third], &time);
    let mut behind = process(ids[1], &[&first], &time);
    let mut owner = process(ids[0], &[&third], &time);
    for message in owner.tick(idle, time.clock(0)) {
        let Message::Release(ask) = message else { continue };
        let answer = match ask.to {
            to if to == ids[1] => behind.on_release(&ask, idle, time.at(1)),
            _ => holder.on_release(&ask, idle, time.at(1)),
        };
        owner.on_release_answer(&answer, time.at(2));
    }
    assert_eq!(slots(&owner, time.at(2)), (0, 0));
    behind.set_assignment(&third, time.at(3));
    let ask = question(&mut owner, time.clock(300)).expect("it still waits");
    assert_eq!(ask.to, ids[1]);
    let answer = behind.on_release(&ask, idle, time.at(301));
    owner.on_release_answer(&answer, time.at(302));
    assert_eq!(slots(&owner, time.at(302)), (2, 0));
}

// Guards against taking the half of a process that has just ended: its work may run until
// its deadline, and the owner may hold a promise of it.
#[test]
fn the_half_of_an_ended_process_is_held_off() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1)]);
    let first = Assignment::first(&target(&ids), ids[1], 0);
    let later = MemberId { incarnation: Incarnation(2), ..ids[0] };
    let second = first.next(&target(&[later, ids[1]]), ids[1], 0);
    let mut restarted = process(later, &[&second], &time);
    let hold_off = HalvesSettings::default().hold_off().as_millis() as u64;
    restarted.tick(idle, time.clock(hold_off - 1));
    assert_eq!(slots(&restarted, time.at(hold_off - 1)), (0, 0));
    restarted.tick(idle, time.clock(hold_off));
    assert_eq!(slots(&restarted, time.at(hold_off)), (2, 0));
}

// Guards against deadlock when two members exchange their roles: each waits for the other.
#[test]
fn members_that_exchange_their_roles_do_not_wait_for_each_other() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1)]);
    let first = Assignment::first(&target(&ids), ids[0], 0);
    // A large weight moves the successor to the front.
    let mut heavy = target(&ids);
    heavy.members[1].weight = 1_000_000;
    let second = first.next(&heavy, ids[0], 0);
    let mut old_owner = process(ids[0], &[&first, &second], &time);
    let mut new_owner = process(ids[1], &[&first, &second], &time);
    assert_eq!(slots(&new_owner, time.at(0)), (1, 0), "it serves with the half it held");
    for ms in (0..1_000).step_by(300) {
        if let Some(ask) = question(&mut new_owner, time.clock(ms)) {
            let answer = old_owner.on_release(&ask, idle, time.at(ms));
            new_owner.on_release_answer(&answer, time.at(ms));
        }
        if let Some(ask) = question(&mut old_owner, time.clock(ms + 1)) {
            let answer = new_owner.on_release(&ask, idle, time.at(ms + 1));
            old_owner.on_release_answer(&answer, time.at(ms + 1));
        }
    }
    assert_eq!(slots(&new_owner, time.at(1_000)), (2, 0));
    assert_eq!(slots(&old_owner, time.at(1_000)), (1, 0));
}

// Guards against the fault that two processes held one half: when the ended owner was
// removed from the list, the pair of its epoch was computed without it and named another
// successor than the one that held the half.
#[test]
fn an_ended_owner_stays_listed_while_others_hold_from_its_epoch() {
    let ids = ranked(vec![id(1, 1), id(2, 1), id(3, 1)]);
    let first = Assignment::first(&target(&ids), ids[1], 0);
    let mut ended = target(&ids[1..]);
    ended.oldest_held.insert(ids[0], Epoch(u64::MAX));
    let second = first.next(&ended, ids[1], 0);
    let third = second.next(&ended, ids[1], 0);
    let record = third.members.iter().find(|r| r.id == ids[0]).expect("it is listed");
    assert!(record.released);
    assert_eq!(third.history().last().map(Vec::len), Some(3));
    ended.oldest_held.extend([(ids[1], Epoch(3)), (ids[2], Epoch(2))]);
    let fourth = third.next(&ended, ids[1], 0);
    assert_eq!(fourth.base, Epoch(2));
    assert!(fourth.members.iter().all(|r| r.id != ids[0]));
}
