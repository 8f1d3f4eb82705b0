//! Tests of the window of the rate meter.

use super::RateMeter;

/// Guards against quotas that vary with the noise of small rates, and against late reaction
/// to a change of a large rate.
#[test]
fn the_window_is_long_for_small_rates_and_short_after_a_change() {
    let check = |counts: &[u32], expect: f64| {
        let mut meter = RateMeter::default();
        let mut rate = 0.0;
        for count in counts {
            (0..*count).for_each(|_| meter.add());
            rate = meter.end_interval(1.0);
        }
        assert!((rate - expect).abs() < 0.01, "{counts:?}: {rate}, expected {expect}");
    };
    check(&[1, 0, 0, 1], 0.5);
    check(&[5, 7, 6, 6], 19.0 / 3.0);
    check(&[40, 50], 50.0);
    check(&[40, 0], 0.0);
    check(&[1, 1, 30], 30.0);
    check(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], 0.0);
}
