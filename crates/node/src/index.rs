//! What is in force: a bundle and its amendments, indexed for look-ups.

use std::{collections, sync};

use bundle::{amend, format, key};

/// A bundle and its amendments, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct Index {
    /// Version of the head that put it in force.
    pub version: ids::Version,
    /// The bundle.
    pub bundle: sync::Arc<bundle::Bundle>,
    /// The amendments.
    pub amendments: sync::Arc<bundle::Amendments>,
    accounts: collections::BTreeMap<ids::Account, format::Account>,
    keys: collections::BTreeMap<ids::Key, amend::Issue>,
    items: collections::BTreeSet<sync::Arc<str>>,
}

/// A route of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// The service.
    pub service: &'a format::Service,
    /// The route.
    pub route: &'a format::Route,
}

impl Index {
    /// Indexes what the head's version `version` names.
    #[must_use]
    pub fn new(
        version: ids::Version,
        bundle: sync::Arc<bundle::Bundle>,
        amendments: sync::Arc<bundle::Amendments>,
    ) -> Self {
        let accounts = bundle.accounts.iter().map(|row| (row.name.clone(), row.clone())).collect();
        let keys = admitted_keys(&bundle, &amendments);
        let items = item_names(&bundle);
        Self { version, bundle, amendments, accounts, keys, items }
    }

    /// The account whose key was presented, unless it is unknown or withdrawn.
    #[must_use]
    pub fn authenticate(&self, presented: &key::Presented) -> Option<&format::Account> {
        let issue = self.keys.get(&presented.id)?;
        if !issue.key.matches(presented) {
            return None;
        }
        self.accounts.get(&issue.account)
    }

    /// An account.
    #[must_use]
    pub fn account(&self, name: &ids::Account) -> Option<&format::Account> {
        self.accounts.get(name)
    }

    /// Whether a key was ever issued under this bundle and its amendments.
    #[must_use]
    pub fn knows_key(&self, key: &ids::Key) -> bool {
        self.keys.contains_key(key) || self.amendments.withdrawn.contains(key)
    }

    /// Whether a target is in the bundle.
    #[must_use]
    pub fn has_target(&self, target: &ids::Target) -> bool {
        let runners = self.bundle.runners.iter().map(|runner| &runner.name);
        let instances = self.bundle.services.iter().flat_map(|service| &service.targets);
        runners.chain(instances.map(|instance| &instance.name)).any(|name| name == target)
    }

    /// Whether `item` (`MODEL` or `MODEL:ADAPTER`) is in the bundle.
    #[must_use]
    pub fn has_item(&self, item: &str) -> bool {
        self.items.contains(item)
    }

    /// All models and adapters, as callers name them, sorted.
    pub fn items(&self) -> impl Iterator<Item = &sync::Arc<str>> {
        self.items.iter()
    }

    /// The service `name`, if it is in the bundle.
    #[must_use]
    pub fn service(&self, name: &ids::Service) -> Option<&format::Service> {
        self.bundle.services.iter().find(|service| service.name == *name)
    }

    /// The first route of `service` whose path is a whole-segment prefix of `path`.
    #[must_use]
    pub fn route(&self, service: &ids::Service, path: &str) -> Option<Route<'_>> {
        let service = self.service(service)?;
        let route = service.routes.iter().find(|route| is_path_prefix(&route.path, path))?;
        Some(Route { service, route })
    }
}

/// Whether `path` is `prefix` or lies below it.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

fn admitted_keys(
    bundle: &bundle::Bundle,
    amendments: &bundle::Amendments,
) -> collections::BTreeMap<ids::Key, amend::Issue> {
    let declared = bundle.accounts.iter().flat_map(|account| {
        let name = &account.name;
        account.keys.iter().map(|key| amend::Issue { account: name.clone(), key: key.clone() })
    });
    declared
        .chain(amendments.issued.iter().cloned())
        .filter(|issue| !amendments.withdrawn.contains(&issue.key.id))
        .map(|issue| (issue.key.id.clone(), issue))
        .collect()
}

fn item_names(bundle: &bundle::Bundle) -> collections::BTreeSet<sync::Arc<str>> {
    let models = bundle.models.iter().map(|model| sync::Arc::from(model.name.as_str()));
    let adapters = bundle
        .adapters
        .iter()
        .map(|adapter| sync::Arc::from(format!("{}:{}", adapter.model, adapter.name)));
    models.chain(adapters).collect()
}
