//! Measures the cost of lease renewals between owners and successors, without sockets, and of one
//! daemon's table of all searchers.
//!
//! `cargo run --release -p tt-membership --example halves_cost`

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

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
use tt_membership::ownership::SearcherSpec;
use tt_membership::ownership::pair;
use tt_model::Incarnation;

const SEARCHERS_PER_MEMBER: usize = 32;
/// Longer than the hold-off of 5 s, before which a new process can't take halves of an earlier
/// process.
const WARM_UP_SECONDS: u64 = 10;
const MEASURED_SECONDS: u64 = 10;
const UNIX_MS: u64 = 1_700_000_000_000;

fn member(i: usize, domains: usize) -> Member {
    let address = SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000));
    let id = MemberId { address, incarnation: Incarnation((UNIX_MS << 16) + i as u64) };
    Member { id, domain: format!("domain-{:02}", i % domains), weight: 100 }
}

fn spec(i: usize, domains: usize) -> SearcherSpec {
    let [_, high, middle, low] = (i as u32).to_be_bytes();
    let key = SearcherKey::of(SocketAddr::from(([10, high + 1, middle, low], 80)));
    let domain = DomainKey::of(&format!("domain-{:02}", i % domains));
    SearcherSpec { key, domain, slots: 2, connections: 25 }
}

fn idle(_: SearcherKey) -> Usage {
    Usage::default()
}

/// The size of the CBOR payload, without the envelope and the headers of the transport.
fn size<T: serde::Serialize>(message: &T) -> u64 {
    let mut payload = Vec::new();
    ciborium::into_writer(message, &mut payload).expect("a message is serializable");
    payload.len() as u64
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn target(members: &[Member]) -> Target {
    Target { members: members.to_vec(), ..Target::default() }
}

/// Lets all members renew their leases. Each one is given only the searchers of its own pairs.
fn measure_renewals(count: usize, domains: usize) {
    let members: Vec<Member> = (0..count).map(|i| member(i, domains)).collect();
    let epoch = Assignment::first(&target(&members), members[0].id, 0);
    let candidates = epoch.candidates();
    let index: HashMap<MemberId, usize> =
        members.iter().enumerate().map(|(i, member)| (member.id, i)).collect();
    let mut specs = vec![Vec::new(); count];
    for spec in (0..count * SEARCHERS_PER_MEMBER).map(|i| spec(i, domains)) {
        let pair = pair(&candidates, spec.key, spec.domain).expect("there are members");
        specs[index[&pair.owner]].push(spec);
        specs[index[&pair.successor]].push(spec);
    }
    let start = Instant::now();
    let mut all: Vec<Halves> = Vec::new();
    for (member, specs) in members.iter().zip(&specs) {
        let mut halves = Halves::new(member.id, HalvesSettings::default(), start);
        halves.set_assignment(&epoch, start);
        halves.set_searchers(specs, start);
        all.push(halves);
    }
    let (mut requests, mut bytes, mut busy) = (0u64, 0u64, Duration::ZERO);
    let mut by_member = HashMap::new();
    for second in 0..WARM_UP_SECONDS + MEASURED_SECONDS {
        if second == WARM_UP_SECONDS {
            (requests, bytes, busy) = (0, 0, Duration::ZERO);
            by_member.clear();
        }
        let now = start + Duration::from_secs(second);
        let clock = Clock { now, unix_ms: UNIX_MS + second * 1_000 };
        for from in 0..count {
            let started = std::time::Instant::now();
            let messages = all[from].tick(idle, clock);
            busy += started.elapsed();
            for message in messages {
                let Message::Renew(renew) = message else { continue };
                let started = std::time::Instant::now();
                let Some(answer) = all[index[&renew.to]].on_renew(&renew, idle, now) else {
                    continue;
                };
                all[from].on_renew_answer(&answer);
                busy += started.elapsed();
                requests += 1;
                bytes += size(&renew) + size(&answer);
                *by_member.entry(from).or_insert(0u64) += 1;
            }
        }
    }
    let now = start + Duration::from_secs(WARM_UP_SECONDS + MEASURED_SECONDS - 1);
    let full: usize = all.iter().map(|halves| halves.counts(now).full_searchers).sum();
    assert_eq!(full, count * SEARCHERS_PER_MEMBER, "every owner has all slots");
    let each = (count as u64 * MEASURED_SECONDS) as f64;
    let max = by_member.values().max().copied().unwrap_or(0) as f64 / MEASURED_SECONDS as f64;
    println!(
        "| {count} | {domains} | {:.1} | {max:.0} | {:.0} | {:.0} | {:.1} |",
        requests as f64 / each,
        bytes as f64 / requests as f64,
        bytes as f64 / each,
        busy.as_secs_f64() * 1e6 / each,
    );
}

/// Measures one daemon that knows all searchers: the first ranking, changes of the epoch, and an
/// update of the searchers without a change.
fn measure_table(count: usize, domains: usize, searchers: usize) {
    let mut members: Vec<Member> = (0..count).map(|i| member(i, domains)).collect();
    let first = Assignment::first(&target(&members), members[0].id, 0);
    let specs: Vec<SearcherSpec> = (0..searchers).map(|i| spec(i, domains)).collect();
    let now = Instant::now();
    let before = resident_bytes();
    let mut halves = Halves::new(members[0].id, HalvesSettings::default(), now);
    halves.set_assignment(&first, now);
    let started = std::time::Instant::now();
    halves.set_searchers(&specs, now);
    let start_ms = started.elapsed().as_secs_f64() * 1e3;
    let memory = resident_bytes().saturating_sub(before) / 1024;
    let left = members.remove(count / 2);
    let second = first.next(&target(&members), members[0].id, 1);
    let started = std::time::Instant::now();
    halves.set_assignment(&second, now);
    let leave_ms = started.elapsed().as_secs_f64() * 1e3;
    members.push(left);
    let third = second.next(&target(&members), members[0].id, 2);
    let started = std::time::Instant::now();
    halves.set_assignment(&third, now);
    let join_ms = started.elapsed().as_secs_f64() * 1e3;
    let started = std::time::Instant::now();
    halves.set_searchers(&specs, now);
    let same_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "| {count} | {searchers} | {memory} | {start_ms:.1} | {leave_ms:.1} | {join_ms:.1} | \
         {same_ms:.1} |"
    );
    std::mem::forget(halves);
}

fn main() {
    // The tables come first: later allocations would reuse freed memory and not be counted.
    println!("one daemon with all searchers; times in ms");
    println!(
        "| members | searchers | memory KiB | first ranking | one leaves | it joins | \
         same searchers again |\n|---|---|---|---|---|---|---|"
    );
    for (count, searchers) in [(5, 108), (100, 3_200), (1_000, 32_000), (2_700, 87_000)] {
        measure_table(count, (count / 75).clamp(3, 36), searchers);
    }
    println!("\nrenewals, {SEARCHERS_PER_MEMBER} searchers for each member");
    println!(
        "| members | domains | requests/s sent | most | bytes of both payloads | \
         payload bytes/s | CPU us/s |\n|---|---|---|---|---|---|---|"
    );
    for (count, domains) in [(5, 3), (100, 4), (1_000, 13), (2_700, 36)] {
        measure_renewals(count, domains);
    }
}
