//! Calls to the platform's store and their outcomes, as seen by decision code.

use crate::keys::Revision;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a value.
    Get {
        /// Key of the value.
        key: String,
    },
    /// Writes a value if its revision is still `expect`.
    Put {
        /// Key of the value.
        key: String,
        /// Revision that the write is based on; 0 creates the value.
        expect: Revision,
        /// The new value, at most [`MAX_VALUE_BYTES`].
        value: Vec<u8>,
    },
    /// Removes a value if its revision is still `expect`.
    Delete {
        /// Key of the value.
        key: String,
        /// Revision that the removal is based on.
        expect: Revision,
    },
    /// Waits until the revision of a value is above `after`.
    Watch {
        /// Key of the value.
        key: String,
        /// The last revision seen.
        after: Revision,
    },
}

/// The outcome of a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// A read or a watch found this value.
    Value {
        /// Revision of the value.
        revision: Revision,
        /// The value.
        value: Vec<u8>,
    },
    /// A read or a removal found no value, or a watch ended without a change.
    Missing,
    /// A write or a removal took effect.
    Written {
        /// The new revision; for a removal, the one that was removed.
        revision: Revision,
    },
    /// A write or a removal did not take effect, because the revision was another.
    Conflict {
        /// The revision found; 0 if there is no value.
        revision: Revision,
    },
    /// The call certainly had no effect: it never reached the store, or the store refused it.
    Unavailable,
    /// No reply arrived; a write or a removal may have taken effect.
    Lost,
}

/// The largest value that the store holds.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
