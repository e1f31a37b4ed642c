//! Scenario files: a load and the faults that come over it.

use crate::{
    fault::{Fault, fault_of},
    fault_plan::FaultPlan,
};
use laurelstall_config::problem::{Checker, ConfigError};
use serde::Deserialize;

/// A change of the load during a scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// From when, in ms.
    pub from_ms: u64,
    /// Load in percent of what all targets can do.
    pub load_percent: u64,
}

/// Neighbours that steal capacity of each target at random instants.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Mean time between two thefts at one target in ms.
    pub every_ms: u64,
    /// Shortest theft in ms.
    pub shortest_ms: u64,
    /// Longest theft in ms.
    pub longest_ms: u64,
    /// Least factor by which the target gets slower.
    pub factor_min: f64,
    /// Largest factor.
    pub factor_max: f64,
}

/// A scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// `faltgard` or `kuantan`.
    pub deployment: String,
    /// Services that are called.
    #[serde(default = "services_default")]
    pub services: usize,
    /// Mean service time in ms.
    #[serde(default = "service_mean_ms_default")]
    pub service_mean_ms: f64,
    /// Length in s.
    pub seconds: u64,
    /// Load in percent of what all targets can do.
    pub load_percent: u64,
    /// Share of calls that may not be repeated, in percent.
    #[serde(default = "write_percent_default")]
    pub write_percent: u64,
    /// Levels of a chain of calls; above 1, each level is a service of its own.
    #[serde(default = "levels_default")]
    pub levels: usize,
    /// Changes of the load.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Phase>,
    /// Noise at all targets.
    pub noise: Option<Noise>,
    /// Faults.
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

/// Deepest chain of calls in a scenario.
pub const LEVELS_MAX: usize = 11;

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    ///
    /// All faults found in `text`.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut check = Checker::new(file, text);
        let Some(scenario) = check.parse::<Self>() else {
            return Err(check.finish().expect_err("parsing noted a problem"));
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
            check.range("fault.target", fault.target, 0..=64);
            check.range("fault.data_centre", fault.data_centre, 0..=3);
        }
        check.finish().map(|()| scenario)
    }

    /// Load in percent at `at_ms`.
    pub fn load_percent_at(&self, at_ms: u64) -> u64 {
        let begun = self.phases.iter().rfind(|phase| phase.from_ms <= at_ms);
        begun.map_or(self.load_percent, |phase| phase.load_percent)
    }

    /// Stretches of constant load: start in ms, length in ms, load in percent.
    pub fn stretches(&self) -> Vec<(u64, u64, u64)> {
        let end_ms = self.seconds * 1_000;
        let mut starts = vec![0];
        starts
            .extend(self.phases.iter().map(|phase| phase.from_ms).filter(|from| *from > 0 && *from < end_ms));
        let next = |index: usize| starts.get(index + 1).copied().unwrap_or(end_ms);
        let stretch =
            |(index, start): (usize, &u64)| (*start, next(index) - start, self.load_percent_at(*start));
        starts.iter().enumerate().map(stretch).collect()
    }

    /// The faults as objects.
    pub fn fault_objects(&self) -> Vec<(FaultPlan, Box<dyn Fault>)> {
        self.faults.iter().map(|plan| (plan.clone(), fault_of(plan))).collect()
    }
}
