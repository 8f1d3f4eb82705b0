//! Metrics for operators, labelled by environment and service class so that the number of
//! series is bounded by the documents.

use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::active_document::ActiveDocument;
use tt_model::ResultCode;

/// Bucket bounds of latency histograms. 0.37 s is the target for 99 in 100 queries.
const LATENCY_BOUNDS_SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.37, 0.5, 0.75, 1.0, 2.0,
    5.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder; later calls in the same process do nothing.
pub(crate) fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), LATENCY_BOUNDS_SECONDS)
            .ok()?
            .build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).ok()?;
        Some(handle)
    });
}

/// All metrics in the text format of Prometheus.
pub(crate) fn render() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}

/// Counts a request that was refused before its class was known.
pub(crate) fn count_refused(code: ResultCode) {
    counter!("tier_refused_total", "code" => code.name()).increment(1);
}

/// Counts an answer and records its latency.
pub(crate) fn count_answer(
    document: &ActiveDocument,
    service: &str,
    code: ResultCode,
    time: Duration,
) {
    let class = class_name(document, service);
    let name = document.environment.name.clone();
    histogram!("tier_query_seconds", "environment" => name.clone(), "class" => class.clone())
        .record(time.as_secs_f64());
    counter!("tier_answers_total", "environment" => name, "class" => class, "code" => code.name())
        .increment(1);
}

/// Counts the shards of an answer, and the sub-queries and extra attempts that it took.
pub(crate) fn count_shards_and_sub_queries(
    document: &ActiveDocument,
    service: &str,
    result: &tt_routing::Answer<Bytes>,
) {
    let labels = [
        ("environment", document.environment.name.clone()),
        ("class", class_name(document, service)),
    ];
    let counts = &result.attempts;
    counter!("tier_shards_covered_total", &labels).increment(result.covered.len() as u64);
    counter!("tier_shards_uncovered_total", &labels).increment(result.uncovered.len() as u64);
    counter!("tier_sub_queries_total", &labels).increment(u64::from(counts.primaries));
    let extra = counts.hedges + counts.retries + counts.restarts;
    counter!("tier_extra_sub_queries_total", &labels).increment(u64::from(extra));
}

/// Sets the gauges of the state of this daemon.
pub(crate) fn set_daemon_state(state: &DaemonState) {
    gauge!("tier_members").set(state.members as f64);
    gauge!("tier_assignment_epoch").set(state.epoch as f64);
    gauge!("tier_catalog_revision").set(state.catalog as f64);
    gauge!("tier_config_age_seconds").set(state.age.as_secs_f64());
    gauge!("tier_queries_in_flight").set(state.in_flight as f64);
    gauge!("tier_searchers_held").set(state.held_halves as f64);
}

/// The state that [`set_daemon_state`] publishes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DaemonState {
    pub(crate) members: usize,
    pub(crate) epoch: u64,
    pub(crate) catalog: u64,
    pub(crate) age: Duration,
    pub(crate) in_flight: usize,
    pub(crate) held_halves: usize,
}

fn class_name(document: &ActiveDocument, service: &str) -> String {
    let environment = &document.environment;
    match environment.service(service) {
        Some(service) => environment.classes[environment.services[service].class].name.clone(),
        None => String::new(),
    }
}
