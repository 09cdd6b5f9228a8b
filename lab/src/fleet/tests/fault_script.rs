//! Tests of `fault_script.rs`.

use super::*;

#[test]
fn parses_printed_faults_and_reports_the_line_of_an_invalid_fault() {
    let text = "6000 kill n0,n2\n6100 state n0 swap n1\n6200 state n2 old\n6250 state n2 full\n6300 start n0,n1,n2\n\
                7000 below gone\n7100 below back 0.33\n7200 agent n1 hang\n7250 agent n0,n1 delay 20\n7260 naming gone\n7300 callers reconnect\n\
                7400 net split n0|n1,n2\n7500 net mute n0\n7600 net lossy 15\n7700 net heal\n7800 net flood n2\n";
    let faults = parse(text, 3).unwrap();
    let printed: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
    assert_eq!(printed, text);
    assert_eq!(parse("1 pause all # a comment", 4).unwrap()[0].nodes, [0, 1, 2, 3]);
    for invalid in ["kill n0", "5 kill n9", "5 below back 0", "5 state n0 gone"] {
        assert!(parse(invalid, 3).unwrap_err().to_string().contains("line 1"), "{invalid}");
    }
}
