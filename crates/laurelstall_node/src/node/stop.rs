//! Stops a node.

use super::Node;
use futures_util::future::join_all;
use std::{fmt, sync::atomic::Ordering};
use tokio::{
    join,
    time::{Duration, Instant, sleep, timeout},
};

impl Node {
    /// Stops gracefully. Returns whether all requests ended within the time limit.
    ///
    /// For the linger time, the node still accepts calls, but reports that it is not ready and asks callers to close their
    /// connections; calls that are accepted now end before the stop does. Then the guard accepts no new calls, the entry none
    /// that may take longer than the stop, and running requests at the local target finish, which may make calls through this
    /// node. At last the entry accepts no connections, and all answers to callers and other nodes are sent.
    pub async fn stop(mut self) -> bool {
        let started = Instant::now();
        log::info!("stopping: {}", self.unfinished_work());
        self.entry.is_stopping.store(true, Ordering::Relaxed);
        let limit = Duration::from_millis(self.settings.node.effective_stop_max_ms());
        let linger = Duration::from_millis(self.settings.node.stop_linger_ms);
        let ends_at_us = self.entry.context.clock.now_us() + limit.as_micros() as u64;
        self.entry.limit_deadlines(ends_at_us);
        let stopped = timeout(limit, async {
            sleep(linger).await;
            self.entry.refuse_calls_beyond(ends_at_us);
            self.guard.start_final_drain();
            // Runs at the local target make calls through this node. The rest of the time is for callers' last calls.
            let _ = timeout(limit.saturating_sub(linger) / 2, self.guard.guard().drained()).await;
            self.shutdown.send_replace(true);
            // A task that panicked needs no waiting.
            let callers = join_all(&mut self.listener_tasks);
            let nodes = async {
                self.guard.guard().drained().await;
                // The answers of calls that have ended may still wait for the link, or for the nodes that read them.
                self.peer_server.stop();
                let _ = (&mut self.peer_task).await;
            };
            join!(callers, nodes);
        });
        let is_graceful = stopped.await.is_ok();
        log::info!(
            "stopped {} after {} ms; cut off: {}",
            if is_graceful { "gracefully" } else { "at the time limit" },
            started.elapsed().as_millis(),
            self.unfinished_work()
        );
        self.entry.context.decisions.flush().await;
        self.peer_task.abort();
        self.background.shutdown().await;
        is_graceful
    }

    fn unfinished_work(&self) -> UnfinishedWork {
        let load = self.guard.guard().load();
        UnfinishedWork {
            running: load.in_flight,
            queued: load.queued,
            caller_answers: self.entry.unanswered.value(),
            node_answers: self.entry.context.client.pool().meter().unanswered.value(),
            unsent_bytes: self.guard.link().map_or(0, |link| link.waiting_bytes()),
        }
    }
}

/// Work that a stopping node has yet to finish.
struct UnfinishedWork {
    /// Calls running at the local target.
    running: u32,
    /// Calls that wait for the local target.
    queued: u32,
    /// Requests of callers whose answers are not sent yet.
    caller_answers: u64,
    /// Requests of other nodes whose answers are not sent yet.
    node_answers: u64,
    /// Bytes of answers that wait for the link.
    unsent_bytes: u64,
}

impl fmt::Display for UnfinishedWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { running, queued, caller_answers, node_answers, unsent_bytes } = self;
        write!(
            f,
            "{running} calls running at the local target, {queued} queued, {caller_answers} answers to callers and \
             {node_answers} to other nodes, {unsent_bytes} bytes waiting for the link"
        )
    }
}
