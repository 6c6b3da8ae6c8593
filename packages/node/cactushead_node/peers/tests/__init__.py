"""Tests of links; a package, so that wire types are registered once."""
