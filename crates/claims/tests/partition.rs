//! The partition owner against a store that is driven by hand.

mod common;

use std::time::Duration;

use common::Bench;
use common::key;
use common::request;
use tt_claims::ClaimReply;
use tt_claims::PartitionStatus;
use tt_claims::Refusal;
use tt_claims::RunResult;
use tt_claims::Start;
use tt_claims::Step;

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
