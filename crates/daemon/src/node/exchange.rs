//! Control messages from other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tonic::Status;

use crate::codec;
use crate::node::Node;
use crate::owner::GatherContext;
use crate::owner::SubQueryHandle;
use crate::owner::Work;
use tt_claims::ClaimRequest;
use tt_claims::PartitionId;
use tt_control::PullRequest;
use tt_control::Stage;
use tt_control::Update;
use tt_control::Versions;
use tt_membership::halves::Release;
use tt_membership::halves::Renew;
use tt_membership::members::Heartbeat;
use tt_rpc::Envelope;
use tt_rpc::GatherRequest;
use tt_rpc::Kind;
use tt_rpc::Outcome;
use tt_rpc::SubReply;

/// Maximum time for the sub-queries of one `Gather`, even if the message allows more.
const MAX_GATHER_TIMEOUT: Duration = Duration::from_secs(60);

/// A heartbeat with the data piggybacked on it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct HeartbeatMessage {
    pub(crate) heartbeat: Heartbeat,
    /// Where the sender serves callers.
    pub(crate) callers: SocketAddr,
    pub(crate) versions: Versions,
    /// Searchers that are leaving, as far as the sender knows.
    pub(crate) leaving: Vec<SocketAddr>,
    /// Usage of contracts at the sender.
    pub(crate) usage: Vec<UsageRecord>,
}

/// Usage of one service at one entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct UsageRecord {
    pub(crate) environment: String,
    pub(crate) stage: Stage,
    pub(crate) service: String,
    pub(crate) rate: f64,
    pub(crate) in_flight: u32,
}

/// A configuration message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ConfigMessage {
    Pull(PullRequest),
    Push { from: SocketAddr, update: Update },
}

/// The answer to a [`ConfigMessage`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ConfigAnswer {
    Update(Update),
    Taken,
}

/// A claim request to the owner of a partition.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ClaimMessage {
    pub(crate) partition: PartitionId,
    pub(crate) request: ClaimRequest,
}

/// A heartbeat, or a request for the member table or for the states of the receiver's searchers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum MemberMessage {
    Beat(Box<HeartbeatMessage>),
    Table,
    Searchers,
}

/// The state of a searcher, as a daemon that uses it knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SearcherReport {
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) cold: bool,
    pub(crate) held: Vec<u64>,
}

impl Node {
    /// Answers a control message.
    pub(crate) async fn exchange(self: &Arc<Self>, envelope: Envelope) -> Result<Envelope, Status> {
        let kind = envelope.kind();
        let payload = &envelope.payload;
        let answer = match kind {
            Kind::Heartbeat => match decode(payload)? {
                MemberMessage::Beat(message) => codec::encode(&self.on_heartbeat(*message)),
                MemberMessage::Table => codec::encode(&self.members().table()),
                MemberMessage::Searchers => codec::encode(&self.searcher_reports()),
            },
            Kind::Renew => {
                let renew: Renew = decode(payload)?;
                codec::encode(&self.on_renew(&renew))
            }
            Kind::Release => {
                let release: Release = decode(payload)?;
                codec::encode(&self.on_release(&release))
            }
            Kind::Config => codec::encode(&self.on_config(decode(payload)?)),
            Kind::Claim => {
                let message: ClaimMessage = decode(payload)?;
                let reply = self.claims.answer(self, message.partition, message.request).await;
                codec::encode(&reply)
            }
            Kind::Unspecified | Kind::Refused => {
                return Err(Status::unimplemented("the kind of the message is not known"));
            }
        };
        Ok(Envelope { kind: kind.into(), payload: answer })
    }

    /// Queues the sub-queries of a `Gather` at their searchers. Exactly one reply is sent for each.
    pub(crate) fn queue_sub_queries(
        &self,
        request: GatherRequest,
        replies: &UnboundedSender<SubReply>,
    ) -> Vec<SubQueryHandle> {
        let mode = request.mode();
        let stage = match request.stage() {
            tt_rpc::Stage::Production => Stage::Production,
            tt_rpc::Stage::Trial => Stage::Trial,
        };
        let Some(document) = self.active_document(&request.environment, stage) else {
            reply_not_owner(request.subs.iter().map(|sub| sub.key), replies);
            return Vec::new();
        };
        let environment = &document.environment;
        let Some(service) = environment.service(&request.service) else {
            reply_not_owner(request.subs.iter().map(|sub| sub.key), replies);
            return Vec::new();
        };
        let contract = environment.services[service].contract;
        let class = &environment.classes[environment.services[service].class];
        let budget = Duration::from_micros(request.budget_us).min(MAX_GATHER_TIMEOUT);
        let gather = Arc::new(GatherContext {
            service,
            share: contract.share,
            urgency: class.urgency,
            snapshot: request.snapshot,
            deadline: Instant::now() + budget,
            mode,
            request_id: request.request_id,
            query: Bytes::from(request.query_text),
        });
        let mut handles = Vec::with_capacity(request.subs.len());
        for sub in request.subs {
            let worker = sub.searcher.parse().ok().and_then(|address| self.workers.get(address));
            let Some(worker) = worker else {
                reply_not_owner(std::iter::once(sub.key), replies);
                continue;
            };
            let work = Work {
                key: sub.key,
                shard: sub.shard,
                gather: gather.clone(),
                reply: replies.clone(),
            };
            if let Some(ticket) = worker.push(work) {
                handles.push(SubQueryHandle { worker, ticket, key: sub.key });
            }
        }
        handles
    }
}

fn reply_not_owner<I>(keys: I, replies: &UnboundedSender<SubReply>)
where
    I: Iterator<Item = u64>,
{
    for key in keys {
        let reply = SubReply { key, outcome: Outcome::NotOwner.into(), ..SubReply::default() };
        // The entry may no longer wait for the reply.
        let _ = replies.send(reply);
    }
}

fn decode<T>(payload: &[u8]) -> Result<T, Status>
where
    T: serde::de::DeserializeOwned,
{
    codec::decode(payload).map_err(|error| Status::invalid_argument(error.to_string()))
}
