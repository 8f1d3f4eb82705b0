//! Requests that have waited in the kernel while the process was paused.

mod common;

use common::ms;

use tt_serve::WakeGuard;
use tt_serve::WakeSettings;

/// A guard that has seen life at 10 s, and its settings.
fn awake() -> (WakeGuard, WakeSettings) {
    let settings = WakeSettings::default();
    let mut guard = WakeGuard::default();
    assert_eq!(guard.observe(&settings, ms(10_000), ms(0)), None, "the start is no pause");
    (guard, settings)
}

// Guards against requests that are run by what was known before a pause.
#[test]
fn requests_wait_after_a_pause_until_everything_is_read() {
    let (mut guard, settings) = awake();
    assert_eq!(guard.observe(&settings, ms(14_000), ms(4000)), Some(ms(4000)));
    assert_eq!(guard.woke_at(), Some(ms(4000)));
    assert!(guard.holds(&settings, Some(ms(3900)), Some(ms(4010)), ms(4020)), "an old listing");
    assert!(guard.holds(&settings, Some(ms(4010)), None, ms(4020)), "an old configuration");
    assert!(!guard.holds(&settings, Some(ms(4010)), Some(ms(4010)), ms(4020)));
    assert_eq!(guard.woke_at(), None);
}

// Guards against a suspended VM, whose monotonic clock does not count the time.
#[test]
fn a_suspension_that_the_monotonic_clock_does_not_count_is_a_pause() {
    let (mut guard, settings) = awake();
    assert_eq!(guard.observe(&settings, ms(18_000), ms(50)), Some(ms(8000)));
    assert!(guard.holds(&settings, Some(ms(40)), Some(ms(40)), ms(60)));
}

// Guards against callers that wait in vain while the store is away, and on a busy VM.
#[test]
fn requests_do_not_wait_long_or_without_a_pause() {
    let (mut guard, settings) = awake();
    assert_eq!(guard.observe(&settings, ms(10_400), ms(400)), None, "a busy VM");
    assert!(!guard.holds(&settings, None, None, ms(410)));
    guard.observe(&settings, ms(15_000), ms(5000));
    assert!(guard.holds(&settings, None, None, ms(5000) + settings.max_wait - ms(1)));
    assert!(!guard.holds(&settings, None, None, ms(5000) + settings.max_wait));
}
