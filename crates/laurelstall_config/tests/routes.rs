//! Routes: which route matches a request, how requests are split, and which routes are rejected.

use laurelstall_config::{
    route::{RouteRule, RouteShare, RouteTable},
    team::Team,
};

fn rule(host: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let share =
        |(service, weight): &(&str, u32)| RouteShare { service: (*service).to_owned(), weight: *weight };
    RouteRule {
        name: format!("r{}", prefix.trim_matches('/').replace('/', "-")),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        may_repeat: false,
        timeout_ms: 1_000,
        latency_objective_ms: 300,
        tries: 2,
        importance: 5,
        is_public: false,
        data_centres: Vec::new(),
        shares: shares.iter().map(share).collect(),
    }
}

fn found<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find(host, path).map(|(rule, _)| rule.path_prefix.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let one = [("s", 1)];
    let rules = [rule("a", "/x/", &one), rule("a", "/x/y/", &one), rule("b", "/", &one)];
    let table = RouteTable::new(&rules, 1);
    assert_eq!(found(&table, "a", "/x/y/z"), Some("/x/y/"));
    assert_eq!(found(&table, "a", "/x/yy"), Some("/x/"));
    assert_eq!(found(&table, "a", "/x"), None);
    assert_eq!(found(&table, "a", "/"), None);
    assert_eq!(found(&table, "b", "/x/y/z"), Some("/"));
    assert_eq!(found(&table, "c", "/x/"), None);
}

#[test]
fn each_service_gets_its_share_after_few_requests_with_any_seed() {
    let rules = [rule("a", "/", &[("s", 70), ("t", 25), ("u", 5)])];
    for seed in 0..50 {
        let table = RouteTable::new(&rules, seed);
        let count = |service: &str, requests: usize| {
            let taken = (0..requests).filter(|_| table.find("a", "/").expect("a route").1 == Some(service));
            taken.count() as f64 / requests as f64
        };
        for (service, share) in [("s", 0.70), ("t", 0.25), ("u", 0.05)] {
            let taken = count(service, 100);
            assert!((taken - share).abs() < 0.03, "seed {seed}, {service}: {taken}");
        }
    }
}

#[test]
fn a_service_of_weight_0_gets_no_requests() {
    let table = RouteTable::new(&[rule("a", "/", &[("s", 0), ("t", 1)])], 1);
    assert!((0..100).all(|_| table.find("a", "/").expect("a route").1 == Some("t")));
}

fn problem_count(route: &str) -> usize {
    let text = format!("team = \"a\"\n[[service]]\nname = \"s\"\n[[route]]\n{route}");
    Team::from_text("team-a.toml", &text).map_or_else(|error| error.problems().len(), |_| 0)
}

#[test]
fn all_problems_of_a_route_are_reported() {
    let valid = "name = \"r\"\nhost = \"h\"\npath_prefix = \"/x/\"\ntimeout_ms = 1\n\
                 latency_objective_ms = 1\ntries = 1\nimportance = 9\n\
                 share = [{ service = \"s\", weight = 1 }]\n";
    assert_eq!(problem_count(valid), 0);
    let invalid = valid
        .replace("/x/", "x")
        .replace("tries = 1", "tries = 0")
        .replace("importance = 9", "importance = 10")
        .replace("service = \"s\"", "service = \"other\"");
    assert_eq!(problem_count(&invalid), 4);
    assert_eq!(problem_count(&valid.replace("weight = 1", "weight = 0")), 1);
}
