//! Checks files exactly as a node does.

use http::HeaderMap;
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    problem::Problem,
    route::RouteTable,
    settings::Settings,
    team::Team,
};
use laurelstall_node::{active_config::check_document, entry::route_of};
use laurelstall_policy::{
    plan::Plan,
    program::{Program, RequestView},
};

/// Kind of a file, detected by its top-level tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileKind {
    /// A node's settings.
    Settings,
    /// A published document.
    Document(DocumentName),
}

/// Detects the kind of a TOML or JSON text. Returns `None` when it has no known table.
pub fn detect_kind(text: &str) -> Option<FileKind> {
    let json = || serde_json::from_str::<toml::Table>(text).ok();
    let table = text.parse::<toml::Table>().ok().or_else(json)?;
    if table.contains_key("node") {
        return Some(FileKind::Settings);
    }
    if let Some(team) = table.get("team") {
        return Some(FileKind::Document(DocumentName::Team(team.as_str().unwrap_or_default().to_owned())));
    }
    if table.contains_key("host") {
        return Some(FileKind::Document(DocumentName::Fleet));
    }
    let is_system = ["observe", "spread", "distance"].iter().any(|key| table.contains_key(*key));
    is_system.then_some(FileKind::Document(DocumentName::System))
}

/// Checks a text read from `file` and returns all problems.
pub fn check_text(file: &str, text: &str) -> Vec<Problem> {
    let checked = match detect_kind(text) {
        Some(FileKind::Document(name)) => {
            let document = Document { name, version: Version::MAX, text: text.to_owned() };
            check_document(&document).map(drop)
        }
        // A text of unknown kind is checked as settings, which reports parse errors with their lines.
        _ => Settings::from_text(file, text).map(drop),
    };
    let problems = checked.err().map(|error| error.problems().to_vec()).unwrap_or_default();
    problems.into_iter().map(|problem| Problem { file: file.to_owned(), ..problem }).collect()
}

/// Explains which route of a team's table matches a request. Returns `None` when no route does and the program decides.
///
/// # Errors
///
/// Returns a message when the description is invalid.
pub fn explain_route(team: &Team, description: &str) -> Result<Option<String>, String> {
    let (_, host, path) = parse_description(team, description)?;
    let table = RouteTable::new(&team.routes, 0);
    let matching = table.matching_rules(host, path);
    let Some(rule) = matching.first() else { return Ok(None) };
    let prefixes = matching.iter().map(|rule| rule.path_prefix.as_str()).collect::<Vec<_>>();
    let shares = rule.shares.iter().map(|share| format!("{} {}", share.service, share.weight));
    Ok(Some(format!(
        "route {}: host {host}, longest of the matching prefixes: {}; services by weight: {}",
        rule.name,
        prefixes.join(", "),
        shares.collect::<Vec<_>>().join(", "),
    )))
}

/// Parses a description `METHOD PATH` or `METHOD HOST/PATH` into method, host and path.
fn parse_description<'a>(
    team: &'a Team,
    description: &'a str,
) -> Result<(&'a str, &'a str, &'a str), String> {
    let (method, rest) = description
        .split_once(' ')
        .ok_or("a request must have the form 'METHOD PATH' or 'METHOD HOST/PATH'")?;
    let route_host = team.routes.first().map_or("", |route| &route.host);
    let default_host = team.caller_hosts.first().map_or(route_host, String::as_str);
    let (host, path) = match rest.find('/') {
        Some(0) => (default_host, rest),
        Some(slash) => rest.split_at(slash),
        None => return Err("the path must start with /".to_owned()),
    };
    Ok((method, host, path))
}

/// Routes a request described as `METHOD PATH` or `METHOD HOST/PATH` by a team's routes, or else by its program.
///
/// # Errors
///
/// Returns a message when the description is invalid or the program fails.
pub fn decide(team: &Team, description: &str, headers: &HeaderMap) -> Result<Plan, String> {
    let (method, host, path) = parse_description(team, description)?;
    if let Some((rule, service)) = RouteTable::new(&team.routes, 0).find(host, path) {
        let service = service.ok_or("the route has no service")?;
        return Ok(Plan::Route(route_of(rule, service)));
    }
    let program = Program::compile(&team.program).map_err(|error| error.to_string())?;
    let request = RequestView { method, host, path, headers };
    program.decide(&request).map_err(|error| error.to_string())
}
