//! Merges the records of the shards of a gather query.

/// Length of one record. A shorter rest at the end of a body is ignored.
pub const RECORD_BYTES: usize = 16;

/// The `max_records` greatest records of all bodies, greatest first. Equal records are all kept.
pub fn merge_records<'a, I>(bodies: I, max_records: usize) -> Vec<u8>
where
    I: Iterator<Item = &'a [u8]>,
{
    let mut records: Vec<&[u8]> = bodies.flat_map(|body| body.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > max_records && max_records > 0 {
        records.select_nth_unstable_by(max_records - 1, |a, b| b.cmp(a));
    }
    records.truncate(max_records);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
