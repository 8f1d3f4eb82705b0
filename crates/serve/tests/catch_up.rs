//! Daemons that lack a configuration that others have.

use std::time::Duration;

use tt_serve::CatchUp;
use tt_serve::CatchUpSettings;
use tt_serve::KnownVersions;
use tt_serve::Time;

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn version(config: u64) -> KnownVersions {
    KnownVersions { config, ..KnownVersions::default() }
}

// Guards against a daemon that waits for peers without end, against one that calls the store before
// peers usually deliver, and against a whole failure domain that reads at the same moment.
#[test]
fn the_store_is_read_if_a_known_version_does_not_arrive() {
    let settings = CatchUpSettings::default();
    let mut catch_up = CatchUp::new(settings);
    catch_up.observe(version(4), version(4), ms(1000));
    assert!(!catch_up.reads_store(1, ms(60_000)), "nothing newer is known");
    let start = ms(60_000);
    catch_up.observe(version(4), version(6), start);
    // Later versions don't start the time anew.
    catch_up.observe(version(4), version(7), start + ms(900));
    let first_read = |rank| {
        let reads = |at: &u64| catch_up.reads_store(rank, start + ms(*at));
        (0..10_000).step_by(50).find(reads).expect("it reads at some time")
    };
    let times: Vec<u64> = (1..43).map(first_read).collect();
    assert!(times[0] >= settings.store_delay.as_millis() as u64, "{times:?}");
    assert!(times[41] <= 1700, "{times:?}");
    assert!(times[0] < times[1] && times[1] < times[2], "{times:?}");
    catch_up.observe(version(7), version(7), start + ms(1500));
    assert!(!catch_up.reads_store(1, start + ms(5000)), "it has caught up");
}

// Guards against a lag that is logged at each comparison, or not at all.
#[test]
fn a_lag_is_reported_once_an_interval() {
    let mut catch_up = CatchUp::new(CatchUpSettings::default());
    let mut reports = Vec::new();
    for at in (0..3500).step_by(150) {
        if let Some(lag) = catch_up.observe(version(1), version(2), ms(at)) {
            reports.push(at);
            assert_eq!((lag.since, lag.newest), (ms(0), version(2)));
        }
    }
    assert_eq!(reports.len(), 3, "{reports:?}");
}
