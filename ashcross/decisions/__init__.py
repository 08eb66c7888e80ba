"""Scheduling decisions of one dispatcher: events in, actions out, without I/O and without a clock.

`scheduler` is the entry point and routes each event to the other modules. The operators require seven rules,
to which comments refer by number. The rules, with the modules and functions that enforce each:

1. One final answer: `final_answers`, `admission.has_time_left`, `dispatch_queue.end_expired`.
2. No effect happens twice: `send_rules`, `retries`, `placement.keeps_deduplication_scope`.
3. Drains kept (a draining engine gets no new attempts): `engine_table`, `endpoint_watch`.
4. Slow-start budget (bounded work for a starting engine): `slow_start`.
5. Ordering (requests of one ordering key run one at a time): `ordering`.
6. Placement (zones and engine kinds that a class may use): `placement.is_allowed`.
7. Retry budget (bounded retries in a time window): `retries.RetryBudget`.
"""
