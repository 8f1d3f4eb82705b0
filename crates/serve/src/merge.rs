//! Selection of the records of an answer over many shards.

/// Length of one record; a shorter rest of a body is not a record.
pub const RECORD_BYTES: usize = 16;

/// The greatest `max_records` records of all bodies, greatest first. Equal records all count.
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
