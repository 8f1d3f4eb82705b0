//! One request from its first send to its verdict.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout_at;

use crate::attempt::Attempt;
use crate::attempt::Outgoing;
use crate::attempt::Report;
use crate::entry::ActiveConfig;
use crate::entry::Entry;
use crate::parts::Part;
use crate::parts::Replies;
use crate::relay;
use crate::relay::Ask;
use crate::relay::RelayEnd;
use crate::sync::lock;
use tt_serve::Assignment;
use tt_serve::Delegation;
use tt_serve::Ended;
use tt_serve::Member;
use tt_serve::Plan;
use tt_serve::PoolKey;
use tt_serve::Query;
use tt_serve::Reach;
use tt_serve::Send;
use tt_serve::Time;
use tt_serve::Use;
use tt_serve::Verdict;
use tt_serve::assign;

/// Distinguishes the sends of this process.
static NEXT_TOKEN: AtomicU64 = AtomicU64::new(0);

/// Spreads delegated shards over the daemons that are near to them.
static NEXT_TURN: AtomicUsize = AtomicUsize::new(0);

/// A request with its plan.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) entry: Arc<Entry>,
    /// Pinned: all shards of an answer come from one version.
    pub(crate) active_config: Arc<ActiveConfig>,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) plan: Plan,
    /// Number of each shard of the plan in the whole query, if the plan is for a part of it.
    pub(crate) numbers: Option<Arc<[u32]>>,
}

/// A request whose first sends have left.
#[derive(Debug)]
pub(crate) struct Running {
    work: Work,
    owned: Vec<bool>,
    sender: UnboundedSender<Event>,
    events: UnboundedReceiver<Event>,
    pub(crate) query: Query,
    pub(crate) replies: Replies,
}

/// What a task of the work reports.
#[derive(Debug)]
pub(crate) enum Event {
    /// A send to a searcher has ended.
    Sent(Report),
    /// A daemon has brought shards.
    Arrived(Part),
    /// A daemon brings no more of these shards.
    Ended {
        /// The shards that it was asked for.
        shards: Vec<usize>,
        /// Why.
        end: RelayEnd,
    },
}

impl Work {
    /// Makes the first sends.
    pub(crate) fn start(self, reach: Reach) -> Running {
        let Assignment { delegations, owned } = self.assignment(reach);
        let delegated = |shard: &usize| delegations.iter().any(|it| it.shards.contains(shard));
        let own = (0..self.plan.pools.len()).filter(|shard| !delegated(shard));
        let own: Vec<PoolKey> = own.map(|shard| self.plan.pools[shard]).collect();
        self.entry.count_requests(&own);
        let mut query = Query::new(self.plan.clone());
        for delegation in &delegations {
            query.delegate(&delegation.shards);
        }
        let (sender, events) = mpsc::unbounded_channel();
        let first = query.start(&mut lock(&self.entry.fleet), self.entry.now());
        if !matches!(query.verdict(self.entry.now()), Verdict::Fail(_)) {
            self.ask(delegations, &sender);
        }
        let replies = Replies::default();
        let running = Running { work: self, owned, sender, events, query, replies };
        running.send(first);
        running
    }

    fn assignment(&self, reach: Reach) -> Assignment {
        if !self.outgoing.gather {
            return Assignment { delegations: Vec::new(), owned: Vec::new() };
        }
        let entry = &self.entry;
        let now = entry.now();
        let turn = NEXT_TURN.fetch_add(1, Ordering::Relaxed);
        let members = lock(&entry.members);
        let relays: Vec<&Member> = members.relays(self.active_config.table.version, now).collect();
        let fleet = lock(&entry.fleet);
        assign(&self.plan.pools, &fleet, &entry.vm, &relays, reach, turn, now)
    }

    fn ask(&self, delegations: Vec<Delegation>, sender: &UnboundedSender<Event>) {
        for Delegation { relay, shards, reach } in delegations {
            let ask = Ask {
                entry: self.entry.clone(),
                outgoing: self.outgoing.clone(),
                version: self.active_config.table.version,
                cutoff: self.plan.cutoff,
                limit: self.plan.limit,
                relay,
                shards,
                // Its own numbers of the shards, which are those of the whole query.
                numbers: self.numbers.clone(),
                reach,
                events: sender.clone(),
                answered: AtomicBool::new(false),
            };
            tokio::spawn(relay::ask(ask));
        }
    }
}

impl Running {
    /// The daemon that runs it.
    pub(crate) fn entry(&self) -> Arc<Entry> {
        self.work.entry.clone()
    }

    /// Sends, hedges and retries until there is a verdict.
    pub(crate) async fn verdict(&mut self) -> Verdict {
        loop {
            match self.query.verdict(self.work.entry.now()) {
                Verdict::Wait(wake) => self.step(wake).await,
                verdict => return verdict,
            }
        }
    }

    /// Waits for the next event, or until `wake`, and acts on it.
    pub(crate) async fn step(&mut self, wake: Time) {
        let entry = self.work.entry.clone();
        let event = timeout_at(entry.clock.at(wake), self.events.recv()).await;
        let more = match event {
            Ok(Some(Event::Sent(report))) => self.sent(report),
            Ok(Some(Event::Arrived(part))) => {
                let shards = part.shards.clone();
                if self.replies.parts.add(part) {
                    self.query.arrived(&shards);
                }
                Vec::new()
            }
            Ok(Some(Event::Ended { shards, end })) => self.relay_ended(&shards, end),
            // This object holds a sender, so that the channel stays open.
            Ok(None) => Vec::new(),
            Err(_) => {
                let extra = |pool| entry.try_spend_retry_budget(pool);
                self.query.hedge(&mut lock(&entry.fleet), extra, entry.now())
            }
        };
        self.send(more);
    }

    fn sent(&mut self, report: Report) -> Vec<Send> {
        let entry = self.work.entry.clone();
        let Report { shard, mut ended, cause, reply } = report;
        self.replies.last = Some(cause);
        match (ended, reply) {
            (Ended::Answer, Some(reply)) => {
                let wanted = !self.query.is_answered(shard);
                if wanted && !self.replies.take(shard, reply, self.work.outgoing.gather) {
                    ended = Ended::Unknown;
                }
            }
            (Ended::Failed, Some(reply)) => self.replies.failed = Some(reply),
            _ => {}
        }
        let extra = |pool| entry.try_spend_retry_budget(pool);
        let mut fleet = lock(&entry.fleet);
        self.query.ended(shard, ended, &mut fleet, extra, entry.now()).into_iter().collect()
    }

    fn relay_ended(&mut self, shards: &[usize], end: RelayEnd) -> Vec<Send> {
        let entry = &self.work.entry;
        let runs = match end {
            RelayEnd::Done => {
                self.query.missed(shards);
                return Vec::new();
            }
            RelayEnd::Refused => {
                let pool = |shard: &usize| self.work.plan.pools[*shard];
                entry.count_requests(&shards.iter().map(pool).collect::<Vec<PoolKey>>());
                0
            }
            RelayEnd::Unknown { runs } => runs,
        };
        let extra = |pool| entry.try_spend_retry_budget(pool);
        self.query.take_back(shards, runs, &mut lock(&entry.fleet), extra, entry.now())
    }

    fn send(&self, sends: Vec<Send>) {
        let Work { entry, active_config, outgoing, plan, .. } = &self.work;
        let sharers = entry.sharers();
        let now = entry.now();
        let share = entry.settings.connection_ratio;
        for Send { shard, to } in sends {
            let token = NEXT_TOKEN.fetch_add(1, Ordering::Relaxed);
            lock(&entry.fleet).sent(to.key, token, now);
            let use_of = match self.owned.get(shard) {
                None => Use::Alike,
                Some(true) => Use::Owner,
                Some(false) => Use::Guest,
            };
            let attempt = Attempt {
                entry: entry.clone(),
                outgoing: outgoing.clone(),
                shard,
                max_connections: active_config.table.connections(
                    plan.pools[shard],
                    sharers,
                    use_of,
                    share,
                ),
                to,
                token,
                events: self.sender.clone(),
            };
            tokio::spawn(attempt.run());
        }
    }
}
