//! Compares the policies of the target choice and the queue with their baselines.
//!
//! `cargo run -p route --release --example policies -- --seed 1`

mod fleet;

use std::time;

use clap::Parser as _;
use route::{policy, queue, target};

#[derive(clap::Parser)]
struct Args {
    /// Seed of arrivals and choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of each run in virtual seconds.
    #[arg(long, default_value_t = 140)]
    seconds: u64,
    /// Only the runs whose names contain this.
    #[arg(long, default_value = "")]
    only: String,
}

/// A named change to the default set-up.
type Variant = (&'static str, fn(&mut fleet::Setup));

const POLICIES: [Variant; 4] = [
    ("expected", |_| {}),
    ("random", |setup| setup.target.policy = policy::Policy::Random),
    ("round-robin", |setup| setup.target.policy = policy::Policy::RoundRobin),
    ("least-reported", |setup| setup.target.policy = policy::Policy::LeastReported),
];

const VARIANTS: [Variant; 13] = [
    ("two of all", |setup| setup.target.sample = 2),
    ("floor 1000", |setup| setup.target.base_tokens = 1_000),
    ("age limit off", |setup| setup.target.report_age_ms = 1_000_000),
    ("age limit 2 s", |setup| setup.target.report_age_ms = 2_000),
    ("no affinity", |setup| setup.target.affinity_permille = 0),
    ("pace off", |setup| setup.target.gap_ms = 0),
    ("pace 45", |setup| setup.target.gap_ms = 45),
    ("late as others", |setup| setup.target.late_permille = 1_000),
    ("late 800", |setup| setup.target.late_permille = 800),
    ("late 400", |setup| setup.target.late_permille = 400),
    ("fresh off", |setup| setup.queue.fresh_ms = 1_000_000),
    ("fresh 1500", |setup| setup.queue.fresh_ms = 1_500),
    ("deficit round robin", |setup| setup.queue.discipline = policy::Discipline::Fair),
];

fn default_setup(args: &Args) -> fleet::Setup {
    fleet::Setup {
        seed: args.seed,
        queue: queue::Config::default(),
        target: target::Config::default(),
        load: 0.7,
        vms: 5,
        runners: 12,
        slow_power: 0.5,
        slow_declared: true,
        models: 20,
        copies: 4,
        flood: 1.0,
        length: time::Duration::from_secs(args.seconds),
    }
}

fn main() {
    let args = Args::parse();
    println!(
        "seed {}, a runner of power 1 completes {:.2} calls/s",
        args.seed,
        fleet::runner_capacity()
    );
    println!(
        "{:<34} {:>8} {:>8} {:>6} {:>6} {:>8} {:>8} {:>7} {:>7}",
        "run", "attained", "per acc", "worst", "best", "first50", "first95", "gap95", "refused"
    );
    for load in [0.7, 1.0, 1.5] {
        for variant in POLICIES {
            run(&args, "declared", load, variant, |_| {});
        }
        for variant in &POLICIES[1..] {
            run(&args, "no pace", load, *variant, |setup| setup.target.gap_ms = 0);
        }
        for variant in VARIANTS {
            run(&args, "declared", load, variant, |_| {});
        }
    }
    for load in [0.7, 1.0] {
        for variant in POLICIES {
            run(&args, "undeclared", load, variant, |setup| setup.slow_declared = false);
        }
    }
    for load in [0.7, 1.0] {
        for variant in [POLICIES[0], POLICIES[3], VARIANTS[0]] {
            run(&args, "40 VMs", load, variant, |setup| setup.vms = 40);
        }
    }
    let fifo: Variant = ("fifo", |setup| setup.queue.discipline = policy::Discipline::Fifo);
    for variant in [POLICIES[0], VARIANTS[10], VARIANTS[12], fifo] {
        run(&args, "flood x5", 1.0, variant, |setup| setup.flood = 5.0);
    }
    run(&args, "all over", 1.5, fifo, |_| {});
}

fn run(args: &Args, case: &str, load: f64, variant: Variant, change: fn(&mut fleet::Setup)) {
    let name = format!("{case}, {load}, {}", variant.0);
    if !name.contains(&args.only) {
        return;
    }
    let mut setup = default_setup(args);
    setup.load = load;
    change(&mut setup);
    (variant.1)(&mut setup);
    let measured_accounts = if setup.flood > 1.0 { 4 } else { 5 };
    print(&name, fleet::Fleet::new(setup).run(), measured_accounts);
}

fn print(name: &str, mut outcome: fleet::Outcome, measured_accounts: usize) {
    let calls: u64 = outcome.accounts.iter().map(|tally| tally.calls).sum();
    let attained: u64 = outcome.accounts.iter().map(|tally| tally.attained).sum();
    let refused: u64 = outcome.accounts.iter().map(|tally| tally.refused).sum();
    let shares = outcome.accounts[..measured_accounts].iter().map(fleet::Tally::share);
    let worst = shares.clone().fold(1.0, f64::min);
    let best = shares.fold(0.0, f64::max);
    println!(
        "{name:<34} {:>8.3} {:>8.3} {worst:>6.3} {best:>6.3} {:>8.0} {:>8.0} {:>7.1} {:>7.3}",
        attained as f64 / calls.max(1) as f64,
        outcome.per_accelerator,
        quantile(&mut outcome.firsts, 0.5),
        quantile(&mut outcome.firsts, 0.95),
        quantile(&mut outcome.gaps, 0.95),
        refused as f64 / calls.max(1) as f64,
    );
}

/// The quantile of `values` at `share`.
fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = fleet::whole(values.len() as f64 * share);
    let index = usize::try_from(index).unwrap_or(usize::MAX);
    values.get(index).copied().unwrap_or_default()
}
