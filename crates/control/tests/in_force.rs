//! Tests of the report that counts the daemons on which a revision is in force.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use tt_control::InForcePoll;
use tt_control::Versions;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::Revision;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, (n % 250) as u8], 70))
}

fn at(catalog: u64) -> Versions {
    Versions { catalog: Revision(catalog), epoch: Epoch(0) }
}

/// Guards against a report that counts daemons which do not have the revision: a daemon that was
/// restarted after it had announced the revision, or one that never answered.
#[test]
fn a_report_counts_only_daemons_that_hold_the_revision_now() {
    let now = Instant::now();
    let members: Vec<SocketAddr> = (0..5).map(address).collect();
    let mut poll = InForcePoll::new(Revision(7), &members, Duration::from_secs(2), now);
    poll.on_versions(address(0), Incarnation(1), at(7));
    poll.on_versions(address(1), Incarnation(1), at(8));
    poll.on_versions(address(2), Incarnation(1), at(6));
    poll.on_versions(address(3), Incarnation(1), at(7));
    poll.on_versions(address(3), Incarnation(2), at(0));
    poll.on_versions(address(3), Incarnation(1), at(7));
    poll.on_versions(address(9), Incarnation(1), at(7));
    let report = poll.report();
    assert_eq!((report.adopted, report.members), (2, 5));
    let others =
        [(address(2), Some(Revision(6))), (address(3), Some(Revision(0))), (address(4), None)];
    assert_eq!(report.others, others);

    assert_eq!(poll.next_pulls().len(), 3);
    assert!(!poll.is_finished(now));
    assert!(poll.is_finished(now + Duration::from_secs(2)));
    (0..3).for_each(|_| poll.on_pull_done());
    assert!(poll.is_finished(now));
}

/// Guards against thousands of concurrent calls for one status request: the poll must limit the
/// pulls in flight in a cluster of 2,700 daemons.
#[test]
fn a_poll_asks_a_bounded_number_of_daemons_at_once() {
    let now = Instant::now();
    let members: Vec<SocketAddr> = (0..2_700).map(address).collect();
    let mut poll = InForcePoll::new(Revision(7), &members, Duration::from_secs(2), now);
    let mut asked = 0;
    let mut max_in_flight = 0;
    while !poll.is_finished(now) {
        let requests = poll.next_pulls();
        max_in_flight = max_in_flight.max(requests.len());
        asked += requests.len();
        for (member, _) in requests {
            poll.on_versions(member, Incarnation(1), at(7));
            poll.on_pull_done();
        }
    }
    assert_eq!((asked, max_in_flight), (2_700, 64));
    assert_eq!(poll.report().adopted, 2_700);
}
