"""Who is in the fleet: leases, epochs, and who holds copies for whom, in a coordination store. Off unless switched
on."""
