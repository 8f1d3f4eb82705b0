//! What daemons tell one another of others: in full what has changed, the rest as a digest.
//!
//! Heartbeats go out several times a second. With the record of every daemon in each of them,
//! their bytes would grow with the square of the number of daemons.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::Time;
use crate::members::Member;
use crate::members::Members;

/// Fewest daemons of a failure domain for which a digest is shorter than their records.
const FEWEST_IN_DIGEST: usize = 4;

/// A daemon is told of by itself if the others of its failure domain have usually been heard this
/// much later: a heartbeat of it is missing, and a digest would make the others seem as old. Half of
/// the time between two heartbeats.
const SPREAD: Duration = Duration::from_millis(200);

/// What a message says of the daemons of one failure domain that it does not name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// The failure domain.
    pub domain: String,
    /// Identifies these daemons and what they say.
    pub digest: u64,
    /// When all of them had been heard.
    pub heard: Time,
}

/// What a message says of other daemons.
#[derive(Debug, Clone, Default)]
pub struct Gossip {
    /// Those that it names.
    pub records: Vec<Member>,
    /// The others.
    pub summaries: Vec<DomainSummary>,
}

/// What has been told of each daemon in the last round of messages.
#[derive(Debug, Default)]
pub(crate) struct LastRound {
    digests: BTreeMap<String, u64>,
}

impl Members {
    /// What a message to a daemon in `domain` says: in this domain a delegate passes on what it
    /// has heard from elsewhere, and elsewhere it speaks for its domain.
    pub fn gossip_for(&self, domain: &str, now: Time) -> Gossip {
        let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.gossip_members(domain, now) {
            domains.entry(&member.vm.domain).or_default().push(member);
        }
        let mut told = Gossip::default();
        for (domain, members) in domains {
            self.tell_domain(domain, &members, &mut told);
        }
        told
    }

    fn tell_domain(&self, domain: &str, members: &[&Member], told: &mut Gossip) {
        // The one that knows most is named, since its listing may be needed.
        let knows =
            |it: &Member| (it.status.version, it.status.revision, it.status.listing_read_at);
        let best = members.iter().max_by_key(|it| knows(it)).map(|it| it.vm.name.as_str());
        let usual = median(members);
        let is_named = |it: &Member| {
            let old = it.heard_at.is_none_or(|heard| heard + SPREAD < usual);
            let unchanged = self.last_round().digests.get(&it.vm.name) == Some(&digest(it));
            old || !unchanged || Some(it.vm.name.as_str()) == best
        };
        let (named, rest): (Vec<&Member>, Vec<&Member>) =
            members.iter().copied().partition(|it| is_named(it));
        told.records.extend(named.into_iter().cloned());
        if rest.len() < FEWEST_IN_DIGEST {
            told.records.extend(rest.into_iter().cloned());
            return;
        }
        let heard = rest.iter().filter_map(|it| it.heard_at).min().unwrap_or_default();
        let digest = rest.iter().fold(0, |sum, it| sum ^ digest(it));
        told.summaries.push(DomainSummary { domain: domain.to_owned(), digest, heard });
    }

    /// Ends a round of messages, each of which had what [`Members::gossip_for`] says.
    pub fn end_round(&mut self, now: Time) {
        let digests = self.live(now).map(|it| (it.vm.name.clone(), digest(it))).collect();
        self.set_last_round(LastRound { digests });
    }

    /// Takes a summary from a message that names `named`. Returns whether the daemons that it
    /// stands for are known as they are; if not, their records are needed.
    pub fn confirm(&mut self, summary: &DomainSummary, named: &HashSet<String>, now: Time) -> bool {
        let stands_for =
            |it: &&Member| it.vm.domain == summary.domain && !named.contains(&it.vm.name);
        let known: Vec<&Member> = self.live(now).filter(stands_for).collect();
        if known.iter().fold(0, |sum, it| sum ^ digest(it)) != summary.digest {
            return false;
        }
        let known: Vec<String> = known.iter().map(|it| it.vm.name.clone()).collect();
        self.touch(&known, summary.heard);
        true
    }
}

/// When a daemon has usually been heard.
fn median(members: &[&Member]) -> Time {
    let mut heard: Vec<Time> = members.iter().filter_map(|it| it.heard_at).collect();
    heard.sort_unstable();
    heard.get(heard.len() / 2).copied().unwrap_or_default()
}

/// Identifies a daemon and what callers and other daemons must know of it. What it has read at the
/// store changes all the time and is left out.
fn digest(member: &Member) -> u64 {
    let mut hasher = Xxh3::new();
    let vm = &member.vm;
    let status = &member.status;
    (&vm.name, &vm.domain, vm.front, vm.peer).hash(&mut hasher);
    (status.state as u8, status.version).hash(&mut hasher);
    hasher.finish()
}
