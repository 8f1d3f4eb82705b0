//! Calls to the platform's store and their outcomes, for the state machines that leave the
//! I/O to the daemon.

use crate::keys::Revision;

/// A read, write, removal or watch of one key, which the daemon runs for a state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the value of a key.
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
        /// Revision that the removal is based on, so that a newer value is kept.
        expect: Revision,
    },
    /// Waits until the revision of a value is above `after`.
    Watch {
        /// Key of the value.
        key: String,
        /// The last known revision.
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
        /// The stored bytes.
        value: Vec<u8>,
    },
    /// A read or a removal found no value, or a watch ended without a change.
    Missing,
    /// A write or a removal took effect.
    Written {
        /// The new revision; for a removal, the revision that was removed.
        revision: Revision,
    },
    /// A write or a removal had no effect, because the value has another revision than
    /// `expect`.
    Conflict {
        /// The current revision; 0 if there is no value.
        revision: Revision,
    },
    /// The call certainly had no effect: it did not reach the store, or the store refused it.
    Unavailable,
    /// No reply arrived; a write or a removal may have taken effect.
    Lost,
}

/// The maximum size of a value in the store.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
