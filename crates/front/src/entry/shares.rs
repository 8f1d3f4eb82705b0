//! The parts that this daemon has of limits of the whole tier.

use super::Entry;
use crate::metrics;
use crate::sync::lock;
use crate::sync::read;
use tt_serve::EntryShare;
use tt_serve::PoolKey;
use tt_serve::RetryBudgetSettings;
use tt_serve::TierSize;
use tt_serve::Time;

impl Entry {
    /// Returns the size of the tier by which shared limits are divided.
    pub(crate) fn tier_size(&self) -> TierSize {
        lock(&self.members).tier_size(self.now())
    }

    /// Returns the part of this daemon of the limits of the tier.
    pub(crate) fn share(&self) -> EntryShare {
        let millicores = read(&self.boot).resources.millicores;
        lock(&self.members).entry_share(millicores, self.now())
    }

    /// Divides the limits of searchers among the daemons that are known now.
    pub(crate) fn update_tier(&self) {
        let now = self.now();
        let tier = lock(&self.members).tier(now);
        let share = self.share();
        lock(&self.fleet).set_tier(tier, now);
        self.log_share(share);
    }

    /// Logs changes of how the work is divided among uneven entries.
    fn log_share(&self, share: EntryShare) {
        let logged = lock(&self.logged_share).replace(share);
        let is_new = |before: EntryShare| {
            (before.capacity, before.role, before.primaries)
                != (share.capacity, share.role, share.primaries)
        };
        if logged.is_some_and(is_new) {
            let EntryShare { capacity, role, primaries, .. } = share;
            log::info!("member: capacity={capacity:?} role={role:?} primaries={primaries}");
        }
    }

    /// Counts one request in the retry budget of each pool.
    pub(crate) fn count_requests(&self, pools: &[PoolKey]) {
        let settings = self.retry_budget_settings();
        let now = self.now();
        let mut budgets = lock(&self.retry_budgets);
        for pool in pools {
            budgets.entry(*pool).or_default().count_request(&settings, now);
        }
    }

    /// Takes one extra attempt (a hedge or retry) from this daemon's part of the retry budget of
    /// `pool`. Returns whether the budget allows it.
    pub(crate) fn try_take_extra_attempt(&self, pool: PoolKey) -> bool {
        let settings = self.retry_budget_settings();
        let divisor = self.share().limit_divisor();
        let mut budgets = lock(&self.retry_budgets);
        let granted = budgets.entry(pool).or_default().try_take(&settings, divisor, self.now());
        if !granted {
            metrics::count_budget_refused();
        }
        granted
    }

    fn retry_budget_settings(&self) -> RetryBudgetSettings {
        let boot = read(&self.boot);
        let window = boot.bounds.retry_window;
        RetryBudgetSettings {
            extra_ratio: boot.bounds.retry_ratio,
            shared_extras: boot.bounds.retry_extra,
            window,
            shared_from: if boot.first_start { Time::ZERO } else { window },
        }
    }
}
