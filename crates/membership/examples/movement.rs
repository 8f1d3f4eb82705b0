//! Compares how many searchers change their owner when a member leaves or joins: with rendezvous
//! hashing, with a hash modulo the number of members, and with a fixed number of virtual shards.
//!
//! `cargo run --release -p tt-membership --example movement`

use std::net::SocketAddr;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use tt_membership::DomainKey;
use tt_membership::MemberId;
use tt_membership::SearcherKey;
use tt_membership::ownership::Candidate;
use tt_membership::ownership::pair;
use tt_model::Incarnation;

/// Virtual shards per member before the change. Their number stays the same when members change.
const SHARDS_PER_MEMBER: usize = 32;

struct Site {
    members: usize,
    searchers: usize,
    domains: usize,
}

fn member(index: usize, domains: usize) -> Candidate {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000));
    let id = MemberId { address, incarnation: Incarnation(1) };
    Candidate::new(id, DomainKey::of(&format!("domain-{}", index % domains)), 100)
}

fn searcher(index: usize) -> SearcherKey {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    SearcherKey::of(SocketAddr::from(([10, high + 1, middle, low], 80)))
}

/// The share of keys whose owner differs, in percent.
fn moved_percent(before: &[usize], after: &[usize]) -> f64 {
    let moved = before.iter().zip(after).filter(|(a, b)| a != b).count();
    100.0 * moved as f64 / before.len() as f64
}

fn main() {
    println!(
        "| members | searchers | change | ideal | rendezvous | own domain first | hash % n | \
         v % n | pairs: us/searcher |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for site in [
        Site { members: 5, searchers: 110, domains: 3 },
        Site { members: 75, searchers: 2_400, domains: 3 },
        Site { members: 2_700, searchers: 87_000, domains: 36 },
    ] {
        compare(&site);
    }
}

fn compare(site: &Site) {
    let Site { members: n, searchers, domains } = *site;
    let all: Vec<Candidate> = (0..=n).map(|i| member(i, domains)).collect();
    let keys: Vec<SearcherKey> = (0..searchers).map(searcher).collect();
    let shards = n * SHARDS_PER_MEMBER;
    let position = |id: MemberId| all.iter().position(|c| c.id == id).unwrap_or(usize::MAX);
    let any_domain = |members: &[Candidate]| -> Vec<usize> {
        let best = |key: &SearcherKey| members.iter().min_by_key(|c| c.score(key.0)).map(|c| c.id);
        keys.iter().filter_map(best).map(position).collect()
    };
    let own_domain_first = |members: &[Candidate]| -> Vec<usize> {
        let owner = |(i, key): (usize, &SearcherKey)| {
            pair(members, *key, DomainKey::of(&format!("domain-{}", i % domains))).map(|p| p.owner)
        };
        keys.iter().enumerate().filter_map(owner).map(position).collect()
    };
    let hash = |key: &SearcherKey| xxh3_64(&key.0.to_le_bytes()) as usize;
    // Members are listed by address, so a member that leaves shifts the members after it.
    let member_at =
        |members: &[Candidate], index: usize| position(members[index % members.len()].id);
    let modulo = |members: &[Candidate]| -> Vec<usize> {
        keys.iter().map(|key| member_at(members, hash(key))).collect()
    };
    let virtual_shards = |members: &[Candidate]| -> Vec<usize> {
        keys.iter().map(|key| member_at(members, hash(key) % shards)).collect()
    };

    let present = &all[..n];
    let started = Instant::now();
    let base = own_domain_first(present);
    let micros = started.elapsed().as_secs_f64() * 1e6 / searchers as f64;
    let (base_any, base_modulo, base_virtual) =
        (any_domain(present), modulo(present), virtual_shards(present));
    let mut remaining = present.to_vec();
    remaining.remove(n / 2);
    for (change, members) in [("one leaves", &remaining[..]), ("one joins", &all[..])] {
        println!(
            "| {n} | {searchers} | {change} | {:.3}% | {:.3}% | {:.3}% | {:.1}% | {:.1}% | {micros:.1} |",
            100.0 / n.max(members.len()) as f64,
            moved_percent(&base_any, &any_domain(members)),
            moved_percent(&base, &own_domain_first(members)),
            moved_percent(&base_modulo, &modulo(members)),
            moved_percent(&base_virtual, &virtual_shards(members)),
        );
    }
}
