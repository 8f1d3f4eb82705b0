//! The state of the request ids of one partition, and the rules for changing it.

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
pub(crate) struct Entry {
    pub(crate) claim: ClaimId,
    pub(crate) digest: BodyDigest,
    pub(crate) attempt: CallerAttempt,
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

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Answer without a write.
    Reply(ClaimReply),
    /// Write the record, then answer.
    Write(Record, ClaimReply),
}

/// Which records a verdict takes into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum View {
    /// Those known to be durable.
    Durable,
    /// Also those of the batch that is being written.
    WithBatch,
}

#[derive(Debug)]
pub(crate) struct Table {
    entries: BTreeMap<RequestKey, Entry>,
    batch: HashMap<RequestKey, Entry>,
    watermark_ms: u64,
    /// Ids whose results are held, oldest first.
    results: VecDeque<RequestKey>,
    result_bytes: usize,
    result_limit: usize,
}

impl Table {
    /// A table that holds at most `result_limit` bytes of results.
    pub(crate) fn new(result_limit: usize) -> Table {
        Table {
            entries: BTreeMap::new(),
            batch: HashMap::new(),
            watermark_ms: 0,
            results: VecDeque::new(),
            result_bytes: 0,
            result_limit,
        }
    }

    pub(crate) fn contains(&self, key: RequestKey) -> bool {
        self.entries.contains_key(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn watermark_ms(&self) -> u64 {
        self.watermark_ms
    }

    /// Raises the watermark and forgets the ids below it.
    pub(crate) fn raise_watermark(&mut self, watermark_ms: u64) {
        self.watermark_ms = self.watermark_ms.max(watermark_ms);
        while let Some(first) = self.entries.first_entry() {
            if first.key().time_ms() >= self.watermark_ms {
                break;
            }
            self.result_bytes -= first.remove().result_bytes();
        }
        while self.results.front().is_some_and(|key| key.time_ms() < self.watermark_ms) {
            self.results.pop_front();
        }
    }

    fn insert(&mut self, key: RequestKey, entry: Entry) {
        let bytes = entry.result_bytes();
        if bytes > 0 {
            self.results.push_back(key);
        }
        self.result_bytes += bytes;
        if let Some(old) = self.entries.insert(key, entry) {
            self.result_bytes -= old.result_bytes();
        }
        while self.result_bytes > self.result_limit {
            let Some(oldest) = self.results.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                self.result_bytes -= entry.omit_result();
            }
        }
    }

    /// Adds a record read from the log.
    pub(crate) fn replay(&mut self, record: Record) {
        let key = record.key();
        if key.time_ms() < self.watermark_ms {
            return;
        }
        if let Some(entry) = apply(self.entries.get(&key), record) {
            self.insert(key, entry);
        }
    }

    /// Adds a record to the batch that is being written.
    pub(crate) fn stage(&mut self, record: Record) {
        let key = record.key();
        let known = self.batch.get(&key).or_else(|| self.entries.get(&key));
        if let Some(entry) = apply(known, record) {
            self.batch.insert(key, entry);
        }
    }

    /// Whether the batch that is being written changes `key`.
    pub(crate) fn is_staged(&self, key: RequestKey) -> bool {
        self.batch.contains_key(&key)
    }

    /// The batch is durable.
    pub(crate) fn commit(&mut self) {
        for (key, entry) in std::mem::take(&mut self.batch) {
            self.insert(key, entry);
        }
    }

    /// The batch certainly was not written.
    pub(crate) fn discard(&mut self) {
        self.batch.clear();
    }

    /// Judges a request.
    pub(crate) fn judge(&self, request: &ClaimRequest, unix_ms: u64, view: View) -> Verdict {
        let key = request.key;
        if key.time_ms() < self.watermark_ms {
            return refuse(Refusal::BelowWatermark);
        }
        let staged = match view {
            View::Durable => None,
            View::WithBatch => self.batch.get(&key),
        };
        match staged.or_else(|| self.entries.get(&key)) {
            None => judge_absent(request, unix_ms),
            Some(entry) if entry.digest != request.digest => refuse(Refusal::Reused),
            Some(entry) if entry.claim == request.claim => judge_own(request, entry, unix_ms),
            Some(entry) => judge_other(request, entry, unix_ms),
        }
    }
}

impl Entry {
    fn result_bytes(&self) -> usize {
        match &self.state {
            State::Done(RunResult::Kept(bytes)) => bytes.len(),
            State::Done(RunResult::Omitted(_))
            | State::Claimed
            | State::Started
            | State::Aborted(_) => 0,
        }
    }

    /// Replaces the result by its digest and returns its former size.
    fn omit_result(&mut self) -> usize {
        let State::Done(RunResult::Kept(bytes)) = &self.state else {
            return 0;
        };
        let len = bytes.len();
        self.state = State::Done(RunResult::Omitted(BodyDigest::of(bytes)));
        len
    }
}

fn refuse(refusal: Refusal) -> Verdict {
    Verdict::Reply(ClaimReply::Refused(refusal))
}

fn judge_absent(request: &ClaimRequest, unix_ms: u64) -> Verdict {
    if request.key.time_ms() > unix_ms.saturating_add(MAX_AHEAD_MS) {
        return refuse(Refusal::Future);
    }
    match request.step {
        Step::Claim { start, deadline_unix_ms } => claim(request, start, deadline_unix_ms),
        // Makes a claim that is still on its way fail, and states "not run" with authority.
        Step::Abort { code } => abort(request, code),
        Step::Start | Step::Finish { .. } | Step::LookUp => refuse(Refusal::Absent),
    }
}

/// Judges a request whose claim id is the recorded one.
fn judge_own(request: &ClaimRequest, entry: &Entry, unix_ms: u64) -> Verdict {
    let start = match request.step {
        Step::Claim { start, .. } => start,
        Step::Start => Start::Now,
        Step::Finish { ref result } => {
            return match &entry.state {
                State::Started => {
                    let record = Record::Done {
                        key: request.key,
                        claim: request.claim,
                        result: bounded(result),
                    };
                    Verdict::Write(record, ClaimReply::Recorded)
                }
                State::Done(_) => Verdict::Reply(ClaimReply::Recorded),
                State::Claimed | State::Aborted(_) => refuse(standing(request, entry, unix_ms)),
            };
        }
        Step::Abort { code } => {
            return match &entry.state {
                State::Claimed | State::Started => abort(request, code),
                State::Aborted(_) => Verdict::Reply(ClaimReply::Recorded),
                State::Done(_) => refuse(standing(request, entry, unix_ms)),
            };
        }
        Step::LookUp => return refuse(standing(request, entry, unix_ms)),
    };
    match (&entry.state, start) {
        (State::Claimed, Start::Later) => Verdict::Reply(ClaimReply::Claimed),
        (State::Claimed, Start::Now) => {
            let record = Record::Started { key: request.key, claim: request.claim };
            Verdict::Write(record, ClaimReply::Started)
        }
        (State::Started, _) => Verdict::Reply(ClaimReply::Started),
        (State::Done(_) | State::Aborted(_), _) => refuse(standing(request, entry, unix_ms)),
    }
}

/// Judges a request while the id is recorded under another claim id.
fn judge_other(request: &ClaimRequest, entry: &Entry, unix_ms: u64) -> Verdict {
    let later = request.attempt > entry.attempt;
    match (&request.step, &entry.state) {
        // Nothing was sent under a claim that is only `Claimed`, and replacing it makes its
        // `Started` fail.
        (Step::Claim { start, deadline_unix_ms }, State::Claimed | State::Aborted(_)) if later => {
            claim(request, *start, *deadline_unix_ms)
        }
        (Step::Claim { .. }, State::Claimed) if unix_ms > entry.deadline_unix_ms => {
            let code = ResultCode::DeadlinePassed;
            let record = Record::Aborted {
                key: request.key,
                claim: entry.claim,
                digest: entry.digest,
                attempt: entry.attempt,
                code,
            };
            Verdict::Write(record, ClaimReply::Refused(Refusal::NotRun(code)))
        }
        (Step::Abort { code }, State::Claimed | State::Aborted(_)) if later => {
            abort(request, *code)
        }
        (Step::Abort { .. }, State::Aborted(_)) => Verdict::Reply(ClaimReply::Recorded),
        _ => refuse(standing(request, entry, unix_ms)),
    }
}

/// What the recorded state means for the request.
fn standing(request: &ClaimRequest, entry: &Entry, unix_ms: u64) -> Refusal {
    match &entry.state {
        State::Done(result) => Refusal::Done(result.clone()),
        State::Aborted(code) if request.attempt <= entry.attempt => Refusal::NotRun(*code),
        State::Aborted(_) => Refusal::Absent,
        State::Claimed | State::Started if unix_ms <= entry.deadline_unix_ms => Refusal::InProgress,
        State::Claimed | State::Started => Refusal::Unknown,
    }
}

fn claim(request: &ClaimRequest, start: Start, deadline_unix_ms: u64) -> Verdict {
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
    Verdict::Write(record, reply)
}

fn abort(request: &ClaimRequest, code: ResultCode) -> Verdict {
    let record = Record::Aborted {
        key: request.key,
        claim: request.claim,
        digest: request.digest,
        attempt: request.attempt,
        code: not_run_code(Some(code)),
    };
    Verdict::Write(record, ClaimReply::Recorded)
}

fn bounded(result: &RunResult) -> RunResult {
    match result {
        RunResult::Kept(bytes) => RunResult::of(bytes),
        RunResult::Omitted(digest) => RunResult::Omitted(*digest),
    }
}

/// The state after `record`, or `None` if the record changes nothing.
fn apply(known: Option<&Entry>, record: Record) -> Option<Entry> {
    match record {
        Record::Claimed { claim, digest, attempt, deadline_unix_ms, start, .. } => {
            let state = match start {
                Start::Now => State::Started,
                Start::Later => State::Claimed,
            };
            Some(Entry { claim, digest, attempt, deadline_unix_ms, state })
        }
        Record::Started { claim, .. } => {
            let entry = known.filter(|entry| entry.claim == claim)?;
            Some(Entry { state: State::Started, ..entry.clone() })
        }
        Record::Done { claim, result, .. } => {
            let entry = known.filter(|entry| entry.claim == claim)?;
            Some(Entry { state: State::Done(result), ..entry.clone() })
        }
        Record::Aborted { claim, digest, attempt, code, .. } => {
            let state = State::Aborted(code);
            Some(Entry { claim, digest, attempt, deadline_unix_ms: 0, state })
        }
    }
}
