//! Weights of samples in moving averages that forget a fault with time.

/// Half-life in µs of what was measured during a fault: 2 s after it, a thirtieth is left.
const HALF_LIFE_US: f64 = 400_000.0;

/// The weight of a sample that comes `passed_us` after the one before, at least `weight_min`.
///
/// An average with a constant weight remembers a fault for a number of calls, which an entry node that gets few calls
/// reaches only after many seconds.
pub fn faded_weight(weight_min: f64, passed_us: u64) -> f64 {
    (1.0 - kept_share(passed_us)).max(weight_min)
}

/// The share that is left after `passed_us` of what was measured during a fault.
pub fn kept_share(passed_us: u64) -> f64 {
    (-(passed_us as f64) / HALF_LIFE_US).exp2()
}
