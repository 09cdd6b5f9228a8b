//! Tests of `rpc.rs`.

use super::*;

#[test]
fn list_changes_are_of_tenants_first_and_of_callers_then() {
    let some = list_changes(0, 2, 5);
    assert_eq!(some.len(), 1);
    assert_eq!((some[0].list, &some[0].rows[1]["key"]), ("tenants", &json!("tenant-00001")));
    let both = list_changes(4, 7, 5);
    let of: Vec<_> = both.iter().map(|change| (change.list, change.rows.len())).collect();
    assert_eq!(of, [("tenants", 1), ("callers", 2)]);
    assert_eq!(both[1].rows[0], json!({"key": "1", "standing": "in"}));
}
