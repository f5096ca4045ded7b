//! Compact encoding of the tasks of one record. Started tasks are sorted by attempt number,
//! which rises with time, and stored as columns of differences: these are small and take few
//! bytes. The bytes are base64 text, since records are JSON.

use crate::ids::{Attempt, Host};
use crate::sched::attempt_places::AttemptPlace;
use crate::time::WallTime;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use thiserror::Error;

/// Version of the encoding, in its first byte.
const VERSION: u8 = 1;
/// Maximum number of tasks in a record.
const MAX_TASKS: u64 = 1 << 17;

/// Why a compact record can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompactError {
    #[error("not base64 text")]
    Text,
    #[error("unsupported version")]
    Version,
    #[error("unexpected end")]
    Short,
    #[error("trailing bytes")]
    Long,
    #[error("number or name out of range")]
    Range,
}

/// A started task, numbered from the first of its record.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedTask {
    pub task: u32,
    pub attempt: Attempt,
    pub host: Host,
    pub placed: WallTime,
    pub place: Option<AttemptPlace>,
}

/// The tasks of one record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskRecord {
    /// Whether each task is done.
    pub done: Vec<bool>,
    /// Failures of each task that count towards the retry limit; empty if there are none.
    pub failures: Vec<u8>,
    /// Sorted by attempt.
    pub started: Vec<StartedTask>,
}

impl TaskRecord {
    /// Drops the places of the started tasks, to make the record smaller.
    pub fn forget_places(&mut self) {
        for s in &mut self.started {
            s.place = None;
        }
    }

    pub fn encode(&self) -> String {
        let mut started: Vec<&StartedTask> = self.started.iter().collect();
        started.sort_by_key(|s| (s.attempt, s.task));
        let mut out = Writer(vec![VERSION]);
        out.number(self.done.len() as u64);
        out.small_numbers(self.done.iter().map(|d| *d as u8));
        out.number(self.failures.len() as u64);
        out.small_numbers(self.failures.iter().copied());
        out.number(started.len() as u64);
        out.column(started.iter().map(|s| s.task as u64));
        out.column(started.iter().map(|s| s.attempt.0));
        out.column(started.iter().map(|s| s.placed.0));
        write_hosts(&mut out, &started);
        write_places(&mut out, &started);
        BASE64.encode(out.0)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// If the text is not what [`TaskRecord::encode`] wrote.
    pub fn decode(text: &str) -> Result<TaskRecord, CompactError> {
        let bytes = BASE64.decode(text).map_err(|_| CompactError::Text)?;
        let mut from = Reader(&bytes);
        if from.byte()? != VERSION {
            return Err(CompactError::Version);
        }
        let tasks = from.count()?;
        let done = from.small_numbers(tasks)?;
        let failing = from.count()?;
        let failures = from.small_numbers(failing)?;
        let count = from.count()?;
        let tasks = from.column(count)?;
        let attempts = from.column(count)?;
        let placed = from.column(count)?;
        let hosts = read_hosts(&mut from, count)?;
        let places = read_places(&mut from, count)?;
        if !from.0.is_empty() {
            return Err(CompactError::Long);
        }
        let mut started = Vec::with_capacity(count);
        for (i, (host, place)) in hosts.into_iter().zip(places).enumerate() {
            started.push(StartedTask {
                task: u32::try_from(tasks[i]).map_err(|_| CompactError::Range)?,
                attempt: Attempt(attempts[i]),
                host,
                placed: WallTime(placed[i]),
                place,
            });
        }
        Ok(TaskRecord {
            done: done.into_iter().map(|d| d != 0).collect(),
            failures,
            started,
        })
    }
}

/// The number in a host name of the usual form: `n-` and a number of six digits or more.
fn host_number(host: &Host) -> Option<u64> {
    let number: u64 = host.as_str().strip_prefix("n-")?.parse().ok()?;
    (usual_host(number) == host.as_str()).then_some(number)
}

fn usual_host(number: u64) -> String {
    format!("n-{number:06}")
}

/// Host names of another form come first. A host is then the index of such a name, or its
/// number offset by their count.
fn write_hosts(out: &mut Writer, started: &[&StartedTask]) {
    let mut unusual: Vec<&Host> = vec![];
    for s in started {
        if host_number(&s.host).is_none() && !unusual.contains(&&s.host) {
            unusual.push(&s.host);
        }
    }
    out.number(unusual.len() as u64);
    for name in &unusual {
        out.name(name.as_str());
    }
    let code = |host: &Host| match host_number(host) {
        Some(number) => number.wrapping_add(unusual.len() as u64),
        None => unusual.iter().position(|u| *u == host).unwrap_or(0) as u64,
    };
    out.column(started.iter().map(|s| code(&s.host)));
}

fn read_hosts(from: &mut Reader, count: usize) -> Result<Vec<Host>, CompactError> {
    let names = from.count()?;
    let mut unusual = vec![];
    for _ in 0..names {
        unusual.push(Host::from(from.name()?));
    }
    let host = |code: u64| match unusual.get(code as usize) {
        Some(name) if code < names as u64 => name.clone(),
        _ => Host::from(usual_host(code.wrapping_sub(names as u64)).as_str()),
    };
    Ok(from.column(count)?.into_iter().map(host).collect())
}

/// The distinct places come first; index 0 stands for an unknown place.
fn write_places(out: &mut Writer, started: &[&StartedTask]) {
    let mut places: Vec<&AttemptPlace> = vec![];
    let mut which = vec![];
    for s in started {
        let Some(place) = &s.place else {
            which.push(0);
            continue;
        };
        let known = places.iter().position(|p| *p == place);
        let at = known.unwrap_or(places.len());
        // Places beyond what a byte can index are stored as unknown.
        if at >= u8::MAX as usize {
            which.push(0);
            continue;
        }
        if known.is_none() {
            places.push(place);
        }
        which.push(at as u8 + 1);
    }
    out.number(places.len() as u64);
    for place in places {
        out.name(place.zone.as_str());
        out.name(place.build.as_str());
        out.0.push(place.spot as u8);
    }
    out.small_numbers(which.into_iter());
}

fn read_places(from: &mut Reader, count: usize) -> Result<Vec<Option<AttemptPlace>>, CompactError> {
    let mut places = vec![];
    for _ in 0..from.count()? {
        places.push(AttemptPlace {
            zone: from.name()?.into(),
            build: from.name()?.into(),
            spot: from.byte()? != 0,
        });
    }
    let which = from.small_numbers(count)?;
    let place = |at: u8| match at {
        0 => Ok(None),
        _ => match places.get(at as usize - 1) {
            Some(place) => Ok(Some(place.clone())),
            None => Err(CompactError::Range),
        },
    };
    which.into_iter().map(place).collect()
}

/// Encodings of a list of small numbers; the shortest is used.
#[derive(Clone, Copy)]
enum SmallNumbers {
    /// Run-length encoding: pairs of a number and its count.
    Runs = 0,
    /// One bit per number.
    Bits = 1,
    /// Four bits per number.
    Nibbles = 2,
    /// One byte per number.
    Bytes = 3,
}

/// The largest supported order of a Golomb code.
const MAX_ORDER: u32 = 40;

/// Length in bits of the exponential Golomb code of a number: the number plus 2 to the
/// `order` in binary, preceded by a zero for each of its digits after the first `order` + 1.
fn golomb_bits(n: u64, order: u32) -> u32 {
    let digits = u128::BITS - (n as u128 + (1 << order)).leading_zeros();
    2 * digits - 1 - order
}

/// The order with the shortest encoding of these numbers, searched around their mean number
/// of digits.
fn best_order(numbers: &[u64]) -> u32 {
    let digits = numbers.iter().map(|n| u64::BITS - n.leading_zeros());
    let mean = digits.sum::<u32>() / numbers.len().max(1) as u32;
    let bits = |order: &u32| -> u32 { numbers.iter().map(|n| golomb_bits(*n, *order)).sum() };
    let candidates = mean.saturating_sub(3)..=(mean + 2).min(MAX_ORDER);
    candidates.min_by_key(bits).unwrap_or(0)
}

/// Writes bits, the most significant of each byte first.
#[derive(Default)]
struct BitWriter {
    bytes: Vec<u8>,
    used: u32,
}

impl BitWriter {
    fn bit(&mut self, bit: bool) {
        if self.used.is_multiple_of(8) {
            self.bytes.push(0);
        }
        if let Some(last) = self.bytes.last_mut() {
            *last |= (bit as u8) << (7 - self.used % 8);
        }
        self.used += 1;
    }

    fn golomb(&mut self, n: u64, order: u32) {
        let shifted = n as u128 + (1 << order);
        let digits = u128::BITS - shifted.leading_zeros();
        for _ in order + 1..digits {
            self.bit(false);
        }
        for digit in (0..digits).rev() {
            self.bit(shifted >> digit & 1 == 1);
        }
    }

    fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

struct BitReader<'a> {
    bytes: &'a [u8],
    used: usize,
}

impl<'a> BitReader<'a> {
    fn new(bytes: &'a [u8]) -> BitReader<'a> {
        BitReader { bytes, used: 0 }
    }

    fn bit(&mut self) -> Result<bool, CompactError> {
        let byte = self.bytes.get(self.used / 8).ok_or(CompactError::Short)?;
        let bit = byte >> (7 - self.used % 8) & 1 == 1;
        self.used += 1;
        Ok(bit)
    }

    fn golomb(&mut self, order: u32) -> Result<u64, CompactError> {
        let mut digits = order + 1;
        while !self.bit()? {
            digits += 1;
            if digits > u64::BITS + 1 {
                return Err(CompactError::Range);
            }
        }
        let mut shifted = 1u128;
        for _ in 1..digits {
            shifted = shifted << 1 | self.bit()? as u128;
        }
        u64::try_from(shifted - (1 << order)).map_err(|_| CompactError::Range)
    }

    fn bytes_read(&self) -> usize {
        self.used.div_ceil(8)
    }
}

struct Writer(Vec<u8>);

impl Writer {
    /// Variable-length encoding: seven bits per byte, the least significant first.
    fn number(&mut self, mut n: u64) {
        while n >= 0x80 {
            self.0.push(n as u8 | 0x80);
            n >>= 7;
        }
        self.0.push(n as u8);
    }

    fn name(&mut self, name: &str) {
        self.number(name.len() as u64);
        self.0.extend(name.as_bytes());
    }

    /// Writes the first number, then the difference of each number to the one before,
    /// zigzag-encoded, in exponential Golomb codes of the order with the shortest encoding.
    fn column(&mut self, numbers: impl Iterator<Item = u64>) {
        let numbers: Vec<u64> = numbers.collect();
        let Some(first) = numbers.first() else { return };
        self.number(*first);
        let differences = numbers.windows(2).map(|pair| {
            let difference = pair[1].wrapping_sub(pair[0]) as i64;
            ((difference << 1) ^ (difference >> 63)) as u64
        });
        let differences: Vec<u64> = differences.collect();
        let order = best_order(&differences);
        self.0.push(order as u8);
        let mut out = BitWriter::default();
        for n in differences {
            out.golomb(n, order);
        }
        self.0.extend(out.finish());
    }

    fn small_numbers(&mut self, numbers: impl Iterator<Item = u8>) {
        let numbers: Vec<u8> = numbers.collect();
        let mut runs = Writer(vec![]);
        for run in numbers.chunk_by(|a, b| a == b) {
            runs.0.push(run[0]);
            runs.number(run.len() as u64);
        }
        let (form, width) = match numbers.iter().max() {
            Some(0..=1) | None => (SmallNumbers::Bits, 1),
            Some(0..=15) => (SmallNumbers::Nibbles, 4),
            _ => (SmallNumbers::Bytes, 8),
        };
        if runs.0.len() <= (numbers.len() * width).div_ceil(8) {
            self.0.push(SmallNumbers::Runs as u8);
            self.0.extend(runs.0);
            return;
        }
        self.0.push(form as u8);
        for group in numbers.chunks(8 / width) {
            let packed = group.iter().rev().fold(0u16, |b, n| b << width | *n as u16);
            self.0.push(packed as u8);
        }
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn byte(&mut self) -> Result<u8, CompactError> {
        let (first, rest) = self.0.split_first().ok_or(CompactError::Short)?;
        self.0 = rest;
        Ok(*first)
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], CompactError> {
        let (bytes, rest) = self.0.split_at_checked(n).ok_or(CompactError::Short)?;
        self.0 = rest;
        Ok(bytes)
    }

    fn number(&mut self) -> Result<u64, CompactError> {
        let mut n = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let bits = (byte & 0x7f) as u64;
            if bits << shift >> shift != bits {
                return Err(CompactError::Range);
            }
            n |= bits << shift;
            if byte < 0x80 {
                return Ok(n);
            }
        }
        Err(CompactError::Range)
    }

    /// Reads the number of entries of a list.
    fn count(&mut self) -> Result<usize, CompactError> {
        match self.number()? {
            n if n <= MAX_TASKS => Ok(n as usize),
            _ => Err(CompactError::Range),
        }
    }

    fn name(&mut self) -> Result<&'a str, CompactError> {
        let length = self.count()?;
        std::str::from_utf8(self.bytes(length)?).map_err(|_| CompactError::Range)
    }

    fn column(&mut self, count: usize) -> Result<Vec<u64>, CompactError> {
        if count == 0 {
            return Ok(vec![]);
        }
        let mut last = self.number()?;
        let mut numbers = vec![last];
        let order = self.byte()? as u32;
        if order > MAX_ORDER {
            return Err(CompactError::Range);
        }
        let mut bits = BitReader::new(self.0);
        for _ in 1..count {
            let n = bits.golomb(order)?;
            let difference = (n >> 1) as i64 ^ -((n & 1) as i64);
            last = last.wrapping_add(difference as u64);
            numbers.push(last);
        }
        self.bytes(bits.bytes_read())?;
        Ok(numbers)
    }

    fn small_numbers(&mut self, count: usize) -> Result<Vec<u8>, CompactError> {
        let width = match self.byte()? {
            f if f == SmallNumbers::Runs as u8 => return self.runs(count),
            f if f == SmallNumbers::Bits as u8 => 1,
            f if f == SmallNumbers::Nibbles as u8 => 4,
            f if f == SmallNumbers::Bytes as u8 => 8,
            _ => return Err(CompactError::Range),
        };
        let packed = self.bytes((count * width).div_ceil(8))?;
        let value_at = |i: usize| {
            let bit = i * width;
            let mask = (u8::MAX as u16 >> (8 - width)) as u8;
            packed[bit / 8] >> (bit % 8) & mask
        };
        Ok((0..count).map(value_at).collect())
    }

    fn runs(&mut self, count: usize) -> Result<Vec<u8>, CompactError> {
        let mut numbers = vec![];
        while numbers.len() < count {
            let n = self.byte()?;
            let run = self.count()?;
            if run == 0 || run > count - numbers.len() {
                return Err(CompactError::Range);
            }
            numbers.resize(numbers.len() + run, n);
        }
        Ok(numbers)
    }
}
