//! The load and the speed of one searcher.

use std::time::Duration;

use crate::Time;
use crate::fleet::LoadReport;

/// How the load and the speed of a searcher are estimated.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSettings {
    /// Minimum time for which stated counts of requests count.
    min_count_life: Duration,
    /// Maximum time for which they count.
    max_count_life: Duration,
    /// Time for which a stated slowdown counts. Other programs on the VM of a searcher change it
    /// every 400 to 600 ms.
    slowdown_life: Duration,
    /// Weight of an answer in the lasting slowdown, 0 to 1.
    lasting_weight: f64,
    /// Half-life of the lasting slowdown of a searcher that gets no requests, so that it is tried
    /// again after it was slow for long.
    lasting_half_life: Duration,
    /// Weight of an answer in the slowdown of the moment, 0 to 1.
    moment_weight: f64,
    /// Half-life of the slowdown of the moment: shorter than a slow phase, so that a searcher is
    /// tried again when one has passed.
    moment_half_life: Duration,
    /// Factor by which one answer may differ from the estimate; what is beyond is cut. One part in
    /// 100 takes five times as long by itself, which says nothing of the searcher.
    max_step: f64,
    /// Bound of both slowdowns, which are between its inverse and it.
    max_slowdown: f64,
    /// Part of the work that an attempt still has once it has run for longer than expected. Work is
    /// spread widely, so that what is late takes longer yet.
    overdue_ratio: f64,
    /// Multiple of its expected time from which an attempt shows that its searcher has stalled. With
    /// a spread of 0.5 8% are beyond it, as many as are hedged.
    overdue_factor: f64,
    /// Time in flight up to which no attempt shows that: delays of the network and of processors
    /// that are shared, in milliseconds.
    min_overdue_ms: f64,
    /// Part of the expected time of an attempt that may be the queue before it, if the work is to be
    /// told from its latency.
    max_queue_ratio: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings {
            min_count_life: Duration::from_millis(15),
            max_count_life: Duration::from_millis(250),
            slowdown_life: Duration::from_millis(200),
            lasting_weight: 0.02,
            lasting_half_life: Duration::from_secs(20),
            moment_weight: 0.3,
            moment_half_life: Duration::from_millis(300),
            max_step: 2.5,
            max_slowdown: 6.0,
            overdue_ratio: 0.3,
            overdue_factor: 2.0,
            min_overdue_ms: 10.0,
            max_queue_ratio: 0.4,
        }
    }
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
struct Sent {
    token: u64,
    at: Time,
    /// Its expected work, or the mean of its pool.
    work_ms: f64,
    /// Whether the work was known.
    is_known: bool,
    /// Expected time in the queue before it, at the usual speed.
    queue_ms: f64,
}

/// The load that a searcher has stated.
#[derive(Debug, Clone, Copy)]
struct HeardLoad {
    report: LoadReport,
    /// Requests that it has from other daemons.
    others: f64,
    at: Time,
}

impl HeardLoad {
    /// How much the stated counts of requests still count, 0 to 1.
    fn freshness(&self, settings: &LoadSettings, mean_ms: f64, now: Time) -> f64 {
        let LoadReport { running, waiting, slots, .. } = self.report;
        let rounds = (f64::from(running) + f64::from(waiting)) / f64::from(slots.max(1));
        let life = Duration::try_from_secs_f64(rounds * mean_ms / 1000.0).unwrap_or(Duration::MAX);
        let life = life.clamp(settings.min_count_life, settings.max_count_life);
        freshness(self.at, life, now)
    }
}

/// The load and the speed of a searcher. A slowdown is the time that work takes at it relative to
/// the usual time.
#[derive(Debug)]
pub(in crate::fleet) struct SearcherLoad {
    /// In the order in which they were sent.
    sent: Vec<Sent>,
    heard: Option<HeardLoad>,
    /// Slowdown that lasts: its machine. As of `learned_at`.
    lasting: f64,
    /// Slowdown of the moment, relative to the lasting one, as of `learned_at`.
    moment: f64,
    learned_at: Time,
}

impl Default for SearcherLoad {
    fn default() -> Self {
        SearcherLoad {
            sent: Vec::new(),
            heard: None,
            lasting: 1.0,
            moment: 1.0,
            learned_at: Time::ZERO,
        }
    }
}

impl SearcherLoad {
    /// Number of attempts in flight.
    pub(in crate::fleet) fn outstanding(&self) -> usize {
        self.sent.len()
    }

    /// When the attempt `token` was sent, if it is in flight.
    pub(in crate::fleet) fn sent_at(&self, token: u64) -> Option<Time> {
        self.sent.iter().find(|sent| sent.token == token).map(|sent| sent.at)
    }

    /// Whether an attempt has been in flight for longer than `timeout`.
    pub(super) fn is_stalled(&self, timeout: Duration, now: Time) -> bool {
        self.sent.iter().any(|sent| sent.at + timeout < now)
    }

    /// Whether an attempt has been in flight for so much longer than expected that the searcher has
    /// most likely stalled.
    pub(super) fn is_overdue(&self, settings: &LoadSettings, now: Time) -> bool {
        let slowdown = self.observed_slowdown(settings, now);
        self.sent.iter().any(|sent| {
            let expected_ms = (sent.work_ms + sent.queue_ms) * slowdown;
            let due_ms = (expected_ms * settings.overdue_factor).max(settings.min_overdue_ms);
            due_ms < now.saturating_sub(sent.at).as_secs_f64() * 1000.0
        })
    }

    /// Records an attempt that is sent now. `work_ms` is `None` if its work is not known; it counts
    /// as the pool's `mean_ms` then.
    pub(super) fn add(
        &mut self,
        settings: &LoadSettings,
        token: u64,
        work_ms: Option<f64>,
        mean_ms: f64,
        slots: u32,
        now: Time,
    ) {
        let queue = self.queue_ms(settings, now) + self.others(settings, mean_ms, now) * mean_ms;
        // What fits the slots runs at once, as does the request itself.
        let slots = f64::from(slots.max(1));
        let waiting = (self.sent.len() as f64 + self.others(settings, mean_ms, now)) >= slots;
        let queue_ms = if waiting { queue / slots } else { 0.0 };
        let (is_known, work_ms) = (work_ms.is_some(), work_ms.unwrap_or(mean_ms));
        self.sent.push(Sent { token, at: now, work_ms, is_known, queue_ms });
    }

    /// Records that an attempt has ended.
    pub(super) fn remove(&mut self, token: u64) {
        self.sent.retain(|sent| sent.token != token);
    }

    /// Records a statement in the answer to the attempt `token`.
    pub(super) fn hear(&mut self, report: LoadReport, token: u64, now: Time) {
        let own = self.sent.iter().filter(|sent| sent.token != token).count() as f64;
        let all = f64::from(report.running) + f64::from(report.waiting);
        self.heard = Some(HeardLoad { report, others: (all - own).max(0.0), at: now });
    }

    /// Work that its attempts still have, in milliseconds at the usual speed.
    pub(super) fn queue_ms(&self, settings: &LoadSettings, now: Time) -> f64 {
        let slowdown = self.observed_slowdown(settings, now);
        let left = |sent: &Sent| {
            let elapsed_ms = now.saturating_sub(sent.at).as_secs_f64() * 1000.0 / slowdown;
            let done_ms = (elapsed_ms - sent.queue_ms).max(0.0);
            (sent.work_ms - done_ms).max(sent.work_ms * settings.overdue_ratio)
        };
        self.sent.iter().map(left).sum()
    }

    /// Requests of other daemons that the searcher most likely still has. What it has stated counts
    /// less with its age, and not at all once it would have worked off all of that.
    pub(super) fn others(&self, settings: &LoadSettings, mean_ms: f64, now: Time) -> f64 {
        self.heard.map_or(0.0, |heard| heard.others * heard.freshness(settings, mean_ms, now))
    }

    /// Whether anything that the searcher has stated still counts.
    pub(super) fn is_stated(&self, settings: &LoadSettings, mean_ms: f64, now: Time) -> bool {
        self.heard.is_some_and(|heard| heard.freshness(settings, mean_ms, now) > 0.0)
    }

    /// The load that the searcher has stated last, with the age of the statement.
    pub(super) fn stated(&self, now: Time) -> Option<(LoadReport, Duration)> {
        self.heard.map(|heard| (heard.report, now.saturating_sub(heard.at)))
    }

    /// The slowdown by what this daemon has seen.
    pub(super) fn observed_slowdown(&self, settings: &LoadSettings, now: Time) -> f64 {
        let moment = self.moment.powf(self.memory(settings.moment_half_life, now));
        self.lasting_slowdown(settings, now) * moment
    }

    /// How much of what was learned last still counts, 0 to 1.
    fn memory(&self, half_life: Duration, now: Time) -> f64 {
        let age = now.saturating_sub(self.learned_at).as_secs_f64();
        0.5_f64.powf(age / half_life.as_secs_f64())
    }

    /// The slowdown with what the searcher has stated.
    pub(super) fn slowdown(&self, settings: &LoadSettings, now: Time) -> f64 {
        let observed = self.observed_slowdown(settings, now);
        let stated = self.heard.and_then(|heard| Some((heard.report.slowdown?, heard.at)));
        let Some((stated, at)) = stated else { return observed };
        let weight = freshness(at, settings.slowdown_life, now);
        let stated = stated.clamp(1.0 / settings.max_slowdown, settings.max_slowdown);
        self.lasting_slowdown(settings, now) * stated * weight + observed * (1.0 - weight)
    }

    /// The slowdown that lasts.
    pub(super) fn lasting_slowdown(&self, settings: &LoadSettings, now: Time) -> f64 {
        self.lasting.powf(self.memory(settings.lasting_half_life, now))
    }

    /// Learns from the latency of the attempt `token`. `usual` is the mean slowdown of the pool.
    /// Returns the work of the request in milliseconds, unless the queue hides it.
    pub(super) fn observe(
        &mut self,
        settings: &LoadSettings,
        token: u64,
        latency_ms: f64,
        usual: f64,
        now: Time,
    ) -> Option<f64> {
        let sent = *self.sent.iter().find(|sent| sent.token == token)?;
        // Both are at least the resolution of what is measured.
        let latency_ms = latency_ms.max(0.01);
        let expected_ms = (sent.work_ms + sent.queue_ms).max(0.01);
        // A searcher that states its slowdown explains the moment by itself.
        let slowdown = self.slowdown(settings, now);
        let observed = self.observed_slowdown(settings, now);
        if sent.is_known {
            let step = |known: f64| {
                let ratio = latency_ms / expected_ms / known;
                ratio.clamp(1.0 / settings.max_step, settings.max_step).ln()
            };
            let bound =
                |value: f64| value.clamp(1.0 / settings.max_slowdown, settings.max_slowdown);
            let lasting = self.lasting_slowdown(settings, now);
            let moment = observed / lasting;
            // A slow phase may be over by the time that an answer shows it.
            let age = latency_ms / 1000.0 / settings.moment_half_life.as_secs_f64();
            let weight = settings.moment_weight * 0.5_f64.powf(age);
            self.moment = bound(moment * (step(observed) * weight).exp());
            self.learned_at = now;
            self.lasting = bound(lasting * (step(slowdown) * settings.lasting_weight).exp());
        }
        let is_clear = sent.queue_ms <= settings.max_queue_ratio * expected_ms;
        let relative = slowdown / usual;
        is_clear.then(|| (latency_ms / relative - sent.queue_ms).max(0.01))
    }
}

/// How much a statement of this age still counts, 0 to 1.
fn freshness(at: Time, life: Duration, now: Time) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (1.0 - age / life.as_secs_f64()).max(0.0)
}
