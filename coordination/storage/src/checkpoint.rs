//! The encoding of a checkpoint in its slot file.
//!
//! | bytes | content                                               |
//! |-------|-------------------------------------------------------|
//! | 32    | hash of all following fields and the state            |
//! | 8     | generation                                            |
//! | 8     | number of records of the preceding log that it covers |
//! | 8     | length of the state                                   |
//! | ...   | the state; bytes of an older checkpoint may follow    |

const HASH_BYTES: usize = blake3::OUT_LEN;
/// Length of each number in the header.
const FIELD_BYTES: usize = 8;
/// Length of everything before the state.
const HEADER_BYTES: usize = HASH_BYTES + 3 * FIELD_BYTES;

/// A complete checkpoint read from a slot.
#[derive(Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// The number of the checkpoint, counted from 1.
    pub generation: u64,
    /// The number of records of the preceding log that the state covers. The preceding log has more records
    /// if this checkpoint was reported as failed and records were appended after it.
    pub covered_records: u64,
    /// The state of the state machine.
    pub state: Vec<u8>,
}

/// Encodes a checkpoint as the content of a slot.
pub fn encode(generation: u64, covered_records: u64, state: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + state.len());
    bytes.extend_from_slice(&[0; HASH_BYTES]);
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&covered_records.to_le_bytes());
    bytes.extend_from_slice(&(state.len() as u64).to_le_bytes());
    bytes.extend_from_slice(state);
    let hash = blake3::hash(&bytes[HASH_BYTES..]);
    bytes[..HASH_BYTES].copy_from_slice(hash.as_bytes());
    bytes
}

/// Decodes the checkpoint in a slot; `None` if it is not complete.
pub fn decode(slot: &[u8]) -> Option<Checkpoint> {
    let generation = header_field(slot, 0).filter(|&generation| generation > 0)?;
    let covered_records = header_field(slot, 1)?;
    let state_bytes = usize::try_from(header_field(slot, 2)?).ok()?;
    let end = HEADER_BYTES.checked_add(state_bytes)?;
    let hashed_bytes = slot.get(HASH_BYTES..end)?;
    if blake3::hash(hashed_bytes) != slot[..HASH_BYTES] {
        return None;
    }
    Some(Checkpoint { generation, covered_records, state: slot[HEADER_BYTES..end].to_vec() })
}

/// Decodes a number of the header by its index.
fn header_field(slot: &[u8], index: usize) -> Option<u64> {
    let start = HASH_BYTES + index * FIELD_BYTES;
    let bytes = slot.get(start..start + FIELD_BYTES)?;
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}
