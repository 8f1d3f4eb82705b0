//! Content digests of documents and their parts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

/// The SHA-256 digest of a document or of a part of one, in lower-case hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        use sha2::Digest as _;
        let hash = Sha256::digest(bytes);
        Digest(hash.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// The digest as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
