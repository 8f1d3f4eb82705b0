//! Heartbeats and failure detection.

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::FAILURE_WEIGHT_RATIO;
use super::GONE_RETENTION;
use super::GONE_TIMEOUT;
use super::HEARTBEAT_INTERVAL;
use super::Health;
use super::Intent;
use super::LOSS_WINDOW;
use super::MAX_SUSPECT_FAILURES;
use super::MIN_FAILURE_SPAN;
use super::MIN_SUSPECT_FAILURES;
use super::MemberStatus;
use super::Members;
use super::RUNS_PER_FALSE_SUSPICION;
use super::SUSPECT_TIMEOUT;
use tt_model::Epoch;
use tt_model::Revision;

/// In a tier of at most this many members, each sends heartbeats to all others.
pub const MAX_FULL_MESH_MEMBERS: usize = 8;
/// Heartbeats a round to peers of the same failure domain.
const LOCAL_FANOUT: usize = 3;
/// Heartbeats a round to peers of other failure domains; more if the own domain has too few.
const REMOTE_FANOUT: usize = 1;
/// Further heartbeats a round to peers that did not answer, and as many to seed addresses
/// where no live member is known.
const MAX_PROBES: usize = 3;
/// Minimum time between two requests for a whole table.
const PULL_INTERVAL: Duration = Duration::from_secs(5);

/// A heartbeat or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own status.
    pub from: MemberStatus,
    /// The epoch in force at the sender.
    pub epoch: Epoch,
    /// The catalog revision that the sender has.
    pub catalog: Revision,
    /// The number of members that are not gone in the sender's table; a receiver that knows far
    /// fewer asks for the whole table.
    pub known: u32,
    /// Statuses of other members, at most [`super::MAX_DIGEST_LEN`].
    pub digest: Vec<MemberStatus>,
}

/// A message that the daemon has to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat with a timeout of at most [`HEARTBEAT_INTERVAL`], and pass its outcome
    /// to [`Members::on_answer`] or [`Members::on_call_failed`].
    Send(SocketAddr, Heartbeat),
    /// Ask this member for its whole table, and pass it to [`Members::on_table`].
    Pull(SocketAddr),
}

impl Members {
    /// Applies timeouts and returns the heartbeats that are due. Call it a few times a second.
    pub fn tick<R>(&mut self, rng: &mut R, now: Instant) -> Vec<Action>
    where
        R: Rng,
    {
        if self.next_heartbeat.is_some_and(|at| now < at) {
            return Vec::new();
        }
        // A daemon that was paused skips the rounds that it missed.
        self.next_heartbeat = Some(
            self.next_heartbeat.map_or(now, |at| at.max(now - HEARTBEAT_INTERVAL))
                + HEARTBEAT_INTERVAL,
        );
        self.apply_timeouts(now);
        let targets = self.targets(rng);
        let mut actions = Vec::with_capacity(targets.len());
        for to in targets {
            let message = self.heartbeat(to, rng);
            actions.push(Action::Send(to, message));
        }
        actions
    }

    /// Merges a heartbeat and returns the answer to it.
    pub fn on_heartbeat<R>(&mut self, message: Heartbeat, rng: &mut R, now: Instant) -> Heartbeat
    where
        R: Rng,
    {
        let from = message.from.member.id.address;
        self.receive(message, now);
        self.heartbeat(from, rng)
    }

    /// Merges the answer to a heartbeat. Returns [`Action::Pull`] if the sender knows many more
    /// members.
    pub fn on_answer(&mut self, message: Heartbeat, now: Instant) -> Option<Action> {
        let from = message.from.member.id.address;
        let known = message.known as usize;
        self.failure_rate -= self.failure_rate * FAILURE_WEIGHT_RATIO;
        self.receive(message, now);
        let behind = known > self.len() + self.len() / 8 + MAX_FULL_MESH_MEMBERS;
        if !behind || self.last_pull.is_some_and(|at| now < at + PULL_INTERVAL) {
            return None;
        }
        self.last_pull = Some(now);
        Some(Action::Pull(from))
    }

    /// Records that a call of any kind to a member failed or timed out.
    pub fn on_call_failed(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.peers.get_mut(&address) else { return };
        if peer.failures == 0 && peer.status.health == Health::Alive {
            self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT_RATIO;
        }
        peer.failures = peer.failures.saturating_add(1);
        peer.first_failure.get_or_insert(now);
        self.unhealthy.insert(address);
        self.suspect_if_silent(address, now);
    }

    /// Records that a member answered a call of any kind or sent a heartbeat.
    pub fn on_contact(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.peers.get_mut(&address) else { return };
        let before = peer.state();
        peer.last_heard = Some(now);
        peer.failures = 0;
        peer.first_failure = None;
        peer.presence.on_contact();
        if peer.status.health == Health::Alive {
            self.unhealthy.remove(&address);
        }
        if peer.status.health != Health::Alive && peer.status.intent != Intent::Stopped {
            self.set_health(address, Health::Alive, now);
        }
        self.report_change(address, before);
    }

    fn receive(&mut self, message: Heartbeat, now: Instant) {
        let id = message.from.member.id;
        self.merge(message.from, now);
        if let Some(peer) = self.peers.get_mut(&id.address)
            && peer.status.member.id == id
        {
            peer.epoch = peer.epoch.max(message.epoch);
            peer.catalog = peer.catalog.max(message.catalog);
            self.on_contact(id.address, now);
        }
        for status in message.digest {
            self.merge(status, now);
        }
    }

    fn heartbeat<R>(&mut self, to: SocketAddr, rng: &mut R) -> Heartbeat
    where
        R: Rng,
    {
        Heartbeat {
            from: self.me.clone(),
            epoch: self.epoch,
            catalog: self.catalog,
            known: self.len() as u32,
            digest: self.digest(to, rng),
        }
    }

    /// The members that get a heartbeat in this round.
    fn targets<R>(&mut self, rng: &mut R) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        let mut targets = Vec::new();
        if self.len() <= MAX_FULL_MESH_MEMBERS {
            targets.extend(self.local.iter().chain(&self.remote));
        } else {
            sample(&self.local, LOCAL_FANOUT, rng, &mut targets);
            let rest = LOCAL_FANOUT + REMOTE_FANOUT - targets.len();
            sample(&self.remote, rest, rng, &mut targets);
            let silent: Vec<SocketAddr> = self
                .unhealthy
                .iter()
                .filter(|a| self.peers.get(a).is_some_and(|p| p.status.health != Health::Gone))
                .copied()
                .collect();
            sample(&silent, MAX_PROBES, rng, &mut targets);
        }
        let peers = &self.peers;
        let unheard: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|a| peers.get(a).is_none_or(|p| p.status.health == Health::Gone))
            .copied()
            .collect();
        sample(&unheard, MAX_PROBES, rng, &mut targets);
        targets
    }

    /// Makes members suspect or gone by time, and forgets those that have been gone for long.
    fn apply_timeouts(&mut self, now: Instant) {
        let unhealthy: Vec<SocketAddr> = self.unhealthy.iter().copied().collect();
        for &address in &unhealthy {
            self.suspect_if_silent(address, now);
        }
        self.check_partition(now);
        if !self.is_partitioned() {
            let late = |since: Option<Instant>| since.is_some_and(|at| now >= at + GONE_TIMEOUT);
            let lost = unhealthy.iter().copied().filter(|address| {
                let peer = self.peers.get(address);
                peer.is_some_and(|p| p.status.health == Health::Suspect && late(p.suspect_since))
            });
            let lost: Vec<SocketAddr> = lost.collect();
            for address in lost {
                self.change_health(address, Health::Gone, now);
            }
        }
        for address in unhealthy {
            let Some(peer) = self.peers.get(&address) else { continue };
            let expired = peer.gone_since.is_some_and(|at| now >= at + GONE_RETENTION);
            if expired && !self.unreleased.contains(&peer.status.member.id) {
                self.peers.remove(&address);
                self.unhealthy.remove(&address);
            }
        }
    }

    /// How many failed calls in a row make a member suspect at the current failure rate.
    fn failures_needed(&self) -> u32 {
        let needed = RUNS_PER_FALSE_SUSPICION.ln() / -self.failure_rate.max(f64::MIN_POSITIVE).ln();
        (needed.ceil() as u32).clamp(MIN_SUSPECT_FAILURES, MAX_SUSPECT_FAILURES)
    }

    fn suspect_if_silent(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.peers.get(&address) else { return };
        let heard = peer.last_heard.unwrap_or(peer.known_since);
        let silent = peer.failures >= self.failures_needed()
            && now >= heard + SUSPECT_TIMEOUT
            && peer.first_failure.is_some_and(|at| now >= at + MIN_FAILURE_SPAN);
        if silent && peer.status.health == Health::Alive {
            self.change_health(address, Health::Suspect, now);
            self.check_partition(now);
        }
    }

    fn change_health(&mut self, address: SocketAddr, health: Health, now: Instant) {
        let Some(before) = self.peers.get(&address).map(super::Peer::state) else { return };
        self.set_health(address, health, now);
        self.queue_update(address);
        self.report_change(address, before);
    }

    /// Assumes a partition when more than a third of the members were lost within
    /// [`LOSS_WINDOW`], until that is no longer so.
    pub(super) fn check_partition(&mut self, now: Instant) {
        let in_doubt =
            |a: &SocketAddr| self.peers.get(a).is_some_and(|p| p.status.health != Health::Alive);
        if self.partitioned_since.is_none() && !self.unhealthy.iter().any(in_doubt) {
            return;
        }
        let (mut member_count, mut lost) = (1, 0);
        for peer in self.peers.values() {
            // A member known only from gossip may have ended long ago.
            let known = self.assigned.contains(&peer.status.member.id) || peer.last_heard.is_some();
            if !known || peer.status.intent != Intent::Running || peer.presence.is_gone() {
                continue;
            }
            let recent = peer.gone_since.is_none_or(|at| now < at + LOSS_WINDOW);
            if recent {
                member_count += 1;
                lost += usize::from(peer.status.health != Health::Alive);
            }
        }
        let cut_off = lost * 3 > member_count;
        match self.partitioned_since {
            None if cut_off => {
                warn!("member: {lost} of {member_count} members were lost, assuming a partition");
                self.partitioned_since = Some(now);
            }
            Some(_) if !cut_off => {
                warn!("member: no longer assuming a partition");
                self.partitioned_since = None;
                // Members that are still suspect get the full GONE_TIMEOUT from now on.
                for peer in self.peers.values_mut() {
                    if peer.status.health == Health::Suspect {
                        peer.suspect_since = Some(now);
                    }
                }
            }
            _ => {}
        }
    }
}

/// Adds up to `count` random elements of `from` that are not in `out` yet.
fn sample<R>(from: &[SocketAddr], count: usize, rng: &mut R, out: &mut Vec<SocketAddr>)
where
    R: Rng,
{
    if from.len() <= count {
        out.extend(from.iter().filter(|a| !out.contains(a)).copied().collect::<Vec<_>>());
        return;
    }
    let wanted = out.len() + count;
    // The same elements may be drawn again, so the number of draws is bounded.
    for _ in 0..count * 8 {
        let address = from[rng.random_range(0..from.len())];
        if !out.contains(&address) {
            out.push(address);
        }
        if out.len() == wanted {
            return;
        }
    }
}
