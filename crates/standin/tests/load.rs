//! The load generator: schedule, judge, report and a run against runners.

use std::{collections, fs, path, time};

use standin::{
    client, load,
    load::{mix, report, sample, schedule},
    runner,
};

const MIX: &str = "
deployment: test
calls_per_second: 100
bursts: {every_seconds: 10, length_seconds: 2, factor: 3}
accounts:
  - {name: large, share: 3, rate: 1000000, burst: 1000000}
  - {name: small, share: 1, rate: 1000000, burst: 1000000}
drafts:
  share: 4
  models: [draft, quote]
  skew: 1
  prompt_words: {median: 20, spread: 0.5, most: 100}
  max_tokens: {median: 4, spread: 0.5, most: 8}
  beginnings: 2
  beginning_words: 16
  shifts: [{at_seconds: 50, model: quote, factor: 10}]
services:
  - {name: lookup, share: 1, method: GET, path: /svc/desk/lookup/1}
";

const SPAN: time::Duration = time::Duration::from_secs(100);

fn arrivals(seed: u64) -> Vec<schedule::Arrival> {
    let mix = mix::Mix::parse(MIX).expect("a mix");
    schedule::Schedule::new(&mix, seed, 1.0, SPAN).expect("a schedule").collect()
}

/// Whether `count` is within five in a hundred of `expected`.
fn near(count: usize, expected: f64) -> bool {
    (count as f64 - expected).abs() < expected * 0.05
}

#[test]
fn schedule_is_fixed_by_its_seed() {
    assert_eq!(arrivals(7), arrivals(7));
    assert_ne!(arrivals(7), arrivals(8));
}

#[test]
fn calls_come_at_their_rates_and_in_bursts() {
    let arrivals = arrivals(7);
    let in_burst = |arrival: &&schedule::Arrival| arrival.at.as_secs_f64() % 10.0 < 2.0;
    let bursts = arrivals.iter().filter(in_burst).count();
    assert!(near(bursts, 20.0 * 300.0), "{bursts} in bursts");
    assert!(near(arrivals.len() - bursts, 80.0 * 100.0), "{} in all", arrivals.len());
    let large = arrivals.iter().filter(|arrival| arrival.account == 0).count();
    assert!(near(large, 14_000.0 * 0.75), "{large} of the large account");
}

#[test]
fn demand_moves_between_models() {
    let quotes = |from: u64, to: u64| {
        let span = time::Duration::from_secs(from)..time::Duration::from_secs(to);
        let arrivals = arrivals(7);
        let drafts = arrivals.iter().filter(|arrival| span.contains(&arrival.at));
        let models: Vec<String> = drafts
            .filter_map(|arrival| match &arrival.call {
                schedule::Call::Draft { model, .. } => Some(model.to_string()),
                schedule::Call::Service(_) => None,
            })
            .collect();
        let quotes = models.iter().filter(|model| *model == "quote").count();
        quotes as f64 / models.len() as f64
    };
    // With a skew of one the second model has half the popularity of the first.
    assert!((quotes(0, 50) - 1.0 / 3.0).abs() < 0.03);
    assert!((quotes(50, 100) - 5.0 / 6.0).abs() < 0.03);
}

#[test]
fn faults_in_a_mix_are_named() {
    let unknown = mix::Mix::parse(&MIX.replace("skew: 1", "skewed: 1"));
    let error = unknown.expect_err("no such field").to_string();
    assert!(error.contains("skewed") && error.contains("line 11"), "{error}");
    let stray = mix::Mix::parse(&MIX.replace("model: quote", "model: other"));
    assert!(stray.expect_err("no such model").to_string().contains("drafts.shifts"));
}

#[test]
fn mixes_of_both_deployments_fit_their_bundles() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["magnolia.yaml", "midshire.yaml"] {
        let mix = mix::Mix::read(&folder.join("load").join(name)).expect("a mix");
        let bundle = fs::read_to_string(folder.join(name)).expect("the bundle is read");
        let bundle = bundle::format::read(&bundle).expect("a bundle");
        assert_eq!(mix.deployment, &*bundle.deployment);
        let accounts = bundle.accounts.iter();
        let declared: Vec<_> = accounts.map(|a| (a.name.as_str(), a.rate, a.burst)).collect();
        let accounts = mix.accounts.iter();
        let used: Vec<_> = accounts.map(|a| (a.name.as_str(), a.rate, a.burst)).collect();
        assert_eq!(used, declared);
        let models = bundle.models.iter().map(|model| model.name.to_string());
        let adapters = bundle.adapters.iter().map(|a| format!("{}:{}", a.model, a.name));
        let declared: collections::BTreeSet<String> = models.chain(adapters).collect();
        let used: collections::BTreeSet<String> = mix.drafts.models.iter().cloned().collect();
        assert_eq!(used, declared);
        schedule::Schedule::new(&mix, 1, 1.0, SPAN).expect("a schedule");
    }
}

fn config(runners: Vec<std::net::SocketAddr>, mix: path::PathBuf) -> load::Config {
    load::Config {
        mix,
        keys: None,
        vms: Vec::new(),
        runners,
        sticky: false,
        retries: 0,
        seed: 1,
        seconds: 4.0,
        warmup_seconds: 0.0,
        drain_seconds: 60.0,
        scale: 0.1,
        accelerators: 2,
        bin_seconds: 2.0,
        margin: 0.95,
        json: false,
    }
}

fn sample(account: usize, at: u64, first: u64, gaps: &[u64]) -> sample::Sample {
    sample::Sample {
        at: time::Duration::from_secs(at),
        late: time::Duration::ZERO,
        account,
        service: None,
        direct: false,
        inside: true,
        outcome: sample::Outcome::Answered,
        whole: time::Duration::from_secs(1),
        first: Some(time::Duration::from_millis(first)),
        gaps: gaps.iter().copied().map(time::Duration::from_millis).collect(),
        retries: 0,
    }
}

#[test]
fn attainment_is_that_of_calls_in_time() {
    let mut steady = vec![40; 19];
    steady.push(500);
    assert!(sample(0, 0, 1800, &steady).attained());
    assert!(!sample(0, 0, 1801, &steady).attained());
    steady[0] = 58;
    assert!(!sample(0, 0, 1800, &steady).attained());
    let mut cut = sample(0, 0, 100, &[]);
    cut.outcome = sample::Outcome::Cut;
    assert!(!cut.attained());
}

#[test]
fn report_tells_the_worst_served_account_and_wrongful_refusals() {
    let mix = mix::Mix::parse(MIX).expect("a mix");
    let mut refused = sample(1, 3, 1, &[]);
    refused.outcome = sample::Outcome::NotRun("rate".to_owned());
    let mut above = refused.clone();
    above.inside = false;
    let samples = [
        sample(0, 0, 100, &[]),
        sample(0, 1, 5000, &[]),
        sample(0, 2, 100, &[]),
        sample(1, 3, 100, &[]),
        refused,
        above,
    ];
    let config = config(Vec::new(), path::PathBuf::new());
    let report = report::Report::new(&config, &mix, samples.to_vec());
    assert_eq!(report.worst.as_deref(), Some("small"));
    assert_eq!(report.wrongful_refusals, 1);
    let share = |share: &report::Share| (share.sent, share.inside, share.attained);
    assert_eq!(share(&report.drafts), (6, 5, 3));
    assert_eq!(share(&report.accounts[1].drafts), (3, 2, 1));
    assert_eq!(share(&report.bins[0].drafts), (2, 2, 1));
    assert_eq!(share(&report.bins[1].drafts), (4, 3, 2));
    assert!((report.drafts.per_accelerator - 3.0 / 8.0).abs() < 1e-9);
    assert_eq!(report.outcomes["draft"]["not-run: rate"], 2);
}

#[test]
fn overhead_compares_drafts_through_vms_with_direct_ones() {
    let mix = mix::Mix::parse(MIX).expect("a mix");
    let mut direct = sample(0, 0, 100, &[20]);
    direct.direct = true;
    let mut config = config(Vec::new(), path::PathBuf::new());
    config.vms = vec!["127.0.0.1:1".parse().expect("an address")];
    let report = report::Report::new(&config, &mix, vec![direct, sample(0, 1, 150, &[30])]);
    assert_eq!(report.drafts.sent, 1);
    let overhead = report.overhead.expect("there were both");
    assert!((overhead.added_first_token.p50_ms - 50.0).abs() < 1.0);
    assert!((overhead.added_between_tokens.p99_ratio - 1.5).abs() < 0.01);
}

#[tokio::test]
async fn run_against_runners_counts_each_outcome() {
    let held = |config: runner::Config| {
        config.with_resident("draft", "v1", 1_000).with_resident("quote", "v1", 1_000)
    };
    let whole = runner::start(&held(runner::Config::default())).expect("starts");
    let faulty = runner::start(&held(runner::Config::default())).expect("starts");
    let rules = r#"[
        {"path": "/v1", "refuse": true, "count": 2},
        {"path": "/v1", "break_after": 1, "count": 1},
        {"path": "/v1", "lose_request": true, "count": 1},
        {"path": "/v1", "cross": true, "count": 2}
    ]"#;
    let client = client::Client::new();
    let set = client.send(faulty.control(), "PUT", "/faults", rules).await;
    assert_eq!(set.expect("an answer").status, 204);
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("mix.yaml");
    fs::write(&file, MIX).expect("the mix is written");

    let mut config = config(vec![whole.address(), faulty.address()], file);
    let report = load::run(&config).await.expect("a run");
    let drafts = &report.outcomes["draft"];
    assert_eq!(drafts.values().sum::<u64>(), report.drafts.sent);
    assert_eq!(drafts["not-run: refused"], 2);
    assert_eq!(drafts["cut"], 2);
    assert_eq!(drafts["wrong"], 2);
    assert_eq!(drafts["answered"], report.drafts.sent - 6);
    assert_eq!(report.wrongful_refusals, 2);
    assert!(report.first_token.count >= drafts["answered"]);
    assert!(report.to_string().contains("worst-served account"));

    config.warmup_seconds = 3.0;
    let last = load::run(&config).await.expect("a run");
    assert!(last.drafts.sent < report.drafts.sent);
    assert_eq!(last.bins.len(), 1);
    whole.stop().await;
    faulty.stop().await;
}

#[tokio::test]
async fn broken_streams_are_resumed_at_the_next_address() {
    let held = |config: runner::Config| {
        config.with_resident("draft", "v1", 1_000).with_resident("quote", "v1", 1_000)
    };
    let whole = runner::start(&held(runner::Config::default())).expect("starts");
    let faulty = runner::start(&held(runner::Config::default())).expect("starts");
    let rules = r#"[{"path": "/v1", "break_after": 1}]"#;
    let client = client::Client::new();
    let set = client.send(faulty.control(), "PUT", "/faults", rules).await;
    assert_eq!(set.expect("an answer").status, 204);
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("resumed.yaml");
    fs::write(&file, MIX).expect("the mix is written");

    let mut config = config(vec![whole.address(), faulty.address()], file);
    config.retries = 1;
    let report = load::run(&config).await.expect("a run");
    let drafts = report.drafts.sent;
    assert_eq!(report.outcomes["draft"]["answered"], drafts);
    assert!(report.answered_after_retry > 0 && report.answered_after_retry < drafts);
    let seen = client.send(whole.control(), "GET", "/counts", "").await;
    let seen = seen.expect("an answer").text();
    assert!(!seen.contains("continue-text-wrong"), "{seen}");
    whole.stop().await;
    faulty.stop().await;
}
