//! Tests of admission at the entry.

mod common;

use std::time::Duration;

use common::environment;
use common::ms;
use insta::assert_debug_snapshot;
use tokio::time::Instant;

use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::Arrival;
use tt_limits::MemberView;
use tt_limits::Permit;
use tt_limits::ServiceUsage;
use tt_limits::UsageReport;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::ServiceId;
use tt_model::VmId;

const CONTRACT: &str = r#"{"rate": 100, "burst": 100, "concurrency": 10}"#;

fn arrival(now: Instant, service: u32) -> Arrival {
    Arrival { service: ServiceId(service), deadline: now + ms(400), expected_wait: Duration::ZERO }
}

fn admit(admission: &mut Admission, now: Instant, service: u32) -> Permit {
    admission.admit(now, &arrival(now, service)).expect("within the contract")
}

fn others(count: u32) -> MemberView {
    MemberView::Certain((1..=count).map(VmId).collect())
}

fn entry(now: Instant, members: MemberView) -> Admission {
    Admission::new(now, AdmissionSettings::default(), &environment(&[CONTRACT]), members)
}

fn usage(rate: f64) -> UsageReport {
    UsageReport { services: vec![ServiceUsage { service: ServiceId(0), rate, in_flight: 0 }] }
}

/// Guards against a service that gets more than its contract.
#[test]
fn rejects_requests_above_rate_and_concurrency() {
    let now = Instant::now();
    let environment = environment(&[
        r#"{"rate": 10, "burst": 3, "concurrency": 100}"#,
        r#"{"rate": 100, "burst": 50, "concurrency": 2}"#,
    ]);
    let mut admission = Admission::new(now, AdmissionSettings::default(), &environment, others(0));
    for _ in 0..3 {
        let permit = admit(&mut admission, now, 0);
        admission.release(permit);
    }
    assert_eq!(admission.admit(now, &arrival(now, 0)), Err(ResultCode::RateLimited));
    let held = [admit(&mut admission, now, 1), admit(&mut admission, now, 1)];
    assert_eq!(admission.admit(now, &arrival(now, 1)), Err(ResultCode::TooManyInFlight));
    for permit in held {
        admission.release(permit);
    }
    assert_eq!(admission.in_flight(), 0);
}

/// Guards against running requests whose caller no longer waits for the answer.
#[test]
fn rejects_requests_that_cannot_be_answered_in_time() {
    let now = Instant::now();
    let mut admission = entry(now, others(0));
    let late = Arrival { deadline: now, ..arrival(now, 0) };
    assert_eq!(admission.admit(now, &late), Err(ResultCode::DeadlinePassed));
    let slow = Arrival { expected_wait: ms(400), ..arrival(now, 0) };
    assert_eq!(admission.admit(now, &slow), Err(ResultCode::Overloaded));
    let unknown = arrival(now, 7);
    assert_eq!(admission.admit(now, &unknown), Err(ResultCode::UnknownService));
    assert_eq!(admission.in_flight(), 0);
}

/// Guards against rejecting a small service because other services fill the entry.
#[test]
fn a_full_entry_still_admits_services_below_their_share() {
    let now = Instant::now();
    let contract = r#"{"rate": 100, "burst": 100, "concurrency": 100}"#;
    let settings = AdmissionSettings { max_in_flight: 10, ..AdmissionSettings::default() };
    let environment = environment(&[contract, contract]);
    let mut admission = Admission::new(now, settings, &environment, others(0));
    let mut held: Vec<Permit> = (0..10).map(|_| admit(&mut admission, now, 0)).collect();
    assert_eq!(admission.admit(now, &arrival(now, 0)), Err(ResultCode::Overloaded));
    held.extend((0..5).map(|_| admit(&mut admission, now, 1)));
    assert_eq!(admission.admit(now, &arrival(now, 1)), Err(ResultCode::Overloaded));
}

/// Guards against limiting a service to a fifth of its contract because it uses only one of
/// five entries, and against entries that together exceed the contract for long.
#[test]
fn the_quota_follows_the_usage_reported_by_other_entries() {
    let check = |reports: &[f64], expect: f64| {
        let now = Instant::now();
        let mut admission = entry(now, others(4));
        for _ in 0..50 {
            let permit = try_admit(&mut admission, now);
            permit.into_iter().for_each(|permit| admission.release(permit));
        }
        let now = now + ms(1000);
        for (index, rate) in reports.iter().enumerate() {
            admission.on_usage_report(VmId(index as u32 + 1), now, usage(*rate));
        }
        let report = admission.usage_report(now);
        assert_eq!(report.services[0].rate, 20.0, "the equal quota of the burst");
        let quota = admission.quota(ServiceId(0)).unwrap();
        assert_eq!(quota.rate.round(), expect, "reports {reports:?}");
    };
    check(&[0.0, 0.0, 0.0, 0.0], 100.0);
    check(&[30.0, 0.0, 0.0, 0.0], 60.0);
    check(&[80.0, 0.0, 0.0, 0.0], 20.0);
    check(&[100.0, 100.0, 0.0, 0.0], 20.0);
    // Members without a report count as using the equal quota.
    check(&[0.0], 40.0);
    check(&[], 20.0);
}

fn try_admit(admission: &mut Admission, now: Instant) -> Option<Permit> {
    admission.admit(now, &arrival(now, 0)).ok()
}

/// Guards against using quota that other entries may have taken since their last reports.
#[test]
fn falls_back_to_the_equal_quota_without_fresh_reports_or_a_certain_count() {
    let start = Instant::now();
    let mut admission = entry(start, others(4));
    for member in 1..=4 {
        admission.on_usage_report(VmId(member), start, UsageReport::default());
    }
    let mut rates = Vec::new();
    for second in [1, 2, 3] {
        let now = start + ms(1000 * second);
        let permit = admit(&mut admission, now, 0);
        admission.release(permit);
        admission.usage_report(now);
        rates.push(admission.quota(ServiceId(0)).unwrap().rate.round());
    }
    assert_eq!(rates, [100.0, 100.0, 20.0]);
    admission.set_members(start + ms(3000), MemberView::Uncertain(10));
    assert_eq!(admission.quota(ServiceId(0)).unwrap().rate, 10.0);
}

/// Guards against losing most of a service's rate while a lost member is still in the member
/// table.
#[test]
fn a_member_without_reports_reduces_the_quota_by_its_own_equal_quota_only() {
    let start = Instant::now();
    let mut admission = entry(start, others(4));
    admission.on_usage_report(VmId(4), start, usage(1.0));
    for second in 5..=8 {
        let now = start + ms(1000 * second);
        for member in 1..=3 {
            admission.on_usage_report(VmId(member), now, UsageReport::default());
        }
        while let Some(permit) = try_admit(&mut admission, now) {
            admission.release(permit);
        }
        admission.usage_report(now);
    }
    assert_eq!(admission.quota(ServiceId(0)).unwrap().rate.round(), 80.0);
}

/// Guards against entries whose quotas add up to more than the bound of the design: the
/// contract plus one equal quota for each entry, and the contract alone once usage is steady.
#[test]
fn entries_together_stay_within_the_contract_once_usage_is_steady() {
    let start = Instant::now();
    let members = |own: u32| MemberView::Certain((0..5).filter(|i| *i != own).map(VmId).collect());
    let mut entries: Vec<Admission> = (0..5).map(|own| entry(start, members(own))).collect();
    let mut totals = Vec::new();
    for second in 0..12u64 {
        let mut total = 0;
        for tick in 0..100 {
            let now = start + ms(second * 1000 + tick * 10);
            for (index, admission) in entries.iter_mut().enumerate() {
                // Demand moves from all entries to the first one after six seconds.
                let demand = if second < 6 || index == 0 { 2 } else { 0 };
                for _ in 0..demand {
                    if let Some(permit) = try_admit(admission, now) {
                        admission.release(permit);
                        total += 1;
                    }
                }
            }
        }
        let now = start + ms(second * 1000 + 1000);
        let reports: Vec<UsageReport> = entries.iter_mut().map(|e| e.usage_report(now)).collect();
        for (own, admission) in entries.iter_mut().enumerate() {
            for (index, report) in reports.iter().enumerate().filter(|(i, _)| *i != own) {
                admission.on_usage_report(VmId(index as u32), now, report.clone());
            }
        }
        totals.push(total);
    }
    // The burst of 100 adds to the first second.
    assert!(totals.iter().skip(1).all(|total| *total <= 200), "{totals:?}");
    assert!(totals[3..6].iter().all(|total| (95..=110).contains(total)), "{totals:?}");
    assert!(totals[9..].iter().all(|total| (95..=105).contains(total)), "{totals:?}");
}

/// Guards against rejecting a small service within its contract because the entry's quota of
/// the burst or of the concurrency is less than one request.
#[test]
fn an_entry_admits_a_few_simultaneous_requests_even_of_the_smallest_service() {
    let now = Instant::now();
    let check = |contract: &str, expect: usize| {
        let environment = environment(&[contract]);
        let mut admission =
            Admission::new(now, AdmissionSettings::default(), &environment, others(9));
        let held: Vec<Permit> = (0..10).map_while(|_| try_admit(&mut admission, now)).collect();
        assert_eq!(held.len(), expect, "{contract}");
    };
    check(r#"{"rate": 1, "burst": 10, "concurrency": 100}"#, 4);
    check(r#"{"rate": 1, "burst": 3, "concurrency": 100}"#, 3);
    check(r#"{"rate": 1, "burst": 10, "concurrency": 5}"#, 2);
    check(r#"{"rate": 1, "burst": 10, "concurrency": 1}"#, 1);
}

/// Guards against heartbeats that grow with the number of services rather than with traffic.
#[test]
fn the_report_names_only_services_with_traffic() {
    let now = Instant::now();
    let environment = environment(&[CONTRACT, CONTRACT, CONTRACT]);
    let mut admission = Admission::new(now, AdmissionSettings::default(), &environment, others(0));
    let permit = admit(&mut admission, now, 1);
    assert_debug_snapshot!(admission.usage_report(now + ms(500)).services, @"
    [
        ServiceUsage {
            service: ServiceId(
                1,
            ),
            rate: 2.0,
            in_flight: 1,
        },
    ]
    ");
    admission.release(permit);
    // A small rate is averaged over up to ten reports.
    for report in 1..=10 {
        admission.usage_report(now + ms(500 + 500 * report));
    }
    assert_eq!(admission.usage_report(now + ms(6000)).services, []);
}

/// Guards against usage of other entries that is counted for another service, or for none,
/// after a new document has renumbered the services.
#[test]
fn a_new_document_keeps_the_reports_under_the_new_service_ids() {
    let now = Instant::now();
    let mut admission = Admission::new(
        now,
        AdmissionSettings::default(),
        &environment(&[CONTRACT, CONTRACT]),
        others(1),
    );
    let service = ServiceId(1);
    let services = vec![ServiceUsage { service, rate: 70.0, in_flight: 0 }];
    admission.on_usage_report(VmId(1), now, UsageReport { services });
    admission.set_environment(now, &document_of_s1_and_s2());
    let rates = [0, 1].map(|id| admission.quota(ServiceId(id)).unwrap().rate);
    assert_eq!(rates, [50.0, 100.0]);
}

/// Guards against permits that are lost or counted for another service after a new document
/// has renumbered the services, and against a new service that starts without its burst.
#[test]
fn a_new_document_keeps_requests_in_flight_and_usage() {
    let now = Instant::now();
    let two = r#"{"rate": 100, "burst": 100, "concurrency": 2}"#;
    let mut admission = Admission::new(
        now,
        AdmissionSettings::default(),
        &environment(&[CONTRACT, two]),
        others(0),
    );
    let held = [admit(&mut admission, now, 1), admit(&mut admission, now, 1)];
    let removed = admit(&mut admission, now, 0);
    admission.set_environment(now, &document_of_s1_and_s2());
    assert_eq!(admission.admit(now, &arrival(now, 0)), Err(ResultCode::TooManyInFlight));
    let added = admit(&mut admission, now, 1);
    assert_eq!(admission.in_flight(), 4);
    for permit in held.into_iter().chain([removed, added]) {
        admission.release(permit);
    }
    let _permit = admit(&mut admission, now, 0);
    assert_eq!(admission.in_flight(), 1);
}

fn document_of_s1_and_s2() -> Environment {
    let text = r#"{"environment": "test", "domains": ["d"],
        "classes": [{"name": "c", "prefer": "latency", "deadline_ms": 400}],
        "services": [
            {"name": "s1", "class": "c", "shards": ["a"], "contract": {"rate": 100, "burst": 100, "concurrency": 2}},
            {"name": "s2", "class": "c", "shards": ["a"], "contract": {"rate": 100, "burst": 100, "concurrency": 2}}],
        "searchers": [{"name": "a", "address": "127.0.0.1:1", "domain": "d", "slots": 2, "connections": 25}],
        "shards": [{"name": "a", "replicas": ["a"]}]}"#;
    Environment::parse(text).unwrap()
}
