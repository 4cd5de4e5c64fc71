"""Bytes on sockets beyond HTTP/1.1: HTTP/2 connections, and what a rude peer may do on one."""
