//! Programs as separate processes.

use std::{env, fs, io, io::BufRead as _, path, process, thread, time};

use rustix::process::{Pid, Signal};

use crate::{Error, Result, wait};

/// Time between two looks at whether a process has ended.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// A running program; it is killed when it is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: process::Child,
    banner: serde_json::Value,
    log: path::PathBuf,
    /// A standard output that nobody reads any more.
    unread: Option<io::BufReader<process::ChildStdout>>,
}

impl Program {
    /// Starts the program `binary` and waits for the line that tells its
    /// addresses. Its log goes to a file named `name` in `directory`.
    ///
    /// # Errors
    ///
    /// The program cannot be started or ends without that line.
    pub fn start(
        binary: &str,
        name: &str,
        directory: &path::Path,
        arguments: &[String],
    ) -> Result<Self> {
        let fault = |cause: &dyn std::fmt::Display| Error::new("start", &name, &cause);
        let log = directory.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(&log);
        let file = file.map_err(|cause| fault(&cause))?;
        let mut child = process::Command::new(directory_of_programs()?.join(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(file)
            .spawn()
            .map_err(|cause| fault(&cause))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let read = io::BufReader::new(stdout).read_line(&mut line);
            read.map_err(|cause| fault(&cause))?;
        }
        let banner = match serde_json::from_str(&line) {
            Ok(banner) => banner,
            Err(cause) => {
                let said = fs::read_to_string(&log).unwrap_or_default();
                return Err(fault(&format!("{cause}; it said: {said}")));
            }
        };
        Ok(Self { name: name.to_owned(), child, banner, log, unread: None })
    }

    /// Starts the program `binary`, which logs JSON lines to its standard output,
    /// reads the line that tells its addresses, and nothing after it: the output
    /// fills up and takes no more.
    ///
    /// # Errors
    ///
    /// The program cannot be started or ends without that line.
    pub fn start_with_unread_output(
        binary: &str,
        name: &str,
        arguments: &[String],
    ) -> Result<Self> {
        let fault = |cause: &dyn std::fmt::Display| Error::new("start", &name, &cause);
        let mut child = process::Command::new(directory_of_programs()?.join(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|cause| fault(&cause))?;
        let output = child.stdout.take().ok_or_else(|| fault(&"it has no output"))?;
        let mut output = io::BufReader::new(output);
        let mut line = String::new();
        loop {
            line.clear();
            let length = output.read_line(&mut line).map_err(|cause| fault(&cause))?;
            if length == 0 {
                return Err(fault(&"it told no address"));
            }
            let banner: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
            if banner["step"] == "start" {
                let (name, log) = (name.to_owned(), path::PathBuf::new());
                return Ok(Self { name, child, banner, log, unread: Some(output) });
            }
        }
    }

    /// Starts the program `binary`, which logs JSON lines to its standard output,
    /// and waits for the line that tells its addresses.
    ///
    /// # Errors
    ///
    /// The program cannot be started or ends without that line.
    pub fn start_logging(
        binary: &str,
        name: &str,
        directory: &path::Path,
        arguments: &[String],
    ) -> Result<Self> {
        let fault = |cause: &dyn std::fmt::Display| Error::new("start", &name, &cause);
        let log = directory.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(&log);
        let file = file.map_err(|cause| fault(&cause))?;
        let begun = file.metadata().map_err(|cause| fault(&cause))?.len();
        let errors = file.try_clone().map_err(|cause| fault(&cause))?;
        let child = process::Command::new(directory_of_programs()?.join(binary))
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .map_err(|cause| fault(&cause))?;
        let banner = serde_json::Value::Null;
        let mut program = Self { name: name.to_owned(), child, banner, log, unread: None };
        let started = time::Instant::now();
        while started.elapsed() < wait::DEADLINE && program.is_running() {
            let said = program.log();
            let new = usize::try_from(begun).ok().and_then(|begun| said.get(begun..));
            let lines = new.unwrap_or_default().lines();
            let told = lines.filter_map(|line| serde_json::from_str(line).ok());
            let mut told = told.filter(|line: &serde_json::Value| line["step"] == "start");
            if let Some(banner) = told.next() {
                program.banner = banner;
                return Ok(program);
            }
            thread::sleep(PAUSE);
        }
        Err(fault(&format!("it told no address; it said: {}", program.log())))
    }

    /// An address that the program told at its start.
    ///
    /// # Panics
    ///
    /// There is no address of that name.
    #[must_use]
    pub fn address(&self, name: &str) -> std::net::SocketAddr {
        let text = self.banner[name].as_str().unwrap_or_default();
        text.parse().unwrap_or_else(|cause| panic!("{}: address {name}: {cause}", self.name))
    }

    /// The process's number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All that the program has written to its log.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Stops the process where it is (SIGSTOP).
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop gracefully (SIGTERM).
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// The process has ended before.
    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::KILL)?;
        self.wait().map(drop)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// It has not ended before the deadline.
    pub fn wait(&mut self) -> Result<process::ExitStatus> {
        let fault = |cause: &dyn std::fmt::Display| Error::new("end", &self.name, &cause);
        let begun = time::Instant::now();
        while begun.elapsed() < wait::DEADLINE {
            if let Some(status) = self.child.try_wait().map_err(|cause| fault(&cause))? {
                return Ok(status);
            }
            thread::sleep(PAUSE);
        }
        Err(fault(&"it goes on"))
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let fault = |cause: &dyn std::fmt::Display| Error::new("signal", &self.name, &cause);
        let id = i32::try_from(self.child.id()).map_err(|cause| fault(&cause))?;
        let id = Pid::from_raw(id).ok_or_else(|| fault(&"no process number"))?;
        rustix::process::kill_process(id, signal).map_err(|cause| fault(&cause))
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

/// How a program that runs to its end has ended.
#[derive(Clone, Debug)]
pub struct Run {
    /// Exit code; none after a signal.
    pub code: Option<i32>,
    /// Its standard output.
    pub stdout: String,
    /// Its standard error.
    pub stderr: String,
}

/// Runs the program `binary` in `directory` to its end, with no environment
/// but `environment`.
///
/// # Errors
///
/// It cannot be started.
pub fn run(
    binary: &str,
    directory: &path::Path,
    arguments: &[&str],
    environment: &[(&str, &str)],
) -> Result<Run> {
    let output = process::Command::new(directory_of_programs()?.join(binary))
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

/// The directory of the programs: that of the running program, or the one above
/// it for a test.
fn directory_of_programs() -> Result<path::PathBuf> {
    let own = env::current_exe().map_err(|cause| Error::new("find", &"programs", &cause))?;
    let directory = own.parent().ok_or_else(|| Error::new("find", &"programs", &"no directory"))?;
    let is_test = directory.file_name().is_some_and(|name| name == "deps");
    let above = directory.parent().filter(|_| is_test);
    Ok(above.unwrap_or(directory).to_owned())
}
