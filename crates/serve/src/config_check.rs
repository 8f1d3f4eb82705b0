//! Checks a configuration before it is written: entries that can never take effect, limits that
//! contradict each other, and what differs from the version in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::config::Config;
use crate::config::Gather;
use crate::config::Organisation;
use crate::config::Route;
use crate::config::Target;
use crate::keys::KeyRing;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Requests would fail, or an entry would have no effect.
    Error,
    /// It is legal, and most likely not what is meant.
    Warning,
}

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The kind and the name of the entry that it is about.
    pub place: String,
    /// What is wrong. Never holds an API key.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.place, self.text)
    }
}

/// Checks a configuration. Errors come first.
pub fn check_config(config: &Config) -> Vec<Finding> {
    let mut check = Check { config, findings: Vec::new() };
    check.routes();
    check.pools();
    check.organisations();
    check.limits();
    check.findings.sort();
    check.findings
}

#[derive(Debug)]
struct Check<'a> {
    config: &'a Config,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, severity: Severity, place: String, text: &str) {
        self.findings.push(Finding { severity, place, text: text.to_owned() });
    }

    fn error(&mut self, place: String, text: &str) {
        self.add(Severity::Error, place, text);
    }

    fn warn(&mut self, place: String, text: &str) {
        self.add(Severity::Warning, place, text);
    }

    fn routes(&mut self) {
        let config = self.config;
        let mut seen = BTreeMap::new();
        let mut names = BTreeSet::new();
        for route in &config.routes {
            let place = format!("route {}", route.name);
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                self.error(place.clone(), "its prefix doesn't begin and end with a slash");
            }
            if let Some(first) = seen.insert((&route.host, &route.prefix), &route.name) {
                let text = format!("can never match: route {first} has the same host and prefix");
                self.error(place.clone(), &text);
            }
            if !names.insert(&route.name) {
                self.warn(place.clone(), "another route has the same name in logs and metrics");
            }
            if route.timeout.is_zero() {
                self.error(place.clone(), "its timeout is zero, so that every request fails");
            } else if route.objective > route.timeout {
                self.warn(place.clone(), "its timeout ends before its objective");
            }
            self.target(route, &place);
        }
    }

    fn target(&mut self, route: &Route, place: &str) {
        let known = |name: &str| self.config.pools.iter().any(|pool| pool.name == name);
        let unknown: Vec<&str> =
            pool_names(route).into_iter().filter(|name| !known(name)).collect();
        for name in unknown {
            self.error(place.to_owned(), &format!("the configuration has no service {name}"));
        }
        match &route.target {
            Target::One(_) => {}
            Target::Split(shares) => {
                let is_used = |weight: f64| weight.is_finite() && weight > 0.0;
                if !shares.iter().any(|share| is_used(share.weight)) {
                    self.error(place.to_owned(), "no part of its split has a weight above zero");
                }
                for share in shares.iter().filter(|share| !is_used(share.weight)) {
                    let text = format!("service {} never gets a request by its weight", share.pool);
                    self.warn(place.to_owned(), &text);
                }
            }
            Target::Gather(gather) => self.gather(gather, place),
        }
    }

    fn gather(&mut self, gather: &Gather, place: &str) {
        let Gather { pools, max_records, min_coverage } = gather;
        if pools.is_empty() {
            self.error(place.to_owned(), "it queries no shards");
        }
        let distinct: BTreeSet<&String> = pools.iter().collect();
        if distinct.len() < pools.len() {
            self.error(place.to_owned(), "it queries a shard twice");
        }
        if !min_coverage.is_finite() || *min_coverage > 1.0 {
            self.error(place.to_owned(), "no answer can cover more than all shards");
        }
        if *max_records == 0 {
            self.warn(place.to_owned(), "its answers hold no records");
        }
    }

    fn pools(&mut self) {
        let config = self.config;
        let used: BTreeSet<&str> = config.routes.iter().flat_map(pool_names).collect();
        let mut seen = BTreeSet::new();
        for pool in &config.pools {
            let place = format!("service {}", pool.name);
            if !seen.insert(&pool.name) {
                self.error(place.clone(), "it is defined twice");
            }
            if !used.contains(pool.name.as_str()) {
                self.warn(place, "no route uses it");
            }
        }
    }

    fn organisations(&mut self) {
        let config = self.config;
        let Some(organisations) = &config.organisations else { return };
        let place = || "tenants".to_owned();
        let ignored = KeyRing::new(organisations).ignored();
        if ignored > 0 {
            let text = format!("{ignored} API keys are malformed, shared or can't be used");
            self.error(place(), &text);
        }
        if config.routes.iter().all(|route| route.public) {
            self.warn(place(), "all routes are public, so that no key is looked at");
        } else if organisations.iter().all(|it| it.api_keys.is_empty()) {
            self.error(
                place(),
                "there is no key, so that routes that aren't public refuse all requests",
            );
        }
        let mut names = BTreeSet::new();
        for organisation in organisations {
            let place = format!("tenant {}", organisation.name);
            if !names.insert(&organisation.name) {
                self.error(place.clone(), "it is defined twice");
            }
            if organisation.api_keys.is_empty() {
                self.warn(place.clone(), "it has no key");
            }
            if organisation.allowance.is_some_and(|it| it.burst < 1.0) {
                self.error(
                    place.clone(),
                    "its burst is below one request, so that none is admitted",
                );
            }
            let nowhere = config.routes.iter().filter(|route| is_nowhere(route, organisation));
            for route in nowhere {
                let text = format!("its requests on route {} may go to no region", route.name);
                self.error(place.clone(), &text);
            }
        }
    }

    fn limits(&mut self) {
        let limits = self.config.limits;
        let place = || "limits".to_owned();
        if limits.max_head_bytes == 0 {
            self.error(place(), "no request has a head of zero bytes");
        }
        if limits.idle_timeout < limits.head_timeout {
            self.warn(place(), "connections may be idle for less time than a head may take");
        }
    }
}

/// Names of the pools of a route.
fn pool_names(route: &Route) -> Vec<&str> {
    match &route.target {
        Target::One(pool) => vec![pool],
        Target::Split(shares) => shares.iter().map(|share| share.pool.as_str()).collect(),
        Target::Gather(gather) => gather.pools.iter().map(String::as_str).collect(),
    }
}

/// Whether the regions of a route and of an organisation have none in common.
fn is_nowhere(route: &Route, organisation: &Organisation) -> bool {
    let (ours, theirs) = (&route.allowed_regions, &organisation.allowed_regions);
    !ours.is_empty() && !theirs.is_empty() && !ours.iter().any(|region| theirs.contains(region))
}

/// What differs between the version in force and one that is to replace it, one line each. API keys
/// are counted, not named.
pub fn compare_configs(before: &Config, after: &Config) -> Vec<String> {
    let mut changes = Vec::new();
    if after.version <= before.version {
        let (after, before) = (after.version, before.version);
        changes.push(format!("version {after} is not later than {before}: entries ignore it"));
    }
    let route = |route: &Route| (route.name.clone(), format!("{route:?}"));
    diff("route", before.routes.iter().map(route), after.routes.iter().map(route), &mut changes);
    let pools = |config: &Config| -> Vec<(String, String)> {
        config.pools.iter().map(|it| (it.name.clone(), format!("{it:?}"))).collect()
    };
    diff("service", pools(before).into_iter(), pools(after).into_iter(), &mut changes);
    if before.limits != after.limits {
        changes.push(format!("limits changed: {:?} to {:?}", before.limits, after.limits));
    }
    match (&before.organisations, &after.organisations) {
        (None, None) => {}
        (None, Some(_)) => changes.push("API keys are required from now on".to_owned()),
        (Some(_), None) => changes.push("API keys are no longer required".to_owned()),
        (Some(before), Some(after)) => compare_organisations(before, after, &mut changes),
    }
    changes
}

fn compare_organisations(
    before: &[Organisation],
    after: &[Organisation],
    changes: &mut Vec<String>,
) {
    // The keys are left out by their `Debug` form.
    let row = |it: &Organisation| {
        let shown = Organisation { api_keys: Vec::new(), ..it.clone() };
        (it.name.clone(), format!("{shown:?}"))
    };
    diff("tenant", before.iter().map(row), after.iter().map(row), changes);
    for (old, new) in before
        .iter()
        .filter_map(|old| after.iter().find(|new| new.name == old.name).map(|new| (old, new)))
    {
        let missing = |from: &Organisation, of: &Organisation| {
            of.api_keys.iter().filter(|key| !from.api_keys.contains(key)).count()
        };
        let (added, withdrawn) = (missing(old, new), missing(new, old));
        if added + withdrawn > 0 {
            let name = &new.name;
            changes.push(format!("tenant {name}: {added} keys added, {withdrawn} withdrawn"));
        }
    }
}

/// Adds a line for each entry that is in only one of two lists, or in both with other content.
fn diff<I>(kind: &str, before: I, after: I, changes: &mut Vec<String>)
where
    I: Iterator<Item = (String, String)>,
{
    let (before, after): (BTreeMap<_, _>, BTreeMap<_, _>) = (before.collect(), after.collect());
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        changes.push(format!("{kind} {name} removed"));
    }
    for (name, content) in &after {
        match before.get(name) {
            None => changes.push(format!("{kind} {name} added")),
            Some(old) if old != content => {
                changes.push(format!("{kind} {name} changed: {old} to {content}"));
            }
            Some(_) => {}
        }
    }
}
