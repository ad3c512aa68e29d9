//! Tally the requests of one idle VM to the platform and the runners over a
//! minute, and measures the memory of its tables.
//!
//! The other members send nothing; traffic between members is counted by the
//! crate `member`. Bytes are those of the bodies, without HTTP headers.

mod fleet;

use std::fs;

use fleet::{Fleet, SIZES};
use node::Output;

/// Length of the run, in seconds of virtual time.
const SECONDS: u64 = 60;

#[derive(Debug, Default)]
struct Tally {
    table_reads: u64,
    table_scans: u64,
    table_writes: u64,
    reports: u64,
    lists: u64,
    peer_messages: u64,
    peer_bytes: u64,
}

impl Tally {
    fn count(&mut self, output: &Output) {
        match output {
            Output::Table { request: store::table::Request::Get { .. }, .. } => {
                self.table_reads += 1;
            }
            Output::Table { request: store::table::Request::Scan { .. }, .. } => {
                self.table_scans += 1;
            }
            Output::Table { request: store::table::Request::Write { .. }, .. } => {
                self.table_writes += 1;
            }
            Output::Report { .. } => self.reports += 1,
            Output::Vms { .. } => self.lists += 1,
            Output::Peer { message, .. } => {
                let frame = wire::Frame { incarnation: 1, message };
                self.peer_messages += 1;
                self.peer_bytes += wire::encode(&frame).map_or(0, |bytes| bytes.len() as u64);
            }
            _ => {}
        }
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|word| word.parse().ok()).unwrap_or_default()
}

fn main() {
    for (members, runners, models) in SIZES {
        let before = resident_kib();
        let mut fleet = Fleet::new(members, runners, models);
        let tables = resident_kib() - before;
        let mut tally = Tally::default();
        for _ in 0..SECONDS * 100 {
            fleet.now += 10;
            fleet.step([]);
            fleet.outputs.iter().for_each(|output| tally.count(output));
        }
        let report = serde_json::to_vec(&fleet::report(1, models, runners).1).unwrap().len();
        println!("{members} members, {runners} runners, {models} models in {SECONDS} s:");
        println!("  {tally:?}");
        println!("  tables {tables} KiB resident, one report {report} bytes");
    }
}
