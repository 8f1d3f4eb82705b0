//! Named measurement scenarios, JSON with comments.

use std::time::Duration;

use serde::Deserialize;

use tt_standin::LatencyProfile;

/// The scenarios that come with the tool.
const BUILT_IN: &[(&str, &str)] = &[
    ("stragglers", include_str!("../scenarios/stragglers.jsonc")),
    ("overload", include_str!("../scenarios/overload.jsonc")),
    ("double", include_str!("../scenarios/double.jsonc")),
    ("lose-daemon", include_str!("../scenarios/lose-daemon.jsonc")),
    ("lose-searchers", include_str!("../scenarios/lose-searchers.jsonc")),
    ("lose-domain", include_str!("../scenarios/lose-domain.jsonc")),
    ("fanout-10", include_str!("../scenarios/fanout-10.jsonc")),
    ("fanout-100", include_str!("../scenarios/fanout-100.jsonc")),
    ("fanout-870", include_str!("../scenarios/fanout-870.jsonc")),
];

/// A scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it measures.
    pub about: String,
    /// Number of daemons.
    #[serde(default = "five")]
    pub daemons: usize,
    /// The document that is generated for it.
    pub document: DocumentShape,
    /// How long sub-queries take at the searchers.
    pub searcher: Timing,
    /// Searchers that are slow throughout: the first ones of the document.
    #[serde(default)]
    pub slow: usize,
    /// The load of each service at factor 1, as a part of its contracted rate.
    pub load: f64,
    /// Consecutive windows, each measured on its own.
    pub windows: Vec<Window>,
}

/// The shape of a generated document: every service owns a shard and asks all of them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentShape {
    /// Number of shards.
    pub shards: usize,
    /// Replicas of each shard, each in another failure domain.
    pub replicas: usize,
    /// Slots of each searcher.
    pub slots: u32,
    /// Connections of each searcher.
    pub connections: u32,
    /// Time to set up a connection, in milliseconds.
    pub connect_ms: f64,
    /// Failure domains.
    pub domains: usize,
    /// Deadline of all classes, in milliseconds.
    pub deadline_ms: u64,
    /// Services with their contracts.
    pub services: Vec<ServiceGroup>,
}

/// Services of a generated document with the same contract.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// Prefix of their names, and the name of their class.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// Contracted requests a second of each.
    pub rate: f64,
}

/// How long sub-queries take.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Least time, in milliseconds.
    pub base_ms: f64,
    /// Mean of the exponential part that is added, in milliseconds.
    pub spread_ms: f64,
    /// Part of the sub-queries that take longer.
    #[serde(default)]
    pub straggler_rate: f64,
    /// How many times longer these, and all at slow searchers, take.
    #[serde(default = "ten")]
    pub factor: f64,
}

/// A window of a scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Its name.
    pub name: String,
    /// Its length, in seconds.
    pub seconds: f64,
    /// Load of all services, in units of the scenario's load.
    #[serde(default = "one")]
    pub factor: f64,
    /// Load of the services of one class instead.
    #[serde(default)]
    pub class_factor: Option<ClassFactor>,
    /// What happens at its start.
    #[serde(default)]
    pub event: Event,
}

/// A load for one class.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassFactor {
    /// The class.
    pub class: String,
    /// The load of its services, in units of the scenario's load.
    pub factor: f64,
}

/// Something that happens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Nothing.
    #[default]
    None,
    /// The last daemon is killed.
    KillDaemon,
    /// One searcher of each shard stops answering.
    KillSearchers,
    /// They answer again.
    ReviveSearchers,
    /// All searchers and daemons of the last failure domain stop answering.
    KillDomain,
}

/// The names of the scenarios with what they measure.
pub fn list() -> Vec<Scenario> {
    BUILT_IN.iter().filter_map(|(name, _)| find(name)).collect()
}

/// The scenario with this name.
pub fn find(name: &str) -> Option<Scenario> {
    let (_, text) = BUILT_IN.iter().find(|(known, _)| *known == name)?;
    parse(text).ok()
}

/// Reads a scenario.
pub fn parse(text: &str) -> Result<Scenario, serde_jsonc::Error> {
    serde_jsonc::from_str(text)
}

impl Scenario {
    /// Length of all windows.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.windows.iter().map(|window| window.seconds).sum())
    }

    /// How long sub-queries take at an ordinary searcher.
    pub fn profile(&self) -> LatencyProfile {
        LatencyProfile {
            base: Duration::from_secs_f64(self.searcher.base_ms / 1e3),
            spread: Duration::from_secs_f64(self.searcher.spread_ms / 1e3),
            straggler_rate: self.searcher.straggler_rate,
            straggler_factor: self.searcher.factor,
            ..LatencyProfile::default()
        }
    }

    /// The load of a service of `class` in a window, as a part of its contracted rate.
    pub fn factor(&self, window: &Window, class: &str) -> f64 {
        let factor = match &window.class_factor {
            Some(other) if other.class == class => other.factor,
            Some(_) | None => window.factor,
        };
        self.load * factor
    }
}

impl DocumentShape {
    /// The document.
    pub fn document(&self, name: &str) -> String {
        let domains: Vec<String> = (0..self.domains).map(|i| format!("domain-{i}")).collect();
        let classes: Vec<_> = self
            .services
            .iter()
            .map(|group| {
                serde_json::json!({
                    "name": group.name, "prefer": "coverage", "deadline_ms": self.deadline_ms,
                })
            })
            .collect();
        let services: Vec<_> = self
            .services
            .iter()
            .flat_map(|group| (0..group.count).map(move |i| (group, i)))
            .map(|(group, i)| {
                serde_json::json!({
                    "name": format!("{}-{i}", group.name),
                    "class": group.name,
                    "contract": {
                        "rate": group.rate,
                        "burst": (group.rate * 2.0).max(4.0),
                        "concurrency": ((group.rate * 2.0) as u32).max(8),
                        // A share in proportion to what was contracted.
                        "share": group.rate,
                    },
                    "shards": ["*"],
                })
            })
            .collect();
        let mut searchers = Vec::new();
        let mut shards = Vec::new();
        for shard in 0..self.shards {
            let mut replicas = Vec::new();
            for replica in 0..self.replicas {
                let number = shard * self.replicas + replica;
                let name = format!("s{shard}-{replica}");
                searchers.push(serde_json::json!({
                    "name": name,
                    // Replaced by the address of the stand-in.
                    "address": format!("127.1.{}.{}:9", number / 250, number % 250 + 1),
                    "domain": domains[(shard + replica) % self.domains],
                    "slots": self.slots,
                    "connections": self.connections,
                    "connect_ms": self.connect_ms,
                }));
                replicas.push(name);
            }
            shards.push(serde_json::json!({ "name": format!("s{shard}"), "replicas": replicas }));
        }
        let document = serde_json::json!({
            "environment": name,
            "domains": domains,
            "classes": classes,
            "services": services,
            "searchers": searchers,
            "shards": shards,
        });
        format!("{document:#}")
    }
}

fn one() -> f64 {
    1.0
}

fn ten() -> f64 {
    10.0
}

fn five() -> usize {
    5
}
