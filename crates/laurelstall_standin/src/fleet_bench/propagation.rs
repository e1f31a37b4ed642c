//! Publishes configuration changes and measures when they become active on the nodes.

use super::{
    bench_fleet::BenchFleet,
    disturbance::DisturbanceState,
    reference_deployment::{TEAMS, team_name},
};
use crate::latency::LatencyHistogram;
use laurelstall_config::document::{DocumentName, Version};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Instant as StdInstant;
use tokio::time::{Duration, sleep};

/// Interval in ms between two checks of the versions that nodes use.
const POLL_INTERVAL_MS: u64 = 4;
/// Time after which a change that has not taken effect on all nodes counts as overdue.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// How the changes of a run spread.
pub(super) struct Propagation {
    /// Time until a change is active on a node, over all nodes and changes.
    pub(super) latency: LatencyHistogram,
    /// Number of changes published.
    pub(super) changes: u64,
    /// Number of changes that were not active on all nodes in time.
    pub(super) overdue: u64,
}

/// A change that is not active on all nodes yet.
struct PendingChange {
    name: DocumentName,
    version: Version,
    published_at: StdInstant,
    /// Whether the change is active, by index of the node.
    is_active_on: Vec<bool>,
}

impl PendingChange {
    fn is_complete(&self) -> bool {
        self.is_active_on.iter().all(|is_active| *is_active)
    }

    fn is_overdue(&self) -> bool {
        self.published_at.elapsed() > CHANGE_TIMEOUT
    }
}

impl BenchFleet {
    /// Publishes changes at the planned interval and tracks each until it is active on all nodes.
    pub(super) async fn measure_propagation(&mut self) -> Result<Propagation, String> {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed);
        let mut latency = LatencyHistogram::new();
        let start = StdInstant::now();
        let length = Duration::from_secs(self.plan.seconds);
        let (mut changes, mut next_change_ms) = (0, self.plan.change_interval_ms);
        let mut pending: Vec<PendingChange> = Vec::new();
        let mut overdue = 0;
        let mut state = DisturbanceState::default();
        while start.elapsed() < length || (!pending.is_empty() && start.elapsed() < length + CHANGE_TIMEOUT) {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            let now_ms = start.elapsed().as_millis() as u64;
            self.apply_disturbance(&mut state, now_ms).await?;
            let is_due =
                self.plan.change_interval_ms > 0 && now_ms >= next_change_ms && start.elapsed() < length;
            if is_due {
                next_change_ms += self.plan.change_interval_ms;
                pending.push(self.publish_change(&mut rng));
                changes += 1;
            }
            for change in &mut pending {
                self.record_propagation(change, &mut latency);
            }
            overdue += pending.iter().filter(|change| change.is_overdue()).count() as u64;
            pending.retain(|change| !change.is_complete() && !change.is_overdue());
            self.count_version_rollbacks();
        }
        Ok(Propagation { latency, changes, overdue: overdue + pending.len() as u64 })
    }

    /// Publishes a new version of a team's document that differs in one number of its services.
    fn publish_change(&self, rng: &mut SmallRng) -> PendingChange {
        let name = DocumentName::Team(team_name(rng.random_range(0..TEAMS)));
        let text = self.platform.text(&name).unwrap_or_default();
        let wait_ms = rng.random_range(500..1_500);
        let changed = text.lines().map(|line| match line.starts_with("queue_wait_max_ms") {
            true => format!("queue_wait_max_ms = {wait_ms}"),
            false => line.to_owned(),
        });
        let changed = changed.collect::<Vec<_>>().join("\n") + "\n";
        let version = self.platform.publish(&name, &changed);
        PendingChange {
            name,
            version,
            published_at: StdInstant::now(),
            is_active_on: vec![false; self.nodes.len()],
        }
    }

    /// Records the latency of the change on the nodes where it has become active since the last check.
    fn record_propagation(&self, change: &mut PendingChange, latency: &mut LatencyHistogram) {
        for (index, bench_node) in self.nodes.iter().enumerate() {
            let Some(node) = &bench_node.node else { continue };
            if change.is_active_on[index]
                || node.active.load().configuration.version(&change.name) < change.version
            {
                continue;
            }
            change.is_active_on[index] = true;
            latency.add_us(change.published_at.elapsed().as_micros() as u64);
        }
    }

    /// Counts nodes that use an older version of a document than at the last check.
    fn count_version_rollbacks(&mut self) {
        for (index, bench_node) in self.nodes.iter().enumerate() {
            let Some(node) = &bench_node.node else { continue };
            for (name, version) in &node.active.load().configuration.versions {
                let latest = self.latest_versions.entry((index, name.clone())).or_insert(*version);
                // A restarted node may lag until it has joined; from then on it must not use an older version than
                // its host used before.
                if *version < *latest && node.replicator.is_joined() {
                    self.rollbacks += 1;
                }
                *latest = *version;
            }
        }
    }
}
