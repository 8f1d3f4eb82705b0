//! Steps of the simulation.

use rand::RngExt;
use tokio::time::Instant;

use super::Caller;
use super::Choice;
use super::Flight;
use super::Input;
use super::Output;
use super::SearcherMode;
use super::StoreMode;
use super::Sub;
use super::World;
use tt_claims::Answer;
use tt_claims::ClaimantAction;
use tt_claims::ClaimantEvent;
use tt_claims::PartitionAction;
use tt_claims::PartitionEvent;
use tt_claims::RunOutcome;
use tt_model::Ran;
use tt_model::ResultCode;
use tt_model::StoreCall;
use tt_model::StoreReply;

impl World {
    /// Does one thing; moves the clock, at most to `end`, if there is nothing to do.
    pub fn step(&mut self, end: u64) -> bool {
        let mut choices = Vec::new();
        let mut next = u64::MAX;
        for (index, (at, _)) in self.flights.iter().enumerate() {
            if *at <= self.t {
                choices.push(Choice::Flight(index));
            }
            next = next.min(*at);
        }
        for (index, daemon) in self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.up) {
            if daemon.paused_until > self.t {
                next = next.min(daemon.paused_until);
                continue;
            }
            if !daemon.outbox.is_empty() {
                choices.push(Choice::Act(index));
                continue;
            }
            if !daemon.inbox.is_empty() {
                choices.push(Choice::Take(index));
            }
            let mut timer = |at: Instant, choice: Choice| {
                let at = (at - self.base).as_millis() as u64;
                if at <= self.t {
                    choices.push(choice);
                }
                next = next.min(at);
            };
            if let Some(at) = daemon.partition.as_ref().and_then(|(_, p)| p.next_timer()) {
                timer(at, Choice::PartitionTimer(index));
            }
            for (sub, claimant) in &daemon.claimants {
                if let Some(at) = claimant.next_timer() {
                    timer(at, Choice::ClaimantTimer(index, *sub));
                }
            }
        }
        if choices.is_empty() {
            if next > end {
                return false;
            }
            self.t = self.t.max(next);
            return true;
        }
        self.steps += 1;
        let index = self.rng.random_range(0..choices.len());
        match choices.swap_remove(index) {
            Choice::Flight(index) => {
                let (_, flight) = self.flights.swap_remove(index);
                self.arrive(flight);
            }
            Choice::Act(daemon) => self.act(daemon),
            Choice::Take(daemon) => {
                if let Some(input) = self.daemons[daemon].inbox.pop_front() {
                    self.take(daemon, input);
                }
            }
            Choice::PartitionTimer(daemon) => {
                let serial = self.daemons[daemon].partition.as_ref().unwrap().0;
                self.take(daemon, Input::Partition(serial, PartitionEvent::Timer));
            }
            Choice::ClaimantTimer(daemon, sub) => {
                self.take(daemon, Input::Claimant(sub, ClaimantEvent::Timer));
            }
        }
        true
    }

    fn take(&mut self, index: usize, input: Input) {
        let now = self.now(index);
        let daemon = &mut self.daemons[index];
        match input {
            Input::Partition(serial, event) => {
                if let Some((current, partition)) = &mut daemon.partition
                    && *current == serial
                {
                    let actions = partition.handle(event, now);
                    daemon.outbox.extend(
                        actions.into_iter().map(|action| Output::Partition(serial, action)),
                    );
                }
            }
            Input::Claimant(sub, event) => {
                if let Some(claimant) = daemon.claimants.get_mut(&sub) {
                    let actions = claimant.handle(event, now);
                    if claimant.is_finished() {
                        daemon.claimants.remove(&sub);
                    }
                    daemon
                        .outbox
                        .extend(actions.into_iter().map(|action| Output::Claimant(sub, action)));
                }
            }
        }
    }

    fn act(&mut self, index: usize) {
        let home = (index, self.daemons[index].generation);
        match self.daemons[index].outbox.pop_front() {
            Some(Output::Partition(serial, PartitionAction::Store { call, request })) => {
                let delay = match self.store_mode {
                    StoreMode::Slow if self.rng.random_bool(0.05) => {
                        self.rng.random_range(3_000..60_000)
                    }
                    StoreMode::Slow => self.rng.random_range(50..3_000),
                    _ => self.rng.random_range(1..5),
                };
                self.fly(delay, Flight::Store { home, serial, call, request });
            }
            Some(Output::Partition(_, PartitionAction::Reply { tag, reply })) => {
                let Some(Caller { home, sub, call }) = self.daemons[index].tags.remove(&tag) else {
                    panic!("call {tag} is answered twice");
                };
                let event = if self.rng.random_bool(self.network_faults) {
                    ClaimantEvent::CallFailed { call }
                } else {
                    ClaimantEvent::Reply { call, reply }
                };
                let input = Input::Claimant(sub, event);
                self.deliver(home, input);
            }
            Some(Output::Claimant(sub, ClaimantAction::Call { call, request, .. })) => {
                let to = self.daemons[index].view.1;
                if self.rng.random_bool(self.network_faults) {
                    let again = request.clone();
                    let delay = self.rng.random_range(1..5_000);
                    self.fly(delay, Flight::Rpc { home, to, sub, call, request: again });
                }
                let delay = if self.rng.random_bool(self.network_faults * 3.0) {
                    self.rng.random_range(5..2_500)
                } else {
                    self.rng.random_range(1..5)
                };
                self.fly(delay, Flight::Rpc { home, to, sub, call, request });
            }
            Some(Output::Claimant(sub, ClaimantAction::Prepare)) => {
                let event = match self.rng.random_range(0..10) {
                    0 => ClaimantEvent::Cancel { code: ResultCode::Draining },
                    _ => ClaimantEvent::Prepared,
                };
                self.deliver(home, Input::Claimant(sub, event));
            }
            Some(Output::Claimant(sub, ClaimantAction::Send)) => {
                self.subs[sub].sent += 1;
                assert_eq!(self.subs[sub].sent, 1, "a submission is sent twice");
                let delay = self.rng.random_range(1..5);
                self.fly(delay, Flight::Search { home, sub });
            }
            Some(Output::Claimant(sub, ClaimantAction::Answer(answer))) => {
                self.answered(sub, answer);
            }
            None => {}
        }
    }

    fn arrive(&mut self, flight: Flight) {
        match flight {
            Flight::Store { home, serial, call, request } => {
                let reply = self.run_store(&request);
                let event = PartitionEvent::Store { call, reply };
                self.deliver(home, Input::Partition(serial, event));
            }
            Flight::Effect(request) => {
                self.store.run(&request);
            }
            Flight::Rpc { home, to, sub, call, request } => {
                let tag = self.next_serial();
                let target = &mut self.daemons[to];
                match &target.partition {
                    Some((serial, _))
                        if target.up && !self.rng.random_bool(self.network_faults) =>
                    {
                        target.tags.insert(tag, Caller { home, sub, call });
                        let event = PartitionEvent::Request { tag, request };
                        target.inbox.push_back(Input::Partition(*serial, event));
                    }
                    _ => {
                        let input = Input::Claimant(sub, ClaimantEvent::CallFailed { call });
                        self.deliver(home, input);
                    }
                }
            }
            Flight::Search { home, sub } => self.search(home, sub),
            Flight::Deliver { home, input } => {
                let daemon = &mut self.daemons[home.0];
                if daemon.up && daemon.generation == home.1 {
                    daemon.inbox.push_back(input);
                }
            }
        }
    }

    fn run_store(&mut self, request: &StoreCall) -> StoreReply {
        match self.store_mode {
            StoreMode::Up | StoreMode::Slow => self.store.run(request),
            StoreMode::Down => StoreReply::Unavailable,
            StoreMode::Losing => match self.rng.random_range(0..7) {
                0 | 1 => {
                    self.store.run(request);
                    StoreReply::Lost
                }
                2 => StoreReply::Lost,
                3 => {
                    let delay = self.rng.random_range(1..30_000);
                    self.fly(delay, Flight::Effect(request.clone()));
                    StoreReply::Lost
                }
                4 => self.store.run_stale(request),
                _ => self.store.run(request),
            },
        }
    }

    /// The searcher, which would run everything that reaches it.
    fn search(&mut self, home: (usize, u64), sub: usize) {
        let roll = match self.searcher_mode {
            SearcherMode::Good => 9,
            SearcherMode::Faulty => self.rng.random_range(0..10),
        };
        let outcome = match roll {
            0 => RunOutcome::Unknown,
            1 | 2 => RunOutcome::NotExecuted(ResultCode::NoReplica),
            _ => {
                let mut result = format!("run {}", self.next_serial()).into_bytes();
                if self.rng.random_bool(0.2) {
                    result.resize(tt_claims::MAX_RESULT_BYTES + 1, b'.');
                }
                let Sub { request, body, attempt, .. } = self.subs[sub];
                self.requests[request].tales[body].runs.push((attempt, result.clone()));
                if roll == 3 { RunOutcome::Unknown } else { RunOutcome::Done(result) }
            }
        };
        let delay = if roll == 4 { 4_000 } else { 2 };
        let input = Input::Claimant(sub, ClaimantEvent::Ran(outcome));
        self.fly(delay, Flight::Deliver { home, input });
    }

    fn answered(&mut self, index: usize, answer: Answer) {
        let sub = &mut self.subs[index];
        sub.answers.push(answer.clone());
        assert_eq!(sub.answers.len(), 1, "a submission is answered twice: {:?}", sub.answers);
        let tale = &mut self.requests[sub.request].tales[sub.body];
        match answer {
            Answer::NotRun(code) => {
                assert_eq!(code.ran(), Ran::No, "{code}");
                tale.not_run = Some(tale.not_run.map_or(sub.attempt, |n| n.max(sub.attempt)));
            }
            Answer::Unknown(code) => assert_eq!(code.ran(), Ran::Unknown, "{code}"),
            Answer::Done(_) | Answer::DoneOmitted(_) => tale.done.push(answer),
        }
    }

    fn deliver(&mut self, home: (usize, u64), input: Input) {
        let delay = self.rng.random_range(1..5);
        self.fly(delay, Flight::Deliver { home, input });
    }

    fn fly(&mut self, delay: u64, flight: Flight) {
        self.flights.push((self.t + delay, flight));
    }
}
