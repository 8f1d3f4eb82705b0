//! The difference between two documents, object by object.

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
    /// A failure domain of VMs.
    Domain,
    /// A service class.
    Class,
    /// A service, including its contract.
    Service,
    /// A backend server.
    Searcher,
    /// A shard and its replicas.
    Shard,
}

/// How an object differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// The object is only in the new document.
    Added,
    /// The object is only in the old document.
    Removed,
    /// The object is in both documents with these different fields.
    Changed(Vec<FieldChange>),
}

/// A field of an object that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The name of the field in the document.
    pub field: &'static str,
    /// The value in the old document.
    pub from: String,
    /// The value in the new document.
    pub to: String,
}

/// An object that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectChange {
    /// Determines which list of the document the object is in.
    pub kind: ObjectKind,
    /// The name, unique among objects of this kind.
    pub name: String,
    /// Whether the object was added, removed or changed.
    pub effect: Effect,
}

/// All objects that differ between two documents. Displayed as one line for each object and each
/// changed field.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Diff {
    /// Sorted by kind, then by name.
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

/// The fields of an object, by name. References to other objects are given by name, because the
/// keys of two documents cannot be compared.
type Fields = Vec<(&'static str, String)>;

/// Returns the objects of one kind, by name.
type ListObjects = fn(&Environment) -> BTreeMap<&str, Fields>;

/// Compares two documents.
pub fn diff(from: &Environment, to: &Environment) -> Diff {
    let kinds: [(ObjectKind, ListObjects); 5] = [
        (ObjectKind::Domain, domains),
        (ObjectKind::Class, classes),
        (ObjectKind::Service, services),
        (ObjectKind::Searcher, searchers),
        (ObjectKind::Shard, shards),
    ];
    let mut changes = Vec::new();
    for (kind, list) in kinds {
        let (before, after) = (list(from), list(to));
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
            ("prefer", lowercase_name(class.prefer)),
            ("deadline_ms", class.timeout.as_millis().to_string()),
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
                join_sorted(
                    service.shards.iter().map(|&shard| environment.shards[shard].name.as_str()),
                ),
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
            ("connect_ms", (searcher.connect_time.as_secs_f64() * 1e3).to_string()),
            ("state", lowercase_name(searcher.state)),
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
            ("replicas", join_sorted(replicas)),
            ("from", shard.from.to_string()),
            ("until", shard.until.map_or_else(|| "none".to_owned(), |until| until.to_string())),
            ("parents", join_sorted(shard.parents.iter().map(shard_name))),
        ]
    };
    environment.shards.values().map(|shard| (shard.name.as_str(), fields(shard))).collect()
}

/// Joins names in alphabetical order, because their order in the document has no effect.
fn join_sorted<'a, I>(names: I) -> String
where
    I: Iterator<Item = &'a str>,
{
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    names.join(" ")
}

/// The name of an enum variant in lower case, as it is written in documents.
fn lowercase_name<T>(value: T) -> String
where
    T: Debug,
{
    format!("{value:?}").to_lowercase()
}
