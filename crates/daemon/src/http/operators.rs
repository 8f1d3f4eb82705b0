//! The operators' interface: documents, metrics, health and the stop sequence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::change;
use crate::http::answer::Answer;
use crate::http::parameter;
use crate::http::server::Request;
use crate::metrics;
use crate::node::Node;
use tt_control::ChangeId;
use tt_control::ChangeKind;
use tt_control::ChangeRequest;
use tt_control::ChangeStatus;
use tt_control::InForcePoll;
use tt_control::InForceReport;
use tt_control::Outcome;
use tt_control::Stage;
use tt_control::SubmissionKind;
use tt_control::change::history;
use tt_control::change::status;
use tt_control::diff;
use tt_membership::members::State;
use tt_model::Digest;
use tt_model::Environment;
use tt_model::Incarnation;
use tt_model::ResultCode;
use tt_model::Revision;

/// How long the answer to an accepted change waits for the change to be in force at all daemons;
/// the target is 10 s.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the daemons are asked again whether a change is in force.
const IN_FORCE_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one round in which all daemons are asked for their versions.
const VERSIONS_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers one request of an operator.
pub(crate) async fn answer(node: &Arc<Node>, request: Request) -> Answer {
    let path: Vec<&str> = request.path.split('/').skip(1).collect();
    match (request.method.as_str(), path.as_slice()) {
        ("GET", ["metrics"]) => {
            node.publish_metrics();
            Answer::text(200, metrics::render())
        }
        ("GET", ["livez"]) => Answer::text(200, "alive\n".to_owned()),
        ("GET", ["readyz"]) => ready(node),
        ("POST", ["drain"]) => {
            node.start_drain();
            Answer::json(ResultCode::Accepted, &json!({ "code": ResultCode::Accepted }))
        }
        ("GET", ["v1", "members"]) => members(node),
        ("POST", ["v1", "env", name, "trial"]) => trial(node, name, &request).await,
        ("POST", ["v1", "env", name, "promote"]) => promote(node, name, &request).await,
        ("POST", ["v1", "env", name, "diff"]) => diff_document(node, name, &request),
        ("GET", ["v1", "env", name]) => environment(node, name).await,
        ("GET", ["v1", "env", name, "history"]) => change_history(node, name),
        ("GET", ["v1", "env", name, "changes", id]) => change_status(node, name, id).await,
        (_, ["metrics" | "livez" | "readyz" | "drain"] | ["v1", "members"] | ["v1", "env", ..]) => {
            let detail = format!("{} {}", request.method, request.path);
            Answer::error(ResultCode::MethodNotAllowed, detail)
        }
        _ => Answer::error(ResultCode::NotFound, request.path),
    }
}

fn ready(node: &Node) -> Answer {
    match node.accepts_queries() {
        Ok(()) => Answer::text(200, "ready\n".to_owned()),
        Err((code, detail)) => Answer::error(code, detail),
    }
}

fn members(node: &Node) -> Answer {
    let counts = node.half_counts();
    let epoch = node.epoch();
    let members = node.members();
    let list: Vec<Value> = members
        .iter()
        .map(|view| {
            json!({
                "address": view.member.id.address,
                "incarnation": view.member.id.incarnation,
                "domain": view.member.domain,
                "weight": view.member.weight,
                "state": state_name(view.state),
                "epoch": view.epoch,
                "catalog": view.catalog,
            })
        })
        .collect();
    let body = json!({
        "code": ResultCode::Complete,
        "epoch": epoch,
        "partitioned": members.is_partitioned(),
        "halves_held": counts.held_halves,
        "halves_waiting": counts.waiting_halves,
        "searchers_full": counts.full_searchers,
        "members": list,
    });
    Answer::json(ResultCode::Complete, &body)
}

async fn trial(node: &Arc<Node>, name: &str, request: &Request) -> Answer {
    let Ok(text) = String::from_utf8(request.body.clone()) else {
        return Answer::error(ResultCode::InvalidDocument, "expected UTF-8".to_owned());
    };
    submit(node, name, request, Stage::Trial, ChangeKind::Trial { text }).await
}

async fn promote(node: &Arc<Node>, name: &str, request: &Request) -> Answer {
    let Some(text) = parameter(&request.query, "digest") else {
        return Answer::error(ResultCode::MalformedRequest, "digest: missing".to_owned());
    };
    let Ok(digest) = serde_json::from_value::<Digest>(Value::String(text)) else {
        return Answer::error(ResultCode::MalformedRequest, "digest: not valid".to_owned());
    };
    submit(node, name, request, Stage::Production, ChangeKind::Promote { digest }).await
}

async fn submit(
    node: &Arc<Node>,
    name: &str,
    request: &Request,
    stage: Stage,
    kind: ChangeKind,
) -> Answer {
    let Some(operator) = parameter(&request.query, "operator") else {
        return Answer::error(ResultCode::MalformedRequest, "operator: missing".to_owned());
    };
    let base = match parameter(&request.query, "base") {
        None => node.stage_revision(name, stage),
        Some(text) => match text.parse() {
            Ok(number) => Revision(number),
            Err(_) => {
                let detail = "base: expected a revision".to_owned();
                return Answer::error(ResultCode::MalformedRequest, detail);
            }
        },
    };
    // A change with an id that the operator states may have been submitted before.
    let (submission, id) = match parameter(&request.query, "change") {
        None => (SubmissionKind::First, ChangeId::from_uuid(uuid::Uuid::now_v7())),
        Some(text) => (SubmissionKind::Repeat, ChangeId::parse(&text)),
    };
    let Some(id) = id else {
        let detail = "change: expected a UUID version 7".to_owned();
        return Answer::error(ResultCode::MalformedRequest, detail);
    };
    let change = ChangeRequest {
        change: id.clone(),
        submission,
        operator,
        environment: name.to_owned(),
        base,
        kind,
    };
    let started = Instant::now();
    let outcome = change::run(node, change).await;
    log::info!("config: Change {id} of environment {name}: {}.", outcome.code());
    outcome_answer(node, &id, outcome, started).await
}

async fn outcome_answer(
    node: &Arc<Node>,
    id: &ChangeId,
    outcome: Outcome,
    started: Instant,
) -> Answer {
    let code = outcome.code();
    let mut body = json!({
        "code": code,
        "name": code.name(),
        "text": code.text(),
        "change": id,
        "detail": outcome.to_string(),
        "accepted_ms": started.elapsed().as_millis() as u64,
    });
    if let Outcome::Accepted { revision } = outcome {
        node.tick_control_plane();
        let report = in_force(node, revision, IN_FORCE_TIMEOUT).await;
        body["revision"] = json!(revision);
        body["in_force"] = json!(report);
        body["in_force_ms"] = json!(started.elapsed().as_millis() as u64);
    }
    if let Outcome::Conflict { winner } = outcome {
        body["winner"] = json!({
            "revision": winner.revision,
            "operator": winner.operator,
            "change": winner.change,
        });
    }
    Answer::json(code, &body)
}

/// Asks all daemons for their versions until all have the revision or the timeout has passed.
async fn in_force(node: &Arc<Node>, revision: Revision, timeout: Duration) -> InForceReport {
    let end = Instant::now() + timeout;
    loop {
        let report = collect_versions(node, revision).await;
        if report.others.is_empty() || Instant::now() >= end {
            return report;
        }
        tokio::time::sleep(IN_FORCE_INTERVAL).await;
    }
}

async fn collect_versions(node: &Arc<Node>, revision: Revision) -> InForceReport {
    let own = node.me.id.address;
    let members = node.live_members();
    let now = Instant::now();
    let mut poll = InForcePoll::new(revision, &members, VERSIONS_TIMEOUT, now);
    poll.on_versions(own, node.me.id.incarnation, node.versions());
    let mut pulls = JoinSet::new();
    loop {
        for (to, request) in poll.next_pulls() {
            let node = node.clone();
            pulls.spawn(async move { (to, node.pull(to, request).await) });
        }
        if poll.is_finished(Instant::now()) {
            return poll.report();
        }
        let Some(Ok((from, answer))) = pulls.join_next().await else {
            return poll.report();
        };
        poll.on_pull_done();
        if let Some(update) = answer {
            // Each pull asks one process once, so its incarnation does not matter.
            poll.on_versions(from, Incarnation(0), update.versions);
        }
    }
}

#[derive(Debug, Serialize)]
struct StageStatus {
    stage: Stage,
    revision: Revision,
    digest: Digest,
    operator: String,
    change: ChangeId,
    in_force: InForceReport,
}

async fn environment(node: &Arc<Node>, name: &str) -> Answer {
    let mut stages = Vec::new();
    for stage in [Stage::Trial, Stage::Production] {
        let Some(record) = node.stage_record(name, stage) else {
            continue;
        };
        let newest = record.newest().clone();
        let in_force = collect_versions(node, newest.revision).await;
        stages.push(StageStatus {
            stage,
            revision: newest.revision,
            digest: newest.digest,
            operator: newest.operator,
            change: newest.change,
            in_force,
        });
    }
    if stages.is_empty() {
        return Answer::error(ResultCode::UnknownEnvironment, name.to_owned());
    }
    let age = node.config_age();
    let body = json!({
        "code": ResultCode::Complete,
        "environment": name,
        "config_age_ms": age.age.as_millis() as u64,
        "config_stale": age.stale,
        "stages": stages,
    });
    Answer::json(ResultCode::Complete, &body)
}

fn change_history(node: &Node, name: &str) -> Answer {
    let plane = node.control_plane();
    let list: Vec<Value> = history(plane.replica().adopted(), name)
        .into_iter()
        .map(|(key, record)| {
            json!({
                "stage": key.stage,
                "revision": record.revision,
                "digest": record.digest,
                "change": record.change,
                "operator": record.operator,
            })
        })
        .collect();
    if list.is_empty() {
        return Answer::error(ResultCode::UnknownEnvironment, name.to_owned());
    }
    let body = json!({ "code": ResultCode::Complete, "environment": name, "changes": list });
    Answer::json(ResultCode::Complete, &body)
}

async fn change_status(node: &Arc<Node>, name: &str, id: &str) -> Answer {
    let Some(id) = ChangeId::parse(id) else {
        return Answer::error(ResultCode::MalformedRequest, "expected a change id".to_owned());
    };
    // Only the store shows the state of a change that its daemon could not confirm.
    let Some(catalog) = change::stored_catalog(node).await else {
        return Answer::error(ResultCode::ChangeUnknown, "the store does not answer".to_owned());
    };
    let (state, revision) = match status(&catalog, name, &id) {
        ChangeStatus::Accepted { revision, .. } => ("accepted", revision),
        ChangeStatus::NotAccepted { as_of } => ("not-accepted", as_of),
        ChangeStatus::NotInHistory { as_of } => ("not-in-history", as_of),
    };
    let body = json!({
        "code": ResultCode::Complete,
        "change": id,
        "status": state,
        "revision": revision,
    });
    Answer::json(ResultCode::Complete, &body)
}

fn diff_document(node: &Node, name: &str, request: &Request) -> Answer {
    let stage = match parameter(&request.query, "stage").as_deref() {
        None | Some("production") => Stage::Production,
        Some("trial") => Stage::Trial,
        Some(other) => {
            let detail = format!("stage: expected `trial` or `production`, found `{other}`");
            return Answer::error(ResultCode::MalformedRequest, detail);
        }
    };
    let text = String::from_utf8_lossy(&request.body);
    let next = match Environment::parse(&text) {
        Ok(next) => next,
        Err(faults) => return Answer::error(faults.code, faults.to_string()),
    };
    let Some(document) = node.active_document(name, stage) else {
        return Answer::error(ResultCode::UnknownEnvironment, format!("{name}, stage {stage}"));
    };
    let body = json!({
        "code": ResultCode::Complete,
        "environment": name,
        "stage": stage,
        "from": document.environment.digest,
        "to": next.digest,
        "changes": diff(&document.environment, &next).changes,
    });
    Answer::json(ResultCode::Complete, &body)
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Gone => "gone",
    }
}

impl Node {
    /// Addresses of all members that are not gone.
    fn live_members(&self) -> Vec<SocketAddr> {
        self.members()
            .iter()
            .filter(|view| view.state != State::Gone)
            .map(|view| view.member.id.address)
            .collect()
    }
}
