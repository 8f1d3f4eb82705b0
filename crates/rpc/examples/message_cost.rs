//! Prints the size of `Gather` messages and the time to encode and decode them, by the number
//! of sub-queries in one message.
//!
//! `cargo run --release -p tt-rpc --example message_cost`

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use prost::Message;

use tt_rpc::GatherRequest;
use tt_rpc::Outcome;
use tt_rpc::Sub;
use tt_rpc::SubReply;

/// Number of sub-queries to encode and decode in each round.
const SUB_QUERIES: usize = 400_000;
/// Number of rounds. The fastest one is the least disturbed by other processes.
const ROUNDS: usize = 5;
/// Sizes of the hits in a reply.
const HITS_BYTES: [usize; 3] = [0, 200, 2_000];

fn request(count: usize) -> GatherRequest {
    let sub = |i: usize| Sub {
        key: (1 << 40) + i as u64,
        searcher: format!("10.{}.{}.{}:7000", i / 65_536 + 1, i / 256 % 256, i % 256),
        shard: format!("shard-{i:05}"),
    };
    GatherRequest {
        query: 1 << 40,
        environment: "production".to_owned(),
        service: "counter-desk-01".to_owned(),
        snapshot: 1_000,
        budget_us: 370_000,
        deadline_ms: 1_764_000_000_000,
        query_text: vec![b'q'; 100],
        subs: (0..count).map(sub).collect(),
        incarnation: u64::MAX / 3,
        ..GatherRequest::default()
    }
}

fn reply(hits: usize) -> SubReply {
    SubReply {
        key: 1 << 40,
        outcome: Outcome::Answered.into(),
        snapshot: 1_000,
        held: vec![998, 999, 1_000],
        hits: vec![b'h'; hits],
        pressure_us: 300,
        service_us: 10_000,
    }
}

/// Nanoseconds to encode and decode a message once; the best round counts.
fn round_trip_ns<M>(message: &M, repetitions: usize) -> f64
where
    M: Message + Default,
{
    let once = || {
        let started = Instant::now();
        for _ in 0..repetitions {
            let bytes = black_box(message).encode_to_vec();
            black_box(M::decode(bytes.as_slice()).expect("the message was encoded above"));
        }
        started.elapsed()
    };
    let best = (0..ROUNDS).map(|_| once()).min().unwrap_or(Duration::ZERO);
    best.as_nanos() as f64 / repetitions as f64
}

fn main() {
    println!("encode and decode, best of {ROUNDS} rounds");
    println!("| message | bytes | bytes for each sub-query | ns for each sub-query |");
    println!("|---|---|---|---|");
    for count in [1, 10, 100, 870] {
        let message = request(count);
        let bytes = message.encoded_len();
        println!(
            "| GatherRequest, {count} sub-queries | {bytes} | {:.1} | {:.0} |",
            bytes as f64 / count as f64,
            round_trip_ns(&message, SUB_QUERIES / count) / count as f64,
        );
    }
    for hits in HITS_BYTES {
        let message = reply(hits);
        let bytes = message.encoded_len();
        println!(
            "| SubReply, {hits} bytes of hits | {bytes} | {bytes} | {:.0} |",
            round_trip_ns(&message, SUB_QUERIES),
        );
    }
}
