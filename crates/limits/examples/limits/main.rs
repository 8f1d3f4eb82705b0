//! Prints the cost of limit decisions, and the fairness, goodput and recovery of one
//! searcher's queue on a simulated clock.
//!
//! `cargo run --release -p tt-limits --example limits [SEED]`

mod cost;
mod simulation;
mod workload;

use crate::simulation::AdmissionMode;
use crate::simulation::Sample;
use crate::simulation::Scenario;
use crate::simulation::Simulation;
use crate::workload::CONTRACT_LOAD_RATIO;
use crate::workload::LARGEST_SERVICE;
use crate::workload::ORDINARY_SERVICE;
use crate::workload::SERVICES;
use crate::workload::SLOTS;
use crate::workload::SMALLEST_SERVICE;
use crate::workload::contract_rates;
use tt_limits::QueuePolicy;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}, {SERVICES} services, {SLOTS} slots, slot time 10 ms (Erlang-4),");
    println!("deadline 400 ms, all contracts together {CONTRACT_LOAD_RATIO} of the capacity\n");
    cost::print();
    fairness(seed);
    goodput(seed);
    recovery(seed);
}

const FAIRNESS_SECONDS: f64 = 1200.0;
const ONE_ENTRY: AdmissionMode = AdmissionMode::Entries { count: 1, headroom: 1.0 };
const FIVE_ENTRIES: AdmissionMode = AdmissionMode::Entries { count: 5, headroom: 1.0 };
const FIVE_ENTRIES_HEADROOM: AdmissionMode = AdmissionMode::Entries { count: 5, headroom: 1.25 };
const COMBINATIONS: [(&str, QueuePolicy, AdmissionMode); 6] = [
    ("Fifo", QueuePolicy::Fifo, AdmissionMode::None),
    ("Fair", QueuePolicy::Fair, AdmissionMode::None),
    ("Fair, 1 entry", QueuePolicy::Fair, ONE_ENTRY),
    ("Fair, 5 entries", QueuePolicy::Fair, FIVE_ENTRIES),
    ("Fair, 5, 1.25", QueuePolicy::Fair, FIVE_ENTRIES_HEADROOM),
    ("Fifo, 5, 1.25", QueuePolicy::Fifo, FIVE_ENTRIES_HEADROOM),
];

fn fairness(seed: u64) {
    println!("fairness: one service offers ten times its contract, {FAIRNESS_SECONDS} s");
    println!("1 or 5 entries with admission; 1.25: contracts are 1.25 times the offered rates");
    println!("wait in the queue in ms; answered in time in %");
    println!(
        "{:<16} {:<18} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "policy", "hot service", "p50", "p99", "ratio", "answered", "smallest", "largest", "hot"
    );
    for (name, policy, admission) in COMBINATIONS {
        let mut baseline = Vec::new();
        for (label, hot) in [
            ("none", None),
            ("an ordinary one", Some(ORDINARY_SERVICE)),
            ("the largest", Some(LARGEST_SERVICE)),
        ] {
            let rates = contract_rates();
            let offered_rate =
                Box::new(
                    move |service: usize, _: f64| {
                        if Some(service) == hot { rates[service] * 10.0 } else { rates[service] }
                    },
                );
            let samples = Simulation::run(Scenario {
                policy,
                admission,
                offered_rate,
                seconds: FAIRNESS_SECONDS,
                seed,
            });
            let others = summary(&samples, |sample| Some(sample.service) != hot);
            if hot.is_none() {
                baseline = samples.clone();
            }
            let baseline_others = summary(&baseline, |sample| Some(sample.service) != hot);
            let answered = |service| summary(&samples, |sample| sample.service == service).answered;
            let largest =
                if hot == Some(LARGEST_SERVICE) { f64::NAN } else { answered(LARGEST_SERVICE) };
            println!(
                "{name:<16} {label:<18} {:>7.1} {:>7.1} {:>7.2} {:>9.2} {:>9.2} {:>9} {:>9}",
                others.p50,
                others.p99,
                others.p99 / baseline_others.p99,
                others.answered,
                answered(SMALLEST_SERVICE),
                format_percent(largest),
                format_percent(hot.map_or(f64::NAN, answered)),
            );
        }
    }
    println!();
}

/// Formats a percentage, with `-` for NaN.
fn format_percent(percent: f64) -> String {
    if percent.is_nan() { "-".to_owned() } else { format!("{percent:.2}") }
}

fn goodput(seed: u64) {
    println!("goodput: answers in time a second, of a capacity of 200; all services scaled alike");
    let loads = [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0];
    print!("{:<16}", "load");
    loads.iter().for_each(|load| print!(" {load:>7.1}"));
    println!("   2x/peak");
    for (name, policy, admission) in COMBINATIONS {
        print!("{name:<16}");
        let mut peak = 0f64;
        let mut good_at_two = 0.0;
        for load in loads {
            let rates = contract_rates();
            let offered_rate =
                Box::new(move |service: usize, _: f64| rates[service] * load / CONTRACT_LOAD_RATIO);
            let seconds = 300.0;
            let samples =
                Simulation::run(Scenario { policy, admission, offered_rate, seconds, seed });
            let good = samples.iter().filter(|sample| sample.in_time).count() as f64 / seconds;
            peak = peak.max(good);
            if load == 2.0 {
                good_at_two = good;
            }
            print!(" {good:>7.1}");
        }
        println!("   {:>6.0}%", good_at_two / peak * 100.0);
    }
    println!();
}

fn recovery(seed: u64) {
    println!("recovery: all services offer 2x capacity from 60 s to 90 s, then their contract");
    println!(
        "p99 wait in ms and answered in time in %, before the overload and in each second after"
    );
    let seconds = [0.0, 1.0, 2.0, 4.0, 6.0, 9.0, 14.0];
    print!("{:<16} {:>13}", "", "before");
    seconds.iter().for_each(|second| print!(" {second:>13}"));
    println!();
    for (name, policy, admission) in COMBINATIONS {
        let rates = contract_rates();
        let offered_rate = Box::new(move |service: usize, second: f64| {
            let overload = (60.0..90.0).contains(&second);
            rates[service] * if overload { 2.0 / CONTRACT_LOAD_RATIO } else { 1.0 }
        });
        let samples =
            Simulation::run(Scenario { policy, admission, offered_rate, seconds: 120.0, seed });
        let between = |from: f64, to: f64| {
            let summary = summary(&samples, |sample| (from..to).contains(&sample.arrived));
            format!("{:.1}/{:.1}%", summary.p99, summary.answered)
        };
        print!("{name:<16} {:>13}", between(10.0, 60.0));
        seconds.iter().for_each(|second| print!(" {:>13}", between(90.0 + second, 91.0 + second)));
        println!();
    }
}

struct Summary {
    /// Median wait in milliseconds.
    p50: f64,
    /// 99th percentile of the wait in milliseconds.
    p99: f64,
    /// Sub-queries answered before their deadline, in percent.
    answered: f64,
}

fn summary<F>(samples: &[Sample], wanted: F) -> Summary
where
    F: Fn(&Sample) -> bool,
{
    let list: Vec<&Sample> = samples.iter().filter(|sample| wanted(sample)).collect();
    let mut waits: Vec<f64> = list.iter().filter_map(|sample| sample.wait).collect();
    waits.sort_by(f64::total_cmp);
    let quantile = |q: f64| match waits.len() {
        0 => f64::NAN,
        count => waits[((count - 1) as f64 * q) as usize] * 1e3,
    };
    let in_time = list.iter().filter(|sample| sample.in_time).count();
    let answered = in_time as f64 / list.len().max(1) as f64 * 100.0;
    Summary { p50: quantile(0.5), p99: quantile(0.99), answered }
}
