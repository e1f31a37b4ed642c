//! Forecast of when a queued call gets a slot.

/// Returns the time in µs until the call at `position` of the queue gets a slot, if each run takes `service_us` from its
/// start and none is later than that.
///
/// `starts_us` are the start times of the running calls; a time in the future counts as now. If more calls run than the
/// `limit` allows, the first ones to end free no slot.
pub fn slot_wait_us(
    starts_us: impl Iterator<Item = u64>,
    position: usize,
    limit: usize,
    service_us: u64,
    now_us: u64,
) -> u64 {
    let limit = limit.max(1);
    let left_us = |start_us: u64| (start_us.min(now_us) + service_us).saturating_sub(now_us);
    let mut free_in_us = starts_us.map(left_us).collect::<Vec<_>>();
    free_in_us.extend(std::iter::repeat_n(0, limit.saturating_sub(free_in_us.len())));
    free_in_us.sort_unstable();
    let slots = &free_in_us[free_in_us.len() - limit..];
    slots[position % limit] + (position / limit) as u64 * service_us
}
