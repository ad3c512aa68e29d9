//! Benchmarks a step at the fleet sizes of today, next year and the year after.
//!
//! Each size sets the number of members, runners and models in the node's
//! tables. The benchmarks are a tick without input, a runner's report and a
//! complete call of 64 chunks. `docs/CAPACITY.md` multiplies the results by the
//! frequency of these events.

mod fleet;

use std::{hint, time};

use criterion::{BenchmarkId, Criterion};
use fleet::{Fleet, SIZES, report};
use node::Input;

fn measure(criterion: &mut Criterion) {
    for (members, runners, models) in SIZES {
        let mut fleet = Fleet::new(members, runners, models);
        let size = format!("{members}-members");
        let mut group = criterion.benchmark_group("step");
        group.measurement_time(time::Duration::from_secs(2)).sample_size(20);
        group.bench_function(BenchmarkId::new("tick", &size), |bencher| {
            bencher.iter(|| {
                fleet.now += 20;
                fleet.step([]);
            });
        });
        group.bench_function(BenchmarkId::new("report", &size), |bencher| {
            let (target, report) = report(1, models, runners);
            bencher.iter(|| {
                let report = Some(hint::black_box(report.clone()));
                fleet.step([Input::Report { target: target.clone(), report }]);
            });
        });
        group.bench_function(BenchmarkId::new("call-of-64-chunks", &size), |bencher| {
            bencher.iter(|| fleet.call());
        });
        group.finish();
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    measure(&mut criterion);
    criterion.final_summary();
}
