"""pearhead: a router fleet for language-model work with an index of kept prompt parts."""

PEARHEAD_RELEASE = "0.1.0"
