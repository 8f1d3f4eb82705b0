//! What daemons say when one asks shards for another.

use bytes::BytesMut;
use prost::Message;

/// Longest request or answer between daemons.
pub(crate) const MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// A request for shards.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GatherRequest {
    /// Id of the caller's attempt.
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    /// Version of the configuration that numbers the shards.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Host of the route.
    #[prost(string, tag = "3")]
    pub(crate) host: String,
    /// Method of the request.
    #[prost(string, tag = "4")]
    pub(crate) method: String,
    /// Path and query.
    #[prost(string, tag = "5")]
    pub(crate) target: String,
    /// Further headers that go to searchers.
    #[prost(message, repeated, tag = "6")]
    pub(crate) headers: Vec<Header>,
    /// Body of the request.
    #[prost(bytes = "vec", tag = "7")]
    pub(crate) body: Vec<u8>,
    /// Indices of the shards.
    #[prost(uint32, repeated, tag = "8")]
    pub(crate) shards: Vec<u32>,
    /// Milliseconds until an answer without the stragglers is wanted.
    #[prost(uint32, tag = "9")]
    pub(crate) cutoff_ms: u32,
    /// Milliseconds until the request ends.
    #[prost(uint32, tag = "10")]
    pub(crate) limit_ms: u32,
    /// Whether it may leave some of them to others of its failure domain.
    #[prost(bool, tag = "11")]
    pub(crate) share: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct Header {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) value: Vec<u8>,
}

/// The shards that have answered.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GatherResponse {
    /// Indices of the shards.
    #[prost(uint32, repeated, tag = "1")]
    pub(crate) shards: Vec<u32>,
    /// Their signatures, in any order.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub(crate) signatures: Vec<Vec<u8>>,
    /// The greatest of their records.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) records: Vec<u8>,
}

/// Takes the next message, if it is whole. `None` if there can't be one.
pub(crate) fn next_message(received: &mut BytesMut) -> Option<Option<GatherResponse>> {
    let Ok(length) = prost::decode_length_delimiter(&received[..]) else {
        // A length takes ten bytes at most.
        return (received.len() < 10).then_some(None);
    };
    if length > MESSAGE_BYTES {
        return None;
    }
    let head = prost::length_delimiter_len(length);
    if received.len() < head + length {
        return Some(None);
    }
    let message = received.split_to(head + length).split_off(head);
    GatherResponse::decode(message).ok().map(Some)
}
