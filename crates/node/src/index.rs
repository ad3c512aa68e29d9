//! The bundle in force and its amendments, indexed for look-ups.

use std::{collections, sync};

use bundle::{amend, format, key};

/// A bundle and its amendments, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct Index {
    /// Version of the head that names the bundle.
    pub version: ids::Version,
    /// The bundle, as it was signed.
    pub bundle: sync::Arc<bundle::Bundle>,
    /// Changes made by operators since the bundle was signed.
    pub amendments: sync::Arc<bundle::Amendments>,
    accounts: collections::BTreeMap<ids::Account, format::Account>,
    keys: collections::BTreeMap<ids::Key, amend::Issue>,
    items: collections::BTreeSet<sync::Arc<str>>,
}

/// A route of a plain service, together with its service.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Service that the route belongs to.
    pub service: &'a format::Service,
    /// Route as the bundle declares it.
    pub route: &'a format::Route,
}

impl Index {
    /// Indexes the bundle and amendments of version `version` of the head.
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

    /// Returns the account of a presented key, or none if the key is unknown or withdrawn.
    #[must_use]
    pub fn authenticate(&self, presented: &key::Presented) -> Option<&format::Account> {
        let issue = self.keys.get(&presented.id)?;
        if !issue.key.matches(presented) {
            return None;
        }
        self.accounts.get(&issue.account)
    }

    /// Returns the account `name`, if the bundle declares it.
    #[must_use]
    pub fn account(&self, name: &ids::Account) -> Option<&format::Account> {
        self.accounts.get(name)
    }

    /// Whether a key was ever issued under this bundle and its amendments.
    #[must_use]
    pub fn knows_key(&self, key: &ids::Key) -> bool {
        self.keys.contains_key(key) || self.amendments.withdrawn.contains(key)
    }

    /// Whether the bundle declares `target`, as a runner or a service instance.
    #[must_use]
    pub fn has_target(&self, target: &ids::Target) -> bool {
        let runners = self.bundle.runners.iter().map(|runner| &runner.name);
        let instances = self.bundle.services.iter().flat_map(|service| &service.targets);
        runners.chain(instances.map(|instance| &instance.name)).any(|name| name == target)
    }

    /// Whether the bundle declares `item` (`MODEL` or `MODEL:ADAPTER`).
    #[must_use]
    pub fn has_item(&self, item: &str) -> bool {
        self.items.contains(item)
    }

    /// Returns the names of all models and adapters (`MODEL` or `MODEL:ADAPTER`), sorted.
    pub fn items(&self) -> impl Iterator<Item = &sync::Arc<str>> {
        self.items.iter()
    }

    /// Returns the service `name`, if the bundle declares it.
    #[must_use]
    pub fn service(&self, name: &ids::Service) -> Option<&format::Service> {
        self.bundle.services.iter().find(|service| service.name == *name)
    }

    /// Returns the first route of `service` whose path is a whole-segment prefix of `path`.
    #[must_use]
    pub fn route(&self, service: &ids::Service, path: &str) -> Option<Route<'_>> {
        let service = self.service(service)?;
        let route = service.routes.iter().find(|route| is_path_prefix(&route.path, path))?;
        Some(Route { service, route })
    }
}

/// Whether `prefix` equals `path` or is a prefix of it that ends at a segment.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Returns the keys of the bundle and the amendments, without withdrawn ones.
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
