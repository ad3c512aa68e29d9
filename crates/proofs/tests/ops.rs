//! Operator workflows with the real programs: commands as the operators' page
//! documents them, run while the deployment serves callers.

use std::{fs, os::unix::fs::PermissionsExt as _, sync, sync::atomic};

use proofs::{caller, fleet, process, wait};

/// Tokens of each streamed completion.
const TOKENS: u64 = 40;

/// Number of concurrent streams.
const WORKERS: usize = 6;

/// Runs a command that must exit with 0 and returns its standard output.
fn run_ok(fleet: &fleet::Fleet, line: &str) -> proofs::Result<String> {
    let run = fleet.run_cli(line)?;
    assert_eq!(run.code, Some(0), "{line}: {run:?}");
    Ok(run.stdout)
}

/// Runs a command that must exit with 1 and returns its standard error.
fn run_refused(fleet: &fleet::Fleet, line: &str) -> proofs::Result<String> {
    let run = fleet.run_cli(line)?;
    assert_eq!(run.code, Some(1), "{line}: {run:?}");
    Ok(run.stderr)
}

/// Writes a bundle and the signer's key to the files that the commands name.
fn write_bundle_and_key(fleet: &fleet::Fleet, bundle: &str) {
    let key = fleet.directory().join("alice.key");
    if !key.exists() {
        fs::write(&key, fleet.signing_key()).expect("a file");
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).expect("access rights");
    }
    fs::write(fleet.directory().join("bundle.yaml"), bundle).expect("a file");
}

/// The version that the output of `primroseplank accept` reports.
fn accepted_version(out: &str) -> u64 {
    let rest = out.split("as version ").nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_else(|_| panic!("a version in {out}"))
}

/// Waits until `primroseplank status` succeeds and no longer mentions `what`.
async fn wait_until_clear(fleet: &fleet::Fleet, what: &str) -> proofs::Result<()> {
    wait::until(&format!("the end of {what}"), async || {
        let run = fleet.run_cli("primroseplank status").ok()?;
        (run.code == Some(0) && !run.stdout.contains(what)).then_some(())
    })
    .await
}

/// Background workers that stream completions one after the other.
struct Traffic {
    is_stopped: sync::Arc<atomic::AtomicBool>,
    workers: Vec<tokio::task::JoinHandle<proofs::Result<Drafts>>>,
}

/// Results of a worker.
#[derive(Debug, Default)]
struct Drafts {
    /// Number of streams that were complete and correct.
    completed: usize,
    /// Descriptions of the other streams.
    failed: Vec<String>,
}

impl Traffic {
    /// Starts the workers, spread over the VMs of `fleet`.
    fn start(fleet: &fleet::Fleet) -> Self {
        let is_stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let worker = |number: usize| {
            let (caller, is_stopped) = (fleet.caller(), sync::Arc::clone(&is_stopped));
            let address = fleet.caller_address(number % fleet.vms.len());
            tokio::spawn(stream_drafts(caller, address, number, is_stopped))
        };
        Self { workers: (0..WORKERS).map(worker).collect(), is_stopped }
    }

    /// Stops the workers and checks that no stream failed.
    async fn assert_all_completed(self) -> proofs::Result<()> {
        self.is_stopped.store(true, atomic::Ordering::Relaxed);
        for worker in self.workers {
            let drafts = worker.await.expect("a task")?;
            assert!(drafts.failed.is_empty() && drafts.completed > 0, "{drafts:?}");
        }
        Ok(())
    }
}

/// Streams completions until `is_stopped` is set.
async fn stream_drafts(
    caller: caller::Caller,
    address: std::net::SocketAddr,
    number: usize,
    is_stopped: sync::Arc<atomic::AtomicBool>,
) -> proofs::Result<Drafts> {
    let mut drafts = Drafts::default();
    while !is_stopped.load(atomic::Ordering::Relaxed) {
        let prompt = format!("draft {number} after {}", drafts.completed);
        let body = fleet::chat_body(TOKENS, true, &prompt);
        let stream = caller.stream(address, &[], &body).await?;
        let status = stream.status();
        let end = stream.read_to_end().await?;
        if end.is_done && end.text == fleet::expected_answer(TOKENS, &prompt) {
            drafts.completed += 1;
        } else {
            drafts.failed.push(format!("{prompt}: {status}, {:?}", end.error));
        }
    }
    Ok(drafts)
}

/// Version and state of each item that a runner reports as resident.
async fn resident_versions(runner: &process::Program) -> proofs::Result<Vec<String>> {
    let address = runner.address("address");
    let report = caller::Caller::new(None).send(address, "GET", "/report", &[], "").await?;
    let report: serde_json::Value = report.json().expect("JSON");
    let residents = report["residents"].as_array().cloned().unwrap_or_default();
    Ok(residents.iter().map(|each| format!("{} {}", each["version"], each["state"])).collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_is_changed_and_rolled_back_without_failing_streams() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 2, ..fleet::Config::default() })
            .await?;
    let before = version_in_force(&fleet)?;
    // With one load every 4 s, the second copy is loaded seconds after the first, so that both
    // versions are in use meanwhile.
    let slow = fleet.bundle().replace("loads_per_second: 10,", "loads_per_second: 0.25,");
    write_bundle_and_key(&fleet, &slow.replace("version: v1", "version: v2"));
    let traffic = Traffic::start(&fleet);

    run_ok(&fleet, "primroseplank check bundle.yaml")?;
    let diff = run_ok(&fleet, "primroseplank diff bundle.yaml")?;
    assert!(diff.contains("v1 -> v2"), "{diff}");
    let sign =
        "primroseplank sign bundle.yaml --key alice.key --signer alice --output bundle.signed";
    run_ok(&fleet, sign)?;
    let stale = format!("primroseplank accept bundle.signed --replaces {}", before + 7);
    assert!(run_refused(&fleet, &stale)?.contains("is in force"));
    let accept = format!("primroseplank accept bundle.signed --replaces {before}");
    let after = accepted_version(&run_ok(&fleet, &accept)?);
    assert_eq!(after, before + 1);
    wait::until("a status during the rollout", async || {
        let status = fleet.run_cli("primroseplank status").ok()?.stdout;
        let has_both = status.contains("draft: 1 of 2 copies of v2 ready on runner-");
        (has_both && status.contains("v1 still ready on runner-")).then_some(())
    })
    .await?;
    wait_until_clear(&fleet, "draft:").await?;
    for runner in &fleet.runners {
        assert_eq!(
            resident_versions(runner).await?,
            ["\"v2\" \"ready\""],
            "only the new version is resident"
        );
    }

    let history = run_ok(&fleet, "primroseplank history")?;
    assert!(history.contains("signed by alice"), "{history}");
    let previous = run_ok(&fleet, &format!("primroseplank history --show {before}"))?;
    fs::write(fleet.directory().join("back.signed"), previous).expect("a file");
    assert_eq!(accepted_version(&run_ok(&fleet, "primroseplank accept back.signed")?), after + 1);
    wait_until_clear(&fleet, "draft:").await?;
    for runner in &fleet.runners {
        assert_eq!(
            resident_versions(runner).await?,
            ["\"v1\" \"ready\""],
            "only the old version is resident"
        );
    }
    traffic.assert_all_completed().await
}

/// The version in force, as the first VM reports it.
fn version_in_force(fleet: &fleet::Fleet) -> proofs::Result<u64> {
    let status = run_ok(fleet, "primroseplank status --json")?;
    let status: serde_json::Value = serde_json::from_str(&status).expect("JSON");
    Ok(status[0]["status"]["version"].as_u64().expect("a version"))
}

#[tokio::test(flavor = "multi_thread")]
async fn key_changes_apply_to_all_vms() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let printed_key = |out: String| {
        let key = out.lines().find(|line| line.starts_with("pp."));
        key.unwrap_or_default().to_owned()
    };
    let first = printed_key(run_ok(&fleet, "primroseplank key issue mayors --id mayors-2026c")?);
    assert_status_on_all(&fleet, &first, 200).await?;
    let rotate = "primroseplank key rotate mayors-2026c --new-id mayors-2026d";
    let second = printed_key(run_ok(&fleet, rotate)?);
    assert_status_on_all(&fleet, &first, 200).await?;
    assert_status_on_all(&fleet, &second, 200).await?;
    run_ok(&fleet, "primroseplank key withdraw mayors-2026c")?;
    assert_status_on_all(&fleet, &first, 401).await?;
    assert_status_on_all(&fleet, &second, 200).await?;
    let list = run_ok(&fleet, "primroseplank key list")?;
    assert!(list.lines().any(|line| line.contains("mayors-2026c") && line.contains("withdrawn")));
    assert!(!list.contains(second.rsplit('.').next().unwrap_or("pp")), "{list}");
    Ok(())
}

/// Sends a lookup with `key` to every VM and checks the status of the answer.
async fn assert_status_on_all(fleet: &fleet::Fleet, key: &str, status: u16) -> proofs::Result<()> {
    for vm in 0..fleet.vms.len() {
        let caller = caller::Caller::new(Some(key));
        let path = "/svc/desk/lookup/1";
        let answer = caller.send(fleet.caller_address(vm), "GET", path, &[], "").await?;
        assert_eq!(answer.status, status, "VM {vm}: {}", answer.text());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runner_is_drained_and_returned_without_failing_streams() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 2, ..fleet::Config::default() })
            .await?;
    let traffic = Traffic::start(&fleet);
    let out = run_ok(&fleet, "primroseplank drain runner-1 --wait --timeout 50")?;
    assert_eq!(out, "runner-1: no new work, no call open\n");
    let counts = fleet.begun_counts().await?;
    // The drain is visible to other operators and on other VMs.
    let status_command = "primroseplank drain runner-1 --status";
    assert_eq!(run_ok(&fleet, status_command)?, "runner-1: no new work, no call open\n");
    let status = run_ok(&fleet, "primroseplank status")?;
    assert!(status.contains("runner-1: no new work"), "{status}");
    wait::until("more drafts at the other runner", async || {
        (fleet.begun_counts().await.ok()?[1] > counts[1] + 10).then_some(())
    })
    .await?;
    assert_eq!(fleet.begun_counts().await?[0], counts[0], "the drained runner began no call");
    run_ok(&fleet, "primroseplank return runner-1")?;
    wait::until("drafts at the returned runner", async || {
        (fleet.begun_counts().await.ok()?[0] > counts[0]).then_some(())
    })
    .await?;
    wait_until_clear(&fleet, "runner-1").await?;
    traffic.assert_all_completed().await
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_is_replaced_by_one_with_a_new_name() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    fleet.vms[2].kill()?;
    let status = fleet.run_cli("primroseplank status")?;
    assert_eq!(status.code, Some(1), "{status:?}");
    assert!(status.stdout.contains("does not answer"), "{status:?}");
    let list = r#"[{"name":"vm-1","state":"live"},{"name":"vm-2","state":"live"},
        {"name":"vm-4","state":"live"}]"#;
    fleet::Fleet::control(&fleet.list, "PUT", "/vms", list).await?;
    fleet.vms[2] = fleet.start_vm("vm-4")?;
    fleet.wait_ready(2).await?;
    wait::until("the members to be the three that run", async || {
        let status = fleet.run_cli("primroseplank status --json").ok()?;
        let status: serde_json::Value = serde_json::from_str(&status.stdout).ok()?;
        let members = &status[0]["status"]["members"];
        (*members == serde_json::json!(["vm-1", "vm-2", "vm-4"])).then_some(())
    })
    .await?;
    let key = fleet.key.clone();
    assert_status_on_all(&fleet, &key, 200).await
}

#[tokio::test(flavor = "multi_thread")]
async fn signer_key_is_replaced_by_rolling_restarts() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    write_bundle_and_key(&fleet, &fleet.bundle().replace("rate: 100000\n", "rate: 90000\n"));
    let output = run_ok(&fleet, "primroseplank signer new alice --output alice-2.key")?;
    let line = output.lines().last().unwrap_or_default().trim().trim_start_matches("- ").to_owned();
    let add_signer =
        |settings: &str| settings.replace("signers: [", &format!("signers: [{line}, "));
    restart_all(&mut fleet, &add_signer).await?;

    let sign_with = |key: &str| {
        format!("primroseplank sign bundle.yaml --key {key} --signer alice --output {key}.signed")
    };
    run_ok(&fleet, &sign_with("alice.key"))?;
    run_ok(&fleet, "primroseplank accept alice.key.signed")?;
    run_ok(&fleet, &sign_with("alice-2.key"))?;
    run_ok(&fleet, "primroseplank accept alice-2.key.signed")?;

    let replace_signers = |settings: &str| {
        let signers = |text: &&str| text.starts_with("signers: ");
        let old = settings.lines().find(signers).unwrap_or_default();
        settings.replace(old, &format!("signers: [{line}]"))
    };
    restart_all(&mut fleet, &replace_signers).await?;
    let error = run_refused(&fleet, "primroseplank accept alice.key.signed")?;
    assert!(error.contains("signe"), "{error}");
    run_ok(&fleet, &sign_with("alice-2.key"))?;
    run_ok(&fleet, "primroseplank accept alice-2.key.signed")?;
    let key = fleet.key.clone();
    assert_status_on_all(&fleet, &key, 200).await
}

/// Restarts the VMs one after the other, with the settings that `change` returns.
async fn restart_all(
    fleet: &mut fleet::Fleet,
    change: &impl Fn(&str) -> String,
) -> proofs::Result<()> {
    for vm in 0..fleet.vms.len() {
        let name = format!("vm-{}", vm + 1);
        fleet.vms[vm].terminate()?;
        assert_eq!(fleet.vms[vm].wait()?.code(), Some(0));
        fleet.vms[vm] = fleet.start_vm_with(&name, &change(&fleet.settings(&name)))?;
        fleet.wait_ready(vm).await?;
    }
    Ok(())
}
