//! What this daemon has learned of callers and of the requests of each route.

use std::time::Duration;

use super::Entry;
use crate::attempt::OutgoingRequest;
use crate::sync::lock;
use tt_adapter::headers;
use tt_serve::LatencyEstimate;
use tt_serve::RequestTraits;
use tt_serve::Route;
use tt_serve::RouteWork;
use tt_serve::objective_reserve;

impl Entry {
    /// Returns the part of a route's objective that a caller spends outside this daemon. The caller
    /// still waits for `limit`.
    pub(crate) fn objective_reserve(&self, route: &Route, limit: Option<Duration>) -> Duration {
        let settings = &self.settings.caller_wait;
        let mut waits = lock(&self.caller_waits);
        let wait = match waits.get_mut(&route.name) {
            Some(wait) => wait,
            None => waits.entry(route.name.clone()).or_default(),
        };
        let waited = wait.observe(settings, limit, self.now());
        objective_reserve(settings, route.objective, waited)
    }

    /// The work that each shard of a request is expected to take; `None` if it is not known.
    pub(crate) fn expected_work(&self, request: &OutgoingRequest) -> Option<Duration> {
        lock(&self.cost_estimates).expected(&request_traits(request), self.now())
    }

    /// Records the work that one shard of a request has taken.
    pub(crate) fn observe_work(&self, request: &OutgoingRequest, work: Duration) {
        lock(&self.cost_estimates).observe(&request_traits(request), work, self.now());
    }

    /// What is known of the work of each route's requests, ordered by route.
    pub(crate) fn route_works(&self) -> Vec<RouteWork> {
        let mut routes: Vec<String> = lock(&self.latency_estimates).keys().cloned().collect();
        routes.sort();
        let (costs, now) = (lock(&self.cost_estimates), self.now());
        routes.iter().filter_map(|route| costs.route_work(route, now)).collect()
    }

    /// Calls `update` with the latency estimate of a route.
    pub(crate) fn with_latency_estimate<T, F>(&self, route: &str, update: F) -> T
    where
        F: FnOnce(&mut LatencyEstimate) -> T,
    {
        let mut estimates = lock(&self.latency_estimates);
        match estimates.get_mut(route) {
            Some(estimate) => update(estimate),
            None => update(estimates.entry(route.to_owned()).or_default()),
        }
    }
}

/// What the work of a request may depend on.
fn request_traits(request: &OutgoingRequest) -> RequestTraits<'_> {
    RequestTraits {
        route: &request.route,
        body_bytes: request.body.len(),
        organisation: request.headers.get(headers::ORGANISATION).and_then(|it| it.to_str().ok()),
        content: request.content,
    }
}
