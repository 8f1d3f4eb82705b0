//! Decoding of the bodies of the store's calls and encoding of its answers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::state::Change;
use super::state::StoredItem;

/// A decoded transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    pub(super) conditions: Vec<Condition>,
    pub(super) puts: Vec<Put>,
    pub(super) removes: Vec<String>,
}

/// A condition of a transaction: the revision that a key must have, 0 if it must not exist.
#[derive(Debug, Deserialize)]
pub(super) struct Condition {
    pub(super) key: String,
    pub(super) revision: u64,
}

#[derive(Debug)]
pub(super) struct Put {
    pub(super) key: String,
    pub(super) value: Bytes,
    pub(super) lease: u64,
}

#[derive(Debug, Deserialize)]
struct RawTransaction {
    #[serde(default)]
    expected_rev: Vec<Condition>,
    #[serde(default)]
    puts: Vec<RawPut>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct RawPut {
    key: String,
    value: String,
    #[serde(default)]
    lease_id: u64,
}

/// Decodes the body of a transaction; `None` if it is malformed.
pub(super) fn transaction(body: &[u8]) -> Option<Transaction> {
    let raw: RawTransaction = serde_json::from_slice(body).ok()?;
    let puts: Option<Vec<Put>> = raw
        .puts
        .into_iter()
        .map(|put| {
            let value = STANDARD.decode(put.value).ok()?;
            Some(Put { key: put.key, value: value.into(), lease: put.lease_id })
        })
        .collect();
    Some(Transaction { conditions: raw.expected_rev, puts: puts?, removes: raw.remove })
}

/// The TTL that a request for a lease asks for, in milliseconds; `None` if it is malformed.
pub(super) fn lease_ttl_ms(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<Value>(body).ok()?["ttl_ms"].as_u64()
}

pub(super) fn item_json(key: &str, item: &StoredItem) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "created_at": item.created,
        "lease_id": item.lease,
    })
}

pub(super) fn event_json(change: &Change) -> Value {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => json!({ "key": change.key, "revision": change.revision, "deleted": true }),
    }
}
