"""gRPC pass-through: codec, status table, routes, and the calls from clients and to endpoints.

Source: the published gRPC over HTTP/2 specification and its guides on status codes, retries and health.
"""
