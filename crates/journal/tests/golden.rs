//! Golden tests of sessions with two VMs over one table.
//!
//! A line of a session is a comment (`#`), a step (`@MS ...`) or an output of a
//! VM (indented). With `UPDATE_SESSIONS=1` in the environment, the files are
//! regenerated from their steps.
//!
//! Steps: `VM begin CALL KEY BODY`, `VM answered CALL TEXT`, `VM lost CALL`,
//! `VM unsent CALL`, `VM tick`, `VM restart`, and for a transaction of the
//! table service `VM OP take` (takes effect), `take-lose` (takes effect, but the
//! response is lost), `late` (takes effect now, after it was reported lost),
//! `lose` (no effect yet, response lost) and `refuse`.

#[path = "world/memory.rs"]
mod memory;

use std::{collections, env, fmt::Write as _, fs, path};

use store::table;

/// Operation ids are shown without their highest byte, the namespace.
const OP_MASK: u64 = (1 << 56) - 1;

struct Session {
    table: memory::Table,
    vms: collections::BTreeMap<String, (journal::Journal, u64)>,
    writes: collections::BTreeMap<(String, u64), (ids::Op, Vec<table::Write>)>,
    text: String,
}

fn journal(vm: &str, incarnation: u64) -> journal::Journal {
    let incarnation = ids::Incarnation::new(incarnation);
    journal::Journal::new(journal::Config::new(vm.into(), incarnation, 7))
}

impl Session {
    fn new() -> Self {
        let mut session = Self {
            table: memory::Table::default(),
            vms: collections::BTreeMap::new(),
            writes: collections::BTreeMap::new(),
            text: String::new(),
        };
        for vm in ["vm-1", "vm-2"] {
            session.vms.insert(vm.into(), (journal(vm, 1), 1));
        }
        session.update_members();
        session
    }

    fn update_members(&mut self) {
        let member = |(vm, (_, incarnation)): (&String, &(_, u64))| {
            (ids::Vm::from(vm.as_str()), ids::Incarnation::new(*incarnation))
        };
        let members: Vec<_> = self.vms.iter().map(member).collect();
        for (journal, _) in self.vms.values_mut() {
            journal.set_members(&members);
        }
    }

    fn step(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        let [time, vm, rest @ ..] = &*words else { panic!("{line}") };
        let now = time.strip_prefix('@').unwrap().parse().unwrap();
        let now = ids::Time::from_millis(now);
        let mut out = Vec::new();
        self.perform(now, vm, rest, &mut out);
        for output in out {
            self.show(vm, output);
        }
    }

    fn perform(
        &mut self,
        now: ids::Time,
        vm: &str,
        words: &[&str],
        out: &mut Vec<journal::Output>,
    ) {
        let (journal, incarnation) = self.vms.get_mut(vm).unwrap();
        let call = |id: &str| ids::Call::new(id.parse().unwrap());
        match words {
            ["begin", id, key, body] => {
                let call = journal::Call {
                    call: call(id),
                    account: "mayors".into(),
                    route: "desk/bookings".into(),
                    key: (*key).into(),
                    digest: ids::Digest::of(body.as_bytes()),
                };
                journal.begin(now, call, out);
            }
            ["answered", id, text] => {
                let answer = journal::Answer {
                    status: 200,
                    media: "text/plain".into(),
                    body: text.as_bytes().to_vec().into(),
                };
                journal.store_answer(now, call(id), answer, out);
            }
            ["lost", id] => journal.mark_lost(now, call(id), out),
            ["unsent", id] => journal.release(now, call(id), out),
            ["tick"] => journal.tick(now, out),
            ["restart"] => {
                *incarnation += 1;
                *journal = self::journal(vm, *incarnation);
                self.update_members();
            }
            [op, outcome] => self.transact(now, vm, op.parse().unwrap(), outcome, out),
            _ => panic!("{words:?}"),
        }
    }

    fn transact(
        &mut self,
        now: ids::Time,
        vm: &str,
        op: u64,
        outcome: &str,
        out: &mut Vec<journal::Output>,
    ) {
        let (op, writes) = &self.writes[&(vm.to_owned(), op)];
        let fault = |kind| Err(store::Fault::new("write", "table", kind, "session"));
        let result = match outcome {
            "take" => Ok(self.table.write(writes)),
            "take-lose" => {
                self.table.write(writes);
                fault(store::Kind::Unknown)
            }
            "late" => {
                self.table.write(writes);
                return;
            }
            "lose" => fault(store::Kind::Unknown),
            "refuse" => fault(store::Kind::Refused),
            _ => panic!("{outcome}"),
        };
        self.vms.get_mut(vm).unwrap().0.handle_table_answer(now, *op, result, out);
    }

    fn show(&mut self, vm: &str, output: journal::Output) {
        let line = match output {
            journal::Output::Table { op, request } => {
                let table::Request::Write { writes } = request else { panic!("only writes") };
                let short = op.get() & OP_MASK;
                let shown: Vec<_> = writes.iter().map(show_write).collect();
                self.writes.insert((vm.to_owned(), short), (op, writes));
                format!("write {short}: {}", shown.join(", "))
            }
            journal::Output::Send { call } => format!("send {call}"),
            journal::Output::Replay { call, answer } => format!("replay {call} {:?}", answer.body),
            journal::Output::Refuse { call, reason } => format!("refuse {call}: {reason}"),
            journal::Output::Stored { call, durable } => format!("stored {call} durable {durable}"),
            journal::Output::Released { call } => format!("released {call}"),
        };
        writeln!(self.text, "  {vm} {line}").unwrap();
    }
}

fn show_write(write: &table::Write) -> String {
    let row = journal::row::Row::parse(write.value.as_ref().unwrap()).unwrap();
    let over = write.expect.map_or("none".into(), |version| version.to_string());
    let key = &write.key[..journal::row::PREFIX.len() + 4];
    let state = match row.state {
        journal::row::State::Answered(answer) => format!("answered {:?}", answer.body),
        state => format!("{state:?}").to_lowercase(),
    };
    format!("{key} {state} over {over}")
}

fn replay(text: &str) -> String {
    let mut session = Session::new();
    for line in text.lines() {
        if line.starts_with("  ") {
            continue;
        }
        session.text.push_str(line);
        session.text.push('\n');
        if line.starts_with('@') {
            session.step(line);
        }
    }
    session.text
}

#[test]
fn sessions_match_their_golden_files() {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let mut count = 0;
    for file in fs::read_dir(directory).unwrap() {
        let file = file.unwrap().path();
        let text = fs::read_to_string(&file).unwrap();
        let replayed = replay(&text);
        if env::var_os("UPDATE_SESSIONS").is_some() {
            fs::write(&file, &replayed).unwrap();
        } else {
            assert_eq!(replayed, text, "{}", file.display());
        }
        count += 1;
    }
    assert_eq!(count, 6);
}
