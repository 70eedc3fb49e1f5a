"""Development stand-ins, load tool and experiments."""
