//! Changes by operators that run call by call against a fake store.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

use tokio::time::Instant;

use super::FakeStore;
use super::change_id;
use tt_control::CATALOG_KEY;
use tt_control::Catalog;
use tt_control::Change;
use tt_control::ChangeKind;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::Outcome;
use tt_control::StoreRequest;
use tt_control::SubmissionKind;
use tt_model::Digest;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// What happens to a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    None,
    /// The call fails and does not reach the store.
    Unavailable,
    /// The call takes effect but the reply is lost.
    LostReply,
    /// The call is lost and takes no effect.
    LostCall,
}

/// Returns the fault of each call, given the operator's name and the call.
pub type FaultScript<'a> = &'a mut dyn FnMut(&str, &StoreCall) -> CallFault;

/// A store, a clock and a log of the operators' changes and store calls.
pub struct OperatorSession {
    pub store: FakeStore,
    pub now: Instant,
    start: Instant,
    pub log: String,
    changes: u64,
}

struct RunningChange {
    change: Change,
    calls: VecDeque<StoreRequest>,
}

pub fn trial(environment: &str, operator: &str, base: u64, text: &str) -> ChangeRequest {
    ChangeRequest {
        change: change_id(0),
        submission: SubmissionKind::First,
        operator: operator.to_owned(),
        environment: environment.to_owned(),
        base: Revision(base),
        kind: ChangeKind::Trial { text: text.to_owned() },
    }
}

pub fn promote(environment: &str, operator: &str, base: u64, digest: &Digest) -> ChangeRequest {
    let kind = ChangeKind::Promote { digest: digest.clone() };
    ChangeRequest { kind, ..trial(environment, operator, base, "") }
}

pub fn no_faults(_: &str, _: &StoreCall) -> CallFault {
    CallFault::None
}

/// Applies `fault` to the first call for which `matches` is true.
pub fn fail_once<F>(fault: CallFault, matches: F) -> impl FnMut(&str, &StoreCall) -> CallFault
where
    F: Fn(&StoreCall) -> bool,
{
    let mut done = false;
    move |_, call| {
        if done || !matches(call) {
            return CallFault::None;
        }
        done = true;
        fault
    }
}

pub fn is_swap(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Put { key, .. } if key == CATALOG_KEY)
}

impl OperatorSession {
    pub fn new() -> OperatorSession {
        let now = Instant::now();
        OperatorSession {
            store: FakeStore::default(),
            now,
            start: now,
            log: String::new(),
            changes: 0,
        }
    }

    pub fn catalog(&self) -> Catalog {
        match self.store.values.get(CATALOG_KEY) {
            Some((_, value)) => Catalog::decode(value).expect("a catalog"),
            None => Catalog::default(),
        }
    }

    /// Runs one change to its outcome.
    pub fn run(&mut self, request: ChangeRequest, faults: FaultScript) -> Outcome {
        self.race(vec![request], faults).remove(0)
    }

    /// Runs changes concurrently: each makes one store call per 5 ms. Requests with the id 0 are
    /// given new ids in order.
    pub fn race(&mut self, requests: Vec<ChangeRequest>, faults: FaultScript) -> Vec<Outcome> {
        let settings = ChangeSettings::default();
        let mut running: Vec<RunningChange> = Vec::new();
        for mut request in requests {
            if request.change == change_id(0) {
                self.changes += 1;
                request.change = change_id(self.changes);
            }
            let kind = match &request.kind {
                ChangeKind::Trial { text } => format!("trial of {}", short_digest(text)),
                ChangeKind::Promote { digest } => format!("promotion of {:.8}", digest.as_str()),
            };
            let (operator, base) = (&request.operator, request.base);
            self.log_event(operator, &format!("{kind} based on {base}"));
            let (change, calls) = Change::start(request, &settings, self.now);
            if let Some(outcome) = change.outcome() {
                self.log_event(&change.request().operator, &format!("== {outcome}"));
            }
            running.push(RunningChange { change, calls: calls.into() });
        }
        while running.iter().any(|run| run.change.outcome().is_none()) {
            self.now += Duration::from_millis(5);
            for run in &mut running {
                self.step(run, faults);
            }
            let idle = running.iter().all(|run| run.calls.is_empty());
            let wake = running.iter().filter_map(|run| run.change.wake_at()).min();
            if let Some(wake) = wake.filter(|_| idle) {
                self.now = self.now.max(wake);
                for run in &mut running {
                    run.calls.extend(run.change.tick(self.now));
                }
            }
        }
        running.into_iter().map(|run| run.change.outcome().expect("finished").clone()).collect()
    }

    fn step(&mut self, run: &mut RunningChange, faults: FaultScript) {
        let Some(request) = run.calls.pop_front() else {
            return;
        };
        let operator = run.change.request().operator.clone();
        let fault = faults(&operator, &request.call);
        let reply = match fault {
            CallFault::None => self.store.call(&request.call),
            CallFault::Unavailable => StoreReply::Unavailable,
            CallFault::LostCall => StoreReply::Lost,
            CallFault::LostReply => {
                self.store.call(&request.call);
                StoreReply::Lost
            }
        };
        let line = format!("{} -> {}", describe(&request.call), describe_reply(&reply));
        self.log_event(&operator, &line);
        run.calls.extend(run.change.on_reply(request.id, reply, self.now));
        if let Some(outcome) = run.change.outcome() {
            self.log_event(&operator, &format!("== {outcome}"));
        }
    }

    pub fn log_event(&mut self, subject: &str, event: &str) {
        let ms = self.now.duration_since(self.start).as_millis();
        let _ = writeln!(self.log, "{ms:>6} ms  {subject}: {event}");
    }
}

fn short_digest(text: &str) -> String {
    Digest::of(text.as_bytes()).as_str()[..8].to_owned()
}

fn describe(call: &StoreCall) -> String {
    let key = |key: &String| match key.strip_prefix("parts/") {
        Some(digest) => format!("parts/{:.8}", digest),
        None => key.clone(),
    };
    match call {
        StoreCall::Get { key: at } => format!("get {}", key(at)),
        StoreCall::Put { key: at, expect, .. } => format!("put {} expecting {expect}", key(at)),
        StoreCall::Delete { key: at, expect } => format!("delete {} at {expect}", key(at)),
        StoreCall::Watch { key: at, after } => format!("watch {} after {after}", key(at)),
    }
}

fn describe_reply(reply: &StoreReply) -> String {
    match reply {
        StoreReply::Value { revision, .. } => format!("value {revision}"),
        StoreReply::Missing => "missing".to_owned(),
        StoreReply::Written { revision } => format!("written {revision}"),
        StoreReply::Conflict { revision } => format!("conflict {revision}"),
        StoreReply::Unavailable => "unavailable".to_owned(),
        StoreReply::Lost => "no reply".to_owned(),
    }
}
