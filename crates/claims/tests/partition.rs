//! The partition owner against a store that is driven by hand.

mod common;

use std::time::Duration;

use common::Bench;
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

// Guards the basic path: each record is durable before it is confirmed.
#[test]
fn claim_start_and_finish_are_confirmed_when_durable() {
    let mut bench = Bench::owner();
    let id = key(0);
    assert_eq!(bench.call(request(id, 1, 1, claim(Start::Later))), ClaimReply::Claimed);
    assert_eq!(bench.call(request(id, 1, 1, Step::Start)), ClaimReply::Started);
    let other = bench.call(request(id, 2, 2, claim(Start::Now)));
    assert_eq!(other, ClaimReply::Refused(Refusal::InProgress));
    let result = RunResult::of(b"paid");
    let finish = Step::Finish { result: result.clone() };
    assert_eq!(bench.call(request(id, 1, 1, finish)), ClaimReply::Recorded);
    let repeat = bench.call(request(id, 3, 3, claim(Start::Now)));
    assert_eq!(repeat, ClaimReply::Refused(Refusal::Done(result)));
}

// Guards against claims that are lost when the owner changes.
#[test]
fn a_later_owner_replays_the_log_and_the_earlier_one_retires() {
    let mut bench = Bench::owner();
    let id = key(0);
    assert_eq!(bench.call(request(id, 1, 1, claim(Start::Now))), ClaimReply::Started);
    let mut next = bench.successor();
    let repeat = next.call(request(id, 2, 2, claim(Start::Now)));
    assert_eq!(repeat, ClaimReply::Refused(Refusal::InProgress));
    bench.store = next.store.clone();
    assert_eq!(bench.call(request(key(1), 1, 1, claim(Start::Now))), ClaimReply::NotOwner);
    assert_eq!(bench.partition.status(), PartitionStatus::Retired);
}

// Guards the limit on writes: claims that arrive together share one write.
#[test]
fn concurrent_claims_share_one_write() {
    let mut bench = Bench::owner();
    bench.advance(Duration::from_millis(20));
    let before = bench.store.writes;
    let first = bench.submit(request(key(0), 1, 1, claim(Start::Now)));
    let rest: Vec<u64> =
        (1..100).map(|i| bench.submit(request(key(i), 1, 1, claim(Start::Now)))).collect();
    bench.settle();
    for tag in [first].into_iter().chain(rest) {
        assert_eq!(bench.answers.remove(&tag), Some(ClaimReply::Started));
    }
    assert!(bench.store.writes - before <= 2, "{}", bench.store.writes - before);
}

// Guards against a claim that is granted or lost when the reply to its write is lost.
#[test]
fn a_lost_reply_is_resolved_by_reading_back() {
    for effect in [Effect::Before, Effect::None] {
        let mut bench = Bench::owner();
        bench.advance(Duration::from_millis(20));
        let tag = bench.submit(request(key(0), 1, 1, claim(Start::Now)));
        match effect {
            Effect::Before => bench.effect_and_lose(),
            Effect::None => bench.reply(StoreReply::Lost),
        }
        assert_eq!(bench.answers.get(&tag), None, "answered while unresolved");
        assert!(matches!(bench.calls[0].1, StoreCall::Get { .. }), "{:?}", bench.calls);
        bench.settle();
        assert_eq!(bench.answers.get(&tag), Some(&ClaimReply::Started));
        let repeat = bench.successor().call(request(key(0), 2, 2, claim(Start::Now)));
        assert_eq!(repeat, ClaimReply::Refused(Refusal::InProgress));
    }
}

#[derive(Clone, Copy)]
enum Effect {
    Before,
    None,
}

// Guards against a batch that is dropped after a lost call, although the call arrives late:
// its claims would come into force unnoticed. The same bytes are written again instead.
#[test]
fn a_lost_write_that_arrives_late_is_recognised() {
    let mut bench = Bench::owner();
    bench.advance(Duration::from_millis(20));
    let tag = bench.submit(request(key(0), 1, 1, claim(Start::Now)));
    let late = bench.calls[0].1.clone();
    bench.reply(StoreReply::Lost);
    bench.effect();
    bench.advance(Duration::from_millis(20));
    bench.store.run(&late);
    let retry = bench.calls[0].1.clone();
    assert_eq!(retry, late);
    bench.settle();
    assert_eq!(bench.answers.get(&tag), Some(&ClaimReply::Started));
    assert_eq!(bench.partition.status(), PartitionStatus::Owner);
}

// Guards the answer "not run" in an outage, and results that are lost because of one.
#[test]
fn an_outage_refuses_claims_and_keeps_outcomes() {
    let mut bench = Bench::owner();
    assert_eq!(bench.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    bench.advance(Duration::from_millis(20));
    let result = RunResult::of(b"paid");
    let finish = bench.submit(request(key(0), 1, 1, Step::Finish { result: result.clone() }));
    bench.reply(StoreReply::Unavailable);
    let refused = bench.submit(request(key(1), 1, 1, claim(Start::Now)));
    assert_eq!(bench.answers.get(&refused), Some(&ClaimReply::Down));
    assert_eq!(bench.answers.get(&finish), None);
    bench.settle();
    assert_eq!(bench.answers.get(&finish), Some(&ClaimReply::Recorded));
    assert_eq!(bench.call(request(key(1), 2, 1, claim(Start::Now))), ClaimReply::Started);
}

// Guards against outcomes that wait without bound while the store is down.
#[test]
fn an_outcome_that_cannot_be_recorded_expires() {
    let mut bench = Bench::owner();
    assert_eq!(bench.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    let finish = Step::Finish { result: RunResult::of(b"paid") };
    let tag = bench.submit(request(key(0), 1, 1, finish));
    for _ in 0..60 {
        bench.advance(Duration::from_millis(200));
        while !bench.calls.is_empty() {
            bench.reply(StoreReply::Unavailable);
        }
    }
    assert_eq!(bench.answers.get(&tag), Some(&ClaimReply::Expired));
    assert_eq!(bench.partition.queued(), 0);
}

// Guards the store's rates: one write at a time, and a pause between two.
#[test]
fn writes_are_paced_and_single() {
    let mut bench = Bench::owner();
    let mut starts = Vec::new();
    for i in 0..200 {
        bench.submit(request(key(i), 1, 1, claim(Start::Now)));
        bench.advance(Duration::from_millis(1));
        assert!(bench.calls.len() <= 1, "{:?}", bench.calls);
        if !bench.calls.is_empty() {
            starts.push(bench.now.instant);
            bench.effect();
        }
    }
    assert!(starts.len() >= 8, "{}", starts.len());
    for pair in starts.windows(2) {
        assert!(pair[1] - pair[0] >= Duration::from_millis(20));
    }
}

// Guards memory while the log is slow: the queue is bounded, with room for outcomes.
#[test]
fn a_full_queue_refuses_claims_before_outcomes() {
    let mut bench = Bench::owner();
    assert_eq!(bench.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    (1..4_000).for_each(|i| {
        bench.submit(request(key(i), 1, 1, claim(Start::Now)));
    });
    assert!(bench.answers.values().any(|reply| *reply == ClaimReply::Busy));
    let finish = Step::Finish { result: RunResult::of(b"paid") };
    let tag = bench.submit(request(key(0), 1, 1, finish));
    assert_eq!(bench.answers.get(&tag), None);
    bench.settle();
    assert_eq!(bench.answers.get(&tag), Some(&ClaimReply::Recorded));
}

// Guards the caller's deadline: a claim does not wait for a slow store beyond it.
#[test]
fn a_claim_is_answered_when_its_wait_ends() {
    let mut bench = Bench::owner();
    bench.advance(Duration::from_millis(20));
    let written = bench.submit(request(key(0), 1, 1, claim(Start::Now)));
    let queued = bench.submit(request(key(1), 1, 1, claim(Start::Now)));
    bench.advance(Duration::from_secs(10));
    for tag in [written, queued] {
        assert_eq!(bench.answers.get(&tag), Some(&ClaimReply::Expired));
    }
    bench.settle();
    // The record of the first became durable; its claimant can still give it up.
    let abort = Step::Abort { code: ResultCode::DeadlinePassed };
    assert_eq!(bench.call(request(key(0), 1, 1, abort)), ClaimReply::Recorded);
    assert_eq!(bench.call(request(key(0), 2, 2, claim(Start::Now))), ClaimReply::Started);
}

// Guards the head and the tail against an owner of an earlier epoch that comes later.
#[test]
fn an_earlier_owner_cannot_take_a_log_back() {
    let bench = Bench::owner();
    let next = bench.successor();
    let back = Bench::start(next.store.clone(), PartitionSettings::default(), 1, bench.now);
    assert_eq!(back.partition.status(), PartitionStatus::Retired);
}

// Guards graceful shutdown: the write in flight is still answered.
#[test]
fn a_release_finishes_the_write_in_flight() {
    let mut bench = Bench::owner();
    bench.advance(Duration::from_millis(20));
    let written = bench.submit(request(key(0), 1, 1, claim(Start::Now)));
    let queued = bench.submit(request(key(1), 1, 1, claim(Start::Now)));
    bench.event(PartitionEvent::Release);
    bench.effect();
    assert_eq!(bench.answers.get(&written), Some(&ClaimReply::Started));
    assert_eq!(bench.answers.get(&queued), Some(&ClaimReply::NotOwner));
    assert_eq!(bench.partition.status(), PartitionStatus::Retired);
}

/// Records `count` claims with results, 100 at a time.
fn fill(bench: &mut Bench, from: u64, count: u64) {
    for first in (from..from + count).step_by(100) {
        let time = bench.now.unix_ms;
        for step in [claim(Start::Now), Step::Finish { result: RunResult::of(&[7; 100]) }] {
            let tags: Vec<u64> = (first..(first + 100).min(from + count))
                .map(|i| {
                    let id = RequestKey::new("cashier-office", uuid_at(time, i)).unwrap();
                    bench.submit(request(id, 1, 1, step.clone()))
                })
                .collect();
            bench.settle();
            for tag in tags {
                let reply = bench.answers.remove(&tag);
                assert!(matches!(reply, Some(ClaimReply::Started | ClaimReply::Recorded)));
            }
        }
    }
}

// Guards pruning: ids below the watermark are refused by this owner and by the next one,
// also if the clock of the next one is late, and segments do not accumulate.
#[test]
fn pruning_raises_a_watermark_that_outlives_the_owner() {
    let mut bench = Bench::owner();
    fill(&mut bench, 0, 1_000);
    let segments = bench.store.values.len();
    bench.advance(Duration::from_secs(16 * 60));
    fill(&mut bench, 1_000, 1_000);
    bench.advance(Duration::from_secs(11));
    for _ in 0..20 {
        while !bench.calls.is_empty() {
            bench.effect();
        }
        bench.advance(Duration::from_millis(20));
    }
    assert!(bench.store.values.len() <= segments + 1, "{segments}");
    assert_eq!(bench.partition.retained(), 1_000);
    let mut next = bench.successor();
    next.now.unix_ms = common::UNIX_MS;
    for bench in [&mut bench, &mut next] {
        let old = bench.call(request(key(0), 2, 2, claim(Start::Now)));
        assert_eq!(old, ClaimReply::Refused(Refusal::BelowWatermark));
    }
}

// Guards a hole: the delayed creation of a segment that was used and pruned meanwhile
// succeeds, so the creation alone must not grant anything.
#[test]
fn a_delayed_creation_of_a_pruned_segment_grants_nothing() {
    let mut stale = Bench::owner();
    let mut number = 0;
    let late = loop {
        number += 1;
        stale.submit(request(key(number), 1, 1, claim(Start::Now)));
        stale.advance(Duration::from_millis(20));
        if matches!(&stale.calls[0].1, StoreCall::Put { key, .. } if key == "claims/0/2") {
            break stale.calls.len();
        }
        stale.effect();
    };
    assert_eq!(late, 1);
    let mut next = stale.successor();
    fill(&mut next, 10_000, 2_000);
    next.advance(Duration::from_secs(16 * 60));
    for _ in 0..40 {
        while !next.calls.is_empty() {
            next.effect();
        }
        next.advance(Duration::from_millis(20));
    }
    assert!(!next.store.values.contains_key("claims/0/2"));
    stale.store = next.store.clone();
    stale.effect();
    assert!(stale.store.values.contains_key("claims/0/2"), "the creation succeeds");
    while !stale.calls.is_empty() || stale.partition.next_timer().is_some() {
        if stale.calls.is_empty() {
            let at = stale.partition.next_timer().unwrap_or(stale.now.instant);
            stale.advance(at - stale.now.instant);
        } else {
            stale.effect();
        }
    }
    assert_eq!(stale.partition.status(), PartitionStatus::Retired);
    assert_eq!(stale.answers.get(&number), Some(&ClaimReply::NotOwner));
}

// Guards a hole: after "not run" for a later attempt, a delayed earlier one must not run.
#[test]
fn an_abort_refuses_attempts_up_to_its_own_and_allows_later_ones() {
    let mut bench = Bench::owner();
    let abort = Step::Abort { code: ResultCode::NoReplica };
    assert_eq!(bench.call(request(key(0), 2, 2, claim(Start::Now))), ClaimReply::Started);
    assert_eq!(bench.call(request(key(0), 2, 2, abort.clone())), ClaimReply::Recorded);
    let not_run = ClaimReply::Refused(Refusal::NotRun(ResultCode::NoReplica));
    for attempt in [0, 1, 2] {
        let reply = bench.call(request(key(0), 9, attempt, claim(Start::Now)));
        assert_eq!(reply, not_run, "attempt {attempt}");
    }
    assert_eq!(bench.call(request(key(0), 3, 3, claim(Start::Now))), ClaimReply::Started);
    // An abort that overtakes its claim refuses the claim.
    assert_eq!(bench.call(request(key(1), 1, 1, abort)), ClaimReply::Recorded);
    assert_eq!(bench.call(request(key(1), 1, 1, claim(Start::Now))), not_run);
}

// Guards "not run" of a claimant that is paused between claim and start: whoever replaces
// the claim makes its start fail.
#[test]
fn a_claim_that_was_replaced_cannot_start() {
    let mut bench = Bench::owner();
    assert_eq!(bench.call(request(key(0), 1, 1, claim(Start::Later))), ClaimReply::Claimed);
    assert_eq!(bench.call(request(key(0), 2, 2, claim(Start::Now))), ClaimReply::Started);
    let start = bench.call(request(key(0), 1, 1, Step::Start));
    assert_eq!(start, ClaimReply::Refused(Refusal::InProgress));

    assert_eq!(bench.call(request(key(1), 1, 1, claim(Start::Later))), ClaimReply::Claimed);
    bench.advance(Duration::from_secs(2));
    let not_run = ClaimReply::Refused(Refusal::NotRun(ResultCode::DeadlinePassed));
    assert_eq!(bench.call(request(key(1), 2, 1, claim(Start::Now))), not_run);
    assert_eq!(bench.call(request(key(1), 1, 1, Step::Start)), not_run);
}

// Guards the limits on ids, and an id that is used for another request.
#[test]
fn ids_from_ahead_and_reused_ids_are_refused() {
    let mut bench = Bench::owner();
    for (ahead_ms, granted) in [(60_000, true), (61_000, false)] {
        let id = RequestKey::new("x", uuid_at(bench.now.unix_ms + ahead_ms, 1)).unwrap();
        let reply = bench.call(request(id, 1, 1, claim(Start::Now)));
        let refused = ClaimReply::Refused(Refusal::Future);
        assert_eq!(reply, if granted { ClaimReply::Started } else { refused });
    }
    assert_eq!(bench.call(request(key(0), 1, 1, claim(Start::Now))), ClaimReply::Started);
    let mut other = request(key(0), 2, 2, claim(Start::Now));
    other.digest = BodyDigest::of(b"another body");
    assert_eq!(bench.call(other), ClaimReply::Refused(Refusal::Reused));
}

// Guards take-over after a writer stopped between filling a new segment and naming it.
#[test]
fn take_over_continues_behind_a_sealed_segment_that_the_head_does_not_name() {
    let mut bench = Bench::owner();
    let mut number = 0;
    while !bench.calls.iter().any(|(_, call)| creates_second(call)) {
        (0..1_000).for_each(|_| {
            number += 1;
            bench.submit(request(key(number), 1, 1, claim(Start::Now)));
        });
        bench.advance(Duration::from_millis(20));
        if !bench.calls.iter().any(|(_, call)| creates_second(call)) {
            bench.effect();
        }
    }
    bench.effect();
    let mut next = bench.successor();
    assert_eq!(next.call(request(key(9_999), 1, 1, claim(Start::Now))), ClaimReply::Started);
}

fn creates_second(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Put { key, .. } if key == "claims/0/2")
}

// Guards the store against segments that an owner named as pruned but did not remove.
#[test]
fn segments_left_by_an_earlier_owner_are_removed() {
    let mut bench = Bench::owner();
    fill(&mut bench, 0, 1_000);
    bench.advance(Duration::from_secs(16 * 60));
    while !bench.calls.is_empty() {
        bench.effect();
    }
    assert!(bench.store.values.contains_key("claims/0/1"));
    let mut next = bench.successor();
    for _ in 0..20 {
        next.advance(Duration::from_millis(20));
        while !next.calls.is_empty() {
            next.effect();
        }
    }
    assert_eq!(next.store.values.len(), 2, "{:?}", next.store.values.keys());
}

// Guards the daemon's memory: ids and results that are held are bounded.
#[test]
fn retained_ids_and_results_are_bounded() {
    let settings = PartitionSettings {
        max_ids: 50,
        result_cache_bytes: 1_000,
        ..PartitionSettings::default()
    };
    let now = Bench::owner().now;
    let mut bench = Bench::start(Default::default(), settings, 1, now);
    let filled_ms = bench.now.unix_ms;
    fill(&mut bench, 0, 50);
    let kept = |bench: &mut Bench, i| {
        let id = RequestKey::new("cashier-office", uuid_at(filled_ms, i)).unwrap();
        match bench.call(request(id, 9, 9, Step::LookUp)) {
            ClaimReply::Refused(Refusal::Done(RunResult::Kept(_))) => "kept",
            ClaimReply::Refused(Refusal::Done(RunResult::Omitted(_))) => "omitted",
            _ => "other",
        }
    };
    let mut next = bench.successor();
    for bench in [&mut bench, &mut next] {
        assert_eq!((0..50).filter(|i| kept(bench, *i) == "kept").count(), 10);
        assert_eq!((0..50).filter(|i| kept(bench, *i) == "omitted").count(), 40);
        assert_eq!(bench.call(request(key(99), 1, 1, claim(Start::Now))), ClaimReply::Busy);
        bench.advance(Duration::from_secs(16 * 60));
        let id = RequestKey::new("x", uuid_at(bench.now.unix_ms, 1)).unwrap();
        assert_eq!(bench.call(request(id, 1, 1, claim(Start::Now))), ClaimReply::Started);
    }
}
