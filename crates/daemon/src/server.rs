//! A running HTTP server and its end.

use std::{fmt, io, thread};

use crate::error;

/// A server on a thread of its own.
pub struct Running {
    name: &'static str,
    stop: Box<dyn Fn() + Send>,
    thread: thread::JoinHandle<io::Result<()>>,
}

impl Running {
    /// Runs `serve` on a thread of its own; `stop` makes it return once its
    /// connections have ended.
    ///
    /// # Errors
    ///
    /// [`error::Kind::System`] if there is no thread to be had.
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

    /// Stops the server and waits, on the present thread, until it has ended.
    ///
    /// # Errors
    ///
    /// [`error::Kind::System`] if the server had failed.
    pub fn stop(self) -> error::Result<()> {
        (self.stop)();
        let fault = |cause: &dyn fmt::Display| error::Error::system("stop", &self.name, &cause);
        match self.thread.join() {
            Ok(ended) => ended.map_err(|cause| fault(&cause)),
            Err(_panic) => Err(fault(&"its thread panicked")),
        }
    }
}

impl fmt::Debug for Running {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running").field("name", &self.name).finish_non_exhaustive()
    }
}
