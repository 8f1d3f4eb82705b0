//! Request ids and the byte format of the log.

mod common;

use common::Harness;
use common::UNIX_MS;
use common::key;
use common::request;
use common::uuid_at;
use insta::assert_snapshot;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use uuid::Uuid;

use tt_claims::Head;
use tt_claims::PartitionId;
use tt_claims::RequestKey;
use tt_claims::RunResult;
use tt_claims::Segment;
use tt_claims::Start;
use tt_claims::Step;
use tt_claims::head_key;
use tt_claims::segment_key;
use tt_model::ResultCode;

// A request id without a time could never be pruned from the log.
#[test]
fn only_uuid_version_7_is_accepted() {
    assert_eq!(key(1).time_ms(), UNIX_MS);
    assert!(RequestKey::parse("x", &Uuid::now_v7().to_string()).is_ok());
    for id in ["", "7", "0f0e0d0c-0b0a-4908-8706-050403020100", &Uuid::nil().to_string()] {
        let error = RequestKey::parse("x", id).unwrap_err();
        assert_eq!(error.to_string(), "405 BadRequestId");
    }
}

// During a rolling update, daemons of two versions must agree on the partition of a request
// id. With different hashes, the id could be claimed again in another log.
#[test]
fn the_partition_of_an_id_is_fixed() {
    let partitions: Vec<PartitionId> = (0..12).map(|i| key(i).partition()).collect();
    assert_snapshot!(format!("{:?}", partitions.iter().map(|p| p.0).collect::<Vec<_>>()), @"[1, 2, 3, 2, 2, 3, 1, 3, 1, 1, 1, 1]");
    let other = RequestKey::new("another service", uuid_at(UNIX_MS, 0)).unwrap();
    assert_ne!(other, key(0));
}

// During a rolling update, daemons of two versions read each other's log, so the format must
// not change.
#[test]
fn the_byte_format_is_fixed() {
    let mut harness = Harness::owner();
    let claim = Step::Claim { start: Start::Now, deadline_unix_ms: UNIX_MS };
    harness.call(request(key(0), 1, 1, claim));
    harness.call(request(key(0), 1, 1, Step::Finish { result: RunResult::of(b"paid") }));
    harness.call(request(key(1), 2, 3, Step::Abort { code: ResultCode::NoReplica }));
    let hex = |key: &str| -> String {
        harness.store.values[key].1.iter().map(|byte| format!("{byte:02x}")).collect()
    };
    assert_snapshot!(hex(&head_key(PartitionId(0))), @"1100000000000000010000000000000001000000000000000100000000000000010000000000000000");
    assert_snapshot!(hex(&segment_key(PartitionId(0), 1)), @"21000000000000000100000000000000010000000000000004000201a3185c500070008000000000000000e3453c97c8f4f42100000000000000000000000000000001177aefccffa6f74acbf1c497eac76e1000000001000001a3185c50000401a3185c500070008000000000000000e3453c97c8f4f421000000000000000000000000000000010004706169640601a3185c500070008000000000000001e3453c97c8f4f42100000000000000000000000000000002177aefccffa6f74acbf1c497eac76e100000000300d0");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..Config::default()
    })]

    // A damaged value in the store must cause a decode error at take-over, not a panic.
    #[test]
    fn decoding_never_panics(mut value in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Head::decode(&value);
        let _ = Segment::decode(&value);
        if value.len() > 26 {
            (value[0], value[25]) = (0x21, 0);
            let _ = Segment::decode(&value);
        }
    }
}
