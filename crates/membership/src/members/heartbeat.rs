//! Heartbeats and suspicion.

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::FAILURE_SPAN;
use super::FALSE_SUSPICIONS;
use super::FORGET_AFTER;
use super::GONE_TIMEOUT;
use super::HEARTBEAT_INTERVAL;
use super::Health;
use super::Intent;
use super::LOSS_WINDOW;
use super::MOST_FAILURES;
use super::MemberStatus;
use super::Members;
use super::RATE_WEIGHT;
use super::SUSPECT_FAILURES;
use super::SUSPECT_TIMEOUT;
use tt_model::Epoch;
use tt_model::Revision;

/// Up to this many members, everyone sends to everyone.
pub const MAX_FULL_MESH_MEMBERS: usize = 8;
/// Heartbeats a second to members of the own domain, and to others.
const NEAR: usize = 3;
const FAR: usize = 1;
/// Further heartbeats a second to members that did not answer, and to addresses that have
/// not been heard.
const PROBES: usize = 3;
/// Time between requests for a whole table.
const PULL_PERIOD: Duration = Duration::from_secs(5);

/// A heartbeat or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberStatus,
    /// The sender's epoch.
    pub epoch: Epoch,
    /// The sender's catalog revision.
    pub catalog: Revision,
    /// The number of members that the sender knows.
    pub known: u32,
    /// News and random members.
    pub digest: Vec<MemberStatus>,
}

/// What the daemon has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat. Its outcome goes to [`Members::on_answer`] or
    /// [`Members::on_call_failed`]; use a time limit of at most [`HEARTBEAT_INTERVAL`].
    Send(SocketAddr, Heartbeat),
    /// Ask this member for its whole table and pass it to [`Members::on_table`].
    Pull(SocketAddr),
}

impl Members {
    /// Heartbeats that are due. Call it a few times a second.
    pub fn tick<R>(&mut self, rng: &mut R, now: Instant) -> Vec<Action>
    where
        R: Rng,
    {
        if self.beat_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        // A daemon that was paused does not send the heartbeats that it missed.
        self.beat_at = Some(
            self.beat_at.map_or(now, |at| at.max(now - HEARTBEAT_INTERVAL)) + HEARTBEAT_INTERVAL,
        );
        self.review(now);
        let targets = self.targets(rng);
        let mut actions = Vec::with_capacity(targets.len());
        for to in targets {
            let message = self.message(to, rng);
            actions.push(Action::Send(to, message));
        }
        actions
    }

    /// Answers a heartbeat.
    pub fn on_heartbeat<R>(&mut self, message: Heartbeat, rng: &mut R, now: Instant) -> Heartbeat
    where
        R: Rng,
    {
        let from = message.from.member.id.address;
        self.take(message, now);
        self.message(from, rng)
    }

    /// Takes the answer to a heartbeat. May ask for the whole table of a member that knows
    /// many more.
    pub fn on_answer(&mut self, message: Heartbeat, now: Instant) -> Option<Action> {
        let from = message.from.member.id.address;
        let more = message.known as usize;
        self.failure_rate -= self.failure_rate * RATE_WEIGHT;
        self.take(message, now);
        let behind = more > self.len() + self.len() / 8 + MAX_FULL_MESH_MEMBERS;
        if !behind || self.pulled_at.is_some_and(|at| now < at + PULL_PERIOD) {
            return None;
        }
        self.pulled_at = Some(now);
        Some(Action::Pull(from))
    }

    /// A call of any kind to a member failed or timed out.
    pub fn on_call_failed(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.peers.get_mut(&address) else { return };
        if peer.failures == 0 && peer.note.health == Health::Alive {
            self.failure_rate += (1.0 - self.failure_rate) * RATE_WEIGHT;
        }
        peer.failures = peer.failures.saturating_add(1);
        peer.first_failure.get_or_insert(now);
        self.troubled.insert(address);
        self.suspect_if_silent(address, now);
    }

    /// A call of any kind to a member succeeded.
    pub fn on_contact(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.peers.get_mut(&address) else { return };
        let before = peer.state();
        peer.last_heard = Some(now);
        peer.failures = 0;
        peer.first_failure = None;
        peer.listing.heard();
        if peer.note.health == Health::Alive {
            self.troubled.remove(&address);
        }
        if peer.note.health != Health::Alive && peer.note.intent != Intent::Stopped {
            self.set_health(address, Health::Alive, now);
        }
        self.note_change(address, before);
    }

    fn take(&mut self, message: Heartbeat, now: Instant) {
        let id = message.from.member.id;
        self.merge(message.from, now);
        if let Some(peer) = self.peers.get_mut(&id.address)
            && peer.note.member.id == id
        {
            peer.epoch = peer.epoch.max(message.epoch);
            peer.catalog = peer.catalog.max(message.catalog);
            self.on_contact(id.address, now);
        }
        for note in message.digest {
            self.merge(note, now);
        }
    }

    fn message<R>(&mut self, to: SocketAddr, rng: &mut R) -> Heartbeat
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

    fn targets<R>(&mut self, rng: &mut R) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        let mut targets = Vec::new();
        if self.len() <= MAX_FULL_MESH_MEMBERS {
            targets.extend(self.near.iter().chain(&self.far));
        } else {
            sample(&self.near, NEAR, rng, &mut targets);
            let rest = NEAR + FAR - targets.len();
            sample(&self.far, rest, rng, &mut targets);
            let silent: Vec<SocketAddr> = self
                .troubled
                .iter()
                .filter(|a| self.peers.get(a).is_some_and(|p| p.note.health != Health::Gone))
                .copied()
                .collect();
            sample(&silent, PROBES, rng, &mut targets);
        }
        let peers = &self.peers;
        let unheard: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|a| peers.get(a).is_none_or(|p| p.note.health == Health::Gone))
            .copied()
            .collect();
        sample(&unheard, PROBES, rng, &mut targets);
        targets
    }

    /// Moves members on by time.
    fn review(&mut self, now: Instant) {
        let troubled: Vec<SocketAddr> = self.troubled.iter().copied().collect();
        for &address in &troubled {
            self.suspect_if_silent(address, now);
        }
        self.guard(now);
        if !self.is_partitioned() {
            let late = |since: Option<Instant>| since.is_some_and(|at| now >= at + GONE_TIMEOUT);
            let lost = troubled.iter().copied().filter(|address| {
                let peer = self.peers.get(address);
                peer.is_some_and(|p| p.note.health == Health::Suspect && late(p.suspect_since))
            });
            let lost: Vec<SocketAddr> = lost.collect();
            for address in lost {
                self.change_health(address, Health::Gone, now);
            }
        }
        for address in troubled {
            let Some(peer) = self.peers.get(&address) else { continue };
            let old = peer.gone_since.is_some_and(|at| now >= at + FORGET_AFTER);
            if old && !self.unreleased.contains(&peer.note.member.id) {
                self.peers.remove(&address);
                self.troubled.remove(&address);
            }
        }
    }

    /// How many failures in a row are needed at the present failure rate.
    fn failures_needed(&self) -> u32 {
        let needed = FALSE_SUSPICIONS.ln() / -self.failure_rate.max(f64::MIN_POSITIVE).ln();
        (needed.ceil() as u32).clamp(SUSPECT_FAILURES, MOST_FAILURES)
    }

    fn suspect_if_silent(&mut self, address: SocketAddr, now: Instant) {
        let Some(peer) = self.peers.get(&address) else { return };
        let heard = peer.last_heard.unwrap_or(peer.since);
        let silent = peer.failures >= self.failures_needed()
            && now >= heard + SUSPECT_TIMEOUT
            && peer.first_failure.is_some_and(|at| now >= at + FAILURE_SPAN);
        if silent && peer.note.health == Health::Alive {
            self.change_health(address, Health::Suspect, now);
            self.guard(now);
        }
    }

    fn change_health(&mut self, address: SocketAddr, health: Health, now: Instant) {
        let Some(before) = self.peers.get(&address).map(super::Peer::state) else { return };
        self.set_health(address, health, now);
        self.spread(address);
        self.note_change(address, before);
    }

    /// Assumes a partition when more than a third of the members were lost within the
    /// window, until fewer are suspect.
    pub(super) fn guard(&mut self, now: Instant) {
        let in_doubt =
            |a: &SocketAddr| self.peers.get(a).is_some_and(|p| p.note.health != Health::Alive);
        if self.partitioned_since.is_none() && !self.troubled.iter().any(in_doubt) {
            return;
        }
        let (mut all, mut lost) = (1, 0);
        for peer in self.peers.values() {
            // Members that are known by hearsay only may have ended long ago.
            let known = self.assigned.contains(&peer.note.member.id) || peer.last_heard.is_some();
            if !known || peer.note.intent != Intent::Running || peer.listing.is_gone() {
                continue;
            }
            let recent = peer.gone_since.is_none_or(|at| now < at + LOSS_WINDOW);
            if recent {
                all += 1;
                lost += usize::from(peer.note.health != Health::Alive);
            }
        }
        let cut_off = lost * 3 > all;
        match self.partitioned_since {
            None if cut_off => {
                warn!("member: {lost} of {all} were lost, assuming a partition");
                self.partitioned_since = Some(now);
            }
            Some(_) if !cut_off => {
                warn!("member: no longer assuming a partition");
                self.partitioned_since = None;
                // Those not heard yet get the time that any suspect has.
                for peer in self.peers.values_mut() {
                    if peer.note.health == Health::Suspect {
                        peer.suspect_since = Some(now);
                    }
                }
            }
            _ => {}
        }
    }
}

/// Adds up to `count` random elements that are not in `out` yet.
fn sample<R>(from: &[SocketAddr], count: usize, rng: &mut R, out: &mut Vec<SocketAddr>)
where
    R: Rng,
{
    if from.len() <= count {
        out.extend(from.iter().filter(|a| !out.contains(a)).copied().collect::<Vec<_>>());
        return;
    }
    let wanted = out.len() + count;
    // With few elements the same ones are drawn again; a bounded number of draws is enough.
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
