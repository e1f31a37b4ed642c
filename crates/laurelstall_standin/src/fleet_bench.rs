//! Runs many real nodes in one process to measure configuration propagation and the cost of control traffic.

use crate::process::{cpu_s, memory_bytes};
use bench_fleet::BenchFleet;
use control_traffic::{TrafficTotals, total_growth};
use propagation::Propagation;
use reference_deployment::configuration_bytes;
use std::time::Instant as StdInstant;
use tokio::time::{Duration, sleep};

mod bench_fleet;
mod control_traffic;
mod disturbance;
mod propagation;
mod reference_deployment;
mod result;

pub use disturbance::Disturbance;
pub use reference_deployment::{SERVICES, team_documents};
pub use result::FleetResult;

/// Time that nodes get to establish their connections before the measurement.
const CONNECTING_TIME: Duration = Duration::from_secs(3);

/// Parameters of a fleet measurement.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Length of the run in s.
    pub seconds: u64,
    /// Interval between two changes in ms; 0 publishes no changes.
    pub change_interval_ms: u64,
    /// Fault to inject.
    pub disturbance: Disturbance,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What was measured while changes were published.
struct Measurement {
    propagation: Propagation,
    length_s: f64,
    cpu_spent_s: f64,
    traffic: TrafficTotals,
    platform_calls: u64,
}

/// Runs a fleet measurement.
///
/// # Errors
///
/// Returns the error of the first node that fails to start or restart.
pub async fn run(plan: FleetPlan) -> Result<FleetResult, String> {
    let memory_before_bytes = memory_bytes();
    let started = StdInstant::now();
    let mut fleet = BenchFleet::start(plan).await?;
    let joined_ms = started.elapsed().as_secs_f64() * 1_000.0;
    sleep(CONNECTING_TIME).await;
    let used_memory_bytes = memory_bytes().saturating_sub(memory_before_bytes);
    let measurement = measure(&mut fleet).await?;
    let Propagation { latency, changes, overdue } = &measurement.propagation;
    let length_s = measurement.length_s;
    let nodes = plan.nodes as f64;
    Ok(FleetResult {
        nodes: plan.nodes,
        changes: *changes,
        in_force_p50_ms: latency.percentile_ms(50.0),
        in_force_p99_ms: latency.percentile_ms(99.0),
        in_force_max_ms: latency.percentile_ms(100.0),
        overdue: *overdue,
        fell_back: fleet.rollbacks,
        control_bytes_per_s_per_node: measurement.traffic.bytes as f64 / length_s / nodes,
        control_messages_per_s_per_node: measurement.traffic.messages as f64 / length_s / nodes,
        control_bytes_per_s_max_node: measurement.traffic.busiest_node_bytes as f64 / length_s,
        platform_calls_per_s: measurement.platform_calls as f64 / length_s,
        cpu_share_per_node: measurement.cpu_spent_s / length_s / nodes,
        memory_bytes_per_node: used_memory_bytes as f64 / nodes,
        connections_per_node: fleet.connections() as f64 / nodes,
        configuration_bytes: configuration_bytes(&fleet.platform),
        joined_ms,
    })
}

/// Publishes the planned changes and measures what they cost.
async fn measure(fleet: &mut BenchFleet) -> Result<Measurement, String> {
    let traffic_before = fleet.control_traffic();
    let calls_before = fleet.platform.calls();
    let cpu_before_s = cpu_s();
    let started = StdInstant::now();
    let propagation = fleet.measure_propagation().await?;
    let length_s = started.elapsed().as_secs_f64();
    let cpu_spent_s = cpu_s() - cpu_before_s;
    let traffic = total_growth(&traffic_before, &fleet.control_traffic());
    let platform_calls = fleet.platform.calls() - calls_before;
    Ok(Measurement { propagation, length_s, cpu_spent_s, traffic, platform_calls })
}
