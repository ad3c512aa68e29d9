//! Runs scenarios under the product's rule and the baselines, and prints a table.
//!
//! `cargo run --release -p experiment -- --plot DIRECTORY`

use std::{io, io::Write as _, path, thread};

use clap::Parser as _;
use experiment::{fleet, plot, rule, scenario, tally::Tally};

/// Compares rules for choosing targets and ordering waiting calls, in virtual time.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(version)]
struct Command {
    /// Seed of the calls and of random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of each run in virtual seconds; by default that of the scenario.
    #[arg(long)]
    seconds: Option<u64>,
    /// Run only the scenarios whose names contain this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Run only the rules whose names contain this text.
    #[arg(long, default_value = "")]
    rule: String,
    /// Directory for plots of attainment over time, one SVG file per scenario.
    #[arg(long)]
    plot: Option<path::PathBuf>,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let command = Command::parse();
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{:<14} {:<13} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>6} {:>5}",
        "scene",
        "rule",
        "in time",
        "2 worst",
        "account",
        "kind",
        "late",
        "refus.",
        "failed",
        "p50 ms",
        "p99 ms",
        "ref. p50",
        "paused",
        "busy",
        "err"
    )?;
    for mut scenario in scenario::all() {
        if !scenario.name.contains(&command.only) {
            continue;
        }
        scenario.length_s = command.seconds.unwrap_or(scenario.length_s);
        let runs = run(&scenario, command.seed, &command.rule);
        for (name, tally) in &runs {
            writeln!(
                out,
                "{:<14} {:<13} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>6.2} {:>5.2}",
                scenario.name,
                name,
                tally.attainment(),
                tally.worst_two_windows(),
                Tally::worst_share(&tally.accounts),
                Tally::worst_share(&tally.kinds),
                tally.late,
                tally.refused,
                tally.failed,
                tally.first_event_ms.value_at_quantile(0.5),
                tally.first_event_ms.value_at_quantile(0.99),
                tally.refusal_ms.value_at_quantile(0.5),
                tally.paused,
                tally.busiest_engine,
                tally.speed_error,
            )?;
        }
        if let Some(directory) = &command.plot {
            let file = directory.join(format!("{}.svg", scenario.name.replace(' ', "-")));
            plot::draw(&file, scenario.name, &runs)?;
        }
    }
    Ok(())
}

/// Runs a scenario under all rules in parallel.
fn run(scenario: &scenario::Scenario, seed: u64, only: &str) -> Vec<(&'static str, Tally)> {
    thread::scope(|scope| {
        let runs: Vec<_> = rule::ALL
            .iter()
            .filter(|rule| rule.name.contains(only))
            .map(|rule| (rule.name, scope.spawn(move || fleet::run(scenario, rule, seed))))
            .collect();
        let joined = runs.into_iter().map(|(name, run)| (name, run.join()));
        // A run that panicked has printed its message; the others are still shown.
        joined.filter_map(|(name, run)| Some((name, run.ok()?))).collect()
    })
}
