//! Time until changes take effect and until service resumes after a failure, on
//! five VMs. Each test prints its figures (`--nocapture`) and checks them against
//! the stated target.

use std::time;

use proofs::{fleet, wait};

/// Longest time until a change is in force on all VMs or service has resumed.
const MAX_DELAY: time::Duration = time::Duration::from_secs(10);
const VMS: usize = 5;
const CHAT_PATH: &str = "/v1/chat/completions";

fn sorted_millis(times: &mut [time::Duration]) -> Vec<u128> {
    times.sort_unstable();
    times.iter().map(time::Duration::as_millis).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_bundle_takes_effect_on_all_vms() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: VMS, runners: 1, ..fleet::Config::default() })
            .await?;
    let mut accepted = Vec::new();
    for round in 0..5 {
        let bundle =
            fleet.bundle().replace("rate: 100000\n", &format!("rate: {}\n", 5_000 + round));
        let document = fleet.sign(&bundle);
        let begun = time::Instant::now();
        let answer = fleet.send_to_operator(round % VMS, "POST", "/v1/accept", &document).await?;
        accepted.push(begun.elapsed());
        assert_eq!(answer.status, 200, "{}", answer.text());
        for vm in 0..VMS {
            let document = fleet.send_to_operator(vm, "GET", "/v1/bundle", "").await?.text();
            assert!(
                document.contains(&format!("rate: {}\\", 5_000 + round)),
                "VM {vm}: {document}"
            );
        }
    }
    println!("accept to in force on all {VMS} VMs, ms: {:?}", sorted_millis(&mut accepted));
    assert!(accepted.iter().all(|time| *time < MAX_DELAY), "{accepted:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_rejected_on_all_vms() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: VMS, runners: 2, ..fleet::Config::default() })
            .await?;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let callers: Vec<_> = (0..VMS)
        .map(|vm| {
            let (caller, address) = (fleet.caller(), fleet.caller_address(vm));
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut last = None;
                while !*stopped.borrow() {
                    let body = fleet::chat_body(1, false, "hello");
                    let begun = time::Instant::now();
                    let answer = caller.send(address, "POST", CHAT_PATH, &[], &body).await?;
                    if answer.status.is_success() {
                        last = Some(begun);
                    }
                }
                proofs::Result::Ok(last)
            })
        })
        .collect();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let begun = time::Instant::now();
    let answer =
        fleet.send_to_operator(0, "POST", "/v1/amend", r#"{"withdraw":"mayors-1"}"#).await?;
    let accepted = begun.elapsed();
    assert_eq!(answer.status, 200, "{}", answer.text());
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    stop.send_replace(true);
    let mut last = Vec::new();
    for caller in callers {
        let sent = caller.await.expect("a task")?.expect("a call before the withdrawal");
        last.push(sent.saturating_duration_since(begun));
    }
    println!("withdrawal to accepted, ms: {}", accepted.as_millis());
    println!(
        "withdrawal to the sending of the last call let through, ms: {:?}",
        sorted_millis(&mut last)
    );
    assert!(
        last.iter().all(|time| *time <= accepted),
        "a call was let through after the withdrawal: {last:?}"
    );
    assert!(accepted < MAX_DELAY, "{accepted:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_on_another_vm_after_a_kill() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: VMS, runners: 2, ..fleet::Config::default() })
            .await?;
    let caller = fleet.caller();
    let mut gaps = Vec::new();
    for vm in 0..2 {
        let prompt = format!("kill {vm}");
        let body = fleet::chat_body(200, true, &prompt);
        let mut stream = caller.stream(fleet.caller_address(vm), &[], &body).await?;
        let name = stream.header("primroseplank-stream").to_owned();
        let first = stream.next().await?.expect("a chunk");
        let begun = time::Instant::now();
        fleet.vms[vm].kill()?;
        let headers = [("primroseplank-stream", name.as_str()), ("last-event-id", "0")];
        let mut again: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        again["continue_text"] = first.text().into();
        let again = again.to_string();
        let mut rest = caller.stream(fleet.caller_address(vm + 2), &headers, &again).await?;
        let next = rest.next().await?.expect("a chunk");
        gaps.push(begun.elapsed());
        assert_eq!(next.seq, Some(1), "{next:?}");
        let rest = rest.read_to_end().await?;
        assert_eq!(
            format!("{}{}{}", first.text(), next.text(), rest.text),
            fleet::expected_answer(200, &prompt)
        );
    }
    println!("kill of a VM to the next chunk elsewhere, ms: {:?}", sorted_millis(&mut gaps));
    assert!(gaps.iter().all(|gap| *gap < MAX_DELAY), "{gaps:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_go_on_after_an_outage_of_the_store() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: VMS, runners: 1, ..fleet::Config::default() })
            .await?;
    fleet.table.freeze()?;
    tokio::time::sleep(time::Duration::from_secs(10)).await;
    fleet.table.thaw()?;
    let begun = time::Instant::now();
    let mut turn = 0;
    let mut answers = vec!["none".to_owned(); VMS];
    let booked = wait::until("the first booking", async || {
        turn += 1;
        let key = format!("after-{turn}");
        let headers = [("idempotency-key", key.as_str())];
        let vm = turn % VMS;
        let path = "/svc/desk/booking";
        let sent =
            fleet.caller().send(fleet.caller_address(vm), "POST", path, &headers, "{}").await;
        let at = begun.elapsed();
        answers[vm] = match &sent {
            Ok(answer) => format!("{at:?}: {} {}", answer.status, answer.text()),
            Err(error) => format!("{at:?}: {error}"),
        };
        sent.is_ok_and(|answer| answer.status == 201).then_some(())
    });
    booked.await.inspect_err(|_| println!("last answers of the VMs: {answers:#?}"))?;
    let gap = begun.elapsed();
    println!("return of the store to the first booking, ms: {}", gap.as_millis());
    assert!(gap < MAX_DELAY, "{gap:?}");
    Ok(())
}
