//! State and tasks with the lifetime of one turn at its keeper.

pub mod claim;
mod commit;
pub mod plan;
pub mod program;
pub mod run;
pub mod submit;
pub mod upstream;
