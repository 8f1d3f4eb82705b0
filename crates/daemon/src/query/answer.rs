//! The body of the answer to a query.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use serde::Serializer;
use serde_json::value::RawValue;
use tokio::time::Instant;

use crate::active_document::ActiveDocument;
use crate::http::Answer;
use crate::http::ErrorBody;
use crate::metrics;
use crate::node::Node;
use crate::query::request::QueryBody;
use tt_model::ResultCode;
use tt_routing::Reason;

/// The result of a query, as the router returns it.
pub(crate) type QueryResult = tt_routing::Answer<Bytes>;

/// What the answer needs from the request, kept while the query runs.
#[derive(Debug)]
pub(crate) struct AnswerContext {
    document: Arc<ActiveDocument>,
    service: String,
    request_id: String,
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

impl AnswerContext {
    pub(crate) fn new(
        document: &Arc<ActiveDocument>,
        body: &QueryBody,
        started: Instant,
    ) -> AnswerContext {
        AnswerContext {
            document: document.clone(),
            service: body.service.clone(),
            request_id: body.request_id.clone(),
            started,
        }
    }

    /// The answer for the router's result, or for a request that was not started.
    pub(crate) fn answer(&self, node: &Node, result: Result<QueryResult, ResultCode>) -> Answer {
        match result {
            Ok(result) => self.with_result(node, &result),
            Err(code) => self.without_result(code, String::new()),
        }
    }

    /// An answer that carries only a code.
    pub(crate) fn without_result(&self, code: ResultCode, detail: String) -> Answer {
        metrics::count_answer(&self.document, &self.service, code, self.started.elapsed());
        Answer::error(code, detail)
    }

    fn with_result(&self, node: &Node, result: &QueryResult) -> Answer {
        // Only a cancelled query has no code, and its caller is gone.
        let code = result.outcome.code().unwrap_or(ResultCode::NoAnswer);
        let age = node.config_age();
        let environment = &self.document.environment;
        let name = |shard| environment.shards[shard].name.as_str();
        let head = ErrorBody::new(code, String::new());
        let counts = &result.attempts;
        let mut covered: Vec<_> = result.covered.iter().collect();
        covered.sort_by_key(|covered| covered.shard);
        let body = Body {
            code,
            name: head.name,
            text: head.text,
            ran: head.ran,
            request_id: &self.request_id,
            environment: &environment.name,
            stage: self.document.stage,
            revision: self.document.revision.0,
            service: &self.service,
            snapshot: result.snapshot.0,
            covered: covered.iter().map(|covered| name(covered.shard)).collect(),
            uncovered: result
                .uncovered
                .iter()
                .map(|uncovered| Uncovered {
                    shard: name(uncovered.shard),
                    reason: reason(uncovered.reason),
                })
                .collect(),
            results: covered
                .iter()
                .map(|covered| Found { shard: name(covered.shard), hits: &covered.body })
                .collect(),
            stats: Stats {
                sub_queries: counts.primaries,
                hedges: counts.hedges,
                retries: counts.retries,
                restarts: counts.restarts,
                not_executed: counts.not_executed,
                elapsed_us: self.started.elapsed().as_micros() as u64,
            },
            config_age_ms: age.age.as_millis() as u64,
            config_stale: age.stale,
        };
        metrics::count_answer(&self.document, &self.service, code, self.started.elapsed());
        metrics::count_shards_and_sub_queries(&self.document, &self.service, result);
        Answer::json(code, &body)
    }
}

/// The name in answers of the reason why a shard is not covered.
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

fn raw<S>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    // The owner cut the hits out of a valid JSON document, but a faulty peer may send something
    // else.
    match serde_json::from_slice::<&RawValue>(bytes) {
        Ok(value) => value.serialize(serializer),
        Err(error) => Err(serde::ser::Error::custom(error)),
    }
}
