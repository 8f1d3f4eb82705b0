//! A randomized soak test: entries run as processes of their own between stand-ins, faults are
//! injected from outside, and what callers and searchers observe is checked.
//!
//! `SOAK_SEEDS=100..150 cargo test -p tt-daemon --test soak -- --nocapture` runs other seeds.

#[path = "soak/check.rs"]
mod check;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/harness.rs"]
mod harness;
#[path = "soak/process.rs"]
mod process;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "../../front/tests/support/mod.rs"]
mod support;

use std::ops::Range;

/// Seeds that run in CI.
const CI_SEEDS: Range<u64> = 1..4;

/// Seeds that failed in the past, with the cause.
const REGRESSIONS: &[(u64, &str)] = &[];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return CI_SEEDS.chain(REGRESSIONS.iter().map(|(seed, _)| *seed)).collect();
    };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

// Guards against violations that show only when several faults overlap: a request that runs twice
// or is answered wrongly, a refused request that ran, or a VM that doesn't serve after the faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_under_faults() {
    let mut violations = Vec::new();
    for seed in seeds() {
        let report = harness::run(seed).await;
        println!("seed {seed}: {report}");
        violations.extend(report.violations.into_iter().map(|line| format!("seed {seed}: {line}")));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
