//! More callers than usual send bodies just within the limit of the configuration at once, and
//! the VM holds all of them in memory. Like the platform, the script kills the process once it
//! exceeds its memory.
//!
//! Exit code 1 if requests on kept connections end with a closed connection because of that, 0 if
//! not, 2 if the case could not run.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::{
    collections::BTreeSet,
    io::{self, BufReader, Write as _},
    net::TcpStream,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `limits.memoryMb` of the smallest machine.
const MEMORY_MB: u64 = 260;
/// Callers that send at once as a rule, and in the burst (2.4 times as many).
const USUAL_CALLERS: usize = 40;
const BURST_CALLERS: usize = 96;
/// Length of a body: `maxBodyBytes`.
const BODY_BYTES: usize = 4_194_304;
/// Time that the target works on a request, as at the slow end of the site's sheet.
const WORK: Duration = Duration::from_millis(300);
/// Time between two callers.
const SPACING: Duration = Duration::from_millis(5);
/// `more than three times` of the rule.
const TOLERATED: usize = 3;

const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"book","host":"shop.example","pathPrefix":"/book/","routeKind":"non_idempotent",
 "timeoutMs":15000,"targetLatencyMs":6000,"priority":0,"service":"desk","maxAttempts":1,"public":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"tenants":[{"name":"mayors","apiKeys":["key-1"],"priority":0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Result of a call whose VM had been killed before its long request.
const NOT_SENT: u16 = u16::MAX;

/// Sends a short request and then, on the same connection, one with a long body. Returns the
/// status of the second, or 0 if its connection ends without an answer.
fn call(address: &str, number: usize) -> io::Result<u16> {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Ok(NOT_SENT);
    };
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut status = 0;
    for (kind, length) in [("short", 2), ("long", BODY_BYTES)] {
        let mut request = format!(
            "POST /book/{kind} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {kind}-{number}\r\n\
             Deadline-Ms: 15000\r\nAuthorization: Bearer key-1\r\nContent-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        request.resize(request.len() + length, b'x');
        let is_sent = stream.write_all(&request).is_ok();
        let answer = platform::read_message(&mut reader);
        status = answer.ok().flatten().map_or(0, |answer| answer.status());
        if kind == "short" && (!is_sent || status != 200) {
            return Ok(NOT_SENT);
        }
    }
    Ok(status)
}

fn run() -> io::Result<bool> {
    let record = platform::Record::new(&std::env::args().nth(1).unwrap_or_default())?;
    let store = platform::Store::new();
    let store_address = store.serve()?;
    store.put("op", "config", &CONFIG.replace('\n', ""));
    let arrived: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let (target_record, target_arrived) = (record.clone(), Arc::clone(&arrived));
    let arrives = move |head: &platform::Message| {
        target_arrived.lock().unwrap().insert(head.header("attempt-id").to_owned());
    };
    let target = platform::serve_from_head(arrives, move |request, stream| {
        let id = request.header("attempt-id").to_owned();
        let headers = [("attempt-id", id.as_str()), ("response-signature", "signed")];
        if id.starts_with("long") {
            target_record.note(&format!("target runs {id}, {} bytes", request.body.len()));
            thread::sleep(WORK);
        }
        platform::respond(stream, 200, &headers, b"done")?;
        Ok(true)
    })?;
    // As on the site: four targets with six slots each; here they are one process.
    for number in 1..=4 {
        platform::register(&store, &format!("i-desk-{number}"), "desk", &target, 6);
    }
    let vm = platform::Vm::start("edge-z1-1", &store_address, &platform::BOUNDS)?;
    vm.wait_until_ready()?;
    record.note(&format!("the VM is ready and takes {} MB", vm.memory_mb()));
    let count = if platform::is_calm() { USUAL_CALLERS } else { BURST_CALLERS };
    record.note(&format!("{count} callers send {BODY_BYTES} bytes each"));
    let has_ended = Arc::<AtomicBool>::default();
    let (caller_address, caller_record) = (vm.caller.clone(), record.clone());
    let callers = (0..count)
        .map(move |number| {
            let (address, record) = (caller_address.clone(), caller_record.clone());
            thread::sleep(SPACING);
            thread::spawn(move || {
                let got = call(&address, number)?;
                record.note(&format!("caller of long-{number} got {got:?}"));
                Ok::<_, io::Error>(got)
            })
        });
    let ended = Arc::clone(&has_ended);
    let waiter = thread::spawn(move || {
        let callers: Vec<_> = callers.collect();
        let results: Vec<_> = callers.into_iter().map(|caller| caller.join()).collect();
        ended.store(true, Ordering::SeqCst);
        results
    });
    let started = Instant::now();
    let mut most = 0;
    let mut is_killed = false;
    while !has_ended.load(Ordering::SeqCst) && started.elapsed() < Duration::from_secs(60) {
        let memory = vm.memory_mb();
        most = most.max(memory);
        if memory > MEMORY_MB && !is_killed {
            record.note(&format!("the VM takes {memory} MB of {MEMORY_MB}: killed"));
            vm.signal(platform::SIGKILL)?;
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let (mut lost, mut lost_on_the_way) = (0, 0);
    let results = waiter.join().map_err(|_| io::Error::other("a thread panicked"))?;
    for (number, result) in results.into_iter().enumerate() {
        let status = result.map_err(|_| io::Error::other("a caller panicked"))??;
        lost += usize::from(status == 0);
        let was_passed_on = arrived.lock().unwrap().contains(&format!("long-{number}"));
        lost_on_the_way += usize::from(status == 0 && was_passed_on);
    }
    record.note(&format!("at most {most} MB; {lost} of {count} requests without an answer, {lost_on_the_way} of them passed on"));
    Ok(is_killed && lost_on_the_way > TOLERATED)
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
