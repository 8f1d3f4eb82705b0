//! The member table: failure detection, refutation, restarted processes, the list of daemons,
//! and the entries for callers.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use tt_membership::Assignment;
use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::Members;
use tt_membership::assignment::Target;
use tt_membership::entries::Origin;
use tt_membership::entries::entries;
use tt_membership::members::Action;
use tt_membership::members::Event;
use tt_membership::members::Intent;
use tt_membership::members::ListedDaemon;
use tt_membership::members::ListedState;
use tt_membership::members::MemberStatus;
use tt_membership::members::State;
use tt_model::Epoch;
use tt_model::Incarnation;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000))
}

fn member(i: usize, incarnation: u64) -> Member {
    let id = MemberId { address: address(i), incarnation: Incarnation(incarnation) };
    Member { id, domain: format!("domain-{}", i % 4), weight: 1 }
}

/// Members that know each other from the start. Messages arrive at once unless the receiver is
/// down.
struct Tier {
    rng: StdRng,
    now: Instant,
    members: Vec<Members>,
    down: Vec<bool>,
    largest_digest: usize,
}

impl Tier {
    fn new(count: usize) -> Tier {
        let now = Instant::now();
        let mut members: Vec<Members> =
            (0..count).map(|i| Members::new(member(i, 1), Vec::new())).collect();
        let statuses: Vec<MemberStatus> = members.iter().flat_map(Members::table).collect();
        let all =
            Target { members: (0..count).map(|i| member(i, 1)).collect(), ..Target::default() };
        let assignment = Assignment::first(&all, member(0, 1).id, 0);
        for m in &mut members {
            m.on_table(statuses.clone(), now);
            m.on_assignment(&assignment, now);
        }
        let down = vec![false; count];
        Tier { rng: StdRng::seed_from_u64(3), now, members, down, largest_digest: 0 }
    }

    fn advance_seconds(&mut self, count: usize) {
        for _ in 0..count {
            self.now += Duration::from_secs(1);
            for i in 0..self.members.len() {
                self.send_heartbeats(i);
            }
        }
    }

    fn send_heartbeats(&mut self, i: usize) {
        if self.down[i] {
            return;
        }
        for action in self.members[i].tick(&mut self.rng, self.now) {
            let Action::Send(to, message) = action else { continue };
            let to = (0..self.members.len()).find(|&j| address(j) == to).expect("a known address");
            self.largest_digest = self.largest_digest.max(message.digest.len());
            if self.down[to] {
                self.members[i].on_call_failed(address(to), self.now);
                continue;
            }
            let answer = self.members[to].on_heartbeat(message, &mut self.rng, self.now);
            self.members[i].on_answer(answer, self.now);
        }
    }

    fn state(&self, at: usize, of: usize) -> Option<State> {
        self.members[at].get(address(of)).map(|view| view.state)
    }

    /// The number of members that member `at` would propose after an epoch with all of them;
    /// `usize::MAX` if it must not propose.
    fn proposed_count(&self, at: usize) -> usize {
        let hold_off = Duration::from_secs(5);
        let all = (0..self.members.len()).map(|i| member(i, 1)).collect();
        let current =
            Assignment::first(&Target { members: all, ..Target::default() }, member(0, 1).id, 0);
        let target = self.members[at].target(Some(&current), hold_off, self.now);
        target.rank.map_or(usize::MAX, |_| target.members.len())
    }
}

fn list(count: usize) -> Vec<ListedDaemon> {
    (0..count).map(|i| ListedDaemon { address: address(i), state: ListedState::Live }).collect()
}

// Guards against a failure that is detected too late, or that removes a member too early.
#[test]
fn a_silent_member_is_suspect_then_gone() {
    let mut tier = Tier::new(5);
    tier.advance_seconds(5);
    tier.down[4] = true;
    tier.advance_seconds(2);
    assert_eq!(tier.state(0, 4), Some(State::Live));
    tier.advance_seconds(2);
    assert_eq!(tier.state(0, 4), Some(State::Suspect));
    assert_eq!(tier.proposed_count(0), 5, "a suspect stays in the assignment");
    tier.advance_seconds(8);
    assert_eq!(tier.state(0, 4), Some(State::Suspect));
    tier.advance_seconds(3);
    assert_eq!(tier.state(0, 4), Some(State::Gone));
    assert_eq!(tier.proposed_count(0), 4);
}

// Guards against a member that stays gone after it is heard again, and against one that leaves
// and rejoins the assignment each time its link fails.
#[test]
fn a_member_that_recovers_rejoins_after_a_delay() {
    let mut tier = Tier::new(5);
    tier.advance_seconds(2);
    tier.down[4] = true;
    tier.advance_seconds(16);
    tier.down[4] = false;
    tier.advance_seconds(2);
    assert_eq!(tier.state(0, 4), Some(State::Live));
    assert_eq!(tier.state(4, 4), Some(State::Live));
    let without = Target { members: (0..4).map(|i| member(i, 1)).collect(), ..Target::default() };
    let current = Assignment::first(&without, member(0, 1).id, 0);
    let proposed_count = |tier: &Tier| {
        tier.members[0].target(Some(&current), Duration::ZERO, tier.now).members.len()
    };
    assert_eq!(proposed_count(&tier), 4);
    tier.advance_seconds(9);
    assert_eq!(proposed_count(&tier), 5);
}

// Guards against a daemon that declares most others gone because it is cut off itself.
#[test]
fn a_cut_off_daemon_changes_nothing() {
    let mut tier = Tier::new(12);
    tier.advance_seconds(5);
    for i in 1..12 {
        tier.down[i] = true;
    }
    tier.advance_seconds(60);
    assert!(tier.members[0].is_partitioned());
    assert!((1..12).all(|i| tier.state(0, i) != Some(State::Gone)));
    assert_eq!(tier.proposed_count(0), usize::MAX);
    tier.down.fill(false);
    tier.advance_seconds(20);
    assert!(!tier.members[0].is_partitioned());
    assert_eq!(tier.proposed_count(0), 12);
}

// Guards against the loss of a failure domain that is taken for a partition, and against gossip
// that doesn't reach members that did not detect the failures themselves.
#[test]
fn a_lost_domain_is_removed_by_every_member() {
    let mut tier = Tier::new(40);
    tier.advance_seconds(5);
    for i in [0, 4, 8, 12, 16, 20, 24, 28, 32, 36] {
        tier.down[i] = true;
    }
    tier.advance_seconds(30);
    for at in (0..40).filter(|at| at % 4 != 0) {
        assert!(!tier.members[at].is_partitioned());
        assert_eq!(tier.proposed_count(at), 30, "at {at}");
    }
    assert!(tier.largest_digest <= tt_membership::members::MAX_DIGEST_LEN);
}

// Guards against a restarted process that is taken for the one before it at the same address.
#[test]
fn a_later_incarnation_replaces_the_earlier_one() {
    let mut tier = Tier::new(5);
    tier.advance_seconds(2);
    tier.members[0].take_events();
    tier.members[4] = Members::new(member(4, 2), vec![address(0)]);
    tier.advance_seconds(2);
    let events = tier.members[0].take_events();
    assert!(events.contains(&Event::Ended(member(4, 1).id)), "{events:?}");
    assert!(events.contains(&Event::Joined(member(4, 2).id)), "{events:?}");
    // Late gossip about the earlier process changes nothing.
    let now = tier.now;
    let old = Tier::new(5).members[4].table();
    tier.members[0].on_table(old, now);
    let id = tier.members[0].get(address(4)).map(|view| view.member.id);
    assert_eq!(id, Some(member(4, 2).id));
}

// Guards against a running VM that counts as gone because of a single read without it, which may
// come from a replica of the list that is older than the VM.
#[test]
fn a_vm_is_gone_when_it_has_long_been_missing_from_the_list() {
    let mut tier = Tier::new(5);
    let start = tier.now;
    let at = |s: u64| start + Duration::from_secs(s);
    let members = &mut tier.members[0];
    members.on_list_read(&list(5), at(0));
    members.take_events();
    members.on_list_read(&list(4), at(5));
    members.on_list_read(&list(5), at(10));
    members.on_list_read(&list(4), at(15));
    members.on_list_read(&list(4), at(44));
    assert_eq!(members.take_events(), []);
    // A member that was heard exists, whatever the list says.
    members.on_contact(address(4), at(44));
    members.on_list_read(&list(4), at(50));
    members.on_list_read(&list(4), at(79));
    assert_eq!(members.take_events(), []);
    members.on_list_read(&list(4), at(80));
    assert!(members.take_events().contains(&Event::Ended(member(4, 1).id)));
}

// Guards against a restarted daemon that proposes an assignment without the members that it has
// not heard yet.
#[test]
fn a_daemon_that_has_just_started_removes_nobody() {
    let tier = Tier::new(5);
    let all = Target { members: (0..5).map(|i| member(i, 1)).collect(), ..Target::default() };
    let current = Assignment::first(&all, member(0, 1).id, 0);
    let started = Members::new(member(0, 1), Vec::new());
    let target = started.target(Some(&current), Duration::ZERO, tier.now);
    assert_eq!(target.members.len(), 5);
}

// Guards against callers that are sent to a member that is stopping or lost, and against an order
// that depends on the daemon that is asked.
#[test]
fn entries_are_live_members_with_the_callers_domain_first() {
    let mut tier = Tier::new(8);
    tier.advance_seconds(3);
    tier.members[5].set_intent(Intent::Leaving);
    tier.down[6] = true;
    tier.advance_seconds(6);
    let answers: Vec<_> = [0, 3]
        .map(|at| entries(&tier.members[at], "counter-desk-03", Origin::Domain("domain-1")))
        .to_vec();
    assert_eq!(answers[0], answers[1]);
    let listed: Vec<SocketAddr> = answers[0].entries.iter().map(|e| e.address).collect();
    assert_eq!(listed.len(), 7);
    assert_eq!(listed[0], address(1), "the only serving member of the domain");
    assert!(!listed.contains(&address(5)), "it is leaving");
    assert_eq!(listed[6], address(6), "a suspect comes last");
    assert_eq!(answers[0].keep_ms, 10_000);

    tier.members[5].set_report(Epoch(1), tt_model::Revision(0), Epoch(u64::MAX));
    tier.members[5].set_intent(Intent::Stopped);
    tier.members[0].take_events();
    tier.advance_seconds(2);
    assert!(tier.members[0].take_events().contains(&Event::Stopped(member(5, 1).id)));
}

// Guards against the same order for all callers, which would load one member with all of them.
#[test]
fn callers_are_spread() {
    let mut tier = Tier::new(5);
    tier.advance_seconds(2);
    let mut first = [0usize; 5];
    for caller in 0..1_000 {
        let answer = entries(&tier.members[0], &format!("service-{caller}"), Origin::Unknown);
        let index = (0..5).find(|&i| address(i) == answer.entries[0].address);
        first[index.expect("a known address")] += 1;
    }
    assert!(first.iter().all(|&count| (140..=260).contains(&count)), "{first:?}");
}
