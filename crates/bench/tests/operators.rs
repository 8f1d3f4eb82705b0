//! Snapshot tests of whole operator sessions with real daemons. Ids, digests and times are replaced
//! by placeholders.

mod support;

use std::net::SocketAddr;

use serde_json::Value;
use support::ENVIRONMENT;

use tt_bench::Fleet;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_standin::Fault;

/// A transcript of what operators sent and of the daemons' answers.
struct Session {
    http: HttpClient,
    transcript: String,
    /// Texts that differ between runs, such as ids and digests, with their placeholders.
    placeholders: Vec<(String, String)>,
}

impl Session {
    fn new() -> Session {
        Session { http: HttpClient::new(), transcript: String::new(), placeholders: Vec::new() }
    }

    fn comment(&mut self, text: &str) {
        self.transcript.push_str(&format!("# {text}\n"));
    }

    /// Sends a request and adds it and its answer to the transcript.
    async fn send(
        &mut self,
        at: SocketAddr,
        method: &'static str,
        path: &str,
        body: &str,
    ) -> Value {
        let (status, answer) = self.call(at, method, path, body).await;
        self.record(method, path, status, &answer);
        answer
    }

    /// Sends a request without adding it to the transcript.
    async fn call(
        &self,
        at: SocketAddr,
        method: &'static str,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        let path = format!("/v1/env/{ENVIRONMENT}{path}");
        let request = HttpRequest { address: at, method, path, body: body.as_bytes().to_vec() };
        let answer = self.http.send(request).await.expect("the daemon answers");
        (answer.status, serde_json::from_slice(&answer.body).expect("the body is JSON"))
    }

    fn record(&mut self, method: &str, path: &str, status: u16, answer: &Value) {
        let mut answer = answer.clone();
        self.normalise(&mut answer);
        let mut text = format!("{method} {path}\n{status} {answer:#}\n\n");
        for (from, to) in &self.placeholders {
            text = text.replace(from, to);
        }
        self.transcript.push_str(&text);
    }

    /// Hides times, and gives ids and digests placeholders in the order of their appearance.
    fn normalise(&mut self, value: &mut Value) {
        match value {
            Value::Array(list) => list.iter_mut().for_each(|item| self.normalise(item)),
            Value::Object(map) => {
                for (key, item) in map {
                    match (key.as_str(), &*item) {
                        (key, Value::Number(_)) if key.ends_with("_ms") => *item = "[ms]".into(),
                        ("change", Value::String(text)) => {
                            self.add_placeholder("change", &text.clone())
                        }
                        ("digest" | "from" | "to", Value::String(text)) if text.len() > 30 => {
                            self.add_placeholder("digest", &text.clone());
                        }
                        _ => self.normalise(item),
                    }
                }
            }
            Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
        }
    }

    fn add_placeholder(&mut self, kind: &str, text: &str) {
        if self.placeholders.iter().all(|(known, _)| known != text) {
            let number =
                self.placeholders.iter().filter(|(_, name)| name.starts_with(kind)).count() + 1;
            self.placeholders.push((text.to_owned(), format!("{kind}-{number}")));
        }
    }
}

fn operators(fleet: &Fleet, index: usize) -> SocketAddr {
    fleet.operators(index).expect("the daemon runs")
}

fn text<'a>(answer: &'a Value, field: &str) -> &'a str {
    answer[field].as_str().unwrap_or_default()
}

/// The digest of the document in trial.
async fn trial_digest(session: &mut Session, at: SocketAddr) -> String {
    let (_, status) = session.call(at, "GET", "", "").await;
    let digest = text(&status["stages"][0], "digest").to_owned();
    session.add_placeholder("digest", &digest);
    digest
}

/// The document with another rate in the contracts.
fn with_rate(document: &str, rate: &str) -> String {
    document.replace("\"rate\": 200.0", &format!("\"rate\": {rate}"))
}

/// Guards against unintended changes of the answers to operators, a promotion of a document that
/// is not in trial, and a document with faults that takes effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_tried_promoted_and_changed() {
    let fleet = support::fleet(3).await;
    let mut session = Session::new();
    let (first, other) = (operators(&fleet, 0), operators(&fleet, 1));
    let faulty = fleet.document.replace("\"class\": \"payout\"", "\"class\": \"payouts\"");
    session.send(first, "POST", "/trial?operator=alice", &faulty).await;
    session.send(first, "GET", "", "").await;
    session.send(first, "POST", "/trial?operator=alice", &fleet.document).await;
    let digest = trial_digest(&mut session, first).await;
    let promote = format!("/promote?operator=alice&digest={digest}");
    session.send(other, "POST", &promote, "").await;
    session.send(other, "GET", "", "").await;
    let next = with_rate(&fleet.document, "150.0");
    session.send(other, "POST", "/diff", &next).await;
    session.send(other, "POST", "/trial?operator=bob", &next).await;
    session.comment("the digest before is no longer the one in trial");
    session.send(first, "POST", &promote, "").await;
    session.send(first, "GET", "/history", "").await;
    insta::assert_snapshot!("changes", session.transcript);
}

/// Guards against two changes that are both accepted on the same base revision, and against a
/// refusal that does not name the operator and the revision of the accepted change.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_is_told_the_winner() {
    let fleet = support::fleet(3).await;
    let mut session = Session::new();
    let (first, other) = (operators(&fleet, 0), operators(&fleet, 1));
    session.send(first, "POST", "/trial?operator=setup", &fleet.document).await;
    let (one, two) = (with_rate(&fleet.document, "150.0"), with_rate(&fleet.document, "160.0"));
    let (alice, bob) = tokio::join!(
        session.call(first, "POST", "/trial?operator=alice&base=1", &one),
        session.call(other, "POST", "/trial?operator=bob&base=1", &two),
    );
    let (winner, loser, name) =
        if alice.0 == 200 { (alice, bob, "alice") } else { (bob, alice, "bob") };
    assert_eq!(winner.1["revision"], loser.1["winner"]["revision"]);
    assert_eq!(winner.1["change"], loser.1["winner"]["change"]);
    assert_eq!(loser.1["winner"]["operator"], name);
    session.placeholders.push((name.to_owned(), "[winner]".to_owned()));
    session.record("POST", "/trial by the winner", winner.0, &winner.1);
    session.record("POST", "/trial by the loser", loser.0, &loser.1);
    session.send(first, "GET", "/history", "").await;
    insta::assert_snapshot!("race", session.transcript);
}

/// Guards against three faults when the store fails: a lost reply that is answered as a failure or
/// leads to a second change, a change that is reported as refused although it is in the store, and
/// an unknown outcome that cannot be found out later.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_a_store_failure_has_an_outcome_that_can_be_found_out_later() {
    let fleet = support::fleet(3).await;
    let mut session = Session::new();
    let (first, other) = (operators(&fleet, 0), operators(&fleet, 1));
    session.comment("the replies to the next two writes are lost");
    fleet.platform.lose_replies(2);
    session.send(first, "POST", "/trial?operator=alice", &fleet.document).await;

    session.comment("the store is down");
    fleet.platform.set_fault(Fault::Down);
    let next = with_rate(&fleet.document, "150.0");
    let refused = session.send(first, "POST", "/trial?operator=alice", &next).await;
    let path = format!("/changes/{}", text(&refused, "change"));
    session.send(first, "GET", &path, "").await;
    session.comment("the store is up again");
    fleet.platform.set_fault(Fault::None);
    session.send(first, "GET", &path, "").await;

    session.comment("the store goes down after the next change took effect");
    fleet.platform.fail_after_write("catalog");
    let unknown = session.send(other, "POST", "/trial?operator=bob", &next).await;
    let path = format!("/changes/{}", text(&unknown, "change"));
    session.send(first, "GET", &path, "").await;
    session.comment("the store is up again");
    fleet.platform.set_fault(Fault::None);
    session.send(first, "GET", &path, "").await;
    let again = format!("/trial?operator=bob&base=1&change={}", text(&unknown, "change"));
    session.send(first, "POST", &again, &next).await;
    session.send(first, "GET", "/history", "").await;
    insta::assert_snapshot!("store_faults", session.transcript);
}
