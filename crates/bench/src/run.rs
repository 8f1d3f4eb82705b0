//! Runs a scenario against a fleet.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::check::Checks;
use crate::check::Invariant;
use crate::fleet::Fleet;
use crate::fleet::FleetSettings;
use crate::load::Load;
use crate::load::LoadKind;
use crate::load::LoadSettings;
use crate::load::RateStep;
use crate::load::Record;
use crate::load::ServiceLoad;
use crate::scenario::Event;
use crate::scenario::Scenario;
use crate::stats::ClassStats;
use crate::stats::class_stats;
use crate::stats::stats;
use crate::submit::bring_into_force;
use crate::submit::wait_for_owners;
use tt_daemon::Policy;
use tt_standin::LatencyProfile;
use tt_standin::State;

/// The result of running a scenario under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy, from [`policy_name`].
    pub policy: &'static str,
    /// Seed of the arrival times and of the service times.
    pub seed: u64,
    /// One report for each window, in order.
    pub windows: Vec<WindowReport>,
    /// One report for each whole second of the load.
    pub seconds: Vec<SecondReport>,
    /// Sub-queries and connections that searchers refused because they were above the limits.
    pub over_limits: u64,
    /// Results of the invariants over the whole run.
    pub invariants: Vec<Invariant>,
}

/// The result of one window.
#[derive(Debug, Clone, Serialize)]
pub struct WindowReport {
    /// Name of the window.
    pub name: String,
    /// Statistics of all requests due in the window.
    pub all: ClassStats,
    /// Complete answers per second.
    pub goodput: f64,
    /// Statistics of the requests of each class.
    pub classes: BTreeMap<String, ClassStats>,
}

/// Statistics of the requests due in one second.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct SecondReport {
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// Number of complete answers.
    pub whole: u64,
    /// Number of requests.
    pub queries: u64,
}

/// The name of a policy in settings, options and reports.
pub fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Adaptive => "adaptive",
        Policy::Baseline => "baseline",
    }
}

/// Runs a scenario with a fleet of its own and measures it.
pub async fn run(scenario: &Scenario, policy: Policy, seed: u64) -> io::Result<RunReport> {
    let settings = FleetSettings {
        document: scenario.document.document(&scenario.name),
        daemons: scenario.daemons,
        profile: scenario.profile(),
        seed,
        policy,
        ..FleetSettings::default()
    };
    let mut fleet = Fleet::start(settings).await?;
    slow_down(scenario, &fleet);
    bring_into_force(&fleet).await.map_err(io::Error::other)?;
    wait_for_owners(&fleet, policy).await.map_err(io::Error::other)?;
    let load = Load::new(load_settings(scenario, &fleet, seed));
    let start = Instant::now();
    let running = tokio::spawn(load.run());
    let mut window_start = Duration::ZERO;
    for window in &scenario.windows {
        sleep_until(start + window_start).await;
        apply_event(window.event, &mut fleet);
        window_start += Duration::from_secs_f64(window.seconds);
    }
    let records = running.await.map_err(io::Error::other)?;
    // Lets the searchers notice the sub-queries that were cancelled at the end, before the
    // counters are read.
    sleep(Duration::from_millis(100)).await;
    let checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    let counts = fleet.searchers.values().map(tt_standin::Searcher::counts);
    Ok(RunReport {
        scenario: scenario.name.clone(),
        policy: policy_name(policy),
        seed,
        windows: windows(scenario, &records),
        seconds: seconds(scenario, &records),
        over_limits: counts.map(|counts| counts.over_slots + counts.over_connections).sum(),
        invariants: checks.invariants().to_vec(),
    })
}

fn load_settings(scenario: &Scenario, fleet: &Fleet, seed: u64) -> LoadSettings {
    let environment = &fleet.environment;
    let services = environment
        .services
        .values()
        .map(|service| {
            let class = environment.classes[service.class].name.clone();
            let steps = scenario
                .windows
                .iter()
                .map(|window| RateStep {
                    length: Duration::from_secs_f64(window.seconds),
                    rate: service.contract.rate * scenario.factor(window, &class),
                })
                .collect();
            ServiceLoad { service: service.name.clone(), class, steps, kind: LoadKind::Search }
        })
        .collect();
    LoadSettings {
        environment: environment.name.clone(),
        services,
        seed,
        entry_addresses: fleet.all_callers(),
    }
}

fn slow_down(scenario: &Scenario, fleet: &Fleet) {
    let profile = LatencyProfile { slow_factor: scenario.searcher.factor, ..scenario.profile() };
    for searcher in fleet.searchers.values().take(scenario.slow) {
        searcher.set_profile(profile.clone());
    }
}

fn apply_event(event: Event, fleet: &mut Fleet) {
    match event {
        Event::None => {}
        Event::KillDaemon => {
            // The killed daemon is not started again.
            let _ = fleet.kill(fleet.len().saturating_sub(1));
        }
        Event::KillSearchers => set_first_replicas(fleet, State::Dead),
        Event::ReviveSearchers => set_first_replicas(fleet, State::Ready),
        Event::KillDomain => kill_domain(fleet),
    }
}

fn set_first_replicas(fleet: &Fleet, state: State) {
    let environment = &fleet.environment;
    for shard in environment.shards.values() {
        let first = shard.replicas.first().map(|&id| &environment.searchers[id].name);
        if let Some(searcher) = first.and_then(|name| fleet.searchers.get(name)) {
            searcher.set_state(state);
        }
    }
}

fn kill_domain(fleet: &mut Fleet) {
    let environment = &fleet.environment;
    let Some((domain, name)) =
        environment.domains.iter().last().map(|(id, d)| (id, d.name.clone()))
    else {
        return;
    };
    for searcher in environment.searchers.values().filter(|searcher| searcher.domain == domain) {
        if let Some(standin) = fleet.searchers.get(&searcher.name) {
            standin.set_state(State::Dead);
        }
    }
    let daemons: Vec<usize> =
        (0..fleet.len()).filter(|&index| fleet.domain(index) == Some(&name)).collect();
    for index in daemons {
        // The daemons of the domain are not started again.
        let _ = fleet.kill(index);
    }
}

fn windows(scenario: &Scenario, records: &[Record]) -> Vec<WindowReport> {
    let mut start = Duration::ZERO;
    let mut reports = Vec::new();
    for window in &scenario.windows {
        let end = start + Duration::from_secs_f64(window.seconds);
        let due: Vec<Record> =
            records.iter().filter(|r| (start..end).contains(&r.due)).cloned().collect();
        reports.push(WindowReport {
            name: window.name.clone(),
            all: stats(&due.iter().collect::<Vec<_>>()),
            goodput: complete_answers(&due) as f64 / window.seconds,
            classes: class_stats(&due),
        });
        start = end;
    }
    reports
}

fn seconds(scenario: &Scenario, records: &[Record]) -> Vec<SecondReport> {
    let count = scenario.length().as_secs();
    (0..count)
        .map(|second| {
            let due: Vec<Record> =
                records.iter().filter(|r| r.due.as_secs() == second).cloned().collect();
            let stats = stats(&due.iter().collect::<Vec<_>>());
            SecondReport {
                p50_ms: stats.p50_ms,
                p99_ms: stats.p99_ms,
                whole: complete_answers(&due),
                queries: due.len() as u64,
            }
        })
        .collect()
}

fn complete_answers(records: &[Record]) -> u64 {
    let is_complete =
        |record: &&Record| record.answer.as_ref().is_ok_and(|answer| answer["name"] == "Complete");
    records.iter().filter(is_complete).count() as u64
}
