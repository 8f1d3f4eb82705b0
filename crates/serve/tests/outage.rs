//! Telling an outage of the store from calls that fail for one daemon.

mod common;

use std::time::Duration;

use common::ms;

use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::OutageDetector;
use tt_serve::OutageSettings;
use tt_serve::ReadDecision;
use tt_serve::Time;
use tt_serve::Vm;
use tt_serve::read_decision;

fn restored(reads: &[u64]) -> Option<Time> {
    let mut detector = OutageDetector::default();
    for &read in reads {
        detector.observe(&OutageSettings::default(), ms(read));
    }
    detector.restored_at()
}

// Guards against keeping searchers that have left, as after an outage, since the store turned away
// this daemon while it served others (review/3).
#[test]
fn a_store_that_serves_another_daemon_is_not_down() {
    // The first daemon reads each 900 ms, then another one takes over until the first returns.
    let reads = [0, 900, 1800, 3350, 4900, 5700, 6600];
    assert_eq!(restored(&reads), None);
    // Heartbeats tell of them in another order.
    assert_eq!(restored(&[0, 1800, 900, 3350, 1800, 4900]), None);
}

// Guards against removing running searchers whose registrations lapsed in an outage.
#[test]
fn a_store_that_serves_no_daemon_for_a_while_has_been_down() {
    assert_eq!(restored(&[0, 900, 4100, 5000]), Some(ms(4100)));
    assert_eq!(restored(&[0, 3000, 3900, 9000, 9900]), Some(ms(9000)), "the latest one");
}

// Guards against an outage that is assumed after a pause of this daemon, which has heard of no
// reads meanwhile.
#[test]
fn a_pause_of_this_daemon_is_no_outage() {
    let mut detector = OutageDetector::default();
    detector.observe(&OutageSettings::default(), ms(1000));
    detector.forget_reads();
    assert_eq!(detector.observe(&OutageSettings::default(), ms(9000)), None);
    assert_eq!(detector.restored_at(), None);
}

// Guards against an outage that is assumed before the last daemon of a failure domain has taken
// over the reads from those that the store turns away.
#[test]
fn daemons_take_over_the_reads_before_the_store_counts_as_down() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let vm = |index: usize| Vm {
        name: format!("vm-{index:03}"),
        front: address,
        peer: address,
        domain: "d".to_owned(),
    };
    let mut last = Members::new(MemberSettings::default(), vm(40));
    let status = MemberStatus { state: MemberState::Open, version: 1, ..MemberStatus::default() };
    let call_time = Duration::from_millis(50);
    let age = OutageSettings::default().min_outage - call_time;
    for index in 0..40 {
        last.update_status(vm(index), status.clone(), age);
    }
    assert!(last.rank_in_domain(age) > 0);
    let decision = read_decision(&last, &ListingSettings::default(), Some(ms(0)), age);
    assert_eq!(decision, ReadDecision::Read);
}

// Guards against taking searchers for gone, since their registrations are missing after the store
// has come back from an older copy within a moment.
#[test]
fn a_later_era_counts_as_an_outage_however_short() {
    let mut detector = OutageDetector::default();
    // A daemon that starts, and one of an earlier version, tell no era.
    assert_eq!(detector.observe_era(0, ms(0)), None);
    assert_eq!(detector.observe_era(1, ms(0)), None);
    assert!(!detector.is_rewriting(ms(0)));
    detector.observe(&OutageSettings::default(), ms(900));
    assert_eq!(detector.observe_era(2, ms(1500)), Some(1));
    detector.observe(&OutageSettings::default(), ms(1500));
    assert_eq!(detector.restored_at(), Some(ms(1500)));
    // Late news of the earlier era, and more of the later one, change nothing.
    assert!(!detector.is_rewriting(ms(3800)) && detector.is_rewriting(ms(3700)));
    assert_eq!(detector.observe_era(1, ms(1600)), None);
    assert_eq!(detector.observe_era(2, ms(1700)), None);
    assert_eq!((detector.restored_at(), detector.era()), (Some(ms(1500)), 2));
}
