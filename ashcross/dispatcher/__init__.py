"""The dispatcher: passes batches of events to the scheduler and executes its actions."""
