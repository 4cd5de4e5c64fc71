"""Client connections: accepting them, reading their requests, and admission control."""
