//! Status page for operators: this daemon, and what it knows of others and of searchers.

use hyper::Response;
use serde_json::Value;
use serde_json::json;

use crate::answer;
use crate::answer::Body;
use crate::caller_memory::Account;
use crate::entry::Entry;
use crate::sync::lock;
use crate::usage;
use tt_serve::Availability;
use tt_serve::Member;
use tt_serve::MemberStatus;
use tt_serve::MemoryStatus;
use tt_serve::RouteWork;
use tt_serve::SearcherStatus;
use tt_serve::SignalStatus;
use tt_serve::SuspectStatus;
use tt_serve::TierSize;
use tt_serve::Time;

/// Path of the status page.
pub(crate) const PATH: &str = "/v1/status";

/// Returns the status as JSON.
pub(crate) fn serve(entry: &Entry) -> Response<Body> {
    answer::json(status(entry).to_string())
}

fn status(entry: &Entry) -> Value {
    let now = entry.now();
    let age = |at: Time| now.saturating_sub(at).as_millis() as u64;
    let MemberStatus { state, version, revision, listing_read_at, .. } = entry.status();
    let TierSize { daemons, domains } = entry.tier_size();
    let daemon = |member: &Member| {
        json!({
            "vm": member.vm.name,
            "domain": member.vm.domain,
            "state": format!("{:?}", member.status.state),
            "version": member.status.version,
            "keys_expired": member.status.keys_expired,
            "evacuation_revision": member.status.evacuation_revision,
            "heard_ms_ago": member.heard_at.map(age),
        })
    };
    let others: Vec<Value> = lock(&entry.members).live(now).map(daemon).collect();
    let searchers: Vec<Value> = lock(&entry.fleet).status(now).iter().map(searcher).collect();
    json!({
        "vm": entry.vm.name,
        "domain": entry.vm.domain,
        "state": format!("{state:?}"),
        "uptime_ms": now.as_millis() as u64,
        "config": { "version": version },
        "keys": {
            "required": entry.requires_keys(),
            "expired": entry.keys_expired(),
            "proof_age_ms": entry.proof_age().map(|age| age.as_millis() as u64),
        },
        "evacuations": {
            "revision": entry.evacuation_revision(),
            "domains": entry.evacuated_domains(),
        },
        "listing": { "revision": revision, "age_ms": listing_read_at.map(age) },
        "limits": { "daemons": daemons, "domains": domains },
        "memory": entry.accounts.all().map(|account| memory(account)),
        "daemons": others,
        "searchers": searchers,
        "work": entry.route_works().iter().map(route_work).collect::<Vec<Value>>(),
        "allowances": usage::status(entry),
        "suspects": entry.suspects().iter().map(suspect).collect::<Vec<Value>>(),
    })
}

fn memory(account: &Account) -> Value {
    let MemoryStatus { bytes, connections, waiting, limits } = account.status();
    json!({
        "interface": account.name,
        "bytes": bytes,
        "max_bytes": limits.bytes,
        "connections": connections,
        "max_connections": limits.connections,
        "max_connection_bytes": limits.connection_bytes,
        "waiting": waiting,
    })
}

fn suspect(status: &SuspectStatus) -> Value {
    json!({
        "content": format!("{:016x}", status.key.0),
        "knowledge": format!("{:?}", status.knowledge),
        "refused_ms": status.refused_for.as_millis() as u64,
    })
}

fn route_work(work: &RouteWork) -> Value {
    let signal = |status: &SignalStatus| {
        json!({
            "signal": format!("{:?}", status.signal),
            "explained": (status.explained * 100.0).round() / 100.0,
            "used": status.is_used,
        })
    };
    json!({
        "route": work.route,
        "expected_ms": work.expected.map(|it| (it.as_secs_f64() * 10_000.0).round() / 10.0),
        "signals": work.signals.iter().map(signal).collect::<Vec<Value>>(),
    })
}

fn searcher(status: &SearcherStatus) -> Value {
    let (availability, left) = match status.availability {
        Availability::Used => ("used", None),
        Availability::Ejected(left) => ("ejected", Some(left)),
        Availability::Unreachable(left) => ("unreachable", Some(left)),
        Availability::Resting(left) => ("resting", Some(left)),
        Availability::Moved => ("moved", None),
        Availability::Leaving => ("leaving", None),
        Availability::Evacuated => ("evacuated", None),
    };
    json!({
        "id": status.id,
        "pool": status.pool,
        "address": status.address,
        "domain": status.domain,
        "availability": availability,
        "left_ms": left.map(|left| left.as_millis() as u64),
        "outstanding": status.outstanding,
        "slowness": (status.slowness * 100.0).round() / 100.0,
        "limit_per_s": status.rate_limit,
        "placed_by": if status.load.is_by_cost { "cost" } else { "count" },
        "work_left_ms": (status.load.work_left.as_secs_f64() * 10_000.0).round() / 10.0,
        "slowdown": (status.load.slowdown * 100.0).round() / 100.0,
        "stated_load": status.load.stated.map(|(report, age)| json!({
            "running": report.running,
            "waiting": report.waiting,
            "slots": report.slots,
            "slowdown": report.slowdown,
            "age_ms": age.as_millis() as u64,
        })),
        "cold": status.cold,
        "faults": (status.fault_ratio * 100.0).round() / 100.0,
    })
}
