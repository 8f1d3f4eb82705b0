//! What a claimant does and tells the caller, step by step.

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

/// A claimant, its clock, and what it has done.
struct Bench {
    claimant: Claimant,
    now: Now,
    actions: Vec<ClaimantAction>,
    call: u32,
}

impl Bench {
    fn new(attempt: u32, start: Start) -> Bench {
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
        let mut bench = Bench { claimant, now, actions: Vec::new(), call: 0 };
        bench.note(actions);
        bench
    }

    fn note(&mut self, actions: Vec<ClaimantAction>) {
        for action in actions {
            if let ClaimantAction::Call { call, .. } = &action {
                self.call = *call;
            }
            self.actions.push(action);
        }
    }

    fn event(&mut self, event: ClaimantEvent) -> &mut Bench {
        let actions = self.claimant.handle(event, self.now);
        self.note(actions);
        self
    }

    fn reply(&mut self, reply: ClaimReply) -> &mut Bench {
        let call = self.call;
        self.event(ClaimantEvent::Reply { call, reply })
    }

    fn fail(&mut self) -> &mut Bench {
        let call = self.call;
        self.event(ClaimantEvent::CallFailed { call })
    }

    /// Moves the clock without telling the claimant, as a pause of the process does.
    fn pause(&mut self, ms: u64) -> &mut Bench {
        self.now.instant += Duration::from_millis(ms);
        self.now.unix_ms += ms;
        self
    }

    fn advance(&mut self, ms: u64) -> &mut Bench {
        self.pause(ms).event(ClaimantEvent::Timer)
    }

    /// The actions since the last look, in short.
    fn seen(&mut self) -> String {
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

fn check(bench: &mut Bench, expect: &str) {
    assert_eq!(bench.seen(), expect);
}

// Guards the order of steps: nothing is sent before `Started` is durable.
#[test]
fn sends_after_started_and_finishes() {
    let mut bench = Bench::new(1, Start::Now);
    check(&mut bench, "claim");
    check(bench.reply(ClaimReply::Started), "send");
    check(bench.event(ClaimantEvent::Ran(RunOutcome::Done(vec![7; 3]))), "done 3, finish");
    check(bench.reply(ClaimReply::Recorded), "");
    assert!(bench.claimant.is_finished());

    let mut bench = Bench::new(1, Start::Later);
    check(bench.reply(ClaimReply::Claimed), "claim, prepare");
    check(bench.event(ClaimantEvent::Prepared), "start");
    check(bench.reply(ClaimReply::Started), "send");
    let large = vec![7; MAX_RESULT_BYTES + 1];
    check(bench.event(ClaimantEvent::Ran(RunOutcome::Done(large))), "done 4097, finish omitted");
}

// Guards against a second send when replies are repeated or late.
#[test]
fn sends_at_most_once() {
    let mut bench = Bench::new(1, Start::Now);
    bench.reply(ClaimReply::Started);
    check(bench.reply(ClaimReply::Started), "claim, send");
    check(bench.event(ClaimantEvent::Prepared), "");
    check(bench.event(ClaimantEvent::Cancel { code: ResultCode::Draining }), "");
    check(bench.event(ClaimantEvent::Ran(RunOutcome::Unknown)), "unknown 300");
    check(bench.reply(ClaimReply::Started), "");
}

// Guards "not run" of a process that was paused while its claim was granted.
#[test]
fn a_grant_after_the_deadline_is_given_up() {
    let mut bench = Bench::new(1, Start::Now);
    bench.seen();
    check(bench.pause(996).reply(ClaimReply::Started), "not run 203, abort 203");
    let late = ClaimantEvent::Reply { call: 1, reply: ClaimReply::Started };
    check(bench.event(late), "");
    assert!(!bench.claimant.is_finished());
    check(bench.fail().advance(49), "");
    check(bench.advance(1).reply(ClaimReply::Recorded), "abort 203");
    assert!(bench.claimant.is_finished());
}

// Guards a hole: a repeat that cannot reach the log must not be told "not run", because an
// earlier attempt may have run.
#[test]
fn a_refusal_without_the_log_is_not_run_only_for_a_first_attempt() {
    for (attempt, expect) in [(1, "not run 206"), (2, "unknown 300"), (0, "unknown 300")] {
        let mut bench = Bench::new(attempt, Start::Now);
        bench.seen();
        for _ in 0..40 {
            bench.fail().advance(50);
        }
        let seen = bench.seen();
        let answers: Vec<&str> =
            seen.split(", ").filter(|word| word.contains("run") || word.contains("unk")).collect();
        assert_eq!(answers, [expect], "attempt {attempt}");

        let mut bench = Bench::new(attempt, Start::Now);
        bench.reply(ClaimReply::Unavailable).advance(1_000);
        assert!(bench.seen().contains(expect), "attempt {attempt}");
    }
    let refused = |attempt| local_refusal(CallerAttempt(attempt), ResultCode::RateLimited);
    assert_eq!(refused(1), Answer::NotRun(ResultCode::RateLimited));
    assert_eq!(refused(2), Answer::Unknown(ResultCode::OutcomeUnknown));
    let malformed = local_refusal(CallerAttempt(2), ResultCode::BadRequestId);
    assert_eq!(malformed, Answer::NotRun(ResultCode::BadRequestId));
}

// Guards the answer of a repeat whose claim is uncertain: a durable abort is the authority.
#[test]
fn a_repeat_is_not_run_once_its_abort_is_durable() {
    let mut bench = Bench::new(2, Start::Now);
    check(bench.reply(ClaimReply::Unavailable), "claim, abort 206");
    check(bench.reply(ClaimReply::Unavailable), "");
    check(bench.advance(50).reply(ClaimReply::Recorded), "abort 206, not run 206");

    let mut bench = Bench::new(2, Start::Now);
    bench.reply(ClaimReply::Unavailable);
    let done = Refusal::Done(RunResult::Kept(vec![7; 3]));
    check(bench.reply(ClaimReply::Refused(done)), "claim, abort 206, done 3");
}

// Guards against a claim that is lost when the partition changes its owner meanwhile.
#[test]
fn the_next_owner_is_asked_with_the_same_claim_id() {
    let mut bench = Bench::new(1, Start::Now);
    bench.reply(ClaimReply::NotOwner).advance(50);
    bench.fail().advance(50);
    bench.advance(1_000 - 200);
    let calls: Vec<ClaimId> = bench
        .actions
        .iter()
        .filter_map(|action| match action {
            ClaimantAction::Call { request, .. } => Some(request.claim),
            _ => None,
        })
        .collect();
    assert_eq!(calls, [ClaimId(1); 3]);
    check(bench.reply(ClaimReply::Started), "claim, claim, claim, send");
}

// Guards the outcomes of the send: only "not executed" everywhere is "not run", and that is
// recorded first, so that a repeat can run at once.
#[test]
fn the_outcome_of_the_run_decides_the_answer() {
    let mut bench = Bench::new(2, Start::Now);
    bench.reply(ClaimReply::Started).seen();
    let outcome = RunOutcome::NotExecuted(ResultCode::NoReplica);
    check(bench.event(ClaimantEvent::Ran(outcome.clone())), "abort 208");
    check(bench.reply(ClaimReply::Recorded), "not run 208");

    // With the store down, the answer still comes in time.
    let mut bench = Bench::new(2, Start::Now);
    bench.reply(ClaimReply::Started).event(ClaimantEvent::Ran(outcome.clone()));
    bench.reply(ClaimReply::Unavailable).seen();
    check(bench.advance(1_000), "not run 208, abort 208");

    // No outcome in time; a late one is still recorded.
    let mut bench = Bench::new(1, Start::Now);
    bench.reply(ClaimReply::Started).seen();
    check(bench.advance(1_000), "unknown 300");
    check(bench.event(ClaimantEvent::Ran(RunOutcome::Done(vec![7; 3]))), "finish");
}

// Guards the mapping of what the log states to what the caller may conclude.
#[test]
fn refusals_are_answered_truthfully() {
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
        let mut bench = Bench::new(attempt, Start::Now);
        bench.seen();
        check(bench.reply(ClaimReply::Refused(refusal)), expect);
        assert!(bench.claimant.is_finished());
    }
}

// Guards a caller that repeats its request at once against "in progress" although the result
// comes in time, and against a second run when the first one is still going on.
#[test]
fn a_repeat_waits_for_the_first_run() {
    let in_progress = || ClaimReply::Refused(Refusal::InProgress);
    let done = || ClaimReply::Refused(Refusal::Done(RunResult::Kept(vec![7; 3])));
    let mut bench = Bench::new(2, Start::Now);
    bench.seen();
    check(bench.reply(in_progress()), "");
    check(bench.advance(50), "claim");
    check(bench.reply(in_progress()), "");
    check(bench.advance(50), "claim");
    check(bench.reply(done()), "done 3");
    assert!(bench.claimant.is_finished());

    let mut bench = Bench::new(2, Start::Now);
    bench.seen();
    for _ in 0..10_000 {
        bench.reply(in_progress()).advance(50);
    }
    let seen = bench.seen();
    let answers: Vec<&str> =
        seen.split(", ").filter(|word| !matches!(*word, "claim" | "abort 203")).collect();
    assert_eq!(answers, ["unknown 302"]);
    assert!(bench.claimant.is_finished());
}

// Guards records of outcomes against retries without bound.
#[test]
fn an_outcome_is_retried_for_a_limited_time() {
    let mut bench = Bench::new(1, Start::Now);
    bench.reply(ClaimReply::Started);
    bench.event(ClaimantEvent::Ran(RunOutcome::Done(vec![7; 3])));
    for _ in 0..1_000 {
        bench.fail().advance(50);
    }
    assert!(bench.claimant.is_finished());
    assert_eq!(bench.claimant.next_timer(), None);
}
