//! Reads the configuration again after SIGHUP.
//!
//! If a file is invalid or incomplete, the router keeps its current configuration. The router then retries to read the
//! files for a while, because a file may be in the middle of being written, or the system may temporarily lack
//! resources.

use crate::launch::Launch;
use crate::limits::ReloadRetry;
use std::path::PathBuf;
use std::time::Instant;

/// The path of the operator's file, and a failed reload that is being retried.
pub(super) struct ConfigurationReload {
    operator_file: Option<PathBuf>,
    retry: ReloadRetry,
    failed: Option<FailedReload>,
}

/// A reload of the configuration that has failed and is being retried.
struct FailedReload {
    tried_at: Instant,
    give_up_at: Instant,
}

impl ConfigurationReload {
    pub(super) fn new(operator_file: Option<PathBuf>, retry: ReloadRetry) -> ConfigurationReload {
        ConfigurationReload { operator_file, retry, failed: None }
    }

    /// Reads the configuration again. If the read fails, logs the errors and begins to retry.
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

    /// Retries a failed reload of the configuration if the next attempt is due. Errors are not logged, since the errors
    /// of the first attempt were logged.
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
