//! `serve`: an entry.

use getopts::Matches;

use super::Failed;
use super::error;
use super::exit;
use super::io;
use crate::logs;
use crate::serve;

pub(super) fn run(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let settings = super::entry_settings(&matches.free[0])?;
    logs::start(&settings.log);
    super::block_on(until_told(settings, io))
}

/// Runs the entry until a signal. A second signal ends the process without waiting for what is
/// under way.
async fn until_told(
    settings: fw_conf::entry::Settings,
    io: &mut io::Io<'_>,
) -> Result<exit::Exit, error::Error> {
    let what = "the entry does not run";
    let first = serve::stop_signal().whatever_failed(what)?;
    let (told_tx, told_rx) = tokio::sync::oneshot::channel();
    let stop = async {
        first.await;
        // The receiver is waiting below.
        let _ = told_tx.send(());
    };
    let second = async {
        // Without a first signal there is no second one.
        if told_rx.await.is_err() {
            std::future::pending::<()>().await;
        }
        match serve::stop_signal() {
            Ok(signal) => signal.await,
            Err(_) => std::future::pending().await,
        }
    };
    let running = serve::run(settings, serve::recorder(), |_| (), stop);
    tokio::select! {
        stopped = running => match stopped.whatever_failed(what)?.drained {
            true => Ok(exit::Exit::Success),
            false => {
                io.note("stopped with work under way: the drain timeout passed");
                Ok(exit::Exit::Failure)
            }
        },
        () = second => {
            io.note("stopped at once by a second signal");
            Ok(exit::Exit::Failure)
        }
    }
}
