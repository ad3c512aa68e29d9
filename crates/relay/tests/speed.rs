//! Tests of learned speeds of targets: estimates, their exchange between VMs, and the
//! choice of targets that follows from them.

mod fleet;
mod world;

use std::{collections, time};

use fleet::Fleet;
use rand::SeedableRng as _;
use relay::{Input, choice, era, input, peer, speed, target};
use world::{World, change, configuration, draft, runner};

fn at(millis: u64) -> ids::Time {
    ids::Time::from_millis(100_000 + millis)
}

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn name(number: usize) -> ids::Target {
    format!("r-{number:02}").as_str().into()
}

/// Targets that hold the model `alpha`, in a table.
fn targets(count: usize) -> target::Table {
    let mut table = target::Table::default();
    for number in 0..count {
        let entry = target::Entry { slots: 64, ..runner(name(number).as_str(), &["alpha"]) };
        table.apply(at(0), &era::Table::default(), &change(1, entry));
    }
    table
}

fn sample(kind: speed::Kind, ratio: f64) -> speed::Samples {
    speed::Samples::new(kind, ratio).expect("a valid ratio")
}

fn refresh(speeds: &mut speed::Table, targets: &mut target::Table, millis: u64) {
    speeds.refresh(at(millis), targets, |service| service.as_str() == "writers");
}

fn step_ratio(targets: &target::Table, number: usize) -> f64 {
    targets.get(&name(number)).and_then(|row| row.speed).expect("an estimate").step
}

/// Feeds ten samples a second of each target's ratio, times noise, and returns the lowest
/// and highest estimate of target 0 after `settled` ms.
fn feed(
    speeds: &mut speed::Table,
    targets: &mut target::Table,
    span: std::ops::Range<u64>,
    settled: u64,
    ratio: impl Fn(usize, u64) -> f64,
) -> (f64, f64) {
    let (mut low, mut high) = (f64::INFINITY, 0.0_f64);
    for now in span.step_by(100) {
        for number in 0..targets.len() {
            let sample = sample(speed::Kind::Step, ratio(number, now));
            speeds.add(at(now), &name(number), sample);
        }
        refresh(speeds, targets, now);
        if now >= settled {
            let estimate = step_ratio(targets, 0);
            (low, high) = (low.min(estimate), high.max(estimate));
        }
    }
    (low, high)
}

/// Guards against an estimate that swings with noise: all VMs would then move their calls
/// to and fro between targets that are slow for 600 ms.
#[test]
fn noise_of_600_ms_does_not_move_an_estimate() {
    let (mut speeds, mut targets) = (speed::Table::default(), targets(6));
    refresh(&mut speeds, &mut targets, 0);
    let ratio = |number: usize, now: u64| {
        let is_slow = (now / 600 + number as u64).is_multiple_of(7);
        if is_slow { 1.43 * 2.5 } else { 1.43 }
    };
    let (low, high) = feed(&mut speeds, &mut targets, 0..30_000, 4_000, ratio);
    assert!(low > 1.35 && high < 1.6, "between {low} and {high}, of 1.43");
}

/// Guards against a target whose change is noticed too late: its streams would be late for
/// as long.
#[test]
fn a_change_of_speed_is_followed_within_four_seconds() {
    let (mut speeds, mut targets) = (speed::Table::default(), targets(6));
    refresh(&mut speeds, &mut targets, 0);
    let ratio = |number: usize, now: u64| if number == 0 && now >= 10_000 { 1.43 } else { 0.6 };
    feed(&mut speeds, &mut targets, 0..10_000, 0, ratio);
    assert!((step_ratio(&targets, 0) - 0.6).abs() < 0.05, "{}", step_ratio(&targets, 0));
    feed(&mut speeds, &mut targets, 10_000..14_000, 0, ratio);
    assert!((step_ratio(&targets, 0) - 1.43).abs() < 0.1, "{}", step_ratio(&targets, 0));
}

/// Guards against a new instance that is taken for nominal in a service of slow ones, or
/// for as fast as the instance that it replaces.
#[test]
fn a_new_instance_starts_at_the_median_of_its_service() {
    let (mut speeds, mut targets) = (speed::Table::default(), targets(5));
    refresh(&mut speeds, &mut targets, 0);
    feed(&mut speeds, &mut targets, 0..8_000, 0, |number, _| if number == 0 { 0.6 } else { 1.43 });
    assert!((step_ratio(&targets, 0) - 0.6).abs() < 0.05, "{}", step_ratio(&targets, 0));
    let entry = target::Entry { born: 2, slots: 64, ..runner("r-00", &["alpha"]) };
    targets.apply(at(8_000), &era::Table::default(), &change(2, entry));
    refresh(&mut speeds, &mut targets, 8_000);
    assert!((step_ratio(&targets, 0) - 1.43).abs() < 0.05, "{}", step_ratio(&targets, 0));
}

/// Guards against figures that make an estimate useless: not a number, infinite, zero,
/// negative, or beyond what hardware can be.
#[test]
fn invalid_samples_are_ignored() {
    for ratio in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 0.0, -1.0, 0.049, 20.1] {
        for kind in [speed::Kind::Step, speed::Kind::Prefill] {
            assert_eq!(speed::Samples::new(kind, ratio), None, "{ratio}");
        }
    }
    for ratio in [0.05, 1.0, 20.0] {
        let sample = sample(speed::Kind::Step, ratio);
        assert!(sample.is_valid(), "{ratio}");
    }
    let sums = [(0, 1), (1, 434), (1, -434), (10_001, 0), (u32::MAX, i64::MAX), (1, i64::MIN)];
    for (count, sum) in sums {
        let steps = speed::Samples { steps: count, step_sum: sum, ..speed::Samples::default() };
        let prefills =
            speed::Samples { prefills: count, prefill_sum: sum, ..speed::Samples::default() };
        assert!(!steps.is_valid() && !prefills.is_valid(), "{count} {sum}");
    }
}

/// Guards against a VM that believes whatever a digest says: of two entries, the one that
/// is out of range must have no effect, and the other must count.
#[test]
fn invalid_samples_in_a_digest_are_ignored() {
    let mut world = World::new(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
    let settings = relay::Settings::new("vm-1", "north", 1).with_peer("127.0.0.1:9");
    world.relay = relay::Relay::new(settings.with_learned_speed(true));
    let other = relay::Settings::new("vm-2", "north", 1).with_peer("127.0.0.1:8").member();
    world.step([world::members(vec![World::member(), other])]);
    world.configure(configuration(1));
    world.targets(vec![runner("r-1", &["alpha"]), runner("r-2", &["alpha"])]);
    world.wait(400);
    for _ in 0..10 {
        let good = speed::Samples { steps: 5, step_sum: 500, ..speed::Samples::default() };
        let bad = speed::Samples { steps: 5, step_sum: 5_000_000, ..speed::Samples::default() };
        let speeds = vec![("r-1".into(), good), ("r-2".into(), bad), ("r-9".into(), good)];
        let digest = peer::Digest { speeds, ..peer::Digest::default() };
        let message = peer::Message::Digest(digest);
        let (from, incarnation) = ("vm-2".into(), ids::Incarnation::new(1));
        world.step([Input::Peer { from, incarnation, message }]);
        world.wait(400);
    }
    let learned: collections::BTreeMap<_, _> = world.relay.speeds().collect();
    assert_eq!(learned.len(), 2, "{learned:?}");
    assert!((learned[&ids::Target::from("r-1")].step - 2.0).abs() < 0.05, "{learned:?}");
    // The service's median is that of the only target with samples.
    assert!(learned[&ids::Target::from("r-2")].step < 2.05, "{learned:?}");
}

/// Guards against a message that an older VM cannot read, or that grows where nothing is
/// learned.
#[test]
fn messages_without_samples_are_those_of_older_versions() {
    let text = serde_json::to_string(&peer::Digest::default()).expect("a JSON form");
    assert!(!text.contains("\"s\""), "{text}");
    let read: peer::Digest = serde_json::from_str(&text).expect("a digest");
    assert!(read.speeds.is_empty());
    let entry = (name(1), sample(speed::Kind::Step, 1.5));
    let text = serde_json::to_string(&entry).expect("a JSON form");
    assert!(text.len() < 32, "{text}");
}

/// Guards against measuring the pauses for prompts, or the way in which the VM receives
/// events, instead of the decoding steps.
#[test]
fn a_rhythm_leaves_out_prefills_and_joins_events_received_together() {
    let mut meter = speed::Meter::default();
    let mut now = millis(0);
    for number in 0..30 {
        now += if number % 6 == 0 { millis(200) } else { millis(21) };
        meter.record(now, 1);
    }
    let rhythm = meter.take();
    assert_eq!((rhythm.events, rhythm.gap), (29, millis(21)));
    assert_eq!(meter.take(), speed::Rhythm::default(), "nothing since");
    let mut meter = speed::Meter::default();
    for burst in 0..10_u32 {
        for event in 0..5 {
            let at = millis(100) * burst + time::Duration::from_micros(300) * event;
            meter.record(at, 1);
        }
    }
    assert_eq!(meter.take().gap, millis(20), "five events in 100 ms");
}

/// Drives the calls of a fleet: the first event comes after the prompt has been read at the
/// target's speed, the end 250 ms later, with the rhythm of its steps.
struct Driver {
    open: Vec<(ids::Time, usize, ids::Attempt, ids::Call, ids::Target, bool)>,
    arrivals: usize,
}

/// Time of the target with this number, relative to a nominal one.
fn slowness(target: &ids::Target) -> f64 {
    let number: usize = target.as_str()[2..].parse().expect("a number");
    [1.43, 0.59, 1.43][number % 3]
}

impl Driver {
    fn drive(&mut self, fleet: &mut Fleet) {
        let now = fleet.now;
        for (vm, begin) in std::mem::take(&mut fleet.begun) {
            let takes = time::Duration::from_secs_f64((500.0 / 19.0 + 20.0) / 1_000.0)
                .mul_f64(slowness(&begin.target));
            self.open.push((now + takes, vm, begin.attempt, begin.call, begin.target, false));
        }
        let open = std::mem::take(&mut self.open);
        for (due, vm, attempt, call, target, has_begun) in open {
            if due > now {
                self.open.push((due, vm, attempt, call, target, has_begun));
            } else if has_begun {
                let gap = time::Duration::from_secs_f64(0.01 * slowness(&target));
                let rhythm = speed::Rhythm { events: 10, gap };
                let summary = input::Summary { rhythm, ..input::Summary::default() };
                let event = input::Event::Ended(summary);
                fleet.input(vm, Input::Attempt { attempt, event });
                fleet.input(vm, Input::Closed { call });
            } else {
                fleet.input(vm, Input::Attempt { attempt, event: input::Event::First });
                self.open.push((now + millis(250), vm, attempt, call, target, true));
            }
        }
        for _ in 0..4 {
            self.arrivals += 7;
            let mut envelope = draft("draft", "alpha", 500);
            if let Some(work) = &mut envelope.work {
                work.prompt = vec![];
            }
            fleet.arrive(self.arrivals % fleet.vms.len(), envelope);
        }
    }
}

fn learned_fleet(size: usize, learns_speed: bool) -> Fleet {
    let runners = (0..30).map(|number| {
        let entry = runner(name(number).as_str(), &["alpha"]);
        target::Entry { slots: 64, ..entry }
    });
    let mut config = configuration(1);
    for service in config.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            engine.kv_tokens = 100_000;
        }
    }
    let mut fleet = Fleet::new(size, 4, config, runners.collect());
    fleet.learns_speed = learns_speed;
    fleet.keeps_calls = true;
    (0..size).for_each(|index| fleet.start(index));
    fleet.run(4_000, |_| {});
    let mut driver = Driver { open: Vec::new(), arrivals: 0 };
    fleet.run(12_000, |fleet| driver.drive(fleet));
    fleet
}

/// Guards against a VM that knows only the targets that it called itself, and against
/// samples that are counted by some VMs several times.
#[test]
fn every_vm_learns_the_speed_of_every_target_from_all_vms() {
    for size in [5, 40] {
        let fleet = learned_fleet(size, true);
        for vm in fleet.running() {
            let relay = vm.relay.as_ref().expect("a running VM");
            let ratios: Vec<f64> =
                relay.speeds().map(|(target, speed)| speed.step / slowness(target)).collect();
            assert_eq!(ratios.len(), 30);
            // The model's pace holds what all targets have in common.
            let low = ratios.iter().copied().fold(f64::INFINITY, f64::min);
            let high = ratios.iter().copied().fold(0.0, f64::max);
            assert!(high / low < 1.35, "{size} VMs, {}: {low} to {high}", vm.name);
        }
        let most = fleet.traffic.most_speed_samples;
        assert!((1..=speed::MAX_DIGEST_ENTRIES).contains(&most), "{most} targets in a digest");
    }
}

/// Guards against a deployment without the setting that learns or sends anything.
#[test]
fn without_the_setting_nothing_is_learned_or_sent() {
    let fleet = learned_fleet(5, false);
    assert_eq!(fleet.traffic.most_speed_samples, 0);
    assert!(
        fleet
            .running()
            .all(|vm| { vm.relay.as_ref().is_some_and(|relay| relay.speeds().next().is_none()) })
    );
}

/// Guards against a backlog of samples that makes a digest large, or is lost.
#[test]
fn samples_beyond_the_limit_of_a_message_wait_for_the_next() {
    let mut unsent = speed::Unsent::default();
    for number in 0..40 {
        unsent.add(&name(number), sample(speed::Kind::Step, 1.0));
    }
    let sizes: Vec<_> = (0..4).map(|_| unsent.take(16).len()).collect();
    assert_eq!(sizes, [16, 16, 8, 0]);
}

/// A query for the model `alpha`.
fn query<'a>(
    config: &'a relay::config::Config,
    work: &'a relay::envelope::Work,
    centre: &'a ids::Centre,
) -> choice::Query<'a> {
    choice::Query {
        service: &config.services[&ids::Service::from("writers")],
        work: Some(work),
        item: "alpha",
        excluded: &[],
        unreached: &[],
        centre,
        typical_ms: 40.0,
        place_share: 1.0,
        pace: 1.0,
        cold: None,
        gap_ms: 400.0,
        vms: 1,
        rule: choice::Rule::default(),
        sequence: 0,
    }
}

fn engine_config() -> relay::config::Config {
    let mut config = configuration(1);
    for service in config.services.values_mut() {
        if let Some(engine) = &mut service.engine {
            (engine.kv_tokens, engine.stride) = (100_000, 2);
        }
    }
    config
}

fn set_speed(table: &mut target::Table, number: usize, ratio: f64) {
    let row = table.get_mut(&name(number)).expect("a target");
    row.speed = Some(speed::Estimate { prefill: ratio, step: ratio, median: 1.0 });
    row.others_at = at(0);
}

fn work(prompt_tokens: u64) -> relay::envelope::Work {
    let work = draft("draft", "alpha", prompt_tokens).work.expect("work");
    relay::envelope::Work { prompt: vec![], ..work }
}

/// Guards against long prompts that stop the streams of a slow target while another one
/// has room, and against calls that starve because every target has streams.
#[test]
fn a_long_prompt_avoids_streams_that_would_pause_unless_all_would() {
    let (config, centre, work) = (engine_config(), ids::Centre::from("north"), work(6_000));
    let mut table = targets(2);
    set_speed(&mut table, 0, 2.0);
    set_speed(&mut table, 1, 1.0);
    let streams = target::Load { calls: 10, kv: 10_000, prefill: 0 };
    table.get_mut(&name(0)).expect("a target").own = streams;
    // The other target is fuller, but its streams keep within their objective.
    table.get_mut(&name(1)).expect("a target").own = target::Load { kv: 80_000, ..streams };
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let query = query(&config, &work, &centre);
    for _ in 0..50 {
        let chosen = choice::choose(&table, at(0), &query, &mut rng).expect("a target");
        assert_eq!((chosen.target, chosen.has_avoided_pause), (name(1), true));
    }
    set_speed(&mut table, 1, 2.5);
    let chosen = choice::choose(&table, at(0), &query, &mut rng).expect("a target");
    assert!(!chosen.has_avoided_pause);
}

/// Guards against VMs with the same old view that all choose the same target, and against
/// slow targets that get nothing.
#[test]
fn vms_with_the_same_old_view_spread_their_calls_by_speed() {
    let (config, centre, work) = (engine_config(), ids::Centre::from("north"), work(2_400));
    for vms in [86_u32, 330] {
        let mut table = targets(60);
        (0..60).for_each(|number| set_speed(&mut table, number, [1.43, 0.59, 1.43][number % 3]));
        let query = choice::Query { vms: vms as usize, ..query(&config, &work, &centre) };
        let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
        let mut counts = collections::BTreeMap::<ids::Target, u32>::new();
        let rounds = 60;
        let mut most = 0;
        for _ in 0..rounds {
            let mut round = collections::BTreeMap::<ids::Target, u32>::new();
            for _ in 0..vms {
                let chosen = choice::choose(&table, at(0), &query, &mut rng).expect("a target");
                *round.entry(chosen.target.clone()).or_default() += 1;
                *counts.entry(chosen.target).or_default() += 1;
            }
            most = round.values().copied().max().unwrap_or(0).max(most);
        }
        let mean = f64::from(vms) / 60.0;
        assert!(f64::from(most) < 6.0 * mean + 4.0, "{vms} VMs: {most} at one target, mean {mean}");
        assert_eq!(counts.len(), 60, "{vms} VMs: some targets get nothing");
    }
}

/// Guards against a backlog that is believed long after the target has read it.
#[test]
fn the_backlog_that_other_vms_told_shrinks_with_its_age() {
    let mut table = targets(1);
    set_speed(&mut table, 0, 1.0);
    let row = table.get_mut(&name(0)).expect("a target");
    row.others.prefill = 5_000;
    row.own.prefill = 1_000;
    assert!((choice::backlog_tokens(row, at(0)) - 6_000.0).abs() < 1.0);
    let later = choice::backlog_tokens(row, at(300));
    assert!(later > 1_000.0 && later < 4_000.0, "{later}");
    assert!((choice::backlog_tokens(row, at(5_000)) - 1_000.0).abs() < 1.0);
    row.speed = None;
    assert!((choice::backlog_tokens(row, at(5_000)) - 6_000.0).abs() < 1.0, "as before");
}
