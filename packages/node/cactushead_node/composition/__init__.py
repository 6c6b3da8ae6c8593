"""Composition root: wires the parts of each role.

Explanation:
    One module per role, imported by `main` for the role that runs, since an
    agent must not load the HTTP server and the validation of an entry.
"""
