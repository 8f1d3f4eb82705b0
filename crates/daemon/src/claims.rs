//! Claim partitions: those that this daemon owns, and calls to the owners of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::clock;
use crate::node::ClaimMessage;
use crate::node::Node;
use tt_claims::ClaimReply;
use tt_claims::ClaimRequest;
use tt_claims::FencingToken;
use tt_claims::PARTITION_COUNT;
use tt_claims::Partition;
use tt_claims::PartitionAction;
use tt_claims::PartitionEvent;
use tt_claims::PartitionId;
use tt_claims::PartitionSettings;
use tt_claims::PartitionStatus;
use tt_rpc::Kind;

/// Timeout of a call to the owner of a partition. The claimant repeats calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Rendezvous key of partition 0; those of the others follow it. One may be close or equal to the
/// key of a searcher, which does no harm because partitions and searchers are never compared.
const FIRST_PARTITION_KEY: u64 = 0xc1a1_0000_0000_0000;

/// The claim partitions that this daemon owns, with the channels to their tasks.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    owned: Mutex<BTreeMap<PartitionId, UnboundedSender<Input>>>,
    waiting_calls: AtomicUsize,
}

#[derive(Debug)]
enum Input {
    Call { request: ClaimRequest, reply: oneshot::Sender<ClaimReply> },
    Release,
    Stored { call: u64, reply: tt_model::StoreReply },
}

impl Claims {
    /// Takes over the partitions that the assignment gives to this daemon, and releases the others.
    pub(crate) fn assign(&self, node: &Arc<Node>) {
        let epoch = node.epoch();
        let mut owned = self.lock();
        owned.retain(|_, sender| !sender.is_closed());
        for number in 0..PARTITION_COUNT {
            let partition = PartitionId(number);
            let mine = node.partition_owner(partition) == Some(node.me.id.address);
            match (mine, owned.contains_key(&partition)) {
                (true, false) => {
                    let token = FencingToken { epoch, incarnation: node.me.id.incarnation };
                    let (sender, inputs) = mpsc::unbounded_channel();
                    let settings = PartitionSettings::default();
                    let state = Partition::new(partition, token, settings, clock::claims_now());
                    let stored = sender.clone();
                    tokio::spawn(run_partition(node.clone(), state, inputs, stored));
                    owned.insert(partition, sender);
                }
                (false, true) => {
                    if let Some(sender) = owned.remove(&partition) {
                        // The channel is closed if the partition has been retired already.
                        let _ = sender.send(Input::Release);
                    }
                }
                (true, true) | (false, false) => {}
            }
        }
    }

    /// Answers a claimant's call.
    pub(crate) async fn answer(
        &self,
        node: &Arc<Node>,
        partition: PartitionId,
        request: ClaimRequest,
    ) -> ClaimReply {
        let sender = self.lock().get(&partition).cloned();
        let Some(sender) = sender else {
            return ClaimReply::NotOwner;
        };
        let (reply, answer) = oneshot::channel();
        if sender.send(Input::Call { request, reply }).is_err() {
            self.assign(node);
            return ClaimReply::NotOwner;
        }
        let _waiting = WaitingCall::new(&self.waiting_calls);
        answer.await.unwrap_or(ClaimReply::NotOwner)
    }

    /// Number of calls that wait for an answer.
    pub(crate) fn in_flight(&self) -> usize {
        self.waiting_calls.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<PartitionId, UnboundedSender<Input>>> {
        self.owned.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Counts a call as waiting until this is dropped, also if the future of the call is dropped.
struct WaitingCall<'a>(&'a AtomicUsize);

impl WaitingCall<'_> {
    fn new(count: &AtomicUsize) -> WaitingCall<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        WaitingCall(count)
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Node {
    /// Calls the owner of a partition. `None` if there is no answer.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        partition: PartitionId,
        request: ClaimRequest,
    ) -> Option<ClaimReply> {
        let owner = self.partition_owner(partition)?;
        if owner == self.me.id.address {
            return Some(self.claims.answer(self, partition, request).await);
        }
        let message = ClaimMessage { partition, request };
        self.peers.exchange(owner, Kind::Claim, &message, CALL_TIMEOUT).await.ok()
    }

    /// The daemon that owns a partition in the current epoch.
    pub(crate) fn partition_owner(&self, partition: PartitionId) -> Option<SocketAddr> {
        self.first_ranked(FIRST_PARTITION_KEY + u64::from(partition.0))
    }
}

/// Runs one partition at its owner until it is released or lost.
async fn run_partition(
    node: Arc<Node>,
    mut state: Partition,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    stored: UnboundedSender<Input>,
) {
    let mut replies: BTreeMap<u64, oneshot::Sender<ClaimReply>> = BTreeMap::new();
    let mut next_tag = 0;
    let mut actions = state.handle(PartitionEvent::Timer, clock::claims_now());
    loop {
        for action in std::mem::take(&mut actions) {
            match action {
                PartitionAction::Store { call, request } => {
                    let node = node.clone();
                    let stored = stored.clone();
                    tokio::spawn(async move {
                        let reply = node.platform.call(request).await;
                        // The partition may have been retired.
                        let _ = stored.send(Input::Stored { call, reply });
                    });
                }
                PartitionAction::Reply { tag, reply } => {
                    if let Some(sender) = replies.remove(&tag) {
                        // The claimant may no longer wait for the reply.
                        let _ = sender.send(reply);
                    }
                }
            }
        }
        if state.status() == PartitionStatus::Retired {
            return;
        }
        let timer = state.next_timer();
        let input = tokio::select! {
            input = inputs.recv() => input,
            () = sleep_until(timer.unwrap_or_else(Instant::now)), if timer.is_some() => None,
        };
        let event = match input {
            Some(Input::Call { request, reply }) => {
                next_tag += 1;
                replies.insert(next_tag, reply);
                PartitionEvent::Request { tag: next_tag, request }
            }
            Some(Input::Release) => PartitionEvent::Release,
            Some(Input::Stored { call, reply }) => PartitionEvent::Store { call, reply },
            None => PartitionEvent::Timer,
        };
        actions = state.handle(event, clock::claims_now());
    }
}
