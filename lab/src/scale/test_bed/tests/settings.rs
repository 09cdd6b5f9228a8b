//! Tests of `settings.rs`.

use super::*;

#[test]
fn settings_name_methods_tenants_and_sentinels() {
    let mut site = SiteSettings::new(3, 2, 42);
    site.sentinel_pairs.push(9);
    let settings = site.settings();
    let names = |list: &str| -> Vec<&str> {
        settings[list].as_array().unwrap().iter().map(|of| of["Name"].as_str().unwrap()).collect()
    };
    assert_eq!(names("Categories"), ["method-00000", "method-00001", "method-00002"]);
    assert_eq!(names("Tenants"), ["tenant-00000", "tenant-00001", "a-00009", "z-00009"]);
}
