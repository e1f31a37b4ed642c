//! Settings and documents: which ones are accepted and how problems are reported.

use laurelstall_config::{
    configuration::{CheckedDocument, Configuration},
    document::{Document, DocumentName, Version},
    fleet::Fleet,
    settings::Settings,
    system::SystemLimits,
    team::Team,
};

const SETTINGS: &str = r#"
[node]
host = "a-1"
data_centre = "sv-1"
entry_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:7070"
admin_address = "127.0.0.1:7071"

[platform]
address = "127.0.0.1:6000"
"#;

fn team_text(team: &str, host: &str) -> String {
    format!("team = \"{team}\"\ncaller_hosts = [\"{host}\"]\nprogram = \"1\"\n[[service]]\nname = \"s\"\n")
}

fn team_document(team: &str, host: &str) -> Document {
    Document {
        name: DocumentName::Team(team.to_owned()),
        version: Version::new(1),
        text: team_text(team, host),
    }
}

#[test]
fn a_fleet_document_in_json_is_parsed_and_checked_like_toml() {
    let host =
        "{\"name\":\"a-1\",\"node_address\":\"127.0.0.1:7070\",\"data_centre\":\"sv-1\",\"state\":\"live\"}";
    let json = format!("{{\"host\":[{host}]}}");
    let toml = "[[host]]\nname = \"a-1\"\nnode_address = \"127.0.0.1:7070\"\ndata_centre = \"sv-1\"\nstate = \"live\"\n";
    let read = |text: &str| Fleet::from_text("fleet", text);
    assert_eq!(read(&json).expect("it is valid"), read(toml).expect("it is valid"));
    let twice = format!("{{\"host\":[{host},{host}]}}");
    assert!(
        read(&twice)
            .expect_err("two hosts have the same name")
            .to_string()
            .contains("host 'a-1' is listed twice")
    );
    let unknown = "{\n\"hosts\":[]}";
    let error = read(unknown).expect_err("there is no such field");
    assert_eq!(error.problems()[0].line, 2, "{error}");
    assert!(read("{\"host\":[").is_err());
}

#[test]
fn a_host_is_found_by_name_in_the_latest_list_only() {
    let list = |names: &[&str]| {
        let host = |name: &&str| {
            format!(
                "[[host]]\nname = \"{name}\"\nnode_address = \"127.0.0.1:7070\"\ndata_centre = \"d\"\nstate = \"live\"\n"
            )
        };
        let text = names.iter().map(host).collect::<String>();
        Document { name: DocumentName::Fleet, version: Version::new(1), text }
    };
    let with = |configuration: &Configuration, names: &[&str]| {
        let checked = CheckedDocument::from_document(&list(names)).expect("it is valid");
        configuration.with_document(&DocumentName::Fleet, Version::new(1), checked)
    };
    let first = with(&Configuration::default(), &["a-1", "a-2"]);
    assert_eq!(first.host("a-2").map(|host| host.name.as_str()), Some("a-2"));
    let next = with(&first, &["a-3"]);
    assert_eq!((next.host("a-2"), next.host("a-3").is_some()), (None, true));
}

#[test]
fn settings_have_defaults() {
    let settings = Settings::from_text("node.toml", SETTINGS).expect("the settings are valid");
    assert_eq!(settings.callers.depth_max, 16);
    assert!(settings.target.is_none());
}

#[test]
fn all_problems_are_reported_at_once_with_file_line_and_field() {
    let text = format!("{SETTINGS}watch_wait_ms = 1\n[callers]\nconnections = 0\nstreams = 99999\n");
    let error = Settings::from_text("node.toml", &text).expect_err("three fields are out of range");
    let reported = error.problems().iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(reported.len(), 3, "{reported:?}");
    assert!(
        reported[0].starts_with("node.toml:11: platform.watch_wait_ms: 1 is not in the range"),
        "{reported:?}"
    );
    assert!(reported[1].starts_with("node.toml:13: callers.connections"), "{reported:?}");
}

#[test]
fn unknown_fields_are_rejected() {
    let error =
        Settings::from_text("node.toml", &SETTINGS.replace("host =", "hostt =")).expect_err("no such field");
    assert!(error.to_string().contains("hostt"), "{error}");
    let error = SystemLimits::from_text("system", "[observe]\nbytes = 1\n").expect_err("the unit is missing");
    assert!(error.to_string().contains("system:2"), "{error}");
}

#[test]
fn invalid_names_are_rejected() {
    for name in ["a/b", "A", "", "a b", "ä"] {
        let text = team_text("t", "h").replace("name = \"s\"", &format!("name = \"{name}\""));
        assert!(Team::from_text("team", &text).is_err(), "'{name}' was accepted");
    }
}

#[test]
fn a_document_that_names_another_team_is_rejected() {
    let document = Document { name: DocumentName::Team("b".to_owned()), ..team_document("a", "h") };
    assert!(CheckedDocument::from_document(&document).is_err());
}

#[test]
fn a_host_name_claimed_twice_goes_to_the_same_team_in_any_order_of_documents() {
    let (a, b) = (team_document("a", "shop.example"), team_document("b", "shop.example"));
    let build = |documents: [&Document; 2]| {
        let mut configuration = Configuration::default();
        for document in documents {
            let checked = CheckedDocument::from_document(document).expect("each document alone is valid");
            configuration = configuration.with_document(&document.name, Version::new(1), checked);
        }
        configuration
    };
    for configuration in [build([&a, &b]), build([&b, &a])] {
        let team = configuration.team_of_caller_host("shop.example").expect("one of the teams gets it");
        assert_eq!(team.team, "a");
        assert_eq!(configuration.caller_host_conflicts().len(), 1);
    }
}

#[test]
fn distances_apply_in_both_directions() {
    let text = "[[distance]]\nfrom = \"a\"\nto = \"b\"\none_way_us = 7\n";
    let limits = SystemLimits::from_text("system", text).expect("it is valid");
    assert_eq!(
        (limits.distance_us("a", "b"), limits.distance_us("b", "a"), limits.distance_us("a", "a")),
        (7, 7, 0)
    );
}

#[test]
fn parsing_any_text_does_not_panic() {
    bolero::check!().with_type::<String>().with_iterations(2_000).for_each(|text| {
        let _ = Settings::from_text("any", text);
        let _ = Team::from_text("any", text);
        let _ = SystemLimits::from_text("any", text);
        let _ = DocumentName::from_key(text);
    });
}

#[test]
fn parsing_a_document_with_one_byte_changed_does_not_panic() {
    let text = team_text("a", "shop.example");
    bolero::check!().with_type::<(usize, char)>().with_iterations(4_000).for_each(|(at, character)| {
        let mut changed = text.clone();
        let at = at % text.len();
        changed.replace_range(at..=at, &character.to_string());
        let _ = Team::from_text("any", &changed);
    });
}

#[test]
fn a_graceful_shutdown_ends_before_the_process_is_killed() {
    let limit_ms = |lines: &str| {
        let text = SETTINGS.replace("[node]\n", &format!("[node]\n{lines}\n"));
        Settings::from_text("node.toml", &text).expect("it is valid").node.effective_stop_max_ms()
    };
    assert_eq!(limit_ms("stop_max_ms = 30000"), 30_000, "it is unknown when the process is killed");
    assert_eq!(limit_ms("stop_max_ms = 30000\nstop_grace_s = 6"), 5_400);
    assert_eq!(limit_ms("stop_max_ms = 30000\nstop_grace_s = 10"), 9_000);
    assert_eq!(limit_ms("stop_max_ms = 4000\nstop_grace_s = 10"), 4_000, "stop_max_ms is shorter");
}

#[test]
fn limits_of_the_platform_may_be_fractions() {
    let limits = "repeats.reserve = 36.73469387755102\ncold.overrun = 1.5\ncold.slack = 1.63\n";
    let settings = Settings::from_text("node.toml", &format!("{SETTINGS}{limits}"));
    let platform = settings.expect("the settings are valid").platform;
    assert!((platform.repeats.reserve - 36.73).abs() < 0.01);
    assert_eq!(platform.cold.calls_per_s(3.3), 6, "4.95 + 1.63, rounded down");
}
