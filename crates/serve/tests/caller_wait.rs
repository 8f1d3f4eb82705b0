//! Callers that arrive over open connections, over new ones, and after a refusal.

mod common;

use std::time::Duration;

use common::ms;

use tt_serve::CallerWait;
use tt_serve::CallerWaitSettings;
use tt_serve::Time;
use tt_serve::objective_reserve;

const LIMIT: u64 = 300;
const OBJECTIVE: Duration = Duration::from_millis(60);

/// Reserve of the default settings for a caller of whom nothing is known, with this objective.
const UNKNOWN: Duration = Duration::from_millis(22);

/// The reserve for a caller that still waits for `limit` milliseconds, of whom `limits` came before.
fn reserve(limits: &[u64], limit: Option<u64>, now: Time) -> Duration {
    let settings = CallerWaitSettings::default();
    let mut wait = CallerWait::default();
    for &before in limits {
        wait.observe(&settings, Some(ms(before)), ms(0));
    }
    let waited = wait.observe(&settings, limit.map(ms), now);
    objective_reserve(&settings, OBJECTIVE, waited)
}

// Guards against answers without their last shards although the caller could have waited, and
// against late answers to callers that have spent time on a connection.
#[test]
fn a_caller_is_answered_by_what_it_has_spent_before_its_request() {
    let settings = CallerWaitSettings::default();
    let others = [LIMIT; 20];
    assert_eq!(reserve(&others, Some(LIMIT), ms(1)), settings.round_trip);
    assert_eq!(reserve(&others, Some(LIMIT - 12), ms(1)), settings.round_trip + ms(12));
}

// Guards against an objective that is given up for a caller that returns after a refusal.
#[test]
fn a_caller_that_returns_late_counts_as_new() {
    let others = [LIMIT; 20];
    assert_eq!(reserve(&others, Some(LIMIT - 150), ms(1)), UNKNOWN);
}

// Guards against an estimate from too few callers, or for one that states no limit.
#[test]
fn without_knowledge_the_default_is_reserved() {
    assert_eq!(reserve(&[LIMIT; 3], Some(LIMIT), ms(1)), UNKNOWN);
    assert_eq!(reserve(&[LIMIT; 20], None, ms(1)), UNKNOWN);
    let settings = CallerWaitSettings::default();
    let short = objective_reserve(&settings, ms(40), None);
    assert_eq!(short, ms(40).mul_f64(settings.default_ratio));
}

// Guards against callers that count as late for good after one of them has stated a longer limit.
#[test]
fn a_limit_that_is_no_longer_stated_is_forgotten() {
    let settings = CallerWaitSettings::default();
    let mut wait = CallerWait::default();
    wait.observe(&settings, Some(ms(900)), ms(0));
    let mut waited = None;
    for second in 0..40 {
        waited = wait.observe(&settings, Some(ms(LIMIT)), Duration::from_secs(second));
    }
    assert_eq!(waited, Some(Duration::ZERO));
}
