//! `serve`: runs an entry.

use getopts::Matches;

use super::OrFail;
use super::error;
use super::exit;
use super::io;
use crate::logs;
use crate::serve;

pub(super) fn run(matches: &Matches, io: &mut io::Io<'_>) -> Result<exit::Exit, error::Error> {
    let settings = super::entry_settings(&matches.free[0])?;
    logs::init(&settings.log);
    super::block_on(run_until_signal(settings, io))
}

/// Runs the entry until a signal, then drains it. A second signal ends the process without waiting
/// for calls under way.
async fn run_until_signal(
    settings: fw_conf::entry::Settings,
    io: &mut io::Io<'_>,
) -> Result<exit::Exit, error::Error> {
    let context = "the entry failed";
    let first = serve::stop_signal().or_fail(context)?;
    let (first_tx, first_rx) = tokio::sync::oneshot::channel();
    let stop = async {
        first.await;
        // The receiver lives until the `select!` below ends.
        let _ = first_tx.send(());
    };
    let second = async {
        // The sender was dropped without a first signal, so there is no second one to wait for.
        if first_rx.await.is_err() {
            std::future::pending::<()>().await;
        }
        match serve::stop_signal() {
            Ok(signal) => signal.await,
            Err(_) => std::future::pending().await,
        }
    };
    let running = serve::run(settings, serve::recorder(), |_| (), stop);
    tokio::select! {
        stopped = running => match stopped.or_fail(context)?.drained {
            true => Ok(exit::Exit::Success),
            false => {
                io.report("stopped with work under way: the drain timeout passed");
                Ok(exit::Exit::Failure)
            }
        },
        () = second => {
            io.report("stopped at once by a second signal");
            Ok(exit::Exit::Failure)
        }
    }
}
