//! Helpers shared by the tests.

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

/// A sub-query of `service` with a share of 1 that is due after `deadline`.
#[allow(dead_code)]
pub fn sub(now: Instant, service: u32, deadline: Duration) -> SubQuery {
    SubQuery { service: ServiceId(service), share: 1.0, urgency: 0, deadline: now + deadline }
}

/// All tickets that start at `now`; panics on any other action.
#[allow(dead_code)]
pub fn started(queue: &mut SlotQueue<u32>, now: Instant) -> Vec<Ticket> {
    let mut list = Vec::new();
    while let Some(action) = queue.next_action(now) {
        match action {
            SlotAction::Start { ticket, .. } => list.push(ticket),
            other => panic!("expected only starts, got {other:?}"),
        }
    }
    list
}

/// An environment of services `s0`, `s1`, ... with these contracts.
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

/// A fuzz configuration with a fixed seed. `PROPTEST_CASES` sets the number of histories.
#[allow(dead_code)]
pub fn fuzz_config() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    }
}
