"""`python -m calicohitch`."""

import signal
import sys

# Guards a start against SIGHUP, whose default is to end the process: it stays pending until `serve` listens.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from .commands import main  # noqa: E402

sys.exit(main())
