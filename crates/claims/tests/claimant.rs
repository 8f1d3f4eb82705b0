//! The actions and answers of a claimant, step by step.

mod common;

use std::time::Duration;

use common::UNIX_MS;
use common::key;
use tokio::time::Instant;

use tt_claims::Answer;
use tt_claims::BodyDigest;
use tt_claims::CallerAttempt;
use tt_claims::ClaimId;
use tt_claims::ClaimReply;
use tt_claims::Claimant;
use tt_claims::ClaimantAction;
use tt_claims::ClaimantEvent;
use tt_claims::ClaimantSettings;
use tt_claims::MAX_RESULT_BYTES;
use tt_claims::Now;
use tt_claims::Refusal;
use tt_claims::RunOutcome;
use tt_claims::RunResult;
use tt_claims::Start;
use tt_claims::Step;
use tt_claims::Submission;
use tt_claims::local_refusal;
use tt_model::ResultCode;

/// A claimant with its clock and the actions that it returned.
struct Harness {
    claimant: Claimant,
    now: Now,
    actions: Vec<ClaimantAction>,
    /// Number of the last call.
    call: u32,
}

impl Harness {
    fn new(attempt: u32, start: Start) -> Harness {
        let now = Now { instant: Instant::now(), unix_ms: UNIX_MS };
        let submission = Submission {
            key: key(0),
            digest: BodyDigest::of(b"body"),
            attempt: CallerAttempt(attempt),
            claim: ClaimId(1),
            deadline: now.instant + Duration::from_secs(1),
            deadline_unix_ms: UNIX_MS + 1_000,
            start,
        };
        let (claimant, actions) = Claimant::new(submission, ClaimantSettings::default(), now);
        let mut harness = Harness { claimant, now, actions: Vec::new(), call: 0 };
        harness.record(actions);
        harness
    }

    fn record(&mut self, actions: Vec<ClaimantAction>) {
        for action in actions {
            if let ClaimantAction::Call { call, .. } = &action {
                self.call = *call;
            }
            self.actions.push(action);
        }
    }

    fn event(&mut self, event: ClaimantEvent) -> &mut Harness {
        let actions = self.claimant.handle(event, self.now);
        self.record(actions);
        self
    }

    fn reply(&mut self, reply: ClaimReply) -> &mut Harness {
        let call = self.call;
        self.event(ClaimantEvent::Reply { call, reply })
    }

    fn fail(&mut self) -> &mut Harness {
        let call = self.call;
        self.event(ClaimantEvent::CallFailed { call })
    }

    /// Advances the clock without an event, like a pause of the process.
    fn pause(&mut self, ms: u64) -> &mut Harness {
        self.now.instant += Duration::from_millis(ms);
        self.now.unix_ms += ms;
        self
    }

    fn advance(&mut self, ms: u64) -> &mut Harness {
        self.pause(ms).event(ClaimantEvent::Timer)
    }

    /// Removes the actions recorded so far and returns them in short form.
    fn drain_actions(&mut self) -> String {
        let words = self.actions.drain(..).map(|action| match action {
            ClaimantAction::Call { request, .. } => match request.step {
                Step::Claim { .. } => "claim".to_owned(),
                Step::Start => "start".to_owned(),
                Step::Finish { result: RunResult::Kept(_) } => "finish".to_owned(),
                Step::Finish { result: RunResult::Omitted(_) } => "finish omitted".to_owned(),
                Step::Abort { code } => format!("abort {}", code.number()),
                Step::LookUp => "look up".to_owned(),
            },
            ClaimantAction::Prepare => "prepare".to_owned(),
            ClaimantAction::Send => "send".to_owned(),
            ClaimantAction::Answer(answer) => match answer {
                Answer::Done(result) => format!("done {}", result.len()),
                Answer::DoneOmitted(_) => "done omitted".to_owned(),
                Answer::NotRun(code) => format!("not run {}", code.number()),
                Answer::Unknown(code) => format!("unknown {}", code.number()),
            },
        });
        words.collect::<Vec<_>>().join(", ")
    }
}

fn check(harness: &mut Harness, expect: &str) {
    assert_eq!(harness.drain_actions(), expect);
}

// A request that is sent before `Started` is durable could run a second time under another
// claim.
#[test]
fn sends_only_after_started_is_durable() {
    let mut harness = Harness::new(1, Start::Now);
    check(&mut harness, "claim");
    check(harness.reply(ClaimReply::Started), "send");
    check(harness.event(ClaimantEvent::Ran(RunOutcome::Done(vec![7; 3]))), "done 3, finish");
    check(harness.reply(ClaimReply::Recorded), "");
    assert!(harness.claimant.is_finished());

    let mut harness = Harness::new(1, Start::Later);
    check(harness.reply(ClaimReply::Claimed), "claim, prepare");
    check(harness.event(ClaimantEvent::Prepared), "start");
    check(harness.reply(ClaimReply::Started), "send");
    let large = vec![7; MAX_RESULT_BYTES + 1];
    check(harness.event(ClaimantEvent::Ran(RunOutcome::Done(large))), "done 4097, finish omitted");
}

// A repeated or late reply must not cause a second send.
#[test]
fn sends_at_most_once() {
    let mut harness = Harness::new(1, Start::Now);
    harness.reply(ClaimReply::Started);
    check(harness.reply(ClaimReply::Started), "claim, send");
    check(harness.event(ClaimantEvent::Prepared), "");
    check(harness.event(ClaimantEvent::Cancel { code: ResultCode::Draining }), "");
    check(harness.event(ClaimantEvent::Ran(RunOutcome::Unknown)), "unknown 300");
    check(harness.reply(ClaimReply::Started), "");
}

// A process may be paused while its claim is granted. If it then sent the request after the
// deadline, the answer "not run" would be false.
#[test]
fn a_claim_granted_after_the_deadline_is_aborted() {
    let mut harness = Harness::new(1, Start::Now);
    harness.drain_actions();
    check(harness.pause(996).reply(ClaimReply::Started), "not run 203, abort 203");
    let late = ClaimantEvent::Reply { call: 1, reply: ClaimReply::Started };
    check(harness.event(late), "");
    assert!(!harness.claimant.is_finished());
    check(harness.fail().advance(49), "");
    check(harness.advance(1).reply(ClaimReply::Recorded), "abort 203");
    assert!(harness.claimant.is_finished());
}

// Without an answer from the log, a repeat must not be answered "not run", because an earlier
// caller attempt may have run.
#[test]
fn without_the_log_only_a_first_attempt_is_answered_not_run() {
    for (attempt, expect) in [(1, "not run 206"), (2, "unknown 300"), (0, "unknown 300")] {
        let mut harness = Harness::new(attempt, Start::Now);
        harness.drain_actions();
        for _ in 0..40 {
            harness.fail().advance(50);
        }
        let actions = harness.drain_actions();
        let answers: Vec<&str> = actions
            .split(", ")
            .filter(|word| word.contains("run") || word.contains("unk"))
            .collect();
        assert_eq!(answers, [expect], "attempt {attempt}");

        let mut harness = Harness::new(attempt, Start::Now);
        harness.reply(ClaimReply::Unavailable).advance(1_000);
        assert!(harness.drain_actions().contains(expect), "attempt {attempt}");
    }
    let refused = |attempt| local_refusal(CallerAttempt(attempt), ResultCode::RateLimited);
    assert_eq!(refused(1), Answer::NotRun(ResultCode::RateLimited));
    assert_eq!(refused(2), Answer::Unknown(ResultCode::OutcomeUnknown));
    let malformed = local_refusal(CallerAttempt(2), ResultCode::BadRequestId);
    assert_eq!(malformed, Answer::NotRun(ResultCode::BadRequestId));
}

// The store may not confirm the claim of a repeat. The claimant must then wait for a durable
// abort before it answers "not run", because an earlier caller attempt may have run.
#[test]
fn a_repeat_is_answered_not_run_once_its_abort_is_durable() {
    let mut harness = Harness::new(2, Start::Now);
    check(harness.reply(ClaimReply::Unavailable), "claim, abort 206");
    check(harness.reply(ClaimReply::Unavailable), "");
    check(harness.advance(50).reply(ClaimReply::Recorded), "abort 206, not run 206");

    let mut harness = Harness::new(2, Start::Now);
    harness.reply(ClaimReply::Unavailable);
    let done = Refusal::Done(RunResult::Kept(vec![7; 3]));
    check(harness.reply(ClaimReply::Refused(done)), "claim, abort 206, done 3");
}

// A claim must not be lost when the owner of the partition changes before it replies. Only the
// same claim id lets the next owner recognise the claim.
#[test]
fn the_next_owner_is_asked_with_the_same_claim_id() {
    let mut harness = Harness::new(1, Start::Now);
    harness.reply(ClaimReply::NotOwner).advance(50);
    harness.fail().advance(50);
    harness.advance(1_000 - 200);
    let calls: Vec<ClaimId> = harness
        .actions
        .iter()
        .filter_map(|action| match action {
            ClaimantAction::Call { request, .. } => Some(request.claim),
            _ => None,
        })
        .collect();
    assert_eq!(calls, [ClaimId(1); 3]);
    check(harness.reply(ClaimReply::Started), "claim, claim, claim, send");
}

// The answer is "not run" only if no searcher executed the request. The abort is recorded before
// the answer, so that a repeat can run at once.
#[test]
fn the_outcome_of_the_run_decides_the_answer() {
    let mut harness = Harness::new(2, Start::Now);
    harness.reply(ClaimReply::Started).drain_actions();
    let outcome = RunOutcome::NotExecuted(ResultCode::NoReplica);
    check(harness.event(ClaimantEvent::Ran(outcome.clone())), "abort 208");
    check(harness.reply(ClaimReply::Recorded), "not run 208");

    // If the store does not answer, the answer is given at the deadline.
    let mut harness = Harness::new(2, Start::Now);
    harness.reply(ClaimReply::Started).event(ClaimantEvent::Ran(outcome.clone()));
    harness.reply(ClaimReply::Unavailable).drain_actions();
    check(harness.advance(1_000), "not run 208, abort 208");

    // An outcome that comes after the deadline is still recorded.
    let mut harness = Harness::new(1, Start::Now);
    harness.reply(ClaimReply::Started).drain_actions();
    check(harness.advance(1_000), "unknown 300");
    check(harness.event(ClaimantEvent::Ran(RunOutcome::Done(vec![7; 3]))), "finish");
}

// The answer to the caller must not state more than the owner's refusal does.
#[test]
fn each_refusal_has_a_truthful_answer() {
    for (refusal, attempt, expect) in [
        (Refusal::Unknown, 2, "unknown 300"),
        (Refusal::Absent, 2, "unknown 300"),
        (Refusal::Done(RunResult::Kept(vec![7; 3])), 2, "done 3"),
        (Refusal::Done(RunResult::Omitted(BodyDigest(7))), 2, "done omitted"),
        (Refusal::NotRun(ResultCode::NoReplica), 2, "not run 208"),
        (Refusal::Reused, 2, "not run 409"),
        (Refusal::BelowWatermark, 1, "unknown 301"),
        (Refusal::Future, 1, "not run 209"),
        // Another daemon with a faster clock may have accepted and run an earlier attempt.
        (Refusal::Future, 2, "unknown 300"),
    ] {
        let mut harness = Harness::new(attempt, Start::Now);
        harness.drain_actions();
        check(harness.reply(ClaimReply::Refused(refusal)), expect);
        assert!(harness.claimant.is_finished());
    }
}

// A caller may repeat its request while the first run is in progress. It must get the result if
// that comes before the deadline, instead of "in progress" at once, and must not cause a second
// run.
#[test]
fn a_repeat_waits_for_the_first_run() {
    let in_progress = || ClaimReply::Refused(Refusal::InProgress);
    let done = || ClaimReply::Refused(Refusal::Done(RunResult::Kept(vec![7; 3])));
    let mut harness = Harness::new(2, Start::Now);
    harness.drain_actions();
    check(harness.reply(in_progress()), "");
    check(harness.advance(50), "claim");
    check(harness.reply(in_progress()), "");
    check(harness.advance(50), "claim");
    check(harness.reply(done()), "done 3");
    assert!(harness.claimant.is_finished());

    let mut harness = Harness::new(2, Start::Now);
    harness.drain_actions();
    for _ in 0..10_000 {
        harness.reply(in_progress()).advance(50);
    }
    let actions = harness.drain_actions();
    let answers: Vec<&str> =
        actions.split(", ").filter(|word| !matches!(*word, "claim" | "abort 203")).collect();
    assert_eq!(answers, ["unknown 302"]);
    assert!(harness.claimant.is_finished());
}

// A claimant that can't record its outcome must not retry forever.
#[test]
fn an_outcome_is_retried_for_a_limited_time() {
    let mut harness = Harness::new(1, Start::Now);
    harness.reply(ClaimReply::Started);
    harness.event(ClaimantEvent::Ran(RunOutcome::Done(vec![7; 3])));
    for _ in 0..1_000 {
        harness.fail().advance(50);
    }
    assert!(harness.claimant.is_finished());
    assert_eq!(harness.claimant.next_timer(), None);
}
