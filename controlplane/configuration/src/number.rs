//! Numbers as they appear in JSON documents.

use std::str::Chars;

use nanoserde::{DeJson, DeJsonErr, DeJsonState, DeJsonTok};

/// The least number above the range of a `WholeNumber`: 2^64.
const OUT_OF_RANGE: f64 = 18_446_744_073_709_551_616.0;

/// A non-negative integer. `5.0` is read as 5.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WholeNumber(pub u64);

/// A duration or another amount, rounded up to whole units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RoundedUp(pub u64);

impl WholeNumber {
    /// The number, or the highest one that the type can hold.
    pub fn saturated<T: TryFrom<u64> + Bounded>(self) -> T {
        T::try_from(self.0).unwrap_or(T::HIGHEST)
    }
}

/// An integer type with its highest value.
pub(crate) trait Bounded {
    /// The highest value.
    const HIGHEST: Self;
}

impl Bounded for u8 {
    const HIGHEST: u8 = u8::MAX;
}

impl Bounded for u32 {
    const HIGHEST: u32 = u32::MAX;
}

impl Bounded for usize {
    const HIGHEST: usize = usize::MAX;
}

impl DeJson for WholeNumber {
    fn de_json(state: &mut DeJsonState, input: &mut Chars) -> Result<Self, DeJsonErr> {
        let value = match state.tok {
            DeJsonTok::U64(value) => value,
            DeJsonTok::I64(0) => 0,
            DeJsonTok::F64(value) if value.fract() == 0.0 && (0.0..OUT_OF_RANGE).contains(&value) => {
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
