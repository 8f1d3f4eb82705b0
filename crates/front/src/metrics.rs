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
use tt_serve::AttemptOutcome;
use tt_serve::Effect;
use tt_serve::MemoryStatus;
use tt_serve::PlacementCounts;
use tt_serve::WithheldCounts;

/// Path of the metrics in the text format of Prometheus.
const PATH: &str = "/metrics";

/// Maximum number of routes with a label of their own. Without it, configurations that rename
/// routes would add series without bound.
const MAX_ROUTES: usize = 100;

/// Maximum number of organisations with a label of their own; today's deployments have 78.
const MAX_ORGANISATIONS: usize = 200;

/// Interval between updates of the gauges, and between compactions of the histograms.
const UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// Bucket bounds of the latency histograms, around the objectives of the routes; 0.37 is the
/// objective at the size that the tier is designed for.
const LATENCY_BOUNDS_SECONDS: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.12, 0.15, 0.2, 0.3, 0.37, 0.5,
    0.75, 1.0, 2.0, 5.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
static ROUTE_LABELS: OnceLock<Mutex<HashSet<String>>> = OnceLock::new();
static ORGANISATION_LABELS: OnceLock<Mutex<HashSet<String>>> = OnceLock::new();

/// Installs the recorder. Further calls in the same process do nothing.
pub(crate) fn install() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), LATENCY_BOUNDS_SECONDS)
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
        return answer::error(StatusCode::NOT_FOUND, "no such page", None);
    }
    let text = HANDLE.get().and_then(Option::as_ref).map(PrometheusHandle::render);
    match text {
        Some(text) => Response::new(answer::full_body(text)),
        None => answer::error(StatusCode::SERVICE_UNAVAILABLE, "no metrics", None),
    }
}

/// Updates the gauges at intervals.
pub(crate) async fn update(entry: &Entry) {
    loop {
        let now = entry.now();
        gauge!("entry_config_version").set(entry.config_version() as f64);
        gauge!("entry_store_era").set(entry.store_era() as f64);
        let behind = lock(&entry.catch_up).behind_for(now);
        gauge!("entry_config_behind_seconds").set(behind.as_secs_f64());
        if let Some(read_at) = entry.listing_read_at() {
            gauge!("entry_listing_age_seconds").set(now.saturating_sub(read_at).as_secs_f64());
        }
        if entry.requires_keys() {
            let age = entry.proof_age().map_or(f64::INFINITY, |age| age.as_secs_f64());
            gauge!("entry_config_proof_age_seconds").set(age);
            gauge!("entry_keys_expired").set(f64::from(u8::from(entry.keys_expired())));
        }
        gauge!("entry_daemons_known").set(entry.tier_size().daemons as f64);
        gauge!("entry_primaries_known").set(entry.share().primaries as f64);
        let ejected = lock(&entry.fleet).ejected_count(now);
        gauge!("entry_searchers_ejected").set(ejected as f64);
        gauge!("entry_domains_evacuated").set(entry.evacuated_domains().len() as f64);
        let counts = lock(&entry.fleet).withheld_counts();
        let WithheldCounts { limit, leaving, rest, evacuated, cold } = counts;
        let counts = [
            ("limit", limit),
            ("leaving", leaving),
            ("rest", rest),
            ("evacuated", evacuated),
            ("cold", cold),
        ];
        for (reason, count) in counts {
            counter!("entry_withheld_total", "reason" => reason).absolute(count);
        }
        let PlacementCounts { by_count, by_cost, by_statement } =
            lock(&entry.fleet).placement_counts();
        for (by, count) in [("count", by_count), ("cost", by_cost), ("statement", by_statement)] {
            counter!("entry_placed_total", "by" => by).absolute(count);
        }
        for account in entry.accounts.all() {
            let MemoryStatus { bytes, connections, waiting, .. } = account.status();
            let gauges = [("bytes", bytes), ("connections", connections), ("waiting", waiting)];
            for (kind, value) in gauges {
                gauge!("entry_caller_memory", "interface" => account.name, "kind" => kind)
                    .set(value as f64);
            }
        }
        update_allowances(entry);
        if let Some(handle) = HANDLE.get().and_then(Option::as_ref) {
            handle.run_upkeep();
        }
        sleep(UPDATE_INTERVAL).await;
    }
}

/// Updates what is shown of the allowances. The organisations beyond the bound share one label.
fn update_allowances(entry: &Entry) {
    let now = entry.now();
    let mut allowances = lock(&entry.allowances);
    let (share, organisations) = (allowances.share(), allowances.status(now));
    drop(allowances);
    if organisations.is_empty() {
        return;
    }
    gauge!("entry_allowance_share").set(share);
    let mut rest = [0; 3];
    for status in &organisations {
        let counts = [status.asked, status.refused, status.returned];
        if !is_labelled(&status.name) {
            rest = std::array::from_fn(|index| rest[index] + counts[index]);
            continue;
        }
        set_allowance_counts(&status.name, counts);
        gauge!("entry_allowance_level", "organisation" => status.name.clone()).set(status.level);
        gauge!("entry_allowance_demand", "organisation" => status.name.clone()).set(status.demand);
    }
    set_allowance_counts("other", rest);
}

fn set_allowance_counts(organisation: &str, counts: [u64; 3]) {
    for (outcome, count) in ["asked", "refused", "returned"].into_iter().zip(counts) {
        counter!(
            "entry_allowance_requests_total",
            "organisation" => organisation.to_owned(),
            "outcome" => outcome
        )
        .absolute(count);
    }
}

/// Whether an organisation has a label of its own.
fn is_labelled(organisation: &str) -> bool {
    let mut organisations = lock(ORGANISATION_LABELS.get_or_init(Mutex::default));
    organisations.contains(organisation)
        || (organisations.len() < MAX_ORGANISATIONS
            && organisations.insert(organisation.to_owned()))
}

/// Counts a finished request.
pub(crate) fn count_request(route: &str, outcome: &'static str, duration: Duration) {
    let route = route_label(route);
    histogram!("entry_request_seconds", "route" => route.clone()).record(duration.as_secs_f64());
    counter!("entry_requests_total", "route" => route, "outcome" => outcome).increment(1);
}

/// Counts the shards and hedges of a request that queries several shards.
pub(crate) fn count_shards(route: &str, shards: usize, answered: usize, hedges: u32) {
    let route = route_label(route);
    counter!("entry_shards_total", "route" => route.clone()).increment(shards as u64);
    counter!("entry_shards_missing_total", "route" => route.clone())
        .increment(shards.saturating_sub(answered) as u64);
    counter!("entry_hedges_total", "route" => route).increment(u64::from(hedges));
}

/// Counts a request that was refused before it had a plan.
pub(crate) fn count_refused(cause: &'static str) {
    counter!("entry_refused_total", "cause" => cause).increment(1);
}

/// Counts a renewal of the proof that the configuration is the newest one, by what has renewed it.
pub(crate) fn count_proof(source: &'static str) {
    counter!("entry_config_proofs_total", "source" => source).increment(1);
}

/// Counts a view that was fetched from a peer, or could not be, and the bytes that arrived.
pub(crate) fn count_view(is_fetched: bool, bytes: usize) {
    let outcome = if is_fetched { "fetched" } else { "failed" };
    counter!("entry_views_total", "outcome" => outcome).increment(1);
    counter!("entry_view_bytes_total", "outcome" => outcome).increment(bytes as u64);
}

/// Counts a listing that was read at the store and not put in force, since a later one is known.
pub(crate) fn count_ignored_listing() {
    counter!("entry_ignored_listings_total").increment(1);
}

/// Counts a view that was not fetched, since the peer sends to others.
pub(crate) fn count_busy_peer() {
    counter!("entry_views_total", "outcome" => "busy").increment(1);
}

/// Counts a view that was refused, since others are being sent.
pub(crate) fn count_refused_view() {
    counter!("entry_views_served_total", "content" => "refused").increment(1);
}

/// Counts a view that was sent to a peer, with or without the configuration.
pub(crate) fn count_served_view(has_config: bool, bytes: usize) {
    let content = if has_config { "config" } else { "listing" };
    counter!("entry_views_served_total", "content" => content).increment(1);
    counter!("entry_view_bytes_served_total", "content" => content).increment(bytes as u64);
}

/// Counts a request or connection that was refused or closed to make room at an interface.
pub(crate) fn count_memory_event(interface: &'static str, cause: &'static str) {
    counter!("entry_memory_events_total", "interface" => interface, "cause" => cause).increment(1);
}

/// Counts a content under which searchers have ended.
pub(crate) fn count_suspect(effect: Effect) {
    counter!("entry_suspects_total", "effect" => format!("{effect:?}")).increment(1);
}

pub(crate) fn count_attempt(outcome: AttemptOutcome, cause: Cause, latency: Option<Duration>) {
    counter!(
        "entry_sends_total",
        "outcome" => format!("{outcome:?}"),
        "cause" => format!("{cause:?}")
    )
    .increment(1);
    if let Some(latency) = latency {
        histogram!("entry_send_seconds").record(latency.as_secs_f64());
    }
}

/// Counts a hedge or retry that the retry budget did not allow.
pub(crate) fn count_budget_refused() {
    counter!("entry_budget_refused_total").increment(1);
}

fn route_label(route: &str) -> String {
    let mut routes = lock(ROUTE_LABELS.get_or_init(Mutex::default));
    if !routes.contains(route) {
        if routes.len() >= MAX_ROUTES {
            return "other".to_owned();
        }
        routes.insert(route.to_owned());
    }
    route.to_owned()
}
