//! Runs a real node on its own thread and runtime, as if in its own process.

use crate::runtime_thread::RuntimeThread;
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

/// Handle of a node that runs on a [`RuntimeThread`].
#[derive(Debug)]
pub struct NodeThread {
    /// Address that callers connect to.
    pub entry_address: SocketAddr,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Counters of the node.
    pub counters: Arc<Counters>,
    /// Replication of the configuration between nodes.
    pub replicator: Arc<Replicator>,
    /// The configuration that the node uses.
    pub active: Arc<ActiveConfig>,
    /// Guard of the target on the node's host.
    pub guard: TargetGuard,
    /// Entry part of the node, which takes calls from callers.
    pub entry: Arc<Entry>,
    commands: mpsc::UnboundedSender<Command>,
    handle: tokio::runtime::Handle,
    _thread: Option<Arc<RuntimeThread>>,
}

impl NodeThread {
    /// Starts a node on `shared`, or on a new thread if `shared` is `None`.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Node::start`].
    pub async fn start(options: NodeOptions, shared: Option<Arc<RuntimeThread>>) -> Result<Self, NodeError> {
        let name = options.settings.node.host.clone();
        let thread = shared.unwrap_or_else(|| Arc::new(RuntimeThread::start(&name)));
        let (commands, mut command_receiver) = mpsc::unbounded_channel();
        let (result_sender, result_receiver) = oneshot::channel();
        let handle = thread.handle().clone();
        let inner_commands = commands.clone();
        let inner_thread = thread.clone();
        let inner_handle = handle.clone();
        handle.spawn(async move {
            let node = match Node::start(options).await {
                Ok(node) => node,
                Err(error) => return drop(result_sender.send(Err(error))),
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
            // If the receiver is gone, the returned handle is dropped and the node stops with its thread.
            let _ = result_sender.send(Ok(this));
            // The channel closes without a command when the handle is dropped.
            match command_receiver.recv().await {
                Some(Command::Stop(done_sender)) => {
                    let _ = done_sender.send(node.stop().await);
                }
                Some(Command::Kill(done_sender)) => {
                    node.kill().await;
                    let _ = done_sender.send(true);
                }
                None => {}
            }
        });
        drop(thread);
        result_receiver.await.expect("the runtime thread lives until the node has started")
    }

    /// Returns the meter of the traffic with other nodes.
    pub fn meter(&self) -> &Arc<Meter> {
        self.entry.context.client.pool().meter()
    }

    /// Stops the node gracefully; returns whether all requests ended within the time limit.
    pub async fn stop(&self) -> bool {
        self.send_command(Command::Stop).await
    }

    /// Kills the node, which breaks all its connections.
    pub async fn kill(&self) -> bool {
        self.send_command(Command::Kill).await
    }

    /// Blocks the node's thread for `pause`, which simulates a paused process.
    pub fn pause(&self, pause: Duration) {
        self.handle.spawn(async move { thread::sleep(pause) });
    }

    async fn send_command(&self, command: impl FnOnce(oneshot::Sender<bool>) -> Command) -> bool {
        let (done_sender, done_receiver) = oneshot::channel();
        self.commands.send(command(done_sender)).is_ok() && done_receiver.await.unwrap_or(false)
    }
}
