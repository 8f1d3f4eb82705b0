//! The partition owner with an in-memory store, driven step by step.

mod common;

use std::time::Duration;

use common::Harness;
use common::key;
use common::request;
use common::uuid_at;

use tt_claims::BodyDigest;
use tt_claims::ClaimReply;
use tt_claims::PartitionEvent;
use tt_claims::PartitionSettings;
use tt_claims::PartitionStatus;
use tt_claims::Refusal;
use tt_claims::RequestKey;
use tt_claims::RunResult;
use tt_claims::Start;
use tt_claims::Step;
use tt_model::ResultCode;
use tt_model::StoreCall;
use tt_model::StoreReply;

fn claim(start: Start) -> Step {
    Step::Claim { start, deadline_unix_ms: common::UNIX_MS + 1_000 }
}

// The owner must not confirm a record before it is durable.
#[test]
fn claim_start_and_finish_are_confirmed_when_durable() {
    let mut harness = Harness::owner();
    let id = key(0);
    assert_eq!(harness.call(request(id, 1, 1, claim(Start::Later))), ClaimReply::Claimed);
    assert_eq!(harness.call(request(id, 1, 1, Step::Start)), ClaimReply::Started);
    let other = harness.call(request(id, 2, 2, claim(Start::Now)));
    assert_eq!(other, ClaimReply::Refused(Refusal::InProgress));
    let result = RunResult::of(b"paid");
    let finish = Step::Finish { result: result.clone() };
    assert_eq!(harness.call(request(id, 1, 1, finish)), ClaimReply::Recorded);
    let repeat = harness.call(request(id, 3, 3, claim(Start::Now)));
    assert_eq!(repeat, ClaimReply::Refused(Refusal::Done(result)));
}

// A change of the owner must not lose claims: the next owner reads them from the log, and the
// earlier owner can record no more.
#[test]
fn a_later_owner_replays_the_log_and_the_earlier_one_retires() {
    let mut harness = Harness::owner();
    let id = key(0);
    assert_eq!(harness.call(request(id, 1, 1, claim(Start::Now))), ClaimReply::Started);
    let mut next = harness.next_owner();
    let repeat = next.call(request(id, 2, 2, claim(Start::Now)));
    assert_eq!(repeat, ClaimReply::Refused(Refusal::InProgress));
    harness.store = next.store.clone();
    assert_eq!(harness.call(request(key(1), 1, 1, claim(Start::Now))), ClaimReply::NotOwner);
    assert_eq!(harness.partition.status(), PartitionStatus::Retired);
}

// One write for each claim would exceed the write rate of the store.
#[test]
fn concurrent_claims_share_one_write() {
    let mut harness = Harness::owner();
    harness.advance(Duration::from_millis(20));
    let before = harness.store.writes;
    let first = harness.submit(request(key(0), 1, 1, claim(Start::Now)));
    let rest: Vec<u64> =
        (1..100).map(|i| harness.submit(request(key(i), 1, 1, claim(Start::Now)))).collect();
    harness.settle();
    for tag in [first].into_iter().chain(rest) {
        assert_eq!(harness.replies.remove(&tag), Some(ClaimReply::Started));
    }
    assert!(harness.store.writes - before <= 2, "{}", harness.store.writes - before);
}

// After the reply to a write is lost, the owner does not know whether the write took effect. It
// must not grant or drop the claim before it knows.
#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    for effect in [Effect::Applied, Effect::None] {
        let mut harness = Harness::owner();
        harness.advance(Duration::from_millis(20));
        let tag = harness.submit(request(key(0), 1, 1, claim(Start::Now)));
        match effect {
            Effect::Applied => harness.run_call_and_lose_reply(),
            Effect::None => harness.reply(StoreReply::Lost),
        }
        assert_eq!(harness.replies.get(&tag), None, "a reply before the write is resolved");
        assert!(matches!(harness.calls[0].1, StoreCall::Get { .. }), "{:?}", harness.calls);
        harness.settle();
        assert_eq!(harness.replies.get(&tag), Some(&ClaimReply::Started));
        let repeat = harness.next_owner().call(request(key(0), 2, 2, claim(Start::Now)));
        assert_eq!(repeat, ClaimReply::Refused(Refusal::InProgress));
    }
}

#[derive(Clone, Copy)]
enum Effect {
    Applied,
    None,
}

// A write whose reply was lost may still arrive at the store later. If its batch had been
// dropped, the claims in it would take effect unnoticed, so the owner writes the same bytes
// again.
#[test]
fn a_lost_write_that_arrives_late_is_recognised() {
    let mut harness = Harness::owner();
    harness.advance(Duration::from_millis(20));
    let tag = harness.submit(request(key(0), 1, 1, claim(Start::Now)));
    let late = harness.calls[0].1.clone();
    harness.reply(StoreReply::Lost);
    harness.run_call();
    harness.advance(Duration::from_millis(20));
    harness.store.run(&late);
    let retry = harness.calls[0].1.clone();
    assert_eq!(retry, late);
    harness.settle();
    assert_eq!(harness.replies.get(&tag), Some(&ClaimReply::Started));
    assert_eq!(harness.partition.status(), PartitionStatus::Owner);
}

// While the store is down, claims are refused at once, so that they can be answered "not run".
// Results must not be lost, so their calls wait.
#[test]
fn an_outage_refuses_claims_and_keeps_outcomes() {
    let mut harness = Harness::owner();
    assert_eq!(harness.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    harness.advance(Duration::from_millis(20));
    let result = RunResult::of(b"paid");
    let finish = harness.submit(request(key(0), 1, 1, Step::Finish { result: result.clone() }));
    harness.reply(StoreReply::Unavailable);
    let refused = harness.submit(request(key(1), 1, 1, claim(Start::Now)));
    assert_eq!(harness.replies.get(&refused), Some(&ClaimReply::Down));
    assert_eq!(harness.replies.get(&finish), None);
    harness.settle();
    assert_eq!(harness.replies.get(&finish), Some(&ClaimReply::Recorded));
    assert_eq!(harness.call(request(key(1), 2, 1, claim(Start::Now))), ClaimReply::Started);
}

// While the store is down, calls that record an outcome must not wait forever.
#[test]
fn an_outcome_that_cannot_be_recorded_expires() {
    let mut harness = Harness::owner();
    assert_eq!(harness.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    let finish = Step::Finish { result: RunResult::of(b"paid") };
    let tag = harness.submit(request(key(0), 1, 1, finish));
    for _ in 0..60 {
        harness.advance(Duration::from_millis(200));
        while !harness.calls.is_empty() {
            harness.reply(StoreReply::Unavailable);
        }
    }
    assert_eq!(harness.replies.get(&tag), Some(&ClaimReply::Expired));
    assert_eq!(harness.partition.pending_calls(), 0);
}

// Concurrent writes or writes without an interval would exceed the write rate of the store.
#[test]
fn writes_are_spaced_and_never_concurrent() {
    let mut harness = Harness::owner();
    let mut starts = Vec::new();
    for i in 0..200 {
        harness.submit(request(key(i), 1, 1, claim(Start::Now)));
        harness.advance(Duration::from_millis(1));
        assert!(harness.calls.len() <= 1, "{:?}", harness.calls);
        if !harness.calls.is_empty() {
            starts.push(harness.now.instant);
            harness.run_call();
        }
    }
    assert!(starts.len() >= 8, "{}", starts.len());
    for pair in starts.windows(2) {
        assert!(pair[1] - pair[0] >= Duration::from_millis(20));
    }
}

// While the store is slow, the queue must not grow without bound, and it must keep room for
// outcomes of requests that already ran.
#[test]
fn a_full_queue_refuses_claims_before_outcomes() {
    let mut harness = Harness::owner();
    assert_eq!(harness.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    (1..4_000).for_each(|i| {
        harness.submit(request(key(i), 1, 1, claim(Start::Now)));
    });
    assert!(harness.replies.values().any(|reply| *reply == ClaimReply::Busy));
    let finish = Step::Finish { result: RunResult::of(b"paid") };
    let tag = harness.submit(request(key(0), 1, 1, finish));
    assert_eq!(harness.replies.get(&tag), None);
    harness.settle();
    assert_eq!(harness.replies.get(&tag), Some(&ClaimReply::Recorded));
}

// A claim must not wait for a slow store beyond the caller's deadline.
#[test]
fn a_claim_gets_a_reply_when_its_wait_ends() {
    let mut harness = Harness::owner();
    harness.advance(Duration::from_millis(20));
    let written = harness.submit(request(key(0), 1, 1, claim(Start::Now)));
    let queued = harness.submit(request(key(1), 1, 1, claim(Start::Now)));
    harness.advance(Duration::from_secs(10));
    for tag in [written, queued] {
        assert_eq!(harness.replies.get(&tag), Some(&ClaimReply::Expired));
    }
    harness.settle();
    // The record of the first claim became durable; its claimant can still abort it.
    let abort = Step::Abort { code: ResultCode::DeadlinePassed };
    assert_eq!(harness.call(request(key(0), 1, 1, abort)), ClaimReply::Recorded);
    assert_eq!(harness.call(request(key(0), 2, 2, claim(Start::Now))), ClaimReply::Started);
}

// An owner of an earlier epoch that was delayed must not take over the log of a later one.
#[test]
fn an_earlier_owner_cannot_take_a_log_back() {
    let harness = Harness::owner();
    let next = harness.next_owner();
    let back = Harness::start(next.store.clone(), PartitionSettings::default(), 1, harness.now);
    assert_eq!(back.partition.status(), PartitionStatus::Retired);
}

// At shutdown, claimants whose records are being written must still get their replies.
#[test]
fn a_release_finishes_the_write_in_flight() {
    let mut harness = Harness::owner();
    harness.advance(Duration::from_millis(20));
    let written = harness.submit(request(key(0), 1, 1, claim(Start::Now)));
    let queued = harness.submit(request(key(1), 1, 1, claim(Start::Now)));
    harness.event(PartitionEvent::Release);
    harness.run_call();
    assert_eq!(harness.replies.get(&written), Some(&ClaimReply::Started));
    assert_eq!(harness.replies.get(&queued), Some(&ClaimReply::NotOwner));
    assert_eq!(harness.partition.status(), PartitionStatus::Retired);
}

/// Records `count` claims with results, 100 at a time.
fn fill(harness: &mut Harness, from: u64, count: u64) {
    for first in (from..from + count).step_by(100) {
        let time = harness.now.unix_ms;
        for step in [claim(Start::Now), Step::Finish { result: RunResult::of(&[7; 100]) }] {
            let tags: Vec<u64> = (first..(first + 100).min(from + count))
                .map(|i| {
                    let id = RequestKey::new("cashier-office", uuid_at(time, i)).unwrap();
                    harness.submit(request(id, 1, 1, step.clone()))
                })
                .collect();
            harness.settle();
            for tag in tags {
                let reply = harness.replies.remove(&tag);
                assert!(matches!(reply, Some(ClaimReply::Started | ClaimReply::Recorded)));
            }
        }
    }
}

// A request id whose records are pruned must not be claimed again. The watermark makes this
// owner refuse it, and the next one too, even if the next owner's clock is behind. Pruned
// segments must be removed from the store.
#[test]
fn pruning_raises_a_watermark_that_outlives_the_owner() {
    let mut harness = Harness::owner();
    fill(&mut harness, 0, 1_000);
    let segments = harness.store.values.len();
    harness.advance(Duration::from_secs(16 * 60));
    fill(&mut harness, 1_000, 1_000);
    harness.advance(Duration::from_secs(11));
    for _ in 0..20 {
        while !harness.calls.is_empty() {
            harness.run_call();
        }
        harness.advance(Duration::from_millis(20));
    }
    assert!(harness.store.values.len() <= segments + 1, "{segments}");
    assert_eq!(harness.partition.request_id_count(), 1_000);
    let mut next = harness.next_owner();
    next.now.unix_ms = common::UNIX_MS;
    for harness in [&mut harness, &mut next] {
        let old = harness.call(request(key(0), 2, 2, claim(Start::Now)));
        assert_eq!(old, ClaimReply::Refused(Refusal::BelowWatermark));
    }
}

// An earlier owner's creation of a segment may be delayed until a later owner has used and pruned
// a segment of the same sequence. The creation then succeeds, so it must not grant any claim
// before the head names the segment.
#[test]
fn a_delayed_creation_of_a_pruned_segment_grants_nothing() {
    let mut stale = Harness::owner();
    let mut number = 0;
    let late = loop {
        number += 1;
        stale.submit(request(key(number), 1, 1, claim(Start::Now)));
        stale.advance(Duration::from_millis(20));
        if matches!(&stale.calls[0].1, StoreCall::Put { key, .. } if key == "claims/0/2") {
            break stale.calls.len();
        }
        stale.run_call();
    };
    assert_eq!(late, 1);
    let mut next = stale.next_owner();
    fill(&mut next, 10_000, 2_000);
    next.advance(Duration::from_secs(16 * 60));
    for _ in 0..40 {
        while !next.calls.is_empty() {
            next.run_call();
        }
        next.advance(Duration::from_millis(20));
    }
    assert!(!next.store.values.contains_key("claims/0/2"));
    stale.store = next.store.clone();
    stale.run_call();
    assert!(stale.store.values.contains_key("claims/0/2"), "the creation succeeds");
    while !stale.calls.is_empty() || stale.partition.next_timer().is_some() {
        if stale.calls.is_empty() {
            let at = stale.partition.next_timer().unwrap_or(stale.now.instant);
            stale.advance(at - stale.now.instant);
        } else {
            stale.run_call();
        }
    }
    assert_eq!(stale.partition.status(), PartitionStatus::Retired);
    assert_eq!(stale.replies.get(&number), Some(&ClaimReply::NotOwner));
}

// After a caller's attempt was answered "not run", a delayed earlier attempt must not run.
#[test]
fn an_abort_refuses_attempts_up_to_its_own_and_allows_later_ones() {
    let mut harness = Harness::owner();
    let abort = Step::Abort { code: ResultCode::NoReplica };
    assert_eq!(harness.call(request(key(0), 2, 2, claim(Start::Now))), ClaimReply::Started);
    assert_eq!(harness.call(request(key(0), 2, 2, abort.clone())), ClaimReply::Recorded);
    let not_run = ClaimReply::Refused(Refusal::NotRun(ResultCode::NoReplica));
    for attempt in [0, 1, 2] {
        let reply = harness.call(request(key(0), 9, attempt, claim(Start::Now)));
        assert_eq!(reply, not_run, "attempt {attempt}");
    }
    assert_eq!(harness.call(request(key(0), 3, 3, claim(Start::Now))), ClaimReply::Started);
    // If an abort arrives before its claim, the claim is refused.
    assert_eq!(harness.call(request(key(1), 1, 1, abort)), ClaimReply::Recorded);
    assert_eq!(harness.call(request(key(1), 1, 1, claim(Start::Now))), not_run);
}

// A claimant may be paused between claim and start. If another claimant's call replaces its
// claim, or aborts it after the deadline, its start must fail. Otherwise "not run" would be
// false.
#[test]
fn a_claim_that_was_replaced_cannot_start() {
    let mut harness = Harness::owner();
    assert_eq!(harness.call(request(key(0), 1, 1, claim(Start::Later))), ClaimReply::Claimed);
    assert_eq!(harness.call(request(key(0), 2, 2, claim(Start::Now))), ClaimReply::Started);
    let start = harness.call(request(key(0), 1, 1, Step::Start));
    assert_eq!(start, ClaimReply::Refused(Refusal::InProgress));

    assert_eq!(harness.call(request(key(1), 1, 1, claim(Start::Later))), ClaimReply::Claimed);
    harness.advance(Duration::from_secs(2));
    let not_run = ClaimReply::Refused(Refusal::NotRun(ResultCode::DeadlinePassed));
    assert_eq!(harness.call(request(key(1), 2, 1, claim(Start::Now))), not_run);
    assert_eq!(harness.call(request(key(1), 1, 1, Step::Start)), not_run);
}

// A request id with a time too far ahead would stay in the log longer than the retention window.
// A request id that was used with another body would get the result of another request.
#[test]
fn ids_from_the_future_and_reused_ids_are_refused() {
    let mut harness = Harness::owner();
    for (ahead_ms, granted) in [(60_000, true), (61_000, false)] {
        let id = RequestKey::new("x", uuid_at(harness.now.unix_ms + ahead_ms, 1)).unwrap();
        let reply = harness.call(request(id, 1, 1, claim(Start::Now)));
        let refused = ClaimReply::Refused(Refusal::Future);
        assert_eq!(reply, if granted { ClaimReply::Started } else { refused });
    }
    assert_eq!(harness.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    let mut other = request(key(0), 2, 2, claim(Start::Now));
    other.digest = BodyDigest::of(b"another body");
    assert_eq!(harness.call(other), ClaimReply::Refused(Refusal::Reused));
}

// An owner may stop after it filled and sealed a new segment but before the head names it. The
// next owner must continue after that segment.
#[test]
fn take_over_continues_after_a_sealed_segment_that_the_head_does_not_name() {
    let mut harness = Harness::owner();
    let mut number = 0;
    while !harness.calls.iter().any(|(_, call)| creates_second_segment(call)) {
        (0..1_000).for_each(|_| {
            number += 1;
            harness.submit(request(key(number), 1, 1, claim(Start::Now)));
        });
        harness.advance(Duration::from_millis(20));
        if !harness.calls.iter().any(|(_, call)| creates_second_segment(call)) {
            harness.run_call();
        }
    }
    harness.run_call();
    let mut next = harness.next_owner();
    assert_eq!(next.call(request(key(9_999), 1, 1, claim(Start::Now))), ClaimReply::Started);
}

fn creates_second_segment(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Put { key, .. } if key == "claims/0/2")
}

// An owner may stop after it pruned segments in the head but before it removed them from the
// store. The next owner must remove them.
#[test]
fn segments_left_by_an_earlier_owner_are_removed() {
    let mut harness = Harness::owner();
    fill(&mut harness, 0, 1_000);
    harness.advance(Duration::from_secs(16 * 60));
    while !harness.calls.is_empty() {
        harness.run_call();
    }
    assert!(harness.store.values.contains_key("claims/0/1"));
    let mut next = harness.next_owner();
    for _ in 0..20 {
        next.advance(Duration::from_millis(20));
        while !next.calls.is_empty() {
            next.run_call();
        }
    }
    assert_eq!(next.store.values.len(), 2, "{:?}", next.store.values.keys());
}

// Request ids and results in memory must not grow without bound.
#[test]
fn retained_ids_and_results_are_bounded() {
    let settings = PartitionSettings {
        max_ids: 50,
        result_cache_bytes: 1_000,
        ..PartitionSettings::default()
    };
    let now = Harness::owner().now;
    let mut harness = Harness::start(Default::default(), settings, 1, now);
    let filled_ms = harness.now.unix_ms;
    fill(&mut harness, 0, 50);
    let kept = |harness: &mut Harness, i| {
        let id = RequestKey::new("cashier-office", uuid_at(filled_ms, i)).unwrap();
        match harness.call(request(id, 9, 9, Step::LookUp)) {
            ClaimReply::Refused(Refusal::Done(RunResult::Kept(_))) => "kept",
            ClaimReply::Refused(Refusal::Done(RunResult::Omitted(_))) => "omitted",
            _ => "other",
        }
    };
    let mut next = harness.next_owner();
    for harness in [&mut harness, &mut next] {
        assert_eq!((0..50).filter(|i| kept(harness, *i) == "kept").count(), 10);
        assert_eq!((0..50).filter(|i| kept(harness, *i) == "omitted").count(), 40);
        assert_eq!(harness.call(request(key(99), 1, 1, claim(Start::Now))), ClaimReply::Busy);
        harness.advance(Duration::from_secs(16 * 60));
        let id = RequestKey::new("x", uuid_at(harness.now.unix_ms, 1)).unwrap();
        assert_eq!(harness.call(request(id, 1, 1, claim(Start::Now))), ClaimReply::Started);
    }
}
