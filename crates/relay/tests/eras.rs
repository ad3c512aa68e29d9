//! Fleets whose store comes back from a copy some seconds old: what was written since is gone,
//! and versions are given out again.

mod fleet;
mod world;

use fleet::Fleet;
use relay::{config, envelope, quota, target};
use world::{configuration, desk};

/// Number of targets.
const TARGETS: usize = 8;
/// Time after which a fleet that starts has met, in ms.
const START_MS: u64 = 5_000;
/// Age of the copy, in ms.
const AGE_MS: u64 = 3_000;
/// Writes of other tables between the copy and the end, so that its versions are not reached
/// again within a test.
const OTHER_WRITES: u64 = 1_000;
/// How long the store is away, in ms.
const AWAY_MS: u64 = 600;
/// Interval at which targets write their entries, in ms.
const HEARTBEAT_MS: u64 = 1_200;
/// Time after the return of the store in which what is written again is known everywhere, in ms.
const AGREE_MS: u64 = 2_000;
/// Time after the return of the store for which missing entries may come back, in ms.
const GRACE_MS: u64 = 3_000;
/// Sizes of the fleets; the larger ones have aggregators.
const SIZES: [usize; 3] = [5, 36, 60];

fn config(version: u64) -> config::Config {
    configuration(version)
}

fn call() -> envelope::Envelope {
    world::envelope("lookup", Some("key-2"))
}

/// A fleet with a store, and the targets that run.
struct Site {
    fleet: Fleet,
    /// Targets that write their entries at each heartbeat.
    alive: Vec<target::Entry>,
    elapsed_ms: u64,
}

impl Site {
    fn with_vms(vms: usize) -> Self {
        let alive: Vec<_> = (0..TARGETS).map(|index| desk(&format!("d-{index}"))).collect();
        let mut fleet = Fleet::new(vms, 4, config(1), alive.clone());
        // The era of a store that has come back before.
        fleet.store.era = 1;
        let mut site = Self { fleet, alive, elapsed_ms: 0 };
        site.run(START_MS);
        site
    }

    /// Lets time pass; targets write their entries while the store is there.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.elapsed_ms += 20;
            if self.elapsed_ms.is_multiple_of(HEARTBEAT_MS) && !self.fleet.store.is_away {
                self.alive.iter().for_each(|entry| self.fleet.change(entry.clone()));
            }
            self.fleet.run(20, |_| {});
        }
    }

    /// Lets the store come back from a copy that is made now. `since` happens between the copy
    /// and the moment at which the store goes away.
    fn drill(&mut self, since: impl FnOnce(&mut Self)) {
        let copy = self.fleet.copy_store();
        self.fleet.store.version += OTHER_WRITES;
        since(self);
        self.run(AGE_MS);
        self.fleet.take_store_away();
        self.run(AWAY_MS);
        self.fleet.bring_store_back(copy);
    }

    fn leave(&mut self, name: &str) {
        self.alive.retain(|entry| entry.target != name.into());
        self.fleet.remove(name);
    }

    /// Sends calls to all VMs for a time, and returns the targets that got some.
    fn targets_in_use(&mut self, millis: u64) -> Vec<String> {
        self.fleet.sent.clear();
        for _ in 0..millis / 100 {
            for index in 0..self.fleet.vms.len() {
                for _ in 0..TARGETS {
                    self.fleet.arrive(index, call());
                }
            }
            self.run(100);
        }
        self.fleet.sent.keys().map(|target| target.as_str().to_owned()).collect()
    }

    /// Names and versions of the VMs that do not go by the configuration `version`.
    fn outdated(&self, version: u64) -> Vec<(String, u64)> {
        let versions = self.fleet.running().map(|vm| {
            let relay = vm.relay.as_ref().expect("it runs");
            (vm.name.as_str().to_owned(), relay.version().get())
        });
        versions.filter(|(_, known)| *known != version).collect()
    }

    fn are_together(&self) -> bool {
        let size = self.fleet.running().count();
        let together = quota::View::Together { heard: size, all: size };
        self.fleet.views().iter().all(|view| *view == together)
    }
}

/// Guards against targets that have left and are in use again because the copy lists them, and
/// against targets that are out of use because it does not.
#[test]
fn the_copy_changes_nothing_about_targets() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        site.drill(|site| {
            site.leave("d-0");
            let leaving = target::Entry { is_leaving: true, ..desk("d-1") };
            site.alive[0] = leaving.clone();
            site.fleet.change(leaving);
            site.alive.push(desk("d-new"));
            site.fleet.change(desk("d-new"));
            // It leaves without a word, and is not there to write again.
            site.leave("d-2");
            site.run(HEARTBEAT_MS);
        });
        let expected = ["d-3", "d-4", "d-5", "d-6", "d-7", "d-new"];
        for _ in 0..6 {
            assert_eq!(site.targets_in_use(1_000), expected, "{size} VMs");
        }
    }
}

/// Guards against targets that are kept for ever, or forgotten at once, because the copy
/// does not list them.
#[test]
fn a_target_that_the_copy_does_not_list_is_kept_for_some_seconds() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        site.drill(|site| {
            site.fleet.change(desk("d-new"));
            site.run(1_000);
        });
        assert!(site.targets_in_use(1_000).contains(&"d-new".to_owned()), "{size} VMs");
        site.run(GRACE_MS);
        assert!(!site.targets_in_use(1_000).contains(&"d-new".to_owned()), "{size} VMs");
    }
}

/// Guards against changes that no VM applies, as their versions are below those of before.
#[test]
fn changes_at_versions_that_are_given_out_again_are_applied() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        site.drill(|_| {});
        // Until then, an entry that is removed may only have lapsed.
        site.run(GRACE_MS);
        site.leave("d-0");
        site.alive.push(desk("d-new"));
        site.fleet.change(desk("d-new"));
        site.fleet.configure(config(2));
        site.run(AGREE_MS);
        let expected = ["d-1", "d-2", "d-3", "d-4", "d-5", "d-6", "d-7", "d-new"];
        assert_eq!(site.targets_in_use(1_000), expected, "{size} VMs");
        assert_eq!(site.outdated(2), [], "{size} VMs");
    }
}

/// Guards against a configuration that is replaced by the one in the copy.
#[test]
fn the_copy_brings_back_no_configuration() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        site.drill(|site| {
            site.fleet.configure(config(2));
            site.run(1_000);
        });
        for _ in 0..20 {
            site.run(200);
            assert_eq!(site.outdated(2), [], "{size} VMs");
        }
        site.fleet.configure(config(2));
        site.run(400);
        site.fleet.configure(config(3));
        site.run(AGREE_MS);
        assert_eq!(site.outdated(3), [], "{size} VMs");
    }
}

/// Guards against VMs that take one another for gone, or a former process for the one that runs,
/// because the copy does not hold their rows.
#[test]
fn each_vm_writes_its_row_again_and_none_is_missed() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        let (late, restarted) = (size - 1, 0);
        site.fleet.kill(late);
        site.run(1_000);
        site.drill(|site| {
            site.fleet.start(late);
            site.fleet.kill(restarted);
            site.run(300);
            site.fleet.start(restarted);
            site.run(2_000);
            assert!(site.are_together(), "{size} VMs before: {:?}", site.fleet.views());
        });
        for _ in 0..30 {
            site.run(100);
            assert!(site.are_together(), "{size} VMs: {:?}", site.fleet.views());
        }
        assert_eq!(site.fleet.store.members.len(), size);
        let rows = site.fleet.store.members.values();
        let own = site.fleet.running().map(fleet::Vm::member);
        let stored: std::collections::BTreeSet<_> =
            rows.map(|(_, member)| (member.vm.clone(), member.incarnation)).collect();
        let running: std::collections::BTreeSet<_> = own.collect();
        assert_eq!(stored, running, "{size} VMs");
    }
}

/// Guards against parts of quotas that shrink because a VM that has left is back with the copy.
#[test]
fn a_vm_that_has_left_does_not_come_back_with_the_copy() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        let left = size - 1;
        site.drill(|site| {
            let schedule = relay::shutdown::Schedule::new(std::time::Duration::from_secs(3));
            site.fleet.input(left, relay::Input::Stop(schedule));
            site.run(2_500);
            site.fleet.kill(left);
        });
        for _ in 0..30 {
            site.run(100);
            assert!(site.are_together(), "{size} VMs: {:?}", site.fleet.views());
        }
    }
}

/// Guards against VMs that reach the store, and drop what it says, because others that do not
/// still go by what was before; and against these others being left behind.
#[test]
fn a_part_of_the_fleet_that_does_not_reach_the_store_follows_the_rest() {
    for (size, cut) in
        [(5, vec![0, 1]), (5, vec![2, 3, 4]), (36, vec![0, 1, 4, 5]), (60, vec![0, 8])]
    {
        let mut site = Site::with_vms(size);
        site.drill(|site| {
            site.leave("d-0");
            site.run(500);
            for vm in &cut {
                site.fleet.vms[*vm].has_store = false;
            }
        });
        site.run(AGREE_MS);
        site.leave("d-1");
        site.fleet.configure(config(2));
        site.run(AGREE_MS);
        let expected = ["d-2", "d-3", "d-4", "d-5", "d-6", "d-7"];
        assert_eq!(site.targets_in_use(1_000), expected, "{size} VMs, {cut:?} cut");
        assert_eq!(site.outdated(2), [], "{size} VMs, {cut:?} cut");
    }
}

/// Guards against a VM that starts after the store came back and takes what the copy lists for the
/// present, or tells it to the others.
#[test]
fn a_vm_that_starts_after_the_return_learns_what_was_lost_from_the_others() {
    for size in SIZES {
        for (started, after_ms) in [(0, 20), (0, 300), (size - 1, 20), (size / 2, 1_000)] {
            let mut site = Site::with_vms(size);
            site.drill(|site| {
                site.leave("d-0");
                site.fleet.configure(config(2));
                site.run(1_000);
                site.fleet.kill(started);
            });
            site.run(after_ms);
            site.fleet.start(started);
            site.run(100);
            site.alive.push(desk("d-new"));
            site.fleet.change(desk("d-new"));
            site.run(1_000);
            let expected = ["d-1", "d-2", "d-3", "d-4", "d-5", "d-6", "d-7", "d-new"];
            for _ in 0..3 {
                assert_eq!(site.targets_in_use(1_000), expected, "{size} VMs, VM {started}");
            }
            assert_eq!(site.outdated(2), [], "{size} VMs, VM {started}");
        }
    }
}

/// Guards against fleets that take long to agree with the store, or ask it for more than its rates
/// allow, when it is back.
#[test]
fn a_fleet_agrees_with_the_store_soon_and_within_its_rates() {
    // The store's reads and writes a second, as the users' sites have them.
    for (size, reads, writes) in [(5, 2_000, 400), (60, 6_000, 1_200), (330, 16_000, 3_200)] {
        let mut site = Site::with_vms(size);
        site.drill(|_| {});
        site.alive.push(desk("d-new"));
        site.fleet.change(desk("d-new"));
        site.fleet.configure(config(2));
        site.fleet.traffic = fleet::Traffic::default();
        let mut elapsed_ms = 0;
        while !site.outdated(2).is_empty() && elapsed_ms < 10_000 {
            site.run(20);
            elapsed_ms += 20;
        }
        assert!(elapsed_ms <= AGREE_MS, "{size} VMs: {elapsed_ms} ms");
        site.run(AGREE_MS - elapsed_ms);
        let calls = std::mem::take(&mut site.fleet.traffic.store_calls);
        let written = calls.get("writes").copied().unwrap_or_default();
        let read = calls.values().sum::<u64>() - written;
        println!("{size} VMs: {elapsed_ms} ms, {read} reads, {written} writes in 2 s");
        // In the worst case all within one second.
        assert!(read <= reads && written <= writes, "{size} VMs: {calls:?}");
        let in_use = site.targets_in_use(1_000);
        assert!(in_use.contains(&"d-new".to_owned()), "{size} VMs: {in_use:?}");
    }
}

/// Guards against drains that end, or are back, because of the copy.
#[test]
fn the_copy_changes_nothing_about_drains() {
    for size in SIZES {
        let mut site = Site::with_vms(size);
        let far: Vec<_> = (0..2)
            .map(|index| target::Entry {
                centre: "south".into(),
                ..desk(&format!("d-south-{index}"))
            })
            .collect();
        site.alive.extend(far.clone());
        for entry in far {
            site.fleet.change(entry);
        }
        site.run(HEARTBEAT_MS);
        site.drill(|site| {
            site.fleet.drain(&["south"], 100);
            site.run(500);
        });
        let is_south = |name: &String| name.contains("south");
        assert!(!site.targets_in_use(1_000).iter().any(is_south), "{size} VMs");
        site.fleet.drain(&["south"], 100);
        site.run(4_000);
        assert!(!site.targets_in_use(1_000).iter().any(is_south), "{size} VMs");
        site.drill(|site| {
            site.fleet.drain(&[], 100);
            site.run(500);
        });
        assert!(site.targets_in_use(1_000).iter().any(is_south), "{size} VMs");
        site.fleet.drain(&[], 100);
        site.run(4_000);
        assert!(site.targets_in_use(1_000).iter().any(is_south), "{size} VMs");
    }
}
