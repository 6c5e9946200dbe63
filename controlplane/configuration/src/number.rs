//! Numbers as they appear in JSON documents.

use std::str::Chars;

use nanoserde::{DeJson, DeJsonErr, DeJsonState, DeJsonTok};

/// 2^64, the smallest integer that doesn't fit into a `u64`.
const U64_RANGE_END: f64 = 18_446_744_073_709_551_616.0;

/// A non-negative integer. `5.0` is parsed as 5.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WholeNumber(pub u64);

/// A non-negative number, rounded up to an integer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RoundedUp(pub u64);

impl WholeNumber {
    /// Converts to another integer type; a number that is too large becomes the maximum of that type.
    pub fn saturating_convert<T: TryFrom<u64> + Bounded>(self) -> T {
        T::try_from(self.0).unwrap_or(T::MAX_VALUE)
    }
}

/// An integer type with a maximum value.
pub(crate) trait Bounded {
    /// The maximum value of the type.
    const MAX_VALUE: Self;
}

impl Bounded for u8 {
    const MAX_VALUE: u8 = u8::MAX;
}

impl Bounded for u32 {
    const MAX_VALUE: u32 = u32::MAX;
}

impl Bounded for usize {
    const MAX_VALUE: usize = usize::MAX;
}

impl DeJson for WholeNumber {
    fn de_json(state: &mut DeJsonState, input: &mut Chars) -> Result<Self, DeJsonErr> {
        let value = match state.tok {
            DeJsonTok::U64(value) => value,
            DeJsonTok::I64(0) => 0,
            DeJsonTok::F64(value) if value.fract() == 0.0 && (0.0..U64_RANGE_END).contains(&value) => {
                value as u64
            }
            _ => return Err(state.err_token("a whole number that is not negative and below 2^64")),
        };
        state.next_tok(input)?;
        Ok(WholeNumber(value))
    }
}

impl DeJson for RoundedUp {
    fn de_json(state: &mut DeJsonState, input: &mut Chars) -> Result<Self, DeJsonErr> {
        let value = match state.tok {
            DeJsonTok::U64(value) => value,
            DeJsonTok::I64(0) => 0,
            DeJsonTok::F64(value) if value >= 0.0 => value.ceil() as u64,
            _ => return Err(state.err_token("a number that is not negative")),
        };
        state.next_tok(input)?;
        Ok(RoundedUp(value))
    }
}
