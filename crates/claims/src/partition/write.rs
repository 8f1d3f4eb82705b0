//! One write to the store, whose outcome is determined by reading the value back.

use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// A compare-and-swap or a removal, which is repeated until its outcome is certain.
#[derive(Debug)]
pub(crate) struct Write {
    key: String,
    /// The revision that the value must have for the write to take effect.
    expect: Revision,
    change: Change,
    stage: Stage,
    effect: Effect,
}

#[derive(Debug)]
enum Change {
    Put(Vec<u8>),
    Remove,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Writing,
    ReadingBack,
}

/// Whether an earlier call of the same write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    None,
    Possible,
}

/// What to do after a reply of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// The write took effect at this revision.
    Durable(Revision),
    /// The write had no effect and will have none.
    NoEffect,
    /// Another writer changed the value.
    Conflict,
    /// Make the call of [`Write::call`] at once.
    Continue,
    /// The store does not answer. Make the call of [`Write::call`] after a delay.
    Pause,
}

impl Write {
    /// Replaces the value at revision `expect`.
    pub(crate) fn put(key: String, expect: Revision, value: Vec<u8>) -> Write {
        let change = Change::Put(value);
        Write { key, expect, change, stage: Stage::Writing, effect: Effect::None }
    }

    /// Removes the value at revision `expect`.
    pub(crate) fn remove(key: String, expect: Revision) -> Write {
        let change = Change::Remove;
        Write { key, expect, change, stage: Stage::Writing, effect: Effect::None }
    }

    /// The next store call.
    pub(crate) fn call(&self) -> StoreCall {
        let key = self.key.clone();
        match (self.stage, &self.change) {
            (Stage::ReadingBack, _) => StoreCall::Get { key },
            (Stage::Writing, Change::Put(value)) => {
                StoreCall::Put { key, expect: self.expect, value: value.clone() }
            }
            (Stage::Writing, Change::Remove) => StoreCall::Delete { key, expect: self.expect },
        }
    }

    /// Whether the next call changes the store.
    pub(crate) fn is_writing(&self) -> bool {
        self.stage == Stage::Writing
    }

    /// Handles the reply to [`Write::call`].
    pub(crate) fn on_reply(&mut self, reply: &StoreReply) -> Next {
        match (self.stage, &self.change) {
            (Stage::Writing, Change::Put(_)) => self.on_put(reply),
            (Stage::Writing, Change::Remove) => match reply {
                StoreReply::Lost | StoreReply::Unavailable | StoreReply::Value { .. } => {
                    Next::Pause
                }
                StoreReply::Written { revision } | StoreReply::Conflict { revision } => {
                    Next::Durable(*revision)
                }
                StoreReply::Missing => Next::Durable(self.expect),
            },
            (Stage::ReadingBack, _) => self.on_read_back(reply),
        }
    }

    fn on_put(&mut self, reply: &StoreReply) -> Next {
        match reply {
            StoreReply::Written { revision } => Next::Durable(*revision),
            StoreReply::Unavailable if self.effect == Effect::None => Next::NoEffect,
            StoreReply::Unavailable => {
                self.stage = Stage::ReadingBack;
                Next::Pause
            }
            // An earlier call of this same write may have caused the conflict.
            StoreReply::Conflict { .. }
            | StoreReply::Lost
            | StoreReply::Value { .. }
            | StoreReply::Missing => {
                self.effect = Effect::Possible;
                self.stage = Stage::ReadingBack;
                Next::Continue
            }
        }
    }

    fn on_read_back(&mut self, reply: &StoreReply) -> Next {
        match (reply, &self.change) {
            // The token and the batch number make the bytes of each write unique.
            (StoreReply::Value { revision, value }, Change::Put(own))
                if value == own && *revision != self.expect =>
            {
                Next::Durable(*revision)
            }
            (StoreReply::Value { revision, .. }, _) if *revision != self.expect => Next::Conflict,
            (StoreReply::Missing, _) if self.expect != Revision(0) => Next::Conflict,
            // The write has not taken effect, but its lost call may still arrive. The same
            // bytes are written again from the same revision, so that at most one call takes
            // effect.
            (StoreReply::Value { .. } | StoreReply::Missing, _) => {
                self.stage = Stage::Writing;
                Next::Continue
            }
            (
                StoreReply::Unavailable
                | StoreReply::Lost
                | StoreReply::Written { .. }
                | StoreReply::Conflict { .. },
                _,
            ) => Next::Pause,
        }
    }
}
