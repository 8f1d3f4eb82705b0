//! Latency of one searcher: a running median and a histogram for quantiles.

use std::time::Duration;

const BUCKETS: usize = 128;
// Width of the lowest buckets is 16 µs; the highest bucket starts at about 4 s.
const UNIT_SHIFT: u32 = 4;
const SUB_BITS: u32 = 3;
// Halving at this count makes the histogram follow the last 128 to 256 replies.
const HALVE_AT: u32 = 256;
// Fewer samples give no usable high quantile.
const MIN_SAMPLES: u32 = 16;
// The median moves by one step for each sample. Samples on the same side in a row
// lengthen the step, so that a lasting change is followed within about ten replies
// while one straggler moves it by a single short step.
const STEP: f32 = 0.05;
const MAX_RUN: i8 = 4;

/// Latency of one searcher as seen by this entry.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimate {
    median: f32,
    run: i8,
    histogram: Option<Box<Histogram>>,
}

#[derive(Debug, Clone)]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
    highest: usize,
}

impl LatencyEstimate {
    /// Takes in the latency of an answer.
    pub fn record(&mut self, latency: Duration) {
        let us = micros(latency);
        let value = us.max(1) as f32;
        if self.median == 0.0 {
            self.median = value;
        } else if value > self.median {
            self.run = (self.run.max(0) + 1).min(MAX_RUN);
            self.median = (self.median * (1.0 + STEP * f32::from(self.run))).min(value);
        } else if value < self.median {
            self.run = (self.run.min(0) - 1).max(-MAX_RUN);
            self.median = (self.median * (1.0 + STEP * f32::from(self.run))).max(value);
        }
        self.histogram.get_or_insert_with(Box::default).add(us);
    }

    /// Takes in that no answer came within `waited`. Without this, a searcher that loses
    /// every hedge would keep the estimate from its better days.
    pub fn record_at_least(&mut self, waited: Duration) {
        if micros(waited) as f32 > self.median {
            self.record(waited);
        }
    }

    /// The median in microseconds, or `None` without samples.
    pub fn median_us(&self) -> Option<f32> {
        (self.median > 0.0).then_some(self.median)
    }

    /// The latency that a part `q` of recent answers does not exceed, or `None` with too
    /// few samples.
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
        Histogram { counts: [0; BUCKETS], total: 0, highest: 0 }
    }
}

impl Histogram {
    fn add(&mut self, us: u32) {
        let bucket = bucket(us);
        self.counts[bucket] += 1;
        self.total += 1;
        self.highest = self.highest.max(bucket);
        if self.total < HALVE_AT {
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
        // Counting from the top touches few buckets for the high quantiles in use.
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
    let units = us >> UNIT_SHIFT;
    if units < 1 << SUB_BITS {
        return units as usize;
    }
    let octave = units.ilog2() - SUB_BITS;
    let index = ((octave + 1) << SUB_BITS) + ((units >> octave) - (1 << SUB_BITS));
    (index as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> u32 {
    let bucket = bucket as u32 + 1;
    if bucket <= 1 << SUB_BITS {
        return bucket << UNIT_SHIFT;
    }
    let octave = (bucket >> SUB_BITS) - 1;
    let units = ((1 << SUB_BITS) + (bucket & ((1 << SUB_BITS) - 1))) << octave;
    units << UNIT_SHIFT
}
