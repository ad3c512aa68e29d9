//! The head as rows of the table service.
//!
//! The members are kept in a row of their own that is written in the same
//! transaction, so that both rows always have the same version. Polling reads
//! only the small row; the members are read when its version has changed.

use std::sync;

use crate::head;

/// Key of the small row.
pub const HEAD_KEY: &str = "head";

/// Key of the row with the members and witnesses.
pub const ROSTER_KEY: &str = "roster";

/// What the keys of the history's rows begin with.
pub const HISTORY: &str = "history/";

/// Who serves.
#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Roster {
    prior: Vec<head::Quorum>,
    members: Vec<head::Member>,
    witnesses: Vec<ids::Vm>,
}

/// The transaction that makes `head` out of its predecessor.
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

/// The row that keeps for good what `head` has in force.
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

/// Key of a version's row in the history; later versions come first.
fn history_key(version: ids::Version) -> sync::Arc<str> {
    format!("{HISTORY}{:016x}", u64::MAX - version.get()).into()
}

/// The request that reads the newest `limit` rows of the history.
#[must_use]
pub fn history_request(limit: usize) -> store::table::Request {
    store::table::Request::Scan { prefix: HISTORY.into(), after: None, limit }
}

/// The entries of the history, the newest last.
#[must_use]
pub fn history_entries(rows: &[store::table::Row]) -> Vec<bundle::history::Entry> {
    rows.iter().rev().filter_map(|row| decode(&row.value)).collect()
}

/// The request that reads one of the rows.
#[must_use]
pub fn get_request(key: &str) -> store::table::Request {
    store::table::Request::Get { key: key.into() }
}

/// Reads the small row; its members are still missing.
#[must_use]
pub fn decode_head(row: &store::table::Row) -> Option<head::Head> {
    let head: head::Head = decode(&row.value)?;
    Some(head::Head { version: row.version, ..head })
}

/// Puts both rows together, unless they are of different versions.
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

/// The head as a refused transaction reports it.
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
