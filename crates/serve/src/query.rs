//! The state machine of one request, from its first attempts to its verdict.
//!
//! A request over many shards and a request to a single searcher differ only in the number of
//! pools and in how many of them must answer.

mod pace;

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Time;
use crate::config::RepeatPolicy;
use crate::fleet::AttemptKind;
use crate::fleet::AttemptSpec;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;
use crate::fleet::SearcherKey;
use crate::retry_after::Refusal;
use crate::routes::PoolRole;

pub use pace::Effect;

/// The parameters of a request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// One pool for each shard.
    pub pools: Vec<PoolKey>,
    /// Minimum number of shards in an answer.
    pub min_shards: usize,
    /// Maximum number of searchers of one pool at which it may run.
    pub max_attempts: u32,
    /// Whether it may run more than once.
    pub repeat: RepeatPolicy,
    /// Delay after an attempt from which its shard counts as a straggler.
    pub hedge_delay: Duration,
    /// From then on an answer with `min_shards` is given without waiting for the stragglers.
    pub cutoff: Time,
    /// When the request fails if it has not been answered.
    pub deadline: Time,
    /// How much may be sent at once.
    pub trust: Trust,
}

/// How much of a request may be sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// All its shards.
    Usual,
    /// One attempt, until a searcher has survived it: others have ended under earlier requests with
    /// the same content.
    Trial,
    /// All of them, for another daemon that has the whole request.
    Delegated,
}

/// An attempt that is to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedAttempt {
    /// Index of the shard in the query.
    pub shard: usize,
    /// The searcher to send it to.
    pub searcher: Choice,
    /// Whether it is the first one of its shard.
    pub kind: AttemptKind,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The searcher gave a valid answer.
    Answer,
    /// Nothing was sent, since there was no connection.
    NotSent,
    /// The searcher refused it and did not run it.
    Refused,
    /// The searcher ran it and failed.
    Failed,
    /// It may have run: the connection broke, or there was no valid answer.
    Unknown,
    /// It may have run, and its searcher has ended meanwhile.
    Ended,
}

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It has not run at any searcher and will not run.
    NotRun,
    /// A searcher ran it and failed.
    Failed,
    /// It may have run, but no searcher gave a valid answer.
    Unknown,
    /// It may have run, but was not answered before its deadline.
    Timeout,
}

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits for an event, until this time at the latest.
    Wait(Time),
    /// It is answered with the shards that have answered so far.
    Answer,
    /// It fails.
    Fail(Failure),
}

/// Attempts of one shard beyond `max_attempts` that may be made while searchers refuse or can't be
/// reached.
const MAX_SPARE_ATTEMPTS: u32 = 2;

/// Share of the shards up to which stragglers are hedged. If more are late, the cause is not a
/// single searcher, and more load would not help.
const MAX_STRAGGLER_RATIO: f64 = 0.34;

/// Delay before a hedge that was held back is tried again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Shard {
    pool: PoolKey,
    /// The role of this daemon for the pool.
    role: PoolRole,
    tried: Vec<SearcherKey>,
    /// Attempts that may have run or may still run.
    runs: u32,
    /// Attempts in flight.
    in_flight: u32,
    /// When the next hedge is due.
    hedge_at: Time,
    /// When an attempt that was held back is due; [`Time::MAX`] if there is none.
    resume_at: Time,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It waits for an answer to its attempts.
    Open,
    /// It is left to a relay.
    Delegated,
    Answered,
    /// It is given up, unless an attempt in flight is still answered.
    Failed,
}

/// A request in progress.
#[derive(Debug)]
pub struct Query {
    plan: Plan,
    /// Expected work of each shard, if it is known.
    work: Option<Duration>,
    shards: Vec<Shard>,
    answered: usize,
    failed: usize,
    /// The failure domains whose searchers may run it; `None` if any may.
    domains: Option<BTreeSet<String>>,
    /// The last failure that rules out [`Failure::NotRun`]; `NotRun` if there was none.
    failure: Failure,
    hedges: u32,
    /// Whether searchers have ended under requests with the same content.
    suspected: bool,
    /// Searchers that have ended under it.
    ended: u32,
    /// Whether a searcher has run it to an end.
    survived: bool,
    /// Shard of the attempt that is made alone, since searchers have ended under it.
    probe: Option<usize>,
    /// Whether a searcher has ended under such an attempt.
    deadly: bool,
}

impl Query {
    /// Creates the state of a request without any attempts yet.
    pub fn new(plan: Plan) -> Query {
        let shards = plan.pools.iter().map(|&pool| Shard {
            pool,
            role: PoolRole::Equal,
            tried: Vec::new(),
            runs: 0,
            in_flight: 0,
            hedge_at: Time::MAX,
            resume_at: Time::MAX,
            phase: Phase::Open,
        });
        let shards = shards.collect();
        let suspected = plan.trust == Trust::Trial;
        Query {
            plan,
            work: None,
            shards,
            answered: 0,
            failed: 0,
            failure: Failure::NotRun,
            domains: None,
            hedges: 0,
            suspected,
            ended: 0,
            survived: false,
            probe: None,
            deadly: false,
        }
    }

    /// Number of hedges so far.
    pub fn hedge_count(&self) -> u32 {
        self.hedges
    }

    /// Number of shards that have answered.
    pub fn answered_count(&self) -> usize {
        self.answered
    }

    /// Whether a shard has answered.
    pub fn is_answered(&self, shard: usize) -> bool {
        self.shards[shard].phase == Phase::Answered
    }

    /// Whether each shard has answered or has failed.
    pub fn all_shards_ended(&self) -> bool {
        self.answered + self.failed == self.shards.len()
    }

    /// Number of shards of the query.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Sets for each shard whether this daemon owns it in its failure domain. To be called before
    /// [`Query::start`] if ownership applies.
    pub fn set_owned(&mut self, owned: &[bool]) {
        for (shard, &owned) in self.shards.iter_mut().zip(owned) {
            shard.role = if owned { PoolRole::Owner } else { PoolRole::NonOwner };
        }
    }

    /// Sets the expected work of each shard. To be called before [`Query::start`] if it is known.
    pub fn set_work(&mut self, work: Option<Duration>) {
        self.work = work;
    }

    /// The expected work of each shard, if it is known.
    pub fn work(&self) -> Option<Duration> {
        self.work
    }

    /// Allows only searchers in these failure domains; `None` allows any. To be called before
    /// [`Query::start`].
    pub fn set_domains(&mut self, domains: Option<BTreeSet<String>>) {
        self.domains = domains;
    }

    /// Leaves shards to a relay. To be called before [`Query::start`].
    pub fn delegate(&mut self, shards: &[usize]) {
        for &shard in shards {
            self.shards[shard].phase = Phase::Delegated;
        }
    }

    /// Records delegated shards whose answers a relay has returned.
    pub fn record_relayed(&mut self, shards: &[usize]) {
        for &shard in shards {
            let state = &mut self.shards[shard];
            if state.phase == Phase::Delegated {
                // The relay has sent it, so it may have run.
                state.runs = self.plan.max_attempts;
                state.phase = Phase::Answered;
                self.answered += 1;
                self.survived = true;
            }
        }
    }

    /// Records that a relay has sent a delegated shard to no searcher; the shard fails.
    pub fn record_unsent(&mut self, shard: usize) {
        if self.shards[shard].phase == Phase::Delegated {
            self.shards[shard].phase = Phase::Open;
            self.fail(shard);
        }
    }

    /// The shards that were sent to no searcher. Empty until each shard has answered or has failed.
    pub fn unsent_shards(&self) -> Vec<usize> {
        if !self.all_shards_ended() {
            return Vec::new();
        }
        let is_unsent =
            |shard: &Shard| shard.phase == Phase::Failed && shard.runs == 0 && shard.in_flight == 0;
        (0..self.shards.len()).filter(|&shard| is_unsent(&self.shards[shard])).collect()
    }

    /// Time until a searcher of a shard accepts a request of this daemon; `None` if that is not
    /// known.
    pub fn shard_wait(&self, shard: usize, fleet: &Fleet, now: Time) -> Option<Duration> {
        let Shard { pool, role, .. } = &self.shards[shard];
        fleet.pool_wait_within(*pool, *role, self.domains.as_ref(), now)
    }

    /// Records that the relay has finished without the answers of these shards; they fail.
    pub fn record_missing(&mut self, shards: &[usize]) {
        for &shard in shards {
            let state = &mut self.shards[shard];
            if state.phase == Phase::Delegated {
                state.runs = self.plan.max_attempts;
                state.phase = Phase::Open;
                self.failure = Failure::Unknown;
                self.fail(shard);
            }
        }
    }

    /// From now on waits for all shards until the deadline and accepts any number of answers.
    pub fn await_all(&mut self) {
        self.plan.min_shards = 0;
        self.plan.cutoff = Time::MAX;
    }

    /// Takes back delegated shards from a relay that failed, and returns the attempts to send. The
    /// relay may have made `runs` attempts of each shard. `take_extra` takes a further attempt
    /// from the retry budget of a pool.
    pub fn take_back<F>(
        &mut self,
        shards: &[usize],
        runs: u32,
        fleet: &mut Fleet,
        mut take_extra: F,
        now: Time,
    ) -> Vec<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let mut attempts = Vec::new();
        for &shard in shards {
            let state = &mut self.shards[shard];
            if state.phase != Phase::Delegated {
                continue;
            }
            state.phase = Phase::Open;
            state.runs = runs;
            let allowed = runs < self.plan.max_attempts
                && self.has_candidate(shard, fleet, now)
                && (runs == 0 || take_extra(self.shards[shard].pool));
            let attempt = if allowed { self.plan_attempt(shard, fleet, now) } else { None };
            match attempt {
                Some(attempt) => attempts.push(attempt),
                None => self.fail(shard),
            }
        }
        attempts
    }

    /// Returns the first attempts. There are none if too few shards have a searcher: the request
    /// then fails at once.
    pub fn start(&mut self, fleet: &mut Fleet, now: Time) -> Vec<PlannedAttempt> {
        let mut attempts = Vec::with_capacity(self.shards.len());
        for shard in 0..self.shards.len() {
            if self.shards[shard].phase == Phase::Delegated {
                continue;
            }
            if self.plan.trust == Trust::Trial {
                self.shards[shard].resume_at = now;
                continue;
            }
            match self.plan_attempt(shard, fleet, now) {
                Some(attempt) => attempts.push(attempt),
                None => self.fail(shard),
            }
        }
        // Only first attempts are due, which take nothing from a retry budget.
        attempts.extend(self.resume(fleet, &mut |_| true, now));
        // A relay would send these to no searcher.
        let is_unsent = |it: &&Shard| it.phase == Phase::Delegated && fleet.is_unsent(it.pool, now);
        let unsent = self.shards.iter().filter(is_unsent).count();
        if self.shards.len() - self.failed - unsent < self.plan.min_shards {
            for attempt in &attempts {
                fleet.put_back_send(attempt.searcher.key, attempt.kind);
                let state = &mut self.shards[attempt.shard];
                state.in_flight = 0;
                state.runs = 0;
                self.fail(attempt.shard);
            }
            self.fail_delegated();
            attempts.clear();
        }
        attempts
    }

    /// Records the outcome of an attempt and returns a retry to send, if one is allowed.
    /// `take_extra` takes a further attempt from the retry budget of a pool.
    pub fn record_outcome<F>(
        &mut self,
        shard: usize,
        outcome: AttemptOutcome,
        fleet: &mut Fleet,
        mut take_extra: F,
        now: Time,
    ) -> Option<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let state = &mut self.shards[shard];
        state.in_flight = state.in_flight.saturating_sub(1);
        if outcome == AttemptOutcome::Ended {
            self.record_end(shard);
        }
        if self.probe == Some(shard) {
            self.probe = None;
        }
        let state = &mut self.shards[shard];
        match outcome {
            AttemptOutcome::Answer => {
                self.survived = true;
                if state.phase == Phase::Answered {
                    return None;
                }
                if state.phase == Phase::Failed {
                    self.failed -= 1;
                }
                state.phase = Phase::Answered;
                self.answered += 1;
                return None;
            }
            AttemptOutcome::NotSent | AttemptOutcome::Refused => state.runs -= 1,
            AttemptOutcome::Failed => {
                self.survived = true;
                self.failure = Failure::Failed;
            }
            AttemptOutcome::Unknown | AttemptOutcome::Ended => self.failure = Failure::Unknown,
        }
        if state.phase != Phase::Open {
            return None;
        }
        if self.is_suspect() && self.plan.repeat == RepeatPolicy::Idempotent {
            self.shards[shard].resume_at = now;
            return self.resume(fleet, &mut take_extra, now).pop();
        }
        let pool = self.shards[shard].pool;
        let has_attempt = self.has_attempt(shard);
        // Nothing is taken from the budget if no searcher accepts the attempt.
        let allowed = has_attempt
            && self.has_candidate(shard, fleet, now)
            && match (self.plan.repeat, outcome) {
                (_, AttemptOutcome::NotSent) => true,
                (_, AttemptOutcome::Refused) => take_extra(pool),
                (RepeatPolicy::AtMostOnce, _) => false,
                (RepeatPolicy::Idempotent, _) => take_extra(pool),
            };
        if allowed && let Some(attempt) = self.plan_attempt(shard, fleet, now) {
            return Some(attempt);
        }
        if self.shards[shard].in_flight == 0 {
            self.fail(shard);
        }
        None
    }

    /// Returns hedges of the stragglers to send. `take_extra` takes a further attempt from the
    /// retry budget of a pool.
    pub fn hedge<F>(
        &mut self,
        fleet: &mut Fleet,
        mut take_extra: F,
        now: Time,
    ) -> Vec<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let mut attempts = self.resume(fleet, &mut take_extra, now);
        if self.plan.repeat == RepeatPolicy::AtMostOnce {
            return attempts;
        }
        let late = self.shards.iter().filter(|it| it.phase == Phase::Open).count();
        let max_late = match self.survived {
            true => (self.shards.len() as f64 * MAX_STRAGGLER_RATIO).ceil() as usize,
            // If none of several searchers has answered, the cause is not a single one either.
            false => 1,
        };
        let is_suspect = self.is_suspect();
        for shard in 0..self.shards.len() {
            let state = &mut self.shards[shard];
            if state.phase != Phase::Open || state.hedge_at > now {
                continue;
            }
            if late > max_late || is_suspect {
                state.hedge_at = now + HEDGE_RETRY_DELAY;
                continue;
            }
            if state.runs >= self.plan.max_attempts {
                state.hedge_at = Time::MAX;
                continue;
            }
            let pool = state.pool;
            if !self.has_candidate(shard, fleet, now) {
                self.shards[shard].hedge_at = Time::MAX;
                continue;
            }
            if !take_extra(pool) {
                self.shards[shard].hedge_at = now + HEDGE_RETRY_DELAY;
                continue;
            }
            if let Some(attempt) = self.plan_attempt(shard, fleet, now) {
                self.hedges += 1;
                attempts.push(attempt);
            }
        }
        attempts
    }

    /// Why the request has not run.
    pub fn refusal(&self, fleet: &Fleet, now: Time) -> Refusal {
        let domains = self.domains.as_ref();
        let wait = |shard: &Shard| fleet.pool_wait_within(shard.pool, shard.role, domains, now);
        let mut waits: Vec<Duration> = self.shards.iter().filter_map(wait).collect();
        waits.sort_unstable();
        // The request can run once `min_shards` accept one.
        let last = self.plan.min_shards.saturating_sub(1);
        match waits.get(last) {
            None => Refusal::Unserved,
            Some(wait) if wait.is_zero() => Refusal::Busy,
            Some(&wait) => Refusal::Limited(wait),
        }
    }

    /// The state of the request at the time `now`.
    pub fn verdict(&self, now: Time) -> Verdict {
        let shards = self.shards.len();
        let enough = self.answered >= self.plan.min_shards;
        if self.answered + self.failed == shards && enough {
            return Verdict::Answer;
        }
        if shards - self.failed < self.plan.min_shards {
            return Verdict::Fail(self.final_failure());
        }
        if now >= self.plan.cutoff && enough {
            return Verdict::Answer;
        }
        if now >= self.plan.deadline {
            return Verdict::Fail(Failure::Timeout);
        }
        let open = self.shards.iter().filter(|it| it.phase == Phase::Open);
        let hedge = open.map(|it| it.hedge_at).min().unwrap_or(Time::MAX);
        let cutoff = if enough { self.plan.cutoff } else { Time::MAX };
        let next = hedge.min(self.resume_at());
        Verdict::Wait(next.min(cutoff).min(self.plan.deadline))
    }

    /// Why the request fails. [`Failure::NotRun`] is a promise to the caller, so it is given only
    /// if no attempt may have run or may still run.
    fn final_failure(&self) -> Failure {
        let not_run = |shard: &Shard| shard.runs == 0 && shard.phase != Phase::Delegated;
        let nothing_ran = self.answered == 0 && self.shards.iter().all(not_run);
        match self.failure {
            Failure::NotRun if !nothing_ran => Failure::Unknown,
            failure => failure,
        }
    }

    /// Whether a further attempt of a shard is allowed.
    fn has_attempt(&self, shard: usize) -> bool {
        let state = &self.shards[shard];
        let max_tried = self.plan.max_attempts + MAX_SPARE_ATTEMPTS;
        state.tried.len() < max_tried as usize && state.runs < self.plan.max_attempts
    }

    /// The attempt of a shard for which searchers in `tried` are not chosen again.
    fn attempt_spec<'a>(&'a self, role: PoolRole, tried: &'a [SearcherKey]) -> AttemptSpec<'a> {
        AttemptSpec {
            role,
            work: self.work,
            domains: self.domains.as_ref(),
            tried,
            stall_timeout: self.plan.hedge_delay,
        }
    }

    /// Whether a searcher that was not tried yet accepts an attempt of a shard.
    fn has_candidate(&self, shard: usize, fleet: &mut Fleet, now: Time) -> bool {
        let Shard { pool, role, tried, .. } = &self.shards[shard];
        fleet.choose_for(*pool, &self.attempt_spec(*role, tried), now).is_some()
    }

    /// Plans an attempt of a shard at a searcher that was not tried yet.
    fn plan_attempt(
        &mut self,
        shard: usize,
        fleet: &mut Fleet,
        now: Time,
    ) -> Option<PlannedAttempt> {
        let hedge_delay = self.plan.hedge_delay;
        let Shard { pool, role, ref tried, .. } = self.shards[shard];
        fleet.count_withheld(pool, role, now);
        let searcher = fleet.choose_for(pool, &self.attempt_spec(role, tried), now)?;
        let state = &mut self.shards[shard];
        let kind = match state.tried.is_empty() {
            true => AttemptKind::Primary,
            false => AttemptKind::Extra,
        };
        fleet.take_send(searcher.key, state.role, kind, now);
        state.tried.push(searcher.key);
        state.runs += 1;
        state.in_flight += 1;
        state.hedge_at = match self.plan.repeat {
            RepeatPolicy::Idempotent => now + hedge_delay,
            RepeatPolicy::AtMostOnce => Time::MAX,
        };
        state.resume_at = Time::MAX;
        if self.is_suspect() {
            self.probe = Some(shard);
        }
        Some(PlannedAttempt { shard, searcher, kind })
    }

    /// Fails the delegated shards before anything was sent to a relay.
    fn fail_delegated(&mut self) {
        for shard in 0..self.shards.len() {
            if self.shards[shard].phase == Phase::Delegated {
                self.shards[shard].phase = Phase::Open;
                self.fail(shard);
            }
        }
    }

    /// Marks an open shard as failed.
    fn fail(&mut self, shard: usize) {
        let state = &mut self.shards[shard];
        if state.phase == Phase::Open {
            state.phase = Phase::Failed;
            self.failed += 1;
        }
    }
}
