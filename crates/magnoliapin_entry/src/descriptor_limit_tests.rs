//! Parsing of the descriptor limit in the format of Linux.

use super::parse_limit;

#[test]
fn parses_the_soft_limit() {
    let text = "Limit                     Soft Limit           Hard Limit           Units     \n\
                Max processes             63000                63000                processes \n\
                Max open files            1024                 524288               files     \n";
    assert_eq!(parse_limit(text), Some(1_024));
    assert_eq!(parse_limit(&text.replace("1024 ", "unlimited ")), None);
    assert_eq!(parse_limit(""), None);
}
