//! One request from its first send to its verdict.

use std::sync::Arc;
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
use crate::entry::Entry;
use crate::entry::InForce;
use crate::parts::Replies;
use crate::relay;
use crate::relay::Ask;
use crate::relay::Brought;
use crate::sync::lock;
use tt_serve::Delegation;
use tt_serve::Ended;
use tt_serve::Failure;
use tt_serve::Member;
use tt_serve::Plan;
use tt_serve::PoolKey;
use tt_serve::Query;
use tt_serve::Reach;
use tt_serve::Send;
use tt_serve::Verdict;
use tt_serve::delegate;

/// Distinguishes the sends of this process.
static NEXT_TOKEN: AtomicU64 = AtomicU64::new(0);

/// Spreads delegated shards over the daemons that are near to them.
static NEXT_TURN: AtomicUsize = AtomicUsize::new(0);

/// A request with its plan.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) entry: Arc<Entry>,
    /// Pinned: all shards of an answer come from one version.
    pub(crate) in_force: Arc<InForce>,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) plan: Plan,
    /// Number of each shard of the plan in the whole query, if the plan is for a part of it.
    pub(crate) numbers: Option<Arc<[u32]>>,
}

/// What came of the work.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) verdict: Verdict,
    pub(crate) query: Query,
    pub(crate) replies: Replies,
}

/// What a task of the work reports.
#[derive(Debug)]
pub(crate) enum Event {
    /// A send to a searcher has ended.
    Sent(Report),
    /// A daemon that was asked for shards has answered, or not.
    Relayed { shards: Vec<usize>, brought: Brought },
}

impl Work {
    /// Sends, hedges and retries until there is a verdict.
    pub(crate) async fn run(self, reach: Reach) -> Finished {
        let delegations = if self.outgoing.gather { self.delegations(reach) } else { Vec::new() };
        let delegated = |shard: &usize| delegations.iter().any(|it| it.shards.contains(shard));
        let own = (0..self.plan.pools.len()).filter(|shard| !delegated(shard));
        let own: Vec<PoolKey> = own.map(|shard| self.plan.pools[shard]).collect();
        self.entry.count_requests(&own);
        let mut query = Query::new(self.plan.clone());
        for delegation in &delegations {
            query.delegate(&delegation.shards);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let first = query.start(&mut lock(&self.entry.fleet), self.entry.now());
        if !matches!(query.verdict(self.entry.now()), Verdict::Fail(_)) {
            self.ask(delegations, &sender);
        }
        self.send(first, &sender);
        let mut replies = Replies::default();
        let verdict = self.drive(&mut query, &sender, receiver, &mut replies).await;
        Finished { verdict, query, replies }
    }

    fn delegations(&self, reach: Reach) -> Vec<Delegation> {
        let entry = &self.entry;
        let now = entry.now();
        let turn = NEXT_TURN.fetch_add(1, Ordering::Relaxed);
        let version = self.in_force.table.version;
        let members = lock(&entry.members);
        let relays: Vec<&Member> = members.relays(version, now).collect();
        let fleet = lock(&entry.fleet);
        delegate(&self.plan.pools, &fleet, &entry.vm.domain, &relays, reach, turn, now)
    }

    fn ask(&self, delegations: Vec<Delegation>, sender: &UnboundedSender<Event>) {
        for Delegation { relay, shards, reach } in delegations {
            let ask = Ask {
                entry: self.entry.clone(),
                outgoing: self.outgoing.clone(),
                version: self.in_force.table.version,
                cutoff: self.plan.cutoff,
                limit: self.plan.limit,
                relay,
                shards,
                // Its own numbers of the shards, which are those of the whole query.
                numbers: self.numbers.clone(),
                reach,
                events: sender.clone(),
            };
            tokio::spawn(relay::ask(ask));
        }
    }

    fn send(&self, sends: Vec<Send>, sender: &UnboundedSender<Event>) {
        let entry = &self.entry;
        let sharers = entry.sharers();
        let now = entry.now();
        let share = entry.settings.connection_share;
        for Send { shard, to } in sends {
            let token = NEXT_TOKEN.fetch_add(1, Ordering::Relaxed);
            lock(&entry.fleet).sent(to.key, token, now);
            let pool = self.plan.pools[shard];
            let attempt = Attempt {
                entry: entry.clone(),
                outgoing: self.outgoing.clone(),
                shard,
                cap: self.in_force.table.connections(pool, sharers, share),
                to,
                token,
                events: sender.clone(),
            };
            tokio::spawn(attempt.run());
        }
    }

    async fn drive(
        &self,
        query: &mut Query,
        sender: &UnboundedSender<Event>,
        mut events: UnboundedReceiver<Event>,
        replies: &mut Replies,
    ) -> Verdict {
        let entry = &self.entry;
        loop {
            let wake = match query.verdict(entry.now()) {
                Verdict::Wait(wake) => wake,
                verdict => return verdict,
            };
            let extra = |pool| entry.take_extra(pool);
            let more = match timeout_at(entry.clock.at(wake), events.recv()).await {
                Ok(Some(Event::Sent(report))) => self.sent(report, query, replies),
                Ok(Some(Event::Relayed { shards, brought })) => {
                    self.relayed(&shards, brought, query, replies)
                }
                // This function holds a sender, so that the channel stays open.
                Ok(None) => return Verdict::Fail(Failure::Unknown),
                Err(_) => query.hedge(&mut lock(&entry.fleet), extra, entry.now()),
            };
            self.send(more, sender);
        }
    }

    fn sent(&self, report: Report, query: &mut Query, replies: &mut Replies) -> Vec<Send> {
        let entry = &self.entry;
        let Report { shard, mut ended, cause, reply } = report;
        replies.last = Some(cause);
        match (ended, reply) {
            (Ended::Answer, Some(reply)) if !query.is_answered(shard) => {
                if !replies.take(reply, self.outgoing.gather) {
                    ended = Ended::Unknown;
                }
            }
            (Ended::Failed, Some(reply)) => replies.failed = Some(reply),
            _ => {}
        }
        let extra = |pool| entry.take_extra(pool);
        let more = query.ended(shard, ended, &mut lock(&entry.fleet), extra, entry.now());
        more.into_iter().collect()
    }

    fn relayed(
        &self,
        shards: &[usize],
        brought: Brought,
        query: &mut Query,
        replies: &mut Replies,
    ) -> Vec<Send> {
        let entry = &self.entry;
        match brought {
            Brought::Parts { answered, signatures, records } => {
                let answered =
                    if replies.parts.add(&signatures, records) { answered } else { Vec::new() };
                query.returned(shards, &answered);
                Vec::new()
            }
            Brought::Refused => {
                let pools: Vec<PoolKey> = shards.iter().map(|&it| self.plan.pools[it]).collect();
                entry.count_requests(&pools);
                query.take_back(shards, 0, &mut lock(&entry.fleet), entry.now())
            }
            Brought::Unknown { runs } => {
                query.take_back(shards, runs, &mut lock(&entry.fleet), entry.now())
            }
        }
    }
}
