//! Decides whether a daemon reads the store itself or fetches what another daemon has read.
//!
//! In each failure domain the first daemon reads the store; the others take over one after the
//! other if its listings stop coming.

use std::time::Duration;

use crate::Time;
use crate::members::Member;
use crate::members::MemberStatus;
use crate::members::Members;
use crate::store_revision::StoreRevision;

/// When a daemon reads the store.
#[derive(Debug, Clone, Copy)]
pub struct ListingSettings {
    /// Time between two reads by the first daemon of a failure domain.
    pub read_interval: Duration,
    /// Age of the newest listing from which the second daemon of the domain reads too.
    pub takeover_age: Duration,
    /// Added to `takeover_age` for each further daemon of the domain, so that not all read at once.
    pub takeover_stagger: Duration,
    /// Age of the own listing from which one is fetched from another failure domain.
    pub remote_fetch_age: Duration,
    /// Time in which the daemons of a tier that starts for the first time find one another.
    pub discovery_period: Duration,
    /// Maximum time after such a start for which a daemon leaves the first reads to another one of
    /// its failure domain.
    pub first_read_wait: Duration,
    /// Time after the start in which a daemon takes nothing from one whose listing is old: it may
    /// be cut off from the store, which answers a first read within this time.
    pub own_read_period: Duration,
    /// Delay after a failed call to the store.
    pub retry_delay: Duration,
    /// Maximum of that delay for daemons that only take over; it doubles with each failure in a
    /// row.
    pub max_retry_delay: Duration,
}

impl Default for ListingSettings {
    fn default() -> Self {
        ListingSettings {
            read_interval: Duration::from_millis(900),
            takeover_age: Duration::from_millis(1500),
            takeover_stagger: Duration::from_millis(150),
            remote_fetch_age: Duration::from_millis(2500),
            discovery_period: Duration::from_millis(1200),
            first_read_wait: Duration::from_secs(4),
            own_read_period: Duration::from_secs(1),
            retry_delay: Duration::from_millis(250),
            max_retry_delay: Duration::from_secs(2),
        }
    }
}

/// Whether a daemon reads the store now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadDecision {
    /// Its listing is recent enough, or it is the turn of another daemon.
    Wait,
    /// It reads the store now.
    Read,
}

/// Decides whether a daemon whose newest listing was read at `read_at` reads the store now.
pub fn read_decision(
    members: &Members,
    settings: &ListingSettings,
    read_at: Option<Time>,
    now: Time,
) -> ReadDecision {
    let Some(read_at) = read_at else { return ReadDecision::Read };
    let rank = members.rank_in_domain(now);
    let age = now.saturating_sub(read_at);
    let limit = match rank {
        0 => settings.read_interval,
        // A few steps are enough to limit how many daemons read at once; later ranks share the
        // last step.
        rank => settings.takeover_age + settings.takeover_stagger * (rank.min(6) as u32 - 1),
    };
    if age >= limit { ReadDecision::Read } else { ReadDecision::Wait }
}

/// Whether a daemon that knows nothing yet leaves the first reads of the store to another one. Only
/// in a tier that starts for the first time, where no daemon has an old listing: otherwise callers
/// are waiting.
pub fn leaves_first_reads(
    members: &Members,
    settings: &ListingSettings,
    first_start: bool,
    now: Time,
) -> bool {
    let is_outdated = |member: &Member| {
        member.status.listing_read_at.is_some_and(|read_at| is_old(read_at, settings, now))
    };
    first_start
        && now < settings.first_read_wait
        && (now < settings.discovery_period || members.live_rank_in_domain(now) > 0)
        && !members.live(now).any(is_outdated)
}

/// Whether a listing is so old that the daemon that holds it may be cut off from the store. Times
/// before the start of this daemon are not known: they all are zero.
fn is_old(read_at: Time, settings: &ListingSettings, now: Time) -> bool {
    read_at == Time::ZERO || read_at + settings.takeover_age < now
}

/// Number of daemons of a failure domain that try again at short intervals while the store fails.
/// The others follow at longer ones: the store may serve them and refuse these.
const FREQUENT_RETRIERS: usize = 2;

/// The delay after `failures` failed calls in a row, at least one, of a daemon with this rank in its
/// failure domain.
pub fn store_retry_delay(settings: &ListingSettings, rank: usize, failures: u32) -> Duration {
    if rank < FREQUENT_RETRIERS {
        return settings.retry_delay;
    }
    let doublings = failures.saturating_sub(1).min(8);
    (settings.retry_delay * 2_u32.pow(doublings)).min(settings.max_retry_delay)
}

/// What a daemon does about the newer data of another one.
#[derive(Debug, Clone, PartialEq)]
pub enum SyncAction {
    /// Nothing.
    None,
    /// Its own listing was still valid at this later revision and time of the other daemon's read.
    Confirm(StoreRevision, Time),
    /// Fetches a newer listing or configuration from the other daemon.
    Fetch,
}

/// Compares the status of `member` with `own`, the status of this daemon in `domain`. From another
/// failure domain a listing is fetched only if the own one is old, and a configuration only if
/// there is none yet or with `config_overdue`: the newer version has not arrived otherwise for some
/// time. The evacuated domains are fetched as a configuration is.
pub fn sync_action(
    member: &Member,
    domain: &str,
    own: &MemberStatus,
    settings: &ListingSettings,
    config_overdue: bool,
    now: Time,
) -> SyncAction {
    let same_domain = member.vm.domain == domain;
    let theirs = &member.status;
    // Heartbeats alone do not advance the revision; the time of the read then decides.
    let later = (theirs.revision, theirs.listing_read_at) > (own.revision, own.listing_read_at);
    let old = own.listing_read_at.is_none_or(|read_at| read_at + settings.remote_fetch_age < now);
    let incomplete = own.listing_read_at.is_none() || own.version == 0;
    let starting = incomplete && now < settings.own_read_period;
    if starting && theirs.listing_read_at.is_none_or(|read_at| is_old(read_at, settings, now)) {
        return SyncAction::None;
    }
    if theirs.version > own.version && (same_domain || config_overdue || own.version == 0) {
        return SyncAction::Fetch;
    }
    let (known, told) = (own.evacuation_revision, theirs.evacuation_revision);
    if told > known && (same_domain || config_overdue || !known.is_known()) {
        return SyncAction::Fetch;
    }
    match theirs.listing_read_at {
        Some(read_at) if later && theirs.digest == own.digest => {
            SyncAction::Confirm(theirs.revision, read_at)
        }
        Some(_) if later && (same_domain || old) => SyncAction::Fetch,
        _ => SyncAction::None,
    }
}
