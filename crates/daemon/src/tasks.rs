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

/// Time between looks at what is due. Heartbeats and renewals are due once a second, questions
/// during a handover every 50 ms.
const TICK: Duration = Duration::from_millis(50);

/// Time between reads of the list of daemons, which lags anyway.
const LIST_EVERY: Duration = Duration::from_secs(2);

/// Lifetime of this daemon's place in the list. Heartbeats find a lost daemon much sooner.
const REGISTRATION: Duration = Duration::from_secs(15);

/// Time between renewals of it, so that it outlasts two that fail.
const RENEW_EVERY: Duration = Duration::from_secs(5);

/// Time between two looks at whether this daemon is to stop.
const STOP_POLL: Duration = Duration::from_millis(200);

/// Time between exchanges of what owners know of their searchers.
const SEARCHERS_EVERY: Duration = Duration::from_millis(500);

/// Starts the tasks; they end when the set is dropped.
pub(crate) fn start(node: &Arc<Node>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(decide(node.clone()));
    tasks.spawn(register(node.clone()));
    tasks.spawn(read_list(node.clone()));
    tasks.spawn(watch_searchers(node.clone()));
    tasks
}

async fn decide(node: Arc<Node>) {
    let mut ticks = interval(TICK);
    // A pause must not be followed by a burst of ticks.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.tick_members();
        node.tick_halves();
        node.control(|plane, now| plane.tick(now));
        node.claims.assign(&node);
        node.tick_collector();
        node.tick_drain();
    }
}

/// Keeps this daemon in the list of daemons until it has stopped.
async fn register(node: Arc<Node>) {
    let mut registration = Registration::new(node.platform.clone(), node.record());
    while node.drain().stage() == Stage::Running {
        if let Err(error) = registration.renew(REGISTRATION).await {
            log::debug!("member: The place in the list of daemons is not renewed: {error}.");
        }
        let next = Instant::now() + RENEW_EVERY;
        while Instant::now() < next && node.drain().stage() == Stage::Running {
            sleep(STOP_POLL).await;
        }
    }
    if let Err(error) = registration.announce_leave().await {
        log::debug!("member: The list of daemons still shows this one: {error}.");
    }
}

async fn read_list(node: Arc<Node>) {
    let mut ticks = interval(LIST_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.read_vm_list().await;
    }
}

async fn watch_searchers(node: Arc<Node>) {
    let mut ticks = interval(SEARCHERS_EVERY);
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
            held: self.held().held_halves,
        });
    }

    fn tick_drain(&self) {
        if self.drain().stage() == Stage::Running {
            return;
        }
        // Without another daemon there is nobody to hand over to.
        let held = if self.is_alone() { 0 } else { self.held().held_halves };
        let remaining = Remaining { held, in_flight: self.in_flight() };
        self.drain().tick(remaining, Instant::now());
        self.stopping.notify_waiters();
    }
}
