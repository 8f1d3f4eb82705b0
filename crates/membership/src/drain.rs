//! The stop sequence of a daemon.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

/// Limits of the stop sequence.
#[derive(Debug, Clone, Copy)]
pub struct DrainSettings {
    /// How long callers may keep an entry answer that names this daemon.
    pub entries_ttl: Duration,
    /// Longest wait for the release of ownership. The members cannot change during a
    /// store outage, so this daemon stops without a successor for its half then.
    pub release_timeout: Duration,
    /// Longest wait for work in flight after the release; at least the longest deadline.
    pub finish_timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        DrainSettings {
            entries_ttl: crate::entries::ENTRIES_TTL,
            release_timeout: Duration::from_secs(20),
            finish_timeout: Duration::from_secs(10),
        }
    }
}

/// Where the sequence stands. Each stage includes the duties of those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not stopping.
    Running,
    /// Heartbeats say leaving, so that no caller is told this address any more; callers
    /// that still hold it are served as before.
    Announced,
    /// No new queries are admitted; slots and connections are handed to other members.
    Releasing,
    /// Nothing is owned; queries and sub-queries in flight are finished.
    Finishing,
    /// Send a last heartbeat that says stopped, and exit.
    Stopped,
}

/// What the daemon still has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remaining {
    /// Searchers of which this daemon still holds slots; see [`crate::Halves::counts`].
    pub held: usize,
    /// Queries and sub-queries in flight.
    pub in_flight: usize,
}

/// The state machine.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    stage: Stage,
    since: Option<Instant>,
}

impl Drain {
    /// Not stopping.
    pub fn new(settings: DrainSettings) -> Drain {
        Drain { settings, stage: Stage::Running, since: None }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Starts the sequence; a second call changes nothing.
    pub fn start(&mut self, now: Instant) {
        if self.stage == Stage::Running {
            self.enter(Stage::Announced, now);
        }
    }

    /// Moves on as far as possible; call it a few times a second.
    pub fn tick(&mut self, remaining: Remaining, now: Instant) -> Stage {
        loop {
            let waited = self.since.map_or(Duration::ZERO, |since| now - since);
            let next = match self.stage {
                Stage::Running | Stage::Stopped => return self.stage,
                Stage::Announced if waited >= self.settings.entries_ttl => Stage::Releasing,
                Stage::Releasing
                    if remaining.held == 0 || waited >= self.settings.release_timeout =>
                {
                    Stage::Finishing
                }
                Stage::Finishing
                    if remaining.in_flight == 0 || waited >= self.settings.finish_timeout =>
                {
                    Stage::Stopped
                }
                Stage::Announced | Stage::Releasing | Stage::Finishing => return self.stage,
            };
            self.enter(next, now);
        }
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        info!("member: stop sequence is at {stage:?}");
        self.stage = stage;
        self.since = Some(now);
    }
}
