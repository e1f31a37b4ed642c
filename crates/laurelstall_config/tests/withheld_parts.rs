//! Invalid parts of a team's document, and documents with many parts.

use laurelstall_config::{
    configuration::CheckedDocument,
    document::{Document, DocumentName, Version},
    fleet::Fleet,
    route::RouteTable,
    team::Team,
};

const SERVICE: &str = "[[service]]\nname = \"s\"\n";

fn route(prefix: &str, tries: u32, service: &str) -> String {
    format!(
        "[[route]]\nname = \"r\"\nhost = \"h\"\npath_prefix = \"{prefix}\"\ntimeout_ms = 1\n\
         latency_objective_ms = 1\ntries = {tries}\nimportance = 9\n\
         share = [{{ service = \"{service}\", weight = 1 }}]\n"
    )
}

fn document(parts: &[String]) -> Document {
    let text = format!("team = \"t\"\n{}", parts.concat());
    Document { name: DocumentName::Team("t".to_owned()), version: Version::new(1), text }
}

fn usable(parts: &[String]) -> Team {
    match CheckedDocument::usable_from_document(&document(parts)).expect("the document is usable") {
        CheckedDocument::Team(team) => *team,
        _ => panic!("it is a team's document"),
    }
}

fn services(team: &Team, path: &str) -> Option<Option<String>> {
    let table = RouteTable::new(&team.routes, 1);
    table.find("h", path).map(|(_, service)| service.map(str::to_owned))
}

// One route that a node does not take cost all others of the version.
#[test]
fn an_invalid_route_is_withheld_and_the_others_take_effect() {
    let parts = [
        SERVICE.to_owned(),
        route("/", 1, "s"),
        route("/a/", 11, "s"),
        route("/b/", 1, "none"),
        route("/c/", 1, "s"),
    ];
    let team = usable(&parts);
    assert_eq!(services(&team, "/c/x"), Some(Some("s".to_owned())));
    // The route with the next shorter prefix does not handle the requests of a withheld one.
    assert_eq!(services(&team, "/a/x"), Some(None));
    assert_eq!(services(&team, "/b/x"), Some(None));
    assert_eq!(team.withheld.len(), 2, "{:?}", team.withheld);
    assert!(CheckedDocument::from_document(&document(&parts)).is_err(), "a check reports withheld parts");
}

#[test]
fn routes_of_an_invalid_service_are_withheld() {
    let invalid =
        "[[service]]\nname = \"s\"\nload_path = \"no-path\"\n[[service]]\nname = \"t\"\n".to_owned();
    let team = usable(&[invalid, route("/a/", 1, "s"), route("/b/", 1, "t")]);
    assert_eq!(services(&team, "/a/x"), Some(None));
    assert_eq!(services(&team, "/b/x"), Some(Some("t".to_owned())));
}

#[test]
fn an_invalid_workspace_is_not_withheld_but_makes_the_document_invalid() {
    let key = "0123456789abcdef0123456789abcdef";
    let workspaces = format!(
        "[[workspace]]\nname = \"a\"\nkeys = [\"{key}\"]\n[[workspace]]\nname = \"b\"\nkeys = [\"{key}\"]\n"
    );
    let document = document(&[SERVICE.to_owned(), route("/", 1, "s"), workspaces]);
    assert!(CheckedDocument::usable_from_document(&document).is_err());
}

// A configuration without its last route was rejected, so that the route stayed in force.
#[test]
fn a_team_without_routes_and_services_takes_effect() {
    assert!(usable(&[]).routes.is_empty());
}

// Nodes rejected whole versions for a number of parts that the platform does not limit.
#[test]
fn the_number_of_parts_is_not_limited() {
    let services = (0..200).map(|n| format!("[[service]]\nname = \"s-{n}\"\n")).collect::<String>();
    let routes = (0..12_000).map(|n| route(&format!("/{n}/"), 1, "s-7")).collect::<String>();
    let workspaces = (0..12_000).map(|n| format!("[[workspace]]\nname = \"w-{n}\"\n")).collect::<String>();
    let team = usable(&[services, routes, workspaces]);
    assert_eq!((team.services.len(), team.routes.len(), team.workspaces.len()), (200, 12_000, 12_000));
    assert!(team.withheld.is_empty());
    let host = |n: usize| {
        let address = format!("10.{}.{}.{}:7070", n / 62_500, n / 250 % 250, n % 250);
        format!(
            "{{\"name\":\"h-{n}\",\"node_address\":\"{address}\",\"data_centre\":\"d\",\"state\":\"live\"}}"
        )
    };
    let hosts = (0..10_500).map(host).collect::<Vec<_>>().join(",");
    let fleet = Fleet::from_text("fleet", &format!("{{\"host\":[{hosts}]}}")).expect("the list is valid");
    assert_eq!(fleet.hosts.len(), 10_500);
}

#[test]
fn the_problems_of_many_parts_are_counted() {
    let routes = (0..1_000).map(|n| route(&format!("/{n}/"), 0, "s")).collect::<String>();
    let team = usable(&[SERVICE.to_owned(), routes]);
    assert_eq!(team.routes.len(), 1_000);
    assert_eq!(team.withheld.last().expect("a problem").message, "936 further problems");
    assert_eq!(team.withheld.len(), 65);
}

#[test]
fn a_message_does_not_quote_a_long_value_as_a_whole() {
    let prefix = "ä".repeat(100_000);
    let team = usable(&[SERVICE.to_owned(), route(&prefix, 1, "s")]);
    assert!(team.withheld[0].message.len() <= 512, "{} bytes", team.withheld[0].message.len());
}
