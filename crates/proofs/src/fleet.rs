//! A whole small deployment as separate processes.

use std::{collections, fs, net, path};

use bundle::{key, signed};

use crate::{Error, Result, caller, link, process, wait};

/// Credential of the operators.
pub const OPERATOR: &str = "operator-credential-of-the-proofs";
/// Credential of the VMs.
pub const PEER: &str = "vm-credential-of-the-proofs";
/// Memory of a runner, in MiB.
pub const RUNNER_MIB: u64 = 8_000;
/// Name of the signer.
const SIGNER: &str = "alice";
/// When the proofs' bundles were signed, in seconds since the epoch.
const SIGNED_AT: u64 = 1_764_800_000;

/// What to start.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of VMs.
    pub vms: usize,
    /// Number of runners.
    pub runners: usize,
    /// Whether the VMs' links can be cut.
    pub links: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self { vms: 2, runners: 2, links: false }
    }
}

/// The links of a VM that can be cut.
#[derive(Debug)]
pub struct Links {
    /// From the VM to the table service.
    pub table: link::Link,
    /// From the other VMs to the VM.
    pub peers: link::Link,
}

/// Platform, targets and VMs.
#[derive(Debug)]
pub struct Fleet {
    /// The table service.
    pub table: process::Program,
    /// The object store.
    pub objects: process::Program,
    /// The list of VMs.
    pub list: process::Program,
    /// The weight store.
    pub weights: process::Program,
    /// The runners.
    pub runners: Vec<process::Program>,
    /// The plain service.
    pub desk: process::Program,
    /// The VMs, by the order of their names.
    pub vms: Vec<process::Program>,
    /// The VMs' links, by the VMs' names, if they can be cut.
    pub links: collections::BTreeMap<String, Links>,
    /// A key of the account `mayors`.
    pub key: String,
    /// A key of the account `families`.
    pub other_key: String,
    secret: signed::Secret,
    directory: tempfile::TempDir,
    client: caller::Caller,
}

impl Fleet {
    /// Starts a deployment, accepts its bundle and waits until all VMs serve.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or the VMs do not become ready in time.
    pub async fn start(config: Config) -> Result<Self> {
        let mut fleet = Self::start_without_bundle(config).await?;
        fleet.accept(&fleet.bundle()).await?;
        for vm in 0..config.vms {
            fleet.wait_ready(vm).await?;
        }
        fleet.served().await?;
        Ok(fleet)
    }

    /// Starts a deployment in which no bundle is in force yet.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub async fn start_without_bundle(config: Config) -> Result<Self> {
        let directory =
            tempfile::tempdir().map_err(|cause| Error::new("make", &"directory", &cause))?;
        let path = directory.path();
        let standin = |name: &str, role: &str, more: &[&str]| {
            let arguments = [&[role], more].concat();
            let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
            process::Program::start("standin", name, path, &arguments)
        };
        let weights = standin("weights", "weights", &["--loads-per-second", "10"])?;
        let store = weights.address("address").to_string();
        let names: Vec<String> = (1..=config.vms).map(|vm| format!("vm-{vm}")).collect();
        let listed: Vec<&str> = names.iter().flat_map(|name| ["--vm", name]).collect();
        let mut fleet = Self {
            table: standin("table", "table", &[])?,
            objects: standin("objects", "objects", &[])?,
            list: standin("vms", "vms", &listed)?,
            desk: standin("desk-1", "service", &["--name", "desk-1"])?,
            runners: (1..=config.runners)
                .map(|runner| {
                    let name = format!("runner-{runner}");
                    let memory = RUNNER_MIB.to_string();
                    let more = ["--name", &name, "--fencing", "--load", "draft@v1=1200"];
                    let more = [&more[..], &["--weights", &store, "--memory-mib", &memory]];
                    standin(&name, "runner", &more.concat())
                })
                .collect::<Result<_>>()?,
            weights,
            vms: Vec::new(),
            links: collections::BTreeMap::new(),
            key: key::Secret::new(&"mayors-1".into(), &[7; 24]).reveal().to_owned(),
            other_key: key::Secret::new(&"families-1".into(), &[8; 24]).reveal().to_owned(),
            secret: signed::Secret::new([9; 32]),
            client: caller::Caller::new(Some(OPERATOR)),
            directory,
        };
        for name in &names {
            if config.links {
                let links =
                    Links { table: link::Link::start().await?, peers: link::Link::start().await? };
                links.table.set_target(fleet.table.address("address"));
                fleet.links.insert(name.clone(), links);
            }
            let vm = fleet.start_vm(name)?;
            fleet.vms.push(vm);
        }
        Ok(fleet)
    }

    /// Starts a VM's process, as a new incarnation.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start_vm(&self, name: &str) -> Result<process::Program> {
        self.start_vm_with(name, &self.settings(name))
    }

    /// Starts a VM's process with other settings than [`Fleet::settings`].
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start_vm_with(&self, name: &str, settings: &str) -> Result<process::Program> {
        let file = self.directory.path().join(format!("{name}.yaml"));
        fs::write(&file, settings).map_err(|cause| Error::new("write settings", &name, &cause))?;
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let vm =
            process::Program::start("primroseplankd", name, self.directory.path(), &arguments)?;
        if let Some(links) = self.links.get(name) {
            links.peers.set_target(vm.address("peer"));
        }
        Ok(vm)
    }

    /// The settings of a VM.
    #[must_use]
    pub fn settings(&self, name: &str) -> String {
        let links = self.links.get(name);
        let table = links.map(|links| links.table.address());
        let table = table.unwrap_or_else(|| self.table.address("address"));
        let advertised = links.map(|links| format!(", advertised: '{}'", links.peers.address()));
        let advertised = advertised.unwrap_or_default();
        let objects = self.objects.address("address");
        let list = self.list.address("address");
        let signer = self.secret.public();
        format!(
            "vm: {name}\ncentre: north\n\
             caller: {{address: '127.0.0.1:0'}}\n\
             operator: {{address: '127.0.0.1:0', credential: {OPERATOR}}}\n\
             peer: {{address: '127.0.0.1:0', credential: {PEER}{advertised}}}\n\
             platform: {{table: '{table}', objects: '{objects}', vms: '{list}'}}\n\
             signers: [{{name: {SIGNER}, key: {signer}}}]\n\
             log: {{format: json, level: debug}}\n\
             limits: {{body_bytes: 65536, keep_alive_ms: 1000, chunk_ms: 1000}}\n\
             stop: {{balancer_wait_ms: 1000}}\n"
        )
    }

    /// The bundle of this deployment.
    #[must_use]
    pub fn bundle(&self) -> String {
        let digest = ids::Digest::of(self.key.as_bytes());
        let other = ids::Digest::of(self.other_key.as_bytes());
        let desk = self.desk.address("address");
        let runner = |(number, runner): (usize, &process::Program)| {
            let address = runner.address("address");
            format!(
                "  - {{name: runner-{number}, centre: north, address: '{address}', \
                 accelerators: 1, memory_mib: {RUNNER_MIB}, fencing: true}}"
            )
        };
        let runners: Vec<String> = (1..).zip(&self.runners).map(runner).collect();
        let runners = runners.join("\n");
        let copies = self.runners.len();
        format!(
            "format: 1\ndeployment: proofs\ncentres: [north]\n\
             models:\n  - {{name: draft, version: v1, memory_mib: 1000, kv_floor_mib: 200, \
             copies: {copies}}}\n\
             runners:\n{runners}\n\
             services:\n  - name: desk\n    targets:\n      \
             - {{name: desk-1, centre: north, address: '{desk}'}}\n    routes:\n      \
             - {{path: /lookup/public, repeatable: true, open: true}}\n      \
             - {{path: /lookup, repeatable: true}}\n      \
             - {{path: /booking, repeatable: false, cost: 5}}\n\
             accounts:\n  - name: mayors\n    class: paid\n    rate: 100000\n    \
             burst: 1000000\n    keys: [{{id: mayors-1, digest: {digest}}}]\n  \
             - name: families\n    class: courtesy\n    rate: 100000\n    burst: 1000000\n    \
             keys: [{{id: families-1, digest: {other}}}]\n\
             weights: {{loads_per_second: 10, loads_at_once: 10}}\n"
        )
    }

    /// Signs a bundle as this deployment's signer.
    #[must_use]
    pub fn sign(&self, bundle: &str) -> String {
        signed::sign(bundle, &self.secret, SIGNER, SIGNED_AT).to_json()
    }

    /// Signs a bundle and has it accepted by a VM, with more tries until the
    /// deadline while none is ready to.
    ///
    /// # Errors
    ///
    /// It is not accepted before the deadline.
    pub async fn accept(&mut self, bundle: &str) -> Result<()> {
        let document = self.sign(bundle);
        let mut said = String::new();
        let accepted = wait::until("the bundle's acceptance", async || {
            let answer = self.send_to_operator(0, "POST", "/v1/accept", &document).await.ok()?;
            said = answer.text();
            answer.status.is_success().then_some(())
        })
        .await;
        accepted.map_err(|error| Error::new("accept", &error, &said))
    }

    /// Where the files of this deployment are.
    #[must_use]
    pub fn directory(&self) -> &path::Path {
        self.directory.path()
    }

    /// The signing key of this deployment's signer, as its file has it.
    #[must_use]
    pub fn signing_key(&self) -> String {
        self.secret.reveal()
    }

    /// Runs the operators' command line in [`Fleet::directory`]; it finds the
    /// VMs and the credential as the operators' page tells.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn run_cli(&self, line: &str) -> Result<process::Run> {
        let vms: Vec<_> = self.vms.iter().map(|vm| vm.address("operator").to_string()).collect();
        let vms = vms.join(",");
        let environment = [("PRIMROSEPLANK_VM", &*vms), ("PRIMROSEPLANK_CREDENTIAL", OPERATOR)];
        let arguments: Vec<_> = line.split(' ').skip(1).collect();
        tokio::task::block_in_place(|| {
            process::run("primroseplank", self.directory(), &arguments, &environment)
        })
    }

    /// Sends a request to a VM's operator face.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send_to_operator(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<caller::Answer> {
        let address = self.vms[vm].address("operator");
        self.client.send(address, method, path, &[], body).await
    }

    /// Sends a request to a stand-in's control face.
    ///
    /// # Errors
    ///
    /// The connection failed or the stand-in refused.
    pub async fn control(
        program: &process::Program,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<String> {
        let address = program.address("control");
        let answer = caller::Caller::new(None).send(address, method, path, &[], body).await?;
        if answer.status.is_success() {
            return Ok(answer.text());
        }
        Err(Error::new("control", &address, &answer.text()))
    }

    /// Replaces the fault rules of a stand-in.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub async fn set_faults(
        program: &process::Program,
        rules: &[standin::fault::Rule],
    ) -> Result<()> {
        let rules = serde_json::json!(rules).to_string();
        Self::control(program, "PUT", "/faults", &rules).await.map(drop)
    }

    /// Number of calls that each runner has begun.
    ///
    /// # Errors
    ///
    /// A runner does not answer.
    pub async fn begun_counts(&self) -> Result<Vec<usize>> {
        let mut begun = Vec::new();
        for runner in &self.runners {
            begun.push(Self::calls(runner).await?.len());
        }
        Ok(begun)
    }

    /// Every call that a target has begun.
    ///
    /// # Errors
    ///
    /// The target does not answer.
    pub async fn calls(program: &process::Program) -> Result<Vec<standin::ledger::Call>> {
        let text = Self::control(program, "GET", "/calls", "").await?;
        serde_json::from_str(&text).map_err(|cause| Error::new("read", &"calls", &cause))
    }

    /// Waits until a VM is ready for calls.
    ///
    /// # Errors
    ///
    /// It does not become ready before the deadline.
    pub async fn wait_ready(&self, vm: usize) -> Result<()> {
        let name = format!("readiness of vm-{}", vm + 1);
        wait::until(&name, async || {
            let answer = self.send_to_operator(vm, "GET", "/readyz", "").await.ok()?;
            answer.status.is_success().then_some(())
        })
        .await
    }

    /// Waits until a VM is not ready for calls.
    ///
    /// # Errors
    ///
    /// It stays ready until the deadline.
    pub async fn wait_not_ready(&self, vm: usize) -> Result<()> {
        let name = format!("vm-{} to be fenced", vm + 1);
        wait::until(&name, async || {
            let answer = self.send_to_operator(vm, "GET", "/readyz", "").await.ok()?;
            (!answer.status.is_success()).then_some(())
        })
        .await
    }

    /// Waits until every VM knows every runner as ready and that no VM is
    /// behind the newest head, and has its own share of each account's tokens.
    async fn served(&self) -> Result<()> {
        for vm in 0..self.vms.len() {
            wait::until("a settled start", async || {
                let state = self.send_to_operator(vm, "GET", "/state", "").await.ok()?;
                let state: serde_json::Value = state.json().ok()?;
                let state = &state["state"];
                if state["member"]["settled"] != state["member"]["head"]["version"] {
                    return None;
                }
                let accounts = state["quota"].as_array()?;
                if accounts.iter().any(|account| account["share"] == 0) {
                    return None;
                }
                let targets = &state["targets"];
                let mut names = (1..=self.runners.len()).map(|runner| format!("runner-{runner}"));
                names.all(|name| targets[&name]["ready"][0] == "draft").then_some(())
            })
            .await?;
            let caller = self.caller();
            wait::until("a first answer", async || {
                let body = chat_body(1, false, "warm-up");
                let path = "/v1/chat/completions";
                let sent =
                    caller.send(self.caller_address(vm), "POST", path, &[], &body).await.ok()?;
                sent.status.is_success().then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// A caller with the key of the account `mayors`.
    #[must_use]
    pub fn caller(&self) -> caller::Caller {
        caller::Caller::new(Some(&self.key))
    }

    /// Address of a VM's caller face.
    #[must_use]
    pub fn caller_address(&self, vm: usize) -> net::SocketAddr {
        self.vms[vm].address("caller")
    }
}

/// The body of a chat with `tokens` tokens to generate.
#[must_use]
pub fn chat_body(tokens: u64, stream: bool, prompt: &str) -> String {
    serde_json::json!({
        "model": "draft",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
}

/// What any runner answers to such a chat.
#[must_use]
pub fn expected_answer(tokens: u64, prompt: &str) -> String {
    let body = serde_json::from_str(&chat_body(tokens, true, prompt)).unwrap_or_default();
    standin::text::range(&standin::text::digest(&body), 0, tokens)
}
