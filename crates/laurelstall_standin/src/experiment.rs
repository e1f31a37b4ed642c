//! Runs one scenario under one balancer and summarises the measurements.

use crate::{
    callers::{CallPlan, Callers, EntryAddresses, FinishedCall, ObservedOutcome, Totals, answered_latency},
    fault::FaultContext,
    harness::Harness,
    harness_plan::{HarnessPlan, MakeChooserFactory, ServicePlan},
    latency::LatencyHistogram,
    process::{cpu_s, threads_cpu_s},
    runtime_thread::RuntimeThread,
    scenario::{NoisyNeighbours, Scenario},
    target::Targets,
};
use laurelstall_balance::{
    baseline::{Oracle, Random, RoundRobin, StaleLeastLoaded, TrueLoads, TwoChoices},
    chooser::Chooser,
};
use laurelstall_config::{settings::DecisionFormat, team::ServiceLimits};
use laurelstall_node::services::ChooserFactory;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc, time::Instant as StdInstant};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep},
};

/// Length of one time window of the report in ms.
pub const WINDOW_MS: u64 = 250;
/// Interval in ms between two samples of the bytes spent on observation.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Number of threads that make calls.
const CALLER_THREADS: usize = 3;

/// The load balancers that can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balancer {
    /// Laurelstall's own balancer.
    Laurelstall,
    /// Chooses a target at random.
    Random,
    /// Chooses the targets in turn.
    RoundRobin,
    /// Chooses the least loaded target by a delayed load report.
    LeastStale,
    /// Chooses, of two random targets, the one with fewer own calls in flight.
    TwoChoices,
    /// Chooses the best target by its actual load and speed.
    Oracle,
}

impl Balancer {
    /// All balancers, Laurelstall's own first.
    pub const ALL: [Self; 6] =
        [Self::Laurelstall, Self::Random, Self::RoundRobin, Self::LeastStale, Self::TwoChoices, Self::Oracle];

    /// Returns the balancer's name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Laurelstall => "laurelstall",
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastStale => "least_stale",
            Self::TwoChoices => "two_choices",
            Self::Oracle => "oracle",
        }
    }

    /// Returns the balancer with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|balancer| balancer.name() == name)
    }

    fn make_chooser_factory(self) -> Option<MakeChooserFactory> {
        if self == Self::Laurelstall {
            return None;
        }
        Some(Arc::new(move |targets: &Arc<Targets>| -> ChooserFactory {
            let targets = targets.clone();
            Arc::new(move || -> Box<dyn Chooser> {
                let loads: Arc<dyn TrueLoads> = targets.clone();
                match self {
                    Self::Random | Self::Laurelstall => Box::new(Random),
                    Self::RoundRobin => Box::new(RoundRobin::default()),
                    Self::LeastStale => Box::new(StaleLeastLoaded::new(loads)),
                    Self::TwoChoices => Box::new(TwoChoices),
                    Self::Oracle => Box::new(Oracle::new(loads)),
                }
            })
        }))
    }
}

/// Options of one run that differ from the scenario's defaults.
#[derive(Debug, Clone, Copy)]
pub struct RunOptions {
    /// Observation budget in percent of the default.
    pub observe_percent: u64,
    /// Limits that apply to each service.
    pub limits: ServiceLimits,
    /// Delay in ms before a repeatable call is hedged; `None` disables hedging.
    pub hedge_after_ms: Option<u64>,
    /// Whether nodes write the decision log.
    pub has_decision_log: bool,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            observe_percent: 100,
            limits: ServiceLimits::default(),
            hedge_after_ms: None,
            has_decision_log: true,
        }
    }
}

/// The calls that were planned in one time window.
#[derive(Debug, Clone, Serialize)]
pub struct Window {
    /// Start of the window in ms since the start of the run.
    pub from_ms: u64,
    /// 99th percentile of the latency of answered calls, in ms.
    pub p99_ms: f64,
    /// Number of calls answered in full.
    pub answered: u64,
    /// Number of calls that ended with an error, with an unknown outcome, without an answer or with a wrong one.
    pub failed: u64,
    /// Number of calls that ended as *not run*.
    pub not_run: u64,
}

/// The measurements of one scenario under one balancer.
#[derive(Debug, Clone, Serialize)]
pub struct BalancerResult {
    /// Median latency of answered calls in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency in ms.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency in ms.
    pub p999_ms: f64,
    /// Answered calls per second.
    pub goodput_per_s: f64,
    /// Calls per second that all targets can serve without faults.
    pub capacity_per_s: f64,
    /// Calls by which targets got more than the rate limits that they stated, in the fullest 4 s of each.
    pub calls_over_limit: u64,
    /// Calls that reached targets more than 2 s after those had stated that they are leaving.
    pub calls_after_leaving: u64,
    /// Number of calls by outcome.
    #[serde(flatten)]
    pub totals: Totals,
    /// 99th percentile of the time until a call ended as *not run*, in ms.
    pub refused_p99_ms: f64,
    /// Most bytes that any node spent on observation within one second.
    pub observe_bytes_per_s_max: u64,
    /// Bytes per second that a node may spend on observation.
    pub observe_budget_bytes_per_s: u64,
    /// Mean bytes per second that a node spent on observation.
    pub observe_bytes_per_s_mean: f64,
    /// Number of probes that all nodes sent.
    pub probes: u64,
    /// Number of calls that guards handed back to their entry nodes.
    pub hand_backs: u64,
    /// Number of retries.
    pub retries: u64,
    /// Number of hedged attempts.
    pub hedges: u64,
    /// Mean number of attempts per call.
    pub attempts_per_call: f64,
    /// CPU time per call of the whole process in µs, stand-ins included.
    pub cpu_us_per_call: f64,
    /// CPU time per call of all nodes in µs, entry nodes and guards together.
    pub node_cpu_us_per_call: f64,
    /// Highest ratio of attempts to calls at any level of a call chain; 0 without a chain.
    pub attempts_per_call_max_level: f64,
    /// Number of calls without a full answer, by outcome and reason.
    pub reasons: BTreeMap<String, u64>,
    /// The time windows of the run.
    pub windows: Vec<Window>,
    /// Latency distribution for the report: latency in ms and share of calls.
    #[serde(skip)]
    pub cdf: Vec<(f64, f64)>,
}

/// Runs `scenario` under `balancer`.
///
/// # Errors
///
/// Returns an error if the deployment is unknown or fails to start.
pub async fn run(
    scenario: &Scenario,
    balancer: Balancer,
    options: RunOptions,
    seed: u64,
) -> Result<BalancerResult, String> {
    let plan = harness_plan(scenario, balancer, options, seed)?;
    let budget = plan.observe.bytes_per_s;
    let services = plan.services.iter().map(|service| service.name.clone()).collect::<Vec<_>>();
    // Each call of a chain uses every level once, so one level's capacity bounds the call rate.
    let capacity_per_s = plan.capacity_per_s() / scenario.levels as f64;
    let harness = Arc::new(Harness::start(plan).await.map_err(|error| error.to_string())?);
    let nodes = harness.nodes();
    let entries = EntryAddresses::new(nodes.iter().map(|(_, node)| node.entry_address).collect());
    let context = FaultContext { harness: harness.clone(), entries: entries.clone() };
    let threads =
        (0..CALLER_THREADS).map(|n| RuntimeThread::start(&format!("callers-{n}"))).collect::<Vec<_>>();
    let callers = threads.iter().map(|_| Callers::new(entries.clone())).collect::<Vec<_>>();
    let cpu_before_s = (cpu_s(), nodes_cpu_s());
    let started = StdInstant::now();
    let mut disturbances = JoinSet::new();
    start_faults(&mut disturbances, scenario, &context);
    if let Some(noise) = scenario.noise {
        start_noisy_neighbours(&mut disturbances, noise, &harness, seed);
    }
    let sampler = tokio::spawn(sample_observation_bytes(harness.clone(), scenario.seconds));
    generate_load(scenario, &threads, &callers, &services, capacity_per_s, seed).await;
    let length_s = scenario.seconds as f64;
    log::debug!("scenario {} finished after {:?}", scenario.name, started.elapsed());
    let cpu_spent_s = (cpu_s() - cpu_before_s.0, nodes_cpu_s() - cpu_before_s.1);
    let (observe_max, observe_mean) = sampler.await.unwrap_or((0, 0.0));
    disturbances.shutdown().await;
    let finished = callers.iter().flat_map(|callers| callers.finished().clone()).collect::<Vec<_>>();
    Ok(summarise(Measurement {
        scenario,
        harness: &harness,
        finished: &finished,
        capacity_per_s,
        length_s,
        cpu_spent_s,
        observe_max,
        observe_mean,
        budget,
    }))
}

/// Returns the CPU time of the nodes in s, which is that of all threads except those of targets, of callers and of the
/// program itself.
fn nodes_cpu_s() -> f64 {
    threads_cpu_s(|name| {
        !name.starts_with("targets") && !name.starts_with("callers") && !name.starts_with("laurelstall")
    })
}

struct Measurement<'a> {
    scenario: &'a Scenario,
    harness: &'a Harness,
    finished: &'a [FinishedCall],
    capacity_per_s: f64,
    length_s: f64,
    cpu_spent_s: (f64, f64),
    observe_max: u64,
    observe_mean: f64,
    budget: u64,
}

fn summarise(measurement: Measurement<'_>) -> BalancerResult {
    let finished = measurement.finished;
    let totals = Totals::count(finished, &measurement.harness.records);
    let latency = answered_latency(finished);
    let mut refused = LatencyHistogram::new();
    for call in finished.iter().filter(|call| call.outcome == ObservedOutcome::NotRun) {
        refused.add_us(call.latency_us);
    }
    let targets = measurement.harness.targets.all();
    let counter = |name: &str| measurement.harness.counter_total(name);
    let calls = totals.calls.max(1) as f64;
    BalancerResult {
        p50_ms: latency.percentile_ms(50.0),
        p99_ms: latency.percentile_ms(99.0),
        p999_ms: latency.percentile_ms(99.9),
        goodput_per_s: totals.answered as f64 / measurement.length_s,
        capacity_per_s: measurement.capacity_per_s,
        calls_over_limit: targets.iter().map(|target| target.notices().calls_over_limit()).sum(),
        calls_after_leaving: targets.iter().map(|target| target.notices().calls_after_leaving()).sum(),
        refused_p99_ms: refused.percentile_ms(99.0),
        observe_bytes_per_s_max: measurement.observe_max,
        observe_budget_bytes_per_s: measurement.budget,
        observe_bytes_per_s_mean: measurement.observe_mean,
        probes: counter("probes"),
        hand_backs: counter("hand_backs"),
        retries: counter("retries"),
        hedges: counter("hedges"),
        attempts_per_call: counter("attempts") as f64 / counter("calls").max(1) as f64,
        cpu_us_per_call: measurement.cpu_spent_s.0 * 1e6 / calls,
        node_cpu_us_per_call: measurement.cpu_spent_s.1 * 1e6 / calls,
        attempts_per_call_max_level: measurement
            .harness
            .attempts_per_call_max_level(measurement.scenario.levels, totals.calls),
        reasons: reasons(finished),
        windows: windows(finished, measurement.scenario.seconds),
        cdf: latency.cdf(),
        totals,
    }
}

fn reasons(finished: &[FinishedCall]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for call in finished.iter().filter(|call| call.outcome != ObservedOutcome::Answered) {
        *reasons.entry(format!("{:?}: {}", call.outcome, call.reason)).or_default() += 1;
    }
    reasons
}

fn windows(finished: &[FinishedCall], seconds: u64) -> Vec<Window> {
    let window = |index: u64| {
        let from_ms = index * WINDOW_MS;
        let is_in =
            |call: &&FinishedCall| (from_ms..from_ms + WINDOW_MS).contains(&(call.planned_us / 1_000));
        let calls = finished.iter().filter(is_in).collect::<Vec<_>>();
        let count = |outcomes: &[ObservedOutcome]| {
            calls.iter().filter(|call| outcomes.contains(&call.outcome)).count() as u64
        };
        Window {
            from_ms,
            p99_ms: answered_latency(calls.iter().copied()).percentile_ms(99.0),
            answered: count(&[ObservedOutcome::Answered]),
            failed: count(&[
                ObservedOutcome::Failed,
                ObservedOutcome::Unknown,
                ObservedOutcome::Lost,
                ObservedOutcome::Wrong,
            ]),
            not_run: count(&[ObservedOutcome::NotRun]),
        }
    };
    (0..seconds * 1_000 / WINDOW_MS).map(window).collect()
}

fn harness_plan(
    scenario: &Scenario,
    balancer: Balancer,
    options: RunOptions,
    seed: u64,
) -> Result<HarnessPlan, String> {
    let plan = HarnessPlan::deployment(&scenario.deployment, scenario.services, scenario.service_mean_ms);
    let mut plan = plan.ok_or("unknown deployment")?;
    if scenario.levels > 1 {
        let first = plan.services[0].clone();
        let level = |number| ServicePlan { name: format!("level-{number}"), targets: 2, ..first.clone() };
        plan.services = (1..=scenario.levels).map(level).collect();
    }
    for service in &mut plan.services {
        service.limits = options.limits;
    }
    if let Some(hedge_after_ms) = options.hedge_after_ms {
        plan.program = format!(
            "let parts = path.split(\"/\");\nif method == \"GET\" {{ #{{ service: parts[1], repeat: true, \
             hedge_after_ms: {hedge_after_ms} }} }} else {{ #{{ service: parts[1] }} }}"
        );
    }
    plan.observe.bytes_per_s = plan.observe.bytes_per_s * options.observe_percent / 100;
    plan.observe.probes_per_s = plan.observe.probes_per_s * options.observe_percent / 100;
    plan.chooser = balancer.make_chooser_factory();
    plan.is_baseline = balancer != Balancer::Laurelstall;
    plan.decisions = if options.has_decision_log { DecisionFormat::Human } else { DecisionFormat::Off };
    plan.seed = seed;
    Ok(plan)
}

async fn generate_load(
    scenario: &Scenario,
    threads: &[RuntimeThread],
    callers: &[Arc<Callers>],
    services: &[String],
    capacity_per_s: f64,
    seed: u64,
) {
    let called_services = if scenario.levels > 1 { &services[..1] } else { services };
    let mut running = Vec::new();
    for (start_ms, length_ms, load_percent) in scenario.load_intervals() {
        for (number, (thread, callers)) in threads.iter().zip(callers).enumerate() {
            let plan = CallPlan {
                services: called_services.to_vec(),
                rate_per_s: capacity_per_s * load_percent as f64 / 100.0 / threads.len() as f64,
                start: std::time::Duration::from_millis(start_ms),
                length: std::time::Duration::from_millis(length_ms),
                write_share: scenario.write_percent as f64 / 100.0,
                seed: (seed * 1_000 + start_ms) * 10 + number as u64,
                chain: services.iter().skip(1).take(scenario.levels - 1).cloned().collect(),
            };
            let callers = callers.clone();
            running.push(thread.handle().spawn(async move {
                sleep(Duration::from_millis(start_ms)).await;
                callers.run(&plan).await;
            }));
        }
    }
    futures_util::future::join_all(running).await;
}

fn start_faults(running: &mut JoinSet<()>, scenario: &Scenario, context: &FaultContext) {
    for (plan, fault) in scenario.create_faults() {
        let context = context.clone();
        running.spawn(async move {
            sleep(Duration::from_millis(plan.at_ms)).await;
            let started = StdInstant::now();
            fault.start(&context).await;
            let remaining = Duration::from_millis(plan.for_ms).saturating_sub(started.elapsed());
            sleep(remaining).await;
            fault.end(&context).await;
        });
    }
}

fn start_noisy_neighbours(running: &mut JoinSet<()>, noise: NoisyNeighbours, harness: &Harness, seed: u64) {
    let mut targets = harness.targets.all();
    targets.sort_by(|a, b| a.name().cmp(b.name()));
    for (index, target) in targets.into_iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed * 31 + index as u64);
        running.spawn(async move {
            loop {
                let pause_ms = -(1.0 - rng.random::<f64>()).ln() * noise.every_ms as f64;
                sleep(Duration::from_micros((pause_ms * 1_000.0) as u64)).await;
                let factor = rng.random_range(noise.factor_min..=noise.factor_max);
                let ratio = noise.longest_ms as f64 / noise.shortest_ms as f64;
                let slowdown_ms = noise.shortest_ms as f64 * ratio.powf(rng.random::<f64>());
                target.update_behaviour(|behaviour| behaviour.speed = 1.0 / factor);
                sleep(Duration::from_micros((slowdown_ms * 1_000.0) as u64)).await;
                target.update_behaviour(|behaviour| behaviour.speed = 1.0);
            }
        });
    }
}

/// Bytes that each node had spent on observation, read between the instants `before` and `after`.
struct Sample {
    before: StdInstant,
    after: StdInstant,
    bytes: Vec<u64>,
}

/// Returns the most bytes that any node spent on observation within one second, and the mean over all nodes.
///
/// Compares only samples that were certainly read within one second, so a sampler that wakes up late does not report
/// too much.
async fn sample_observation_bytes(harness: Arc<Harness>, seconds: u64) -> (u64, f64) {
    let samples_per_s = (1_000 / SAMPLE_INTERVAL_MS) as usize;
    let mut samples: Vec<Sample> = Vec::new();
    for _ in 0..seconds * samples_per_s as u64 {
        sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
        let nodes = harness.nodes();
        let before = StdInstant::now();
        let bytes = nodes.iter().map(|(_, node)| node.entry.context.observer.usage().bytes).collect();
        samples.push(Sample { before, after: StdInstant::now(), bytes });
    }
    let mut deltas = Vec::new();
    for (index, first) in samples.iter().enumerate() {
        let is_within = |last: &&Sample| last.after.duration_since(first.before) <= Duration::from_secs(1);
        let is_same_fleet = |last: &&Sample| last.bytes.len() == first.bytes.len();
        let last = samples[index..].iter().take_while(is_within).filter(is_same_fleet).last();
        let pairs = last.into_iter().flat_map(|last| first.bytes.iter().zip(&last.bytes));
        deltas.extend(pairs.map(|(from, to)| to.saturating_sub(*from)));
    }
    let mean = deltas.iter().sum::<u64>() as f64 / deltas.len().max(1) as f64;
    (deltas.iter().max().copied().unwrap_or(0), mean)
}
