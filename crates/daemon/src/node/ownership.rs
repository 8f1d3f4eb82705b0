//! Ownership of searchers: promises, releases, and the rights of hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock;
use crate::node::Node;
use crate::node::Route;
use crate::node::lock;
use crate::node::membership::vm_id;
use crate::owner::Host;
use crate::owner::Right;
use crate::owner::Standing;
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

/// Time for an answer to a renewal or a question. A later answer is of little use, because the
/// promise is measured from before the request.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

impl Node {
    /// Where sub-queries for the searcher at `address` are sent: to its owner, or to the
    /// successor while the owner does not answer.
    pub(crate) fn route(&self, address: SocketAddr) -> Route {
        if self.settings.policy == Policy::Baseline {
            return Route::Local;
        }
        let pair = lock(&self.rights).ownership().pair(SearcherKey::of(address));
        let Some(pair) = pair else {
            return Route::Nobody;
        };
        let member = if self.answers(pair.owner) { pair.owner } else { pair.successor };
        if member == self.me.id { Route::Local } else { Route::Peer(member.address) }
    }

    /// Sends what is due and puts the current rights into force.
    pub(crate) fn tick_rights(self: &Arc<Self>) {
        let clock = Clock { now: Instant::now(), unix_ms: clock::unix_ms() };
        let messages =
            self.change_rights_with(|rights, _| rights.tick(|key| self.usage(key), clock));
        for message in messages {
            let node = self.clone();
            match message {
                Message::Renew(renew) => {
                    tokio::spawn(async move { node.renew(renew).await });
                }
                Message::Release(release) => {
                    tokio::spawn(async move { node.ask_release(release).await });
                }
            }
        }
    }

    /// Tells the routers which daemons own the searchers.
    pub(crate) fn update_owners(&self) {
        let owners: HashMap<SocketAddr, VmId> = {
            let rights = lock(&self.rights);
            let owner = |host: &Arc<Host>| {
                let pair = rights.ownership().pair(host.key)?;
                Some((host.address, vm_id(pair.owner.address)))
            };
            self.hosts.all().iter().filter_map(owner).collect()
        };
        for env in self.envs() {
            env.set_owners(|searcher| owners.get(&searcher.address).copied());
        }
    }

    /// The assignment epoch in force here.
    pub(crate) fn epoch(&self) -> Epoch {
        lock(&self.rights).epoch()
    }

    /// The member that is first in rendezvous order for a key.
    pub(crate) fn first_ranked(&self, key: u64) -> Option<SocketAddr> {
        let rights = lock(&self.rights);
        let candidates = rights.ownership().candidates();
        let first = candidates.iter().min_by_key(|candidate| candidate.score(key))?;
        Some(first.id.address)
    }

    /// What this daemon holds.
    pub(crate) fn held(&self) -> HalfCounts {
        lock(&self.rights).counts(Instant::now())
    }

    /// Changes the rights and puts them into force at the hosts.
    pub(crate) fn change_rights<F>(&self, change: F)
    where
        F: FnOnce(&mut Halves, Instant),
    {
        self.change_rights_with(change);
    }

    /// Answers an owner that asks for a promise.
    pub(crate) fn on_renew(self: &Arc<Self>, renew: &Renew) -> Option<RenewAnswer> {
        self.note_epoch(renew.from, renew.epoch);
        self.change_rights_with(|rights, now| rights.on_renew(renew, |key| self.usage(key), now))
    }

    /// Answers a daemon that waits for a release.
    pub(crate) fn on_release(self: &Arc<Self>, release: &Release) -> ReleaseAnswer {
        self.note_epoch(release.from, release.epoch);
        self.change_rights_with(|rights, now| {
            rights.on_release(release, |key| self.usage(key), now)
        })
    }

    /// The epoch since which this process holds only what was assigned to it.
    pub(crate) fn settled(&self) -> Epoch {
        lock(&self.rights).oldest_held_epoch()
    }

    /// Pulls a newer assignment from the member that acts under it. Nothing can be released
    /// to that member before.
    fn note_epoch(self: &Arc<Self>, from: MemberId, epoch: Epoch) {
        let own = self.versions();
        if epoch > own.epoch {
            let versions = Versions { epoch, ..own };
            self.control(|plane, now| plane.on_heartbeat(from.address, versions, now));
        }
    }

    async fn renew(&self, renew: Renew) {
        let peer = renew.to.address;
        let answer: Result<Option<RenewAnswer>, _> =
            self.peers.exchange(peer, Kind::Renew, &renew, ANSWER_LIMIT).await;
        match answer {
            Ok(Some(answer)) => {
                self.heard(peer);
                self.change_rights(|rights, _| rights.on_renew_answer(&answer));
            }
            Ok(None) => {}
            Err(_) => self.unheard(peer),
        }
    }

    async fn ask_release(&self, release: Release) {
        let peer = release.to.address;
        let answer: Result<ReleaseAnswer, _> =
            self.peers.exchange(peer, Kind::Release, &release, ANSWER_LIMIT).await;
        if let Ok(answer) = answer {
            self.change_rights(|rights, now| rights.on_release_answer(&answer, now));
        }
    }

    /// Changes the rights while no host starts anything, so that the usage which the change
    /// looks at is still true when it takes effect.
    fn change_rights_with<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Halves, Instant) -> T,
    {
        let mut rights = lock(&self.rights);
        let hosts = self.hosts.all();
        for host in &hosts {
            host.freeze();
        }
        let now = Instant::now();
        let result = change(&mut rights, now);
        for host in &hosts {
            if self.settings.policy == Policy::Baseline {
                let daemons = rights.ownership().candidates().len() as u32;
                host.set_right(Right::static_share(host.slots, host.connections, daemons));
                continue;
            }
            let key = host.key;
            let me = self.me.id;
            let pair = rights.ownership().pair(key);
            let standing = match pair {
                Some(pair) if pair.owner == me || pair.successor == me => Standing::Assigned,
                Some(_) | None => Standing::Unassigned,
            };
            host.set_right(Right::of(rights.allowance(key, now), standing));
        }
        result
    }

    fn usage(&self, key: SearcherKey) -> Usage {
        self.hosts.by_key(key).map_or_else(Usage::default, |host| host.usage())
    }

    fn answers(&self, member: MemberId) -> bool {
        if member == self.me.id {
            return true;
        }
        let members = self.members();
        members.get(member.address).is_some_and(|view| {
            view.member.id == member && matches!(view.state, State::Live | State::Leaving)
        })
    }
}
