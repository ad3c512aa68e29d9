//! Memory of the runners during a rollout, checked against the runners' own
//! accounting, while calls are served.

use std::sync::{self, atomic};

use proofs::{caller, fleet, wait};
use standin::fault;

/// The fleet's bundle with two more models. A runner has memory for the rollout of
/// only one of them at a time.
fn bundle_with_models(fleet: &fleet::Fleet, version: &str) -> String {
    let copies = fleet.runners.len();
    let model = |name: &str| {
        format!(
            "  - {{name: {name}, version: {version}, memory_mib: 1800, kv_floor_mib: 200, \
             copies: {copies}}}\n"
        )
    };
    let more = format!("{}{}runners:\n", model("letter"), model("form"));
    fleet.bundle().replace("runners:\n", &more)
}

fn letter_body(prompt: &str) -> String {
    fleet::chat_body(12, true, prompt).replace("\"draft\"", "\"letter\"")
}

/// Returns `Some` if every runner holds only `version` of both models, ready.
async fn only_holds(fleet: &fleet::Fleet, version: &str) -> Option<()> {
    for runner in &fleet.runners {
        let address = runner.address("address");
        let answer =
            caller::Caller::new(None).send(address, "GET", "/report", &[], "").await.ok()?;
        let report: engine::Report = answer.json().ok()?;
        for item in ["letter", "form"] {
            let mut held = report.residents.iter().filter(|resident| *resident.item == *item);
            let first = held.next()?;
            let is_ready = first.state == engine::report::State::Ready;
            if held.next().is_some() || !is_ready || *first.version != *version {
                return None;
            }
        }
    }
    Some(())
}

async fn assert_not_overcommitted(fleet: &fleet::Fleet) -> proofs::Result<()> {
    for runner in &fleet.runners {
        let memory = fleet::Fleet::control(runner, "GET", "/memory", "").await?;
        let memory: serde_json::Value = serde_json::from_str(&memory).expect("JSON");
        assert_eq!(memory["overcommitted"], false, "{memory}");
        assert!(memory["highest_mib"].as_u64().expect("a sum") <= fleet::RUNNER_MIB, "{memory}");
    }
    Ok(())
}

/// Streams completions of the model `letter` until `stop` is set and returns how
/// many were complete; any failure is an error.
async fn send_drafts(
    caller: caller::Caller,
    address: std::net::SocketAddr,
    stop: sync::Arc<atomic::AtomicBool>,
) -> proofs::Result<usize> {
    let mut completed = 0;
    while !stop.load(atomic::Ordering::Relaxed) {
        let stream =
            caller.stream(address, &[], &letter_body(&format!("letter {completed}"))).await?;
        if stream.status() != 200 {
            let text = stream.read_text().await?;
            return Err(proofs::Error::new("draft", &address, &text));
        }
        let answer = stream.read_to_end().await?;
        assert!(answer.is_done && answer.error.is_none(), "{answer:?}");
        completed += 1;
    }
    Ok(completed)
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_with_lost_orders_and_a_killed_vm_stays_within_memory() -> proofs::Result<()> {
    let mut fleet = fleet::Fleet::start(fleet::Config { vms: 3, ..Default::default() }).await?;
    fleet.accept(&bundle_with_models(&fleet, "v1")).await?;
    wait::until("the first versions", async || only_holds(&fleet, "v1").await).await?;
    let lost_answer =
        fault::Rule { lose_answer: true, count: Some(2), ..fault::Rule::new("/orders") };
    let lost_request =
        fault::Rule { lose_request: true, count: Some(1), ..fault::Rule::new("/orders") };
    let delayed = fault::Rule { delay_ms: 300, count: Some(4), ..fault::Rule::new("/orders") };
    fleet::Fleet::set_faults(&fleet.runners[0], &[lost_answer, delayed.clone()]).await?;
    fleet::Fleet::set_faults(&fleet.runners[1], &[lost_request, delayed]).await?;
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let caller = fleet.caller();
    let drafts =
        tokio::spawn(send_drafts(caller, fleet.caller_address(1), sync::Arc::clone(&stop)));
    fleet.accept(&bundle_with_models(&fleet, "v2")).await?;
    fleet.vms[2].kill()?;
    wait::until("the second versions", async || only_holds(&fleet, "v2").await).await?;
    stop.store(true, atomic::Ordering::Relaxed);
    let completed = drafts.await.expect("a task")?;
    assert!(completed > 0, "no draft was answered during the rollout");
    assert_not_overcommitted(&fleet).await
}
