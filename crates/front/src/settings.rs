//! Settings of an entry that are compiled in, with their defaults.

use std::time::Duration;

use tt_serve::CallerMemorySettings;
use tt_serve::CallerWaitSettings;
use tt_serve::CatchUpSettings;
use tt_serve::ConfigProofSettings;
use tt_serve::CostSettings;
use tt_serve::FleetSettings;
use tt_serve::LatencyEstimateSettings;
use tt_serve::ListingSettings;
use tt_serve::MemberSettings;
use tt_serve::OutageSettings;
use tt_serve::RegistrySettings;
use tt_serve::RetryAfterSettings;
use tt_serve::ServedViewSettings;
use tt_serve::SuspectSettings;
use tt_serve::WakeSettings;

/// Settings of an entry. Only `metrics_port` comes from the command line.
#[derive(Debug, Clone, Copy)]
pub struct FrontSettings {
    /// TCP port of `/metrics`. Without it no metrics are recorded.
    pub metrics_port: Option<u16>,
    /// Comparison and ejection of searchers.
    pub fleet: FleetSettings,
    /// Estimate of the work of requests.
    pub cost: CostSettings,
    /// Treatment of searchers that are missing from a listing.
    pub registry: RegistrySettings,
    /// When the store counts as having been down.
    pub outage: OutageSettings,
    /// How long the contents of requests are remembered under which searchers have ended.
    pub suspects: SuspectSettings,
    /// Timeouts of the other daemons, and the assumed size of the tier after a start.
    pub members: MemberSettings,
    /// Latency estimate of each route.
    pub latency_estimate: LatencyEstimateSettings,
    /// When a daemon reads the listing of searchers from the store itself.
    pub listing: ListingSettings,
    /// When the process counts as paused, and how long requests wait afterwards.
    pub wake: WakeSettings,
    /// How long the proof that the configuration is the newest one holds, and when it is renewed.
    pub config_proof: ConfigProofSettings,
    /// How long the store may hold a watch for the configuration before it answers. Also bounds
    /// the time until a dead connection is noticed.
    pub watch_timeout: Duration,
    /// Lifetime of the lease on this daemon's record in the list of daemons. The platform's
    /// minimum applies if it is longer.
    pub lease_ttl: Duration,
    /// Interval between two heartbeats to other daemons.
    pub heartbeat_interval: Duration,
    /// When a daemon that lacks the newest configuration does more to get it.
    pub catch_up: CatchUpSettings,
    /// How much is sent to peers that catch up at the same time.
    pub served_views: ServedViewSettings,
    /// Timeout for opening a connection to a searcher or a peer.
    pub connect_timeout: Duration,
    /// How long an attempt may continue after its request has ended: its answer still shows how
    /// the searcher performs, and its connection can be reused.
    pub linger_timeout: Duration,
    /// As `linger_timeout`, if the request ended because the caller disconnected.
    pub disconnect_linger_timeout: Duration,
    /// Estimate of the time that callers spend outside the entry.
    pub caller_wait: CallerWaitSettings,
    /// Time reserved before the deadline of a request.
    pub deadline_margin: Duration,
    /// Maximum size of the body of a searcher's answer, in bytes.
    pub max_answer_bytes: usize,
    /// As `max_answer_bytes`, for the answer of one shard of a query over many.
    pub max_part_bytes: usize,
    /// Memory for all answers that are being received, in bytes, besides a small part of each.
    pub answer_memory_bytes: usize,
    /// When connections that hold memory are refused and closed.
    pub caller_memory: CallerMemorySettings,
    /// Time for which callers may cache an answer of the directory. The deployment may set a
    /// shorter one.
    pub directory_ttl: Duration,
    /// Values of the `Retry-After` header.
    pub retry_after: RetryAfterSettings,
    /// How long connections are still accepted after SIGTERM, for callers that hold a cached
    /// answer of the directory.
    pub drain_period: Duration,
    /// Time reserved before the platform kills the process.
    pub stop_margin: Duration,
    /// Time reserved before the process ends for sending the last answers.
    pub answer_margin: Duration,
    /// Idle time after which a connection is not used for a request that may run at most once:
    /// the searcher may have closed it.
    pub at_most_once_idle_timeout: Duration,
    /// Ratio of a searcher's connections that the known daemons share. The rest is for daemons
    /// that start before the others know of them.
    pub connection_ratio: f64,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            metrics_port: None,
            fleet: FleetSettings::default(),
            cost: CostSettings::default(),
            registry: RegistrySettings::default(),
            outage: OutageSettings::default(),
            suspects: SuspectSettings::default(),
            members: MemberSettings::default(),
            latency_estimate: LatencyEstimateSettings::default(),
            listing: ListingSettings::default(),
            wake: WakeSettings::default(),
            config_proof: ConfigProofSettings::default(),
            watch_timeout: Duration::from_millis(2500),
            lease_ttl: Duration::from_secs(12),
            heartbeat_interval: Duration::from_millis(400),
            catch_up: CatchUpSettings::default(),
            served_views: ServedViewSettings::default(),
            connect_timeout: Duration::from_millis(250),
            linger_timeout: Duration::from_millis(350),
            disconnect_linger_timeout: Duration::from_millis(250),
            caller_wait: CallerWaitSettings::default(),
            deadline_margin: Duration::from_millis(8),
            max_answer_bytes: 4 * 1024 * 1024,
            max_part_bytes: 256 * 1024,
            answer_memory_bytes: 32 * 1024 * 1024,
            caller_memory: CallerMemorySettings::default(),
            directory_ttl: Duration::from_secs(4),
            retry_after: RetryAfterSettings::default(),
            drain_period: Duration::from_millis(3400),
            stop_margin: Duration::from_millis(600),
            answer_margin: Duration::from_millis(150),
            at_most_once_idle_timeout: Duration::from_millis(800),
            connection_ratio: 0.9,
        }
    }
}
