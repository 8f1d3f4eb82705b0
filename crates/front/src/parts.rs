//! Collects the answers to one request.

use std::collections::HashSet;

use bytes::Bytes;
use hyper::header::HeaderValue;

use crate::attempt::Cause;
use crate::attempt::Reply;
use crate::attempt::RequestKind;
use tt_adapter::headers;
use tt_serve::merge_records;

/// Size from which the answer of a shard is reduced to its greatest records when it arrives, since
/// many are held in memory until the last one arrives.
const LARGE_PART_BYTES: usize = 4 * 1024;

/// The merged answer of one or several shards.
#[derive(Debug)]
pub(crate) struct Part {
    /// Indices of the shards in the plan.
    pub(crate) shards: Vec<usize>,
    /// The signatures of the searchers, one per shard, in any order.
    pub(crate) signatures: Vec<HeaderValue>,
    /// The encoded records.
    pub(crate) records: Bytes,
}

/// The parts of an answer that is merged from several shards.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    parts: Vec<Part>,
    signatures: HashSet<HeaderValue>,
}

impl Parts {
    /// Adds a part. Rejects it and returns `false` if one of its signatures is already known: no
    /// answer may be counted twice.
    pub(crate) fn add(&mut self, part: Part) -> bool {
        if part.signatures.iter().any(|signature| self.signatures.contains(signature)) {
            return false;
        }
        self.signatures.extend(part.signatures.iter().cloned());
        self.parts.push(part);
        true
    }

    /// Removes and returns the parts that were added since the last call.
    pub(crate) fn take_new(&mut self) -> Vec<Part> {
        std::mem::take(&mut self.parts)
    }
}

/// All answers and failures that one request has received.
#[derive(Debug, Default)]
pub(crate) struct Replies {
    /// The parts, if the route queries several shards.
    pub(crate) parts: Parts,
    /// The answer, if the route queries one searcher.
    pub(crate) answer: Option<Reply>,
    /// The latest error answer of a searcher.
    pub(crate) last_failure: Option<Reply>,
    /// Cause of the outcome of the attempt that ended last, for the log.
    pub(crate) last_cause: Option<Cause>,
}

impl Replies {
    /// Adds a valid answer of a searcher. Returns whether the answer counts.
    pub(crate) fn add(&mut self, shard: usize, reply: Reply, kind: RequestKind) -> bool {
        let max_records = match kind {
            RequestKind::One => {
                self.answer = Some(reply);
                return true;
            }
            RequestKind::Gather { max_records } => max_records,
        };
        let Some(signature) = reply.headers.get(headers::SIGNATURE) else { return false };
        let records = match reply.body.len() {
            // Only the greatest records can get into the merged answer.
            length if length > LARGE_PART_BYTES => {
                merge_records(std::iter::once(reply.body.as_ref()), max_records).into()
            }
            _ => reply.body,
        };
        self.parts.add(Part { shards: vec![shard], signatures: vec![signature.clone()], records })
    }
}
