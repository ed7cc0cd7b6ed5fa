"""What a play came to: JSON for programs (`data`), one HTML file for people (`page`)."""
