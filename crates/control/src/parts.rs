//! Content-defined parts of a document.
//!
//! A document is cut at line ends that its own content selects, so that an edit moves
//! only the cuts near it and all other parts keep their digests.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use xxhash_rust::xxh3::xxh3_64;

use tt_model::Digest;

/// No cut is made before this size, so that a repetitive text does not produce tiny parts.
pub const MIN_PART_BYTES: usize = 4 * 1024;
/// The largest part. Half of what the store holds, so that a part always fits in one value.
pub const MAX_PART_BYTES: usize = 512 * 1024;
/// A cut is expected after this many bytes beyond the minimum; parts average about 16 KB.
const CUT_EVERY_BYTES: u64 = 12 * 1024;
/// Bytes before a line end that select a cut. Lines such as `"slots": 2,` repeat; a window
/// over several lines includes a name and therefore differs.
const WINDOW_BYTES: usize = 256;

/// A piece of a document or of a manifest. The digest is always computed from the text,
/// so that a part with a false digest cannot exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    digest: Digest,
    text: Arc<str>,
}

impl Part {
    /// A part with this text.
    pub fn new(text: &str) -> Part {
        Part { digest: Digest::of(text.as_bytes()), text: text.into() }
    }

    /// Reads a value of the store; `None` if it is not the text that `digest` names.
    pub fn verified(digest: &Digest, value: &[u8]) -> Option<Part> {
        let part = Part::new(std::str::from_utf8(value).ok()?);
        (part.digest == *digest).then_some(part)
    }

    /// The digest of the text.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The text.
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
    /// The manifest of these parts.
    pub fn of(parts: &[Part]) -> Manifest {
        Manifest(parts.iter().map(|part| part.digest.clone()).collect())
    }

    /// The manifest as a content-addressed value of its own.
    pub fn to_part(&self) -> Part {
        let text = serde_json::to_string(self).expect("a list of strings is valid JSON");
        Part::new(&text)
    }

    /// Reads a manifest value.
    pub fn from_part(part: &Part) -> Option<Manifest> {
        serde_json::from_str(&part.text).ok()
    }
}

/// Why parts do not make up the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssembleError {
    /// A part is not there.
    Missing(Digest),
    /// The parts are there but their concatenation has another digest.
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

/// Cuts a document into parts.
pub fn cut(text: &str) -> Vec<Part> {
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
        if line_end - start >= MIN_PART_BYTES && is_cut(bytes, line_start, line_end) {
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

/// Whether the content before `line_end` selects a cut there. The probability grows with the
/// length of the line, so that the average part does not depend on how the text is wrapped.
fn is_cut(bytes: &[u8], line_start: usize, line_end: usize) -> bool {
    let window = &bytes[line_end.saturating_sub(WINDOW_BYTES)..line_end];
    let line_bytes = (line_end - line_start) as u64;
    xxh3_64(window) % CUT_EVERY_BYTES < line_bytes
}

/// Joins parts into the document with the digest `expect`.
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
