//! Services, contracts and the document of the simulated searcher.

use std::fmt::Write;
use std::time::Duration;

use tt_model::Environment;

pub(crate) const SERVICES: usize = 50;
pub(crate) const SLOTS: u32 = 2;
pub(crate) const SERVICE_TIME: f64 = 0.010;
pub(crate) const DEADLINE: Duration = Duration::from_millis(400);
/// Load of the searcher when every service offers its contract.
pub(crate) const CONTRACT_LOAD: f64 = 0.7;
pub(crate) const LARGEST: usize = 0;
pub(crate) const SMALLEST: usize = 1;
pub(crate) const ORDINARY: usize = 2;

/// Requests a second that each service offers: one large caller (10 units), one small
/// (0.1 units), the others 1 unit.
pub(crate) fn contracts() -> Vec<f64> {
    let units = |service| match service {
        LARGEST => 10.0,
        SMALLEST => 0.1,
        _ => 1.0,
    };
    let total: f64 = (0..SERVICES).map(units).sum();
    let capacity = f64::from(SLOTS) / SERVICE_TIME;
    (0..SERVICES).map(|service| units(service) / total * capacity * CONTRACT_LOAD).collect()
}

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
