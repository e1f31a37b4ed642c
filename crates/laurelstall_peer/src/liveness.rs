//! Detects that the node at the other end of a connection is lost, or that the connection went silent.

use crate::{meter::Activity, suspicion::Suspicion};
use h2::{Ping, PingPong};
use std::{future::pending, pin::pin, sync::atomic::Ordering};
use tokio::time::{Duration, sleep, timeout};

/// Time without received data after which a connection with waiting requests is pinged.
const SILENCE_MAX: Duration = Duration::from_millis(300);
/// Time limit for the answer to a ping; the connection is closed if nothing arrives.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two pings of a connection whose server stops.
const STOPPING_PING_PAUSE: Duration = Duration::from_millis(300);
/// Time limit for the answer to a ping of a server that stops. The ping waits behind the answers that are still being
/// sent: on a connection with 1 Mbit/s, a window of them takes a second.
const STOPPING_PONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns if the other node does not answer a ping.
///
/// A connection is pinged when requests wait on it without receiving data, and when `suspicion` is raised. This detects a
/// lost or paused host within 0.8 s, much sooner than the time budgets of calls do. Large answers may delay the answer to a
/// ping, so any received data counts as a sign of life.
pub(crate) async fn monitor(pings: Option<PingPong>, activity: &Activity, suspicion: &Suspicion) {
    let Some(mut pings) = pings else { return pending().await };
    loop {
        let is_suspected = tokio::select! {
            () = sleep(time_to_check(activity)) => false,
            () = suspicion.raised() => true,
        };
        let has_waiting = activity.in_flight.load(Ordering::Relaxed) > 0;
        let is_due = is_suspected || has_waiting && activity.silence() >= SILENCE_MAX;
        if is_due && is_lost(&mut pings, activity, PONG_TIMEOUT).await {
            suspicion.raise();
            return;
        }
    }
}

/// Time until the connection has been silent for [`SILENCE_MAX`], or until it is looked at again if it is idle.
fn time_to_check(activity: &Activity) -> Duration {
    match SILENCE_MAX.saturating_sub(activity.silence()) {
        Duration::ZERO => SILENCE_MAX,
        left => left,
    }
}

/// Returns if the other node does not answer a ping of a server that stops.
///
/// The server waits for the other node to read its answers and to confirm the end of the connection, which a lost or
/// paused one never does. A node whose callers read slowly answers pings.
pub(crate) async fn monitor_while_stopping(pings: Option<PingPong>, activity: &Activity) {
    let Some(mut pings) = pings else { return pending().await };
    while !is_lost(&mut pings, activity, STOPPING_PONG_TIMEOUT).await {
        sleep(STOPPING_PING_PAUSE).await;
    }
}

/// Pings the other node until it answers, and returns whether nothing was received for `time_limit` before.
async fn is_lost(pings: &mut PingPong, activity: &Activity, time_limit: Duration) -> bool {
    let mut pong = pin!(pings.ping(Ping::opaque()));
    loop {
        let before = activity.received_bytes.load(Ordering::Relaxed);
        match timeout(time_limit, pong.as_mut()).await {
            Ok(Ok(_)) => return false,
            // The connection is ending.
            Ok(Err(_)) => return pending().await,
            Err(_) if activity.received_bytes.load(Ordering::Relaxed) == before => return true,
            Err(_) => {}
        }
    }
}
