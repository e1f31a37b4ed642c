//! Choice of targets to ask for their load.

use super::ServiceBalancer;
use crate::target_view::TargetView;
use rand::{RngExt, seq::IndexedRandom};

/// Load of the local data centre from which targets are probed before a call is placed. Below it, queues are short
/// at every target.
const PROBE_LOAD_MIN: f64 = 0.4;
/// Age in µs from which a target's hint is refreshed by a probe: about the time in which its load changes.
const PROBE_HINT_AGE_US: u64 = 50_000;

/// A target that should be probed for its load before a call is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The target's index in the service's list.
    pub index: usize,
    /// The target's name.
    pub name: String,
    /// The host that the target runs on.
    pub host: String,
}

impl ServiceBalancer {
    /// Local targets that should be probed for their load before a call is placed: up to `count` of those with an old
    /// hint, drawn at random, and none while the load of the local data centre is low.
    ///
    /// An entry node that sends a service few calls has hints that are seconds old, and without probes it sends calls
    /// to busy targets.
    pub fn targets_to_probe(&mut self, count: usize, now_us: u64) -> Vec<ProbeTarget> {
        if self.spillover.local_load() < PROBE_LOAD_MIN {
            return Vec::new();
        }
        let is_old =
            |view: &TargetView| view.hint(now_us).is_none_or(|(_, age_us)| age_us > PROBE_HINT_AGE_US);
        let should_probe = |(_, view): &(usize, &TargetView)| {
            view.remote_cost_percent == 0 && view.is_eligible(now_us) && is_old(view)
        };
        let stale = self.targets.iter().enumerate().filter(should_probe).collect::<Vec<_>>();
        let sample = stale.sample(&mut self.rng, count);
        sample
            .map(|(index, view)| ProbeTarget {
                index: *index,
                name: view.name.clone(),
                host: view.host.clone(),
            })
            .collect()
    }

    /// The index of the live target with the oldest hint among those for whose host `has_connection` is true; `None`
    /// when no hint is at least `age_min_us` old. A target without a hint counts as oldest, and ties are broken at
    /// random.
    pub fn target_with_oldest_hint(
        &mut self,
        now_us: u64,
        age_min_us: u64,
        has_connection: impl Fn(&str) -> bool,
    ) -> Option<usize> {
        let age = |view: &TargetView| view.hint(now_us).map_or(u64::MAX, |(_, age_us)| age_us);
        let live = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, view)| view.is_in_service() && has_connection(&view.host));
        let due = live.map(|(index, view)| (index, age(view))).filter(|(_, age)| *age >= age_min_us);
        let due = due.collect::<Vec<_>>();
        let oldest = due.iter().map(|(_, age)| *age).max()?;
        let ties = due.iter().filter(|(_, age)| *age == oldest).collect::<Vec<_>>();
        Some(ties[self.rng.random_range(0..ties.len())].0)
    }

    /// The age of a target's last hint in µs; `None` without a hint.
    pub fn hint_age_us(&self, index: usize, now_us: u64) -> Option<u64> {
        self.targets.get(index)?.hint(now_us).map(|(_, age_us)| age_us)
    }
}
