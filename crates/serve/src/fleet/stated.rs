//! What searchers say of themselves in their answers.

use std::time::Duration;

use super::Fleet;
use super::SearcherKey;
use crate::Time;

/// Interval between two log lines about a limit that stays in force.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// What one answer says of its searcher.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Rate of requests that it accepts from all daemons together.
    pub rate: StatedRate,
}

/// The limit on the rate of requests in one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StatedRate {
    /// The answer names none: the searcher accepts any rate.
    #[default]
    Absent,
    /// Requests a second, finite and not negative.
    PerSecond(f64),
    /// The value can't be read. What is known of the searcher stays.
    Unreadable,
}

/// Whether an attempt is the first one at its shard, for the counts in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt.
    First,
    /// A hedge or retry.
    Extra,
}

/// What a searcher has said of itself so far, and the requests sent since.
#[derive(Debug, Default)]
pub(super) struct Stated {
    limit: Option<StatedLimit>,
}

#[derive(Debug)]
struct StatedLimit {
    per_second: f64,
    /// When an answer last named a limit.
    heard_at: Time,
    reported_at: Time,
    /// First attempts since `reported_at`.
    first_attempts: u32,
    /// Hedges and retries since `reported_at`.
    extra_attempts: u32,
}

impl Stated {
    pub(super) fn count(&mut self, kind: AttemptKind) {
        let Some(limit) = &mut self.limit else { return };
        match kind {
            AttemptKind::First => limit.first_attempts += 1,
            AttemptKind::Extra => limit.extra_attempts += 1,
        }
    }

    /// Applies the answer to a request that was sent at `sent_at`. Returns a log line if something
    /// has changed, and at intervals while a limit is in force.
    fn apply(&mut self, statement: &Statement, sent_at: Time, now: Time) -> Option<String> {
        match (statement.rate, &mut self.limit) {
            (StatedRate::Unreadable, _) => Some("limit=unreadable".to_owned()),
            (StatedRate::Absent, None) => None,
            // An older answer may arrive after a newer one.
            (StatedRate::Absent, Some(limit)) if sent_at < limit.heard_at => None,
            (StatedRate::Absent, Some(limit)) => {
                let line = format!("limit=ended {}", limit.counts(now));
                self.limit = None;
                Some(line)
            }
            (StatedRate::PerSecond(per_second), None) => {
                self.limit = Some(StatedLimit {
                    per_second,
                    heard_at: now,
                    reported_at: now,
                    first_attempts: 0,
                    extra_attempts: 0,
                });
                Some(format!("limit={per_second}"))
            }
            (StatedRate::PerSecond(per_second), Some(limit)) => {
                limit.heard_at = now;
                let changed = limit.per_second != per_second;
                limit.per_second = per_second;
                (changed || limit.reported_at + REPORT_INTERVAL <= now).then(|| {
                    let line = format!("limit={per_second} {}", limit.counts(now));
                    (limit.first_attempts, limit.extra_attempts) = (0, 0);
                    limit.reported_at = now;
                    line
                })
            }
        }
    }
}

impl StatedLimit {
    fn counts(&self, now: Time) -> String {
        format!(
            "first={} extra={} in_ms={}",
            self.first_attempts,
            self.extra_attempts,
            now.saturating_sub(self.reported_at).as_millis()
        )
    }
}

impl Fleet {
    /// Records what an answer says of its searcher. To be called before the attempt `token` is
    /// recorded as ended. Returns a log line if there is something to report.
    pub fn record_statement(
        &mut self,
        key: SearcherKey,
        token: u64,
        statement: &Statement,
        now: Time,
    ) -> Option<String> {
        let tracked = self.searchers.get_mut(&key)?;
        let sent = tracked.outstanding.iter().find(|(other, _)| *other == token);
        let sent_at = sent.map_or(Time::ZERO, |&(_, sent_at)| sent_at);
        tracked.stated.apply(statement, sent_at, now)
    }
}
