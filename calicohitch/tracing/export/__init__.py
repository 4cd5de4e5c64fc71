"""Where kept traces go: a collector, a file, the log. Each way has its own bounded queue and its own troubles."""
