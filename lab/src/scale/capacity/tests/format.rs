//! Tests of `format.rs`.

use super::*;

#[test]
fn numbers_are_rounded_to_significant_digits() {
    for (value, text) in [
        (0.0, "0"),
        (53_700.4, "53,700"),
        (445.2, "445"),
        (14.0, "14"),
        (7.5, "7.5"),
        (0.0256, "0.026"),
        (-1_234.0, "-1,234"),
    ] {
        assert_eq!(format_number(value), text);
    }
}
