//! Scenario files, which define a load and the faults to inject.

use crate::{
    fault::{Fault, create_fault},
    fault_plan::FaultPlan,
};
use laurelstall_config::problem::{Checker, ConfigError};
use serde::Deserialize;

/// A phase of a scenario with its own load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Start of the phase in ms.
    pub from_ms: u64,
    /// Load in percent of the capacity of all targets.
    pub load_percent: u64,
}

/// Noisy neighbours that slow each target down at random times.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoisyNeighbours {
    /// Mean time in ms between two slowdowns of a target.
    pub every_ms: u64,
    /// Shortest slowdown in ms.
    pub shortest_ms: u64,
    /// Longest slowdown in ms.
    pub longest_ms: u64,
    /// Smallest factor of a slowdown.
    pub factor_min: f64,
    /// Largest factor of a slowdown.
    pub factor_max: f64,
}

/// A scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Name of the deployment: `faltgard` or `kuantan`.
    pub deployment: String,
    /// Number of services that are called.
    #[serde(default = "services_default")]
    pub services: usize,
    /// Mean service time in ms.
    #[serde(default = "service_mean_ms_default")]
    pub service_mean_ms: f64,
    /// Length of the scenario in s.
    pub seconds: u64,
    /// Load in percent of the capacity of all targets.
    pub load_percent: u64,
    /// Share of calls that must not be repeated, in percent.
    #[serde(default = "write_percent_default")]
    pub write_percent: u64,
    /// Number of levels of the call chain; above 1, each level is a separate service.
    #[serde(default = "levels_default")]
    pub levels: usize,
    /// Phases with a different load, in order of their start.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Phase>,
    /// Noisy neighbours of all targets.
    pub noise: Option<NoisyNeighbours>,
    /// Faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultPlan>,
}

fn services_default() -> usize {
    1
}

fn service_mean_ms_default() -> f64 {
    10.0
}

fn write_percent_default() -> u64 {
    30
}

fn levels_default() -> usize {
    1
}

/// Largest number of levels of a call chain.
pub const LEVELS_MAX: usize = 11;

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    ///
    /// Returns all problems found in `text`.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut check = Checker::new(file, text);
        let Some(scenario) = check.parse::<Self>() else {
            return Err(check.finish().expect_err("a failed parse adds a problem"));
        };
        let is_known = ["faltgard", "kuantan"].contains(&scenario.deployment.as_str());
        check.ensure(is_known, "deployment", "must be faltgard or kuantan");
        check.range("services", scenario.services, 1..=4);
        check.range("service_mean_ms", scenario.service_mean_ms, 1.0..=1_000.0);
        check.range("seconds", scenario.seconds, 1..=600);
        check.range("load_percent", scenario.load_percent, 1..=1_000);
        check.range("write_percent", scenario.write_percent, 0..=100);
        check.range("levels", scenario.levels, 1..=LEVELS_MAX);
        for fault in &scenario.faults {
            check.range("fault.factor", fault.factor, 1.0..=1_000.0);
            check.range("fault.per_s", fault.per_s, 0.0..=100_000.0);
            check.range("fault.target", fault.target, 0..=64);
            check.range("fault.data_centre", fault.data_centre, 0..=3);
        }
        check.finish().map(|()| scenario)
    }

    /// Returns the load in percent at `at_ms`.
    pub fn load_percent_at(&self, at_ms: u64) -> u64 {
        let current = self.phases.iter().rfind(|phase| phase.from_ms <= at_ms);
        current.map_or(self.load_percent, |phase| phase.load_percent)
    }

    /// Returns the intervals of constant load, each with its start in ms, length in ms and load in percent.
    pub fn load_intervals(&self) -> Vec<(u64, u64, u64)> {
        let end_ms = self.seconds * 1_000;
        let mut starts = vec![0];
        starts
            .extend(self.phases.iter().map(|phase| phase.from_ms).filter(|from| *from > 0 && *from < end_ms));
        let next = |index: usize| starts.get(index + 1).copied().unwrap_or(end_ms);
        let interval =
            |(index, start): (usize, &u64)| (*start, next(index) - start, self.load_percent_at(*start));
        starts.iter().enumerate().map(interval).collect()
    }

    /// Creates the faults of the scenario, each with its plan.
    pub fn create_faults(&self) -> Vec<(FaultPlan, Box<dyn Fault>)> {
        self.faults.iter().map(|plan| (plan.clone(), create_fault(plan))).collect()
    }
}
