"""gRPC passed through: the codec, the status table, routes, and the calls on both sides of the core.

Source: the published gRPC over HTTP/2 specification and its guides on status codes, retries and health.
"""
