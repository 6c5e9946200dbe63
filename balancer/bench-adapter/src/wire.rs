//! Reading of records: little-endian fields one after the other, each fault named by record and field.

pub struct Reader<'a> {
    record: &'static str,
    rest: &'a [u8],
}

macro_rules! number {
    ($name:ident) => {
        pub fn $name(&mut self, field: &str) -> Result<$name, String> {
            let bytes = self.bytes(field, size_of::<$name>())?;
            Ok($name::from_le_bytes(bytes.try_into().map_err(|_| self.short(field))?))
        }
    };
}

impl<'a> Reader<'a> {
    pub fn new(record: &'static str, rest: &'a [u8]) -> Self {
        Reader { record, rest }
    }

    number!(u8);
    number!(u16);
    number!(u32);
    number!(u64);
    number!(f32);

    pub fn bytes(&mut self, field: &str, size: usize) -> Result<&'a [u8], String> {
        let (taken, rest) = self.rest.split_at_checked(size).ok_or_else(|| self.short(field))?;
        self.rest = rest;
        Ok(taken)
    }

    /// An address and a port, kept as they came.
    pub fn upstream(&mut self) -> Result<[u8; 6], String> {
        self.bytes("upstream", 6)?.try_into().map_err(|_| self.short("upstream"))
    }

    pub fn done(&self) -> Result<(), String> {
        if self.rest.is_empty() {
            return Ok(());
        }
        Err(format!("{}: {} bytes after the last field", self.record, self.rest.len()))
    }

    fn short(&self, field: &str) -> String {
        format!("{}: cut short in field {field}", self.record)
    }
}
