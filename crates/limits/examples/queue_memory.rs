//! Prints the resident memory of the slot queue and of the connection state of one searcher.
//!
//! `cargo run --release -p tt-limits --example queue_memory`

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use tt_limits::ConnectionAction;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;
use tt_limits::QueueSettings;
use tt_limits::SlotGrant;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_model::Key;
use tt_model::ServiceId;

const SEARCHERS: usize = 2_000;
const SLOTS: u32 = 2;
const SERVICES: usize = 50;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn queue(now: Instant, backlog: usize) -> SlotQueue<u64> {
    let mut queue = SlotQueue::new(now, QueueSettings::default());
    queue.set_grant(SlotGrant::leased(SLOTS, now + Duration::from_secs(3600)));
    for i in 0..backlog {
        let sub_query = SubQuery {
            service: ServiceId::from_index(i % SERVICES),
            share: 1.0,
            urgency: 0,
            deadline: now + Duration::from_secs(600),
        };
        queue.push(now, sub_query, i as u64).expect("the queue is not full");
    }
    queue
}

fn connections(now: Instant, open: u32) -> Connections {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut connections = Connections::new(ConnectionSettings::default());
    connections.set_limit(now, open, &mut rng);
    connections.set_concurrency(open);
    let mut time = now;
    // A cold searcher gets its connections in steps, so that many connections take many rounds.
    for _ in 0..1_000_000 {
        if connections.count() >= open {
            break;
        }
        time += Duration::from_millis(1);
        if let Some(ConnectionAction::Open(id)) = connections.next_action(time, &mut rng) {
            connections.on_opened(time, id);
        }
    }
    connections
}

/// Returns the mean growth of resident memory, in bytes, for each value that `make` returns.
/// The values are never freed: freed memory would be reused by the next measurement and not
/// be counted.
fn mean_bytes<T, F>(make: F) -> u64
where
    F: Fn() -> T,
{
    let mut kept = Vec::new();
    let before = resident_bytes();
    kept.extend((0..SEARCHERS).map(|_| make()));
    let grown = resident_bytes() - before;
    std::mem::forget(kept);
    grown / SEARCHERS as u64
}

fn main() {
    let now = Instant::now();
    println!("resident bytes for each searcher, mean of {SEARCHERS}");
    for open in [1, 2, 13, 55] {
        println!("connections, {open:>3} open: {:>7}", mean_bytes(|| connections(now, open)));
    }
    for backlog in [0, 1, 10, 50, 200] {
        println!("slot queue, backlog {backlog:>3}: {:>7}", mean_bytes(|| queue(now, backlog)));
    }
}
