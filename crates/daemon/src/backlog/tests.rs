//! The expected wait, by which whole queries are rejected under overload. Without one, every query
//! is admitted and misses some shard; with one that never decreases, none is admitted again.

use std::time::Duration;

use tokio::time::Instant;

use crate::backlog::Backlog;

fn check(reports: &[(u64, u64)], at: u64, expect: u64) {
    let start = Instant::now();
    let mut backlog = Backlog::default();
    for &(at, wait) in reports {
        backlog.observe(start + Duration::from_millis(at), Duration::from_millis(wait));
    }
    let wait = backlog.wait(start + Duration::from_millis(at));
    assert_eq!(wait, Duration::from_millis(expect));
}

#[test]
fn the_wait_is_zero_without_reports() {
    check(&[], 10, 0);
}

#[test]
fn the_longest_reported_wait_counts() {
    check(&[(0, 200), (0, 10), (0, 300), (0, 20)], 0, 300);
}

#[test]
fn the_wait_decreases_with_time() {
    check(&[(0, 200)], 150, 50);
    check(&[(0, 200)], 500, 0);
}

#[test]
fn a_report_counts_only_above_the_remaining_wait() {
    check(&[(0, 200), (150, 100)], 150, 100);
    check(&[(0, 200), (50, 100)], 50, 150);
}
