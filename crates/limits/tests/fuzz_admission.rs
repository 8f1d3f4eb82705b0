//! Stateful fuzz test of admission at several entries, checked against a list of all admissions.

mod common;

use common::environment;
use common::fuzz_config;
use common::ms;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use tokio::time::Instant;

use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::Arrival;
use tt_limits::MemberView;
use tt_limits::Permit;
use tt_limits::UsageReport;
use tt_model::ResultCode;
use tt_model::ServiceId;
use tt_model::VmId;

const ENTRIES: usize = 4;
const RATE_PER_SECOND: f64 = 40.0;
const BURST_REQUESTS: f64 = 8.0;
const MAX_IN_FLIGHT: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Arrive { entry: usize, count: usize },
    Release { entry: usize, nth: usize },
    Report { entry: usize },
    Deliver { from: usize, to: usize },
    Uncertain { entry: usize },
    Certain { entry: usize },
    Document { entry: usize },
    Advance { millis: u64 },
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let entry = 0..ENTRIES;
        prop_oneof![
            10 => (entry.clone(), 1..12usize).prop_map(|(entry, count)| Step::Arrive { entry, count }),
            8 => (entry.clone(), any::<usize>()).prop_map(|(entry, nth)| Step::Release { entry, nth }),
            4 => entry.clone().prop_map(|entry| Step::Report { entry }),
            6 => (entry.clone(), 0..ENTRIES).prop_map(|(from, to)| Step::Deliver { from, to }),
            1 => entry.clone().prop_map(|entry| Step::Uncertain { entry }),
            1 => entry.clone().prop_map(|entry| Step::Certain { entry }),
            1 => entry.prop_map(|entry| Step::Document { entry }),
            10 => (0..400u64).prop_map(|millis| Step::Advance { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Entry {
    admission: Admission,
    permits: Vec<Permit>,
    /// Times of all admissions.
    admitted: Vec<Instant>,
    report: Option<(Instant, UsageReport)>,
}

struct Oracle {
    now: Instant,
    entries: Vec<Entry>,
}

fn document() -> tt_model::Environment {
    let contract = format!(
        r#"{{"rate": {RATE_PER_SECOND}, "burst": {BURST_REQUESTS}, "concurrency": {MAX_IN_FLIGHT}}}"#
    );
    environment(&[&contract])
}

fn others(own: usize) -> MemberView {
    MemberView::Certain((0..ENTRIES).filter(|i| *i != own).map(|i| VmId(i as u32)).collect())
}

impl Oracle {
    fn arrive(&mut self, entry: usize) {
        let now = self.now;
        let Entry { admission, permits, admitted, .. } = &mut self.entries[entry];
        let arrival =
            Arrival { service: ServiceId(0), deadline: now + ms(400), expected_wait: ms(0) };
        match admission.admit(now, &arrival) {
            Ok(permit) => {
                permits.push(permit);
                admitted.push(now);
                assert!(permits.len() <= MAX_IN_FLIGHT, "one entry exceeds the contract");
            }
            Err(ResultCode::RateLimited) => {
                // At the rate of the equal quota, requests are always admitted.
                let interval = ENTRIES as f64 / RATE_PER_SECOND;
                let last = admitted.last().map(|last| (now - *last).as_secs_f64());
                assert!(
                    last.is_some_and(|elapsed| elapsed <= interval),
                    "rejected below the equal quota"
                );
            }
            Err(code) => {
                assert_eq!(code, ResultCode::TooManyInFlight);
                assert!(!permits.is_empty(), "one request in flight is always admitted");
            }
        }
        // In no interval may one entry admit more than the contract allows for the whole tier.
        for (index, first) in admitted.iter().enumerate() {
            let count = (admitted.len() - index) as f64;
            let allowed = BURST_REQUESTS + RATE_PER_SECOND * (now - *first).as_secs_f64();
            assert!(count <= allowed + 1e-6, "{count} admitted, {allowed} allowed");
        }
    }
}

impl StateMachineTest for Oracle {
    type SystemUnderTest = Oracle;
    type Reference = Steps;

    fn init_test((): &()) -> Oracle {
        let now = Instant::now();
        let entry = |own| Entry {
            admission: Admission::new(now, AdmissionSettings::default(), &document(), others(own)),
            permits: Vec::new(),
            admitted: Vec::new(),
            report: None,
        };
        Oracle { now, entries: (0..ENTRIES).map(entry).collect() }
    }

    fn apply(mut test: Oracle, (): &(), step: Step) -> Oracle {
        let now = test.now;
        match step {
            Step::Arrive { entry, count } => (0..count).for_each(|_| test.arrive(entry)),
            Step::Release { entry, nth } => {
                let Entry { admission, permits, .. } = &mut test.entries[entry];
                if let Some(index) = nth.checked_rem(permits.len()) {
                    admission.release(permits.swap_remove(index));
                }
            }
            Step::Report { entry } => {
                let report = test.entries[entry].admission.usage_report(now);
                test.entries[entry].report = Some((now, report));
            }
            Step::Deliver { from, to } if from != to => {
                if let Some((measured, report)) = test.entries[from].report.clone() {
                    let admission = &mut test.entries[to].admission;
                    admission.on_usage_report(VmId(from as u32), measured, report);
                }
            }
            Step::Deliver { .. } => {}
            Step::Uncertain { entry } => {
                let view = MemberView::Uncertain(ENTRIES as u32);
                test.entries[entry].admission.set_members(now, view);
            }
            Step::Certain { entry } => {
                test.entries[entry].admission.set_members(now, others(entry));
            }
            Step::Document { entry } => {
                test.entries[entry].admission.set_environment(now, &document());
            }
            Step::Advance { millis } => test.now += ms(millis),
        }
        test
    }

    fn check_invariants(test: &Oracle, (): &()) {
        for entry in &test.entries {
            assert_eq!(entry.admission.in_flight() as usize, entry.permits.len());
            let quota = entry.admission.quota(ServiceId(0)).unwrap();
            assert!(
                quota.rate <= RATE_PER_SECOND + 1e-9
                    && quota.rate >= RATE_PER_SECOND / ENTRIES as f64 - 1e-9
            );
            assert!((1..=MAX_IN_FLIGHT as u32).contains(&quota.concurrency));
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    /// Guards against any order of traffic, reports, documents and membership changes in which
    /// one entry admits more than the contract, or less than its equal quota.
    #[test]
    fn each_entry_stays_between_its_equal_quota_and_the_contract(sequential 1..120 => Oracle);
}
