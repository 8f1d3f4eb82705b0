//! Behaviour of connection counting.

mod common;

use common::ms;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use tt_limits::Acquired;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionId;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;

/// A searcher whose sockets open after the connect time.
struct Searcher {
    now: Instant,
    rng: SmallRng,
    connections: Connections,
    opening: Vec<(Instant, ConnectionId)>,
    open_times: Vec<Instant>,
    closing: Vec<ConnectionId>,
}

impl Searcher {
    fn new(limit: u32, need: u32, seed: u64) -> Searcher {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = ConnectionSettings { connect_time: ms(6), ..ConnectionSettings::default() };
        let mut connections = Connections::new(settings);
        connections.set_limit(now, limit, &mut rng);
        connections.set_concurrency(need);
        let (opening, open_times, closing) = Default::default();
        Searcher { now, rng, connections, opening, open_times, closing }
    }

    fn step(&mut self) {
        while let Some(action) = self.connections.next_action(self.now, &mut self.rng) {
            match action {
                ConnectionAction::Open(id) => {
                    self.opening.push((self.now + ms(6), id));
                    self.open_times.push(self.now);
                }
                ConnectionAction::Close(id) => self.closing.push(id),
            }
        }
        let now = self.now;
        for (_, id) in self.opening.extract_if(.., |(at, _)| *at <= now) {
            self.connections.opened(now, id);
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
            self.now += ms(1);
        }
    }

    fn take(&mut self) -> ConnectionId {
        match self.connections.acquire() {
            Acquired::Reuse(id) => id,
            Acquired::Wait => panic!("expected an idle connection"),
        }
    }
}

/// Guards against a searcher whose connection limit is exceeded by both members of its pair.
#[test]
fn never_counts_more_than_the_limit_even_with_unconfirmed_closes() {
    let mut searcher = Searcher::new(3, 8, 1);
    searcher.run(200);
    assert_eq!((searcher.connections.count(), searcher.connections.idle()), (3, 3));
    let busy = searcher.take();
    assert_eq!(searcher.connections.abort(busy), ConnectionAction::Close(busy));
    searcher.run(200);
    assert_eq!((searcher.connections.count(), searcher.open_times.len()), (3, 3));
    searcher.connections.closed(searcher.now, busy, &mut searcher.rng);
    searcher.run(200);
    assert_eq!((searcher.connections.count(), searcher.open_times.len()), (3, 4));
}

/// Guards against a burst of connection attempts from a member that takes over the searchers
/// of a lost VM, and against many members that attempt at the same moment.
#[test]
fn opens_gradually_with_jitter() {
    let times = |seed| {
        let mut searcher = Searcher::new(13, 8, seed);
        let start = searcher.now;
        searcher.run(200);
        searcher.open_times.iter().map(|time| (*time - start).as_millis()).collect::<Vec<_>>()
    };
    for seed in 0..20 {
        let times = times(seed);
        assert_eq!(times.len(), 9, "one for each slot and a spare");
        assert!(times[0] <= 6, "{times:?}");
        assert!(times[1] >= times[0] + 6, "the second waits for the first: {times:?}");
        assert!(times.windows(2).all(|pair| pair[1] >= pair[0] + 3), "{times:?}");
    }
    assert_ne!(times(1), times(2));
}

/// Guards against a burst of attempts at a searcher that has just restarted.
#[test]
fn the_ramp_starts_anew_when_the_searcher_closes_connections() {
    for seed in 0..20 {
        let mut searcher = Searcher::new(13, 8, seed);
        searcher.run(200);
        for _ in 0..9 {
            let id = searcher.take();
            searcher.connections.closed(searcher.now, id, &mut searcher.rng);
        }
        searcher.open_times.clear();
        searcher.run(200);
        assert_eq!(searcher.open_times.len(), 9);
        assert!(searcher.open_times[1] - searcher.open_times[0] >= ms(6), "waits for the first");
    }
}

/// Guards against sub-queries that wait for a connect although an idle connection exists.
#[test]
fn reuses_idle_connections_and_reports_the_wait_for_one() {
    let mut searcher = Searcher::new(13, 1, 1);
    assert!(searcher.connections.expected_wait(searcher.now).unwrap() >= ms(6));
    searcher.run(100);
    assert_eq!(searcher.connections.expected_wait(searcher.now), Some(ms(0)));
    let first = searcher.take();
    searcher.connections.released(searcher.now, first);
    searcher.run(10);
    assert_eq!(searcher.take(), first, "the most recently used one");
    assert_eq!(searcher.open_times.len(), 2);
}

/// Guards against sockets that stay open at a searcher after the right has ended, which
/// would exceed the limit together with the new owner's.
#[test]
fn closes_when_the_right_ends() {
    let mut searcher = Searcher::new(13, 3, 1);
    searcher.run(200);
    let busy = searcher.take();
    searcher.connections.set_limit(searcher.now, 0, &mut searcher.rng);
    searcher.run(10);
    assert_eq!(searcher.closing.len(), 3);
    assert_eq!(searcher.connections.acquire(), Acquired::Wait);
    assert_eq!(searcher.connections.expected_wait(searcher.now), None);
    searcher.connections.released(searcher.now, busy);
    searcher.run(10);
    assert_eq!(searcher.closing.len(), 4);
    assert_eq!(searcher.connections.count(), 4, "counted until the sockets are closed");
    for id in searcher.closing.clone() {
        searcher.connections.closed(searcher.now, id, &mut searcher.rng);
    }
    assert_eq!(searcher.connections.count(), 0);
}

/// Guards against idle sockets held beyond the need, which count at the searcher.
#[test]
fn closes_unused_idle_connections_after_a_while() {
    let mut searcher = Searcher::new(13, 8, 1);
    searcher.run(200);
    searcher.connections.set_concurrency(2);
    searcher.run(1000);
    assert_eq!(searcher.closing, []);
    let wake = searcher.connections.wake_at().expect("a time to close");
    searcher.now = wake;
    searcher.run(1000);
    assert_eq!(searcher.closing.len(), 6);
    assert_eq!(searcher.connections.idle(), 3);
}

/// Guards against constant attempts at a searcher that refuses connections.
#[test]
fn backs_off_after_failed_attempts() {
    let mut searcher = Searcher::new(13, 2, 1);
    let mut attempts = Vec::new();
    for _ in 0..20_000 {
        while let Some(ConnectionAction::Open(id)) =
            searcher.connections.next_action(searcher.now, &mut searcher.rng)
        {
            attempts.push(searcher.now);
            searcher.connections.closed(searcher.now, id, &mut searcher.rng);
        }
        searcher.now += ms(1);
    }
    assert!((10..=30).contains(&attempts.len()), "{} attempts in 20 s", attempts.len());
    let last = attempts[attempts.len() - 1] - attempts[attempts.len() - 2];
    assert!(last >= ms(1000) && last <= ms(3000), "{last:?}");
}
