//! Each test causes one failure and states what the query must do about it.

mod common;

use tt_routing::Kind;
use tt_routing::Mode;
use tt_routing::Outcome;
use tt_routing::Settings;

use self::common::Bench;
use self::common::COVERAGE;
use self::common::uniform;

#[test]
fn hedges_a_straggler_and_cancels_the_loser() {
    // Guards against waiting for the slowest reply of 52 and against two answers for a shard.
    let mut bench = Bench::new(uniform(4, 2), Settings::default());
    bench.train(60, 10);
    let query = bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
    let sent = bench.sent();
    bench.pass(query, 5);
    for &sub in &sent[1..] {
        bench.answer(sub);
    }
    bench.pass(query, 10);
    let hedge = bench.sent_one(Kind::Hedge);
    assert_eq!(hedge.shard, sent[0].shard);
    assert_ne!(hedge.searcher, sent[0].searcher);
    bench.answer(hedge);
    let cancelled = bench.out.iter().any(
        |action| matches!(action, tt_routing::Action::Cancel { key, .. } if *key == sent[0].key),
    );
    assert!(cancelled);
    let answers = bench.finished();
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].outcome, Outcome::Complete);
    assert_eq!(answers[0].covered.len(), 4);
}
