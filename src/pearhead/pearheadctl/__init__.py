"""The `pearheadctl` command line of the operators."""
