//! Calls to routes that are not repeatable: they run at most once, and the reported
//! outcome is correct.

use std::time;

use proofs::{caller, fleet, wait};
use standin::fault;

const BOOKING_PATH: &str = "/svc/desk/booking";

async fn book(fleet: &fleet::Fleet, vm: usize, key: &str) -> proofs::Result<caller::Answer> {
    let headers = [("idempotency-key", key)];
    fleet.caller().send(fleet.caller_address(vm), "POST", BOOKING_PATH, &headers, "{}").await
}

fn outcome(answer: &caller::Answer) -> &str {
    let value = answer.headers.get("primroseplank-outcome");
    value.and_then(|value| value.to_str().ok()).unwrap_or_default()
}

async fn booking_count(fleet: &fleet::Fleet, key: &str) -> proofs::Result<usize> {
    let calls = fleet::Fleet::calls(&fleet.desk).await?;
    Ok(calls.iter().filter(|call| call.idempotency_key.as_deref() == Some(key)).count())
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_whose_answer_is_lost_is_unknown_and_not_retried() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let lost = fault::Rule { lose_answer: true, count: Some(1), ..fault::Rule::new("/booking") };
    fleet::Fleet::set_faults(&fleet.desk, &[lost]).await?;
    let first = book(&fleet, 0, "lost-1").await?;
    assert_eq!((first.status.as_u16(), outcome(&first)), (502, "unknown"), "{}", first.text());
    for vm in [0, 1, 0, 1] {
        let again = book(&fleet, vm, "lost-1").await?;
        assert_eq!(outcome(&again), "unknown", "{}", again.text());
    }
    assert_eq!(booking_count(&fleet, "lost-1").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_booking_is_not_run_and_can_be_retried() -> proofs::Result<()> {
    let fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    let refuse = fault::Rule { refuse: true, ..fault::Rule::new("/booking") };
    fleet::Fleet::set_faults(&fleet.desk, &[refuse]).await?;
    let refused = book(&fleet, 0, "refused-1").await?;
    assert_eq!(outcome(&refused), "not-run", "{}", refused.text());
    assert_eq!(booking_count(&fleet, "refused-1").await?, 0);
    fleet::Fleet::set_faults(&fleet.desk, &[]).await?;
    wait::until("the booking to succeed", async || {
        let again = book(&fleet, 1, "refused-1").await.ok()?;
        (again.status == 201).then_some(())
    })
    .await?;
    assert_eq!(booking_count(&fleet, "refused-1").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_of_a_killed_vm_runs_once() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let delayed = fault::Rule { delay_answer_ms: 3_000, ..fault::Rule::new("/booking") };
    fleet::Fleet::set_faults(&fleet.desk, &[delayed]).await?;
    let sent = tokio::spawn({
        let (caller, address) = (fleet.caller(), fleet.caller_address(0));
        let headers = [("idempotency-key", "killed-1")];
        async move { caller.send(address, "POST", BOOKING_PATH, &headers, "{}").await }
    });
    wait::until("the desk to begin the booking", async || {
        (booking_count(&fleet, "killed-1").await.ok()? == 1).then_some(())
    })
    .await?;
    fleet.vms[0].kill()?;
    assert!(sent.await.expect("a task").is_err(), "the connection must break with the VM");
    fleet::Fleet::set_faults(&fleet.desk, &[]).await?;
    let again = book(&fleet, 1, "killed-1").await?;
    assert_eq!(outcome(&again), "unknown", "{}", again.text());
    fleet.vms[0] = fleet.start_vm("vm-1")?;
    fleet.wait_ready(0).await?;
    for vm in [0, 1, 2] {
        let again = book(&fleet, vm, "killed-1").await?;
        assert_eq!(outcome(&again), "unknown", "{}", again.text());
    }
    assert_eq!(booking_count(&fleet, "killed-1").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_stops_bookings_but_no_drafts() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 2, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    fleet.table.freeze()?;
    let begun = time::Instant::now();
    // More than twice the time for which a read of the head remains valid.
    while begun.elapsed() < time::Duration::from_secs(8) {
        for vm in 0..3 {
            let body = fleet::chat_body(2, false, "during the outage");
            let path = "/v1/chat/completions";
            let answer = caller.send(fleet.caller_address(vm), "POST", path, &[], &body).await?;
            assert_eq!(answer.status, 200, "VM {vm}: {}", answer.text());
        }
    }
    let refused = book(&fleet, 0, "outage-1").await?;
    assert_eq!(outcome(&refused), "not-run", "{}", refused.text());
    assert_eq!(booking_count(&fleet, "outage-1").await?, 0);
    fleet.table.thaw()?;
    wait::until("the first booking after the outage", async || {
        let again = book(&fleet, 1, "outage-2").await.ok()?;
        (again.status == 201).then_some(())
    })
    .await?;
    assert_eq!(booking_count(&fleet, "outage-2").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_with_two_of_five_vms_dead_stops_no_drafts() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 5, runners: 1, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    fleet.vms[0].kill()?;
    fleet.vms[3].kill()?;
    fleet.table.freeze()?;
    let begun = time::Instant::now();
    while begun.elapsed() < time::Duration::from_secs(8) {
        for vm in [1, 2, 4] {
            let body = fleet::chat_body(2, false, "during the outage");
            let path = "/v1/chat/completions";
            let answer = caller.send(fleet.caller_address(vm), "POST", path, &[], &body).await?;
            assert_eq!(answer.status, 200, "VM {vm}: {}", answer.text());
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_started_during_a_store_outage_refuses_calls_until_it_ends() -> proofs::Result<()> {
    let mut fleet = fleet::Fleet::start(fleet::Config::default()).await?;
    fleet.table.freeze()?;
    for vm in 0..2 {
        fleet.vms[vm].kill()?;
        fleet.vms[vm] = fleet.start_vm(&format!("vm-{}", vm + 1))?;
    }
    let body = fleet::chat_body(2, false, "too early");
    let path = "/v1/chat/completions";
    for vm in 0..2 {
        let answer =
            fleet.caller().send(fleet.caller_address(vm), "POST", path, &[], &body).await?;
        assert_eq!((answer.status.as_u16(), outcome(&answer)), (503, "not-run"));
        fleet.wait_not_ready(vm).await?;
    }
    fleet.table.thaw()?;
    for vm in 0..2 {
        fleet.wait_ready(vm).await?;
    }
    Ok(())
}
