//! The choice of the snapshot that a query is pinned to, and of the shards it searches.
//!
//! The shards that exist at one snapshot partition the index. A requested shard that does
//! not exist at the pinned snapshot is replaced along its lineage: a shard that has ended by
//! those of its descendants that exist, a shard that does not exist yet by those of its
//! ancestors that exist. Each shard is searched once, even if several requested shards lead
//! to it. Hence no data of a requested shard is missed, and none is counted twice. An
//! ancestor, or the result of a merge, may add data of other shards. The answer therefore
//! lists the shards that were searched, not those that the caller named.

use std::sync::Arc;

use crate::view::ShardAvailability;
use crate::view::View;
use tt_model::Arena;
use tt_model::Environment;
use tt_model::Preference;
use tt_model::ResultCode;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;

/// The shards that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shards {
    /// Every shard that the service may search.
    All,
    /// The shards that the caller named.
    Named(Vec<ShardId>),
}

/// The snapshots that a plan may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotFilter {
    /// All snapshots.
    Any,
    /// Snapshots newer than this one, for a restart.
    After(Snapshot),
}

/// The pinned snapshot and the shards of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The snapshot that all sub-queries search.
    pub snapshot: Snapshot,
    /// The shards to search. All exist at the snapshot, and each is listed once.
    pub shards: Vec<ShardId>,
    /// Named shards that do not exist at the snapshot, nor does any shard of their lineage.
    pub absent: Vec<ShardId>,
    /// How many of `shards` have a replica that can serve the snapshot, as far as is known.
    pub servable: usize,
}

/// Chooses the snapshot and the shards of queries over one environment.
#[derive(Debug)]
pub struct Planner {
    environment: Arc<Environment>,
    children: Arena<ShardId, Vec<ShardId>>,
    // For each shard, the number of the last expansion that added it. With this, no set has
    // to be cleared for each query.
    added: Arena<ShardId, u64>,
    // For each shard, the number of the last lineage traversal that visited it.
    visited: Arena<ShardId, u64>,
    expansion: u64,
    traversal: u64,
    stack: Vec<ShardId>,
}

/// How well a snapshot suits a query, as numbers of shards. Compared field by field.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotScore {
    servable: usize,
    healthy: usize,
    fast: usize,
}

impl Planner {
    /// Creates a planner for `environment`.
    pub fn new(environment: Arc<Environment>) -> Self {
        let mut children: Arena<ShardId, Vec<ShardId>> =
            environment.shards.keys().map(|_| Vec::new()).collect();
        for (id, shard) in environment.shards.iter() {
            for &parent in &shard.parents {
                children[parent].push(id);
            }
        }
        let added: Arena<ShardId, u64> = environment.shards.keys().map(|_| 0).collect();
        let visited = added.clone();
        Planner {
            environment,
            children,
            added,
            visited,
            expansion: 0,
            traversal: 0,
            stack: Vec::new(),
        }
    }

    /// Checks that `service` exists and may search `shards`. The error is
    /// [`ResultCode::UnknownService`], [`ResultCode::UnknownShard`] or
    /// [`ResultCode::ShardNotAllowed`].
    pub fn check(&self, service: ServiceId, shards: &Shards) -> Result<(), ResultCode> {
        let service = self.environment.services.get(service).ok_or(ResultCode::UnknownService)?;
        let Shards::Named(named) = shards else { return Ok(()) };
        for &shard in named {
            if self.environment.shards.get(shard).is_none() {
                return Err(ResultCode::UnknownShard);
            }
            if service.shards.binary_search(&shard).is_err() {
                return Err(ResultCode::ShardNotAllowed);
            }
        }
        Ok(())
    }

    /// Chooses the newest snapshot that satisfies `prefer` for every shard: a healthy replica
    /// holds it for `Coverage`, all fast replicas hold it for `Latency`. If there is none,
    /// chooses the snapshot that the replicas of most shards can serve, the newest among
    /// equals. `None` if no known snapshot can be served for any shard.
    pub fn plan(
        &mut self,
        view: &View,
        service: ServiceId,
        shards: &Shards,
        prefer: Preference,
        filter: SnapshotFilter,
    ) -> Option<Plan> {
        let mut best: Option<(SnapshotScore, Plan)> = None;
        for snapshot in view.snapshots() {
            match filter {
                SnapshotFilter::After(previous) if snapshot <= previous => break,
                SnapshotFilter::After(_) | SnapshotFilter::Any => {}
            }
            let mut plan = self.expand(service, shards, snapshot);
            let score = score(view, &plan);
            plan.servable = score.servable;
            let usable = match prefer {
                Preference::Coverage => score.healthy,
                Preference::Latency => score.fast,
            };
            if usable == plan.shards.len() && score.servable > 0 {
                return Some(plan);
            }
            if score.servable > 0 && best.as_ref().is_none_or(|(other, _)| score > *other) {
                best = Some((score, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// The plan for `snapshot`, without the number of servable shards.
    pub fn expand(&mut self, service: ServiceId, shards: &Shards, snapshot: Snapshot) -> Plan {
        self.expansion += 1;
        let environment = Arc::clone(&self.environment);
        let requested = match shards {
            Shards::All => &environment.services[service].shards,
            Shards::Named(named) => named,
        };
        let mut plan = Plan {
            snapshot,
            shards: Vec::with_capacity(requested.len()),
            absent: Vec::new(),
            servable: 0,
        };
        for &shard in requested {
            if environment.shards[shard].exists_at(snapshot) {
                self.add(shard, &mut plan.shards);
                continue;
            }
            let found = self.add_relatives(shard, snapshot, &mut plan.shards);
            // With `All`, a shard without relatives is not part of the index at the snapshot.
            if found == 0 && *shards != Shards::All && !plan.absent.contains(&shard) {
                plan.absent.push(shard);
            }
        }
        plan
    }

    /// Adds the descendants or ancestors that replace `shard` at `snapshot` and returns how
    /// many there are.
    fn add_relatives(
        &mut self,
        shard: ShardId,
        snapshot: Snapshot,
        set: &mut Vec<ShardId>,
    ) -> usize {
        let environment = Arc::clone(&self.environment);
        let ended = environment.shards[shard].until.is_some_and(|until| until <= snapshot);
        let mut found = 0;
        let mut stack = std::mem::take(&mut self.stack);
        stack.push(shard);
        self.traversal += 1;
        while let Some(current) = stack.pop() {
            // After splits and merges, several paths may lead to the same shard.
            if self.visited[current] == self.traversal {
                continue;
            }
            self.visited[current] = self.traversal;
            if environment.shards[current].exists_at(snapshot) {
                found += 1;
                self.add(current, set);
            } else if ended {
                stack.extend(&self.children[current]);
            } else {
                stack.extend(&environment.shards[current].parents);
            }
        }
        self.stack = stack;
        found
    }

    fn add(&mut self, shard: ShardId, set: &mut Vec<ShardId>) {
        if self.added[shard] != self.expansion {
            self.added[shard] = self.expansion;
            set.push(shard);
        }
    }
}

fn score(view: &View, plan: &Plan) -> SnapshotScore {
    let mut score = SnapshotScore::default();
    for &shard in &plan.shards {
        let availability = view.availability(shard, plan.snapshot);
        score.servable += usize::from(availability > ShardAvailability::Unavailable);
        score.healthy += usize::from(availability > ShardAvailability::EjectedOnly);
        score.fast += usize::from(availability > ShardAvailability::Healthy);
    }
    score
}
