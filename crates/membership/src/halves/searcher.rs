//! The halves of one searcher as seen by one process.

use tokio::time::Instant;

use super::Allowance;
use super::Half;
use super::Usage;
use crate::ids::MemberId;
use crate::ownership::Candidate;
use crate::ownership::Pair;
use crate::ownership::SearcherSpec;
use crate::ownership::ranked_pair;
use tt_model::Epoch;

/// A lease of the lower half's slots that this process has granted to the owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct GrantedLease {
    pub(super) to: MemberId,
    pub(super) until: Instant,
}

/// A lease of the lower half's slots that this process has as the owner. Its end is kept on both
/// clocks; see [`Allowance::until_unix_ms`].
#[derive(Debug, Clone, Copy)]
struct ReceivedLease {
    until: Instant,
    until_unix_ms: u64,
}

/// What a process knows about one half.
#[derive(Debug, Clone, PartialEq, Eq)]
enum HalfState {
    /// Not held and not assigned.
    NotHeld,
    /// Assigned in the current epoch, but these processes may still hold it.
    Waiting(Vec<MemberId>),
    /// Held; `assigned` is the last epoch in which it was assigned to this process.
    Held { assigned: Epoch },
    /// Held, but another process has asked for its release, so no new work may use it.
    Releasing { assigned: Epoch },
}

impl HalfState {
    fn assigned(&self) -> Option<Epoch> {
        match self {
            HalfState::Held { assigned } | HalfState::Releasing { assigned } => Some(*assigned),
            HalfState::NotHeld | HalfState::Waiting(_) => None,
        }
    }

    fn holders(&self) -> &[MemberId] {
        match self {
            HalfState::Waiting(holders) => holders,
            HalfState::NotHeld | HalfState::Held { .. } | HalfState::Releasing { .. } => &[],
        }
    }

    fn assign(&mut self, epoch: Epoch, holders: Vec<MemberId>) {
        *self = match self {
            HalfState::Held { .. } | HalfState::Releasing { .. } => {
                HalfState::Held { assigned: epoch }
            }
            HalfState::NotHeld | HalfState::Waiting(_) => HalfState::Waiting(holders),
        };
    }

    fn unassign(&mut self) {
        if matches!(self, HalfState::Waiting(_)) {
            *self = HalfState::NotHeld;
        }
    }
}

/// Both halves of a searcher, and the leases of the lower one.
#[derive(Debug)]
pub(super) struct SearcherHalves {
    pub(super) spec: SearcherSpec,
    upper: HalfState,
    lower: HalfState,
    /// The last lease granted. Until it ends, the lower half is neither used nor released.
    granted: Option<GrantedLease>,
    /// The owner has asked for a lease while the lower half was in use. No new work may use its
    /// slots until this time, so that the next request can be granted.
    reserved_until: Option<Instant>,
    /// The last lease received.
    received: Option<ReceivedLease>,
    role: Role,
}

/// The role of this process in the pair of the current epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Owner,
    Successor,
    /// There is only one member.
    Both,
    Neither,
}

impl SearcherHalves {
    pub(super) fn new(spec: SearcherSpec) -> SearcherHalves {
        SearcherHalves {
            spec,
            upper: HalfState::NotHeld,
            lower: HalfState::NotHeld,
            granted: None,
            reserved_until: None,
            received: None,
            role: Role::Neither,
        }
    }

    /// Applies the pair of a new epoch. `history` has the candidates of earlier epochs, from which
    /// follow the processes that may still hold a half.
    pub(super) fn assign(
        &mut self,
        current: Option<Pair>,
        epoch: Epoch,
        me: MemberId,
        history: &[Vec<Candidate>],
    ) {
        self.role = match current {
            Some(p) if p.owner == me && p.successor == me => Role::Both,
            Some(p) if p.owner == me => Role::Owner,
            Some(p) if p.successor == me => Role::Successor,
            _ => Role::Neither,
        };
        let holders = |half: Half| {
            let mut ids: Vec<MemberId> = history
                .iter()
                .filter_map(|members| ranked_pair(members, self.spec.key, self.spec.domain))
                .map(|[owner, successor]| match half {
                    Half::Upper => owner,
                    Half::Lower => successor,
                })
                .filter(|candidate| candidate.id != me && !candidate.released)
                .map(|candidate| candidate.id)
                .collect();
            ids.sort_unstable();
            ids.dedup();
            ids
        };
        if matches!(self.role, Role::Owner | Role::Both) {
            let holders = if self.holds(Half::Upper) { Vec::new() } else { holders(Half::Upper) };
            self.upper.assign(epoch, holders);
        } else {
            self.upper.unassign();
        }
        if matches!(self.role, Role::Successor | Role::Both) {
            let holders = if self.holds(Half::Lower) { Vec::new() } else { holders(Half::Lower) };
            self.lower.assign(epoch, holders);
        } else {
            self.lower.unassign();
        }
    }

    pub(super) fn allowance(&self, now: Instant) -> Allowance {
        let mut allowance = Allowance::default();
        if matches!(self.upper, HalfState::Held { .. }) {
            allowance.slots += Half::Upper.of(self.spec.slots);
            allowance.connections += Half::Upper.of(self.spec.connections);
        }
        if matches!(self.lower, HalfState::Held { .. }) {
            allowance.connections += Half::Lower.of(self.spec.connections);
            let reserved = self.reserved_until.is_some_and(|until| now < until);
            if !self.is_leased_out(now) && !reserved {
                allowance.slots += Half::Lower.of(self.spec.slots);
            }
        }
        if let Some(lease) = self.received.filter(|lease| now < lease.until)
            && matches!(self.upper, HalfState::Held { .. })
        {
            allowance.leased = Half::Lower.of(self.spec.slots);
            allowance.until_unix_ms = Some(lease.until_unix_ms);
        }
        allowance
    }

    /// Leases out the slots of the lower half if they are not in use. Returns whether it did.
    pub(super) fn grant_lease(&mut self, lease: GrantedLease, usage: Usage, now: Instant) -> bool {
        if !matches!(self.lower, HalfState::Held { .. }) {
            return false;
        }
        if self.granted.is_some_and(|old| now < old.until && old.to != lease.to) {
            return false;
        }
        let upper_slots = if self.holds(Half::Upper) { Half::Upper.of(self.spec.slots) } else { 0 };
        if usage.slots > upper_slots {
            self.reserved_until = Some(lease.until);
            return false;
        }
        self.reserved_until = None;
        self.granted = Some(lease);
        true
    }

    /// Records a lease that the successor has granted, unless a later one is known.
    pub(super) fn accept_lease(&mut self, until: Instant, until_unix_ms: u64) {
        if self.received.is_none_or(|old| old.until < until) {
            self.received = Some(ReceivedLease { until, until_unix_ms });
        }
    }

    /// Releases a half if it is neither assigned to this process nor in use, and otherwise lets no
    /// new work use it if it isn't assigned. Returns whether this process does not hold it and
    /// is not about to take it.
    pub(super) fn try_release(&mut self, half: Half, usage: Usage, now: Instant) -> bool {
        let assigned = match half {
            Half::Upper => matches!(self.role, Role::Owner | Role::Both),
            Half::Lower => matches!(self.role, Role::Successor | Role::Both),
        };
        if !self.holds(half) {
            return !assigned;
        }
        // A successor that has become the owner serves with the lower half until it gets the upper
        // one. The release of an upper half never waits for a lower one, so two members that
        // exchange their roles do not deadlock.
        let needed_meanwhile = half == Half::Lower && matches!(self.upper, HalfState::Waiting(_));
        if assigned || needed_meanwhile {
            return false;
        }
        let state = match half {
            Half::Upper => &mut self.upper,
            Half::Lower => &mut self.lower,
        };
        if let Some(assigned) = state.assigned() {
            *state = HalfState::Releasing { assigned };
        }
        let mut slots = 0;
        let mut connections = 0;
        for other in [Half::Upper, Half::Lower] {
            if other != half && self.holds(other) {
                slots += other.of(self.spec.slots);
                connections += other.of(self.spec.connections);
            }
        }
        if half == Half::Upper && self.is_leased_out(now) {
            slots = 0;
        }
        let in_use = usage.slots > slots || usage.connections > connections;
        if in_use || (half == Half::Lower && self.is_leased_out(now)) {
            return false;
        }
        match half {
            Half::Upper => self.upper = HalfState::NotHeld,
            Half::Lower => self.lower = HalfState::NotHeld,
        }
        true
    }

    /// Releases both halves of a searcher that is in no document any more, if it isn't in use or
    /// leased out.
    pub(super) fn release_if_idle(&mut self, usage: Usage, now: Instant) {
        if usage == Usage::default() && !self.is_leased_out(now) {
            self.upper = HalfState::NotHeld;
            self.lower = HalfState::NotHeld;
        }
    }

    /// Notes that an earlier holder does not hold a half.
    pub(super) fn released_by(&mut self, half: Half, id: MemberId) {
        let state = match half {
            Half::Upper => &mut self.upper,
            Half::Lower => &mut self.lower,
        };
        if let HalfState::Waiting(holders) = state {
            holders.retain(|holder| *holder != id);
        }
    }

    /// Takes the assigned halves that no process may still hold. `free` tells whether a process
    /// has ended and its halves are free.
    pub(super) fn take_free<F>(&mut self, epoch: Epoch, free: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        for state in [&mut self.upper, &mut self.lower] {
            if let HalfState::Waiting(holders) = state {
                holders.retain(|id| !free(id));
                if holders.is_empty() {
                    *state = HalfState::Held { assigned: epoch };
                }
            }
        }
    }

    pub(super) fn holds(&self, half: Half) -> bool {
        match half {
            Half::Upper => self.upper.assigned().is_some(),
            Half::Lower => self.lower.assigned().is_some(),
        }
    }

    pub(super) fn held_count(&self) -> usize {
        usize::from(self.holds(Half::Upper)) + usize::from(self.holds(Half::Lower))
    }

    pub(super) fn waiting_count(&self) -> usize {
        [&self.upper, &self.lower].iter().filter(|r| matches!(r, HalfState::Waiting(_))).count()
    }

    /// The processes that may still hold halves that are assigned to this one.
    pub(super) fn holders(&self) -> impl Iterator<Item = (Half, MemberId)> {
        let upper = self.upper.holders().iter().map(|&id| (Half::Upper, id));
        let lower = self.lower.holders().iter().map(|&id| (Half::Lower, id));
        upper.chain(lower)
    }

    /// The oldest of the epochs in which the held halves were last assigned; `Epoch(u64::MAX)` if
    /// none is held.
    pub(super) fn oldest_held_epoch(&self) -> Epoch {
        let held = [self.upper.assigned(), self.lower.assigned()];
        held.into_iter().flatten().min().unwrap_or(Epoch(u64::MAX))
    }

    fn is_leased_out(&self, now: Instant) -> bool {
        self.granted.is_some_and(|lease| now < lease.until)
    }
}
