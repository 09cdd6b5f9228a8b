//! Permissions, sizes and contents of files with secrets.

use asterrill_operator_config::read_secret;
use std::os::unix::fs::PermissionsExt;

#[test]
fn rejects_a_secret_that_other_users_may_read() {
    let path = std::env::temp_dir().join(format!("asterrill-secret-{}", std::process::id()));
    let with = |text: &str, mode: u32| {
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        read_secret(&path)
    };
    assert_eq!(with("s3cret\nmore", 0o600).unwrap(), "s3cret");
    for mode in [0o640, 0o604, 0o666] {
        let error = with("s3cret", mode).unwrap_err().to_string();
        assert!(error.contains("chmod 600") && !error.contains("s3cret"), "{error}");
    }
    assert!(with("", 0o600).unwrap_err().to_string().contains("the first line is empty"));
    assert!(with(&"x".repeat(2000), 0o600).unwrap_err().to_string().contains("longer"));
    std::fs::remove_file(&path).unwrap();
    assert!(read_secret(&path).unwrap_err().to_string().contains("No such file"));
    assert!(read_secret(&std::env::temp_dir()).unwrap_err().to_string().contains("not a regular file"));
}
