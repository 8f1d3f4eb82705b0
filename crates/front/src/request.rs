//! Handles one request of a caller: finds its route, runs it and builds the answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::answer;
use crate::answer::Body;
use crate::attempt::OutgoingRequest;
use crate::attempt::RequestKind;
use crate::caller_memory::BodyError;
use crate::caller_memory::Holder;
use crate::caller_memory::collect;
use crate::entry::ActiveConfig;
use crate::entry::Entry;
use crate::execution::PlannedRequest;
use crate::execution::RunningRequest;
use crate::keys;
use crate::keys::Admission;
use crate::keys::AdmissionError;
use crate::metrics;
use crate::parts::Replies;
use crate::sync::lock;
use crate::usage;
use crate::usage::AllowanceToken;
use tt_adapter::headers;
use tt_serve::CompiledRoute;
use tt_serve::CompiledTarget;
use tt_serve::ContentKey;
use tt_serve::Failure;
use tt_serve::Organisation;
use tt_serve::Plan;
use tt_serve::Query;
use tt_serve::Refusal;
use tt_serve::RegionRule;
use tt_serve::RelayScope;
use tt_serve::Time;
use tt_serve::Trust;
use tt_serve::Verdict;
use tt_serve::retry_after;

/// Answers a request of a caller.
pub(crate) async fn answer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    holder: &Holder,
) -> Response<Body> {
    let start = entry.now();
    let arrived_at = entry.proof_time();
    entry.wait_until_current().await;
    let (head, body) = request.into_parts();
    let id = header_text(&head.headers, headers::REQUEST_ID).unwrap_or_default().to_owned();
    let caller_timeout = header_text(&head.headers, headers::DEADLINE_MS)
        .and_then(|value| value.parse().ok())
        .map(Duration::from_millis);
    let host = header_text(&head.headers, header::HOST.as_str())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let (path, headers) = (head.uri.path(), &head.headers);
    let admitted = keys::admit(&entry, host, path, headers, arrived_at, caller_timeout).await;
    let mut admission = match admitted {
        Ok(admission) => admission,
        Err(error) => return refuse(&entry, &id, error, caller_timeout),
    };
    if id.is_empty() {
        return answer::error(StatusCode::BAD_REQUEST, "the request has no id", None);
    }
    let mut token = match charge(&entry, &admission, &id) {
        Ok(token) => token,
        Err(wait) => return over_allowance(&entry, wait, caller_timeout),
    };
    let Admission { active_config, route, .. } = &admission;
    let deadline = start
        + caller_timeout.map_or(route.route.timeout, |timeout| timeout.min(route.route.timeout));
    let timer_deadline = entry.clock.instant(deadline);
    let max_body_bytes = active_config.table.limits.max_body_bytes;
    let received = collect(holder, body, max_body_bytes);
    let body = match timeout_at(timer_deadline, received).await {
        Ok(Ok(body)) => body.into_bytes(),
        Ok(Err(BodyError::TooLarge)) => {
            return answer::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large", None);
        }
        Ok(Err(BodyError::Cut)) => {
            return answer::error(StatusCode::BAD_REQUEST, "the body is cut", None);
        }
        Ok(Err(BodyError::Refused)) => {
            log::info!("request: id={id} outcome=refused cause=memory");
            metrics::count_refused("memory");
            return not_run_response(&entry, Refusal::Busy, "no memory", caller_timeout);
        }
        Err(_) => return answer::error(StatusCode::REQUEST_TIMEOUT, "the body is late", None),
    };
    if let Err(error) = keys::recheck(&entry, &mut admission, &head.headers) {
        return refuse(&entry, &id, error, caller_timeout);
    }
    // A later configuration may have given the key to another organisation.
    let is_charged = |it: &Arc<Organisation>| token.as_ref().is_some_and(|token| token.is_of(it));
    if !admission.organisation.as_ref().is_none_or(is_charged) {
        token = match charge(&entry, &admission, &id) {
            Ok(token) => token,
            Err(wait) => return over_allowance(&entry, wait, caller_timeout),
        };
    }
    let Admission { active_config, route, organisation } = admission;
    // A request that most likely can't be answered before the stop can run at another entry.
    if entry.time_to_stop().is_some_and(|left| left < usual_latency(&entry, &route)) {
        log::info!("request: id={id} outcome=refused cause=stopping");
        metrics::count_refused("stopping");
        return not_run_response(&entry, Refusal::Busy, "stopping", caller_timeout);
    }
    let reserve = entry.objective_reserve(&route.route, caller_timeout);
    let request = RoutedRequest {
        entry,
        active_config,
        route,
        organisation,
        token,
        start,
        deadline,
        reserve,
    };
    request.run(id, head, body, timer_deadline).await
}

/// Takes a token of the allowance of the organisation that a request belongs to.
///
/// # Errors
///
/// Fails if there is none, with the time after which the caller should come back.
fn charge(
    entry: &Arc<Entry>,
    admission: &Admission,
    id: &str,
) -> Result<Option<AllowanceToken>, Duration> {
    let Some(organisation) = &admission.organisation else { return Ok(None) };
    usage::admit(entry, organisation, id).map(Some)
}

/// The answer to a request beyond the allowance.
fn over_allowance(entry: &Entry, wait: Duration, time_left: Option<Duration>) -> Response<Body> {
    let delay = retry_after(Refusal::Limited(wait), time_left, &entry.settings.retry_after);
    answer::error(StatusCode::TOO_MANY_REQUESTS, "over the allowance", Some(delay))
}

/// Refuses a request that must not run.
fn refuse(
    entry: &Entry,
    id: &str,
    error: AdmissionError,
    time_left: Option<Duration>,
) -> Response<Body> {
    let cause = error.cause();
    log::info!(
        "request: id={id} outcome=refused cause={cause} version={} proof_age_ms={}",
        entry.config_version(),
        entry.proof_age_text()
    );
    metrics::count_refused(cause);
    match error {
        AdmissionError::NoConfig => {
            not_run_response(entry, Refusal::Unserved, "no configuration yet", time_left)
        }
        AdmissionError::NoRoute => answer::error(StatusCode::NOT_FOUND, "no route", None),
        AdmissionError::Key(_) => answer::error(StatusCode::UNAUTHORIZED, "unknown API key", None),
        AdmissionError::Unconfirmed | AdmissionError::Expired => {
            // Another entry serves the request at once; otherwise the store is likely to be down.
            let refusal = if entry.peer_serves_keys() { Refusal::Busy } else { Refusal::Unserved };
            not_run_response(entry, refusal, "API keys can't be checked", time_left)
        }
    }
}

/// The latency that most requests of a route stay below.
fn usual_latency(entry: &Entry, route: &CompiledRoute) -> Duration {
    let settings = &entry.settings.latency_estimate;
    entry.with_latency_estimate(&route.route.name, |estimate| {
        estimate.hedge_delay(settings, route.route.objective)
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The answer to a request that has not run and may be repeated, for a caller that waits for
/// another `time_left`.
fn not_run_response(
    entry: &Entry,
    refusal: Refusal,
    message: &str,
    time_left: Option<Duration>,
) -> Response<Body> {
    let delay = retry_after(refusal, time_left, &entry.settings.retry_after);
    answer::error(StatusCode::SERVICE_UNAVAILABLE, message, Some(delay))
}

/// A request with its route.
#[derive(Debug)]
struct RoutedRequest {
    entry: Arc<Entry>,
    active_config: Arc<ActiveConfig>,
    route: Arc<CompiledRoute>,
    /// Whose request it is; `None` if it needs no key.
    organisation: Option<Arc<Organisation>>,
    /// Its token of the organisation's allowance.
    token: Option<AllowanceToken>,
    start: Time,
    deadline: Time,
    /// Part of the objective that the caller spends outside this daemon.
    reserve: Duration,
}

impl RoutedRequest {
    async fn run(
        self,
        id: String,
        head: hyper::http::request::Parts,
        body: Bytes,
        timer_deadline: Instant,
    ) -> Response<Body> {
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        let host = header_text(&head.headers, header::HOST.as_str()).unwrap_or_default();
        let content = ContentKey::new(head.method.as_str(), host, target, &body);
        let trust = match self.entry.trust(content) {
            Ok(trust) => trust,
            Err(refused_for) => return self.refuse_deadly(&id, content, refused_for),
        };
        let Some(plan) = self.plan(trust) else {
            return not_run_response(
                &self.entry,
                Refusal::Unserved,
                "no searchers",
                Some(self.time_left()),
            );
        };
        if trust == Trust::Trial
            && let Err(refused_for) = self.entry.claim_trial(&id, content)
        {
            return self.refuse_deadly(&id, content, refused_for);
        }
        let mut headers = head.headers;
        answer::remove_connection_headers(&mut headers);
        headers.remove(header::EXPECT);
        if self.active_config.table.keys.is_some() {
            keys::set_organisation(&mut headers, self.organisation.as_deref());
        }
        let outgoing = Arc::new(OutgoingRequest {
            id,
            route: self.route.route.name.clone(),
            method: head.method,
            uri: head.uri,
            headers,
            body,
            content,
            repeat: plan.repeat,
            kind: match self.route.target {
                CompiledTarget::One(_) | CompiledTarget::Split(_) => RequestKind::One,
                CompiledTarget::Gather { max_records, .. } => RequestKind::Gather { max_records },
            },
            deadline: timer_deadline,
            finished: AtomicBool::new(false),
        });
        let planned = PlannedRequest {
            entry: self.entry.clone(),
            active_config: self.active_config.clone(),
            outgoing: outgoing.clone(),
            plan,
            shards_digest: self.route.target.shards_digest().unwrap_or(0),
            regions: RegionRule::new(
                &self.route.route.allowed_regions,
                self.organisation.as_ref().map_or(&[][..], |it| &it.allowed_regions),
            ),
            query_indices: None,
        };
        self.set_used(true);
        let mut running = planned.start(match trust {
            Trust::Usual | Trust::Delegated => RelayScope::All,
            // A relay would send its shards at once.
            Trust::Trial => RelayScope::None,
        });
        let verdict = tokio::select! {
            verdict = running.verdict() => verdict,
            // Whether it has run can't be known before the process ends.
            () = self.entry.answers_due() => Verdict::Fail(Failure::Timeout),
        };
        outgoing.finished.store(true, Ordering::Relaxed);
        let RunningRequest { query, replies, .. } = running;
        self.finish(&outgoing, verdict, &query, replies)
    }

    /// Records whether the request may have run, so that its token is used up.
    fn set_used(&self, used: bool) {
        if let Some(token) = &self.token {
            token.set_used(used);
        }
    }

    /// Time left until the deadline, which the caller or the route sets.
    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.entry.now())
    }

    /// Refuses a request whose content is known to end searchers, or is suspected of it.
    fn refuse_deadly(
        &self,
        id: &str,
        content: ContentKey,
        refused_for: Duration,
    ) -> Response<Body> {
        log::info!("request: id={id} outcome=refused cause=deadly content={:016x}", content.0);
        metrics::count_refused("deadly");
        let refusal = Refusal::Limited(refused_for);
        not_run_response(&self.entry, refusal, "ends searchers", Some(self.time_left()))
    }

    fn plan(&self, trust: Trust) -> Option<Plan> {
        let settings = &self.entry.settings;
        let route = &self.route.route;
        let (pools, min_shards) = match &self.route.target {
            CompiledTarget::One(pool) => (vec![*pool], 1),
            CompiledTarget::Split(rotation) => (vec![rotation.next()?], 1),
            CompiledTarget::Gather { pools, min_shards, .. } => (pools.clone(), *min_shards),
        };
        Some(Plan {
            pools,
            min_shards,
            max_attempts: route.max_attempts,
            repeat: route.repeat,
            hedge_delay: usual_latency(&self.entry, &self.route),
            cutoff: self.start + route.objective.saturating_sub(self.reserve),
            deadline: self.deadline.saturating_sub(settings.deadline_margin).max(self.start),
            trust,
        })
    }

    fn finish(
        &self,
        outgoing: &OutgoingRequest,
        verdict: Verdict,
        query: &Query,
        replies: Replies,
    ) -> Response<Body> {
        let now = self.entry.now();
        let duration = now.saturating_sub(self.start);
        if query.is_telling() {
            let (effect, ended) = (query.effect(), query.ended_count());
            self.entry.record_effect(&outgoing.id, outgoing.content, effect, ended);
        }
        let last_cause = replies.last_cause;
        let (outcome, response) = match verdict {
            Verdict::Answer => ("answered", self.success_response(outgoing, query, replies)),
            Verdict::Fail(failure) => self.failure_response(failure, query, replies),
            // Not reached: the request runs until its verdict is final.
            Verdict::Wait(_) => self.failure_response(Failure::Timeout, query, replies),
        };
        metrics::count_request(&outgoing.route, outcome, duration);
        if outgoing.kind != RequestKind::One {
            let (shards, answered) = (query.shard_count(), query.answered_count());
            metrics::count_shards(&outgoing.route, shards, answered, query.hedge_count());
        }
        log::info!(
            "request: id={} route={} version={} outcome={outcome} status={} took_ms={:.1} \
             shards={} answered={} hedges={} goal_ms={} left_ms={} listing_age_ms={} work_ms={:.1} last={:?}",
            outgoing.id,
            outgoing.route,
            self.active_config.table.version,
            response.status().as_u16(),
            duration.as_secs_f64() * 1000.0,
            query.shard_count(),
            query.answered_count(),
            query.hedge_count(),
            self.route.route.objective.as_millis(),
            self.deadline.saturating_sub(now).as_millis(),
            self.entry
                .listing_read_at()
                .map_or(0, |read_at| now.saturating_sub(read_at).as_millis()),
            query.work().map_or(0.0, |work| work.as_secs_f64() * 1000.0),
            last_cause,
        );
        response
    }

    fn success_response(
        &self,
        outgoing: &OutgoingRequest,
        query: &Query,
        mut replies: Replies,
    ) -> Response<Body> {
        match (&self.route.target, replies.answer.take()) {
            (CompiledTarget::Gather { max_records, .. }, _) => answer::merged(
                &outgoing.id,
                &replies.parts.take_new(),
                query.shard_count(),
                *max_records,
            ),
            (_, Some(reply)) => answer::forward(reply),
            (_, None) => answer::error(StatusCode::BAD_GATEWAY, "no answer", None),
        }
    }

    fn failure_response(
        &self,
        failure: Failure,
        query: &Query,
        replies: Replies,
    ) -> (&'static str, Response<Body>) {
        match (failure, replies.last_failure) {
            (Failure::NotRun, _) => {
                self.set_used(false);
                let refusal = query.refusal(&lock(&self.entry.fleet), self.entry.now());
                (
                    "not_run",
                    not_run_response(&self.entry, refusal, "not run", Some(self.time_left())),
                )
            }
            (Failure::Failed, Some(reply)) if !answer::promises_not_run(reply.status) => {
                ("failed", answer::forward(reply))
            }
            (Failure::Timeout, _) => {
                ("timeout", answer::error(StatusCode::GATEWAY_TIMEOUT, "no answer in time", None))
            }
            (Failure::Failed | Failure::Unknown, _) => {
                ("unknown", answer::error(StatusCode::BAD_GATEWAY, "no sound answer", None))
            }
        }
    }
}
