//! Checks of names, references, limits and shard lineage in a parsed document.

use std::collections::HashMap;
use std::time::Duration;

use crate::arena::Arena;
use crate::arena::Key;
use crate::code::ResultCode;
use crate::digest::Digest;
use crate::document::Fault;
use crate::document::Faults;
use crate::document::position::Locator;
use crate::document::position::PathSegment;
use crate::document::position::PathSegment::Field;
use crate::document::position::PathSegment::Item;
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

/// Checks `raw`, parsed from `text`, and builds the environment from it.
pub(crate) fn check(text: &str, raw: &raw::Document) -> Result<Environment, Faults> {
    let mut checker = Checker { text, locator: None, faults: Vec::new() };
    let environment = checker.check_environment(text, raw);
    if checker.faults.is_empty() {
        return Ok(environment);
    }
    checker.faults.sort_by_key(|fault| (fault.line, fault.column));
    Err(Faults { code: ResultCode::InvalidDocument, list: checker.faults })
}

struct Checker<'a> {
    text: &'a str,
    /// Created for the first fault only: it parses the text again, which takes as long as all
    /// checks.
    locator: Option<Locator<'a>>,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn check_environment(&mut self, text: &str, raw: &raw::Document) -> Environment {
        self.check_name(&[Field("environment")], &raw.environment);
        let domain_names =
            self.index_names("domains", None, raw.domains.iter().map(String::as_str));
        let class_names = self.index_names(
            "classes",
            Some("name"),
            raw.classes.iter().map(|class| class.name.as_str()),
        );
        let searcher_names: HashMap<String, SearcherId> = self.index_names(
            "searchers",
            Some("name"),
            raw.searchers.iter().map(|searcher| searcher.name.as_str()),
        );
        let shard_names: HashMap<String, ShardId> = self.index_names(
            "shards",
            Some("name"),
            raw.shards.iter().map(|shard| shard.name.as_str()),
        );
        let service_names: HashMap<String, ServiceId> = self.index_names(
            "services",
            Some("name"),
            raw.services.iter().map(|service| service.name.as_str()),
        );

        let classes =
            raw.classes.iter().enumerate().map(|(i, class)| self.check_class(i, class)).collect();
        let searchers = raw
            .searchers
            .iter()
            .enumerate()
            .map(|(i, searcher)| self.check_searcher(i, searcher, &domain_names))
            .collect();
        let shards = raw
            .shards
            .iter()
            .enumerate()
            .map(|(i, shard)| self.check_shard(i, shard, &searcher_names, &shard_names))
            .collect();
        let services = raw
            .services
            .iter()
            .enumerate()
            .map(|(i, service)| self.check_service(i, service, &class_names, raw, &shard_names))
            .collect();
        self.check_parents(raw);
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

    /// Maps the names of a list of objects to keys. `field` is the field that holds the name of
    /// an object; `None` if the objects are bare names.
    fn index_names<'n, K, I>(
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
            self.check_name(&path, name);
            if keys.insert(name.to_owned(), K::from_index(index)).is_some() {
                self.report(&path, format!("the name `{name}` is used twice"));
            }
        }
        if keys.is_empty() {
            self.report(&[Field(list)], "expected at least one element".to_owned());
        }
        keys
    }

    fn check_name(&mut self, path: &[PathSegment], name: &str) {
        let valid = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
        if !valid {
            self.report(
                path,
                format!("expected 1 to {MAX_NAME_BYTES} of a-z, 0-9 and `-`, found `{name}`"),
            );
        }
    }

    fn check_class(&mut self, index: usize, class: &raw::Class) -> Class {
        let object_path = [Field("classes"), Item(index)];
        if class.deadline_ms == 0 || class.deadline_ms > MAX_DEADLINE_MS {
            self.report_field(
                &object_path,
                "deadline_ms",
                format!("expected 1 to {MAX_DEADLINE_MS}, found {}", class.deadline_ms),
            );
        }
        if !(0.5..1.0).contains(&class.hedge_quantile) {
            self.report_field(
                &object_path,
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

    fn check_searcher(
        &mut self,
        index: usize,
        searcher: &raw::Searcher,
        domains: &HashMap<String, DomainId>,
    ) -> Searcher {
        let object_path = [Field("searchers"), Item(index)];
        if searcher.slots == 0 || searcher.slots > MAX_SLOTS {
            self.report_field(
                &object_path,
                "slots",
                format!("expected 1 to {MAX_SLOTS}, found {}", searcher.slots),
            );
        }
        // The owner and the successor each have half of the connections, and each half needs one
        // connection for each slot.
        if u64::from(searcher.connections) < 2 * u64::from(searcher.slots) {
            self.report_field(
                &object_path,
                "connections",
                format!(
                    "expected at least twice the slots ({}), found {}",
                    searcher.slots, searcher.connections
                ),
            );
        }
        if !(0.0..=MAX_CONNECT_MS).contains(&searcher.connect_ms) {
            self.report_field(
                &object_path,
                "connect_ms",
                format!("expected 0 to {MAX_CONNECT_MS}, found {}", searcher.connect_ms),
            );
        }
        let domain = self.resolve(&object_path, "domain", "domain", &searcher.domain, domains);
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

    fn check_shard(
        &mut self,
        index: usize,
        shard: &raw::Shard,
        searchers: &HashMap<String, SearcherId>,
        shards: &HashMap<String, ShardId>,
    ) -> Shard {
        let object_path = [Field("shards"), Item(index)];
        if shard.replicas.is_empty() {
            self.report_field(
                &object_path,
                "replicas",
                "expected at least one searcher".to_owned(),
            );
        }
        let mut replicas = Vec::new();
        for (position, name) in shard.replicas.iter().enumerate() {
            let path = [object_path[0], object_path[1], Field("replicas"), Item(position)];
            match searchers.get(name) {
                Some(&searcher) if replicas.contains(&searcher) => {
                    self.report(&path, format!("the searcher `{name}` is named twice"));
                }
                Some(&searcher) => replicas.push(searcher),
                None => self.report(&path, format!("there is no searcher `{name}`")),
            }
        }
        if shard.until.is_some_and(|until| until <= shard.from) {
            self.report_field(
                &object_path,
                "until",
                format!("expected more than `from` ({})", shard.from),
            );
        }
        let mut parents = Vec::new();
        for (position, name) in shard.parents.iter().enumerate() {
            let path = [object_path[0], object_path[1], Field("parents"), Item(position)];
            match shards.get(name) {
                Some(&parent) if parent.index() == index => {
                    self.report(&path, "a shard cannot be its own parent".to_owned());
                }
                Some(&parent) => parents.push(parent),
                None => self.report(&path, format!("there is no shard `{name}`")),
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

    fn check_service(
        &mut self,
        index: usize,
        service: &raw::Service,
        classes: &HashMap<String, ClassId>,
        raw: &raw::Document,
        shard_names: &HashMap<String, ShardId>,
    ) -> Service {
        let object_path = [Field("services"), Item(index)];
        let contract = &service.contract;
        let values =
            [("rate", contract.rate), ("burst", contract.burst), ("share", contract.share)];
        for (field, value) in values {
            if !(value.is_finite() && value > 0.0) {
                let path = [object_path[0], object_path[1], Field("contract"), Field(field)];
                self.report(&path, format!("expected more than 0, found {value}"));
            }
        }
        if contract.concurrency == 0 {
            let path = [object_path[0], object_path[1], Field("contract"), Field("concurrency")];
            self.report(&path, "expected at least 1, found 0".to_owned());
        }
        let class = self.resolve(&object_path, "class", "class", &service.class, classes);
        let mut shards = Vec::new();
        for (position, pattern) in service.shards.iter().enumerate() {
            let len_before = shards.len();
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
            if shards.len() == len_before {
                let path = [object_path[0], object_path[1], Field("shards"), Item(position)];
                self.report(&path, format!("no shard matches `{pattern}`"));
            }
        }
        if service.shards.is_empty() {
            self.report_field(&object_path, "shards", "expected at least one shard".to_owned());
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

    /// Checks that each shard starts at the snapshot at which its parents end: a gap would miss
    /// data and an overlap would count it twice.
    fn check_parents(&mut self, raw: &raw::Document) {
        let by_name: HashMap<&str, &raw::Shard> =
            raw.shards.iter().map(|shard| (shard.name.as_str(), shard)).collect();
        for (index, shard) in raw.shards.iter().enumerate() {
            let parents = shard.parents.iter().filter_map(|name| by_name.get(name.as_str()));
            let path = [Field("shards"), Item(index), Field("from")];
            for parent in parents {
                if parent.until != Some(shard.from) {
                    self.report(
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

    /// Returns the key of the object called `name`, to which the field `field` refers.
    fn resolve<K>(
        &mut self,
        object_path: &[PathSegment; 2],
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
            self.report_field(object_path, field, format!("there is no {kind} `{name}`"));
        }
        key
    }

    /// Reports a fault of a field of the object at `object_path`.
    fn report_field(
        &mut self,
        object_path: &[PathSegment; 2],
        field: &'static str,
        message: String,
    ) {
        self.report(&[object_path[0], object_path[1], Field(field)], message);
    }

    /// Adds a fault of the value at `path`.
    fn report(&mut self, path: &[PathSegment], message: String) {
        let locator = self.locator.get_or_insert_with(|| Locator::new(self.text));
        let position = locator.find(path);
        let mut field = String::new();
        for segment in path {
            match segment {
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
