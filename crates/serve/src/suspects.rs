//! Contents of requests under which searchers have ended, as the daemons tell one another.
//!
//! A request is known by its content, since callers repeat it under another id and at another daemon.
//! Once several searchers have ended under one and none has survived it, others with its content are
//! refused until these searchers may have started again. Then, or at once if only one has ended, one
//! is tried at a single searcher. If that one ends too, they are refused for longer.

use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::Time;
use crate::query::Effect;
use crate::query::Trust;

/// How long and how many contents are remembered.
#[derive(Debug, Clone, Copy)]
pub struct SuspectSettings {
    /// How long requests with a deadly content are refused. Then one is tried again.
    pub refusal_period: Duration,
    /// How long requests with a content are refused under which several searchers have ended: about
    /// the time in which these are registered again.
    pub hold_period: Duration,
    /// How long a content is tried at one searcher first, after searchers have ended under it.
    pub trial_period: Duration,
    /// How long each change is told to other daemons: with each heartbeat, since some are lost.
    pub tell_period: Duration,
    /// Maximum number of contents that are remembered.
    pub max_contents: usize,
    /// Maximum number of contents in one heartbeat.
    pub max_told: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        SuspectSettings {
            refusal_period: Duration::from_secs(30),
            hold_period: Duration::from_secs(5),
            trial_period: Duration::from_secs(600),
            tell_period: Duration::from_secs(2),
            max_contents: 1000,
            max_told: 32,
        }
    }
}

/// Digest of all that a searcher gets of a request, without its id and its headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// The key of a request with this method, host, target and body.
    pub fn new(method: &str, host: &str, target: &str, body: &[u8]) -> ContentKey {
        let mut hasher = Xxh3::new();
        (method, host.to_ascii_lowercase(), target, body).hash(&mut hasher);
        ContentKey(hasher.finish())
    }
}

/// What is known of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Knowledge {
    /// A searcher has survived it after others had ended under it.
    Harmless,
    /// Searchers have ended under it.
    Suspect,
    /// One more has ended when it was tried alone.
    Deadly,
}

/// A content as shown to operators and told to other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectStatus {
    /// The content.
    pub key: ContentKey,
    /// What is known of it.
    pub knowledge: Knowledge,
    /// How long requests with it are still refused.
    pub refused_for: Duration,
}

#[derive(Debug)]
struct Record {
    knowledge: Knowledge,
    changed_at: Time,
    refused_until: Time,
}

/// The contents that this daemon knows of.
#[derive(Debug)]
pub struct Suspects {
    settings: SuspectSettings,
    records: HashMap<ContentKey, Record>,
}

impl Suspects {
    /// Creates an empty table.
    pub fn new(settings: SuspectSettings) -> Suspects {
        Suspects { settings, records: HashMap::new() }
    }

    /// How much of a request with this content may be sent at once; an error with the time for which
    /// it is refused.
    ///
    /// # Errors
    ///
    /// Fails with that time if the content is deadly, or if several searchers have just ended under it.
    pub fn trust(&self, key: ContentKey, now: Time) -> Result<Trust, Duration> {
        let record = self.records.get(&key).filter(|it| !self.is_forgotten(it, now));
        match record {
            Some(record) if record.refused_until > now => Err(record.refused_until - now),
            Some(Record { knowledge: Knowledge::Suspect | Knowledge::Deadly, .. }) => {
                Ok(Trust::Trial)
            }
            Some(Record { knowledge: Knowledge::Harmless, .. }) | None => Ok(Trust::Usual),
        }
    }

    /// Records what a request with this content has done to `ended` searchers. Returns whether that
    /// changes what is known and other daemons must be told.
    pub fn record(&mut self, key: ContentKey, effect: Effect, ended: u32, now: Time) -> bool {
        let known = self.records.get(&key).filter(|it| !self.is_forgotten(it, now));
        let is_refused = known.is_some_and(|it| it.refused_until > now);
        let known = known.map(|it| it.knowledge);
        // A single searcher may have ended by itself.
        let is_held = ended > 1;
        let knowledge = match (effect, known) {
            (Effect::Harmless, None | Some(Knowledge::Harmless)) => return false,
            (Effect::Harmless, Some(Knowledge::Suspect | Knowledge::Deadly)) => Knowledge::Harmless,
            // A request that was under way when the content was found to be deadly.
            (Effect::Suspect, Some(Knowledge::Deadly)) => return false,
            (Effect::Suspect, Some(Knowledge::Suspect)) if is_refused || !is_held => return false,
            (Effect::Suspect, _) => Knowledge::Suspect,
            (Effect::Deadly, _) => Knowledge::Deadly,
        };
        let refused_for = match knowledge {
            Knowledge::Deadly => self.settings.refusal_period,
            Knowledge::Suspect if is_held => self.settings.hold_period,
            Knowledge::Suspect | Knowledge::Harmless => Duration::ZERO,
        };
        self.insert(SuspectStatus { key, knowledge, refused_for }, now);
        known != Some(knowledge) || !refused_for.is_zero()
    }

    /// Applies what another daemon tells. Returns whether that is new and others must be told.
    pub fn learn(&mut self, told: SuspectStatus, now: Time) -> bool {
        let known = self.records.get(&told.key).filter(|it| !self.is_forgotten(it, now));
        let is_news = match (known, told.knowledge) {
            (Some(Record { knowledge: Knowledge::Suspect, .. }), Knowledge::Harmless) => true,
            (_, Knowledge::Harmless) => false,
            (None, _) => true,
            // A searcher that has survived it here outweighs others that have ended.
            (Some(Record { knowledge: Knowledge::Harmless, .. }), Knowledge::Suspect) => false,
            (Some(known), _) if known.knowledge == told.knowledge => {
                known.refused_until <= now && told.refused_for > self.settings.tell_period
            }
            (Some(known), _) => known.knowledge < told.knowledge,
        };
        if !is_news {
            return false;
        }
        let refused_for = told.refused_for.min(self.settings.refusal_period);
        self.insert(SuspectStatus { refused_for, ..told }, now);
        true
    }

    /// The contents to tell other daemons of, the newest first.
    pub fn told(&self, now: Time) -> Vec<SuspectStatus> {
        let is_new = |it: &&Record| now < it.changed_at + self.settings.tell_period;
        let mut told: Vec<(Time, SuspectStatus)> = self
            .records
            .iter()
            .filter(|(_, it)| is_new(it))
            .map(|(&key, it)| (it.changed_at, it.status(key, now)))
            .collect();
        told.sort_by_key(|(changed_at, status)| (std::cmp::Reverse(*changed_at), status.key));
        told.truncate(self.settings.max_told);
        told.into_iter().map(|(_, status)| status).collect()
    }

    /// All contents that are suspect or deadly, by key.
    pub fn status(&self, now: Time) -> Vec<SuspectStatus> {
        let remembered = |it: &&Record| it.is_dangerous() && !self.is_forgotten(it, now);
        let mut all: Vec<SuspectStatus> = self
            .records
            .iter()
            .filter(|(_, it)| remembered(it))
            .map(|(&key, it)| it.status(key, now))
            .collect();
        all.sort_by_key(|it| it.key);
        all
    }

    fn insert(&mut self, status: SuspectStatus, now: Time) {
        let SuspectStatus { key, knowledge, refused_for } = status;
        let trial_period = self.settings.trial_period;
        self.records.retain(|_, it| now < it.changed_at + trial_period);
        if self.records.len() >= self.settings.max_contents && !self.records.contains_key(&key) {
            let oldest = self.records.iter().min_by_key(|(key, it)| (it.changed_at, **key));
            if let Some(oldest) = oldest.map(|(&key, _)| key) {
                self.records.remove(&oldest);
            }
        }
        let refused_until = now + refused_for;
        self.records.insert(key, Record { knowledge, changed_at: now, refused_until });
    }

    fn is_forgotten(&self, record: &Record, now: Time) -> bool {
        now >= record.changed_at + self.settings.trial_period
    }
}

impl Record {
    fn is_dangerous(&self) -> bool {
        match self.knowledge {
            Knowledge::Harmless => false,
            Knowledge::Suspect | Knowledge::Deadly => true,
        }
    }

    fn status(&self, key: ContentKey, now: Time) -> SuspectStatus {
        let refused_for = self.refused_until.saturating_sub(now);
        SuspectStatus { key, knowledge: self.knowledge, refused_for }
    }
}
