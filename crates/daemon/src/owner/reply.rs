//! Replies of searchers, read with visitors written by hand because one is read for every
//! sub-query.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

/// The body of a reply with hits.
#[derive(Debug)]
pub(crate) struct Found<'a> {
    pub(crate) snapshot: u64,
    pub(crate) held: Vec<u64>,
    pub(crate) hits: &'a RawValue,
}

/// The body of a reply that names the snapshots held.
#[derive(Debug, Deserialize)]
pub(crate) struct Gone {
    pub(crate) held: Vec<u64>,
}

/// The body of the status endpoint.
#[derive(Debug, Deserialize)]
pub(crate) struct StatusBody {
    pub(crate) state: String,
    #[serde(default)]
    pub(crate) snapshots: Vec<u64>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Found<'a> {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(FoundVisitor)
    }
}

struct FoundVisitor;

impl<'de> Visitor<'de> for FoundVisitor {
    type Value = Found<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with `snapshot` and `hits`")
    }

    fn visit_map<A>(self, mut map: A) -> Result<Found<'de>, A::Error>
    where
        A: MapAccess<'de>,
    {
        use serde::de::Error;

        let mut snapshot = None;
        let mut held = Vec::new();
        let mut hits = None;
        while let Some(field) = map.next_key::<&str>()? {
            match field {
                "snapshot" => snapshot = Some(map.next_value()?),
                "held" => held = map.next_value()?,
                "hits" => hits = Some(map.next_value()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Found {
            snapshot: snapshot.ok_or_else(|| A::Error::missing_field("snapshot"))?,
            held,
            hits: hits.ok_or_else(|| A::Error::missing_field("hits"))?,
        })
    }
}
