//! Tests of `rpc.rs`.

use super::*;

#[test]
fn list_changes_add_tenants_before_callers() {
    let tenants_only = list_changes(0, 2, 5);
    assert_eq!(tenants_only.len(), 1);
    assert_eq!(
        (tenants_only[0].list, &tenants_only[0].entries[1]["key"]),
        ("tenants", &json!("tenant-00001"))
    );
    let both = list_changes(4, 7, 5);
    let sizes: Vec<_> = both.iter().map(|change| (change.list, change.entries.len())).collect();
    assert_eq!(sizes, [("tenants", 1), ("callers", 2)]);
    assert_eq!(both[1].entries[0], json!({"key": "1", "standing": "in"}));
}
