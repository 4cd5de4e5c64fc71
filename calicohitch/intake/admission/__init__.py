"""Who may be connected, for how long, and what happens when there is not enough for all. No I/O in here."""
