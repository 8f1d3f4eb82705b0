//! Regions that requests must not leave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The regions whose searchers may run a request, and to whose daemons its body may be sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RegionRule {
    /// `None` if any region may.
    allowed: Option<BTreeSet<String>>,
}

impl RegionRule {
    /// The rule of a request by the regions of its route and of its organisation. A list without
    /// regions allows any; if both have some, only those in both are allowed.
    pub fn new(route: &[String], organisation: &[String]) -> RegionRule {
        RegionRule::of_lists([route, organisation])
    }

    /// The rule that follows from several lists together.
    pub(crate) fn of_lists<'a, I>(lists: I) -> RegionRule
    where
        I: IntoIterator<Item = &'a [String]>,
    {
        let sets = lists.into_iter().filter(|list| !list.is_empty());
        let sets = sets.map(|list| list.iter().cloned().collect::<BTreeSet<String>>());
        RegionRule { allowed: sets.reduce(|all, next| &all & &next) }
    }

    /// The rule that allows only these regions.
    pub fn only(regions: &[String]) -> RegionRule {
        RegionRule { allowed: Some(regions.iter().cloned().collect()) }
    }

    /// Whether any region is allowed.
    pub fn allows_all(&self) -> bool {
        self.allowed.is_none()
    }

    /// Whether a region is allowed.
    pub fn allows(&self, region: &str) -> bool {
        self.allowed.as_ref().is_none_or(|allowed| allowed.contains(region))
    }

    /// The allowed regions; empty if any is allowed.
    pub fn regions(&self) -> Vec<String> {
        self.allowed.iter().flatten().cloned().collect()
    }

    /// The failure domains in allowed regions, by the region of each domain; `None` if any domain is
    /// allowed. A domain whose region is not known is not allowed.
    pub fn domains(&self, regions: &BTreeMap<String, String>) -> Option<BTreeSet<String>> {
        let allowed = self.allowed.as_ref()?;
        let domains = regions.iter().filter(|(_, region)| allowed.contains(*region));
        Some(domains.map(|(domain, _)| domain.clone()).collect())
    }
}
