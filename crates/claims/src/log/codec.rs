//! The byte format of heads and segments: big-endian numbers in a fixed order. Records are
//! kept compact because each write sends the whole segment.

use uuid::Uuid;

use crate::log::DecodeError;
use crate::log::FencingToken;
use crate::log::Head;
use crate::log::Record;
use crate::log::Seal;
use crate::log::Segment;
use crate::message::MAX_RESULT_BYTES;
use crate::message::RunResult;
use crate::message::Start;
use crate::message::not_run_code;
use crate::request_id::BodyDigest;
use crate::request_id::CallerAttempt;
use crate::request_id::ClaimId;
use crate::request_id::RequestKey;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::ResultCode;

const HEAD_FORMAT: u8 = 0x11;
const SEGMENT_FORMAT: u8 = 0x21;

/// Size of a segment value before its records: format, token, batch number and seal.
pub(crate) const SEGMENT_PREFIX_BYTES: usize = 26;

const CLAIMED: u8 = 1;
const CLAIMED_STARTED: u8 = 2;
const STARTED: u8 = 3;
const DONE_KEPT: u8 = 4;
const DONE_OMITTED: u8 = 5;
const ABORTED: u8 = 6;

pub(crate) fn encode_head(head: &Head) -> Vec<u8> {
    let mut out = vec![HEAD_FORMAT];
    put_token(&mut out, head.token);
    for number in [head.first, head.tail, head.watermark_ms] {
        out.extend(number.to_be_bytes());
    }
    out
}

pub(crate) fn decode_head(value: &[u8]) -> Result<Head, DecodeError> {
    let mut reader = Reader { value, offset: 0 };
    reader.expect(HEAD_FORMAT)?;
    let head = Head {
        token: reader.token()?,
        first: reader.u64()?,
        tail: reader.u64()?,
        watermark_ms: reader.u64()?,
    };
    reader.end()?;
    Ok(head)
}

/// Encodes a segment whose records are encoded already.
pub(crate) fn encode_segment(
    token: FencingToken,
    batch: u64,
    seal: Seal,
    records: &[u8],
) -> Vec<u8> {
    let mut out = Vec::with_capacity(SEGMENT_PREFIX_BYTES + records.len());
    out.push(SEGMENT_FORMAT);
    put_token(&mut out, token);
    out.extend(batch.to_be_bytes());
    out.push(match seal {
        Seal::Open => 0,
        Seal::Sealed => 1,
    });
    out.extend(records);
    out
}

pub(crate) fn decode_segment(value: &[u8]) -> Result<Segment, DecodeError> {
    let mut reader = Reader { value, offset: 0 };
    reader.expect(SEGMENT_FORMAT)?;
    let token = reader.token()?;
    let batch = reader.u64()?;
    let seal = match reader.u8()? {
        0 => Seal::Open,
        1 => Seal::Sealed,
        _ => return Err(reader.error()),
    };
    let mut records = Vec::new();
    while reader.offset < value.len() {
        records.push(reader.record()?);
    }
    Ok(Segment { token, batch, seal, records })
}

pub(crate) fn encode_record(out: &mut Vec<u8>, record: &Record) {
    match record {
        Record::Claimed { key, claim, digest, attempt, deadline_unix_ms, start } => {
            let tag = match start {
                Start::Later => CLAIMED,
                Start::Now => CLAIMED_STARTED,
            };
            put_prefix(out, tag, *key, *claim);
            out.extend(digest.0.to_be_bytes());
            out.extend(attempt.0.to_be_bytes());
            out.extend(deadline_unix_ms.to_be_bytes());
        }
        Record::Started { key, claim } => put_prefix(out, STARTED, *key, *claim),
        Record::Done { key, claim, result: RunResult::Kept(bytes) } => {
            put_prefix(out, DONE_KEPT, *key, *claim);
            out.extend((bytes.len() as u16).to_be_bytes());
            out.extend(bytes);
        }
        Record::Done { key, claim, result: RunResult::Omitted(digest) } => {
            put_prefix(out, DONE_OMITTED, *key, *claim);
            out.extend(digest.0.to_be_bytes());
        }
        Record::Aborted { key, claim, digest, attempt, code } => {
            put_prefix(out, ABORTED, *key, *claim);
            out.extend(digest.0.to_be_bytes());
            out.extend(attempt.0.to_be_bytes());
            out.extend(code.number().to_be_bytes());
        }
    }
}

fn put_token(out: &mut Vec<u8>, token: FencingToken) {
    out.extend(token.epoch.0.to_be_bytes());
    out.extend(token.incarnation.0.to_be_bytes());
}

fn put_prefix(out: &mut Vec<u8>, tag: u8, key: RequestKey, claim: ClaimId) {
    out.push(tag);
    out.extend(key.id.as_bytes());
    out.extend(key.service.to_be_bytes());
    out.extend(claim.0.to_be_bytes());
}

struct Reader<'a> {
    value: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    fn record(&mut self) -> Result<Record, DecodeError> {
        let tag = self.u8()?;
        let key = RequestKey { id: Uuid::from_u128(self.u128()?), service: self.u64()? };
        let claim = ClaimId(self.u128()?);
        Ok(match tag {
            CLAIMED | CLAIMED_STARTED => Record::Claimed {
                key,
                claim,
                digest: BodyDigest(self.u128()?),
                attempt: CallerAttempt(self.u32()?),
                deadline_unix_ms: self.u64()?,
                start: if tag == CLAIMED { Start::Later } else { Start::Now },
            },
            STARTED => Record::Started { key, claim },
            DONE_KEPT => {
                let len = usize::from(self.u16()?);
                if len > MAX_RESULT_BYTES {
                    return Err(self.error());
                }
                Record::Done { key, claim, result: RunResult::Kept(self.take(len)?.to_vec()) }
            }
            DONE_OMITTED => {
                let result = RunResult::Omitted(BodyDigest(self.u128()?));
                Record::Done { key, claim, result }
            }
            ABORTED => Record::Aborted {
                key,
                claim,
                digest: BodyDigest(self.u128()?),
                attempt: CallerAttempt(self.u32()?),
                code: not_run_code(ResultCode::from_number(self.u16()?)),
            },
            _ => return Err(self.error()),
        })
    }

    fn error(&self) -> DecodeError {
        DecodeError { offset: self.offset }
    }

    fn take(&mut self, len: usize) -> Result<&'a [u8], DecodeError> {
        let rest = &self.value[self.offset..];
        if rest.len() < len {
            return Err(self.error());
        }
        self.offset += len;
        Ok(&rest[..len])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let bytes = self.take(N)?;
        bytes.try_into().map_err(|_| self.error())
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn u128(&mut self) -> Result<u128, DecodeError> {
        Ok(u128::from_be_bytes(self.array()?))
    }

    fn token(&mut self) -> Result<FencingToken, DecodeError> {
        Ok(FencingToken { epoch: Epoch(self.u64()?), incarnation: Incarnation(self.u64()?) })
    }

    fn expect(&mut self, format: u8) -> Result<(), DecodeError> {
        if self.u8()? == format { Ok(()) } else { Err(DecodeError { offset: 0 }) }
    }

    fn end(&self) -> Result<(), DecodeError> {
        if self.offset == self.value.len() { Ok(()) } else { Err(self.error()) }
    }
}
