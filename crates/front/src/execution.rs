//! Runs one request from its first attempts to its verdict.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout_at;

use crate::attempt::Attempt;
use crate::attempt::AttemptReport;
use crate::attempt::OutgoingRequest;
use crate::attempt::RequestKind;
use crate::entry::ActiveConfig;
use crate::entry::Entry;
use crate::parts::Part;
use crate::parts::Replies;
use crate::relay;
use crate::relay::RelayOutcome;
use crate::relay::RelayRequest;
use crate::sync::lock;
use tt_serve::Assignment;
use tt_serve::AttemptOutcome;
use tt_serve::ContentKey;
use tt_serve::Delegation;
use tt_serve::Effect;
use tt_serve::EntryShare;
use tt_serve::Member;
use tt_serve::Plan;
use tt_serve::PlannedAttempt;
use tt_serve::PoolKey;
use tt_serve::PoolRole;
use tt_serve::Query;
use tt_serve::RegionRule;
use tt_serve::RelayScope;
use tt_serve::Time;
use tt_serve::Trust;
use tt_serve::Verdict;
use tt_serve::assign;

/// Token of the next attempt, by which the fleet identifies it.
static NEXT_TOKEN: AtomicU64 = AtomicU64::new(0);

/// Number of searchers that have ended under a running request from which it is a suspect. One may
/// end by itself.
const MIN_ENDED_TO_TELL: u32 = 2;

/// Argument `rotation` of the next call of [`assign`]; spreads delegated shards over the daemons of
/// a failure domain.
static NEXT_RELAY_ROTATION: AtomicUsize = AtomicUsize::new(0);

/// A request that has not started yet, with its plan.
#[derive(Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) entry: Arc<Entry>,
    /// Stays the same for the whole request, so that all shards of an answer are those of one
    /// version.
    pub(crate) active_config: Arc<ActiveConfig>,
    pub(crate) outgoing: Arc<OutgoingRequest>,
    pub(crate) plan: Plan,
    /// Digest of the shards of the whole query; 0 if it queries one searcher.
    pub(crate) shards_digest: u64,
    /// The regions whose searchers may run it.
    pub(crate) regions: RegionRule,
    /// For each shard of the plan its index in the whole query, by which other daemons name it.
    /// `None` if the plan covers the whole query.
    pub(crate) query_indices: Option<Arc<[u32]>>,
}

/// A request whose first attempts have started.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    planned: PlannedRequest,
    /// For each shard, whether this daemon owns it in its failure domain. Empty if ownership does
    /// not apply.
    owned: Vec<bool>,
    sender: UnboundedSender<Event>,
    events: UnboundedReceiver<Event>,
    pub(crate) query: Query,
    pub(crate) replies: Replies,
    /// Whether the request was recorded as a suspect while it runs.
    told: bool,
}

/// What the tasks of a request report to it.
#[derive(Debug)]
pub(crate) enum Event {
    /// An attempt at a searcher has ended.
    AttemptEnded(AttemptReport),
    /// A relay has returned the answers of some shards.
    PartReceived(Part),
    /// A relay has sent a shard to no searcher, and will not.
    ShardUnsent {
        shard: usize,
        /// Time until one of its searchers accepts a request again; zero if that is not known.
        wait: Duration,
    },
    /// Further searchers have ended under the shards that a relay was left.
    SearchersEnded(u32),
    /// A relay returns no more of these shards.
    RelayEnded {
        /// All shards that were delegated to it.
        shards: Vec<usize>,
        /// What the relay did.
        outcome: RelayOutcome,
    },
}

impl PlannedRequest {
    /// Starts the first attempts, and delegates shards to daemons within `scope`.
    pub(crate) fn start(self, scope: RelayScope) -> RunningRequest {
        let Assignment { delegations, owned } = self.assignment(scope);
        let delegated =
            |shard: &usize| delegations.iter().any(|delegation| delegation.shards.contains(shard));
        let direct = (0..self.plan.pools.len()).filter(|shard| !delegated(shard));
        let direct: Vec<PoolKey> = direct.map(|shard| self.plan.pools[shard]).collect();
        self.entry.count_requests(&direct);
        let mut query = Query::new(self.plan.clone());
        query.set_owned(&owned);
        query.set_work(self.entry.expected_work(&self.outgoing));
        query.set_domains(self.entry.allowed_domains(&self.regions));
        for delegation in &delegations {
            query.delegate(&delegation.shards);
        }
        let (sender, events) = mpsc::unbounded_channel();
        let first_attempts = query.start(&mut lock(&self.entry.fleet), self.entry.now());
        if !matches!(query.verdict(self.entry.now()), Verdict::Fail(_)) {
            self.delegate(delegations, &sender);
        }
        let replies = Replies::default();
        let running =
            RunningRequest { planned: self, owned, sender, events, query, replies, told: false };
        running.start_attempts(first_attempts);
        running
    }

    fn assignment(&self, scope: RelayScope) -> Assignment {
        if self.outgoing.kind == RequestKind::One {
            return Assignment { delegations: Vec::new(), owned: Vec::new() };
        }
        let entry = &self.entry;
        let domains = entry.allowed_domains(&self.regions);
        if domains.as_ref().is_some_and(BTreeSet::is_empty) {
            // No searcher may run it, so no relay can.
            return Assignment {
                delegations: Vec::new(),
                owned: vec![false; self.plan.pools.len()],
            };
        }
        let now = entry.now();
        let rotation = NEXT_RELAY_ROTATION.fetch_add(1, Ordering::Relaxed);
        let EntryShare { capacity, role, .. } = entry.share();
        let members = lock(&entry.members);
        // The body is sent to the relay, which asks the searchers of its own domain.
        let is_allowed = |member: &&Member| {
            let domain = &member.vm.domain;
            *domain == entry.vm.domain || domains.as_ref().is_none_or(|it| it.contains(domain))
        };
        let digest = self.active_config.table.shards_digest;
        let mut relays: Vec<&Member> =
            members.relay_candidates(digest, now).filter(is_allowed).collect();
        let role = capacity.select_relays(&mut relays, &entry.vm.domain, role);
        let fleet = lock(&entry.fleet);
        assign(&self.plan.pools, &fleet, &entry.vm, &relays, role, scope, rotation, now)
    }

    fn delegate(&self, delegations: Vec<Delegation>, sender: &UnboundedSender<Event>) {
        for Delegation { relay, shards, scope } in delegations {
            let request = RelayRequest {
                entry: self.entry.clone(),
                outgoing: self.outgoing.clone(),
                version: self.active_config.table.version,
                max_attempts: self.plan.max_attempts,
                shards_digest: self.shards_digest,
                regions: self.regions.clone(),
                cutoff: self.plan.cutoff,
                deadline: self.plan.deadline,
                relay,
                shards,
                query_indices: self.query_indices.clone(),
                scope,
                events: sender.clone(),
                answered: AtomicBool::new(false),
            };
            tokio::spawn(relay::fetch_shards(request));
        }
    }
}

impl RunningRequest {
    /// Returns the shared state of the daemon.
    pub(crate) fn entry(&self) -> Arc<Entry> {
        self.planned.entry.clone()
    }

    /// What other requests are compared with.
    pub(crate) fn content(&self) -> ContentKey {
        self.planned.outgoing.content
    }

    /// Processes events, hedges and retries until the verdict is final.
    pub(crate) async fn verdict(&mut self) -> Verdict {
        loop {
            match self.query.verdict(self.planned.entry.now()) {
                Verdict::Wait(wake) => self.step(wake).await,
                verdict => return verdict,
            }
        }
    }

    /// Waits for the next event, or until `wake`, and starts the attempts that follow from it.
    pub(crate) async fn step(&mut self, wake: Time) {
        let entry = self.planned.entry.clone();
        let event = timeout_at(entry.clock.instant(wake), self.events.recv()).await;
        let attempts = match event {
            Ok(Some(Event::AttemptEnded(report))) => self.attempt_ended(report),
            Ok(Some(Event::PartReceived(part))) => {
                let shards = part.shards.clone();
                if self.replies.parts.add(part) {
                    self.query.record_relayed(&shards);
                }
                Vec::new()
            }
            Ok(Some(Event::ShardUnsent { shard, wait })) => {
                let now = entry.now();
                // Searchers in other regions may accept other requests.
                if self.planned.regions.allows_all() {
                    let pool = self.planned.plan.pools[shard];
                    lock(&entry.fleet).record_unsent(pool, now + wait, now);
                }
                self.query.record_unsent(shard);
                Vec::new()
            }
            Ok(Some(Event::SearchersEnded(count))) => {
                self.query.record_relayed_ends(count);
                Vec::new()
            }
            Ok(Some(Event::RelayEnded { shards, outcome })) => self.relay_ended(&shards, outcome),
            // Not reached: `self.sender` keeps the channel open.
            Ok(None) => Vec::new(),
            Err(_) => {
                if entry.trust(self.content()) != Ok(Trust::Usual) {
                    self.query.mark_suspect();
                }
                let take_extra = |pool| entry.try_take_extra_attempt(pool);
                self.query.hedge(&mut lock(&entry.fleet), take_extra, entry.now())
            }
        };
        self.start_attempts(attempts);
        self.tell_suspicion();
    }

    /// Tells of a request under which searchers end while it still runs: callers may send others
    /// with the same content meanwhile.
    fn tell_suspicion(&mut self) {
        let (effect, ended) = (self.query.effect(), self.query.ended_count());
        if !self.told && ended >= MIN_ENDED_TO_TELL && effect != Effect::Harmless {
            self.told = true;
            let PlannedRequest { entry, outgoing, .. } = &self.planned;
            entry.record_effect(&outgoing.id, outgoing.content, effect, ended);
        }
    }

    fn attempt_ended(&mut self, report: AttemptReport) -> Vec<PlannedAttempt> {
        let entry = self.planned.entry.clone();
        let AttemptReport { shard, mut outcome, cause, reply } = report;
        self.replies.last_cause = Some(cause);
        match (outcome, reply) {
            (AttemptOutcome::Answer, Some(reply)) => {
                let is_missing = !self.query.is_answered(shard);
                if is_missing && !self.replies.add(shard, reply, self.planned.outgoing.kind) {
                    outcome = AttemptOutcome::Unknown;
                }
            }
            (AttemptOutcome::Failed, Some(reply)) => self.replies.last_failure = Some(reply),
            _ => {}
        }
        let take_extra = |pool| entry.try_take_extra_attempt(pool);
        let mut fleet = lock(&entry.fleet);
        self.query
            .record_outcome(shard, outcome, &mut fleet, take_extra, entry.now())
            .into_iter()
            .collect()
    }

    fn relay_ended(&mut self, shards: &[usize], outcome: RelayOutcome) -> Vec<PlannedAttempt> {
        let entry = &self.planned.entry;
        let runs = match outcome {
            RelayOutcome::Done => {
                self.query.record_missing(shards);
                return Vec::new();
            }
            RelayOutcome::Refused => {
                let pool = |shard: &usize| self.planned.plan.pools[*shard];
                entry.count_requests(&shards.iter().map(pool).collect::<Vec<PoolKey>>());
                0
            }
            RelayOutcome::Unknown { runs } => runs,
        };
        let take_extra = |pool| entry.try_take_extra_attempt(pool);
        self.query.take_back(shards, runs, &mut lock(&entry.fleet), take_extra, entry.now())
    }

    fn start_attempts(&self, attempts: Vec<PlannedAttempt>) {
        let PlannedRequest { entry, active_config, outgoing, plan, .. } = &self.planned;
        let share = entry.share();
        let now = entry.now();
        let connection_ratio = entry.settings.connection_ratio;
        for PlannedAttempt { shard, searcher, kind } in attempts {
            let token = NEXT_TOKEN.fetch_add(1, Ordering::Relaxed);
            lock(&entry.fleet).record_sent(searcher.key, token, self.query.work(), now);
            let role = match self.owned.get(shard) {
                None => PoolRole::Equal,
                Some(true) => PoolRole::Owner,
                Some(false) => PoolRole::NonOwner,
            };
            let attempt = Attempt {
                entry: entry.clone(),
                outgoing: outgoing.clone(),
                shard,
                max_connections: active_config.table.max_connections(
                    plan.pools[shard],
                    &share,
                    role,
                    connection_ratio,
                ),
                searcher,
                kind,
                token,
                events: self.sender.clone(),
            };
            tokio::spawn(attempt.run());
        }
    }
}
