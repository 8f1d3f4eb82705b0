//! The body of the answer to a query.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use serde::Serializer;
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::env::Env;
use crate::http::Answer;
use crate::http::ErrorBody;
use crate::metrics;
use crate::node::Node;
use crate::query::request::QueryBody;
use tt_model::ResultCode;
use tt_routing::Reason;

/// What the router answers.
pub(crate) type Result = tt_routing::Answer<Bytes>;

/// What is known of an answer before the query runs.
#[derive(Debug)]
pub(crate) struct Outline {
    env: Arc<Env>,
    service: String,
    request: String,
    started: Instant,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    code: ResultCode,
    name: &'static str,
    text: &'static str,
    ran: &'static str,
    request_id: &'a str,
    environment: &'a str,
    stage: tt_control::Stage,
    revision: u64,
    service: &'a str,
    snapshot: u64,
    covered: Vec<&'a str>,
    uncovered: Vec<Uncovered<'a>>,
    results: Vec<Found<'a>>,
    stats: Stats,
    config_age_ms: u64,
    config_stale: bool,
}

#[derive(Debug, Serialize)]
struct Uncovered<'a> {
    shard: &'a str,
    reason: &'static str,
}

#[derive(Debug, Serialize)]
struct Found<'a> {
    shard: &'a str,
    #[serde(serialize_with = "raw")]
    hits: &'a Bytes,
}

#[derive(Debug, Serialize)]
struct Stats {
    sub_queries: u32,
    hedges: u32,
    retries: u32,
    restarts: u32,
    not_executed: u32,
    elapsed_us: u64,
}

impl Outline {
    pub(crate) fn new(env: &Arc<Env>, body: &QueryBody, started: Instant) -> Outline {
        Outline {
            env: env.clone(),
            service: body.service.clone(),
            request: body.request_id.clone(),
            started,
        }
    }

    /// The answer for what the router decided, or for a request that was not started.
    pub(crate) fn answer(
        &self,
        node: &Node,
        result: std::result::Result<Result, ResultCode>,
    ) -> Answer {
        match result {
            Ok(result) => self.full(node, &result),
            Err(code) => self.without_result(code, String::new()),
        }
    }

    /// An answer that carries only a code.
    pub(crate) fn without_result(&self, code: ResultCode, detail: String) -> Answer {
        metrics::answered(&self.env, &self.service, code, self.started.elapsed());
        Answer::error(code, detail)
    }

    fn full(&self, node: &Node, result: &Result) -> Answer {
        // A cancelled query has no caller left to read the code.
        let code = result.outcome.code().unwrap_or(ResultCode::NoAnswer);
        let age = node.config_age();
        let environment = &self.env.environment;
        let name = |shard| environment.shards[shard].name.as_str();
        let head = ErrorBody::new(code, String::new());
        let effort = &result.attempts;
        let mut covered: Vec<_> = result.covered.iter().collect();
        covered.sort_by_key(|covered| covered.shard);
        let body = Body {
            code,
            name: head.name,
            text: head.text,
            ran: head.ran,
            request_id: &self.request,
            environment: &environment.name,
            stage: self.env.stage,
            revision: self.env.revision.0,
            service: &self.service,
            snapshot: result.snapshot.0,
            covered: covered.iter().map(|covered| name(covered.shard)).collect(),
            uncovered: result
                .uncovered
                .iter()
                .map(|gap| Uncovered { shard: name(gap.shard), reason: reason(gap.reason) })
                .collect(),
            results: covered
                .iter()
                .map(|covered| Found { shard: name(covered.shard), hits: &covered.body })
                .collect(),
            stats: Stats {
                sub_queries: effort.primaries,
                hedges: effort.hedges,
                retries: effort.retries,
                restarts: effort.restarts,
                not_executed: effort.not_executed,
                elapsed_us: self.started.elapsed().as_micros() as u64,
            },
            config_age_ms: age.age.as_millis() as u64,
            config_stale: age.stale,
        };
        metrics::answered(&self.env, &self.service, code, self.started.elapsed());
        metrics::effort(&self.env, &self.service, result);
        Answer::json(code, &body)
    }
}

/// How an answer names the reason for a missing shard.
fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::NoReplica => "no-replica",
        Reason::Overloaded => "overloaded",
        Reason::SnapshotGone => "snapshot-gone",
        Reason::Failed => "failed",
        Reason::TimedOut => "timed-out",
        Reason::LeftOut => "left-out",
        Reason::Absent => "absent",
        Reason::Cancelled => "cancelled",
    }
}

fn raw<S>(bytes: &Bytes, serializer: S) -> std::result::Result<S::Ok, S::Error>
where
    S: Serializer,
{
    // The owner took the hits out of a JSON document; a peer with a fault may still send
    // something else.
    match serde_json::from_slice::<&RawValue>(bytes) {
        Ok(value) => value.serialize(serializer),
        Err(error) => Err(serde::ser::Error::custom(error)),
    }
}
