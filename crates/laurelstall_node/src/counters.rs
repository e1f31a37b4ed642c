//! Counts of a node and their way to a statsd server.

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

/// Prefix of every metric.
pub const METRIC_PREFIX: &str = "laurelstall";

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counts since the start of the node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: AtomicU64,)+
        }

        impl Counters {
            /// All counts with their names, as metrics and the administration API show them.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Ordering::Relaxed)),)+]
            }
        }
    };
}

counters! {
    /// Calls taken from callers.
    calls,
    /// Calls answered by a target.
    answered,
    /// Calls told *not run*.
    not_run,
    /// Calls told *unknown*.
    unknown,
    /// Requests refused for a fault of their own: bad head, no service, too large.
    rejected,
    /// Connections of callers refused because there are too many.
    connections_refused,
    /// Attempts sent to guards.
    attempts,
    /// Further attempts after the first, hand-backs not counted.
    retries,
    /// Further attempts that were wanted but not in the retry budget.
    retries_refused,
    /// Further attempts after a refusal that is taken to have cost no target anything.
    retries_free,
    /// Calls handed back by a guard while they waited.
    hand_backs,
    /// Second attempts that ran beside the first.
    hedges,
    /// Answers whose body broke off.
    bodies_broken,
    /// Attempts that this node's guard took.
    guard_attempts,
    /// Attempts that this node's guard refused or handed back.
    guard_refused,
    /// Attempts whose outcome at the target is unknown.
    guard_unknown,
    /// Requests that were sent to the own target.
    target_arrivals,
    /// Requests that were sent to the own target after the guard began to drain: they had waited here.
    late_starts,
    /// Answers of the own target that it has no room.
    target_sheds,
    /// Answers of the own target that it is another one than was named.
    target_denials,
    /// Times that the own target was looked at to see whether it ended.
    end_looks,
    /// Ends of the own target under requests at work there.
    target_ends,
    /// Tickets given out by this node's guard.
    tickets,
    /// Repeats of a ticket that got the kept answer.
    tickets_kept,
    /// Probes sent.
    probes,
    /// Times that the own target was asked how fast it works.
    pace_looks,
    /// Times that the own target was asked who it is.
    identity_looks,
    /// Calls refused since they bring no key and need one.
    keys_missing,
    /// Calls refused since no workspace has their key.
    keys_unknown,
    /// Calls refused since what is known of keys is too old.
    keys_stale,
    /// Calls refused since their workspace's quota is spent.
    quota_spent,
    /// Calls refused since no node that counts their workspace's calls answered.
    quota_unanswered,
    /// Lines of the decision log dropped.
    decisions_dropped,
    /// Runs of a program that failed.
    program_errors,
}

/// Adds one.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Sends counts to statsd.
#[derive(Debug)]
pub struct MetricSender {
    client: StatsdClient,
    last: Vec<u64>,
}

impl MetricSender {
    /// Sends to `address`, or nowhere.
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
        // A metric that is lost is made up for by the next: counts are sent as differences.
        let client = builder.with_tag("host", host).with_error_handler(|_| {}).build();
        Self { client, last: Vec::new() }
    }

    /// Sends what was counted since the last sending, and the gauges as they are.
    pub fn send(&mut self, counters: &Counters, gauges: &[(&str, u64)]) {
        let all = counters.all();
        self.last.resize(all.len(), 0);
        for ((name, value), last) in all.iter().zip(&mut self.last) {
            let grown = value - *last;
            if grown > 0 {
                self.client.count_with_tags(name, grown as i64).send();
            }
            *last = *value;
        }
        for (name, value) in gauges {
            self.client.gauge_with_tags(name, *value).send();
        }
    }
}
