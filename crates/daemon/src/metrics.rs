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

use crate::env::Env;
use tt_model::ResultCode;

/// Bounds of latency histograms, in seconds. 0.37 is the target for 99 in 100 queries.
const LATENCY_BOUNDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.37, 0.5, 0.75, 1.0, 2.0,
    5.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder, once in a process.
pub(crate) fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), LATENCY_BOUNDS)
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

/// Counts a request that was refused before it had a class.
pub(crate) fn refused(code: ResultCode) {
    counter!("tier_refused_total", "code" => code.name()).increment(1);
}

/// Counts an answer.
pub(crate) fn answered(env: &Env, service: &str, code: ResultCode, time: Duration) {
    let class = class(env, service);
    let name = env.environment.name.clone();
    histogram!("tier_query_seconds", "environment" => name.clone(), "class" => class.clone())
        .record(time.as_secs_f64());
    counter!("tier_answers_total", "environment" => name, "class" => class, "code" => code.name())
        .increment(1);
}

/// Counts coverage and extra load of an answer.
pub(crate) fn effort(env: &Env, service: &str, result: &tt_routing::Answer<Bytes>) {
    let labels = [("environment", env.environment.name.clone()), ("class", class(env, service))];
    let effort = &result.attempts;
    counter!("tier_shards_covered_total", &labels).increment(result.covered.len() as u64);
    counter!("tier_shards_uncovered_total", &labels).increment(result.uncovered.len() as u64);
    counter!("tier_sub_queries_total", &labels).increment(u64::from(effort.primaries));
    let extra = effort.hedges + effort.retries + effort.restarts;
    counter!("tier_extra_sub_queries_total", &labels).increment(u64::from(extra));
}

/// Sets the state of this daemon.
pub(crate) fn daemon(state: &DaemonState) {
    gauge!("tier_members").set(state.members as f64);
    gauge!("tier_assignment_epoch").set(state.epoch as f64);
    gauge!("tier_catalog_revision").set(state.catalog as f64);
    gauge!("tier_config_age_seconds").set(state.age.as_secs_f64());
    gauge!("tier_queries_in_flight").set(state.in_flight as f64);
    gauge!("tier_searchers_held").set(state.held as f64);
}

/// What [`daemon`] shows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DaemonState {
    pub(crate) members: usize,
    pub(crate) epoch: u64,
    pub(crate) catalog: u64,
    pub(crate) age: Duration,
    pub(crate) in_flight: usize,
    pub(crate) held: usize,
}

fn class(env: &Env, service: &str) -> String {
    let environment = &env.environment;
    match environment.service(service) {
        Some(service) => environment.classes[environment.services[service].class].name.clone(),
        None => String::new(),
    }
}
