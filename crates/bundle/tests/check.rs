//! The check reports all faults of a document at once, at their positions.
//!
//! `tests/check` has documents and the expected reports. With `UPDATE_CHECKS=1`
//! in the environment the expected reports are rewritten.

use std::{env, fs, path};

use bundle::{check, loads};

/// Seed of the generator of mutations.
const SEED: u64 = 0x0063_6865_636b;

fn crate_path(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn render_report(text: &str) -> String {
    let report = check::run(text);
    let mut lines: Vec<_> = report.faults.iter().map(ToString::to_string).collect();
    lines.extend(report.packing.map(|packing| packing.to_string()));
    lines.extend(report.loads.map(|loads| loads.to_string()));
    lines.join("\n") + "\n"
}

fn assert_report(name: &str) {
    let text = fs::read_to_string(crate_path("tests/check").join(format!("{name}.yaml"))).unwrap();
    let file = crate_path("tests/check").join(format!("{name}.txt"));
    let found = render_report(&text);
    if env::var_os("UPDATE_CHECKS").is_some() {
        fs::write(&file, &found).unwrap();
    }
    assert_eq!(found, fs::read_to_string(file).unwrap());
}

#[test]
fn reports_all_faults_of_types_and_fields() {
    assert_report("form");
}

#[test]
fn reports_all_faults_of_values() {
    assert_report("content");
}

#[test]
fn reports_a_syntax_error_with_its_position() {
    assert_report("syntax");
}

#[test]
fn reports_copies_that_do_not_fit_beside_the_headroom() {
    assert_report("size");
}

fn read_example(name: &str) -> String {
    fs::read_to_string(crate_path("../../examples").join(name)).unwrap()
}

#[test]
fn the_magnolia_example_passes_with_its_known_sizes() {
    let report = check::run(&read_example("magnolia.yaml"));
    assert_eq!(report.faults, []);
    let bundle = report.bundle.unwrap();
    assert_eq!(sizes(&bundle), [4, 12, 20, 80, 5]);
    assert_eq!(bundle.services[0].targets.len(), 4);
    assert_eq!(report.loads.unwrap().models, 40);
}

#[test]
fn the_midshire_example_passes_with_its_known_sizes() {
    let report = check::run(&read_example("midshire.yaml"));
    assert_eq!(report.faults, []);
    let bundle = report.bundle.unwrap();
    assert_eq!(sizes(&bundle), [4, 20, 30, 100, 5]);
    assert_eq!(bundle.services[0].targets.len(), 4);
}

/// Numbers of data centres, runners, models, adapters and accounts.
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
fn the_quickstart_example_lacks_only_its_addresses() {
    let text = read_example("quickstart.yaml");
    let fields: Vec<_> = check::run(&text).faults.into_iter().map(|fault| fault.field).collect();
    let addresses = ["runners[0].address", "runners[1].address", "services[0].targets[0].address"];
    assert_eq!(fields, addresses);
    let mut with_addresses = text;
    for (port, name) in (9_000..).zip(["@RUNNER_1@", "@RUNNER_2@", "@DESK_1@"]) {
        with_addresses = with_addresses.replace(name, &format!("127.0.0.1:{port}"));
    }
    assert_eq!(check::run(&with_addresses).faults, []);
}

#[test]
fn a_packing_places_every_copy_within_the_memory_of_its_runner() {
    for name in ["magnolia.yaml", "midshire.yaml"] {
        let report = check::run(&read_example(name));
        let (bundle, packing) = (report.bundle.unwrap(), report.packing.unwrap());
        for runner in &packing.runners {
            assert!(runner.used_mib() + runner.headroom_mib <= runner.memory_mib);
        }
        for model in &bundle.models {
            let has_copy = |runner: &&bundle::packing::Runner| {
                runner.copies.iter().any(|copy| copy.model == model.name)
            };
            let count = packing.runners.iter().filter(has_copy).count();
            assert_eq!(count, model.copies as usize, "{}", model.name);
        }
    }
}

#[test]
fn only_new_copies_are_counted_as_loads_between_bundles() {
    let old = bundle::read(&read_example("magnolia.yaml")).unwrap();
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
fn checking_a_mutated_document_never_panics() {
    println!("seed {SEED:#x}");
    let property = |mutations: Vec<(usize, u8)>| {
        let mut bytes = read_example("quickstart.yaml").into_bytes();
        for (place, byte) in mutations {
            let place = place % bytes.len();
            if byte % 3 == 0 {
                bytes.remove(place);
            } else {
                bytes[place] = byte & 0x7f;
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let report = check::run(&text);
        // A text that is not a bundle has at least one fault.
        assert!(report.bundle.is_some() || !report.is_ok(), "{text}");
        assert!(bundle::read(&text).is_ok() || !report.is_ok(), "{text}");
    };
    let generator = quickcheck::Gen::from_size_and_seed(12, SEED);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(400)
        .quickcheck(property as fn(Vec<(usize, u8)>));
}
