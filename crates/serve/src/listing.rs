//! Whether a daemon reads the store itself or follows another one.

use std::time::Duration;

use crate::Time;
use crate::members::Member;
use crate::members::MemberStatus;
use crate::members::Members;

/// When a daemon reads for itself.
#[derive(Debug, Clone, Copy)]
pub struct ListingSettings {
    /// Time between two reads of the first daemon of a failure domain.
    pub read_interval: Duration,
    /// Age of the newest listing from which another daemon of the domain reads too.
    pub takeover_age: Duration,
    /// Further age for each daemon that comes before it, so that not all read at once.
    pub takeover_stagger: Duration,
    /// Age of a listing from which one of another failure domain is taken.
    pub remote_fetch_age: Duration,
}

impl Default for ListingSettings {
    fn default() -> Self {
        ListingSettings {
            read_interval: Duration::from_millis(900),
            takeover_age: Duration::from_millis(1500),
            takeover_stagger: Duration::from_millis(150),
            remote_fetch_age: Duration::from_millis(2500),
        }
    }
}

/// What a daemon does about the searchers and the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadDecision {
    /// It knows what there is to know.
    Wait,
    /// It reads the store.
    Read,
}

/// Whether a daemon whose newest listing was read at `listed` reads the store now.
pub fn read_decision(
    members: &Members,
    settings: &ListingSettings,
    listed: Option<Time>,
    now: Time,
) -> ReadDecision {
    let Some(listed) = listed else { return ReadDecision::Read };
    let rank = members.rank(now);
    let age = now.saturating_sub(listed);
    let limit = match rank {
        0 => settings.read_interval,
        // A few steps are enough: at most these many read at once.
        rank => settings.takeover_age + settings.takeover_stagger * (rank.min(6) as u32 - 1),
    };
    if age >= limit { ReadDecision::Read } else { ReadDecision::Wait }
}

/// What another daemon knows that this one does not.
#[derive(Debug, Clone, PartialEq)]
pub enum SyncAction {
    /// Nothing.
    None,
    /// The same searchers, read at this later revision and time.
    Confirm(u64, Time),
    /// A later listing or configuration, to be fetched from it.
    Fetch,
}

/// Compares what `member` knows with `own`. One of another failure domain is asked only if the
/// own listing is old, or with `late` if its configuration has not come otherwise.
pub fn sync_action(
    member: &Member,
    domain: &str,
    own: &MemberStatus,
    settings: &ListingSettings,
    late: bool,
    now: Time,
) -> SyncAction {
    let here = member.vm.domain == domain;
    let theirs = &member.status;
    // The revision stays while nothing but heartbeats is written.
    let later = (theirs.revision, theirs.listing_read_at) > (own.revision, own.listing_read_at);
    let old = own.listing_read_at.is_none_or(|listed| listed + settings.remote_fetch_age < now);
    if theirs.version > own.version && (here || late || own.version == 0) {
        return SyncAction::Fetch;
    }
    match theirs.listing_read_at {
        Some(listed) if later && theirs.digest == own.digest => {
            SyncAction::Confirm(theirs.revision, listed)
        }
        Some(_) if later && (here || old) => SyncAction::Fetch,
        _ => SyncAction::None,
    }
}
