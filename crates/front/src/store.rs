//! Follows the configuration, the searchers and the list of daemons in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::entry::Entry;
use crate::metrics;
use crate::registration::Registration;
use crate::sync::lock;
use tt_adapter::ConfigRead;
use tt_adapter::MemberRecord;
use tt_adapter::Platform;
use tt_adapter::PlatformError;
use tt_serve::ListingDelta;
use tt_serve::ReadDecision;
use tt_serve::SearcherRecord;
use tt_serve::Vm;
use tt_serve::leaves_first_reads;
use tt_serve::read_decision;
use tt_serve::store_retry_delay;

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
    /// Number of failed calls since the last that succeeded.
    failures: u32,
}

impl StoreStatus {
    fn new(calls: &'static str) -> StoreStatus {
        StoreStatus { calls, failures: 0 }
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            log::info!("store: calls={} state=regained", self.calls);
            self.failures = 0;
        }
    }

    fn record_failure(&mut self, error: &PlatformError) {
        if self.failures == 0 {
            log::warn!("store: calls={} state=lost error=\"{error}\"", self.calls);
        }
        self.failures = self.failures.saturating_add(1);
    }

    /// Waits before the next call after a failed one.
    async fn pause(&self, entry: &Entry) {
        let rank = lock(&entry.members).rank_in_domain(entry.now());
        sleep(store_retry_delay(&entry.settings.listing, rank, self.failures)).await;
    }
}

/// Follows the operator's configuration and the evacuated failure domains.
pub(crate) async fn follow_config(entry: Arc<Entry>, platform: Platform) {
    let mut status = StoreStatus::new("config");
    let mut watch_revision = None;
    let mut watched_evacuations = false;
    loop {
        let with_evacuations = entry.evacuates();
        if watched_evacuations != with_evacuations {
            watched_evacuations = with_evacuations;
            watch_revision = None;
        }
        if !follows_config(&entry) {
            // The store may drop the history since the last read, so that a watch can't resume.
            watch_revision = None;
            sleep(READ_POLL_INTERVAL).await;
            continue;
        }
        let asked_at = entry.now();
        let proof_at = entry.proof_time();
        let wait =
            if entry.take_confirmation() { Duration::ZERO } else { entry.config_watch_wait() };
        let watched = watch_revision.filter(|_| entry.woke_at().is_none());
        let result = match watched {
            Some(after) => tokio::select! {
                result = platform.watch_config(with_evacuations, after, wait) => result,
                // What is watched may have changed during the pause: it is read at once.
                () = entry.woken.notified() => continue,
                // Likewise if a request has a key that may be newer.
                () = entry.confirmation_asked.notified() => continue,
            },
            None => platform.read_config(with_evacuations).await,
        };
        match result {
            Ok(ConfigRead { config, bytes, evacuations, revision, ignored }) => {
                entry.observe_era(revision, "store");
                entry.adopt_evacuations(evacuations, "store");
                let config = match config {
                    Ok(config) => config,
                    Err(error) => {
                        status.record_failure(&error);
                        watch_revision = None;
                        status.pause(&entry).await;
                        continue;
                    }
                };
                status.record_success();
                if let Some(error) = ignored {
                    log::warn!("config: ignored error=\"{error}\"");
                }
                // A read that finds no configuration, although one is in force, proves nothing.
                let proves = watched.is_some() || config.is_some();
                if let Some(config) = config {
                    log_older(&entry, config.version);
                    entry.adopt_config(&config, Bytes::from(bytes), "store");
                }
                entry.record_config_read(asked_at);
                if proves {
                    entry.prove_from_store(proof_at);
                }
                // The store's revisions start above 0; without one there is nothing to watch from.
                watch_revision = Some(revision).filter(|revision| revision.is_known());
                if watch_revision.is_none() {
                    sleep(entry.settings.listing.retry_delay).await;
                }
            }
            Err(error @ (PlatformError::Compacted | PlatformError::Restored)) => {
                log_lost_history("config", &error);
                watch_revision = None;
            }
            Err(error) => {
                status.record_failure(&error);
                // The same changes would come again, and their answer be lost or too large again.
                if matches!(error, PlatformError::Malformed { .. } | PlatformError::NoAnswer) {
                    watch_revision = None;
                }
                status.pause(&entry).await;
            }
        }
    }
}

/// Logs that a watch can't continue.
fn log_lost_history(calls: &str, error: &PlatformError) {
    let history = if *error == PlatformError::Restored { "older_copy" } else { "dropped" };
    log::info!("store: calls={calls} history={history}");
}

/// Logs that the store has an earlier configuration than the one in force.
fn log_older(entry: &Entry, version: u64) {
    let in_force = entry.config_version();
    if version < in_force {
        log::warn!("config: state=older_in_store version={version} in_force={in_force}");
    }
}

/// Reads the listing of searchers whenever it is this daemon's turn; other daemons get it from
/// their peers.
pub(crate) async fn follow_searchers(entry: Arc<Entry>, platform: Platform) {
    let mut status = StoreStatus::new("searchers");
    let mut ignored = Vec::new();
    let mut history_complete = true;
    let mut ignored_reads = 0_u32;
    loop {
        if !is_listing_reader(&entry) {
            sleep(READ_POLL_INTERVAL).await;
            continue;
        }
        let read_at = entry.now();
        // What has changed since the newest listing takes one call, the whole listing several.
        let base = entry.status().revision;
        let result = if !base.is_known() || !history_complete {
            platform
                .read_listing()
                .await
                .map(|read| (ListingUpdate::Whole(read.listing), read.ignored, read.revision))
        } else {
            platform
                .watch_listing(base, Duration::ZERO)
                .await
                .map(|watch| (ListingUpdate::Changes(watch.delta), watch.ignored, watch.revision))
        };
        match result {
            Ok((update, newly_ignored, revision)) => {
                history_complete = true;
                status.record_success();
                for line in newly_ignored.iter().filter(|line| !ignored.contains(*line)) {
                    log::warn!("fleet: ignored {line}");
                }
                ignored = newly_ignored;
                entry.record_store_read(read_at);
                let listing = match update {
                    ListingUpdate::Whole(listing) => listing,
                    ListingUpdate::Changes(delta) if delta.is_empty() => {
                        entry.confirm_listing(revision, read_at);
                        continue;
                    }
                    ListingUpdate::Changes(delta) => delta.apply(&entry.listing()),
                };
                if entry.adopt_listing(listing, revision, read_at, "store") {
                    ignored_reads = 0;
                    continue;
                }
                metrics::count_ignored_listing();
                if ignored_reads == 0 {
                    let known = entry.status().revision;
                    log::warn!("fleet: listing=ignored revision={revision} known={known}");
                }
                ignored_reads += 1;
                sleep(entry.settings.listing.retry_delay).await;
            }
            Err(error @ (PlatformError::Compacted | PlatformError::Restored)) => {
                log_lost_history("searchers", &error);
                history_complete = false;
            }
            Err(error) => {
                status.record_failure(&error);
                history_complete = false;
                status.pause(&entry).await;
            }
        }
    }
}

/// What a read of the searchers at the store returned.
#[derive(Debug)]
enum ListingUpdate {
    Whole(Vec<SearcherRecord>),
    /// The changes since the newest listing of this daemon.
    Changes(ListingDelta),
}

fn is_listing_reader(entry: &Entry) -> bool {
    let read_at = entry.listing_read_at();
    let settings = &entry.settings.listing;
    let now = entry.now();
    if let Some(woke_at) = entry.woke_at() {
        return entry.last_store_read() < Some(woke_at);
    }
    let members = lock(&entry.members);
    if read_at.is_none() && leaves_first_reads(&members, settings, entry.is_first_start(), now) {
        return false;
    }
    read_decision(&members, settings, read_at, now) == ReadDecision::Read
}

/// Whether this daemon follows the configuration in the store itself: it is the first of its
/// failure domain, it has none yet, it reads the searchers there because the first one doesn't, it
/// can't get a later one from peers, or it needs a proof that its configuration is the newest one.
fn follows_config(entry: &Entry) -> bool {
    let settings = &entry.settings.listing;
    let now = entry.now();
    let members = lock(&entry.members);
    if entry.config_version() == 0 {
        return !leaves_first_reads(&members, settings, entry.is_first_start(), now);
    }
    if entry.woke_at().is_some() {
        return true;
    }
    let took_over = |read_at| now <= read_at + 2 * settings.takeover_age;
    let rank = members.rank_in_domain(now);
    rank == 0
        || entry.last_store_read().is_some_and(took_over)
        || lock(&entry.catch_up).reads_store(rank, now)
        || entry.needs_proof(rank)
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
            Ok(()) => status.record_success(),
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
