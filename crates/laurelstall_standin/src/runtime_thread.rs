//! Threads that each run their own Tokio runtime.

use std::{sync::mpsc, thread};
use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// A thread with a single-threaded Tokio runtime, which stops when this value is dropped.
#[derive(Debug)]
pub struct RuntimeThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts a thread called `name`.
    ///
    /// # Panics
    ///
    /// Panics if the operating system cannot create the runtime or the thread.
    pub fn start(name: &str) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().expect("the runtime can be created");
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let builder = thread::Builder::new().name(name.to_owned());
        let thread = builder.spawn(move || {
            // Also returns, with an error, when the sender is dropped.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Self { handle, stop: Some(stop), thread: Some(thread.expect("the thread can be created")) }
    }

    /// Returns the handle that spawns tasks on this thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs a task on this thread and blocks the calling thread, which must be outside any runtime, until it ends.
    ///
    /// # Panics
    ///
    /// Panics if the task panics.
    pub fn block_on<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> T {
        let (sender, receiver) = mpsc::channel();
        self.handle.spawn(async move { sender.send(task.await) });
        receiver.recv().expect("the task does not panic")
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The thread may have ended already.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
