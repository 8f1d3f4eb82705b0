//! The entry side: one query from the caller's body to the answer.

mod answer;
mod at_most_once;
mod request;
mod run;

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::active_document::ActiveDocument;
use crate::http::Answer;
use crate::metrics;
use crate::node::Node;
use crate::query::answer::AnswerContext;
use crate::query::request::QueryBody;
use crate::query::request::Rejection;
use crate::query::request::RequestMode;
use crate::query::request::Resolved;
use crate::settings::Policy;
use tt_claims::CallerAttempt;
use tt_claims::local_refusal;
use tt_limits::Arrival;
use tt_limits::Permit;
use tt_model::ResultCode;
use tt_routing::Mode;

pub(crate) use run::Query;

/// Answers the body of a `POST /v1/query`.
pub(crate) async fn answer(node: &Arc<Node>, body: Vec<u8>) -> Answer {
    let started = Instant::now();
    match admit(node, &body, started) {
        Ok(admitted) => run(node, admitted).await,
        Err(rejection) => {
            metrics::count_refused(rejection.code);
            Answer::error(rejection.code, rejection.detail)
        }
    }
}

/// A query is rejected at once when the expected wait, multiplied by this, exceeds the time until
/// its deadline. A query needs all its shards, so with more queries admitted than the searchers
/// can serve, nearly every query would miss some shard.
const WAIT_FACTOR: u32 = 2;

/// A request that has passed admission.
struct Admitted {
    document: Arc<ActiveDocument>,
    body: QueryBody,
    resolved: Resolved,
    permit: PermitGuard,
    started: Instant,
}

/// Releases the permit of a query when it is dropped.
pub(crate) struct PermitGuard {
    document: Arc<ActiveDocument>,
    permit: Option<Permit>,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.document.admission().release(permit);
        }
    }
}

fn admit(node: &Node, body: &[u8], started: Instant) -> Result<Admitted, Rejection> {
    let body = QueryBody::parse(body)?;
    let attempt = CallerAttempt(body.attempt);
    let mode = body.mode;
    admit_parsed(node, body, started).map_err(|rejection| match mode {
        RequestMode::Idempotent => rejection,
        RequestMode::AtMostOnce => {
            // This request was not run, but an earlier one with the same id may have been.
            let code = local_refusal(attempt, rejection.code).code();
            if code == rejection.code {
                return rejection;
            }
            let detail = format!(
                "this sending was not run ({}), an earlier one may have been",
                rejection.code
            );
            Rejection::new(code, detail)
        }
    })
}

fn admit_parsed(node: &Node, body: QueryBody, started: Instant) -> Result<Admitted, Rejection> {
    node.accepts_queries().map_err(|(code, detail)| Rejection::new(code, detail))?;
    let Some(document) = node.active_document(&body.environment, body.stage) else {
        let detail = format!("environment `{}`, stage {}", body.environment, body.stage);
        return Err(Rejection::new(ResultCode::UnknownEnvironment, detail));
    };
    let resolved = body.resolve(&document.environment)?;
    let arrival = Arrival {
        service: resolved.service,
        deadline: started + resolved.timeout,
        expected_wait: document.backlog().wait(started) * WAIT_FACTOR,
    };
    let permit = match node.settings.policy {
        Policy::Adaptive => {
            let admitted = document.admission().admit(started, &arrival);
            Some(admitted.map_err(|code| Rejection::new(code, String::new()))?)
        }
        Policy::Baseline => None,
    };
    let permit = PermitGuard { document: document.clone(), permit };
    Ok(Admitted { document, body, resolved, permit, started })
}

async fn run(node: &Arc<Node>, admitted: Admitted) -> Answer {
    let Admitted { document, body, resolved, permit, started } = admitted;
    let context = AnswerContext::new(&document, &body, started);
    let query = Query {
        number: node.next_query(),
        document,
        service: resolved.service,
        shards: resolved.shards,
        mode: resolved.mode,
        deadline: started + resolved.timeout,
        request_id: body.request_id.clone(),
        text: Bytes::from(body.query.get().to_owned()),
    };
    let node = node.clone();
    match resolved.mode {
        Mode::Idempotent => {
            // The HTTP worker's runtime has one thread, so queries run on the daemon's runtime.
            let task = node.runtime.clone().spawn(async move {
                let _permit = permit;
                let result = query.run(&node).await;
                context.answer(&node, result)
            });
            let guard = AbortOnDrop(task.abort_handle());
            let answer = task.await;
            drop(guard);
            answer.unwrap_or_else(|error| Answer::error(ResultCode::Internal, error.to_string()))
        }
        Mode::AtMostOnce => {
            // Not aborted when the caller closes its connection, because the outcome must be
            // recorded.
            let submission =
                at_most_once::Submission { query, digest: body.digest(), attempt: body.attempt };
            let task = node.runtime.clone().spawn(async move {
                let _permit = permit;
                at_most_once::run(node, submission, context).await
            });
            task.await
                .unwrap_or_else(|error| Answer::error(ResultCode::Internal, error.to_string()))
        }
    }
}

/// Aborts the task of a query whose caller has closed its connection.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
