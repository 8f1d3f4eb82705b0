//! Operators' changes: runs the state machine of a change against the store.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::node::Node;
use tt_control::CATALOG_KEY;
use tt_control::Catalog;
use tt_control::Change;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::Outcome;
use tt_control::Stage;
use tt_control::StoreRequest;
use tt_control::catalog::StageRecord;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// Runs one change until its outcome is known.
pub(crate) async fn run(node: &Arc<Node>, request: ChangeRequest) -> Outcome {
    let settings = ChangeSettings { seed: node.me.id.incarnation.0, ..ChangeSettings::default() };
    let (mut change, mut calls) = Change::start(request, &settings, Instant::now());
    let (sender, mut replies) = mpsc::unbounded_channel();
    loop {
        for StoreRequest { id, call } in std::mem::take(&mut calls) {
            let store = node.platform.clone();
            let sender = sender.clone();
            node.runtime.spawn(async move {
                let reply = store.call(call).await;
                // The change may have reached its outcome, and then the channel is closed.
                let _ = sender.send((id, reply));
            });
        }
        if let Some(outcome) = change.outcome() {
            return outcome.clone();
        }
        let wake = change.wake_at().unwrap_or_else(Instant::now);
        tokio::select! {
            reply = replies.recv() => {
                // This loop holds a sender, so the channel is open.
                let Some((id, reply)) = reply else { continue };
                calls = change.on_reply(id, reply, Instant::now());
            }
            () = sleep_until(wake) => calls = change.tick(Instant::now()),
        }
    }
}

/// The catalog in the store, or `None` if the store does not answer.
pub(crate) async fn stored_catalog(node: &Node) -> Option<Catalog> {
    let call = StoreCall::Get { key: CATALOG_KEY.to_owned() };
    match node.platform.call(call).await {
        StoreReply::Value { value, .. } => Catalog::decode(&value).ok(),
        StoreReply::Missing => Some(Catalog::default()),
        _ => None,
    }
}

impl Node {
    /// The catalog record of an environment and a stage, as this daemon has adopted it.
    pub(crate) fn stage_record(&self, environment: &str, stage: Stage) -> Option<StageRecord> {
        self.control_plane().replica().adopted().get(environment, stage).cloned()
    }

    /// The revision of that record; 0 if there is none.
    pub(crate) fn stage_revision(&self, environment: &str, stage: Stage) -> Revision {
        self.stage_record(environment, stage).map_or(Revision(0), |record| record.revision())
    }

    /// Runs the control plane, so that it does what is due now.
    pub(crate) fn tick_control_plane(self: &Arc<Self>) {
        self.with_control_plane(|plane, now| plane.tick(now));
    }
}
