//! The record of a scene: one line for each thing sent, answered, run or done, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file. Without it there is nothing to report, so a failure ends the program.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|err| {
            eprintln!("cannot write {}: {err}", path.display());
            std::process::exit(2);
        });
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Time since the start of the scene.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now().as_secs_f64());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
