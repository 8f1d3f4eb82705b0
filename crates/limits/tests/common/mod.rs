//! Helpers shared by the integration tests.

use std::fmt::Write;
use std::time::Duration;

use tokio::time::Instant;

use tt_limits::SlotAction;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_limits::Ticket;
use tt_model::Environment;
use tt_model::ServiceId;

#[allow(dead_code)]
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A sub-query of `service` with a share of 1 and a deadline of `now + deadline`.
#[allow(dead_code)]
pub fn sub_query(now: Instant, service: u32, deadline: Duration) -> SubQuery {
    SubQuery { service: ServiceId(service), share: 1.0, urgency: 0, deadline: now + deadline }
}

/// Runs the actions at `now` and returns the tickets of the started sub-queries. Panics on any
/// other action.
#[allow(dead_code)]
pub fn started(queue: &mut SlotQueue<u32>, now: Instant) -> Vec<Ticket> {
    let mut tickets = Vec::new();
    while let Some(action) = queue.next_action(now) {
        match action {
            SlotAction::Start { ticket, .. } => tickets.push(ticket),
            other => panic!("expected only starts, got {other:?}"),
        }
    }
    tickets
}

/// An environment whose services `s0`, `s1`, ... have these contracts.
#[allow(dead_code)]
pub fn environment(contracts: &[&str]) -> Environment {
    let mut services = String::new();
    for (index, contract) in contracts.iter().enumerate() {
        write!(
            services,
            r#"{{"name": "s{index}", "class": "c", "contract": {contract}, "shards": ["a"]}},"#
        )
        .unwrap();
    }
    services.pop();
    Environment::parse(&format!(
        r#"{{
            "environment": "test",
            "domains": ["d"],
            "classes": [{{"name": "c", "prefer": "latency", "deadline_ms": 400}}],
            "services": [{services}],
            "searchers": [{{"name": "a", "address": "127.0.0.1:1", "domain": "d", "slots": 2, "connections": 25}}],
            "shards": [{{"name": "a", "replicas": ["a"]}}]
        }}"#
    ))
    .unwrap()
}

/// Configuration with a fixed seed. `PROPTEST_CASES` sets the number of generated cases.
#[allow(dead_code)]
pub fn fuzz_config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    }
}
