//! Lookup of workspaces by keys.

use laurelstall_config::{
    key_digest::{KEY_BYTES_MAX, KeyDigest, KeyError},
    team::Team,
    workspace::Workspace,
};
use laurelstall_workspace::key_directory::{KeyDirectory, KeyLookup};

const KEY: &[u8] = b"a-key-of-the-bakery";

fn team(needs_keys: bool, keys: &[&[u8]]) -> Team {
    let digests = keys.iter().map(|key| KeyDigest::of_key(key).expect("the key is valid"));
    let bakery = Workspace { keys: digests.collect(), ..Workspace::new("bakery") };
    Team { needs_keys, workspaces: vec![bakery], ..Team::default() }
}

fn name(lookup: &KeyLookup) -> Option<&str> {
    match lookup {
        KeyLookup::Workspace(workspace) => Some(&workspace.name),
        _ => None,
    }
}

#[test]
fn a_key_identifies_its_workspace_and_others_are_unknown() {
    let directory = KeyDirectory::new(&team(true, &[KEY]));
    assert_eq!(name(&directory.look_up(Some(KEY), false)), Some("bakery"));
    assert_eq!(directory.look_up(Some(b"a-key-of-the-bakerz"), false), KeyLookup::Unknown);
    assert_eq!(directory.look_up(Some(b""), false), KeyLookup::Unknown);
    assert_eq!(directory.look_up(None, false), KeyLookup::Missing);
}

#[test]
fn a_key_is_optional_on_a_public_route() {
    let directory = KeyDirectory::new(&team(true, &[KEY]));
    assert_eq!(directory.look_up(None, true), KeyLookup::NoWorkspace);
    assert_eq!(directory.look_up(Some(b"nobody's"), true), KeyLookup::NoWorkspace);
    assert_eq!(name(&directory.look_up(Some(KEY), true)), Some("bakery"));
}

#[test]
fn a_team_that_needs_keys_and_has_none_rejects_all_calls() {
    let directory = KeyDirectory::new(&Team { needs_keys: true, ..Team::default() });
    assert!(directory.uses_keys());
    assert_eq!(directory.look_up(Some(KEY), false), KeyLookup::Unknown);
    assert!(!KeyDirectory::new(&Team::default()).uses_keys());
}

#[test]
fn hundreds_of_thousands_of_keys_are_found() {
    let keys = (0..300_000).map(|n| format!("key-{n}"));
    let digests = keys.map(|key| KeyDigest::of_key(key.as_bytes()).expect("the key is valid"));
    let bakery = Workspace { keys: digests.collect(), ..Workspace::new("bakery") };
    let directory = KeyDirectory::new(&Team { workspaces: vec![bakery], ..team(true, &[]) });
    assert_eq!(directory.key_count(), 300_000);
    assert_eq!(name(&directory.look_up(Some(b"key-299999"), false)), Some("bakery"));
    assert_eq!(directory.look_up(Some(b"key-300000"), false), KeyLookup::Unknown);
}

#[test]
fn errors_for_invalid_keys_do_not_show_them() {
    assert_eq!(KeyDigest::of_key(b""), Err(KeyError::Empty));
    let long = vec![b'x'; 100_000];
    let error = KeyDigest::of_key(&long).expect_err("the key is too long");
    assert_eq!(error.to_string(), format!("a key has 100000 bytes, {KEY_BYTES_MAX} is the most"));
    let digest = KeyDigest::of_key(KEY).expect("the key is valid");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!("12".parse::<KeyDigest>(), Err(KeyError::InvalidDigest));
}
