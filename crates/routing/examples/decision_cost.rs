//! Prints the time that the query decisions take for each sub-query.
//!
//! `cargo run --release -p tt-routing --example decision_cost`

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as WallClock;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use tt_model::Environment;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_routing::Action;
use tt_routing::Attempt;
use tt_routing::AttemptOutcome;
use tt_routing::Mode;
use tt_routing::Pressure;
use tt_routing::QueryKey;
use tt_routing::Reply;
use tt_routing::Request;
use tt_routing::Router;
use tt_routing::Settings;
use tt_routing::Shards;

const FAN_OUTS: [usize; 3] = [10, 100, 870];
// Sub-queries of each row. With the same number, the rows take about the same time.
const SUB_QUERIES: usize = 870_000;
// The fastest of several rounds is the one least disturbed by other processes.
const ROUNDS: usize = 5;
const HELD: [Snapshot; 3] = [Snapshot(1), Snapshot(2), Snapshot(3)];

/// What happens to each query of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// Every primary attempt is answered after 10 ms.
    Plain,
    /// One primary attempt in twenty is so late that it is hedged, and the hedge answers.
    Hedged,
}

struct Totals {
    start: Duration,
    reply: Duration,
    wake: Duration,
    sent: usize,
    wakes: usize,
}

fn main() {
    println!("ns for each sub-query (best of {ROUNDS} rounds)");
    println!("shards  fan-out  scenario   start   reply    wake   total  hedges  wakes/query");
    for scenario in [Scenario::Plain, Scenario::Hedged] {
        for fan_out in FAN_OUTS {
            print_row(fan_out, fan_out, scenario);
        }
    }
    // The named shards are spread over a large environment, so that the records of their
    // searchers are not in the CPU caches.
    for fan_out in FAN_OUTS {
        print_row(40_000, fan_out, Scenario::Hedged);
    }
}

fn print_row(shards: usize, fan_out: usize, scenario: Scenario) {
    let environment = environment(shards);
    let best = (0..ROUNDS)
        .map(|_| measure(&environment, fan_out, scenario))
        .min_by_key(|totals| totals.start + totals.reply + totals.wake)
        .expect("at least one round");
    let queries = SUB_QUERIES / fan_out;
    let each = |time: Duration| time.as_nanos() as f64 / (queries * fan_out) as f64;
    println!(
        "{shards:6}  {fan_out:7}  {scenario:8?}  {:6.0}  {:6.0}  {:6.0}  {:6.0}  {:5.2}%  {:11.1}",
        each(best.start),
        each(best.reply),
        each(best.wake),
        each(best.start + best.reply + best.wake),
        100.0 * (best.sent as f64 / (queries * fan_out) as f64 - 1.0),
        best.wakes as f64 / queries as f64,
    );
}

fn measure(environment: &Arc<Environment>, fan_out: usize, scenario: Scenario) -> Totals {
    let mut now = Instant::now();
    let rng = StdRng::seed_from_u64(1);
    let mut router: Router<u64, StdRng> =
        Router::new(Arc::clone(environment), Settings::default(), rng, now);
    for searcher in environment.searchers.keys() {
        router.set_held_snapshots(searcher, &HELD);
    }
    let mut totals = Totals {
        start: Duration::ZERO,
        reply: Duration::ZERO,
        wake: Duration::ZERO,
        sent: 0,
        wakes: 0,
    };
    let mut out = Vec::new();
    let queries = SUB_QUERIES / fan_out;
    let all = environment.shards.len();
    // The first tenth only fills the caches and the latency estimates.
    for query in 0..queries + queries / 10 {
        if query == queries / 10 {
            totals = Totals {
                start: Duration::ZERO,
                reply: Duration::ZERO,
                wake: Duration::ZERO,
                ..totals
            };
            totals.sent = 0;
            totals.wakes = 0;
        }
        let shards = if fan_out == all {
            Shards::All
        } else {
            // 7,919 is prime and has no common factor with the number of shards.
            let pick = |i| ShardId(((query * fan_out + i) * 7_919 % all) as u32);
            Shards::Named((0..fan_out).map(pick).collect())
        };
        let deadline = now + Duration::from_millis(370);
        let request = Request { service: ServiceId(0), shards, mode: Mode::Idempotent, deadline };
        let clock = WallClock::now();
        let key = router.start(request, now, &mut out).expect("a plan");
        totals.start += clock.elapsed();
        let first = take_sent(&mut out);
        totals.sent += first.len();
        now += Duration::from_millis(10);
        let is_late = |i: usize| scenario == Scenario::Hedged && (i + query).is_multiple_of(20);
        let clock = WallClock::now();
        for (i, attempt) in first.iter().enumerate() {
            if !is_late(i) {
                answer(&mut router, attempt, now, &mut out);
            }
        }
        totals.reply += clock.elapsed();
        if scenario == Scenario::Hedged {
            let clock = WallClock::now();
            totals.wakes +=
                wake_until(&mut router, key, &mut now, Duration::from_millis(20), &mut out);
            totals.wake += clock.elapsed();
            let hedges = take_sent(&mut out);
            totals.sent += hedges.len();
            now += Duration::from_millis(5);
            let clock = WallClock::now();
            for attempt in &hedges {
                answer(&mut router, attempt, now, &mut out);
            }
            // These answer the attempts that were not hedged. For the others, they are late
            // replies.
            for (_, attempt) in first.iter().enumerate().filter(|(i, _)| is_late(*i)) {
                answer(&mut router, attempt, now, &mut out);
            }
            totals.reply += clock.elapsed();
        }
        assert_eq!(router.in_flight(), 0, "every query is answered in full");
        out.clear();
    }
    totals
}

fn answer(
    router: &mut Router<u64, StdRng>,
    attempt: &Attempt,
    now: Instant,
    out: &mut Vec<Action<u64>>,
) {
    let outcome = AttemptOutcome::Answered { snapshot: attempt.snapshot, body: 1 };
    let pressure = Some(Pressure { queued: 0, busy: 1 });
    router.on_reply(attempt.key, Reply { outcome, held: &HELD, pressure }, now, out);
}

/// Delivers the wake-ups of `query` that come due within `time`.
fn wake_until(
    router: &mut Router<u64, StdRng>,
    query: QueryKey,
    now: &mut Instant,
    time: Duration,
    out: &mut Vec<Action<u64>>,
) -> usize {
    let until = *now + time;
    let mut count = 0;
    let mut from = 0;
    loop {
        let at = out[from..].iter().rev().find_map(|action| match action {
            Action::WakeAt { at, .. } => Some(*at),
            _ => None,
        });
        let Some(at) = at.filter(|at| *at <= until) else { break };
        from = out.len();
        *now = (*now).max(at);
        router.wake(query, *now, out);
        count += 1;
    }
    count
}

fn take_sent(out: &mut Vec<Action<u64>>) -> Vec<Attempt> {
    let mut sends = Vec::new();
    out.retain(|action| match action {
        Action::Send(attempt) => {
            sends.push(*attempt);
            false
        }
        _ => true,
    });
    sends
}

/// An environment with `shards` shards of two replicas each.
fn environment(shards: usize) -> Arc<Environment> {
    let mut searchers = String::new();
    let mut list = String::new();
    for i in 0..shards {
        let comma = if i == 0 { "" } else { "," };
        for r in 0..2 {
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
        r#"{{"environment":"cost","domains":["here"],
            "classes":[{{"name":"c","prefer":"coverage","deadline_ms":370}}],
            "services":[{{"name":"s","class":"c","shards":["*"],
                "contract":{{"rate":1,"burst":1,"concurrency":1}}}}],
            "searchers":[{searchers}],"shards":[{list}]}}"#
    );
    Arc::new(Environment::parse(&text).unwrap_or_else(|faults| panic!("{faults}")))
}
