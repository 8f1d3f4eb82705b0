//! Counts the daemons that have adopted a revision, for the answer `in force on n of m`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::message::PullRequest;
use crate::message::Versions;
use tt_model::Incarnation;
use tt_model::Revision;

/// The maximum number of daemons that are asked at the same time.
const MAX_PULLS_IN_FLIGHT: usize = 64;

/// Collects the adopted revisions of all daemons for one answer to an operator.
///
/// Heartbeats reach only a few daemons, so every daemon that is not yet known to have adopted the
/// revision is asked directly.
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

/// The number of daemons on which a revision is in force, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// The catalog revision that was asked about.
    pub revision: Revision,
    /// The number of daemons that have adopted this or a later revision.
    pub adopted: usize,
    /// The number of all daemons.
    pub members: usize,
    /// The daemons that have not adopted it, each with its adopted revision; `None` if it has not
    /// answered.
    pub others: Vec<(SocketAddr, Option<Revision>)>,
}

impl InForcePoll {
    /// Prepares to ask `members` about `revision`. The poll is finished after `timeout` at the
    /// latest.
    pub fn new(
        revision: Revision,
        members: &[SocketAddr],
        timeout: Duration,
        now: Instant,
    ) -> InForcePoll {
        let known: BTreeMap<_, _> = members.iter().map(|&member| (member, None)).collect();
        let queue = known.keys().copied().collect();
        InForcePoll { revision, deadline: now + timeout, known, queue, in_flight: 0 }
    }

    /// Handles the versions in a heartbeat or in the answer to a pull. A later incarnation
    /// replaces an earlier one even if its revision is lower, because a restarted daemon has
    /// adopted nothing.
    pub fn on_versions(&mut self, from: SocketAddr, incarnation: Incarnation, versions: Versions) {
        let adopted = Adopted { incarnation, revision: versions.catalog };
        if let Some(known) = self.known.get_mut(&from)
            && known.is_none_or(|known| adopted > known)
        {
            *known = Some(adopted);
        }
    }

    /// The daemons to pull from next. [`InForcePoll::on_pull_done`] must be called for each pull
    /// when it is answered or has failed.
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

    /// Handles the end of a pull, answered or failed.
    pub fn on_pull_done(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether no pull is in flight or left to make, or the deadline has passed.
    pub fn is_finished(&self, now: Instant) -> bool {
        now >= self.deadline || (self.in_flight == 0 && self.queue.is_empty())
    }

    /// The report from the answers so far.
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
