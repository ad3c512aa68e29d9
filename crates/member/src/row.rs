//! Encoding of the head as rows of the table service.
//!
//! The members and witnesses are stored in a second row, the roster, which is
//! written in the same transaction, so both rows always have the same version.
//! Polling reads only the small head row; the roster is read when the version
//! has changed.

use std::sync;

use crate::head;

/// Key of the head row, which omits members and witnesses.
pub const HEAD_KEY: &str = "head";

/// Key of the roster row, which holds members and witnesses.
pub const ROSTER_KEY: &str = "roster";

/// Key prefix of the history rows.
pub const HISTORY: &str = "history/";

/// Contents of the roster row.
#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Roster {
    prior: Vec<head::Quorum>,
    members: Vec<head::Member>,
    witnesses: Vec<ids::Vm>,
}

/// The transaction that replaces the predecessor of `head` with `head`.
#[must_use]
pub fn write_request(head: &head::Head) -> store::table::Request {
    let expect = head.version.get().checked_sub(1).filter(|base| *base > 0);
    let expect = expect.map(ids::Version::new);
    let roster = Roster {
        prior: head.prior.clone(),
        members: head.members.clone(),
        witnesses: head.witnesses.clone(),
    };
    let head_row = head::Head {
        prior: Vec::new(),
        members: Vec::new(),
        witnesses: Vec::new(),
        ..head.clone()
    };
    let row = |key: &str, value: String| store::table::Write {
        key: key.into(),
        expect,
        value: Some(value.into()),
    };
    store::table::Request::Write {
        writes: vec![
            row(HEAD_KEY, encode(&head_row)),
            row(ROSTER_KEY, encode(&roster)),
            history_entry(head),
        ],
    }
}

/// The row that permanently records what `head` has in force.
fn history_entry(head: &head::Head) -> store::table::Write {
    let entry = bundle::history::Entry {
        version: head.version,
        bundle: head.bundle,
        amendments: head.amendments,
    };
    store::table::Write {
        key: history_key(head.version),
        expect: None,
        value: Some(encode(&entry).into()),
    }
}

/// Key of a version's history row; later versions sort first.
fn history_key(version: ids::Version) -> sync::Arc<str> {
    format!("{HISTORY}{:016x}", u64::MAX - version.get()).into()
}

/// The request that reads the newest `limit` rows of the history.
#[must_use]
pub fn history_request(limit: usize) -> store::table::Request {
    store::table::Request::Scan { prefix: HISTORY.into(), after: None, limit }
}

/// Decodes history rows, newest last. Rows that cannot be decoded are skipped.
#[must_use]
pub fn history_entries(rows: &[store::table::Row]) -> Vec<bundle::history::Entry> {
    rows.iter().rev().filter_map(|row| decode(&row.value)).collect()
}

/// The request that reads one row.
#[must_use]
pub fn get_request(key: &str) -> store::table::Request {
    store::table::Request::Get { key: key.into() }
}

/// Decodes the head row; members and witnesses are left empty. `None` if the
/// row cannot be decoded.
#[must_use]
pub fn decode_head(row: &store::table::Row) -> Option<head::Head> {
    let head: head::Head = decode(&row.value)?;
    Some(head::Head { version: row.version, ..head })
}

/// Completes a decoded head row with the roster. `None` if the versions differ
/// or the roster cannot be decoded.
#[must_use]
pub fn join_roster(head: head::Head, roster: &store::table::Row) -> Option<head::Head> {
    if roster.version != head.version {
        return None;
    }
    let roster: Roster = decode(&roster.value)?;
    Some(head::Head {
        prior: roster.prior,
        members: roster.members,
        witnesses: roster.witnesses,
        ..head
    })
}

/// The stored head, from the rows that a conflicting transaction returned.
#[must_use]
pub fn from_conflict(rows: &[store::table::Conflict]) -> Option<head::Head> {
    let find = |key: &str| {
        let conflict = rows.iter().find(|conflict| &*conflict.key == key)?;
        conflict.row.as_ref()
    };
    join_roster(decode_head(find(HEAD_KEY)?)?, find(ROSTER_KEY)?)
}

fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn decode<T: serde::de::DeserializeOwned>(text: &sync::Arc<str>) -> Option<T> {
    serde_json::from_str(text).ok()
}
