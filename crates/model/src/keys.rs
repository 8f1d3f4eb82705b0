//! Typed keys and counters.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::arena::Key;

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                $name(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key! {
    /// A failure domain of an environment.
    DomainId
}
arena_key! {
    /// A service class of an environment.
    ClassId
}
arena_key! {
    /// A service of an environment.
    ServiceId
}
arena_key! {
    /// A shard of an environment.
    ShardId
}
arena_key! {
    /// A searcher of an environment.
    SearcherId
}
arena_key! {
    /// A VM in a member table.
    VmId
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value after this one.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }
    };
}

counter! {
    /// A published version of the whole index.
    Snapshot
}
counter! {
    /// A version of a value in the store or of the catalog; only rises.
    Revision
}
counter! {
    /// A version of the assignment of searchers to members; only rises.
    Epoch
}
counter! {
    /// A number that tells two processes at the same address apart. Holds the start time
    /// in its upper bits, so that a later process has a higher number.
    Incarnation
}
