"""Recovery after a start: ownership of the state folder, journal repair, cached state, and the phases of recovery."""
