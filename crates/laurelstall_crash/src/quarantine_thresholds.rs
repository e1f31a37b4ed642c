//! Numbers of crashes after which requests are quarantined.

/// Number of crashes after which a request is quarantined. One is not enough, because it counts for all requests that
/// were running; each further one costs another target (`tests/quarantine_model.rs`). With two, a request that
/// arrives 0.5, 5 and 20 times a second crashes 2.04, 2.49 and 3.27 targets on average before it is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Number of crashes after which a request with a known successful run is quarantined. A frequent harmless request may
/// have no successful run for a while when few targets are up, and it is running at each crash.
pub const QUARANTINE_CRASHES_AFTER_SUCCESS: usize = 4;
