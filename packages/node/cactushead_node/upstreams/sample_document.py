"""The document of the service that the sample upstream serves."""

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
