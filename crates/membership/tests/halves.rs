//! Leases and handovers between two or three processes, message by message.

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

/// Points in time, counted in milliseconds from a start.
struct Time(Instant);

impl Time {
    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn clock(&self, ms: u64) -> Clock {
        Clock { now: self.at(ms), unix_ms: UNIX_MS + ms }
    }
}

/// The halves of a process that has seen these epochs.
fn process(id: MemberId, epochs: &[&Assignment], time: &Time) -> Halves {
    let mut halves = Halves::new(id, HalvesSettings::default(), time.at(0));
    halves.set_searchers(&[spec()], time.at(0));
    for epoch in epochs {
        halves.set_assignment(epoch, time.at(0));
    }
    halves
}

/// The ids in the order of their scores for the searcher: the owner, the successor, the others.
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

/// The renewal that an owner sends now.
fn renewal(owner: &mut Halves, clock: Clock) -> Renew {
    let messages = owner.tick(idle, clock);
    let renewal = messages.into_iter().find_map(|message| match message {
        Message::Renew(renew) => Some(renew),
        Message::Release(_) => None,
    });
    renewal.expect("a renewal is due")
}

/// The first release request that a process sends now, if any.
fn release_request(halves: &mut Halves, clock: Clock) -> Option<Release> {
    halves.tick(idle, clock).into_iter().find_map(|message| match message {
        Message::Release(release) => Some(release),
        Message::Renew(_) => None,
    })
}

/// The slots that may be used without and with a lease.
fn slots(halves: &Halves, now: Instant) -> (u32, u32) {
    let Allowance { slots, leased, .. } = halves.allowance(spec().key, now);
    (slots, leased)
}

// Guards against a lease that ends at the successor before it ends at the owner: both would use
// the slots of the lower half.
#[test]
fn the_lease_ends_at_the_owner_first() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    assert_eq!(slots(&owner, time.at(0)), (2, 0));
    assert_eq!(slots(&successor, time.at(0)), (1, 0));

    let renew = renewal(&mut owner, time.clock(0));
    let answer =
        successor.on_renew(&renew, idle, time.at(800)).expect("the renewal is for this process");
    owner.on_renew_answer(&answer);
    assert_eq!(slots(&owner, time.at(2_949)), (2, 1));
    assert_eq!(slots(&owner, time.at(2_950)), (2, 0));
    assert_eq!(slots(&successor, time.at(3_799)), (0, 0));
    assert_eq!(slots(&successor, time.at(3_800)), (1, 0));
}

// Guards against a deadline that is computed after a suspension of the VM, during which the
// monotonic clock stands still: the end of a lease is fixed when the lease is requested.
#[test]
fn leased_slots_have_the_end_of_the_lease_as_deadline() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    let renew = renewal(&mut owner, time.clock(0));
    let answer =
        successor.on_renew(&renew, idle, time.at(1)).expect("the renewal is for this process");
    owner.on_renew_answer(&answer);
    let allowance = owner.allowance(spec().key, time.at(100));
    assert_eq!(allowance.until_unix_ms, Some(UNIX_MS + 2_950));
}

// Guards against a lease of slots in which sub-queries of the successor still run.
#[test]
fn a_successor_with_work_in_flight_grants_no_lease() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    let renew = renewal(&mut owner, time.clock(0));
    let answer =
        successor.on_renew(&renew, busy, time.at(1)).expect("the renewal is for this process");
    assert_eq!(answer.refused, [spec().key]);
    // The successor starts nothing new, so that it can grant the lease soon.
    assert_eq!(slots(&successor, time.at(1)), (0, 0));
    let renew = renewal(&mut owner, time.clock(1_000));
    let answer =
        successor.on_renew(&renew, idle, time.at(1_001)).expect("the renewal is for this process");
    assert!(answer.refused.is_empty());
}

// Guards against a restarted process that uses a lease granted to the process before it at the same
// address.
#[test]
fn a_lease_of_an_earlier_process_is_ignored() {
    let time = Time(Instant::now());
    let [a, b] = ranked(vec![id(1, 1), id(2, 1)])[..] else { panic!("two members") };
    let epoch = Assignment::first(&target(&[a, b]), a, 0);
    let (mut owner, mut successor) = (process(a, &[&epoch], &time), process(b, &[&epoch], &time));
    let renew = renewal(&mut owner, time.clock(0));
    let answer =
        successor.on_renew(&renew, idle, time.at(1)).expect("the renewal is for this process");
    let later = MemberId { incarnation: Incarnation(2), ..a };
    let next = epoch.next(&target(&[later, b]), b, 0);
    let mut restarted = process(later, &[&next], &time);
    restarted.on_renew_answer(&answer);
    assert_eq!(slots(&restarted, time.at(10)), (0, 0));
}

// Guards against a half that is taken while its holder has not seen the new epoch or has work in
// flight.
#[test]
fn a_half_moves_when_the_holder_knows_the_epoch_and_is_idle() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1), id(3, 1)]);
    let first = Assignment::first(&target(&ids[1..]), ids[1], 0);
    let second = first.next(&target(&ids), ids[1], 0);
    let mut holder = process(ids[1], &[&first], &time);
    let mut owner = process(ids[0], &[&second], &time);
    assert_eq!(slots(&owner, time.at(0)), (0, 0));

    let request = release_request(&mut owner, time.clock(0)).expect("the owner waits");
    let answer = holder.on_release(&request, idle, time.at(1));
    owner.on_release_answer(&answer, time.at(2));
    assert_eq!(slots(&owner, time.at(2)), (0, 0), "the holder is behind");

    holder.set_assignment(&second, time.at(10));
    let answer = holder.on_release(&request, busy, time.at(11));
    owner.on_release_answer(&answer, time.at(12));
    assert_eq!(slots(&owner, time.at(12)), (0, 0), "the holder has work in flight");
    assert_eq!(slots(&holder, time.at(12)).0, 0, "the holder starts nothing new");
    assert_eq!(holder.oldest_held_epoch(), Epoch(1));

    let answer = holder.on_release(&request, idle, time.at(20));
    owner.on_release_answer(&answer, time.at(21));
    assert_eq!(slots(&owner, time.at(21)), (2, 0));
    assert_eq!(holder.oldest_held_epoch(), Epoch(2));
}

// Guards against a new owner that asks only the previous pair: after two quick changes, the half
// may be held by the owner of two epochs ago, which the owner in between never asked.
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
    for request in &asked {
        let answer = match request.to {
            to if to == ids[1] => between.on_release(request, idle, time.at(1)),
            _ => holder.on_release(request, busy, time.at(1)),
        };
        owner.on_release_answer(&answer, time.at(2));
    }
    assert_eq!(slots(&owner, time.at(2)), (0, 0));
}

// Guards against a release by a process that has not seen the epoch in which it was the owner: it
// holds nothing yet, but would take the half once it learns of that epoch.
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
        let Message::Release(request) = message else { continue };
        let answer = match request.to {
            to if to == ids[1] => behind.on_release(&request, idle, time.at(1)),
            _ => holder.on_release(&request, idle, time.at(1)),
        };
        owner.on_release_answer(&answer, time.at(2));
    }
    assert_eq!(slots(&owner, time.at(2)), (0, 0));
    behind.set_assignment(&third, time.at(3));
    let request = release_request(&mut owner, time.clock(300)).expect("the owner still waits");
    assert_eq!(request.to, ids[1]);
    let answer = behind.on_release(&request, idle, time.at(301));
    owner.on_release_answer(&answer, time.at(302));
    assert_eq!(slots(&owner, time.at(302)), (2, 0));
}

// Guards against taking the half of a process that has just ended: its sub-queries may run until
// their deadlines, and the owner may still have a lease of its slots.
#[test]
fn the_half_of_an_ended_process_is_free_after_the_hold_off() {
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

// Guards against a deadlock when two members exchange their roles and each waits for the other's
// half.
#[test]
fn members_that_exchange_their_roles_do_not_wait_for_each_other() {
    let time = Time(Instant::now());
    let ids = ranked(vec![id(1, 1), id(2, 1)]);
    let first = Assignment::first(&target(&ids), ids[0], 0);
    // A large weight makes the successor the owner.
    let mut heavy = target(&ids);
    heavy.members[1].weight = 1_000_000;
    let second = first.next(&heavy, ids[0], 0);
    let mut old_owner = process(ids[0], &[&first, &second], &time);
    let mut new_owner = process(ids[1], &[&first, &second], &time);
    assert_eq!(slots(&new_owner, time.at(0)), (1, 0), "it uses the half that it held");
    for ms in (0..1_000).step_by(300) {
        if let Some(request) = release_request(&mut new_owner, time.clock(ms)) {
            let answer = old_owner.on_release(&request, idle, time.at(ms));
            new_owner.on_release_answer(&answer, time.at(ms));
        }
        if let Some(request) = release_request(&mut old_owner, time.clock(ms + 1)) {
            let answer = new_owner.on_release(&request, idle, time.at(ms + 1));
            old_owner.on_release_answer(&answer, time.at(ms + 1));
        }
    }
    assert_eq!(slots(&new_owner, time.at(1_000)), (2, 0));
    assert_eq!(slots(&old_owner, time.at(1_000)), (1, 0));
}

// Guards against two processes that hold the same half. This happened when the record of an ended
// owner was removed too early: the pair of its epoch was then computed without it, with another
// successor than the process that held the half.
#[test]
fn the_record_of_an_ended_owner_is_kept_while_others_hold_halves_from_its_epoch() {
    let ids = ranked(vec![id(1, 1), id(2, 1), id(3, 1)]);
    let first = Assignment::first(&target(&ids), ids[1], 0);
    let mut ended = target(&ids[1..]);
    ended.oldest_held_epochs.insert(ids[0], Epoch(u64::MAX));
    let second = first.next(&ended, ids[1], 0);
    let third = second.next(&ended, ids[1], 0);
    let record = third.members.iter().find(|r| r.id == ids[0]).expect("the record is kept");
    assert!(record.released);
    assert_eq!(third.history().last().map(Vec::len), Some(3));
    ended.oldest_held_epochs.extend([(ids[1], Epoch(3)), (ids[2], Epoch(2))]);
    let fourth = third.next(&ended, ids[1], 0);
    assert_eq!(fourth.base, Epoch(2));
    assert!(fourth.members.iter().all(|r| r.id != ids[0]));
}
