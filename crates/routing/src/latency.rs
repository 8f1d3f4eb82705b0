//! A latency estimate: a running median, and a histogram for other quantiles.

use std::time::Duration;

// The lowest buckets are 16 µs wide. Each octave above them has eight buckets, and the
// highest bucket starts at about 4 s.
const BUCKET_COUNT: usize = 128;
const MIN_WIDTH_BITS: u32 = 4;
const OCTAVE_BITS: u32 = 3;
// All counts are halved when the histogram has this many samples, so that it reflects the
// last 128 to 256 replies.
const MAX_SAMPLES: u32 = 256;
// A high quantile of fewer samples is too inaccurate.
const MIN_SAMPLES: u32 = 16;
// Each sample moves the median by a multiple of this ratio. The multiple grows with the
// number of successive samples on the same side, so that the median follows a lasting change
// within about ten replies, while one straggler moves it by a single step.
const MEDIAN_STEP_RATIO: f32 = 0.05;
const MAX_STEP_COUNT: i8 = 4;

/// Latency as this entry observes it, of one searcher or of several together.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimate {
    // Microseconds; 0 without samples.
    median: f32,
    // Multiple of the last step: positive after samples above the median, negative after
    // samples below it.
    step_count: i8,
    histogram: Option<Box<Histogram>>,
}

#[derive(Debug, Clone)]
struct Histogram {
    counts: [u16; BUCKET_COUNT],
    total: u32,
    highest: usize,
}

impl LatencyEstimate {
    /// Adds the latency of an answer.
    pub fn add_sample(&mut self, latency: Duration) {
        let us = micros(latency);
        let value = us.max(1) as f32;
        if self.median == 0.0 {
            self.median = value;
        } else if value > self.median {
            self.step_count = (self.step_count.max(0) + 1).min(MAX_STEP_COUNT);
            self.median =
                (self.median * (1.0 + MEDIAN_STEP_RATIO * f32::from(self.step_count))).min(value);
        } else if value < self.median {
            self.step_count = (self.step_count.min(0) - 1).max(-MAX_STEP_COUNT);
            self.median =
                (self.median * (1.0 + MEDIAN_STEP_RATIO * f32::from(self.step_count))).max(value);
        }
        self.histogram.get_or_insert_with(Box::default).add(us);
    }

    /// Adds an attempt that had no answer after `waited`, if that is more than the median.
    /// Without these samples, a searcher whose attempts are all cancelled after a hedge
    /// answered first would keep an estimate from a time when it was faster.
    pub fn add_lower_bound(&mut self, waited: Duration) {
        if micros(waited) as f32 > self.median {
            self.add_sample(waited);
        }
    }

    /// The median in microseconds; `None` without samples.
    pub fn median_us(&self) -> Option<f32> {
        (self.median > 0.0).then_some(self.median)
    }

    /// The latency that a fraction `q` of recent answers does not exceed, rounded up to a
    /// bucket boundary; `None` with too few samples.
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        let histogram = self.histogram.as_ref()?;
        if histogram.total < MIN_SAMPLES {
            return None;
        }
        Some(Duration::from_micros(u64::from(histogram.quantile(q))))
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { counts: [0; BUCKET_COUNT], total: 0, highest: 0 }
    }
}

impl Histogram {
    fn add(&mut self, us: u32) {
        let bucket = bucket(us);
        self.counts[bucket] += 1;
        self.total += 1;
        self.highest = self.highest.max(bucket);
        if self.total < MAX_SAMPLES {
            return;
        }
        self.total = 0;
        for (i, count) in self.counts.iter_mut().enumerate() {
            *count /= 2;
            self.total += u32::from(*count);
            if *count > 0 {
                self.highest = i;
            }
        }
    }

    fn quantile(&self, q: f64) -> u32 {
        // Counting from the top visits few buckets, because the quantiles in use are high.
        let above = (f64::from(self.total) * (1.0 - q)) as u32;
        let mut seen = 0;
        for bucket in (0..=self.highest).rev() {
            seen += u32::from(self.counts[bucket]);
            if seen > above {
                return upper_bound(bucket);
            }
        }
        upper_bound(0)
    }
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

fn bucket(us: u32) -> usize {
    let units = us >> MIN_WIDTH_BITS;
    if units < 1 << OCTAVE_BITS {
        return units as usize;
    }
    let octave = units.ilog2() - OCTAVE_BITS;
    let index = ((octave + 1) << OCTAVE_BITS) + ((units >> octave) - (1 << OCTAVE_BITS));
    (index as usize).min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: usize) -> u32 {
    let bucket = bucket as u32 + 1;
    if bucket <= 1 << OCTAVE_BITS {
        return bucket << MIN_WIDTH_BITS;
    }
    let octave = (bucket >> OCTAVE_BITS) - 1;
    let units = ((1 << OCTAVE_BITS) + (bucket & ((1 << OCTAVE_BITS) - 1))) << octave;
    units << MIN_WIDTH_BITS
}
