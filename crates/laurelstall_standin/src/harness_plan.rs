//! Describes a deployment that runs on the loopback interface.

use crate::target::Targets;
use laurelstall_config::{
    settings::{DecisionFormat, TokenSettings},
    system::ObserveLimits,
    team::ServiceLimits,
};
use laurelstall_node::services::ChooserFactory;
use std::{fmt, sync::Arc};

/// A service of the deployment.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Concurrency slots of each target.
    pub slots: u32,
    /// Mean service time in ms.
    pub service_mean_ms: f64,
    /// Limits of the service.
    pub limits: ServiceLimits,
}

/// A deployment to start.
#[derive(Clone)]
pub struct HarnessPlan {
    /// Services of the deployment.
    pub services: Vec<ServicePlan>,
    /// Data centres; hosts are assigned to them round-robin.
    pub data_centres: Vec<String>,
    /// Configured one-way network delay between data centres in µs.
    pub one_way_us: u64,
    /// Bandwidth of each host's link in Mbit/s, as in the node's settings; 0 if unknown. The links of the harness are not
    /// slower because of it.
    pub link_mbps: f64,
    /// Time limit of a planned stop of a node in ms.
    pub stop_max_ms: u64,
    /// Delay in ms before a target serves an accepted connection.
    pub accept_delay_ms: u64,
    /// Routing program of the team.
    pub program: String,
    /// Observation budget of each node.
    pub observe: ObserveLimits,
    /// Format of the decision log.
    pub decisions: DecisionFormat,
    /// Tokens of the administration API.
    pub tokens: Vec<TokenSettings>,
    /// Creates the choosers of the nodes; `None` uses Laurelstall's own balancer.
    pub chooser: Option<MakeChooserFactory>,
    /// Whether guards act as behind a conventional load balancer, for comparison.
    pub is_baseline: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Creates a chooser factory with access to the actual loads of the targets.
pub type MakeChooserFactory = Arc<dyn Fn(&Arc<Targets>) -> ChooserFactory + Send + Sync>;

impl fmt::Debug for HarnessPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HarnessPlan").field("services", &self.services).finish_non_exhaustive()
    }
}

/// Routing program of the stand-in team: routes `/SERVICE/...` to the service and lets `GET` calls be repeated.
pub const PROGRAM: &str = r#"
let parts = path.split("/");
#{ service: parts[1], repeat: method == "GET", tries: 3, budget_ms: 5000 }
"#;

impl HarnessPlan {
    /// Returns the deployment called `name` with the first `services` of its services and 4 targets per service; `None`
    /// if the name is unknown.
    pub fn deployment(name: &str, services: usize, service_mean_ms: f64) -> Option<Self> {
        let (names, slots, prefix, one_way_us) = match name {
            "faltgard" => {
                (["market-board", "crop-trading", "field-planting", "barn-weather"], 12, "sv", 1_000)
            }
            "kuantan" => (["news-website", "circulation", "classifieds", "wire-desk"], 6, "kt", 500),
            _ => return None,
        };
        let service = |name: &&str| ServicePlan {
            name: (*name).to_owned(),
            targets: 4,
            slots,
            service_mean_ms,
            limits: ServiceLimits::default(),
        };
        Some(Self {
            services: names.iter().take(services).map(service).collect(),
            data_centres: (1..=3).map(|number| format!("{prefix}-{number}")).collect(),
            one_way_us,
            link_mbps: 0.0,
            stop_max_ms: 30_000,
            accept_delay_ms: 1,
            program: PROGRAM.to_owned(),
            observe: ObserveLimits::default(),
            decisions: DecisionFormat::Human,
            tokens: Vec::new(),
            chooser: None,
            is_baseline: false,
            seed: 1,
        })
    }

    /// Returns the calls per second that all targets can serve together.
    pub fn capacity_per_s(&self) -> f64 {
        let capacity = |service: &ServicePlan| {
            service.targets as f64 * f64::from(service.slots) * 1_000.0 / service.service_mean_ms
        };
        self.services.iter().map(capacity).sum()
    }
}
