//! The work of the control plane that follows from events or falls due: adopting and pushing
//! revisions, pulling from peers, watching and reading the store.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::BackupPush;
use super::CallPurpose;
use super::ControlPlane;
use super::PullInFlight;
use super::RevisionSource;
use crate::catalog::CATALOG_KEY;
use crate::dissemination;
use crate::message::Action;
use crate::message::PullId;
use crate::message::PullRequest;
use crate::message::Update;
use crate::parts::part_key;
use tt_model::Digest;
use tt_model::Revision;
use tt_model::StoreCall;

/// The time after the start at which a daemon that has heard no peer reads the store.
const STARTUP_STORE_DELAY: Duration = Duration::from_secs(1);
/// The number of failed reads of parts after which an incomplete revision is abandoned for an
/// older one that a peer has adopted.
const MAX_FAILED_READS: u32 = 3;

impl ControlPlane {
    /// When [`ControlPlane::tick`] must be called next.
    pub fn wake_at(&self) -> Instant {
        let isolated_at = self.isolated_at().max(self.isolated_poll_at);
        let mut at = self.slow_poll_at.min(isolated_at);
        let watches = [self.catalog_watch.wake_at(), self.assignment_watch.wake_at()];
        let others = [
            self.pull_in_flight.as_ref().map(|pull| pull.deadline),
            self.pull_in_flight
                .is_none()
                .then_some(self.next_pull_at)
                .filter(|_| self.pull_source().is_some()),
            self.backup.as_ref().map(|backup| backup.at),
            self.store_reads_from
                .filter(|_| !self.parts_to_read().is_empty())
                .map(|from| from.max(self.next_read_at)),
        ];
        for due in watches.into_iter().chain(others).flatten() {
            at = at.min(due);
        }
        at
    }

    /// Does all work that is possible now and returns the actions to carry out.
    pub(super) fn run_due_work(&mut self, now: Instant) -> Vec<Action> {
        self.adopt(now);
        self.push_as_backup(now);
        self.start_watches(now);
        self.poll_catalog(now);
        self.pull(now);
        self.read_parts(now);
        std::mem::take(&mut self.actions)
    }

    fn adopt(&mut self, now: Instant) {
        let base = self.replica.adopted().revision;
        let Some(revision) = self.replica.try_adopt() else {
            return;
        };
        self.actions.push(Action::Adopted { revision });
        self.store_reads_from = None;
        // Failed pulls of this revision do not delay pulls of the next one.
        self.pull_backoff.reset();
        self.next_pull_at = now;
        let own = self.versions();
        self.peers_ahead
            .retain(|_, theirs| theirs.catalog > own.catalog || theirs.epoch > own.epoch);
        if base.0 == 0 && revision.0 > 1 {
            // A daemon that has just started adopts what the others have had for some time, so it has
            // nothing to push.
            return;
        }
        let max_bytes = match self.learned_from {
            RevisionSource::Store | RevisionSource::Push => self.settings.max_push_bytes,
            // The push to this daemon was lost, so the members below may have pulled the parts
            // already and are sent only the records.
            RevisionSource::Pull => 0,
        };
        let update = self.own_update(base, max_bytes);
        self.push_to_children(self.push_position, &update);
        if self.push_position == Some(1) && self.learned_from == RevisionSource::Store {
            self.backup = Some(BackupPush { at: now + self.settings.backup_delay, base });
        }
    }

    fn push_as_backup(&mut self, now: Instant) {
        let Some(backup) = self.backup.take_if(|backup| now >= backup.at) else {
            return;
        };
        if self.first_watcher.catalog < self.replica.adopted().revision {
            let update = self.own_update(backup.base, self.settings.max_push_bytes);
            self.push_to_children(Some(0), &update);
        }
    }

    /// An update from `base` to the adopted versions, with at most `max_bytes` of parts.
    fn own_update(&self, base: Revision, max_bytes: usize) -> Update {
        let mut update = self.replica.update_since(base, &[], max_bytes);
        update.versions = self.versions();
        update
    }

    pub(super) fn push_to_children(&mut self, position: Option<usize>, update: &Update) {
        let Some(position) = position else {
            return;
        };
        for child in dissemination::children(position, self.push_order.len()) {
            let to = self.push_order[child];
            if to != self.settings.address {
                self.actions.push(Action::Push { to, update: update.clone() });
            }
        }
    }

    fn start_watches(&mut self, now: Instant) {
        if let Some(call) = self.catalog_watch.poll(now) {
            self.call_store(CallPurpose::WatchCatalog, call);
        }
        if let Some(call) = self.assignment_watch.poll(now) {
            self.call_store(CallPurpose::WatchAssignment, call);
        }
    }

    /// Reads the catalog if this daemon does not watch it: often while no peer is heard, rarely
    /// otherwise.
    fn poll_catalog(&mut self, now: Instant) {
        let isolated = now >= self.isolated_at() && now >= self.isolated_poll_at;
        let slow = now >= self.slow_poll_at;
        if isolated {
            self.isolated_poll_at = now + self.isolated_backoff.next_delay();
        }
        if slow {
            self.slow_poll_count += 1;
            self.slow_poll_at = now + self.slow_poll_delay();
        }
        // Watchers need no reads, because a failed watch is repeated.
        if (isolated || slow) && !self.is_watcher() && !self.is_in_flight(&CallPurpose::ReadCatalog)
        {
            let call = StoreCall::Get { key: CATALOG_KEY.to_owned() };
            self.call_store(CallPurpose::ReadCatalog, call);
        }
    }

    fn isolated_at(&self) -> Instant {
        match self.peer_contact {
            Some(at) => at + self.settings.isolation_timeout,
            None => self.started + STARTUP_STORE_DELAY,
        }
    }

    /// The delay before the next slow poll, random between 0.5 and 1.5 times the mean. The mean is
    /// proportional to the members of the domain, so that the domain's rate of reads is constant.
    pub(super) fn slow_poll_delay(&self) -> Duration {
        let members = self.push_order.len().max(1) as f64;
        let draw = xxh3_64_with_seed(&self.slow_poll_count.to_le_bytes(), self.settings.seed);
        let factor = 0.5 + (draw >> 11) as f64 / (1u64 << 53) as f64;
        self.settings.poll_interval.mul_f64(members * factor)
    }

    fn pull(&mut self, now: Instant) {
        if let Some(pull) = self.pull_in_flight.take_if(|pull| now >= pull.deadline) {
            self.fail_pull(pull.to, now);
        }
        if self.pull_in_flight.is_some() || now < self.next_pull_at {
            return;
        }
        let Some(to) = self.pull_source() else {
            return;
        };
        self.last_pull += 1;
        let id = PullId(self.last_pull);
        // Several failures in a row mean slow peers rather than lost messages. Doubling the timeout
        // is enough, because an answer after the timeout is still applied.
        let is_slow = self.pull_backoff.failures() > 2;
        let timeout = self.settings.pull_timeout * if is_slow { 2 } else { 1 };
        self.pull_in_flight = Some(PullInFlight { id, to, deadline: now + timeout });
        let mut known = self.versions();
        known.catalog = self.replica.newest_known();
        let parts: Vec<Digest> =
            self.replica.missing_parts().take(self.settings.max_pull_parts).cloned().collect();
        let request = PullRequest { known, parts };
        self.actions.push(Action::Pull { id, to, request });
    }

    pub(super) fn fail_pull(&mut self, peer: SocketAddr, now: Instant) {
        self.peers_ahead.remove(&peer);
        let delay = self.pull_backoff.next_delay();
        // Each peer is tried once without a delay. Its next heartbeat makes it a source again.
        self.next_pull_at = if self.peers_ahead.is_empty() { now + delay } else { now };
    }

    /// The peer to pull from: the one that has announced the newest useful revision. If there is
    /// none and nothing is adopted yet, any member.
    fn pull_source(&self) -> Option<SocketAddr> {
        let own = self.versions();
        let known = self.replica.newest_known();
        let incomplete = known > own.catalog;
        let useful = self.peers_ahead.iter().filter(|(_, theirs)| {
            let newer = theirs.catalog > known;
            let completes = incomplete
                && theirs.catalog == known
                && self.replica.missing_parts().next().is_some();
            newer || completes || theirs.epoch > own.epoch
        });
        let rank = |address: &SocketAddr| self.peer_rank(address);
        let best = useful.max_by_key(|(address, theirs)| (theirs.catalog, rank(address)));
        if let Some((address, _)) = best {
            return Some(*address);
        }
        if own.catalog.0 > 0 {
            return None;
        }
        self.members
            .iter()
            .map(|member| member.address)
            .filter(|address| *address != self.settings.address)
            .max_by_key(rank)
    }

    /// A pseudo-random number for each peer and pull, to spread pulls over equal peers.
    fn peer_rank(&self, address: &SocketAddr) -> u64 {
        xxh3_64_with_seed(address.to_string().as_bytes(), self.settings.seed ^ self.last_pull)
    }

    fn read_parts(&mut self, now: Instant) {
        if self.store_reads_from.is_none_or(|from| now < from) || now < self.next_read_at {
            return;
        }
        if self.read_backoff.failures() >= MAX_FAILED_READS {
            self.fall_back();
        }
        for digest in self.parts_to_read() {
            let call = StoreCall::Get { key: part_key(&digest) };
            self.call_store(CallPurpose::ReadPart(digest), call);
        }
    }

    /// The missing parts to read from the store now, up to the limit of concurrent reads.
    fn parts_to_read(&self) -> Vec<Digest> {
        let in_flight = self.parts_in_flight();
        let room = self.settings.max_store_reads.saturating_sub(in_flight.len());
        let missing = self.replica.missing_parts().filter(|digest| !in_flight.contains(digest));
        missing.take(room).cloned().collect()
    }

    /// Abandons a revision whose parts the store does not return, if a peer has adopted an older
    /// one that is newer than the adopted one.
    fn fall_back(&mut self) {
        let adopted = self.replica.adopted().revision;
        let known = self.replica.newest_known();
        let offered = self.peers_ahead.values().map(|theirs| theirs.catalog);
        if offered.max().is_some_and(|best| best > adopted && best < known) {
            self.replica.discard_pending();
            self.store_reads_from = None;
            self.catalog_watch.reset_revision();
        }
    }
}
