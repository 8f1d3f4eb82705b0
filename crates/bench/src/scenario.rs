//! Measurement scenarios, written as JSON with comments.

use std::time::Duration;

use serde::Deserialize;

use tt_standin::LatencyProfile;

/// The built-in scenarios: name and text of each.
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

/// A scenario: a generated document, a load, and what happens during it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario; also the name of its environment and of the report files.
    pub name: String,
    /// One sentence on what happens, shown in lists and reports.
    pub about: String,
    /// Number of daemons.
    #[serde(default = "five")]
    pub daemons: usize,
    /// Shape of the document that is generated for the run.
    pub document: DocumentShape,
    /// Distribution of the time that sub-queries take at the searchers.
    pub searcher: Timing,
    /// Number of searchers, counted from the first of the document, that are slow throughout.
    #[serde(default)]
    pub slow: usize,
    /// Rate of each service at factor 1, as a ratio of its contracted rate.
    pub load: f64,
    /// Consecutive windows, each with statistics of its own.
    pub windows: Vec<Window>,
}

/// The shape of a generated document, in which every service may query all shards.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentShape {
    /// Number of shards.
    pub shards: usize,
    /// Number of searchers that serve each shard, in consecutive failure domains.
    pub replicas: usize,
    /// Maximum number of sub-queries at the same time at each searcher.
    pub slots: u32,
    /// Maximum number of connections to each searcher.
    pub connections: u32,
    /// Time to set up a connection to a searcher.
    pub connect_ms: f64,
    /// Number of failure domains.
    pub domains: usize,
    /// Time from a request to its deadline, for all classes.
    pub deadline_ms: u64,
    /// Groups of services; each group has a class of its own.
    pub services: Vec<ServiceGroup>,
}

/// Services of a generated document that have the same class and contract.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// Prefix of the services' names, and the name of their class.
    pub name: String,
    /// Number of services.
    pub count: usize,
    /// Contracted requests per second of each service.
    pub rate: f64,
}

/// Distribution of the time that sub-queries take.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Minimum time.
    pub base_ms: f64,
    /// Mean of an exponentially distributed time added to `base_ms`.
    pub spread_ms: f64,
    /// Probability that a sub-query is a straggler, 0 to 1.
    #[serde(default)]
    pub straggler_rate: f64,
    /// Factor by which stragglers, and all sub-queries at slow searchers, take longer.
    #[serde(default = "ten")]
    pub factor: f64,
}

/// A period of a scenario with a constant load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Name of the window in reports.
    pub name: String,
    /// Length of the window.
    pub seconds: f64,
    /// Load of all services, as a multiple of [`Scenario::load`].
    #[serde(default = "one")]
    pub factor: f64,
    /// Load of the services of one class, in place of `factor`.
    #[serde(default)]
    pub class_factor: Option<ClassFactor>,
    /// What happens at the start of the window.
    #[serde(default)]
    pub event: Event,
}

/// The load of one class in a window.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassFactor {
    /// Name of the class.
    pub class: String,
    /// Load of its services, as a multiple of [`Scenario::load`].
    pub factor: f64,
}

/// A fault, or the end of one, at the start of a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Nothing happens.
    #[default]
    None,
    /// The last daemon is killed.
    KillDaemon,
    /// The first searcher of each shard stops answering.
    KillSearchers,
    /// The searchers that `KillSearchers` stopped answer again.
    ReviveSearchers,
    /// All searchers and daemons of the last failure domain stop answering.
    KillDomain,
}

/// The built-in scenarios.
pub fn list() -> Vec<Scenario> {
    BUILT_IN.iter().filter_map(|(name, _)| find(name)).collect()
}

/// The built-in scenario with this name.
pub fn find(name: &str) -> Option<Scenario> {
    let (_, text) = BUILT_IN.iter().find(|(known, _)| *known == name)?;
    parse(text).ok()
}

/// Parses a scenario; an error has the line and column.
pub fn parse(text: &str) -> Result<Scenario, serde_jsonc::Error> {
    serde_jsonc::from_str(text)
}

impl Scenario {
    /// Total length of all windows.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.windows.iter().map(|window| window.seconds).sum())
    }

    /// Distribution of the time that sub-queries take at a searcher that is not slow.
    pub fn profile(&self) -> LatencyProfile {
        LatencyProfile {
            base: Duration::from_secs_f64(self.searcher.base_ms / 1e3),
            spread: Duration::from_secs_f64(self.searcher.spread_ms / 1e3),
            straggler_rate: self.searcher.straggler_rate,
            straggler_factor: self.searcher.factor,
            ..LatencyProfile::default()
        }
    }

    /// The rate of the services of `class` in a window, as a ratio of their contracted rate.
    pub fn factor(&self, window: &Window, class: &str) -> f64 {
        let factor = match &window.class_factor {
            Some(other) if other.class == class => other.factor,
            Some(_) | None => window.factor,
        };
        self.load * factor
    }
}

impl DocumentShape {
    /// Generates a document of this shape for the environment `name`.
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
                        // Shares are in proportion to the contracted rates.
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
                    // A unique placeholder, which the fleet replaces by the stand-in's address.
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
