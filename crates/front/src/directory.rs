//! The readiness check of the platform, and the directory that tells callers where to connect.

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
use tt_serve::directory_addresses;

/// Answers the readiness check of the platform.
pub(crate) async fn ready(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != paths::READY {
        return answer::error(StatusCode::NOT_FOUND, "no such page", None);
    }
    if entry.is_open() {
        Response::new(answer::full_body(Bytes::new()))
    } else {
        answer::error(StatusCode::SERVICE_UNAVAILABLE, "not ready", None)
    }
}

/// Answers callers with the addresses to connect to.
pub(crate) async fn resolve(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() != paths::DIRECTORY {
        return answer::error(StatusCode::NOT_FOUND, "no such page", None);
    }
    let addresses = addresses(&entry);
    if addresses.is_empty() {
        return answer::error(StatusCode::SERVICE_UNAVAILABLE, "no daemon is ready", None);
    }
    let max_ttl = entry.boot().bounds.directory_ttl;
    let ttl = entry.settings.directory_ttl.min(max_ttl);
    answer::json(paths::directory_answer(&addresses, ttl))
}

fn addresses(entry: &Entry) -> Vec<SocketAddr> {
    let Some(active_config) = entry.active_config() else { return Vec::new() };
    let mut candidates = Vec::new();
    // Entries that refuse requests with API keys are left out, unless there are no others.
    let (is_open, keys_expired) = (entry.is_open(), entry.keys_expired());
    let any_serves_keys = (is_open && !keys_expired) || entry.peer_serves_keys();
    let is_served = |keys_expired: bool| !(any_serves_keys && keys_expired);
    if is_open && is_served(keys_expired) {
        let vm = &entry.vm;
        candidates.push(Candidate { front: vm.front, domain: vm.domain.clone() });
    }
    let members = lock(&entry.members);
    let others =
        members.open_members(entry.now()).filter(|member| is_served(member.status.keys_expired));
    candidates.extend(
        others.map(|member| Candidate { front: member.vm.front, domain: member.vm.domain.clone() }),
    );
    drop(members);
    directory_addresses(&candidates, &active_config.table, &lock(&entry.fleet))
}
