//! Measures how changes reach daemons, in a simulated cluster with an in-process store and a
//! network that loses messages.
//!
//! `cargo run --release -p tt-control --example dissemination -- [--json] [--members N]
//! [--changes N] [--services N]`

#[path = "../tests/support/mod.rs"]
mod support;

use std::fmt::Write;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use support::FakeStore;
use support::change_id;
use support::cluster::Cluster;
use support::cluster::ClusterConfig;
use support::cluster::Mode;
use support::document;
use support::operators::trial;

use tt_control::Change;
use tt_control::ChangeRequest;
use tt_control::ChangeSettings;
use tt_control::Outcome;
use tt_control::Replica;
use tt_control::StoreRequest;
use tt_control::catalog::Catalog;
use tt_control::parts;
use tt_model::Environment;
use tt_model::Revision;

/// The members, domains and regions of each run.
const SIZES: [[usize; 3]; 4] = [[10, 3, 1], [100, 6, 2], [1_000, 18, 6], [2_700, 36, 11]];
const LOSS_RATIOS: [f64; 3] = [0.0, 0.01, 0.1];
const IDLE_TIME: Duration = Duration::from_secs(60);
/// The change rate that is expected in two years: 12,000 changes a day.
const CHANGES_PER_SECOND: f64 = 12_000.0 / 86_400.0;

#[derive(Debug, Serialize, Deserialize)]
struct Row {
    mode: String,
    members: usize,
    domains: usize,
    loss: f64,
    /// The maximum and mean time from the swap to the last adoption.
    worst_ms: f64,
    mean_ms: f64,
    /// The maximum number of hops from the store to a member, over all changes.
    rounds: u32,
    /// Of one change until 2 s after the last adoption, without heartbeats.
    messages_per_member: f64,
    kb_per_member: f64,
    cpu_us_per_member: f64,
    store_calls_per_change: f64,
    /// Per member while there are no changes; store calls in total.
    idle_kb_per_s: f64,
    idle_cpu_us_per_s: f64,
    idle_store_calls_per_s: f64,
    /// At 12,000 changes a day, computed from the fields above.
    day_kb_per_s: f64,
    day_cpu_percent: f64,
    memory_kb_per_member: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct LargeDocument {
    searchers: usize,
    bytes: usize,
    parts: usize,
    parts_changed_by_edit: usize,
    check_and_cut_ms: f64,
    adopt_ms: f64,
    adopt_edit_ms: f64,
    memory_mb: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Report {
    document_bytes: usize,
    changes: u64,
    rows: Vec<Row>,
    large_document: LargeDocument,
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let json = arguments.contains("--json");
    let mut number = |name: &'static str| -> Option<usize> {
        arguments.opt_value_from_str(name).expect("the option takes a number")
    };
    let members_only = number("--members");
    let changes = number("--changes").unwrap_or(5);
    let services = number("--services").unwrap_or(300);
    let runs: Vec<ClusterConfig> = SIZES
        .iter()
        .filter(|[members, ..]| members_only.is_none_or(|only| only == *members))
        .flat_map(|&[members, domains, regions]| {
            let config = ClusterConfig { members, domains, regions, ..ClusterConfig::default() };
            let mode = Mode::StoreOnly;
            let tree_runs = LOSS_RATIOS.map(|loss_ratio| ClusterConfig { loss_ratio, ..config });
            tree_runs.into_iter().chain([ClusterConfig { mode, ..config }])
        })
        .collect();
    if let Some(run) = number("--run") {
        let row = measure(runs[run], changes as u64, services);
        println!("{}", serde_json::to_string(&row).expect("a row is valid JSON"));
        return;
    }
    // Each run has its own process, because memory that an earlier run has freed would be used
    // again and not be counted.
    let program = std::env::current_exe().expect("this program has a path");
    let rows = (0..runs.len())
        .map(|run| {
            let output = std::process::Command::new(&program)
                .args(std::env::args().skip(1))
                .args(["--run", &run.to_string()])
                .output()
                .expect("this program can be started");
            serde_json::from_slice(&output.stdout).expect("a row")
        })
        .collect();
    let document_bytes = document("a", services, 1).len();
    let large_document = large_document(87_000);
    let report = Report { document_bytes, changes: changes as u64, rows, large_document };
    if json {
        println!("{}", serde_json::to_string_pretty(&report).expect("a report is valid JSON"));
    } else {
        print!("{}", table(&report));
    }
}

fn measure(config: ClusterConfig, changes: u64, services: usize) -> Row {
    let memory_before = resident_bytes();
    let mut cluster = Cluster::new(config);
    accept(&mut cluster, 0, &document("a", services, 1));
    let until = cluster.now + Duration::from_secs(120);
    assert!(cluster.run_until(until, |c| c.all_adopted(Revision(1))), "no first adoption");
    cluster.run_for(Duration::from_secs(5));

    let members = config.members as f64;
    let (mut messages, mut bytes, mut cpu, mut calls) = (0, 0, Duration::ZERO, 0);
    let mut times = Vec::new();
    let mut max_hops = 0;
    for base in 1..=changes {
        let text = document("a", services, base as u32 + 1);
        let revision = accept(&mut cluster, base, &text);
        let before = totals(&cluster);
        let start = cluster.now;
        let until = start + Duration::from_secs(60);
        assert!(cluster.run_until(until, |c| c.all_adopted(revision)), "no convergence");
        times.push((cluster.now - start).as_secs_f64() * 1e3);
        max_hops = max_hops.max(cluster.nodes.iter().map(|node| node.hops).max().unwrap_or(0));
        // Messages that are still in flight belong to the change.
        cluster.run_for(Duration::from_secs(2));
        let after = totals(&cluster);
        messages += after.updates - before.updates;
        bytes += after.update_bytes - before.update_bytes;
        cpu += after.cpu - before.cpu;
        calls += after.calls - before.calls;
    }
    let memory = resident_bytes().saturating_sub(memory_before);
    let before = totals(&cluster);
    cluster.run_for(IDLE_TIME);
    let after = totals(&cluster);
    let idle = |from: u64, to: u64| (to - from) as f64 / IDLE_TIME.as_secs_f64();

    let per_change = changes as f64 * members;
    let kb_per_member = bytes as f64 / per_change / 1e3;
    let cpu_us_per_member = cpu.as_secs_f64() * 1e6 / per_change;
    let idle_kb_per_s = idle(before.bytes, after.bytes) / members / 1e3;
    let idle_cpu = (after.cpu - before.cpu).as_secs_f64() / IDLE_TIME.as_secs_f64() / members;
    Row {
        mode: match config.mode {
            Mode::PushTree => "tree".to_owned(),
            Mode::StoreOnly => "all watch".to_owned(),
        },
        members: config.members,
        domains: config.domains,
        loss: config.loss_ratio,
        worst_ms: times.iter().copied().fold(0.0, f64::max),
        mean_ms: times.iter().sum::<f64>() / times.len() as f64,
        rounds: max_hops,
        messages_per_member: messages as f64 / per_change,
        kb_per_member,
        cpu_us_per_member,
        store_calls_per_change: calls as f64 / changes as f64,
        idle_kb_per_s,
        idle_cpu_us_per_s: idle_cpu * 1e6,
        idle_store_calls_per_s: idle(before.calls, after.calls),
        day_kb_per_s: idle_kb_per_s + CHANGES_PER_SECOND * kb_per_member,
        day_cpu_percent: 100.0 * (idle_cpu + CHANGES_PER_SECOND * cpu_us_per_member / 1e6),
        memory_kb_per_member: memory as f64 / members / 1e3,
    }
}

struct Totals {
    updates: u64,
    update_bytes: u64,
    bytes: u64,
    cpu: Duration,
    calls: u64,
}

fn totals(cluster: &Cluster) -> Totals {
    let nodes = || cluster.nodes.iter();
    Totals {
        updates: nodes().map(|node| node.updates).sum(),
        update_bytes: nodes().map(|node| node.update_bytes).sum(),
        bytes: nodes().map(|node| node.bytes).sum(),
        cpu: nodes().map(|node| node.cpu).sum(),
        calls: cluster.store.calls as u64,
    }
}

/// Puts a document into trial; the change must be accepted.
fn accept(cluster: &mut Cluster, base: u64, text: &str) -> Revision {
    let request =
        ChangeRequest { change: change_id(base + 1), ..trial("a", "operator", base, text) };
    let (mut change, mut calls) = Change::start(request, &ChangeSettings::default(), cluster.now);
    while let Some(StoreRequest { id, call }) = calls.pop() {
        let reply = cluster.operator_call(&call);
        calls.extend(change.on_reply(id, reply, cluster.now));
    }
    match change.outcome() {
        Some(Outcome::Accepted { revision }) => *revision,
        outcome => panic!("{outcome:?}"),
    }
}

/// Measures the adoption of a document of the size that is expected in two years.
fn large_document(searchers: usize) -> LargeDocument {
    let before = large_text(searchers, 100);
    let after = large_text(searchers, 200);
    let started = std::time::Instant::now();
    Environment::parse(&before).expect("a valid document");
    let cut = parts::split_document(&before);
    let check_and_cut_ms = started.elapsed().as_secs_f64() * 1e3;
    let digests: Vec<_> = cut.iter().map(|part| part.digest().clone()).collect();
    let edited = parts::split_document(&after);
    let changed = edited.iter().filter(|part| !digests.contains(part.digest())).count();
    let count = cut.len();
    drop((cut, edited));

    let mut store = FakeStore::default();
    let mut catalogs = Vec::new();
    for (base, text) in [(0, &before), (1, &after)] {
        let change = change_id(base + 1);
        let request = ChangeRequest { change, ..trial("a", "operator", base, text) };
        let now = tokio::time::Instant::now();
        let (mut change, mut calls) = Change::start(request, &ChangeSettings::default(), now);
        while let Some(StoreRequest { id, call }) = calls.pop() {
            calls.extend(change.on_reply(id, store.call(&call), now));
        }
        assert!(matches!(change.outcome(), Some(Outcome::Accepted { .. })));
        catalogs.push(Catalog::decode(&store.values["catalog"].1).expect("a catalog"));
    }
    let memory_before = resident_bytes();
    let mut replica = Replica::default();
    let mut times = Vec::new();
    for catalog in catalogs {
        let revision = catalog.revision;
        replica.offer_catalog(catalog);
        loop {
            let Some(digest) = replica.missing_parts().next().cloned() else {
                break;
            };
            let value = &store.values[&parts::part_key(&digest)].1;
            let part = parts::Part::verified(&digest, value).expect("the part is valid");
            replica.add_parts(&[part]);
        }
        let started = std::time::Instant::now();
        assert_eq!(replica.try_adopt(), Some(revision));
        times.push(started.elapsed().as_secs_f64() * 1e3);
    }
    LargeDocument {
        searchers,
        bytes: before.len(),
        parts: count,
        parts_changed_by_edit: changed,
        check_and_cut_ms,
        adopt_ms: times[0],
        adopt_edit_ms: times[1],
        memory_mb: resident_bytes().saturating_sub(memory_before) as f64 / 1e6,
    }
}

/// A document in which 100 searchers serve each shard and each service may query all shards.
fn large_text(searchers: usize, rate: u32) -> String {
    let shards = searchers / 100;
    let mut text = String::from("{\n  \"environment\": \"a\",\n  \"domains\": [\"d1\"],\n");
    text.push_str(
        "  \"classes\": [{\"name\": \"desk\", \"prefer\": \"coverage\", \"deadline_ms\": 300}],\n",
    );
    text.push_str("  \"services\": [\n");
    for i in 0..500 {
        let comma = if i < 499 { "," } else { "" };
        let rate = if i == 250 { rate } else { 50 };
        let _ = writeln!(
            text,
            "    {{\"name\": \"s{i}\", \"class\": \"desk\", \"contract\": {{\"rate\": {rate}, \
             \"burst\": 20, \"concurrency\": 40}}, \"shards\": [\"h*\"]}}{comma}"
        );
    }
    text.push_str("  ],\n  \"searchers\": [\n");
    for i in 0..searchers {
        let comma = if i + 1 < searchers { "," } else { "" };
        let _ = writeln!(
            text,
            "    {{\"name\": \"r{i}\", \"address\": \"10.{}.{}.{}:70\", \"domain\": \"d1\", \
             \"slots\": 2, \"connections\": 25, \"connect_ms\": 6}}{comma}",
            i / 62_500,
            i / 250 % 250,
            i % 250
        );
    }
    text.push_str("  ],\n  \"shards\": [\n");
    for i in 0..shards {
        let comma = if i + 1 < shards { "," } else { "" };
        let replicas: Vec<String> = (0..100).map(|r| format!("\"r{}\"", i * 100 + r)).collect();
        let replicas = replicas.join(", ");
        let _ = writeln!(text, "    {{\"name\": \"h{i}\", \"replicas\": [{replicas}]}}{comma}");
    }
    text.push_str("  ]\n}\n");
    text
}

/// The resident memory of this process; 0 if it cannot be read.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}

fn table(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "Document {} bytes, {} changes of one line. One way: 0.25 ms in a domain, 1.5 ms in a \
         region,\n30 ms between regions, 2 ms to the store. Heartbeats of one a second to 3 in \
         the domain and 1\noutside. Loss applies to messages between daemons.\n",
        report.document_bytes, report.changes
    );
    let _ = writeln!(
        out,
        "{:<10}{:>7}{:>8}{:>6}{:>9}{:>9}{:>7}{:>8}{:>8}{:>9}{:>8} |{:>7}{:>8}{:>8} |{:>8}{:>8}{:>8}",
        "",
        "members",
        "domains",
        "loss",
        "worst ms",
        "mean ms",
        "rounds",
        "msg/m",
        "KB/m",
        "CPU us/m",
        "store",
        "KB/s",
        "CPU us/s",
        "store/s",
        "KB/s",
        "CPU %",
        "KB mem"
    );
    for row in &report.rows {
        let _ = writeln!(
            out,
            "{:<10}{:>7}{:>8}{:>6}{:>9.0}{:>9.0}{:>7}{:>8.2}{:>8.2}{:>9.0}{:>8.0} |{:>7.2}{:>8.0}{:>8.1} |{:>8.2}{:>8.3}{:>8.0}",
            row.mode,
            row.members,
            row.domains,
            format!("{}%", row.loss * 100.0),
            row.worst_ms,
            row.mean_ms,
            row.rounds,
            row.messages_per_member,
            row.kb_per_member,
            row.cpu_us_per_member,
            row.store_calls_per_change,
            row.idle_kb_per_s,
            row.idle_cpu_us_per_s,
            row.idle_store_calls_per_s,
            row.day_kb_per_s,
            row.day_cpu_percent,
            row.memory_kb_per_member
        );
    }
    let large = &report.large_document;
    let _ = writeln!(
        out,
        "\nColumns: one change until 2 s after the last adoption, heartbeats not counted in \
         messages and KB |\nwithout changes, per member, store calls in total | at 12,000 changes \
         a day, computed; resident memory.\n\nOne daemon with {} searchers: {} bytes in {} parts, \
         an edit of one line changes {}.\nCheck and cut {:.0} ms, adopt {:.0} ms, adopt the edit \
         {:.0} ms, resident memory {:.0} MB.",
        large.searchers,
        large.bytes,
        large.parts,
        large.parts_changed_by_edit,
        large.check_and_cut_ms,
        large.adopt_ms,
        large.adopt_edit_ms,
        large.memory_mb
    );
    out
}
