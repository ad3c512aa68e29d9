//! Graceful stops, freezes, kills and rolling restarts of VMs.

use std::{sync, sync::atomic, time};

use proofs::{caller, fleet, wait};

/// Tokens of a stream that lasts several minutes, far longer than the 30 s after
/// which the server library closes open connections of its own accord.
const LONG_STREAM_TOKENS: u64 = 10_000;
/// Least time that such a stream must last after the stop request.
const MIN_STREAM_TIME: time::Duration = time::Duration::from_mins(2);

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_finishes_open_streams_and_exits_with_0() -> proofs::Result<()> {
    let mut fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let caller = fleet.caller();
    let body = fleet::chat_body(LONG_STREAM_TOKENS, true, "a long draft");
    let mut stream = caller.stream(fleet.caller_address(0), &[], &body).await?;
    let first = stream.next().await?.expect("a chunk");
    let begun = time::Instant::now();
    fleet.vms[0].terminate()?;
    fleet.wait_not_ready(0).await?;
    assert!(fleet.vms[0].is_running(), "the VM must wait for the stream");
    let transcript = stream.read_to_end().await?;
    let log = || fleet.vms[0].log();
    assert!(transcript.is_done, "{:?} {:?} {}", transcript.error, begun.elapsed(), log());
    assert!(begun.elapsed() > MIN_STREAM_TIME, "{:?}", begun.elapsed());
    let text = format!("{}{}", first.text(), transcript.text);
    assert_eq!(text, fleet::expected_answer(LONG_STREAM_TOKENS, "a long draft"));
    assert_eq!(fleet.vms[0].wait()?.code(), Some(0), "{}", fleet.vms[0].log());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_vm_rejects_a_key_withdrawn_while_it_was_frozen() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    fleet.vms[0].freeze()?;
    let sent = tokio::spawn({
        let (caller, address) = (caller.clone(), fleet.caller_address(0));
        let headers = [("idempotency-key", "frozen-1")];
        async move { caller.send(address, "POST", "/svc/desk/booking", &headers, "{}").await }
    });
    let withdrawn =
        fleet.send_to_operator(1, "POST", "/v1/amend", r#"{"withdraw":"mayors-1"}"#).await?;
    assert_eq!(withdrawn.status, 200, "{}", withdrawn.text());
    fleet.vms[0].thaw()?;
    let answer = sent.await.expect("a task")?;
    assert_ne!(answer.status, 201, "the key was withdrawn while the VM was frozen");
    let outcome = answer.headers.get("primroseplank-outcome").expect("an outcome");
    assert_eq!(outcome, "not-run");
    assert!(fleet::Fleet::calls(&fleet.desk).await?.is_empty(), "the desk began no call");
    fleet.wait_ready(0).await?;
    let again = caller.send(fleet.caller_address(0), "GET", "/v1/models", &[], "").await?;
    assert_eq!(again.status, 401, "{}", again.text());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_vm_is_replaced_while_the_others_serve() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    fleet.vms[0].kill()?;
    let body = fleet::chat_body(5, false, "after the kill");
    for vm in [1, 2] {
        let path = "/v1/chat/completions";
        let answer = caller.send(fleet.caller_address(vm), "POST", path, &[], &body).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    fleet.vms[0] = fleet.start_vm("vm-1")?;
    fleet.wait_ready(0).await?;
    wait::until("the new incarnation to serve", async || {
        let path = "/v1/chat/completions";
        let answer = caller.send(fleet.caller_address(0), "POST", path, &[], &body).await.ok()?;
        answer.status.is_success().then_some(())
    })
    .await
}

/// Results of the callers during a rolling restart.
#[derive(Debug, Default)]
struct Tally {
    completed: atomic::AtomicU64,
    failed: sync::Mutex<Vec<String>>,
}

impl Tally {
    fn record_failure(&self, reason: String) {
        self.failed.lock().expect("a lock").push(reason);
    }
}

/// Caller addresses of the ready VMs, shared by all callers like a load balancer's pool.
type Ready = sync::Arc<sync::RwLock<Vec<std::net::SocketAddr>>>;

async fn send_calls(caller: caller::Caller, ready: Ready, tally: sync::Arc<Tally>, worker: usize) {
    let mut turn = worker;
    loop {
        let address = {
            let ready = ready.read().expect("a lock");
            let Some(address) = ready.get(turn % ready.len().max(1)) else {
                return;
            };
            *address
        };
        turn += 1;
        let prompt = format!("worker {worker}, turn {turn}");
        let body = fleet::chat_body(20, true, &prompt);
        match stream_to_end(&caller, address, &body).await {
            Ok(transcript)
                if transcript.is_done && transcript.text == fleet::expected_answer(20, &prompt) =>
            {
                tally.completed.fetch_add(1, atomic::Ordering::Relaxed);
            }
            Ok(transcript) => tally.record_failure(format!("{address}: {transcript:?}")),
            Err(error) => tally.record_failure(format!("{address}: {error}")),
        }
    }
}

async fn stream_to_end(
    caller: &caller::Caller,
    address: std::net::SocketAddr,
    body: &str,
) -> proofs::Result<caller::Transcript> {
    let stream = caller.stream(address, &[], body).await?;
    if stream.status() != 200 {
        let text = stream.read_text().await?;
        return Err(proofs::Error::new("call", &address, &text));
    }
    stream.read_to_end().await
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_under_load_fails_no_calls() -> proofs::Result<()> {
    let vms = 5;
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms, runners: 2, ..fleet::Config::default() }).await?;
    let ready: Ready = sync::Arc::default();
    *ready.write().expect("a lock") = (0..vms).map(|vm| fleet.caller_address(vm)).collect();
    let tally = sync::Arc::<Tally>::default();
    let workers: Vec<_> = (0..6)
        .map(|worker| {
            let (ready, tally) = (sync::Arc::clone(&ready), sync::Arc::clone(&tally));
            tokio::spawn(send_calls(fleet.caller(), ready, tally, worker))
        })
        .collect();
    for vm in 0..vms {
        let address = fleet.caller_address(vm);
        fleet.vms[vm].terminate()?;
        // Like a load balancer, removes the VM from the pool once it is not ready.
        fleet.wait_not_ready(vm).await?;
        ready.write().expect("a lock").retain(|other| *other != address);
        assert_eq!(fleet.vms[vm].wait()?.code(), Some(0), "{}", fleet.vms[vm].log());
        fleet.vms[vm] = fleet.start_vm(&format!("vm-{}", vm + 1))?;
        fleet.wait_ready(vm).await?;
        ready.write().expect("a lock").push(fleet.caller_address(vm));
    }
    let before = tally.completed.load(atomic::Ordering::Relaxed);
    wait::until("calls through the new VMs", async || {
        let now = tally.completed.load(atomic::Ordering::Relaxed);
        (now >= before + 20).then_some(())
    })
    .await?;
    ready.write().expect("a lock").clear();
    for worker in workers {
        worker.await.expect("a task");
    }
    let failed = tally.failed.lock().expect("a lock");
    let completed = tally.completed.load(atomic::Ordering::Relaxed);
    let first = failed.first();
    assert!(
        failed.is_empty(),
        "{} failed, {completed} completed, the first: {first:?}",
        failed.len()
    );
    println!("{completed} calls were answered completely");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_without_calls_ends_soon_after_the_balancer_wait() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 1, ..fleet::Config::default() })
            .await?;
    let begun = time::Instant::now();
    fleet.vms[1].terminate()?;
    assert_eq!(fleet.vms[1].wait()?.code(), Some(0));
    // The settings have a balancer wait and a keep-alive timeout of 1 s each.
    assert!(begun.elapsed() < time::Duration::from_secs(15), "{:?}", begun.elapsed());
    Ok(())
}
