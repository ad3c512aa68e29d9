//! An operator's day with the real programs: every command as the operators'
//! page shows it, while callers are served.

use std::{fs, os::unix::fs::PermissionsExt as _, sync, sync::atomic};

use proofs::{caller, fleet, process, wait};

/// Tokens of each draft.
const TOKENS: u64 = 40;

/// Drafts that are streamed at once.
const WORKERS: usize = 6;

/// Runs a command that has to end with 0, and gives what it printed.
fn done(fleet: &fleet::Fleet, line: &str) -> proofs::Result<String> {
    let run = fleet.run_cli(line)?;
    assert_eq!(run.code, Some(0), "{line}: {run:?}");
    Ok(run.stdout)
}

/// Runs a command that has to be refused, and gives why.
fn refused(fleet: &fleet::Fleet, line: &str) -> proofs::Result<String> {
    let run = fleet.run_cli(line)?;
    assert_eq!(run.code, Some(1), "{line}: {run:?}");
    Ok(run.stderr)
}

/// Puts a bundle and the signer's key where the commands look for them.
fn prepare(fleet: &fleet::Fleet, bundle: &str) {
    let key = fleet.directory().join("alice.key");
    if !key.exists() {
        fs::write(&key, fleet.signing_key()).expect("a file");
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).expect("access rights");
    }
    fs::write(fleet.directory().join("bundle.yaml"), bundle).expect("a file");
}

/// The version that a command has put in force.
fn version(out: &str) -> u64 {
    let rest = out.split("as version ").nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_else(|_| panic!("a version in {out}"))
}

/// Waits until the status of all VMs says nothing of `what`, and of nothing wrong.
async fn over(fleet: &fleet::Fleet, what: &str) -> proofs::Result<()> {
    wait::until(&format!("the end of {what}"), async || {
        let run = fleet.run_cli("primroseplank status").ok()?;
        (run.code == Some(0) && !run.stdout.contains(what)).then_some(())
    })
    .await
}

/// Drafts that are streamed without a pause.
struct Traffic {
    ended: sync::Arc<atomic::AtomicBool>,
    workers: Vec<tokio::task::JoinHandle<proofs::Result<Drafts>>>,
}

/// What became of a worker's drafts.
#[derive(Debug, Default)]
struct Drafts {
    /// Number of drafts that were whole.
    whole: usize,
    /// What was wrong with the others.
    failed: Vec<String>,
}

impl Traffic {
    /// Streams drafts through the VMs of `fleet` from now on.
    fn start(fleet: &fleet::Fleet) -> Self {
        let ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let worker = |number: usize| {
            let (caller, ended) = (fleet.caller(), sync::Arc::clone(&ended));
            let address = fleet.caller_address(number % fleet.vms.len());
            tokio::spawn(draft(caller, address, number, ended))
        };
        Self { workers: (0..WORKERS).map(worker).collect(), ended }
    }

    /// Ends it; every draft has to be whole.
    async fn whole(self) -> proofs::Result<()> {
        self.ended.store(true, atomic::Ordering::Relaxed);
        for worker in self.workers {
            let drafts = worker.await.expect("a task")?;
            assert!(drafts.failed.is_empty() && drafts.whole > 0, "{drafts:?}");
        }
        Ok(())
    }
}

/// Streams drafts until the end.
async fn draft(
    caller: caller::Caller,
    address: std::net::SocketAddr,
    number: usize,
    ended: sync::Arc<atomic::AtomicBool>,
) -> proofs::Result<Drafts> {
    let mut drafts = Drafts::default();
    while !ended.load(atomic::Ordering::Relaxed) {
        let prompt = format!("draft {number} after {}", drafts.whole);
        let body = fleet::chat_body(TOKENS, true, &prompt);
        let stream = caller.stream(address, &[], &body).await?;
        let status = stream.status();
        let end = stream.read_to_end().await?;
        if end.is_done && end.text == fleet::expected_answer(TOKENS, &prompt) {
            drafts.whole += 1;
        } else {
            drafts.failed.push(format!("{prompt}: {status}, {:?}", end.error));
        }
    }
    Ok(drafts)
}

/// The versions of the model that a runner holds, as it reports itself.
async fn held(runner: &process::Program) -> proofs::Result<Vec<String>> {
    let address = runner.address("address");
    let report = caller::Caller::new(None).send(address, "GET", "/report", &[], "").await?;
    let report: serde_json::Value = report.json().expect("JSON");
    let residents = report["residents"].as_array().cloned().unwrap_or_default();
    Ok(residents.iter().map(|each| format!("{} {}", each["version"], each["state"])).collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_is_changed_and_taken_back_while_drafts_are_streamed() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 2, ..fleet::Config::default() })
            .await?;
    let before = version_in_force(&fleet)?;
    // The second copy is loaded seconds after the first one, so that both versions are in use.
    let slow = fleet.bundle().replace("loads_per_second: 10,", "loads_per_second: 0.25,");
    prepare(&fleet, &slow.replace("version: v1", "version: v2"));
    let traffic = Traffic::start(&fleet);

    done(&fleet, "primroseplank check bundle.yaml")?;
    let diff = done(&fleet, "primroseplank diff bundle.yaml")?;
    assert!(diff.contains("v1 -> v2"), "{diff}");
    let sign =
        "primroseplank sign bundle.yaml --key alice.key --signer alice --output bundle.signed";
    done(&fleet, sign)?;
    let stale = format!("primroseplank accept bundle.signed --replaces {}", before + 7);
    assert!(refused(&fleet, &stale)?.contains("is in force"));
    let accept = format!("primroseplank accept bundle.signed --replaces {before}");
    let after = version(&done(&fleet, &accept)?);
    assert_eq!(after, before + 1);
    wait::until("a status amid the rollout", async || {
        let status = fleet.run_cli("primroseplank status").ok()?.stdout;
        let both = status.contains("draft: 1 of 2 copies of v2 ready on runner-");
        (both && status.contains("v1 still ready on runner-")).then_some(())
    })
    .await?;
    over(&fleet, "draft:").await?;
    for runner in &fleet.runners {
        assert_eq!(held(runner).await?, ["\"v2\" \"ready\""], "the old version is gone");
    }

    let history = done(&fleet, "primroseplank history")?;
    assert!(history.contains("signed by alice"), "{history}");
    let back = done(&fleet, &format!("primroseplank history --show {before}"))?;
    fs::write(fleet.directory().join("back.signed"), back).expect("a file");
    assert_eq!(version(&done(&fleet, "primroseplank accept back.signed")?), after + 1);
    over(&fleet, "draft:").await?;
    for runner in &fleet.runners {
        assert_eq!(held(runner).await?, ["\"v1\" \"ready\""], "the old version is back");
    }
    traffic.whole().await
}

/// The version in force on the first VM.
fn version_in_force(fleet: &fleet::Fleet) -> proofs::Result<u64> {
    let status = done(fleet, "primroseplank status --json")?;
    let status: serde_json::Value = serde_json::from_str(&status).expect("JSON");
    Ok(status[0]["status"]["version"].as_u64().expect("a version"))
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_issued_rotated_and_withdrawn_on_every_vm() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    let shown = |out: String| {
        let key = out.lines().find(|line| line.starts_with("pp."));
        key.unwrap_or_default().to_owned()
    };
    let first = shown(done(&fleet, "primroseplank key issue mayors --id mayors-2026c")?);
    all_answer(&fleet, &first, 200).await?;
    let rotate = "primroseplank key rotate mayors-2026c --new-id mayors-2026d";
    let second = shown(done(&fleet, rotate)?);
    all_answer(&fleet, &first, 200).await?;
    all_answer(&fleet, &second, 200).await?;
    done(&fleet, "primroseplank key withdraw mayors-2026c")?;
    all_answer(&fleet, &first, 401).await?;
    all_answer(&fleet, &second, 200).await?;
    let list = done(&fleet, "primroseplank key list")?;
    assert!(list.lines().any(|line| line.contains("mayors-2026c") && line.contains("withdrawn")));
    assert!(!list.contains(second.rsplit('.').next().unwrap_or("pp")), "{list}");
    Ok(())
}

/// Asks every VM with `key` and expects `status`.
async fn all_answer(fleet: &fleet::Fleet, key: &str, status: u16) -> proofs::Result<()> {
    for vm in 0..fleet.vms.len() {
        let caller = caller::Caller::new(Some(key));
        let path = "/svc/desk/lookup/1";
        let answer = caller.send(fleet.caller_address(vm), "GET", path, &[], "").await?;
        assert_eq!(answer.status, status, "VM {vm}: {}", answer.text());
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn runner_is_drained_and_returned_while_drafts_are_streamed() -> proofs::Result<()> {
    let fleet =
        fleet::Fleet::start(fleet::Config { vms: 2, runners: 2, ..fleet::Config::default() })
            .await?;
    let traffic = Traffic::start(&fleet);
    let out = done(&fleet, "primroseplank drain runner-1 --wait --timeout 50")?;
    assert_eq!(out, "runner-1: no new work, no call open\n");
    let begun = fleet.begun_counts().await?;
    // Any operator sees it, on any VM.
    let look = "primroseplank drain runner-1 --status";
    assert_eq!(done(&fleet, look)?, "runner-1: no new work, no call open\n");
    let status = done(&fleet, "primroseplank status")?;
    assert!(status.contains("runner-1: no new work"), "{status}");
    wait::until("more drafts at the other runner", async || {
        (fleet.begun_counts().await.ok()?[1] > begun[1] + 10).then_some(())
    })
    .await?;
    assert_eq!(fleet.begun_counts().await?[0], begun[0], "the drained runner began no call");
    done(&fleet, "primroseplank return runner-1")?;
    wait::until("drafts at the returned runner", async || {
        (fleet.begun_counts().await.ok()?[0] > begun[0]).then_some(())
    })
    .await?;
    over(&fleet, "runner-1").await?;
    traffic.whole().await
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
    all_answer(&fleet, &key, 200).await
}

#[tokio::test(flavor = "multi_thread")]
async fn signer_is_replaced_without_a_gap() -> proofs::Result<()> {
    let mut fleet =
        fleet::Fleet::start(fleet::Config { vms: 3, runners: 1, ..fleet::Config::default() })
            .await?;
    prepare(&fleet, &fleet.bundle().replace("rate: 100000\n", "rate: 90000\n"));
    let made = done(&fleet, "primroseplank signer new alice --output alice-2.key")?;
    let line = made.lines().last().unwrap_or_default().trim().trim_start_matches("- ").to_owned();
    let both = |settings: &str| settings.replace("signers: [", &format!("signers: [{line}, "));
    restart_all(&mut fleet, &both).await?;

    let by = |key: &str| {
        format!("primroseplank sign bundle.yaml --key {key} --signer alice --output {key}.signed")
    };
    done(&fleet, &by("alice.key"))?;
    done(&fleet, "primroseplank accept alice.key.signed")?;
    done(&fleet, &by("alice-2.key"))?;
    done(&fleet, "primroseplank accept alice-2.key.signed")?;

    let only = |settings: &str| {
        let signers = |text: &&str| text.starts_with("signers: ");
        let old = settings.lines().find(signers).unwrap_or_default();
        settings.replace(old, &format!("signers: [{line}]"))
    };
    restart_all(&mut fleet, &only).await?;
    let why = refused(&fleet, "primroseplank accept alice.key.signed")?;
    assert!(why.contains("signe"), "{why}");
    done(&fleet, &by("alice-2.key"))?;
    done(&fleet, "primroseplank accept alice-2.key.signed")?;
    let key = fleet.key.clone();
    all_answer(&fleet, &key, 200).await
}

/// Restarts the VMs one after the other with changed settings.
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
