//! What has come back for one request.

use bytes::Bytes;
use hyper::header::HeaderValue;

use crate::attempt::Cause;
use crate::attempt::Reply;
use tt_adapter::headers;

/// The parts of an answer over many shards.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    /// One signature for each shard that is in.
    pub(crate) signatures: Vec<HeaderValue>,
    /// Their records.
    pub(crate) records: Vec<Bytes>,
}

impl Parts {
    /// Adds the parts that a daemon or a searcher has brought. Returns whether it did: no
    /// signature may come twice.
    pub(crate) fn add(&mut self, signatures: &[HeaderValue], records: Bytes) -> bool {
        if signatures.iter().any(|signature| self.signatures.contains(signature)) {
            return false;
        }
        self.signatures.extend_from_slice(signatures);
        self.records.push(records);
        true
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
    pub(crate) fn take(&mut self, reply: Reply, gather: bool) -> bool {
        if !gather {
            self.answer = Some(reply);
            return true;
        }
        match reply.headers.get(headers::SIGNATURE) {
            Some(signature) => self.parts.add(&[signature.clone()], reply.body),
            None => false,
        }
    }
}
