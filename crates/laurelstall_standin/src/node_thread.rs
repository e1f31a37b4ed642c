//! A real node on a thread and runtime of its own, as in a process of its own.

use crate::threads::RuntimeThread;
use laurelstall_node::{
    active_config::ActiveConfig,
    counters::Counters,
    entry::Entry,
    node::{Node, NodeError, NodeOptions},
    target_guard::TargetGuard,
};
use laurelstall_peer::{meter::Meter, replicator::Replicator};
use std::{net::SocketAddr, sync::Arc, thread};
use tokio::{
    sync::{mpsc, oneshot},
    time::Duration,
};

#[derive(Debug)]
enum Command {
    Stop(oneshot::Sender<bool>),
    Kill(oneshot::Sender<bool>),
}

/// A node that runs on a thread.
#[derive(Debug)]
pub struct NodeThread {
    /// Where callers connect.
    pub entry_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Counts.
    pub counters: Arc<Counters>,
    /// The spreading of configuration.
    pub replicator: Arc<Replicator>,
    /// The configuration in force.
    pub active: Arc<ActiveConfig>,
    /// The guard.
    pub guard: TargetGuard,
    /// The entry.
    pub entry: Arc<Entry>,
    commands: mpsc::UnboundedSender<Command>,
    handle: tokio::runtime::Handle,
    _thread: Option<Arc<RuntimeThread>>,
}

impl NodeThread {
    /// Starts a node on a thread of its own, or on `shared`.
    ///
    /// # Errors
    ///
    /// What kept the node from starting.
    pub async fn start(options: NodeOptions, shared: Option<Arc<RuntimeThread>>) -> Result<Self, NodeError> {
        let name = options.settings.node.host.clone();
        let thread = shared.unwrap_or_else(|| Arc::new(RuntimeThread::start(&name)));
        let (commands, mut received) = mpsc::unbounded_channel();
        let (tell, told) = oneshot::channel();
        let handle = thread.handle().clone();
        let inner_commands = commands.clone();
        let inner_thread = thread.clone();
        let inner_handle = handle.clone();
        handle.spawn(async move {
            let node = match Node::start(options).await {
                Ok(node) => node,
                Err(error) => return drop(tell.send(Err(error))),
            };
            let this = Self {
                entry_address: node.entry_address,
                peer_address: node.peer_address,
                admin_address: node.admin_address,
                counters: node.counters.clone(),
                replicator: node.replicator.clone(),
                active: node.active.clone(),
                guard: node.guard.clone(),
                entry: node.entry.clone(),
                commands: inner_commands,
                handle: inner_handle,
                _thread: Some(inner_thread),
            };
            // Whoever started the node may have given up; it then stops with its thread.
            let _ = tell.send(Ok(this));
            // Nobody waits for the word of a node whose thread was dropped.
            match received.recv().await {
                Some(Command::Stop(done)) => {
                    let _ = done.send(node.stop().await);
                }
                Some(Command::Kill(done)) => {
                    node.kill().await;
                    let _ = done.send(true);
                }
                None => {}
            }
        });
        drop(thread);
        told.await.expect("the thread runs until it is dropped")
    }

    /// The counts of what passed to and from other nodes.
    pub fn meter(&self) -> &Arc<Meter> {
        self.entry.context.client.pool().meter()
    }

    /// Stops the node as planned; true when nothing was cut off.
    pub async fn stop(&self) -> bool {
        self.command(Command::Stop).await
    }

    /// Kills the node: all its connections break.
    pub async fn kill(&self) -> bool {
        self.command(Command::Kill).await
    }

    /// Blocks the node's thread, as when its process is paused.
    pub fn pause(&self, pause: Duration) {
        self.handle.spawn(async move { thread::sleep(pause) });
    }

    async fn command(&self, command: impl FnOnce(oneshot::Sender<bool>) -> Command) -> bool {
        let (done, is_done) = oneshot::channel();
        self.commands.send(command(done)).is_ok() && is_done.await.unwrap_or(false)
    }
}
