"""Composition root: creates and connects the components of each role.

Explanation:
    There is one module per role, and `main` imports only that of the role to
    run, since an agent must not load the HTTP server and the validation of an
    entry.
"""
