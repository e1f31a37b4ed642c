//! A small model of callers, entry nodes, and a service with guards whose runs call a second service.

use laurelstall_overload::{
    call_level::CallLevel,
    overload_control::{OfferedCall, OverloadControl},
    service_pressure::ServicePressure,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;

pub const SECOND_US: u64 = 1_000_000;
const TICK_US: u64 = 1_000;
/// Classes of calls: two of unequal importance from callers, and the nested one.
pub const ORDER: usize = 0;
pub const BROWSE: usize = 1;
pub const NESTED: usize = 2;
const IMPORTANCE: [u8; 3] = [9, 5, 100];
/// Mean time in which a run occupies a slot, including the nested call of most orders.
const WORK_US: [u64; 3] = [150_000, 150_000, 40_000];
const OBJECTIVE_US: [u64; 3] = [600_000, 800_000, 150_000];
const SLOW_PHASE_US: f64 = 150_000.0;
const SLOW_FACTOR: f64 = 5.0;
const DEADLINE_US: u64 = 1_500_000;
const SLOTS: usize = 9;
const FRONT_TARGETS: usize = 4;
const ENTRIES: usize = 6;
/// Queued calls per slot, as guards are usually configured.
const QUEUE_PER_SLOT: usize = 4;

#[derive(Debug, Clone)]
struct Call {
    entry: usize,
    level: CallLevel,
    class: usize,
    arrived_us: u64,
    useful_until_us: u64,
    deadline_us: u64,
    is_return: bool,
    /// Guard and number of the run that waits for this call.
    parent: Option<(usize, u64)>,
}

#[derive(Debug)]
struct Run {
    call: Call,
    start_us: u64,
    /// `None` while the run waits for its nested call.
    end_us: Option<u64>,
    makes_nested: bool,
}

#[derive(Default)]
struct Guard {
    control: OverloadControl,
    slots: usize,
    queue: Vec<Call>,
    runs: BTreeMap<u64, Run>,
    is_slow: bool,
    phase_end_us: u64,
}

impl Guard {
    fn observe(&mut self, now_us: u64) {
        let share = |call: &Call| {
            (now_us - call.arrived_us) as f64 / call.useful_until_us.saturating_sub(call.arrived_us) as f64
        };
        let delay = self.queue.iter().map(share).fold(0.0, f64::max);
        self.control.advance(self.slots as u32, now_us);
        self.control.note_delay(if self.runs.len() < self.slots { 0.0 } else { delay });
    }

    /// Admits a call or returns whether it was refused for its level.
    fn admit(&mut self, call: Call, now_us: u64) -> Result<(), bool> {
        let useful_us = (call.useful_until_us - now_us) as f64;
        let work_us = WORK_US[call.class] as f64;
        let class = call.class as u32;
        let is_admitted = self.control.offer(&OfferedCall { level: call.level, class, work_us, useful_us });
        let key = |call: &Call| (u8::MAX - IMPORTANCE[call.class], call.is_return, call.deadline_us);
        let position = self.queue.partition_point(|queued| key(queued) <= key(&call));
        let wait_us = position as f64 * work_us / self.slots as f64;
        if !is_admitted {
            return Err(true);
        }
        let left_us = useful_us - wait_us * self.control.wait_factor();
        if !self.control.may_start(class, left_us) {
            return Err(false);
        }
        if wait_us + work_us > useful_us || self.queue.len() >= QUEUE_PER_SLOT * self.slots {
            return Err(false);
        }
        self.queue.insert(position, call);
        Ok(())
    }
}

pub struct Model {
    pub rng: SmallRng,
    /// Whether runs that start in a quarter of the time take 5 times as long.
    has_slow_phases: bool,
    guards: Vec<Guard>,
    pressures: Vec<ServicePressure>,
    returns: Vec<(u64, Call)>,
    next_run: u64,
    now_us: u64,
    /// Answers in time by class, those of nested calls included.
    pub in_time: [u64; 3],
    /// Calls of the two classes that the callers sent, without returns.
    pub sent: [u64; 2],
    /// Calls that entry nodes refused.
    pub refused_by_entries: u64,
}

impl Model {
    pub fn new(seed: u64, back_slots: usize) -> Self {
        let slots = (0..FRONT_TARGETS).map(|_| SLOTS).chain([back_slots]);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            has_slow_phases: false,
            guards: slots.map(|slots| Guard { slots, ..Guard::default() }).collect(),
            pressures: (0..ENTRIES).map(|_| ServicePressure::default()).collect(),
            returns: Vec::new(),
            next_run: 0,
            now_us: SECOND_US,
            in_time: [0; 3],
            sent: [0; 2],
            refused_by_entries: 0,
        }
    }

    pub fn with_slow_phases(self) -> Self {
        Self { has_slow_phases: true, ..self }
    }

    /// Calls per second that the slots of the first service can run.
    pub fn capacity_per_s() -> f64 {
        (FRONT_TARGETS * SLOTS) as f64 * 1e6 / WORK_US[ORDER] as f64
    }

    pub fn lose_guard_state(&mut self) {
        self.guards.iter_mut().for_each(|guard| guard.control = OverloadControl::default());
    }

    pub fn lose_entry_state(&mut self) {
        self.pressures.iter_mut().for_each(|pressure| *pressure = ServicePressure::default());
    }

    pub fn is_limiting(&self) -> bool {
        self.guards.iter().any(|guard| guard.control.threshold() > CallLevel::LOWEST)
    }

    pub fn is_overloaded(&self) -> bool {
        self.guards.iter().any(|guard| guard.control.is_overloaded())
    }

    /// Lets callers send `load` times the capacity for `duration_us`; returns the answers in time per second.
    pub fn run(&mut self, load: f64, duration_us: u64) -> f64 {
        let before = self.in_time[ORDER] + self.in_time[BROWSE];
        let per_tick = load * Self::capacity_per_s() * TICK_US as f64 / 1e6;
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.now_us += TICK_US;
            let count = per_tick as usize + usize::from(self.rng.random_bool(per_tick.fract()));
            (0..count).for_each(|_| self.send_new());
            let now_us = self.now_us;
            let due = self.returns.extract_if(.., |(at_us, _)| *at_us <= now_us).collect::<Vec<_>>();
            due.into_iter().for_each(|(_, call)| self.send(call));
            (0..self.guards.len()).for_each(|guard| self.advance_guard(guard));
        }
        (self.in_time[ORDER] + self.in_time[BROWSE] - before) as f64 * 1e6 / duration_us as f64
    }

    fn send_new(&mut self) {
        let class = if self.rng.random_bool(0.4) { ORDER } else { BROWSE };
        let level = CallLevel::new(IMPORTANCE[class], &self.rng.random::<u64>().to_le_bytes());
        let entry = self.rng.random_range(0..ENTRIES);
        self.sent[class] += 1;
        let deadline_us = self.now_us + DEADLINE_US;
        self.send(self.new_call(entry, level, class, deadline_us, None));
    }

    fn new_call(
        &self,
        entry: usize,
        level: CallLevel,
        class: usize,
        deadline_us: u64,
        parent: Option<(usize, u64)>,
    ) -> Call {
        let useful_until_us = (self.now_us + OBJECTIVE_US[class]).min(deadline_us);
        let arrived_us = self.now_us;
        Call { entry, level, class, arrived_us, useful_until_us, deadline_us, is_return: false, parent }
    }

    /// Chooses the less loaded of two targets.
    fn choose(&mut self) -> usize {
        let drawn = [(); 2].map(|()| self.rng.random_range(0..FRONT_TARGETS));
        let load = |target: &usize| self.guards[*target].runs.len() + self.guards[*target].queue.len();
        drawn.into_iter().min_by_key(load).expect("two were drawn")
    }

    fn send(&mut self, call: Call) {
        let now_us = self.now_us;
        let target = if call.class == NESTED { FRONT_TARGETS } else { self.choose() };
        let pressure = &mut self.pressures[call.entry];
        let may_refuse = call.class != NESTED;
        if may_refuse && pressure.refuses(call.level, FRONT_TARGETS, now_us) {
            self.refused_by_entries += 1;
            let retry_us = pressure.retry_after_us(now_us);
            return self.schedule_return(call, retry_us);
        }
        let Err(is_by_level) = self.guards[target].admit(call.clone(), now_us) else {
            return;
        };
        if call.class == NESTED {
            return self.end_nested(&call, false);
        }
        if is_by_level {
            self.pressures[call.entry].note_refused(&target.to_string(), call.level, now_us);
        }
        let retry_us = self.guards[target].control.retry_after_us(now_us);
        self.schedule_return(call, retry_us);
    }

    /// A caller waits up to a third of its remaining time and returns once.
    fn schedule_return(&mut self, call: Call, retry_us: u64) {
        let left_us = call.deadline_us.saturating_sub(self.now_us);
        if call.is_return || left_us < WORK_US[call.class] {
            return;
        }
        let at_us = self.now_us + retry_us.min(left_us / 3);
        let useful_until_us = (at_us + OBJECTIVE_US[call.class]).min(call.deadline_us);
        let level = CallLevel::new(call.level.importance, &self.rng.random::<u64>().to_le_bytes());
        self.returns
            .push((at_us, Call { level, useful_until_us, arrived_us: at_us, is_return: true, ..call }));
    }

    fn change_phase(&mut self, index: usize) {
        let guard = &mut self.guards[index];
        if !self.has_slow_phases || index == FRONT_TARGETS || self.now_us < guard.phase_end_us {
            return;
        }
        guard.is_slow = !guard.is_slow;
        let mean_us = if guard.is_slow { SLOW_PHASE_US } else { 3.0 * SLOW_PHASE_US };
        let length_us = -self.rng.random::<f64>().max(1e-3).ln() * mean_us;
        guard.phase_end_us = self.now_us + length_us as u64;
    }

    fn advance_guard(&mut self, index: usize) {
        let now_us = self.now_us;
        self.change_phase(index);
        let is_due = |run: &Run| run.end_us.is_some_and(|end_us| end_us <= now_us);
        let due = self.guards[index].runs.iter().filter(|(_, run)| is_due(run)).map(|(number, _)| *number);
        for number in due.collect::<Vec<_>>() {
            self.end_stage(index, number);
        }
        while self.guards[index].runs.len() < self.guards[index].slots && !self.guards[index].queue.is_empty()
        {
            let call = self.guards[index].queue.remove(0);
            self.start(index, call);
        }
        self.guards[index].observe(now_us);
    }

    fn start(&mut self, index: usize, call: Call) {
        let now_us = self.now_us;
        let left_us = call.useful_until_us.saturating_sub(now_us) as f64;
        let may_start = self.guards[index].control.may_start(call.class as u32, left_us);
        if now_us >= call.deadline_us || !may_start {
            return if call.class == NESTED {
                self.end_nested(&call, false)
            };
        }
        let makes_nested = call.class == ORDER && self.rng.random_bool(0.7);
        let nested_us = if makes_nested { WORK_US[NESTED] } else { 0 };
        // One run in ten takes three times as long as the others.
        let factor = if self.rng.random_bool(0.1) { 2.5 } else { self.rng.random_range(0.5..1.16) };
        let slow_factor = if self.guards[index].is_slow { SLOW_FACTOR } else { 1.0 };
        let own_us = (WORK_US[call.class] - nested_us) as f64 * factor * slow_factor;
        let run = Run { call, start_us: now_us, end_us: Some(now_us + own_us as u64), makes_nested };
        self.next_run += 1;
        self.guards[index].runs.insert(self.next_run, run);
    }

    fn end_stage(&mut self, index: usize, number: u64) {
        let run = self.guards[index].runs.get_mut(&number).expect("it runs");
        if !run.makes_nested {
            return self.end_run(index, number, true);
        }
        run.makes_nested = false;
        run.end_us = None;
        let (entry, level) = (run.call.entry, run.call.level);
        let deadline_us = run.call.deadline_us.min(self.now_us + 500_000);
        let useful_until_us = run.call.useful_until_us.max(self.now_us + OBJECTIVE_US[NESTED]);
        let call =
            self.new_call(entry, level, NESTED, deadline_us.max(self.now_us + 1), Some((index, number)));
        self.send(Call { useful_until_us: useful_until_us.min(call.deadline_us), ..call });
    }

    fn end_nested(&mut self, call: &Call, is_answered: bool) {
        let (index, number) = call.parent.expect("nested calls have a parent");
        self.end_run(index, number, is_answered);
    }

    fn end_run(&mut self, index: usize, number: u64, is_answered: bool) {
        let now_us = self.now_us;
        let Some(run) = self.guards[index].runs.remove(&number) else { return };
        let call = run.call;
        let guard = &mut self.guards[index];
        let work_us = WORK_US[call.class] as f64;
        guard.control.note_run(call.class as u32, (now_us - run.start_us) as f64, work_us);
        let is_in_time = is_answered && now_us <= call.useful_until_us;
        self.in_time[call.class] += u64::from(is_in_time);
        if call.class == NESTED {
            return self.end_nested(&call, is_answered);
        }
        let threshold = guard.control.threshold();
        self.pressures[call.entry].note_answer(&index.to_string(), threshold, now_us);
    }
}
