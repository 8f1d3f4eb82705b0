//! Requests that run at most once: a claim is recorded first, then the query runs.

use std::sync::Arc;

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::clock;
use crate::http::Answer;
use crate::node::Node;
use crate::query::Query;
use crate::query::answer::AnswerContext;
use tt_claims::Answer as ClaimAnswer;
use tt_claims::BodyDigest;
use tt_claims::CallerAttempt;
use tt_claims::ClaimId;
use tt_claims::Claimant;
use tt_claims::ClaimantAction;
use tt_claims::ClaimantEvent;
use tt_claims::ClaimantSettings;
use tt_claims::RequestKey;
use tt_claims::RunOutcome;
use tt_claims::Start;
use tt_claims::local_refusal;
use tt_model::ResultCode;
use tt_routing::Outcome;

/// A request that may run at most once.
pub(crate) struct Submission {
    pub(crate) query: Query,
    pub(crate) digest: BodyDigest,
    pub(crate) attempt: u32,
}

/// Runs a request at most once. After the answer, its outcome may still have to be recorded.
pub(crate) async fn run(node: Arc<Node>, submission: Submission, context: AnswerContext) -> Answer {
    let query = &submission.query;
    let service = &query.document.environment.services[query.service].name;
    let attempt = CallerAttempt(submission.attempt);
    let key = match RequestKey::parse(service, &query.request_id) {
        Ok(key) => key,
        Err(error) => {
            let detail = "request_id: expected a UUID version 7".to_owned();
            return context.without_result(error.code(), detail);
        }
    };
    let claim = tt_claims::Submission {
        key,
        digest: submission.digest,
        attempt,
        claim: ClaimId(rand::rng().random()),
        deadline: query.deadline,
        deadline_unix_ms: clock::unix_ms_at(query.deadline),
        start: Start::Now,
    };
    let (sender, answer) = oneshot::channel();
    let context = Arc::new(context);
    tokio::spawn(run_claimant(node, claim, submission.query, context.clone(), sender));
    match answer.await {
        Ok(answer) => answer,
        // The claimant's task ended without an answer, so nothing is known of the request.
        Err(_) => match local_refusal(attempt, ResultCode::Internal) {
            ClaimAnswer::NotRun(code) | ClaimAnswer::Unknown(code) => {
                context.without_result(code, String::new())
            }
            ClaimAnswer::Done(_) | ClaimAnswer::DoneOmitted(_) => {
                context.without_result(ResultCode::OutcomeUnknown, String::new())
            }
        },
    }
}

async fn run_claimant(
    node: Arc<Node>,
    claim: tt_claims::Submission,
    query: Query,
    context: Arc<AnswerContext>,
    answer: oneshot::Sender<Answer>,
) {
    let query = Arc::new(query);
    let mut answer = Some(answer);
    let (events, mut incoming) = mpsc::unbounded_channel();
    let settings = ClaimantSettings::default();
    let (mut claimant, mut actions) = Claimant::new(claim, settings, clock::claims_now());
    loop {
        for action in std::mem::take(&mut actions) {
            match action {
                ClaimantAction::Call { call, partition, request } => {
                    let node = node.clone();
                    let events = events.clone();
                    tokio::spawn(async move {
                        let event = match node.claim(partition, request).await {
                            Some(reply) => ClaimantEvent::Reply { call, reply },
                            None => ClaimantEvent::CallFailed { call },
                        };
                        // The claimant may have finished.
                        let _ = events.send(event);
                    });
                }
                ClaimantAction::Prepare => {
                    let _ = events.send(ClaimantEvent::Prepared);
                }
                ClaimantAction::Send => {
                    tokio::spawn(run_query(
                        node.clone(),
                        query.clone(),
                        context.clone(),
                        events.clone(),
                    ));
                }
                ClaimantAction::Answer(outcome) => {
                    if let Some(answer) = answer.take() {
                        // The caller may have closed its connection.
                        let _ = answer.send(claim_answer(&context, outcome));
                    }
                }
            }
        }
        if claimant.is_finished() {
            return;
        }
        let timer = claimant.next_timer().unwrap_or_else(Instant::now);
        let event = tokio::select! {
            event = incoming.recv() => event.unwrap_or(ClaimantEvent::Timer),
            () = sleep_until(timer) => ClaimantEvent::Timer,
        };
        actions = claimant.handle(event, clock::claims_now());
    }
}

/// Runs the request after its claim has been stored.
async fn run_query(
    node: Arc<Node>,
    query: Arc<Query>,
    context: Arc<AnswerContext>,
    events: mpsc::UnboundedSender<ClaimantEvent>,
) {
    let outcome = match query.run(&node).await {
        Err(code) => RunOutcome::NotExecuted(code),
        Ok(result) => match result.outcome {
            Outcome::Done => RunOutcome::Done(context.answer(&node, Ok(result)).body),
            Outcome::NotRun(code) => RunOutcome::NotExecuted(code),
            Outcome::Complete
            | Outcome::Partial
            | Outcome::NoAnswer
            | Outcome::Unknown
            | Outcome::Cancelled => {
                let reasons: Vec<_> =
                    result.uncovered.iter().map(|uncovered| uncovered.reason).collect();
                let request = &query.request_id;
                log::warn!("claims: The outcome of request {request} is unknown: {reasons:?}.");
                RunOutcome::Unknown
            }
        },
    };
    // The claimant waits for this event longer than any query runs.
    let _ = events.send(ClaimantEvent::Ran(outcome));
}

fn claim_answer(context: &AnswerContext, outcome: ClaimAnswer) -> Answer {
    match outcome {
        ClaimAnswer::Done(body) => Answer::stored(ResultCode::Done, body),
        ClaimAnswer::DoneOmitted(digest) => {
            let detail = format!("result omitted, digest {:032x}", digest.0);
            context.without_result(ResultCode::Done, detail)
        }
        ClaimAnswer::NotRun(code) | ClaimAnswer::Unknown(code) => {
            context.without_result(code, String::new())
        }
    }
}
