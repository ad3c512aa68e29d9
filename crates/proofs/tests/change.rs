//! Configuration changes: concurrent operators, lost responses, isolated VMs and
//! targets that are drained or leave.

use proofs::{fleet, wait};
use standin::fault;

/// The fleet's bundle with the rate of the account `mayors` changed.
fn bundle_with_rate(fleet: &fleet::Fleet, rate: u64) -> String {
    fleet.bundle().replace("rate: 100000\n", &format!("rate: {rate}\n"))
}

async fn version_on(fleet: &fleet::Fleet, vm: usize) -> proofs::Result<u64> {
    let status = fleet.send_to_operator(vm, "GET", "/v1/status", "").await?;
    let status: serde_json::Value = status.json().expect("JSON");
    Ok(status["status"]["version"].as_u64().expect("a version"))
}

/// Waits until all VMs report the same version in force and returns it.
async fn wait_for_same_version(fleet: &fleet::Fleet) -> proofs::Result<u64> {
    wait::until("one version everywhere", async || {
        let first = version_on(fleet, 0).await.ok()?;
        for vm in 1..fleet.vms.len() {
            if version_on(fleet, vm).await.ok()? != first {
                return None;
            }
        }
        Some(first)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_accepts_conflict_and_one_wins() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    for round in 0..3 {
        let before = wait_for_same_version(&fleet).await?;
        let path = format!("/v1/accept?replaces={before}");
        let one = fleet.sign(&bundle_with_rate(&fleet, 1_000 + round));
        let other = fleet.sign(&bundle_with_rate(&fleet, 2_000 + round));
        let (one, other) = tokio::join!(
            fleet.send_to_operator(0, "POST", &path, &one),
            fleet.send_to_operator(1, "POST", &path, &other),
        );
        let (one, other) = (one?, other?);
        let mut statuses = [one.status.as_u16(), other.status.as_u16()];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{} and {}", one.text(), other.text());
        assert_eq!(wait_for_same_version(&fleet).await?, before + 1);
        let rate = if one.status == 200 { 1_000 } else { 2_000 } + round;
        for vm in 0..3 {
            let document = fleet.send_to_operator(vm, "GET", "/v1/bundle", "").await?.text();
            assert!(document.contains(&format!("rate: {rate}\\")), "VM {vm} has another bundle");
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_succeeds_when_the_response_to_the_head_write_is_lost() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let before = wait_for_same_version(&fleet).await?;
    let lost = fault::Rule {
        contains: "\"write\"".to_owned(),
        lose_answer: true,
        count: Some(1),
        ..fault::Rule::new("/table")
    };
    fleet::Fleet::set_faults(&fleet.table, &[lost]).await?;
    let document = fleet.sign(&bundle_with_rate(&fleet, 3_000));
    let answer = fleet.send_to_operator(0, "POST", "/v1/accept", &document).await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert!(wait_for_same_version(&fleet).await? > before);
    let document = fleet.send_to_operator(2, "GET", "/v1/bundle", "").await?.text();
    assert!(document.contains("rate: 3000\\"), "{document}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_without_store_and_peers_is_fenced() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    fleet.vms[1].freeze()?;
    fleet.vms[2].freeze()?;
    fleet.table.freeze()?;
    fleet.wait_not_ready(0).await?;
    let body = fleet::chat_body(2, false, "cut off");
    let path = "/v1/chat/completions";
    let answer = fleet.caller().send(fleet.caller_address(0), "POST", path, &[], &body).await?;
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.text().contains("fenced"), "{}", answer.text());
    fleet.table.thaw()?;
    fleet.vms[1].thaw()?;
    fleet.vms[2].thaw()?;
    for vm in 0..3 {
        fleet.wait_ready(vm).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_target_gets_no_new_calls() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 2, ..fleet::Config::default() })
            .await?;
    let answer = fleet.send_to_operator(0, "POST", "/v1/amend", r#"{"drain":"runner-1"}"#).await?;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let before = fleet.begun_counts().await?;
    for turn in 0..20 {
        let body = fleet::chat_body(2, false, &format!("turn {turn}"));
        let path = "/v1/chat/completions";
        let vm = turn % 2;
        let answer =
            fleet.caller().send(fleet.caller_address(vm), "POST", path, &[], &body).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let after = fleet.begun_counts().await?;
    assert_eq!(after[0], before[0], "the drained runner began no call");
    assert_eq!(after[1], before[1] + 20);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runner_that_reports_leaving_gets_no_new_calls() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 2, ..fleet::Config::default() })
            .await?;
    fleet::Fleet::control(&fleet.runners[0], "PUT", "/leaving", r#"{"leaving":true}"#).await?;
    assert_first_runner_gets_no_new_calls(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn runner_listed_as_leaving_gets_no_new_calls() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 2, ..fleet::Config::default() })
            .await?;
    let list = r#"[{"name":"vm-1","state":"live"},{"name":"vm-2","state":"live"},
        {"name":"runner-1","state":"leaving"},{"name":"runner-2","state":"live"}]"#;
    fleet::Fleet::control(&fleet.list, "PUT", "/vms", list).await?;
    assert_first_runner_gets_no_new_calls(&fleet).await
}

/// Waits until all VMs know that the first runner leaves, then checks that the
/// other runner gets all calls.
async fn assert_first_runner_gets_no_new_calls(fleet: &fleet::Fleet) -> proofs::Result<()> {
    for vm in 0..2 {
        wait::until("the VMs to know that the runner leaves", async || {
            let state = fleet.send_to_operator(vm, "GET", "/state", "").await.ok()?;
            let state: serde_json::Value = state.json().ok()?;
            let target = &state["state"]["targets"]["runner-1"];
            (target["says_leaving"] == true || target["leaving"] == true).then_some(())
        })
        .await?;
    }
    let before = fleet.begun_counts().await?;
    for turn in 0..20 {
        let body = fleet::chat_body(2, false, &format!("turn {turn}"));
        let path = "/v1/chat/completions";
        let vm = turn % 2;
        let answer =
            fleet.caller().send(fleet.caller_address(vm), "POST", path, &[], &body).await?;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(fleet.begun_counts().await?, [before[0], before[1] + 20]);
    let counts = fleet::Fleet::control(&fleet.runners[0], "GET", "/counts", "").await?;
    assert!(!counts.contains("calls-refused"), "a call was sent to the leaving runner: {counts}");
    Ok(())
}
