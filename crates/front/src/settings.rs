//! Settings of the daemon itself, with their defaults.

use std::time::Duration;

use tt_serve::FleetSettings;
use tt_serve::LatencyEstimateSettings;
use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::RegistrySettings;
use tt_serve::RetryAfterSettings;

/// Settings of the daemon itself.
#[derive(Debug, Clone, Copy)]
pub struct FrontSettings {
    /// Port at which metrics are served; none are kept without it.
    pub metrics_port: Option<u16>,
    /// How searchers are compared.
    pub fleet: FleetSettings,
    /// How absent searchers are treated.
    pub registry: RegistrySettings,
    /// When another daemon counts as there.
    pub members: MemberSettings,
    /// How the usual latency is learned.
    pub pace: LatencyEstimateSettings,
    /// When the store is read.
    pub listing: ListingSettings,
    /// Time that a watch for the configuration waits at the store. A connection that has gone
    /// silent is noticed after it.
    pub watch_wait: Duration,
    /// Pause after a call to the store failed.
    pub store_pause: Duration,
    /// Lifetime of the lease on this daemon's place in the list.
    pub lease: Duration,
    /// Time between two heartbeats to other daemons.
    pub heartbeat: Duration,
    /// Time that a daemon waits for its own watch before it asks another for a version.
    pub peer_wait: Duration,
    /// Time for a connection to a searcher.
    pub connect: Duration,
    /// Time that a send goes on after its request has ended: its answer tells how the searcher
    /// is, and its connection can be used again.
    pub linger: Duration,
    /// The same after the caller has left.
    pub gone_linger: Duration,
    /// Time that the way to the caller and back takes, kept free before the objective.
    pub caller_way: Duration,
    /// Time kept free before the deadline of a request.
    pub end_margin: Duration,
    /// Longest answer of a searcher, in bytes.
    pub answer_bytes: usize,
    /// Lifetime of an answer of the directory, if the deployment allows as much.
    pub directory_ttl: Duration,
    /// When callers are told to come back.
    pub retry: RetryAfterSettings,
    /// Time after SIGTERM in which callers may still come with an old answer of the directory.
    pub drain: Duration,
    /// Time kept free before the process is killed.
    pub stop_margin: Duration,
    /// Idle time after which a connection is not used for a request that may run only once.
    pub fresh: Duration,
    /// Part of a searcher's connections that the tier uses; the rest covers daemons that come
    /// before the others know of them.
    pub connection_share: f64,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            metrics_port: None,
            fleet: FleetSettings::default(),
            registry: RegistrySettings::default(),
            members: MemberSettings::default(),
            pace: LatencyEstimateSettings::default(),
            listing: ListingSettings::default(),
            watch_wait: Duration::from_millis(1500),
            store_pause: Duration::from_millis(250),
            lease: Duration::from_secs(6),
            heartbeat: Duration::from_millis(400),
            peer_wait: Duration::from_millis(400),
            connect: Duration::from_millis(250),
            linger: Duration::from_millis(350),
            gone_linger: Duration::from_millis(250),
            caller_way: Duration::from_millis(22),
            end_margin: Duration::from_millis(8),
            answer_bytes: 4 * 1024 * 1024,
            directory_ttl: Duration::from_secs(4),
            retry: RetryAfterSettings::default(),
            drain: Duration::from_millis(3400),
            stop_margin: Duration::from_millis(600),
            fresh: Duration::from_millis(800),
            connection_share: 0.9,
        }
    }
}
