//! The services called through this entry, each with its load balancer and the addresses of its targets' nodes.

use crate::active_config::ConfigSnapshot;
use laurelstall_balance::{
    chooser::Chooser, leaving_targets::LeavingTargets, lender_rotation::LenderRotation,
    service_balancer::ServiceBalancer, target_view::TargetView,
};
use laurelstall_config::{configuration::Configuration, team::Service};
use laurelstall_guard::clock::Clock;
use laurelstall_overload::{return_reservations::ReturnReservations, service_pressure::ServicePressure};
use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Creates the load-balancing strategy of a service.
pub type ChooserFactory = Arc<dyn Fn() -> Box<dyn Chooser> + Send + Sync>;

/// One service as this entry sees it.
#[derive(Debug)]
pub struct ServiceState {
    /// Full name, `team/service`.
    pub name: String,
    balancer: Mutex<ServiceBalancer>,
    /// Nodes to borrow retry tokens from.
    lenders: Mutex<LenderRotation>,
    /// Places for the callers of refused calls.
    returns: Mutex<ReturnReservations>,
    /// Admission thresholds learned from the targets' guards.
    pressure: Mutex<ServicePressure>,
    /// Targets of all services that have stated that they are leaving; locked after `balancer`.
    leaving: Arc<Mutex<LeavingTargets>>,
    /// Addresses at which the nodes of the targets' hosts accept other nodes, by host.
    addresses: Mutex<HashMap<String, SocketAddr>>,
    /// Generation of the snapshot that the state was updated to.
    generation: AtomicU64,
    /// Time of the last call, in µs of the node's clock.
    used_at_us: AtomicU64,
}

impl ServiceState {
    /// Locks the balancer; the lock must not be held across an `.await`.
    pub fn balancer(&self) -> MutexGuard<'_, ServiceBalancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rotation of lenders; the lock must not be held across an `.await`.
    pub fn lenders(&self) -> MutexGuard<'_, LenderRotation> {
        self.lenders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the reservations for returns; the lock must not be held across an `.await`.
    pub fn returns(&self) -> MutexGuard<'_, ReturnReservations> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the admission thresholds; the lock must not be held across an `.await`.
    pub fn pressure(&self) -> MutexGuard<'_, ServicePressure> {
        self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a target has stated in an answer that it is leaving. This entry sends it no new calls, whatever the
    /// list of targets says.
    pub fn note_leaving(&self, target: &str) {
        let mut balancer = self.balancer();
        let started_unix_ms = balancer.note_leaving(target);
        let is_new = lock_leaving(&self.leaving).insert(target, started_unix_ms);
        drop(balancer);
        if is_new {
            log::info!("target {target} of service {}: states that it is leaving", self.name);
        }
    }

    /// Returns the address at which the node of `host` accepts streams from other nodes.
    pub fn address(&self, host: &str) -> Option<SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).get(host).copied()
    }

    /// Returns index, name and node address of the target with the oldest load hint, among those for whose
    /// address `has_connection` is true and whose hint is at least `age_min_us` old.
    pub fn target_with_oldest_hint(
        &self,
        now_us: u64,
        age_min_us: u64,
        has_connection: impl Fn(SocketAddr) -> bool,
    ) -> Option<(usize, String, SocketAddr)> {
        let (index, name, host) = {
            let mut balancer = self.balancer();
            let has_connection = |host: &str| self.address(host).is_some_and(&has_connection);
            let index = balancer.target_with_oldest_hint(now_us, age_min_us, has_connection)?;
            let view = &balancer.targets()[index];
            (index, view.name.clone(), view.host.clone())
        };
        Some((index, name, self.address(&host)?))
    }

    /// Updates targets and addresses from the current configuration.
    fn update(&self, snapshot: &ConfigSnapshot, service: &Service, location: &NodeLocation, now_us: u64) {
        let configuration = &snapshot.configuration;
        let views = service.targets.iter().map(|target| {
            let round_trip_us = round_trip_us(configuration, location, &target.host);
            let mut view = TargetView::new(&target.name, &target.host, target.slots, round_trip_us, now_us);
            view.started_unix_ms = target.started_unix_ms;
            let host = configuration.host(&target.host);
            view.data_centre = host.map(|host| host.data_centre.clone()).unwrap_or_default();
            let is_remote = host.is_some_and(|host| host.data_centre != location.data_centre);
            view.remote_cost_percent =
                if is_remote { configuration.system.data_centre_change_percent } else { 0 };
            view.is_live = host.is_some_and(|host| configuration.fleet.accepts_calls(host));
            view
        });
        let mut views = views.collect::<Vec<_>>();
        let mut addresses = HashMap::new();
        for target in &service.targets {
            if let Some(host) = configuration.host(&target.host) {
                addresses.insert(target.host.clone(), host.node_address);
            }
        }
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
        let mut balancer = self.balancer();
        {
            let leaving = lock_leaving(&self.leaving);
            for view in &mut views {
                view.is_leaving = leaving.contains(&view.name, view.started_unix_ms);
            }
        }
        balancer.set_targets(service.limits, views);
        balancer.set_entries(configuration.fleet.hosts.len());
    }
}

/// Host and data centre of this entry.
#[derive(Debug, Clone)]
pub struct NodeLocation {
    /// Name of the host.
    pub host: String,
    /// Name of the data centre.
    pub data_centre: String,
}

/// Returns the expected network round trip to a host in µs.
fn round_trip_us(configuration: &Configuration, location: &NodeLocation, host: &str) -> u64 {
    if host == location.host {
        return 0;
    }
    let data_centre = configuration.host(host).map_or("", |host| &host.data_centre);
    2 * configuration.system.distance_us(&location.data_centre, data_centre) + HOP_US
}

/// Round trip between two nodes of one data centre in µs.
const HOP_US: u64 = 100;

/// All services called through this entry.
pub struct Services {
    location: NodeLocation,
    clock: Clock,
    chooser: ChooserFactory,
    seed: u64,
    states: Mutex<HashMap<String, Arc<ServiceState>>>,
    leaving: Arc<Mutex<LeavingTargets>>,
}

impl Services {
    /// Creates an empty set of services; each service gets its own chooser.
    pub fn new(location: NodeLocation, clock: Clock, chooser: ChooserFactory, seed: u64) -> Self {
        Self { location, clock, chooser, seed, states: Mutex::default(), leaving: Arc::default() }
    }

    /// Returns the service of this full name, updated to `snapshot`; `None` if it does not exist.
    pub fn get(&self, snapshot: &ConfigSnapshot, full_name: &str) -> Option<Arc<ServiceState>> {
        let now_us = self.clock.now_us();
        let state = self.lock().get(full_name).cloned();
        if let Some(state) = state.filter(|s| s.generation.load(Ordering::Acquire) >= snapshot.generation) {
            state.used_at_us.store(now_us, Ordering::Relaxed);
            return Some(state);
        }
        let Some(service) = snapshot.configuration.service(full_name) else {
            self.lock().remove(full_name);
            return None;
        };
        let state = self
            .lock()
            .entry(full_name.to_owned())
            .or_insert_with(|| self.new_state(full_name, service))
            .clone();
        // A request that started under an older configuration must not restore it.
        if state.generation.fetch_max(snapshot.generation, Ordering::AcqRel) < snapshot.generation {
            state.update(snapshot, service, &self.location, now_us);
        }
        state.used_at_us.store(now_us, Ordering::Relaxed);
        Some(state)
    }

    /// Returns the service as [`Services::get`], without counting this as a call.
    pub fn get_uncalled(&self, snapshot: &ConfigSnapshot, full_name: &str) -> Option<Arc<ServiceState>> {
        let known = self.lock().get(full_name).cloned();
        let used_at_us = known.map_or(0, |state| state.used_at_us.load(Ordering::Relaxed));
        let state = self.get(snapshot, full_name)?;
        state.used_at_us.store(used_at_us, Ordering::Relaxed);
        Some(state)
    }

    /// Returns the services called since `since_us`.
    pub fn used_since(&self, since_us: u64) -> Vec<Arc<ServiceState>> {
        let is_used = |state: &&Arc<ServiceState>| state.used_at_us.load(Ordering::Relaxed) >= since_us;
        self.lock().values().filter(is_used).cloned().collect()
    }

    /// Returns all services, for the administration API.
    pub fn all(&self) -> Vec<Arc<ServiceState>> {
        self.lock().values().cloned().collect()
    }

    fn new_state(&self, full_name: &str, service: &Service) -> Arc<ServiceState> {
        let seed = self.seed ^ xxhash_rust::xxh3::xxh3_64(full_name.as_bytes());
        Arc::new(ServiceState {
            name: full_name.to_owned(),
            balancer: Mutex::new(ServiceBalancer::new(service.limits, (self.chooser)(), seed)),
            lenders: Mutex::new(LenderRotation::new(seed)),
            returns: Mutex::default(),
            pressure: Mutex::default(),
            leaving: self.leaving.clone(),
            addresses: Mutex::default(),
            generation: AtomicU64::new(0),
            used_at_us: AtomicU64::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<ServiceState>>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lock_leaving(leaving: &Mutex<LeavingTargets>) -> MutexGuard<'_, LeavingTargets> {
    leaving.lock().unwrap_or_else(PoisonError::into_inner)
}

impl fmt::Debug for Services {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Services").field("own", &self.location).finish_non_exhaustive()
    }
}
