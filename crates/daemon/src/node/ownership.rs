//! Ownership of searchers: leases, releases, and the slot grants of workers.
//!
//! The limits of each searcher are split into two halves, as [`tt_membership::halves`] describes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::node::Destination;
use crate::node::Node;
use crate::node::lock;
use crate::node::membership::vm_id;
use crate::owner::AssignmentStatus;
use crate::owner::SearcherGrant;
use crate::owner::Worker;
use crate::settings::Policy;
use tt_control::Versions;
use tt_membership::Halves;
use tt_membership::MemberId;
use tt_membership::SearcherKey;
use tt_membership::Usage;
use tt_membership::halves::Clock;
use tt_membership::halves::HalfCounts;
use tt_membership::halves::Message;
use tt_membership::halves::Release;
use tt_membership::halves::ReleaseAnswer;
use tt_membership::halves::Renew;
use tt_membership::halves::RenewAnswer;
use tt_membership::members::State;
use tt_model::Epoch;
use tt_model::VmId;
use tt_rpc::Kind;

/// Timeout of a renewal or a release request. A later answer is of little use, because a lease
/// counts from the time of the request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

impl Node {
    /// Where attempts at the searcher at `address` are sent: to its owner, or to the
    /// successor while the owner is not reachable.
    pub(crate) fn destination(&self, address: SocketAddr) -> Destination {
        if self.settings.policy == Policy::Baseline {
            return Destination::Local;
        }
        let pair = lock(&self.halves).ownership().pair(SearcherKey::of(address));
        let Some(pair) = pair else {
            return Destination::Unowned;
        };
        let member = if self.is_reachable(pair.owner) { pair.owner } else { pair.successor };
        if member == self.me.id { Destination::Local } else { Destination::Peer(member.address) }
    }

    /// Sends the renewals and release requests that are due, and applies the current grants.
    pub(crate) fn tick_halves(self: &Arc<Self>) {
        let clock = Clock { now: Instant::now(), unix_ms: clock::unix_ms() };
        let messages =
            self.change_halves_with(|halves, _| halves.tick(|key| self.usage(key), clock));
        for message in messages {
            let node = self.clone();
            match message {
                Message::Renew(renew) => {
                    tokio::spawn(async move { node.renew(renew).await });
                }
                Message::Release(release) => {
                    tokio::spawn(async move { node.request_release(release).await });
                }
            }
        }
    }

    /// Tells the routers which daemons own the searchers.
    pub(crate) fn update_owners(&self) {
        let owners: HashMap<SocketAddr, VmId> = {
            let halves = lock(&self.halves);
            let owner = |worker: &Arc<Worker>| {
                let pair = halves.ownership().pair(worker.key)?;
                Some((worker.address, vm_id(pair.owner.address)))
            };
            self.workers.all().iter().filter_map(owner).collect()
        };
        for document in self.active_documents() {
            document.set_owners(|searcher| owners.get(&searcher.address).copied());
        }
    }

    /// The assignment epoch in force here.
    pub(crate) fn epoch(&self) -> Epoch {
        lock(&self.halves).epoch()
    }

    /// The member that is first in rendezvous order for a key.
    pub(crate) fn first_ranked(&self, key: u64) -> Option<SocketAddr> {
        let halves = lock(&self.halves);
        let candidates = halves.ownership().candidates();
        let first = candidates.iter().min_by_key(|candidate| candidate.score(key))?;
        Some(first.id.address)
    }

    /// Numbers of halves that this daemon holds and waits for.
    pub(crate) fn half_counts(&self) -> HalfCounts {
        lock(&self.halves).counts(Instant::now())
    }

    /// Changes the halves and applies the resulting grants at the workers.
    pub(crate) fn change_halves<F>(&self, change: F)
    where
        F: FnOnce(&mut Halves, Instant),
    {
        self.change_halves_with(change);
    }

    /// Answers an owner that asks for a lease.
    pub(crate) fn on_renew(self: &Arc<Self>, renew: &Renew) -> Option<RenewAnswer> {
        self.pull_newer_assignment(renew.from, renew.epoch);
        self.change_halves_with(|halves, now| halves.on_renew(renew, |key| self.usage(key), now))
    }

    /// Answers a daemon that waits for the release of halves.
    pub(crate) fn on_release(self: &Arc<Self>, release: &Release) -> ReleaseAnswer {
        self.pull_newer_assignment(release.from, release.epoch);
        self.change_halves_with(|halves, now| {
            halves.on_release(release, |key| self.usage(key), now)
        })
    }

    /// The oldest epoch in which a half that this process still holds was last assigned to it.
    pub(crate) fn oldest_held_epoch(&self) -> Epoch {
        lock(&self.halves).oldest_held_epoch()
    }

    /// Pulls the assignment from a member that has a newer epoch. Until it is adopted, no half
    /// can be released to that member.
    fn pull_newer_assignment(self: &Arc<Self>, from: MemberId, epoch: Epoch) {
        let own = self.versions();
        if epoch > own.epoch {
            let versions = Versions { epoch, ..own };
            self.with_control_plane(|plane, now| plane.on_heartbeat(from.address, versions, now));
        }
    }

    async fn renew(&self, renew: Renew) {
        let peer = renew.to.address;
        let answer: Result<Option<RenewAnswer>, _> =
            self.peers.exchange(peer, Kind::Renew, &renew, ANSWER_TIMEOUT).await;
        match answer {
            Ok(Some(answer)) => {
                self.on_contact(peer);
                self.change_halves(|halves, _| halves.on_renew_answer(&answer));
            }
            Ok(None) => {}
            Err(_) => self.on_call_failed(peer),
        }
    }

    async fn request_release(&self, release: Release) {
        let peer = release.to.address;
        let answer: Result<ReleaseAnswer, _> =
            self.peers.exchange(peer, Kind::Release, &release, ANSWER_TIMEOUT).await;
        if let Ok(answer) = answer {
            self.change_halves(|halves, now| halves.on_release_answer(&answer, now));
        }
    }

    /// Changes the halves while all workers are frozen, so that the usage which the change reads
    /// still holds when the new grants are applied.
    fn change_halves_with<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Halves, Instant) -> T,
    {
        let mut halves = lock(&self.halves);
        let workers = self.workers.all();
        for worker in &workers {
            worker.freeze();
        }
        let now = Instant::now();
        let result = change(&mut halves, now);
        for worker in &workers {
            if self.settings.policy == Policy::Baseline {
                let daemons = halves.ownership().candidates().len() as u32;
                worker.set_grant(SearcherGrant::static_share(
                    worker.slots,
                    worker.connections,
                    daemons,
                ));
                continue;
            }
            let key = worker.key;
            let me = self.me.id;
            let pair = halves.ownership().pair(key);
            let assignment = match pair {
                Some(pair) if pair.owner == me || pair.successor == me => {
                    AssignmentStatus::Assigned
                }
                Some(_) | None => AssignmentStatus::Unassigned,
            };
            worker.set_grant(SearcherGrant::of(halves.allowance(key, now), assignment));
        }
        result
    }

    fn usage(&self, key: SearcherKey) -> Usage {
        self.workers.by_key(key).map_or_else(Usage::default, |worker| worker.usage())
    }

    fn is_reachable(&self, member: MemberId) -> bool {
        if member == self.me.id {
            return true;
        }
        let members = self.members();
        members.get(member.address).is_some_and(|view| {
            view.member.id == member && matches!(view.state, State::Live | State::Leaving)
        })
    }
}
