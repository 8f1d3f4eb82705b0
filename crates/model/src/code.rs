//! The numbered result codes of all public interfaces.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Whether the request ran, as far as its caller can conclude from the result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It ran, and the answer contains the result.
    Yes,
    /// Nothing was sent to a searcher for it, and nothing will be.
    No,
    /// It may have run.
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// A numbered result of a request, a change or a command. `docs/result-codes.md` lists
        /// all of them.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(#[doc = $text] $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in numeric order.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// The HTTP status of answers with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Whether a request that ended with this code ran.
            pub fn ran(self) -> Ran {
                match self { $(ResultCode::$name => Ran::$ran,)* }
            }

            /// The name of the code in answers and logs.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)* }
            }

            /// One sentence that explains the code to operators and callers.
            pub fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }
        }
    };
}

codes! {
    Complete = 100, 200, Yes, "The answer covers every shard asked for.";
    Partial = 101, 200, Yes, "The answer covers only the shards that it lists as covered.";
    Done = 102, 200, Yes, "The non-idempotent request ran once and this is its result.";
    RateLimited = 200, 429, No, "The service is above its contracted rate; the request was not run.";
    TooManyInFlight = 201, 429, No, "The service is above its contracted concurrency; the request was not run.";
    Overloaded = 202, 503, No, "The tier cannot finish the request before its deadline; it was not run.";
    DeadlinePassed = 203, 504, No, "The deadline had passed before the request started; it was not run.";
    Draining = 204, 503, No, "This daemon is stopping; the request was not run. Ask for another entry address.";
    NotReady = 205, 503, No, "This daemon holds no configuration yet; the request was not run.";
    StoreUnavailable = 206, 503, No, "The store cannot record the request id; the request was not run.";
    NoSnapshot = 207, 503, No, "No searcher holds a usable snapshot; the request was not run.";
    NoReplica = 208, 503, No, "No replica of a requested shard accepts work; the request was not run.";
    RequestIdFromFuture = 209, 400, No, "The time in the request id is too far ahead; the request was not run.";
    OutcomeUnknown = 300, 504, Unknown, "The request may have run; do not repeat it without checking.";
    RequestIdExpired = 301, 409, Unknown, "The request id is older than the retention window; whether it ran is unknown.";
    InProgress = 302, 409, Unknown, "A request with this id is still running; ask again later.";
    NoAnswer = 303, 504, Unknown, "No shard answered before the deadline; the request may have run at searchers.";
    MalformedRequest = 400, 400, No, "The request body is not valid; it was not run.";
    BodyTooLarge = 401, 413, No, "The request body is over the limit; it was not run.";
    UnknownService = 402, 404, No, "The service is not in the environment; the request was not run.";
    UnknownShard = 403, 404, No, "A requested shard is not in the environment; the request was not run.";
    ShardNotAllowed = 404, 403, No, "The service may not ask a requested shard; the request was not run.";
    BadRequestId = 405, 400, No, "A non-idempotent request needs a UUID version 7 as its id; it was not run.";
    UnknownEnvironment = 406, 404, No, "The environment does not exist; the request was not run.";
    NotFound = 407, 404, No, "There is no such path.";
    MethodNotAllowed = 408, 405, No, "The path does not take this method.";
    RequestIdReused = 409, 409, No, "The request id was used for a different request; this one was not run.";
    Accepted = 500, 200, Yes, "The change is accepted.";
    InvalidDocument = 501, 422, No, "The document has faults; nothing was changed.";
    RevisionConflict = 502, 409, No, "The environment was changed by someone else; nothing was changed.";
    NotTried = 503, 409, No, "The digest is not the one in trial; nothing was changed.";
    ChangeUnknown = 504, 504, Unknown, "The store did not confirm the change; ask for the status of its change id.";
    StoreDown = 505, 503, No, "The store did not take the change; nothing was changed.";
    DocumentTooLarge = 506, 413, No, "The document is over the size limit; nothing was changed.";
    SettingsInvalid = 600, 400, No, "The settings file is not valid.";
    SettingsUnreadable = 601, 400, No, "The settings file cannot be read.";
    AddressInUse = 602, 500, No, "A listening address cannot be bound.";
    Unreachable = 603, 503, No, "The daemon cannot be reached.";
    UsageError = 604, 400, No, "The command line is not valid.";
    InvariantBroken = 605, 500, Yes, "A run broke one of the invariants that it checks.";
    Internal = 699, 500, Unknown, "An internal error occurred; the request may have run.";
}

impl ResultCode {
    /// The number of the code in answers and logs.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The code with this number, or `None` if no code has it.
    pub fn from_number(number: u16) -> Option<ResultCode> {
        ResultCode::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl Serialize for ResultCode {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for ResultCode {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let number = u16::deserialize(deserializer)?;
        ResultCode::from_number(number)
            .ok_or_else(|| serde::de::Error::custom(format!("unknown result code {number}")))
    }
}
