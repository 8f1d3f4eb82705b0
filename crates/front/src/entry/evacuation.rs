//! The failure domains that operators have evacuated, and those that a request may go to.

use std::collections::BTreeSet;

use super::Entry;
use crate::sync::lock;
use crate::sync::read;
use tt_serve::EvacuatedDomains;
use tt_serve::EvacuationDiff;
use tt_serve::EvacuationUpdate;
use tt_serve::Evacuations;
use tt_serve::RegionRule;
use tt_serve::StoreRevision;

impl Entry {
    /// Whether operators may evacuate failure domains of this deployment.
    pub(crate) fn evacuates(&self) -> bool {
        read(&self.boot).bounds.evacuation.is_some()
    }

    /// The failure domains whose searchers may run requests with this rule; `None` if any may.
    pub(crate) fn allowed_domains(&self, rule: &RegionRule) -> Option<BTreeSet<String>> {
        rule.domains(&read(&self.boot).regions)
    }

    /// Store revision of the evacuated failure domains that are known, if any are.
    pub(crate) fn evacuation_revision(&self) -> StoreRevision {
        lock(&self.evacuations).newest().revision
    }

    /// The evacuated failure domains as the store holds them, as far as they are known.
    pub(crate) fn evacuations(&self) -> EvacuatedDomains {
        lock(&self.evacuations).newest().clone()
    }

    /// Names of the failure domains that count as evacuated.
    pub(crate) fn evacuated_domains(&self) -> BTreeSet<String> {
        lock(&self.evacuations).domains()
    }

    /// Applies what the store or a peer tells of evacuated failure domains. `source` is for the log.
    pub(crate) fn adopt_evacuations(&self, update: EvacuationUpdate, source: &str) {
        if !self.evacuates() {
            return;
        }
        let mut evacuations = lock(&self.evacuations);
        let diff = evacuations.adopt(update, self.now());
        if let Some(diff) = diff {
            self.apply_evacuations(&evacuations, diff, source);
        }
    }

    /// Ends evacuations that the store has lost and that have not been written again. To be called
    /// at short intervals.
    pub(crate) fn observe_evacuations(&self) {
        let mut evacuations = lock(&self.evacuations);
        let diff = evacuations.end_unconfirmed(self.now());
        if let Some(diff) = diff {
            self.apply_evacuations(&evacuations, diff, "older_copy");
        }
    }

    fn apply_evacuations(&self, evacuations: &Evacuations, diff: EvacuationDiff, source: &str) {
        lock(&self.fleet).set_evacuated(&evacuations.domains(), self.now());
        let EvacuationDiff { revision, is_first, started, ended } = diff;
        if is_first {
            let count = started.len();
            log::info!(
                "evacuation: state=known domains={count} revision={revision} source={source}"
            );
        }
        for domain in started {
            log::warn!(
                "evacuation: domain={domain} state=started revision={revision} source={source}"
            );
        }
        for domain in ended {
            log::warn!(
                "evacuation: domain={domain} state=ended revision={revision} source={source}"
            );
        }
    }
}
