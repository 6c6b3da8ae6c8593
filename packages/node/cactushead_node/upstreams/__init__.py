"""HTTP client for upstreams and the sample upstream."""
