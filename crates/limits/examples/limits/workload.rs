//! Services, contracts and document of the simulated searcher.

use std::fmt::Write;
use std::time::Duration;

use tt_model::Environment;

pub(crate) const SERVICES: usize = 50;
pub(crate) const SLOTS: u32 = 2;
/// Mean time that a sub-query holds a slot.
pub(crate) const SLOT_TIME_SECONDS: f64 = 0.010;
pub(crate) const DEADLINE: Duration = Duration::from_millis(400);
/// Load of the searcher, relative to its capacity, when every service offers the rate of its
/// contract.
pub(crate) const CONTRACT_LOAD_RATIO: f64 = 0.7;
pub(crate) const LARGEST_SERVICE: usize = 0;
pub(crate) const SMALLEST_SERVICE: usize = 1;
pub(crate) const ORDINARY_SERVICE: usize = 2;

/// Rate of each service's contract without headroom, in requests a second: one large service
/// (10 units), one small service (0.1 units), and 1 unit for each other one.
pub(crate) fn contract_rates() -> Vec<f64> {
    let units = |service| match service {
        LARGEST_SERVICE => 10.0,
        SMALLEST_SERVICE => 0.1,
        _ => 1.0,
    };
    let total: f64 = (0..SERVICES).map(units).sum();
    let capacity = f64::from(SLOTS) / SLOT_TIME_SECONDS;
    (0..SERVICES).map(|service| units(service) / total * capacity * CONTRACT_LOAD_RATIO).collect()
}

/// An environment in which the contracts of the services have these rates.
pub(crate) fn environment(rates: &[f64]) -> Environment {
    let mut services = String::new();
    for (index, rate) in rates.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let burst = (rate * 2.0).max(5.0);
        write!(
            services,
            r#"{comma}{{"name": "s{index}", "class": "c", "shards": ["a"],
                "contract": {{"rate": {rate}, "burst": {burst}, "concurrency": 200, "share": {rate}}}}}"#
        )
        .unwrap();
    }
    Environment::parse(&format!(
        r#"{{"environment": "e", "domains": ["d"],
            "classes": [{{"name": "c", "prefer": "latency", "deadline_ms": 400}}],
            "services": [{services}],
            "searchers": [{{"name": "a", "address": "127.0.0.1:1", "domain": "d", "slots": {SLOTS}, "connections": 25}}],
            "shards": [{{"name": "a", "replicas": ["a"]}}]}}"#
    ))
    .expect("a valid document")
}
