//! Counters and latency histograms of an entry.
//!
//! Labels are routes of configurations, outcomes and causes, so that the number of series is
//! bounded; routes beyond [`MAX_ROUTES`] share one label.

use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::time::sleep;

use crate::answer;
use crate::answer::Body;
use crate::attempt::Cause;
use crate::entry::Entry;
use crate::sync::lock;
use tt_serve::Ended;

/// Path of the metrics.
const PATH: &str = "/metrics";

/// Routes with a label of their own. Configurations that rename routes must not add series
/// without end.
const MAX_ROUTES: usize = 100;

/// Time between two updates of the gauges, and two compactions of the histograms.
const UPDATE_EVERY: Duration = Duration::from_secs(5);

/// Bounds of latency histograms, in seconds, around the objectives of the routes; 0.37 is the
/// objective at the size that the tier is designed for.
const LATENCY_BOUNDS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.12, 0.15, 0.2, 0.3, 0.37, 0.5,
    0.75, 1.0, 2.0, 5.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
static ROUTES: OnceLock<Mutex<HashSet<String>>> = OnceLock::new();

/// Installs the recorder, once in a process.
pub(crate) fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), LATENCY_BOUNDS)
            .inspect_err(|error| log::error!("metrics: bounds=\"{error}\""))
            .ok()?
            .build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder)
            .inspect_err(|error| log::error!("metrics: recorder=\"{error}\""))
            .ok()?;
        Some(handle)
    });
}

/// Answers a request for all metrics in the text format of Prometheus.
pub(crate) async fn serve(request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return answer::refusal(StatusCode::NOT_FOUND, "no such page", None);
    }
    let text = HANDLE.get().and_then(Option::as_ref).map(PrometheusHandle::render);
    match text {
        Some(text) => Response::new(answer::whole(text)),
        None => answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "no metrics", None),
    }
}

/// Keeps the gauges up to date.
pub(crate) async fn update(entry: &Entry) {
    loop {
        let now = entry.now();
        gauge!("entry_config_version").set(entry.config_version() as f64);
        if let Some(listed) = entry.listing_read_at() {
            gauge!("entry_listing_age_seconds").set(now.saturating_sub(listed).as_secs_f64());
        }
        gauge!("entry_daemons_known").set(entry.sharers().daemons as f64);
        let ejected = lock(&entry.fleet).ejected(now);
        gauge!("entry_searchers_ejected").set(ejected as f64);
        if let Some(handle) = HANDLE.get().and_then(Option::as_ref) {
            handle.run_upkeep();
        }
        sleep(UPDATE_EVERY).await;
    }
}

/// Counts a finished request.
pub(crate) fn request(route: &str, outcome: &'static str, took: Duration) {
    let route = label(route);
    histogram!("entry_request_seconds", "route" => route.clone()).record(took.as_secs_f64());
    counter!("entry_requests_total", "route" => route, "outcome" => outcome).increment(1);
}

/// Counts what an answer over many shards covers.
pub(crate) fn coverage(route: &str, shards: usize, answered: usize, hedges: u32) {
    let route = label(route);
    counter!("entry_shards_total", "route" => route.clone()).increment(shards as u64);
    counter!("entry_shards_missing_total", "route" => route.clone())
        .increment(shards.saturating_sub(answered) as u64);
    counter!("entry_hedges_total", "route" => route).increment(u64::from(hedges));
}

/// Counts a request that was refused before it had a route.
pub(crate) fn refused(cause: &'static str) {
    counter!("entry_refused_total", "cause" => cause).increment(1);
}

/// Counts a send to a searcher.
pub(crate) fn send(ended: Ended, cause: Cause, latency: Option<Duration>) {
    counter!("entry_sends_total", "outcome" => format!("{ended:?}"), "cause" => format!("{cause:?}"))
        .increment(1);
    if let Some(latency) = latency {
        histogram!("entry_send_seconds").record(latency.as_secs_f64());
    }
}

/// Counts an extra send that the budget refused.
pub(crate) fn budget_refused() {
    counter!("entry_budget_refused_total").increment(1);
}

fn label(route: &str) -> String {
    let mut routes = lock(ROUTES.get_or_init(Mutex::default));
    if !routes.contains(route) {
        if routes.len() >= MAX_ROUTES {
            return "other".to_owned();
        }
        routes.insert(route.to_owned());
    }
    route.to_owned()
}
