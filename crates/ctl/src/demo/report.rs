//! Prints the results of the demo.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::demo::DemoSettings;
use crate::output::Failure;
use crate::output::Format;
use crate::output::print_line;
use tt_bench::Checks;
use tt_bench::Record;
use tt_bench::class_stats;

/// Prints the results, as a table or as JSON.
pub(crate) fn print(
    settings: DemoSettings,
    records: &[Record],
    checks: &Checks,
    trial: &Value,
    promotion: &Value,
) -> Result<(), Failure> {
    let classes = class_stats(records);
    if settings.format == Format::Json {
        let body = json!({
            "site": settings.sample.name,
            "daemons": settings.daemons,
            "seconds": settings.seconds,
            "seed": settings.seed,
            "trial": trial,
            "production": promotion,
            "classes": classes,
            "invariants": checks.invariants(),
            "held": checks.all_held(),
        });
        print_line(format!("{body}"));
        return Ok(());
    }
    print_line("");
    print_line(format!(
        "{:<14} {:>7} {:>8} {:>8} {:>8} {:>9} {:>7}  codes",
        "class", "queries", "p50 ms", "p99 ms", "p999 ms", "coverage", "extra"
    ));
    for (class, stats) in &classes {
        let codes: Vec<String> =
            stats.codes.iter().map(|(name, count)| format!("{name} {count}")).collect();
        print_line(format!(
            "{:<14} {:>7} {:>8.1} {:>8.1} {:>8.1} {:>8.2}% {:>6.2}%  {}",
            class,
            stats.queries,
            stats.p50_ms,
            stats.p99_ms,
            stats.p999_ms,
            stats.coverage * 100.0,
            stats.extra_load * 100.0,
            codes.join(", "),
        ));
        if !stats.uncovered.is_empty() {
            let reasons: Vec<String> =
                stats.uncovered.iter().map(|(name, count)| format!("{name} {count}")).collect();
            print_line(format!("{:<14} not covered: {}", "", reasons.join(", ")));
        }
    }
    print_line("");
    for invariant in checks.invariants() {
        let verdict = if invariant.broken == 0 { "held" } else { "BROKEN" };
        print_line(format!(
            "{verdict:<7} {} ({} cases, {} broken)",
            invariant.name, invariant.cases, invariant.broken
        ));
        for fault in &invariant.faults {
            print_line(format!("        {fault}"));
        }
    }
    if let Some(slowest) = records.iter().max_by_key(|record| record.latency) {
        let threshold = Duration::from_secs(1);
        if slowest.latency > threshold {
            print_line(format!("slowest request: {} after {:?}", slowest.id, slowest.latency));
        }
    }
    Ok(())
}
