//! Entry nodes that lend each other retry tokens use most of the bound on retries, and stay below it.

use laurelstall_balance::{
    attempt_budget::BudgetClass,
    least_cost::LeastCost,
    lender_rotation::LenderRotation,
    service_balancer::{AttemptResult, ServiceBalancer},
    shared_retry_budget::{LIFETIME_US, SharedRetryBudget, TokenLoan},
    target_view::TargetView,
};
use laurelstall_config::{
    fleet::{Fleet as HostList, Host, HostState},
    load_control::LoadControl,
    team::ServiceLimits,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const IMPORTANCE: u8 = 5;
const CALLS_PER_S: f64 = 4.0;
/// The bound: retries of all entry nodes in ten seconds, in percent of the requests and besides.
const ALLOWED_PERCENT: f64 = 20.0;
const ALLOWED_RESERVE_PER_ENTRY: f64 = 204.0 / 82.0;
/// Part of the reserve that the documents of services with shared retries state.
const RESERVE_FACTOR: f64 = 0.95;
const STEP_US: u64 = 100_000;
const STEPS_PER_WINDOW: usize = 100;
/// Retries that a failing call wants.
const RETRIES_WANTED: u32 = 3;
/// Nodes that a call asks at once.
const LENDERS: usize = 4;
const ENTRY_COUNTS: [usize; 4] = [13, 83, 300, 1_000];

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// Share of the entry nodes whose calls targets reject.
    failing: f64,
    /// Share of the entry nodes of an earlier version, which use only their own part.
    earlier: f64,
    /// Whether messages between the two halves of the fleet get lost.
    is_partitioned: bool,
    /// Steps after the begin of the rejections at which all nodes restart.
    restarts: &'static [usize],
    /// Part of the nodes that restart in each step, in turn.
    restarting: f64,
}

const NONE: Trouble =
    Trouble { failing: 1.0, earlier: 0.0, is_partitioned: false, restarts: &[], restarting: 0.0 };

struct Fleet {
    balancers: Vec<ServiceBalancer>,
    rng: SmallRng,
    trouble: Trouble,
    now_us: u64,
}

impl Fleet {
    fn new(entries: usize, trouble: Trouble, seed: u64) -> Self {
        let balancers = (0..entries).map(|index| balancer(index, entries, trouble)).collect();
        Self { balancers, rng: SmallRng::seed_from_u64(seed), trouble, now_us: 1_000_000 }
    }

    fn restart(&mut self, index: usize) {
        self.balancers[index] = balancer(index, self.balancers.len(), self.trouble);
    }

    /// Lets a node borrow what it lacks for a retry.
    fn borrow(&mut self, index: usize) {
        let count = self.balancers.len();
        let Some(missing) = self.balancers[index].missing_retry_tokens(IMPORTANCE, self.now_us) else {
            return;
        };
        for _ in 0..LENDERS {
            let lender = self.rng.random_range(0..count);
            let is_cut = self.trouble.is_partitioned && (lender < count / 2) != (index < count / 2);
            if lender == index || is_cut {
                continue;
            }
            if let Some(lent) = self.balancers[lender].lend_retry_tokens(missing, self.now_us) {
                self.balancers[index].add_retry_loan(lent, self.now_us, self.now_us);
            }
        }
    }

    /// Plays one step and returns the number of requests and of retries.
    fn step(&mut self, is_failing: bool) -> (u64, u64) {
        let (mut requests, mut retries) = (0, 0);
        let failing = (self.trouble.failing * self.balancers.len() as f64).ceil() as usize;
        for index in 0..self.balancers.len() {
            if !self.rng.random_bool(CALLS_PER_S * STEP_US as f64 / 1e6) {
                continue;
            }
            requests += 1;
            self.balancers[index].note_call(IMPORTANCE, false, self.now_us);
            if !is_failing || index >= failing {
                let result = AttemptResult::Succeeded(1_000);
                self.balancers[index].note_result(0, "t", 0, result, self.now_us);
                continue;
            }
            self.balancers[index].note_refused_by_target(self.now_us);
            for _ in 0..RETRIES_WANTED {
                self.borrow(index);
                retries += u64::from(self.balancers[index].try_withdraw_retry(IMPORTANCE, self.now_us));
            }
        }
        self.now_us += STEP_US;
        (requests, retries)
    }

    /// Plays a calm time and then 20 s of rejections. Returns the greatest use of the bound in ten seconds, and that of
    /// the last ten seconds.
    fn use_of_bound(&mut self) -> (f64, f64) {
        let entries = self.balancers.len();
        let mut steps = (0..2 * STEPS_PER_WINDOW).map(|_| self.step(false)).collect::<Vec<_>>();
        for number in 0..2 * STEPS_PER_WINDOW {
            if self.trouble.restarts.contains(&number) {
                (0..entries).for_each(|index| self.restart(index));
            }
            let restarting = (self.trouble.restarting * entries as f64) as usize;
            (0..restarting).for_each(|index| self.restart((number * restarting + index) % entries));
            steps.push(self.step(true));
        }
        let uses = steps.windows(STEPS_PER_WINDOW).map(|window| {
            let requests = window.iter().map(|(requests, _)| requests).sum::<u64>() as f64;
            let retries = window.iter().map(|(_, retries)| retries).sum::<u64>() as f64;
            retries / (requests * ALLOWED_PERCENT / 100.0 + entries as f64 * ALLOWED_RESERVE_PER_ENTRY)
        });
        let uses = uses.collect::<Vec<_>>();
        (uses.iter().copied().fold(0.0, f64::max), uses.last().copied().unwrap_or_default())
    }
}

fn balancer(index: usize, entries: usize, trouble: Trouble) -> ServiceBalancer {
    let is_earlier = ((index * 7) % entries) < (trouble.earlier * entries as f64) as usize;
    let load = LoadControl { shared_retries: !is_earlier, ..LoadControl::default() };
    let factor = if is_earlier { 0.75 } else { RESERVE_FACTOR };
    let reserve = (entries as f64 * ALLOWED_RESERVE_PER_ENTRY * factor) as u32;
    let limits = ServiceLimits { retry_reserve: reserve, load, ..ServiceLimits::default() };
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), index as u64);
    balancer.set_targets(limits, vec![TargetView::new("t", "h", 6, 100, 1_000_000)]);
    balancer.set_entries(entries);
    balancer
}

#[test]
fn most_of_the_bound_can_be_used_by_all_and_by_few_entries() {
    for entries in ENTRY_COUNTS {
        for failing in [1.0, 0.5, 0.1] {
            let (most, last) = Fleet::new(entries, Trouble { failing, ..NONE }, 3).use_of_bound();
            println!("{entries} entries, {failing} of them failing: {most:.2} at most, {last:.2} at the end");
            assert!(most <= 1.0, "{entries} entries, {failing} failing: {most:.2} of the bound");
            assert!(most >= 0.8, "{entries} entries, {failing} failing: only {most:.2} of the bound");
        }
    }
}

/// Guards against tokens that are counted twice: at two nodes, or before and after a restart.
#[test]
fn the_bound_holds_with_restarts_partitions_and_earlier_versions() {
    let troubles = [
        Trouble { restarts: &[30], ..NONE },
        Trouble { restarts: &[10, 20, 30, 40, 50], failing: 0.1, ..NONE },
        Trouble { restarting: 0.05, failing: 0.3, ..NONE },
        Trouble { is_partitioned: true, failing: 0.3, ..NONE },
        Trouble { earlier: 0.3, failing: 0.5, ..NONE },
        Trouble { earlier: 0.5, restarts: &[30], ..NONE },
        Trouble { earlier: 0.3, is_partitioned: true, restarting: 0.02, ..NONE },
    ];
    for entries in ENTRY_COUNTS {
        let seeds = if entries > 100 { 1..2 } else { 1..6 };
        for (trouble, seed) in
            troubles.iter().flat_map(|trouble| seeds.clone().map(move |seed| (trouble, seed)))
        {
            let (most, _) = Fleet::new(entries, *trouble, seed).use_of_bound();
            assert!(most <= 1.0, "{entries} entries, seed {seed}: {most:.2} of the bound, {trouble:?}");
        }
    }
}

const S_US: u64 = 1_000_000;

/// A budget with a reserve of ten tokens that has saved what it can.
fn saved_budget(now_us: u64) -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(10, 10.0);
    budget.note_call(now_us - 10 * S_US);
    budget.deposit(now_us - 10 * S_US);
    budget
}

fn grants(budget: &mut SharedRetryBudget, now_us: u64) -> usize {
    (0..20).filter(|_| budget.try_withdraw(BudgetClass::MostImportant, 0.0, now_us)).count()
}

/// Guards against tokens that were used before a restart and are there again after it.
#[test]
fn a_node_starts_without_tokens() {
    let mut budget = SharedRetryBudget::new(10, 1_000.0);
    assert_eq!(grants(&mut budget, 50 * S_US), 0);
    assert!(grants(&mut budget, 51 * S_US) > 0, "the reserve is refilled from the first use on");
}

#[test]
fn a_lender_loses_what_it_lends() {
    let now_us = 20 * S_US;
    let mut lender = saved_budget(now_us);
    let kept = grants(&mut lender.clone(), now_us);
    let loan = lender.lend(1.0, now_us);
    assert_eq!(loan.tokens, 1.0);
    assert_eq!(grants(&mut lender, now_us), kept - 1);
}

#[test]
fn a_node_that_makes_retries_lends_only_what_it_cannot_use_itself() {
    let now_us = 20 * S_US;
    let mut lender = saved_budget(now_us);
    assert!(lender.try_withdraw(BudgetClass::MostImportant, 0.0, now_us));
    let loan = lender.lend(1.0, now_us);
    assert!(loan.tokens < 1.0, "{loan:?}");
    assert_eq!(grants(&mut lender, now_us), 1, "a whole token is left");
}

/// Guards against tokens that are saved by lending them on.
#[test]
fn lent_tokens_expire_wherever_they_are() {
    let now_us = 20 * S_US;
    let loan = saved_budget(now_us).lend(1.0, now_us);
    let borrower = |loan: TokenLoan, asked_us: u64, at_us: u64| {
        let mut budget = SharedRetryBudget::new(10, 0.0);
        budget.add_loan(loan, asked_us, at_us);
        budget
    };
    assert_eq!(grants(&mut borrower(loan, now_us, now_us), now_us + S_US / 2), 1);
    assert_eq!(grants(&mut borrower(loan, now_us, now_us), now_us + LIFETIME_US), 0);
    assert_eq!(
        grants(&mut borrower(loan, now_us, now_us + LIFETIME_US), now_us + LIFETIME_US),
        0,
        "a late answer"
    );
    let later_us = now_us + S_US / 2;
    let lent_on = borrower(loan, now_us, now_us).lend(1.0, later_us);
    assert!(lent_on.tokens == 1.0 && lent_on.lifetime_us <= LIFETIME_US / 2, "{lent_on:?}");
    assert_eq!(grants(&mut borrower(lent_on, later_us, later_us), now_us + LIFETIME_US), 0, "lent on");
    let endless = TokenLoan { tokens: 1e9, lifetime_us: u64::MAX };
    assert!(grants(&mut borrower(endless, now_us, now_us), now_us) <= 1, "one token was asked for");
}

#[test]
fn lenders_are_asked_in_turn_and_left_out_for_a_while() {
    let host = |number: u8, state: HostState| Host {
        name: format!("h{number}"),
        node_address: ([127, 0, 0, number], 7).into(),
        data_centre: String::new(),
        state,
    };
    let mut hosts = (0..5).map(|number| host(number, HostState::Live)).collect::<Vec<_>>();
    hosts[4].state = HostState::Leaving;
    let fleet = HostList { hosts, ..HostList::default() };
    let mut rotation = LenderRotation::new(1);
    let choose = |rotation: &mut LenderRotation, count: usize, now_us: u64| {
        let chosen = rotation.choose(&fleet, "h0", count, now_us);
        chosen.iter().map(|host| host.name.clone()).collect::<Vec<_>>()
    };
    assert_eq!(choose(&mut rotation, 2, S_US), ["h1", "h2"]);
    assert_eq!(choose(&mut rotation, 2, S_US), ["h3", "h1"]);
    rotation.note_empty("h2", S_US);
    rotation.note_unreachable("h3", S_US);
    assert_eq!(choose(&mut rotation, 9, S_US), ["h1"]);
    assert_eq!(choose(&mut rotation, 9, S_US + S_US / 2).len(), 2, "the empty one has tokens again");
    assert_eq!(choose(&mut rotation, 9, 3 * S_US).len(), 3);
}
