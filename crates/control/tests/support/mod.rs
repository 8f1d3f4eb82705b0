//! Documents, change ids and a fake store that the tests and the example share.
#![allow(dead_code)] // each test uses only some of it

pub mod cluster;
pub mod operators;
pub mod oracle;

use std::collections::BTreeMap;
use std::fmt::Write;

use tt_control::ChangeId;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// A valid document with `count` services, searchers and shards; `rate` is the contract rate of the
/// first service.
pub fn document(environment: &str, count: usize, rate: u32) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "{{\n  \"environment\": \"{environment}\",");
    text.push_str("  \"domains\": [\"d1\", \"d2\"],\n");
    text.push_str(
        "  \"classes\": [{\"name\": \"desk\", \"prefer\": \"coverage\", \"deadline_ms\": 300}],\n",
    );
    let list = |text: &mut String, name: &str, line: &dyn Fn(usize) -> String| {
        let _ = writeln!(text, "  \"{name}\": [");
        for i in 0..count {
            let comma = if i + 1 < count { "," } else { "" };
            let _ = writeln!(text, "    {}{comma}", line(i));
        }
        text.push_str("  ]");
    };
    list(&mut text, "services", &|i| {
        let rate = if i == 0 { rate } else { 50 };
        format!(
            "{{\"name\": \"s{i}\", \"class\": \"desk\", \"contract\": {{\"rate\": {rate}, \
             \"burst\": 20, \"concurrency\": 40}}, \"shards\": [\"h{i}\"]}}"
        )
    });
    text.push_str(",\n");
    list(&mut text, "searchers", &|i| {
        format!(
            "{{\"name\": \"r{i}\", \"address\": \"127.0.{}.{}:70\", \"domain\": \"d1\", \
             \"slots\": 2, \"connections\": 25}}",
            i / 250 % 250,
            i % 250
        )
    });
    text.push_str(",\n");
    list(&mut text, "shards", &|i| format!("{{\"name\": \"h{i}\", \"replicas\": [\"r{i}\"]}}"));
    text.push_str("\n}\n");
    text
}

/// A valid change id, different for each `n`.
pub fn change_id(n: u64) -> ChangeId {
    ChangeId::parse(&format!("01900000-0000-7000-8000-{n:012x}")).expect("a UUID version 7")
}

/// An in-memory store with one revision counter for all keys.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    pub values: BTreeMap<String, (Revision, Vec<u8>)>,
    pub revision: Revision,
    pub calls: usize,
}

impl FakeStore {
    /// Makes a call. A watch returns at once.
    pub fn call(&mut self, call: &StoreCall) -> StoreReply {
        self.calls += 1;
        let found = |key: &String| self.values.get(key).cloned();
        match call {
            StoreCall::Get { key } => match found(key) {
                Some((revision, value)) => StoreReply::Value { revision, value },
                None => StoreReply::Missing,
            },
            StoreCall::Watch { key, after } => match found(key) {
                Some((revision, value)) if revision > *after => {
                    StoreReply::Value { revision, value }
                }
                _ => StoreReply::Missing,
            },
            StoreCall::Put { key, expect, value } => {
                let revision = found(key).map_or(Revision(0), |(revision, _)| revision);
                if revision != *expect {
                    return StoreReply::Conflict { revision };
                }
                self.revision = self.revision.next();
                self.values.insert(key.clone(), (self.revision, value.clone()));
                StoreReply::Written { revision: self.revision }
            }
            StoreCall::Delete { key, expect } => match found(key) {
                None => StoreReply::Missing,
                Some((revision, _)) if revision != *expect => StoreReply::Conflict { revision },
                Some((revision, _)) => {
                    self.values.remove(key);
                    StoreReply::Written { revision }
                }
            },
        }
    }
}
