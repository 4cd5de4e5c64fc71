"""How clients come in: connections, what they send, and who of them is let in."""
