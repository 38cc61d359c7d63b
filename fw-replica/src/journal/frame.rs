//! Frame of a record in a segment: the length of its payload, a checksum, and the payload in
//! postcard encoding.

use std::io::{self, Read};

use xxhash_rust::xxh3;

use crate::record;

/// Bytes before each payload: its length and its checksum.
pub const HEADER_LEN: u32 = 12;

/// Appends the frame of `record` to `buf`; returns the length of the payload.
///
/// # Errors
///
/// When the record cannot be encoded; `buf` is then unchanged.
pub fn encode(record: &record::Record, buf: &mut Vec<u8>) -> Result<u32, postcard::Error> {
    let payload = postcard::to_stdvec(record)?;
    let len = u32::try_from(payload.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&xxh3::xxh3_64(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(len)
}

/// Reads the payload of the next frame into `payload`; `false` if there is no complete frame.
///
/// `left` is the number of bytes up to the end of the file, so that a torn length allocates no
/// memory.
///
/// # Errors
///
/// When the disk fails.
pub fn read(reader: &mut impl Read, left: u64, payload: &mut Vec<u8>) -> io::Result<bool> {
    if left < u64::from(HEADER_LEN) {
        return Ok(false);
    }
    let (mut len, mut sum) = ([0; 4], [0; 8]);
    reader.read_exact(&mut len)?;
    reader.read_exact(&mut sum)?;
    let len = u32::from_le_bytes(len);
    if len == 0 || u64::from(len) > left - u64::from(HEADER_LEN) {
        return Ok(false);
    }
    payload.resize(len as usize, 0);
    reader.read_exact(payload)?;
    Ok(xxh3::xxh3_64(payload) == u64::from_le_bytes(sum))
}
