//! What a node has learned about the calls that its own target makes, and whether a call is worth running.

use crate::{call_end::NestedOutcome, call_pattern::CallPattern, recent_outcomes::FORGOTTEN_US};
use laurelstall_balance::class_times::CallClass;
use laurelstall_overload::call_level::CallLevel;
use std::{collections::HashMap, sync::Arc};

/// Largest number of classes whose calls are remembered; the one that ran longest ago is forgotten for a new one.
pub const CLASSES_MAX: usize = 64;
/// Largest number of services remembered for a class; the one called longest ago is forgotten for a new one.
pub const SERVICES_MAX: usize = 8;
/// Largest number of runs watched at a time, well above the slots of a target.
const RUNS_MAX: usize = 4_096;
/// Shortest time between two calls that are let through although they would fail, in µs. It bounds the time in which a
/// recovery stays unnoticed.
pub const TRIAL_INTERVAL_US: u64 = 100_000;
/// Shortest retry time in ms: what is learned of a failure is forgotten in this time, and a caller that returns sooner
/// would be refused again.
const RETRY_AFTER_MIN_MS: u32 = 1_000;
/// Time in ms over which retry times are spread, so that callers do not return all at once.
const RETRY_SPREAD_MS: u32 = 1_000;
/// Distance in ms of successive retry times.
const RETRY_STEP_MS: u32 = 10;

/// Number of a watched run.
pub type RunId = u64;

/// What to do with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Admit,
    /// It would probably fail, but is admitted to find out whether the service behind has recovered.
    Trial,
    /// It would probably fail.
    Refuse {
        /// When a retry makes sense, in ms.
        retry_after_ms: u32,
    },
}

/// The refusals of a class begin or end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalChange {
    /// The class of the refused calls.
    pub class: CallClass,
    /// The service that fails.
    pub service: Arc<str>,
    /// Whether the refusals begin.
    pub begins: bool,
}

/// A verdict, and the change of state that comes with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainDecision {
    /// What to do with the call.
    pub verdict: Verdict,
    /// Refusals that begin or end; `None` when nothing changes.
    pub change: Option<RefusalChange>,
}

/// The calls to one service, and when the last one began, in µs.
#[derive(Debug, Clone)]
struct CalledService {
    name: Arc<str>,
    pattern: CallPattern,
    called_us: u64,
}

/// The service that the calls of a class are refused for, and when the last one was refused, in µs.
#[derive(Debug, Clone)]
struct RefusedFor {
    service: Arc<str>,
    refused_us: u64,
}

#[derive(Debug, Clone, Default)]
struct ClassRuns {
    services: Vec<CalledService>,
    ran_us: u64,
    refused_for: Option<RefusedFor>,
}

impl ClassRuns {
    fn service(&mut self, name: &str) -> Option<&mut CalledService> {
        self.services.iter_mut().find(|service| &*service.name == name)
    }

    /// Notes a call to a service; returns the name that the service is known by.
    fn note_call(&mut self, name: &str, now_us: u64) -> Arc<str> {
        if let Some(service) = self.service(name) {
            service.called_us = now_us;
            return service.name.clone();
        }
        if self.services.len() >= SERVICES_MAX {
            let oldest = (0..self.services.len()).min_by_key(|index| self.services[*index].called_us);
            oldest.map(|index| self.services.swap_remove(index));
        }
        let name = Arc::<str>::from(name);
        let service =
            CalledService { name: name.clone(), pattern: CallPattern::default(), called_us: now_us };
        self.services.push(service);
        name
    }

    /// Returns the name of a service for which a run of this level would fail.
    fn failing_service(&self, level: CallLevel, now_us: u64) -> Option<Arc<str>> {
        let failing = self.services.iter().find(|service| service.pattern.would_fail(level, now_us));
        failing.map(|service| service.name.clone())
    }

    /// Adds a run that ended to the patterns of all services.
    ///
    /// A run in which a call failed often ends before it makes its other calls, and one that failed by itself before
    /// its first. Neither counts for the services that it called without failure or did not call.
    fn note_run(&mut self, run: &WatchedRun, has_succeeded: bool) {
        let has_failed_call = run.calls.iter().any(|call| call.has_failed);
        for service in &mut self.services {
            let call = run.calls.iter().find(|call| call.service == service.name);
            let has_this_failed = call.is_some_and(|call| call.has_failed);
            if has_this_failed {
                service.pattern.note_run_after_failure(!has_succeeded);
            }
            if has_this_failed || has_succeeded && !has_failed_call {
                service.pattern.note_run(call.is_some());
            }
        }
    }

    /// Notes a refusal because of `service`; returns the change if it is the first.
    fn note_refusal(&mut self, class: CallClass, service: Arc<str>, now_us: u64) -> Option<RefusalChange> {
        let is_known = self.refused_for.is_some();
        self.refused_for = Some(RefusedFor { service: service.clone(), refused_us: now_us });
        (!is_known).then_some(RefusalChange { class, service, begins: true })
    }

    /// Returns the end of the refusals if the last one is long enough ago.
    fn end_of_refusals(&mut self, class: CallClass, now_us: u64) -> Option<RefusalChange> {
        let ended = self.refused_for.take_if(|refused| refused.refused_us + FORGOTTEN_US <= now_us)?;
        Some(RefusalChange { class, service: ended.service, begins: false })
    }
}

#[derive(Debug, Clone)]
struct RunCall {
    service: Arc<str>,
    has_failed: bool,
}

/// A run that has not ended, with the services that it called.
#[derive(Debug, Clone)]
struct WatchedRun {
    class: CallClass,
    calls: Vec<RunCall>,
}

/// Learns which services the runs of each class call and how these calls fare, and refuses calls whose runs would fail
/// there.
///
/// Load pattern: a service that only other services call answers few or none of the calls for seconds. Each run that
/// waits for it takes a slot, and its caller learns late that it was in vain.
#[derive(Debug, Clone, Default)]
pub struct ChainTable {
    classes: HashMap<CallClass, ClassRuns>,
    runs: HashMap<RunId, WatchedRun>,
    next_run: RunId,
    /// When the last call was let through although it would fail, in µs.
    trial_us: Option<u64>,
    /// Number of refused calls, by which retry times are spread.
    refused: u32,
}

impl ChainTable {
    /// Notes that a run begins; `None` when too many are watched already.
    pub fn begin_run(&mut self, class: CallClass, now_us: u64) -> Option<RunId> {
        if self.runs.len() >= RUNS_MAX {
            return None;
        }
        self.class_runs(class).ran_us = now_us;
        let run = self.next_run;
        self.next_run += 1;
        self.runs.insert(run, WatchedRun { class, calls: Vec::new() });
        Some(run)
    }

    /// Notes that a run calls a service.
    pub fn note_call(&mut self, run: RunId, service: &str, now_us: u64) {
        let Some(watched) = self.runs.get_mut(&run) else { return };
        let Some(class_runs) = self.classes.get_mut(&watched.class) else { return };
        let service = class_runs.note_call(service, now_us);
        let is_known = watched.calls.iter().any(|call| call.service == service);
        if !is_known && watched.calls.len() < SERVICES_MAX {
            watched.calls.push(RunCall { service, has_failed: false });
        }
    }

    /// Notes the outcome of a call that a run of `class` made. The run may have ended already.
    pub fn note_outcome(
        &mut self,
        (class, run): (CallClass, RunId),
        service: &str,
        level: CallLevel,
        outcome: NestedOutcome,
        now_us: u64,
    ) {
        if outcome != NestedOutcome::Answered
            && let Some(watched) = self.runs.get_mut(&run)
            && let Some(call) = watched.calls.iter_mut().find(|call| &*call.service == service)
        {
            call.has_failed = true;
        }
        let class_runs = self.classes.get_mut(&class);
        if let Some(service) = class_runs.and_then(|class_runs| class_runs.service(service)) {
            service.pattern.note_outcome(level, outcome, now_us);
        }
    }

    /// Notes that a run ended, and whether the target answered it without a server error.
    pub fn end_run(&mut self, run: RunId, has_succeeded: bool) {
        let Some(watched) = self.runs.remove(&run) else { return };
        if let Some(class_runs) = self.classes.get_mut(&watched.class) {
            class_runs.note_run(&watched, has_succeeded);
        }
    }

    /// Decides on a call before it is admitted.
    pub fn decide(&mut self, class: CallClass, level: CallLevel, now_us: u64) -> ChainDecision {
        let Some(class_runs) = self.classes.get_mut(&class) else {
            return ChainDecision { verdict: Verdict::Admit, change: None };
        };
        let Some(service) = class_runs.failing_service(level, now_us) else {
            let change = class_runs.end_of_refusals(class, now_us);
            return ChainDecision { verdict: Verdict::Admit, change };
        };
        if self.trial_us.is_none_or(|trial_us| trial_us + TRIAL_INTERVAL_US <= now_us) {
            self.trial_us = Some(now_us);
            return ChainDecision { verdict: Verdict::Trial, change: None };
        }
        let change = class_runs.note_refusal(class, service, now_us);
        ChainDecision { verdict: Verdict::Refuse { retry_after_ms: self.next_retry_ms() }, change }
    }

    /// Returns the lowest level that the services behind the runs of a class serve; `None` when they refuse none by
    /// level.
    pub fn required_level(&self, class: CallClass, now_us: u64) -> Option<CallLevel> {
        let services = &self.classes.get(&class)?.services;
        services.iter().filter_map(|service| service.pattern.required_level(now_us)).max()
    }

    /// Returns the number of remembered pairs of a class and a service that its runs call.
    pub fn len(&self) -> usize {
        self.classes.values().map(|class_runs| class_runs.services.len()).sum()
    }

    /// Returns whether no calls are remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn next_retry_ms(&mut self) -> u32 {
        self.refused = self.refused.wrapping_add(1);
        RETRY_AFTER_MIN_MS + self.refused.wrapping_mul(RETRY_STEP_MS) % RETRY_SPREAD_MS
    }

    fn class_runs(&mut self, class: CallClass) -> &mut ClassRuns {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&class) {
            let oldest = self.classes.iter().min_by_key(|(_, class_runs)| class_runs.ran_us);
            let oldest = oldest.map(|(class, _)| *class);
            oldest.and_then(|class| self.classes.remove(&class));
        }
        self.classes.entry(class).or_default()
    }
}
