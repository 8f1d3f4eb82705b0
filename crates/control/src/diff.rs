//! What a change does, in terms of the objects of two documents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fmt::Debug;

use serde::Serialize;

use tt_model::Contract;
use tt_model::Environment;
use tt_model::Searcher;
use tt_model::Shard;

/// The kind of an object in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A failure domain.
    Domain,
    /// A service class.
    Class,
    /// A service with its contract.
    Service,
    /// A searcher.
    Searcher,
    /// A shard.
    Shard,
}

/// What happens to an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It is new.
    Added,
    /// It is no longer there.
    Removed,
    /// Some of its fields differ.
    Changed(Vec<FieldChange>),
}

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The name of the field in the document.
    pub field: &'static str,
    /// Its value before.
    pub from: String,
    /// Its value after.
    pub to: String,
}

/// An object that a change affects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectChange {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
    /// What happens to it.
    pub effect: Effect,
}

/// All objects that a change affects, by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Diff {
    /// The objects.
    pub changes: Vec<ObjectChange>,
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return writeln!(f, "no object changes");
        }
        for change in &self.changes {
            let kind = format!("{:?}", change.kind).to_lowercase();
            match &change.effect {
                Effect::Added => writeln!(f, "+ {kind} {}", change.name)?,
                Effect::Removed => writeln!(f, "- {kind} {}", change.name)?,
                Effect::Changed(fields) => {
                    writeln!(f, "~ {kind} {}", change.name)?;
                    for field in fields {
                        writeln!(f, "    {}: {} -> {}", field.field, field.from, field.to)?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// An object as the values of its fields. References are names, because keys of two
/// documents cannot be compared.
type Fields = Vec<(&'static str, String)>;

/// Reads the objects of one kind.
type Table = fn(&Environment) -> BTreeMap<&str, Fields>;

/// The difference between two documents.
pub fn diff(from: &Environment, to: &Environment) -> Diff {
    let tables: [(ObjectKind, Table); 5] = [
        (ObjectKind::Domain, domains),
        (ObjectKind::Class, classes),
        (ObjectKind::Service, services),
        (ObjectKind::Searcher, searchers),
        (ObjectKind::Shard, shards),
    ];
    let mut changes = Vec::new();
    for (kind, table) in tables {
        let (before, after) = (table(from), table(to));
        let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
        for name in names {
            let effect = match (before.get(name), after.get(name)) {
                (None, _) => Effect::Added,
                (_, None) => Effect::Removed,
                (Some(before), Some(after)) if before == after => continue,
                (Some(before), Some(after)) => Effect::Changed(field_changes(before, after)),
            };
            changes.push(ObjectChange { kind, name: name.to_owned(), effect });
        }
    }
    Diff { changes }
}

fn field_changes(before: &Fields, after: &Fields) -> Vec<FieldChange> {
    before
        .iter()
        .zip(after)
        .filter(|(before, after)| before != after)
        .map(|((field, from), (_, to))| FieldChange { field, from: from.clone(), to: to.clone() })
        .collect()
}

fn domains(environment: &Environment) -> BTreeMap<&str, Fields> {
    environment.domains.values().map(|domain| (domain.name.as_str(), Vec::new())).collect()
}

fn classes(environment: &Environment) -> BTreeMap<&str, Fields> {
    let fields = |class: &tt_model::Class| {
        vec![
            ("prefer", lower(class.prefer)),
            ("deadline_ms", class.deadline.as_millis().to_string()),
            ("hedge_quantile", class.hedge_quantile.to_string()),
            ("urgency", class.urgency.to_string()),
        ]
    };
    environment.classes.values().map(|class| (class.name.as_str(), fields(class))).collect()
}

fn services(environment: &Environment) -> BTreeMap<&str, Fields> {
    let fields = |service: &tt_model::Service| {
        let Contract { rate, burst, concurrency, share } = service.contract;
        vec![
            ("class", environment.classes[service.class].name.clone()),
            ("contract.rate", rate.to_string()),
            ("contract.burst", burst.to_string()),
            ("contract.concurrency", concurrency.to_string()),
            ("contract.share", share.to_string()),
            (
                "shards",
                joined(service.shards.iter().map(|&shard| environment.shards[shard].name.as_str())),
            ),
        ]
    };
    environment.services.values().map(|service| (service.name.as_str(), fields(service))).collect()
}

fn searchers(environment: &Environment) -> BTreeMap<&str, Fields> {
    let fields = |searcher: &Searcher| {
        vec![
            ("address", searcher.address.to_string()),
            ("domain", environment.domains[searcher.domain].name.clone()),
            ("slots", searcher.slots.to_string()),
            ("connections", searcher.connections.to_string()),
            ("connect_ms", (searcher.connect.as_secs_f64() * 1e3).to_string()),
            ("state", lower(searcher.state)),
        ]
    };
    environment
        .searchers
        .values()
        .map(|searcher| (searcher.name.as_str(), fields(searcher)))
        .collect()
}

fn shards(environment: &Environment) -> BTreeMap<&str, Fields> {
    let shard_name = |&shard: &tt_model::ShardId| environment.shards[shard].name.as_str();
    let fields = |shard: &Shard| {
        let replicas = shard.replicas.iter().map(|&s| environment.searchers[s].name.as_str());
        vec![
            ("replicas", joined(replicas)),
            ("from", shard.from.to_string()),
            ("until", shard.until.map_or_else(|| "none".to_owned(), |until| until.to_string())),
            ("parents", joined(shard.parents.iter().map(shard_name))),
        ]
    };
    environment.shards.values().map(|shard| (shard.name.as_str(), fields(shard))).collect()
}

/// Names in alphabetical order: their order in the document has no effect.
fn joined<'a, I>(names: I) -> String
where
    I: Iterator<Item = &'a str>,
{
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    names.join(" ")
}

fn lower<T>(value: T) -> String
where
    T: Debug,
{
    format!("{value:?}").to_lowercase()
}
