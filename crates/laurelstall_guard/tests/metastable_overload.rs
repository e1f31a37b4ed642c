//! Decisions of 24 nodes in one process, each with an entry, a guard and a target, on a paused clock: a fault, its end,
//! and the time until as many calls are answered in time as before.
//!
//! Guards against a fault whose effects keep themselves alive at an unchanged load. Callers return when they are told.

use laurelstall_balance::{
    hint::{Hint, TargetState},
    least_cost::LeastCost,
    service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
    target_view::TargetView,
};
use laurelstall_config::{load_control::LoadControl, team::ServiceLimits};
use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::{Guard, Permit},
    guard_limits::GuardLimits,
    refusal::{NextStep, Refusal, TargetSignal},
    refusal_causes::RefusalKind,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU32, Ordering::Relaxed},
};
use tokio::time::{Duration, Instant, sleep, sleep_until};

const NODES: usize = 24;
const SLOTS: u32 = 9;
/// Number of busy slots above which a target works slower, and how much slower.
const KNEE: u32 = 7;
const KNEE_FACTOR: f64 = 1.7;
const WORK_US: f64 = 160_000.0;
/// Calls a second that all targets can answer.
const CAPACITY_PER_S: f64 = NODES as f64 * KNEE as f64 * 1e6 / WORK_US;
const ROUND_TRIP_US: u64 = 600;
const OBJECTIVE_US: u64 = 500_000;
const DEADLINE_US: u64 = 1_500_000;
const TRIES: u32 = 3;
const MS_PER_S: u64 = 1_000;
const BEFORE_MS: u64 = 6 * MS_PER_S;
const AFTER_MS: u64 = 6 * MS_PER_S;
/// Time after the end of a fault from which answers in time are at their previous value.
const RECOVERED_MS: u64 = 2 * MS_PER_S;
const RECOVERED_SHARE: f64 = 0.97;
/// Window in which answers in time are counted.
const WINDOW_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Targets refuse 55 of 100 requests.
    Refusing,
    /// Targets run 4 requests at once and refuse the others.
    Full,
    /// Targets refuse 30 of 100 requests, and those beyond 5 at once.
    Both,
    /// Targets reset the connections of 55 of 100 requests.
    Resetting,
    /// Targets work three times slower.
    Slow,
    /// 2.5 times the load.
    Burst,
}

struct Node {
    entry: Mutex<ServiceBalancer>,
    guard: Arc<Guard>,
    busy: AtomicU32,
}

impl Node {
    fn entry(&self) -> MutexGuard<'_, ServiceBalancer> {
        self.entry.lock().expect("no panic under the lock")
    }

    fn hint(&self) -> Hint {
        let load = self.guard.load();
        Hint {
            incarnation: 1,
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            service_us: load.service_us,
            slowness_percent: load.slowness_percent,
            state: TargetState::Serving,
        }
    }
}

struct Fleet {
    clock: Clock,
    nodes: Vec<Node>,
    fault: Mutex<Option<Fault>>,
    rng: Mutex<SmallRng>,
    /// Calls and those answered in time, by the window of their arrival.
    windows: Mutex<Vec<(u32, u32)>>,
}

impl Fleet {
    fn new(has_refusal_causes: bool, seed: u64) -> Arc<Self> {
        let clock = Clock::new();
        let load = LoadControl { refusal_causes: has_refusal_causes, ..LoadControl::default() };
        let limits = ServiceLimits { load, ..ServiceLimits::default() };
        let guard_limits = GuardLimits {
            slots: SLOTS,
            slots_start_percent: 80,
            slots_floor_percent: 25,
            queue_length: (SLOTS * limits.queue_per_slot) as usize,
            queue_wait_max_ms: limits.queue_wait_max_ms,
            cold_calls_per_s: 0,
            cold_start_ms: 0,
            has_refusal_causes,
            may_hold: false,
        };
        let node = |number: usize| {
            let seed = seed + number as u64;
            let mut entry = ServiceBalancer::new(limits, Box::new(LeastCost::default()), seed);
            let view =
                |n: usize| TargetView::new(&format!("t-{n}"), &format!("h-{n}"), SLOTS, ROUND_TRIP_US, 0);
            entry.set_targets(limits, (0..NODES).map(view).collect());
            entry.set_entries(NODES);
            Node { entry: Mutex::new(entry), guard: Guard::new(guard_limits, clock), busy: AtomicU32::new(0) }
        };
        Arc::new(Self {
            clock,
            nodes: (0..NODES).map(node).collect(),
            fault: Mutex::new(None),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            windows: Mutex::default(),
        })
    }

    fn draw(&self) -> f64 {
        self.rng.lock().expect("no panic under the lock").random()
    }

    fn fault(&self) -> Option<Fault> {
        *self.fault.lock().expect("no panic under the lock")
    }

    async fn run(self: &Arc<Self>, fault: Option<Fault>, load: f64, ms: u64) {
        *self.fault.lock().expect("no panic under the lock") = fault;
        let factor = if matches!(fault, Some(Fault::Burst)) { 2.5 } else { 1.0 };
        let per_ms = load * factor * CAPACITY_PER_S / MS_PER_S as f64;
        let mut due = 0.0;
        let start = Instant::now();
        for at_ms in 1..=ms {
            due += 2.0 * per_ms * self.draw();
            while due >= 1.0 {
                due -= 1.0;
                let entry = (self.draw() * NODES as f64) as usize;
                tokio::spawn(self.clone().caller(entry));
            }
            sleep_until(start + Duration::from_millis(at_ms)).await;
        }
    }

    /// A caller, who returns once if it is told to within a third of its remaining time.
    async fn caller(self: Arc<Self>, entry: usize) {
        let arrived_us = self.clock.now_us();
        let deadline_us = arrived_us + DEADLINE_US;
        let mut answer = self.call(entry, deadline_us, false).await;
        if let Err(retry_after_ms) = answer {
            let left_us = deadline_us.saturating_sub(self.clock.now_us());
            if retry_after_ms * 1_000 <= left_us / 3 {
                sleep(Duration::from_millis(retry_after_ms)).await;
                answer = self.call(entry, deadline_us, true).await;
            }
        }
        let is_in_time = answer.is_ok() && self.clock.now_us() <= arrived_us + OBJECTIVE_US;
        let mut windows = self.windows.lock().expect("no panic under the lock");
        let window = ((arrived_us / 1_000 - MS_PER_S) / WINDOW_MS) as usize;
        let length = windows.len().max(window + 1);
        windows.resize(length, (0, 0));
        windows[window].0 += 1;
        windows[window].1 += u32::from(is_in_time);
    }

    /// A call from its entry on; the error is the retry time in ms.
    async fn call(&self, entry: usize, deadline_us: u64, is_return: bool) -> Result<(), u64> {
        let node = &self.nodes[entry];
        let useful_until_us = deadline_us.min(self.clock.now_us() + OBJECTIVE_US);
        node.entry().note_call(1, false, self.clock.now_us());
        let (mut excluded, mut hand_backs, mut sheds, mut refusals) = (Vec::new(), 0, 0, 0);
        loop {
            let now_us = self.clock.now_us();
            let choice = node.entry().choose(&ChoiceRequest {
                excluded: &excluded,
                only: None,
                data_centres: None,
                class: 1,
                useful_us: Some(useful_until_us.saturating_sub(now_us)),
                waives_remote_cost: false,
                now_us,
            });
            let Some(index) = choice.map(|choice| choice.index) else {
                return Err(node.entry().retry_after_ms(now_us));
            };
            node.entry().note_sent(index);
            sleep(Duration::from_micros(ROUND_TRIP_US)).await;
            let request = AdmissionRequest {
                rank: Rank::new(1, is_return),
                workspace_share: WorkspaceShare::NO_WORKSPACE,
                class: 1,
                deadline_us,
                useful_until_us,
                useful_us: OBJECTIVE_US,
                may_hand_back: hand_backs < 8 && !node.entry().is_queueing(now_us),
                hand_backs,
                slow_from_percent: None,
            };
            let target = &self.nodes[index];
            let outcome = match target.guard.admit(request).await {
                Ok(permit) => Ok(self.run_at(target, permit).await),
                Err(refusal) => Err(refusal),
            };
            let may_continue = match outcome {
                Ok(true) => {
                    self.note_result(node, index, AttemptResult::Succeeded(self.clock.now_us() - now_us));
                    return Ok(());
                }
                Ok(false) => {
                    self.note_result(node, index, AttemptResult::Failed);
                    sheds += 1;
                    excluded.push(index);
                    let now_us = self.clock.now_us();
                    if sheds + refusals + hand_backs == 1 {
                        node.entry().note_refused_by_target(now_us);
                    }
                    sheds < TRIES && node.entry().try_withdraw_retry(1, now_us)
                }
                Err(refusal) => {
                    self.note_refusal(node, index, refusal);
                    match refusal.reason.properties().next {
                        NextStep::HandBack => {
                            hand_backs += 1;
                            true
                        }
                        NextStep::RetryLimited => {
                            excluded.push(index);
                            refusals += 1;
                            refusals < TRIES && node.entry().try_withdraw_reroute(self.clock.now_us())
                        }
                        _ => false,
                    }
                }
            };
            if !may_continue {
                let told_ms = outcome.err().map_or(0, |refusal| u64::from(refusal.retry_after_ms));
                let own_ms = || node.entry().retry_after_ms(self.clock.now_us());
                return Err(if told_ms > 0 { told_ms } else { own_ms() });
            }
        }
    }

    /// Returns whether a target refuses a request while `busy` others run.
    fn is_refused(&self, busy: u32) -> bool {
        match self.fault() {
            Some(Fault::Refusing) => self.draw() < 0.55,
            Some(Fault::Full) => busy >= 4,
            Some(Fault::Both) => busy >= 5 || self.draw() < 0.3,
            _ => false,
        }
    }

    /// Runs a call at a target; whether it was answered, or else refused.
    async fn run_at(&self, target: &Node, mut permit: Permit) -> bool {
        permit.note_sent();
        if self.is_refused(target.busy.load(Relaxed)) {
            sleep(Duration::from_millis(1)).await;
            let running = permit.running_at_start();
            permit.release_uncounted();
            target.guard.note_shed(RefusalKind::Answered, running);
            return false;
        }
        let fault = self.fault();
        if matches!(fault, Some(Fault::Resetting)) && self.draw() < 0.55 {
            let running = permit.running_at_start();
            permit.release_uncounted();
            target.guard.note_shed(RefusalKind::Reset, running);
            return false;
        }
        let busy = target.busy.fetch_add(1, Relaxed) + 1;
        let knee_factor = if busy > KNEE { KNEE_FACTOR } else { 1.0 };
        let slow_factor = if matches!(fault, Some(Fault::Slow)) { 3.0 } else { 1.0 };
        let run_us = WORK_US * (0.5 + self.draw()) * knee_factor * slow_factor;
        sleep(Duration::from_micros(run_us as u64)).await;
        target.busy.fetch_sub(1, Relaxed);
        true
    }

    fn note_result(&self, node: &Node, index: usize, result: AttemptResult) {
        let (name, now_us) = (format!("t-{index}"), self.clock.now_us());
        let hint = self.nodes[index].hint();
        let mut entry = node.entry();
        entry.update_hint(index, &name, hint, now_us);
        entry.note_result(index, &name, 1, result, now_us);
    }

    fn note_refusal(&self, node: &Node, index: usize, refusal: Refusal) {
        let (name, now_us) = (format!("t-{index}"), self.clock.now_us());
        self.note_result(node, index, AttemptResult::NotRun);
        let mut entry = node.entry();
        match refusal.reason.properties().signal {
            TargetSignal::Full => entry.note_queueing(index, &name, true, now_us),
            TargetSignal::Queueing => entry.note_queueing(index, &name, false, now_us),
            _ => {}
        }
    }

    /// The share of calls answered in time of those that arrived from `from_ms` until `until_ms`.
    fn share_in_time(&self, from_ms: u64, until_ms: u64) -> f64 {
        let windows = self.windows.lock().expect("no panic under the lock");
        let range = (from_ms / WINDOW_MS) as usize..(until_ms / WINDOW_MS) as usize;
        let sum = windows[range].iter().fold((0, 0), |sum, window| (sum.0 + window.0, sum.1 + window.1));
        f64::from(sum.1) / f64::from(sum.0.max(1))
    }
}

/// Returns the time in ms from the end of a fault until the share of answers in time stays at 0.97 of its value before.
async fn recovery_ms(has_refusal_causes: bool, fault: Fault, load: f64, fault_ms: u64, seed: u64) -> u64 {
    let fleet = Fleet::new(has_refusal_causes, seed);
    fleet.run(None, load, BEFORE_MS).await;
    fleet.run(Some(fault), load, fault_ms).await;
    fleet.run(None, load, AFTER_MS).await;
    sleep(Duration::from_micros(DEADLINE_US)).await;
    let before = fleet.share_in_time(BEFORE_MS / 2, BEFORE_MS);
    let end_ms = BEFORE_MS + fault_ms;
    let starts = (0..AFTER_MS / WINDOW_MS).rev().map(|window| window * WINDOW_MS);
    let share = |start_ms: u64| fleet.share_in_time(end_ms + start_ms, end_ms + start_ms + WINDOW_MS);
    let is_recovered = |start_ms: &u64| share(*start_ms) >= RECOVERED_SHARE * before;
    let recovered_ms = starts.take_while(is_recovered).last().unwrap_or(AFTER_MS);
    let during = fleet.share_in_time(BEFORE_MS, end_ms);
    println!(
        "{fault:?} of {fault_ms} ms at {load}: {before:.3} in time, then {during:.3}, back after {recovered_ms} ms"
    );
    recovered_ms
}

async fn assert_recovers(fault: Fault) {
    for (load, fault_ms, seed) in
        [(0.6, 1, 1), (0.6, 4, 2), (0.6, 8, 3), (0.8, 1, 4), (0.8, 4, 5), (0.8, 8, 6)]
    {
        let recovered_ms = recovery_ms(true, fault, load, fault_ms * MS_PER_S, seed).await;
        assert!(recovered_ms <= RECOVERED_MS, "{fault:?} of {fault_ms} s at {load}: {recovered_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn answers_in_time_are_back_two_seconds_after_refusals_at_random() {
    assert_recovers(Fault::Refusing).await;
}

#[tokio::test(start_paused = true)]
async fn answers_in_time_are_back_two_seconds_after_refusals_by_full_targets() {
    assert_recovers(Fault::Full).await;
}

#[tokio::test(start_paused = true)]
async fn answers_in_time_are_back_two_seconds_after_refusals_of_both_kinds() {
    assert_recovers(Fault::Both).await;
}

#[tokio::test(start_paused = true)]
async fn answers_in_time_are_back_two_seconds_after_resets() {
    assert_recovers(Fault::Resetting).await;
}

#[tokio::test(start_paused = true)]
async fn answers_in_time_are_back_two_seconds_after_slowness() {
    assert_recovers(Fault::Slow).await;
}

#[tokio::test(start_paused = true)]
async fn answers_in_time_are_back_two_seconds_after_a_burst() {
    assert_recovers(Fault::Burst).await;
}

/// Shows that the model has the failure: without the switch it outlasts the fault.
#[tokio::test(start_paused = true)]
async fn without_the_switch_refusals_at_random_outlast_their_end() {
    let recovered_ms = recovery_ms(false, Fault::Refusing, 0.8, 8 * MS_PER_S, 6).await;
    assert!(recovered_ms > RECOVERED_MS, "{recovered_ms} ms");
}
