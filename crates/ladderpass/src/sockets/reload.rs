//! Reads the configuration again after SIGHUP.
//!
//! A wrong or half-written file changes nothing: the router keeps what it has. The files are read again for a while, as
//! one may be in the middle of being written, or the system short of something.

use crate::launch::Launch;
use crate::limits::ReloadRetry;
use std::path::PathBuf;
use std::time::Instant;

/// Where the configuration is read from, and whether a reload is still to be retried.
pub(super) struct ConfigurationReload {
    operator_file: Option<PathBuf>,
    retry: ReloadRetry,
    failed: Option<FailedReload>,
}

/// A reload that failed, and is retried.
struct FailedReload {
    tried_at: Instant,
    give_up_at: Instant,
}

impl ConfigurationReload {
    pub(super) fn new(operator_file: Option<PathBuf>, retry: ReloadRetry) -> ConfigurationReload {
        ConfigurationReload { operator_file, retry, failed: None }
    }

    /// Reads the configuration; logs what is wrong with it.
    pub(super) fn reload(&mut self) -> Option<Launch> {
        let now = Instant::now();
        self.failed = None;
        match self.read() {
            Ok(launch) => Some(launch),
            Err(errors) => {
                errors.lines().for_each(|error| tracing::error!(%error, "configuration not reloaded"));
                self.failed = Some(FailedReload { tried_at: now, give_up_at: now + self.retry.timeout });
                None
            }
        }
    }

    /// Retries a reload that failed, if that is due. Its errors were logged the first time.
    pub(super) fn retry_if_due(&mut self) -> Option<Launch> {
        let now = Instant::now();
        let failed = self.failed.as_mut()?;
        if now >= failed.give_up_at {
            self.failed = None;
            return None;
        }
        if now - failed.tried_at < self.retry.interval {
            return None;
        }
        failed.tried_at = now;
        let launch = self.read().ok()?;
        self.failed = None;
        Some(launch)
    }

    fn read(&self) -> Result<Launch, String> {
        let launch = Launch::read(|key| std::env::var(key).ok(), self.operator_file.as_deref());
        launch.map_err(|errors| errors.to_string())
    }
}
