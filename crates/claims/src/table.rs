//! The state of each request id of a partition, and the rules that change it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::log::Record;
use crate::message::ClaimReply;
use crate::message::ClaimRequest;
use crate::message::Refusal;
use crate::message::RunResult;
use crate::message::Start;
use crate::message::Step;
use crate::message::not_run_code;
use crate::request_id::BodyDigest;
use crate::request_id::CallerAttempt;
use crate::request_id::ClaimId;
use crate::request_id::MAX_AHEAD_MS;
use crate::request_id::RequestKey;
use tt_model::ResultCode;

/// The state of one request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Row {
    /// The claim that holds the id, or that was aborted.
    pub(crate) claim: ClaimId,
    pub(crate) digest: BodyDigest,
    pub(crate) attempt: CallerAttempt,
    /// After this time the run is no longer expected to be in progress; 0 once aborted.
    pub(crate) deadline_unix_ms: u64,
    pub(crate) state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    Claimed,
    Started,
    Done(RunResult),
    Aborted(ResultCode),
}

/// How a partition owner handles a claimant's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Reply without a write.
    Reply(ClaimReply),
    /// Reply once the record is durable.
    Write(Record, ClaimReply),
}

/// The records that a decision takes into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Only records known to be durable.
    Durable,
    /// Also records of the batch that is being written.
    WithBatch,
}

#[derive(Debug)]
pub(crate) struct Table {
    rows: BTreeMap<RequestKey, Row>,
    batch: HashMap<RequestKey, Row>,
    watermark_ms: u64,
    /// Ids whose full results are in memory, oldest first.
    results: VecDeque<RequestKey>,
    result_bytes: usize,
    max_result_bytes: usize,
}

impl Table {
    /// Creates a table that keeps at most `max_result_bytes` of results in memory.
    pub(crate) fn new(max_result_bytes: usize) -> Table {
        Table {
            rows: BTreeMap::new(),
            batch: HashMap::new(),
            watermark_ms: 0,
            results: VecDeque::new(),
            result_bytes: 0,
            max_result_bytes,
        }
    }

    pub(crate) fn contains(&self, key: RequestKey) -> bool {
        self.rows.contains_key(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn watermark_ms(&self) -> u64 {
        self.watermark_ms
    }

    /// Raises the watermark and drops the ids below it.
    pub(crate) fn raise_watermark(&mut self, watermark_ms: u64) {
        self.watermark_ms = self.watermark_ms.max(watermark_ms);
        while let Some(first) = self.rows.first_entry() {
            if first.key().time_ms() >= self.watermark_ms {
                break;
            }
            self.result_bytes -= first.remove().result_bytes();
        }
        while self.results.front().is_some_and(|key| key.time_ms() < self.watermark_ms) {
            self.results.pop_front();
        }
    }

    fn insert(&mut self, key: RequestKey, row: Row) {
        let bytes = row.result_bytes();
        if bytes > 0 {
            self.results.push_back(key);
        }
        self.result_bytes += bytes;
        if let Some(old) = self.rows.insert(key, row) {
            self.result_bytes -= old.result_bytes();
        }
        while self.result_bytes > self.max_result_bytes {
            let Some(oldest) = self.results.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.get_mut(&oldest) {
                self.result_bytes -= row.omit_result();
            }
        }
    }

    /// Applies a record read from the log.
    pub(crate) fn replay(&mut self, record: Record) {
        let key = record.key();
        if key.time_ms() < self.watermark_ms {
            return;
        }
        if let Some(row) = apply(self.rows.get(&key), record) {
            self.insert(key, row);
        }
    }

    /// Adds a record to the batch that is being written.
    pub(crate) fn stage(&mut self, record: Record) {
        let key = record.key();
        let current = self.batch.get(&key).or_else(|| self.rows.get(&key));
        if let Some(row) = apply(current, record) {
            self.batch.insert(key, row);
        }
    }

    /// Whether the batch that is being written has a record of `key`.
    pub(crate) fn is_staged(&self, key: RequestKey) -> bool {
        self.batch.contains_key(&key)
    }

    /// Applies the batch, which is durable.
    pub(crate) fn commit(&mut self) {
        for (key, row) in std::mem::take(&mut self.batch) {
            self.insert(key, row);
        }
    }

    /// Drops the batch, which was not written.
    pub(crate) fn discard(&mut self) {
        self.batch.clear();
    }

    /// Decides how to handle a call at the time `unix_ms`.
    pub(crate) fn decide(&self, request: &ClaimRequest, unix_ms: u64, scope: Scope) -> Decision {
        let key = request.key;
        if key.time_ms() < self.watermark_ms {
            return refuse(Refusal::BelowWatermark);
        }
        let staged = match scope {
            Scope::Durable => None,
            Scope::WithBatch => self.batch.get(&key),
        };
        match staged.or_else(|| self.rows.get(&key)) {
            None => decide_absent(request, unix_ms),
            Some(row) if row.digest != request.digest => refuse(Refusal::Reused),
            Some(row) if row.claim == request.claim => decide_own(request, row, unix_ms),
            Some(row) => decide_other(request, row, unix_ms),
        }
    }
}

impl Row {
    fn result_bytes(&self) -> usize {
        match &self.state {
            State::Done(RunResult::Kept(bytes)) => bytes.len(),
            State::Done(RunResult::Omitted(_))
            | State::Claimed
            | State::Started
            | State::Aborted(_) => 0,
        }
    }

    /// Replaces the result by its digest and returns the number of bytes freed.
    fn omit_result(&mut self) -> usize {
        let State::Done(RunResult::Kept(bytes)) = &self.state else {
            return 0;
        };
        let len = bytes.len();
        self.state = State::Done(RunResult::Omitted(BodyDigest::of(bytes)));
        len
    }
}

fn refuse(refusal: Refusal) -> Decision {
    Decision::Reply(ClaimReply::Refused(refusal))
}

fn decide_absent(request: &ClaimRequest, unix_ms: u64) -> Decision {
    if request.key.time_ms() > unix_ms.saturating_add(MAX_AHEAD_MS) {
        return refuse(Refusal::Future);
    }
    match request.step {
        Step::Claim { start, deadline_unix_ms } => write_claimed(request, start, deadline_unix_ms),
        // The record makes a claim call that arrives later fail, so "not run" is certain.
        Step::Abort { code } => write_aborted(request, code),
        Step::Start | Step::Finish { .. } | Step::LookUp => refuse(Refusal::Absent),
    }
}

/// Decides on a call under the recorded claim id.
fn decide_own(request: &ClaimRequest, row: &Row, unix_ms: u64) -> Decision {
    let start = match request.step {
        Step::Claim { start, .. } => start,
        Step::Start => Start::Now,
        Step::Finish { ref result } => {
            return match &row.state {
                State::Started => {
                    let record = Record::Done {
                        key: request.key,
                        claim: request.claim,
                        result: bound_result(result),
                    };
                    Decision::Write(record, ClaimReply::Recorded)
                }
                State::Done(_) => Decision::Reply(ClaimReply::Recorded),
                State::Claimed | State::Aborted(_) => refuse(refusal_for(request, row, unix_ms)),
            };
        }
        Step::Abort { code } => {
            return match &row.state {
                State::Claimed | State::Started => write_aborted(request, code),
                State::Aborted(_) => Decision::Reply(ClaimReply::Recorded),
                State::Done(_) => refuse(refusal_for(request, row, unix_ms)),
            };
        }
        Step::LookUp => return refuse(refusal_for(request, row, unix_ms)),
    };
    match (&row.state, start) {
        (State::Claimed, Start::Later) => Decision::Reply(ClaimReply::Claimed),
        (State::Claimed, Start::Now) => {
            let record = Record::Started { key: request.key, claim: request.claim };
            Decision::Write(record, ClaimReply::Started)
        }
        (State::Started, _) => Decision::Reply(ClaimReply::Started),
        (State::Done(_) | State::Aborted(_), _) => refuse(refusal_for(request, row, unix_ms)),
    }
}

/// Decides on a call for an id that is recorded under another claim id.
fn decide_other(request: &ClaimRequest, row: &Row, unix_ms: u64) -> Decision {
    let later = request.attempt > row.attempt;
    match (&request.step, &row.state) {
        // A claim in state `Claimed` has sent nothing, and once it is replaced its
        // `Step::Start` is refused.
        (Step::Claim { start, deadline_unix_ms }, State::Claimed | State::Aborted(_)) if later => {
            write_claimed(request, *start, *deadline_unix_ms)
        }
        (Step::Claim { .. }, State::Claimed) if unix_ms > row.deadline_unix_ms => {
            let code = ResultCode::DeadlinePassed;
            let record = Record::Aborted {
                key: request.key,
                claim: row.claim,
                digest: row.digest,
                attempt: row.attempt,
                code,
            };
            Decision::Write(record, ClaimReply::Refused(Refusal::NotRun(code)))
        }
        (Step::Abort { code }, State::Claimed | State::Aborted(_)) if later => {
            write_aborted(request, *code)
        }
        (Step::Abort { .. }, State::Aborted(_)) => Decision::Reply(ClaimReply::Recorded),
        _ => refuse(refusal_for(request, row, unix_ms)),
    }
}

/// The refusal that tells the caller about the recorded state.
fn refusal_for(request: &ClaimRequest, row: &Row, unix_ms: u64) -> Refusal {
    match &row.state {
        State::Done(result) => Refusal::Done(result.clone()),
        State::Aborted(code) if request.attempt <= row.attempt => Refusal::NotRun(*code),
        State::Aborted(_) => Refusal::Absent,
        State::Claimed | State::Started if unix_ms <= row.deadline_unix_ms => Refusal::InProgress,
        State::Claimed | State::Started => Refusal::Unknown,
    }
}

fn write_claimed(request: &ClaimRequest, start: Start, deadline_unix_ms: u64) -> Decision {
    let record = Record::Claimed {
        key: request.key,
        claim: request.claim,
        digest: request.digest,
        attempt: request.attempt,
        deadline_unix_ms,
        start,
    };
    let reply = match start {
        Start::Now => ClaimReply::Started,
        Start::Later => ClaimReply::Claimed,
    };
    Decision::Write(record, reply)
}

fn write_aborted(request: &ClaimRequest, code: ResultCode) -> Decision {
    let record = Record::Aborted {
        key: request.key,
        claim: request.claim,
        digest: request.digest,
        attempt: request.attempt,
        code: not_run_code(Some(code)),
    };
    Decision::Write(record, ClaimReply::Recorded)
}

fn bound_result(result: &RunResult) -> RunResult {
    match result {
        RunResult::Kept(bytes) => RunResult::of(bytes),
        RunResult::Omitted(digest) => RunResult::Omitted(*digest),
    }
}

/// Returns the row after `record`, or `None` if the record changes nothing.
fn apply(current: Option<&Row>, record: Record) -> Option<Row> {
    match record {
        Record::Claimed { claim, digest, attempt, deadline_unix_ms, start, .. } => {
            let state = match start {
                Start::Now => State::Started,
                Start::Later => State::Claimed,
            };
            Some(Row { claim, digest, attempt, deadline_unix_ms, state })
        }
        Record::Started { claim, .. } => {
            let row = current.filter(|row| row.claim == claim)?;
            Some(Row { state: State::Started, ..row.clone() })
        }
        Record::Done { claim, result, .. } => {
            let row = current.filter(|row| row.claim == claim)?;
            Some(Row { state: State::Done(result), ..row.clone() })
        }
        Record::Aborted { claim, digest, attempt, code, .. } => {
            let state = State::Aborted(code);
            Some(Row { claim, digest, attempt, deadline_unix_ms: 0, state })
        }
    }
}
