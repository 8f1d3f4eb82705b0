//! The entry side: one query from the caller's body to the answer.

mod answer;
mod once;
mod request;
mod run;

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::env::Env;
use crate::http::Answer;
use crate::metrics;
use crate::node::Node;
use crate::query::answer::Outline;
use crate::query::request::QueryBody;
use crate::query::request::Refused;
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
        Err(refused) => {
            metrics::refused(refused.code);
            Answer::error(refused.code, refused.detail)
        }
    }
}

/// A query is rejected at once when the expected wait takes more than one part in this many of
/// its time. A query needs all its shards: admitted in larger numbers than the searchers can
/// serve, nearly every query would miss some of them.
const WAIT_SHARE: u32 = 2;

/// A request that may run.
struct Admitted {
    env: Arc<Env>,
    body: QueryBody,
    resolved: Resolved,
    permit: Admission,
    started: Instant,
}

/// A permit that is given back when the query ends, however it ends.
pub(crate) struct Admission {
    env: Arc<Env>,
    permit: Option<Permit>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.env.admission().release(permit);
        }
    }
}

fn admit(node: &Node, body: &[u8], started: Instant) -> Result<Admitted, Refused> {
    let body = QueryBody::parse(body)?;
    let attempt = CallerAttempt(body.attempt);
    let mode = body.mode;
    admit_parsed(node, body, started).map_err(|refused| match mode {
        RequestMode::Idempotent => refused,
        RequestMode::AtMostOnce => {
            // Refused here and now, but an earlier sending of the id may have run.
            let code = local_refusal(attempt, refused.code).code();
            if code == refused.code {
                return refused;
            }
            let detail = format!(
                "this sending was not run ({}), an earlier one may have been",
                refused.code
            );
            Refused::new(code, detail)
        }
    })
}

fn admit_parsed(node: &Node, body: QueryBody, started: Instant) -> Result<Admitted, Refused> {
    node.accepts_queries().map_err(|(code, detail)| Refused::new(code, detail))?;
    let Some(env) = node.env(&body.environment, body.stage) else {
        let detail = format!("environment `{}`, stage {}", body.environment, body.stage);
        return Err(Refused::new(ResultCode::UnknownEnvironment, detail));
    };
    let resolved = body.resolve(&env.environment)?;
    let arrival = Arrival {
        service: resolved.service,
        deadline: started + resolved.time,
        expected_wait: env.backlog().wait(started) * WAIT_SHARE,
    };
    let permit = match node.settings.policy {
        Policy::Adaptive => {
            let admitted = env.admission().admit(started, &arrival);
            Some(admitted.map_err(|code| Refused::new(code, String::new()))?)
        }
        Policy::Baseline => None,
    };
    let permit = Admission { env: env.clone(), permit };
    Ok(Admitted { env, body, resolved, permit, started })
}

async fn run(node: &Arc<Node>, admitted: Admitted) -> Answer {
    let Admitted { env, body, resolved, permit, started } = admitted;
    let outline = Outline::new(&env, &body, started);
    let query = Query {
        number: node.next_query(),
        env,
        service: resolved.service,
        shards: resolved.shards,
        mode: resolved.mode,
        deadline: started + resolved.time,
        request: body.request_id.clone(),
        text: Bytes::from(body.query.get().to_owned()),
    };
    let node = node.clone();
    match resolved.mode {
        Mode::Idempotent => {
            // The runtime of the HTTP worker has one thread; queries run on the daemon's.
            let task = node.runtime.clone().spawn(async move {
                let _permit = permit;
                let result = query.run(&node).await;
                outline.answer(&node, result)
            });
            let guard = AbortOnDrop(task.abort_handle());
            let answer = task.await;
            drop(guard);
            answer.unwrap_or_else(|error| Answer::error(ResultCode::Internal, error.to_string()))
        }
        Mode::AtMostOnce => {
            // Goes on when the caller hangs up, because its outcome must be recorded.
            let submission =
                once::Submission { query, digest: body.digest(), attempt: body.attempt };
            let task = node.runtime.clone().spawn(async move {
                let _permit = permit;
                once::run(node, submission, outline).await
            });
            task.await
                .unwrap_or_else(|error| Answer::error(ResultCode::Internal, error.to_string()))
        }
    }
}

/// Ends a query whose caller has hung up.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
