//! Requests that must run at most once: sent to several daemons, while daemons are killed and
//! while the store fails.

mod support;

use std::net::SocketAddr;

use serde_json::Value;
use support::WAIT_TIMEOUT;
use tokio::task::JoinSet;

use tt_bench::Fleet;
use tt_bench::HttpClient;
use tt_standin::Fault;

/// Requests in one round: enough that each of the 4 claim partitions gets some.
const REQUESTS_PER_ROUND: usize = 24;

/// The answers that callers got for one request id; `None` where there was none.
#[derive(Debug)]
struct RequestAnswers {
    id: String,
    answers: Vec<Option<Value>>,
}

/// Sends requests with new ids, each to all addresses at the same time, with `attempt` 1,
/// 2 and so on.
async fn send_everywhere(http: &HttpClient, addresses: &[SocketAddr]) -> Vec<RequestAnswers> {
    let mut tasks = JoinSet::new();
    for _ in 0..REQUESTS_PER_ROUND {
        let http = http.clone();
        let addresses = addresses.to_vec();
        tasks.spawn(async move {
            let id = support::new_id();
            let mut calls = JoinSet::new();
            for (&address, attempt) in addresses.iter().zip(1..) {
                let http = http.clone();
                let body = support::at_most_once(&id, attempt);
                calls.spawn(async move { support::query(&http, address, &body).await });
            }
            RequestAnswers { id, answers: calls.join_all().await }
        });
    }
    tasks.join_all().await
}

/// Checks the answers against the executions at the searchers.
fn check(fleet: &Fleet, requests: &[RequestAnswers]) {
    for request in requests {
        let ran = support::executions(fleet, &request.id);
        assert!(ran <= 1, "ran {ran} times: {request:#?}");
        let answers: Vec<&Value> = request.answers.iter().flatten().collect();
        for answer in &answers {
            match answer["ran"].as_str() {
                Some("yes") => {
                    assert_eq!(answer["name"], "Done", "{request:#?}");
                    assert_eq!(ran, 1, "answered with a result: {request:#?}");
                    if answer["results"].is_array() {
                        assert_eq!(answer["results"][0]["hits"][0]["query"], request.id.as_str());
                    }
                }
                Some("no" | "unknown") => {}
                _ => panic!("not one of the allowed answers: {request:#?}"),
            }
        }
        if answers.len() == request.answers.len() && answers.iter().all(|a| a["ran"] == "no") {
            assert_eq!(ran, 0, "every answer says that it was not run: {request:#?}");
        }
    }
}

/// The number of answers with this value of `ran`.
fn count(requests: &[RequestAnswers], ran: &str) -> usize {
    requests
        .iter()
        .flat_map(|request| request.answers.iter().flatten())
        .filter(|a| a["ran"] == ran)
        .count()
}

/// Waits until 8 new requests in a row are done at every daemon, as happens when the claims of
/// every partition can be recorded.
async fn claims_work(http: &HttpClient, fleet: &Fleet) -> bool {
    let addresses = fleet.all_callers();
    Fleet::wait_for(WAIT_TIMEOUT, async || {
        for &address in &addresses {
            for _ in 0..8 {
                let body = support::at_most_once(&support::new_id(), 1);
                let answer = support::query(http, address, &body).await;
                if answer.is_none_or(|answer| answer["name"] != "Done") {
                    return false;
                }
            }
        }
        true
    })
    .await
}

/// Guards against a request that is executed by two entries, and against a repeat that is executed
/// again or gets a different result.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_to_all_daemons_runs_once_and_keeps_its_result() {
    let fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    assert!(claims_work(&http, &fleet).await, "no request is done");
    let requests = send_everywhere(&http, &fleet.all_callers()).await;
    check(&fleet, &requests);
    assert!(count(&requests, "yes") >= REQUESTS_PER_ROUND, "{requests:#?}");
    for request in &requests {
        let mut results = Vec::new();
        for address in fleet.all_callers() {
            let done = Fleet::wait_for(WAIT_TIMEOUT, async || {
                let answer =
                    support::query(&http, address, &support::at_most_once(&request.id, 9)).await;
                answer.is_some_and(|answer| {
                    let is_done = answer["name"] == "Done";
                    results.extend(is_done.then_some(answer));
                    is_done
                })
            });
            assert!(done.await, "no result at {address}: {request:#?}");
        }
        assert!(results.windows(2).all(|pair| pair[0] == pair[1]), "{results:#?}");
        assert_eq!(support::executions(&fleet, &request.id), 1);
    }
}

/// Guards against a request that runs again because the owner of its claim, or its entry, was lost
/// between two records of the claim. Every daemon is killed once, and so the owner of every
/// partition.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_at_most_once_while_owners_of_claims_are_killed() {
    let mut fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    assert!(claims_work(&http, &fleet).await, "no request is done");
    let mut all = Vec::new();
    for index in 0..3 {
        let addresses = fleet.all_callers();
        let sender = http.clone();
        let sent = tokio::spawn(async move {
            let mut all = Vec::new();
            for _ in 0..3 {
                all.extend(send_everywhere(&sender, &addresses).await);
            }
            all
        });
        let writes_before = fleet.platform.counts().writes;
        let platform = &fleet.platform;
        let claims =
            Fleet::wait_for(WAIT_TIMEOUT, async || platform.counts().writes > writes_before + 10);
        assert!(claims.await, "no claims are written");
        let killed = fleet.kill(index).expect("the daemon ran");
        all.extend(sent.await.expect("the senders do not panic"));
        check(&fleet, &all);
        fleet.restart(killed).await.expect("the address is free again");
        assert!(support::all_live(&fleet, 3).await, "the daemon did not come back");
        assert!(claims_work(&http, &fleet).await, "claims do not work after the loss");
    }
    check(&fleet, &all);
    assert!(count(&all, "yes") > REQUESTS_PER_ROUND, "too few requests ran");
    // Repeats every request at an entry that was restarted without any state in between.
    let entry = fleet.all_callers()[0];
    for request in &all {
        let answer = support::query(&http, entry, &support::at_most_once(&request.id, 9)).await;
        let repeat = RequestAnswers { id: request.id.clone(), answers: vec![answer] };
        check(&fleet, &[repeat]);
    }
    check(&fleet, &all);
}

/// Guards against a request that is executed without a durable claim, and against the answer "not
/// run" for one that was executed.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_while_the_store_is_down() {
    let fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    let entry = fleet.all_callers()[0];
    assert!(claims_work(&http, &fleet).await, "no request is done");
    let done = support::new_id();
    let answer = support::query(&http, entry, &support::at_most_once(&done, 1)).await;
    assert_eq!(answer.map(|answer| answer["name"].clone()), Some("Done".into()));

    fleet.platform.set_fault(Fault::Down);
    let ids: Vec<String> = (0..8).map(|_| support::new_id()).collect();
    for id in &ids {
        let answer = support::query(&http, entry, &support::at_most_once(id, 1)).await;
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer["ran"], "no", "{answer}");
    }
    // Another entry cannot know whether the request was executed when it was sent as `attempt` 1.
    let other = fleet.all_callers()[1];
    let answer = support::query(&http, other, &support::at_most_once(&support::new_id(), 2)).await;
    assert_eq!(answer.expect("the daemon answers")["ran"], "unknown");
    let answer = support::query(&http, other, &support::at_most_once(&done, 2)).await;
    assert_ne!(answer.expect("the daemon answers")["ran"], "no", "it was executed");

    fleet.platform.set_fault(Fault::None);
    assert!(claims_work(&http, &fleet).await, "claims do not work after the outage");
    for id in &ids {
        assert_eq!(support::executions(&fleet, id), 0, "the answer was that it was not run");
    }
    assert_eq!(support::executions(&fleet, &done), 1);
}

/// Guards against a request that is executed twice, or never, because the store's reply to the
/// write of its claim was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_to_a_claim_is_resolved() {
    let fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    assert!(claims_work(&http, &fleet).await, "no request is done");
    for _ in 0..3 {
        fleet.platform.lose_replies(3);
        let requests = send_everywhere(&http, &fleet.all_callers()).await;
        check(&fleet, &requests);
        assert!(count(&requests, "yes") > 0, "nothing ran: {requests:#?}");
    }
    assert!(claims_work(&http, &fleet).await, "claims do not work after the lost replies");
}
