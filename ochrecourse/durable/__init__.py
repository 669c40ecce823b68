"""Records that survive crashes."""
