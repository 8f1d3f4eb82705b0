//! The claimant: an entry's side of a claim.

use std::time::Duration;

use tokio::time::Instant;

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
use crate::request_id::Now;
use crate::request_id::PartitionId;
use crate::request_id::RequestKey;
use tt_model::Ran;
use tt_model::ResultCode;

/// Intervals of a [`Claimant`].
#[derive(Debug, Clone)]
pub struct ClaimantSettings {
    /// Nothing is sent to searchers when less time than this is left before the deadline.
    pub send_margin: Duration,
    /// Delay before a failed call is repeated.
    pub retry_delay: Duration,
    /// A call without a reply for this time is repeated.
    pub call_timeout: Duration,
    /// Maximum time after the deadline for which the outcome of a run is awaited, and maximum
    /// time for which the record of an outcome is retried.
    pub finish_timeout: Duration,
}

impl Default for ClaimantSettings {
    fn default() -> Self {
        ClaimantSettings {
            send_margin: Duration::from_millis(5),
            retry_delay: Duration::from_millis(50),
            call_timeout: Duration::from_secs(1),
            finish_timeout: Duration::from_secs(30),
        }
    }
}

/// A non-idempotent request that an entry has accepted.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The request to run.
    pub key: RequestKey,
    /// Digest of the request body.
    pub digest: BodyDigest,
    /// The caller's attempt, from the request.
    pub attempt: CallerAttempt,
    /// A random number, drawn for this submission only.
    pub claim: ClaimId,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The deadline on the wall clock.
    pub deadline_unix_ms: u64,
    /// Whether to send the request as soon as the claim is granted.
    pub start: Start,
}

/// Input of a [`Claimant`].
#[derive(Debug, Clone)]
pub enum ClaimantEvent {
    /// The partition owner replied to a call.
    Reply {
        /// Number of the call from [`ClaimantAction::Call`].
        call: u32,
        /// What the owner replied.
        reply: ClaimReply,
    },
    /// A call gets no reply, because the owner is unknown or the connection broke.
    CallFailed {
        /// Number of the call from [`ClaimantAction::Call`].
        call: u32,
    },
    /// Everything is ready for sending, as [`ClaimantAction::Prepare`] asked for.
    Prepared,
    /// The request must not be sent. Has no effect after [`ClaimantAction::Send`].
    Cancel {
        /// A code that states that the request was not run.
        code: ResultCode,
    },
    /// The run that [`ClaimantAction::Send`] started has ended.
    Ran(RunOutcome),
    /// The time of [`Claimant::next_timer`] is reached.
    Timer,
}

/// The outcome of sending a request to searchers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// At least one searcher ran the request, and it is known of each searcher whether it
    /// did. Holds the result.
    Done(Vec<u8>),
    /// Every searcher that was asked has stated that it did not run the request, and none is
    /// left to ask.
    NotExecuted(ResultCode),
    /// It is not known whether the request ran.
    Unknown,
}

/// Output of a [`Claimant`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimantAction {
    /// Call the current owner of the partition, and report its reply or the failure.
    Call {
        /// Number of the call, unique within this claimant.
        call: u32,
        /// The partition whose owner to call.
        partition: PartitionId,
        /// What to send to the owner.
        request: ClaimRequest,
    },
    /// The claim is granted. Prepare to send the request, and report
    /// [`ClaimantEvent::Prepared`] or [`ClaimantEvent::Cancel`].
    Prepare,
    /// Send the request to searchers, and report [`ClaimantEvent::Ran`]. Returned at most
    /// once.
    Send,
    /// Answer the caller. Returned exactly once.
    Answer(Answer),
}

/// The answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request ran once, with this result.
    Done(Vec<u8>),
    /// The request ran once; its result was too large to be kept.
    DoneOmitted(BodyDigest),
    /// No caller attempt up to this one ran or ever will.
    NotRun(ResultCode),
    /// A caller attempt may have run or may be running.
    Unknown(ResultCode),
}

impl Answer {
    /// The code that the caller is told.
    pub fn code(&self) -> ResultCode {
        match self {
            Answer::Done(_) | Answer::DoneOmitted(_) => ResultCode::Done,
            Answer::NotRun(code) | Answer::Unknown(code) => *code,
        }
    }
}

/// The answer to a request that an entry refuses with `code` before it makes a claim, for
/// example because of a rate limit. "Not run" is certain only for the caller's first attempt,
/// because an earlier attempt may have run through another entry.
pub fn local_refusal(attempt: CallerAttempt, code: ResultCode) -> Answer {
    match (attempt, code.ran()) {
        (CallerAttempt::FIRST, Ran::No) => Answer::NotRun(code),
        // Every daemon refuses a malformed id, so no attempt ran.
        (_, Ran::No) if code == ResultCode::BadRequestId => Answer::NotRun(code),
        _ => Answer::Unknown(ResultCode::OutcomeUnknown),
    }
}

/// The state machine of one submission. It answers exactly once. After the answer it may
/// still have to record an outcome, so keep it until [`Claimant::is_finished`].
#[derive(Debug)]
pub struct Claimant {
    submission: Submission,
    settings: ClaimantSettings,
    phase: Phase,
    grant: Grant,
    answer: AnswerState,
    /// Number of the last call; 0 before the first.
    last_call: u32,
    call_state: CallState,
    /// The code to answer if the claim is not granted in time.
    timeout_code: ResultCode,
    actions: Vec<ClaimantAction>,
}

#[derive(Debug)]
enum Phase {
    /// Asks the owner for the claim.
    Claiming,
    /// Another submission of the request is running. Asks the owner again, because the result
    /// may come before the deadline.
    Awaiting,
    /// `Claimed` is durable, and the daemon prepares the send.
    Preparing,
    /// Asks the owner to record `Started`.
    Starting,
    /// The request was sent.
    Sent,
    /// Asks the owner to record an outcome, at the latest until `until`.
    Recording {
        step: Step,
        until: Instant,
    },
    Finished,
}

/// Whether a record of this claim is known to have been durable. If so, no earlier attempt of
/// the caller can still hold the request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Grant {
    None,
    Confirmed,
}

#[derive(Debug)]
enum AnswerState {
    /// Not given yet. This answer is given if nothing changes it before the deadline.
    Open(Answer),
    Given,
}

#[derive(Debug, Clone, Copy)]
enum CallState {
    None,
    /// The last call has no reply yet; it is repeated at `until`.
    Open {
        until: Instant,
    },
    /// The next call is made at this time.
    Due(Instant),
}

impl Claimant {
    /// Starts a submission and returns the first actions.
    pub fn new(
        submission: Submission,
        settings: ClaimantSettings,
        now: Now,
    ) -> (Claimant, Vec<ClaimantAction>) {
        let answer = local_refusal(submission.attempt, ResultCode::DeadlinePassed);
        let mut claimant = Claimant {
            submission,
            settings,
            phase: Phase::Claiming,
            grant: Grant::None,
            answer: AnswerState::Open(answer),
            last_call: 0,
            call_state: CallState::Due(now.instant),
            timeout_code: ResultCode::DeadlinePassed,
            actions: Vec::new(),
        };
        let actions = claimant.handle(ClaimantEvent::Timer, now);
        (claimant, actions)
    }

    /// Takes one event and returns the actions that follow from it.
    pub fn handle(&mut self, event: ClaimantEvent, now: Now) -> Vec<ClaimantAction> {
        match event {
            ClaimantEvent::Reply { call, reply } if self.is_open(call) => {
                self.on_reply(reply, now);
            }
            ClaimantEvent::CallFailed { call } if self.is_open(call) => {
                self.timeout_code = ResultCode::StoreUnavailable;
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            ClaimantEvent::Reply { .. } | ClaimantEvent::CallFailed { .. } => {}
            ClaimantEvent::Prepared => {
                if matches!(self.phase, Phase::Preparing) {
                    self.phase = Phase::Starting;
                    self.call_state = CallState::Due(now.instant);
                }
            }
            ClaimantEvent::Cancel { code } => match self.phase {
                Phase::Claiming | Phase::Preparing | Phase::Starting => {
                    self.abort(not_run_code(Some(code)), now);
                }
                Phase::Awaiting => self.phase = Phase::Finished,
                Phase::Sent | Phase::Recording { .. } | Phase::Finished => {}
            },
            ClaimantEvent::Ran(outcome) => {
                if matches!(self.phase, Phase::Sent) {
                    self.on_ran(outcome, now);
                }
            }
            ClaimantEvent::Timer => {}
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// When to send a [`ClaimantEvent::Timer`], unless another event comes earlier.
    pub fn next_timer(&self) -> Option<Instant> {
        let call = match self.call_state {
            CallState::None => None,
            CallState::Open { until } => Some(until),
            CallState::Due(at) => Some(at),
        };
        let phase = match self.phase {
            Phase::Claiming | Phase::Awaiting | Phase::Preparing | Phase::Starting => {
                Some(self.send_deadline())
            }
            Phase::Sent => Some(self.submission.deadline + self.settings.finish_timeout),
            Phase::Recording { until, .. } => Some(until),
            Phase::Finished => None,
        };
        let answer = match self.answer {
            AnswerState::Open(_) => Some(self.submission.deadline),
            AnswerState::Given => None,
        };
        [call, phase, answer].into_iter().flatten().min()
    }

    /// Whether the submission is answered and nothing is left to record.
    pub fn is_finished(&self) -> bool {
        matches!((&self.phase, &self.answer), (Phase::Finished, AnswerState::Given))
    }

    fn is_open(&self, call: u32) -> bool {
        call == self.last_call && matches!(self.call_state, CallState::Open { .. })
    }

    /// The time from which on nothing is sent to searchers.
    fn send_deadline(&self) -> Instant {
        let deadline = self.submission.deadline;
        deadline.checked_sub(self.settings.send_margin).unwrap_or(deadline)
    }

    fn on_reply(&mut self, reply: ClaimReply, now: Now) {
        self.call_state = CallState::None;
        match (&self.phase, reply) {
            // The record may be durable, so the call is repeated with the same claim id.
            (_, ClaimReply::NotOwner) => {
                self.timeout_code = ResultCode::StoreUnavailable;
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            (Phase::Recording { .. }, reply) => self.on_recording_reply(reply, now),
            (Phase::Claiming | Phase::Awaiting, ClaimReply::Refused(Refusal::InProgress)) => {
                self.phase = Phase::Awaiting;
                if let AnswerState::Open(answer) = &mut self.answer {
                    *answer = Answer::Unknown(ResultCode::InProgress);
                }
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            (Phase::Claiming | Phase::Awaiting, ClaimReply::Claimed) => {
                self.grant = Grant::Confirmed;
                self.phase = Phase::Preparing;
                self.actions.push(ClaimantAction::Prepare);
            }
            (Phase::Claiming | Phase::Awaiting | Phase::Starting, ClaimReply::Started) => {
                self.grant = Grant::Confirmed;
                self.on_started(now);
            }
            (Phase::Claiming | Phase::Awaiting | Phase::Starting, ClaimReply::Refused(refusal)) => {
                self.phase = Phase::Finished;
                self.answer(self.answer_to(refusal));
            }
            (Phase::Claiming | Phase::Starting, ClaimReply::Busy) => {
                self.on_not_recorded(ResultCode::Overloaded, now);
            }
            (Phase::Claiming | Phase::Starting, ClaimReply::Down) => {
                self.on_not_recorded(ResultCode::StoreUnavailable, now);
            }
            (Phase::Claiming | Phase::Starting, ClaimReply::Expired) => {
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            (Phase::Claiming | Phase::Starting, _) => {
                self.abort(ResultCode::StoreUnavailable, now);
            }
            // The owner may be unavailable or overloaded for a short time only, so the call is
            // repeated until the deadline.
            (Phase::Awaiting, _) => {
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            (Phase::Preparing | Phase::Sent | Phase::Finished, _) => {}
        }
    }

    fn on_started(&mut self, now: Now) {
        if now.instant >= self.send_deadline() {
            return self.abort(ResultCode::DeadlinePassed, now);
        }
        self.phase = Phase::Sent;
        if let AnswerState::Open(answer) = &mut self.answer {
            *answer = Answer::Unknown(ResultCode::OutcomeUnknown);
        }
        self.actions.push(ClaimantAction::Send);
    }

    fn on_recording_reply(&mut self, reply: ClaimReply, now: Now) {
        match reply {
            ClaimReply::Recorded => {
                let phase = std::mem::replace(&mut self.phase, Phase::Finished);
                // With a durable `Aborted`, "not run" is certain even for a repeat.
                if let Phase::Recording { step: Step::Abort { code }, .. } = phase {
                    self.answer(Answer::NotRun(code));
                }
            }
            ClaimReply::Refused(refusal) => {
                self.phase = Phase::Finished;
                self.answer(self.answer_to(refusal));
            }
            ClaimReply::Unavailable
            | ClaimReply::Down
            | ClaimReply::Busy
            | ClaimReply::Expired
            | ClaimReply::Claimed
            | ClaimReply::Started
            | ClaimReply::NotOwner => {
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
        }
    }

    fn on_ran(&mut self, outcome: RunOutcome, now: Now) {
        match outcome {
            RunOutcome::Done(result) => {
                let step = Step::Finish { result: RunResult::of(&result) };
                self.answer(Answer::Done(result));
                self.record(step, now);
            }
            RunOutcome::NotExecuted(code) => {
                let code = not_run_code(Some(code));
                // "Not run" is true before the record is durable, because `Started` blocks
                // every other claim. The answer still waits for the record, so that the caller
                // can repeat the request at once.
                if let AnswerState::Open(answer) = &mut self.answer {
                    *answer = Answer::NotRun(code);
                }
                self.record(Step::Abort { code }, now);
            }
            RunOutcome::Unknown => {
                self.phase = Phase::Finished;
                self.answer(Answer::Unknown(ResultCode::OutcomeUnknown));
            }
        }
    }

    /// Ends a claim under which nothing was sent, and records that nothing will be.
    fn abort(&mut self, code: ResultCode, now: Now) {
        let certain =
            self.grant == Grant::Confirmed || self.submission.attempt == CallerAttempt::FIRST;
        if certain {
            self.answer(Answer::NotRun(code));
        } else if let AnswerState::Open(answer) = &mut self.answer {
            *answer = Answer::Unknown(ResultCode::OutcomeUnknown);
        }
        self.record(Step::Abort { code }, now);
    }

    /// Handles a reply that states that the call recorded nothing. If it was the only call of
    /// the caller's first attempt, there is nothing to abort. Without this case, an outage
    /// would end with one abort for each refused claim.
    fn on_not_recorded(&mut self, code: ResultCode, now: Now) {
        if self.last_call == 1 && self.submission.attempt == CallerAttempt::FIRST {
            self.phase = Phase::Finished;
            self.answer(Answer::NotRun(code));
        } else {
            self.abort(code, now);
        }
    }

    fn record(&mut self, step: Step, now: Now) {
        self.phase = Phase::Recording { step, until: now.instant + self.settings.finish_timeout };
        self.call_state = CallState::Due(now.instant);
    }

    /// The answer to the caller after the owner refused a step.
    fn answer_to(&self, refusal: Refusal) -> Answer {
        match refusal {
            Refusal::InProgress => Answer::Unknown(ResultCode::InProgress),
            Refusal::Unknown | Refusal::Absent => Answer::Unknown(ResultCode::OutcomeUnknown),
            Refusal::Done(RunResult::Kept(result)) => Answer::Done(result),
            Refusal::Done(RunResult::Omitted(digest)) => Answer::DoneOmitted(digest),
            Refusal::NotRun(code) => Answer::NotRun(code),
            Refusal::Reused => Answer::NotRun(ResultCode::RequestIdReused),
            Refusal::BelowWatermark => Answer::Unknown(ResultCode::RequestIdExpired),
            Refusal::Future => {
                local_refusal(self.submission.attempt, ResultCode::RequestIdFromFuture)
            }
        }
    }

    fn answer(&mut self, answer: Answer) {
        if let AnswerState::Open(_) = self.answer {
            self.answer = AnswerState::Given;
            self.actions.push(ClaimantAction::Answer(answer));
        }
    }

    /// Moves on from a phase whose time has passed, and makes the call that is due.
    fn advance(&mut self, now: Now) {
        match self.phase {
            Phase::Claiming | Phase::Preparing | Phase::Starting => {
                if now.instant >= self.send_deadline() {
                    self.abort(self.timeout_code, now);
                }
            }
            Phase::Sent
                if now.instant >= self.submission.deadline + self.settings.finish_timeout =>
            {
                self.phase = Phase::Finished;
            }
            Phase::Recording { until, .. } if now.instant >= until => {
                log::warn!(
                    "claims: could not record the outcome of request {} in time",
                    self.submission.key.id
                );
                self.phase = Phase::Finished;
            }
            // The last claim call may still be granted. Nothing is sent under that claim, so it
            // is aborted.
            Phase::Awaiting if now.instant >= self.send_deadline() => {
                self.record(Step::Abort { code: ResultCode::DeadlinePassed }, now);
            }
            Phase::Awaiting | Phase::Sent | Phase::Recording { .. } | Phase::Finished => {}
        }
        let due = now.instant >= self.submission.deadline || matches!(self.phase, Phase::Finished);
        if due && let AnswerState::Open(answer) = &self.answer {
            self.answer(answer.clone());
        }
        self.start_due_call(now);
    }

    fn start_due_call(&mut self, now: Now) {
        let due = match self.call_state {
            CallState::None => return,
            CallState::Open { until } | CallState::Due(until) => until,
        };
        let step = match &self.phase {
            Phase::Claiming | Phase::Awaiting => Step::Claim {
                start: self.submission.start,
                deadline_unix_ms: self.submission.deadline_unix_ms,
            },
            Phase::Starting => Step::Start,
            Phase::Recording { step, .. } => step.clone(),
            Phase::Preparing | Phase::Sent | Phase::Finished => {
                self.call_state = CallState::None;
                return;
            }
        };
        if now.instant < due {
            return;
        }
        let wait = match self.phase {
            Phase::Recording { .. } => self.settings.call_timeout,
            _ => self.send_deadline().saturating_duration_since(now.instant),
        };
        self.last_call += 1;
        self.call_state = CallState::Open { until: now.instant + self.settings.call_timeout };
        self.actions.push(ClaimantAction::Call {
            call: self.last_call,
            partition: self.submission.key.partition(),
            request: ClaimRequest {
                key: self.submission.key,
                claim: self.submission.claim,
                digest: self.submission.digest,
                attempt: self.submission.attempt,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
                step,
            },
        });
    }
}
