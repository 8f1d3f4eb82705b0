//! The proof that the configuration in force was the newest one at a certain time.
//!
//! An entry that can't reach the store doesn't know which API keys have been withdrawn since. The
//! proof says up to when it knows: each version that the store acknowledged before
//! [`ConfigProof::proven_at`] is the one in force or an earlier one. It is renewed by calls to the
//! store, and by heartbeats of daemons that have a later proof.
//!
//! All times in this module are on the clock that also counts while the VM is suspended. Wall clocks
//! play no part, and times of other machines are only returned to them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Time;

/// How long a proof holds and when it is renewed, as parts of the revocation bound.
#[derive(Debug, Clone, Copy)]
pub struct ConfigProofSettings {
    /// Age of the proof up to which keys are served. The rest of the bound covers clocks that run
    /// at different speeds.
    pub serving_ratio: f64,
    /// Age of the proof from which the first daemon of a failure domain reads the store itself.
    pub read_ratio: f64,
    /// Added to `read_ratio` for each rank in the failure domain. Long enough for the proof of one
    /// daemon to reach the next ones in two heartbeats.
    pub read_stagger: f64,
    /// Maximum of the sum of `read_ratio` and the staggers. What remains until `serving_ratio` is
    /// for the call itself.
    pub max_read_ratio: f64,
    /// Maximum time for which the store may hold a watch, as a part of the bound: the answer proves
    /// nothing about the time after the call.
    pub watch_ratio: f64,
    /// Maximum time for which the store may hold a watch while keys can be revoked strictly.
    pub max_watch: Duration,
    /// Age of the proof that counts as fresh if there is no revocation bound.
    pub default_bound: Duration,
    /// Age of the proof up to which a key that the configuration in force lacks is certainly
    /// unknown, if the configuration has not changed within `spread_time` either. Two watches and
    /// two heartbeats take less.
    pub max_unknown_age: Duration,
    /// Time that a new version usually takes from the store to all entries.
    pub spread_time: Duration,
    /// How long a request with an unknown key waits for a proof from the store.
    pub max_confirmation: Duration,
    /// Minimum interval between calls to the store that such requests cause.
    pub confirmation_interval: Duration,
    /// How long keys are served after an answer of a store that may not have got back what it has
    /// lost. Longer than `max_watch`, so that an entry which the store answers goes on.
    pub rewrite_hold: Duration,
}

impl Default for ConfigProofSettings {
    fn default() -> Self {
        ConfigProofSettings {
            serving_ratio: 0.9,
            read_ratio: 0.5,
            read_stagger: 0.1,
            max_read_ratio: 0.8,
            watch_ratio: 0.2,
            max_watch: Duration::from_secs(1),
            default_bound: Duration::from_secs(5),
            max_unknown_age: Duration::from_secs(3),
            spread_time: Duration::from_millis(300),
            max_confirmation: Duration::from_millis(700),
            confirmation_interval: Duration::from_secs(1),
            rewrite_hold: Duration::from_millis(1500),
        }
    }
}

/// What a heartbeat to one daemon says of the proof of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProofReport {
    /// Time of the sender, in a form that only the sender can read. 0 if it is not stated.
    pub sent_at: u64,
    /// The value of `sent_at` in the newest heartbeat of the receiver that has reached the sender;
    /// 0 if there was none.
    pub echo: u64,
    /// Age of the sender's proof in milliseconds, rounded up; `None` if it has none.
    pub config_age_ms: Option<u32>,
}

/// The proof that one daemon has, and what it needs to exchange proofs with others.
#[derive(Debug)]
pub struct ConfigProof {
    settings: ConfigProofSettings,
    /// Added to the times in heartbeats, so that an echo of an earlier process on this VM is
    /// noticed: the clock may have been reset in between.
    offset: u64,
    started_at: Time,
    proven_at: Option<Time>,
    /// The last `sent_at` of each other daemon, by name of the VM.
    received: BTreeMap<String, u64>,
    /// When a proof of a later time was last asked for.
    asked_at: Option<Time>,
    /// When the store was last called because of that.
    confirmed_at: Option<Time>,
}

impl ConfigProof {
    /// Creates the state of a process that starts at `now` and has no proof. `offset` is random.
    pub fn new(settings: ConfigProofSettings, offset: u64, now: Time) -> ConfigProof {
        ConfigProof {
            settings,
            offset,
            started_at: now,
            proven_at: None,
            received: BTreeMap::new(),
            asked_at: None,
            confirmed_at: None,
        }
    }

    /// Each version that was acknowledged before this time is in force here, or an earlier one.
    /// `None` without a proof.
    pub fn proven_at(&self) -> Option<Time> {
        self.proven_at
    }

    /// Age of the proof.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// Records an answer of the store to a call that was made at `called_at`. The configuration that
    /// it returned, if any, must be in force. Returns whether the proof is later than before.
    pub fn renew_from_store(&mut self, called_at: Time) -> bool {
        self.renew(called_at)
    }

    /// As [`ConfigProof::renew_from_store`], if the store has come back from an older copy and may lack
    /// a version that it has acknowledged. The proof is so old that keys are served for
    /// [`ConfigProofSettings::rewrite_hold`] only: an entry that is cut off then can't learn of a
    /// withdrawn key that is written again.
    pub fn renew_from_older_copy(&mut self, called_at: Time, bound: Option<Duration>) -> bool {
        let bound = bound.unwrap_or(self.settings.default_bound);
        let serving = bound.mul_f64(self.settings.serving_ratio);
        let age = serving.saturating_sub(self.settings.rewrite_hold);
        called_at.checked_sub(age).is_some_and(|at| self.renew(at))
    }

    /// Records a heartbeat of another daemon that had `their_version` in force, while this one has
    /// `own_version`. Returns whether the proof is later than before.
    ///
    /// The other daemon received the echo at the echoed time or later, and sent its heartbeat after
    /// that. So its proof can't be older than the echoed time minus the stated age, however long
    /// the heartbeat was under way. It also proves any later version to be the newest at that time.
    pub fn renew_from_peer(
        &mut self,
        report: &ProofReport,
        their_version: u64,
        own_version: u64,
        now: Time,
    ) -> bool {
        let Some(age) = report.config_age_ms else { return false };
        if their_version == 0 || their_version > own_version {
            return false;
        }
        let Some(echoed_at) = self.decode(report.echo, now) else { return false };
        let proven_at = echoed_at.checked_sub(Duration::from_millis(u64::from(age)));
        proven_at.is_some_and(|at| self.renew(at))
    }

    fn renew(&mut self, proven_at: Time) -> bool {
        let is_later = self.proven_at < Some(proven_at);
        self.proven_at = self.proven_at.max(Some(proven_at));
        is_later
    }

    /// The time `now` in the form of `sent_at`.
    fn encode(&self, now: Time) -> u64 {
        self.offset.wrapping_add(now.as_micros() as u64)
    }

    /// The time that an echo stands for; `None` if this process didn't send it.
    fn decode(&self, echo: u64, now: Time) -> Option<Time> {
        let at = Duration::from_micros(echo.wrapping_sub(self.offset));
        (echo != 0 && self.started_at <= at + Duration::from_micros(1) && at <= now).then_some(at)
    }

    /// Records the `sent_at` of a heartbeat of the daemon `name`, to be echoed.
    pub fn observe_sent_at(&mut self, name: &str, sent_at: u64) {
        match self.received.get_mut(name) {
            _ if sent_at == 0 => {}
            Some(last) => *last = sent_at,
            None => {
                self.received.insert(name.to_owned(), sent_at);
            }
        }
    }

    /// Forgets daemons that are no longer sent heartbeats.
    pub fn retain_peers<F>(&mut self, is_known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.received.retain(|name, _| is_known(name));
    }

    /// What a heartbeat to the daemon `name` says. The version that is stated with it must be
    /// looked up after this call, so that the proof isn't that of a later version.
    pub fn report_for(&self, name: &str, now: Time) -> ProofReport {
        let age_ms = |age: Duration| u32::try_from(age.as_micros().div_ceil(1000)).ok();
        ProofReport {
            sent_at: self.encode(now),
            echo: self.received.get(name).copied().unwrap_or(0),
            config_age_ms: self.age(now).and_then(age_ms),
        }
    }

    /// Whether the proof is recent enough to serve keys that may be withdrawn within `bound`;
    /// without a bound, recent enough for decisions that need a current configuration.
    pub fn is_fresh(&self, bound: Option<Duration>, now: Time) -> bool {
        let bound = bound.unwrap_or(self.settings.default_bound);
        self.age(now).is_some_and(|age| age <= bound.mul_f64(self.settings.serving_ratio))
    }

    /// Whether a daemon with this rank in its failure domain must read the store itself to keep its
    /// proof fresh.
    pub fn needs_read(&self, bound: Duration, rank: usize, now: Time) -> bool {
        let ConfigProofSettings { read_ratio, read_stagger, max_read_ratio, .. } = self.settings;
        let ratio = (read_ratio + read_stagger * rank as f64).min(max_read_ratio);
        self.age(now).is_none_or(|age| age >= bound.mul_f64(ratio))
    }

    /// Maximum time for which the store may hold a watch, if `bound` applies.
    pub fn max_watch(&self, bound: Duration) -> Duration {
        self.settings.max_watch.min(bound.mul_f64(self.settings.watch_ratio))
    }

    /// Whether a key that the configuration lacks was unknown when a request with it arrived at
    /// `arrived_at`, `now` being at least [`ConfigProofSettings::spread_time`] later. `bound` is as
    /// in [`ConfigProof::is_fresh`].
    pub fn excludes_key(&self, arrived_at: Time, bound: Option<Duration>, now: Time) -> bool {
        let is_recent = self.age(now).is_some_and(|age| age <= self.settings.max_unknown_age);
        self.proven_at.is_some_and(|at| at >= arrived_at)
            || (is_recent && self.is_fresh(bound, now))
    }

    /// Asks for a proof of a time after `now`. Returns whether the store may be called for that at
    /// once.
    pub fn ask(&mut self, now: Time) -> bool {
        self.asked_at = self.asked_at.max(Some(now));
        self.is_asked(now)
    }

    /// Whether the store is to be called because a later proof has been asked for.
    pub fn is_asked(&self, now: Time) -> bool {
        let ConfigProofSettings { max_confirmation, confirmation_interval, .. } = self.settings;
        self.asked_at.is_some_and(|at| self.proven_at < Some(at) && now <= at + max_confirmation)
            && self.confirmed_at.is_none_or(|last| last + confirmation_interval <= now)
    }

    /// Records that the store is called at `now` because a later proof has been asked for.
    pub fn record_call(&mut self, now: Time) {
        self.confirmed_at = Some(now);
    }
}
