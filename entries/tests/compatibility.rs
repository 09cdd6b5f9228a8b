//! Compatibility with stored data. The texts in `fixtures/` were written by the build before the identifiers were
//! renamed, with its digests in their first lines. They must be read to the same versions with the same digests, and be
//! written again byte for byte.

use asterrill_entries::{
    read_configuration, read_step, write_configuration, write_step, Configuration, Digest, Step,
};

const WIRE_EXAMPLE: &str = include_str!("fixtures/wire-example.version");
const SHARED_UPSTREAM: &str = include_str!("fixtures/shared-upstream.version");
const STEP: &str = include_str!("fixtures/wire-example-to-shared-upstream.step");
const PARTIAL_STEP: &str = include_str!("fixtures/partial.step");
const PARTIAL_STEP_REWRITTEN: &str = include_str!("fixtures/partial.rewritten.step");

fn write_with_digest(configuration: &Configuration) -> String {
    let mut text = format!("{{\"hash\":\"{}\"}}\n", configuration.digest());
    write_configuration(configuration, &mut text).unwrap();
    text
}

#[test]
fn rewrites_stored_versions_unchanged() {
    let digests = [
        (WIRE_EXAMPLE, "3f0ae962b05b6862b25b29001a73ccfc"),
        (SHARED_UPSTREAM, "474a6ade5eb10ec2e6f826b8fa118214"),
    ];
    for (text, digest) in digests {
        let configuration = read_configuration(text).unwrap();
        assert_eq!(configuration.digest(), digest.parse::<Digest>().unwrap());
        assert_eq!(write_with_digest(&configuration), text);
    }
}

#[test]
fn applies_and_rewrites_a_stored_step_unchanged() {
    let [from, to] = [WIRE_EXAMPLE, SHARED_UPSTREAM].map(|text| read_configuration(text).unwrap());
    let step = read_step(STEP, &from).unwrap();
    assert_eq!((step.base, step.hash), (Some(7), Some(from.digest())));
    assert_eq!(write_step(&step), STEP);
    assert_eq!(from.apply(&step.changes).unwrap(), to);
    assert_eq!(from.changes_to(&to), step.changes);
}

#[test]
fn completes_a_stored_partial_step_as_before() {
    let base = read_configuration(SHARED_UPSTREAM).unwrap();
    let step = read_step(PARTIAL_STEP, &base).unwrap();
    let next = base.apply(&step.changes).unwrap();
    let rewritten = Step { base: step.base, hash: Some(next.digest()), changes: step.changes };
    assert_eq!(write_step(&rewritten), PARTIAL_STEP_REWRITTEN);
}
