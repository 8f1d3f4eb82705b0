//! What daemons tell one another about other daemons: full records of those that have changed, and
//! a digest of the rest.
//!
//! Heartbeats go out several times a second. If each carried the record of every daemon, their
//! bytes would grow with the square of the number of daemons.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::Time;
use crate::members::Member;
use crate::members::Members;

/// Minimum number of daemons of a failure domain for which a summary is shorter than their records.
const MIN_SUMMARIZED_DAEMONS: usize = 4;

/// A daemon that was heard earlier than the median of its failure domain by more than this, half of
/// the heartbeat interval, is sent as a full record. It has missed a heartbeat; a summary, which
/// carries only the earliest time, would make all others seem as old.
const MAX_LAG: Duration = Duration::from_millis(200);

/// Stands in a message for the daemons of one failure domain that have no record in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: String,
    /// Digest of these daemons and their status.
    pub digest: u64,
    /// The earliest of the times at which these daemons were last heard.
    pub heard_at: Time,
}

/// The content of a message about other daemons.
#[derive(Debug, Clone, Default)]
pub struct Gossip {
    /// The daemons that it describes in full.
    pub records: Vec<Member>,
    /// Summaries of the others.
    pub summaries: Vec<DomainSummary>,
}

/// Digests of the daemons as they were sent in the last round of messages, by name of the VM.
#[derive(Debug, Default)]
pub(crate) struct LastRound {
    digests: BTreeMap<String, u64>,
}

impl Members {
    /// The content of a message to a daemon in `domain`. To daemons of its own domain a delegate
    /// passes on what it knows of other domains; to other domains it describes its own.
    pub fn gossip_for(&self, domain: &str, now: Time) -> Gossip {
        let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.gossip_members(domain, now) {
            domains.entry(&member.vm.domain).or_default().push(member);
        }
        let mut gossip = Gossip::default();
        for (domain, members) in domains {
            self.add_domain(domain, &members, &mut gossip);
        }
        gossip
    }

    fn add_domain(&self, domain: &str, members: &[&Member], gossip: &mut Gossip) {
        // The daemon with the newest data is sent in full, since others may fetch its listing.
        let freshness =
            |it: &Member| (it.status.version, it.status.revision, it.status.listing_read_at);
        let freshest = members.iter().max_by_key(|it| freshness(it)).map(|it| it.vm.name.as_str());
        let median = median_heard(members);
        let needs_record = |it: &Member| {
            let lags = it.heard_at.is_none_or(|heard| heard + MAX_LAG < median);
            let unchanged = self.last_round().digests.get(&it.vm.name) == Some(&digest(it));
            lags || !unchanged || Some(it.vm.name.as_str()) == freshest
        };
        let (described, rest): (Vec<&Member>, Vec<&Member>) =
            members.iter().copied().partition(|it| needs_record(it));
        gossip.records.extend(described.into_iter().cloned());
        if rest.len() < MIN_SUMMARIZED_DAEMONS {
            gossip.records.extend(rest.into_iter().cloned());
            return;
        }
        let heard_at = rest.iter().filter_map(|it| it.heard_at).min().unwrap_or_default();
        let digest = rest.iter().fold(0, |sum, it| sum ^ digest(it));
        gossip.summaries.push(DomainSummary { domain: domain.to_owned(), digest, heard_at });
    }

    /// Ends a round of messages with the content of [`Members::gossip_for`]: remembers what was
    /// sent of each daemon.
    pub fn end_round(&mut self, now: Time) {
        let digests = self.live(now).map(|it| (it.vm.name.clone(), digest(it))).collect();
        self.set_last_round(LastRound { digests });
    }

    /// Applies a summary from a message with full records of the daemons `described`. Returns
    /// whether what is known here of the other daemons of the domain matches its digest. If so,
    /// they count as heard; if not, their records must be requested.
    pub fn confirm_summary(
        &mut self,
        summary: &DomainSummary,
        described: &HashSet<String>,
        now: Time,
    ) -> bool {
        let is_summarized =
            |it: &&Member| it.vm.domain == summary.domain && !described.contains(&it.vm.name);
        let known: Vec<&Member> = self.live(now).filter(is_summarized).collect();
        if known.iter().fold(0, |sum, it| sum ^ digest(it)) != summary.digest {
            return false;
        }
        let known: Vec<String> = known.iter().map(|it| it.vm.name.clone()).collect();
        self.mark_heard(&known, summary.heard_at);
        true
    }
}

/// Median of the times at which the daemons were last heard.
fn median_heard(members: &[&Member]) -> Time {
    let mut times: Vec<Time> = members.iter().filter_map(|it| it.heard_at).collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

/// Digest of what callers and other daemons must know of a daemon: its VM, its state and what it
/// knows of the configuration and of evacuations. The revision and time of its listing change with every read of the store and are left
/// out.
fn digest(member: &Member) -> u64 {
    let mut hasher = Xxh3::new();
    let vm = &member.vm;
    let status = &member.status;
    (&vm.name, &vm.domain, vm.front, vm.peer).hash(&mut hasher);
    (status.state as u8, status.version, status.shards).hash(&mut hasher);
    (status.evacuation_revision, status.keys_expired, status.millicores).hash(&mut hasher);
    hasher.finish()
}
