//! A binary logarithm in integer arithmetic, which gives the same result on every machine.

const SEGMENTS: usize = 256;
const FRACTION_BITS: u32 = 32;

/// `log2(1 + i / SEGMENTS)` with [`FRACTION_BITS`] fractional bits.
const TABLE: [u64; SEGMENTS + 1] = table();

const fn table() -> [u64; SEGMENTS + 1] {
    let mut out = [0u64; SEGMENTS + 1];
    let mut i = 0;
    while i < SEGMENTS {
        let mut x = ((SEGMENTS + i) as u128) << 55; // fixed point: 1.0 is 2^63
        let mut log = 0u64;
        let mut bit = FRACTION_BITS;
        while bit > 0 {
            bit -= 1;
            x = (x * x) >> 63;
            if x >> 64 != 0 {
                x >>= 1;
                log |= 1 << bit;
            }
        }
        out[i] = log;
        i += 1;
    }
    out[SEGMENTS] = 1 << FRACTION_BITS;
    out
}

/// `-log2(hash / 2^64)` with 56 fractional bits, interpolated linearly between the values of
/// [`TABLE`]. The lower 24 bits are zero; they keep values apart when the result is divided by
/// a weight.
pub(super) fn negative_log2(hash: u64) -> u64 {
    let x = hash | 1;
    let zeros = x.leading_zeros();
    let mantissa = (x << zeros) << 1;
    let segment = (mantissa >> 56) as usize;
    let rest = (mantissa >> 24) & 0xffff_ffff;
    let step = TABLE[segment + 1] - TABLE[segment];
    let log = TABLE[segment] + ((step * rest) >> 32);
    let whole = u64::from(zeros + 1) << FRACTION_BITS;
    (whole - log) << 24
}
