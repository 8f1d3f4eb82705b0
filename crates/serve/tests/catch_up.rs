//! Daemons that lack a configuration that others have.

use std::time::Duration;

use tt_serve::CatchUp;
use tt_serve::CatchUpSettings;
use tt_serve::KnownVersions;
use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::StoreRevision;
use tt_serve::Time;
use tt_serve::Vm;

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

// Guards against a tier whose daemons all call the store while configurations follow one another so
// quickly that there is always a later one.
#[test]
fn a_daemon_that_keeps_up_with_a_series_of_versions_leaves_the_store_alone() {
    let mut catch_up = CatchUp::new(CatchUpSettings::default());
    for round in 0..50 {
        let now = ms(150 * round);
        catch_up.observe(version(round), version(round + 3), now);
        assert!(!catch_up.reads_store(1, now), "round {round}");
    }
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

fn vm(name: &str, domain: &str) -> Vm {
    let address = "127.0.0.1:1".parse().expect("an address");
    Vm { name: name.to_owned(), front: address, peer: address, domain: domain.to_owned() }
}

/// The status of a daemon with this version, whose listing was read at `revision`.
fn status(version: u64, revision: u64) -> MemberStatus {
    MemberStatus {
        state: MemberState::Open,
        version,
        digest: 1,
        revision: StoreRevision { era: 1, number: revision },
        listing_read_at: Some(ms(revision)),
        ..MemberStatus::default()
    }
}

/// Number of daemons in the failure domain of a [`Neighbour`].
const NEIGHBOURS: usize = 20;

/// One of the daemons of a failure domain that lack version 2.
struct Neighbour {
    members: Members,
    catch_up: CatchUp,
}

impl Neighbour {
    fn new(index: usize) -> Neighbour {
        let name = format!("vm-{index:02}");
        let members = Members::new(MemberSettings::default(), vm(&name, "d"));
        Neighbour { members, catch_up: CatchUp::new(CatchUpSettings::default()) }
    }

    /// From whom it fetches at the time `now`, if the daemons with the numbers in `holders` have
    /// version 2 and a daemon of another failure domain too. The first holder has read the listing.
    fn source(&mut self, holders: &[usize], now: Time) -> Option<String> {
        for (place, holder) in holders.iter().enumerate() {
            let revision = if place == 0 { 1900 } else { 1500 };
            let name = format!("vm-{holder:02}");
            self.members.update_status(vm(&name, "d"), status(2, revision), now);
        }
        self.members.update_status(vm("far", "e"), status(2, 1800), now);
        let own = status(1, 1500);
        let settings = ListingSettings::default();
        let source = self.catch_up.compare(&self.members, &own, &settings, now).source;
        source.map(|vm| vm.name)
    }
}

// Guards against all daemons of a failure domain that fetch a configuration from the same peer,
// whose link can't carry it to all of them in time.
#[test]
fn fetches_of_a_configuration_are_spread_over_the_daemons_that_have_it() {
    let holders = [0, 1, 2, 3, 4];
    let mut counts = [0; 5];
    for index in 5..NEIGHBOURS {
        let source = Neighbour::new(index).source(&holders, ms(2000)).expect("a peer");
        let holder = holders.iter().position(|it| source == format!("vm-{it:02}"));
        counts[holder.expect("a peer of the own domain")] += 1;
    }
    assert!(counts.iter().all(|count| *count <= NEIGHBOURS / 3), "{counts:?}");
}

// Guards against fetches that are repeated at a peer that does not deliver, and against a daemon
// that asks nobody because all have failed.
#[test]
fn a_peer_that_does_not_deliver_is_asked_again_only_if_no_other_can_be() {
    let mut neighbour = Neighbour::new(10);
    let mut asked = Vec::new();
    for round in 0..3 {
        let now = ms(2000 + 300 * round);
        let source = neighbour.source(&[0, 1], now).expect("a peer");
        neighbour.catch_up.record_failure(source.clone(), now);
        asked.push(source);
    }
    asked.sort();
    assert_eq!(asked, ["far", "vm-00", "vm-01"]);
    assert!(neighbour.source(&[0, 1], ms(2900)).is_some());
    let after_delay = ms(2600) + CatchUpSettings::default().failure_delay;
    let source = neighbour.source(&[0, 1], after_delay).expect("a peer");
    assert_ne!(source, "far", "peers of the own domain come first again");
}
