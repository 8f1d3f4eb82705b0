//! The periodic tasks of a daemon.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::metrics;
use crate::metrics::DaemonState;
use crate::node::Node;
use tt_front::Registration;
use tt_membership::drain::Remaining;
use tt_membership::drain::Stage;
use tt_membership::members::Intent;

/// Time between two ticks. Heartbeats and renewals are due once a second, release requests during
/// a handover every 50 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reads of the list of daemons. The list lags behind the heartbeats anyway.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// How long this daemon stays in the list without a renewal. Heartbeats detect a lost daemon much
/// sooner.
const REGISTRATION_TTL: Duration = Duration::from_secs(15);

/// Time between two renewals of the registration, so that it outlasts two failed ones.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two checks whether this daemon is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two requests for the searcher states that the peers know.
const SEARCHER_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the tasks; they end when the set is dropped.
pub(crate) fn start(node: &Arc<Node>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(run_ticks(node.clone()));
    tasks.spawn(register(node.clone()));
    tasks.spawn(read_list(node.clone()));
    tasks.spawn(refresh_searchers(node.clone()));
    tasks
}

async fn run_ticks(node: Arc<Node>) {
    let mut ticks = interval(TICK_INTERVAL);
    // After a pause, missed ticks must not be made up for in a burst.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.tick_members();
        node.tick_halves();
        node.with_control_plane(|plane, now| plane.tick(now));
        node.claims.assign(&node);
        node.tick_collector();
        node.tick_drain();
    }
}

/// Keeps this daemon in the list of daemons until it starts to stop.
async fn register(node: Arc<Node>) {
    let mut registration = Registration::new(node.platform.clone(), node.member_record());
    while node.drain().stage() == Stage::Running {
        if let Err(error) = registration.renew(REGISTRATION_TTL).await {
            log::debug!(
                "member: The registration in the list of daemons could not be renewed: {error}."
            );
        }
        let next_renewal = Instant::now() + REGISTRATION_INTERVAL;
        while Instant::now() < next_renewal && node.drain().stage() == Stage::Running {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
    if let Err(error) = registration.announce_leave().await {
        log::debug!("member: The stop could not be announced in the list of daemons: {error}.");
    }
}

async fn read_list(node: Arc<Node>) {
    let mut ticks = interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.read_daemon_list().await;
    }
}

async fn refresh_searchers(node: Arc<Node>) {
    let mut ticks = interval(SEARCHER_REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.refresh_searchers().await;
    }
}

impl Node {
    /// Starts the stop sequence.
    pub(crate) fn start_drain(&self) {
        self.drain().start(Instant::now());
        self.announce(Intent::Leaving);
        self.stopping.notify_waiters();
    }

    /// Publishes the state of this daemon as metrics.
    pub(crate) fn publish_metrics(&self) {
        let versions = self.versions();
        metrics::set_daemon_state(&DaemonState {
            members: self.members().len(),
            epoch: versions.epoch.0,
            catalog: versions.catalog.0,
            age: self.config_age().age,
            in_flight: self.in_flight(),
            held_halves: self.half_counts().held_halves,
        });
    }

    fn tick_drain(&self) {
        if self.drain().stage() == Stage::Running {
            return;
        }
        // Without another daemon, the searchers cannot be handed over.
        let held = if self.is_alone() { 0 } else { self.half_counts().held_halves };
        let remaining = Remaining { held, in_flight: self.in_flight() };
        self.drain().tick(remaining, Instant::now());
        self.stopping.notify_waiters();
    }
}
