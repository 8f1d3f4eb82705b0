//! The rate of admitted requests, over a window that holds enough of them.

#[cfg(test)]
mod tests;

/// Reports that the longest window spans.
const WINDOWS: usize = 10;

/// Requests that a window should hold. Below this the rate of a small service would vary
/// so much from report to report that the parts of all entries would vary with it.
const ENOUGH: u32 = 16;

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    count: u32,
    seconds: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Meter {
    count: u32,
    windows: [Window; WINDOWS],
    next: usize,
    rate: f64,
}

impl Meter {
    pub(crate) fn add(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Ends a window of `seconds`, which must be more than 0, and returns the rate over the
    /// shortest recent time that holds enough requests.
    pub(crate) fn close(&mut self, seconds: f64) -> f64 {
        let expected = self.rate * seconds;
        let difference = (f64::from(self.count) - expected).abs();
        // Three standard deviations: the traffic has changed, so older windows mislead.
        if difference > 3.0 * expected.sqrt() + 1.0 {
            self.windows = Default::default();
        }
        self.windows[self.next] = Window { count: self.count, seconds };
        self.count = 0;
        let mut sum = Window::default();
        for back in 0..WINDOWS {
            let window = self.windows[(self.next + WINDOWS - back) % WINDOWS];
            sum.count += window.count;
            sum.seconds += window.seconds;
            if sum.count >= ENOUGH {
                break;
            }
        }
        self.next = (self.next + 1) % WINDOWS;
        self.rate = f64::from(sum.count) / sum.seconds;
        self.rate
    }
}
