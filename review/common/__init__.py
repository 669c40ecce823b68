"""Stand-ins that the cases of the review share; they use the standard library alone."""
