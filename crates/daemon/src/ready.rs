//! Readiness of the VM for calls, as reported to the balancer.

use std::sync;

use crate::metric;

/// A snapshot of the readiness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Whether the VM accepts calls.
    pub ready: bool,
    /// Why the VM is not ready; taken from the decision core or set while the
    /// process starts or stops.
    pub reason: String,
}

/// Readiness as set by the decision core, overridden once the process is stopping.
#[derive(Debug)]
pub struct Readiness {
    core: sync::Mutex<State>,
    stopping: sync::atomic::AtomicBool,
}

impl Default for Readiness {
    fn default() -> Self {
        let state = State { ready: false, reason: "starting".to_owned() };
        Self { core: sync::Mutex::new(state), stopping: false.into() }
    }
}

impl Readiness {
    /// Sets the readiness that the decision core reports.
    pub fn set(&self, ready: bool, reason: &str) {
        let state = State { ready, reason: reason.to_owned() };
        *self.lock() = state;
        self.publish_metric();
    }

    /// Marks the process as stopping; the VM stays not ready from then on.
    pub fn stop(&self) {
        self.stopping.store(true, sync::atomic::Ordering::Relaxed);
        self.publish_metric();
    }

    /// Whether the process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns the current readiness.
    #[must_use]
    pub fn get(&self) -> State {
        if self.is_stopping() {
            return State { ready: false, reason: "stopping".to_owned() };
        }
        self.lock().clone()
    }

    fn publish_metric(&self) {
        let ready = f64::from(u8::from(self.get().ready));
        metrics::gauge!(metric::READY).set(ready);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.core.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
