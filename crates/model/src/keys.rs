//! Typed keys of arenas, and version numbers that only increase.

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
    /// Identifies a failure domain of an environment.
    DomainId
}
arena_key! {
    /// Identifies a service class of an environment.
    ClassId
}
arena_key! {
    /// Identifies a service of an environment.
    ServiceId
}
arena_key! {
    /// Identifies a shard of an environment.
    ShardId
}
arena_key! {
    /// Identifies a searcher of an environment.
    SearcherId
}
arena_key! {
    /// Identifies the VM of a daemon in member tables, usage reports and routers.
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
            /// This value plus 1.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }
    };
}

counter! {
    /// The number of a published version of the whole index.
    Snapshot
}
counter! {
    /// The version of a value in the store or of the catalog. It only increases.
    Revision
}
counter! {
    /// The version of the assignment of searchers to members. It only increases.
    Epoch
}
counter! {
    /// Distinguishes successive processes at the same address. The upper bits hold the start
    /// time, so that a later process has a higher number.
    Incarnation
}
