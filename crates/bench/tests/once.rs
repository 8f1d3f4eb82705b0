//! Requests that must run at most once, sent to several daemons, with daemons killed and the
//! store failing.

mod support;

use std::net::SocketAddr;

use serde_json::Value;
use support::LIMIT;
use tokio::task::JoinSet;

use tt_bench::Fleet;
use tt_bench::HttpClient;
use tt_standin::Fault;

/// Requests in one round; with so many, each of the 4 claim partitions has some.
const REQUESTS: usize = 24;

/// What callers were told about one request id.
#[derive(Debug)]
struct Told {
    id: String,
    answers: Vec<Option<Value>>,
}

/// Sends new ids, each to all addresses at the same time with attempts 1, 2 and so on.
async fn send_everywhere(http: &HttpClient, addresses: &[SocketAddr]) -> Vec<Told> {
    let mut tasks = JoinSet::new();
    for _ in 0..REQUESTS {
        let http = http.clone();
        let addresses = addresses.to_vec();
        tasks.spawn(async move {
            let id = support::new_id();
            let mut calls = JoinSet::new();
            for (&address, attempt) in addresses.iter().zip(1..) {
                let http = http.clone();
                let body = support::once(&id, attempt);
                calls.spawn(async move { support::query(&http, address, &body).await });
            }
            Told { id, answers: calls.join_all().await }
        });
    }
    tasks.join_all().await
}

/// Checks what was told against what ran at the searchers.
fn check(fleet: &Fleet, told: &[Told]) {
    for told in told {
        let ran = support::executions(fleet, &told.id);
        assert!(ran <= 1, "ran {ran} times: {told:#?}");
        let answers: Vec<&Value> = told.answers.iter().flatten().collect();
        for answer in &answers {
            match answer["ran"].as_str() {
                Some("yes") => {
                    assert_eq!(answer["name"], "Done", "{told:#?}");
                    assert_eq!(ran, 1, "told a result: {told:#?}");
                    if answer["results"].is_array() {
                        assert_eq!(answer["results"][0]["hits"][0]["query"], told.id.as_str());
                    }
                }
                Some("no" | "unknown") => {}
                _ => panic!("not one of the allowed answers: {told:#?}"),
            }
        }
        if answers.len() == told.answers.len() && answers.iter().all(|a| a["ran"] == "no") {
            assert_eq!(ran, 0, "all were told that it was not run: {told:#?}");
        }
    }
}

fn count(told: &[Told], ran: &str) -> usize {
    told.iter().flat_map(|told| told.answers.iter().flatten()).filter(|a| a["ran"] == ran).count()
}

/// Waits until a new request is done at every daemon, for every claim partition.
async fn claims_work(http: &HttpClient, fleet: &Fleet) -> bool {
    let addresses = fleet.all_callers();
    Fleet::wait_for(LIMIT, async || {
        for &address in &addresses {
            for _ in 0..8 {
                let body = support::once(&support::new_id(), 1);
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

/// Guards against a request that runs at two entries, and against a repeat that runs again or
/// gets another result.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_to_all_daemons_runs_once_and_keeps_its_result() {
    let fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    assert!(claims_work(&http, &fleet).await, "no request is done");
    let told = send_everywhere(&http, &fleet.all_callers()).await;
    check(&fleet, &told);
    assert!(count(&told, "yes") >= REQUESTS, "{told:#?}");
    for told in &told {
        let mut results = Vec::new();
        for address in fleet.all_callers() {
            let done = Fleet::wait_for(LIMIT, async || {
                let answer = support::query(&http, address, &support::once(&told.id, 9)).await;
                answer.is_some_and(|answer| {
                    let is_done = answer["name"] == "Done";
                    results.extend(is_done.then_some(answer));
                    is_done
                })
            });
            assert!(done.await, "no result at {address}: {told:#?}");
        }
        assert!(results.windows(2).all(|pair| pair[0] == pair[1]), "{results:#?}");
        assert_eq!(support::executions(&fleet, &told.id), 1);
    }
}

/// Guards against a request that runs again because the owner of its claims, or its entry, was
/// lost between two records. Every daemon is killed once, so the owner of every partition is.
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
        let seen = fleet.platform.counts().writes;
        let platform = &fleet.platform;
        let claims = Fleet::wait_for(LIMIT, async || platform.counts().writes > seen + 10);
        assert!(claims.await, "no claims are written");
        let killed = fleet.kill(index).expect("the daemon ran");
        all.extend(sent.await.expect("the senders do not panic"));
        check(&fleet, &all);
        fleet.restart(killed).await.expect("the address is free again");
        assert!(support::all_live(&fleet, 3).await, "the daemon did not come back");
        assert!(claims_work(&http, &fleet).await, "claims do not work after the loss");
    }
    check(&fleet, &all);
    assert!(count(&all, "yes") > REQUESTS, "too few requests ran");
    // Repeats of everything at an entry that may have been empty in between.
    let entry = fleet.all_callers()[0];
    for told in &all {
        let answer = support::query(&http, entry, &support::once(&told.id, 9)).await;
        let again = Told { id: told.id.clone(), answers: vec![answer] };
        check(&fleet, &[again]);
    }
    check(&fleet, &all);
}

/// Guards against a request that is sent without a durable claim, and against "not run" for one
/// that ran.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_while_the_store_is_down() {
    let fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    let entry = fleet.all_callers()[0];
    assert!(claims_work(&http, &fleet).await, "no request is done");
    let done = support::new_id();
    let answer = support::query(&http, entry, &support::once(&done, 1)).await;
    assert_eq!(answer.map(|answer| answer["name"].clone()), Some("Done".into()));

    fleet.platform.set_fault(Fault::Down);
    let ids: Vec<String> = (0..8).map(|_| support::new_id()).collect();
    for id in &ids {
        let answer = support::query(&http, entry, &support::once(id, 1)).await;
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer["ran"], "no", "{answer}");
    }
    // Another entry cannot know what became of the first attempt.
    let other = fleet.all_callers()[1];
    let answer = support::query(&http, other, &support::once(&support::new_id(), 2)).await;
    assert_eq!(answer.expect("the daemon answers")["ran"], "unknown");
    let answer = support::query(&http, other, &support::once(&done, 2)).await;
    assert_ne!(answer.expect("the daemon answers")["ran"], "no", "it ran");

    fleet.platform.set_fault(Fault::None);
    assert!(claims_work(&http, &fleet).await, "claims do not work after the outage");
    for id in &ids {
        assert_eq!(support::executions(&fleet, id), 0, "told that it was not run");
    }
    assert_eq!(support::executions(&fleet, &done), 1);
}

/// Guards against a lost reply to a claim's write that leads to a second run or to none.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_to_a_claim_is_resolved() {
    let fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    assert!(claims_work(&http, &fleet).await, "no request is done");
    for _ in 0..3 {
        fleet.platform.lose_replies(3);
        let told = send_everywhere(&http, &fleet.all_callers()).await;
        check(&fleet, &told);
        assert!(count(&told, "yes") > 0, "nothing ran: {told:#?}");
    }
    assert!(claims_work(&http, &fleet).await, "claims do not work after the lost replies");
}
