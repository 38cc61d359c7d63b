//! INI settings of both programs, every key checked.
