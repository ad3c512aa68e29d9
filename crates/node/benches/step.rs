//! Cost of a step at the sizes of today, of next year and of the year after.
//!
//! Each size has members, runners and models in the node's tables. Measured
//! are a tick without input, a runner's report and a whole call of 64 chunks.
//! `docs/CAPACITY.md` multiplies these by how often they happen.

mod scene;

use std::{hint, time};

use criterion::{BenchmarkId, Criterion};
use node::Input;
use scene::{SIZES, Scene, report};

fn measure(criterion: &mut Criterion) {
    for (members, runners, models) in SIZES {
        let mut scene = Scene::new(members, runners, models);
        let size = format!("{members}-members");
        let mut group = criterion.benchmark_group("step");
        group.measurement_time(time::Duration::from_secs(2)).sample_size(20);
        group.bench_function(BenchmarkId::new("tick", &size), |bencher| {
            bencher.iter(|| {
                scene.now += 20;
                scene.step([]);
            });
        });
        group.bench_function(BenchmarkId::new("report", &size), |bencher| {
            let (target, report) = report(1, models, runners);
            bencher.iter(|| {
                let report = Some(hint::black_box(report.clone()));
                scene.step([Input::Report { target: target.clone(), report }]);
            });
        });
        group.bench_function(BenchmarkId::new("call-of-64-chunks", &size), |bencher| {
            bencher.iter(|| scene.call());
        });
        group.finish();
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    measure(&mut criterion);
    criterion.final_summary();
}
