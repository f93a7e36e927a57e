"""pearhead: a fleet of routers for language model inference, with an index of the prompt parts that workers cache."""

PEARHEAD_RELEASE = "0.1.0"
