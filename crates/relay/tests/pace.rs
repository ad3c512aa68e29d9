//! Tests of the learned pace of models, and of its effect on demand.

mod world;

use std::time;

use relay::{
    Input,
    input::{self, Event},
    pace, peer,
};
use world::{World, draft, runner};

const WEIGHTS_MB: f64 = 72_700.0;

fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

#[test]
fn a_pace_is_learned_within_twenty_streams_and_applies_to_one_size() {
    let mut paces = pace::Pace::default();
    for _ in 0..20 {
        // The expectation follows the learned pace.
        let expected_ms = 100.0 * paces.of_weights(WEIGHTS_MB);
        paces.record(WEIGHTS_MB, millis(20), expected_ms);
    }
    let learned = paces.of_weights(WEIGHTS_MB);
    assert!((0.15..0.30).contains(&learned), "{learned} of 0.2");
    let other = paces.of_weights(WEIGHTS_MB / 2.0);
    assert!((0.99..1.01).contains(&other), "nothing is known of another size: {other}");
}

#[test]
fn a_pace_stays_within_its_bounds() {
    let mut paces = pace::Pace::default();
    for _ in 0..50 {
        let expected_ms = 100.0 * paces.of_weights(WEIGHTS_MB);
        paces.record(WEIGHTS_MB, millis(600), expected_ms);
    }
    assert!(paces.of_weights(WEIGHTS_MB) <= 1.0);
    for _ in 0..30 {
        let expected_ms = 100.0 * paces.of_weights(WEIGHTS_MB);
        paces.record(WEIGHTS_MB, millis(10), expected_ms);
    }
    assert!(paces.of_weights(WEIGHTS_MB) >= 0.05, "one that takes no time is not believed");
}

/// Demand for `alpha` reported to the planner, in busy runners, after streams whose
/// first tokens take `first_ms`.
fn reported_demand(first_ms: u64) -> f64 {
    let mut world = World::new(vec![runner("r-1", &["alpha"])]);
    let planner = relay::Settings::new("vm-2", "north", 1).with_peer("127.0.0.1:9").member();
    world.step([world::members(vec![planner])]);
    let mut reported_demand = 0.0;
    for _ in 0..40 {
        let digest =
            peer::Digest { leader_fence: Some(ids::Fence::new(1)), ..peer::Digest::default() };
        let incarnation = ids::Incarnation::new(1);
        let message = peer::Message::Digest(digest);
        world.step([Input::Peer { from: "vm-2".into(), incarnation, message }]);
        let (_, seen) = world.arrive(draft("draft", "alpha", 1_000));
        if let Some(begun) = seen.begun.first() {
            world.pass(first_ms);
            world.event(begun.attempt, Event::First);
            world.event(begun.attempt, Event::Ended(input::Summary::default()));
        }
        let seen = world.wait(200 - first_ms);
        for (_, message) in seen.messages {
            if let peer::Message::Digest(digest) = message {
                reported_demand = digest.demand.iter().map(|(_, _, work)| work).sum();
            }
        }
    }
    reported_demand
}

#[test]
fn a_fast_model_reports_less_demand() {
    let (slow, fast) = (reported_demand(80), reported_demand(10));
    assert!(slow > 0.0 && fast < slow / 2.0, "{fast} and {slow} runners");
}
