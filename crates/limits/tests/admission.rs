//! Behaviour of admission at the entry.

mod common;

use std::time::Duration;

use tokio::time::Instant;

use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::Arrival;
use tt_limits::MemberView;
use tt_model::ResultCode;
use tt_model::ServiceId;

use common::environment;
use common::ms;

fn arrival(now: Instant, service: u32) -> Arrival {
    Arrival { service: ServiceId(service), deadline: now + ms(400), wait: Duration::ZERO }
}

/// Guards against a service that takes more than its contract.
#[test]
fn rejects_requests_above_rate_and_concurrency() {
    let now = Instant::now();
    let environment = environment(&[
        r#"{"rate": 10, "burst": 3, "concurrency": 100}"#,
        r#"{"rate": 100, "burst": 50, "concurrency": 2}"#,
    ]);
    let alone = MemberView::Certain(Vec::new());
    let mut admission = Admission::new(now, AdmissionSettings::default(), &environment, alone);
    for _ in 0..3 {
        let permit = admission_ok(&mut admission, now, 0);
        admission.release(permit);
    }
    assert_eq!(admission.admit(now, &arrival(now, 0)), Err(ResultCode::RateLimited));
    let held = [admission_ok(&mut admission, now, 1), admission_ok(&mut admission, now, 1)];
    assert_eq!(admission.admit(now, &arrival(now, 1)), Err(ResultCode::TooManyInFlight));
    for permit in held {
        admission.release(permit);
    }
    assert_eq!(admission.in_flight(), 0);
}

fn admission_ok(admission: &mut Admission, now: Instant, service: u32) -> tt_limits::Permit {
    admission.admit(now, &arrival(now, service)).expect("within the contract")
}
