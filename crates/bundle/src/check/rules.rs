//! Rules on the values of a bundle: names, references and ranges.

use std::{collections, fmt, net, ops};

use super::decode;
use crate::format;

/// Longest name or key id, in bytes.
const NAME_BYTES: usize = 64;

const NAME_ALLOWED: &str = "1 to 64 letters, digits, '-', '_' and '.'";
const KEY_ALLOWED: &str = "1 to 64 letters, digits, '-' and '_'";

/// Memory of a model, an adapter or a runner: 64 TiB at most.
const MEMORY_MIB: ops::RangeInclusive<u64> = 1..=64 * 1024 * 1024;
const ACCELERATORS: ops::RangeInclusive<u64> = 1..=1_024;
const POWER: ops::RangeInclusive<f64> = 0.01..=100.0;
const COST: ops::RangeInclusive<u64> = 0..=1_000_000;
/// Tokens per second.
const RATE: ops::RangeInclusive<u64> = 1..=100_000_000;
/// Tokens.
const BURST: ops::RangeInclusive<u64> = 1..=1_000_000_000;
const LOADS_PER_SECOND: ops::RangeInclusive<f64> = 0.01..=1_000.0;
const LOADS_AT_ONCE: ops::RangeInclusive<u64> = 1..=10_000;
const ADAPTERS_AT_ONCE: ops::RangeInclusive<u64> = 1..=100_000;
const QUEUE_MS: ops::RangeInclusive<u64> = 1..=600_000;
const QUEUE_CALLS: ops::RangeInclusive<u64> = 1..=1_000_000;
const MAX_TOKENS: ops::RangeInclusive<u64> = 1..=1_000_000;
const CALLS_PER_ACCELERATOR: ops::RangeInclusive<u64> = 1..=4_096;

/// Applies all rules to `bundle` and returns what they found.
pub(super) fn apply(bundle: &format::Bundle) -> Vec<decode::Defect> {
    let mut rules = Rules::new(bundle);
    rules.check_header();
    rules.check_models();
    rules.check_adapters();
    rules.check_runners();
    rules.check_services();
    rules.check_accounts();
    rules.check_weights();
    rules.check_limits();
    rules.defects
}

/// Builds a path from its parts.
macro_rules! path {
    ($($part:expr),*) => { vec![$($part.to_string()),*] };
}

/// State of the rules while they are applied.
struct Rules<'a> {
    bundle: &'a format::Bundle,
    centres: collections::BTreeSet<&'a str>,
    /// Path of each target seen so far, by name.
    targets: collections::BTreeMap<&'a str, String>,
    /// Path of the target at each address seen so far.
    addresses: collections::BTreeMap<&'a str, String>,
    defects: Vec<decode::Defect>,
}

impl<'a> Rules<'a> {
    fn new(bundle: &'a format::Bundle) -> Self {
        Self {
            bundle,
            centres: bundle.centres.iter().map(ids::Centre::as_str).collect(),
            targets: collections::BTreeMap::new(),
            addresses: collections::BTreeMap::new(),
            defects: Vec::new(),
        }
    }

    fn record(
        &mut self,
        path: Vec<String>,
        problem: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        let (problem, allowed) = (problem.into(), allowed.into());
        self.defects.push(decode::Defect { path, problem, allowed });
    }

    fn check_range<T: Copy + PartialOrd + fmt::Display>(
        &mut self,
        path: Vec<String>,
        value: T,
        range: &ops::RangeInclusive<T>,
        suffix: &str,
    ) {
        if !range.contains(&value) {
            let allowed = format!("{} to {}{suffix}", range.start(), range.end());
            self.record(path, format!("{value} is out of range"), allowed);
        }
    }

    fn check_name(&mut self, path: Vec<String>, name: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if !(1..=NAME_BYTES).contains(&name.len()) || !name.bytes().all(is_allowed) {
            self.record(path, format!("{name:?} is not a name"), NAME_ALLOWED);
        }
    }

    /// Records all but the first of equal names within `list`.
    fn check_unique<'b>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'b str>) {
        let mut first = collections::BTreeMap::new();
        for (index, name) in names.enumerate() {
            let earlier = *first.entry(name).or_insert(index);
            if earlier == index {
                continue;
            }
            let mut path = path![list, index];
            path.extend((!field.is_empty()).then(|| field.to_owned()));
            self.record(
                path,
                format!("{name:?} is already {list}[{earlier}]"),
                "a name of its own",
            );
        }
    }

    fn check_header(&mut self) {
        let bundle = self.bundle;
        if bundle.format != 1 {
            self.record(path!["format"], format!("{} is not known", bundle.format), "1");
        }
        self.check_name(path!["deployment"], &bundle.deployment);
        if bundle.centres.is_empty() {
            self.record(path!["centres"], "is empty", "at least one data centre");
        }
        for (index, centre) in bundle.centres.iter().enumerate() {
            self.check_name(path!["centres", index], centre.as_str());
        }
        self.check_unique("centres", "", bundle.centres.iter().map(ids::Centre::as_str));
    }

    fn check_models(&mut self) {
        let bundle = self.bundle;
        self.check_unique("models", "name", bundle.models.iter().map(|model| model.name.as_str()));
        if bundle.runners.is_empty() && !bundle.models.is_empty() {
            self.record(path!["runners"], "is empty, but there are models", "at least one runner");
        }
        for (index, model) in bundle.models.iter().enumerate() {
            let at = |field: &str| path!["models", index, field];
            self.check_name(at("name"), model.name.as_str());
            self.check_name(at("version"), &model.version);
            self.check_range(at("memory_mib"), model.memory_mib, &MEMORY_MIB, " MiB");
            self.check_range(at("kv_floor_mib"), model.kv_floor_mib, &MEMORY_MIB, " MiB");
            let runners = bundle.runners.len().max(1) as u64;
            let suffix = ", for copies are on different runners";
            self.check_range(at("copies"), model.copies.into(), &(1..=runners), suffix);
        }
    }

    fn check_adapters(&mut self) {
        let bundle = self.bundle;
        let models: collections::BTreeSet<_> =
            bundle.models.iter().map(|model| model.name.as_str()).collect();
        let mut first = collections::BTreeMap::new();
        for (index, adapter) in bundle.adapters.iter().enumerate() {
            let at = |field: &str| path!["adapters", index, field];
            self.check_name(at("name"), adapter.name.as_str());
            self.check_name(at("version"), &adapter.version);
            self.check_range(at("memory_mib"), adapter.memory_mib, &MEMORY_MIB, " MiB");
            let model = adapter.model.as_str();
            if !models.contains(model) {
                let problem = format!("model {model:?} is not in this bundle");
                self.record(at("model"), problem, list_names(&models));
            }
            let earlier = *first.entry((model, adapter.name.as_str())).or_insert(index);
            if earlier != index {
                let problem = format!("{model}:{} is already adapters[{earlier}]", adapter.name);
                self.record(at("name"), problem, "a name of its own beside its model");
            }
        }
    }

    fn check_runners(&mut self) {
        for (index, runner) in self.bundle.runners.iter().enumerate() {
            let at = |field: &str| path!["runners", index, field];
            let here = path!["runners", index];
            self.check_target(&here, &runner.name, &runner.centre, &runner.address);
            self.check_range(at("accelerators"), runner.accelerators.into(), &ACCELERATORS, "");
            self.check_range(at("memory_mib"), runner.memory_mib, &MEMORY_MIB, " MiB");
            self.check_range(at("power"), runner.power, &POWER, "");
        }
    }

    /// Checks the fields that runners and instances of services share.
    fn check_target(
        &mut self,
        path: &[String],
        name: &'a ids::Target,
        centre: &ids::Centre,
        address: &'a str,
    ) {
        let at = |field: &str| [path, &[field.to_owned()]].concat();
        let here = super::fault::format_path(path);
        self.check_name(at("name"), name.as_str());
        if let Some(other) = self.targets.insert(name.as_str(), here.clone()) {
            let problem = format!("target {name:?} is already {other}", name = name.as_str());
            self.record(at("name"), problem, "a name of its own");
        }
        if !self.centres.contains(centre.as_str()) {
            let problem = format!("data centre {:?} is not in this bundle", centre.as_str());
            self.record(at("centre"), problem, list_names(&self.centres));
        }
        let parsed = address.parse::<net::SocketAddr>();
        if !parsed.is_ok_and(|address| address.port() != 0 && !address.ip().is_unspecified()) {
            let problem = format!("{address:?} is not an address");
            self.record(at("address"), problem, "IP number and port, such as 10.1.2.3:8000");
            return;
        }
        if let Some(other) = self.addresses.insert(address, here) {
            let problem = format!("{address} is already the address of {other}");
            self.record(at("address"), problem, "an address of its own");
        }
    }

    fn check_services(&mut self) {
        let bundle = self.bundle;
        self.check_unique(
            "services",
            "name",
            bundle.services.iter().map(|item| item.name.as_str()),
        );
        for (index, service) in bundle.services.iter().enumerate() {
            let at = |field: &str| path!["services", index, field];
            self.check_name(at("name"), service.name.as_str());
            if service.targets.is_empty() {
                self.record(at("targets"), "is empty", "at least one instance");
            }
            if service.routes.is_empty() {
                self.record(at("routes"), "is empty", "at least one route");
            }
            for (number, instance) in service.targets.iter().enumerate() {
                let path = path!["services", index, "targets", number];
                self.check_target(&path, &instance.name, &instance.centre, &instance.address);
            }
            self.check_routes(index, &service.routes);
        }
    }

    fn check_routes(&mut self, service: usize, routes: &[format::Route]) {
        for (number, route) in routes.iter().enumerate() {
            let at = |field: &str| path!["services", service, "routes", number, field];
            let path = &route.path;
            let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
            if !path.starts_with('/') || !path.bytes().all(is_allowed) {
                let allowed = "a beginning of a path, with its leading slash, without query";
                self.record(at("path"), format!("{path:?} is not a path"), allowed);
            }
            let shadowing =
                routes[..number].iter().position(|other| path.starts_with(&*other.path));
            if let Some(earlier) = shadowing {
                let problem = format!("is never reached, for routes[{earlier}] takes its calls");
                self.record(at("path"), problem, "the longer path before the shorter one");
            }
            if route.open && !route.repeatable {
                let problem = "an open route can't be kept from running twice, \
                               for idempotency keys belong to an account";
                self.record(at("open"), problem, "open with repeatable: true");
            }
            self.check_range(at("cost"), route.cost, &COST, " tokens");
        }
    }

    fn check_accounts(&mut self) {
        let bundle = self.bundle;
        self.check_unique(
            "accounts",
            "name",
            bundle.accounts.iter().map(|item| item.name.as_str()),
        );
        let routes = bundle.services.iter().flat_map(|service| &service.routes);
        let cost = routes.filter(|route| !route.open).map(|route| route.cost).max();
        let mut keys = collections::BTreeMap::new();
        for (index, account) in bundle.accounts.iter().enumerate() {
            let at = |field: &str| path!["accounts", index, field];
            self.check_name(at("name"), account.name.as_str());
            self.check_range(at("rate"), account.rate, &RATE, " tokens a second");
            self.check_range(at("burst"), account.burst, &BURST, " tokens");
            let models = (!bundle.models.is_empty()).then_some(bundle.limits.max_tokens);
            let largest = cost.max(models).unwrap_or_default();
            if account.burst < largest {
                let problem = format!("{} is less than the largest call", account.burst);
                let allowed = format!(
                    "{largest} tokens or more: limits.max_tokens and the largest cost of a route"
                );
                self.record(at("burst"), problem, allowed);
            }
            for (number, key) in account.keys.iter().enumerate() {
                let path = path!["accounts", index, "keys", number, "id"];
                self.check_key(path, key.id.as_str(), &mut keys);
            }
        }
    }

    fn check_key(
        &mut self,
        path: Vec<String>,
        id: &'a str,
        keys: &mut collections::BTreeMap<&'a str, String>,
    ) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        if !(1..=NAME_BYTES).contains(&id.len()) || !id.bytes().all(is_allowed) {
            self.record(path, format!("{id:?} is not the id of a key"), KEY_ALLOWED);
            return;
        }
        if let Some(other) = keys.insert(id, super::fault::format_path(&path)) {
            self.record(path, format!("{id:?} is already {other}"), "an id of its own");
        }
    }

    fn check_weights(&mut self) {
        let weights = &self.bundle.weights;
        let at = |field: &str| path!["weights", field];
        let rate = weights.loads_per_second;
        self.check_range(at("loads_per_second"), rate, &LOADS_PER_SECOND, " loads a second");
        self.check_range(
            at("loads_at_once"),
            weights.loads_at_once.into(),
            &LOADS_AT_ONCE,
            " loads",
        );
        let adapters = weights.adapters_at_once.into();
        self.check_range(at("adapters_at_once"), adapters, &ADAPTERS_AT_ONCE, " loads");
    }

    fn check_limits(&mut self) {
        let limits = &self.bundle.limits;
        let at = |field: &str| path!["limits", field];
        self.check_range(at("queue_ms"), limits.queue_ms, &QUEUE_MS, " ms");
        self.check_range(at("queue_calls"), limits.queue_calls as u64, &QUEUE_CALLS, " calls");
        self.check_range(at("max_tokens"), limits.max_tokens, &MAX_TOKENS, " tokens");
        let calls = limits.calls_per_accelerator.into();
        self.check_range(at("calls_per_accelerator"), calls, &CALLS_PER_ACCELERATOR, " calls");
    }
}

/// Formats the names that a reference may use.
fn list_names(names: &collections::BTreeSet<&str>) -> String {
    let names: Vec<_> = names.iter().copied().collect();
    names.join(", ")
}
