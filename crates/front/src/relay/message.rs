//! Messages between an entry and the daemon that it delegates shards to.

use bytes::BytesMut;
use prost::Message;

/// Maximum size of an encoded request or response.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Asks a daemon to query some shards of a route.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GatherRequest {
    /// Id of the caller's request, from `X-Request-Id`.
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    /// Version of the configuration of the sender, for the log.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Host for which the route is looked up.
    #[prost(string, tag = "3")]
    pub(crate) host: String,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub(crate) method: String,
    /// Path and query string.
    #[prost(string, tag = "5")]
    pub(crate) target: String,
    /// Further headers to forward to searchers.
    #[prost(message, repeated, tag = "6")]
    pub(crate) headers: Vec<Header>,
    /// Body to forward to searchers.
    #[prost(bytes = "vec", tag = "7")]
    pub(crate) body: Vec<u8>,
    /// Indices of the shards in the whole query.
    #[prost(uint32, repeated, tag = "8")]
    pub(crate) shards: Vec<u32>,
    /// Time until the first answer is due, without the stragglers, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub(crate) cutoff_ms: u32,
    /// Time until the request ends, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub(crate) limit_ms: u32,
    /// Whether the daemon may delegate some shards to others of its failure domain.
    #[prost(bool, tag = "11")]
    pub(crate) share: bool,
    /// Digest of the shards of the whole query, to which the indices apply.
    #[prost(fixed64, tag = "12")]
    pub(crate) shards_digest: u64,
    /// Maximum number of records in the merged answer. The receiver may have another version of the
    /// configuration, with another maximum.
    #[prost(uint32, tag = "13")]
    pub(crate) max_records: u32,
    /// Maximum number of searchers of one shard at which the request may run.
    #[prost(uint32, tag = "14")]
    pub(crate) max_attempts: u32,
    /// Whether only searchers in `regions` may run it.
    #[prost(bool, tag = "21")]
    pub(crate) restricted: bool,
    /// Regions whose searchers may run it, if it is restricted.
    #[prost(string, repeated, tag = "20")]
    pub(crate) regions: Vec<String>,
}

/// A header to forward.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Header {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) value: Vec<u8>,
}

/// The merged answers of some shards. A response is a sequence of these, each prefixed by its
/// length.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GatherResponse {
    /// Indices of the shards in the whole query.
    #[prost(uint32, repeated, tag = "1")]
    pub(crate) shards: Vec<u32>,
    /// The signatures of their searchers, in any order.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub(crate) signatures: Vec<Vec<u8>>,
    /// The greatest records of these shards, encoded.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) records: Vec<u8>,
    /// Shards that were sent to no searcher, and never will be for this request.
    #[prost(message, repeated, tag = "4")]
    pub(crate) unsent: Vec<UnsentShard>,
    /// Number of searchers that have ended under the request so far.
    #[prost(uint32, tag = "5")]
    pub(crate) ended: u32,
}

/// A shard that was sent to no searcher.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct UnsentShard {
    /// Its index in the whole query.
    #[prost(uint32, tag = "1")]
    pub(crate) shard: u32,
    /// Time until one of its searchers accepts a request again, in milliseconds; 0 if that is not
    /// known.
    #[prost(uint32, tag = "2")]
    pub(crate) wait_ms: u32,
}

/// Removes the next message from `received`. Returns `Some(None)` if it is still incomplete, `None`
/// if it is malformed or too long.
pub(crate) fn next_message(received: &mut BytesMut) -> Option<Option<GatherResponse>> {
    let Ok(length) = prost::decode_length_delimiter(&received[..]) else {
        // An encoded length has at most ten bytes.
        return (received.len() < 10).then_some(None);
    };
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let prefix = prost::length_delimiter_len(length);
    if received.len() < prefix + length {
        return Some(None);
    }
    let message = received.split_to(prefix + length).split_off(prefix);
    GatherResponse::decode(message).ok().map(Some)
}
