//! Background tasks of a node, and its gauges.

use crate::{
    active_config::ActiveConfig,
    caller_limits::ActiveCallerLimits,
    counters::{Counters, MetricSender},
    entry::Entry,
    metrics::Gauges,
    observer::Observer,
    quotas::Quotas,
    target_guard::TargetGuard,
};
use laurelstall_config::document::DocumentName;
use laurelstall_guard::clock::Clock;
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::{
    client::PeerClient, control_kind::ControlKind, crash_registry::CrashRegistry, meter::Meter,
    replicator::Replicator,
};
use std::sync::{Arc, atomic::Ordering};
use tokio::time::{Duration, sleep};

/// Interval between checks whether the machine was suspended. It is a tenth of the second within which
/// changes reach all nodes.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between removals of idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// Applies each new configuration to the guard, the observer, the caller limits and the quotas. Runs until dropped.
pub async fn apply_configuration_changes(
    active: Arc<ActiveConfig>,
    guard: TargetGuard,
    observer: Arc<Observer>,
    caller_limits: Arc<ActiveCallerLimits>,
    quotas: Arc<Quotas>,
) {
    let mut changes = active.changes();
    loop {
        let snapshot = active.load();
        observer.set_limits(snapshot.configuration.system.observe);
        caller_limits.set_published(snapshot.configuration.system.callers);
        guard.update();
        quotas.update_share_ownership();
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = active.apply_next_expiry() => {}
        }
    }
}

/// Fetches missed updates from peers as soon as the machine resumes from suspension. Runs until dropped.
///
/// A suspended machine misses the updates of its peers, and its next regular exchange may be a second away.
pub async fn catch_up_after_suspension(clock: Clock, replicator: Arc<Replicator>) {
    let mut previous_us = clock.suspended_us();
    loop {
        sleep(SUSPENSION_CHECK_INTERVAL).await;
        let suspended_us = clock.suspended_us();
        if suspended_us == previous_us {
            continue;
        }
        let missed_ms = (suspended_us - previous_us) / 1_000;
        log::warn!("this machine was suspended for {missed_ms} ms: fetching missed updates from peers");
        previous_us = suspended_us;
        replicator.catch_up().await;
    }
}

/// Closes idle connections to other nodes. Runs until dropped.
pub async fn close_idle(client: PeerClient) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        client.pool().close_idle();
    }
}

/// Sends counters and gauges to statsd at a fixed interval. Runs until dropped.
pub async fn send_metrics(
    mut sender: MetricSender,
    interval: Duration,
    counters: Arc<Counters>,
    guard: TargetGuard,
    entry: Arc<Entry>,
    replicator: Arc<Replicator>,
) {
    loop {
        sleep(interval).await;
        let gauges = gauges(&guard, &entry, &replicator);
        sender.send(&counters, &gauges);
    }
}

/// Returns the current values of the gauges.
pub fn gauges(guard: &TargetGuard, entry: &Entry, replicator: &Replicator) -> Gauges {
    let load = guard.guard().load();
    let (meter, active) = (entry.context.client.pool().meter(), &entry.active);
    let snapshot = active.load();
    let fleet_version = snapshot.configuration.version(&DocumentName::Fleet);
    let withheld = snapshot.configuration.teams.values().map(|team| team.withheld.len()).sum::<usize>();
    let overload = guard.guard().overload_state();
    let threshold = overload.map_or(CallLevel::LOWEST, |overload| overload.threshold);
    vec![
        ("in_flight", u64::from(load.in_flight)),
        ("queued", u64::from(load.queued)),
        ("limit", u64::from(load.limit)),
        ("slowness_percent", u64::from(load.slowness_percent)),
        ("is_cold", u64::from(guard.guard().is_cold())),
        ("is_evacuated", u64::from(guard.is_evacuated())),
        ("has_rate_limit", u64::from(guard.rate_limit_milli_per_s().is_some())),
        ("rate_limit_milli_per_s", guard.rate_limit_milli_per_s().unwrap_or(0)),
        ("known_chains", guard.known_chains() as u64),
        ("is_overloaded", u64::from(overload.is_some_and(|overload| overload.is_overloaded))),
        ("admission_threshold", threshold.ordinal()),
        ("control_bytes", meter.control_bytes.load(Ordering::Relaxed)),
        ("peer_connections", meter.open.load(Ordering::Relaxed)),
        ("unanswered_callers", entry.unanswered.value()),
        ("unanswered_nodes", meter.unanswered.value()),
        ("link_waiting_bytes", guard.link().map_or(0, |link| link.waiting_bytes())),
        ("link_held_bytes", guard.link().map_or(0, |link| link.held_bytes())),
        ("withheld_parts", withheld as u64),
        ("platform_era", fleet_version.era),
        ("platform_returns", active.restores.load(Ordering::Relaxed)),
    ]
    .into_iter()
    .chain(traffic_gauges(meter))
    .chain(crash_report_gauges(guard.crashes()))
    .chain(rejection_gauges(replicator))
    .collect()
}

/// Returns the bytes and messages between nodes by kind of control message.
fn traffic_gauges(meter: &Meter) -> Gauges {
    let of_kind = |kind: ControlKind| {
        let (bytes, messages) = kind.gauge_names();
        let traffic = &meter.by_kind[kind.index()];
        [(bytes, traffic.bytes.load(Ordering::Relaxed)), (messages, traffic.messages.load(Ordering::Relaxed))]
    };
    ControlKind::ALL.into_iter().flat_map(of_kind).collect()
}

/// Returns what became of the reports on requests that were running when targets crashed.
fn crash_report_gauges(crashes: &CrashRegistry) -> Gauges {
    let counts = crashes.counts();
    vec![
        ("crash_records", crashes.len() as u64),
        ("crash_reports_received", counts.received),
        ("crash_reports_new", counts.changed),
        ("crash_reports_forwarded", crashes.forwarded()),
        ("crash_records_dropped", counts.dropped),
        ("crash_records_taken_again", counts.taken_again),
    ]
}

/// Returns the number of documents whose newest known version is not active here, and the longest time since when.
fn rejection_gauges(replicator: &Replicator) -> Gauges {
    let store = replicator.store();
    let ages_ms = store.rejected().map(|(_, rejected)| rejected.age_ms()).collect::<Vec<_>>();
    vec![
        ("documents_unreadable", replicator.unreadable_documents()),
        ("documents_rejected", ages_ms.len() as u64),
        ("documents_rejected_age_ms", ages_ms.into_iter().max().unwrap_or(0)),
    ]
}
