//! The end of a query and its answer.

use std::time::Duration;

use rand::Rng;

use super::AttemptState;
use super::Context;
use super::Progress;
use super::Query;
use super::Ran;
use super::Status;
use crate::event::Action;
use crate::event::Answer;
use crate::event::CoveredShard;
use crate::event::Mode;
use crate::event::Outcome;
use crate::event::Reason;
use crate::event::UncoveredShard;
use tt_model::ResultCode;

/// Why a query ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndReason {
    /// Every sub-query is covered or given up.
    Resolved,
    /// The deadline, less the margin for the answer, is reached.
    Deadline,
    /// The class prefers an answer now to the results of the remaining shards.
    Early,
    /// The caller cancelled the query.
    Cancelled,
}

impl<T> Query<T> {
    /// Ends the query: cancels the attempts in flight and issues the answer.
    pub(super) fn finish<R>(&mut self, end: EndReason, ctx: &mut Context<'_, T, R>) -> Status
    where
        R: Rng,
    {
        let mut covered = Vec::with_capacity(self.covered);
        let mut uncovered = Vec::new();
        for sub_query in 0..self.sub_queries.len() as u32 {
            let in_flight = self.sub_queries[sub_query as usize].in_flight > 0;
            if in_flight {
                self.ran = Ran::Maybe;
                self.cancel_in_flight(sub_query, ctx);
            }
            let placeholder = Progress::Uncovered(Reason::TimedOut);
            let state = &mut self.sub_queries[sub_query as usize];
            let shard = state.shard;
            match std::mem::replace(&mut state.progress, placeholder) {
                Progress::Covered { searcher, body } => {
                    covered.push(CoveredShard { shard, searcher, body });
                }
                Progress::Uncovered(reason) => uncovered.push(UncoveredShard { shard, reason }),
                Progress::Open => {
                    let reason = match end {
                        EndReason::Cancelled => Reason::Cancelled,
                        _ if !in_flight => self.uncovered_reason(sub_query),
                        EndReason::Early => Reason::LeftOut,
                        EndReason::Deadline | EndReason::Resolved => Reason::TimedOut,
                    };
                    uncovered.push(UncoveredShard { shard, reason });
                }
            }
        }
        uncovered.extend(
            self.absent.iter().map(|&shard| UncoveredShard { shard, reason: Reason::Absent }),
        );
        let outcome = match end {
            EndReason::Cancelled => Outcome::Cancelled,
            EndReason::Resolved | EndReason::Deadline | EndReason::Early => {
                self.outcome(covered.len(), &uncovered)
            }
        };
        ctx.out.push(Action::Finish(Answer {
            query: self.key,
            outcome,
            snapshot: self.snapshot,
            covered,
            uncovered,
            attempts: self.counts,
            elapsed: ctx.now.saturating_duration_since(self.started),
        }));
        Status::Finished
    }

    /// Whether to answer early: enough shards are covered, and the attempts in flight for the
    /// others are so late that replies before the deadline are unlikely.
    pub(super) fn is_early_answer_due<R>(&self, ctx: &Context<'_, T, R>) -> bool
    where
        R: Rng,
    {
        let min_covered =
            (self.sub_queries.len() as f64 * ctx.settings.early_coverage_ratio).ceil() as usize;
        if self.covered < min_covered.max(1) {
            return false;
        }
        let now = self.offset(ctx.now);
        self.sub_queries.iter().zip(0..).all(|(sub_query, index)| {
            !matches!(sub_query.progress, Progress::Open)
                || self
                    .attempts_of(index)
                    .filter(|attempt| attempt.state == AttemptState::InFlight)
                    .all(|attempt| {
                        let waited =
                            Duration::from_micros(u64::from(now.saturating_sub(attempt.sent)));
                        ctx.view.is_overdue(attempt.searcher, waited)
                    })
        })
    }

    fn outcome(&self, covered: usize, uncovered: &[UncoveredShard]) -> Outcome {
        if uncovered.is_empty() {
            return match self.mode {
                Mode::Idempotent => Outcome::Complete,
                Mode::AtMostOnce => Outcome::Done,
            };
        }
        if self.ran == Ran::No {
            let code = match () {
                () if uncovered.iter().any(|shard| shard.reason == Reason::Overloaded) => {
                    ResultCode::Overloaded
                }
                () if uncovered.iter().any(|shard| shard.reason == Reason::SnapshotGone) => {
                    ResultCode::NoSnapshot
                }
                () => ResultCode::NoReplica,
            };
            return Outcome::NotRun(code);
        }
        match self.mode {
            Mode::AtMostOnce => Outcome::Unknown,
            Mode::Idempotent if covered > 0 => Outcome::Partial,
            Mode::Idempotent => Outcome::NoAnswer,
        }
    }
}
