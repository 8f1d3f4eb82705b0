//! Measures the cost of single decisions.

use std::hint::black_box;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::workload::DEADLINE;
use crate::workload::SERVICES;
use crate::workload::SLOTS;
use crate::workload::contract_rates;
use crate::workload::environment;
use tt_limits::Acquired;
use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::Arrival;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;
use tt_limits::MemberView;
use tt_limits::QueueSettings;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotGrant;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_model::Key;
use tt_model::ServiceId;

pub(crate) fn print() {
    println!("decision cost, mean of many rounds   ns per decision");
    let now = Instant::now();
    let rates = contract_rates();
    let no_others = MemberView::Certain(Vec::new());
    let mut admission = Admission::new(
        now,
        AdmissionSettings::default(),
        &environment(&[1e9; SERVICES]),
        no_others,
    );
    let arrival =
        Arrival { service: ServiceId(7), deadline: now + DEADLINE, expected_wait: Duration::ZERO };
    measure("admit and release", 1_000_000, |round| {
        let now = now + Duration::from_nanos(round);
        let permit = admission.admit(now, &arrival).expect("within the contract");
        admission.release(black_box(permit));
    });
    let small_rates = environment(&[1e-3; SERVICES]);
    let no_others = MemberView::Certain(Vec::new());
    let mut admission = Admission::new(now, AdmissionSettings::default(), &small_rates, no_others);
    for _ in 0..5 {
        let permit = admission.admit(now, &arrival).expect("within the burst");
        admission.release(permit);
    }
    measure("reject at admission (rate)", 1_000_000, |round| {
        let now = now + Duration::from_nanos(round);
        black_box(admission.admit(now, &arrival)).expect_err("above the rate");
    });

    for backlog in [0, 50, 200] {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut connections = Connections::new(ConnectionSettings::default());
        connections.set_limit(now, 13, &mut rng);
        connections.set_concurrency(SLOTS);
        let mut time = now;
        while connections.idle_count() < 3 {
            time += Duration::from_millis(1);
            if let Some(ConnectionAction::Open(id)) = connections.next_action(time, &mut rng) {
                connections.on_opened(time, id);
            }
        }
        let mut queue = SlotQueue::new(now, QueueSettings::default());
        queue.set_grant(SlotGrant::leased(SLOTS, now + Duration::from_secs(3600)));
        let sub_query = |service: u64, now: Instant| SubQuery {
            service: ServiceId::from_index((service % SERVICES as u64) as usize),
            share: rates[(service % SERVICES as u64) as usize],
            urgency: 0,
            deadline: now + Duration::from_secs(600),
        };
        for service in 0..backlog {
            queue.push(now, sub_query(service, now), service).expect("the queue is not full");
        }
        let name = format!("push, start, connect, finish (backlog {backlog})");
        measure(&name, 1_000_000, |round| {
            let now = now + Duration::from_nanos(round);
            queue.push(now, sub_query(round, now), round).expect("the queue is not full");
            let Some(SlotAction::Start { ticket, .. }) = queue.next_action(now) else {
                panic!("no slot is free");
            };
            let Acquired::Reuse(id) = connections.acquire() else {
                panic!("no connection is idle")
            };
            black_box(connections.next_action(now, &mut rng));
            connections.on_released(now, id);
            queue.finish(now + Duration::from_millis(10), ticket, RunOutcome::Answered);
        });
    }

    let mut queue = SlotQueue::new(now, QueueSettings::default());
    queue.set_grant(SlotGrant::Own { slots: SLOTS });
    let sub_query =
        SubQuery { service: ServiceId(7), share: 1.0, urgency: 0, deadline: now + DEADLINE };
    while queue.push(now, sub_query, 0).is_ok() {}
    measure("reject at the queue (expected wait)", 1_000_000, |_| {
        black_box(queue.push(now, sub_query, 0)).expect_err("the expected wait is too long");
    });
    println!();
}

/// Runs `decide` for a tenth of `rounds` as warm-up, then prints its mean time over `rounds`.
fn measure<F>(name: &str, rounds: u64, mut decide: F)
where
    F: FnMut(u64),
{
    for round in 0..rounds / 10 {
        decide(round);
    }
    let start = std::time::Instant::now();
    for round in rounds / 10..rounds / 10 + rounds {
        decide(round);
    }
    println!("{name:<46} {:>6.0}", start.elapsed().as_nanos() as f64 / rounds as f64);
}
