//! Follows the configuration, the searchers and the list of daemons in the platform's store.

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
use tt_serve::ReadDecision;
use tt_serve::Time;
use tt_serve::Vm;
use tt_serve::read_decision;

/// Renewals of the lease within its lifetime.
const RENEWALS_PER_LEASE: u32 = 3;

/// Renewals for each read of the list of daemons. Rare reads suffice: heartbeats tell of changes.
const RENEWALS_PER_LIST_READ: u32 = 3;

/// Interval between checks whether this daemon has to read the store itself.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether calls of one kind reach the store. Logs each change.
#[derive(Debug)]
struct StoreStatus {
    calls: &'static str,
    failing: bool,
    /// When calls last succeeded again after failures.
    restored_at: Option<Time>,
}

impl StoreStatus {
    fn new(calls: &'static str) -> StoreStatus {
        StoreStatus { calls, failing: false, restored_at: None }
    }

    fn record_success(&mut self, now: Time) {
        if self.failing {
            log::info!("store: calls={} state=regained", self.calls);
            self.restored_at = Some(now);
            self.failing = false;
        }
    }

    fn record_failure(&mut self, error: &PlatformError) {
        if !self.failing {
            log::warn!("store: calls={} state=lost error=\"{error}\"", self.calls);
            self.failing = true;
        }
    }
}

/// Follows the operator's configuration.
pub(crate) async fn follow_config(entry: Arc<Entry>, platform: Platform) {
    let mut status = StoreStatus::new("config");
    let mut watch_revision = None;
    loop {
        if !follows_config(&entry) {
            // The store may drop the history since the last read, so that a watch can't resume.
            watch_revision = None;
            sleep(READ_POLL_INTERVAL).await;
            continue;
        }
        let result = match watch_revision {
            Some(after) => platform.watch_config(after, entry.settings.watch_timeout).await,
            None => platform.read_config().await,
        };
        match result {
            Ok(ConfigRead { config, bytes, revision }) => {
                status.record_success(entry.now());
                match config {
                    Some(config) => {
                        entry.adopt_config(&config, Bytes::from(bytes), "store");
                        watch_revision = Some(revision);
                    }
                    // No configuration has been written yet.
                    None if watch_revision.is_none() => {
                        sleep(entry.settings.store_retry_delay).await
                    }
                    None => watch_revision = Some(revision),
                }
            }
            Err(PlatformError::Compacted) => {
                log::info!("store: calls=config history=dropped");
                watch_revision = None;
            }
            Err(error) => {
                status.record_failure(&error);
                if matches!(error, PlatformError::Malformed { .. }) {
                    watch_revision = None;
                }
                sleep(entry.settings.store_retry_delay).await;
            }
        }
    }
}

/// Reads the listing of searchers whenever it is this daemon's turn; other daemons get it from
/// their peers.
pub(crate) async fn follow_searchers(entry: Arc<Entry>, platform: Platform) {
    let mut status = StoreStatus::new("searchers");
    let mut last_ignored = Vec::new();
    loop {
        if !is_listing_reader(&entry) {
            sleep(READ_POLL_INTERVAL).await;
            continue;
        }
        let read_at = entry.now();
        match platform.read_listing().await {
            Ok(read) => {
                status.record_success(entry.now());
                if read.ignored != last_ignored {
                    for line in &read.ignored {
                        log::warn!("fleet: ignored {line}");
                    }
                    last_ignored = read.ignored;
                }
                let revision = read.revision;
                entry.adopt_listing(read.listing, status.restored_at, revision, read_at, "store");
            }
            Err(error) => {
                status.record_failure(&error);
                sleep(entry.settings.store_retry_delay).await;
            }
        }
    }
}

fn is_listing_reader(entry: &Entry) -> bool {
    let read_at = entry.listing_read_at();
    let members = lock(&entry.members);
    read_decision(&members, &entry.settings.listing, read_at, entry.now()) == ReadDecision::Read
}

/// Whether this daemon follows the configuration in the store itself: it is the first of its
/// failure domain, it has none yet, or no recent listing has arrived, so that the first one may
/// have failed.
fn follows_config(entry: &Entry) -> bool {
    let now = entry.now();
    let takeover_age = entry.settings.listing.takeover_age;
    lock(&entry.members).rank_in_domain(now) == 0
        || entry.config_version() == 0
        || entry.listing_read_at().is_none_or(|read_at| read_at + takeover_age < now)
}

/// Keeps this daemon registered in the list of daemons, and reads that list.
pub(crate) async fn follow_members(entry: Arc<Entry>, platform: Platform) {
    let mut status = StoreStatus::new("members");
    let mut registration = Registration::new(platform.clone(), MemberRecord::from(&entry.vm));
    let renew_interval = entry.settings.lease_ttl / RENEWALS_PER_LEASE;
    let mut round = 0;
    while !entry.is_draining() {
        let read_list = round % RENEWALS_PER_LIST_READ == 0;
        round += 1;
        match renew(&entry, &platform, &mut registration, read_list).await {
            Ok(()) => status.record_success(entry.now()),
            Err(error) => status.record_failure(&error),
        }
        sleep(renew_interval).await;
    }
    if let Err(error) = registration.end().await {
        log::info!("store: calls=members leave=\"{error}\"");
    }
}

async fn renew(
    entry: &Entry,
    platform: &Platform,
    registration: &mut Registration,
    read_list: bool,
) -> Result<(), PlatformError> {
    registration.renew(entry.settings.lease_ttl.max(entry.boot().min_lease_ttl)).await?;
    if !read_list {
        return Ok(());
    }
    let listed: Vec<Vm> = platform.list_members().await?.into_iter().map(Vm::from).collect();
    let is_listed = listed.iter().any(|vm| vm.name == entry.vm.name);
    entry.update_member_list(listed);
    if !is_listed {
        // The record may have been deleted while the lease is valid, or the list is outdated.
        registration.write().await?;
    }
    Ok(())
}
