//! Weighted fair queueing over services, with earliest deadline first within each service.
//!
//! Each service is a flow with a virtual start tag: the slot time that it used, divided by
//! its share. A flow whose tag is at most the virtual time is within its share, and among
//! such flows the sub-query with the earliest deadline starts first. If no flow is within
//! its share, the flow with the lowest tag is served and the virtual time advances to its
//! tag.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::slots::estimate::SlotTimeEstimate;
use crate::slots::sorted::SortedMap;
use crate::slots::tickets::Ticket;
use tt_model::ServiceId;

/// Shares are clamped to this range so that virtual time stays within 64 bits.
const MIN_SHARE: f64 = 1e-3;
const MAX_SHARE: f64 = 1e6;

/// Number of sub-queries that a flow may run ahead of its share after it was idle. Without
/// this credit, a service with a small share waits long for the second of two sub-queries
/// that arrive together, although both are within its contract.
const MAX_CREDIT_SUB_QUERIES: u64 = 8;

/// Large enough that the credit of the smallest share can be subtracted.
const INITIAL_VIRTUAL_TIME: u64 = 1 << 52;

/// Idle flows are dropped while there are more flows than this.
const FLOW_COUNT_THRESHOLD: usize = 64;

/// Order of the sub-queries within a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) deadline_ms: u64,
    pub(crate) urgency: Reverse<u8>,
    pub(crate) sequence: u64,
}

/// A flow of a [`FairOrder`], valid while it has queued or running sub-queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowKey(u32);

/// The flow of a queued sub-query and its rank there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub(crate) flow: FlowKey,
    pub(crate) rank: Rank,
}

/// Which list of [`FairOrder`] a flow is in, and with which key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    /// In neither list, because the flow has no queued sub-queries.
    Idle,
    /// Within its share; ordered by the rank of its first sub-query.
    WithinShare(Rank),
    /// Ahead of its share; ordered by its tag, then by the rank of its first sub-query.
    AheadOfShare(u64, Rank),
}

#[derive(Debug)]
struct Flow {
    service: ServiceId,
    share: f64,
    /// Virtual start tag: used slot time in nanoseconds, divided by the share.
    tag: u64,
    queue: SortedMap<Rank, Ticket>,
    running: u32,
    slot_time: SlotTimeEstimate,
    start_interval: StartInterval,
    state: FlowState,
}

/// Time between starts of a flow while it has queued sub-queries. It cannot be derived from
/// the shares alone, because flows within their share are served first as their sub-queries
/// arrive.
#[derive(Debug, Clone, Copy, Default)]
struct StartInterval {
    /// The last start since the flow became backlogged.
    last_start: Option<Instant>,
    /// Number of starts since the flow became backlogged.
    start_count: u32,
    /// Moving average of the time between starts.
    mean_seconds: f64,
}

/// What a flow is charged for a run that ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Usage {
    /// The sub-query held its slot for this time.
    Held(Duration),
    /// The sub-query did not run, so the charge made at its start is refunded.
    NotRun,
}

/// The order in which queued sub-queries start.
#[derive(Debug)]
pub(crate) struct FairOrder {
    flows: Vec<Flow>,
    free_keys: Vec<FlowKey>,
    by_service: HashMap<ServiceId, FlowKey>,
    within_share: SortedMap<Rank, FlowKey>,
    ahead_of_share: SortedMap<(u64, Rank), FlowKey>,
    virtual_time: u64,
    /// Sum of the shares of the flows with queued sub-queries.
    backlogged_share: f64,
    queued: usize,
}

impl FairOrder {
    pub(crate) fn new() -> FairOrder {
        FairOrder {
            flows: Vec::new(),
            free_keys: Vec::new(),
            by_service: HashMap::new(),
            within_share: SortedMap::new(),
            ahead_of_share: SortedMap::new(),
            virtual_time: INITIAL_VIRTUAL_TIME,
            backlogged_share: 0.0,
            queued: 0,
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the flow of `service`, updating its share, or adds a flow whose slot time
    /// starts from the estimate `slot_time`.
    pub(crate) fn flow(
        &mut self,
        service: ServiceId,
        share: f64,
        slot_time: SlotTimeEstimate,
    ) -> FlowKey {
        let share = share.clamp(MIN_SHARE, MAX_SHARE);
        if let Some(&key) = self.by_service.get(&service) {
            let flow = &mut self.flows[key.0 as usize];
            if !flow.queue.is_empty() {
                self.backlogged_share += share - flow.share;
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
            slot_time,
            start_interval: StartInterval::default(),
            state: FlowState::Idle,
        };
        let key = match self.free_keys.pop() {
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
            let credit = MAX_CREDIT_SUB_QUERIES * virtual_cost(flow.slot_time.mean(), flow.share);
            flow.tag = flow.tag.max(self.virtual_time.saturating_sub(credit));
            self.backlogged_share += flow.share;
        }
        flow.queue.insert(position.rank, ticket);
        self.queued += 1;
        self.update_state(position.flow);
    }

    /// Returns the next sub-query to start.
    pub(crate) fn first(&self) -> Option<Ticket> {
        let key = match self.within_share.first() {
            Some((_, key)) => key,
            None => self.ahead_of_share.first().map(|(_, key)| key)?,
        };
        self.flows[key.0 as usize].queue.first().map(|(_, ticket)| *ticket)
    }

    /// Removes a sub-query from the queue without starting it.
    pub(crate) fn remove(&mut self, position: Position) {
        let flow = &mut self.flows[position.flow.0 as usize];
        if flow.queue.remove(&position.rank).is_none() {
            return;
        }
        self.queued -= 1;
        if flow.queue.is_empty() {
            self.backlogged_share -= flow.share;
            flow.start_interval = StartInterval::default();
        }
        self.update_state(position.flow);
        self.drop_if_idle(position.flow);
    }

    /// Removes a sub-query that starts from the queue. Returns the virtual time that its flow
    /// is charged.
    pub(crate) fn start(&mut self, now: Instant, position: Position) -> u64 {
        let flow = &mut self.flows[position.flow.0 as usize];
        let (before, charge) = (flow.tag, virtual_cost(flow.slot_time.mean(), flow.share));
        flow.tag = before.saturating_add(charge);
        flow.running += 1;
        flow.start_interval.record_start(now);
        self.remove(position);
        if before > self.virtual_time {
            self.advance_to(before);
        }
        charge
    }

    /// Ends a run and replaces its charge by the slot time that was actually used.
    pub(crate) fn finish(&mut self, key: FlowKey, charged: u64, usage: Usage) {
        let flow = &mut self.flows[key.0 as usize];
        flow.running -= 1;
        let used = match usage {
            Usage::Held(held) => virtual_cost(flow.slot_time.observe(held), flow.share),
            Usage::NotRun => 0,
        };
        flow.tag = flow.tag.saturating_sub(charged).saturating_add(used);
        self.update_state(key);
        self.drop_if_idle(key);
    }

    /// Expected time until a new sub-query at `position` starts, without the remaining time
    /// of the running sub-queries.
    pub(crate) fn expected_wait(
        &self,
        position: Position,
        slots: u32,
        slot_time: SlotTimeEstimate,
    ) -> Duration {
        if self.queued == 0 {
            return Duration::ZERO;
        }
        let time_per_start = slot_time.seconds() / f64::from(slots.max(1));
        let flow = &self.flows[position.flow.0 as usize];
        let ahead = flow.queue.count_before(&position.rank) as u64;
        // At most, the sub-query waits behind all queued ones.
        let all_queued = self.queued as f64 * time_per_start;
        let tag = flow.tag.saturating_add(ahead * virtual_cost(flow.slot_time.mean(), flow.share));
        // Within its share, the sub-query waits behind its own flow and behind one sub-query of
        // each flow that is within its share.
        let flow_wait = (ahead as f64 + self.within_share.len() as f64) * time_per_start;
        // How far the flow is ahead of its share, in slot seconds for a share of 1.
        let lead = tag.saturating_sub(self.virtual_time) as f64 / 1e9;
        let own_share = if flow.queue.is_empty() { flow.share } else { 0.0 };
        let share_wait =
            lead * (self.backlogged_share + own_share) / f64::from(slots.max(1)) + flow_wait;
        let seconds = all_queued.min(share_wait).max(flow.start_interval.expected_seconds(ahead));
        Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS))
    }

    /// Returns the last sub-query of the flow with the most queued sub-queries relative to
    /// its share, or `None` if that flow would be `pushed`, the flow of a new sub-query.
    pub(crate) fn eviction_candidate(&self, pushed: FlowKey) -> Option<Ticket> {
        let pushed_flow = &self.flows[pushed.0 as usize];
        let mut max_backlog = (pushed_flow.queue.len() + 1) as f64 / pushed_flow.share;
        let mut evicted = None;
        let within = self.within_share.iter().map(|(_, key)| *key);
        let ahead = self.ahead_of_share.iter().map(|(_, key)| *key);
        for key in within.chain(ahead) {
            let flow = &self.flows[key.0 as usize];
            let backlog = flow.queue.len() as f64 / flow.share;
            if key != pushed && backlog > max_backlog {
                max_backlog = backlog;
                evicted = flow.queue.last().map(|(_, ticket)| *ticket);
            }
        }
        evicted
    }

    fn advance_to(&mut self, time: u64) {
        self.virtual_time = time;
        while let Some(&((tag, _), key)) = self.ahead_of_share.first() {
            if tag > time {
                break;
            }
            self.update_state(key);
        }
    }

    /// Moves a flow to the list and the key that its queue and its tag ask for.
    fn update_state(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key.0 as usize];
        let state = match flow.queue.first() {
            None => FlowState::Idle,
            Some(&(rank, _)) if flow.tag <= self.virtual_time => FlowState::WithinShare(rank),
            Some(&(rank, _)) => FlowState::AheadOfShare(flow.tag, rank),
        };
        if state == flow.state {
            return;
        }
        match flow.state {
            FlowState::Idle => {}
            FlowState::WithinShare(rank) => {
                self.within_share.remove(&rank);
            }
            FlowState::AheadOfShare(tag, rank) => {
                self.ahead_of_share.remove(&(tag, rank));
            }
        }
        flow.state = state;
        match state {
            FlowState::Idle if self.queued == 0 => {
                // Clears the rounding error of repeated additions and subtractions.
                self.backlogged_share = 0.0;
            }
            FlowState::Idle => {}
            FlowState::WithinShare(rank) => {
                self.within_share.insert(rank, key);
            }
            FlowState::AheadOfShare(tag, rank) => {
                self.ahead_of_share.insert((tag, rank), key);
            }
        }
    }

    /// Drops a flow without queued or running sub-queries, unless it is ahead of its share.
    fn drop_if_idle(&mut self, key: FlowKey) {
        let flow = &self.flows[key.0 as usize];
        if self.by_service.len() > FLOW_COUNT_THRESHOLD
            && flow.queue.is_empty()
            && flow.running == 0
            && flow.tag <= self.virtual_time
        {
            self.by_service.remove(&flow.service);
            self.free_keys.push(key);
        }
    }
}

impl StartInterval {
    fn record_start(&mut self, now: Instant) {
        if let Some(last) = self.last_start {
            let seconds = now.saturating_duration_since(last).as_secs_f64();
            let weight = (1.0 / f64::from(self.start_count)).max(INTERVAL_SMOOTHING_RATIO);
            self.mean_seconds += weight * (seconds - self.mean_seconds);
        }
        self.last_start = Some(now);
        self.start_count = self.start_count.saturating_add(1);
    }

    /// Expected seconds until `ahead` more starts, or 0 after too few starts for an estimate.
    fn expected_seconds(&self, ahead: u64) -> f64 {
        if self.start_count < MIN_STARTS {
            return 0.0;
        }
        self.mean_seconds * ahead as f64
    }
}

/// Weight of a new interval in the mean of [`StartInterval`]. The first intervals weigh more.
const INTERVAL_SMOOTHING_RATIO: f64 = 1.0 / 16.0;

/// Minimum number of starts for an estimate of their interval. Most flows are idle again after
/// fewer.
const MIN_STARTS: u32 = 16;

/// Upper bound of an expected wait, above every deadline.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// Virtual time that a flow is charged for the slot time `time`.
fn virtual_cost(time: Duration, share: f64) -> u64 {
    (time.as_nanos() as f64 / share) as u64
}
