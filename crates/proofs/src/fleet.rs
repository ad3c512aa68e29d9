//! A small deployment whose platform services, targets and VMs run as separate processes.

use std::{collections, fs, net, path};

use bundle::{key, signed};

use crate::{Error, Result, caller, link, process, wait};

/// Credential that operators present.
pub const OPERATOR: &str = "operator-credential-of-the-proofs";
/// Credential that VMs present to each other.
pub const PEER: &str = "vm-credential-of-the-proofs";
/// Memory of each runner.
pub const RUNNER_MIB: u64 = 8_000;
/// Name of the deployment's signer.
const SIGNER: &str = "alice";
/// Signing time of the bundles, in seconds since the Unix epoch.
const SIGNED_AT: u64 = 1_764_800_000;

/// Size and shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of VMs.
    pub vms: usize,
    /// Number of runners.
    pub runners: usize,
    /// Whether the VMs' connections go through [`Links`].
    pub links: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self { vms: 2, runners: 2, links: false }
    }
}

/// The proxies through which a VM's connections go.
#[derive(Debug)]
pub struct Links {
    /// From the VM to the table service.
    pub table: link::Link,
    /// From the other VMs to the VM.
    pub peers: link::Link,
}

/// A running deployment: platform services, targets and VMs.
#[derive(Debug)]
pub struct Fleet {
    /// The table service.
    pub table: process::Program,
    /// The object store.
    pub objects: process::Program,
    /// The service that lists the VMs.
    pub list: process::Program,
    /// The weight store.
    pub weights: process::Program,
    /// The runners.
    pub runners: Vec<process::Program>,
    /// The plain service.
    pub desk: process::Program,
    /// The VMs; at the start, `vm-1` is at index 0.
    pub vms: Vec<process::Program>,
    /// Each VM's links by the VM's name; empty unless [`Config::links`] is set.
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
    /// Starts a deployment, has its bundle accepted and waits until all VMs serve calls.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or the VMs do not serve before the deadline.
    pub async fn start(config: Config) -> Result<Self> {
        let mut fleet = Self::start_without_bundle(config).await?;
        fleet.accept(&fleet.bundle()).await?;
        for vm in 0..config.vms {
            fleet.wait_ready(vm).await?;
        }
        fleet.wait_until_serving().await?;
        Ok(fleet)
    }

    /// Starts a deployment without a bundle.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub async fn start_without_bundle(config: Config) -> Result<Self> {
        let directory =
            tempfile::tempdir().map_err(|cause| Error::new("make", &"directory", &cause))?;
        let path = directory.path();
        let standin = |name: &str, role: &str, extra: &[&str]| {
            let arguments = [&[role], extra].concat();
            let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
            process::Program::start("standin", name, path, &arguments)
        };
        let weights = standin("weights", "weights", &["--loads-per-second", "10"])?;
        let store = weights.address("address").to_string();
        let names: Vec<String> = (1..=config.vms).map(|vm| format!("vm-{vm}")).collect();
        let vm_flags: Vec<&str> = names.iter().flat_map(|name| ["--vm", name]).collect();
        let mut fleet = Self {
            table: standin("table", "table", &[])?,
            objects: standin("objects", "objects", &[])?,
            list: standin("vms", "vms", &vm_flags)?,
            desk: standin("desk-1", "service", &["--name", "desk-1"])?,
            runners: (1..=config.runners)
                .map(|runner| {
                    let name = format!("runner-{runner}");
                    let memory = RUNNER_MIB.to_string();
                    let extra = ["--name", &name, "--fencing", "--load", "draft@v1=1200"];
                    let extra = [&extra[..], &["--weights", &store, "--memory-mib", &memory]];
                    standin(&name, "runner", &extra.concat())
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
    /// The process cannot be started.
    pub fn start_vm(&self, name: &str) -> Result<process::Program> {
        self.start_vm_with(name, &self.settings(name))
    }

    /// Starts a VM's process with `settings` instead of [`Fleet::settings`].
    ///
    /// # Errors
    ///
    /// The process cannot be started.
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

    /// The settings file of a VM, as YAML.
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

    /// The deployment's initial bundle, as YAML.
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

    /// Signs a bundle with the deployment's key and returns the signed document.
    #[must_use]
    pub fn sign(&self, bundle: &str) -> String {
        signed::sign(bundle, &self.secret, SIGNER, SIGNED_AT).to_json()
    }

    /// Signs a bundle and submits it to the first VM, with retries until the
    /// deadline since the VM may not be ready yet.
    ///
    /// # Errors
    ///
    /// The bundle is not accepted before the deadline.
    pub async fn accept(&mut self, bundle: &str) -> Result<()> {
        let document = self.sign(bundle);
        let mut last_answer = String::new();
        let accepted = wait::until("the bundle's acceptance", async || {
            let answer = self.send_to_operator(0, "POST", "/v1/accept", &document).await.ok()?;
            last_answer = answer.text();
            answer.status.is_success().then_some(())
        })
        .await;
        accepted.map_err(|error| Error::new("accept", &error, &last_answer))
    }

    /// The temporary directory with the deployment's settings and logs.
    #[must_use]
    pub fn directory(&self) -> &path::Path {
        self.directory.path()
    }

    /// The signer's secret key, in the format of a key file.
    #[must_use]
    pub fn signing_key(&self) -> String {
        self.secret.reveal()
    }

    /// Runs a command line of `primroseplank` in [`Fleet::directory`]. The VMs and
    /// the credential are passed in environment variables, as the operators' page
    /// documents.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn run_cli(&self, line: &str) -> Result<process::Run> {
        let vms: Vec<_> = self.vms.iter().map(|vm| vm.address("operator").to_string()).collect();
        let vms = vms.join(",");
        let environment = [("PRIMROSEPLANK_VM", &*vms), ("PRIMROSEPLANK_CREDENTIAL", OPERATOR)];
        let arguments: Vec<_> = line.split(' ').skip(1).collect();
        tokio::task::block_in_place(|| {
            process::run("primroseplank", self.directory(), &arguments, &environment)
        })
    }

    /// Sends a request to a VM's operator listener.
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

    /// Sends a request to a stand-in's control listener and returns the body.
    ///
    /// # Errors
    ///
    /// The connection failed, or the response is not a success.
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
    /// The connection failed, or the stand-in rejected the rules.
    pub async fn set_faults(
        program: &process::Program,
        rules: &[standin::fault::Rule],
    ) -> Result<()> {
        let rules = serde_json::json!(rules).to_string();
        Self::control(program, "PUT", "/faults", &rules).await.map(drop)
    }

    /// Number of calls that each runner has begun, in the order of [`Fleet::runners`].
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

    /// All calls that a target has begun, as it recorded them.
    ///
    /// # Errors
    ///
    /// The target does not answer.
    pub async fn calls(program: &process::Program) -> Result<Vec<standin::ledger::Call>> {
        let text = Self::control(program, "GET", "/calls", "").await?;
        serde_json::from_str(&text).map_err(|cause| Error::new("read", &"calls", &cause))
    }

    /// Waits until a VM reports that it is ready.
    ///
    /// # Errors
    ///
    /// The VM is not ready before the deadline.
    pub async fn wait_ready(&self, vm: usize) -> Result<()> {
        let name = format!("readiness of vm-{}", vm + 1);
        wait::until(&name, async || {
            let answer = self.send_to_operator(vm, "GET", "/readyz", "").await.ok()?;
            answer.status.is_success().then_some(())
        })
        .await
    }

    /// Waits until a VM reports that it is not ready.
    ///
    /// # Errors
    ///
    /// The VM stays ready until the deadline.
    pub async fn wait_not_ready(&self, vm: usize) -> Result<()> {
        let name = format!("vm-{} to be fenced", vm + 1);
        wait::until(&name, async || {
            let answer = self.send_to_operator(vm, "GET", "/readyz", "").await.ok()?;
            (!answer.status.is_success()).then_some(())
        })
        .await
    }

    /// Waits until every VM has settled on the newest head, has its share of each
    /// account's tokens, sees every runner as ready and answers a first chat.
    async fn wait_until_serving(&self) -> Result<()> {
        for vm in 0..self.vms.len() {
            wait::until("the VM to settle", async || {
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
            wait::until("the first answer", async || {
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

    /// Creates a client with the key of the account `mayors`.
    #[must_use]
    pub fn caller(&self) -> caller::Caller {
        caller::Caller::new(Some(&self.key))
    }

    /// Address of a VM's caller listener.
    #[must_use]
    pub fn caller_address(&self, vm: usize) -> net::SocketAddr {
        self.vms[vm].address("caller")
    }
}

/// Body of a chat completion request that asks for `tokens` tokens.
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

/// Text that every runner generates for [`chat_body`] with the same arguments.
#[must_use]
pub fn expected_answer(tokens: u64, prompt: &str) -> String {
    let body = serde_json::from_str(&chat_body(tokens, true, prompt)).unwrap_or_default();
    standin::text::range(&standin::text::digest(&body), 0, tokens)
}
