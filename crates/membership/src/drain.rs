//! The stop sequence of a daemon: announce the stop, hand over, finish, exit.

use std::time::Duration;

use log::info;
use tokio::time::Instant;

/// Times of the stop sequence.
#[derive(Debug, Clone, Copy)]
pub struct DrainSettings {
    /// How long callers may keep an answer of [`crate::entries`] that names this daemon.
    pub entries_ttl: Duration,
    /// Maximum wait for the release of all halves. During a store outage the members can't
    /// change, so the daemon then stops although nobody has taken its halves over.
    pub release_timeout: Duration,
    /// Maximum wait for work in flight after the release; at least the longest timeout of a
    /// query.
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

/// A stage of the stop sequence. The rules of a stage apply in the later ones too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not stopping.
    Running,
    /// Heartbeats announce that this daemon is leaving, so that no caller gets its address any
    /// more. Callers that still have it are served as before.
    Announced,
    /// No new queries are admitted. Slots and connections are handed over to other members.
    Releasing,
    /// No half is held, or the wait for that has timed out. Queries and sub-queries in flight are
    /// finished.
    Finishing,
    /// The daemon sends a last heartbeat that announces the stop, and exits.
    Stopped,
}

/// What the daemon still has to do before it can stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Remaining {
    /// Halves that this daemon still holds; see [`crate::Halves::counts`].
    pub held: usize,
    /// Queries and sub-queries in flight.
    pub in_flight: usize,
}

/// The state machine of the stop sequence.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    stage: Stage,
    stage_start: Option<Instant>,
}

impl Drain {
    /// Starts in [`Stage::Running`].
    pub fn new(settings: DrainSettings) -> Drain {
        Drain { settings, stage: Stage::Running, stage_start: None }
    }

    /// The current stage, as of the last call of [`Drain::tick`].
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Starts the sequence; a second call changes nothing.
    pub fn start(&mut self, now: Instant) {
        if self.stage == Stage::Running {
            self.enter(Stage::Announced, now);
        }
    }

    /// Enters the next stages whose conditions are met, and returns the current one. Call it a few
    /// times a second.
    pub fn tick(&mut self, remaining: Remaining, now: Instant) -> Stage {
        loop {
            let waited = self.stage_start.map_or(Duration::ZERO, |start| now - start);
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
        self.stage_start = Some(now);
    }
}
