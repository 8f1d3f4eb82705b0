//! Tests of state of the fair order that is not visible through `SlotQueue`.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use super::FairOrder;
use super::Position;
use super::Rank;
use super::Usage;
use crate::slots::estimate::SlotTimeEstimate;
use crate::slots::tickets::TicketMap;
use tt_model::ServiceId;

const SLOT_TIME: Duration = Duration::from_millis(10);

struct Fixture {
    order: FairOrder,
    tickets: TicketMap<()>,
    sequence: u64,
}

impl Fixture {
    fn push(&mut self, service: u32) -> Position {
        self.sequence += 1;
        let flow = self.order.flow(ServiceId(service), 1.0, SlotTimeEstimate::new(SLOT_TIME));
        let rank = Rank { deadline_ms: 400, urgency: Reverse(0), sequence: self.sequence };
        let position = Position { flow, rank };
        self.order.push(position, self.tickets.reserve());
        position
    }
}

/// Guards against memory that grows with every service ever seen, and against dropping a flow
/// that still has sub-queries: their end would be charged to another service.
#[test]
fn idle_flows_are_dropped_and_flows_with_sub_queries_are_kept() {
    let now = Instant::now();
    let mut fixture = Fixture { order: FairOrder::new(), tickets: TicketMap::new(), sequence: 0 };
    let running = fixture.push(0);
    let charged_running = fixture.order.start(now, running);
    let queued = fixture.push(1);
    for service in 2..1000 {
        let position = fixture.push(service);
        let charged = fixture.order.start(now, position);
        fixture.order.finish(position.flow, charged, Usage::NotRun);
    }
    assert!(fixture.order.flows.len() <= 70, "{} flows", fixture.order.flows.len());
    assert_eq!(fixture.order.by_service[&ServiceId(0)], running.flow);
    assert_eq!(fixture.order.by_service[&ServiceId(1)], queued.flow);
    let [first, second] = [5000, 5000].map(|service| fixture.push(service));
    let charged = fixture.order.start(now, first);
    fixture.order.remove(second);
    assert_eq!(fixture.order.by_service.get(&ServiceId(5000)), Some(&first.flow), "one runs");
    let third = fixture.push(5000);
    fixture.order.finish(first.flow, charged, Usage::Held(SLOT_TIME));
    assert_eq!(fixture.order.by_service.get(&ServiceId(5000)), Some(&first.flow), "one waits");
    fixture.order.remove(third);
    fixture.order.finish(running.flow, charged_running, Usage::Held(SLOT_TIME));
    fixture.order.remove(queued);
    assert_eq!(fixture.order.queued(), 0);
    assert_eq!(fixture.order.flows.iter().map(|flow| flow.running).sum::<u32>(), 0);
}
