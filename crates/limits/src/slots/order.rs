//! Weighted fair queueing over services, earliest deadline first among those within their
//! share and within a service.
//!
//! Each service is a flow with a virtual start tag: slot time used divided by its share. A
//! flow whose tag is at most the virtual time is within its share; those flows go by their
//! deadlines. If there is none, the flow with the lowest tag goes and the virtual time
//! advances to its tag.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::slots::entries::Ticket;
use crate::slots::estimate::Estimate;
use crate::slots::sorted::SortedMap;
use tt_model::ServiceId;

/// Shares are clamped to this range so that virtual time stays within 64 bits.
const MIN_SHARE: f64 = 1e-3;
const MAX_SHARE: f64 = 1e6;

/// Sub-queries that a flow may run ahead of its share after it was idle. Without credit a
/// service with a small share waits long for the second of two sub-queries that arrive
/// together, although both are within its contract.
const CREDIT: u64 = 8;

/// First virtual time; leaves room for the credit of the smallest share.
const FIRST_TIME: u64 = 1 << 52;

/// Flows without work are dropped above this number.
const IDLE_FLOWS_KEPT: usize = 64;

/// Place of a sub-query within its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) deadline_ms: u64,
    pub(crate) urgency: Reverse<u8>,
    pub(crate) sequence: u64,
}

/// A flow of a [`FairOrder`], valid while it has queued or running sub-queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowKey(u32);

/// Place of a queued sub-query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub(crate) flow: FlowKey,
    pub(crate) rank: Rank,
}

/// Place of a backlogged flow among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// It has no queued sub-queries.
    Idle,
    /// Within its share: by its first sub-query.
    Within(Rank),
    /// Ahead of its share: by its tag, then by its first sub-query.
    Ahead(u64, Rank),
}

#[derive(Debug)]
struct Flow {
    service: ServiceId,
    share: f64,
    tag: u64,
    queue: SortedMap<Rank, Ticket>,
    running: u32,
    estimate: Estimate,
    pace: Pace,
    place: Place,
}

/// How fast a flow is served while it has work queued. The shares alone do not show this,
/// because other flows within theirs take slots first as their work arrives.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    /// The last start, if work has been queued since.
    last: Option<Instant>,
    /// Starts since the flow became backlogged.
    starts: u32,
    /// Moving average of the time between starts.
    seconds: f64,
}

/// What an ended run means for its flow.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Usage {
    /// It held the slot for this long.
    Held(Duration),
    /// It did not run, so its charge is returned.
    NotRun,
}

#[derive(Debug)]
pub(crate) struct FairOrder {
    flows: Vec<Flow>,
    free: Vec<FlowKey>,
    by_service: HashMap<ServiceId, FlowKey>,
    within: SortedMap<Rank, FlowKey>,
    ahead: SortedMap<(u64, Rank), FlowKey>,
    virtual_time: u64,
    /// Sum of the shares of backlogged flows.
    weight: f64,
    queued: usize,
}

impl FairOrder {
    pub(crate) fn new() -> FairOrder {
        FairOrder {
            flows: Vec::new(),
            free: Vec::new(),
            by_service: HashMap::new(),
            within: SortedMap::new(),
            ahead: SortedMap::new(),
            virtual_time: FIRST_TIME,
            weight: 0.0,
            queued: 0,
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    /// The flow of a service, with its share brought up to date.
    pub(crate) fn flow(&mut self, service: ServiceId, share: f64, slot_time: Estimate) -> FlowKey {
        let share = share.clamp(MIN_SHARE, MAX_SHARE);
        if let Some(&key) = self.by_service.get(&service) {
            let flow = &mut self.flows[key.0 as usize];
            if !flow.queue.is_empty() {
                self.weight += share - flow.share;
            }
            flow.share = share;
            return key;
        }
        let flow = Flow {
            service,
            share,
            tag: 0,
            queue: SortedMap::new(),
            running: 0,
            estimate: slot_time,
            pace: Pace::default(),
            place: Place::Idle,
        };
        let key = match self.free.pop() {
            Some(key) => {
                self.flows[key.0 as usize] = flow;
                key
            }
            None => {
                self.flows.push(flow);
                FlowKey((self.flows.len() - 1) as u32)
            }
        };
        self.by_service.insert(service, key);
        key
    }

    pub(crate) fn push(&mut self, position: Position, ticket: Ticket) {
        let flow = &mut self.flows[position.flow.0 as usize];
        if flow.queue.is_empty() {
            let credit = CREDIT * cost(flow.estimate.mean(), flow.share);
            flow.tag = flow.tag.max(self.virtual_time.saturating_sub(credit));
            self.weight += flow.share;
        }
        flow.queue.insert(position.rank, ticket);
        self.queued += 1;
        self.reposition(position.flow);
    }

    /// The next sub-query to start.
    pub(crate) fn first(&self) -> Option<Ticket> {
        let key = match self.within.first() {
            Some((_, key)) => key,
            None => self.ahead.first().map(|(_, key)| key)?,
        };
        self.flows[key.0 as usize].queue.first().map(|(_, ticket)| *ticket)
    }

    /// Takes a sub-query out of the queue without a start.
    pub(crate) fn remove(&mut self, position: Position) {
        let flow = &mut self.flows[position.flow.0 as usize];
        if flow.queue.remove(&position.rank).is_none() {
            return;
        }
        self.queued -= 1;
        if flow.queue.is_empty() {
            self.weight -= flow.share;
            flow.pace = Pace::default();
        }
        self.reposition(position.flow);
        self.forget(position.flow);
    }

    /// Takes a sub-query out of the queue for its start and returns the charge.
    pub(crate) fn start(&mut self, now: Instant, position: Position) -> u64 {
        let flow = &mut self.flows[position.flow.0 as usize];
        let (before, charge) = (flow.tag, cost(flow.estimate.mean(), flow.share));
        flow.tag = before.saturating_add(charge);
        flow.running += 1;
        flow.pace.started(now);
        self.remove(position);
        if before > self.virtual_time {
            self.advance(before);
        }
        charge
    }

    /// Ends a run and corrects the charge to the slot time that was really used.
    pub(crate) fn finish(&mut self, key: FlowKey, charged: u64, usage: Usage) {
        let flow = &mut self.flows[key.0 as usize];
        flow.running -= 1;
        let used = match usage {
            Usage::Held(held) => cost(flow.estimate.observe(held), flow.share),
            Usage::NotRun => 0,
        };
        flow.tag = flow.tag.saturating_sub(charged).saturating_add(used);
        self.reposition(key);
        self.forget(key);
    }

    /// Expected time until the slots reach a new sub-query, apart from the rest of the
    /// running ones.
    pub(crate) fn expected_wait(
        &self,
        position: Position,
        slots: u32,
        slot_time: Estimate,
    ) -> Duration {
        if self.queued == 0 {
            return Duration::ZERO;
        }
        let time_per_start = slot_time.seconds() / f64::from(slots.max(1));
        let flow = &self.flows[position.flow.0 as usize];
        let ahead = flow.queue.count_before(&position.rank) as u64;
        let all = self.queued as f64 * time_per_start;
        let tag = flow.tag.saturating_add(ahead * cost(flow.estimate.mean(), flow.share));
        // In its share, behind its own work and one sub-query of each flow in its share.
        let within = (ahead as f64 + self.within.len() as f64) * time_per_start;
        let lead = tag.saturating_sub(self.virtual_time) as f64 / 1e9;
        let own_share = if flow.queue.is_empty() { flow.share } else { 0.0 };
        let in_share = lead * (self.weight + own_share) / f64::from(slots.max(1)) + within;
        let seconds = all.min(in_share).max(flow.pace.time_for(ahead));
        Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS))
    }

    /// The last sub-query of the flow with the most queued work for its share, or `None`
    /// if a newcomer would make its own flow that one.
    pub(crate) fn eviction(&self, newcomer: FlowKey) -> Option<Ticket> {
        let own = &self.flows[newcomer.0 as usize];
        let mut worst = (own.queue.len() + 1) as f64 / own.share;
        let mut victim = None;
        let within = self.within.iter().map(|(_, key)| *key);
        let ahead = self.ahead.iter().map(|(_, key)| *key);
        for key in within.chain(ahead) {
            let flow = &self.flows[key.0 as usize];
            let backlog = flow.queue.len() as f64 / flow.share;
            if key != newcomer && backlog > worst {
                worst = backlog;
                victim = flow.queue.last().map(|(_, ticket)| *ticket);
            }
        }
        victim
    }

    fn advance(&mut self, to: u64) {
        self.virtual_time = to;
        while let Some(&((tag, _), key)) = self.ahead.first() {
            if tag > to {
                break;
            }
            self.reposition(key);
        }
    }

    fn reposition(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key.0 as usize];
        let place = match flow.queue.first() {
            None => Place::Idle,
            Some(&(rank, _)) if flow.tag <= self.virtual_time => Place::Within(rank),
            Some(&(rank, _)) => Place::Ahead(flow.tag, rank),
        };
        if place == flow.place {
            return;
        }
        match flow.place {
            Place::Idle => {}
            Place::Within(rank) => {
                self.within.remove(&rank);
            }
            Place::Ahead(tag, rank) => {
                self.ahead.remove(&(tag, rank));
            }
        }
        flow.place = place;
        match place {
            Place::Idle if self.queued == 0 => {
                // Ends the drift from repeated additions and subtractions.
                self.weight = 0.0;
            }
            Place::Idle => {}
            Place::Within(rank) => {
                self.within.insert(rank, key);
            }
            Place::Ahead(tag, rank) => {
                self.ahead.insert((tag, rank), key);
            }
        }
    }

    /// Drops a flow without work, unless it is ahead of its share.
    fn forget(&mut self, key: FlowKey) {
        let flow = &self.flows[key.0 as usize];
        if self.by_service.len() > IDLE_FLOWS_KEPT
            && flow.queue.is_empty()
            && flow.running == 0
            && flow.tag <= self.virtual_time
        {
            self.by_service.remove(&flow.service);
            self.free.push(key);
        }
    }
}

impl Pace {
    fn started(&mut self, now: Instant) {
        if let Some(last) = self.last {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            let weight = (1.0 / f64::from(self.starts)).max(PACE_WEIGHT);
            self.seconds += weight * (seconds - self.seconds);
        }
        self.last = Some(now);
        self.starts = self.starts.saturating_add(1);
    }

    /// Seconds until `ahead` more starts; 0 if there were too few to tell.
    fn time_for(&self, ahead: u64) -> f64 {
        if self.starts < PACE_STARTS {
            return 0.0;
        }
        self.seconds * ahead as f64
    }
}

/// Weight of one interval in [`Pace`], after the first few.
const PACE_WEIGHT: f64 = 1.0 / 16.0;

/// Fewer starts say nothing about the pace: most queues end after a few.
const PACE_STARTS: u32 = 16;

/// Longer waits exceed every deadline.
const MAX_WAIT_SECONDS: f64 = 3600.0;

fn cost(time: Duration, share: f64) -> u64 {
    (time.as_nanos() as f64 / share) as u64
}
