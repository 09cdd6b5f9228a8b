//! Deployment files are read into the same versions, with the same digests, as by the build before identifiers were renamed,
//! which wrote the fixtures.

use asterrill_entries::write_configuration;
use asterrill_settings::Deployment;

#[test]
fn reads_deployment_files_into_the_same_versions() {
    let fixtures = [
        (
            include_str!("../../entries/tests/fixtures/wire-example.json"),
            include_str!("../../entries/tests/fixtures/wire-example.version"),
        ),
        (
            include_str!("../../entries/tests/fixtures/shared-upstream.json"),
            include_str!("../../entries/tests/fixtures/shared-upstream.version"),
        ),
    ];
    for (json, version) in fixtures {
        for deployment in
            [Deployment::from_json(json).unwrap(), Deployment::from_reader(json.as_bytes(), None).unwrap()]
        {
            let mut text = format!("{{\"hash\":\"{}\"}}\n", deployment.configuration.digest());
            write_configuration(&deployment.configuration, &mut text).unwrap();
            assert_eq!(text, version);
            assert_eq!((deployment.memory_mb, deployment.sockets), (96, 512));
            assert_eq!((deployment.seed, deployment.shutdown_grace), (0xff, 900_000));
        }
    }
}
