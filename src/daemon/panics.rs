//! Panic hook of the process.

use std::panic;
use std::process;
use std::thread;

/// Exit code of a process that ends because its control thread panicked.
const EXIT_PANIC: i32 = 1;

/// Installs a hook that logs panics. A panic of the control thread ends the
/// process, since traffic threads would go on with a snapshot that is never renewed.
pub fn install_panic_hook() {
    panic::set_hook(Box::new(|info| {
        let thread = thread::current();
        let name = thread.name().unwrap_or("unnamed");
        log::error!("control: thread {name} panicked: {info}.");
        if name == "control" {
            process::exit(EXIT_PANIC);
        }
    }));
}
