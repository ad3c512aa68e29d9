//! The two VMs that read the store for all lose their feed of the operator's table, while
//! their feed of the targets goes on: their polls in flight are closed when the store discards
//! its history, and the store refuses their new connections for seven seconds.
//!
//! Exit code 1 if a VM that nothing disturbs handles requests by the old configuration later
//! than allowed, 0 if none does, 2 if the case could not run.

#[allow(dead_code)]
#[path = "../stand-in-2.rs"]
mod platform;

use std::{
    io::{self, BufReader, Write as _},
    net::TcpStream,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The VMs, in the order of their names: the first two read the store.
const VMS: [&str; 5] = ["edge-z1-1", "edge-z1-2", "edge-z1-3", "edge-z1-4", "edge-z1-5"];
const READERS: usize = 2;
/// How long the store refuses the readers' new connections.
const CUT: Duration = Duration::from_secs(7);
/// `contactMs`: the store is stable this long after it discarded its history.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `configApplyMs`.
const APPLY: Duration = Duration::from_millis(2_000);

/// A configuration with a route to the given path prefix.
fn config(version: u64, prefix: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-{version}\",\"host\":\"shop.example\",\
         \"pathPrefix\":\"{prefix}\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":1500,\
         \"targetLatencyMs\":300,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\
         \"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"tenants\":[{{\"name\":\"mayors\",\
         \"apiKeys\":[\"key-1\"],\"priority\":0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends a request and returns the status of its answer.
fn call(address: &str, id: &str, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    stream.write_all(
        format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Bearer key-1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
        )
        .as_bytes(),
    )?;
    let answer = platform::read_message(&mut BufReader::new(stream))?;
    answer.map(|answer| answer.status()).ok_or_else(|| io::Error::other("no answer"))
}

fn run() -> io::Result<bool> {
    let record = platform::Record::new(&std::env::args().nth(1).unwrap_or_default())?;
    let store = platform::Store::new();
    store.put("op", "config", &config(1, "/old/"));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let for_target = (record.clone(), Arc::clone(&runs));
    let target = platform::serve(move |request, stream| {
        let id = request.header("attempt-id").to_owned();
        if !id.is_empty() {
            for_target.0.note(&format!("target runs {id}: {}", request.line));
            for_target.1.lock().unwrap().push(id.clone());
        }
        let headers = [("attempt-id", id.as_str()), ("response-signature", "signed")];
        platform::respond(stream, 200, &headers, b"done")?;
        Ok(true)
    })?;
    platform::register(&store, "i-desk-1", "desk", &target, 6);
    let mut fronts = Vec::new();
    let mut vms = Vec::new();
    for name in VMS {
        let front = store.serve_machine(name)?;
        vms.push(platform::Vm::start(name, &front.address, &platform::BOUNDS)?);
        fronts.push(front);
    }
    for vm in &vms {
        vm.wait_until_ready()?;
    }
    // Longer than the time in which starting VMs settle who reads the store.
    thread::sleep(Duration::from_secs(5));
    for name in VMS {
        record.note(&format!("{name} waits for changes of {:?}", store.waits(name)));
    }
    let disturbed = Instant::now();
    if !platform::is_calm() {
        for front in &fronts[..READERS] {
            front.refuse(true);
        }
        record.note("the store refuses new connections of the first two VMs");
        // The history is discarded while the readers wait for the operator's table and are
        // between two polls of the targets, as they are for most of the time.
        let is_due = |machine: &str, tables: &[&str]| {
            !VMS[..READERS].contains(&machine)
                || (tables.contains(&"op") && !tables.contains(&"servers"))
        };
        while !store.compact_if(is_due) {
            if disturbed.elapsed() > Duration::from_secs(1) {
                return Err(io::Error::other("no moment to discard the history"));
            }
            thread::sleep(Duration::from_millis(1));
        }
        record.note("the store discards its history and closes the polls in flight");
    }
    thread::sleep(CONTACT + Duration::from_millis(200));
    store.put("op", "config", &config(2, "/new/"));
    let acknowledged = Instant::now();
    record.note("the operator's version 2 is acknowledged: /old/ is dropped, /new/ is there");
    thread::sleep(APPLY + Duration::from_millis(100));
    static LAST: AtomicU64 = AtomicU64::new(0);
    let mut stale = 0;
    while disturbed.elapsed() + Duration::from_millis(200) < CUT {
        for (name, vm) in VMS.iter().zip(&vms).skip(READERS) {
            for path in ["/old/x", "/new/x"] {
                let id = format!("attempt-{}", LAST.fetch_add(1, Ordering::SeqCst));
                let at = acknowledged.elapsed();
                let status = call(&vm.caller, &id, path)?;
                let has_run = runs.lock().unwrap().contains(&id);
                let is_stale = if path == "/old/x" { has_run } else { status == 404 };
                stale += u32::from(is_stale);
                record.note(&format!(
                    "{name} answers {id} for {path}, sent {at:?} after the acknowledgement, with \
                     {status}{}",
                    if is_stale { ": STALE" } else { "" }
                ));
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    for front in &fronts {
        front.refuse(false);
    }
    record.note(&format!("requests handled by the old configuration alone: {stale}"));
    Ok(stale > 0)
}

fn main() -> ExitCode {
    match run() {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}
