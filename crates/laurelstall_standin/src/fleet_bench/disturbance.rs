//! Faults that are injected while changes are published.

use super::{bench_fleet::BenchFleet, reference_deployment::DATA_CENTRES};
use crate::platform::Snapshot;

/// One in this many nodes is restarted in a run with restarts.
const RESTARTED_NODES_DIVISOR: usize = 5;

/// Fault that is active while changes are published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// No fault.
    None,
    /// A fifth of the nodes are killed and restarted, one by one over the whole run.
    Restarts,
    /// A data centre is partitioned from the rest during the middle third of the run.
    Partition,
    /// The platform serves stale documents during the middle third of the run.
    Stale,
    /// The platform is unavailable during the middle third of the run.
    Unavailable,
    /// The platform is restored, at the end of the middle third, from a copy made at its start.
    Restored,
}

impl Disturbance {
    /// Returns the disturbance with this name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "restarts" => Some(Self::Restarts),
            "cut" => Some(Self::Partition),
            "stale" => Some(Self::Stale),
            "away" => Some(Self::Unavailable),
            "returned" => Some(Self::Restored),
            _ => None,
        }
    }
}

/// How far the disturbance of a run has progressed.
#[derive(Debug, Default)]
pub(super) struct DisturbanceState {
    is_on: bool,
    /// Copy that the platform is restored from.
    copy: Option<Snapshot>,
    /// Number of nodes restarted so far.
    restarted: usize,
}

impl BenchFleet {
    /// Injects or ends the planned fault if it is time, `now_ms` after the start of the run.
    pub(super) async fn apply_disturbance(
        &mut self,
        state: &mut DisturbanceState,
        now_ms: u64,
    ) -> Result<(), String> {
        if self.plan.disturbance == Disturbance::Restarts {
            return self.restart_due_nodes(state, now_ms).await;
        }
        let third_ms = self.plan.seconds * 1_000 / 3;
        let is_middle = (third_ms..2 * third_ms).contains(&now_ms);
        if is_middle != state.is_on {
            state.is_on = is_middle;
            self.switch_disturbance(state);
        }
        Ok(())
    }

    /// Restarts the nodes whose turn it is; the restarts are spread evenly over the run.
    async fn restart_due_nodes(&mut self, state: &mut DisturbanceState, now_ms: u64) -> Result<(), String> {
        let length_ms = self.plan.seconds * 1_000;
        let due = now_ms * self.nodes.len() as u64 / RESTARTED_NODES_DIVISOR as u64 / length_ms;
        let due = (due as usize).min(self.nodes.len() / RESTARTED_NODES_DIVISOR);
        while state.restarted < due {
            let index = state.restarted * RESTARTED_NODES_DIVISOR;
            state.restarted += 1;
            self.restart(index).await?;
        }
        Ok(())
    }

    /// Injects the planned fault at the start of the middle third of the run, and ends it after that.
    fn switch_disturbance(&self, state: &mut DisturbanceState) {
        match self.plan.disturbance {
            Disturbance::Partition => self.partitions.set_partitioned(DATA_CENTRES[1], state.is_on),
            Disturbance::Stale => self.platform.set_stale(state.is_on),
            Disturbance::Unavailable => self.platform.set_unavailable(state.is_on),
            Disturbance::Restored => match state.copy.take() {
                Some(copy) => self.platform.restore(&copy),
                None => state.copy = Some(self.platform.snapshot()),
            },
            Disturbance::None | Disturbance::Restarts => {}
        }
    }
}
