//! Tests of the placement decision on a snapshot, without a planner or runners.

use std::{collections, time};

use relay::{config, placement};

fn engine(models: &[&str]) -> config::Engine {
    let model = config::Model {
        weights_mb: 70.0,
        load: time::Duration::from_secs(8),
        warm: time::Duration::from_secs(1),
        disk: time::Duration::from_secs(2),
        adapter_mb: 1.0,
    };
    config::Engine {
        slots: 64,
        kv_tokens: 100_000,
        memory_mb: 140.0,
        adapters: 8,
        loads_per_second: 1.0,
        stride: 1,
        models: models.iter().map(|name| (ids::Model::from(*name), model.clone())).collect(),
    }
}

/// A snapshot of runners with memory for two models, each holding the models in `held`.
fn snapshot<'a>(
    engine: &'a config::Engine,
    held: &[&[&str]],
    demand: &[(&str, f64)],
) -> placement::Snapshot<'a> {
    let runner = |(number, models): (usize, &&[&str])| placement::Runner {
        target: format!("r-{number}").as_str().into(),
        free_mb: 140.0 - 70.0 * models.len() as f64,
        models: models.iter().map(|name| ids::Model::from(*name)).collect(),
        cached: collections::BTreeSet::new(),
        is_free: true,
        speed: 1.0,
    };
    placement::Snapshot {
        runners: held.iter().enumerate().map(runner).collect(),
        demand: demand.iter().map(|(name, work)| (ids::Model::from(*name), *work)).collect(),
        engine,
        may_fetch: true,
    }
}

fn next_load(snapshot: &placement::Snapshot<'_>) -> Option<String> {
    snapshot.next_move().map(|chosen| chosen.load.to_string())
}

#[test]
fn a_model_with_many_full_copies_gets_another_copy() {
    let engine = engine(&["hot", "cool"]);
    for copies in [3, 5, 8, 20] {
        let mut held: Vec<&[&str]> = vec![&["hot"]; copies];
        held.extend([&["cool"] as &[&str], &[]]);
        let work = copies as f64 * 0.95;
        let snapshot = snapshot(&engine, &held, &[("hot", work), ("cool", 0.2)]);
        assert_eq!(
            next_load(&snapshot).as_deref(),
            Some("hot"),
            "{copies} copies, each of them full"
        );
    }
}

#[test]
fn an_overloaded_model_comes_before_a_rarely_used_model() {
    let engine = engine(&["hot", "rare"]);
    let held: [&[&str]; 7] = [&["hot"], &["hot"], &["hot"], &["hot"], &["hot"], &[], &[]];
    let snapshot = snapshot(&engine, &held, &[("hot", 6.0), ("rare", 0.02)]);
    assert_eq!(next_load(&snapshot).as_deref(), Some("hot"));
}

#[test]
fn a_model_without_a_copy_comes_before_one_that_is_not_overloaded() {
    let engine = engine(&["busy", "rare"]);
    let held: [&[&str]; 4] = [&["busy"], &["busy"], &[], &[]];
    let snapshot = snapshot(&engine, &held, &[("busy", 1.0), ("rare", 0.05)]);
    assert_eq!(next_load(&snapshot).as_deref(), Some("rare"));
}

#[test]
fn no_copy_is_added_while_load_is_moderate() {
    let engine = engine(&["busy", "other"]);
    let held: [&[&str]; 4] = [&["busy"], &["busy"], &["other"], &[]];
    let snapshot = snapshot(&engine, &held, &[("busy", 0.8), ("other", 0.3)]);
    assert_eq!(next_load(&snapshot), None);
}
