//! Checks the invariants against the records of a load and the counters of the stand-ins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;

use crate::load::Record;
use tt_model::Environment;
use tt_standin::Searcher;

/// Violations that are kept in full for each invariant; a few are enough to find the cause.
const MAX_FAULTS: usize = 5;

/// The result of checking one invariant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Invariant {
    /// What must hold, in a few words for reports.
    pub name: &'static str,
    /// Cases checked.
    pub cases: u64,
    /// Cases in which the invariant did not hold.
    pub broken: u64,
    /// Descriptions of the first of these cases.
    pub faults: Vec<String>,
}

/// The results of all invariants checked after a run.
#[derive(Debug, Clone, Default)]
pub struct Checks {
    invariants: Vec<Invariant>,
}

impl Checks {
    /// Checks every answer, and the limits and executions at the searchers.
    pub fn run(
        environment: &Environment,
        records: &[Record],
        searchers: &BTreeMap<String, Searcher>,
    ) -> Checks {
        let mut checks = Checks::default();
        let shards: BTreeSet<&str> =
            environment.shards.values().map(|shard| shard.name.as_str()).collect();
        let answers: Vec<(&Record, &Value)> = records
            .iter()
            .filter_map(|record| record.answer.as_ref().ok().map(|answer| (record, answer)))
            .collect();
        let results = || answers.iter().filter(|(_, answer)| answer["results"].is_array());
        checks.check("one snapshot", results(), |(_, answer)| one_snapshot(answer));
        checks.check("true coverage", results(), |(record, answer)| {
            true_coverage(record, answer, &shards)
        });
        checks.check("own answer", results(), |(record, answer)| own_answer(record, answer));
        let executions = total_executions(searchers);
        let refused = answers.iter().filter(|(_, answer)| answer["ran"] == "no");
        checks.check("not run is true", refused, |(record, answer)| {
            let ran = executions.get(record.id.as_str()).copied().unwrap_or(0);
            // No violation if another request with the same id may have run.
            let other_may_have_run = answers.iter().any(|(other, answer)| {
                other.id == record.id && other.at_most_once && answer["ran"] != "no"
            });
            (ran > 0 && !other_may_have_run)
                .then(|| format!("{}: ran {ran} times, {answer}", record.id))
        });
        let at_most_once = records.iter().filter(|record| record.at_most_once);
        checks.check("at most once", at_most_once, |record| {
            let ran = executions.get(record.id.as_str()).copied().unwrap_or(0);
            (ran > 1).then(|| format!("{} ran {ran} times", record.id))
        });
        checks.check("every request is answered", records.iter(), |record| {
            record.answer.as_ref().err().map(|error| format!("{}: {error}", record.id))
        });
        checks.check("slot and connection limits", searchers.iter(), |(name, searcher)| {
            let counts = searcher.counts();
            (counts.over_slots + counts.over_connections > 0).then(|| {
                format!(
                    "{name}: {} over its slots, {} over its connections",
                    counts.over_slots, counts.over_connections
                )
            })
        });
        checks
    }

    /// Adds the result of an invariant that is checked outside of [`Checks::run`].
    pub fn add(&mut self, name: &'static str, cases: u64, faults: Vec<String>) {
        let broken = faults.len() as u64;
        let faults = faults.into_iter().take(MAX_FAULTS).collect();
        self.invariants.push(Invariant { name, cases, broken, faults });
    }

    /// The results, in the order of the checks.
    pub fn invariants(&self) -> &[Invariant] {
        &self.invariants
    }

    /// Whether no invariant was broken. One without cases counts as held.
    pub fn all_held(&self) -> bool {
        self.invariants.iter().all(|invariant| invariant.broken == 0)
    }

    /// Checks every case. `fault` describes how a case breaks the invariant; `None` if it does not.
    fn check<T, I, F>(&mut self, name: &'static str, cases: I, fault: F)
    where
        I: Iterator<Item = T>,
        F: Fn(T) -> Option<String>,
    {
        let mut count = 0;
        let mut faults = Vec::new();
        for case in cases {
            count += 1;
            faults.extend(fault(case));
        }
        self.add(name, count, faults);
    }
}

/// The hits of an answer, each with the shard that it was returned for.
fn hits(answer: &Value) -> impl Iterator<Item = (&str, &Value)> {
    answer["results"].as_array().into_iter().flatten().flat_map(|result| {
        let shard = result["shard"].as_str().unwrap_or_default();
        result["hits"].as_array().into_iter().flatten().map(move |hit| (shard, hit))
    })
}

/// Finds a hit of another snapshot than that of its answer.
fn one_snapshot(answer: &Value) -> Option<String> {
    let snapshot = &answer["snapshot"];
    hits(answer)
        .find(|(_, hit)| hit["snapshot"] != *snapshot)
        .map(|(shard, hit)| format!("answer of snapshot {snapshot}, but {shard} has {hit}"))
}

/// Compares the shards that an answer names as covered with those of its hits, and, for a search,
/// all shards that it names with those of the environment.
fn true_coverage(record: &Record, answer: &Value, shards: &BTreeSet<&str>) -> Option<String> {
    let names = |list: &Value| -> Vec<String> {
        list.as_array().into_iter().flatten().filter_map(|v| Some(v.as_str()?.to_owned())).collect()
    };
    let covered = names(&answer["covered"]);
    let uncovered: Vec<String> = answer["uncovered"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|gap| Some(gap["shard"].as_str()?.to_owned()))
        .collect();
    let with_hits: Vec<String> = hits(answer)
        .filter(|(shard, hit)| hit["shard"] == *shard)
        .map(|(shard, _)| shard.to_owned())
        .collect();
    if with_hits != covered {
        return Some(format!("{}: covered {covered:?} but hits of {with_hits:?}", record.id));
    }
    let all: BTreeSet<&str> = covered.iter().chain(&uncovered).map(String::as_str).collect();
    if all.len() != covered.len() + uncovered.len() {
        return Some(format!("{}: a shard is named twice", record.id));
    }
    if !record.at_most_once && all != *shards {
        return Some(format!("{}: names {} of {} shards", record.id, all.len(), shards.len()));
    }
    None
}

/// Finds an answer, or a hit, that belongs to another request.
fn own_answer(record: &Record, answer: &Value) -> Option<String> {
    if answer["request_id"] != record.id.as_str() {
        return Some(format!("{}: answer of {}", record.id, answer["request_id"]));
    }
    hits(answer)
        .find(|(_, hit)| hit["query"] != record.id.as_str())
        .map(|(shard, hit)| format!("{}: {shard} has {hit}", record.id))
}

/// The number of executions of each request id, over all searchers.
fn total_executions(searchers: &BTreeMap<String, Searcher>) -> BTreeMap<String, u32> {
    let mut total: BTreeMap<String, u32> = BTreeMap::new();
    for searcher in searchers.values() {
        for (id, count) in searcher.all_executions() {
            *total.entry(id).or_default() += count;
        }
    }
    total
}
