//! Checks: the faults of each document in `tests/check`, all at once.
//!
//! With `UPDATE_CHECKS=1` in the environment the expected texts are written
//! anew.

use std::{env, fs, path};

use bundle::{check, loads};

/// Seed of the mutated documents.
const SEED: u64 = 0x0063_6865_636b;

fn directory(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn report(text: &str) -> String {
    let report = check::run(text);
    let mut lines: Vec<_> = report.faults.iter().map(ToString::to_string).collect();
    lines.extend(report.packing.map(|packing| packing.to_string()));
    lines.extend(report.loads.map(|loads| loads.to_string()));
    lines.join("\n") + "\n"
}

fn expect(name: &str) {
    let text = fs::read_to_string(directory("tests/check").join(format!("{name}.yaml"))).unwrap();
    let file = directory("tests/check").join(format!("{name}.txt"));
    let found = report(&text);
    if env::var_os("UPDATE_CHECKS").is_some() {
        fs::write(&file, &found).unwrap();
    }
    assert_eq!(found, fs::read_to_string(file).unwrap());
}

#[test]
fn faults_of_form() {
    expect("form");
}

#[test]
fn faults_of_content() {
    expect("content");
}

#[test]
fn faults_of_syntax() {
    expect("syntax");
}

#[test]
fn memory_with_headroom() {
    expect("size");
}

fn example(name: &str) -> String {
    fs::read_to_string(directory("../../examples").join(name)).unwrap()
}

#[test]
fn magnolia_has_the_sizes_of_today() {
    let report = check::run(&example("magnolia.yaml"));
    assert_eq!(report.faults, []);
    let bundle = report.bundle.unwrap();
    assert_eq!(sizes(&bundle), [4, 12, 20, 80, 5]);
    assert_eq!(bundle.services[0].targets.len(), 4);
    assert_eq!(report.loads.unwrap().models, 40);
}

#[test]
fn midshire_has_the_sizes_of_today() {
    let report = check::run(&example("midshire.yaml"));
    assert_eq!(report.faults, []);
    let bundle = report.bundle.unwrap();
    assert_eq!(sizes(&bundle), [4, 20, 30, 100, 5]);
    assert_eq!(bundle.services[0].targets.len(), 4);
}

fn sizes(bundle: &bundle::Bundle) -> [usize; 5] {
    [
        bundle.centres.len(),
        bundle.runners.len(),
        bundle.models.len(),
        bundle.adapters.len(),
        bundle.accounts.len(),
    ]
}

#[test]
fn the_quick_start_needs_addresses() {
    let text = example("quickstart.yaml");
    let fields: Vec<_> = check::run(&text).faults.into_iter().map(|fault| fault.field).collect();
    let addresses = ["runners[0].address", "runners[1].address", "services[0].targets[0].address"];
    assert_eq!(fields, addresses);
    let mut filled = text;
    for (port, name) in (9_000..).zip(["@RUNNER_1@", "@RUNNER_2@", "@DESK_1@"]) {
        filled = filled.replace(name, &format!("127.0.0.1:{port}"));
    }
    assert_eq!(check::run(&filled).faults, []);
}

#[test]
fn a_packing_holds_each_copy_once_within_memory() {
    for name in ["magnolia.yaml", "midshire.yaml"] {
        let report = check::run(&example(name));
        let (bundle, packing) = (report.bundle.unwrap(), report.packing.unwrap());
        for runner in &packing.runners {
            assert!(runner.used_mib() + runner.headroom_mib <= runner.memory_mib);
        }
        for model in &bundle.models {
            let holds = |runner: &&bundle::packing::Runner| {
                runner.copies.iter().any(|copy| copy.model == model.name)
            };
            let count = packing.runners.iter().filter(holds).count();
            assert_eq!(count, model.copies as usize, "{}", model.name);
        }
    }
}

#[test]
fn loads_between_bundles_are_those_of_new_copies() {
    let old = bundle::read(&example("magnolia.yaml")).unwrap();
    assert_eq!(loads::Loads::between(&old, &old), loads::Loads::default());

    let mut new = old.clone();
    new.models[0].version = "r2".into();
    new.models[1].copies = 3;
    // Adapters: four on each of two new copies and four on the third one.
    let loads = loads::Loads::between(&old, &new);
    assert_eq!((loads.models, loads.adapters), (3, 12));
    let least = 3.0 / new.weights.loads_per_second;
    assert!(loads.seconds >= least && loads.seconds < least + 1.0, "{loads}");
}

#[test]
fn mutated_documents_never_panic() {
    println!("seed {SEED:#x}");
    let property = |cuts: Vec<(usize, u8)>| {
        let mut bytes = example("quickstart.yaml").into_bytes();
        for (place, byte) in cuts {
            let place = place % bytes.len();
            if byte % 3 == 0 {
                bytes.remove(place);
            } else {
                bytes[place] = byte & 0x7f;
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let report = check::run(&text);
        // What is not a bundle has faults that say so.
        assert!(report.bundle.is_some() || !report.is_ok(), "{text}");
        assert!(bundle::read(&text).is_ok() || !report.is_ok(), "{text}");
    };
    let generator = quickcheck::Gen::from_size_and_seed(12, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(400)
        .quickcheck(property as fn(Vec<(usize, u8)>));
}
