//! What a searcher has said of itself, kept when its registration is removed or replaced.
//!
//! A searcher that starts again under its id is heard before its registration is read, under the
//! key of its earlier start. An answer doesn't tell which start has given it. What may have been
//! said by the new start is heeded: a request that the searcher has asked not to get costs more
//! than one that another searcher gets instead.

use std::collections::HashMap;
use std::time::Duration;

use super::Fleet;
use super::SearcherKey;
use super::stated::Stated;
use crate::Time;

/// How long a removed searcher is remembered. Listings that still have it are older by far less.
const FORMER_PERIOD: Duration = Duration::from_secs(60);

/// How a registration of a searcher follows one that was removed or replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Succession {
    /// It is of the same start: all that was heard holds.
    SameStart,
    /// It is of a later start, which began after this time. Only what was heard since may hold.
    NewStart {
        began_after: Time,
        /// Whether the earlier start was registered as leaving, so that statements of that are its
        /// own.
        was_leaving: bool,
    },
}

/// A searcher whose registration was removed or replaced.
#[derive(Debug)]
struct Former {
    /// Its failure domain.
    domain: String,
    stated: Stated,
    removed_at: Time,
    /// The key under which it is registered again.
    successor: Option<SearcherKey>,
}

/// The searchers whose registrations were removed or replaced, by their former keys.
#[derive(Debug, Default)]
pub(super) struct FormerSearchers {
    by_key: HashMap<SearcherKey, Former>,
}

impl FormerSearchers {
    pub(super) fn add(&mut self, key: SearcherKey, domain: String, stated: Stated, now: Time) {
        self.by_key.retain(|_, it| it.is_remembered(now));
        self.by_key.insert(key, Former { domain, stated, removed_at: now, successor: None });
    }

    /// The key under which the searcher is registered now, or was last.
    fn newest_key(&self, mut key: SearcherKey) -> SearcherKey {
        // A successor always has a later key.
        while let Some(successor) = self.by_key.get(&key).and_then(|it| it.successor) {
            key = successor;
        }
        key
    }
}

impl Former {
    fn is_remembered(&self, now: Time) -> bool {
        now < self.removed_at + FORMER_PERIOD || !self.stated.rest_left(now).is_zero()
    }
}

impl Fleet {
    /// Whether it is still known what a removed searcher has said of itself.
    pub(crate) fn remembers(&self, key: SearcherKey) -> bool {
        self.former.by_key.contains_key(&key)
    }

    /// Passes what was heard under the `former` key, of a removed searcher, on to its new `key`.
    /// What is heard under the former one from now on counts for the new one too.
    pub(crate) fn inherit(
        &mut self,
        key: SearcherKey,
        former: SearcherKey,
        succession: Succession,
    ) {
        let Some(heard) = self.former.by_key.get_mut(&former) else { return };
        let Some(tracked) = self.searchers.get_mut(&key) else { return };
        heard.successor = Some(key);
        let stated = std::mem::take(&mut heard.stated);
        tracked.stated = match succession {
            Succession::SameStart => stated,
            Succession::NewStart { began_after, was_leaving } => {
                stated.heard_since(&self.settings, began_after, was_leaving)
            }
        };
    }

    /// The failure domain of a searcher that is or was registered under this key.
    pub(super) fn domain_of(&self, key: SearcherKey) -> Option<&str> {
        match self.searchers.get(&key) {
            Some(tracked) => Some(&tracked.searcher.domain),
            None => self.former.by_key.get(&key).map(|it| it.domain.as_str()),
        }
    }

    /// What a searcher has said of itself, under its newest key.
    pub(super) fn stated_mut(&mut self, key: SearcherKey) -> Option<&mut Stated> {
        let key = self.former.newest_key(key);
        match self.searchers.get_mut(&key) {
            Some(tracked) => Some(&mut tracked.stated),
            None => self.former.by_key.get_mut(&key).map(|it| &mut it.stated),
        }
    }
}
