//! Reading and writing the rows of the ledger.

use std::{collections, sync, time};

use store::table;

use crate::{
    ledger::{self, Ledger},
    planner::{Output, Planner},
};

/// Rows that are read at once.
const PAGE: usize = 200;

/// A request to the table service that awaits its answer.
#[derive(Debug)]
pub(crate) enum Asked {
    Scan { started: ids::Time, seen: collections::BTreeSet<ids::Target> },
    Get { target: ids::Target, at: ids::Time },
    Write { rows: Vec<(ids::Target, Ledger)>, at: ids::Time },
}

/// When rows are read.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    pub(crate) busy: bool,
    pub(crate) done: Option<ids::Time>,
}

impl Planner {
    pub(crate) fn read_rows(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        let wait = time::Duration::from_millis(self.config.scan_ms);
        let due = self.scan.done.is_none_or(|done| now.since(done) >= wait);
        if self.leads && due && !self.scan.busy {
            self.scan_from(now, collections::BTreeSet::new(), None, out);
        }
        let doubtful: Vec<_> = self
            .views
            .iter()
            .filter(|(_, view)| !view.known && view.busy.is_none() && view.version.is_some())
            .map(|(target, _)| target.clone())
            .collect();
        for target in doubtful {
            let request = table::Request::Get { key: Ledger::key(&target) };
            let asked = Asked::Get { target: target.clone(), at: now };
            let op = self.ask(asked, request, out);
            if let Some(view) = self.views.get_mut(&target) {
                view.busy = Some(op);
            }
        }
    }

    fn scan_from(
        &mut self,
        started: ids::Time,
        seen: collections::BTreeSet<ids::Target>,
        after: Option<sync::Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        self.scan.busy = true;
        let request =
            table::Request::Scan { prefix: ledger::KEY_PREFIX.into(), after, limit: PAGE };
        self.ask(Asked::Scan { started, seen }, request, out);
    }

    pub(crate) fn scanned(
        &mut self,
        now: ids::Time,
        started: ids::Time,
        mut seen: collections::BTreeSet<ids::Target>,
        result: store::Result<table::Answer>,
        out: &mut Vec<Output>,
    ) {
        self.scan.busy = false;
        let Ok(table::Answer::Rows(rows)) = result else {
            return;
        };
        let last = rows.last().map(|row| sync::Arc::clone(&row.key));
        let full = rows.len() >= PAGE;
        for row in rows {
            let target = ids::Target::from(&row.key[ledger::KEY_PREFIX.len()..]);
            self.learn(now, started, &target, Some(&row));
            seen.insert(target);
        }
        if full {
            return self.scan_from(started, seen, last, out);
        }
        self.scan.done = Some(started);
        let missing: Vec<_> =
            self.views.keys().filter(|name| !seen.contains(*name)).cloned().collect();
        for target in missing {
            self.learn(now, started, &target, None);
        }
    }

    /// Takes in a row that was asked for at `asked`, unless it is older than what is known.
    fn learn(
        &mut self,
        now: ids::Time,
        asked: ids::Time,
        target: &ids::Target,
        row: Option<&table::Row>,
    ) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        let version = row.map(|row| row.version);
        if view.busy.is_some() || version < view.version {
            return;
        }
        let read = row.map_or_else(|| Ok(Ledger::default()), |row| Ledger::from_json(&row.value));
        match read {
            Ok(ledger) => view.learn(now, asked, version, ledger),
            Err(_) => view.known = false,
        }
    }

    pub(crate) fn got(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        at: ids::Time,
        result: store::Result<table::Answer>,
    ) {
        if let Some(view) = self.views.get_mut(target) {
            view.busy = None;
        }
        if let Ok(table::Answer::Row(row)) = result {
            self.learn(now, at, target, row.as_ref());
        }
    }

    pub(crate) fn wrote(
        &mut self,
        now: ids::Time,
        rows: Vec<(ids::Target, Ledger)>,
        at: ids::Time,
        result: store::Result<table::Answer>,
    ) {
        for (target, _) in &rows {
            if let Some(view) = self.views.get_mut(target) {
                view.busy = None;
            }
        }
        match result {
            Ok(table::Answer::Written) => {
                for (target, ledger) in rows {
                    if let Some(view) = self.views.get_mut(&target) {
                        let version = view.version.unwrap_or_default().next();
                        view.learn(now, at, Some(version), ledger);
                    }
                }
            }
            Err(fault) if fault.kind == store::Kind::Refused => self.forget(&rows),
            _ => {
                for (target, _) in &rows {
                    if let Some(view) = self.views.get_mut(target) {
                        view.in_doubt = true;
                        view.doubt();
                    }
                }
            }
        }
    }

    /// Forgets a write that had no effect.
    fn forget(&mut self, rows: &[(ids::Target, Ledger)]) {
        for (target, _) in rows {
            if let Some(view) = self.views.get_mut(target) {
                view.intended = None;
            }
        }
    }

    /// Writes the drafts that differ from their rows, linked ones in one transaction.
    pub(crate) fn write(
        &mut self,
        now: ids::Time,
        mut drafts: collections::BTreeMap<ids::Target, Ledger>,
        links: &[(ids::Target, ids::Target)],
        out: &mut Vec<Output>,
    ) {
        let changed: Vec<_> = drafts
            .iter()
            .filter(|(target, draft)| self.is_changed(target, draft))
            .map(|(target, _)| target.clone())
            .collect();
        for target in changed {
            let group = linked(&target, links);
            let rows: Vec<_> =
                group.into_iter().filter_map(|name| drafts.remove_entry(&name)).collect();
            if !rows.is_empty() {
                self.write_rows(now, rows, out);
            }
        }
    }

    fn is_changed(&self, target: &ids::Target, draft: &Ledger) -> bool {
        let Some(view) = self.views.get(target) else {
            return false;
        };
        let founds = view.version.is_none() && view.is_founded_by_report();
        founds || (view.version.is_some() && (view.in_doubt || view.ledger != *draft))
    }

    fn write_rows(
        &mut self,
        now: ids::Time,
        rows: Vec<(ids::Target, Ledger)>,
        out: &mut Vec<Output>,
    ) {
        let writes = rows
            .iter()
            .map(|(target, ledger)| table::Write {
                key: Ledger::key(target),
                expect: self.views.get(target).and_then(|view| view.version),
                value: Some(ledger.to_json()),
            })
            .collect();
        let intended = rows.clone();
        let asked = Asked::Write { rows, at: now };
        let op = self.ask(asked, table::Request::Write { writes }, out);
        for (target, ledger) in intended {
            if let Some(view) = self.views.get_mut(&target) {
                view.busy = Some(op);
                view.intended = Some(ledger);
            }
        }
    }
}

/// The rows that must change together with that of `target`.
fn linked(
    target: &ids::Target,
    links: &[(ids::Target, ids::Target)],
) -> collections::BTreeSet<ids::Target> {
    let mut group = collections::BTreeSet::from([target.clone()]);
    loop {
        let before = group.len();
        for (one, other) in links {
            if group.contains(one) || group.contains(other) {
                group.insert(one.clone());
                group.insert(other.clone());
            }
        }
        if group.len() == before {
            return group;
        }
    }
}
