//! The API keys of a configuration, and the organisation that each of them belongs to.
//!
//! Only keyed hashes of the keys are kept. The secret is random and known to this process only, so
//! that nobody can choose a key whose hash resembles that of another one.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::config::Organisation;

/// Maximum length of a key in bytes. Longer ones are unknown without being hashed, so that a caller
/// can't make the check expensive.
pub const MAX_KEY_BYTES: usize = 1024;

/// Length of the secret in bytes: one block of the hash function.
const SECRET_BYTES: usize = 64;

type Hash = [u8; 32];

/// Why a request has no organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFault {
    /// The key is absent, repeated, empty, too long, or has characters other than visible ASCII
    /// ones. No configuration can hold such a key.
    Malformed,
    /// The configuration does not hold the key.
    Unknown,
}

/// The keys of one version of the configuration.
pub struct KeyRing {
    /// The keys by the first eight bytes of their hashes.
    buckets: HashMap<u64, Vec<StoredKey>>,
    ignored: usize,
}

struct StoredKey {
    hash: Hash,
    /// `None` if several organisations have the key.
    organisation: Option<Arc<Organisation>>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").field("ignored", &self.ignored).finish_non_exhaustive()
    }
}

impl KeyRing {
    /// Collects the keys of all organisations. Left out are malformed keys, keys that several
    /// organisations have, and all keys of an organisation whose name can't be the value of a
    /// header: searchers could not be told reliably whose request it is.
    pub fn new(organisations: &[Organisation]) -> KeyRing {
        let mut ring = KeyRing { buckets: HashMap::new(), ignored: 0 };
        for organisation in organisations {
            let is_named = is_header_value(&organisation.name);
            let named = Arc::new(Organisation { api_keys: Vec::new(), ..organisation.clone() });
            for key in &organisation.api_keys {
                if is_named && is_well_formed(key.0.as_bytes()) {
                    ring.insert(hash(key.0.as_bytes()), &named);
                } else {
                    ring.ignored += 1;
                }
            }
        }
        ring
    }

    fn insert(&mut self, hash: Hash, organisation: &Arc<Organisation>) {
        let bucket = self.buckets.entry(prefix(&hash)).or_default();
        let Some(known) = bucket.iter_mut().find(|it| it.hash == hash) else {
            bucket.push(StoredKey { hash, organisation: Some(organisation.clone()) });
            return;
        };
        if known.organisation.as_ref().is_some_and(|it| it.name != organisation.name) {
            known.organisation = None;
            self.ignored += 1;
        }
    }

    /// Number of keys in the configuration that are left out, for the operator.
    pub fn ignored(&self) -> usize {
        self.ignored
    }

    /// Returns the organisation, without its keys, of a request whose headers have these values of
    /// the key.
    ///
    /// # Errors
    ///
    /// Any [`KeyFault`].
    pub fn find<'a, V>(&self, values: V) -> Result<&Arc<Organisation>, KeyFault>
    where
        V: IntoIterator<Item = &'a [u8]>,
    {
        let mut values = values.into_iter();
        let (Some(key), None) = (values.next(), values.next()) else {
            return Err(KeyFault::Malformed);
        };
        if !is_well_formed(key) {
            return Err(KeyFault::Malformed);
        }
        let hash = hash(key);
        let bucket = self.buckets.get(&prefix(&hash)).map_or(&[][..], Vec::as_slice);
        let known = bucket.iter().find(|it| bool::from(it.hash.ct_eq(&hash)));
        known.and_then(|it| it.organisation.as_ref()).ok_or(KeyFault::Unknown)
    }
}

fn is_well_formed(key: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic)
}

/// Whether a name reaches the receiver of a header unchanged.
fn is_header_value(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}

fn hash(key: &[u8]) -> Hash {
    /// The hash function with the secret of this process.
    static KEYED: OnceLock<Hmac<Sha256>> = OnceLock::new();
    let keyed = KEYED.get_or_init(|| {
        let secret: [u8; SECRET_BYTES] = rand::random();
        Hmac::new(&secret.into())
    });
    keyed.clone().chain_update(key).finalize().into_bytes().into()
}

fn prefix(hash: &Hash) -> u64 {
    let (first, _) = hash.split_first_chunk().expect("a hash is longer than eight bytes");
    u64::from_le_bytes(*first)
}
