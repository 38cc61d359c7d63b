//! The checks of the promises, one module each.

pub(crate) mod answer;
pub(crate) mod budget;
pub(crate) mod history;
pub(crate) mod leaving;
pub(crate) mod memory;
pub(crate) mod once;
pub(crate) mod order;
pub(crate) mod records;
pub(crate) mod refusal;
pub(crate) mod shutdown;
