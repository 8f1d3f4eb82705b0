//! Steps of the simulation.

use rand::RngExt;
use tokio::time::Instant;

use super::Choice;
use super::InFlight;
use super::Input;
use super::Output;
use super::ReplyTo;
use super::SearcherMode;
use super::StoreMode;
use super::SubmissionRecord;
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
    /// Takes one random step. If there is none to take, advances the clock to the next event,
    /// or returns `false` if that is after `end_ms`.
    pub fn step(&mut self, end_ms: u64) -> bool {
        let mut choices = Vec::new();
        let mut next = u64::MAX;
        for (index, (at, _)) in self.in_flight.iter().enumerate() {
            if *at <= self.now_ms {
                choices.push(Choice::Arrival(index));
            }
            next = next.min(*at);
        }
        for (index, daemon) in self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.up) {
            if daemon.paused_until_ms > self.now_ms {
                next = next.min(daemon.paused_until_ms);
                continue;
            }
            if !daemon.outbox.is_empty() {
                choices.push(Choice::RunAction(index));
                continue;
            }
            if !daemon.inbox.is_empty() {
                choices.push(Choice::HandleInput(index));
            }
            let mut timer = |at: Instant, choice: Choice| {
                let at = (at - self.start_time).as_millis() as u64;
                if at <= self.now_ms {
                    choices.push(choice);
                }
                next = next.min(at);
            };
            if let Some(at) = daemon.partition.as_ref().and_then(|(_, p)| p.next_timer()) {
                timer(at, Choice::PartitionTimer(index));
            }
            for (submission, claimant) in &daemon.claimants {
                if let Some(at) = claimant.next_timer() {
                    timer(at, Choice::ClaimantTimer(index, *submission));
                }
            }
        }
        if choices.is_empty() {
            if next > end_ms {
                return false;
            }
            self.now_ms = self.now_ms.max(next);
            return true;
        }
        self.steps += 1;
        let index = self.rng.random_range(0..choices.len());
        match choices.swap_remove(index) {
            Choice::Arrival(index) => {
                let (_, message) = self.in_flight.swap_remove(index);
                self.arrive(message);
            }
            Choice::RunAction(daemon) => self.run_action(daemon),
            Choice::HandleInput(daemon) => {
                if let Some(input) = self.daemons[daemon].inbox.pop_front() {
                    self.handle_input(daemon, input);
                }
            }
            Choice::PartitionTimer(daemon) => {
                let serial = self.daemons[daemon].partition.as_ref().unwrap().0;
                self.handle_input(daemon, Input::Partition(serial, PartitionEvent::Timer));
            }
            Choice::ClaimantTimer(daemon, submission) => {
                self.handle_input(daemon, Input::Claimant(submission, ClaimantEvent::Timer));
            }
        }
        true
    }

    fn handle_input(&mut self, index: usize, input: Input) {
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
            Input::Claimant(submission, event) => {
                if let Some(claimant) = daemon.claimants.get_mut(&submission) {
                    let actions = claimant.handle(event, now);
                    if claimant.is_finished() {
                        daemon.claimants.remove(&submission);
                    }
                    daemon.outbox.extend(
                        actions.into_iter().map(|action| Output::Claimant(submission, action)),
                    );
                }
            }
        }
    }

    fn run_action(&mut self, index: usize) {
        let origin = (index, self.daemons[index].generation);
        match self.daemons[index].outbox.pop_front() {
            Some(Output::Partition(serial, PartitionAction::Store { call, request })) => {
                let delay_ms = match self.store_mode {
                    StoreMode::Slow if self.rng.random_bool(0.05) => {
                        self.rng.random_range(3_000..60_000)
                    }
                    StoreMode::Slow => self.rng.random_range(50..3_000),
                    _ => self.rng.random_range(1..5),
                };
                self.schedule(delay_ms, InFlight::Store { origin, serial, call, request });
            }
            Some(Output::Partition(_, PartitionAction::Reply { tag, reply })) => {
                let Some(ReplyTo { origin, submission, call }) =
                    self.daemons[index].pending_calls.remove(&tag)
                else {
                    panic!("call {tag} gets two replies");
                };
                let event = if self.rng.random_bool(self.fault_rate) {
                    ClaimantEvent::CallFailed { call }
                } else {
                    ClaimantEvent::Reply { call, reply }
                };
                let input = Input::Claimant(submission, event);
                self.deliver(origin, input);
            }
            Some(Output::Claimant(submission, ClaimantAction::Call { call, request, .. })) => {
                let to = self.daemons[index].assignment.1;
                if self.rng.random_bool(self.fault_rate) {
                    let again = request.clone();
                    let delay_ms = self.rng.random_range(1..5_000);
                    self.schedule(
                        delay_ms,
                        InFlight::ClaimCall { origin, to, submission, call, request: again },
                    );
                }
                let delay_ms = if self.rng.random_bool(self.fault_rate * 3.0) {
                    self.rng.random_range(5..2_500)
                } else {
                    self.rng.random_range(1..5)
                };
                self.schedule(
                    delay_ms,
                    InFlight::ClaimCall { origin, to, submission, call, request },
                );
            }
            Some(Output::Claimant(submission, ClaimantAction::Prepare)) => {
                let event = match self.rng.random_range(0..10) {
                    0 => ClaimantEvent::Cancel { code: ResultCode::Draining },
                    _ => ClaimantEvent::Prepared,
                };
                self.deliver(origin, Input::Claimant(submission, event));
            }
            Some(Output::Claimant(submission, ClaimantAction::Send)) => {
                self.submissions[submission].sent += 1;
                assert_eq!(self.submissions[submission].sent, 1, "a submission is sent twice");
                let delay_ms = self.rng.random_range(1..5);
                self.schedule(delay_ms, InFlight::Search { origin, submission });
            }
            Some(Output::Claimant(submission, ClaimantAction::Answer(answer))) => {
                self.answered(submission, answer);
            }
            None => {}
        }
    }

    fn arrive(&mut self, message: InFlight) {
        match message {
            InFlight::Store { origin, serial, call, request } => {
                let reply = self.run_store(&request);
                let event = PartitionEvent::Store { call, reply };
                self.deliver(origin, Input::Partition(serial, event));
            }
            InFlight::LateEffect(request) => {
                self.store.run(&request);
            }
            InFlight::ClaimCall { origin, to, submission, call, request } => {
                let tag = self.next_serial();
                let target = &mut self.daemons[to];
                match &target.partition {
                    Some((serial, _)) if target.up && !self.rng.random_bool(self.fault_rate) => {
                        target.pending_calls.insert(tag, ReplyTo { origin, submission, call });
                        let event = PartitionEvent::Request { tag, request };
                        target.inbox.push_back(Input::Partition(*serial, event));
                    }
                    _ => {
                        let input = Input::Claimant(submission, ClaimantEvent::CallFailed { call });
                        self.deliver(origin, input);
                    }
                }
            }
            InFlight::Search { origin, submission } => self.search(origin, submission),
            InFlight::Deliver { origin, input } => {
                let daemon = &mut self.daemons[origin.0];
                if daemon.up && daemon.generation == origin.1 {
                    daemon.inbox.push_back(input);
                }
            }
        }
    }

    fn run_store(&mut self, request: &StoreCall) -> StoreReply {
        match self.store_mode {
            StoreMode::Up | StoreMode::Slow => self.store.run(request),
            StoreMode::Down => StoreReply::Unavailable,
            StoreMode::Lossy => match self.rng.random_range(0..7) {
                0 | 1 => {
                    self.store.run(request);
                    StoreReply::Lost
                }
                2 => StoreReply::Lost,
                3 => {
                    let delay_ms = self.rng.random_range(1..30_000);
                    self.schedule(delay_ms, InFlight::LateEffect(request.clone()));
                    StoreReply::Lost
                }
                4 => self.store.run_stale(request),
                _ => self.store.run(request),
            },
        }
    }

    /// Handles a request at the searcher, which runs every request that reaches it.
    fn search(&mut self, origin: (usize, u64), submission: usize) {
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
                let SubmissionRecord { request, body, attempt, .. } = self.submissions[submission];
                self.requests[request].histories[body].runs.push((attempt, result.clone()));
                if roll == 3 { RunOutcome::Unknown } else { RunOutcome::Done(result) }
            }
        };
        let delay_ms = if roll == 4 { 4_000 } else { 2 };
        let input = Input::Claimant(submission, ClaimantEvent::Ran(outcome));
        self.schedule(delay_ms, InFlight::Deliver { origin, input });
    }

    fn answered(&mut self, index: usize, answer: Answer) {
        let submission = &mut self.submissions[index];
        submission.answers.push(answer.clone());
        assert_eq!(
            submission.answers.len(),
            1,
            "a submission is answered twice: {:?}",
            submission.answers
        );
        let history = &mut self.requests[submission.request].histories[submission.body];
        match answer {
            Answer::NotRun(code) => {
                assert_eq!(code.ran(), Ran::No, "{code}");
                history.not_run =
                    Some(history.not_run.map_or(submission.attempt, |n| n.max(submission.attempt)));
            }
            Answer::Unknown(code) => assert_eq!(code.ran(), Ran::Unknown, "{code}"),
            Answer::Done(_) | Answer::DoneOmitted(_) => history.done.push(answer),
        }
    }

    fn deliver(&mut self, origin: (usize, u64), input: Input) {
        let delay_ms = self.rng.random_range(1..5);
        self.schedule(delay_ms, InFlight::Deliver { origin, input });
    }

    fn schedule(&mut self, delay_ms: u64, message: InFlight) {
        self.in_flight.push((self.now_ms + delay_ms, message));
    }
}
