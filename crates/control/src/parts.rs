//! Content-defined chunking of documents into parts.
//!
//! Cut points are line ends chosen by a hash of the text before them. An edit therefore moves
//! only the cut points near it, and all other parts keep their digests.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use xxhash_rust::xxh3::xxh3_64;

use tt_model::Digest;

/// The minimum size of a part, so that repetitive text does not produce tiny parts. The last part
/// may be smaller.
pub const MIN_PART_BYTES: usize = 4 * 1024;
/// The maximum size of a part. Half the store's limit, so that a part always fits in one value.
pub const MAX_PART_BYTES: usize = 512 * 1024;
/// The mean distance of the next cut point beyond the minimum; parts average about 16 KB.
const MEAN_CUT_BYTES: u64 = 12 * 1024;
/// The length of the text before a line end that is hashed. Lines such as `"slots": 2,` repeat; a
/// window over several lines includes a name and therefore differs.
const CUT_WINDOW_BYTES: usize = 256;

/// A part of a document, or a manifest, addressed by its digest. The digest is always computed
/// from the text, so that a part with a wrong digest cannot exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    digest: Digest,
    text: Arc<str>,
}

impl Part {
    /// Creates a part and computes its digest.
    pub fn new(text: &str) -> Part {
        Part { digest: Digest::of(text.as_bytes()), text: text.into() }
    }

    /// Decodes a value of the store; `None` if it is not UTF-8 or has another digest.
    pub fn verified(digest: &Digest, value: &[u8]) -> Option<Part> {
        let part = Part::new(std::str::from_utf8(value).ok()?);
        (part.digest == *digest).then_some(part)
    }

    /// The digest of the text, which also names the part in manifests.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The text, which is also the value in the store.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The key of this part in the store.
    pub fn key(&self) -> String {
        part_key(&self.digest)
    }
}

impl Serialize for Part {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for Part {
    fn deserialize<D>(deserializer: D) -> Result<Part, D::Error>
    where
        D: Deserializer<'de>,
    {
        Ok(Part::new(&String::deserialize(deserializer)?))
    }
}

/// The key in the store of the part with this digest.
pub fn part_key(digest: &Digest) -> String {
    format!("parts/{digest}")
}

/// The digests of a document's parts, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Manifest(pub Vec<Digest>);

impl Manifest {
    /// Lists the digests of `parts`.
    pub fn of(parts: &[Part]) -> Manifest {
        Manifest(parts.iter().map(|part| part.digest.clone()).collect())
    }

    /// Encodes the manifest as JSON, to be stored under its own digest.
    pub fn to_part(&self) -> Part {
        let text = serde_json::to_string(self).expect("a list of strings is valid JSON");
        Part::new(&text)
    }

    /// Decodes a manifest; `None` if the text is not one.
    pub fn from_part(part: &Part) -> Option<Manifest> {
        serde_json::from_str(&part.text).ok()
    }
}

/// Why [`assemble`] failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssembleError {
    /// The part with this digest was not found.
    Missing(Digest),
    /// All parts were found, but the document they make up has this other digest.
    WrongDigest(Digest),
}

impl fmt::Display for AssembleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AssembleError::Missing(digest) => write!(f, "the part {digest} is missing"),
            AssembleError::WrongDigest(digest) => {
                write!(f, "the parts make up a document with the digest {digest}")
            }
        }
    }
}

impl std::error::Error for AssembleError {}

/// Splits a document into parts, whose concatenation is `text`. An empty text gives one empty part.
pub fn split_document(text: &str) -> Vec<Part> {
    let bytes = text.as_bytes();
    let mut parts = Vec::new();
    let mut start = 0;
    let mut line_start = 0;
    let mut last_line_end = 0;
    while line_start < bytes.len() {
        let line_end = bytes[line_start..]
            .iter()
            .position(|&byte| byte == b'\n')
            .map_or(bytes.len(), |at| line_start + at + 1);
        while line_end - start > MAX_PART_BYTES {
            let end = if last_line_end > start {
                last_line_end
            } else {
                text.floor_char_boundary(start + MAX_PART_BYTES)
            };
            parts.push(Part::new(&text[start..end]));
            start = end;
        }
        last_line_end = line_end;
        if line_end - start >= MIN_PART_BYTES && is_cut_point(bytes, line_start, line_end) {
            parts.push(Part::new(&text[start..line_end]));
            start = line_end;
        }
        line_start = line_end;
    }
    if start < bytes.len() || parts.is_empty() {
        parts.push(Part::new(&text[start..]));
    }
    parts
}

/// Whether the text before `line_end` makes it a cut point. The probability is proportional to
/// the length of the line, so that the mean part size does not depend on the line lengths.
fn is_cut_point(bytes: &[u8], line_start: usize, line_end: usize) -> bool {
    let window = &bytes[line_end.saturating_sub(CUT_WINDOW_BYTES)..line_end];
    let line_bytes = (line_end - line_start) as u64;
    xxh3_64(window) % MEAN_CUT_BYTES < line_bytes
}

/// Joins the parts that `find` returns into the document with the digest `expect`.
pub fn assemble<'a, F>(
    manifest: &Manifest,
    expect: &Digest,
    find: F,
) -> Result<String, AssembleError>
where
    F: Fn(&Digest) -> Option<&'a Part>,
{
    let mut text = String::new();
    for digest in &manifest.0 {
        let part = find(digest).ok_or_else(|| AssembleError::Missing(digest.clone()))?;
        text.push_str(&part.text);
    }
    let found = Digest::of(text.as_bytes());
    if found != *expect {
        return Err(AssembleError::WrongDigest(found));
    }
    Ok(text)
}
