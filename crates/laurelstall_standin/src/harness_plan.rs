//! What a deployment on loopback is made of.

use crate::target::Targets;
use laurelstall_config::{
    settings::{DecisionFormat, TokenSettings},
    system::ObserveLimits,
    team::ServiceLimits,
};
use laurelstall_node::services::ChooserFactory;
use std::{fmt, sync::Arc};

/// One service to start.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// How many targets.
    pub targets: usize,
    /// Slots of each.
    pub slots: u32,
    /// Mean service time in ms.
    pub service_mean_ms: f64,
    /// Its limits.
    pub limits: ServiceLimits,
}

/// What to start.
#[derive(Clone)]
pub struct HarnessPlan {
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The data centres, over which hosts are spread in turn.
    pub data_centres: Vec<String>,
    /// One-way time between them in µs, as the configuration says.
    pub one_way_us: u64,
    /// Time to open a connection to a target in ms.
    pub open_ms: u64,
    /// The routing program.
    pub program: String,
    /// Budget for observing.
    pub observe: ObserveLimits,
    /// Decision log.
    pub decisions: DecisionFormat,
    /// Tokens of the administration API.
    pub tokens: Vec<TokenSettings>,
    /// Way to choose, given the true loads; the product's own when absent.
    pub chooser: Option<ChooserMaker>,
    /// Whether guards act as behind a plain balancer.
    pub is_baseline: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Makes a chooser from the true loads.
pub type ChooserMaker = Arc<dyn Fn(&Arc<Targets>) -> ChooserFactory + Send + Sync>;

impl fmt::Debug for HarnessPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HarnessPlan").field("services", &self.services).finish_non_exhaustive()
    }
}

/// Program of stand-in services: `/SERVICE/...`, `GET` may repeat.
pub const PROGRAM: &str = r#"
let parts = path.split("/");
#{ service: parts[1], repeat: method == "GET", tries: 3, budget_ms: 5000 }
"#;

impl HarnessPlan {
    /// The deployment called `name`, with `services` of its services.
    ///
    /// Its sizes are those of the brief; targets of a service are 4.
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
            open_ms: 1,
            program: PROGRAM.to_owned(),
            observe: ObserveLimits::default(),
            decisions: DecisionFormat::Human,
            tokens: Vec::new(),
            chooser: None,
            is_baseline: false,
            seed: 1,
        })
    }

    /// Calls a second that all targets can do together.
    pub fn capacity_per_s(&self) -> f64 {
        let of = |service: &ServicePlan| {
            service.targets as f64 * f64::from(service.slots) * 1_000.0 / service.service_mean_ms
        };
        self.services.iter().map(of).sum()
    }
}
