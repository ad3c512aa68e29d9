//! Reading and writing the rows of the ledger.

use std::{collections, sync, time};

use store::table;

use crate::{
    ledger::{self, Ledger},
    planner::{Output, Planner},
};

/// Largest number of rows in one page of a scan.
const PAGE_ROWS: usize = 200;

/// A request to the table service whose answer is outstanding.
#[derive(Debug)]
pub(crate) enum Operation {
    /// One page of a scan; `listed` are the targets on earlier pages.
    Scan {
        started: ids::Time,
        listed: collections::BTreeSet<ids::Target>,
    },
    Get {
        target: ids::Target,
        sent: ids::Time,
    },
    Write {
        rows: Vec<(ids::Target, Ledger)>,
        sent: ids::Time,
    },
}

/// State of the periodic scan of all rows.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    pub(crate) in_flight: bool,
    /// When the last complete scan was started.
    pub(crate) completed: Option<ids::Time>,
}

impl Planner {
    /// Starts a scan if one is due, and reads the rows whose state is unknown.
    pub(crate) fn read_rows(&mut self, now: ids::Time, out: &mut Vec<Output>) {
        let wait = time::Duration::from_millis(self.config.scan_ms);
        let due = self.scan.completed.is_none_or(|completed| now.since(completed) >= wait);
        if self.leads && due && !self.scan.in_flight {
            self.scan_from(now, collections::BTreeSet::new(), None, out);
        }
        let unknown: Vec<_> = self
            .views
            .iter()
            .filter(|(_, view)| !view.known && view.in_flight.is_none() && view.version.is_some())
            .map(|(target, _)| target.clone())
            .collect();
        for target in unknown {
            let request = table::Request::Get { key: Ledger::key(&target) };
            let pending = Operation::Get { target: target.clone(), sent: now };
            let op = self.send_request(pending, request, out);
            if let Some(view) = self.views.get_mut(&target) {
                view.in_flight = Some(op);
            }
        }
    }

    fn scan_from(
        &mut self,
        started: ids::Time,
        listed: collections::BTreeSet<ids::Target>,
        after: Option<sync::Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        self.scan.in_flight = true;
        let request =
            table::Request::Scan { prefix: ledger::KEY_PREFIX.into(), after, limit: PAGE_ROWS };
        self.send_request(Operation::Scan { started, listed }, request, out);
    }

    /// Handles one page of a scan and requests the next one if the page is full.
    pub(crate) fn handle_scanned(
        &mut self,
        now: ids::Time,
        started: ids::Time,
        mut listed: collections::BTreeSet<ids::Target>,
        result: store::Result<table::Answer>,
        out: &mut Vec<Output>,
    ) {
        self.scan.in_flight = false;
        let Ok(table::Answer::Rows(rows)) = result else {
            return;
        };
        let last = rows.last().map(|row| sync::Arc::clone(&row.key));
        let full = rows.len() >= PAGE_ROWS;
        for row in rows {
            let target = ids::Target::from(&row.key[ledger::KEY_PREFIX.len()..]);
            self.update_view(now, started, &target, Some(&row));
            listed.insert(target);
        }
        if full {
            return self.scan_from(started, listed, last, out);
        }
        self.scan.completed = Some(started);
        let missing: Vec<_> =
            self.views.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for target in missing {
            self.update_view(now, started, &target, None);
        }
    }

    /// Updates the view of a runner from a row that was requested at `sent`.
    ///
    /// The row is ignored if it is older than the view or if an operation on it
    /// is in flight.
    fn update_view(
        &mut self,
        now: ids::Time,
        sent: ids::Time,
        target: &ids::Target,
        row: Option<&table::Row>,
    ) {
        let Some(view) = self.views.get_mut(target) else {
            return;
        };
        let version = row.map(|row| row.version);
        if view.in_flight.is_some() || version < view.version {
            return;
        }
        let read = row.map_or_else(|| Ok(Ledger::default()), |row| Ledger::from_json(&row.value));
        match read {
            Ok(ledger) => view.update(now, sent, version, ledger),
            Err(_) => view.known = false,
        }
    }

    pub(crate) fn handle_row(
        &mut self,
        now: ids::Time,
        target: &ids::Target,
        sent: ids::Time,
        result: store::Result<table::Answer>,
    ) {
        if let Some(view) = self.views.get_mut(target) {
            view.in_flight = None;
        }
        if let Ok(table::Answer::Row(row)) = result {
            self.update_view(now, sent, target, row.as_ref());
        }
    }

    /// Handles the outcome of a write; after an unknown one the rows are read again.
    pub(crate) fn handle_written(
        &mut self,
        now: ids::Time,
        rows: Vec<(ids::Target, Ledger)>,
        sent: ids::Time,
        result: store::Result<table::Answer>,
    ) {
        for (target, _) in &rows {
            if let Some(view) = self.views.get_mut(target) {
                view.in_flight = None;
            }
        }
        match result {
            Ok(table::Answer::Written) => {
                for (target, ledger) in rows {
                    if let Some(view) = self.views.get_mut(&target) {
                        let version = view.version.unwrap_or_default().next();
                        view.update(now, sent, Some(version), ledger);
                    }
                }
            }
            Err(fault) if fault.kind == store::Kind::Refused => self.discard_write(&rows),
            _ => {
                for (target, _) in &rows {
                    if let Some(view) = self.views.get_mut(target) {
                        view.in_doubt = true;
                        view.mark_unknown();
                    }
                }
            }
        }
    }

    /// Discards the intended rows of a write that had no effect.
    fn discard_write(&mut self, rows: &[(ids::Target, Ledger)]) {
        for (target, _) in rows {
            if let Some(view) = self.views.get_mut(target) {
                view.intended = None;
            }
        }
    }

    /// Writes the drafts that differ from their rows; linked rows in one transaction.
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
            let group = linked_targets(&target, links);
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
        let is_new = view.version.is_none() && view.has_report_since_read();
        is_new || (view.version.is_some() && (view.in_doubt || view.ledger != *draft))
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
        let pending = Operation::Write { rows, sent: now };
        let op = self.send_request(pending, table::Request::Write { writes }, out);
        for (target, ledger) in intended {
            if let Some(view) = self.views.get_mut(&target) {
                view.in_flight = Some(op);
                view.intended = Some(ledger);
            }
        }
    }
}

/// The targets whose rows must change together with that of `target`.
fn linked_targets(
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
