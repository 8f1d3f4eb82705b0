//! Start-time fair queueing over services, earliest deadline first within a service.
//!
//! Each service with queued or running work is a flow with a virtual start tag: slot time
//! used divided by its share. The flow with the lowest tag goes next. A flow that becomes
//! backlogged starts at the current virtual time, so idle time earns no credit.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use tt_model::ServiceId;

use crate::slots::entries::Ticket;
use crate::slots::estimate::Estimate;

/// Shares are clamped to this range so that virtual time stays within 64 bits.
const MIN_SHARE: f64 = 1e-3;
const MAX_SHARE: f64 = 1e6;

/// Flows without work that are kept for their service time; more are dropped when the
/// queue becomes idle.
const IDLE_FLOWS_KEPT: usize = 64;

/// Place of a sub-query within its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) deadline_ms: u64,
    pub(crate) urgency: Reverse<u8>,
    pub(crate) sequence: u64,
}

/// Place of a queued sub-query.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub(crate) service: ServiceId,
    pub(crate) rank: Rank,
}

/// Place of a backlogged flow among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FlowRank {
    tag: u64,
    deadline_ms: u64,
    urgency: Reverse<u8>,
    service: ServiceId,
}

#[derive(Debug)]
struct Flow {
    share: f64,
    tag: u64,
    queue: BTreeMap<Rank, Ticket>,
    running: u32,
    estimate: Estimate,
    /// The flow's key in [`FairOrder::backlogged`].
    rank: Option<FlowRank>,
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
    flows: HashMap<ServiceId, Flow>,
    backlogged: BTreeSet<FlowRank>,
    virtual_time: u64,
    /// Sum of the shares of backlogged flows.
    weight: f64,
    queued: usize,
}

impl FairOrder {
    pub(crate) fn new() -> FairOrder {
        FairOrder {
            flows: HashMap::new(),
            backlogged: BTreeSet::new(),
            virtual_time: 0,
            weight: 0.0,
            queued: 0,
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    pub(crate) fn push(
        &mut self,
        position: Position,
        ticket: Ticket,
        share: f64,
        service_time: Estimate,
    ) {
        let share = clamp_share(share);
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(position.service).or_insert_with(|| Flow {
            share,
            tag: virtual_time,
            queue: BTreeMap::new(),
            running: 0,
            estimate: service_time,
            rank: None,
        });
        if flow.queue.is_empty() {
            flow.tag = flow.tag.max(virtual_time);
        } else {
            self.weight -= flow.share;
        }
        flow.share = share;
        self.weight += share;
        flow.queue.insert(position.rank, ticket);
        self.queued += 1;
        self.reposition(position.service);
    }

    /// The next sub-query to start.
    pub(crate) fn first(&self) -> Option<Ticket> {
        let rank = self.backlogged.first()?;
        self.flows[&rank.service].queue.first_key_value().map(|(_, ticket)| *ticket)
    }

    /// Takes a sub-query out of the queue without a start.
    pub(crate) fn remove(&mut self, position: Position) {
        let Some(flow) = self.flows.get_mut(&position.service) else { return };
        if flow.queue.remove(&position.rank).is_none() {
            return;
        }
        self.queued -= 1;
        if flow.queue.is_empty() {
            self.weight -= flow.share;
        }
        self.reposition(position.service);
    }

    /// Takes a sub-query out of the queue for its start and returns the charge.
    pub(crate) fn start(&mut self, position: Position) -> u64 {
        let Some(flow) = self.flows.get_mut(&position.service) else { return 0 };
        self.virtual_time = self.virtual_time.max(flow.tag);
        let charge = cost(flow.estimate.mean(), flow.share);
        flow.tag = flow.tag.saturating_add(charge);
        flow.running += 1;
        self.remove(position);
        charge
    }

    /// Ends a run and corrects the charge to the slot time that was really used.
    pub(crate) fn finish(&mut self, service: ServiceId, charged: u64, usage: Usage) {
        let Some(flow) = self.flows.get_mut(&service) else { return };
        flow.running = flow.running.saturating_sub(1);
        let used = match usage {
            Usage::Held(held) => cost(flow.estimate.observe(held), flow.share),
            Usage::NotRun => 0,
        };
        flow.tag = flow.tag.saturating_sub(charged).saturating_add(used);
        self.reposition(service);
        self.forget_idle_flows();
    }

    /// Expected time until the slots reach a new sub-query, apart from the rest of the
    /// running ones: the lesser of its wait behind its own flow at the flow's share and
    /// its wait behind everything queued.
    pub(crate) fn expected_wait(
        &self,
        position: Position,
        share: f64,
        slots: u32,
        service_time: Estimate,
    ) -> Duration {
        let share = clamp_share(share);
        let slots = f64::from(slots.max(1));
        let behind_all = self.queued as f64 * service_time.seconds() / slots;
        let mut weight = self.weight;
        let mut lead = 0.0;
        match self.flows.get(&position.service) {
            None => weight += share,
            Some(flow) => {
                if flow.queue.is_empty() {
                    weight += share;
                }
                // Entries behind the new one are few, because most deadlines are later
                // than those already queued.
                let behind = flow.queue.range(position.rank..).count();
                let ahead = flow.queue.len() - behind;
                lead = flow.tag.saturating_sub(self.virtual_time) as f64 / 1e9
                    + ahead as f64 * flow.estimate.seconds() / share;
            }
        }
        let in_share = lead * weight / slots;
        Duration::from_secs_f64(in_share.min(behind_all))
    }

    /// The last sub-query of the flow with the most queued work for its share, or `None`
    /// if a newcomer of `service` would make its own flow that one.
    pub(crate) fn eviction(&self, service: ServiceId, share: f64) -> Option<Ticket> {
        let own = self.flows.get(&service).map_or(0, |flow| flow.queue.len()) + 1;
        let mut worst = own as f64 / clamp_share(share);
        let mut victim = None;
        for rank in &self.backlogged {
            let flow = &self.flows[&rank.service];
            let backlog = flow.queue.len() as f64 / flow.share;
            if rank.service != service && backlog > worst {
                worst = backlog;
                victim = flow.queue.last_key_value().map(|(_, ticket)| *ticket);
            }
        }
        victim
    }

    fn reposition(&mut self, service: ServiceId) {
        let Some(flow) = self.flows.get_mut(&service) else { return };
        let rank = flow.queue.first_key_value().map(|(first, _)| FlowRank {
            tag: flow.tag,
            deadline_ms: first.deadline_ms,
            urgency: first.urgency,
            service,
        });
        if rank == flow.rank {
            return;
        }
        if let Some(old) = flow.rank {
            self.backlogged.remove(&old);
        }
        if let Some(new) = rank {
            self.backlogged.insert(new);
        }
        flow.rank = rank;
        if self.backlogged.is_empty() {
            // Ends the drift from repeated additions and subtractions.
            self.weight = 0.0;
        }
    }

    fn forget_idle_flows(&mut self) {
        if self.queued == 0 && self.flows.len() > IDLE_FLOWS_KEPT {
            let virtual_time = self.virtual_time;
            self.flows.retain(|_, flow| flow.running > 0 || flow.tag > virtual_time);
        }
    }
}

fn clamp_share(share: f64) -> f64 {
    share.clamp(MIN_SHARE, MAX_SHARE)
}

fn cost(time: Duration, share: f64) -> u64 {
    (time.as_nanos() as f64 / share) as u64
}
