//! Stateful fuzz test of the connection limits, checked against a list of all sockets.

mod common;

use common::fuzz_config;
use common::ms;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use tt_limits::Acquired;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionId;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;

#[derive(Debug, Clone)]
enum Step {
    Limit { sockets: u32 },
    Concurrency { slots: u32 },
    RunActions,
    Acquire,
    Opened { nth: usize },
    Release { nth: usize },
    Abort { nth: usize },
    Closed { nth: usize },
    Advance { millis: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Socket {
    Opening,
    Idle,
    Busy,
    Closing,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let nth = any::<usize>;
        prop_oneof![
            2 => prop_oneof![1 => Just(0), 4 => 1..14u32].prop_map(|sockets| Step::Limit { sockets }),
            1 => (0..6u32).prop_map(|slots| Step::Concurrency { slots }),
            8 => Just(Step::RunActions),
            4 => Just(Step::Acquire),
            8 => nth().prop_map(|nth| Step::Opened { nth }),
            3 => nth().prop_map(|nth| Step::Release { nth }),
            2 => nth().prop_map(|nth| Step::Abort { nth }),
            4 => nth().prop_map(|nth| Step::Closed { nth }),
            8 => (0..40u64).prop_map(|millis| Step::Advance { millis }),
            1 => Just(Step::Advance { millis: 20_000 }),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

struct Oracle {
    connections: Connections,
    rng: SmallRng,
    now: Instant,
    limit: u32,
    concurrency: u32,
    sockets: Vec<(ConnectionId, Socket)>,
    next_id: u64,
}

impl Oracle {
    /// Index of the `nth` socket, modulo their number, if it is in one of `states`.
    fn socket_in(&mut self, nth: usize, states: &[Socket]) -> Option<usize> {
        let index = nth.checked_rem(self.sockets.len())?;
        states.contains(&self.sockets[index].1).then_some(index)
    }

    fn count(&self, state: Socket) -> usize {
        self.sockets.iter().filter(|(_, socket)| *socket == state).count()
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.connections.next_action(self.now, &mut self.rng) {
            match action {
                ConnectionAction::Open(id) => {
                    assert!((self.sockets.len() as u32) < self.limit, "over the limit");
                    assert!(id.0 >= self.next_id, "a connection id was used twice");
                    self.next_id = id.0 + 1;
                    self.sockets.push((id, Socket::Opening));
                }
                ConnectionAction::Close(id) => {
                    let found = self.sockets.iter_mut().find(|(other, _)| *other == id);
                    let (_, socket) = found.expect("closes only known sockets");
                    assert_eq!(*socket, Socket::Idle, "closed a socket that is not idle");
                    *socket = Socket::Closing;
                }
            }
        }
        let idle = self.count(Socket::Idle);
        assert!(self.limit > 0 || idle == 0, "idle sockets are open although the limit is 0");
        let must_connect = self.sockets.is_empty() && self.limit > 0 && self.concurrency > 0;
        assert!(
            !must_connect || self.connections.wake_at().is_some(),
            "no connect is due although there is no connection"
        );
    }
}

impl StateMachineTest for Oracle {
    type SystemUnderTest = Oracle;
    type Reference = Steps;

    fn init_test(seed: &u64) -> Oracle {
        let settings = ConnectionSettings { connect_time: ms(6), ..ConnectionSettings::default() };
        Oracle {
            connections: Connections::new(settings),
            rng: SmallRng::seed_from_u64(*seed),
            now: Instant::now(),
            limit: 0,
            concurrency: 0,
            sockets: Vec::new(),
            next_id: 0,
        }
    }

    fn apply(mut test: Oracle, _: &u64, step: Step) -> Oracle {
        let now = test.now;
        match step {
            Step::Limit { sockets } => {
                test.limit = sockets;
                test.connections.set_limit(now, sockets, &mut test.rng);
            }
            Step::Concurrency { slots } => {
                test.concurrency = slots;
                test.connections.set_concurrency(slots);
            }
            Step::RunActions => test.run_actions(),
            Step::Acquire => match test.connections.acquire() {
                Acquired::Reuse(id) => {
                    assert!(test.limit > 0);
                    let found = test.sockets.iter_mut().find(|(other, _)| *other == id);
                    let (_, socket) = found.expect("hands out only known sockets");
                    assert_eq!(*socket, Socket::Idle);
                    *socket = Socket::Busy;
                }
                Acquired::Wait => assert!(test.limit == 0 || test.count(Socket::Idle) == 0),
            },
            Step::Opened { nth } => {
                if let Some(index) = test.socket_in(nth, &[Socket::Opening]) {
                    test.sockets[index].1 = Socket::Idle;
                    test.connections.on_opened(now, test.sockets[index].0);
                }
            }
            Step::Release { nth } => {
                if let Some(index) = test.socket_in(nth, &[Socket::Busy]) {
                    test.sockets[index].1 = Socket::Idle;
                    test.connections.on_released(now, test.sockets[index].0);
                }
            }
            Step::Abort { nth } => {
                if let Some(index) = test.socket_in(nth, &[Socket::Busy]) {
                    let id = test.sockets[index].0;
                    test.sockets[index].1 = Socket::Closing;
                    assert_eq!(test.connections.abort(id), ConnectionAction::Close(id));
                }
            }
            Step::Closed { nth } => {
                if !test.sockets.is_empty() {
                    let (id, _) = test.sockets.swap_remove(nth % test.sockets.len());
                    test.connections.on_closed(now, id, &mut test.rng);
                }
            }
            Step::Advance { millis } => test.now += ms(millis),
        }
        test
    }

    fn check_invariants(test: &Oracle, _: &u64) {
        assert_eq!(test.connections.count() as usize, test.sockets.len());
        assert_eq!(test.connections.idle_count() as usize, test.count(Socket::Idle));
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    /// Guards against any order of events that opens a socket above the limit, hands out a
    /// socket twice or closes a socket in use.
    #[test]
    fn sockets_stay_within_the_limit(sequential 1..200 => Oracle);
}
