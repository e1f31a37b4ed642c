//! State that one entry node keeps about one target.

use crate::{
    ejection::Ejection,
    hint::{Hint, NORMAL_PERCENT, TargetState},
};

/// Weight of a new sample in the moving average of errors.
const ERROR_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;
/// Half-life of the error rate in µs. It decays without new attempts, so a target that failed is tried again.
const ERROR_HALF_LIFE_US: f64 = 1_000_000.0;
/// Error rate that is rounded down to 0. Otherwise a target that failed once would lose every tie for ever.
const ERROR_RATE_MIN: f64 = 0.001;
/// Time in µs after the last error from which it no longer counts, where faults are forgotten within 2 s.
const ERROR_AGE_MAX_US: u64 = 1_800_000;
/// Age in µs from which the average of latencies is replaced by the next sample, where faults are forgotten within 2 s.
const LATENCY_AGE_MAX_US: u64 = 1_000_000;
/// Age in µs at which the load in a hint has half its weight. It is about two service times.
pub const HINT_HALF_AGE_US: f64 = 20_000.0;
/// Age in µs at which the service time in a hint has half its weight.
pub const SERVICE_HALF_AGE_US: f64 = 100_000.0;

/// Age in µs up to which a hint that the target drains is believed.
///
/// A node that restarts reports that it drains and then nothing more: without calls there is no connection over which
/// it could report that it is back. An attempt that comes too early costs one refusal a second.
const DRAINING_AGE_MAX_US: u64 = 1_000_000;

/// Time in µs for which a target is skipped when its guard has another target and cannot tell for how long. The target
/// lists of two nodes differ for less than that.
const ABSENT_US: u64 = 1_000_000;
/// Upper bound in µs for the absence that a guard reports. It is longer than the guard's own retry pauses.
const ABSENT_MAX_US: u64 = 5_000_000;

/// The state of one target as one entry node knows it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// The target's name.
    pub name: String,
    /// The host that the target runs on.
    pub host: String,
    /// When the target started, in ms of Unix time by its own clock; 0 when unknown.
    pub started_unix_ms: u64,
    /// Configured number of requests that the target runs at once.
    pub slots: u32,
    /// Network round-trip time to the target in µs.
    pub round_trip_us: u64,
    /// Cost of sending a call to the target's data centre, in percent of the value of its answer; 0 in the local one.
    pub remote_cost_percent: u32,
    /// The data centre of the target; empty when unknown.
    pub data_centre: String,
    /// Whether the list of hosts has the target's host as live.
    pub is_live: bool,
    /// Whether the target has stated in an answer that it is leaving.
    pub is_leaving: bool,
    /// Outlier ejection and slow start of the target.
    pub ejection: Ejection,
    /// Whether what was learned during a fault is forgotten within 2 s of its end.
    pub has_fast_recovery: bool,
    /// Time in µs until which no calls are sent: its guard has no target of this name, or its cold-start limit is used
    /// up.
    skipped_until_us: u64,
    /// Rate limit that the target stated last, in calls per second, and when it did, in µs.
    rate_limit: Option<(f64, u64)>,
    hint: Option<(Hint, u64)>,
    in_flight: u32,
    in_flight_at_hint: u32,
    error_rate: f64,
    error_at_us: u64,
    last_error_us: u64,
    latency_us: f64,
    latency_at_us: u64,
    samples: u32,
    slow_since_us: Option<u64>,
}

impl TargetView {
    /// Creates the state of an unknown target, which ramps up from `now_us`.
    pub fn new(name: &str, host: &str, slots: u32, round_trip_us: u64, now_us: u64) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            started_unix_ms: 0,
            slots,
            round_trip_us,
            remote_cost_percent: 0,
            data_centre: String::new(),
            is_live: true,
            is_leaving: false,
            ejection: Ejection::new(now_us),
            has_fast_recovery: false,
            skipped_until_us: 0,
            rate_limit: None,
            hint: None,
            in_flight: 0,
            in_flight_at_hint: 0,
            error_rate: 0.0,
            error_at_us: 0,
            last_error_us: 0,
            latency_us: 0.0,
            latency_at_us: 0,
            samples: 0,
            slow_since_us: None,
        }
    }

    /// Whether `listed` is the same target after a restart, so that the state of this view no longer applies.
    fn is_restarted_as(&self, listed: &Self) -> bool {
        let (before, now) = (self.started_unix_ms, listed.started_unix_ms);
        before != 0 && now != 0 && before != now
    }

    /// Returns the view of this target after it was listed again as `listed`: the state stays, unless the target was
    /// restarted. Attempts in flight still end here.
    pub fn relisted_as(mut self, mut listed: Self) -> Self {
        if self.is_restarted_as(&listed) {
            listed.in_flight = self.in_flight;
            listed.in_flight_at_hint = self.in_flight;
            return listed;
        }
        self.started_unix_ms = listed.started_unix_ms;
        self.slots = listed.slots;
        self.round_trip_us = listed.round_trip_us;
        self.remote_cost_percent = listed.remote_cost_percent;
        self.data_centre = listed.data_centre;
        self.is_live = listed.is_live;
        self.is_leaving = listed.is_leaving;
        self
    }

    /// Stores a guard's hint. A new incarnation resets latency, errors and ejection.
    pub fn update_hint(&mut self, hint: Hint, now_us: u64) {
        let has_changed = |old: &Hint| old.incarnation != 0 && old.incarnation != hint.incarnation;
        let is_restarted = self.hint.is_some_and(|(old, _)| has_changed(&old));
        if is_restarted {
            self.error_rate = 0.0;
            self.latency_us = 0.0;
            self.samples = 0;
            self.ejection = Ejection::new(now_us);
        }
        self.hint = Some((hint, now_us));
        self.in_flight_at_hint = self.in_flight;
    }

    /// Records that a guard refused a call because all slots are in use and `queued` calls wait.
    pub fn note_queueing(&mut self, queued: u32, mean_us: f64, now_us: u64) {
        let last_hint = self.hint.map(|(hint, _)| hint);
        let hint = last_hint.unwrap_or(self.default_hint(mean_us));
        let hint = Hint { in_flight: hint.limit, queued, ..hint };
        self.hint = Some((hint, now_us));
        self.in_flight_at_hint = self.in_flight;
    }

    /// Records the slowness of the target that a refusal reported, in percent of its normal service time.
    pub fn note_slowness(&mut self, slowness_percent: u32, mean_us: f64, now_us: u64) {
        let last_hint = self.hint.map(|(hint, _)| hint);
        let hint = last_hint.unwrap_or(self.default_hint(mean_us));
        self.hint = Some((Hint { slowness_percent, ..hint }, now_us));
        self.in_flight_at_hint = self.in_flight;
    }

    /// The hint that is assumed for a target that has sent none.
    fn default_hint(&self, mean_us: f64) -> Hint {
        Hint {
            incarnation: 0,
            in_flight: 0,
            queued: 0,
            limit: self.slots,
            service_us: mean_us as u32,
            slowness_percent: NORMAL_PERCENT,
            state: TargetState::Serving,
        }
    }

    /// Records that an attempt was sent.
    pub fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt ended.
    pub fn note_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_at_hint = self.in_flight_at_hint.min(self.in_flight);
    }

    /// Records the result of an attempt that reached the target.
    pub fn note_result(&mut self, is_error: bool, latency_us: u64, now_us: u64) {
        let error = if is_error { 1.0 } else { 0.0 };
        self.error_rate = self.error_rate(now_us);
        self.error_at_us = now_us;
        self.error_rate += ERROR_WEIGHT * (error - self.error_rate);
        if is_error {
            self.last_error_us = now_us;
        } else {
            self.note_latency(latency_us, now_us);
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn note_latency(&mut self, latency_us: u64, now_us: u64) {
        let is_old = now_us.saturating_sub(self.latency_at_us) > LATENCY_AGE_MAX_US;
        let is_forgotten = self.has_fast_recovery && is_old;
        if is_forgotten {
            self.slow_since_us = None;
        }
        let is_replaced = self.latency_us == 0.0 || is_forgotten;
        let weight = if is_replaced { 1.0 } else { LATENCY_WEIGHT };
        self.latency_us += weight * (latency_us as f64 - self.latency_us);
        self.latency_at_us = now_us;
    }

    /// Resets latency and errors, so that they do not cause a second ejection.
    pub fn forget_errors(&mut self) {
        self.slow_since_us = None;
        self.error_rate = 0.0;
        self.latency_us = 0.0;
        self.samples = 0;
    }

    /// Records whether the target is slow compared with the others, and returns for how many µs it has been slow.
    pub fn update_slow_since(&mut self, is_slow: bool, now_us: u64) -> u64 {
        if !is_slow {
            self.slow_since_us = None;
            return 0;
        }
        now_us.saturating_sub(*self.slow_since_us.get_or_insert(now_us))
    }

    /// Whether the target is in service: listed as live and not leaving.
    pub fn is_in_service(&self) -> bool {
        self.is_live && !self.is_leaving
    }

    /// Whether new calls may be sent to the target.
    pub fn is_eligible(&self, now_us: u64) -> bool {
        self.is_in_service() && now_us >= self.eligible_from_us(now_us)
    }

    /// The time in µs from which new calls may be sent to the target if it is in service; not after `now_us` when
    /// they may be sent now.
    pub fn eligible_from_us(&self, now_us: u64) -> u64 {
        let drained_us = self.hint(now_us).filter(|_| self.is_draining(now_us));
        let drained_us = drained_us.map_or(0, |(_, age_us)| now_us - age_us + DRAINING_AGE_MAX_US + 1);
        drained_us.max(self.skipped_until_us).max(self.ejection.until_us())
    }

    /// Whether its guard reported recently that the target drains.
    pub fn is_draining(&self, now_us: u64) -> bool {
        let hint = self.hint(now_us).filter(|(_, age_us)| *age_us <= DRAINING_AGE_MAX_US);
        hint.is_some_and(|(hint, _)| hint.state == TargetState::Draining)
    }

    /// Excludes the target from new calls for `wait_us`, or for a default time if `wait_us` is 0.
    ///
    /// The view is removed when a new target list no longer has the target. Until then, calls are tried again after the
    /// wait.
    pub fn skip_for(&mut self, wait_us: u64, now_us: u64) {
        let wait_us = if wait_us == 0 { ABSENT_US } else { wait_us.min(ABSENT_MAX_US) };
        self.skipped_until_us = now_us + wait_us;
    }

    /// Records that the target stated a rate limit in calls per second.
    pub fn note_rate_limit(&mut self, per_s: f64, now_us: u64) {
        self.rate_limit = Some((per_s, now_us));
    }

    /// Records that an answer to a call sent at `sent_us` stated no rate limit. The limit ends unless it was stated
    /// after that.
    pub fn note_no_rate_limit(&mut self, sent_us: u64) {
        self.rate_limit = self.rate_limit.filter(|(_, stated_at_us)| sent_us <= *stated_at_us);
    }

    /// The rate limit that the target stated last, in calls per second.
    pub fn rate_limit_per_s(&self) -> Option<f64> {
        self.rate_limit.map(|(per_s, _)| per_s)
    }

    /// Records that a guard refused a call because the target drains.
    pub fn note_draining(&mut self, mean_us: f64, now_us: u64) {
        let last_hint = self.hint.map(|(hint, _)| hint);
        let hint = last_hint.unwrap_or(self.default_hint(mean_us));
        self.hint = Some((Hint { state: TargetState::Draining, ..hint }, now_us));
        self.in_flight_at_hint = self.in_flight;
    }

    /// The last hint and its age in µs.
    pub fn hint(&self, now_us: u64) -> Option<(Hint, u64)> {
        self.hint.map(|(hint, at_us)| (hint, now_us.saturating_sub(at_us)))
    }

    /// The slowness of the target in percent of its normal service time. It decays towards 100 with the age of the
    /// hint.
    pub fn slowness_percent(&self, now_us: u64) -> f64 {
        let normal = f64::from(NORMAL_PERCENT);
        let Some((hint, age_us)) = self.hint(now_us) else { return normal };
        let trust = 1.0 / (1.0 + age_us as f64 / SERVICE_HALF_AGE_US);
        normal + trust * (f64::from(hint.slowness_percent) - normal)
    }

    /// Calls of this entry node in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls of this entry node that were sent since the last hint and have not ended.
    pub fn sent_since_hint(&self) -> u32 {
        self.in_flight.saturating_sub(self.in_flight_at_hint)
    }

    /// Share of recent attempts that failed, 0 to 1; it decays with time.
    pub fn error_rate(&self, now_us: u64) -> f64 {
        if self.has_fast_recovery && now_us.saturating_sub(self.last_error_us) > ERROR_AGE_MAX_US {
            return 0.0;
        }
        let passed_us = now_us.saturating_sub(self.error_at_us) as f64;
        let rate = self.error_rate * (-passed_us / ERROR_HALF_LIFE_US).exp2();
        if rate < ERROR_RATE_MIN { 0.0 } else { rate }
    }

    /// Moving average of the latency of successful attempts in µs; 0 before the first.
    pub fn latency_us(&self) -> f64 {
        self.latency_us
    }

    /// Number of attempts in the averages.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
