//! The proof of an entry that its configuration is the newest one, and what depends on it.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::entry::Entry;
use crate::metrics;
use crate::sync::lock;
use tt_serve::ProofReport;
use tt_serve::Time;

impl Entry {
    /// The time on the clock of the proof, which also counts while the VM is suspended.
    pub(crate) fn proof_time(&self) -> Time {
        let boot_time = self.clock.boot_time();
        // The kernel doesn't tell it, not even once.
        if boot_time.is_zero() { self.now() } else { boot_time }
    }

    /// Whether the configuration in force requires API keys.
    pub(crate) fn requires_keys(&self) -> bool {
        self.active_config().is_some_and(|config| config.table.keys.is_some())
    }

    /// Time after which no request with a withdrawn key may run; `None` if that is not bounded or
    /// there are no keys.
    pub(crate) fn revocation(&self) -> Option<Duration> {
        self.revocation_bound().filter(|_| self.requires_keys())
    }

    /// Whether the configuration in force was the newest one shortly ago, as far as the store or
    /// other entries have shown. To be asked before the configuration is looked at.
    pub(crate) fn config_is_proven(&self) -> bool {
        let bound = self.revocation_bound();
        lock(&self.config_proof).is_fresh(bound, self.proof_time())
    }

    /// Whether requests with keys must be refused, since a key may have been withdrawn without the
    /// knowledge of this entry. To be asked before the configuration is looked at.
    pub(crate) fn keys_expired(&self) -> bool {
        self.revocation().is_some() && !self.config_is_proven()
    }

    /// Whether another entry that accepts callers serves keys.
    pub(crate) fn peer_serves_keys(&self) -> bool {
        let members = lock(&self.members);
        members.open_members(self.now()).any(|member| !member.status.keys_expired)
    }

    /// Age of the proof; `None` if there is none.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        lock(&self.config_proof).age(self.proof_time())
    }

    /// Age of the proof in milliseconds, for the log.
    pub(crate) fn proof_age_text(&self) -> String {
        self.proof_age().map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
    }

    /// Records an answer of the store to a call that was made at `called_at`, on the clock of
    /// [`Entry::proof_time`]. What it returned must be in force.
    pub(crate) fn prove_from_store(&self, called_at: Time) {
        let is_rewriting = lock(&self.outage).is_rewriting(self.now());
        let bound = self.revocation_bound();
        let mut proof = lock(&self.config_proof);
        let renewed = match is_rewriting {
            true => proof.renew_from_older_copy(called_at, bound),
            false => proof.renew_from_store(called_at),
        };
        drop(proof);
        if renewed {
            self.announce_proof("store");
        }
    }

    /// Applies what a heartbeat of the entry on the VM `name` with the configuration `version` says.
    pub(crate) fn prove_from_peer(&self, name: &str, version: u64, report: &ProofReport) {
        let now = self.proof_time();
        let own_version = self.config_version();
        let mut proof = lock(&self.config_proof);
        proof.observe_sent_at(name, report.sent_at);
        let renewed = proof.renew_from_peer(report, version, own_version, now);
        drop(proof);
        if renewed {
            self.announce_proof("peer");
        }
    }

    fn announce_proof(&self, source: &'static str) {
        metrics::count_proof(source);
        self.proof_renewed.send_replace(());
        self.observe_keys();
    }

    /// What a heartbeat to the entry on the VM `name` says of the proof; nothing if no keys are
    /// required. The own status must be looked up after this call.
    pub(crate) fn proof_report(&self, name: &str) -> ProofReport {
        if !self.requires_keys() {
            return ProofReport::default();
        }
        lock(&self.config_proof).report_for(name, self.proof_time())
    }

    /// Forgets what was received from entries that are no longer known.
    pub(crate) fn forget_proofs(&self) {
        let members = lock(&self.members);
        lock(&self.config_proof).retain_peers(|name| members.knows(name));
    }

    /// Notices and logs that keys are no longer served, or served again. Returns whether that has
    /// changed. To be called at short intervals.
    pub(crate) fn observe_keys(&self) -> bool {
        let is_expired = self.keys_expired();
        let mut last = lock(&self.keys_were_expired);
        if *last == is_expired {
            return false;
        }
        *last = is_expired;
        drop(last);
        let age_ms = self.proof_age_text();
        let version = self.config_version();
        if is_expired {
            log::warn!("keys: state=expired proof_age_ms={age_ms} version={version}");
        } else {
            log::info!("keys: state=served proof_age_ms={age_ms} version={version}");
        }
        true
    }

    /// Whether this entry must call the store to keep its proof fresh, or because of a request with
    /// an unknown key.
    pub(crate) fn needs_proof(&self, rank: usize) -> bool {
        if !self.requires_keys() {
            return false;
        }
        let now = self.proof_time();
        let proof = lock(&self.config_proof);
        let bound = self.revocation_bound();
        bound.is_some_and(|bound| proof.needs_read(bound, rank, now)) || proof.is_asked(now)
    }

    /// Whether the store is to be asked at once because of a request with an unknown key. If so, the
    /// call is recorded.
    pub(crate) fn take_confirmation(&self) -> bool {
        let now = self.proof_time();
        let mut proof = lock(&self.config_proof);
        let is_asked = proof.is_asked(now);
        if is_asked {
            proof.record_call(now);
        }
        is_asked
    }

    /// Maximum time for which the store may hold a watch of the configuration.
    pub(crate) fn config_watch_wait(&self) -> Duration {
        let usual = self.settings.watch_timeout;
        let max_watch = |bound| lock(&self.config_proof).max_watch(bound);
        self.revocation().map_or(usual, |bound| usual.min(max_watch(bound)))
    }

    /// Waits until a key that was not known when a request arrived at `arrived_at`, on the clock of
    /// [`Entry::proof_time`], is certainly unknown if the configuration still lacks it. Returns
    /// early with a new version of the configuration, and waits for at most half of `time_left`.
    /// Returns whether that is certain.
    pub(crate) async fn confirm_unknown_key(
        &self,
        arrived_at: Time,
        version: u64,
        time_left: Option<Duration>,
    ) -> bool {
        let settings = &self.settings.config_proof;
        let mut renewed = self.proof_renewed.subscribe();
        let max_wait = settings.spread_time + settings.max_confirmation;
        let max_wait = time_left.map_or(max_wait, |left| max_wait.min(left / 2));
        let start = Instant::now();
        let is_settled = || {
            lock(&self.config_proof).proven_at() >= Some(arrived_at)
                || self.config_version() != version
        };
        // New versions come with a proof, or shortly before one.
        let spread_end = start + settings.spread_time.min(max_wait);
        while !is_settled() && timeout_at(spread_end, renewed.changed()).await.is_ok() {}
        let bound = self.revocation_bound();
        let is_certain =
            || lock(&self.config_proof).excludes_key(arrived_at, bound, self.proof_time());
        if self.config_version() != version || is_certain() {
            return true;
        }
        if lock(&self.config_proof).ask(self.proof_time()) {
            self.confirmation_asked.notify_one();
        }
        let end = start + max_wait;
        while !is_settled() && timeout_at(end, renewed.changed()).await.is_ok() {}
        self.config_version() != version || is_certain()
    }
}
