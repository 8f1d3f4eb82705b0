//! What has come back for one request.

use std::collections::HashSet;

use bytes::Bytes;
use hyper::header::HeaderValue;

use crate::attempt::Cause;
use crate::attempt::Reply;
use tt_adapter::headers;

/// Answers of some shards.
#[derive(Debug)]
pub(crate) struct Part {
    /// Indices of the shards.
    pub(crate) shards: Vec<usize>,
    /// One signature for each.
    pub(crate) signatures: Vec<HeaderValue>,
    /// Their records.
    pub(crate) records: Bytes,
}

/// The parts of an answer over many shards.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    parts: Vec<Part>,
    seen: HashSet<HeaderValue>,
}

impl Parts {
    /// Adds a part. Returns whether it did: no signature may come twice.
    pub(crate) fn add(&mut self, part: Part) -> bool {
        if part.signatures.iter().any(|signature| self.seen.contains(signature)) {
            return false;
        }
        self.seen.extend(part.signatures.iter().cloned());
        self.parts.push(part);
        true
    }

    /// The parts that have come since the last call.
    pub(crate) fn take(&mut self) -> Vec<Part> {
        std::mem::take(&mut self.parts)
    }
}

/// All that has come back for one request.
#[derive(Debug, Default)]
pub(crate) struct Replies {
    /// Parts, if the request is for many shards.
    pub(crate) parts: Parts,
    /// The answer, if it is for one searcher.
    pub(crate) answer: Option<Reply>,
    /// The newest failure that a searcher answered with.
    pub(crate) failed: Option<Reply>,
    /// What decided how the newest send ended.
    pub(crate) last: Option<Cause>,
}

impl Replies {
    /// Takes a sound answer of a searcher. Returns whether it counts.
    pub(crate) fn take(&mut self, shard: usize, reply: Reply, gather: bool) -> bool {
        if !gather {
            self.answer = Some(reply);
            return true;
        }
        match reply.headers.get(headers::SIGNATURE) {
            Some(signature) => self.parts.add(Part {
                shards: vec![shard],
                signatures: vec![signature.clone()],
                records: reply.body,
            }),
            None => false,
        }
    }
}
