//! Which addresses callers use, and whether this daemon takes them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::answer;
use crate::answer::Body;
use crate::entry::Entry;
use crate::sync::lock;
use tt_adapter::paths;
use tt_serve::Candidate;
use tt_serve::named;

/// Answers the platform's question whether callers may come.
pub(crate) async fn ready(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != paths::READY {
        return answer::refusal(StatusCode::NOT_FOUND, "no such page", None);
    }
    if entry.is_open() {
        Response::new(answer::whole(Bytes::new()))
    } else {
        answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "not ready", None)
    }
}

/// Answers callers that ask where to connect.
pub(crate) async fn resolve(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != paths::DIRECTORY {
        return answer::refusal(StatusCode::NOT_FOUND, "no such page", None);
    }
    let addresses = addresses(&entry);
    if addresses.is_empty() {
        return answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "no daemon is ready", None);
    }
    let most = entry.boot().bounds.directory_ttl;
    let lifetime = entry.settings.directory_ttl.min(most);
    answer::json(paths::directory_answer(&addresses, lifetime))
}

fn addresses(entry: &Entry) -> Vec<SocketAddr> {
    let Some(active_config) = entry.active_config() else { return Vec::new() };
    let mut candidates = Vec::new();
    if entry.is_open() {
        let vm = &entry.vm;
        candidates.push(Candidate { front: vm.front, domain: vm.domain.clone() });
    }
    let members = lock(&entry.members);
    let others = members.open(entry.now());
    candidates.extend(
        others.map(|member| Candidate { front: member.vm.front, domain: member.vm.domain.clone() }),
    );
    drop(members);
    named(&candidates, &active_config.table, &lock(&entry.fleet))
}
