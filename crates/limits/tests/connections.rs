//! Tests of the connection limits.

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

/// A searcher at which each connect takes the connect time.
struct Searcher {
    now: Instant,
    rng: SmallRng,
    connections: Connections,
    opening: Vec<(Instant, ConnectionId)>,
    /// Times at which connects began.
    open_times: Vec<Instant>,
    closing: Vec<ConnectionId>,
}

impl Searcher {
    fn new(limit: u32, concurrency: u32, seed: u64) -> Searcher {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let settings = ConnectionSettings { connect_time: ms(6), ..ConnectionSettings::default() };
        let mut connections = Connections::new(settings);
        connections.set_limit(now, limit, &mut rng);
        connections.set_concurrency(concurrency);
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
            self.connections.on_opened(now, id);
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
            self.now += ms(1);
        }
    }

    fn acquire(&mut self) -> ConnectionId {
        match self.connections.acquire() {
            Acquired::Reuse(id) => id,
            Acquired::Wait => panic!("expected an idle connection"),
        }
    }
}

/// Guards against owner and successor together exceeding a searcher's connection limit: a
/// socket that is not yet confirmed closed still counts at the searcher.
#[test]
fn unconfirmed_closes_count_against_the_limit() {
    let mut searcher = Searcher::new(3, 8, 1);
    searcher.run(200);
    assert_eq!((searcher.connections.count(), searcher.connections.idle_count()), (3, 3));
    let busy = searcher.acquire();
    assert_eq!(searcher.connections.abort(busy), ConnectionAction::Close(busy));
    searcher.run(200);
    assert_eq!((searcher.connections.count(), searcher.open_times.len()), (3, 3));
    searcher.connections.on_closed(searcher.now, busy, &mut searcher.rng);
    searcher.run(200);
    assert_eq!((searcher.connections.count(), searcher.open_times.len()), (3, 4));
}

/// Guards against a burst of connects from a daemon that takes over the searchers of a lost
/// VM, and against many daemons that connect at the same moment.
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
        assert_eq!(times.len(), 9, "one for each slot and one spare connection");
        assert!(times[0] <= 6, "{times:?}");
        assert!(times[1] >= times[0] + 6, "the second waits for the first: {times:?}");
        assert!(times.windows(2).all(|pair| pair[1] >= pair[0] + 3), "{times:?}");
    }
    assert_ne!(times(1), times(2));
}

/// Guards against a burst of connects to a searcher that has just restarted.
#[test]
fn reconnects_gradually_after_the_searcher_closed_connections() {
    for seed in 0..20 {
        let mut searcher = Searcher::new(13, 8, seed);
        searcher.run(200);
        for _ in 0..9 {
            let id = searcher.acquire();
            searcher.connections.on_closed(searcher.now, id, &mut searcher.rng);
        }
        searcher.open_times.clear();
        searcher.run(200);
        assert_eq!(searcher.open_times.len(), 9);
        assert!(
            searcher.open_times[1] - searcher.open_times[0] >= ms(6),
            "the second waits for the first"
        );
    }
}

/// Guards against sub-queries that wait for a connect although an idle connection exists.
#[test]
fn reuses_idle_connections_and_reports_the_expected_wait() {
    let mut searcher = Searcher::new(13, 1, 1);
    assert!(searcher.connections.expected_wait(searcher.now).unwrap() >= ms(6));
    searcher.run(100);
    assert_eq!(searcher.connections.expected_wait(searcher.now), Some(ms(0)));
    let first = searcher.acquire();
    searcher.connections.on_released(searcher.now, first);
    searcher.run(10);
    assert_eq!(searcher.acquire(), first, "the most recently used one");
    assert_eq!(searcher.open_times.len(), 2);
}

/// Guards against sockets that stay open after this daemon may no longer use the searcher.
/// Together with the new owner's sockets they would exceed the searcher's limit.
#[test]
fn closes_connections_when_the_limit_drops_to_zero() {
    let mut searcher = Searcher::new(13, 3, 1);
    searcher.run(200);
    let busy = searcher.acquire();
    searcher.connections.set_limit(searcher.now, 0, &mut searcher.rng);
    searcher.run(10);
    assert_eq!(searcher.closing.len(), 3);
    assert_eq!(searcher.connections.acquire(), Acquired::Wait);
    assert_eq!(searcher.connections.expected_wait(searcher.now), None);
    searcher.connections.on_released(searcher.now, busy);
    searcher.run(10);
    assert_eq!(searcher.closing.len(), 4);
    assert_eq!(searcher.connections.count(), 4, "counted until the sockets are closed");
    for id in searcher.closing.clone() {
        searcher.connections.on_closed(searcher.now, id, &mut searcher.rng);
    }
    assert_eq!(searcher.connections.count(), 0);
}

/// Guards against unneeded idle sockets, which count against the searcher's limit.
#[test]
fn closes_unneeded_connections_after_the_idle_timeout() {
    let mut searcher = Searcher::new(13, 8, 1);
    searcher.run(200);
    searcher.connections.set_concurrency(2);
    searcher.run(1000);
    assert_eq!(searcher.closing, []);
    let wake = searcher.connections.wake_at().expect("a time to close");
    searcher.now = wake;
    searcher.run(1000);
    assert_eq!(searcher.closing.len(), 6);
    assert_eq!(searcher.connections.idle_count(), 3);
}

/// Guards against constant connects to a searcher that refuses connections.
#[test]
fn backs_off_after_failed_connects() {
    let mut searcher = Searcher::new(13, 2, 1);
    let mut connects = Vec::new();
    for _ in 0..20_000 {
        while let Some(ConnectionAction::Open(id)) =
            searcher.connections.next_action(searcher.now, &mut searcher.rng)
        {
            connects.push(searcher.now);
            searcher.connections.on_closed(searcher.now, id, &mut searcher.rng);
        }
        searcher.now += ms(1);
    }
    assert!((10..=30).contains(&connects.len()), "{} connects in 20 s", connects.len());
    let last = connects[connects.len() - 1] - connects[connects.len() - 2];
    assert!(last >= ms(1000) && last <= ms(3000), "{last:?}");
}
