//! Whether the VM is ready for calls, for the balancer to see.

use std::sync;

use crate::metric;

/// Whether the VM is ready, and why it is not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Whether it is.
    pub ready: bool,
    /// Why it is not.
    pub reason: String,
}

/// The readiness that the decision core and the stop of the process set.
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
    /// Takes what the decision core says.
    pub fn set(&self, ready: bool, reason: &str) {
        let state = State { ready, reason: reason.to_owned() };
        *self.lock() = state;
        self.show();
    }

    /// Says that the VM is not ready any more, for it stops.
    pub fn stop(&self) {
        self.stopping.store(true, sync::atomic::Ordering::Relaxed);
        self.show();
    }

    /// Whether the VM stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(sync::atomic::Ordering::Relaxed)
    }

    /// The readiness now.
    #[must_use]
    pub fn get(&self) -> State {
        if self.is_stopping() {
            return State { ready: false, reason: "stopping".to_owned() };
        }
        self.lock().clone()
    }

    fn show(&self) {
        let ready = f64::from(u8::from(self.get().ready));
        metrics::gauge!(metric::READY).set(ready);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.core.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
