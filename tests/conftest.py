"""Settings of all tests."""

import hypothesis

# Durations are not what these tests check, and a busy machine may stop the process for
# seconds.
hypothesis.settings.register_profile("untimed", deadline=None)
hypothesis.settings.load_profile("untimed")
