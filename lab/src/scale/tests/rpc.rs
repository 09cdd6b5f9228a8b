use super::*;

#[test]
fn entries_are_of_tenants_first_and_of_callers_then() {
    let some = entries(0, 2, 5);
    assert_eq!(some.len(), 1);
    assert_eq!((some[0].0, &some[0].1[1]["key"]), ("tenants", &json!("tenant-00001")));
    let both = entries(4, 7, 5);
    let of: Vec<_> = both.iter().map(|(list, rows)| (*list, rows.len())).collect();
    assert_eq!(of, [("tenants", 1), ("callers", 2)]);
    assert_eq!(both[1].1[0], json!({"key": "1", "standing": "in"}));
}
