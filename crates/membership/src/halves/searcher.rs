//! The rights of one process to one searcher.

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

/// A promise given to an owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lend {
    pub(super) to: MemberId,
    pub(super) until: Instant,
}

/// A promise received from the holder of the lower half.
#[derive(Debug, Clone, Copy)]
struct Promise {
    until: Instant,
    until_unix_ms: u64,
}

/// What a process knows about one half.
#[derive(Debug, Clone, PartialEq, Eq)]
enum HalfState {
    /// Not held and not assigned.
    NotHeld,
    /// Assigned in the current epoch; these processes may hold it.
    Waiting(Vec<MemberId>),
    /// Held since it was assigned; `assigned` is the last epoch in which it was.
    Held { assigned: Epoch },
    /// Held, but another process has asked for it, so that no new use is allowed.
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

#[derive(Debug)]
pub(super) struct SearcherHalves {
    pub(super) spec: SearcherSpec,
    upper: HalfState,
    lower: HalfState,
    /// The last promise given. The lower half is not used or released until its end.
    lent: Option<Lend>,
    /// The owner wants a promise, but the lower half was in use: no new use until then.
    wish: Option<Instant>,
    promise: Option<Promise>,
    role: Role,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Owner,
    Successor,
    /// The only member is both.
    Both,
    Neither,
}

impl SearcherHalves {
    pub(super) fn new(spec: SearcherSpec) -> SearcherHalves {
        SearcherHalves {
            spec,
            upper: HalfState::NotHeld,
            lower: HalfState::NotHeld,
            lent: None,
            wish: None,
            promise: None,
            role: Role::Neither,
        }
    }

    /// Takes the pair of a new epoch and the members of earlier epochs.
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
            let wished = self.wish.is_some_and(|until| now < until);
            if !self.is_lent(now) && !wished {
                allowance.slots += Half::Lower.of(self.spec.slots);
            }
        }
        if let Some(promise) = self.promise.filter(|p| now < p.until)
            && matches!(self.upper, HalfState::Held { .. })
        {
            allowance.leased = Half::Lower.of(self.spec.slots);
            allowance.until_unix_ms = Some(promise.until_unix_ms);
        }
        allowance
    }

    /// Promises the slots of the lower half, if they are not in use.
    pub(super) fn lend(&mut self, lend: Lend, usage: Usage, now: Instant) -> bool {
        if !matches!(self.lower, HalfState::Held { .. }) {
            return false;
        }
        if self.lent.is_some_and(|old| now < old.until && old.to != lend.to) {
            return false;
        }
        let other = if self.holds(Half::Upper) { Half::Upper.of(self.spec.slots) } else { 0 };
        if usage.slots > other {
            self.wish = Some(lend.until);
            return false;
        }
        self.wish = None;
        self.lent = Some(lend);
        true
    }

    pub(super) fn promised(&mut self, until: Instant, until_unix_ms: u64) {
        if self.promise.is_none_or(|old| old.until < until) {
            self.promise = Some(Promise { until, until_unix_ms });
        }
    }

    /// Gives a half up if it is not assigned and not in use. Returns whether it is not held.
    pub(super) fn release(&mut self, half: Half, usage: Usage, now: Instant) -> bool {
        let assigned = match half {
            Half::Upper => matches!(self.role, Role::Owner | Role::Both),
            Half::Lower => matches!(self.role, Role::Successor | Role::Both),
        };
        if !self.holds(half) {
            return !assigned;
        }
        // A successor that has become the owner serves with the lower half until it gets
        // the upper one. The upper half never waits for the lower one, so two members that
        // exchange their roles do not wait for each other.
        let bridging = half == Half::Lower && matches!(self.upper, HalfState::Waiting(_));
        if assigned || bridging {
            return false;
        }
        let right = match half {
            Half::Upper => &mut self.upper,
            Half::Lower => &mut self.lower,
        };
        if let Some(assigned) = right.assigned() {
            *right = HalfState::Releasing { assigned };
        }
        let mut slots = 0;
        let mut connections = 0;
        for kept in [Half::Upper, Half::Lower] {
            if kept != half && self.holds(kept) {
                slots += kept.of(self.spec.slots);
                connections += kept.of(self.spec.connections);
            }
        }
        if half == Half::Upper && self.is_lent(now) {
            slots = 0;
        }
        let in_use = usage.slots > slots || usage.connections > connections;
        if in_use || (half == Half::Lower && self.is_lent(now)) {
            return false;
        }
        match half {
            Half::Upper => self.upper = HalfState::NotHeld,
            Half::Lower => self.lower = HalfState::NotHeld,
        }
        true
    }

    /// Releases a searcher that no document names any more.
    pub(super) fn release_all(&mut self, usage: Usage, now: Instant) {
        if usage == Usage::default() && !self.is_lent(now) {
            self.upper = HalfState::NotHeld;
            self.lower = HalfState::NotHeld;
        }
    }

    pub(super) fn released_by(&mut self, half: Half, id: MemberId) {
        let right = match half {
            Half::Upper => &mut self.upper,
            Half::Lower => &mut self.lower,
        };
        if let HalfState::Waiting(holders) = right {
            holders.retain(|holder| *holder != id);
        }
    }

    /// Takes the halves whose earlier holders have all released them or are free.
    pub(super) fn take_free<F>(&mut self, epoch: Epoch, free: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        for right in [&mut self.upper, &mut self.lower] {
            if let HalfState::Waiting(holders) = right {
                holders.retain(|id| !free(id));
                if holders.is_empty() {
                    *right = HalfState::Held { assigned: epoch };
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

    pub(super) fn halves(&self) -> usize {
        usize::from(self.holds(Half::Upper)) + usize::from(self.holds(Half::Lower))
    }

    pub(super) fn waiting(&self) -> usize {
        [&self.upper, &self.lower].iter().filter(|r| matches!(r, HalfState::Waiting(_))).count()
    }

    /// The processes that must release halves that are assigned to this one.
    pub(super) fn holders(&self) -> impl Iterator<Item = (Half, MemberId)> {
        let upper = self.upper.holders().iter().map(|&id| (Half::Upper, id));
        let lower = self.lower.holders().iter().map(|&id| (Half::Lower, id));
        upper.chain(lower)
    }

    /// The oldest of the epochs in which the halves held were last assigned.
    pub(super) fn oldest_held_epoch(&self) -> Epoch {
        let held = [self.upper.assigned(), self.lower.assigned()];
        held.into_iter().flatten().min().unwrap_or(Epoch(u64::MAX))
    }

    fn is_lent(&self, now: Instant) -> bool {
        self.lent.is_some_and(|lent| now < lent.until)
    }
}
