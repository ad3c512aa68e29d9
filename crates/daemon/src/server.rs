//! Running and stopping an HTTP server.

use std::{fmt, io, thread};

use crate::error;

/// A server that runs on its own thread.
pub struct Running {
    name: &'static str,
    stop: Box<dyn Fn() + Send>,
    thread: thread::JoinHandle<io::Result<()>>,
}

impl Running {
    /// Runs `serve` on a new thread. Calling `stop` must make `serve` return once
    /// its connections have ended.
    ///
    /// # Errors
    ///
    /// [`error::Kind::System`] if the thread cannot be started.
    pub fn spawn(
        name: &'static str,
        serve: impl FnOnce() -> io::Result<()> + Send + 'static,
        stop: impl Fn() + Send + 'static,
    ) -> error::Result<Self> {
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(serve)
            .map_err(|cause| error::Error::system("start", &name, &cause))?;
        Ok(Self { name, stop: Box::new(stop), thread })
    }

    /// Stops the server and blocks until its thread has ended.
    ///
    /// # Errors
    ///
    /// [`error::Kind::System`] if the server failed or its thread panicked.
    pub fn stop(self) -> error::Result<()> {
        (self.stop)();
        let failure = |cause: &dyn fmt::Display| error::Error::system("stop", &self.name, &cause);
        match self.thread.join() {
            Ok(result) => result.map_err(|cause| failure(&cause)),
            Err(_panic) => Err(failure(&"its thread panicked")),
        }
    }
}

impl fmt::Debug for Running {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running").field("name", &self.name).finish_non_exhaustive()
    }
}
