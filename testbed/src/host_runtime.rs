//! The threads of one entry host, which end when the host stops, is killed or is dropped.

use std::future::Future;
use std::sync::{Arc, Barrier};
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

/// Number of threads of one entry host.
const HOST_THREADS: usize = 2;

/// The runtime of one entry host; dropping it ends every task of the host at once.
#[derive(Debug)]
pub struct HostRuntime {
    runtime: Option<Runtime>,
}

impl HostRuntime {
    /// Starts the threads of a host.
    ///
    /// # Panics
    ///
    /// Panics if no thread can be started.
    pub fn start(name: &str) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(HOST_THREADS)
            .thread_name(name)
            .enable_all()
            .build();
        Self {
            runtime: Some(runtime.expect("threads can be started")),
        }
    }

    /// Runs a task on the host's threads.
    ///
    /// # Panics
    ///
    /// Panics if the task does.
    pub async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> T {
        let runtime = self.runtime.as_ref().expect("the host runs");
        runtime.spawn(task).await.expect("the task does not panic")
    }

    /// Blocks all threads of the host for a time, like a paused machine.
    ///
    /// # Panics
    ///
    /// Panics if the host does not run.
    pub fn pause(&self, time: Duration) {
        let runtime = self.runtime.as_ref().expect("the host runs");
        let barrier = Arc::new(Barrier::new(HOST_THREADS));
        for _ in 0..HOST_THREADS {
            let barrier = barrier.clone();
            runtime.spawn(async move {
                // None of the tasks passes the barrier before all run, so each thread gets one.
                barrier.wait();
                std::thread::sleep(time);
            });
        }
    }

    /// Ends every task of the host at once, without cleanup.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for HostRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
