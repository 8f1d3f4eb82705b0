//! A randomized soak: real entries as separate processes between stand-ins, with faults from
//! outside, and checks of what callers and searchers see.
//!
//! `SOAK_SEEDS=100..150 cargo test -p tt-daemon --test soak -- --nocapture` runs other seeds.

#[path = "soak/check.rs"]
mod check;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/process.rs"]
mod process;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "../../front/tests/support/mod.rs"]
mod support;
#[path = "soak/world.rs"]
mod world;

use std::ops::Range;

/// Seeds that run in CI.
const CI_SEEDS: Range<u64> = 1..4;

/// Seeds that failed once, with the cause.
const REGRESSIONS: &[(u64, &str)] = &[];

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return CI_SEEDS.chain(REGRESSIONS.iter().map(|(seed, _)| *seed)).collect();
    };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

// Guards against broken promises under faults that come in series and overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let report = world::run(seed).await;
        println!("seed {seed}: {report}");
        broken.extend(report.broken.into_iter().map(|line| format!("seed {seed}: {line}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
