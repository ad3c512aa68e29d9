//! Programs as separate processes.

use std::{env, fs, io, io::BufRead as _, path, process, thread, time};

use rustix::process::{Pid, Signal};

use crate::{Error, Result, wait};

/// Time between two polls of a process or its log.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// A running program, killed on drop.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: process::Child,
    banner: serde_json::Value,
    log: path::PathBuf,
    /// Standard output that is kept open but no longer read.
    unread: Option<io::BufReader<process::ChildStdout>>,
}

impl Program {
    /// Starts the program `binary` and reads the line of standard output that
    /// contains its addresses. Standard error goes to `name`.log in `directory`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or does not print its addresses.
    pub fn start(
        binary: &str,
        name: &str,
        directory: &path::Path,
        arguments: &[String],
    ) -> Result<Self> {
        let error = |cause: &dyn std::fmt::Display| Error::new("start", &name, &cause);
        let log = directory.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(&log);
        let file = file.map_err(|cause| error(&cause))?;
        let mut child = process::Command::new(program_directory()?.join(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(file)
            .spawn()
            .map_err(|cause| error(&cause))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let read = io::BufReader::new(stdout).read_line(&mut line);
            read.map_err(|cause| error(&cause))?;
        }
        let banner = match serde_json::from_str(&line) {
            Ok(banner) => banner,
            Err(cause) => {
                let text = fs::read_to_string(&log).unwrap_or_default();
                return Err(error(&format!("{cause}; its log: {text}")));
            }
        };
        Ok(Self { name: name.to_owned(), child, banner, log, unread: None })
    }

    /// Starts the program `binary`, which logs JSON lines to its standard output,
    /// and stops reading after the line that contains its addresses, so that the
    /// pipe fills up and further writes block.
    ///
    /// # Errors
    ///
    /// The program cannot be started or does not print its addresses.
    pub fn start_with_unread_output(
        binary: &str,
        name: &str,
        arguments: &[String],
    ) -> Result<Self> {
        let error = |cause: &dyn std::fmt::Display| Error::new("start", &name, &cause);
        let mut child = process::Command::new(program_directory()?.join(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|cause| error(&cause))?;
        let output = child.stdout.take().ok_or_else(|| error(&"it has no output"))?;
        let mut output = io::BufReader::new(output);
        let mut line = String::new();
        loop {
            line.clear();
            let length = output.read_line(&mut line).map_err(|cause| error(&cause))?;
            if length == 0 {
                return Err(error(&"it printed no address"));
            }
            let banner: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
            if banner["step"] == "start" {
                let (name, log) = (name.to_owned(), path::PathBuf::new());
                return Ok(Self { name, child, banner, log, unread: Some(output) });
            }
        }
    }

    /// Starts the program `binary`, which logs JSON lines to its standard output,
    /// and waits for the line that contains its addresses. Its output is appended
    /// to `name`.log in `directory`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or does not print its addresses.
    pub fn start_logging(
        binary: &str,
        name: &str,
        directory: &path::Path,
        arguments: &[String],
    ) -> Result<Self> {
        let error = |cause: &dyn std::fmt::Display| Error::new("start", &name, &cause);
        let log = directory.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(&log);
        let file = file.map_err(|cause| error(&cause))?;
        let start = file.metadata().map_err(|cause| error(&cause))?.len();
        let errors = file.try_clone().map_err(|cause| error(&cause))?;
        let child = process::Command::new(program_directory()?.join(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(|cause| error(&cause))?;
        let banner = serde_json::Value::Null;
        let mut program = Self { name: name.to_owned(), child, banner, log, unread: None };
        let started = time::Instant::now();
        while started.elapsed() < wait::DEADLINE && program.is_running() {
            let text = program.log();
            let new = usize::try_from(start).ok().and_then(|start| text.get(start..));
            let lines = new.unwrap_or_default().lines();
            let records = lines.filter_map(|line| serde_json::from_str(line).ok());
            let mut records = records.filter(|line: &serde_json::Value| line["step"] == "start");
            if let Some(banner) = records.next() {
                program.banner = banner;
                return Ok(program);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(error(&format!("it printed no address; its log: {}", program.log())))
    }

    /// The address `name` that the program printed at startup.
    ///
    /// # Panics
    ///
    /// The program printed no valid address of that name.
    #[must_use]
    pub fn address(&self, name: &str) -> std::net::SocketAddr {
        let text = self.banner[name].as_str().unwrap_or_default();
        text.parse().unwrap_or_else(|cause| panic!("{}: address {name}: {cause}", self.name))
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Contents of the program's log file; empty if it cannot be read.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Suspends the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process (SIGCONT).
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully (SIGTERM).
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    ///
    /// # Errors
    ///
    /// The process has already exited.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        self.wait().map(drop)
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// It has not exited before the deadline.
    pub fn wait(&mut self) -> Result<process::ExitStatus> {
        let error = |cause: &dyn std::fmt::Display| Error::new("end", &self.name, &cause);
        let start = time::Instant::now();
        while start.elapsed() < wait::DEADLINE {
            if let Some(status) = self.child.try_wait().map_err(|cause| error(&cause))? {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(error(&"it is still running"))
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let error = |cause: &dyn std::fmt::Display| Error::new("signal", &self.name, &cause);
        let id = i32::try_from(self.child.id()).map_err(|cause| error(&cause))?;
        let id = Pid::from_raw(id).ok_or_else(|| error(&"invalid process id"))?;
        rustix::process::kill_process(id, signal).map_err(|cause| error(&cause))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if self.is_running() && self.child.kill().is_ok() {
            drop(self.child.wait());
        }
        drop(self.unread.take());
    }
}

/// Exit code and output of a program that ran to completion.
#[derive(Clone, Debug)]
pub struct Run {
    /// Exit code; `None` if a signal ended the process.
    pub code: Option<i32>,
    /// Standard output, with invalid UTF-8 replaced.
    pub stdout: String,
    /// Standard error, with invalid UTF-8 replaced.
    pub stderr: String,
}

/// Runs the program `binary` in `directory` to completion, with only `environment`
/// as its environment.
///
/// # Errors
///
/// The program cannot be started.
pub fn run(
    binary: &str,
    directory: &path::Path,
    arguments: &[&str],
    environment: &[(&str, &str)],
) -> Result<Run> {
    let output = process::Command::new(program_directory()?.join(binary))
        .args(arguments)
        .current_dir(directory)
        .env_clear()
        .envs(environment.iter().copied())
        .output()
        .map_err(|cause| Error::new("run", &binary, &cause))?;
    Ok(Run {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

/// The directory with the built programs: that of the current executable, or its
/// parent for a test, which cargo puts into `deps`.
fn program_directory() -> Result<path::PathBuf> {
    let own = env::current_exe().map_err(|cause| Error::new("find", &"programs", &cause))?;
    let directory = own.parent().ok_or_else(|| Error::new("find", &"programs", &"no directory"))?;
    let is_test = directory.file_name().is_some_and(|name| name == "deps");
    let parent = directory.parent().filter(|_| is_test);
    Ok(parent.unwrap_or(directory).to_owned())
}
