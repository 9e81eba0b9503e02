//! Interruption by ctrl-C: a drill that is interrupted ends its processes and returns.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// A flag that SIGINT and SIGTERM set, from the first call on.
pub fn interrupted() -> &'static Arc<AtomicBool> {
    static FLAG: OnceLock<Arc<AtomicBool>> = OnceLock::new();
    FLAG.get_or_init(|| {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            // Without a handler the signal ends the process, as by default.
            let _ = signal_hook::flag::register(signal, flag.clone());
        }
        flag
    })
}

/// Fails once the flag is set.
pub(super) fn check_interrupted() -> io::Result<()> {
    if interrupted().load(Ordering::Relaxed) {
        return Err(io::Error::new(io::ErrorKind::Interrupted, "interrupted"));
    }
    Ok(())
}
