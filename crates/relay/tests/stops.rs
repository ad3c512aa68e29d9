//! Tests of fleets whose VMs are stopped as planned, one after the other.

mod fleet;
mod world;

use std::{collections, time};

use fleet::Fleet;
use relay::{Input, config, envelope, shutdown};
use world::{configuration, desk};

/// Time from the stop signal until the platform kills a VM.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// Time after the stop signal until the balancer sends no more calls to the VM, in ms.
const BALANCER_MS: u64 = 2_000;
/// Time from the end of a process until its next start, in ms.
const RESTART_MS: u64 = 300;
/// Time between the stop signals of two VMs, in ms.
const GAP_MS: u64 = 1_000;
/// Time after the last stop signal for which calls go on, in ms.
const RECOVERY_MS: u64 = 8_000;
/// Interval at which the fleet is stepped, in ms.
const STEP_MS: usize = 20;
/// Rate of the limited account in units per second, and its burst in units.
const RATE: f64 = 54_000.0;
/// Units of a call that does not state its tokens.
const CALL_UNITS: f64 = 1_900.0;
/// Length of the windows in which usage is bounded.
const WINDOW: time::Duration = time::Duration::from_secs(8);
/// Units that are tolerated in a window in addition to a tenth more than rate and burst.
const SLACK: f64 = 17_000.0;

fn call() -> envelope::Envelope {
    envelope::Envelope { work: None, ..world::envelope("lookup", Some("key-1")) }
}

/// A fleet under load, with the units that it has admitted.
struct Load {
    fleet: Fleet,
    /// VMs that the balancer leaves out.
    is_left_out: Vec<bool>,
    owed: f64,
    next: usize,
    admitted: Vec<(ids::Time, f64)>,
}

impl Load {
    fn new(size: usize, centres: usize) -> Self {
        let targets = (0..8).map(|index| desk(&format!("d-{index}"))).collect();
        let mut config = configuration(1);
        let account = config.accounts.get_mut(&ids::Account::from("mayors")).expect("an account");
        (account.rate, account.burst) = (RATE, RATE);
        account.unit = config::Unit::Tokens(CALL_UNITS);
        let fleet = Fleet::new(size, centres, config, targets);
        let is_left_out = vec![false; size];
        let mut load = Self { fleet, is_left_out, owed: 0.0, next: 0, admitted: Vec::new() };
        load.run(6_000, 0.5);
        load
    }

    /// Lets calls arrive for a time at `times` the rate of their account.
    fn run(&mut self, millis: u64, times: f64) {
        let Self { fleet, is_left_out, owed, next, admitted } = self;
        fleet.run(millis, |fleet| {
            // Each step of the fleet shows what the one before has admitted.
            admitted.push((fleet.now, std::mem::take(&mut fleet.admitted) as f64 * CALL_UNITS));
            *owed += times * RATE * 0.02 / CALL_UNITS;
            let open: Vec<_> = (0..fleet.vms.len())
                .filter(|index| fleet.vms[*index].relay.is_some() && !is_left_out[*index])
                .collect();
            while *owed >= 1.0 {
                *owed -= 1.0;
                *next += 7;
                fleet.arrive(open[*next % open.len()], call());
            }
        });
    }

    /// Stops VMs in turn, `GAP_MS` apart, and starts each again when its process has ended.
    fn restart_in_turn(&mut self, count: u64, times: f64) {
        let mut starts_at = collections::BTreeMap::new();
        for elapsed in (0..count * GAP_MS + RECOVERY_MS).step_by(STEP_MS) {
            for (index, number) in (0..count).enumerate() {
                if elapsed == number * GAP_MS {
                    let schedule = shutdown::Schedule::new(GRACE);
                    self.fleet.input(index, Input::Stop(schedule));
                }
                if elapsed == number * GAP_MS + BALANCER_MS {
                    self.is_left_out[index] = true;
                }
            }
            for index in std::mem::take(&mut self.fleet.stopped) {
                self.fleet.kill(index);
                starts_at.insert(index, elapsed + RESTART_MS);
            }
            starts_at.retain(|index, at| {
                if *at <= elapsed {
                    self.fleet.start(*index);
                    self.is_left_out[*index] = false;
                }
                *at > elapsed
            });
            self.run(STEP_MS as u64, times);
        }
    }

    /// Maximum number of units admitted in any window, as a fraction of the bound.
    fn usage(&self) -> f64 {
        let within = |from: ids::Time| {
            let later = self.admitted.iter().skip_while(move |(at, _)| *at < from);
            later.take_while(move |(at, _)| at.since(from) < WINDOW).map(|(_, units)| units)
        };
        let windows = self.admitted.iter().map(|(from, _)| within(*from).sum::<f64>());
        let bound = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1 + SLACK;
        windows.fold(0.0, f64::max) / bound
    }
}

/// Guards against an allowance that is handed out twice: a VM that was stopped went on
/// granting units that the others had taken over, as its row was gone (QUOTA).
#[test]
fn an_account_stays_within_its_bound_while_vms_are_stopped_in_turn() {
    for (size, centres) in [(5, 4), (36, 4)] {
        for times in [1.0, 4.0, 7.5] {
            let mut load = Load::new(size, centres);
            load.restart_in_turn(5, times);
            let usage = load.usage();
            assert!(usage <= 1.0, "{size} VMs, {times} times the rate: {usage} of the bound");
        }
    }
}
