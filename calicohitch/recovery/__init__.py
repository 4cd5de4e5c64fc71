"""Coming back: who owns the folder, what of it is whole, what is stored and believed, and the pace of a return."""
