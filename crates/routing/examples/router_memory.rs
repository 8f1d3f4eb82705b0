//! Prints the resident memory of a router for each searcher and for each attempt in flight.
//! The figures are lower bounds, because the router may reuse memory that was freed after the
//! document was parsed. The effect is largest for searchers in the second and third row.
//!
//! `cargo run --release -p tt-routing --example router_memory`

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use tt_model::Environment;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_routing::Mode;
use tt_routing::Request;
use tt_routing::Router;
use tt_routing::Settings;
use tt_routing::Shards;

const HELD: [Snapshot; 3] = [Snapshot(1), Snapshot(2), Snapshot(3)];
const REPLICAS: usize = 2;
/// Number of attempts in flight in each row.
const ATTEMPTS: usize = 310_000;

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn environment(shards: usize) -> Arc<Environment> {
    let (mut searchers, mut list) = (String::new(), String::new());
    for i in 0..shards {
        let comma = if i == 0 { "" } else { "," };
        for r in 0..REPLICAS {
            let comma = if i + r == 0 { "" } else { "," };
            let (high, low) = (i / 250, i % 250);
            write!(
                searchers,
                r#"{comma}{{"name":"s{i}-{r}","address":"127.{r}.{high}.{low}:80",
                    "domain":"here","slots":2,"connections":25}}"#
            )
            .expect("writing to a string");
        }
        write!(list, r#"{comma}{{"name":"s{i}","replicas":["s{i}-0","s{i}-1"]}}"#)
            .expect("writing to a string");
    }
    let text = format!(
        r#"{{"environment":"memory","domains":["here"],
            "classes":[{{"name":"c","prefer":"coverage","deadline_ms":370}}],
            "services":[{{"name":"s","class":"c","shards":["*"],
                "contract":{{"rate":1,"burst":1,"concurrency":1}}}}],
            "searchers":[{searchers}],"shards":[{list}]}}"#
    );
    Arc::new(Environment::parse(&text).unwrap_or_else(|faults| panic!("{faults}")))
}

fn main() {
    println!("shards  searchers  fan-out  bytes each searcher    bytes each attempt in flight");
    for (shards, fan_out) in [(870, 10), (870, 100), (870, 870), (40_000, 870)] {
        let environment = environment(shards);
        let now = Instant::now();
        let before = resident_bytes();
        let rng = StdRng::seed_from_u64(1);
        let mut router: Router<u64, StdRng> =
            Router::new(Arc::clone(&environment), Settings::default(), rng, now);
        for searcher in environment.searchers.keys() {
            router.set_held_snapshots(searcher, &HELD);
        }
        let idle = resident_bytes();
        let queries = ATTEMPTS / fan_out;
        let mut out = Vec::new();
        for query in 0..queries {
            let pick = |i| ShardId(((query * fan_out + i) * 7_919 % shards) as u32);
            let request = Request {
                service: ServiceId(0),
                shards: Shards::Named((0..fan_out).map(pick).collect()),
                mode: Mode::Idempotent,
                deadline: now + Duration::from_millis(370),
            };
            router.start(request, now, &mut out).expect("a plan");
            out.clear();
        }
        let grown = resident_bytes().saturating_sub(idle);
        println!(
            "{shards:6}  {:9}  {fan_out:7}  {:19}  {:30}",
            shards * REPLICAS,
            idle.saturating_sub(before) / (shards * REPLICAS) as u64,
            grown / (queries * fan_out) as u64,
        );
        // The router is not dropped, because the next row would reuse its memory and not count
        // it.
        std::mem::forget(router);
    }
}
