//! Network partitions: a VM serves only while it can confirm, through the store or
//! its peers, that it knows the newest head.

use std::time;

use proofs::{caller, fleet};

const VMS: usize = 3;
const CONFIG: fleet::Config = fleet::Config { vms: VMS, runners: 1, links: true };

async fn send_chat(fleet: &fleet::Fleet, vm: usize) -> proofs::Result<caller::Answer> {
    let body = fleet::chat_body(2, false, "through a cut");
    let path = "/v1/chat/completions";
    fleet.caller().send(fleet.caller_address(vm), "POST", path, &[], &body).await
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_isolated_from_store_and_peers_is_fenced_and_the_others_serve() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(CONFIG).await?;
    // Requests of the isolated VM still reach its peers, but their answers do not return.
    fleet.links["vm-1"].table.cut();
    fleet.links["vm-1"].peers.cut();
    fleet.wait_not_ready(0).await?;
    let refused = send_chat(&fleet, 0).await?;
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert!(refused.text().contains("not-run"), "{}", refused.text());
    for vm in [1, 2] {
        let answer = send_chat(&fleet, vm).await?;
        assert_eq!(answer.status, 200, "VM {vm}: {}", answer.text());
    }
    let withdrawn =
        fleet.send_to_operator(1, "POST", "/v1/amend", r#"{"withdraw":"mayors-1"}"#).await?;
    assert_eq!(withdrawn.status, 200, "{}", withdrawn.text());
    fleet.links["vm-1"].table.heal();
    fleet.links["vm-1"].peers.heal();
    fleet.wait_ready(0).await?;
    let refused = send_chat(&fleet, 0).await?;
    assert_eq!(refused.status, 401, "the key was withdrawn during the cut: {}", refused.text());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_accepted_during_a_cut_applies_to_the_isolated_vm() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(CONFIG).await?;
    fleet.links["vm-1"].table.cut();
    fleet.links["vm-1"].peers.cut();
    let withdrawn =
        fleet.send_to_operator(1, "POST", "/v1/amend", r#"{"withdraw":"mayors-1"}"#).await?;
    assert_eq!(withdrawn.status, 200, "{}", withdrawn.text());
    for vm in 0..VMS {
        let refused = send_chat(&fleet, vm).await?;
        assert_ne!(refused.status, 200, "VM {vm} after the withdrawal was accepted");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_reaches_only_its_peers_serves() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(CONFIG).await?;
    fleet.links["vm-1"].table.cut();
    let begun = time::Instant::now();
    while begun.elapsed() < time::Duration::from_secs(8) {
        let answer = send_chat(&fleet, 0).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_reaches_only_the_store_serves() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(CONFIG).await?;
    fleet.links["vm-1"].peers.cut();
    let begun = time::Instant::now();
    while begun.elapsed() < time::Duration::from_secs(8) {
        let answer = send_chat(&fleet, 0).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_whose_claim_response_is_lost_runs_at_most_once() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(CONFIG).await?;
    fleet.links["vm-1"].table.cut_answers();
    let headers = [("idempotency-key", "cut-1")];
    let path = "/svc/desk/booking";
    let first = fleet.caller().send(fleet.caller_address(0), "POST", path, &headers, "{}").await?;
    assert_ne!(first.status, 201, "{}", first.text());
    assert_eq!(first.headers["primroseplank-outcome"], "not-run", "{}", first.text());
    assert!(fleet::Fleet::calls(&fleet.desk).await?.is_empty());
    fleet.links["vm-1"].table.heal();
    for vm in 0..VMS {
        let again =
            fleet.caller().send(fleet.caller_address(vm), "POST", path, &headers, "{}").await?;
        assert_ne!(again.headers["primroseplank-outcome"], "", "{}", again.text());
    }
    assert!(fleet::Fleet::calls(&fleet.desk).await?.len() <= 1);
    Ok(())
}
