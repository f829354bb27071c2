"""Stand-ins of the review: a model runner, and what the scripts share."""
