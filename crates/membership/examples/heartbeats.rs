//! Runs the member tables of many daemons in one thread, without sockets, and prints the cost per
//! member and the number of rounds until all know of a failure.
//!
//! `cargo run --release -p tt-membership --example heartbeats`

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::Members;
use tt_membership::members::Action;
use tt_membership::members::Event;
use tt_membership::members::Heartbeat;
use tt_membership::members::MemberStatus;
use tt_membership::members::State;
use tt_model::Incarnation;

const SEED: u64 = 20_261_204;
const WARM_UP_ROUNDS: usize = 10;
const MEASURED_ROUNDS: usize = 20;
/// Maximum number of rounds after a failure. The timeouts alone take 3 and 10 rounds.
const MAX_ROUNDS: usize = 60;

struct Tier {
    rng: StdRng,
    now: Instant,
    /// Probability that a message is lost.
    loss: f64,
    members: Vec<Option<Members>>,
    index: HashMap<SocketAddr, usize>,
    /// Calls that failed in the last round: the sender and the receiver.
    failed: Vec<(usize, SocketAddr)>,
    messages: u64,
    bytes: u64,
    /// CPU time of all rounds since the last reset.
    busy: Duration,
}

impl Tier {
    fn new(count: usize, domains: usize, loss: f64) -> Tier {
        let now = Instant::now();
        let address =
            |i: usize| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000));
        let mut members: Vec<Members> = (0..count)
            .map(|i| {
                let incarnation = Incarnation((1_700_000_000_000 << 16) + i as u64);
                let id = MemberId { address: address(i), incarnation };
                let domain = format!("domain-{:02}", i % domains);
                Members::new(Member { id, domain, weight: 100 }, vec![address(0)])
            })
            .collect();
        let statuses: Vec<MemberStatus> = members.iter().flat_map(Members::table).collect();
        for member in &mut members {
            member.on_table(statuses.clone(), now);
        }
        Tier {
            rng: StdRng::seed_from_u64(SEED),
            now,
            loss,
            members: members.into_iter().map(Some).collect(),
            index: (0..count).map(|i| (address(i), i)).collect(),
            failed: Vec::new(),
            messages: 0,
            bytes: 0,
            busy: Duration::ZERO,
        }
    }

    /// One second, in which all members send their heartbeats, starting with a random one.
    fn round(&mut self) {
        self.now += Duration::from_secs(1);
        let started = std::time::Instant::now();
        for (member, address) in std::mem::take(&mut self.failed) {
            if let Some(member) = &mut self.members[member] {
                member.on_call_failed(address, self.now);
            }
        }
        let first = self.rng.random_range(0..self.members.len());
        for i in 0..self.members.len() {
            self.send((first + i) % self.members.len());
        }
        self.busy += started.elapsed();
    }

    fn send(&mut self, from: usize) {
        let Some(member) = &mut self.members[from] else { return };
        for action in member.tick(&mut self.rng, self.now) {
            let Action::Send(to, message) = action else { continue };
            if !self.exchange(from, self.index[&to], message) {
                self.failed.push((from, to));
            }
        }
    }

    /// Sends a heartbeat and its answer. Returns whether the answer arrived.
    fn exchange(&mut self, from: usize, to: usize, message: Heartbeat) -> bool {
        self.count(&message);
        if self.rng.random_bool(self.loss) {
            return false;
        }
        let Some(target) = &mut self.members[to] else { return false };
        let answer = target.on_heartbeat(message, &mut self.rng, self.now);
        self.count(&answer);
        if self.rng.random_bool(self.loss) {
            return false;
        }
        if let Some(sender) = &mut self.members[from] {
            sender.on_answer(answer, self.now);
        }
        true
    }

    fn count(&mut self, message: &Heartbeat) {
        self.messages += 1;
        self.bytes += size(message);
    }

    /// Takes the events of all members, and returns how often one became suspect.
    fn take_suspicions(&mut self) -> usize {
        let members = self.members.iter_mut().flatten();
        members
            .flat_map(Members::take_events)
            .filter(|event| matches!(event, Event::Changed(_, State::Suspect)))
            .count()
    }

    fn all_know(&self, address: SocketAddr, states: &[State]) -> bool {
        let mut members = self.members.iter().flatten();
        members.all(|m| m.get(address).is_none_or(|view| states.contains(&view.state)))
    }
}

/// The size of a heartbeat as a protobuf message: one byte for each tag, fixed-size
/// addresses and incarnations, short variable-length integers.
fn size(message: &Heartbeat) -> u64 {
    let status_size = |status: &MemberStatus| {
        let identity = 5 + 4 + 9;
        let description = 2 + status.member.domain.len() as u64 + 3;
        let state = 3 + 2 + 2 + 5;
        2 + identity + description + state
    };
    status_size(&message.from) + 5 + 5 + 4 + message.digest.iter().map(status_size).sum::<u64>()
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn measure(count: usize, domains: usize, loss: f64) {
    let before = resident_bytes();
    let mut tier = Tier::new(count, domains, loss);
    let memory = resident_bytes().saturating_sub(before) / count as u64;
    for _ in 0..WARM_UP_ROUNDS {
        tier.round();
    }
    tier.take_suspicions();
    (tier.messages, tier.bytes, tier.busy) = (0, 0, Duration::ZERO);
    for _ in 0..MEASURED_ROUNDS {
        tier.round();
    }
    let each = (count * MEASURED_ROUNDS) as f64;
    let (messages, bytes) = (tier.messages as f64 / each, tier.bytes as f64 / each);
    let micros = tier.busy.as_secs_f64() * 1e6 / each;
    let false_suspects = tier.take_suspicions();

    let lost = count / 2;
    let address = tier.members[lost].take().map(|m| m.me().id.address).expect("it runs");
    let (mut suspect, mut gone) = (None, None);
    for round in 1..=MAX_ROUNDS {
        tier.round();
        if tier.all_know(address, &[State::Suspect, State::Gone]) {
            suspect.get_or_insert(round);
        }
        if tier.all_know(address, &[State::Gone]) {
            gone = Some(round);
            break;
        }
    }
    // Tiers after the first of a size reuse its memory, so only that one is shown.
    let memory = if loss == 0.0 { format!("{:.0}", memory as f64 / 1024.0) } else { "-".into() };
    let show = |rounds: Option<usize>| rounds.map_or("-".to_owned(), |r| r.to_string());
    let (suspect, gone) = (show(suspect), show(gone));
    println!(
        "| {count} | {domains} | {:.0}% | {messages:.2} | {bytes:.0} | {micros:.1} | {memory} | \
         {suspect} | {gone} | {false_suspects} |",
        loss * 100.0,
    );
}

fn main() {
    println!(
        "| members | domains | loss | messages/s | bytes/s | CPU us/s | memory KiB | \
         rounds to suspect at all | to gone at all | false suspicions in {MEASURED_ROUNDS} s, \
         all tables |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (count, domains) in [(10, 4), (100, 4), (1_000, 13), (2_700, 36)] {
        for loss in [0.0, 0.01, 0.1] {
            measure(count, domains, loss);
        }
    }
}
