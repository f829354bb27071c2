"""Settings shared by every test of the workspace."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "long", deadline=None, max_examples=2000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
