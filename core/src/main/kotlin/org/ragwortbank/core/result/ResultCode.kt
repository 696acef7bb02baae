package org.ragwortbank.core.result

/**
 * Numbered error codes that callers and operators see; docs/ERRORS.md lists them.
 *
 * @property number number that never changes: 1xxx request, 2xxx limits, 3xxx capacity, 4xxx execution
 * @property status HTTP status of the response that carries the code
 * @property meaning one sentence for the table in docs/ERRORS.md
 */
enum class ResultCode(val number: Int, val status: Int, val meaning: String) {
    MALFORMED_REQUEST(number = 1001, status = 400, "The request can't be parsed or lacks a required field."),
    KEY_MISSING(number = 1002, status = 401, "The route needs a key and none came with the request."),
    KEY_UNKNOWN(number = 1003, status = 401, "The key was never given or has been withdrawn."),
    ROUTE_UNKNOWN(number = 1004, status = 404, "No route has this name."),
    ROUTE_FORBIDDEN(number = 1005, status = 403, "The key's account may not use this route."),
    BODY_TOO_LARGE(number = 1006, status = 413, "The body exceeds the configured size."),
    HEADERS_TOO_LARGE(number = 1007, status = 431, "The request line or the headers exceed the configured size."),
    SLOW_SENDER(number = 1008, status = 408, "The request did not arrive in full within the configured time."),
    PATH_UNKNOWN(number = 1009, status = 404, "No call of the interface has this path or method."),
    WRONG_CALL(number = 1010, status = 400, "The route leads to another kind of upstream than the call is meant for."),
    RATE_EXCEEDED(number = 2001, status = 429, "The account has no tokens left at the moment."),
    EXCEEDS_BURST(number = 2002, status = 400, "The request may take more tokens than the account's burst."),
    LIMIT_UNAVAILABLE(number = 2003, status = 503, "The entry that keeps the account's bucket can't be reached."),
    NO_AGREEMENT(number = 2004, status = 403, "The account has no row in the pools table."),
    NO_UPSTREAM(number = 3001, status = 503, "No live upstream of the pool accepts work."),
    QUEUE_FULL(number = 3002, status = 503, "The upstream's queue is full."),
    QUEUE_TIMEOUT(number = 3003, status = 503, "The request waited too long for an upstream and was not started."),
    OVERLOADED(number = 3004, status = 503, "The entry holds as many requests as it may."),
    DRAINING(number = 3005, status = 503, "The process is stopping and takes no new work."),
    ADAPTER_LOAD_FAILED(number = 3006, status = 503, "The engine could not load the adapter."),
    NO_FENCING(number = 3007, status = 503, "The sidecar holds no fencing number and can't order a load."),
    STALE_DISPATCH(number = 3008, status = 503, "The process paused between admitting the request and sending it."),
    NO_CONFIGURATION(number = 3009, status = 503, "The process has not read a configuration yet."),
    KEYS_UNCONFIRMED(number = 3010, status = 503, "The process can't confirm that keys it knows are still given."),
    REQUEST_BLOCKED(number = 3011, status = 503, "Upstreams crashed of requests like this one, so it is not run."),
    NOT_IN_TIME(number = 3012, status = 503, "The request could not begin before its deadline, so it was not started."),
    VERSION_GONE(number = 3013, status = 503, "No upstream of the software version that began the stream is left."),
    VERSION_UNDECIDED(number = 3014, status = 503, "The software version for the stream is not known in time."),
    UPSTREAM_FAILED(number = 4001, status = 502, "The upstream failed while it ran the request."),
    OUTCOME_UNKNOWN(number = 4002, status = 502, "Contact was lost after dispatch; the request may have run."),
    ANSWER_BROKEN(number = 4003, status = 502, "The answer ended early or had a gap."),
    DEADLINE_EXCEEDED(number = 4004, status = 504, "The answer did not complete within the configured time."),
    ALREADY_RAN(number = 4005, status = 409, "A request with this idempotency key has already been accepted."),
    CLAIM_UNAVAILABLE(number = 4006, status = 503, "The idempotency key could not be recorded, so nothing was run."),
    WRONG_ADAPTER(number = 4007, status = 502, "The engine answered with another adapter than the route names."),
    KEY_WITHDRAWN(number = 4009, status = 401, "The key was withdrawn while the answer was being sent."),
}
