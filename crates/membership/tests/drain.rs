//! The stop sequence.

use std::time::Duration;

use tokio::time::Instant;

use tt_membership::Drain;
use tt_membership::drain::DrainSettings;
use tt_membership::drain::Remaining;
use tt_membership::drain::Stage;

// Guards against a daemon that exits while callers still have its address, while work is in
// flight, or while it holds slots that nobody has taken over.
#[test]
fn each_stage_waits_until_its_work_is_done() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut drain = Drain::new(DrainSettings::default());
    let busy = Remaining { held: 3, in_flight: 2 };
    assert_eq!(drain.tick(busy, at(0)), Stage::Running);
    drain.start(at(1));
    drain.start(at(5));
    assert_eq!(drain.tick(Remaining { held: 0, in_flight: 0 }, at(10)), Stage::Announced);
    assert_eq!(drain.tick(busy, at(11)), Stage::Releasing);
    assert_eq!(drain.tick(busy, at(12)), Stage::Releasing);
    assert_eq!(drain.tick(Remaining { held: 0, in_flight: 2 }, at(13)), Stage::Finishing);
    assert_eq!(drain.tick(Remaining { held: 0, in_flight: 1 }, at(14)), Stage::Finishing);
    assert_eq!(drain.tick(Remaining { held: 0, in_flight: 0 }, at(15)), Stage::Stopped);
}

// Guards against a daemon that never exits: during a store outage nobody can take over its slots,
// and a reply may never arrive.
#[test]
fn each_stage_ends_at_its_timeout() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let stuck = Remaining { held: 1, in_flight: 1 };
    let mut drain = Drain::new(DrainSettings::default());
    drain.start(at(0));
    assert_eq!(drain.tick(stuck, at(10)), Stage::Releasing);
    assert_eq!(drain.tick(stuck, at(29)), Stage::Releasing);
    assert_eq!(drain.tick(stuck, at(30)), Stage::Finishing);
    assert_eq!(drain.tick(stuck, at(39)), Stage::Finishing);
    assert_eq!(drain.tick(stuck, at(40)), Stage::Stopped);
}
