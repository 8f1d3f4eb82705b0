//! The expected work of a request, from what is known of it before it runs.
//!
//! The estimate of a route is refined by further signals: the size of the body, the organisation and
//! the repetition of the same content. Each signal proves itself on the requests of its route: it
//! counts only while predictions with it have been better than those without it.
//!
//! All estimates are means of logarithms. One request in 100 takes five times as long as others like
//! it, which would move an arithmetic mean.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Time;
use crate::suspects::ContentKey;

/// Number of signals that refine the estimate of a route.
const SIGNALS: usize = 3;

/// How the work of requests is estimated.
#[derive(Debug, Clone, Copy)]
pub struct CostSettings {
    /// Answers of a route from which its work counts as known.
    pub min_answers: f64,
    /// Number of answers after which the mean of a route is a moving average. It follows a change
    /// within about as many.
    pub route_answers: f64,
    /// As `route_answers`, for one value of a signal.
    pub value_answers: f64,
    /// Answers with one value of a signal after which half of their deviation from the route
    /// counts: less than that is mostly noise.
    pub half_trust_answers: f64,
    /// Half-life of what is known: the data behind a searcher changes.
    pub half_life: Duration,
    /// Part of the variance that a signal must explain to count, 0 to 1. Noise alone makes it seem
    /// to explain a few percent.
    pub min_explained: f64,
    /// Predictions by a signal from which its part of the variance is known.
    pub min_predictions: f64,
    /// Maximum deviation of one answer that is learned, as the logarithm of a ratio.
    pub max_deviation: f64,
    /// Maximum number of routes, and of values of each signal of a route, that are remembered.
    pub max_values: usize,
}

impl Default for CostSettings {
    fn default() -> Self {
        CostSettings {
            min_answers: 5.0,
            route_answers: 200.0,
            value_answers: 30.0,
            half_trust_answers: 2.0,
            half_life: Duration::from_secs(60),
            min_explained: 0.1,
            min_predictions: 50.0,
            max_deviation: 1.5,
            max_values: 512,
        }
    }
}

/// What the work of a request may depend on.
#[derive(Debug, Clone, Copy)]
pub struct RequestTraits<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Size of its body.
    pub body_bytes: usize,
    /// Name of the organisation that sent it, if that is known.
    pub organisation: Option<&'a str>,
    /// Digest of its content.
    pub content: ContentKey,
}

/// What refines the estimate of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The size of the body, by powers of two.
    Size,
    /// The organisation that sent the request.
    Organisation,
    /// The same content.
    Content,
}

impl Signal {
    const ALL: [Signal; SIGNALS] = [Signal::Size, Signal::Organisation, Signal::Content];

    /// The value that a request has of the signal.
    fn value(self, request: &RequestTraits<'_>) -> Option<u64> {
        match self {
            Signal::Size => {
                Some(u64::from(request.body_bytes.checked_ilog2().map_or(0, |it| it + 1)))
            }
            Signal::Organisation => request.organisation.map(|name| xxh3_64(name.as_bytes())),
            Signal::Content => Some(request.content.0),
        }
    }
}

/// How much a signal tells of the work of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalStatus {
    /// The signal.
    pub signal: Signal,
    /// Part of the variance that remains without it and is explained by it; negative if predictions
    /// are worse with it.
    pub explained: f64,
    /// Whether it counts.
    pub is_used: bool,
}

/// What is known of the work of a route's requests, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteWork {
    /// Name of the route.
    pub route: String,
    /// Expected work of a request at one searcher, without what signals tell; `None` if it is not
    /// known.
    pub expected: Option<Duration>,
    /// How much each signal tells.
    pub signals: Vec<SignalStatus>,
}

/// Estimates of the work of requests.
#[derive(Debug)]
pub struct CostEstimates {
    settings: CostSettings,
    routes: Recent<RouteCost>,
}

#[derive(Debug, Default)]
struct RouteCost {
    mean: Mean,
    signals: [SignalCost; SIGNALS],
}

/// What one signal tells of a route's requests.
#[derive(Debug, Default)]
struct SignalCost {
    values: Recent<Mean>,
    /// Predictions so far.
    predictions: f64,
    /// Mean squared error of these without the signal, and with it.
    error_without: f64,
    error_with: f64,
}

/// Mean of logarithms, of which the last ones count the most.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    answers: f64,
    at: Time,
}

/// Estimates by key. Those that were used the least recently are forgotten.
#[derive(Debug)]
struct Recent<T> {
    young: HashMap<u64, T>,
    old: HashMap<u64, T>,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Recent { young: HashMap::new(), old: HashMap::new() }
    }
}

impl<T> Recent<T>
where
    T: Default,
{
    fn get(&self, key: u64) -> Option<&T> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// The estimate with this key, new if there is none. At most `max` are kept.
    fn entry(&mut self, key: u64, max: usize) -> &mut T {
        if !self.young.contains_key(&key) && self.young.len() >= max / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let known = self.old.remove(&key);
        self.young.entry(key).or_insert_with(|| known.unwrap_or_default())
    }
}

impl Mean {
    /// Number of answers, less those that have been forgotten with time.
    fn answers(&self, settings: &CostSettings, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.answers * 0.5_f64.powf(age / settings.half_life.as_secs_f64())
    }

    fn add(&mut self, settings: &CostSettings, value: f64, max_answers: f64, now: Time) {
        self.answers = (self.answers(settings, now) + 1.0).min(max_answers);
        self.value += (value - self.value) / self.answers;
        self.at = now;
    }

    /// The mean as far as the number of answers supports it: near 0 with few.
    fn supported(&self, settings: &CostSettings, now: Time) -> f64 {
        let answers = self.answers(settings, now);
        self.value * answers / (answers + settings.half_trust_answers)
    }
}

impl SignalCost {
    fn explained(&self) -> f64 {
        1.0 - self.error_with / self.error_without.max(f64::EPSILON)
    }

    fn is_used(&self, settings: &CostSettings) -> bool {
        self.predictions >= settings.min_predictions && self.explained() >= settings.min_explained
    }

    /// The deviation from the route that a value predicts; `None` if it has not been seen.
    fn prediction(&self, settings: &CostSettings, value: u64, now: Time) -> Option<f64> {
        self.values.get(value).map(|mean| mean.supported(settings, now))
    }

    /// Learns the deviation of an answer.
    fn observe(&mut self, settings: &CostSettings, value: u64, deviation: f64, now: Time) {
        if let Some(predicted) = self.prediction(settings, value, now) {
            self.predictions = (self.predictions + 1.0).min(settings.route_answers);
            let without = deviation * deviation;
            let with = (deviation - predicted).powi(2);
            self.error_without += (without - self.error_without) / self.predictions;
            self.error_with += (with - self.error_with) / self.predictions;
        }
        let mean = self.values.entry(value, settings.max_values);
        mean.add(settings, deviation, settings.value_answers, now);
    }
}

impl CostEstimates {
    /// Estimates that know nothing yet.
    pub fn new(settings: CostSettings) -> CostEstimates {
        CostEstimates { settings, routes: Recent::default() }
    }

    /// The expected work of a request at one searcher; `None` if it is not known.
    pub fn expected(&self, request: &RequestTraits<'_>, now: Time) -> Option<Duration> {
        let settings = &self.settings;
        let route = self.routes.get(xxh3_64(request.route.as_bytes()))?;
        if route.mean.answers(settings, now) < settings.min_answers {
            return None;
        }
        let mut log_ms = route.mean.value;
        for (signal, cost) in Signal::ALL.iter().zip(&route.signals) {
            if cost.is_used(settings)
                && let Some(value) = signal.value(request)
            {
                log_ms += cost.prediction(settings, value, now).unwrap_or(0.0);
            }
        }
        Duration::try_from_secs_f64(log_ms.exp() / 1000.0).ok()
    }

    /// Learns the work that a request has taken at one searcher.
    pub fn observe(&mut self, request: &RequestTraits<'_>, work: Duration, now: Time) {
        let settings = &self.settings;
        // The clock's resolution; the logarithm of 0 is not finite.
        let log_ms = (work.as_secs_f64() * 1000.0).max(0.001).ln();
        let key = xxh3_64(request.route.as_bytes());
        let route = self.routes.entry(key, settings.max_values);
        let is_new = route.mean.answers(settings, now) < settings.min_answers;
        let max = settings.max_deviation;
        let mut deviation = (log_ms - route.mean.value).clamp(-max, max);
        // The first answers say where the mean is, however far from 0.
        let learned = if is_new { log_ms } else { route.mean.value + deviation };
        route.mean.add(settings, learned, settings.route_answers, now);
        if is_new {
            return;
        }
        for (signal, cost) in Signal::ALL.iter().zip(&mut route.signals) {
            let Some(value) = signal.value(request) else { continue };
            let predicted = cost.prediction(settings, value, now).unwrap_or(0.0);
            cost.observe(settings, value, deviation, now);
            if cost.is_used(settings) {
                deviation -= predicted;
            }
        }
    }

    /// What is known of a route's requests; `None` if there have been none.
    pub fn route_work(&self, route: &str, now: Time) -> Option<RouteWork> {
        let settings = &self.settings;
        let cost = self.routes.get(xxh3_64(route.as_bytes()))?;
        let is_known = cost.mean.answers(settings, now) >= settings.min_answers;
        let expected = Duration::try_from_secs_f64(cost.mean.value.exp() / 1000.0).ok();
        let status = |(&signal, cost): (&Signal, &SignalCost)| SignalStatus {
            signal,
            explained: cost.explained(),
            is_used: cost.is_used(settings),
        };
        Some(RouteWork {
            route: route.to_owned(),
            expected: expected.filter(|_| is_known),
            signals: Signal::ALL.iter().zip(&cost.signals).map(status).collect(),
        })
    }
}
