//! Checks of references, limits and sizes.

use std::collections::HashMap;
use std::time::Duration;

use crate::arena::Arena;
use crate::arena::Key;
use crate::code::ResultCode;
use crate::digest::Digest;
use crate::document::Fault;
use crate::document::Faults;
use crate::document::position::Locator;
use crate::document::position::Step;
use crate::document::position::Step::Field;
use crate::document::position::Step::Item;
use crate::document::raw;
use crate::environment::Class;
use crate::environment::Contract;
use crate::environment::Domain;
use crate::environment::Environment;
use crate::environment::Preference;
use crate::environment::Searcher;
use crate::environment::SearcherState;
use crate::environment::Service;
use crate::environment::Shard;
use crate::keys::ClassId;
use crate::keys::DomainId;
use crate::keys::SearcherId;
use crate::keys::ServiceId;
use crate::keys::ShardId;
use crate::keys::Snapshot;

const MAX_NAME_BYTES: usize = 64;
const MAX_DEADLINE_MS: u64 = 60_000;
const MAX_CONNECT_MS: f64 = 10_000.0;
const MAX_SLOTS: u32 = 4_096;

/// Checks `raw` and builds the environment from it.
pub(crate) fn check(text: &str, raw: &raw::Document) -> Result<Environment, Faults> {
    let mut checker = Checker { text, locator: None, faults: Vec::new() };
    let environment = checker.environment(text, raw);
    if checker.faults.is_empty() {
        return Ok(environment);
    }
    checker.faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(Faults { code: ResultCode::InvalidDocument, list: checker.faults })
}

struct Checker<'a> {
    text: &'a str,
    /// Made for the first fault: it parses the text again, which takes as long as all checks.
    locator: Option<Locator<'a>>,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn environment(&mut self, text: &str, raw: &raw::Document) -> Environment {
        self.name(&[Field("environment")], &raw.environment);
        let domain_names = self.names("domains", None, raw.domains.iter().map(String::as_str));
        let class_names = self.names(
            "classes",
            Some("name"),
            raw.classes.iter().map(|class| class.name.as_str()),
        );
        let searcher_names: HashMap<String, SearcherId> = self.names(
            "searchers",
            Some("name"),
            raw.searchers.iter().map(|searcher| searcher.name.as_str()),
        );
        let shard_names: HashMap<String, ShardId> =
            self.names("shards", Some("name"), raw.shards.iter().map(|shard| shard.name.as_str()));
        let service_names: HashMap<String, ServiceId> = self.names(
            "services",
            Some("name"),
            raw.services.iter().map(|service| service.name.as_str()),
        );

        let classes =
            raw.classes.iter().enumerate().map(|(i, class)| self.class(i, class)).collect();
        let searchers = raw
            .searchers
            .iter()
            .enumerate()
            .map(|(i, searcher)| self.searcher(i, searcher, &domain_names))
            .collect();
        let shards = raw
            .shards
            .iter()
            .enumerate()
            .map(|(i, shard)| self.shard(i, shard, &searcher_names, &shard_names))
            .collect();
        let services = raw
            .services
            .iter()
            .enumerate()
            .map(|(i, service)| self.service(i, service, &class_names, raw, &shard_names))
            .collect();
        self.bounds(raw);
        Environment {
            name: raw.environment.clone(),
            digest: Digest::of(text.as_bytes()),
            domains: raw
                .domains
                .iter()
                .map(|name| Domain { name: name.clone() })
                .collect::<Arena<DomainId, _>>(),
            classes,
            services,
            searchers,
            shards,
            service_names,
            shard_names,
            searcher_names,
        }
    }

    fn names<'n, K, I>(
        &mut self,
        list: &'static str,
        field: Option<&'static str>,
        names: I,
    ) -> HashMap<String, K>
    where
        K: Key,
        I: Iterator<Item = &'n str>,
    {
        let mut keys = HashMap::new();
        for (index, name) in names.enumerate() {
            let mut path = vec![Field(list), Item(index)];
            path.extend(field.map(Field));
            self.name(&path, name);
            if keys.insert(name.to_owned(), K::from_index(index)).is_some() {
                self.fault(&path, format!("the name `{name}` is used twice"));
            }
        }
        if keys.is_empty() {
            self.fault(&[Field(list)], "expected at least one element".to_owned());
        }
        keys
    }

    fn name(&mut self, path: &[Step], name: &str) {
        let valid = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
        if !valid {
            self.fault(
                path,
                format!("expected 1 to {MAX_NAME_BYTES} of a-z, 0-9 and `-`, found `{name}`"),
            );
        }
    }

    fn class(&mut self, index: usize, class: &raw::Class) -> Class {
        let at = [Field("classes"), Item(index)];
        if class.deadline_ms == 0 || class.deadline_ms > MAX_DEADLINE_MS {
            self.fault_in(
                &at,
                "deadline_ms",
                format!("expected 1 to {MAX_DEADLINE_MS}, found {}", class.deadline_ms),
            );
        }
        if !(0.5..1.0).contains(&class.hedge_quantile) {
            self.fault_in(
                &at,
                "hedge_quantile",
                format!("expected 0.5 or more and less than 1, found {}", class.hedge_quantile),
            );
        }
        Class {
            name: class.name.clone(),
            prefer: match class.prefer {
                raw::Preference::Coverage => Preference::Coverage,
                raw::Preference::Latency => Preference::Latency,
            },
            timeout: Duration::from_millis(class.deadline_ms),
            hedge_quantile: class.hedge_quantile,
            urgency: class.urgency,
        }
    }

    fn searcher(
        &mut self,
        index: usize,
        searcher: &raw::Searcher,
        domains: &HashMap<String, DomainId>,
    ) -> Searcher {
        let at = [Field("searchers"), Item(index)];
        if searcher.slots == 0 || searcher.slots > MAX_SLOTS {
            self.fault_in(
                &at,
                "slots",
                format!("expected 1 to {MAX_SLOTS}, found {}", searcher.slots),
            );
        }
        // Half of the connections are kept for the successor, and each half needs one for each slot.
        if u64::from(searcher.connections) < 2 * u64::from(searcher.slots) {
            self.fault_in(
                &at,
                "connections",
                format!(
                    "expected at least twice the slots ({}), found {}",
                    searcher.slots, searcher.connections
                ),
            );
        }
        if !(0.0..=MAX_CONNECT_MS).contains(&searcher.connect_ms) {
            self.fault_in(
                &at,
                "connect_ms",
                format!("expected 0 to {MAX_CONNECT_MS}, found {}", searcher.connect_ms),
            );
        }
        let domain = self.reference(&at, "domain", "domain", &searcher.domain, domains);
        Searcher {
            name: searcher.name.clone(),
            address: searcher.address,
            domain: domain.unwrap_or(DomainId(0)),
            slots: searcher.slots,
            connections: searcher.connections,
            connect_time: Duration::from_secs_f64(
                searcher.connect_ms.clamp(0.0, MAX_CONNECT_MS) / 1e3,
            ),
            state: match searcher.state {
                raw::State::Active => SearcherState::Active,
                raw::State::Leaving => SearcherState::Leaving,
            },
        }
    }

    fn shard(
        &mut self,
        index: usize,
        shard: &raw::Shard,
        searchers: &HashMap<String, SearcherId>,
        shards: &HashMap<String, ShardId>,
    ) -> Shard {
        let at = [Field("shards"), Item(index)];
        if shard.replicas.is_empty() {
            self.fault_in(&at, "replicas", "expected at least one searcher".to_owned());
        }
        let mut replicas = Vec::new();
        for (position, name) in shard.replicas.iter().enumerate() {
            let path = [at[0], at[1], Field("replicas"), Item(position)];
            match searchers.get(name) {
                Some(&searcher) if replicas.contains(&searcher) => {
                    self.fault(&path, format!("the searcher `{name}` is named twice"));
                }
                Some(&searcher) => replicas.push(searcher),
                None => self.fault(&path, format!("there is no searcher `{name}`")),
            }
        }
        if shard.until.is_some_and(|until| until <= shard.from) {
            self.fault_in(&at, "until", format!("expected more than `from` ({})", shard.from));
        }
        let mut parents = Vec::new();
        for (position, name) in shard.parents.iter().enumerate() {
            let path = [at[0], at[1], Field("parents"), Item(position)];
            match shards.get(name) {
                Some(&parent) if parent.index() == index => {
                    self.fault(&path, "a shard cannot be its own parent".to_owned());
                }
                Some(&parent) => parents.push(parent),
                None => self.fault(&path, format!("there is no shard `{name}`")),
            }
        }
        Shard {
            name: shard.name.clone(),
            replicas,
            from: Snapshot(shard.from),
            until: shard.until.map(Snapshot),
            parents,
        }
    }

    fn service(
        &mut self,
        index: usize,
        service: &raw::Service,
        classes: &HashMap<String, ClassId>,
        raw: &raw::Document,
        shard_names: &HashMap<String, ShardId>,
    ) -> Service {
        let at = [Field("services"), Item(index)];
        let contract = &service.contract;
        let limits =
            [("rate", contract.rate), ("burst", contract.burst), ("share", contract.share)];
        for (field, value) in limits {
            if !(value.is_finite() && value > 0.0) {
                let path = [at[0], at[1], Field("contract"), Field(field)];
                self.fault(&path, format!("expected more than 0, found {value}"));
            }
        }
        if contract.concurrency == 0 {
            let path = [at[0], at[1], Field("contract"), Field("concurrency")];
            self.fault(&path, "expected at least 1, found 0".to_owned());
        }
        let class = self.reference(&at, "class", "class", &service.class, classes);
        let mut shards = Vec::new();
        for (position, pattern) in service.shards.iter().enumerate() {
            let before = shards.len();
            match pattern.strip_suffix('*') {
                Some(prefix) => shards.extend(
                    raw.shards
                        .iter()
                        .enumerate()
                        .filter(|(_, shard)| shard.name.starts_with(prefix))
                        .map(|(i, _)| ShardId::from_index(i)),
                ),
                None => shards.extend(shard_names.get(pattern)),
            }
            if shards.len() == before {
                let path = [at[0], at[1], Field("shards"), Item(position)];
                self.fault(&path, format!("no shard matches `{pattern}`"));
            }
        }
        if service.shards.is_empty() {
            self.fault_in(&at, "shards", "expected at least one shard".to_owned());
        }
        shards.sort();
        shards.dedup();
        Service {
            name: service.name.clone(),
            class: class.unwrap_or(ClassId(0)),
            contract: Contract {
                rate: contract.rate,
                burst: contract.burst,
                concurrency: contract.concurrency,
                share: contract.share,
            },
            shards,
        }
    }

    /// A child must start where each of its parents ends: a gap would miss data and an
    /// overlap would count it twice.
    fn bounds(&mut self, raw: &raw::Document) {
        let by_name: HashMap<&str, &raw::Shard> =
            raw.shards.iter().map(|shard| (shard.name.as_str(), shard)).collect();
        for (index, shard) in raw.shards.iter().enumerate() {
            let parents = shard.parents.iter().filter_map(|name| by_name.get(name.as_str()));
            let path = [Field("shards"), Item(index), Field("from")];
            for parent in parents {
                if parent.until != Some(shard.from) {
                    self.fault(
                        &path,
                        format!(
                            "expected the `until` of its parent `{}`, found {}",
                            parent.name, shard.from
                        ),
                    );
                }
            }
        }
    }

    fn reference<K>(
        &mut self,
        at: &[Step; 2],
        field: &'static str,
        kind: &str,
        name: &str,
        keys: &HashMap<String, K>,
    ) -> Option<K>
    where
        K: Copy,
    {
        let key = keys.get(name).copied();
        if key.is_none() {
            self.fault_in(at, field, format!("there is no {kind} `{name}`"));
        }
        key
    }

    fn fault_in(&mut self, at: &[Step; 2], field: &'static str, message: String) {
        self.fault(&[at[0], at[1], Field(field)], message);
    }

    fn fault(&mut self, path: &[Step], message: String) {
        let locator = self.locator.get_or_insert_with(|| Locator::new(self.text));
        let position = locator.find(path);
        let mut field = String::new();
        for step in path {
            match step {
                Field(name) if field.is_empty() => field.push_str(name),
                Field(name) => {
                    field.push('.');
                    field.push_str(name);
                }
                Item(index) => field.push_str(&format!("[{index}]")),
            }
        }
        self.faults.push(Fault { line: position.line, column: position.column, field, message });
    }
}
