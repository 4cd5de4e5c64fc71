"""HTTP/2 connections, and limits on the work that a misbehaving peer can cause on one."""
