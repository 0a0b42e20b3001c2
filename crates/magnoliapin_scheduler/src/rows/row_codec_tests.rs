//! Tests of values in several rows and of jobs with a stored input.

use magnoliapin_model::ByteSize;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::StoredInput;
use magnoliapin_site::UploadId;

use super::decode;
use super::decode_job;
use super::encode;
use super::encode_job;
use super::join_pieces;
use super::split_value;
use crate::rows::JobRow;
use crate::rows::JobRule;

fn job_row() -> JobRow {
    JobRow {
        spec: JobSpec::default(),
        queue: QueueName::new("q"),
        pool: PoolName::new("p"),
        rule: JobRule::new(&QueueRule::default()),
        team: None,
        accepted_at: UnixMillis(7),
    }
}

/// Guards against pieces that are larger than a row, or joined in another order.
#[test]
fn a_split_value_is_joined() {
    let value: Vec<u8> = std::iter::once(1).chain((0..100_000).map(|byte| byte as u8)).collect();
    for max_bytes in [64, 1_000, 99_999, 100_001, 200_000] {
        let pieces = split_value(value.clone(), max_bytes);
        assert!(pieces.iter().all(|piece| piece.len() <= max_bytes), "{max_bytes}");
        let further: Vec<&[u8]> = pieces[1..].iter().map(Vec::as_slice).collect();
        let count = pieces.len() as u32 - 1;
        assert_eq!(join_pieces(&pieces[0], &further), Some((value.clone(), count)));
        // Pieces of an earlier, longer value may follow.
        let longer = [&further[..], &[&[9, 9][..]]].concat();
        assert_eq!(join_pieces(&pieces[0], &longer), Some((value.clone(), count)));
        if count > 0 {
            assert_eq!(join_pieces(&pieces[0], &further[1..]), None);
        }
    }
}

/// Guards against programs of the version before that would run a job without its input.
#[test]
fn jobs_with_a_stored_input_are_unreadable_for_earlier_versions() {
    let row = job_row();
    let input = StoredInput {
        upload: UploadId(5),
        pieces: 2,
        size: ByteSize(60_000),
        version: RowVersion(9),
    };
    let encoded = encode_job(&row, Some(&input));
    assert_eq!(decode::<JobRow>(&encoded), None);
    assert_eq!(decode_job(&encoded), Some((row.clone(), Some(input))));
    assert_eq!(decode_job(&encode(&row)), Some((row.clone(), None)));
    assert_eq!(encode_job(&row, None), encode(&row));
}
