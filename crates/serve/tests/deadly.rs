//! Requests under which searchers end: a query that is sent to all shards of a pool at once, and
//! again to the other replicas, ends all searchers of a deployment.

mod common;

use std::time::Duration;

use common::add;
use common::fleet;
use common::ms;

use tt_serve::AttemptOutcome;
use tt_serve::Claim;
use tt_serve::ContentKey;
use tt_serve::Effect;
use tt_serve::Failure;
use tt_serve::Fleet;
use tt_serve::Knowledge;
use tt_serve::Plan;
use tt_serve::PlannedAttempt;
use tt_serve::PoolKey;
use tt_serve::Query;
use tt_serve::RepeatPolicy;
use tt_serve::SuspectSettings;
use tt_serve::SuspectStatus;
use tt_serve::Suspects;
use tt_serve::Time;
use tt_serve::Trust;
use tt_serve::Verdict;
use tt_serve::turn_delay;

const SHARDS: usize = 20;

/// A query over shards with two searchers each.
struct Setup {
    fleet: Fleet,
    query: Query,
}

impl Setup {
    fn new(shards: usize, trust: Trust) -> Setup {
        Setup::with_plan(shards, |plan| Plan { trust, ..plan })
    }

    fn with_plan<F>(shards: usize, change: F) -> Setup
    where
        F: FnOnce(Plan) -> Plan,
    {
        let mut fleet = fleet();
        let pools: Vec<PoolKey> = (0..shards)
            .map(|shard| {
                let pool = fleet.pool(&format!("shard-{shard}"));
                add(&mut fleet, pool, &format!("{shard}-a"), "home");
                add(&mut fleet, pool, &format!("{shard}-b"), "away");
                pool
            })
            .collect();
        let plan = Plan {
            pools,
            min_shards: shards,
            max_attempts: 2,
            repeat: RepeatPolicy::Idempotent,
            hedge_delay: ms(20),
            cutoff: ms(88),
            deadline: ms(590),
            trust: Trust::Usual,
        };
        Setup { fleet, query: Query::new(change(plan)) }
    }

    fn start(&mut self) -> Vec<PlannedAttempt> {
        self.query.start(&mut self.fleet, ms(0))
    }

    fn outcome(
        &mut self,
        shard: usize,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<PlannedAttempt> {
        self.query.record_outcome(shard, outcome, &mut self.fleet, |_| true, now)
    }

    /// The attempts that are made when the query wakes up at `now`.
    fn wake(&mut self, now: Time) -> Vec<PlannedAttempt> {
        match self.query.verdict(now) {
            Verdict::Wait(wake) if wake <= now => self.query.hedge(&mut self.fleet, |_| true, now),
            Verdict::Wait(_) | Verdict::Answer | Verdict::Fail(_) => Vec::new(),
        }
    }
}

// Guards against a query that ends the second searcher of each shard after the first one.
#[test]
fn a_query_under_which_searchers_end_is_not_sent_to_the_others() {
    let mut setup = Setup::new(SHARDS, Trust::Usual);
    assert_eq!(setup.start().len(), SHARDS);
    for shard in 0..SHARDS {
        let now = ms(10 + shard as u64);
        assert_eq!(setup.outcome(shard, AttemptOutcome::Ended, now), None, "{shard}");
        assert!(setup.wake(now).is_empty());
    }
    assert_eq!(setup.query.effect(), Effect::Suspect);
    assert_eq!(setup.query.ended_count(), SHARDS as u32);
    assert_eq!(setup.query.verdict(ms(40)), Verdict::Fail(Failure::Unknown), "it has run");
}

// Guards against lost coverage of a query that runs at searchers as another one ends them.
#[test]
fn shards_are_tried_again_once_a_searcher_has_survived_the_query() {
    let mut setup = Setup::new(SHARDS, Trust::Usual);
    setup.start();
    for shard in 0..5 {
        assert_eq!(setup.outcome(shard, AttemptOutcome::Ended, ms(10)), None);
    }
    assert!(setup.wake(ms(15)).is_empty(), "the others may still end");
    setup.outcome(7, AttemptOutcome::Answer, ms(16));
    let again: Vec<usize> = setup.wake(ms(16)).iter().map(|attempt| attempt.shard).collect();
    assert_eq!(again, [0, 1, 2, 3, 4]);
    assert_eq!(setup.query.effect(), Effect::Harmless);
    // As without other searchers that have ended.
    assert!(setup.outcome(9, AttemptOutcome::Ended, ms(17)).is_some());
}

// Guards against a request to one searcher that is sent on until all of them have ended.
#[test]
fn a_request_to_one_searcher_ends_two_at_most() {
    let mut setup = Setup::with_plan(1, |plan| Plan { max_attempts: 9, ..plan });
    for replica in 0..9 {
        add(&mut setup.fleet, first_pool(), &format!("more-{replica}"), "home");
    }
    assert_eq!(setup.start().len(), 1);
    assert!(setup.outcome(0, AttemptOutcome::Ended, ms(5)).is_some(), "it may end by itself");
    assert_eq!(setup.outcome(0, AttemptOutcome::Ended, ms(9)), None);
    assert_eq!(setup.query.effect(), Effect::Deadly);
    assert_eq!(setup.query.verdict(ms(9)), Verdict::Fail(Failure::Unknown));
}

/// The key of the pool that was named first.
fn first_pool() -> PoolKey {
    fleet().pool("shard-0")
}

// Guards against a second wave of searchers that end under the repeat of a suspect.
#[test]
fn a_trial_is_sent_to_one_searcher_and_to_the_others_once_that_has_survived() {
    let mut setup = Setup::new(SHARDS, Trust::Trial);
    let first = setup.start();
    assert_eq!(first.len(), 1);
    assert!(setup.wake(ms(25)).is_empty(), "no hedge");
    assert!(!setup.query.is_telling(), "it may still end");
    let mut deadly = Setup::new(SHARDS, Trust::Trial);
    let only = deadly.start()[0].shard;
    assert_eq!(deadly.outcome(only, AttemptOutcome::Ended, ms(9)), None);
    assert_eq!(deadly.query.effect(), Effect::Deadly);
    assert_eq!(deadly.query.verdict(ms(9)), Verdict::Fail(Failure::Unknown));
    setup.outcome(first[0].shard, AttemptOutcome::Answer, ms(30));
    assert_eq!(setup.wake(ms(30)).len(), SHARDS - 1);
    assert_eq!(setup.query.effect(), Effect::Harmless);
}

// Guards against a trial that ends the last searcher of a shard while another one has several.
#[test]
fn a_trial_goes_to_a_shard_with_several_searchers() {
    let mut setup = Setup::new(SHARDS, Trust::Trial);
    let mut names = fleet();
    for shard in (0..SHARDS).filter(|shard| *shard != 13) {
        let pool = names.pool(&format!("shard-{shard}"));
        assert!(setup.fleet.open_count(pool, ms(0)) == 2);
    }
    let pools: Vec<PoolKey> =
        (0..SHARDS).map(|shard| setup.fleet.pool(&format!("shard-{shard}"))).collect();
    for (shard, pool) in pools.iter().enumerate().filter(|(shard, _)| *shard != 13) {
        let choice = setup.fleet.choose(*pool, tt_serve::PoolRole::Equal, &[], ms(30), ms(0));
        setup.fleet.record_unreachable(choice.expect("one is there").key, ms(0));
        assert_eq!(setup.fleet.open_count(*pool, ms(0)), 1, "{shard}");
    }
    let shards: Vec<usize> = setup.start().iter().map(|attempt| attempt.shard).collect();
    assert_eq!(shards, [13]);
}

// Guards against a relay that ends one more searcher, as each of the relays of a query would.
#[test]
fn a_relay_leaves_it_to_the_entry_whether_a_suspect_is_tried_again() {
    let mut setup = Setup::new(7, Trust::Delegated);
    setup.start();
    for shard in 0..7 {
        assert_eq!(setup.outcome(shard, AttemptOutcome::Ended, ms(10)), None);
    }
    assert!(setup.wake(ms(11)).is_empty());
    assert!(setup.query.all_shards_ended());
}

// Guards against a second wave of searchers that end under the hedges of a query, made before the
// first one of them has ended.
#[test]
fn a_query_that_no_searcher_has_answered_is_not_hedged() {
    let mut setup = Setup::new(SHARDS, Trust::Usual);
    setup.query.delegate(&(7..SHARDS).collect::<Vec<usize>>());
    assert_eq!(setup.start().len(), 7);
    assert!(setup.wake(ms(25)).is_empty());
    setup.outcome(0, AttemptOutcome::Answer, ms(30));
    assert_eq!(setup.wake(ms(40)).len(), 6, "stragglers are hedged");
}

// Guards against hedges of a query that another daemon has found to be a suspect.
#[test]
fn a_suspect_is_not_hedged() {
    let mut setup = Setup::new(SHARDS, Trust::Usual);
    setup.start();
    for shard in 1..SHARDS {
        setup.outcome(shard, AttemptOutcome::Refused, ms(1));
    }
    setup.query.mark_suspect();
    for step in 0..50 {
        assert!(setup.wake(ms(20 + 10 * step)).is_empty(), "{step}");
    }
}

fn key(value: u64) -> ContentKey {
    ContentKey(value)
}

// Guards against searchers that end under each request with a content, from any caller, and against
// one that is refused for good.
#[test]
fn a_content_is_refused_then_tried_then_refused_for_longer() {
    let settings = SuspectSettings::default();
    let mut suspects = Suspects::new(settings);
    assert_eq!(suspects.trust(key(1), ms(0)), Ok(Trust::Usual));
    assert!(suspects.record(key(1), Effect::Suspect, 2, ms(0)));
    assert!(!suspects.record(key(1), Effect::Suspect, 2, ms(100)), "the others know it");
    assert_eq!(suspects.trust(key(1), ms(1000)), Err(settings.hold_period - ms(1000)));
    assert_eq!(suspects.trust(key(2), ms(1000)), Ok(Trust::Usual), "others are served");
    let tried_at = settings.hold_period;
    assert_eq!(suspects.trust(key(1), tried_at), Ok(Trust::Trial));
    assert!(suspects.record(key(1), Effect::Deadly, 2, tried_at));
    assert_eq!(suspects.trust(key(1), tried_at), Err(settings.refusal_period));
    let again = tried_at + settings.refusal_period;
    assert_eq!(suspects.trust(key(1), again), Ok(Trust::Trial));
    assert!(suspects.record(key(1), Effect::Deadly, 2, again), "the others would try it too");
    assert_eq!(suspects.trust(key(1), again), Err(settings.refusal_period));
    let again = again + settings.refusal_period;
    assert!(suspects.record(key(1), Effect::Harmless, 2, again));
    assert_eq!(suspects.trust(key(1), again), Ok(Trust::Usual));
    suspects.record(key(1), Effect::Suspect, 2, again);
    let forgotten = again + settings.trial_period;
    assert_eq!(suspects.trust(key(1), forgotten), Ok(Trust::Usual));
    assert!(suspects.record(key(1), Effect::Suspect, 2, forgotten));
}

// Guards against trials without end, each of which ends a searcher, and against a long refusal of a
// content because its requests were under way when several searchers ended by themselves.
#[test]
fn a_content_that_ends_searchers_in_two_trials_is_refused_for_long() {
    let settings = SuspectSettings::default();
    let (mut here, mut joining) = (Suspects::new(settings), Suspects::new(settings));
    for _ in 0..3 {
        here.record(key(1), Effect::Deadly, 2, ms(0));
    }
    assert_eq!(here.trust(key(1), ms(0)), Err(settings.refusal_period));
    let mut now = settings.refusal_period;
    for refusal in [settings.long_refusal, settings.long_refusal] {
        assert_eq!(here.trust(key(1), now), Ok(Trust::Trial));
        assert_eq!(here.claim_trial(key(1), ms(0), now), Ok(Claim::Made));
        here.record(key(1), Effect::Deadly, 1, now);
        assert_eq!(here.trust(key(1), now), Err(refusal));
        // A daemon that joins much later refuses it for the rest.
        now += refusal - ms(60_000);
        for told in here.told_to_joining(now) {
            joining.learn(told, now);
        }
        assert_eq!(joining.trust(key(1), now), Err(ms(60_000)));
        now += ms(60_000);
    }
    // A searcher survives it: it is usual again.
    assert_eq!(here.claim_trial(key(1), ms(0), now), Ok(Claim::Made));
    here.record(key(1), Effect::Harmless, 0, now);
    assert_eq!(here.trust(key(1), now), Ok(Trust::Usual));
}

// Guards against refusing all requests with one content, maybe all of a route, since one searcher has
// ended by itself.
#[test]
fn a_content_is_tried_at_once_after_a_single_searcher_has_ended() {
    let settings = SuspectSettings::default();
    let (mut here, mut there) = (Suspects::new(settings), Suspects::new(settings));
    assert!(here.record(key(1), Effect::Suspect, 1, ms(0)));
    assert!(there.learn(here.told(ms(1))[0], ms(2)));
    for suspects in [&here, &there] {
        assert_eq!(suspects.trust(key(1), ms(2)), Ok(Trust::Trial));
    }
    // Another request was under way, and more searchers have ended.
    assert!(here.record(key(1), Effect::Suspect, 3, ms(3)));
    assert!(there.learn(here.told(ms(4))[0], ms(5)));
    for suspects in [&here, &there] {
        assert!(suspects.trust(key(1), ms(5)).is_err());
    }
}

// Guards against a content that stays a suspect though a searcher has survived it, here or
// elsewhere.
#[test]
fn a_content_that_a_searcher_has_survived_is_no_suspect_on_any_daemon() {
    let (mut here, mut there) =
        (Suspects::new(SuspectSettings::default()), Suspects::new(SuspectSettings::default()));
    here.record(key(1), Effect::Suspect, 2, ms(0));
    assert!(there.learn(here.told(ms(1))[0], ms(2)));
    assert!(there.trust(key(1), ms(2)).is_err());
    here.record(key(1), Effect::Harmless, 2, ms(10));
    assert!(there.learn(here.told(ms(11))[0], ms(12)));
    assert_eq!(there.trust(key(1), ms(12)), Ok(Trust::Usual));
    // A message that was sent earlier arrives late.
    let late = SuspectStatus {
        key: key(1),
        knowledge: Knowledge::Suspect,
        refused_for: ms(5000),
        round: 1,
        is_held: true,
        age: ms(20),
    };
    assert!(!there.learn(late, ms(20)));
    assert_eq!(there.trust(key(1), ms(20)), Ok(Trust::Usual));
}

// Guards against a content that daemons tell one another for ever, which renews its refusal.
#[test]
fn what_daemons_tell_one_another_ends() {
    let settings = SuspectSettings::default();
    let mut daemons = [Suspects::new(settings), Suspects::new(settings)];
    daemons[0].record(key(1), Effect::Deadly, 2, ms(0));
    let mut last_change = ms(0);
    for step in 0..10_000_u64 {
        let now = ms(10 * step);
        for (from, to) in [(0, 1), (1, 0)] {
            for told in daemons[from].told(now) {
                if daemons[to].learn(told, now) {
                    last_change = now;
                }
            }
        }
    }
    assert!(last_change < ms(100), "{last_change:?}");
    assert_eq!(daemons[1].trust(key(1), settings.refusal_period), Ok(Trust::Trial));
}

// Guards against memory and heartbeats that grow with the number of contents.
#[test]
fn the_number_of_contents_is_bounded() {
    let settings = SuspectSettings::default();
    let mut suspects = Suspects::new(settings);
    for value in 0..3000 {
        suspects.record(key(value), Effect::Suspect, 2, ms(value));
    }
    let now = ms(3000);
    assert_eq!(suspects.status(now).len(), settings.max_contents);
    assert_eq!(suspects.told(now).len(), settings.max_told);
    assert_eq!(suspects.told(now)[0].key, key(2999), "the newest first");
    let later = now + Duration::from_secs(60);
    assert_eq!(suspects.told(later).len(), settings.max_retold);
}

// Guards against as many trials as there are daemons, each of which takes a content for free at the
// same moment, and against a content that is never tried again since the daemon whose turn it is gets
// no request with it, or ends.
#[test]
fn a_content_is_tried_by_one_daemon_at_a_time() {
    let settings = SuspectSettings::default();
    let names: Vec<String> = (0..36).map(|index| format!("vm-{index}")).collect();
    let delay = |index: usize| {
        let others = names.iter().filter(|it| **it != names[index]).map(String::as_str);
        turn_delay(&settings, key(1), &names[index], others)
    };
    let mut daemons: Vec<Suspects> = names.iter().map(|_| Suspects::new(settings)).collect();
    for suspects in &mut daemons {
        suspects.record(key(1), Effect::Suspect, 2, ms(0));
    }
    // A request comes to each daemon in turn, 30 times a second in all, and what one daemon tells
    // reaches the others 100 ms later.
    let mut trials = Vec::new();
    let mut under_way: Vec<(Time, SuspectStatus)> = Vec::new();
    for step in 0..300_usize {
        let now = settings.hold_period + ms(33 * step as u64);
        let (arrived, later) = under_way.into_iter().partition(|(at, _)| *at <= now);
        under_way = later;
        let arrived: Vec<(Time, SuspectStatus)> = arrived;
        for suspects in &mut daemons {
            for &(_, told) in &arrived {
                suspects.learn(told, now);
            }
        }
        let index = step % daemons.len();
        if daemons[index].trust(key(1), now) == Ok(Trust::Trial)
            && daemons[index].claim_trial(key(1), delay(index), now) == Ok(Claim::Made)
        {
            trials.push(now);
            under_way.extend(daemons[index].told(now).into_iter().map(|it| (now + ms(100), it)));
        }
    }
    // The first trial ends without an outcome, so that another one follows after the claim.
    let first: Vec<&Time> = trials.iter().filter(|at| **at < trials[0] + ms(1000)).collect();
    assert!(first.len() <= 2, "{trials:?}");
    assert!(trials[0] <= settings.hold_period + settings.turn_period, "{trials:?}");
    assert!(trials.iter().any(|at| *at >= trials[0] + settings.claim_period), "{trials:?}");
}

// Guards against a daemon that starts, or was cut off, and sends a content to all shards although
// others know for long that it ends searchers; and against contents that are known for ever, since
// daemons go on telling one another.
#[test]
fn a_daemon_hears_of_all_contents_whenever_it_joins() {
    let settings = SuspectSettings::default();
    let mut here = Suspects::new(settings);
    for value in 0..10 {
        here.record(key(value), Effect::Suspect, 2, ms(value));
        here.record(key(value), Effect::Deadly, 2, ms(6000 + value));
    }
    let mut joining = Suspects::new(settings);
    let mut now = ms(20_000);
    for _ in 0..5 {
        for told in here.told(now) {
            joining.learn(told, now + ms(30));
        }
        now += ms(400);
    }
    for value in 0..10 {
        assert!(joining.trust(key(value), now).is_err(), "{value}");
    }
    // A later observation counts, whichever daemon made it, and not the older one that is still told.
    joining.record(key(0), Effect::Harmless, 1, now);
    for told in here.told(now).into_iter().chain(here.told(now)) {
        joining.learn(told, now);
    }
    assert_eq!(joining.trust(key(0), now), Ok(Trust::Usual));

    let end = now + 2 * settings.trial_period;
    while now < end {
        for told in here.told(now) {
            joining.learn(told, now + ms(100));
        }
        for told in joining.told(now) {
            here.learn(told, now + ms(100));
        }
        now += ms(400);
    }
    assert!(here.status(now).is_empty() && joining.status(now).is_empty());
}

// Guards against contents that are taken for one another, and against one that changes with the
// case of the host.
#[test]
fn a_content_is_known_by_all_that_a_searcher_gets() {
    let base = ContentKey::new("GET", "a.example", "/a?q=1", b"");
    assert_eq!(base, ContentKey::new("GET", "A.Example", "/a?q=1", b""));
    for other in [
        ContentKey::new("POST", "a.example", "/a?q=1", b""),
        ContentKey::new("GET", "b.example", "/a?q=1", b""),
        ContentKey::new("GET", "a.example", "/a?q=2", b""),
        ContentKey::new("GET", "a.example", "/a?q=1", b"x"),
    ] {
        assert_ne!(base, other);
    }
}
