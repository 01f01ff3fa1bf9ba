//! The executor of the traffic threads.

use std::future::Future;
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::thread;

use smol::Executor;
use smol::Task;

/// Handle to the traffic threads; clones share them.
///
/// The threads run until the process ends and sleep while no task is ready.
#[derive(Clone, Debug)]
pub struct Traffic {
    executor: Arc<Executor<'static>>,
}

impl Traffic {
    /// Starts `threads` traffic threads.
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

    /// Starts a task; dropping the handle cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}

/// Runs tasks for ever. A panic ends the task that caused it and not the
/// thread, which other requests share.
fn run(executor: &Executor<'static>) {
    loop {
        let ran = panic::catch_unwind(AssertUnwindSafe(|| {
            smol::block_on(executor.run(std::future::pending::<()>()));
        }));
        if ran.is_err() {
            log::error!("control: a task panicked and was ended.");
        }
    }
}
