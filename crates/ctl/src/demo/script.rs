//! The steps of the demo.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::client::send_json;
use crate::demo::DemoSettings;
use crate::demo::report;
use crate::output::Failure;
use crate::output::Format;
use crate::output::print_line;
use tt_bench::Checks;
use tt_bench::Fleet;
use tt_bench::FleetSettings;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_bench::Load;
use tt_bench::LoadKind;
use tt_bench::LoadSettings;
use tt_bench::RateStep;
use tt_bench::ServiceLoad;
use tt_bench::SubmitError;
use tt_bench::SubmitReport;
use tt_bench::bring_into_force;
use tt_bench::wait_for_owners;
use tt_daemon::Policy;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_standin::LatencyProfile;
use tt_standin::State;

/// Time after which a leaving searcher must not get new sub-queries.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which a change must be in force on every daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Rate of each service, as a ratio of its contracted rate.
const LOAD_RATIO: f64 = 0.35;

/// Requests per second that must run at most once.
const AT_MOST_ONCE_PER_S: f64 = 2.0;

/// Revisions seen at the daemons, and the cases in which one went back to an older revision.
#[derive(Debug, Default)]
struct Revisions {
    seen: Vec<(SocketAddr, u64)>,
    faults: Vec<String>,
}

/// Runs the demo and prints its results; fails if an invariant did not hold.
pub(crate) async fn run(settings: DemoSettings) -> Result<(), Failure> {
    let progress = |text: &str| match settings.format {
        Format::Text => print_line(text),
        Format::Json => {}
    };
    let http = HttpClient::new();
    progress(&format!("Starting {} daemons and the stand-ins.", settings.daemons));
    let mut fleet = start(settings).await?;
    let name = fleet.environment.name.clone();
    let failed = |error: SubmitError| internal(&error.to_string());
    let SubmitReport { trial, promotion } = bring_into_force(&fleet).await.map_err(failed)?;
    progress(&format!("Document in trial: {}", describe(&trial)));
    progress(&format!("Document promoted: {}", describe(&promotion)));
    wait_for_owners(&fleet, Policy::Adaptive).await.map_err(failed)?;

    progress(&format!("Sending queries for {} s.", settings.seconds));
    let start = Instant::now();
    let length = Duration::from_secs(settings.seconds);
    let load = tokio::spawn(Load::new(load_settings(settings, &fleet)).run());

    sleep_until(start + length / 6).await;
    progress("Publishing snapshot 2 at one searcher after another.");
    for searcher in fleet.searchers.values() {
        searcher.publish(2);
        sleep(Duration::from_millis(2)).await;
    }

    sleep_until(start + length / 4).await;
    let leaving = leaving_searcher(&fleet.environment);
    progress(&format!("Searcher {leaving} leaves."));
    fleet.searchers[&leaving].set_state(State::Draining);
    let left_at = Instant::now();

    sleep_until(start + length / 3).await;
    for searcher in fleet.searchers.values() {
        searcher.retire(1);
    }
    let mut revisions = Revisions::default();
    check_revisions(&http, &fleet, &name, &mut revisions).await;

    sleep_until(start + length * 3 / 8).await;
    let stopping = settings.daemons - 1;
    progress(&format!("Daemon {stopping} stops gracefully."));
    fleet.stop(stopping).await;
    progress(&format!("Daemon {stopping} has stopped."));
    check_revisions(&http, &fleet, &name, &mut revisions).await;

    sleep_until(left_at + LEAVE_TIMEOUT).await;
    let before = fleet.searchers[&leaving].counts().received;
    let records = load.await.map_err(|error| internal(&error.to_string()))?;
    let after = fleet.searchers[&leaving].counts().received;

    let mut checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    let late = after - before;
    let fault =
        (late > 0).then(|| format!("{leaving} got {late} sub-queries after {LEAVE_TIMEOUT:?}"));
    checks.add("a leaving searcher gets no new work", 1, fault.into_iter().collect());
    checks.add("in force everywhere in time", 2, slow_changes(&[&trial, &promotion]));
    checks.add("a revision never goes back", revisions.seen.len() as u64, revisions.faults);
    report::print(settings, &records, &checks, &trial, &promotion)?;
    if checks.all_held() {
        return Ok(());
    }
    Err(Failure::new(
        ResultCode::InvariantBroken,
        "an invariant did not hold, see above".to_owned(),
    ))
}

async fn start(settings: DemoSettings) -> Result<Fleet, Failure> {
    let fleet = FleetSettings {
        document: settings.sample.document.to_owned(),
        daemons: settings.daemons,
        seed: settings.seed,
        profile: LatencyProfile { straggler_rate: 0.01, ..LatencyProfile::default() },
        ..FleetSettings::default()
    };
    Fleet::start(fleet).await.map_err(|error| internal(&error.to_string()))
}

fn load_settings(settings: DemoSettings, fleet: &Fleet) -> LoadSettings {
    let environment = &fleet.environment;
    let at_most_once = settings.sample.at_most_once;
    let length = Duration::from_secs(settings.seconds);
    let steps = |rate| vec![RateStep { length, rate }];
    let mut services: Vec<ServiceLoad> = environment
        .services
        .values()
        .map(|service| ServiceLoad {
            service: service.name.clone(),
            class: environment.classes[service.class].name.clone(),
            steps: steps(service.contract.rate * LOAD_RATIO),
            kind: LoadKind::Search,
        })
        .collect();
    services.push(ServiceLoad {
        service: at_most_once.to_owned(),
        class: "at-most-once".to_owned(),
        steps: steps(AT_MOST_ONCE_PER_S),
        kind: LoadKind::AtMostOnce { shard: at_most_once.to_owned() },
    });
    LoadSettings {
        environment: environment.name.clone(),
        services,
        seed: settings.seed,
        entry_addresses: fleet.all_callers(),
    }
}

/// A searcher that does not serve the shard of the at-most-once requests, so that only searches
/// notice that it leaves.
fn leaving_searcher(environment: &Environment) -> String {
    let first = environment.searchers.values().next();
    first.map(|searcher| searcher.name.clone()).unwrap_or_default()
}

/// Notes the highest revision of the environment at each daemon, and a fault if it was higher
/// before.
async fn check_revisions(http: &HttpClient, fleet: &Fleet, name: &str, revisions: &mut Revisions) {
    for index in 0..8 {
        let Some(address) = fleet.operators(index) else {
            continue;
        };
        let path = format!("/v1/env/{name}");
        let Ok(status) = send_json(http, HttpRequest::get(address, path)).await else {
            continue;
        };
        let stages = status["stages"].as_array().cloned().unwrap_or_default();
        let revision = stages.iter().filter_map(|stage| stage["revision"].as_u64()).max();
        let revision = revision.unwrap_or(0);
        let before = revisions.seen.iter().filter(|(at, _)| *at == address).map(|(_, r)| *r).max();
        if before.is_some_and(|before| revision < before) {
            revisions.faults.push(format!("{address}: {before:?} then {revision}"));
        }
        revisions.seen.push((address, revision));
    }
}

/// The changes that were not in force on every daemon in time.
fn slow_changes(changes: &[&Value]) -> Vec<String> {
    changes
        .iter()
        .filter(|change| {
            let others =
                change["in_force"]["others"].as_array().is_none_or(|list| !list.is_empty());
            let time = change["in_force_ms"].as_u64().map(Duration::from_millis);
            others || time.is_none_or(|time| time > IN_FORCE_TIMEOUT)
        })
        .map(|change| change.to_string())
        .collect()
}

/// Describes an accepted change for the progress output.
fn describe(change: &Value) -> String {
    let report = &change["in_force"];
    format!(
        "revision {}, accepted after {} ms, in force on {} of {} daemons after {} ms",
        change["revision"],
        change["accepted_ms"],
        report["adopted"],
        report["members"],
        change["in_force_ms"],
    )
}

fn internal(detail: &str) -> Failure {
    Failure::new(ResultCode::Internal, detail.to_owned())
}
