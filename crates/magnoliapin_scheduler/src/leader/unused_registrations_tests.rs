//! Tests of what is remembered and logged about registrations that are not used.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::TargetName;

use super::UnusedReason;
use super::UnusedRegistrations;
use super::MAX_ANNOUNCEMENTS;
use super::MAX_LINES;
use super::MAX_REMEMBERED;

/// Guards against a log that other writers fill: entries that are written again and again, or very many.
#[test]
fn unused_registrations_are_logged_once_and_within_bounds() {
    let mut now = Moment::START;
    let mut unused = UnusedRegistrations::new(now);
    let name = TargetName::new("exporter-1");
    for _ in 0..1_000 {
        unused.note(&name, UnusedReason::LaterStart(UnixMillis(8)), now);
    }
    assert_eq!(unused.logged_lines, 1);
    unused.note(&name, UnusedReason::FutureStart(UnixMillis(9)), now);
    unused.forget(&name, "gone", now);
    unused.forget(&name, "gone", now);
    assert_eq!(unused.logged_lines, 3);
    for number in 0..2 * MAX_REMEMBERED {
        let name = TargetName::new(&format!("exporter-{number}"));
        unused.note(&name, UnusedReason::unreadable(&"x".repeat(100_000)), now);
    }
    assert_eq!(unused.logged_lines, MAX_LINES);
    assert_eq!(unused.omitted_lines, 2 * MAX_REMEMBERED as u64 + 3 - u64::from(MAX_LINES));
    assert_eq!(unused.reasons.len(), MAX_REMEMBERED);
    assert!(unused.reasons.values().all(|reason| reason.to_string().len() < 1_000));
    let announced = (0..2 * MAX_ANNOUNCEMENTS)
        .filter(|number| unused.may_announce(&TargetName::new(&format!("other-{number}")), now));
    assert_eq!(announced.count(), MAX_ANNOUNCEMENTS as usize);
    now = now + Duration::from_secs(1);
    unused.note(&name, UnusedReason::NeverAnswered, now);
    assert!(!unused.may_announce(&name, now) && unused.may_announce(&TargetName::new("i-1"), now));
    now = now + Duration::from_secs(1);
    unused.poll(now);
    assert_eq!((unused.logged_lines, unused.omitted_lines), (0, 0));
}
