//! Rate of admitted requests, averaged over a window that grows for small rates.

#[cfg(test)]
mod tests;

/// Maximum number of report intervals in the window.
const MAX_INTERVALS: usize = 10;

/// Number of requests at which the window is long enough. With fewer, the rate of a small
/// service would vary from report to report, and the quotas of all entries with it.
const MIN_WINDOW_REQUESTS: u32 = 16;

/// Time between two usage reports.
#[derive(Debug, Clone, Copy, Default)]
struct Interval {
    count: u32,
    seconds: f64,
}

#[derive(Debug, Default)]
pub(crate) struct RateMeter {
    /// Requests in the current interval.
    count: u32,
    /// Ring buffer of the last intervals.
    intervals: [Interval; MAX_INTERVALS],
    next: usize,
    /// Requests a second over the last window.
    rate: f64,
}

impl RateMeter {
    pub(crate) fn add(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Ends an interval of `seconds`, which must be more than 0. Returns the requests a second
    /// over the shortest window of recent intervals with [`MIN_WINDOW_REQUESTS`] requests.
    pub(crate) fn end_interval(&mut self, seconds: f64) -> f64 {
        let expected = self.rate * seconds;
        let difference = (f64::from(self.count) - expected).abs();
        // More than three standard deviations: the traffic has changed, so earlier intervals
        // no longer describe it.
        if difference > 3.0 * expected.sqrt() + 1.0 {
            self.intervals = Default::default();
        }
        self.intervals[self.next] = Interval { count: self.count, seconds };
        self.count = 0;
        let mut sum = Interval::default();
        for back in 0..MAX_INTERVALS {
            let interval = self.intervals[(self.next + MAX_INTERVALS - back) % MAX_INTERVALS];
            sum.count += interval.count;
            sum.seconds += interval.seconds;
            if sum.count >= MIN_WINDOW_REQUESTS {
                break;
            }
        }
        self.next = (self.next + 1) % MAX_INTERVALS;
        self.rate = f64::from(sum.count) / sum.seconds;
        self.rate
    }
}
