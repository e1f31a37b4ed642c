//! Counters of a node, and a client that sends them to a statsd server.

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

/// Prefix of all metric names.
pub const METRIC_PREFIX: &str = "laurelstall";

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counters since the start of the node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: AtomicU64,)+
        }

        impl Counters {
            /// Returns the names and values of all counters, as in metrics and the administration API.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Ordering::Relaxed)),)+]
            }
        }
    };
}

counters! {
    /// Calls accepted from callers.
    calls,
    /// Calls answered by a target.
    answered,
    /// Calls answered with the outcome `not-run`.
    not_run,
    /// Calls answered with the outcome `unknown`: they may have run.
    unknown,
    /// Invalid requests that were refused: malformed head, no such service, body too large.
    rejected,
    /// Connections of callers refused because there were too many.
    connections_refused,
    /// Attempts sent to guards.
    attempts,
    /// Attempts after the first of a call, not counting those after hand-backs.
    retries,
    /// Retries that the retry budget did not allow.
    retries_refused,
    /// Retries that are not charged to the retry budget, since the refusal did not cost any target work.
    retries_free,
    /// Queued calls that a guard handed back.
    hand_backs,
    /// Hedges: second attempts in parallel with the first.
    hedges,
    /// Answers whose body ended early.
    bodies_broken,
    /// Answers of the local target whose head could not be parsed.
    malformed_heads,
    /// Answers of the local target whose status is not one of a final answer.
    malformed_statuses,
    /// Answers of the local target with another transfer coding than `chunked`, or with one and a length.
    malformed_codings,
    /// Answers of the local target whose length is not one number, or stands in a field with a spoilt name.
    malformed_lengths,
    /// Answers of the local target that state a body where none may be.
    malformed_bodies,
    /// Answers of the local target that lack what the environment asks of each answer.
    malformed_contents,
    /// Attempts that this node's guard accepted.
    guard_attempts,
    /// Attempts that this node's guard refused or handed back.
    guard_refused,
    /// Attempts that this node's guard refused because their level was below its admission threshold.
    guard_overloaded,
    /// Calls that this entry refused without an attempt, because most guards of the service would refuse them.
    entry_overloaded,
    /// Attempts whose outcome at the target is unknown.
    guard_unknown,
    /// Requests sent to the local target.
    target_arrivals,
    /// Queued requests sent to the local target after the guard began to drain.
    late_starts,
    /// Answers with which the local target shed a request because of overload.
    target_sheds,
    /// Refusals by the local target that lowered its concurrency limit.
    limit_reductions,
    /// Answers with which the local target refused a request that names another target.
    target_denials,
    /// Changes of the rate limit that the local target states in its answers.
    rate_limit_changes,
    /// Instances of the local target that stated that they are leaving.
    target_leavings,
    /// Checks whether the local target has crashed.
    end_looks,
    /// Crashes of the local target while requests were running.
    target_ends,
    /// Tickets issued by this node's guard.
    tickets,
    /// Repeated requests with a ticket that got the kept answer.
    tickets_kept,
    /// Probes sent.
    probes,
    /// Queries of the local target's load.
    pace_looks,
    /// Queries of the local target's identity.
    identity_looks,
    /// Refusals whose retry time reserved a place for the caller's return.
    returns_reserved,
    /// Refusals without a free place within the time that the caller waits.
    returns_without_place,
    /// Calls that claimed a reserved place.
    returns_claimed,
    /// Calls that were refused shortly before and returned without a place.
    returns_unreserved,
    /// Calls that claimed a reserved place and were refused again.
    returns_refused_again,
    /// Calls refused by this node's guard because a service that their runs call fails.
    chain_refusals,
    /// Calls admitted although a service that their runs call fails, to notice its recovery.
    chain_trials,
    /// Requests for retry tokens sent to other nodes.
    retry_loans_asked,
    /// Loans of retry tokens from other nodes.
    retry_loans,
    /// Calls refused because they have no key and need one.
    keys_missing,
    /// Calls refused because no workspace has their key.
    keys_unknown,
    /// Calls refused because the known keys are too old.
    keys_stale,
    /// Calls refused because the quota of their workspace is exhausted.
    quota_spent,
    /// Calls refused because no node that counts the calls of their workspace answered.
    quota_unanswered,
    /// Dropped lines of the decision log.
    decisions_dropped,
    /// Bytes of heads and bodies counted on this node's link.
    link_bytes,
    /// Calls refused because the link could not send their body in time.
    link_refusals,
    /// Failed runs of routing programs.
    program_errors,
}

/// Increments a counter by one.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends counters and gauges to a statsd server.
#[derive(Debug)]
pub struct MetricSender {
    client: StatsdClient,
    previous: Vec<u64>,
}

impl MetricSender {
    /// Creates a sender to `address`. With `None`, nothing is sent.
    pub fn new(address: Option<SocketAddr>, host: &str) -> Self {
        let sink = address.and_then(|address| {
            let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            UdpMetricSink::from(address, socket).ok()
        });
        let builder = match sink {
            Some(sink) => StatsdClient::builder(METRIC_PREFIX, sink),
            None => StatsdClient::builder(METRIC_PREFIX, NopMetricSink),
        };
        // Errors are ignored: metrics are sent over UDP and may get lost anyway.
        let client = builder.with_tag("host", host).with_error_handler(|_| {}).build();
        Self { client, previous: Vec::new() }
    }

    /// Sends the increase of each counter since the previous call, and the values of the gauges.
    pub fn send(&mut self, counters: &Counters, gauges: &[(&str, u64)]) {
        let all = counters.all();
        self.previous.resize(all.len(), 0);
        for ((name, value), previous) in all.iter().zip(&mut self.previous) {
            let increase = value - *previous;
            if increase > 0 {
                self.client.count_with_tags(name, increase as i64).send();
            }
            *previous = *value;
        }
        for (name, value) in gauges {
            self.client.gauge_with_tags(name, *value).send();
        }
    }
}
