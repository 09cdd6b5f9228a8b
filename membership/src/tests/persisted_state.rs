//! Tests of `persisted_state.rs`.

use super::*;
use quickcheck::QuickCheck;

#[test]
fn state_round_trips_and_is_used_only_while_its_age_is_trusted() {
    let agreed: BTreeSet<MemberName> =
        ["n1", "n 2"].iter().filter_map(|name| MemberName::new(name)).collect();
    let state = PersistedState {
        generation: 7,
        written_at: 1_000,
        agreed_members: agreed,
        addresses: vec!["127.0.0.1:7946".parse().unwrap()],
    };
    assert_eq!(PersistedState::from_text(&state.to_text()), Ok(state.clone()));
    let restored = PersistedState::restore(Some(state.clone()), 1_500, 600);
    let (agreed, addresses) = (restored.agreed_members.len(), restored.addresses.len());
    assert_eq!((restored.generation, agreed, addresses), (1_500, 2, 1));
    for (wall, why) in [(1_700, "too old"), (900, "written in the future")] {
        let restored = PersistedState::restore(Some(state.clone()), wall, 600);
        assert!(restored.generation >= wall && restored.generation > 7, "{why}");
        assert!(restored.agreed_members.is_empty() && restored.addresses.is_empty(), "{why}");
    }
    let late = PersistedState { generation: 9_000, ..state };
    assert_eq!(PersistedState::restore(Some(late), 900, 600).generation, 9_001, "a clock set back");
    let nothing = RestoredState { generation: 5, agreed_members: BTreeSet::new(), addresses: Vec::new() };
    assert_eq!(PersistedState::restore(None, 5, 600), nothing);
}

#[test]
fn parse_errors_name_the_line() {
    let error = PersistedState::from_text("start 7\nwall 9\nagreed\n").unwrap_err();
    let expected =
        r#"membership state, line 3: expected "start", "wall", "agreed" or "at" with a valid value"#;
    let text = format!(r#"{expected} and at most 4096 entries of a kind, found "agreed""#);
    assert_eq!(error.to_string(), text);
}

#[test]
fn any_text_is_read_without_panic() {
    fn holds(text: String) -> bool {
        PersistedState::from_text(&text)
            .map_or(true, |state| PersistedState::from_text(&state.to_text()) == Ok(state))
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(String) -> bool);
}
