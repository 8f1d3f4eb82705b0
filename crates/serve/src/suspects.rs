//! Contents of requests under which searchers have ended, as the daemons tell one another.
//!
//! A request is known by its content, since callers repeat it under another id and at another daemon.
//! Once several searchers have ended under one and none has survived it, others with its content are
//! refused until these searchers may have started again. Then, or at once if only one has ended, one
//! is tried at a single searcher. If that one ends too, they are refused for longer. The daemon that
//! tries one claims it first, and the daemons become free to do so one after the other, so that not
//! each of them tries it.
//!
//! Each observation of a content starts a new round, which orders what daemons have heard of it. What
//! is still known is told again and again, a little with each heartbeat: daemons start, or have been
//! cut off when it was news.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Time;
use crate::query::Effect;
use crate::query::Trust;

/// How long and how many contents are remembered.
#[derive(Debug, Clone, Copy)]
pub struct SuspectSettings {
    /// How long requests with a deadly content are refused. Then one is tried again.
    pub refusal_period: Duration,
    /// As `refusal_period`, after it has ended searchers in two trials. Long enough that an operator
    /// can find its cause.
    pub long_refusal: Duration,
    /// How long requests with a content are refused under which several searchers have ended: about
    /// the time in which these are registered again.
    pub hold_period: Duration,
    /// How long a content is tried at one searcher first, after searchers have ended under it; if it
    /// is deadly, after the end of its refusal.
    pub trial_period: Duration,
    /// How long other requests with a content are refused while one is tried, unless its outcome is
    /// known before.
    pub claim_period: Duration,
    /// Time after the end of a refusal in which the daemons become free to try a content, one after
    /// the other.
    pub turn_period: Duration,
    /// Maximum time between the turns of two daemons. Longer than it takes for the claim of one to
    /// reach the others.
    pub max_turn: Duration,
    /// How long each change is told to other daemons: with each heartbeat, since some are lost.
    pub tell_period: Duration,
    /// Number of older contents that are told again in each heartbeat, in turn.
    pub max_retold: usize,
    /// Time before a content is forgotten from which it is not told again, so that daemons don't keep
    /// it alive among themselves.
    pub retell_margin: Duration,
    /// Maximum number of contents that are remembered.
    pub max_contents: usize,
    /// Maximum number of contents in one heartbeat.
    pub max_told: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        SuspectSettings {
            refusal_period: Duration::from_secs(30),
            long_refusal: Duration::from_secs(600),
            hold_period: Duration::from_secs(5),
            trial_period: Duration::from_secs(600),
            claim_period: Duration::from_secs(2),
            turn_period: Duration::from_secs(1),
            max_turn: Duration::from_millis(200),
            tell_period: Duration::from_secs(2),
            max_retold: 2,
            retell_margin: Duration::from_secs(30),
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// A searcher has survived it after others had ended under it.
    Harmless,
    /// Searchers have ended under it.
    Suspect,
    /// One more has ended when it was tried alone.
    Deadly,
}

/// Whether a request with a content under suspicion had to be announced to other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// No.
    NotNeeded,
    /// Yes: they must be told at once.
    Made,
}

/// How much later than the first daemon the one on `me` may try a content, once it is no longer
/// refused. The order differs from content to content. All of `others` are live.
pub fn turn_delay<'a, I>(
    settings: &SuspectSettings,
    key: ContentKey,
    me: &str,
    others: I,
) -> Duration
where
    I: Iterator<Item = &'a str>,
{
    let order = |name: &str| xxh3_64_with_seed(name.as_bytes(), key.0);
    let own = order(me);
    let (mut before, mut daemons) = (0, 1);
    for name in others {
        daemons += 1;
        before += u32::from((order(name), name) < (own, me));
    }
    before * settings.max_turn.min(settings.turn_period / daemons)
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
    /// Number of observations and claims so far; those of a later round replace those of an earlier
    /// one.
    pub round: u32,
    /// Whether only one daemon at a time may try it: several searchers have ended under it.
    pub is_held: bool,
    /// Time since the last observation.
    pub age: Duration,
}

#[derive(Debug)]
struct Record {
    knowledge: Knowledge,
    round: u32,
    is_held: bool,
    /// When the observation was made.
    changed_at: Time,
    /// When this daemon made it, or heard of it.
    learned_at: Time,
    refused_until: Time,
    /// Whether it is refused because this daemon tries it.
    is_claimed: bool,
}

/// The contents that this daemon knows of.
#[derive(Debug)]
pub struct Suspects {
    settings: SuspectSettings,
    records: HashMap<ContentKey, Record>,
    /// The content that was told again last.
    retold: Option<ContentKey>,
}

impl Suspects {
    /// Creates an empty table.
    pub fn new(settings: SuspectSettings) -> Suspects {
        Suspects { settings, records: HashMap::new(), retold: None }
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

    /// Claims the content for a request that is to be sent although the content is under suspicion.
    /// While one is tried, here or by a daemon that has claimed it, others are refused. `turn_delay`
    /// is how much later than the first daemon this one may try it.
    ///
    /// # Errors
    ///
    /// Fails with the time until it may be tried here.
    pub fn claim_trial(
        &mut self,
        key: ContentKey,
        turn_delay: Duration,
        now: Time,
    ) -> Result<Claim, Duration> {
        let claim_period = self.settings.claim_period;
        let Some(record) = self.records.get_mut(&key).filter(|it| it.is_dangerous()) else {
            return Ok(Claim::NotNeeded);
        };
        if record.refused_until > now {
            return Err(record.refused_until - now);
        }
        // A single searcher may have ended by itself: its content is not worth the wait.
        if !record.is_held {
            return Ok(Claim::NotNeeded);
        }
        let turn_at = record.refused_until + turn_delay;
        if turn_at > now {
            return Err(turn_at - now);
        }
        record.round += 1;
        record.refused_until = now + claim_period;
        record.learned_at = now;
        record.is_claimed = true;
        Ok(Claim::Made)
    }

    /// Records what a request with this content has done to `ended` searchers. Returns whether that
    /// changes what is known and other daemons must be told.
    pub fn record(&mut self, key: ContentKey, effect: Effect, ended: u32, now: Time) -> bool {
        let known = self.records.get(&key).filter(|it| !self.is_forgotten(it, now));
        let is_refused = known.is_some_and(|it| it.refused_until > now);
        let round = known.map_or(0, |it| it.round) + 1;
        let is_second_trial =
            known.is_some_and(|it| it.is_claimed && it.knowledge == Knowledge::Deadly);
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
            Knowledge::Deadly if is_second_trial => self.settings.long_refusal,
            Knowledge::Deadly => self.settings.refusal_period,
            Knowledge::Suspect if is_held => self.settings.hold_period,
            Knowledge::Suspect | Knowledge::Harmless => Duration::ZERO,
        };
        let age = Duration::ZERO;
        let is_held = is_held || knowledge == Knowledge::Deadly;
        self.insert(SuspectStatus { key, knowledge, refused_for, round, is_held, age }, now);
        known != Some(knowledge) || !refused_for.is_zero()
    }

    /// Applies what another daemon tells. Returns whether that is new and others must be told.
    pub fn learn(&mut self, told: SuspectStatus, now: Time) -> bool {
        let known = self.records.get(&told.key).filter(|it| !self.is_forgotten(it, now));
        let is_news = match known {
            None => told.knowledge != Knowledge::Harmless,
            Some(known) => known.rank() < (told.round, told.knowledge.weight()),
        };
        if !is_news {
            return false;
        }
        let refused_for = told.refused_for.min(self.settings.long_refusal);
        self.insert(SuspectStatus { refused_for, ..told }, now);
        true
    }

    /// The contents to tell other daemons of: the newest first, then some of the others in turn.
    pub fn told(&mut self, now: Time) -> Vec<SuspectStatus> {
        let (new, older): (Vec<_>, Vec<_>) =
            self.records.iter().partition(|(_, it)| self.is_new(it, now));
        let mut told: Vec<(Time, SuspectStatus)> =
            new.into_iter().map(|(&key, it)| (it.learned_at, it.status(key, now))).collect();
        told.sort_by_key(|(learned_at, status)| (Reverse(*learned_at), status.key));
        told.truncate(self.settings.max_told);
        let mut told: Vec<SuspectStatus> = told.into_iter().map(|(_, status)| status).collect();

        let mut retold: Vec<SuspectStatus> = older
            .into_iter()
            .filter(|(_, it)| self.is_retold(it, now))
            .map(|(&key, it)| it.status(key, now))
            .collect();
        retold.sort_by_key(|status| (Some(status.key) <= self.retold, status.key));
        retold.truncate(self.settings.max_retold);
        self.retold = retold.last().map(|status| status.key).or(self.retold);
        told.append(&mut retold);
        told
    }

    /// What to tell a daemon that starts: the newest of the contents that are dangerous.
    pub fn told_to_joining(&self, now: Time) -> Vec<SuspectStatus> {
        let records = self.records.iter().filter(|(_, it)| self.is_retold(it, now));
        let mut told: Vec<SuspectStatus> = records.map(|(&key, it)| it.status(key, now)).collect();
        told.sort_by_key(|status| (status.age, status.key));
        told.truncate(self.settings.max_told);
        told
    }

    fn is_retold(&self, record: &Record, now: Time) -> bool {
        record.is_dangerous() && now + self.settings.retell_margin < self.forgotten_at(record)
    }

    fn is_new(&self, record: &Record, now: Time) -> bool {
        now < record.learned_at + self.settings.tell_period
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
        let SuspectStatus { key, knowledge, refused_for, round, is_held, age } = status;
        let forgotten: Vec<ContentKey> = self
            .records
            .iter()
            .filter(|(_, it)| self.is_forgotten(it, now))
            .map(|it| *it.0)
            .collect();
        for key in forgotten {
            self.records.remove(&key);
        }
        if self.records.len() >= self.settings.max_contents && !self.records.contains_key(&key) {
            let oldest = self.records.iter().min_by_key(|(key, it)| (it.changed_at, **key));
            if let Some(oldest) = oldest.map(|(&key, _)| key) {
                self.records.remove(&oldest);
            }
        }
        let refused_until = now + refused_for;
        let changed_at = now.saturating_sub(age);
        let record = Record {
            knowledge,
            round,
            is_held,
            changed_at,
            learned_at: now,
            refused_until,
            is_claimed: false,
        };
        self.records.insert(key, record);
    }

    fn is_forgotten(&self, record: &Record, now: Time) -> bool {
        now >= self.forgotten_at(record)
    }

    fn forgotten_at(&self, record: &Record) -> Time {
        let refused_until = match record.knowledge {
            Knowledge::Deadly => record.refused_until,
            Knowledge::Suspect | Knowledge::Harmless => Time::ZERO,
        };
        record.changed_at.max(refused_until) + self.settings.trial_period
    }
}

impl Knowledge {
    /// Of two observations in one round the one with the greater weight counts: a searcher that has
    /// survived outweighs others that have ended before, but not one that has ended in a trial.
    fn weight(self) -> u32 {
        match self {
            Knowledge::Suspect => 0,
            Knowledge::Harmless => 1,
            Knowledge::Deadly => 2,
        }
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
        SuspectStatus {
            key,
            knowledge: self.knowledge,
            refused_for: self.refused_until.saturating_sub(now),
            round: self.round,
            is_held: self.is_held,
            age: now.saturating_sub(self.changed_at),
        }
    }

    /// Orders what is known by how much it counts.
    fn rank(&self) -> (u32, u32) {
        (self.round, self.knowledge.weight())
    }
}
