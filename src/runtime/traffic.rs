//! The executor that runs on the traffic threads.

use std::future::Future;
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::thread;

use smol::Executor;
use smol::Task;

/// Handle to the executor on the traffic threads; clones share it.
///
/// The threads run until the process exits and sleep while no task is ready.
#[derive(Clone, Debug)]
pub struct Traffic {
    executor: Arc<Executor<'static>>,
}

impl Traffic {
    /// Starts `threads` threads, named `traffic-0` and up; errs if the system refuses one.
    pub fn spawn_threads(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        for i in 0..threads {
            let executor = Arc::clone(&executor);
            thread::Builder::new()
                .name(format!("traffic-{i}"))
                .spawn(move || run(&executor))?;
        }
        Ok(Self { executor })
    }

    /// Spawns a task on the traffic threads; dropping the returned handle cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}

/// Runs tasks forever. A panic ends only the task that caused it, not the
/// thread, which also serves other requests.
fn run(executor: &Executor<'static>) {
    loop {
        let outcome = panic::catch_unwind(AssertUnwindSafe(|| {
            smol::block_on(executor.run(std::future::pending::<()>()));
        }));
        if outcome.is_err() {
            log::error!(
                "control: a task on a traffic thread panicked and was aborted; the thread keeps running."
            );
        }
    }
}
