//! The entry side of a claim.

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
    /// Nothing is sent when less time than this is left.
    pub send_margin: Duration,
    /// Pause before a call is repeated.
    pub retry_delay: Duration,
    /// A call without an answer for this long is repeated.
    pub call_timeout: Duration,
    /// How long after the deadline the outcome of a run is still awaited, and how long
    /// records of outcomes are retried.
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
    /// The request id.
    pub key: RequestKey,
    /// Digest of the request body.
    pub digest: BodyDigest,
    /// The caller's count of sendings of this id.
    pub attempt: CallerAttempt,
    /// A random number, drawn for this submission only.
    pub claim: ClaimId,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The same time on the wall clock.
    pub deadline_unix_ms: u64,
    /// Whether to send as soon as the claim is granted.
    pub start: Start,
}

/// Input of a [`Claimant`].
#[derive(Debug, Clone)]
pub enum ClaimantEvent {
    /// The partition owner answered a call.
    Reply {
        /// Number of the call.
        call: u32,
        /// The answer.
        reply: ClaimReply,
    },
    /// No answer to a call will come: the owner is unknown or the connection broke.
    CallFailed {
        /// Number of the call.
        call: u32,
    },
    /// After [`ClaimantAction::Prepare`]: everything is ready for sending.
    Prepared,
    /// After [`ClaimantAction::Prepare`] or before: do not send. Without effect once
    /// [`ClaimantAction::Send`] was returned.
    Cancel {
        /// A code that states that the request was not run.
        code: ResultCode,
    },
    /// The outcome of the `Gather` call.
    Ran(RunOutcome),
    /// The time of [`Claimant::next_timer`] is reached.
    Timer,
}

/// The outcome of the one `Gather` call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// At least one searcher ran it, and the state at each searcher is known.
    Done(Vec<u8>),
    /// Every searcher that was asked has stated that it did not run it, and none is left.
    NotExecuted(ResultCode),
    /// Anything else.
    Unknown,
}

/// Output of a [`Claimant`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimantAction {
    /// Call the current owner of the partition and report the outcome under this number.
    Call {
        /// Number of the call.
        call: u32,
        /// The partition whose owner to call.
        partition: PartitionId,
        /// The call.
        request: ClaimRequest,
    },
    /// The claim is granted; get ready for sending and report `Prepared` or `Cancel`.
    Prepare,
    /// Send the request to the searchers. Returned at most once.
    Send,
    /// Answer the caller. Returned exactly once.
    Answer(Answer),
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request ran once, with this result.
    Done(Vec<u8>),
    /// The request ran once; its result was too large to be kept.
    DoneOmitted(BodyDigest),
    /// No attempt up to this one ran or will.
    NotRun(ResultCode),
    /// An attempt may have run or may be running.
    Unknown(ResultCode),
}

impl Answer {
    /// The numbered code.
    pub fn code(&self) -> ResultCode {
        match self {
            Answer::Done(_) | Answer::DoneOmitted(_) => ResultCode::Done,
            Answer::NotRun(code) | Answer::Unknown(code) => *code,
        }
    }
}

/// The answer to a request that an entry refuses with `code` before it made a claim, for
/// example because of its rate. Only a first attempt is known not to have run: an earlier
/// one may have run through another entry.
pub fn local_refusal(attempt: CallerAttempt, code: ResultCode) -> Answer {
    match (attempt, code.ran()) {
        (CallerAttempt::FIRST, Ran::No) => Answer::NotRun(code),
        // Every daemon refuses such an id, so no attempt ran.
        (_, Ran::No) if code == ResultCode::BadRequestId => Answer::NotRun(code),
        _ => Answer::Unknown(ResultCode::OutcomeUnknown),
    }
}

/// The state machine of one submission. It answers exactly once; afterwards it may still
/// have to record an outcome, so keep it until [`Claimant::is_finished`].
#[derive(Debug)]
pub struct Claimant {
    submission: Submission,
    settings: ClaimantSettings,
    phase: Phase,
    grant: Grant,
    answer: AnswerState,
    call: u32,
    call_state: CallState,
    /// Why the claim is not granted yet; the code if it is not granted in time.
    obstacle: ResultCode,
    out: Vec<ClaimantAction>,
}

#[derive(Debug)]
enum Phase {
    /// `Claimed` is asked for.
    Claiming,
    /// Another submission of the request is running. Its result may come before the deadline.
    Awaiting,
    /// `Claimed` is durable; the daemon prepares.
    Preparing,
    /// `Started` is asked for.
    Starting,
    /// The request was sent.
    Sent,
    /// An outcome is being recorded.
    Recording {
        step: Step,
        until: Instant,
    },
    Finished,
}

/// Whether a record of this claim is known to have been durable. Then the id cannot belong to
/// an earlier attempt any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Grant {
    None,
    Known,
}

#[derive(Debug)]
enum AnswerState {
    /// Not yet decided; given as it stands when the deadline is reached.
    Open(Answer),
    Given,
}

#[derive(Debug, Clone, Copy)]
enum CallState {
    None,
    Open { until: Instant },
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
            call: 0,
            call_state: CallState::Due(now.instant),
            obstacle: ResultCode::DeadlinePassed,
            out: Vec::new(),
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
                self.obstacle = ResultCode::StoreUnavailable;
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
                    self.give_up(not_run_code(Some(code)), now);
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
        self.pump(now);
        std::mem::take(&mut self.out)
    }

    /// When to send the next [`ClaimantEvent::Timer`], if no other event comes before.
    pub fn next_timer(&self) -> Option<Instant> {
        let call = match self.call_state {
            CallState::None => None,
            CallState::Open { until } => Some(until),
            CallState::Due(at) => Some(at),
        };
        let phase = match self.phase {
            Phase::Claiming | Phase::Awaiting | Phase::Preparing | Phase::Starting => {
                Some(self.send_until())
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
        call == self.call && matches!(self.call_state, CallState::Open { .. })
    }

    fn send_until(&self) -> Instant {
        let deadline = self.submission.deadline;
        deadline.checked_sub(self.settings.send_margin).unwrap_or(deadline)
    }

    fn on_reply(&mut self, reply: ClaimReply, now: Now) {
        self.call_state = CallState::None;
        match (&self.phase, reply) {
            // The record may be durable: the same claim id is asked for again.
            (_, ClaimReply::NotOwner) => {
                self.obstacle = ResultCode::StoreUnavailable;
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
                self.grant = Grant::Known;
                self.phase = Phase::Preparing;
                self.out.push(ClaimantAction::Prepare);
            }
            (Phase::Claiming | Phase::Awaiting | Phase::Starting, ClaimReply::Started) => {
                self.grant = Grant::Known;
                self.on_started(now);
            }
            (Phase::Claiming | Phase::Awaiting | Phase::Starting, ClaimReply::Refused(refusal)) => {
                self.phase = Phase::Finished;
                self.answer(self.refused(refusal));
            }
            (Phase::Claiming | Phase::Starting, ClaimReply::Busy) => {
                self.give_up_unrecorded(ResultCode::Overloaded, now);
            }
            (Phase::Claiming | Phase::Starting, ClaimReply::Down) => {
                self.give_up_unrecorded(ResultCode::StoreUnavailable, now);
            }
            (Phase::Claiming | Phase::Starting, ClaimReply::Expired) => {
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            (Phase::Claiming | Phase::Starting, _) => {
                self.give_up(ResultCode::StoreUnavailable, now);
            }
            // The owner may be gone or overloaded for a moment; the answer is open until the
            // deadline.
            (Phase::Awaiting, _) => {
                self.call_state = CallState::Due(now.instant + self.settings.retry_delay);
            }
            (Phase::Preparing | Phase::Sent | Phase::Finished, _) => {}
        }
    }

    fn on_started(&mut self, now: Now) {
        if now.instant >= self.send_until() {
            return self.give_up(ResultCode::DeadlinePassed, now);
        }
        self.phase = Phase::Sent;
        if let AnswerState::Open(answer) = &mut self.answer {
            *answer = Answer::Unknown(ResultCode::OutcomeUnknown);
        }
        self.out.push(ClaimantAction::Send);
    }

    fn on_recording_reply(&mut self, reply: ClaimReply, now: Now) {
        match reply {
            ClaimReply::Recorded => {
                let phase = std::mem::replace(&mut self.phase, Phase::Finished);
                // A durable `Aborted` is the authority for "not run" also for a repeat.
                if let Phase::Recording { step: Step::Abort { code }, .. } = phase {
                    self.answer(Answer::NotRun(code));
                }
            }
            ClaimReply::Refused(refusal) => {
                self.phase = Phase::Finished;
                self.answer(self.refused(refusal));
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
                // True before the record is durable, because `Started` keeps every other
                // claim out. The record comes first so that an immediate repeat can run.
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

    /// Nothing was sent under this claim and nothing will be.
    fn give_up(&mut self, code: ResultCode, now: Now) {
        let known = self.grant == Grant::Known || self.submission.attempt == CallerAttempt::FIRST;
        if known {
            self.answer(Answer::NotRun(code));
        } else if let AnswerState::Open(answer) = &mut self.answer {
            *answer = Answer::Unknown(ResultCode::OutcomeUnknown);
        }
        self.record(Step::Abort { code }, now);
    }

    /// The call that was just answered recorded nothing. If it was the only one of a first
    /// attempt, there is nothing to abort; an outage does not end with one abort for each
    /// claim that it refused.
    fn give_up_unrecorded(&mut self, code: ResultCode, now: Now) {
        if self.call == 1 && self.submission.attempt == CallerAttempt::FIRST {
            self.phase = Phase::Finished;
            self.answer(Answer::NotRun(code));
        } else {
            self.give_up(code, now);
        }
    }

    fn record(&mut self, step: Step, now: Now) {
        self.phase = Phase::Recording { step, until: now.instant + self.settings.finish_timeout };
        self.call_state = CallState::Due(now.instant);
    }

    /// What the caller is told when the owner refuses a step.
    fn refused(&self, refusal: Refusal) -> Answer {
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
            self.out.push(ClaimantAction::Answer(answer));
        }
    }

    fn pump(&mut self, now: Now) {
        match self.phase {
            Phase::Claiming | Phase::Preparing | Phase::Starting => {
                if now.instant >= self.send_until() {
                    self.give_up(self.obstacle, now);
                }
            }
            Phase::Sent
                if now.instant >= self.submission.deadline + self.settings.finish_timeout =>
            {
                self.phase = Phase::Finished;
            }
            Phase::Recording { until, .. } if now.instant >= until => {
                log::warn!("claims: outcome of {} is not recorded", self.submission.key.id);
                self.phase = Phase::Finished;
            }
            // The last call may still be granted; nothing will be sent under it.
            Phase::Awaiting if now.instant >= self.send_until() => {
                self.record(Step::Abort { code: ResultCode::DeadlinePassed }, now);
            }
            Phase::Awaiting | Phase::Sent | Phase::Recording { .. } | Phase::Finished => {}
        }
        let due = now.instant >= self.submission.deadline || matches!(self.phase, Phase::Finished);
        if due && let AnswerState::Open(answer) = &self.answer {
            self.answer(answer.clone());
        }
        self.pump_call(now);
    }

    fn pump_call(&mut self, now: Now) {
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
            _ => self.send_until().saturating_duration_since(now.instant),
        };
        self.call += 1;
        self.call_state = CallState::Open { until: now.instant + self.settings.call_timeout };
        self.out.push(ClaimantAction::Call {
            call: self.call,
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
