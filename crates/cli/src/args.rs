//! Arguments of the command line.
//!
//! Doc comments on these types are the help text of the program.

use std::{net, path, time};

const EXIT_CODES: &str = "\
Exit codes:
  0  done, or nothing is wrong
  1  refused, or faults were found
  2  the command line is wrong
  3  not known, or no VM could be reached

Environment:
  PRIMROSEPLANK_VM          addresses as of --vm, separated by commas
  PRIMROSEPLANK_CREDENTIAL  the operators' credential, if --credential-file is not given

A change of bundles, step by step:
  primroseplank check bundle.yaml
  primroseplank diff bundle.yaml
  primroseplank sign bundle.yaml --key alice.key --signer alice --output bundle.signed
  primroseplank accept bundle.signed
  primroseplank status";

/// Operates a primroseplank fleet: bundles, client keys, drains and status.
///
/// Commands that need a VM talk to the operator interface of any of them; every change applies to
/// the whole fleet. With several --vm the next one is tried if one cannot be reached.
#[derive(Clone, Debug)]
#[derive(clap::Parser)]
#[command(name = "primroseplank", version, after_help = EXIT_CODES)]
pub struct Line {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
    /// Which VM to talk to, and how.
    #[command(flatten)]
    pub remote: Remote,
    /// Print JSON where a table or a report is printed.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Which VM to talk to, and how.
#[derive(Clone, Debug)]
#[derive(clap::Args)]
#[command(next_help_heading = "Connection")]
pub struct Remote {
    /// Address of a VM's operator interface: IP number and port; may be given more than once.
    #[arg(long = "vm", global = true, value_name = "IP:PORT")]
    pub vms: Vec<net::SocketAddr>,
    /// File with the operators' credential, readable by its owner alone.
    #[arg(long, global = true, value_name = "FILE")]
    pub credential_file: Option<path::PathBuf>,
    /// Longest time to wait for an answer, in seconds.
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 60,
          value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub timeout: u64,
}

impl Remote {
    /// Returns the longest time to wait for an answer.
    #[must_use]
    pub const fn timeout(&self) -> time::Duration {
        time::Duration::from_secs(self.timeout)
    }
}

/// What to do.
#[derive(Clone, Debug)]
#[derive(clap::Subcommand)]
pub enum Command {
    /// Check a bundle: every fault with its line, the memory sum, the loads of a rollout.
    Check {
        /// The bundle, a YAML file.
        bundle: path::PathBuf,
    },
    /// Describe what a bundle changes compared with the one in force.
    Diff {
        /// The new bundle: a YAML file or a signed document.
        bundle: path::PathBuf,
        /// Compare with this file instead of the bundle in force.
        #[arg(long, value_name = "FILE")]
        against: Option<path::PathBuf>,
    },
    /// Sign a bundle that passes the check.
    Sign {
        /// The bundle, a YAML file.
        bundle: path::PathBuf,
        /// File with the signing key.
        #[arg(long, value_name = "FILE")]
        key: path::PathBuf,
        /// Name of the signer, as in the settings of the VMs.
        #[arg(long, value_name = "NAME")]
        signer: String,
        /// Write the signed document to this file instead of the standard output.
        #[arg(long, value_name = "FILE")]
        output: Option<path::PathBuf>,
    },
    /// Verify a signed document and print who signed it and when.
    Verify {
        /// The signed document.
        document: path::PathBuf,
        /// Public key of the signer, 64 hexadecimal digits; may be given more than once.
        #[arg(long = "signer-key", value_name = "HEX", required = true)]
        keys: Vec<String>,
    },
    /// Generate signing keys.
    Signer {
        /// What to do with signers.
        #[command(subcommand)]
        command: Signer,
    },
    /// Put a signed bundle in force and wait until every VM has it.
    Accept {
        /// The signed document.
        document: path::PathBuf,
        /// Refuse unless this version is in force; guards against concurrent changes.
        #[arg(long, value_name = "VERSION")]
        replaces: Option<u64>,
    },
    /// List what has been in force, or print an earlier document.
    ///
    /// To go back, print the earlier document and accept it: it comes into force as a new version.
    History {
        /// Print the signed document of this version.
        #[arg(long, value_name = "VERSION")]
        show: Option<u64>,
        /// List at most this many changes.
        #[arg(long, value_name = "COUNT", default_value_t = 20)]
        last: usize,
    },
    /// Issue, list, withdraw and rotate client keys.
    Key {
        /// What to do with keys.
        #[command(subcommand)]
        command: Key,
    },
    /// Send no new work to a target; its open calls are left to finish.
    ///
    /// The drain applies to the whole fleet and continues if this command is interrupted. Give all
    /// --vm to see the calls of all VMs.
    Drain {
        /// Name of the runner, or of the instance of a service.
        target: String,
        /// Wait until no call is open at the target, for --timeout at most.
        #[arg(long)]
        wait: bool,
        /// Only report the progress of the drain; change nothing.
        #[arg(long)]
        status: bool,
    },
    /// Send work to a drained target again.
    Return {
        /// Name of the target.
        target: String,
    },
    /// Print a VM's tables as JSON, without secrets.
    State,
    /// Report whether callers are served, what is in progress, what is wrong and what to do.
    ///
    /// Asks every --vm. Exits with 1 if something is wrong.
    Status,
}

/// What to do with signers.
#[derive(Clone, Debug)]
#[derive(clap::Subcommand)]
pub enum Signer {
    /// Generate a signing key and print the line for the settings of the VMs.
    ///
    /// To replace a key without a gap, add the new line beside the old one on every VM, sign with
    /// the new key from then on, and remove the old line later.
    New {
        /// Name of the signer.
        name: String,
        /// Write the key here; the file must not exist and is made readable by its owner alone.
        #[arg(long, value_name = "FILE")]
        output: path::PathBuf,
    },
}

/// What to do with keys.
#[derive(Clone, Debug)]
#[derive(clap::Subcommand)]
pub enum Key {
    /// Issue a key to an account and show it once.
    ///
    /// The secret is generated by this program; the VMs receive only its digest.
    Issue {
        /// The account.
        account: String,
        /// Public part of the key, safe to log; generated if left out.
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// List the keys of all accounts, without secrets.
    List,
    /// Refuse a key permanently, on every VM.
    Withdraw {
        /// Public part of the key: ID in pp.ID.SECRET.
        id: String,
    },
    /// Issue another key to the account of a key; the old one stays valid until it is withdrawn.
    Rotate {
        /// Public part of the old key.
        id: String,
        /// Public part of the new key; generated if left out.
        #[arg(long, value_name = "ID")]
        new_id: Option<String>,
        /// Withdraw the old key at once, without an overlap.
        #[arg(long)]
        withdraw: bool,
    },
}
