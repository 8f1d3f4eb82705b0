//! Stateful fuzz test of the slot queue, checked against a list of all sub-queries.

mod common;

use std::collections::BTreeMap;

use common::fuzz_config;
use common::ms;
use common::sub_query;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use tokio::time::Instant;

use tt_limits::CancelOutcome;
use tt_limits::QueuePolicy;
use tt_limits::QueueSettings;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotGrant;
use tt_limits::SlotKind;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_limits::Ticket;

const CLOCK_MARGIN_MS: u64 = 5;

#[derive(Debug, Clone)]
enum Step {
    Push { service: u32, share: f64, urgency: u8, deadline_ms: u64 },
    RunActions { max: usize },
    Finish { nth: usize, outcome: RunOutcome },
    Cancel { nth: usize },
    Advance { millis: u64 },
    NoGrant,
    Own { slots: u32 },
    Leased { slots: u32, millis: u64 },
    Drain,
    Resume,
    ColdStart,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Queued,
    Running { slot: SlotKind },
    Rejected,
    Cancelled,
    Finished,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    service: u32,
    deadline: Instant,
    ticket: Ticket,
    phase: Phase,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = QueuePolicy;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<QueuePolicy> {
        prop_oneof![3 => Just(QueuePolicy::Fair), 1 => Just(QueuePolicy::Fifo)].boxed()
    }

    fn transitions(_: &QueuePolicy) -> BoxedStrategy<Step> {
        let outcome = prop_oneof![
            4 => Just(RunOutcome::Answered),
            1 => Just(RunOutcome::NotRun),
            1 => Just(RunOutcome::Failed),
        ];
        prop_oneof![
            12 => (0..6u32, 0.1..8.0f64, 0..3u8, 0..400u64).prop_map(
                |(service, share, urgency, deadline_ms)| Step::Push { service, share, urgency, deadline_ms }
            ),
            6 => Just(Step::RunActions { max: usize::MAX }),
            2 => (1..3usize).prop_map(|max| Step::RunActions { max }),
            6 => (any::<usize>(), outcome).prop_map(|(nth, outcome)| Step::Finish { nth, outcome }),
            2 => any::<usize>().prop_map(|nth| Step::Cancel { nth }),
            5 => (0..60u64).prop_map(|millis| Step::Advance { millis }),
            1 => Just(Step::NoGrant),
            2 => (0..4u32).prop_map(|slots| Step::Own { slots }),
            4 => (1..6u32, 0..300u64).prop_map(|(slots, millis)| Step::Leased { slots, millis }),
            1 => Just(Step::Drain),
            2 => Just(Step::Resume),
            1 => Just(Step::ColdStart),
        ]
        .boxed()
    }

    fn apply(state: QueuePolicy, _: &Step) -> QueuePolicy {
        state
    }
}

struct Oracle {
    policy: QueuePolicy,
    queue: SlotQueue<usize>,
    now: Instant,
    records: Vec<Record>,
    grant: SlotGrant,
    draining: bool,
    cold: bool,
}

impl Oracle {
    fn running(&self) -> Vec<usize> {
        self.records_in(|phase| matches!(phase, Phase::Running { .. }))
    }

    fn records_in(&self, wanted: impl Fn(Phase) -> bool) -> Vec<usize> {
        (0..self.records.len()).filter(|&item| wanted(self.records[item].phase)).collect()
    }

    /// Number of usable slots at `now`, with and without the leased ones.
    fn slots(&self) -> (u32, u32) {
        match self.grant {
            _ if self.draining => (0, 0),
            SlotGrant::None => (0, 0),
            SlotGrant::Own { slots } => (slots, slots),
            SlotGrant::Leased { slots, own_slots, until } if self.now < until => (slots, own_slots),
            SlotGrant::Leased { own_slots, .. } => (own_slots, own_slots),
        }
    }

    fn push(&mut self, request: SubQuery) {
        let item = self.records.len();
        let (service, deadline) = (request.service.0, request.deadline);
        match self.queue.push(self.now, request, item) {
            Ok(ticket) => {
                assert!(deadline > self.now && !self.draining && self.grant != SlotGrant::None);
                self.records.push(Record { service, deadline, ticket, phase: Phase::Queued });
            }
            Err(rejected) => assert_eq!(rejected.item, item),
        }
    }

    fn started(&mut self, item: usize, ticket: Ticket, deadline: Instant, slot: SlotKind) {
        let record = self.records[item];
        assert_eq!((record.phase, record.ticket), (Phase::Queued, ticket));
        assert!(self.now < deadline && deadline <= record.deadline);
        let (all, own) = self.slots();
        let running = self.running();
        assert!((running.len() as u32) < all, "{} running, {all} allowed", running.len());
        let own_running = running
            .iter()
            .filter(|&&item| self.records[item].phase == Phase::Running { slot: SlotKind::Own })
            .count() as u32;
        match (slot, self.grant) {
            (SlotKind::Own, _) => assert!(own_running < own),
            (SlotKind::Leased, SlotGrant::Leased { until, .. }) => {
                assert!(deadline + ms(CLOCK_MARGIN_MS) <= until);
            }
            (SlotKind::Leased, grant) => panic!("no lease in {grant:?}"),
        }
        for &other in &self.records_in(|phase| phase == Phase::Queued) {
            let other_record = self.records[other];
            match self.policy {
                QueuePolicy::Fair if other_record.service == record.service => {
                    assert!(
                        record.deadline < other_record.deadline + ms(1),
                        "a later deadline started first"
                    );
                }
                QueuePolicy::Fair => {}
                QueuePolicy::Fifo => assert!(item <= other, "a later arrival started first"),
            }
        }
        self.records[item].phase = Phase::Running { slot };
    }

    fn run_actions(&mut self, max: usize) {
        for _ in 0..max {
            match self.queue.next_action(self.now) {
                Some(SlotAction::Start { ticket, item, deadline, slot }) => {
                    self.started(item, ticket, deadline, slot);
                }
                Some(SlotAction::Reject { ticket, item, .. }) => {
                    let record = &mut self.records[item];
                    assert_eq!((record.phase, record.ticket), (Phase::Queued, ticket));
                    record.phase = Phase::Rejected;
                }
                Some(SlotAction::Cancel { ticket }) => {
                    let running = self.running();
                    assert!(running.iter().any(|&item| self.records[item].ticket == ticket));
                }
                None => {
                    self.check_no_action();
                    return;
                }
            }
        }
    }

    /// Checks what must hold when the queue has no action at this time.
    fn check_no_action(&self) {
        let queued = self.records_in(|phase| phase == Phase::Queued);
        assert_eq!(queued.len(), self.queue.queued());
        let (_, own) = self.slots();
        if !queued.is_empty() && !self.cold {
            assert!(
                self.running().len() as u32 >= own,
                "an own slot is free while {queued:?} wait"
            );
        }
        for item in queued {
            let deadline = self.records[item].deadline;
            assert!(deadline > self.now, "an expired sub-query was not reported");
            assert!(self.queue.wake_at().is_some_and(|wake| wake <= deadline));
        }
        assert!(self.queue.wake_at().is_none_or(|wake| wake > self.now));
    }
}

impl StateMachineTest for Oracle {
    type SystemUnderTest = Oracle;
    type Reference = Steps;

    fn init_test(policy: &QueuePolicy) -> Oracle {
        let now = Instant::now();
        let settings = QueueSettings {
            policy: *policy,
            capacity: 8,
            clock_margin: ms(CLOCK_MARGIN_MS),
            ..QueueSettings::default()
        };
        Oracle {
            policy: *policy,
            queue: SlotQueue::new(now, settings),
            now,
            records: Vec::new(),
            grant: SlotGrant::None,
            draining: false,
            cold: false,
        }
    }

    fn apply(mut test: Oracle, _: &QueuePolicy, step: Step) -> Oracle {
        match step {
            Step::Push { service, share, urgency, deadline_ms } => {
                let request = sub_query(test.now, service, ms(deadline_ms));
                test.push(SubQuery { share, urgency, ..request });
            }
            Step::RunActions { max } => test.run_actions(max),
            Step::Finish { nth, outcome } => {
                // The sub-query may also be queued or finished: late replies must do no harm.
                let Some(record) =
                    nth.checked_rem(test.records.len()).map(|i| &mut test.records[i])
                else {
                    return test;
                };
                test.queue.finish(test.now, record.ticket, outcome);
                if matches!(record.phase, Phase::Running { .. }) {
                    record.phase = Phase::Finished;
                }
            }
            Step::Cancel { nth } => {
                let Some(item) = nth.checked_rem(test.records.len()) else { return test };
                let phase = test.records[item].phase;
                match test.queue.cancel(test.records[item].ticket) {
                    CancelOutcome::Dequeued(returned) => {
                        assert_eq!((returned, phase), (item, Phase::Queued));
                        test.records[item].phase = Phase::Cancelled;
                    }
                    CancelOutcome::Running => assert!(matches!(phase, Phase::Running { .. })),
                    CancelOutcome::Unknown => {
                        assert!(!matches!(phase, Phase::Queued | Phase::Running { .. }));
                    }
                }
            }
            Step::Advance { millis } => test.now += ms(millis),
            Step::NoGrant => test.grant = SlotGrant::None,
            Step::Own { slots } => test.grant = SlotGrant::Own { slots },
            Step::Leased { slots, millis } => {
                test.grant = SlotGrant::leased(slots, test.now + ms(millis));
            }
            Step::Drain => {
                test.draining = true;
                test.queue.drain();
            }
            Step::Resume => {
                test.draining = false;
                test.queue.resume();
            }
            Step::ColdStart => {
                test.cold = true;
                test.queue.cold_start(test.now);
            }
        }
        if matches!(step, Step::NoGrant | Step::Own { .. } | Step::Leased { .. }) {
            test.queue.set_grant(test.grant);
        }
        test
    }

    fn check_invariants(test: &Oracle, _: &QueuePolicy) {
        assert_eq!(test.running().len() as u32, test.queue.running());
        assert!(test.queue.queued() <= 8, "the queue is bounded");
    }

    fn teardown(mut test: Oracle, _: QueuePolicy) {
        test.queue.set_grant(SlotGrant::None);
        test.grant = SlotGrant::None;
        test.run_actions(usize::MAX);
        assert!(
            test.records_in(|phase| phase == Phase::Queued).is_empty(),
            "a queued sub-query was not returned"
        );
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    /// Guards against any order of events that loses or duplicates a sub-query, starts it after
    /// a rejection or a cancellation, or starts more than the grant allows.
    #[test]
    fn every_sub_query_is_returned_once_and_the_grant_is_respected(sequential 1..200 => Oracle);
}

proptest! {
    #![proptest_config(fuzz_config())]

    /// Guards against starvation. While two services both have queued sub-queries, their starts
    /// divided by their shares differ by no more than the credit of eight sub-queries, one
    /// start of each and the slots.
    #[test]
    fn backlogged_services_are_served_in_proportion_to_their_shares(
        shares in prop::collection::vec(1..8u32, 2..6),
        arrivals in prop::collection::vec((0..6usize, 0..6u64), 200..800),
        slots in 1..4u32,
    ) {
        let mut now = Instant::now();
        let settings = QueueSettings { capacity: 1000, ..QueueSettings::default() };
        let mut queue = SlotQueue::new(now, settings);
        queue.set_grant(SlotGrant::Own { slots });
        let mut queued = vec![0u32; shares.len()];
        // Starts of each service, divided by its share, while both of a pair are backlogged.
        let mut served: BTreeMap<(usize, usize), [f64; 2]> = BTreeMap::new();
        let mut running = Vec::new();
        for (pick, gap) in arrivals {
            let service = pick % shares.len();
            let share = f64::from(shares[service]);
            let request = SubQuery { share, ..sub_query(now, service as u32, ms(3_600_000)) };
            if queue.push(now, request, service).is_ok() {
                queued[service] += 1;
            }
            while let Some(action) = queue.next_action(now) {
                let SlotAction::Start { ticket, item, .. } = action else {
                    panic!("no deadline passes in this test, got {action:?}");
                };
                running.push((now + ms(10), ticket));
                for first in 0..shares.len() {
                    for second in first + 1..shares.len() {
                        let pair = served.entry((first, second)).or_default();
                        if queued[first] == 0 || queued[second] == 0 {
                            *pair = [0.0; 2];
                        } else if item == first {
                            pair[0] += 1.0 / f64::from(shares[first]);
                        } else if item == second {
                            pair[1] += 1.0 / f64::from(shares[second]);
                        }
                        let bound = 10.0 / f64::from(shares[first]) + 10.0 / f64::from(shares[second]);
                        prop_assert!((pair[0] - pair[1]).abs() <= bound + 1e-6,
                            "services {first} and {second}: {pair:?}, bound {bound}");
                    }
                }
                queued[item] -= 1;
            }
            now += ms(gap);
            for (end, ticket) in running.extract_if(.., |(end, _)| *end <= now) {
                queue.finish(end, ticket, RunOutcome::Answered);
            }
        }
    }
}
