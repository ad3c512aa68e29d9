//! A diff lists every change between two bundles as text.

use bundle::{diff, format};

const OLD: &str = "
format: 1
deployment: demo
centres: [north, south]
models:
  - {name: draft, version: v1, memory_mib: 1000, kv_floor_mib: 100, copies: 2}
  - {name: old, version: v1, memory_mib: 500, kv_floor_mib: 100}
adapters:
  - {name: french, model: draft, version: a1, memory_mib: 50}
runners:
  - {name: runner-1, centre: north, address: '127.0.0.1:1', accelerators: 1, memory_mib: 4000}
  - {name: runner-2, centre: south, address: '127.0.0.1:2', accelerators: 1, memory_mib: 4000}
services:
  - name: desk
    targets: [{name: desk-1, centre: north, address: '127.0.0.1:3'}]
    routes:
      - {path: /bookings, repeatable: false}
accounts:
  - name: mayors
    class: paid
    rate: 100
    burst: 1000
    keys: [{id: k1, digest: 0000000000000000000000000000000000000000000000000000000000000001}]
  - {name: families, class: courtesy, rate: 10, burst: 1000}
weights: {loads_per_second: 2.0, loads_at_once: 10}
";

/// The diff between `OLD` and a bundle that `modify` made from it.
fn changes(modify: impl FnOnce(&mut format::Bundle)) -> Vec<String> {
    let old = bundle::read(OLD).unwrap();
    let mut new = old.clone();
    modify(&mut new);
    let diff = diff::Diff::new(&old, &new);
    diff.changes.iter().map(ToString::to_string).collect()
}

#[test]
fn equal_bundles_have_no_changes() {
    assert_eq!(changes(|_| ()), [""; 0]);
}

#[test]
fn lists_changes_of_models_and_adapters() {
    let found = changes(|new| {
        new.models[0].version = "v2".into();
        new.models[1].name = "fresh".into();
        new.adapters[0].version = "a2".into();
    });
    assert_eq!(
        found,
        [
            "adapter draft:french: version a1 -> a2",
            "model old goes out: calls for it are refused as unknown-model",
            "model draft: version v1 -> v2",
            "model fresh comes in: copies 1, kv_floor_mib 100 MiB, memory_mib 500 MiB, version v1",
        ]
    );
}

#[test]
fn lists_changes_of_accounts_and_keys_without_digests() {
    let found = changes(|new| {
        let mut key = new.accounts[0].keys[0].clone();
        key.digest = ids::Digest::of(b"other");
        new.accounts[0].keys[0] = key.clone();
        key.id = "k2".into();
        new.accounts[1].keys.push(key);
        new.accounts[1].class = format::Class::Paid;
        new.accounts[1].rate = 20;
    });
    let expected = [
        "account families: class courtesy -> paid",
        "account families: key k2 comes in: it is admitted",
        "account families: rate 10 -> 20 tokens a second",
        "account mayors: key k1: secret one -> another",
    ];
    assert_eq!(found, expected);
    assert!(found.iter().all(|line| !line.contains("0000")));
}

#[test]
fn lists_changes_of_targets_routes_and_limits() {
    let found = changes(|new| {
        new.runners.pop();
        new.services[0].routes[0].repeatable = true;
        new.services[0].targets[0].address = "127.0.0.1:4".into();
        new.weights.loads_per_second = 3.0;
        new.limits.queue_ms = 50;
        new.centres.pop();
    });
    let expected = [
        "deployment: centres north, south -> north",
        "limits: queue_ms 10000 -> 50 ms",
        "runner runner-2 goes out: it gets no new work",
        "service desk: route /bookings: repeatable false -> true",
        "service desk: target desk-1: address 127.0.0.1:3 -> 127.0.0.1:4",
        "weights: loads_per_second 2.0 -> 3.0 loads a second",
    ];
    assert_eq!(found, expected);
}
