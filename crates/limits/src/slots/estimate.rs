//! Estimate of the time that a sub-query holds a slot.

use std::time::Duration;

/// Weight of one observation. With a sixteenth, the average follows a change within a few
/// dozen replies, and one reply moves it by a few percent only.
const SMOOTHING_RATIO: f64 = 1.0 / 16.0;

/// Observations are capped at this multiple of the average. About one reply in a hundred is
/// ten times slower; without a cap such a straggler would cause rejections.
const MAX_OBSERVATION_RATIO: f64 = 3.0;

const MIN_ESTIMATE_SECONDS: f64 = 10e-6;

/// Exponentially weighted moving average of slot times.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotTimeEstimate {
    seconds: f64,
}

impl SlotTimeEstimate {
    pub(crate) fn new(initial: Duration) -> SlotTimeEstimate {
        SlotTimeEstimate { seconds: initial.as_secs_f64().max(MIN_ESTIMATE_SECONDS) }
    }

    /// Records `observed` and returns it with the cap applied.
    pub(crate) fn observe(&mut self, observed: Duration) -> Duration {
        let capped = observed.as_secs_f64().min(self.seconds * MAX_OBSERVATION_RATIO);
        self.seconds =
            (self.seconds + SMOOTHING_RATIO * (capped - self.seconds)).max(MIN_ESTIMATE_SECONDS);
        Duration::from_secs_f64(capped)
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }
}
