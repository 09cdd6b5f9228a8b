//! Tests of the agreed members and the view.

use super::*;

fn names(numbers: &[usize]) -> BTreeSet<MemberName> {
    numbers.iter().map(|n| name(*n)).collect()
}

#[test]
fn view_is_against_agreed_members_and_only_a_quorum_changes_those() {
    let mut quorum = Quorum::new(0, name(0), 1, names(&[0, 1, 2, 3, 4]), 2 * S, 100 * S);
    assert_eq!(quorum.view(), View::Isolated);
    assert!(quorum.update(S, &names(&[1, 2, 3, 4])) && quorum.view() == View::Complete);
    assert!(quorum.update(2 * S, &names(&[1, 2])) && quorum.view() == View::Majority);
    assert!(quorum.update(3 * S, &names(&[1])) && quorum.view() == View::Minority);
    // Newcomers do not turn a minority into a majority, however many they are and however long they are present.
    for second in 3..200 {
        quorum.update(second * S, &names(&[1, 7, 8, 9]));
    }
    let found = (quorum.view(), quorum.agreed_size());
    assert_eq!(found, (View::Minority, 5), "a minority removed absent members or admitted newcomers");
    quorum.update(200 * S, &names(&[1, 2, 7]));
    assert_eq!(quorum.view(), View::Majority);
    quorum.update(203 * S, &names(&[1, 2, 7]));
    assert_eq!(quorum.agreed_size(), 6, "a majority should admit newcomers after the join delay");
    quorum.remove_departed(&name(3));
    assert_eq!(quorum.agreed_size(), 5, "a member that announced that it leaves should not count");
    quorum.update(400 * S, &names(&[1, 2, 7]));
    let found = (quorum.agreed_size(), quorum.view());
    assert_eq!(found, (4, View::Complete), "a member that was absent for the forget time should not count");
}

#[test]
fn new_cluster_forms_a_quorum_once_enough_expected_members_have_joined() {
    let mut quorum = Quorum::new(0, name(0), 5, names(&[]), 2 * S, 100 * S);
    quorum.update(S, &names(&[1, 2, 3]));
    assert_eq!((quorum.view(), quorum.agreed_size()), (View::Minority, 5));
    quorum.update(4 * S, &names(&[1, 2, 3]));
    assert_eq!(quorum.view(), View::Majority);
}
