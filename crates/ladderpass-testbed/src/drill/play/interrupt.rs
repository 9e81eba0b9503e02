//! Interruption by ctrl-C: an interrupted drill ends its processes and returns an error.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// Returns a flag that SIGINT and SIGTERM set. The first call installs the signal handlers.
pub fn interrupted() -> &'static Arc<AtomicBool> {
    static FLAG: OnceLock<Arc<AtomicBool>> = OnceLock::new();
    FLAG.get_or_init(|| {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            // If the handler can't be installed, the signal ends the process, which is its default action.
            let _ = signal_hook::flag::register(signal, flag.clone());
        }
        flag
    })
}

/// Returns an error once SIGINT or SIGTERM was received.
pub(super) fn check_interrupted() -> io::Result<()> {
    if interrupted().load(Ordering::Relaxed) {
        return Err(io::Error::new(io::ErrorKind::Interrupted, "interrupted"));
    }
    Ok(())
}
