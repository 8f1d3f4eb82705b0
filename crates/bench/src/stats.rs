//! Statistics over the records of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::Record;

/// Upper bound of the histogram, above the client's timeout of 70 s; longer latencies count as
/// this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Statistics of a set of requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassStats {
    /// Number of requests.
    pub queries: u64,
    /// Median latency, over all requests, answered or not.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Covered shards as a ratio of the shards that answers name; 1 if they name none.
    pub coverage: f64,
    /// Additional attempts that a searcher may have executed, as a ratio of the sub-queries.
    pub extra_load: f64,
    /// Number of uncovered shards, by reason.
    pub uncovered: BTreeMap<String, u64>,
    /// Number of answers by the name of the result code; `none` counts requests without an answer.
    pub codes: BTreeMap<String, u64>,
}

/// Computes the statistics of the requests of each class.
pub fn class_stats(records: &[Record]) -> BTreeMap<String, ClassStats> {
    let mut by_class: BTreeMap<String, Vec<&Record>> = BTreeMap::new();
    for record in records {
        by_class.entry(record.class.clone()).or_default().push(record);
    }
    by_class.into_iter().map(|(class, records)| (class, stats(&records))).collect()
}

/// Computes the statistics of all records together.
pub fn stats(records: &[&Record]) -> ClassStats {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
        .expect("the bounds and 3 significant digits are supported");
    let mut stats = ClassStats { queries: records.len() as u64, ..ClassStats::default() };
    let mut covered = 0;
    let mut named = 0;
    let mut sub_queries = 0;
    let mut extra_attempts = 0;
    for record in records {
        latencies.saturating_record(record.latency.as_micros() as u64);
        let Ok(answer) = &record.answer else {
            *stats.codes.entry("none".to_owned()).or_default() += 1;
            continue;
        };
        let name = answer["name"].as_str().unwrap_or("none");
        *stats.codes.entry(name.to_owned()).or_default() += 1;
        let len = |field: &str| answer[field].as_array().map_or(0, Vec::len) as u64;
        covered += len("covered");
        named += len("covered") + len("uncovered");
        for gap in answer["uncovered"].as_array().into_iter().flatten() {
            let reason = gap["reason"].as_str().unwrap_or("none");
            *stats.uncovered.entry(reason.to_owned()).or_default() += 1;
        }
        let stat = |field: &str| answer["stats"][field].as_u64().unwrap_or(0);
        sub_queries += stat("sub_queries");
        let repeated = stat("hedges") + stat("retries") + stat("restarts");
        extra_attempts += repeated.saturating_sub(stat("not_executed"));
    }
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e3;
    stats.p50_ms = ms(0.5);
    stats.p99_ms = ms(0.99);
    stats.p999_ms = ms(0.999);
    stats.coverage = ratio(covered, named, 1.0);
    stats.extra_load = ratio(extra_attempts, sub_queries, 0.0);
    stats
}

/// `part / whole`, or `empty` if `whole` is 0.
fn ratio(part: u64, whole: u64, empty: f64) -> f64 {
    if whole == 0 { empty } else { part as f64 / whole as f64 }
}
