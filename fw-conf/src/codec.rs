//! Codecs that parse, format and validate the values of each type of key.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

/// Why a value is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The text is not of the type.
    Type,
    /// The value lies outside the range.
    Range,
}

/// Parses, formats and validates the values of one key.
pub trait Codec {
    /// Type of the values.
    type Value: PartialEq;

    /// Name of the type, for the reference page.
    fn type_name(&self) -> &'static str;
    /// The allowed values, for error messages and the reference page.
    fn allowed(&self) -> String;
    /// Parses a value.
    ///
    /// # Errors
    ///
    /// When `text` is not of the type or not an allowed value.
    fn read(&self, text: &str) -> Result<Self::Value, Rejection>;
    /// Formats `value` so that [`Codec::read`] returns it.
    fn write(&self, value: &Self::Value) -> String;
    /// Whether `value` is allowed.
    fn accepts(&self, value: &Self::Value) -> bool {
        let read_back = self.read(&self.write(value));
        read_back.is_ok_and(|again| again == *value)
    }
}

fn check_range<T: PartialOrd>(range: &RangeInclusive<T>, value: T) -> Result<T, Rejection> {
    match range.contains(&value) {
        true => Ok(value),
        false => Err(Rejection::Range),
    }
}

/// Codec of integers and floating-point numbers.
#[derive(Clone, Debug)]
pub struct Number<T>(RangeInclusive<T>);

/// Numbers within `range`.
pub fn number<T>(range: RangeInclusive<T>) -> Number<T> {
    Number(range)
}

impl<T: PartialOrd + Display + FromStr> Codec for Number<T> {
    type Value = T;

    fn type_name(&self) -> &'static str {
        "number"
    }

    fn allowed(&self) -> String {
        format!("{} to {}", self.0.start(), self.0.end())
    }

    fn read(&self, text: &str) -> Result<T, Rejection> {
        match text.parse() {
            Ok(value) => check_range(&self.0, value),
            // An integer that does not fit the type is out of range rather than of another type.
            Err(_) if text.parse::<f64>().is_ok_and(|n| n.fract() == 0.0) => Err(Rejection::Range),
            Err(_) => Err(Rejection::Type),
        }
    }

    fn write(&self, value: &T) -> String {
        value.to_string()
    }
}

/// Units of durations, largest first, in microseconds.
const TIME_UNITS: &[(&str, u64)] = &[
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Units of sizes, largest first, in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Parses a whole number with a unit, such as `250ms`.
fn read_scaled(text: &str, units: &[(&str, u64)]) -> Result<u64, Rejection> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (count, unit) = text.split_at(digits);
    if count.is_empty() {
        return Err(Rejection::Type);
    }
    let unit = unit.trim_start();
    let found = units.iter().find(|(name, _)| *name == unit);
    let (_, scale) = found.ok_or(Rejection::Type)?;
    let count: u64 = count.parse().map_err(|_| Rejection::Range)?;
    count.checked_mul(*scale).ok_or(Rejection::Range)
}

/// Formats `amount` in the largest unit that divides it.
fn write_scaled(amount: u64, units: &[(&str, u64)]) -> String {
    let divides = |(_, scale): &&(&str, u64)| amount != 0 && amount.is_multiple_of(*scale);
    let smallest = units.len() - 1;
    let (unit, scale) = units.iter().find(divides).unwrap_or(&units[smallest]);
    format!("{}{unit}", amount / scale)
}

/// Codec of durations such as `250ms` or `3s`.
#[derive(Clone, Debug)]
pub struct Time(RangeInclusive<Duration>);

/// Durations within `range`.
pub fn time(range: RangeInclusive<Duration>) -> Time {
    Time(range)
}

impl Codec for Time {
    type Value = Duration;

    fn type_name(&self) -> &'static str {
        "duration"
    }

    fn allowed(&self) -> String {
        let (low, high) = (self.write(self.0.start()), self.write(self.0.end()));
        format!("{low} to {high} (units us, ms, s, min, h)")
    }

    fn read(&self, text: &str) -> Result<Duration, Rejection> {
        let micros = read_scaled(text, TIME_UNITS)?;
        check_range(&self.0, Duration::from_micros(micros))
    }

    fn write(&self, value: &Duration) -> String {
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        write_scaled(micros, TIME_UNITS)
    }
}

/// Codec of sizes such as `4MiB`.
#[derive(Clone, Debug)]
pub struct Size(RangeInclusive<usize>);

/// Sizes within `range`, in bytes.
pub fn size(range: RangeInclusive<usize>) -> Size {
    Size(range)
}

impl Codec for Size {
    type Value = usize;

    fn type_name(&self) -> &'static str {
        "size"
    }

    fn allowed(&self) -> String {
        let (low, high) = (self.write(self.0.start()), self.write(self.0.end()));
        format!("{low} to {high} (units B, KiB, MiB, GiB)")
    }

    fn read(&self, text: &str) -> Result<usize, Rejection> {
        let bytes = read_scaled(text, SIZE_UNITS)?;
        let bytes = usize::try_from(bytes).map_err(|_| Rejection::Range)?;
        check_range(&self.0, bytes)
    }

    fn write(&self, value: &usize) -> String {
        write_scaled(*value as u64, SIZE_UNITS)
    }
}

/// Codec of socket addresses, `ip:port`.
#[derive(Clone, Debug)]
pub struct Address;

impl Codec for Address {
    type Value = SocketAddr;

    fn type_name(&self) -> &'static str {
        "address"
    }

    fn allowed(&self) -> String {
        "ip:port, with a numeric IP address".to_owned()
    }

    fn read(&self, text: &str) -> Result<SocketAddr, Rejection> {
        text.parse().map_err(|_| Rejection::Type)
    }

    fn write(&self, value: &SocketAddr) -> String {
        value.to_string()
    }
}

/// Codec of URLs of the form `http://ip:port/path`.
#[derive(Clone, Debug)]
pub struct Url;

impl Codec for Url {
    type Value = SmolStr;

    fn type_name(&self) -> &'static str {
        "URL"
    }

    fn allowed(&self) -> String {
        "http://ip:port/path, with a numeric IP address".to_owned()
    }

    fn read(&self, text: &str) -> Result<SmolStr, Rejection> {
        let rest = text.strip_prefix("http://").ok_or(Rejection::Type)?;
        let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
        let is_path = path.bytes().all(|b| b.is_ascii_graphic());
        match address.parse::<SocketAddr>() {
            Ok(_) if is_path => Ok(text.into()),
            _ => Err(Rejection::Type),
        }
    }

    fn write(&self, value: &SmolStr) -> String {
        value.to_string()
    }
}

/// Codec of names of instances, places and services.
#[derive(Clone, Debug)]
pub struct Name;

impl Codec for Name {
    type Value = SmolStr;

    fn type_name(&self) -> &'static str {
        "name"
    }

    fn allowed(&self) -> String {
        let longest = fw_base::id::MAX_NAME;
        format!("1 to {longest} ASCII letters, digits and `-_.:`")
    }

    fn read(&self, text: &str) -> Result<SmolStr, Rejection> {
        match fw_base::id::is_valid_name(text) {
            true => Ok(text.into()),
            false => Err(Rejection::Range),
        }
    }

    fn write(&self, value: &SmolStr) -> String {
        value.to_string()
    }
}

/// Codec of booleans, `true` or `false`.
#[derive(Clone, Debug)]
pub struct Flag;

impl Codec for Flag {
    type Value = bool;

    fn type_name(&self) -> &'static str {
        "flag"
    }

    fn allowed(&self) -> String {
        "true or false".to_owned()
    }

    fn read(&self, text: &str) -> Result<bool, Rejection> {
        text.parse().map_err(|_| Rejection::Type)
    }

    fn write(&self, value: &bool) -> String {
        value.to_string()
    }
}

/// Codec of one of a fixed set of keywords.
#[derive(Clone, Debug)]
pub struct Choice<T: 'static>(&'static [(&'static str, T)]);

/// The values named by `words`, which must not be empty.
pub fn choice<T>(words: &'static [(&'static str, T)]) -> Choice<T> {
    Choice(words)
}

impl<T: Copy + PartialEq> Codec for Choice<T> {
    type Value = T;

    fn type_name(&self) -> &'static str {
        "word"
    }

    fn allowed(&self) -> String {
        let words: Vec<_> = self.0.iter().map(|(word, _)| *word).collect();
        words.join(", ")
    }

    fn read(&self, text: &str) -> Result<T, Rejection> {
        let found = self.0.iter().find(|(word, _)| *word == text);
        found.map(|(_, value)| *value).ok_or(Rejection::Range)
    }

    fn write(&self, value: &T) -> String {
        let found = self.0.iter().find(|(_, each)| each == value);
        found
            .map(|(word, _)| (*word).to_owned())
            .unwrap_or_default()
    }
}

/// Codec of one or more values separated by commas.
#[derive(Clone, Debug)]
pub struct List<C>(pub C);

impl<C: Codec> Codec for List<C> {
    type Value = Vec<C::Value>;

    fn type_name(&self) -> &'static str {
        "list"
    }

    fn allowed(&self) -> String {
        format!(
            "one or more, separated by commas, each {}",
            self.0.allowed()
        )
    }

    fn read(&self, text: &str) -> Result<Self::Value, Rejection> {
        text.split(',')
            .map(|item| self.0.read(item.trim()))
            .collect()
    }

    fn write(&self, value: &Self::Value) -> String {
        let items: Vec<_> = value.iter().map(|item| self.0.write(item)).collect();
        items.join(", ")
    }
}

/// Codec of a value that may be omitted.
#[derive(Clone, Debug)]
pub struct Optional<C> {
    /// Codec of the value if it is given.
    pub codec: C,
    /// Meaning of an omitted value, for the reference page.
    pub absent: &'static str,
}

impl<C: Codec> Codec for Optional<C> {
    type Value = Option<C::Value>;

    fn type_name(&self) -> &'static str {
        self.codec.type_name()
    }

    fn allowed(&self) -> String {
        self.codec.allowed()
    }

    fn read(&self, text: &str) -> Result<Self::Value, Rejection> {
        self.codec.read(text).map(Some)
    }

    fn write(&self, value: &Self::Value) -> String {
        match value {
            Some(value) => self.codec.write(value),
            None => self.absent.to_owned(),
        }
    }

    fn accepts(&self, value: &Self::Value) -> bool {
        let given = value.as_ref();
        given.is_none_or(|value| self.codec.accepts(value))
    }
}
