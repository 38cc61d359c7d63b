//! Measures the slopes behind `docs/CAPACITY.md`: each role's memory, processor time and bytes on
//! the wire at four sizes or more, extrapolated to the design size.
//!
//!     cargo run --release -p fw-local --example capacity

mod keeper;
mod process;
mod records;
mod slope;
mod upstreams;
mod wire;

fn main() {
    println!("| role | what | sizes | slope | at the size to design for |");
    println!("|---|---|---|---|---|");
    let tables = [
        upstreams::measure(),
        keeper::measure(),
        wire::measure(),
        records::measure(),
    ];
    for row in tables.iter().flatten() {
        println!("{row}");
    }
}
