//! Reports of scenario runs: tables and plots.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;

use crate::run::RunReport;
use crate::run::SecondReport;
use crate::scenario::Scenario;
use crate::stats::ClassStats;

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);

/// Formats the runs of a scenario as a Markdown section with a table of all windows.
pub fn markdown(scenario: &Scenario, runs: &[RunReport]) -> String {
    let mut text = format!("## {}\n\n{}\n\n", scenario.name, scenario.about);
    text.push_str(
        "| policy | window | class | queries | p50 ms | p99 ms | p999 ms | coverage | extra load \
         | whole/s | codes |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        for window in &run.windows {
            let goodput = format!("{:.1}", window.goodput);
            write_row(&mut text, run.policy, &window.name, "all", &window.all, &goodput);
            for (class, stats) in &window.classes {
                write_row(&mut text, run.policy, &window.name, class, stats, "");
            }
        }
    }
    text.push('\n');
    for run in runs {
        let broken: Vec<String> = run
            .invariants
            .iter()
            .filter(|invariant| invariant.broken > 0)
            .map(|invariant| {
                format!("{} ({} of {})", invariant.name, invariant.broken, invariant.cases)
            })
            .collect();
        let broken = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "* {}, seed {}: {} sub-queries or connections over the limits of searchers; broken \
             invariants: {broken}",
            run.policy, run.seed, run.over_limits
        );
    }
    text.push('\n');
    text
}

fn write_row(
    text: &mut String,
    policy: &str,
    window: &str,
    class: &str,
    stats: &ClassStats,
    goodput: &str,
) {
    let codes: Vec<String> =
        stats.codes.iter().map(|(name, count)| format!("{name} {count}")).collect();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "| {policy} | {window} | {class} | {} | {:.1} | {:.1} | {:.1} | {:.2}% | {:.2}% | {goodput} | {} |",
        stats.queries,
        stats.p50_ms,
        stats.p99_ms,
        stats.p999_ms,
        stats.coverage * 100.0,
        stats.extra_load * 100.0,
        codes.join(", "),
    );
}

/// Draws the p99 latency of each second to an SVG file, one line for each run.
pub fn plot(
    path: &Path,
    scenario: &Scenario,
    runs: &[RunReport],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let points = |run: &RunReport| -> Vec<(f64, f64)> {
        let p99 = |second: &SecondReport| second.p99_ms.max(1.0);
        run.seconds.iter().enumerate().map(|(at, second)| (at as f64, p99(second))).collect()
    };
    let max_y = runs.iter().flat_map(points).map(|(_, y)| y).fold(10.0, f64::max);
    let title = format!("{}: p99 of each second, ms", scenario.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scenario.length().as_secs_f64(), (1.0..max_y * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (index, run) in runs.iter().enumerate() {
        let color = Palette99::pick(index).mix(0.9);
        chart
            .draw_series(LineSeries::new(points(run), color.stroke_width(2)))?
            .label(run.policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
