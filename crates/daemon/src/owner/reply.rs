//! Bodies of searchers' replies. The one with hits has a hand-written visitor for speed, because
//! it is decoded for every sub-query.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

/// The body of a reply with hits.
#[derive(Debug)]
pub(crate) struct SearchBody<'a> {
    pub(crate) snapshot: u64,
    pub(crate) held: Vec<u64>,
    pub(crate) hits: &'a RawValue,
}

/// The body of a reply that lacks the snapshot: the snapshots that the searcher holds.
#[derive(Debug, Deserialize)]
pub(crate) struct SnapshotGoneBody {
    pub(crate) held: Vec<u64>,
}

/// The body that the status endpoint returns.
#[derive(Debug, Deserialize)]
pub(crate) struct StatusBody {
    pub(crate) state: String,
    #[serde(default)]
    pub(crate) snapshots: Vec<u64>,
}

impl<'de: 'a, 'a> Deserialize<'de> for SearchBody<'a> {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(SearchBodyVisitor)
    }
}

struct SearchBodyVisitor;

impl<'de> Visitor<'de> for SearchBodyVisitor {
    type Value = SearchBody<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with `snapshot` and `hits`")
    }

    fn visit_map<A>(self, mut map: A) -> Result<SearchBody<'de>, A::Error>
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
        Ok(SearchBody {
            snapshot: snapshot.ok_or_else(|| A::Error::missing_field("snapshot"))?,
            held,
            hits: hits.ok_or_else(|| A::Error::missing_field("hits"))?,
        })
    }
}
