"""`python -m calicohitch`."""

import signal
import sys

# Guards a start against signals whose default is to end the process: they stay pending until `serve` listens, and a
# stop is then a clean one. Other commands can be ended at any time.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
if "serve" in sys.argv[1:]:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})

from .commands import main  # noqa: E402

sys.exit(main())
