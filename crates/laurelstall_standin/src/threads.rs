//! Threads with a runtime of their own each.

use std::{sync::mpsc, thread};
use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// A thread that runs a runtime until it is dropped.
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
    /// When the system has no room for one more thread.
    pub fn start(name: &str) -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().expect("room for a runtime");
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let builder = thread::Builder::new().name(name.to_owned());
        let thread = builder.spawn(move || {
            // Ends as well when the sender is dropped.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Self { handle, stop: Some(stop), thread: Some(thread.expect("room for a thread")) }
    }

    /// Where tasks for this thread are spawned.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs a task on this thread and waits for it on the caller's, outside any runtime.
    ///
    /// # Panics
    ///
    /// When the task does.
    pub fn block_on<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> T {
        let (tell, told) = mpsc::channel();
        self.handle.spawn(async move { tell.send(task.await) });
        told.recv().expect("the task runs to its end")
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
