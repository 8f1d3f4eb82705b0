//! Tells an outage of the store from calls that the store rejects or loses for one daemon.
//!
//! In an outage registrations lapse although their searchers run, and are written again afterwards.
//! While the store serves any daemon it serves searchers too, and a registration that is removed
//! then is removed for good. So only a time in which no daemon of the tier has read the store
//! counts.
//!
//! A store that has come back from an older copy lacks registrations, too, until they are written
//! again. Its era tells.

use std::time::Duration;

use crate::Time;

/// Time after the store has come back in which operators and searchers write again what it has lost.
/// The platform gives about two seconds.
pub(crate) const REWRITE_PERIOD: Duration = Duration::from_millis(2300);

/// When the store counts as having been down.
#[derive(Debug, Clone, Copy)]
pub struct OutageSettings {
    /// Time between two reads of the store, by any daemon, from which it counts as having been
    /// down. A registration lapses after three heartbeat intervals of its searcher, so in an outage
    /// of two at the earliest. Longer than the time in which another daemon takes over the reads.
    pub min_outage: Duration,
}

impl Default for OutageSettings {
    fn default() -> Self {
        // The platform's heartbeat interval is 1.2 s.
        OutageSettings { min_outage: Duration::from_millis(2400) }
    }
}

/// The reads of the store that this daemon knows of.
#[derive(Debug, Default)]
pub struct OutageDetector {
    /// The latest one.
    read_at: Option<Time>,
    /// The first one after the latest outage, or the first sign of a later era.
    restored_at: Option<Time>,
    /// Era of the store; `None` before the first read.
    era: Option<u64>,
    /// When the latest rise of the era was noticed.
    risen_at: Option<Time>,
}

impl OutageDetector {
    /// Records that a daemon has read the store at the time `read_at`. Returns the length of the
    /// outage that this read ends, if there was one.
    pub fn observe(&mut self, settings: &OutageSettings, read_at: Time) -> Option<Duration> {
        let gap = self.read_at.map_or(Duration::ZERO, |last| read_at.saturating_sub(last));
        self.read_at = self.read_at.max(Some(read_at));
        (gap >= settings.min_outage).then(|| {
            self.restored_at = Some(read_at);
            gap
        })
    }

    /// Records the era of the store in an answer to this daemon, or to another one that tells of it.
    /// Returns the era before if it has risen: the store has come back from an older copy, which
    /// counts as an outage however short it was. An era of 0 is unknown: a daemon that starts tells it.
    pub fn observe_era(&mut self, era: u64, now: Time) -> Option<u64> {
        if era == 0 {
            return None;
        }
        let before = self.era;
        self.era = before.max(Some(era));
        let risen_from = before.filter(|before| *before < era);
        if risen_from.is_some() {
            self.restored_at = Some(now);
            self.risen_at = Some(now);
        }
        risen_from
    }

    /// Whether the store may still lack, at `now`, what it has lost with its era before: that has not
    /// been written again yet.
    pub fn is_rewriting(&self, now: Time) -> bool {
        self.risen_at.is_some_and(|at| now < at + REWRITE_PERIOD)
    }

    /// The latest known era of the store; 0 before the first read.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Records that this daemon has been paused, so that it could not know of reads.
    pub fn forget_reads(&mut self) {
        self.read_at = None;
    }

    /// When the store was first read after the latest outage.
    pub fn restored_at(&self) -> Option<Time> {
        self.restored_at
    }
}
