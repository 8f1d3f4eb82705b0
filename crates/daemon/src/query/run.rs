//! Runs one query: executes the actions of the router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_stream::StreamExt;

use crate::active_document::ActiveDocument;
use crate::clock;
use crate::node::Destination;
use crate::node::Node;
use crate::peers::ExchangeError;
use crate::query::answer::QueryResult;
use tt_model::ResultCode;
use tt_model::SearcherId;
use tt_model::ServiceId;
use tt_model::Snapshot;
use tt_routing::Action;
use tt_routing::Attempt;
use tt_routing::AttemptKey;
use tt_routing::AttemptOutcome;
use tt_routing::Mode;
use tt_routing::Pressure;
use tt_routing::QueryKey;
use tt_routing::Reply;
use tt_routing::Request;
use tt_routing::Shards;
use tt_rpc::CancelRequest;
use tt_rpc::GatherRequest;
use tt_rpc::Outcome;
use tt_rpc::RunMode;
use tt_rpc::Stage;
use tt_rpc::Sub;
use tt_rpc::SubReply;

/// A query that has passed admission.
#[derive(Debug)]
pub(crate) struct Query {
    /// Unique in this process.
    pub(crate) number: u64,
    pub(crate) document: Arc<ActiveDocument>,
    pub(crate) service: ServiceId,
    pub(crate) shards: Shards,
    pub(crate) mode: Mode,
    pub(crate) deadline: Instant,
    pub(crate) request_id: String,
    pub(crate) text: Bytes,
}

/// The state of a running query.
struct Run<'a> {
    node: &'a Arc<Node>,
    query: &'a Query,
    key: QueryKey,
    replies: UnboundedSender<SubReply>,
    /// Where each attempt in flight was sent, by its number.
    sent: HashMap<u32, Target>,
    wake: Option<Instant>,
}

/// Where an attempt was sent.
#[derive(Debug, Clone, Copy)]
struct Target {
    searcher: SearcherId,
    destination: Destination,
}

impl Query {
    /// Runs the query until it has its result. After an error nothing was sent.
    pub(crate) async fn run(&self, node: &Arc<Node>) -> Result<QueryResult, ResultCode> {
        let (sender, mut replies) = mpsc::unbounded_channel();
        let mut actions = Vec::new();
        let request = Request {
            service: self.service,
            shards: self.shards.clone(),
            mode: self.mode,
            deadline: self.deadline,
        };
        let key = self.document.router(self.number).start(request, Instant::now(), &mut actions)?;
        let mut guard = CancelOnDrop { query: self, key: Some(key) };
        let mut run =
            Run { node, query: self, key, replies: sender, sent: HashMap::new(), wake: None };
        loop {
            if let Some(answer) = run.carry_out(std::mem::take(&mut actions)) {
                guard.key = None;
                return Ok(answer);
            }
            let wake = run.wake.unwrap_or(self.deadline);
            tokio::select! {
                reply = replies.recv() => {
                    // The run holds a sender, so the channel is open.
                    let Some(reply) = reply else { continue };
                    run.on_reply(reply, &mut actions);
                }
                () = sleep_until(wake) => {
                    run.wake = None;
                    self.document.router(self.number).wake(key, Instant::now(), &mut actions);
                }
            }
        }
    }
}

/// Cancels the query at the router when its task is dropped, so that the router no longer
/// counts its attempts as in flight.
struct CancelOnDrop<'a> {
    query: &'a Query,
    key: Option<QueryKey>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let Some(key) = self.key else { return };
        let mut actions = Vec::new();
        self.query.document.router(self.query.number).cancel(key, Instant::now(), &mut actions);
    }
}

impl Run<'_> {
    /// Executes actions; returns the result of the query if it is among them.
    fn carry_out(&mut self, actions: Vec<Action<Bytes>>) -> Option<QueryResult> {
        let mut batches: HashMap<Destination, Vec<Attempt>> = HashMap::new();
        let mut cancelled: HashMap<Destination, Vec<u64>> = HashMap::new();
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send(attempt) => {
                    let address =
                        self.query.document.environment.searchers[attempt.searcher].address;
                    let destination = self.node.destination(address);
                    self.sent.insert(
                        attempt.key.attempt,
                        Target { searcher: attempt.searcher, destination },
                    );
                    batches.entry(destination).or_default().push(attempt);
                }
                Action::Cancel { key, .. } => {
                    if let Some(target) = self.sent.remove(&key.attempt) {
                        cancelled
                            .entry(target.destination)
                            .or_default()
                            .push(u64::from(key.attempt));
                    }
                }
                Action::WakeAt { at, .. } => self.wake = Some(at),
                Action::Finish(finished) => answer = Some(finished),
            }
        }
        for (destination, attempts) in batches {
            self.send(destination, &attempts);
        }
        for (destination, keys) in cancelled {
            self.cancel(destination, keys);
        }
        answer
    }

    fn send(&self, destination: Destination, attempts: &[Attempt]) {
        let Some(first) = attempts.first() else { return };
        let request = self.gather_request(attempts, first);
        match destination {
            Destination::Local => {
                let origin = self.node.query_origin(self.query.number);
                let handles = self.node.queue_sub_queries(request, &self.replies);
                let guard = self.node.running.add(origin, handles);
                let replies = self.replies.clone();
                // Keeps the guard until the query has ended and its receiver is dropped.
                tokio::spawn(async move {
                    replies.closed().await;
                    drop(guard);
                });
            }
            Destination::Peer(peer) => {
                let node = self.node.clone();
                let replies = self.replies.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = replies.closed() => {}
                        () = gather(&node, peer, request, &replies) => {}
                    }
                });
            }
            Destination::Unowned => {
                for attempt in attempts {
                    let reply = failure_reply(u64::from(attempt.key.attempt), Outcome::NotOwner);
                    // The receiver exists for as long as the query runs.
                    let _ = self.replies.send(reply);
                }
            }
        }
    }

    fn gather_request(&self, attempts: &[Attempt], first: &Attempt) -> GatherRequest {
        let query = self.query;
        let environment = &query.document.environment;
        let now = Instant::now();
        let deadline =
            attempts.iter().map(|attempt| attempt.deadline).max().unwrap_or(query.deadline);
        GatherRequest {
            query: query.number,
            environment: environment.name.clone(),
            stage: match query.document.stage {
                tt_control::Stage::Production => Stage::Production.into(),
                tt_control::Stage::Trial => Stage::Trial.into(),
            },
            service: environment.services[query.service].name.clone(),
            snapshot: first.snapshot.0,
            budget_us: deadline.saturating_duration_since(now).as_micros() as u64,
            deadline_ms: clock::unix_ms_at(deadline),
            mode: match query.mode {
                Mode::Idempotent => RunMode::Idempotent.into(),
                Mode::AtMostOnce => RunMode::AtMostOnce.into(),
            },
            request_id: query.request_id.clone(),
            query_text: query.text.to_vec(),
            subs: attempts
                .iter()
                .map(|attempt| Sub {
                    key: u64::from(attempt.key.attempt),
                    searcher: environment.searchers[attempt.searcher].address.to_string(),
                    shard: environment.shards[attempt.shard].name.clone(),
                })
                .collect(),
            incarnation: self.node.me.id.incarnation.0,
        }
    }

    fn cancel(&self, destination: Destination, keys: Vec<u64>) {
        match destination {
            Destination::Local => {
                self.node.running.cancel(self.node.query_origin(self.query.number), &keys);
            }
            Destination::Peer(peer) => {
                let node = self.node.clone();
                let request = CancelRequest {
                    incarnation: node.me.id.incarnation.0,
                    query: self.query.number,
                    keys,
                };
                tokio::spawn(async move { node.peers.cancel(peer, request).await });
            }
            Destination::Unowned => {}
        }
    }

    /// Updates the expected wait from the reply of a searcher that accepts work.
    fn observe_wait(&self, reply: &SubReply) {
        match reply.outcome() {
            Outcome::Answered | Outcome::Shed | Outcome::Expired => {
                let wait = Duration::from_micros(reply.pressure_us);
                self.query.document.backlog().observe(Instant::now(), wait);
            }
            Outcome::Failed
            | Outcome::Draining
            | Outcome::SnapshotGone
            | Outcome::WrongShard
            | Outcome::Unreachable
            | Outcome::NotOwner
            | Outcome::Cancelled => {}
        }
    }

    fn on_reply(&mut self, reply: SubReply, actions: &mut Vec<Action<Bytes>>) {
        let attempt = reply.key as u32;
        let Some(target) = self.sent.remove(&attempt) else {
            return;
        };
        self.observe_wait(&reply);
        let held: Vec<Snapshot> = reply.held.iter().copied().map(Snapshot).collect();
        let slots = self.query.document.environment.searchers[target.searcher].slots;
        let pressure = router_pressure(&reply, slots);
        let reply =
            Reply { outcome: attempt_outcome(reply), held: &held, pressure: Some(pressure) };
        let key = AttemptKey { query: self.key, attempt };
        self.query.document.router(self.query.number).on_reply(key, reply, Instant::now(), actions);
    }
}

/// Sends attempts to another daemon and forwards its replies. Attempts without a reply fail.
async fn gather(
    node: &Node,
    peer: SocketAddr,
    request: GatherRequest,
    replies: &UnboundedSender<SubReply>,
) {
    let mut open: Vec<u64> = request.subs.iter().map(|sub| sub.key).collect();
    let mut failure = Outcome::Failed;
    match node.peers.gather(peer, request).await {
        Ok(mut stream) => {
            node.on_contact(peer);
            while let Some(Ok(reply)) = stream.next().await {
                open.retain(|key| *key != reply.key);
                let _ = replies.send(reply);
                if open.is_empty() {
                    return;
                }
            }
        }
        Err(ExchangeError::NotSent) => failure = Outcome::NotOwner,
        Err(ExchangeError::NoReply) => {}
    }
    node.on_call_failed(peer);
    for key in open {
        let _ = replies.send(failure_reply(key, failure));
    }
}

fn failure_reply(key: u64, outcome: Outcome) -> SubReply {
    SubReply { key, outcome: outcome.into(), ..SubReply::default() }
}

fn router_pressure(reply: &SubReply, slots: u32) -> Pressure {
    // The owner reports the wait as a time, the router needs a number of queued sub-queries.
    let service = reply.service_us.max(1_000);
    let queued = reply.pressure_us * u64::from(slots) / service;
    Pressure { queued: queued.min(u64::from(u32::MAX)) as u32, busy: 0 }
}

fn attempt_outcome(reply: SubReply) -> AttemptOutcome<Bytes> {
    match reply.outcome() {
        Outcome::Answered => AttemptOutcome::Answered {
            snapshot: Snapshot(reply.snapshot),
            body: Bytes::from(reply.hits),
        },
        Outcome::Shed | Outcome::Expired | Outcome::Cancelled => AttemptOutcome::Shed,
        Outcome::Draining => AttemptOutcome::Draining,
        Outcome::SnapshotGone => AttemptOutcome::SnapshotGone,
        Outcome::WrongShard => AttemptOutcome::WrongShard,
        Outcome::Unreachable => AttemptOutcome::Refused,
        Outcome::NotOwner => AttemptOutcome::OwnerUnreachable,
        Outcome::Failed => AttemptOutcome::Failed,
    }
}
