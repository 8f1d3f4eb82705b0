//! Keeps this daemon's view of the store up to date.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::entry::Entry;
use crate::registration::Registration;
use crate::sync::lock;
use tt_adapter::ConfigRead;
use tt_adapter::MemberRecord;
use tt_adapter::Platform;
use tt_adapter::PlatformError;
use tt_serve::Next;
use tt_serve::Time;
use tt_serve::Vm;
use tt_serve::next;

/// Renewals in the lifetime of a lease.
const RENEWALS: u32 = 3;

/// Renewals for each read of the list of daemons, which heartbeats keep up to date.
const RENEWALS_A_LIST: u32 = 3;

/// Time between two looks at whether this daemon reads the store itself.
const READ_POLL: Duration = Duration::from_millis(50);

/// Whether the calls of one kind reach the store; a change is logged.
#[derive(Debug)]
struct Reach {
    calls: &'static str,
    failing: bool,
    restored: Option<Time>,
}

impl Reach {
    fn new(calls: &'static str) -> Reach {
        Reach { calls, failing: false, restored: None }
    }

    fn worked(&mut self, now: Time) {
        if self.failing {
            log::info!("store: calls={} state=regained", self.calls);
            self.restored = Some(now);
            self.failing = false;
        }
    }

    fn failed(&mut self, error: &PlatformError) {
        if !self.failing {
            log::warn!("store: calls={} state=lost error=\"{error}\"", self.calls);
            self.failing = true;
        }
    }
}

/// Follows the operator's configuration.
pub(crate) async fn follow_config(entry: Arc<Entry>, platform: Platform) {
    let mut reach = Reach::new("config");
    let mut at = None;
    loop {
        if !watches(&entry) {
            // What happens meanwhile may be too much for a watch to tell.
            at = None;
            sleep(READ_POLL).await;
            continue;
        }
        let read = match at {
            Some(after) => platform.watch_config(after, entry.settings.watch_timeout).await,
            None => platform.read_config().await,
        };
        match read {
            Ok(ConfigRead { config, bytes, at: next }) => {
                reach.worked(entry.now());
                match config {
                    Some(config) => {
                        entry.adopt_config(&config, Bytes::from(bytes), "store");
                        at = Some(next);
                    }
                    // The first configuration may not have been written yet.
                    None if at.is_none() => sleep(entry.settings.store_retry_delay).await,
                    None => at = Some(next),
                }
            }
            Err(PlatformError::Compacted) => {
                log::info!("store: calls=config history=dropped");
                at = None;
            }
            Err(error) => {
                reach.failed(&error);
                if matches!(error, PlatformError::Malformed { .. }) {
                    at = None;
                }
                sleep(entry.settings.store_retry_delay).await;
            }
        }
    }
}

/// Follows the registrations of searchers, while this daemon is the one that reads them.
pub(crate) async fn follow_searchers(entry: Arc<Entry>, platform: Platform) {
    let mut reach = Reach::new("searchers");
    let mut ignored_before = Vec::new();
    loop {
        if !reads_now(&entry) {
            sleep(READ_POLL).await;
            continue;
        }
        let asked = entry.now();
        match platform.list_searchers().await {
            Ok(list) => {
                reach.worked(entry.now());
                if list.ignored != ignored_before {
                    for line in &list.ignored {
                        log::warn!("fleet: ignored {line}");
                    }
                    ignored_before = list.ignored;
                }
                let revision = list.revision;
                entry.adopt_listing(list.searchers, reach.restored, revision, asked, "store");
            }
            Err(error) => {
                reach.failed(&error);
                sleep(entry.settings.store_retry_delay).await;
            }
        }
    }
}

fn reads_now(entry: &Entry) -> bool {
    let listed = entry.listing_read_at();
    let members = lock(&entry.members);
    next(&members, &entry.settings.listing, listed, entry.now()) == Next::Read
}

/// Whether this daemon follows the configuration at the store itself: it is the first of its
/// failure domain, or what the first one reads has not come for some time.
fn watches(entry: &Entry) -> bool {
    let now = entry.now();
    let overdue = entry.settings.listing.overdue;
    lock(&entry.members).rank(now) == 0
        || entry.config_version() == 0
        || entry.listing_read_at().is_none_or(|listed| listed + overdue < now)
}

/// Keeps this daemon in the list of daemons, and reads that list.
pub(crate) async fn follow_members(entry: Arc<Entry>, platform: Platform) {
    let mut reach = Reach::new("members");
    let mut registration = Registration::new(platform.clone(), MemberRecord::from(&entry.vm));
    let every = entry.settings.lease_ttl / RENEWALS;
    let mut round = 0;
    while !entry.is_draining() {
        let list = round % RENEWALS_A_LIST == 0;
        round += 1;
        match renew(&entry, &platform, &mut registration, list).await {
            Ok(()) => reach.worked(entry.now()),
            Err(error) => reach.failed(&error),
        }
        sleep(every).await;
    }
    if let Err(error) = registration.end().await {
        log::info!("store: calls=members leave=\"{error}\"");
    }
}

async fn renew(
    entry: &Entry,
    platform: &Platform,
    registration: &mut Registration,
    list: bool,
) -> Result<(), PlatformError> {
    registration.renew(entry.settings.lease_ttl.max(entry.boot().lease_min)).await?;
    if !list {
        return Ok(());
    }
    let listed: Vec<Vm> = platform.list_members().await?.into_iter().map(Vm::from).collect();
    let present = listed.iter().any(|vm| vm.name == entry.vm.name);
    entry.update_member_list(listed);
    if !present {
        // The key may have been taken away while the lease goes on; the list may also be old.
        registration.write().await?;
    }
    Ok(())
}
