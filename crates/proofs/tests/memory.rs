//! Memory and reach through rollouts, judged by the runners' own sums.

use std::sync::{self, atomic};

use proofs::{caller, fleet, wait};
use standin::fault;

/// A bundle with two models more, of which a runner has room for one rollout at a time.
fn bundle(fleet: &fleet::Fleet, version: &str) -> String {
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

fn letter(prompt: &str) -> String {
    fleet::chat_body(12, true, prompt).replace("\"draft\"", "\"letter\"")
}

/// Whether every runner holds just the given version of both models, ready.
async fn holds(fleet: &fleet::Fleet, version: &str) -> Option<()> {
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

async fn assert_memory(fleet: &fleet::Fleet) -> proofs::Result<()> {
    for runner in &fleet.runners {
        let memory = fleet::Fleet::control(runner, "GET", "/memory", "").await?;
        let memory: serde_json::Value = serde_json::from_str(&memory).expect("JSON");
        assert_eq!(memory["overcommitted"], false, "{memory}");
        assert!(memory["highest_mib"].as_u64().expect("a sum") <= fleet::RUNNER_MIB, "{memory}");
    }
    Ok(())
}

/// Sends drafts of `letter` until told to stop; returns how many, all whole.
async fn draft(
    caller: caller::Caller,
    address: std::net::SocketAddr,
    stop: sync::Arc<atomic::AtomicBool>,
) -> proofs::Result<usize> {
    let mut whole = 0;
    while !stop.load(atomic::Ordering::Relaxed) {
        let stream = caller.stream(address, &[], &letter(&format!("letter {whole}"))).await?;
        if stream.status() != 200 {
            let text = stream.read_text().await?;
            return Err(proofs::Error::new("draft", &address, &text));
        }
        let answer = stream.read_to_end().await?;
        assert!(answer.is_done && answer.error.is_none(), "{answer:?}");
        whole += 1;
    }
    Ok(whole)
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_with_lost_orders_and_a_killed_vm_overcommits_nothing() -> proofs::Result<()> {
    let mut fleet = fleet::Fleet::start(fleet::Config { vms: 3, ..Default::default() }).await?;
    fleet.accept(&bundle(&fleet, "v1")).await?;
    wait::until("the first versions", async || holds(&fleet, "v1").await).await?;
    let lost = fault::Rule { lose_answer: true, count: Some(2), ..fault::Rule::new("/orders") };
    let never = fault::Rule { lose_request: true, count: Some(1), ..fault::Rule::new("/orders") };
    let late = fault::Rule { delay_ms: 300, count: Some(4), ..fault::Rule::new("/orders") };
    fleet::Fleet::set_faults(&fleet.runners[0], &[lost, late.clone()]).await?;
    fleet::Fleet::set_faults(&fleet.runners[1], &[never, late]).await?;
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let caller = fleet.caller();
    let drafts = tokio::spawn(draft(caller, fleet.caller_address(1), sync::Arc::clone(&stop)));
    fleet.accept(&bundle(&fleet, "v2")).await?;
    fleet.vms[2].kill()?;
    wait::until("the second versions", async || holds(&fleet, "v2").await).await?;
    stop.store(true, atomic::Ordering::Relaxed);
    let whole = drafts.await.expect("a task")?;
    assert!(whole > 0, "no draft was answered during the rollout");
    assert_memory(&fleet).await
}
