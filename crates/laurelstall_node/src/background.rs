//! What a node does in the background, and what it measures of itself.

use crate::{
    active::Active,
    caller_rules::CallerRules,
    counters::{Counters, MetricSender},
    metrics::Gauges,
    observer::Observer,
    quotas::Quotas,
    target_guard::TargetGuard,
};
use laurelstall_config::document::DocumentName;
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{client::PeerClient, meter::Meter, spread::Spread};
use std::sync::{Arc, atomic::Ordering};
use tokio::time::{Duration, sleep};

/// Pause between two looks whether the machine was suspended: a tenth of the second in which news are everywhere.
const SUSPENSION_LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two closings of idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// Puts each configuration that comes in force at the guard, the observer, the callers' rules and the quotas, until
/// dropped.
pub async fn follow_configuration(
    active: Arc<Active>,
    guard: TargetGuard,
    observer: Arc<Observer>,
    rules: Arc<CallerRules>,
    quotas: Arc<Quotas>,
) {
    let mut changes = active.changes();
    loop {
        let in_force = active.load();
        observer.set_limits(in_force.configuration.system.observe);
        rules.set_published(in_force.configuration.system.callers);
        guard.update();
        quotas.follow_fleet();
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = active.follow_time() => {}
        }
    }
}

/// Asks what is new as soon as the machine goes on after it was suspended, until dropped.
///
/// A suspended machine misses what others tell it, and its own next exchange may be a second away.
pub async fn watch_suspension(clock: Clock, spread: Arc<Spread>) {
    let mut known_us = clock.suspended_us();
    loop {
        sleep(SUSPENSION_LOOK_INTERVAL).await;
        let suspended_us = clock.suspended_us();
        if suspended_us == known_us {
            continue;
        }
        let missed_ms = (suspended_us - known_us) / 1_000;
        log::warn!("this machine was suspended for {missed_ms} ms: others are asked what is new");
        known_us = suspended_us;
        spread.catch_up().await;
    }
}

/// Closes connections to other nodes that nothing uses, until dropped.
pub async fn close_idle(client: PeerClient) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        client.pool().close_idle();
    }
}

/// Pushes counts and gauges at a steady interval, until dropped.
pub async fn send_metrics(
    mut sender: MetricSender,
    interval: Duration,
    counters: Arc<Counters>,
    guard: TargetGuard,
    meter: Arc<Meter>,
    active: Arc<Active>,
) {
    loop {
        sleep(interval).await;
        let gauges = gauges(&guard, &meter, &active);
        sender.send(&counters, &gauges);
    }
}

/// What is measured at the moment when it is asked for.
pub fn gauges(guard: &TargetGuard, meter: &Meter, active: &Active) -> Gauges {
    let load = guard.guard().load();
    let fleet_version = active.load().configuration.version(&DocumentName::Fleet);
    vec![
        ("in_flight", u64::from(load.in_flight)),
        ("queued", u64::from(load.queued)),
        ("limit", u64::from(load.limit)),
        ("slowness_percent", u64::from(load.slowness_percent)),
        ("is_cold", u64::from(guard.guard().is_cold())),
        ("is_evacuated", u64::from(guard.is_evacuated())),
        ("control_bytes", meter.control_bytes.load(Ordering::Relaxed)),
        ("peer_connections", meter.open.load(Ordering::Relaxed)),
        ("platform_era", fleet_version.era),
        ("platform_returns", active.returns.load(Ordering::Relaxed)),
    ]
}
