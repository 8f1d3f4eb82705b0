//! Views that a daemon sends to many others at the same time.

use std::time::Duration;

use tt_serve::CatchUp;
use tt_serve::CatchUpSettings;
use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::ServedViewSettings;
use tt_serve::ServedViews;
use tt_serve::StoreRevision;
use tt_serve::Time;
use tt_serve::ViewKey;
use tt_serve::Vm;

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

// Guards against views that fill the link together, against a configuration that is larger than the
// limit and never sent, and against peers that are out of reach and keep others from theirs.
#[test]
fn a_view_is_refused_while_others_fill_the_link() {
    let settings = ServedViewSettings::default();
    let ServedViewSettings { max_bytes, small_bytes, send_timeout } = settings;
    let mut views = ServedViews::new(settings);
    let first = views.start(4 * max_bytes, ms(0)).expect("one is always sent");
    assert_eq!(views.start(max_bytes / 2, ms(1)), None);
    assert!(views.start(small_bytes, ms(1)).is_some(), "changes of a listing are always sent");
    views.end(first);
    assert!(views.start(max_bytes / 2, ms(2)).is_some());
    assert!(views.start(max_bytes / 2, ms(2)).is_some());
    assert_eq!(views.start(max_bytes / 2, ms(3)), None);
    assert!(views.start(max_bytes / 2, ms(3) + send_timeout).is_some());
    assert_eq!(views.count(), 1);
}

/// Number of daemons of the largest failure domain in use.
const DAEMONS: usize = 43;

/// Rate of the slowest links in use, 14 Mbit/s, in bytes a millisecond.
const LINK_RATE: usize = 1750;

/// Size of the view that brings the configuration of the largest deployment.
const VIEW_BYTES: usize = 120 * 1024;

/// Time between comparisons of a daemon with its peers.
const COMPARE_MS: usize = 150;

/// Time until the others have heard which version a daemon has.
const HEARTBEAT_MS: u64 = 60;

/// The smallest bound in use on the time until a configuration is in force (`config_apply_ms`).
const APPLY_BOUND_MS: u64 = 3000;

struct Transfer {
    from: usize,
    key: ViewKey,
    left: usize,
}

struct Daemon {
    members: Members,
    catch_up: CatchUp,
    views: ServedViews,
    /// When it got the new version.
    version_at: Option<u64>,
    transfer: Option<Transfer>,
}

fn vm(index: usize) -> Vm {
    let address = "127.0.0.1:1".parse().expect("an address");
    Vm { name: format!("vm-{index:02}"), front: address, peer: address, domain: "d".to_owned() }
}

/// The status of a daemon with this version.
fn status(version: u64) -> MemberStatus {
    let state = MemberState::Open;
    MemberStatus {
        state,
        version,
        digest: 1,
        revision: StoreRevision { era: 1, number: 1 },
        ..MemberStatus::default()
    }
}

impl Daemon {
    fn new(index: usize) -> Daemon {
        Daemon {
            members: Members::new(MemberSettings::default(), vm(index)),
            catch_up: CatchUp::new(CatchUpSettings::default()),
            views: ServedViews::new(ServedViewSettings::default()),
            version_at: (index == 0).then_some(0),
            transfer: None,
        }
    }

    /// The name of the daemon that it would fetch from, if `told` have the new version.
    fn source(&mut self, told: &[usize], at: u64) -> Option<usize> {
        for &index in told {
            self.members.update_status(vm(index), status(2), ms(at));
        }
        let settings = ListingSettings::default();
        let compared = self.catch_up.compare(&self.members, &status(1), &settings, ms(at));
        let name = compared.source?.name;
        told.iter().copied().find(|index| vm(*index).name == name)
    }
}

// Guards against a version that the daemons of a failure domain with slow links get seconds late or
// not at all, since all fetch it from the one that has read it.
#[test]
fn a_version_reaches_a_failure_domain_with_slow_links_in_time() {
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(Daemon::new).collect();
    let mut last = 0;
    for at in 0..APPLY_BOUND_MS {
        let is_told = |daemon: &Daemon| daemon.version_at.is_some_and(|it| it + HEARTBEAT_MS <= at);
        let told: Vec<usize> = (0..DAEMONS).filter(|index| is_told(&daemons[*index])).collect();
        for index in 0..DAEMONS {
            let daemon = &mut daemons[index];
            let is_due = at as usize % COMPARE_MS == index * COMPARE_MS / DAEMONS;
            if !is_due || daemon.version_at.is_some() || daemon.transfer.is_some() {
                continue;
            }
            let Some(from) = daemon.source(&told, at) else { continue };
            match daemons[from].views.start(VIEW_BYTES, ms(at)) {
                Some(key) => {
                    daemons[index].transfer = Some(Transfer { from, key, left: VIEW_BYTES });
                }
                None => daemons[index].catch_up.record_busy(vm(from).name, ms(at)),
            }
        }
        for index in 0..DAEMONS {
            let Some(Transfer { from, key, left }) = daemons[index].transfer.take() else {
                continue;
            };
            let left = left.saturating_sub(LINK_RATE / daemons[from].views.count());
            if left > 0 {
                daemons[index].transfer = Some(Transfer { from, key, left });
                continue;
            }
            daemons[from].views.end(key);
            daemons[index].version_at = Some(at);
            last = at;
        }
    }
    let count = daemons.iter().filter(|daemon| daemon.version_at.is_some()).count();
    assert_eq!(count, DAEMONS, "the last one at {last} ms");
}
