"""Service document of the sample upstream."""

SAMPLE_SERVICE = 'sample'
SAMPLE_DOCUMENT = b"""{
  "service": "sample",
  "version": 1,
  "team": "sample",
  "upstreams": {},
  "limits": {},
  "requests": {
    "echo": {"repeatable": true},
    "book": {"repeatable": false}
  }
}
"""
