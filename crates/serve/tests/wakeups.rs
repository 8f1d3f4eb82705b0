//! The times at which a request wakes up.

mod common;

use common::add;
use common::fixed;
use common::fleet;
use common::ms;
use proptest::prelude::*;

use tt_serve::AttemptOutcome;
use tt_serve::Plan;
use tt_serve::PoolKey;
use tt_serve::Query;
use tt_serve::RepeatPolicy;
use tt_serve::Trust;
use tt_serve::Verdict;

proptest! {
    #![proptest_config(fixed(400))]

    // Guards against a request that wakes up at once again and again and so uses a whole core, and
    // against one that waits beyond its deadline.
    #[test]
    fn a_request_that_wakes_up_makes_progress(
        shards in 1_usize..6,
        min_shards in 0_usize..6,
        max_attempts in 1_u32..4,
        idempotent in any::<bool>(),
        trust in 0_usize..3,
        budget in any::<bool>(),
        events in prop::collection::vec((0_usize..8, 0_usize..6, 0_u64..30), 0..30),
    ) {
        let repeat = if idempotent { RepeatPolicy::Idempotent } else { RepeatPolicy::AtMostOnce };
        let trust = [Trust::Usual, Trust::Trial, Trust::Delegated][trust];
        let min_shards = min_shards.min(shards);
        let mut fleet = fleet();
        let pools: Vec<PoolKey> = (0..shards)
            .map(|shard| {
                let pool = fleet.pool(&format!("shard-{shard}"));
                add(&mut fleet, pool, &format!("{shard}-a"), "home");
                add(&mut fleet, pool, &format!("{shard}-b"), "away");
                pool
            })
            .collect();
        let mut query = Query::new(Plan {
            pools,
            min_shards,
            max_attempts,
            repeat,
            hedge_delay: ms(20),
            cutoff: ms(88),
            deadline: ms(590),
            trust,
        });
        let mut in_flight: Vec<usize> =
            query.start(&mut fleet, ms(0)).iter().map(|it| it.shard).collect();
        let mut now = ms(0);
        for (attempt, outcome, pause) in events {
            now += ms(pause);
            for round in 0.. {
                let Verdict::Wait(wake) = query.verdict(now) else { return Ok(()) };
                prop_assert!(wake <= ms(590));
                if wake > now {
                    break;
                }
                prop_assert!(round < 2, "it wakes up without effect");
                let hedges = query.hedge(&mut fleet, |_| budget, now);
                in_flight.extend(hedges.iter().map(|it| it.shard));
            }
            if in_flight.is_empty() {
                continue;
            }
            let shard = in_flight.swap_remove(attempt % in_flight.len());
            let outcome = [
                AttemptOutcome::Answer,
                AttemptOutcome::NotSent,
                AttemptOutcome::Refused,
                AttemptOutcome::Failed,
                AttemptOutcome::Unknown,
                AttemptOutcome::Ended,
            ][outcome];
            let next =
                query.record_outcome(shard, outcome, &mut fleet, |_| budget, now);
            in_flight.extend(next.iter().map(|it| it.shard));
        }
    }
}
