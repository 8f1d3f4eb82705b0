//! Which snapshot a query is pinned to and which shards it asks.
//!
//! The shards that exist at one snapshot partition the index. A requested shard that
//! does not exist at the pinned snapshot is replaced along its lineage: one that has
//! ended by its descendants that exist, one that does not exist yet by its ancestors
//! that exist. Each shard is asked once, however many requested shards lead to it. So
//! no data of a requested shard is missed and none is counted twice; an ancestor (or
//! the product of a merge) may add data of neighbouring shards, which is why the answer
//! lists the shards that were asked, not those that were named.

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

/// The shards that a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shards {
    /// Every shard that the service may ask.
    All,
    /// These shards.
    Named(Vec<ShardId>),
}

/// The snapshots that a plan may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotFilter {
    /// Any snapshot.
    Any,
    /// Only snapshots after this one.
    After(Snapshot),
}

/// The pinned snapshot and the shard set of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The pinned snapshot.
    pub snapshot: Snapshot,
    /// The shards to ask; all exist at the snapshot, none is named twice.
    pub shards: Vec<ShardId>,
    /// Named shards that neither exist at the snapshot nor have relatives that do.
    pub absent: Vec<ShardId>,
    /// The shards that a replica can serve as far as is known.
    pub servable: usize,
}

/// Plans queries over one environment.
#[derive(Debug)]
pub struct Planner {
    environment: Arc<Environment>,
    children: Arena<ShardId, Vec<ShardId>>,
    // The expansion that added a shard last; avoids clearing a set for each query.
    added: Arena<ShardId, u64>,
    // The walk along a lineage that passed a shard last.
    walked: Arena<ShardId, u64>,
    pass: u64,
    walk: u64,
    path: Vec<ShardId>,
}

/// SnapshotScore of a snapshot for a query; compared field by field.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotScore {
    served: usize,
    healthy: usize,
    fast: usize,
}

impl Planner {
    /// A planner for `environment`.
    pub fn new(environment: Arc<Environment>) -> Self {
        let mut children: Arena<ShardId, Vec<ShardId>> =
            environment.shards.keys().map(|_| Vec::new()).collect();
        for (id, shard) in environment.shards.iter() {
            for &parent in &shard.parents {
                children[parent].push(id);
            }
        }
        let added: Arena<ShardId, u64> = environment.shards.keys().map(|_| 0).collect();
        let walked = added.clone();
        Planner { environment, children, added, walked, pass: 0, walk: 0, path: Vec::new() }
    }

    /// Checks that `service` may ask for `shards`.
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

    /// Pins the newest snapshot that satisfies `prefer`: for `coverage` every shard has a
    /// healthy replica that holds it, for `latency` a fast one. Without such a snapshot,
    /// takes the one that covers most shards, the newest among equals. `None` if no known
    /// snapshot serves any shard.
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
                SnapshotFilter::After(passed) if snapshot <= passed => break,
                SnapshotFilter::After(_) | SnapshotFilter::Any => {}
            }
            let mut plan = self.expand(service, shards, snapshot);
            let score = score(view, &plan);
            plan.servable = score.served;
            let whole = match prefer {
                Preference::Coverage => score.healthy,
                Preference::Latency => score.fast,
            };
            if whole == plan.shards.len() && score.served > 0 {
                return Some(plan);
            }
            if score.served > 0 && best.as_ref().is_none_or(|(other, _)| score > *other) {
                best = Some((score, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// The shard set of a query at `snapshot`.
    pub fn expand(&mut self, service: ServiceId, shards: &Shards, snapshot: Snapshot) -> Plan {
        self.pass += 1;
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
            let found = self.relatives(shard, snapshot, &mut plan.shards);
            // A shard of `All` without relatives is not part of the index at the snapshot.
            if found == 0 && *shards != Shards::All && !plan.absent.contains(&shard) {
                plan.absent.push(shard);
            }
        }
        plan
    }

    /// Adds the relatives of `shard` that exist at `snapshot` and returns how many there are.
    fn relatives(&mut self, shard: ShardId, snapshot: Snapshot, set: &mut Vec<ShardId>) -> usize {
        let environment = Arc::clone(&self.environment);
        let ended = environment.shards[shard].until.is_some_and(|until| until <= snapshot);
        let mut found = 0;
        let mut path = std::mem::take(&mut self.path);
        path.push(shard);
        self.walk += 1;
        while let Some(at) = path.pop() {
            // Splits followed by merges reach a shard on several paths.
            if self.walked[at] == self.walk {
                continue;
            }
            self.walked[at] = self.walk;
            if environment.shards[at].exists_at(snapshot) {
                found += 1;
                self.add(at, set);
            } else if ended {
                path.extend(&self.children[at]);
            } else {
                path.extend(&environment.shards[at].parents);
            }
        }
        self.path = path;
        found
    }

    fn add(&mut self, shard: ShardId, set: &mut Vec<ShardId>) {
        if self.added[shard] != self.pass {
            self.added[shard] = self.pass;
            set.push(shard);
        }
    }
}

fn score(view: &View, plan: &Plan) -> SnapshotScore {
    let mut score = SnapshotScore::default();
    for &shard in &plan.shards {
        let availability = view.availability(shard, plan.snapshot);
        score.served += usize::from(availability > ShardAvailability::Unavailable);
        score.healthy += usize::from(availability > ShardAvailability::EjectedOnly);
        score.fast += usize::from(availability > ShardAvailability::Healthy);
    }
    score
}
