//! One request of a caller, from its first send to its answer.
//!
//! A request over many shards and one to a single searcher differ only in the number of pools
//! and in how many of them must answer.

use std::time::Duration;

use crate::Time;
use crate::config::RepeatPolicy;
use crate::fleet::Choice;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;
use crate::fleet::SearcherKey;
use crate::retry_after::Refusal;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Plan {
    /// One pool for each shard.
    pub pools: Vec<PoolKey>,
    /// Fewest shards in an answer.
    pub min_shards: usize,
    /// Most searchers of one pool that it may run at.
    pub max_attempts: u32,
    /// Whether it may run more than once.
    pub repeat: RepeatPolicy,
    /// Delay after which a shard counts as a straggler.
    pub hedge_delay: Duration,
    /// When an answer that covers enough is given without the stragglers.
    pub cutoff: Time,
    /// When the request ends, answered or not.
    pub deadline: Time,
}

/// A send to a searcher.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedAttempt {
    /// Index of the shard.
    pub shard: usize,
    /// The searcher.
    pub searcher: Choice,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With an answer that counts.
    Answer,
    /// Nothing was sent: no connection.
    NotSent,
    /// The searcher says that it did not run it.
    Refused,
    /// The searcher ran it and failed.
    Failed,
    /// It may have run: the connection broke, or there was no sound answer.
    Unknown,
}

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It has not run anywhere and never will.
    NotRun,
    /// A searcher ran it and failed.
    Failed,
    /// It may have run; what came back is no answer.
    Unknown,
    /// It may have run; time is up.
    Timeout,
}

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits for an answer or for this time.
    Wait(Time),
    /// The shards that have answered make the answer.
    Answer,
    /// There will be no answer.
    Fail(Failure),
}

/// Sends beyond the attempts that are tried while searchers refuse or can't be reached.
const SPARE_TRIES: u32 = 2;

/// Share of the shards up to which stragglers are hedged. If more are late, the cause is
/// not a straggler and more load would not help.
const STRAGGLER_SHARE: f64 = 0.34;

/// Pause before a hedge that the budget refused is tried again.
const HEDGE_RETRY: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Shard {
    pool: PoolKey,
    tried: Vec<SearcherKey>,
    /// Sends that may have run or may still run.
    runs: u32,
    waiting: u32,
    hedge_at: Time,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    /// Another daemon asks for it.
    Delegated,
    Answered,
    Lost,
}

/// A request in progress.
#[derive(Debug)]
pub struct Query {
    plan: Plan,
    shards: Vec<Shard>,
    answered: usize,
    lost: usize,
    /// The gravest thing that is known to have happened.
    worst: Failure,
    hedges: u32,
}

impl Query {
    /// A request that has not been sent.
    pub fn new(plan: Plan) -> Query {
        let shards = plan.pools.iter().map(|&pool| Shard {
            pool,
            tried: Vec::new(),
            runs: 0,
            waiting: 0,
            hedge_at: Time::MAX,
            phase: Phase::Open,
        });
        let shards = shards.collect();
        Query { plan, shards, answered: 0, lost: 0, worst: Failure::NotRun, hedges: 0 }
    }

    /// Hedges that were sent.
    pub fn hedge_count(&self) -> u32 {
        self.hedges
    }

    /// Shards that have answered.
    pub fn answered_count(&self) -> usize {
        self.answered
    }

    /// Whether a shard has answered.
    pub fn is_answered(&self, shard: usize) -> bool {
        self.shards[shard].phase == Phase::Answered
    }

    /// Whether each shard has answered or is given up.
    pub fn is_settled(&self) -> bool {
        self.answered + self.lost == self.shards.len()
    }

    /// Shards in all.
    pub fn shard_count(&self) -> usize {
        self.shards.len()
    }

    /// Leaves shards to another daemon.
    pub fn delegate(&mut self, shards: &[usize]) {
        for &shard in shards {
            self.shards[shard].phase = Phase::Delegated;
        }
    }

    /// Takes shards that another daemon has brought.
    pub fn record_relayed(&mut self, shards: &[usize]) {
        for &shard in shards {
            let state = &mut self.shards[shard];
            if state.phase == Phase::Delegated {
                // It was sent, whatever comes of it.
                state.runs = self.plan.max_attempts;
                state.phase = Phase::Answered;
                self.answered += 1;
            }
        }
    }

    /// Gives up shards that another daemon was asked for and has not brought.
    pub fn record_missing(&mut self, shards: &[usize]) {
        for &shard in shards {
            let state = &mut self.shards[shard];
            if state.phase == Phase::Delegated {
                state.runs = self.plan.max_attempts;
                state.phase = Phase::Open;
                self.worst = Failure::Unknown;
                self.lose(shard);
            }
        }
    }

    /// From now on waits for all shards until the limit, and takes any number of them.
    pub fn await_all(&mut self) {
        self.plan.min_shards = 0;
        self.plan.cutoff = Time::MAX;
    }

    /// Takes back shards that another daemon does not ask for. `runs` sends of each may have left;
    /// `extra` takes from the budget of a pool for a further one.
    pub fn take_back<F>(
        &mut self,
        shards: &[usize],
        runs: u32,
        fleet: &mut Fleet,
        mut extra: F,
        now: Time,
    ) -> Vec<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let mut sends = Vec::new();
        for &shard in shards {
            let state = &mut self.shards[shard];
            if state.phase != Phase::Delegated {
                continue;
            }
            state.phase = Phase::Open;
            state.runs = runs;
            let may = runs < self.plan.max_attempts && (runs == 0 || extra(state.pool));
            let sent = if may { self.pick(shard, fleet, now) } else { None };
            match sent {
                Some(send) => sends.push(send),
                None => self.lose(shard),
            }
        }
        sends
    }

    /// The first sends. Nothing is sent if too few shards have a searcher.
    pub fn start(&mut self, fleet: &mut Fleet, now: Time) -> Vec<PlannedAttempt> {
        let mut sends = Vec::with_capacity(self.shards.len());
        for shard in 0..self.shards.len() {
            if self.shards[shard].phase == Phase::Delegated {
                continue;
            }
            match self.pick(shard, fleet, now) {
                Some(send) => sends.push(send),
                None => self.lose(shard),
            }
        }
        if self.shards.len() - self.lost < self.plan.min_shards {
            for send in &sends {
                let state = &mut self.shards[send.shard];
                state.waiting = 0;
                state.runs = 0;
                self.lose(send.shard);
            }
            self.recall();
            sends.clear();
        }
        sends
    }

    /// Takes the end of a send. `extra` takes from the budget of a pool.
    pub fn record_outcome<F>(
        &mut self,
        shard: usize,
        ended: AttemptOutcome,
        fleet: &mut Fleet,
        mut extra: F,
        now: Time,
    ) -> Option<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let state = &mut self.shards[shard];
        state.waiting = state.waiting.saturating_sub(1);
        match ended {
            AttemptOutcome::Answer => {
                if state.phase == Phase::Answered {
                    return None;
                }
                if state.phase == Phase::Lost {
                    self.lost -= 1;
                }
                state.phase = Phase::Answered;
                self.answered += 1;
                return None;
            }
            AttemptOutcome::NotSent | AttemptOutcome::Refused => state.runs -= 1,
            AttemptOutcome::Failed => self.worst = Failure::Failed,
            AttemptOutcome::Unknown => self.worst = Failure::Unknown,
        }
        if state.phase != Phase::Open {
            return None;
        }
        let may = match (self.plan.repeat, ended) {
            (_, AttemptOutcome::NotSent) => true,
            (_, AttemptOutcome::Refused) => extra(state.pool),
            (RepeatPolicy::AtMostOnce, _) => false,
            (RepeatPolicy::Idempotent, _) => {
                state.runs < self.plan.max_attempts && extra(state.pool)
            }
        };
        let tries = self.plan.max_attempts + SPARE_TRIES;
        let may = may && state.tried.len() < tries as usize && state.runs < self.plan.max_attempts;
        if may && let Some(send) = self.pick(shard, fleet, now) {
            return Some(send);
        }
        if self.shards[shard].waiting == 0 {
            self.lose(shard);
        }
        None
    }

    /// Hedges the stragglers. `extra` takes from the budget of a pool.
    pub fn hedge<F>(&mut self, fleet: &mut Fleet, mut extra: F, now: Time) -> Vec<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let mut sends = Vec::new();
        if self.plan.repeat == RepeatPolicy::AtMostOnce {
            return sends;
        }
        let late = self.shards.iter().filter(|it| it.phase == Phase::Open).count();
        let few = (self.shards.len() as f64 * STRAGGLER_SHARE).ceil() as usize;
        for shard in 0..self.shards.len() {
            let state = &mut self.shards[shard];
            if state.phase != Phase::Open || state.hedge_at > now {
                continue;
            }
            if late > few {
                state.hedge_at = now + HEDGE_RETRY;
                continue;
            }
            if state.runs >= self.plan.max_attempts {
                state.hedge_at = Time::MAX;
                continue;
            }
            let patience = self.plan.hedge_delay;
            if fleet.choose(state.pool, &state.tried, patience, now).is_none() {
                state.hedge_at = Time::MAX;
                continue;
            }
            if !extra(state.pool) {
                state.hedge_at = now + HEDGE_RETRY;
                continue;
            }
            if let Some(send) = self.pick(shard, fleet, now) {
                self.hedges += 1;
                sends.push(send);
            }
        }
        sends
    }

    /// Why the request has not run.
    pub fn refusal(&self, fleet: &Fleet) -> Refusal {
        let served = self.shards.iter().filter(|shard| fleet.has_ready(shard.pool)).count();
        if served < self.plan.min_shards { Refusal::Unserved } else { Refusal::Busy }
    }

    /// Where the request stands.
    pub fn verdict(&self, now: Time) -> Verdict {
        let shards = self.shards.len();
        let enough = self.answered >= self.plan.min_shards;
        if self.answered + self.lost == shards && enough {
            return Verdict::Answer;
        }
        if shards - self.lost < self.plan.min_shards {
            return Verdict::Fail(self.failure());
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
        Verdict::Wait(hedge.min(cutoff).min(self.plan.deadline))
    }

    /// Why there is no answer. A refusal must be true: it stands only if no send is left that
    /// may have run.
    fn failure(&self) -> Failure {
        let idle = |shard: &Shard| shard.runs == 0 && shard.phase != Phase::Delegated;
        let quiet = self.answered == 0 && self.shards.iter().all(idle);
        match self.worst {
            Failure::NotRun if !quiet => Failure::Unknown,
            worst => worst,
        }
    }

    fn pick(&mut self, shard: usize, fleet: &mut Fleet, now: Time) -> Option<PlannedAttempt> {
        let hedge_delay = self.plan.hedge_delay;
        let state = &mut self.shards[shard];
        let searcher = fleet.choose(state.pool, &state.tried, hedge_delay, now)?;
        state.tried.push(searcher.key);
        state.runs += 1;
        state.waiting += 1;
        state.hedge_at = now + hedge_delay;
        Some(PlannedAttempt { shard, searcher })
    }

    /// Nothing has been left to another daemon yet, and nothing will be.
    fn recall(&mut self) {
        for shard in 0..self.shards.len() {
            if self.shards[shard].phase == Phase::Delegated {
                self.shards[shard].phase = Phase::Open;
                self.lose(shard);
            }
        }
    }

    fn lose(&mut self, shard: usize) {
        let state = &mut self.shards[shard];
        if state.phase == Phase::Open {
            state.phase = Phase::Lost;
            self.lost += 1;
        }
    }
}
