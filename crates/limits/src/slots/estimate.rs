//! Moving average of the time that a sub-query holds a slot.

use std::time::Duration;

/// Weight of one observation. A sixteenth follows a change within a few dozen replies
/// and moves by a few percent for one reply.
const WEIGHT: f64 = 1.0 / 16.0;

/// One in a hundred replies is about ten times slower. An observation counts at most this
/// many times the average, so that a straggler does not cause rejections.
const CLAMP: f64 = 3.0;

const MIN_SECONDS: f64 = 10e-6;

/// An exponentially weighted moving average of durations.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    seconds: f64,
}

impl Estimate {
    pub(crate) fn new(initial: Duration) -> Estimate {
        Estimate { seconds: initial.as_secs_f64().max(MIN_SECONDS) }
    }

    /// Records `observed` and returns the duration as it was counted.
    pub(crate) fn observe(&mut self, observed: Duration) -> Duration {
        let counted = observed.as_secs_f64().min(self.seconds * CLAMP);
        self.seconds = (self.seconds + WEIGHT * (counted - self.seconds)).max(MIN_SECONDS);
        Duration::from_secs_f64(counted)
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.seconds
    }
}
