//! Which daemon has adopted which revision, for `in force on n of m`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::message::PullRequest;
use crate::message::Versions;
use tt_model::Incarnation;
use tt_model::Revision;

/// Questions to daemons at the same time.
const MAX_PULLS_IN_FLIGHT: usize = 64;

/// Collects the adopted revisions of daemons for one answer to an operator.
///
/// Heartbeats reach only a few daemons, so those that are not known to have the revision
/// are asked directly.
#[derive(Debug)]
pub struct InForcePoll {
    revision: Revision,
    deadline: Instant,
    /// What each daemon is known to have adopted; `None` if it has not answered.
    known: BTreeMap<SocketAddr, Option<Adopted>>,
    queue: Vec<SocketAddr>,
    in_flight: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Adopted {
    incarnation: Incarnation,
    revision: Revision,
}

/// On how many daemons a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// The revision asked for.
    pub revision: Revision,
    /// Daemons that have adopted it or a later one.
    pub adopted: usize,
    /// All daemons.
    pub members: usize,
    /// The others, with what they have adopted; `None` if they have not answered.
    pub others: Vec<(SocketAddr, Option<Revision>)>,
}

impl InForcePoll {
    /// Starts to ask `members` about `revision`; ends after `wait`.
    pub fn new(
        revision: Revision,
        members: &[SocketAddr],
        wait: Duration,
        now: Instant,
    ) -> InForcePoll {
        let known: BTreeMap<_, _> = members.iter().map(|&member| (member, None)).collect();
        let queue = known.keys().copied().collect();
        InForcePoll { revision, deadline: now + wait, known, queue, in_flight: 0 }
    }

    /// Takes a revision known from a heartbeat or an answer. A later incarnation replaces an
    /// earlier one even with a lower revision: a restarted daemon holds nothing.
    pub fn on_versions(&mut self, from: SocketAddr, incarnation: Incarnation, versions: Versions) {
        let adopted = Adopted { incarnation, revision: versions.catalog };
        if let Some(known) = self.known.get_mut(&from)
            && known.is_none_or(|known| adopted > known)
        {
            *known = Some(adopted);
        }
    }

    /// The daemons to ask next, with the request of a pull. Each has to be followed by
    /// [`InForcePoll::on_pull_done`] when it has answered or failed.
    pub fn next_pulls(&mut self) -> Vec<(SocketAddr, PullRequest)> {
        let mut requests = Vec::new();
        while self.in_flight < MAX_PULLS_IN_FLIGHT
            && let Some(member) = self.queue.pop()
        {
            if !self.is_adopted(&member) {
                self.in_flight += 1;
                let request = PullRequest { known: Versions::MAX, parts: Vec::new() };
                requests.push((member, request));
            }
        }
        requests
    }

    /// A question was answered or failed.
    pub fn on_pull_done(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether nothing more will be learned.
    pub fn is_finished(&self, now: Instant) -> bool {
        now >= self.deadline || (self.in_flight == 0 && self.queue.is_empty())
    }

    /// What is known so far.
    pub fn report(&self) -> InForceReport {
        let others: Vec<(SocketAddr, Option<Revision>)> = self
            .known
            .iter()
            .filter(|(member, _)| !self.is_adopted(member))
            .map(|(&member, known)| (member, known.map(|known| known.revision)))
            .collect();
        let members = self.known.len();
        InForceReport { revision: self.revision, adopted: members - others.len(), members, others }
    }

    fn is_adopted(&self, member: &SocketAddr) -> bool {
        let known = self.known.get(member).copied().flatten();
        known.is_some_and(|known| known.revision >= self.revision)
    }
}
