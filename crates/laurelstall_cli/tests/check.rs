//! Tests that the example files are valid, and that invalid files are reported.

use http::HeaderMap;
use laurelstall_cli::check::{FileKind, check_text, decide, detect_kind, explain_route};
use laurelstall_config::{
    configuration::{CheckedDocument, Configuration},
    document::{Document, DocumentName, Version},
    team::Team,
};
use laurelstall_policy::plan::Plan;
use std::{fs, path::PathBuf};

fn example(name: &str) -> Vec<(String, String)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let files = fs::read_dir(folder).expect("the folder is there").flatten();
    let read =
        |path: PathBuf| (path.display().to_string(), fs::read_to_string(&path).expect("a readable file"));
    files.map(|entry| read(entry.path())).collect()
}

#[test]
fn example_deployments_are_valid_and_complete() {
    for name in ["faltgard", "kuantan"] {
        let files = example(name);
        assert_eq!(files.len(), 4, "{name}");
        let mut configuration = Configuration::default();
        for (file, text) in &files {
            assert_eq!(check_text(file, text), Vec::new(), "{file}");
            let Some(FileKind::Document(name)) = detect_kind(text) else { continue };
            let document = Document { name: name.clone(), version: Version::new(1), text: text.clone() };
            let checked = CheckedDocument::from_document(&document).expect("it was checked");
            configuration = configuration.with_document(&name, Version::new(1), checked);
        }
        assert_eq!(configuration.services().count(), 4, "{name}");
        for (service, plan) in configuration.services() {
            for target in &plan.targets {
                assert!(configuration.fleet.host(&target.host).is_some(), "{service}: {}", target.host);
            }
        }
    }
}

#[test]
fn a_program_decides_a_described_request() {
    let files = example("faltgard");
    let (file, text) = files.iter().find(|(file, _)| file.contains("team-")).expect("a team's document");
    let team = Team::from_text(file, text).expect("a valid document");
    let Ok(Plan::Route(route)) = decide(&team, "POST /sell/wheat", &HeaderMap::new()) else {
        panic!("no route")
    };
    assert_eq!((route.service.as_str(), route.may_repeat), ("crop-trading", false));
    assert!(matches!(decide(&team, "GET /nowhere", &HeaderMap::new()), Ok(Plan::Refuse(_))));
    assert!(decide(&team, "GET", &HeaderMap::new()).is_err());
}

#[test]
fn invalid_files_are_reported_with_file_and_line() {
    let text = "team = \"a\"\ncaller_hosts = [\"h\"]\nprogram = \"\"\"\n#{ service: }\n\"\"\"\n[[service]]\nname = \"s\"\n";
    let problems = check_text("team-a.toml", text);
    assert_eq!(
        (problems.len(), problems[0].file.as_str(), problems[0].line),
        (1, "team-a.toml", 4),
        "{problems:?}"
    );
    assert!(!check_text("x.toml", "nonsense").is_empty());
    assert_eq!(detect_kind("[observe]\n"), Some(FileKind::Document(DocumentName::System)));
}

const ROUTES: &str = r#"
team = "a"

[[service]]
name = "shop"

[[service]]
name = "mill"

[[route]]
name = "all"
host = "a.example"
path_prefix = "/"
timeout_ms = 1000
latency_objective_ms = 300
tries = 2
importance = 5
share = [{ service = "shop", weight = 1 }]

[[route]]
name = "grain"
host = "a.example"
path_prefix = "/grain/"
may_repeat = true
timeout_ms = 500
latency_objective_ms = 200
tries = 1
importance = 7
share = [{ service = "mill", weight = 1 }]
"#;

#[test]
fn a_route_table_explains_the_route_of_a_request() {
    assert_eq!(check_text("team-a.toml", ROUTES), Vec::new());
    let team = Team::from_text("team-a.toml", ROUTES).expect("a valid document");
    let explanation =
        explain_route(&team, "GET /grain/rye").expect("it is described").expect("a route takes it");
    assert!(
        explanation.starts_with("route grain: host a.example") && explanation.contains("/grain/, /;"),
        "{explanation}"
    );
    let Ok(Plan::Route(route)) = decide(&team, "GET /grain/rye", &HeaderMap::new()) else {
        panic!("no route")
    };
    assert_eq!((route.service.as_str(), route.may_repeat, route.budget_ms), ("mill", true, Some(500)));
    assert_eq!(explain_route(&team, "GET other.example/x"), Ok(None));
}

#[test]
fn invalid_workspaces_are_reported_with_their_line() {
    let key = "00112233445566778899aabbccddeeff";
    let team = |workspaces: &str| {
        format!(
            "team = \"t\"\ncaller_hosts = [\"h\"]\nprogram = \"1\"\nneeds_keys = true\n[[service]]\nname = \"s\"\n{workspaces}"
        )
    };
    let valid = team(&format!("[[workspace]]\nname = \"a\"\nkeys = [\"{key}\"]\nquota.calls_per_s = 5.0\n"));
    assert_eq!(check_text("t.toml", &valid), Vec::new());
    let duplicate_key = team(&format!(
        "[[workspace]]\nname = \"a\"\nkeys = [\"{key}\"]\n[[workspace]]\nname = \"b\"\nkeys = [\"{key}\"]\n"
    ));
    let problems = check_text("t.toml", &duplicate_key);
    assert_eq!((problems.len(), problems[0].line, problems[0].field.as_str()), (1, 12, "workspace.keys"));
    assert!(!problems[0].message.contains(key), "it shows the key's digest");
    for invalid in
        ["keys = [\"a key itself\"]", "quota.calls_per_s = -1.0", "quota.calls_per_s = 0.0", "weight = 0"]
    {
        let text = team(&format!("[[workspace]]\nname = \"a\"\n{invalid}\n"));
        assert_eq!(check_text("t.toml", &text).len(), 1, "{invalid}");
    }
    // The platform does not limit the number of workspaces; one problem among many is found with its line.
    let many = (0..10_001).map(|n| format!("[[workspace]]\nname = \"w-{n}\"\n")).collect::<String>();
    assert_eq!(check_text("t.toml", &team(&many)), Vec::new());
    let problems = check_text("t.toml", &team(&format!("{many}[[workspace]]\nname = \"w-7\"\n")));
    assert_eq!((problems.len(), problems[0].field.as_str()), (1, "workspace.name"));
    assert!(problems[0].message.contains("'w-7' is listed twice"), "{problems:?}");
}
