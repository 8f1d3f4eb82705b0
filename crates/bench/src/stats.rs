//! Statistics of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::Record;

/// Longest latency that is told apart; the client gives up before.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Statistics of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassStats {
    /// Requests.
    pub queries: u64,
    /// Half of the answers came within this time.
    pub p50_ms: f64,
    /// 99 in 100 answers came within this time.
    pub p99_ms: f64,
    /// 999 in 1000 answers came within this time.
    pub p999_ms: f64,
    /// Covered shards as a part of all shards asked, over answers that ran.
    pub coverage: f64,
    /// Sub-queries beyond one for each shard, as a part of those.
    pub extra_load: f64,
    /// Shards that were not covered, by reason.
    pub uncovered: BTreeMap<String, u64>,
    /// Answers by code name; `none` where no answer came.
    pub codes: BTreeMap<String, u64>,
}

/// Statistics of each class.
pub fn class_stats(records: &[Record]) -> BTreeMap<String, ClassStats> {
    let mut by_class: BTreeMap<String, Vec<&Record>> = BTreeMap::new();
    for record in records {
        by_class.entry(record.class.clone()).or_default().push(record);
    }
    by_class.into_iter().map(|(class, records)| (class, stats(&records))).collect()
}

/// Statistics of all records.
pub fn stats(records: &[&Record]) -> ClassStats {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
        .expect("the bounds and 3 significant digits are supported");
    let mut stats = ClassStats { queries: records.len() as u64, ..ClassStats::default() };
    let mut covered = 0;
    let mut asked = 0;
    let mut primaries = 0;
    let mut extra = 0;
    for record in records {
        latencies.saturating_record(record.latency.as_micros() as u64);
        let Ok(answer) = &record.answer else {
            *stats.codes.entry("none".to_owned()).or_default() += 1;
            continue;
        };
        let name = answer["name"].as_str().unwrap_or("none");
        *stats.codes.entry(name.to_owned()).or_default() += 1;
        let list = |field: &str| answer[field].as_array().map_or(0, Vec::len) as u64;
        covered += list("covered");
        asked += list("covered") + list("uncovered");
        for gap in answer["uncovered"].as_array().into_iter().flatten() {
            let reason = gap["reason"].as_str().unwrap_or("none");
            *stats.uncovered.entry(reason.to_owned()).or_default() += 1;
        }
        let effort = |field: &str| answer["stats"][field].as_u64().unwrap_or(0);
        primaries += effort("sub_queries");
        let sent = effort("hedges") + effort("retries") + effort("restarts");
        extra += sent.saturating_sub(effort("not_executed"));
    }
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e3;
    stats.p50_ms = ms(0.5);
    stats.p99_ms = ms(0.99);
    stats.p999_ms = ms(0.999);
    stats.coverage = ratio(covered, asked, 1.0);
    stats.extra_load = ratio(extra, primaries, 0.0);
    stats
}

fn ratio(part: u64, whole: u64, empty: f64) -> f64 {
    if whole == 0 { empty } else { part as f64 / whole as f64 }
}
