//! The table of registers: a sorted vector, or bucket, for each hour in which keys were issued.
//!
//! Most new keys were issued recently, so insertions are near the end of the
//! last buckets. A whole bucket is dropped when its hour is expired.

use crate::journal::Register;
use crate::key::Key;
use shallotrill_model::time;

/// Length of a bucket in milliseconds.
pub const BUCKET_MS: u64 = 3_600_000;

/// Number of the bucket that holds the keys issued at `time`: hours since the epoch of the wall clock.
pub const fn hour(time: time::Wall) -> u64 {
    time.0 / BUCKET_MS
}

#[derive(Clone, Debug)]
struct Bucket {
    hour: u64,
    registers: Vec<Register>,
}

impl Bucket {
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.registers.binary_search_by(|r| r.key.cmp(key))
    }
}

/// All registers of an acceptor.
#[derive(Clone, Debug, Default)]
pub struct Table {
    buckets: Vec<Bucket>,
    bytes: usize,
}

impl Table {
    /// The register of a key; `None` if the key is not in the table.
    pub fn get(&self, key: &Key) -> Option<&Register> {
        let bucket = &self.buckets[self.find(hour(key.time())).ok()?];
        bucket.registers.get(bucket.find(key).ok()?)
    }

    /// Changes the register of a key in place; adds an empty register first if there is none.
    pub fn change(&mut self, key: &Key, change: impl FnOnce(&mut Register)) {
        let bucket = self.bucket(hour(key.time()));
        let mut added = 0;
        let index = bucket.find(key).unwrap_or_else(|index| {
            let register = Register::new(key.clone());
            added = register.bytes();
            bucket.registers.insert(index, register);
            index
        });
        let register = &mut bucket.registers[index];
        let before = register.bytes();
        change(register);
        let after = register.bytes();
        self.bytes = self.bytes + added + after - before;
    }

    /// Drops all buckets that end at or before `horizon`.
    pub fn expire_keys_before(&mut self, horizon: time::Wall) {
        let expired_count = self.buckets.partition_point(|b| b.hour < hour(horizon));
        for bucket in self.buckets.drain(..expired_count) {
            self.bytes -= bucket.registers.iter().map(Register::bytes).sum::<usize>();
        }
    }

    /// The registers after `key` in the order of keys; all registers for `None`.
    pub fn after<'table>(
        &'table self,
        key: Option<&'table Key>,
    ) -> impl Iterator<Item = &'table Register> {
        let first = key.map_or(0, |key| {
            let hour = hour(key.time());
            self.buckets.partition_point(|bucket| bucket.hour < hour)
        });
        self.buckets[first..].iter().flat_map(move |bucket| {
            let skip = key.map_or(0, |key| bucket.registers.partition_point(|r| r.key <= *key));
            &bucket.registers[skip..]
        })
    }

    /// Number of registers.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|b| b.registers.len()).sum()
    }

    /// Whether the table holds no register.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Estimated memory use of the registers.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bucket of an hour, added if there is none.
    fn bucket(&mut self, hour: u64) -> &mut Bucket {
        let index = match self.find(hour) {
            Ok(index) => index,
            Err(index) => {
                let registers = Vec::new();
                self.buckets.insert(index, Bucket { hour, registers });
                index
            }
        };
        &mut self.buckets[index]
    }

    fn find(&self, hour: u64) -> Result<usize, usize> {
        self.buckets.binary_search_by_key(&hour, |b| b.hour)
    }
}
